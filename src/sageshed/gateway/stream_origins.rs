//! Records which software version began a stream at other entry processes, and finds it for a caller that takes the stream
//! up.

use std::{collections, io, net, sync, thread, time as std_time};

use sageshed_fleet::{
    chooser, config, dialect, directory, entry_peers as wire, origin_backup, routes,
    stream_origins::{self, Lookup, StreamKey},
};
use sageshed_types::time;

use super::state::Shared;

/// The interval between two checks for records that control processes need.
const BACKUP_INTERVAL: std_time::Duration = std_time::Duration::from_millis(50);

/// The most records that are sent to control processes in that interval.
const MAX_SENT: usize = 100;

/// The versions whose records are sent are determined anew after this time also if nothing has changed: endpoints that ended
/// long ago are forgotten.
const CHECK_INTERVAL: time::Millis = time::Millis(2_000);

/// How a request continues a stream that has begun.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Resumption {
    /// The stream; none if its events can't be taken up by a caller, or it has no id.
    pub(super) stream: Option<StreamKey>,
    /// The version that began it.
    pub(super) began: chooser::BeganAt,
}

/// Whether a request takes up a stream that began with an earlier request, and at which version that was.
pub(super) fn find<D: dialect::Dialect>(
    shared: &Shared<D>,
    metadata: &dialect::RequestMetadata,
    route: &config::Route,
) -> Resumption {
    if route.kind != config::RequestKind::ResumableStream {
        return Resumption::default();
    }
    let key = |id: &Option<String>| id.as_deref().map(StreamKey::new);
    let resumed = key(&metadata.resumes);
    let stream = resumed.or_else(|| key(&metadata.id));
    let lookup = match (resumed, &metadata.resume_after) {
        (None, None) => Lookup::Absent,
        // Nobody has a record of a stream that is not named, but whether they reply counts.
        _ => find_record(shared, stream.unwrap_or(StreamKey::new(""))),
    };
    let began = match (lookup, &metadata.resume_after) {
        (Lookup::Found(software), _) => chooser::BeganAt::Version(software),
        (Lookup::Absent, Some(_)) => chooser::BeganAt::of(sole_version(shared, route)),
        (Lookup::Unconfirmed, Some(_)) => chooser::BeganAt::Unknown,
        // Its caller has no whole event, so nothing is joined: it begins anew, as a stream of its own.
        (_, None) => {
            return Resumption {
                stream: key(&metadata.id),
                began: chooser::BeganAt::NotBegun,
            };
        }
    };
    Resumption { stream, began }
}

/// Looks a record up here, and at the other processes that should have it.
fn find_record<D: dialect::Dialect>(shared: &Shared<D>, stream: StreamKey) -> Lookup {
    let own = shared.settings.discovery.ip;
    let now = shared.clock.now();
    if let Some(software) = shared.with_core(|core| core.origins.get(now, stream)) {
        return Lookup::Found(software);
    }
    let Some(peers) = &shared.entry_peers else {
        return Lookup::Unconfirmed;
    };
    let (entries, control) = shared.with_core(|core| {
        let entries = stream_origins::asked(stream, own, &core.entries);
        (entries, origin_backup::asked(stream, &core.control))
    });
    let asked = [entries, control.clone()].concat();
    match peers.query_origin(shared.clock.now(), stream, asked) {
        Ok(software) => Lookup::Found(software),
        Err(silent) => {
            let replied = control.iter().filter(|it| !silent.contains(it));
            Lookup::without_record(control.len(), replied.count())
        }
    }
}

/// The only version that can have begun a stream of this route, if there was only one.
fn sole_version<D: dialect::Dialect>(
    shared: &Shared<D>,
    route: &config::Route,
) -> Option<directory::SoftwareKey> {
    let [target] = route.targets.as_slice() else {
        return None;
    };
    let now = shared.clock.now();
    let lifetime = stream_origins::lifetime(route);
    let version = shared.version();
    shared.with_core(|core| {
        // Whether the route has led elsewhere before is not known yet.
        if core.routes_compared < version {
            return None;
        }
        let knowledge = stream_origins::VersionKnowledge {
            reaches_back: core.directory.reaches_back(now),
            age: core.records_age.age(now),
        };
        stream_origins::sole_version(&core.directory, knowledge, &target.service, lifetime)
    })
}

