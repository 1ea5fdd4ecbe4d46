//! How a configuration gets from a control process to an entry process: in chunks, each by a call of its own.
//!
//! A configuration may take longer on the link of an entry process's VM than any call may last, and callers'
//! requests share that link. So one chunk at a time is on its way. A call that runs out of time costs its chunk;
//! what came before stays, and any control process that makes the same bytes can send the rest. The sender keeps
//! what is being fetched while newer versions come, or a storm of changes would begin each transfer anew.

use std::{collections, net, sync};

use derive_more::{Display, Error};
use sageshed_types::time;
use serde::{Deserialize, Serialize};
use sha2::Digest as _;

use crate::versions;

/// Bytes of a chunk at the most: 13 ms on a link of 10 Mbit/s, by which callers' requests are delayed.
pub const CHUNK_BYTES: usize = 16 * 1024;

/// Bytes of a chunk on a slow link. With fewer the configuration would come too late.
const SLOW_LINK_CHUNK_BYTES: usize = 4 * 1024;

/// Bytes of a chunk where no larger one came within the time of a call.
const SMALLEST_CHUNK_BYTES: usize = 1_024;

/// Chunks that take longer become smaller: news of endpoints queues behind them, and is given up after twice as long.
const SLOW: time::Millis = time::Millis(200);

/// Bytes of a transfer at the most.
const MAX_BYTES: u64 = 64 * 1024 * 1024;

/// Payloads that a sender keeps.
const KEPT: usize = 8;

/// How long a payload is kept that nobody asks for.
const KEPT_FOR: time::Millis = time::Millis(5_000);

/// Tells one transfer from others. Equal for equal bytes, whoever sends them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferId {
    /// The version whose text the receiver holds; zero for none.
    pub from: u64,
    /// The version that is transferred.
    pub version: u64,
    /// Bytes in all.
    pub length: u64,
    /// The beginning of the SHA-256 of all bytes.
    pub check: u64,
}

impl TransferId {
    /// Of the transfer of `bytes`.
    #[must_use]
    pub fn new(from: u64, version: u64, bytes: &[u8]) -> Self {
        Self {
            from,
            version,
            length: bytes.len() as u64,
            check: check(bytes),
        }
    }
}

/// Some of the bytes of a transfer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Of which transfer.
    pub id: TransferId,
    /// Bytes that come before these.
    pub offset: u64,
    /// The bytes.
    #[serde(with = "serde_bytes")]
    pub bytes: Vec<u8>,
}

/// All bytes of a transfer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Payload {
    /// Of which transfer.
    pub id: TransferId,
    /// The bytes.
    pub bytes: Vec<u8>,
}

/// The payloads that a sender keeps for those that fetch them.
#[derive(Debug, Default)]
pub struct Sender {
    /// In the order in which they were asked for last.
    kept: Vec<Kept>,
}

#[derive(Debug)]
struct Kept {
    id: TransferId,
    bytes: sync::Arc<[u8]>,
    asked: time::Instant,
}

impl Sender {
    /// Keeps a payload.
    pub fn keep(&mut self, now: time::Instant, id: TransferId, bytes: Vec<u8>) {
        self.kept.retain(|it| now.since(it.asked) < KEPT_FOR);
        if self.kept.len() >= KEPT {
            self.kept.remove(0);
        }
        let bytes = bytes.into();
        self.kept.push(Kept {
            id,
            bytes,
            asked: now,
        });
    }

    /// The transfer from one version to another, if its payload is kept.
    #[must_use]
    pub fn find(&self, from: u64, version: u64) -> Option<TransferId> {
        let mut ids = self.kept.iter().map(|it| it.id);
        ids.find(|it| it.from == from && it.version == version)
    }

    /// At most `most` bytes of a transfer from `offset` on. None where its payload is not kept, or ends before.
    pub fn chunk(
        &mut self,
        now: time::Instant,
        id: TransferId,
        offset: u64,
        most: usize,
    ) -> Option<Chunk> {
        let at = self.kept.iter().position(|it| it.id == id)?;
        self.kept[at..].rotate_left(1);
        let kept = self.kept.last_mut()?;
        kept.asked = now;
        let begin = usize::try_from(offset).ok()?;
        let rest = kept.bytes.get(begin..).filter(|it| !it.is_empty())?;
        let bytes = &rest[..rest.len().min(most)];
        Some(Chunk {
            id,
            offset,
            bytes: bytes.to_vec(),
        })
    }
}

/// What a receiver is to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Ask for a chunk.
    Ask {
        /// Whom.
        to: net::Ipv4Addr,
        /// The transfer that is under way.
        transfer: Option<TransferId>,
        /// Bytes of it that have come.
        offset: u64,
        /// Bytes of the chunk at the most.
        most: usize,
    },
    /// Wait until a control process tells of a newer version.
    Wait,
}

