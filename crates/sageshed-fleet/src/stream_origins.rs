//! Which software version began each stream that callers may still take up.
//!
//! A caller whose stream has broken off takes it up at any entry process, also after the one that began it has ended, and
//! names the request whose response brought its first event. What two versions write can't be joined, and responses are
//! passed on byte for byte, so the version can't be sent to the caller and back. Instead, the entry process that passes
//! on the first event of a stream sends a record ([`StreamOrigin`]) to others before it does so: to all of up to
//! [`entry_peers::MAX_BROADCAST_ENTRIES`], and among more to the [`HOLDERS`] with the highest hash of the stream and the
//! entry process. A process without a record of a stream asks those that should have it.
//!
//! All entry processes may end at once. Control processes keep copies of the records that are needed then
//! ([`origin_backup`](crate::origin_backup)).
//!
//! A stream without a record may be resumed only if no other version can have begun it ([`sole_version`]), and if most control
//! processes reply that they have no record ([`Lookup`]): a process that is cut off may not know of a version that has joined
//! since, nor of the streams that it has begun.

use std::{collections, net};

use sageshed_types::time;
use serde::{Deserialize, Serialize};

use crate::{config, directory, entry_peers, fingerprint};

/// Entry processes that are sent a record, so that one has it while the process that begins the stream and two others are
/// lost.
pub const HOLDERS: usize = 3;

/// Entry processes that are asked for a record: more than have it, since lists of entry processes differ for a moment
/// after one is added or removed.
pub const ASKED: usize = 5;

/// The most records that are kept. Each takes some eighty bytes, and at the largest intended load a process holds some
/// six hundred for each second that streams last.
pub const MAX_RECORDS: usize = 1 << 17;

/// A caller takes a stream up within its own deadline, which is unknown here where its later requests name what is left,
/// and is a small multiple of the time of the route.
const LIFETIMES_KEPT: u64 = 2;

/// Added to the time of a route for how long one of its streams lasts: the caller comes back after it has broken off.
const TAKE_UP_MARGIN: time::Millis = time::Millis(5_000);

/// The longest time for which a record is kept.
const MAX_LIFETIME: time::Millis = time::Millis(600_000);

/// Identifies a stream: a hash of the id of the request whose response brought its first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StreamKey(pub u64);

impl StreamKey {
    /// The stream that began with the request `id`.
    #[must_use]
    pub fn new(id: &str) -> Self {
        Self(fingerprint::stable_hash(&[id]))
    }
}

/// A record of a stream that has begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The stream.
    pub stream: StreamKey,
    /// The version of the endpoint that sent its first event.
    pub software: directory::SoftwareKey,
    /// How long its caller may take it up.
    pub lifetime: time::Millis,
}

/// Asks for the record of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginQuery {
    /// Identifies the query in its replies.
    pub id: u64,
    /// The stream.
    pub stream: StreamKey,
}

/// Reply to an [`OriginQuery`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginReply {
    /// Id of the query.
    pub id: u64,
    /// The version that began the stream, if the replying process has a record.
    pub software: Option<directory::SoftwareKey>,
}

/// How long a stream of `route` may last before its caller takes it up.
#[must_use]
pub fn lifetime(route: &config::Route) -> time::Millis {
    route.timeout + TAKE_UP_MARGIN
}

/// How long the record of a stream of `route` is kept.
#[must_use]
pub fn record_lifetime(route: &config::Route) -> time::Millis {
    time::Millis(route.timeout.0 * LIFETIMES_KEPT) + TAKE_UP_MARGIN
}

#[derive(Debug, Clone, Copy)]
struct Held {
    software: directory::SoftwareKey,
    until: time::Instant,
}

/// The records that one process holds.
#[derive(Debug)]
pub struct StreamOrigins {
    by_stream: collections::HashMap<StreamKey, Held>,
    by_expiry: collections::BTreeSet<(time::Instant, StreamKey)>,
    most: usize,
    dropped: u64,
}

impl Default for StreamOrigins {
    fn default() -> Self {
        Self::with_limit(MAX_RECORDS)
    }
}

impl StreamOrigins {
    /// Holds no records yet, and never more than `most`.
    #[must_use]
    pub fn with_limit(most: usize) -> Self {
        Self {
            by_stream: collections::HashMap::new(),
            by_expiry: collections::BTreeSet::new(),
            most,
            dropped: 0,
        }
    }

