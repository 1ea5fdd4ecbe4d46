//! Selection of the endpoint for a request.

mod support;

use std::net;

use sageshed_fleet::{
    chooser::{
        AttemptOutcome, BeganAt, Choice, Chooser, EndpointQuery, Pauses, Pick, Policy, Prefill,
        Routing, WaitReason,
    },
    dialect, directory, entry_peers,
};
use sageshed_types::{arena, time};

const T0: time::Instant = time::Instant(100_000);

fn wanted(model: &str, adapter: Option<&str>) -> dialect::ModelRef {
    dialect::ModelRef {
        model: model.to_owned(),
        adapter: adapter.map(str::to_owned),
    }
}

fn plain_query<'a>() -> EndpointQuery<'a> {
    EndpointQuery {
        service: support::PLAIN,
        wanted: None,
        parts: &[],
        prompt_tokens: 0,
        tried: &[],
        time_left: time::Millis(1_000),
        patience: time::Millis(0),
        time_until_late: time::Millis(0),
        may_be_late: false,
        may_load_adapter: false,
        ignores_slot_share: false,
        began: BeganAt::NotBegun,
    }
}

fn sent(choice: Choice) -> Pick {
    match choice {
        Choice::Send(pick) => pick,
        other => panic!("not sent: {other:?}"),
    }
}

fn two_engines() -> Chooser {
    let mut chooser = Chooser::new("z1", 7);
    chooser.update_instance(&support::engine("e1", &["m0"]));
    chooser.update_instance(&support::engine("e2", &["m0"]));
    chooser
}

/// Prompts of 1,800 tokens keep an engine busy for a tenth of a second each. When twenty arrive at once,
/// the last would wait two seconds if all went to one engine, and one if they are balanced.
#[test]
fn prompts_are_balanced_by_pending_tokens() {
    let mut chooser = two_engines();
    let m0 = wanted("m0", None);
    let mut counts = [0, 0];
    for _ in 0..20 {
        let pick = sent(chooser.choose(T0, &support::ask(&m0, 1_800)));
        counts[usize::from(pick.instance.name == "e2")] += 1;
    }
    assert_eq!(counts, [10, 10]);
}

/// One engine has much prefill pending and runs few requests, the other the reverse. Each policy goes by
/// its own score; without refusal, a request is sent even if its response will be too late.
#[test]
fn each_policy_goes_by_its_own_score() {
    let m0 = wanted("m0", None);
    let chosen = |choice| {
        let mut chooser = two_engines().with_policy(Policy {
            choice,
            turn_away: true,
        });
        let mut counts = [0, 0];
        for _ in 0..40 {
            let pick = sent(chooser.choose(T0, &support::ask(&m0, 1_000)));
            let at = usize::from(pick.instance.name == "e2");
            counts[at] += 1;
            let load = dialect::Load {
                running: [1, 9][at],
                waiting: 0,
                slots: 64,
                slowdown_percent: None,
            };
            let prefill = Prefill {
                wanted: &m0,
                parts: &[],
            };
            chooser.record_response_start(T0, &pick, Some(prefill), time::Millis(70), Some(load));
            chooser.record_end(T0, &pick, Some(&m0), true, AttemptOutcome::Answered);
        }
        counts
    };
    let [least, most] = chosen(Routing::LeastLoad);
    assert!(least >= 38 && most <= 2, "{least} {most}");
    let [one, other] = chosen(Routing::Random);
    assert!(one >= 10 && other >= 10, "{one} {other}");
    let policy = Policy {
        choice: Routing::Estimate,
        turn_away: false,
    };
    let hopeless = EndpointQuery {
        time_left: time::Millis(50),
        ..support::ask(&m0, 9_000)
    };
    let refused = two_engines().choose(T0, &hopeless);
    assert!(matches!(refused, Choice::TooLate { .. }), "{refused:?}");
    sent(two_engines().with_policy(policy).choose(T0, &hopeless));
}

