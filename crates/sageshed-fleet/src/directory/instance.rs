//! What an endpoint says of itself, and the record by which directories pass it on.

use std::{
    fmt,
    hash::{self, Hasher as _},
    net,
};

use sageshed_types::time;
use serde::{Deserialize, Serialize};

/// Names one start of an endpoint.
///
/// An endpoint that crashes may start again under the name that it had. It then holds nothing, and what
/// was sent or ordered before concerns a process that is no more, so everything that is believed of an
/// endpoint is kept by this pair. Ordered by name, then by time of start.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct InstanceId {
    /// The name of the endpoint, the same in each of its starts.
    pub name: String,
    /// When it was started, in milliseconds of Unix time by its own clock, which may jump. None where
    /// it does not say so; its starts are then known by their names alone.
    pub born: Option<u64>,
}

impl InstanceId {
    /// The start at `born` of the endpoint `name`.
    #[must_use]
    pub fn new(name: &str, born: Option<u64>) -> Self {
        let name = name.to_owned();
        Self { name, born }
    }
}

impl InstanceId {
    /// A number by which processes name it to each other in few bytes: the same on every version of them.
    #[must_use]
    pub fn short_key(&self) -> u64 {
        let mut hasher = fnv::FnvHasher::default();
        hasher.write(self.name.as_bytes());
        // No name holds this byte.
        hasher.write(&[0xff]);
        hasher.write(&self.born.unwrap_or(0).to_le_bytes());
        hasher.finish()
    }
}

/// A start of an endpoint that does not say when it was.
impl From<&str> for InstanceId {
    fn from(name: &str) -> Self {
        Self::new(name, None)
    }
}

impl fmt::Display for InstanceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.born {
            Some(born) => write!(f, "{}@{born}", self.name),
            None => f.write_str(&self.name),
        }
    }
}

/// One start of an endpoint, by its own word.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Instance {
    /// Its id, never used by another.
    pub id: InstanceId,
    /// The service that it is part of.
    pub service: String,
    /// Where it takes requests.
    pub address: net::SocketAddrV4,
    /// Where it stands.
    pub availability_zone: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: State,
    /// How much longer it is slow after its start.
    pub warming: time::Millis,
    /// Where it will be gone at short notice: how long it had left when it said so.
    pub remaining: Option<time::Millis>,
    /// Counts its announcements.
    pub sequence: u64,
    /// The models in its accelerators' memory.
    pub models: Vec<Resident>,
    /// Models with a copy of their weights in its host's memory.
    pub in_memory: Vec<String>,
    /// Models with a copy of their weights on its disk.
    pub on_disk: Vec<String>,
}

/// A model that an engine holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resident {
    /// The model.
    pub model: String,
    /// The version of its weights.
    pub version: u64,
    /// Its adapters there.
    pub adapters: Vec<String>,
}

/// Whether an instance takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It does.
    Ready,
    /// It will stop and takes no new work.
    Leaving,
    /// It has stopped, or says that it is about to.
    Gone,
    /// Nothing was heard of it for long. It may be cut off from control and is back by its next word.
    Silent,
    /// Another start of the same endpoint has taken its place.
    Replaced,
}

impl Instance {
    /// What is known of an instance of which nothing but its end was heard.
    pub(super) fn tombstone(id: InstanceId) -> Self {
        Self {
            id,
            service: String::new(),
            address: net::SocketAddrV4::new(net::Ipv4Addr::UNSPECIFIED, 0),
            availability_zone: String::new(),
            slots: 0,
            state: State::Gone,
            warming: time::Millis(0),
            remaining: None,
            sequence: u64::MAX,
            models: Vec::new(),
            in_memory: Vec::new(),
            on_disk: Vec::new(),
        }
    }

    /// The model that it holds, if it does.
    #[must_use]
    pub fn resident(&self, model: &str) -> Option<&Resident> {
        self.models.iter().find(|it| it.model == model)
    }

