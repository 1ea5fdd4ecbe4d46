//! Ordered rules as data: operators write them and the control group replicates them.
//!
//! The first rule whose conditions match a request decides, and later rules are not evaluated. The
//! compiled form used on the request path is in `sageshed-decide`.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::time;

/// The number of accepted changes of the rules. Never decreases.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

/// One rule: conditions, and an action for requests that match them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// Unique among the rules in force. Letters, digits, `-`, `_` and `.`. The id `default` is reserved.
    pub id: String,
    /// The conditions. Empty conditions match every request.
    #[serde(default, skip_serializing_if = "When::is_empty")]
    pub when: When,
    /// What to do with a matching request.
    #[serde(rename = "do")]
    pub action: Action,
    /// Marks the request as one that may not be repeated.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub not_repeatable: Option<bool>,
    /// The deadline in milliseconds after arrival, unless the caller set an earlier one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<time::Millis>,
}

/// The conditions of a rule. All given conditions must match. A list matches if any of its values does.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct When {
    /// Names of callers.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub caller: Vec<String>,
    /// Names of classes.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub class: Vec<String>,
    /// Names of models. Matches requests for the model and for adapters based on it.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub model: Vec<String>,
    /// Names of adapters.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub adapter: Vec<String>,
    /// Names of plain services.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub service: Vec<String>,
    /// Availability zones of the entry process that received the request.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub availability_zone: Vec<String>,
    /// Whether the caller requested a streamed response.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub streaming: Option<bool>,
    /// Bounds on the estimated number of prompt tokens.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub prompt_tokens: Option<Range>,
    /// Bounds on the priority of the request's class.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub priority: Option<Range>,
    /// Whether the request is marked as one that may not be repeated.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub not_repeatable: Option<bool>,
}

impl When {
    /// Whether there are no conditions, so that every request matches.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// An inclusive range. A missing bound is unlimited.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Range {
    /// The least value that matches.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub min: Option<u32>,
    /// The greatest value that matches.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max: Option<u32>,
}

impl Range {
    /// Whether `value` is in the range.
    #[must_use]
    pub fn contains(self, value: u32) -> bool {
        self.min.is_none_or(|min| min <= value) && self.max.is_none_or(|max| value <= max)
    }

    /// Whether this range contains all values of `other`.
    #[must_use]
    pub fn covers(self, other: Self) -> bool {
        let least = self.min.unwrap_or(0) <= other.min.unwrap_or(0);
        least && other.max.unwrap_or(u32::MAX) <= self.max.unwrap_or(u32::MAX)
    }
}

/// The action of a rule. Written in TOML as `do = { route = { pool = "callout" } }`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Action {
    /// Forwards the request, with the given overrides.
    Route(Route),
    /// Refuses the request.
    Refuse(Refuse),
    /// Forwards the request by the default route within the rate limit, and refuses it above the limit.
    Limit(Limit),
}

/// How a rule forwards a request. Values that are not given are taken from the request.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Route {
    /// The only pool whose engines may serve it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub pool: Option<String>,
    /// The model or adapter to use instead of the one named in the request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub model: Option<String>,
    /// The priority to use instead of the class's: 0 is the least urgent, 9 the most.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub priority: Option<u8>,
}

/// How a rule refuses a request.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Refuse {
    /// The operator's explanation, shown to the caller.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub reason: String,
    /// After which time a retry may succeed, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<time::Millis>,
}

/// A rate limit, enforced by token buckets. Each entry process enforces its share of the rate.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limit {
    /// Requests per second over all entry processes.
    pub rate: f64,
    /// The bucket's capacity in requests, over all entry processes.
    pub burst: f64,
    /// Which requests share a bucket.
    #[serde(default)]
    pub per: LimitScope,
}

/// Which requests share a token bucket under a [`Limit`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LimitScope {
    /// All requests that match the rule share one bucket.
    #[default]
    Rule,
    /// One bucket for each caller.
    Caller,
    /// One bucket for each model or adapter.
    Model,
    /// One bucket for each class.
    Class,
}

/// The rules in force at one revision.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RuleSet {
    /// The revision.
    pub revision: Revision,
    /// The rules in the order of evaluation. The first match decides.
    pub rules: Vec<Rule>,
}

/// The position of a rule in the order of evaluation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Position {
    /// Before all other rules.
    First,
    /// After all other rules.
    Last,
    /// Immediately before the rule with this id.
    Before(String),
    /// Immediately after the rule with this id.
    After(String),
}

/// An edit of the rules that an operator requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Edit {
    /// Adds a rule.
    Add {
        /// The new rule.
        rule: Box<Rule>,
        /// Its position.
        position: Position,
    },
    /// Moves a rule.
    Move {
        /// The rule's id.
        id: String,
        /// Its new position.
        position: Position,
    },
    /// Removes a rule.
    Withdraw {
        /// The rule's id.
        id: String,
    },
    /// Replaces all rules.
    ReplaceAll {
        /// The new rules, in order.
        rules: Vec<Rule>,
    },
}

/// A change as submitted to the control group.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Chosen by the operator's client, which uses the same id when it sends the change again.
    pub change_id: String,
    /// The revision that the operator saw. The change is accepted only if it is still the newest.
    pub base_revision: Revision,
    /// The edit.
    pub edit: Edit,
    /// The operator, by the name of the operator's token.
    pub operator: String,
}

/// An accepted change in the history of the rules.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AcceptedChange {
    /// The revision that the change produced.
    pub revision: Revision,
    /// The change.
    pub change: Change,
}

/// The outcome of a submitted change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeOutcome {
    /// The change is committed. Sending the same change again returns the same outcome.
    Accepted {
        /// The revision that the change produced.
        revision: Revision,
    },
    /// The base revision is not the newest, because other changes were accepted in between.
    Conflict {
        /// The newest revision.
        revision: Revision,
        /// The changes accepted after the base revision, oldest first, as far as the history reaches.
        between: Vec<AcceptedChange>,
    },
    /// The change id was used before for a change with other content.
    ChangeIdReused {
        /// The revision that the earlier change produced.
        revision: Revision,
    },
    /// The change cannot be applied.
    Invalid {
        /// What is wrong and how to correct it.
        problem: String,
    },
}