/// What became of a chunk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChunkOutcome {
    /// There is more to fetch.
    More,
    /// It was the last one.
    Whole(Payload),
}

/// A chunk that is not of the transfer that it was asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum ChunkError {
    /// It does not continue what has come.
    #[display("chunk does not continue what has come")]
    Gap,
    /// The transfer is larger than any configuration.
    #[display("transfer of {_0} bytes is too large")]
    TooLarge(#[error(not(source))] u64),
    /// The bytes are not those that were announced.
    #[display("checksum of the transfer does not match")]
    Spoiled,
}

/// Fetches the newest configuration that any control process tells of.
#[derive(Debug)]
pub struct Receiver {
    /// The newest version that each control process has told of, but for those that did not send it.
    told: collections::BTreeMap<net::Ipv4Addr, u64>,
    versions: versions::VersionHistory,
    partial: Option<Payload>,
    most: usize,
}

impl Default for Receiver {
    fn default() -> Self {
        Self {
            told: collections::BTreeMap::new(),
            versions: versions::VersionHistory::default(),
            partial: None,
            most: CHUNK_BYTES,
        }
    }
}

impl Receiver {
    /// A control process tells that it holds `version`. Returns whether that is the newest so far.
    pub fn note_version(&mut self, now: time::Instant, by: net::Ipv4Addr, version: u64) -> bool {
        let is_news = version > self.newest();
        self.versions.note(now, version);
        if version > 0 {
            self.told.insert(by, version);
        }
        is_news
    }

    /// The newest version that any control process has told of; zero if none has.
    #[must_use]
    pub fn newest(&self) -> u64 {
        self.told.values().copied().max().unwrap_or(0)
    }

    /// For how long a newer version than `held` has been known; none if `held` is the newest.
    #[must_use]
    pub fn behind(&self, now: time::Instant, held: u64) -> Option<time::Millis> {
        self.versions.behind(now, held)
    }

    /// Whom to ask for what, where version `held` is there already and `near` is the best reached.
    pub fn next(&mut self, held: u64, near: Option<net::Ipv4Addr>) -> NextStep {
        if self
            .partial
            .as_ref()
            .is_some_and(|it| it.id.version <= held)
        {
            self.partial = None;
        }
        let newer = self.told.iter().filter(|(_, version)| **version > held);
        let best = newer.max_by_key(|(ip, version)| (**version, Some(**ip) == near));
        let Some((to, _)) = best else {
            return NextStep::Wait;
        };
        let partial = self.partial.as_ref();
        NextStep::Ask {
            to: *to,
            transfer: partial.map(|it| it.id),
            offset: partial.map_or(0, |it| it.bytes.len() as u64),
            most: self.most,
        }
    }

    /// A control process has answered with a chunk after so long.
    ///
    /// Another transfer than the one under way begins anew: its sender no longer has what was being fetched.
    pub fn take(&mut self, chunk: &Chunk, took: time::Millis) -> Result<ChunkOutcome, ChunkError> {
        self.most = if took > SLOW {
            (self.most / 2).max(SLOW_LINK_CHUNK_BYTES.min(self.most))
        } else if took.0 < SLOW.0 / 2 {
            (self.most * 2).min(CHUNK_BYTES)
        } else {
            self.most
        };
        let mut partial = match self.partial.take() {
            Some(partial) if partial.id == chunk.id => partial,
            _ => Payload {
                id: chunk.id,
                bytes: Vec::new(),
            },
        };
        if chunk.id.length > MAX_BYTES {
            return Err(ChunkError::TooLarge(chunk.id.length));
        }
        if chunk.offset != partial.bytes.len() as u64 || chunk.bytes.is_empty() {
            return Err(ChunkError::Gap);
        }
        partial.bytes.extend_from_slice(&chunk.bytes);
        if (partial.bytes.len() as u64) < chunk.id.length {
            self.partial = Some(partial);
            return Ok(ChunkOutcome::More);
        }
        if check(&partial.bytes) != chunk.id.check {
            return Err(ChunkError::Spoiled);
        }
        Ok(ChunkOutcome::Whole(partial))
    }

    /// A control process has nothing newer, though it told so: it was started anew.
    pub fn has_nothing_newer(&mut self, ip: net::Ipv4Addr) {
        self.told.remove(&ip);
    }

    /// A control process did not answer in time, or not as it should: it is asked no more until it tells of a version
    /// again. What has come stays, and smaller chunks are asked for.
    pub fn mark_failed(&mut self, ip: net::Ipv4Addr) {
        self.told.remove(&ip);
        self.most = (self.most / 2).max(SMALLEST_CHUNK_BYTES);
    }
}

fn check(bytes: &[u8]) -> u64 {
    let digest = sha2::Sha256::digest(bytes);
    u64::from_le_bytes(std::array::from_fn(|at| digest[at]))
}
