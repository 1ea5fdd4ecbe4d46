//! Transfer of a configuration from a control process to an entry process, in chunks that are fetched one by one.
//!
//! A configuration may take longer on the link of an entry process's VM than any call may last, and callers' requests
//! share that link. So one chunk at a time is in flight. A call that times out costs only its chunk: the received
//! ones are kept, and any control process that makes the same bytes can send the rest. The sender keeps payloads that
//! are being fetched while newer versions arrive; otherwise frequent changes would restart each transfer.

use std::{collections, net, sync};

use derive_more::{Display, Error};
use sageshed_types::time;
use serde::{Deserialize, Serialize};
use sha2::Digest as _;

use crate::versions;

/// Maximum size of a chunk. On a link of 10 Mbit/s it takes 13 ms, by which callers' requests are delayed.
pub const CHUNK_BYTES: usize = 16 * 1024;

/// Minimum size of a chunk on a slow link. With smaller chunks the configuration would arrive too late.
const SLOW_LINK_CHUNK_BYTES: usize = 4 * 1024;

/// Minimum size of a chunk after calls that timed out.
const MIN_CHUNK_BYTES: usize = 1_024;

/// Time of a chunk above which the next ones are smaller. Updates of endpoints queue behind chunks, and are given up
/// after twice this time.
const SLOW_CHUNK: time::Millis = time::Millis(200);

/// Maximum size of a transfer.
const MAX_BYTES: u64 = 64 * 1024 * 1024;

/// Maximum number of payloads that a sender keeps.
const MAX_PAYLOADS: usize = 8;

/// How long a payload is kept after it was last asked for.
const PAYLOAD_RETENTION: time::Millis = time::Millis(5_000);

/// Identifies a transfer. Equal for equal bytes, whichever process sends them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferId {
    /// The version whose text the receiver holds; zero for none.
    pub from: u64,
    /// The version that is transferred.
    pub version: u64,
    /// Total number of bytes.
    pub length: u64,
    /// The first eight bytes of the SHA-256 of all bytes.
    pub check: u64,
}

impl TransferId {
    /// The id of the transfer of `bytes`.
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

/// A chunk of a transfer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The transfer.
    pub id: TransferId,
    /// Number of bytes of the transfer before this chunk.
    pub offset: u64,
    /// The bytes.
    #[serde(with = "serde_bytes")]
    pub bytes: Vec<u8>,
}

/// The bytes of a transfer, or those received of it so far.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Payload {
    /// The transfer.
    pub id: TransferId,
    /// The bytes.
    pub bytes: Vec<u8>,
}

/// The payloads that a control process keeps for the receivers that fetch them.
#[derive(Debug, Default)]
pub struct Sender {
    /// The payloads, the most recently requested last.
    kept: Vec<Kept>,
}

#[derive(Debug)]
struct Kept {
    id: TransferId,
    bytes: sync::Arc<[u8]>,
    last_requested: time::Instant,
}

impl Sender {
    /// Keeps a payload, and removes old ones.
    pub fn keep(&mut self, now: time::Instant, id: TransferId, bytes: Vec<u8>) {
        self.kept
            .retain(|it| now.since(it.last_requested) < PAYLOAD_RETENTION);
        if self.kept.len() >= MAX_PAYLOADS {
            self.kept.remove(0);
        }
        let bytes = bytes.into();
        self.kept.push(Kept {
            id,
            bytes,
            last_requested: now,
        });
    }

    /// The transfer of `version` to a receiver that holds `from`, if its payload is kept.
    #[must_use]
    pub fn find(&self, from: u64, version: u64) -> Option<TransferId> {
        let mut ids = self.kept.iter().map(|it| it.id);
        ids.find(|it| it.from == from && it.version == version)
    }

    /// At most `most` bytes of a transfer from `offset` on; none where its payload is not kept or ends before.
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
        kept.last_requested = now;
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

/// The next step of a receiver.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Ask for a chunk.
    Ask {
        /// The control process to ask.
        to: net::Ipv4Addr,
        /// The transfer in progress.
        transfer: Option<TransferId>,
        /// Number of its bytes already received.
        offset: u64,
        /// Maximum number of bytes of the chunk.
        most: usize,
    },
    /// Wait until a control process announces a newer version.
    Wait,
}

/// Outcome of a chunk that was received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChunkOutcome {
    /// More chunks are to be fetched.
    More,
    /// It was the last one of this payload.
    Whole(Payload),
}