    /// Adds a record, or replaces the one of the same stream. Drops the record that ends first if there are too many.
    pub fn insert(&mut self, now: time::Instant, origin: StreamOrigin) {
        self.expire(now);
        let held = Held {
            software: origin.software,
            until: now + origin.lifetime.min(MAX_LIFETIME),
        };
        if let Some(before) = self.by_stream.insert(origin.stream, held) {
            self.by_expiry.remove(&(before.until, origin.stream));
        }
        self.by_expiry.insert((held.until, origin.stream));
        if self.by_stream.len() > self.most
            && let Some((_, stream)) = self.by_expiry.pop_first()
        {
            self.by_stream.remove(&stream);
            self.dropped += 1;
        }
    }

    /// The record of a stream, with the lifetime that is left.
    #[must_use]
    pub fn record(&self, now: time::Instant, stream: StreamKey) -> Option<StreamOrigin> {
        let held = self.by_stream.get(&stream)?;
        (now < held.until).then(|| StreamOrigin {
            stream,
            software: held.software,
            lifetime: held.until.since(now),
        })
    }

    /// The version that began a stream, if there is a record of it.
    #[must_use]
    pub fn get(&self, now: time::Instant, stream: StreamKey) -> Option<directory::SoftwareKey> {
        self.record(now, stream).map(|it| it.software)
    }

    /// Number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_stream.len()
    }

    /// Whether there are no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_stream.is_empty()
    }

    /// Number of records that were dropped before their time.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    fn expire(&mut self, now: time::Instant) {
        while let Some((until, stream)) = self.by_expiry.first().copied()
            && until <= now
        {
            self.by_expiry.pop_first();
            self.by_stream.remove(&stream);
        }
    }
}

/// The entry processes other than `own` that are sent the record of a stream.
#[must_use]
pub fn holders(
    stream: StreamKey,
    own: net::Ipv4Addr,
    entries: &[net::Ipv4Addr],
) -> Vec<net::Ipv4Addr> {
    others(stream, own, entries, HOLDERS)
}

/// The entry processes other than `own` that are asked for the record of a stream.
#[must_use]
pub fn asked(
    stream: StreamKey,
    own: net::Ipv4Addr,
    entries: &[net::Ipv4Addr],
) -> Vec<net::Ipv4Addr> {
    others(stream, own, entries, ASKED)
}

/// All others where there are few entry processes, and otherwise the first `count` of them by hash. The hash is that of
/// all entry processes, so that all agree on it.
fn others(
    stream: StreamKey,
    own: net::Ipv4Addr,
    entries: &[net::Ipv4Addr],
    count: usize,
) -> Vec<net::Ipv4Addr> {
    let chosen = if entry_peers::uses_coordinators(entries) {
        entry_peers::ranked(stream.0, entries, count)
    } else {
        entries.to_vec()
    };
    chosen.into_iter().filter(|it| *it != own).collect()
}

/// What a process that asked others for the record of a stream has learnt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lookup {
    /// This version began it.
    Found(directory::SoftwareKey),
    /// Nobody has a record.
    Absent,
    /// Too few replied to know.
    Unconfirmed,
}

impl Lookup {
    /// What follows where nobody who replied has a record: `replied` of the `asked` control processes.
    #[must_use]
    pub fn without_record(asked: usize, replied: usize) -> Self {
        if replied * 2 > asked {
            Self::Absent
        } else {
            Self::Unconfirmed
        }
    }
}

/// What a process knows of the versions of a service's endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionKnowledge {
    /// For how long back the directory has all endpoints, including those that have ended.
    pub reaches_back: time::Millis,
    /// How old the newest information may be.
    pub age: time::Millis,
}

/// The oldest information by which another version is ruled out: an endpoint that announces itself is known to all entry
/// processes within a part of this.
const MAX_AGE: time::Millis = time::Millis(2_000);

/// The version that must have begun a stream of `service` that lasts no longer than `lifetime`, if there was only one
/// in that time as far as `directory` tells.
#[must_use]
pub fn sole_version(
    directory: &directory::Directory,
    knowledge: VersionKnowledge,
    service: &str,
    lifetime: time::Millis,
) -> Option<directory::SoftwareKey> {
    let is_covered = knowledge.age <= MAX_AGE
        && knowledge.reaches_back >= lifetime
        && lifetime <= directory::ENDED_RETENTION;
    if !is_covered {
        return None;
    }
    directory.sole_version(service)
}
