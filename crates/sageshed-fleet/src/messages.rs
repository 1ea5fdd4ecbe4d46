//! Messages between the control and entry processes of a fleet.
//!
//! An entry process watches a few control processes by long polling: each holds the call ([`WatchReq`]) until it has
//! an update ([`WatchResp`]). One of them, preferably near by, sends the endpoints; the others send a digest, which
//! tells whether that one knows what they know. All send the version of the newest configuration; the entry process
//! fetches it by separate calls ([`ConfigReq`]), so that updates don't wait for it. Control processes watch each
//! other the same way, so an announcement that one of them receives is known to all within a round trip.

use std::net;

use sageshed_types::{document, time};
use serde::{Deserialize, Serialize};

use crate::{config_check, directory, quarantine, transfer};

/// Paths on the port of a control process for the system's own processes.
pub mod paths {
    /// Takes a [`super::WatchReq`], returns a [`super::WatchResp`].
    pub const WATCH: &str = "/v1/fleet/watch";
    /// Takes a [`super::ConfigReq`], returns a [`super::ConfigResp`].
    pub const CONFIG: &str = "/v1/fleet/config";
    /// Takes a [`super::ConfigCheckReq`], returns a [`super::ConfigCheckResp`].
    pub const CONFIG_CHECK: &str = "/v1/fleet/config-check";
    /// Takes a [`super::AdapterReq`] of an entry process, returns a [`super::AdapterResp`]. Any control process
    /// forwards it to the leader.
    pub const ADAPTER: &str = "/v1/fleet/want";
    /// The same, forwarded by a control process.
    pub const LEADER_ADAPTER: &str = "/v1/fleet/want-of-leader";
}

/// The kind of process that watches.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Watcher {
    /// An entry process.
    Entry,
    /// A control process.
    Control,
}

/// How much of the directory a watcher asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DirectoryDetail {
    /// Updates, and refreshes of instances without updates.
    All,
    /// Updates only.
    News,
    /// Only the digest.
    Digest,
}

/// A control process and its location.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlVm {
    /// Its address.
    pub ip: net::Ipv4Addr,
    /// Its availability zone, if known.
    pub availability_zone: Option<String>,
}

/// An encoded [`directory::Record`]. Each is encoded on its own, so that one that can't be decoded is skipped without
/// losing the others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EncodedRecord(#[serde(with = "serde_bytes")] pub Vec<u8>);

/// Asks for what is new; held until there is something.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WatchReq {
    /// The kind of the watcher.
    pub watcher: Watcher,
    /// Its address.
    pub ip: net::Ipv4Addr,
    /// Its availability zone.
    pub availability_zone: String,
    /// How much of the directory it asks for.
    pub wants: DirectoryDetail,
    /// The version of the configuration that it uses; zero for none.
    pub config: u64,
    /// The newest version that it knows of, and fetches if it doesn't hold it. None from a process that expects
    /// configurations in the response.
    #[serde(default)]
    pub config_told: Option<u64>,
    /// Its cursor in the directory of the control process that it asks.
    pub mark: directory::Cursor,
    /// The number of the list of entry processes that it knows; see [`WatchResp::entries_number`].
    pub entries_known: u64,
    /// How long the call may be held.
    pub patience: time::Millis,
    /// Of a control process: the entry processes that watch it.
    pub entries: Vec<net::Ipv4Addr>,
    /// The demand since the last call that succeeded: of an entry process that of its own callers, of a control
    /// process that of the entry processes which have reported to it.
    pub demand: Vec<Demand>,
    /// Its cursor in the crashes that the control process knows; none if it doesn't take crashes.
    #[serde(default)]
    pub crashes_known: Option<quarantine::Cursor>,
    /// Of an entry process: crashes that the control process was not told of.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<quarantine::Crash>,
    /// Whether it takes [`WatchResp::alive`].
    #[serde(default)]
    pub takes_alive: bool,
    /// Of an entry process: endpoints that have said in responses that they are leaving.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub leaving: Vec<directory::InstanceId>,
    /// Of an entry process: whether it has been told to stop. It still routes the requests of its callers, and is no
    /// longer listed as an entry process.
    #[serde(default, skip_serializing_if = "is_false")]
    pub is_stopping: bool,
}

/// The demand for one model.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The service.
    pub service: String,
    /// The model.
    pub model: String,
    /// Number of requests.
    pub requests: u32,
    /// Microseconds of engine time for the prefill of their prompts, without their cached prefixes.
    #[serde(rename = "reading_us")]
    pub prefill_us: u64,
    /// Tokens that they may generate at most.
    pub output_tokens: u64,
    /// Number of requests that wait because no engine can take them.
    pub waiting: u32,
    /// Adapters of the model that were requested.
    pub adapters: Vec<String>,
    /// Microseconds of engine time of the requests that wait for an engine: those of each request are counted again for
    /// each [`WAITING_INTERVAL`] that it has waited.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub waiting_us: u64,
    /// The longest that one of these has waited.
    #[serde(default, skip_serializing_if = "is_none")]
    pub waiting_age: time::Millis,
    /// Microseconds of engine time of the requests that were refused since no engine could take them in time.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub refused_us: u64,
    /// The longest that one of these has waited before.
    #[serde(default, skip_serializing_if = "is_none")]
    pub refused_age: time::Millis,
}