/// A prompt whose prefix is in the prefix cache of an engine takes a part of the prefill time there.
#[test]
fn a_prompt_goes_to_the_engine_that_caches_its_prefix() {
    let mut chooser = two_engines();
    let m0 = wanted("m0", None);
    let part = |id, tokens| dialect::PromptPart { id, tokens };
    let parts = [part(1, 800), part(2, 1_000)];
    let first = EndpointQuery {
        parts: &parts,
        ..support::ask(&m0, 1_800)
    };
    let pick = sent(chooser.choose(T0, &first));
    let prefill = Prefill {
        wanted: &m0,
        parts: &parts,
    };
    chooser.record_response_start(T0, &pick, Some(prefill), time::Millis(100), None);
    chooser.record_end(T0, &pick, Some(&m0), true, AttemptOutcome::Answered);
    let again = [part(1, 800), part(2, 1_000), part(3, 50)];
    for _ in 0..3 {
        let ask = EndpointQuery {
            parts: &again,
            ..support::ask(&m0, 1_850)
        };
        let next = sent(chooser.choose(T0, &ask));
        assert_eq!(
            (next.instance.name.as_str(), next.uncached_tokens),
            (pick.instance.name.as_str(), 50)
        );
        chooser.record_end(T0, &next, Some(&m0), false, AttemptOutcome::GivenUp);
    }
    // A part after one that is not cached has to be prefilled again.
    let other = [part(9, 800), part(2, 1_000)];
    let ask = EndpointQuery {
        parts: &other,
        ..support::ask(&m0, 1_800)
    };
    assert_eq!(sent(chooser.choose(T0, &ask)).uncached_tokens, 1_800);
}

/// Two models and an adapter on one engine get prompts with the same prefix. What was prefilled for one has
/// to be prefilled again for the others, and also for the same model once its weights were unloaded. If it
/// counted as cached, the engine would have a third more to prefill than estimated.
#[test]
fn prefixes_are_cached_per_model_and_adapter() {
    let mut chooser = Chooser::new("z1", 7);
    let mut engine = support::engine("e1", &["m0", "m1"]);
    engine.models[0].adapters.push("a1".to_owned());
    chooser.update_instance(&engine);
    let parts = [dialect::PromptPart { id: 1, tokens: 800 }];
    let tokens_of = |chooser: &mut Chooser, wanted: &dialect::ModelRef| {
        let ask = EndpointQuery {
            parts: &parts,
            ..support::ask(wanted, 1_000)
        };
        let pick = sent(chooser.choose(T0, &ask));
        chooser.record_end(T0, &pick, Some(wanted), false, AttemptOutcome::GivenUp);
        pick
    };
    let m0 = wanted("m0", None);
    let pick = tokens_of(&mut chooser, &m0);
    let prefill = Prefill {
        wanted: &m0,
        parts: &parts,
    };
    chooser.record_response_start(T0, &pick, Some(prefill), time::Millis(50), None);
    let others = [wanted("m1", None), wanted("m0", Some("a1"))];
    for other in &others {
        assert_eq!(
            tokens_of(&mut chooser, other).uncached_tokens,
            1_000,
            "{other:?}"
        );
    }
    assert_eq!(tokens_of(&mut chooser, &m0).uncached_tokens, 200);
    for models in [&["m1"][..], &["m0", "m1"]] {
        chooser.update_instance(&support::engine("e1", models));
    }
    assert_eq!(tokens_of(&mut chooser, &m0).uncached_tokens, 1_000);
}

/// An engine holds a large model and a small one that it prefills three times as fast. With a single speed
/// for both, each prompt of the small one would make the next of the large one look short, and all streams
/// there would pause for longer.
#[test]
fn each_model_has_its_own_speed() {
    let mut chooser = Chooser::new("z1", 7);
    chooser.update_instance(&support::engine("e1", &["m0", "m1"]));
    let (large, small) = (wanted("m0", None), wanted("m1", None));
    let answer = |chooser: &mut Chooser, wanted: &dialect::ModelRef, took: u64| {
        let pick = sent(chooser.choose(T0, &support::ask(wanted, 2_000)));
        let prefill = Prefill { wanted, parts: &[] };
        chooser.record_response_start(T0, &pick, Some(prefill), time::Millis(took), None);
        chooser.record_end(T0, &pick, Some(wanted), true, AttemptOutcome::Answered);
        pick.estimate
    };
    for _ in 0..100 {
        answer(&mut chooser, &large, 115);
        answer(&mut chooser, &small, 45);
    }
    let large = answer(&mut chooser, &large, 115);
    let small = answer(&mut chooser, &small, 45);
    assert!((105..=125).contains(&large.0), "{large:?}");
    assert!((40..=55).contains(&small.0), "{small:?}");
}