/// The service that a request of `route` goes to: the one that began its stream, or one by the weights of the route.
pub(super) fn pick_service<'r, D: dialect::Dialect>(
    shared: &Shared<D>,
    route: &'r config::Route,
    began: chooser::BeganAt,
) -> &'r str {
    shared.with_core(|core| {
        let mut targets = route.targets.iter();
        let began_there = began
            .version()
            .and_then(|version| targets.find(|it| core.chooser.has_version(&it.service, version)));
        let draw = core.chooser.draw();
        let target = began_there.or_else(|| routes::pick(&route.targets, draw));
        target.map_or("", |it| it.service.as_str())
    })
}

/// Records here and at other processes that `software` begins a stream of `route`, or goes on with it.
pub(super) fn record<D: dialect::Dialect>(
    shared: &Shared<D>,
    stream: StreamKey,
    software: directory::SoftwareKey,
    route: &config::Route,
) {
    let origin = stream_origins::StreamOrigin {
        stream,
        software,
        lifetime: stream_origins::record_lifetime(route),
    };
    let own = shared.settings.discovery.ip;
    let now = shared.clock.now();
    let holders = shared.with_core(|core| {
        core.origins.insert(now, origin);
        let mut holders = stream_origins::holders(stream, own, &core.entries);
        if core.contested.contains(&software) {
            holders.extend(origin_backup::holders(stream, &core.control));
        } else {
            let source = origin_backup::Source::Own;
            core.unsent_origins
                .insert(now, origin, source, &core.origins);
        }
        holders
    });
    if let Some(peers) = &shared.entry_peers {
        peers.send(&wire::Datagram::StreamOrigin(origin), &holders);
    }
}

impl<D: dialect::Dialect> Shared<D> {
    /// Adds the record of a stream that began at another entry process.
    pub(super) fn insert_origin(&self, origin: stream_origins::StreamOrigin) {
        let now = self.clock.now();
        let source = origin_backup::Source::Peer;
        self.with_core(|core| {
            core.origins.insert(now, origin);
            // The process that sends a record of a contested version here sends it to control processes as well.
            if !core.contested.contains(&origin.software) {
                core.unsent_origins
                    .insert(now, origin, source, &core.origins);
            }
        });
    }
}

/// Starts the thread that sends records to control processes.
pub(super) fn start<D: dialect::Dialect>(shared: &sync::Arc<Shared<D>>) -> io::Result<()> {
    let shared = sync::Arc::clone(shared);
    let thread = thread::Builder::new().name("origin-backup".to_owned());
    thread.spawn(move || run(&shared))?;
    Ok(())
}

fn run<D: dialect::Dialect>(shared: &Shared<D>) {
    let mut determined = Determined::default();
    loop {
        thread::sleep(BACKUP_INTERVAL);
        determined.update(shared);
        send_unsent(shared);
    }
}

/// By what the contested versions were determined last.
#[derive(Debug, Default)]
struct Determined {
    at: time::Instant,
    directory: directory::Cursor,
    config: u64,
    reaches_back: time::Millis,
}

impl Determined {
    /// Determines the contested versions anew if something has changed.
    fn update<D: dialect::Dialect>(&mut self, shared: &Shared<D>) {
        let Some(routing) = shared.routing() else {
            return;
        };
        let now = shared.clock.now();
        shared.with_core(|core| {
            let next = Self {
                at: now,
                directory: core.directory.update_cursor(),
                config: routing.config.version,
                reaches_back: core.directory.reaches_back(now),
            };
            let is_changed = next.directory != self.directory
                || next.config != self.config
                || next.reaches_back != self.reaches_back
                || now.since(self.at) >= CHECK_INTERVAL;
            if is_changed {
                core.directory.forget_ended(now);
                core.contested = origin_backup::contested_versions(
                    &core.directory,
                    next.reaches_back,
                    &routing.config.routes,
                );
                *self = next;
            }
        });
    }
}

fn send_unsent<D: dialect::Dialect>(shared: &Shared<D>) {
    let Some(peers) = &shared.entry_peers else {
        return;
    };
    let own = shared.settings.discovery.ip;
    let now = shared.clock.now();
    let (origins, control) = shared.with_core(|core| {
        let (unsent, contested) = (&mut core.unsent_origins, &core.contested);
        let taken = unsent.take(now, contested, own, &core.entries, &core.origins, MAX_SENT);
        (taken, core.control.clone())
    });
    let mut by_holder = collections::BTreeMap::<net::Ipv4Addr, Vec<_>>::new();
    for origin in origins {
        for holder in origin_backup::holders(origin.stream, &control) {
            by_holder.entry(holder).or_default().push(origin);
        }
    }
    for (holder, origins) in by_holder {
        for batch in origins.chunks(origin_backup::BATCH) {
            peers.send(&wire::Datagram::StreamOrigins(batch.to_vec()), &[holder]);
        }
    }
}