/// How often a request that waits is counted in [`Demand::waiting_us`].
pub const WAITING_INTERVAL: time::Millis = time::Millis(250);

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "the signature that serde asks for"
)]
fn is_zero(value: &u64) -> bool {
    *value == 0
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "the signature that serde asks for"
)]
fn is_false(value: &bool) -> bool {
    !value
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "the signature that serde asks for"
)]
fn is_none(value: &time::Millis) -> bool {
    *value == time::Millis(0)
}

/// What is new since the watcher's cursors.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WatchResp {
    /// The control processes that the responding one knows, itself included.
    pub control: Vec<ControlVm>,
    /// The leader, if known.
    pub leader: Option<net::Ipv4Addr>,
    /// The number of the list of entry processes: equal for equal lists.
    pub entries_number: u64,
    /// The entry processes, if the watcher knows another list.
    pub entries: Option<Vec<net::Ipv4Addr>>,
    /// The version of the newest configuration that the responding process holds; zero for none.
    #[serde(default)]
    pub newest_config: u64,
    /// That configuration, if it is newer than the watcher's and the watcher doesn't fetch configurations.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub config: Option<document::Document>,
    /// The watcher's cursor in the directory after this response.
    pub mark: directory::Cursor,
    /// The digest of the directory; see [`directory::Directory::digest`].
    pub digest: u64,
    /// The cursor of a watcher whose directory has the same digest; none from a process that doesn't send it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub digest_mark: Option<directory::Cursor>,
    /// The cursor of the directory's latest update; none from a process that doesn't send it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub news_mark: Option<directory::Cursor>,
    /// The cursors in other control processes' directories up to which this one knows them, for a watcher that takes
    /// endpoints.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub peers: Vec<(net::Ipv4Addr, directory::Cursor)>,
    /// For how long back the directory has all endpoints; see [`directory::Directory::reaches_back`]. Zero from a process
    /// that doesn't send it.
    #[serde(default, skip_serializing_if = "is_none")]
    pub reaches_back: time::Millis,
    /// The version of the configuration up to which the marks of services with streams of other ones are in the directory;
    /// see [`crate::route_history`]. Zero from a process that doesn't send it.
    #[serde(default)]
    pub routes_compared: u64,
    /// The records that changed after the watcher's cursor.
    pub records: Vec<EncodedRecord>,
    /// Refreshes of instances without updates, for a watcher that asks for [`DirectoryDetail::All`].
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub alive: Vec<directory::LivenessRefresh>,
    /// For how long the call was held; zero from a process that doesn't send it.
    #[serde(default, skip_serializing_if = "is_none")]
    pub held: time::Millis,
    /// Whether more records or refreshes follow, to be asked for by the next call.
    #[serde(default)]
    pub has_more: bool,
    /// The watcher's cursor in the crashes after this response; none from a process that doesn't send it.
    #[serde(default)]
    pub crashes_mark: Option<quarantine::Cursor>,
    /// The crashes that became known after the watcher's cursor; for an entry process only those of quarantined
    /// requests.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<quarantine::Crash>,
}

/// Asks for a chunk of the newest configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigReq {
    /// The version whose text is held; zero for none.
    pub text_held: u64,
    /// The transfer in progress.
    pub transfer: Option<transfer::TransferId>,
    /// Number of its bytes already received.
    pub offset: u64,
    /// Maximum number of bytes of the chunk.
    pub most: usize,
}

/// A chunk of a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigResp {
    /// A chunk of the transfer in progress, or the first chunk of another one; none where nothing newer is held.
    pub chunk: Option<transfer::Chunk>,
}

/// Asks for the version of the newest configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigCheckReq {
    /// The address of the entry process.
    pub ip: net::Ipv4Addr,
    /// The version in force there; zero for none.
    pub held: u64,
    /// For how long none has been in force there; none if one is.
    #[serde(default)]
    pub waited: Option<time::Millis>,
    /// What it waits for; none if one is in force.
    #[serde(default)]
    pub waits_for: Option<config_check::WaitsFor>,
}

/// The version of the newest configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigCheckResp {
    /// The newest version that the responding process has applied; zero for none.
    pub newest: u64,
    /// The control processes that the responding one knows, itself included.
    pub control: Vec<ControlVm>,
}

/// Asks the leader to load an adapter that a request waits for.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AdapterReq {
    /// The service.
    pub service: String,
    /// The model.
    pub model: String,
    /// The adapter of that model.
    pub adapter: String,
    /// The engine that is to load it; none if any engine will do.
    pub engine: Option<directory::InstanceId>,
}

/// The response to an [`AdapterReq`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AdapterResp {
    /// The leader has accepted it; the directory will show the outcome.
    Taken,
    /// This process is not the leader.
    NotLeader {
        /// The leader, if known.
        leader: Option<net::Ipv4Addr>,
    },
}
