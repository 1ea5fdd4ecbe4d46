//! The account that goes with every refusal.

use serde::{Deserialize, Serialize};

use crate::{rules, time, verdict};

/// The name that an account gives where no operator's rule matched.
pub const DEFAULT_RULE: &str = "default";

/// Why a request was refused, and what is known of it. The body of the answer.
///
/// Serialised by `sageshed-http` as `application/problem+json` (RFC 9457).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// HTTP status. Equals `reason.status()` but where a rule or an endpoint chose another.
    pub status: u16,
    /// Why.
    pub reason: verdict::Reason,
    /// Whether it may have run.
    pub verdict: verdict::Verdict,
    /// One sentence for people, with the names and figures of this case.
    pub detail: String,
    /// The rule that decided, [`DEFAULT_RULE`], or none if it was refused before any rule was asked.
    pub rule: Option<String>,
    /// The revision of the rules that decided it.
    pub revision: rules::Revision,
    /// When coming back can help, in milliseconds from now.
    pub retry_after: Option<time::Millis>,
}

impl Refusal {
    /// A refusal of a request that no endpoint has seen.
    #[must_use]
    pub fn not_run(reason: verdict::Reason, detail: impl Into<String>) -> Self {
        Self::new(reason, verdict::Verdict::NotRun, detail)
    }

    /// A refusal with the status of its reason, decided by no rule and with no time to come back.
    #[must_use]
    pub fn new(
        reason: verdict::Reason,
        verdict: verdict::Verdict,
        detail: impl Into<String>,
    ) -> Self {
        Self {
            status: reason.status(),
            reason,
            verdict,
            detail: detail.into(),
            rule: None,
            revision: rules::Revision::default(),
            retry_after: None,
        }
    }

    /// Names the rule and revision that decided.
    #[must_use]
    pub fn decided_by(mut self, rule: &str, revision: rules::Revision) -> Self {
        self.rule = Some(rule.to_owned());
        self.revision = revision;
        self
    }

    /// Says when coming back can help.
    #[must_use]
    pub fn retry_after(mut self, span: time::Millis) -> Self {
        self.retry_after = Some(span);
        self
    }
}
