//! Messages between the system's own processes. Each is one rmp-serde body over HTTP POST.
//!
//! | path | from, to | request | answer |
//! |---|---|---|---|
//! | `/vms/sync` | any, any | [`SyncReq`] | [`SyncResp`] |
//! | `/vms/claim` | entry, control | [`crate::claims::Claim`] | [`Routed`] of [`crate::claims::ClaimOutcome`] |
//! | `/vms/settle` | entry, control | [`crate::claims::Settle`] | [`Routed`] of `()` |
//! | `/vms/replicate` | control, control | [`Envelope`] | empty |
//! | `/vms/hello` | control, control | [`Hello`] | [`Hello`] |
//! | `/vms/explain` | control, entry | request id | `Option<`[`account::Account`]`>` |

use std::net;

use serde::{Deserialize, Serialize};

use crate::{account, catalog, endpoints, mark, quarantine, rules, time};

/// The path of each message.
pub mod paths {
    /// Takes [`super::SyncReq`].
    pub const SYNC: &str = "/vms/sync";
    /// Takes [`crate::claims::Claim`].
    pub const CLAIM: &str = "/vms/claim";
    /// Takes [`crate::claims::Settle`].
    pub const SETTLE: &str = "/vms/settle";
    /// Takes [`super::Envelope`].
    pub const REPLICATE: &str = "/vms/replicate";
    /// Takes [`super::Hello`].
    pub const HELLO: &str = "/vms/hello";
    /// Takes a request id.
    pub const EXPLAIN: &str = "/vms/explain";
}

/// What a process is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Takes callers' requests.
    Entry,
    /// Holds the replicated control state.
    Control,
}

/// One process of the system, as it names itself.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Process {
    /// The VM's name.
    pub vm: String,
    /// What the process is. A VM may run one of each.
    pub role: Role,
    /// Grows with each start.
    pub incarnation: endpoints::Incarnation,
}

/// The heartbeat: an entry process sends it to each control process and to each other entry process.
///
/// It brings what the sender knows first-hand of endpoints, and asks for what the receiver knows.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SyncReq {
    /// Who asks.
    pub from: Process,
    /// The asker's address for `/vms/...`.
    pub address: String,
    /// The newest revision that the asker has in force.
    pub revision: rules::Revision,
    /// Position in the receiver's directory up to which the asker has read it; 0 for all.
    pub directory_seen: DirectoryMark,
    /// Reports that reached the asker straight from endpoints since the receiver last confirmed.
    pub reports: Vec<endpoints::Report>,
    /// How much was asked for at this entry process; sent to control processes only.
    pub demand: Vec<Demand>,
    /// The asker is shutting down.
    pub draining: bool,
    /// Whether the asker serves callers now.
    pub ready: bool,
    /// Up to where the asker knows which crashes the receiver remembers; none if it does not take them.
    #[serde(default)]
    pub crashes_known: Option<mark::Mark>,
    /// Crashes that the receiver was not told of.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<quarantine::Crash>,
}

/// Where in a process's directory a reader stands.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryMark {
    /// The start of the process that keeps the directory; another start begins anew.
    pub incarnation: endpoints::Incarnation,
    /// Counts changes of the directory in that start.
    pub version: u64,
}

/// The answer to [`SyncReq`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SyncResp {
    /// Who answers.
    pub from: Process,
    /// Reports newer than the asker's mark.
    pub reports: Vec<endpoints::Report>,
    /// The asker's new mark.
    pub directory: DirectoryMark,
    /// From a control process: the configuration and its lease.
    pub control: Option<ControlPart>,
    /// The newest revision in force at the answerer.
    pub revision: rules::Revision,
    /// The committed configuration, if the answerer's is newer than the asker's. Entry processes
    /// pass it on too, so that it reaches those that no control process can reach.
    pub config: Option<ConfigUpdate>,
    /// Whether the answerer has heard, within a heartbeat or two, a leader that itself hears a
    /// majority of the voters.
    pub hears_leader: bool,
    /// Whether the answerer, an entry process, was confirmed since it started. One that was not
    /// does not know what it missed, and vouches for nobody.
    #[serde(default)]
    pub was_confirmed: bool,
    /// Up to where the answerer's crashes are known with this; none if it tells nothing of them.
    #[serde(default)]
    pub crashes_mark: Option<mark::Mark>,
    /// What it learnt of them since the asker's mark.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<quarantine::Crash>,
}

