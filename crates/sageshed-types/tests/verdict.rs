//! The words of verdicts and reasons, which callers, operators and messages share.

use sageshed_types::verdict::{Reason, Verdict};

/// Every reason. A new one is added here and in the operators' page on refusals.
const REASONS: [Reason; 22] = [
    Reason::BadRequest,
    Reason::Unauthorized,
    Reason::TooLarge,
    Reason::RequestTimeout,
    Reason::NotFound,
    Reason::UnknownModel,
    Reason::RuleRefused,
    Reason::RuleLimit,
    Reason::CallerLimit,
    Reason::NoRoute,
    Reason::QueueFull,
    Reason::DeadlineUnmeetable,
    Reason::DeadlinePassed,
    Reason::EndpointFailed,
    Reason::EndpointRefused,
    Reason::NotConfirmed,
    Reason::ClaimUnavailable,
    Reason::Duplicate,
    Reason::KeyReused,
    Reason::Draining,
    Reason::TooManyOpen,
    Reason::Internal,
];

/// A caller was told `too_many_requests_open`, and `sageshed explain` showed the same refusal as
/// `too_many_open`: one word came from `Display`, the other from serde.
#[test]
fn a_reason_is_called_the_same_in_answers_and_in_messages() {
    for reason in REASONS {
        let in_messages = serde_json::to_value(reason).unwrap();
        assert_eq!(in_messages, reason.to_string(), "{reason:?}");
        assert!((400..600).contains(&reason.status()), "{reason:?}");
    }
}

#[test]
fn of_two_tries_the_verdict_that_promises_less_holds() {
    for (one, other, both) in [
        (Verdict::NotRun, Verdict::NotRun, Verdict::NotRun),
        (Verdict::NotRun, Verdict::MayHaveRun, Verdict::MayHaveRun),
        (Verdict::Ran, Verdict::MayHaveRun, Verdict::Ran),
    ] {
        assert_eq!(one.and(other), both);
        assert_eq!(other.and(one), both);
    }
}
