//! Copies of the records of streams ([`StreamOrigin`]) at control processes.
//!
//! All entry processes may end at once, and with them all records. Control processes outlive them. A record is needed only
//! where more than one software version can have begun a stream, so only the records of such versions are sent: during a
//! release, and after a route has moved. The others follow from what is known of the service
//! ([`stream_origins::sole_version`]).
//!
//! An entry process sends a record before the first event of its stream leaves. When a second version arrives, or a route
//! changes, it sends those of the streams that have begun before.

use std::{collections, net};

use sageshed_types::time;

use crate::{
    config, directory, entry_peers,
    stream_origins::{self, StreamKey, StreamOrigin, StreamOrigins},
};

/// Control processes that are sent a record, so that one has it while two are lost.
pub const HOLDERS: usize = 3;

/// Control processes that are asked for a record: more than have it, since lists of them differ for a moment after one is
/// added or removed.
pub const ASKED: usize = 5;

/// The most records that a control process keeps. Each takes some eighty bytes.
pub const MAX_RECORDS: usize = 1 << 19;

/// The most records in one datagram. Each takes some 50 bytes.
pub const BATCH: usize = 20;

/// The control processes that are sent the record of a stream.
#[must_use]
pub fn holders(stream: StreamKey, control: &[net::Ipv4Addr]) -> Vec<net::Ipv4Addr> {
    entry_peers::ranked(stream.0, control, HOLDERS)
}

/// The control processes that are asked for the record of a stream.
#[must_use]
pub fn asked(stream: StreamKey, control: &[net::Ipv4Addr]) -> Vec<net::Ipv4Addr> {
    entry_peers::ranked(stream.0, control, ASKED)
}

/// The software versions whose streams can't be told from those of another version without a record, by the routes in force
/// and a directory that reaches back for `reaches_back`.
#[must_use]
pub fn contested_versions(
    directory: &directory::Directory,
    reaches_back: time::Millis,
    routes: &[config::Route],
) -> collections::BTreeSet<directory::SoftwareKey> {
    let knowledge = stream_origins::VersionKnowledge {
        reaches_back,
        // With records that are out of date no stream begins at a version that is missing in them.
        age: time::Millis(0),
    };
    let mut sole = collections::HashMap::new();
    let mut contested = collections::BTreeSet::new();
    for route in routes {
        if route.kind != config::RequestKind::ResumableStream {
            continue;
        }
        let lifetime = stream_origins::lifetime(route);
        let is_sole = match route.targets.as_slice() {
            [target] => *sole
                .entry((target.service.as_str(), lifetime))
                .or_insert_with(|| {
                    let service = &target.service;
                    stream_origins::sole_version(directory, knowledge, service, lifetime).is_some()
                }),
            _ => false,
        };
        if !is_sole {
            contested.extend(route.targets.iter().map(|it| it.service.as_str()));
        }
    }
    if contested.is_empty() {
        return collections::BTreeSet::new();
    }
    directory.software_of(&contested)
}

/// The process that has received a record first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// This process, which has passed on the first event of the stream.
    Own,
    /// Another entry process.
    Peer,
}

/// The records at an entry process that were not sent to control processes.
#[derive(Debug, Default)]
pub struct UnsentOrigins {
    by_software: collections::BTreeMap<(directory::SoftwareKey, StreamKey), Source>,
}

impl UnsentOrigins {
    /// Adds a record that was inserted into `origins`.
    pub fn insert(
        &mut self,
        now: time::Instant,
        origin: StreamOrigin,
        source: Source,
        origins: &StreamOrigins,
    ) {
        // Records of versions that are never sent are removed here, once in a while.
        if self.by_software.len() > 2 * origins.len() {
            self.by_software
                .retain(|(_, stream), _| origins.get(now, *stream).is_some());
        }
        self.by_software
            .insert((origin.software, origin.stream), source);
    }

    /// Number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_software.len()
    }

    /// Whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_software.is_empty()
    }

    /// Removes and returns at most `limit` records of the `contested` versions, of those that this process sends: its own,
    /// and those of which it is the first holder among `entries`, since the process that began the stream may have ended.
    pub fn take(
        &mut self,
        now: time::Instant,
        contested: &collections::BTreeSet<directory::SoftwareKey>,
        own: net::Ipv4Addr,
        entries: &[net::Ipv4Addr],
        origins: &StreamOrigins,
        limit: usize,
    ) -> Vec<StreamOrigin> {
        let mut taken = Vec::new();
        for software in contested {
            let all = (*software, StreamKey(0))..=(*software, StreamKey(u64::MAX));
            while taken.len() < limit
                && let Some((key, source)) = self.by_software.range(all.clone()).next()
            {
                let (key, source) = (*key, *source);
                self.by_software.remove(&key);
                let stream = key.1;
                let is_sent_here =
                    source == Source::Own || entry_peers::owner(stream.0, entries) == Some(own);
                taken.extend(origins.record(now, stream).filter(|_| is_sent_here));
            }
        }
        taken
    }
}
