//! Ordered rules as data: what operators write, what the control group replicates.
//!
//! The first rule whose `when` holds decides; later ones are not asked. The compiled form that the
//! request path uses is in `sageshed-decide`.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::time;

/// Counts accepted changes of the rules. Only grows.
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

/// One rule: when this holds, do that.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// Unique among the rules in force. Letters, digits, `-`, `_` and `.`; `default` is taken.
    pub id: String,
    /// What must hold. Empty: always.
    #[serde(default, skip_serializing_if = "When::is_empty")]
    pub when: When,
    /// What to do then.
    #[serde(rename = "do")]
    pub action: Action,
    /// Marks the request as one that may not be repeated.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub not_repeatable: Option<bool>,
    /// Time the request has from its arrival, in milliseconds, unless the caller gave less.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<time::Millis>,
}

/// Conditions; all that are given must hold, and a list holds if any of its members does.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct When {
    /// Names of callers.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub caller: Vec<String>,
    /// Names of classes.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub class: Vec<String>,
    /// Names of models: the request names the model, or an adapter on it.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub model: Vec<String>,
    /// Names of adapters.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub adapter: Vec<String>,
    /// Names of plain services.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub service: Vec<String>,
    /// Availability zones of the entry process that took the request.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub availability_zone: Vec<String>,
    /// Whether the caller asked for a stream.
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
    /// Whether it holds for every request.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// Inclusive bounds; a bound not given is open.
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
    /// Whether `value` is inside.
    #[must_use]
    pub fn contains(self, value: u32) -> bool {
        self.min.is_none_or(|min| min <= value) && self.max.is_none_or(|max| value <= max)
    }

    /// Whether every value inside `other` is inside this range too.
    #[must_use]
    pub fn covers(self, other: Self) -> bool {
        let least = self.min.unwrap_or(0) <= other.min.unwrap_or(0);
        least && other.max.unwrap_or(u32::MAX) <= self.max.unwrap_or(u32::MAX)
    }
}

/// What a rule does. Written in TOML as `do = { route = { pool = "callout" } }`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Action {
    /// Sends the request on.
    Route(Route),
    /// Refuses it.
    Refuse(Refuse),
    /// Sends it by the default route while the limit lasts, refuses it past that.
    Limit(Limit),
}

/// Where a rule sends a request. What is not given stays as the request has it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Route {
    /// The only pool whose engines may serve it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub pool: Option<String>,
    /// The model or adapter to ask in place of the one named.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub model: Option<String>,
    /// The priority in place of its class's: 0 is the least urgent, 9 the most.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub priority: Option<u8>,
}

/// How a rule refuses.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Refuse {
    /// The operator's words, shown to the caller.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub reason: String,
    /// When coming back can help, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<time::Millis>,
}

/// A token bucket. Each entry process holds its share of the rate.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limit {
    /// Requests a second over all entry processes.
    pub rate: f64,
    /// Requests that may come at once after a pause, over all entry processes.
    pub burst: f64,
    /// What has a bucket of its own.
    #[serde(default)]
    pub per: Per,
}

/// What each has a bucket of its own under a [`Limit`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Per {
    /// All requests that match the rule share one.
    #[default]
    Rule,
    /// One for each caller.
    Caller,
    /// One for each model or adapter.
    Model,
    /// One for each class.
    Class,
}

/// The rules in force at one revision, in the order they are asked.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RuleSet {
    /// Which revision this is.
    pub revision: Revision,
    /// First match wins.
    pub rules: Vec<Rule>,
}

/// Where a rule goes in the order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Position {
    /// Before every other.
    First,
    /// After every other.
    Last,
    /// Right before the rule with this id.
    Before(String),
    /// Right after the rule with this id.
    After(String),
}

/// One change that an operator asks for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Edit {
    /// Adds a rule.
    Add {
        /// The new rule.
        rule: Box<Rule>,
        /// Where it goes.
        position: Position,
    },
    /// Moves a rule.
    Move {
        /// Which rule.
        id: String,
        /// Where it goes.
        position: Position,
    },
    /// Withdraws a rule.
    Withdraw {
        /// Which rule.
        id: String,
    },
    /// Replaces all rules by these.
    ReplaceAll {
        /// The new rules, in order.
        rules: Vec<Rule>,
    },
}

/// A change as it reaches the control group.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Chosen by the operator's client; a resend carries the same one.
    pub change_id: String,
    /// The revision that the operator saw. The change is taken only on top of it.
    pub base_revision: Revision,
    /// What to change.
    pub edit: Edit,
    /// Who asked, by the name of the operator's token.
    pub operator: String,
}

/// An accepted change, as the history shows it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Accepted {
    /// The revision that it made.
    pub revision: Revision,
    /// The change.
    pub change: Change,
}

/// What became of a change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeOutcome {
    /// It is committed, as this revision. A resend of the same change gets the same answer.
    Accepted {
        /// The revision that it made.
        revision: Revision,
    },
    /// Others came in between: the base revision is not the newest.
    Conflict {
        /// The newest revision.
        revision: Revision,
        /// What was accepted after the base revision, oldest first, as far as the history reaches.
        between: Vec<Accepted>,
    },
    /// The same change id came before with other content.
    ChangeIdReused {
        /// The revision that the first one made.
        revision: Revision,
    },
    /// The change cannot be applied, for this reason.
    Invalid {
        /// What is wrong and what to do.
        problem: String,
    },
}
