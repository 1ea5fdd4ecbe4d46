//! Endpoints that fail if they reject too many requests: what seven entry processes, none of which sees the others,
//! have them reject in a burst.

mod support;

use std::{collections, net};

use sageshed_fleet::{
    chooser::{AttemptOutcome, BeganAt, Choice, Chooser, EndpointQuery, LimitChange, Pick},
    dialect, directory,
};
use sageshed_types::time::{Instant, Millis};

const ENTRIES: u8 = 7;
const ENDPOINTS: usize = 4;
const SLOTS: u32 = 6;

/// Requests that an endpoint lets wait while its rejections are bounded.
const QUEUED: usize = 1;

/// How long an endpoint works on a request, in milliseconds.
const WORK: u64 = 60;

/// Requests per second. The endpoints complete 400.
const DEMAND: f64 = 500.0;

/// How long the burst lasts, in milliseconds.
const BURST: u64 = 4_000;

/// Requests that the endpoints can complete in [`BURST`].
const CAPACITY: usize = 1_600;

/// How long a request waits in its process before it is refused, in milliseconds.
const MAX_WAIT: u64 = 90;

/// Rejections per second from which an endpoint fails.
const MAX_REJECTIONS: u32 = 5;

fn id(at: usize) -> directory::InstanceId {
    directory::InstanceId::new(&format!("p{at}"), Some(1))
}

fn report(max_rejections_per_s: Option<u32>) -> dialect::ResponseMetadata<'static> {
    dialect::ResponseMetadata {
        id: None,
        execution: dialect::ExecutionStatus::Verified,
        load: None,
        endpoint: None,
        notice: dialect::Notice {
            max_rejections_per_s,
            ..dialect::Notice::default()
        },
    }
}

fn query() -> EndpointQuery<'static> {
    EndpointQuery {
        service: support::PLAIN,
        wanted: None,
        parts: &[],
        prompt_tokens: 0,
        tried: &[],
        time_left: Millis(1_000),
        patience: Millis(0),
        time_until_late: Millis(150),
        may_be_late: false,
        may_load_adapter: false,
        ignores_slot_share: false,
        began: BeganAt::NotBegun,
    }
}

fn chooser(entry: u8) -> Chooser {
    let mut chooser = Chooser::new("z1", u64::from(entry) + 3);
    for at in 0..ENDPOINTS {
        let endpoint = directory::Instance {
            id: id(at),
            service: support::PLAIN.to_owned(),
            slots: SLOTS,
            models: Vec::new(),
            ..support::engine(&format!("p{at}"), &[])
        };
        chooser.update_instance(&endpoint);
    }
    let entries: Vec<_> = (0..ENTRIES)
        .map(|it| net::Ipv4Addr::new(10, 0, 0, it))
        .collect();
    chooser.set_entries(entries[usize::from(entry)], &entries);
    chooser
}

/// A request at an endpoint, and when its response arrives.
struct Sent {
    entry: usize,
    pick: Pick,
    ends: u64,
    is_rejected: bool,
}

/// What came of a burst.
struct Outcome {
    /// The most that one endpoint rejected within a second.
    most_rejected: usize,
    served: usize,
}

fn play(seed: u64, reported: Option<u32>) -> Outcome {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut choosers: Vec<_> = (0..ENTRIES).map(chooser).collect();
    for chooser in &mut choosers {
        for at in 0..ENDPOINTS {
            chooser.apply_notice(Instant(0), &id(at), &report(reported));
        }
    }
    let mut waiting: Vec<(usize, u64)> = Vec::new();
    let mut sent: Vec<Sent> = Vec::new();
    let mut rejected: collections::HashMap<String, Vec<u64>> = collections::HashMap::new();
    let mut served = 0;
    for at in 1_000..1_000 + BURST {
        let now = Instant(at);
        if rng.f64() < DEMAND / 1_000.0 {
            waiting.push((rng.usize(0..choosers.len()), at));
        }
        let (ended, open): (Vec<_>, Vec<_>) = sent.into_iter().partition(|it| it.ends <= at);
        sent = open;
        for it in ended {
            let outcome = if it.is_rejected {
                AttemptOutcome::Refused
            } else {
                served += 1;
                AttemptOutcome::Answered
            };
            choosers[it.entry].record_end(now, &it.pick, None, !it.is_rejected, outcome);
        }
        waiting.retain(|(entry, since)| {
            let Choice::Send(pick) = choosers[*entry].choose(now, &query()) else {
                return at - since < MAX_WAIT;
            };
            let here = sent
                .iter()
                .filter(|it| it.pick.instance == pick.instance && !it.is_rejected);
            let is_rejected = here.count() >= SLOTS as usize + QUEUED;
            if is_rejected {
                let name = pick.instance.name.clone();
                rejected.entry(name).or_default().push(at);
            }
            let ends = at + if is_rejected { 5 } else { WORK };
            sent.push(Sent {
                entry: *entry,
                pick,
                ends,
                is_rejected,
            });
            false
        });
    }
    let most_of = |times: &Vec<u64>| {
        let counts = times.iter().map(|begin| {
            times
                .iter()
                .filter(|it| (*begin..begin + 1_000).contains(*it))
                .count()
        });
        counts.max().unwrap_or(0)
    };
    Outcome {
        most_rejected: rejected.values().map(most_of).max().unwrap_or(0),
        served,
    }
}

/// Guards against endpoints that fail because seven processes together have them reject too much in a burst.
#[test]
fn endpoints_with_bounded_rejections_are_not_made_to_reject_more() {
    for seed in 1..=20 {
        let unbounded = play(seed, None);
        let bounded = play(seed, Some(MAX_REJECTIONS));
        let limit = MAX_REJECTIONS as usize;
        assert!(
            unbounded.most_rejected > limit,
            "seed {seed}: the load is too low, {} rejected",
            unbounded.most_rejected
        );
        assert!(
            bounded.most_rejected <= limit,
            "seed {seed}: {} rejected within a second, {limit} allowed",
            bounded.most_rejected
        );
        // Nine tenths of what the endpoints can complete.
        assert!(
            bounded.served * 10 >= CAPACITY * 9,
            "seed {seed}: {} of {CAPACITY} served, {} without a bound",
            bounded.served,
            unbounded.served
        );
    }
}

#[test]
fn the_bound_ends_with_the_first_response_without_it() {
    let mut chooser = chooser(0);
    let rejection = dialect::ResponseMetadata {
        execution: dialect::ExecutionStatus::NotRun,
        ..report(None)
    };
    let steps = [
        (report(Some(4)), Some(LimitChange::Rejections(4))),
        (report(Some(4)), None),
        (rejection, None),
        (report(None), Some(LimitChange::RejectionsCleared)),
        (report(None), None),
    ];
    for (response, expected) in steps {
        let change = chooser.apply_notice(Instant(1_000), &id(0), &response);
        assert_eq!(change, expected, "{response:?}");
    }
}
