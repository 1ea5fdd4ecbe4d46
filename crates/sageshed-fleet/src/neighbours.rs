//! What entry processes tell each other of engines, and whom they ask.
//!
//! An engine reads all prompts that wait there in one step, and all its streams pause meanwhile. So
//! whoever chooses an engine has to know what the others have just sent there; what the engine itself says
//! comes with an answer, when it is too late.
//!
//! Few entry processes all tell each other ([`GROUP`]), and each chooses for itself. Among many that costs
//! messages by the square, and each has a request for a model only now and then, so that what it knows is
//! old. There each model has a home among them ([`homes`]), found by hashing: it is told of all engines
//! that hold the model, is asked for each request, and says where that goes. A request then costs the same
//! few datagrams however many processes there are. Where no answer comes within milliseconds, the process
//! that asked chooses by what it knows itself; the next home is asked from then on.

use std::{
    collections::hash_map,
    hash::{Hash, Hasher},
    net,
};

use sageshed_types::time;
use serde::{Deserialize, Serialize};

use crate::{allowance, dialect, directory};

/// Entry processes that all tell each other. Among more of them models have homes.
pub const GROUP: usize = 12;

/// Homes of a model: the one that is asked, and the one that is asked where the first is lost. Both are told.
pub(crate) const HOMES: usize = 2;

/// What travels in a datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// A word on an engine.
    Word(Unread),
    /// Where is a request to go?
    Ask(Ask),
    /// There.
    Advice(Advice),
    /// May this much of an allowance be used?
    Draw(allowance::Draw),
    /// So much for a [`Self::Draw`] of this id.
    Drawn(u64, allowance::Answer),
    /// What have you of these allowances?
    Pull(allowance::Pull),
    /// This.
    Given(allowance::Given),
}

/// Asks the home of a model where a request is to go.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Names the question in its answer.
    pub id: u64,
    /// Names the request, the same in each question for it.
    pub request: u64,
    /// The service.
    pub service: String,
    /// The model.
    pub model: String,
    /// The adapter, if one is asked for.
    pub adapter: Option<String>,
    /// The parts of the prompt, with their tokens.
    pub parts: Vec<(u64, u64)>,
    /// Tokens of the whole prompt.
    pub prompt_tokens: u64,
    /// Engines that were tried and failed, by [`instance_key`].
    pub tried: Vec<u64>,
    /// What is left until nobody waits for the answer.
    pub left: time::Millis,
    /// How much longer it may wait for an engine that reads little.
    pub patience: time::Millis,
    /// What is left until its answer would be late.
    pub on_time: time::Millis,
    /// Whether it has the time to wait on once it is late anyway.
    pub may_be_late: bool,
}

/// Where a request is to go.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Advice {
    /// The question.
    pub id: u64,
    /// The answer.
    pub place: Place,
}

/// The answer to an [`Ask`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Place {
    /// This engine.
    Engine {
        /// By [`instance_key`].
        engine: u64,
        /// The estimated time until the answer begins.
        estimate: time::Millis,
        /// Tokens of the prompt that the engine keeps.
        kept_tokens: u64,
    },
    /// None now: all that hold the model have much to read.
    Wait {
        /// How long those take that wait now, where that can be told.
        expected: Option<time::Millis>,
    },
    /// The home knows of none that holds what is asked for.
    Unknown,
}

/// How long an answer took to begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pace {
    /// For which model.
    pub model: u64,
    /// In milliseconds.
    pub took: u32,
    /// As was estimated.
    pub estimated: u32,
}

/// What is wrong with an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Trouble {
    /// It rejected a request for this model, by [`key`].
    Rejects(u64),
    /// It does not hold this model.
    Lacks(u64),
    /// It failed a request.
    Fails,
    /// It can't be reached.
    Unreachable,
    /// It said nothing until the time of a request was over.
    Silent,
}

