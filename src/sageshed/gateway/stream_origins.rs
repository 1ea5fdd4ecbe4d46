//! Records which software version began a stream at other entry processes, and finds it for a caller that takes the stream
//! up.

use sageshed_fleet::{
    chooser, config, dialect, directory, entry_peers as wire, routes, stream_origins,
};
use sageshed_types::time;

use super::state::Shared;

/// A caller takes a stream up within its own deadline, which is unknown here where its later requests name what is left,
/// and is a small multiple of the time of the route.
const LIFETIMES_KEPT: u64 = 2;

/// Added to the time of a route for how long one of its streams lasts: the caller comes back after it has broken off.
const TAKE_UP_MARGIN: time::Millis = time::Millis(5_000);

/// How a request continues a stream that has begun.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Resumption {
    /// The stream; none if its events can't be taken up by a caller, or it has no id.
    pub(super) stream: Option<stream_origins::StreamKey>,
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
    let key = |id: &Option<String>| id.as_deref().map(stream_origins::StreamKey::new);
    let resumed = key(&metadata.resumes);
    let recorded = resumed.and_then(|it| find_record(shared, it));
    let began = match (recorded, &metadata.resume_after) {
        (Some(software), _) => chooser::BeganAt::Version(software),
        (None, Some(_)) => chooser::BeganAt::of(sole_version(shared, route)),
        // Its caller has no whole event, so nothing is joined: it begins anew, as a stream of its own.
        (None, None) => {
            return Resumption {
                stream: key(&metadata.id),
                began: chooser::BeganAt::NotBegun,
            };
        }
    };
    let stream = resumed.or_else(|| key(&metadata.id));
    Resumption { stream, began }
}

/// Looks a record up here, and at the other processes that should have it.
fn find_record<D: dialect::Dialect>(
    shared: &Shared<D>,
    stream: stream_origins::StreamKey,
) -> Option<directory::SoftwareKey> {
    let own = shared.settings.discovery.ip;
    let now = shared.clock.now();
    let known = shared.with_core(|core| core.origins.get(now, stream));
    known.or_else(|| {
        let asked = shared.with_core(|core| stream_origins::asked(stream, own, &core.entries));
        shared
            .entry_peers
            .as_ref()?
            .query_origin(shared.clock.now(), stream, asked)
    })
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
    let lifetime = route.timeout + TAKE_UP_MARGIN;
    shared.with_core(|core| {
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
    stream: stream_origins::StreamKey,
    software: directory::SoftwareKey,
    route: &config::Route,
) {
    let origin = stream_origins::StreamOrigin {
        stream,
        software,
        lifetime: time::Millis(route.timeout.0 * LIFETIMES_KEPT) + TAKE_UP_MARGIN,
    };
    let own = shared.settings.discovery.ip;
    let now = shared.clock.now();
    let holders = shared.with_core(|core| {
        core.origins.insert(now, origin);
        stream_origins::holders(stream, own, &core.entries)
    });
    if let Some(peers) = &shared.entry_peers {
        peers.send(&wire::Datagram::StreamOrigin(origin), &holders);
    }
}
