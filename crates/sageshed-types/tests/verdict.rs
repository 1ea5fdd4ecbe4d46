//! The names of verdicts and reasons, which are the same for callers, for operators and in messages.

use sageshed_types::verdict::{Reason, Verdict};

/// The reasons that are checked. A new one is added here and to the operators' guide on refusals.
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

/// Guards against different names from `Display` and serde: callers got `too_many_requests_open` while
/// `sageshed explain` showed the same refusal as `too_many_open`.
#[test]
fn a_reason_has_the_same_name_in_responses_and_in_messages() {
    for reason in REASONS {
        let in_messages = serde_json::to_value(reason).unwrap();
        assert_eq!(in_messages, reason.to_string(), "{reason:?}");
        assert!((400..600).contains(&reason.status()), "{reason:?}");
    }
}

#[test]
fn the_verdict_of_two_attempts_is_the_one_further_from_not_run() {
    for (one, other, both) in [
        (Verdict::NotRun, Verdict::NotRun, Verdict::NotRun),
        (Verdict::NotRun, Verdict::MayHaveRun, Verdict::MayHaveRun),
        (Verdict::Ran, Verdict::MayHaveRun, Verdict::Ran),
    ] {
        assert_eq!(one.and(other), both);
        assert_eq!(other.and(one), both);
    }
}
