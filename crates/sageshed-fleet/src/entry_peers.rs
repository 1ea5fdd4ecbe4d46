//! Messages between entry processes about engines and allowances, and the choice of their recipients.
//!
//! An engine may prefill all waiting prompts in one step, and all its streams pause meanwhile. So a process
//! that selects an engine has to know what the others have just sent there; the engine's own report comes
//! with a response, when it is too late.
//!
//! Up to [`MAX_BROADCAST_ENTRIES`] entry processes send their observations to all others, and each selects
//! engines by itself. With more processes, that takes a quadratic number of messages, and each process has
//! a request for a model so seldom that its view is stale. Then each model has coordinators among them
//! ([`coordinators`]), chosen by hashing. The first coordinator receives the observations of all engines
//! that hold the model, is queried for each request, and decides where that goes, so a request costs the
//! same few datagrams however many processes there are. If no reply arrives within milliseconds, the
//! process that asked selects an engine by its own view, and queries the next coordinator from then on.

use std::{
    collections::hash_map,
    hash::{Hash, Hasher},
    net,
};

use sageshed_types::time;
use serde::{Deserialize, Serialize};

use crate::{allowance, dialect, directory, slots, stream_origins};

/// Up to this many entry processes send their observations to all others. Among more, models have
/// coordinators.
pub const MAX_BROADCAST_ENTRIES: usize = 12;

/// Coordinators of a model: the one that is queried, and the one that takes over when the first is lost.
/// Both receive observations.
pub(crate) const COORDINATORS: usize = 2;

/// The content of a datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// Observation of an engine.
    #[serde(rename = "Word")]
    Observation(EngineObservation),
    /// Query for where to send a request.
    #[serde(rename = "Ask")]
    RoutingQuery(RoutingQuery),
    /// Reply to a query.
    #[serde(rename = "Advice")]
    RoutingReply(RoutingReply),
    /// Withdrawal of a request from the queue of a coordinator.
    Cancel(Cancellation),
    /// Acquisition of units of an allowance.
    #[serde(rename = "Draw")]
    Acquire(allowance::AcquireRequest),
    /// Reply to the [`Self::Acquire`] with this id.
    #[serde(rename = "Drawn")]
    Acquired(u64, allowance::AcquireReply),
    /// Collection of a producer's units.
    #[serde(rename = "Pull")]
    Collect(allowance::CollectRequest),
    /// Reply to a collection.
    #[serde(rename = "Given")]
    Collected(allowance::CollectReply),
    /// Request for a slot of a plain service.
    SlotRequest(slots::SlotRequest),
    /// Reply to a [`Self::SlotRequest`].
    SlotGrant(slots::SlotGrant),
    /// End of a request that had a slot or waited for one.
    SlotRelease(slots::SlotRelease),
    /// Record of a stream that begins.
    StreamOrigin(stream_origins::StreamOrigin),
    /// Query for the record of a stream.
    OriginQuery(stream_origins::OriginQuery),
    /// Reply to an [`Self::OriginQuery`].
    OriginReply(stream_origins::OriginReply),
    /// Records of streams, for a control process.
    StreamOrigins(Vec<stream_origins::StreamOrigin>),
}

/// Asks the coordinator of a model where to send a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RoutingQuery {
    /// Identifies the query in its reply.
    pub id: u64,
    /// Identifies the request; the same in each query for it.
    pub request: u64,
    /// Service that the request is for.
    pub service: String,
    /// Its model.
    pub model: String,
    /// Its adapter, if it needs one.
    pub adapter: Option<String>,
    /// Ids of the prompt's parts, with their tokens.
    pub parts: Vec<(u64, u64)>,
    /// Tokens of the whole prompt.
    pub prompt_tokens: u64,
    /// Engines on which an earlier attempt failed, by [`instance_key`].
    pub tried: Vec<u64>,
    /// Time left until the deadline, after which nobody waits for the response.
    #[serde(rename = "left")]
    pub time_left: time::Millis,
    /// How much longer the request may be held back for an engine with little prefill pending.
    pub patience: time::Millis,
    /// Time left until the response would be late.
    #[serde(rename = "on_time")]
    pub time_until_late: time::Millis,
    /// Whether there is time to keep waiting after the response is late.
    pub may_be_late: bool,
    /// The software version that began its stream, if it is to be resumed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub software: Option<directory::SoftwareKey>,
    /// Present if the request is to wait in the coordinator's queue.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub queue: Option<QueueMembership>,
}