/// Why a request waits that can't be sent.
struct Case {
    name: &'static str,
    setup: fn(&mut Chooser),
    wanted: dialect::ModelRef,
    reason: WaitReason,
}

#[test]
fn a_request_that_nobody_can_take_waits_for_what_is_missing() {
    let leaving = |chooser: &mut Chooser| {
        let mut engine = support::engine("e1", &["m0"]);
        engine.state = directory::State::Leaving;
        chooser.update_instance(&engine);
    };
    let cases = [
        Case {
            name: "no engine at all",
            setup: |_| {},
            wanted: wanted("m0", None),
            reason: WaitReason::Endpoint,
        },
        Case {
            name: "the only engine is leaving",
            setup: leaving,
            wanted: wanted("m0", None),
            reason: WaitReason::Endpoint,
        },
        Case {
            name: "no engine holds the model",
            setup: |it| it.update_instance(&support::engine("e1", &["m0"])),
            wanted: wanted("m1", None),
            reason: WaitReason::Model,
        },
        Case {
            name: "no engine holds the adapter",
            setup: |it| it.update_instance(&support::engine("e1", &["m0"])),
            wanted: wanted("m0", Some("a1")),
            reason: WaitReason::Adapter,
        },
    ];
    for case in cases {
        let mut chooser = Chooser::new("z1", 7);
        (case.setup)(&mut chooser);
        let choice = chooser.choose(T0, &support::ask(&case.wanted, 100));
        assert_eq!(choice, Choice::Wait(case.reason), "{}", case.name);
    }
}

/// An engine crashes and its address refuses connections. The first request finds out and goes elsewhere;
/// the next ones are not sent there at all until the engine is tried again a little later.
#[test]
fn an_unreachable_endpoint_is_ejected_for_a_while() {
    let mut chooser = two_engines();
    let m0 = wanted("m0", None);
    let pick = sent(chooser.choose(T0, &support::ask(&m0, 100)));
    chooser.record_end(T0, &pick, Some(&m0), false, AttemptOutcome::Unreachable);
    for _ in 0..5 {
        let next = sent(chooser.choose(T0, &support::ask(&m0, 100)));
        assert_ne!(next.instance, pick.instance);
        chooser.record_end(T0, &next, Some(&m0), false, AttemptOutcome::GivenUp);
    }
    assert_eq!(chooser.endpoint_counts(T0), (2, 1));
    assert_eq!(chooser.endpoint_counts(T0 + time::Millis(5_000)), (2, 2));
}

/// An engine fails four of ten requests while its health check is good. It has to get fewer requests than
/// the healthy one, and its share again once it has recovered.
#[test]
fn an_endpoint_that_fails_some_requests_gets_fewer_until_it_recovers() {
    let mut chooser = two_engines();
    let m0 = wanted("m0", None);
    let mut share = |from: u64, fails: bool| {
        let mut to_e1 = 0;
        for n in 0..100 {
            let now = T0 + time::Millis(from + n * 50);
            let pick = sent(chooser.choose(now, &support::ask(&m0, 100)));
            let is_e1 = pick.instance.name == "e1";
            to_e1 += u32::from(is_e1);
            let how = if is_e1 && fails && n % 5 < 2 {
                AttemptOutcome::Failed
            } else {
                AttemptOutcome::Answered
            };
            chooser.record_end(now, &pick, Some(&m0), false, how);
        }
        to_e1
    };
    let while_failing = share(0, true);
    assert!(
        while_failing < 30,
        "{while_failing} of 100 went to the failing engine"
    );
    let later = share(20_000, false);
    assert!(later >= 40, "{later} of 100 went to the mended engine");
}

