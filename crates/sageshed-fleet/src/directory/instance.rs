//! An endpoint's announcement of itself, and the record in which directories pass it on.

use std::{
    fmt,
    hash::{self, Hasher as _},
    net,
};

use sageshed_types::time;
use serde::{Deserialize, Serialize};

use crate::fingerprint;

/// Identifies one instance of an endpoint: one run of its process.
///
/// An endpoint that crashes may be started again under the same name. It then holds nothing, and earlier requests and
/// orders concern a process that no longer exists, so all that is known of endpoints is kept by name and start time.
/// Ordered by name, then by start time.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct InstanceId {
    /// The name of the endpoint, the same for all its instances.
    pub name: String,
    /// When it was started, in milliseconds of Unix time by its own clock, which may jump. None where the endpoint
    /// doesn't tell; its instances are then identified by the name alone.
    pub born: Option<u64>,
}

impl InstanceId {
    /// The instance of the endpoint `name` that was started at `born`.
    #[must_use]
    pub fn new(name: &str, born: Option<u64>) -> Self {
        let name = name.to_owned();
        Self { name, born }
    }
}

impl InstanceId {
    /// A hash that identifies the instance in messages between processes. It is the same in all their versions.
    #[must_use]
    pub fn short_key(&self) -> u64 {
        let mut hasher = fnv::FnvHasher::default();
        hasher.write(self.name.as_bytes());
        // Separates the fields: no name contains this byte.
        hasher.write(&[0xff]);
        hasher.write(&self.born.unwrap_or(0).to_le_bytes());
        hasher.finish()
    }
}

/// An instance of an endpoint that doesn't tell its start time.
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

/// Identifies a software version of one service: the responses of endpoints with equal keys can be joined.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SoftwareKey(pub u64);

impl SoftwareKey {
    /// The key of `version` of `service`.
    #[must_use]
    pub fn new(service: &str, version: &str) -> Self {
        Self(fingerprint::stable_hash(&[service, version]))
    }
}

/// One instance of an endpoint, as it announces itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Instance {
    /// Its id, never used by another.
    pub id: InstanceId,
    /// The service that it belongs to.
    pub service: String,
    /// The version of its software; none in a record of a process that does not know of versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub software_version: Option<String>,
    /// Where it listens for requests.
    pub address: net::SocketAddrV4,
    /// Its availability zone.
    pub availability_zone: String,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: State,
    /// Remaining time in which it is slow after its start.
    pub warming: time::Millis,
    /// Time until it ends, if it leaves at short notice, as of the announcement.
    pub remaining: Option<time::Millis>,
    /// Number of its announcement, counted from its start.
    pub sequence: u64,
    /// The models in its accelerators' memory.
    pub models: Vec<Resident>,
    /// Models whose weights are cached in its host's memory.
    pub in_memory: Vec<String>,
    /// Models whose weights are cached on its disk.
    pub on_disk: Vec<String>,
}

/// A model in the memory of an engine's accelerators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resident {
    /// The model.
    pub model: String,
    /// The version of its weights.
    pub version: u64,
    /// The adapters loaded for it.
    pub adapters: Vec<String>,
}

/// Whether an instance takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It takes new work.
    Ready,
    /// It is about to stop and takes no new work.
    Leaving,
    /// It has deregistered, or is known to have ended.
    Gone,
    /// It has not announced itself for long. It may be cut off from the control processes; its next announcement
    /// makes it present again.
    Silent,
    /// Another instance of the same endpoint has replaced it.
    Replaced,
}

impl Instance {
    /// An instance of which nothing but its end is known.
    pub(super) fn tombstone(id: InstanceId) -> Self {
        Self {
            id,
            service: String::new(),
            software_version: None,
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

    /// The key of its software version, if that is known.
    #[must_use]
    pub fn software(&self) -> Option<SoftwareKey> {
        let version = self.software_version.as_deref()?;
        Some(SoftwareKey::new(&self.service, version))
    }

    /// The loaded model of this name, if it is loaded.
    #[must_use]
    pub fn resident(&self, model: &str) -> Option<&Resident> {
        self.models.iter().find(|it| it.model == model)
    }

    /// Whether `model` is loaded, and `adapter` of it if one is given.
    #[must_use]
    pub fn holds(&self, model: &str, adapter: Option<&str>) -> bool {
        let Some(resident) = self.resident(model) else {
            return false;
        };
        adapter.is_none_or(|name| resident.adapters.iter().any(|it| it == name))
    }

    /// Whether it is running, as far as is known.
    #[must_use]
    pub fn is_present(&self) -> bool {
        matches!(self.state, State::Ready | State::Leaving)
    }

    /// Whether it has ended, as it has said itself or as a later instance shows.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        matches!(self.state, State::Gone | State::Replaced)
    }

    /// Whether it takes new work.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.state == State::Ready
    }

    /// A hash of its id, address, slots, state, software version, models and cached weights, regardless of the order of
    /// the lists; zero for an instance that isn't present.
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
            &self.software_version,
            (
                unordered_hash(models),
                cached(&self.in_memory),
                cached(&self.on_disk),
            ),
        ))
    }

    /// Whether two announcements of one instance differ in what makes an update.
    pub(super) fn differs(&self, other: &Self) -> bool {
        let warms = |it: &Self| it.warming > time::Millis(0);
        self.state != other.state
            || self.models != other.models
            || self.address != other.address
            || self.software_version != other.software_version
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
    /// Its newest announcement, with amendments.
    pub instance: Instance,
    /// Number of amendments, such as those by which the leader shows the effect of its orders.
    pub amended: u64,
    /// Raised when the instance is found to be running though another one of its endpoint seemed to be later; see
    /// `succession`.
    pub rank: u32,
    /// Age of the announcement.
    pub age: time::Millis,
}

impl Record {
    /// The record of an announcement that was received just now.
    pub(super) fn announced_now(instance: Instance) -> Self {
        Self {
            instance,
            amended: 0,
            rank: 0,
            age: time::Millis(0),
        }
    }

    /// The version of the record: of two records of one instance the one with the higher version is newer.
    pub(super) fn version(&self) -> (u64, u64) {
        (self.instance.sequence, self.amended)
    }
}

/// An announcement that brings no update, as one directory passes it to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64, u64)", into = "(u64, u64, u64)")]
pub struct LivenessRefresh {
    /// The instance, by [`InstanceId::short_key`].
    pub key: u64,
    /// The sequence number of its newest announcement.
    pub sequence: u64,
    /// Age of that announcement.
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

/// Outcome of an announcement or of the merge of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MergeOutcome {
    /// It is the first one of its instance.
    New,
    /// It changes what is known of the instance.
    Changed,
    /// It confirms what is known.
    Confirmed,
    /// It is older than what is known, or its instance has ended.
    Stale,
    /// It is the first one of its instance, and [`super::MAX_INSTANCES`] are already known.
    Full,
}

/// Combines hashes regardless of their order.
fn unordered_hash(hashes: impl Iterator<Item = u64>) -> u64 {
    hashes.fold(0, u64::wrapping_add)
}

/// A hash that is the same in all processes of one build: the standard library's hasher with its fixed keys.
fn fixed_hash<T: hash::Hash>(value: &T) -> u64 {
    let mut hasher = hash::DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