/// What a coordinator needs to know of a request that waits in its queue.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct QueueMembership {
    /// Priority of the request; zero is the most urgent.
    pub priority: u8,
    /// The workspace that sends it, as a hash; zero for none.
    pub workspace: u64,
    /// The weight of the workspace's share.
    pub weight: f64,
    /// A hash of the request's content, which stays the same when its caller retries it.
    pub content: u64,
    /// How much longer its caller waits for the first event.
    pub abandoned_in: time::Millis,
    /// Tokens that it may generate at most.
    pub output_tokens: u64,
    /// When the query was sent, by the clock of the holder.
    pub sent_at: time::Instant,
}

/// Reply to a query.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutingReply {
    /// Id of the query.
    pub id: u64,
    /// Where to send the request.
    #[serde(rename = "place")]
    pub decision: RoutingDecision,
    /// When this was decided, by the clock of the holder: [`QueueMembership::sent_at`] and the time since the
    /// coordinator received that query. Present only if the coordinator keeps a queue.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub decided_at: Option<time::Instant>,
}

/// Withdraws a request from the queue of a coordinator, or returns an unused grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cancellation {
    /// Identifies the request, as [`RoutingQuery::request`] did.
    pub request: u64,
}

/// Result of a [`RoutingQuery`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RoutingDecision {
    /// Send it to this engine.
    Engine {
        /// Key of the engine, by [`instance_key`].
        engine: u64,
        /// Estimated time until the response begins.
        estimate: time::Millis,
        /// Tokens of the prompt that the engine caches.
        #[serde(rename = "kept_tokens")]
        cached_tokens: u64,
    },
    /// Hold the request: all engines with the model have too much prefill pending.
    Wait {
        /// How long requests wait at present, if it can be estimated.
        expected: Option<time::Millis>,
    },
    /// The coordinator knows no engine that holds the requested model and adapter.
    Unknown,
    /// The request can't begin before its caller gives up. Sent only for requests that join a queue.
    Refuse {
        /// When the caller should return.
        retry_after: time::Millis,
    },
}

/// Time to first token of one response, measured and estimated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TtftSample {
    /// The model, by [`name_key`].
    pub model: u64,
    /// Measured time in milliseconds.
    pub took: u32,
    /// Estimated time in milliseconds.
    pub estimated: u32,
}

/// A fault of an engine that a process ran into.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EngineFault {
    /// It rejected a request for this model, by [`name_key`].
    Rejects(u64),
    /// It does not hold this model.
    Lacks(u64),
    /// It failed a request.
    Fails,
    /// It can't be reached.
    Unreachable,
    /// It sent nothing until the time of a request was over.
    Silent,
}

/// One process's observation of an engine, sent by datagram whenever it changes. A lost one is made up for
/// by the next, and observations expire after a while.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineObservation {
    /// Key of the engine, by [`instance_key`].
    pub engine: u64,
    /// Pending prefill of the sender's requests at the engine, in microseconds.
    #[serde(rename = "micros")]
    pub pending_prefill_us: u64,
    /// A prompt prefix that the engine has just prefilled for the sender and now caches. Without
    /// observations, each of seven processes would know a seventh of what engines cache, and engines would
    /// prefill again what they already have.
    #[serde(default, rename = "kept")]
    pub cached_prefix: Option<PromptPrefix>,
    /// Time to first token of the response that has just begun.
    #[serde(default, rename = "pace")]
    pub ttft: Option<TtftSample>,
    /// Requests that the engine runs, by its own report in the response that has just begun.
    #[serde(default)]
    pub running: Option<u32>,
    /// Slowdown of the engine in percent, by the same report.
    #[serde(default)]
    pub slowdown_percent: Option<u32>,
    /// Pauses of the stream that has just ended there.
    #[serde(default)]
    pub pauses: Option<Pauses>,
    /// A fault that has just occurred there.
    #[serde(default, rename = "trouble")]
    pub fault: Option<EngineFault>,
    /// The request, by [`RoutingQuery::request`], that was sent there by the grant of a queue. It confirms that grant.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub granted: Option<u64>,
}

/// The pauses of a stream that ended normally.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pauses {
    /// Time from its first event to its last.
    pub lasted: time::Millis,
    /// The longest time between two of its events.
    pub longest: time::Millis,
    /// The longest pause that its callers accept.
    pub limit: time::Millis,
}

