//! The description of a refusal, sent to the caller with every refused request.

use serde::{Deserialize, Serialize};

use crate::{rules, time, verdict};

/// The rule id that is reported when no rule of the operators matched.
pub const DEFAULT_RULE: &str = "default";

/// Why a request was refused, and whether it may have run. The body of the response.
///
/// Serialized by `sageshed-http` as `application/problem+json` (RFC 9457).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// HTTP status. Equals `reason.status()` unless a rule or an endpoint set another one.
    pub status: u16,
    /// Why the request was refused.
    pub reason: verdict::Reason,
    /// Whether the request may have run.
    pub verdict: verdict::Verdict,
    /// One human-readable sentence with the names and figures of this case.
    pub detail: String,
    /// The rule that decided, [`DEFAULT_RULE`], or none if it was refused before any rule was evaluated.
    pub rule: Option<String>,
    /// The revision of the rules that were applied.
    pub revision: rules::Revision,
    /// After which time a retry may succeed, in milliseconds from now.
    pub retry_after: Option<time::Millis>,
}

impl Refusal {
    /// A refusal of a request that was not sent to any endpoint.
    #[must_use]
    pub fn not_run(reason: verdict::Reason, detail: impl Into<String>) -> Self {
        Self::new(reason, verdict::Verdict::NotRun, detail)
    }

    /// A refusal with the HTTP status of its reason, without a rule and without a retry time.
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

    /// Sets the rule and the revision that decided.
    #[must_use]
    pub fn with_rule(mut self, rule: &str, revision: rules::Revision) -> Self {
        self.rule = Some(rule.to_owned());
        self.revision = revision;
        self
    }

    /// Sets the time after which a retry may succeed.
    #[must_use]
    pub fn with_retry_after(mut self, span: time::Millis) -> Self {
        self.retry_after = Some(span);
        self
    }
}