/// What a control process says to an entry process about the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ControlPart {
    /// The voters by the newest membership in this process's log, committed or not.
    pub voters: Vec<Voter>,
    /// The disk generation of this process: a grant counts only for this one.
    pub generation: u64,
    /// Whether this process may grant leases now: it is one of `voters`.
    pub grants: bool,
    /// The lease granted, counted from when the asker sent the request, in milliseconds.
    pub lease: time::Millis,
    /// The newest revision in this process's log, committed or not. The lease counts only for an
    /// entry process that has this revision or a later one in force: a change that a majority holds
    /// is thereby known to at least one of any majority that grants.
    pub required: rules::Revision,
    /// Who leads, if known.
    pub leader: Option<String>,
    /// The term of that leader.
    pub term: u64,
    /// Entry VMs that an operator drains.
    pub draining: Vec<String>,
}

/// A voter: a VM with one generation of its disk.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Voter {
    /// The VM's name.
    pub vm: String,
    /// The disk generation.
    pub generation: u64,
}

/// Committed configuration on its way to an entry process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigUpdate {
    /// The changes after the asker's revision, oldest first.
    Delta(Vec<rules::Accepted>),
    /// The whole, since the asker is too far behind.
    Snapshot(rules::RuleSet),
}

/// What one entry process was asked for, by model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The model, adapter or service.
    pub model: String,
    /// Requests that came since the last sync with this receiver was confirmed.
    pub arrived: u32,
    /// Of these, refused because no engine held the model in time.
    pub unserved: u32,
    /// Requests waiting now because no engine holds the model.
    pub waiting: u32,
    /// Mean time that one request holds a slot, in milliseconds.
    pub service_time: time::Millis,
}

/// An answer from a control process that only the leader can give.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Routed<T> {
    /// The answer. What it depends on is committed.
    Done(T),
    /// Another process leads; nothing was done here. Ask that VM, or any if none is named.
    NotLeader {
        /// The leader's VM, if known.
        leader: Option<String>,
    },
    /// It was proposed here and its fate is not known: ask again with the same content.
    Unknown,
}

/// Messages of the replicated log, in the codec of `sageshed-quorum`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sending VM.
    pub from: String,
    /// The sending voter's disk generation.
    pub generation: u64,
    /// The receiving VM.
    pub to: String,
    /// The encoded messages, oldest first.
    pub messages: Vec<Vec<u8>>,
}

/// What control processes tell each other while one of them is not a member of the group: at the
/// very first start, and when a disk was lost.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The sender, as a voter it is or would be.
    pub from: Voter,
    /// The voters that the group was formed with; empty if the sender knows of no group.
    pub formed: Vec<Voter>,
    /// Whether the sender was started to form a new group.
    pub forming: bool,
    /// Addresses of control processes that the sender knows, where no list of VMs is kept.
    #[serde(default)]
    pub known: Vec<net::Ipv4Addr>,
}

/// What `sageshed status` shows, gathered by one control process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The control process that answers.
    pub answered_by: String,
    /// Who leads, if known.
    pub leader: Option<String>,
    /// The term of that leader.
    pub term: u64,
    /// The newest committed revision.
    pub revision: rules::Revision,
    /// The voters and learners.
    pub voters: Vec<VoterStatus>,
    /// The processes that have been heard.
    pub vms: Vec<VmStatus>,
    /// The endpoints.
    pub endpoints: Vec<endpoints::Report>,
}

/// A member of the control group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterStatus {
    /// The VM.
    pub vm: String,
    /// Its disk generation.
    pub generation: u64,
    /// `voter` or `learner`.
    pub standing: String,
    /// Log entries that it lacks, where the leader knows.
    pub lag: Option<u64>,
}

/// A process that has been heard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmStatus {
    /// The process.
    pub process: Process,
    /// The revision that it has in force.
    pub revision: rules::Revision,
    /// Since it was last heard, in milliseconds.
    pub silent: time::Millis,
    /// Whether it serves callers.
    pub ready: bool,
    /// Whether it is shutting down.
    pub draining: bool,
}

/// Where one model is, for `sageshed models`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ModelStatus {
    /// The model or adapter, as the settings offer it.
    pub model: catalog::Model,
    /// The engines that hold it.
    pub holders: Vec<HolderStatus>,
    /// Orders under way or wanted, each with its reason.
    pub moves: Vec<String>,
    /// Requests a second, as estimated.
    pub demand: f64,
}

/// One engine that holds a model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderStatus {
    /// The engine.
    pub endpoint: String,
    /// Its availability zone.
    pub availability_zone: String,
    /// What it holds.
    pub resident: endpoints::Resident,
}

/// Re-exported for the codec of [`paths::EXPLAIN`].
pub type ExplainResp = Option<account::Account>;