/// The prefix of a prompt that other prompts may share.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptPrefix {
    /// Model and adapter that it was prefilled for.
    #[serde(rename = "reader")]
    pub scope: CacheScope,
    /// Ids of its parts, in order.
    pub parts: Vec<u64>,
}

/// Model and adapter that a prompt part was prefilled for, by their hashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CacheScope {
    /// The model, by [`name_key`].
    pub model: u64,
    /// Model and adapter together.
    pub whole: u64,
}

impl CacheScope {
    /// The scope of `wanted`.
    #[must_use]
    pub fn of(wanted: &dialect::ModelRef) -> Self {
        Self {
            model: name_key(&wanted.model),
            whole: hash(wanted),
        }
    }
}

impl PromptPrefix {
    /// The prefix of a prompt that other prompts may share: all parts but the last, which belongs to this
    /// request or its session. None if that is empty.
    #[must_use]
    pub fn of(wanted: &dialect::ModelRef, parts: &[dialect::PromptPart]) -> Option<Self> {
        let (_, shared) = parts.split_last()?;
        let shared = &shared[..shared.len().min(MAX_PREFIX_PARTS)];
        (!shared.is_empty()).then(|| Self {
            scope: CacheScope::of(wanted),
            parts: shared.iter().map(|it| it.id).collect(),
        })
    }
}

/// Parts of a prefix that are sent, to bound the size of a datagram.
const MAX_PREFIX_PARTS: usize = 8;

/// The hash that stands for the name of a model or a request in datagrams.
#[must_use]
pub fn name_key(name: &str) -> u64 {
    hash(&name)
}

/// The hash that identifies an instance in datagrams. It differs between starts of an endpoint, as what was
/// sent to an earlier start is not prefilled by the new one.
#[must_use]
pub fn instance_key(instance: &directory::InstanceId) -> u64 {
    hash(instance)
}

/// Whether there are so many entry processes that models have coordinators.
#[must_use]
pub fn uses_coordinators(entries: &[net::Ipv4Addr]) -> bool {
    entries.len() > MAX_BROADCAST_ENTRIES
}

/// The coordinators of a model among `entries`, in the order in which they are queried; none if there are
/// few enough to exchange observations directly.
#[must_use]
pub fn coordinators(model: u64, entries: &[net::Ipv4Addr]) -> Vec<net::Ipv4Addr> {
    if !uses_coordinators(entries) {
        return Vec::new();
    }
    ranked(model, entries, COORDINATORS)
}

/// The one of `entries` that decides alone on `key`; none if there are no entries.
#[must_use]
pub fn owner(key: u64, entries: &[net::Ipv4Addr]) -> Option<net::Ipv4Addr> {
    ranked(key, entries, 1).first().copied()
}

/// The `count` of `entries` with the highest hash of key and entry (rendezvous hashing). All processes find
/// the same ones, and an entry that is added or removed changes few of them.
pub(crate) fn ranked(key: u64, entries: &[net::Ipv4Addr], count: usize) -> Vec<net::Ipv4Addr> {
    let weighted = ranked_with_hashes(key, entries, count);
    weighted.into_iter().map(|(_, entry)| entry).collect()
}

/// An entry process with its hash for one key.
pub(crate) type HashedEntry = (u64, net::Ipv4Addr);

/// As [`ranked`], with the hashes.
pub(crate) fn ranked_with_hashes(
    key: u64,
    entries: &[net::Ipv4Addr],
    count: usize,
) -> Vec<HashedEntry> {
    let mut best: Vec<HashedEntry> = Vec::with_capacity(count + 1);
    for entry in entries {
        let candidate = hashed_entry(key, *entry);
        if best.len() == count && best.last().is_some_and(|least| candidate < *least) {
            continue;
        }
        let at = best.partition_point(|it| *it > candidate);
        best.insert(at, candidate);
        best.truncate(count);
    }
    best
}

pub(crate) fn hashed_entry(key: u64, entry: net::Ipv4Addr) -> HashedEntry {
    (hash(&(key, entry)), entry)
}

/// Hashes a value in the same way on every process of one build: by the standard library's hasher with its
/// fixed keys.
#[must_use]
pub fn hash<T: Hash>(value: &T) -> u64 {
    let mut hasher = hash_map::DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
