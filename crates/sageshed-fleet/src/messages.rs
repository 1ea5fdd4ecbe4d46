//! What control and entry processes of a fleet tell each other.
//!
//! An entry process asks a few control processes what is new ([`WatchReq`]) and each keeps the call
//! until there is something ([`WatchResp`]). One of them, near by, passes endpoints on; the others
//! tell by a digest whether that one knows what they know. All tell the number of the newest configuration; the
//! entry process fetches it by calls of its own ([`ConfigReq`]), so that news does not wait for it. Control processes
//! watch each other the same way, so an announcement that one of them took is known to all within a
//! round trip.

use std::net;

use sageshed_types::{document, time};
use serde::{Deserialize, Serialize};

use crate::{directory, quarantine, transfer};

/// Paths on the port of a control process for the system's other processes.
pub mod paths {
    /// [`super::WatchReq`] to [`super::WatchResp`].
    pub const WATCH: &str = "/v1/fleet/watch";
    /// [`super::ConfigReq`] to [`super::ConfigResp`].
    pub const CONFIG: &str = "/v1/fleet/config";
    /// [`super::AdapterReq`] to [`super::AdapterResp`], of an entry process. Any control process passes it on to the leader.
    pub const ADAPTER: &str = "/v1/fleet/want";
    /// The same, of a control process.
    pub const LEADER_ADAPTER: &str = "/v1/fleet/want-of-leader";
}

/// Who watches.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Watcher {
    /// An entry process.
    Entry,
    /// A control process.
    Control,
}

/// What of the directory a watcher wants.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DirectoryDetail {
    /// What is new, and which instances live, though they say nothing new.
    All,
    /// What is new.
    News,
    /// The digest alone.
    Digest,
}

/// A control process and where it is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlVm {
    /// Its address.
    pub ip: net::Ipv4Addr,
    /// Its availability zone, where that is known.
    pub availability_zone: Option<String>,
}

/// A record as it travels: one that can't be read is passed over, and those beside it are not lost.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EncodedRecord(#[serde(with = "serde_bytes")] pub Vec<u8>);

/// Asks what is new.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WatchReq {
    /// What asks.
    pub watcher: Watcher,
    /// Its address.
    pub ip: net::Ipv4Addr,
    /// Its availability zone.
    pub availability_zone: String,
    /// What of the directory it wants.
    pub wants: DirectoryDetail,
    /// The version of the configuration in force there; zero for none.
    pub config: u64,
    /// The newest version that it was told of, and fetches if it does not hold it. None from a process that takes
    /// configurations out of the answer.
    #[serde(default)]
    pub config_told: Option<u64>,
    /// Up to where it knows the directory of the one that it asks.
    pub mark: directory::Cursor,
    /// The list of entry processes that it knows, by the number that came with it.
    pub entries_known: u64,
    /// How long the call may be kept.
    pub patience: time::Millis,
    /// Of a control process: the entry processes that it hears itself.
    pub entries: Vec<net::Ipv4Addr>,
    /// What callers asked for since the last call that was answered: of an entry process its own callers, of
    /// a control process those of entry processes that told it.
    pub demand: Vec<Demand>,
    /// Up to where it knows of the one that it asks which requests endpoints have ended under; none if it does
    /// not take that.
    #[serde(default)]
    pub crashes_known: Option<quarantine::Cursor>,
    /// Of an entry process: crashes that the one it asks was not told of.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<quarantine::Crash>,
    /// Whether it takes [`WatchResp::alive`].
    #[serde(default)]
    pub takes_alive: bool,
    /// Of an entry process: endpoints that have said in answers that they leave.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub leaving: Vec<directory::InstanceId>,
}

/// What callers asked of one model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The service.
    pub service: String,
    /// The model.
    pub model: String,
    /// Requests that came.
    pub requests: u32,
    /// Microseconds that an engine needs to read their prompts, less what it keeps of them.
    #[serde(rename = "reading_us")]
    pub prefill_us: u64,
    /// Tokens that they may generate.
    pub output_tokens: u64,
    /// Requests that wait now, since no engine can take them.
    pub waiting: u32,
    /// Adapters of the model that were asked for.
    pub adapters: Vec<String>,
}

/// What is new.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WatchResp {
    /// The control processes that the answering one knows, itself included.
    pub control: Vec<ControlVm>,
    /// The one that leads, if it knows.
    pub leader: Option<net::Ipv4Addr>,
    /// The number of the list of entry processes: equal for equal lists.
    pub entries_number: u64,
    /// The entry processes, where the list is not the one that is known.
    pub entries: Option<Vec<net::Ipv4Addr>>,
    /// The number of the newest configuration that the answering one holds; zero for none.
    #[serde(default)]
    pub newest_config: u64,
    /// That configuration, where it is newer and the watcher does not fetch it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub config: Option<document::Document>,
    /// Up to where the directory is known with this answer.
    pub mark: directory::Cursor,
    /// The digest of the directory; see [`directory::Directory::digest`].
    pub digest: u64,
    /// Up to where the directory is known to one that has this digest too; none from a process that does not
    /// tell.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub digest_mark: Option<directory::Cursor>,
    /// The last change of the directory that was news; none from a process that does not tell.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub news_mark: Option<directory::Cursor>,
    /// Up to where other control processes are known with this answer, for one that takes endpoints.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub peers: Vec<(net::Ipv4Addr, directory::Cursor)>,
    /// What changed in it since the mark of the question, as [`directory::Record`].
    pub records: Vec<EncodedRecord>,
    /// Instances of which nothing changed but that they were heard since, for one that wants all.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub alive: Vec<directory::LivenessRefresh>,
    /// Whether there is more of that, for the next question.
    #[serde(default)]
    pub has_more: bool,
    /// Up to where crashes are known with this answer; none from a process that does not tell.
    #[serde(default)]
    pub crashes_mark: Option<quarantine::Cursor>,
    /// What was learnt of them since the mark of the question: for an entry process those under requests that are
    /// held.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<quarantine::Crash>,
}

/// Asks for a chunk of the newest configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigReq {
    /// The version whose text is held; zero for none.
    pub text_held: u64,
    /// The transfer that is under way.
    pub transfer: Option<transfer::TransferId>,
    /// Bytes of it that have come.
    pub offset: u64,
    /// Bytes of the chunk at the most.
    pub most: usize,
}

/// A chunk of a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigResp {
    /// Of the transfer that is under way, or of another one from its beginning; none where nothing newer is held.
    pub chunk: Option<transfer::Chunk>,
}

/// Asks the leader to load an adapter for a request that waits.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AdapterReq {
    /// The service.
    pub service: String,
    /// The model.
    pub model: String,
    /// The adapter of that model.
    pub adapter: String,
    /// The engine on which it is wanted, if any will not do.
    pub engine: Option<directory::InstanceId>,
}

/// What became of a [`AdapterReq`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AdapterResp {
    /// The leader sees to it; the directory will show the outcome.
    Taken,
    /// This process does not lead.
    NotLeader {
        /// Who does, if it knows.
        leader: Option<net::Ipv4Addr>,
    },
}
