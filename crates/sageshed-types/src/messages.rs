//! Messages between the system's own processes. Each is an rmp-serde body sent by HTTP POST.
//!
//! | path | from, to | request | response |
//! |---|---|---|---|
//! | `/vms/sync` | any, any | [`SyncReq`] | [`SyncResp`] |
//! | `/vms/claim` | entry, control | [`crate::claims::Claim`] | [`LeaderReply`] of [`crate::claims::ClaimOutcome`] |
//! | `/vms/settle` | entry, control | [`crate::claims::Settle`] | [`LeaderReply`] of `()` |
//! | `/vms/replicate` | control, control | [`Envelope`] | empty |
//! | `/vms/hello` | control, control | [`Hello`] | [`Hello`] |
//! | `/vms/explain` | control, entry | request id | `Option<`[`request_trace::RequestTrace`]`>` |

use std::net;

use serde::{Deserialize, Serialize};

use crate::{catalog, cursor, endpoints, quarantine, request_trace, rules, time};

/// The HTTP path of each message.
pub mod paths {
    /// Accepts [`super::SyncReq`].
    pub const SYNC: &str = "/vms/sync";
    /// Accepts [`crate::claims::Claim`].
    pub const CLAIM: &str = "/vms/claim";
    /// Accepts [`crate::claims::Settle`].
    pub const SETTLE: &str = "/vms/settle";
    /// Accepts [`super::Envelope`].
    pub const REPLICATE: &str = "/vms/replicate";
    /// Accepts [`super::Hello`].
    pub const HELLO: &str = "/vms/hello";
    /// Accepts a request id.
    pub const EXPLAIN: &str = "/vms/explain";
}

/// The role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Serves the requests of callers.
    Entry,
    /// Holds a replica of the control state.
    Control,
}

/// Identifies one process of the system.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Process {
    /// The VM's name.
    pub vm: String,
    /// The role of the process. A VM may run one process of each role.
    pub role: Role,
    /// The current incarnation of the process.
    pub incarnation: endpoints::Incarnation,
}

/// The heartbeat that an entry process sends to each control process and to each other entry process.
///
/// It carries the reports that the sender received from endpoints directly, and requests those that
/// the receiver has.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SyncReq {
    /// The sender.
    pub from: Process,
    /// The sender's address for requests to `/vms/...`.
    pub address: String,
    /// The newest revision of the rules in force at the sender.
    pub revision: rules::Revision,
    /// Up to which change the sender has read the receiver's directory. Version 0 requests all of it.
    pub directory_seen: DirectoryCursor,
    /// Reports that the sender received directly from endpoints since the last sync that the receiver
    /// confirmed.
    pub reports: Vec<endpoints::Report>,
    /// The demand at this entry process, by model. Sent to control processes only.
    pub demand: Vec<Demand>,
    /// Whether the sender is shutting down.
    pub draining: bool,
    /// Whether the sender serves callers now.
    pub ready: bool,
    /// Up to which change the sender knows the receiver's recorded crashes. None if the sender does not
    /// accept crashes.
    #[serde(default)]
    pub crashes_known: Option<cursor::SyncCursor>,
    /// Crashes that were not yet sent to the receiver.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<quarantine::Crash>,
}

/// Up to which change a reader has read a process's directory of endpoints.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryCursor {
    /// The incarnation of the process that owns the directory. Versions start again with each incarnation.
    pub incarnation: endpoints::Incarnation,
    /// The number of changes of the directory in that incarnation.
    pub version: u64,
}

/// The response to [`SyncReq`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SyncResp {
    /// The responding process.
    pub from: Process,
    /// Reports added to the directory after [`SyncReq::directory_seen`].
    pub reports: Vec<endpoints::Report>,
    /// The new position of the requesting process in the directory.
    pub directory: DirectoryCursor,
    /// From a control process: the lease and the state of the control group.
    pub control: Option<LeaseInfo>,
    /// The newest revision of the rules in force at the responding process.
    pub revision: rules::Revision,
    /// The committed configuration, if it is newer than that of the requesting process. Entry processes
    /// also forward it, so that it reaches entry processes that no control process can reach.
    pub config: Option<ConfigUpdate>,
    /// Whether the responding process has heard, within the last one or two heartbeats, from a leader
    /// that is itself in contact with a majority of the voters.
    pub hears_leader: bool,
    /// Whether the responding entry process has had its configuration confirmed since it started. One
    /// that has not may have missed changes, and cannot confirm the configuration of others.
    #[serde(default)]
    pub was_confirmed: bool,
    /// Up to which change the requesting process knows the crashes after this response. None if the
    /// responding process does not share crashes.
    #[serde(default)]
    pub crashes_mark: Option<cursor::SyncCursor>,
    /// Crashes recorded after [`SyncReq::crashes_known`].
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<quarantine::Crash>,
}