/// An engine was told to unload a model that its directory record still lists. It responds that it does not
/// hold the model and must not be selected for it again at once.
#[test]
fn an_engine_that_lacks_a_model_is_not_selected_again_at_once() {
    let mut chooser = two_engines();
    let m0 = wanted("m0", None);
    let pick = sent(chooser.choose(T0, &support::ask(&m0, 100)));
    chooser.record_end(T0, &pick, Some(&m0), false, AttemptOutcome::Misdirected);
    let next = sent(chooser.choose(T0, &support::ask(&m0, 100)));
    assert_ne!(next.instance, pick.instance);
}

/// An engine unloads a model, which takes as long as its running requests, and announces the model until
/// then. It rejects a request for the model. The next requests must not each be rejected as well, as these
/// retries would then be missing for requests that failed. The engine is still selected for its other
/// models.
#[test]
fn an_engine_that_rejects_requests_for_a_model_is_not_asked_for_it_while_it_announces_it() {
    let mut chooser = Chooser::new("z1", 7);
    let engine = |sequence| directory::Instance {
        sequence,
        ..support::engine("e1", &["m0", "m1"])
    };
    chooser.update_instance(&engine(1));
    let (m0, m1) = (wanted("m0", None), wanted("m1", None));
    let pick = sent(chooser.choose(T0, &support::ask(&m0, 100)));
    chooser.record_end(T0, &pick, Some(&m0), false, AttemptOutcome::Refused);
    chooser.update_instance(&engine(2));
    let next = chooser.choose(T0, &support::ask(&m0, 100));
    assert_eq!(next, Choice::Wait(WaitReason::Model));
    sent(chooser.choose(T0, &support::ask(&m1, 100)));
    let later = T0 + time::Millis(600);
    sent(chooser.choose(later, &support::ask(&m0, 100)));
}

/// Number of prompts of 50 ms that the only engine gets before one has to wait.
fn dispatched_at_once(chooser: &mut Chooser) -> usize {
    let m0 = wanted("m0", None);
    let ask = EndpointQuery {
        patience: time::Millis(100),
        ..support::ask(&m0, 950)
    };
    let mut picks = Vec::new();
    while let Choice::Send(pick) = chooser.choose(T0, &ask) {
        picks.push(pick);
    }
    for pick in &picks {
        chooser.record_end(T0, pick, Some(&m0), false, AttemptOutcome::GivenUp);
    }
    picks.len()
}

/// Engines that prefill in chunks never pause their streams for long, whatever is pending; prompts that
/// were held back from them were late for nothing. Others prefill all that is pending in one step, and a
/// limit that has risen must fall when streams pause, but not below what is safe for any engine.
#[test]
fn the_prefill_limit_is_learned_from_stream_pauses() {
    let mut chooser = Chooser::new("z1", 7);
    chooser.update_instance(&support::engine("e1", &["m0"]));
    let m0 = wanted("m0", None);
    let ended = |chooser: &mut Chooser, longest| {
        let pick = sent(chooser.choose(T0, &support::ask(&m0, 100)));
        let pauses = Pauses {
            lasted: time::Millis(2_000),
            longest: time::Millis(longest),
            limit: time::Millis(400),
        };
        chooser.record_pauses(T0 + time::Millis(1_000), &pick, pauses);
        chooser.record_end(T0, &pick, Some(&m0), false, AttemptOutcome::Answered);
    };
    let at_first = dispatched_at_once(&mut chooser);
    ended(&mut chooser, 170);
    ended(&mut chooser, 170);
    let risen = dispatched_at_once(&mut chooser);
    assert!(risen > at_first, "{risen} of {at_first}");
    for _ in 0..30 {
        ended(&mut chooser, 900);
    }
    assert_eq!(dispatched_at_once(&mut chooser), at_first);
}

/// Twenty prompts are pending at the only engine. Another request has 300 ms left and would be answered in
/// two seconds, so it has to be refused now and not at its deadline.
#[test]
fn a_request_that_cannot_be_in_time_is_refused_at_once() {
    let mut chooser = Chooser::new("z1", 7);
    chooser.update_instance(&support::engine("e1", &["m0"]));
    let m0 = wanted("m0", None);
    for _ in 0..20 {
        sent(chooser.choose(T0, &support::ask(&m0, 1_800)));
    }
    let urgent = EndpointQuery {
        time_left: time::Millis(300),
        ..support::ask(&m0, 100)
    };
    let choice = chooser.choose(T0, &urgent);
    assert!(matches!(choice, Choice::TooLate { .. }), "{choice:?}");
}