/// One process's word on an engine, sent by datagram whenever it changes. A lost one is made good by
/// the next, and forgotten after a while.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Unread {
    /// The engine, by [`instance_key`].
    pub engine: u64,
    /// Microseconds that the engine takes to read what the sender has sent there and it has not read yet.
    pub micros: u64,
    /// A beginning that the engine has just read for the sender, and keeps. Without the word of others a
    /// process of seven knows a seventh of what engines keep, and engines read again what others have read.
    #[serde(default)]
    pub kept: Option<Beginning>,
    /// How long the answer took whose beginning this tells of.
    #[serde(default)]
    pub pace: Option<Pace>,
    /// Requests that the engine runs, by its own word in the answer that has just begun.
    #[serde(default)]
    pub running: Option<u32>,
    /// How the stream paused that has just ended there.
    #[serde(default)]
    pub pauses: Option<Pauses>,
    /// What has just gone wrong there.
    #[serde(default)]
    pub trouble: Option<Trouble>,
}

/// The pauses of a stream that came whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pauses {
    /// From its first event to its last.
    pub lasted: time::Millis,
    /// The longest time between two of its events.
    pub longest: time::Millis,
    /// The longest that its callers count as on time.
    pub limit: time::Millis,
}

/// Parts at the beginning of a prompt that others may share.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beginning {
    /// For whom it was read.
    pub reader: Reader,
    /// The parts, in order.
    pub parts: Vec<u64>,
}

/// The model and adapter for which a part was read, by their hashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Reader {
    /// Of the model, by [`key`].
    pub model: u64,
    /// Of the whole name, the adapter included.
    pub whole: u64,
}

impl Reader {
    /// The one for `wanted`.
    #[must_use]
    pub fn of(wanted: &dialect::ModelRef) -> Self {
        Self {
            model: key(&wanted.model),
            whole: hash(wanted),
        }
    }
}

impl Beginning {
    /// What of a prompt others may share: all parts but the last, which is its own or its session's. None
    /// where that is nothing.
    #[must_use]
    pub fn of(wanted: &dialect::ModelRef, parts: &[dialect::PromptPart]) -> Option<Self> {
        let (_, shared) = parts.split_last()?;
        let shared = &shared[..shared.len().min(MOST_PARTS)];
        (!shared.is_empty()).then(|| Self {
            reader: Reader::of(wanted),
            parts: shared.iter().map(|it| it.id).collect(),
        })
    }
}

/// Parts of one beginning that are told, which bounds a datagram.
const MOST_PARTS: usize = 8;

/// The short name of a model in datagrams.
#[must_use]
pub fn key(model: &str) -> u64 {
    hash(&model)
}

/// The short name of an instance in datagrams. Another start has another: what was sent to the one before
/// is not read there.
#[must_use]
pub fn instance_key(instance: &directory::InstanceId) -> u64 {
    hash(instance)
}

/// Whether there are so many entry processes that models have homes.
#[must_use]
pub fn have_homes(entries: &[net::Ipv4Addr]) -> bool {
    entries.len() > GROUP
}

/// The homes of a model among `entries`, the one to be asked first; none where these all tell each other.
#[must_use]
pub fn homes(model: u64, entries: &[net::Ipv4Addr]) -> Vec<net::Ipv4Addr> {
    if !have_homes(entries) {
        return Vec::new();
    }
    ranked(model, entries, HOMES)
}

/// The `count` of `entries` with the highest hash of both (rendezvous hashing), so that all processes find the
/// same ones, and one that comes or goes changes few.
pub(crate) fn ranked(key: u64, entries: &[net::Ipv4Addr], count: usize) -> Vec<net::Ipv4Addr> {
    let weighted = weighted(key, entries, count);
    weighted.into_iter().map(|(_, entry)| entry).collect()
}

/// An entry process with its hash for one key.
pub(crate) type Weighted = (u64, net::Ipv4Addr);

/// The same as [`ranked`], with their hashes.
pub(crate) fn weighted(key: u64, entries: &[net::Ipv4Addr], count: usize) -> Vec<Weighted> {
    let mut best: Vec<Weighted> = Vec::with_capacity(count + 1);
    for entry in entries {
        let candidate = weight(key, *entry);
        if best.len() == count && best.last().is_some_and(|least| candidate < *least) {
            continue;
        }
        let at = best.partition_point(|it| *it > candidate);
        best.insert(at, candidate);
        best.truncate(count);
    }
    best
}

pub(crate) fn weight(key: u64, entry: net::Ipv4Addr) -> Weighted {
    (hash(&(key, entry)), entry)
}

/// The same on every process of one build: the standard library's hasher with its fixed keys.
#[must_use]
pub fn hash<T: Hash>(value: &T) -> u64 {
    let mut hasher = hash_map::DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