/// The part of a [`SyncResp`] that only control processes send: a lease on the configuration, and the
/// state of the control group on which it depends.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaseInfo {
    /// The voters in the newest membership in this process's log, committed or not.
    pub voters: Vec<Voter>,
    /// The disk generation of this process. Its grant counts only for the voter with this generation.
    pub generation: u64,
    /// Whether this process may grant leases now, because it is one of `voters`.
    pub grants: bool,
    /// The duration of the lease from the time when the request was sent, in milliseconds.
    pub lease: time::Millis,
    /// The newest revision in this process's log, committed or not. The lease is valid only for an
    /// entry process that has this revision or a later one in force. A change held by a majority is
    /// thereby known to at least one process of any majority that grants.
    pub required: rules::Revision,
    /// The leader's VM, if known.
    pub leader: Option<String>,
    /// The term of that leader.
    pub term: u64,
    /// The entry VMs that an operator is draining.
    pub draining: Vec<String>,
}

/// A voter of the control group, identified by its VM and the generation of the VM's disk.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Voter {
    /// The VM's name.
    pub vm: String,
    /// The disk generation.
    pub generation: u64,
}

/// An update that brings an entry process to the committed configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigUpdate {
    /// The changes after the revision of the requesting process, oldest first.
    Delta(Vec<rules::AcceptedChange>),
    /// The complete rules, sent to a process that is too far behind.
    Snapshot(rules::RuleSet),
}

/// The demand for one model at one entry process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The model, adapter or service.
    pub model: String,
    /// Requests that arrived since the last sync that this receiver confirmed.
    pub arrived: u32,
    /// How many of these were refused because no engine held the model in time.
    pub unserved: u32,
    /// Requests waiting now because no engine holds the model.
    pub waiting: u32,
    /// Mean time for which a request occupies a slot, in milliseconds.
    pub service_time: time::Millis,
}

/// A control process's reply to a request that only the leader can serve.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaderReply<T> {
    /// The result. The log entries that it depends on are committed.
    Done(T),
    /// Another process leads and nothing was done. Retry at that VM, or at any VM if none is named.
    NotLeader {
        /// The leader's VM, if known.
        leader: Option<String>,
    },
    /// The command was proposed and its outcome is not known. Retry with the same content.
    Unknown,
}

/// Messages of the replicated log between two control processes.
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

/// The handshake between control processes of which at least one is not a member of the group: at the
/// first start of the group, and after the loss of a disk.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The identity under which the sender votes or would vote.
    pub from: Voter,
    /// The voters with which the group was formed. Empty if the sender knows of no group.
    pub formed: Vec<Voter>,
    /// Whether the sender was started to form a new group.
    pub forming: bool,
    /// Addresses of control processes that the sender knows. Used where the settings list no VMs.
    #[serde(default)]
    pub known: Vec<net::Ipv4Addr>,
}

/// The data shown by `sageshed status`, collected by one control process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The VM of the control process that responds.
    pub answered_by: String,
    /// The leader's VM, if known.
    pub leader: Option<String>,
    /// The term of that leader.
    pub term: u64,
    /// The newest committed revision.
    pub revision: rules::Revision,
    /// The voters and learners of the control group.
    pub voters: Vec<VoterStatus>,
    /// The processes from which heartbeats were received.
    pub vms: Vec<VmStatus>,
    /// The latest report of each endpoint.
    pub endpoints: Vec<endpoints::Report>,
    /// The entry processes that have lately reported that no configuration is in force there.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub config_waits: Vec<ConfigWaitStatus>,
}

/// The status of an entry process without a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigWaitStatus {
    /// Its address.
    pub entry: String,
    /// For how long no configuration has been in force there.
    pub waited: time::Millis,
    /// What it waits for.
    pub waits_for: String,
}

/// The status of a member of the control group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterStatus {
    /// The member's VM.
    pub vm: String,
    /// Its disk generation.
    pub generation: u64,
    /// `voter` or `learner`.
    pub standing: String,
    /// The number of log entries that it lacks, if the responding process is the leader.
    pub lag: Option<u64>,
}

/// The status of a process from which heartbeats were received.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmStatus {
    /// The process.
    pub process: Process,
    /// The revision of the rules that it has in force.
    pub revision: rules::Revision,
    /// Time since its last heartbeat, in milliseconds.
    pub silent: time::Millis,
    /// Whether it serves callers.
    pub ready: bool,
    /// Whether it is shutting down.
    pub draining: bool,
}

/// The placement of one model, as shown by `sageshed models`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ModelStatus {
    /// The model or adapter, as the settings define it.
    pub model: catalog::Model,
    /// The engines that hold it.
    pub holders: Vec<HolderStatus>,
    /// Orders in progress or planned, each with its reason.
    pub moves: Vec<String>,
    /// The estimated demand in requests per second.
    pub demand: f64,
}

/// An engine that holds a model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderStatus {
    /// The engine's name.
    pub endpoint: String,
    /// Its availability zone.
    pub availability_zone: String,
    /// The state of the model on the engine.
    pub resident: endpoints::Resident,
}

/// The response at [`paths::EXPLAIN`]: none if the process has no record of the request.
pub type ExplainResp = Option<request_trace::RequestTrace>;
