//! Validates edits of the rules and applies them.
//!
//! Only the rules themselves are checked here. Whether the models, pools and callers named in a rule
//! exist, and whether an earlier rule shadows it, is checked against the settings before the change is
//! proposed, because the settings are not part of the replicated state.

use derive_more::{Display, Error};
use sageshed_types::{refusal, rules};

/// The highest priority.
pub const MAX_PRIORITY: u8 = 9;
/// The maximum length of a rule id or change id, in bytes.
pub const MAX_ID_LEN: usize = 128;
/// The maximum number of rules in force.
pub const MAX_RULES: usize = 10_000;

/// Why an edit cannot be applied, and how to correct it.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum EditError {
    /// The id is empty, too long or contains characters that are not allowed.
    #[display(
        "the id `{id}` is not valid: use 1 to {MAX_ID_LEN} letters, digits, `-`, `_` and `.`"
    )]
    InvalidId {
        /// The id.
        id: String,
    },
    /// The id is reserved: it stands for the default decision where no rule matches.
    #[display(
        "the id `{}` is taken by the system: choose another",
        refusal::DEFAULT_RULE
    )]
    ReservedId,
    /// The edit would result in two rules with the same id.
    #[display("a rule with the id `{id}` exists: choose another id, or withdraw that rule first")]
    DuplicateId {
        /// The id.
        id: String,
    },
    /// The edit refers to a rule that does not exist.
    #[display("no rule has the id `{id}`: `sageshed rules list` shows the ids")]
    UnknownId {
        /// The id.
        id: String,
    },
    /// A rule is to be placed relative to itself.
    #[display("the rule `{id}` cannot be placed next to itself: name another rule")]
    RelativeToItself {
        /// The id.
        id: String,
    },
    /// A priority exceeds [`MAX_PRIORITY`].
    #[display("rule `{rule}`: `{key}` is {value}: use 0 to {MAX_PRIORITY}")]
    PriorityTooHigh {
        /// The rule.
        rule: String,
        /// The key.
        key: &'static str,
        /// The value.
        value: u32,
    },
    /// The minimum of a range exceeds its maximum.
    #[display("rule `{rule}`: `{key}` has min {min} above max {max}: swap them")]
    EmptyRange {
        /// The rule.
        rule: String,
        /// The key.
        key: &'static str,
        /// The minimum.
        min: u32,
        /// The maximum.
        max: u32,
    },
    /// A rate or burst is not finite or is too small.
    #[display("rule `{rule}`: `{key}` is {value}: use a finite number, {least}")]
    InvalidNumber {
        /// The rule.
        rule: String,
        /// The key.
        key: &'static str,
        /// The value as text.
        value: String,
        /// The lower bound as text.
        least: &'static str,
    },
    /// The deadline is zero, which no request could meet.
    #[display("rule `{rule}`: `deadline_ms` is 0: use 1 or more, or `refuse` to refuse")]
    ZeroDeadline {
        /// The rule.
        rule: String,
    },
    /// A name is empty, so that it would match nothing.
    #[display("rule `{rule}`: `{key}` holds an empty name: give a name or leave the key out")]
    EmptyName {
        /// The rule.
        rule: String,
        /// The key.
        key: &'static str,
    },
    /// The edit would result in more than [`MAX_RULES`] rules.
    #[display("there would be {count} rules: at most {MAX_RULES} are kept, withdraw some first")]
    TooManyRules {
        /// The number of rules that would result.
        count: usize,
    },
}

/// Applies `edit` to `rules`. On an error the rules are unchanged.
pub fn apply(rules: &mut Vec<rules::Rule>, edit: &rules::Edit) -> Result<(), EditError> {
    match edit {
        rules::Edit::Add { rule, position } => add(rules, rule, position),
        rules::Edit::Move { id, position } => move_rule(rules, id, position),
        rules::Edit::Withdraw { id } => withdraw(rules, id),
        rules::Edit::ReplaceAll { rules: new } => replace_all(rules, new),
    }
}

/// Checks the syntax of a rule id or a change id.
pub fn check_id(id: &str) -> Result<(), EditError> {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
    if id.is_empty() || id.len() > MAX_ID_LEN || !id.bytes().all(allowed) {
        return Err(EditError::InvalidId { id: id.to_owned() });
    }
    Ok(())
}

fn add(
    rules: &mut Vec<rules::Rule>,
    rule: &rules::Rule,
    position: &rules::Position,
) -> Result<(), EditError> {
    check_rule(rule)?;
    if find(rules, &rule.id).is_some() {
        return Err(EditError::DuplicateId {
            id: rule.id.clone(),
        });
    }
    check_count(rules.len() + 1)?;
    let at = insertion_index(rules, position)?;
    rules.insert(at, rule.clone());
    Ok(())
}

fn move_rule(
    rules: &mut Vec<rules::Rule>,
    id: &str,
    position: &rules::Position,
) -> Result<(), EditError> {
    let from = find(rules, id).ok_or_else(|| unknown_id(id))?;
    if let rules::Position::Before(other) | rules::Position::After(other) = position {
        if other == id {
            return Err(EditError::RelativeToItself { id: id.to_owned() });
        }
        // Checked before the rule is removed, so that a refused move changes nothing.
        find(rules, other).ok_or_else(|| unknown_id(other))?;
    }
    let rule = rules.remove(from);
    let to = insertion_index(rules, position)?;
    rules.insert(to, rule);
    Ok(())
}

