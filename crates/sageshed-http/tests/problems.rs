//! The bodies and headers of refusals, without a socket.

use sageshed_http::problem;
use sageshed_types::{refusal, rules, time, verdict};

#[test]
fn a_refusal_has_exactly_the_members_promised() {
    let refusal = refusal::Refusal::not_run(verdict::Reason::QueueFull, "64 wait already")
        .with_rule("night", rules::Revision(12))
        .with_retry_after(time::Millis(1_200));
    let body = problem::body("e1-5", &refusal);
    assert_eq!(
        String::from_utf8(body).expect("text"),
        r#"{"type":"urn:sageshed:reason:queue_full","title":"The queue is full","status":429,"#
            .to_owned()
            + r#""detail":"64 wait already","request_id":"e1-5","verdict":"not_run","#
            + r#""reason":"queue_full","rule":"night","revision":12,"retry_after_ms":1200,"#
            + r#""error":{"message":"queue_full: 64 wait already","type":"rate_limit_error","#
            + r#""code":"queue_full"}}"#,
    );
    let headers = problem::headers(&refusal);
    let expected = [
        ("Retry-After", "2"),
        ("retry-after-ms", "1200"),
        ("x-should-retry", "true"),
    ];
    let headers: Vec<_> = headers
        .iter()
        .map(|(name, value)| (*name, value.as_str()))
        .collect();
    assert_eq!(headers, expected);
}

#[test]
fn the_event_that_ends_a_stream_carries_the_account() {
    let refusal = refusal::Refusal::new(
        verdict::Reason::EndpointFailed,
        verdict::Verdict::MayHaveRun,
        "the engine\nwent away",
    );
    let event = String::from_utf8(problem::stream_event("e1-6", &refusal)).expect("text");
    let json = event
        .strip_prefix("data: ")
        .and_then(|rest| rest.strip_suffix("\n\n"));
    let json = json.expect("one event");
    assert!(!json.contains('\n'), "a line end would end the event early");
    let json: serde_json::Value = serde_json::from_str(json).expect("JSON");
    assert_eq!(json["error"]["verdict"], "may_have_run");
    assert_eq!(json["error"]["request_id"], "e1-6");
    assert_eq!(json["error"]["type"], "server_error");
}

/// A crew dispatch may have run when its endpoint went silent, and usual client libraries repeat a
/// 502 by themselves: two crews at one manhole. The hint keeps them from it.
#[test]
fn clients_are_told_not_to_repeat_what_may_have_run() {
    use problem::Retry;
    use verdict::{Reason, Verdict};
    let cases = [
        (
            Reason::EndpointFailed,
            Verdict::MayHaveRun,
            None,
            Retry::Never,
        ),
        (
            Reason::EndpointFailed,
            Verdict::MayHaveRun,
            Some(5),
            Retry::Never,
        ),
        (Reason::DeadlinePassed, Verdict::Ran, Some(5), Retry::Never),
        (Reason::Duplicate, Verdict::NotRun, Some(5), Retry::Never),
        (Reason::KeyReused, Verdict::NotRun, None, Retry::Never),
        (Reason::UnknownModel, Verdict::NotRun, None, Retry::Never),
        (Reason::RuleRefused, Verdict::NotRun, None, Retry::Never),
        (Reason::RuleRefused, Verdict::NotRun, Some(5), Retry::Later),
        (Reason::QueueFull, Verdict::NotRun, Some(5), Retry::Later),
        (Reason::NoRoute, Verdict::NotRun, None, Retry::AsUsual),
    ];
    for (reason, verdict, after, retry) in cases {
        let mut refusal = refusal::Refusal::new(reason, verdict, "");
        refusal.retry_after = after.map(time::Millis);
        assert_eq!(
            problem::retry(&refusal),
            retry,
            "{reason} {verdict} {after:?}"
        );
    }
}