/// Why a chunk is rejected. What was received of its transfer is discarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum ChunkError {
    /// It doesn't follow the bytes received so far, or is empty.
    #[display("chunk does not follow the bytes received so far")]
    Gap,
    /// The transfer is larger than any configuration may be.
    #[display("transfer of {_0} bytes is too large")]
    TooLarge(#[error(not(source))] u64),
    /// The bytes don't match the checksum in the id.
    #[display("checksum of the transfer does not match")]
    Spoiled,
}

/// Fetches the newest configuration that any control process announces.
#[derive(Debug)]
pub struct Receiver {
    /// The newest version that each control process has announced, without those that failed to send it.
    announced: collections::BTreeMap<net::Ipv4Addr, u64>,
    versions: versions::VersionHistory,
    partial: Option<Payload>,
    /// Maximum size of the next chunk.
    chunk_bytes: usize,
}

impl Default for Receiver {
    fn default() -> Self {
        Self {
            announced: collections::BTreeMap::new(),
            versions: versions::VersionHistory::default(),
            partial: None,
            chunk_bytes: CHUNK_BYTES,
        }
    }
}

impl Receiver {
    /// Notes that a control process holds `version`. Returns whether that is the newest so far.
    pub fn note_version(&mut self, now: time::Instant, by: net::Ipv4Addr, version: u64) -> bool {
        let is_newest = version > self.newest();
        self.versions.note(now, version);
        if version > 0 {
            self.announced.insert(by, version);
        }
        is_newest
    }

    /// The newest version that any control process has announced; zero if none has.
    #[must_use]
    pub fn newest(&self) -> u64 {
        self.announced.values().copied().max().unwrap_or(0)
    }

    /// For how long a newer version than `held` has been known; none if `held` is the newest.
    #[must_use]
    pub fn behind(&self, now: time::Instant, held: u64) -> Option<time::Millis> {
        self.versions.behind(now, held)
    }

    /// The next step of a receiver that holds version `held`. Of control processes with the newest version it prefers
    /// `near`.
    pub fn next(&mut self, held: u64, near: Option<net::Ipv4Addr>) -> NextStep {
        if self
            .partial
            .as_ref()
            .is_some_and(|it| it.id.version <= held)
        {
            self.partial = None;
        }
        let newer = self
            .announced
            .iter()
            .filter(|(_, version)| **version > held);
        let best = newer.max_by_key(|(ip, version)| (**version, Some(**ip) == near));
        let Some((to, _)) = best else {
            return NextStep::Wait;
        };
        let partial = self.partial.as_ref();
        NextStep::Ask {
            to: *to,
            transfer: partial.map(|it| it.id),
            offset: partial.map_or(0, |it| it.bytes.len() as u64),
            most: self.chunk_bytes,
        }
    }

    /// Takes a chunk that was received after `took`, and adapts the size of the next ones.
    ///
    /// A chunk of another transfer than the one in progress replaces it: its sender no longer has the payload that
    /// was being fetched.
    pub fn take(&mut self, chunk: &Chunk, took: time::Millis) -> Result<ChunkOutcome, ChunkError> {
        self.chunk_bytes = if took > SLOW_CHUNK {
            (self.chunk_bytes / 2).max(SLOW_LINK_CHUNK_BYTES.min(self.chunk_bytes))
        } else if took.0 < SLOW_CHUNK.0 / 2 {
            (self.chunk_bytes * 2).min(CHUNK_BYTES)
        } else {
            self.chunk_bytes
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

    /// Notes that a control process has nothing newer, though it has announced a version: it was restarted. It is not
    /// asked again until it announces a version.
    pub fn has_nothing_newer(&mut self, ip: net::Ipv4Addr) {
        self.announced.remove(&ip);
    }

    /// Notes that a control process did not respond in time, or sent an invalid response. It is not asked again until
    /// it announces a version. The received chunks are kept, and the next ones are smaller.
    pub fn mark_failed(&mut self, ip: net::Ipv4Addr) {
        self.announced.remove(&ip);
        self.chunk_bytes = (self.chunk_bytes / 2).max(MIN_CHUNK_BYTES);
    }
}

/// The first eight bytes of the SHA-256 of `bytes`.
fn check(bytes: &[u8]) -> u64 {
    let digest = sha2::Sha256::digest(bytes);
    u64::from_le_bytes(std::array::from_fn(|at| digest[at]))
}
