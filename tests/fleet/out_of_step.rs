//! A release while an entry process is out of step with all others.

use std::{sync, thread, time};

use sageshed_test_support::relay;

use crate::{
    fleet::Fleet,
    standin::engine::Behavior,
    versions::{EVENTS, Stream, until_known},
};

/// Streams that begin while a process is out of step.
const STREAMS: usize = 24;

/// The bandwidth of a link that nothing fills, in bytes per second.
const WIDE: f64 = 1e9;

/// The time in which an entry process that has started learns which engines have served, and where routes have led.
const SETTLE_TIME: time::Duration = time::Duration::from_secs(3);

/// Guards against a stream that goes on at an engine of another version than began it: the process at which its caller takes it
/// up was cut off before engines of that version joined, and still trusts its records.
#[test]
fn a_process_that_is_cut_off_joins_no_streams_of_a_version_that_it_does_not_know() {
    let link = sync::Arc::new(relay::Link::new(WIDE));
    let (mut fleet, mut engines) = Fleet::with_a_separate_entry(&link);
    engines.truncate(2);
    for engine in &engines {
        engine.set_behavior(Behavior::Streams(EVENTS));
    }
    // A process that has started after the endpoints receives all records, and trusts them.
    fleet.entries[0].kill();
    fleet.entries[0].start();
    until_known(&fleet, &engines);
    thread::sleep(SETTLE_TIME);
    fleet.set_passage(relay::Passage::Silent);
    let cut = time::Instant::now();
    for engine in &engines {
        engine.set_behavior(Behavior::Rejects);
    }
    let new = fleet.engine_of_version("v2", "e3", "engines", 39, &["m1"]);
    new.set_behavior(Behavior::Streams(EVENTS));
    let mut streams: Vec<_> = (0..STREAMS)
        .map(|number| Stream::new(format!("s{number}")))
        .collect();
    fleet.until("the streams have begun at the new version", || {
        let begin = streams.iter_mut().filter(|it| it.last == 0);
        begin.for_each(|it| it.attempt(fleet.entries[1].address(), 5));
        streams.iter().all(|it| it.last > 0)
    });
    for engine in &engines {
        engine.set_behavior(Behavior::Streams(EVENTS));
    }
    println!("begun {:?} after the cut", cut.elapsed());
    let behind = fleet.entries[0].address();
    thread::scope(|scope| {
        for stream in &mut streams {
            scope.spawn(move || stream.attempt(behind, EVENTS + 1));
        }
    });
    let joined = streams.iter().filter(|it| it.versions.len() > 1).count();
    println!("{joined} joined; {}", fleet.entries[0].log_file().display());
    assert_eq!(joined, 0);
}