    /// Whether it holds `model`, and `adapter` of it if one is asked for.
    #[must_use]
    pub fn holds(&self, model: &str, adapter: Option<&str>) -> bool {
        let Some(resident) = self.resident(model) else {
            return false;
        };
        adapter.is_none_or(|name| resident.adapters.iter().any(|it| it == name))
    }

    /// Whether it is there, as far as is known.
    #[must_use]
    pub fn is_present(&self) -> bool {
        matches!(self.state, State::Ready | State::Leaving)
    }

    /// Whether it has ended, by its own word or that of a later start.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        matches!(self.state, State::Gone | State::Replaced)
    }

    /// Whether it takes new work.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.state == State::Ready
    }

    /// A number that is equal for words that say the same, but for their count, and hardly ever for others.
    /// Zero for one that is not there.
    pub(super) fn digest(&self) -> u64 {
        if !self.is_present() {
            return 0;
        }
        let models = self.models.iter().map(|it| {
            let adapters = unordered_hash(it.adapters.iter().map(fixed_hash));
            fixed_hash(&(&it.model, it.version, adapters))
        });
        let cached = |list: &[String]| unordered_hash(list.iter().map(fixed_hash));
        fixed_hash(&(
            &self.id,
            (self.address, self.slots, self.state),
            (
                unordered_hash(models),
                cached(&self.in_memory),
                cached(&self.on_disk),
            ),
        ))
    }

    /// Whether two words of one instance differ in more than their number.
    pub(super) fn differs(&self, other: &Self) -> bool {
        let warms = |it: &Self| it.warming > time::Millis(0);
        self.state != other.state
            || self.models != other.models
            || self.address != other.address
            || self.slots != other.slots
            || self.remaining.is_some() != other.remaining.is_some()
            || self.in_memory != other.in_memory
            || self.on_disk != other.on_disk
            || warms(self) != warms(other)
    }
}

/// An instance as one directory passes it to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Its latest word.
    pub instance: Instance,
    /// Counts what the leader did to it that its own word does not show yet.
    pub amended: u64,
    /// Grows when a start is found to live though another of its endpoint seemed to be later.
    pub rank: u32,
    /// How old the word is.
    pub age: time::Millis,
}

impl Record {
    /// The instance's own word, that came just now.
    pub(super) fn announced_now(instance: Instance) -> Self {
        Self {
            instance,
            amended: 0,
            rank: 0,
            age: time::Millis(0),
        }
    }

    /// By which of two records of one instance is newer.
    pub(super) fn version(&self) -> (u64, u64) {
        (self.instance.sequence, self.amended)
    }
}

/// A word of an instance that says nothing new, as one directory passes it to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64, u64)", into = "(u64, u64, u64)")]
pub struct LivenessRefresh {
    /// The instance, by [`InstanceId::short_key`].
    pub key: u64,
    /// The number of its latest announcement.
    pub sequence: u64,
    /// How old that is.
    pub age: time::Millis,
}

impl From<(u64, u64, u64)> for LivenessRefresh {
    fn from((key, sequence, age): (u64, u64, u64)) -> Self {
        let age = time::Millis(age);
        Self { key, sequence, age }
    }
}

impl From<LivenessRefresh> for (u64, u64, u64) {
    fn from(it: LivenessRefresh) -> Self {
        (it.key, it.sequence, it.age.0)
    }
}

/// What an announcement or record was.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The first of its instance.
    New,
    /// It changes what is believed.
    Changed,
    /// It confirms what is believed.
    Confirmed,
    /// It is older than what is known, or of an instance that has ended.
    Stale,
    /// It is of another instance, and as many are known as are kept.
    Full,
}

/// The same for lists that differ in their order only.
fn unordered_hash(hashes: impl Iterator<Item = u64>) -> u64 {
    hashes.fold(0, u64::wrapping_add)
}

/// The same on every process of one build: the standard library's hasher with its fixed keys.
fn fixed_hash<T: hash::Hash>(value: &T) -> u64 {
    let mut hasher = hash::DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