#[test]
fn endpoints_of_a_plain_service_get_as_many_requests_as_their_slots_allow() {
    let mut chooser = Chooser::new("z1", 7);
    chooser.update_instance(&support::instance("p1", support::PLAIN, &[]));
    let mut picks = Vec::new();
    loop {
        match chooser.choose(T0, &plain_query()) {
            Choice::Send(pick) => picks.push(pick),
            other => {
                assert_eq!(other, Choice::Wait(WaitReason::Place));
                break;
            }
        }
    }
    assert!((4..=8).contains(&picks.len()), "{}", picks.len());
    chooser.record_end(T0, &picks[0], None, true, AttemptOutcome::Answered);
    sent(chooser.choose(T0, &plain_query()));
}

#[test]
fn a_tried_endpoint_is_not_selected_again_and_a_local_one_is_preferred() {
    let mut chooser = Chooser::new("z1", 7);
    let mut far = support::engine("e1", &["m0"]);
    far.availability_zone = "z2".to_owned();
    chooser.update_instance(&far);
    chooser.update_instance(&support::engine("e2", &["m0"]));
    let m0 = wanted("m0", None);
    let local_pick = sent(chooser.choose(T0, &support::ask(&m0, 0)));
    assert_eq!(local_pick.instance.name, "e2");
    let tried: [arena::EndpointKey; 1] = [local_pick.key];
    let again = EndpointQuery {
        tried: &tried,
        ..support::ask(&m0, 0)
    };
    assert_eq!(sent(chooser.choose(T0, &again)).instance.name, "e1");
}

/// An engine accepts requests and sends nothing, and no connection breaks. Callers whose requests go there
/// wait in vain. It has to be suspected while the first of them still wait, and ejected once one of them
/// has waited until its deadline.
#[test]
fn a_silent_engine_is_avoided() {
    let mut chooser = two_engines();
    let m0 = wanted("m0", None);
    let silent_pick = sent(chooser.choose(T0, &support::ask(&m0, 100)));
    let mut now = T0;
    for _ in 0..20 {
        now = now + time::Millis(100);
        let pick = sent(chooser.choose(now, &support::ask(&m0, 100)));
        if pick.instance == silent_pick.instance {
            assert!(
                now.since(T0) < time::Millis(1_000),
                "still sent there at {now:?}"
            );
        } else {
            chooser.record_response_start(now, &pick, None, time::Millis(20), None);
            chooser.record_end(now, &pick, Some(&m0), true, AttemptOutcome::Answered);
        }
    }
    chooser.record_end(
        T0 + time::Millis(6_000),
        &silent_pick,
        Some(&m0),
        false,
        AttemptOutcome::Silent,
    );
    assert_eq!(chooser.endpoint_counts(T0 + time::Millis(9_000)), (2, 1));
}

/// More prompts arrive than the engine can prefill. One whose response will be late in any case waits as
/// long as it has time: sent now, it would make a second one late that can still be on time.
#[test]
fn a_request_that_is_late_anyway_lets_others_go_first() {
    let mut chooser = Chooser::new("z1", 7);
    chooser.update_instance(&support::engine("e1", &["m0"]));
    let m0 = wanted("m0", None);
    for _ in 0..4 {
        sent(chooser.choose(T0, &support::ask(&m0, 1_800)));
    }
    let late = EndpointQuery {
        time_until_late: time::Millis(100),
        may_be_late: true,
        ..support::ask(&m0, 1_800)
    };
    assert_eq!(chooser.choose(T0, &late), Choice::Wait(WaitReason::Place));
    let in_time = EndpointQuery {
        time_until_late: time::Millis(900),
        ..late
    };
    sent(chooser.choose(T0, &in_time));
    let out_of_time = EndpointQuery {
        may_be_late: false,
        ..late
    };
    sent(chooser.choose(T0, &out_of_time));
}