fn withdraw(rules: &mut Vec<rules::Rule>, id: &str) -> Result<(), EditError> {
    let at = find(rules, id).ok_or_else(|| unknown_id(id))?;
    rules.remove(at);
    Ok(())
}

fn replace_all(rules: &mut Vec<rules::Rule>, new: &[rules::Rule]) -> Result<(), EditError> {
    check_count(new.len())?;
    let mut ids = std::collections::BTreeSet::new();
    for rule in new {
        check_rule(rule)?;
        if !ids.insert(&rule.id) {
            return Err(EditError::DuplicateId {
                id: rule.id.clone(),
            });
        }
    }
    *rules = new.to_vec();
    Ok(())
}

fn find(rules: &[rules::Rule], id: &str) -> Option<usize> {
    rules.iter().position(|rule| rule.id == id)
}

fn unknown_id(id: &str) -> EditError {
    EditError::UnknownId { id: id.to_owned() }
}

/// The index at which a rule is inserted for `position`.
fn insertion_index(rules: &[rules::Rule], position: &rules::Position) -> Result<usize, EditError> {
    match position {
        rules::Position::First => Ok(0),
        rules::Position::Last => Ok(rules.len()),
        rules::Position::Before(id) => find(rules, id).ok_or_else(|| unknown_id(id)),
        rules::Position::After(id) => find(rules, id).map(|i| i + 1).ok_or_else(|| unknown_id(id)),
    }
}

fn check_count(count: usize) -> Result<(), EditError> {
    if count > MAX_RULES {
        return Err(EditError::TooManyRules { count });
    }
    Ok(())
}

fn check_rule(rule: &rules::Rule) -> Result<(), EditError> {
    check_id(&rule.id)?;
    if rule.id == refusal::DEFAULT_RULE {
        return Err(EditError::ReservedId);
    }
    check_when(&rule.id, &rule.when)?;
    check_action(&rule.id, &rule.action)?;
    if rule.deadline_ms.is_some_and(|deadline| deadline.0 == 0) {
        return Err(EditError::ZeroDeadline {
            rule: rule.id.clone(),
        });
    }
    Ok(())
}

fn check_when(rule: &str, when: &rules::When) -> Result<(), EditError> {
    let lists = [
        ("when.caller", &when.caller),
        ("when.class", &when.class),
        ("when.model", &when.model),
        ("when.adapter", &when.adapter),
        ("when.service", &when.service),
        ("when.availability_zone", &when.availability_zone),
    ];
    for (key, names) in lists {
        for name in names {
            check_name(rule, key, name)?;
        }
    }
    check_range(rule, "when.prompt_tokens", when.prompt_tokens)?;
    check_range(rule, "when.priority", when.priority)?;
    let bounds = when.priority.unwrap_or_default();
    for value in [bounds.min, bounds.max].into_iter().flatten() {
        check_priority(rule, "when.priority", value)?;
    }
    Ok(())
}

fn check_action(rule: &str, action: &rules::Action) -> Result<(), EditError> {
    match action {
        rules::Action::Route(route) => check_route(rule, route),
        rules::Action::Refuse(_) => Ok(()),
        rules::Action::Limit(limit) => check_limit(rule, limit),
    }
}

fn check_route(rule: &str, route: &rules::Route) -> Result<(), EditError> {
    for (key, name) in [
        ("do.route.pool", &route.pool),
        ("do.route.model", &route.model),
    ] {
        if let Some(name) = name {
            check_name(rule, key, name)?;
        }
    }
    match route.priority {
        Some(priority) => check_priority(rule, "do.route.priority", priority.into()),
        None => Ok(()),
    }
}

/// Refuses rates and bursts that a token bucket cannot have. A burst below 1 would admit no request.
fn check_limit(rule: &str, limit: &rules::Limit) -> Result<(), EditError> {
    let bad = |key, value: f64, least| EditError::InvalidNumber {
        rule: rule.to_owned(),
        key,
        value: value.to_string(),
        least,
    };
    if !limit.rate.is_finite() || limit.rate <= 0.0 {
        return Err(bad("do.limit.rate", limit.rate, "above 0"));
    }
    if !limit.burst.is_finite() || limit.burst < 1.0 {
        return Err(bad("do.limit.burst", limit.burst, "1 or more"));
    }
    Ok(())
}

fn check_name(rule: &str, key: &'static str, name: &str) -> Result<(), EditError> {
    if name.is_empty() {
        return Err(EditError::EmptyName {
            rule: rule.to_owned(),
            key,
        });
    }
    Ok(())
}

fn check_range(
    rule: &str,
    key: &'static str,
    range: Option<rules::Range>,
) -> Result<(), EditError> {
    let rules::Range { min, max } = range.unwrap_or_default();
    match (min, max) {
        (Some(min), Some(max)) if min > max => Err(EditError::EmptyRange {
            rule: rule.to_owned(),
            key,
            min,
            max,
        }),
        _ => Ok(()),
    }
}

fn check_priority(rule: &str, key: &'static str, value: u32) -> Result<(), EditError> {
    if value > MAX_PRIORITY.into() {
        return Err(EditError::PriorityTooHigh {
            rule: rule.to_owned(),
            key,
            value,
        });
    }
    Ok(())
}