/// Guards against engines that are looked up by models which they held before.
#[test]
fn an_engine_is_found_by_what_it_holds_now() {
    let mut chooser = two_engines();
    let (m0, m1) = (wanted("m0", None), wanted("m1", None));
    let moved = sageshed_fleet::directory::Instance {
        sequence: 2,
        ..support::engine("e1", &["m1"])
    };
    chooser.update_instance(&moved);
    assert!(chooser.has_free_endpoint(T0, &support::ask(&m0, 100)));
    for _ in 0..20 {
        let pick = sent(chooser.choose(T0, &support::ask(&m0, 100)));
        assert_eq!(pick.instance.name, "e2");
    }
    let pick = sent(chooser.choose(T0, &support::ask(&m1, 100)));
    assert_eq!(pick.instance.name, "e1");
    chooser.remove_instance(&moved.id);
    let choice = chooser.choose(T0, &support::ask(&m1, 100));
    assert_eq!(choice, Choice::Wait(WaitReason::Model));
    assert!(!chooser.has_free_endpoint(T0, &support::ask(&m1, 100)));
}

/// Streams that an engine runs when it falls silent.
const STREAMS: usize = 30;

/// Guards against avoiding an engine for seconds after it was silent for one. Each of the streams that were moved away
/// from it counted as a failure of its own, and the other engines filled up while it had nothing to do.
#[test]
fn an_engine_that_was_silent_is_used_again_once_it_answers() {
    let m0 = wanted("m0", None);
    let mut chooser = Chooser::new("z1", 7);
    chooser.update_instance(&support::engine("e1", &["m0"]));
    let mut picks = Vec::new();
    for _ in 0..STREAMS {
        let pick = sent(chooser.choose(T0, &support::ask(&m0, 0)));
        chooser.record_response_start(T0, &pick, None, time::Millis(20), None);
        picks.push(pick);
    }
    let silent_until = T0 + time::Millis(1_500);
    for pick in &picks {
        let moved = T0 + time::Millis(1_000);
        chooser.record_end(moved, pick, Some(&m0), true, AttemptOutcome::Silent);
    }
    // It goes on, and answers a request in good time.
    let pick = sent(chooser.choose(silent_until, &support::ask(&m0, 0)));
    let answered = silent_until + time::Millis(20);
    chooser.record_response_start(answered, &pick, None, time::Millis(20), None);
    chooser.record_end(answered, &pick, Some(&m0), true, AttemptOutcome::Answered);
    // Another engine has a tenth of a second of prefill before it.
    chooser.update_instance(&support::engine("e2", &["m0"]));
    let key = entry_peers::instance_key(&"e2".into());
    let busy = observation(key, 100_000, None);
    chooser.apply_observation(answered, net::Ipv4Addr::new(10, 0, 1, 2), &busy);
    let next = sent(chooser.choose(answered, &support::ask(&m0, 100)));
    assert_eq!(next.instance.name, "e1");
}

/// Guards against sending nothing for five seconds to an engine that was silent for one and has answered since. Only one
/// that had sent nothing for long before is left out for so long, such as one without work.
#[test]
fn an_idle_engine_that_was_silent_is_used_again_once_it_answers_a_peer() {
    let m0 = wanted("m0", None);
    let mut chooser = Chooser::new("z1", 7);
    chooser.update_instance(&support::engine("e1", &["m0"]));
    let pick = sent(chooser.choose(T0, &support::ask(&m0, 100)));
    let left = T0 + time::Millis(1_000);
    chooser.record_end(left, &pick, Some(&m0), false, AttemptOutcome::Silent);
    let answered = T0 + time::Millis(1_600);
    let key = entry_peers::instance_key(&"e1".into());
    let ttft = entry_peers::TtftSample {
        model: entry_peers::name_key("m0"),
        estimated: 40,
        took: 30,
    };
    let seen = observation(key, 0, Some(ttft));
    chooser.apply_observation(answered, net::Ipv4Addr::new(10, 0, 1, 2), &seen);
    let next = chooser.choose(answered, &support::ask(&m0, 100));
    assert!(matches!(next, Choice::Send(_)), "{next:?}");
}

fn observation(
    engine: u64,
    pending_prefill_us: u64,
    ttft: Option<entry_peers::TtftSample>,
) -> entry_peers::EngineObservation {
    entry_peers::EngineObservation {
        pending_prefill_us,
        ttft,
        ..support::observation(engine)
    }
}
