//! Changes in words, for operators.

use sageshed_types::rules;

/// One accepted change on one line.
#[must_use]
pub fn accepted(accepted: &rules::AcceptedChange) -> String {
    let change = &accepted.change;
    format!(
        "revision {} by {}: {} (change id {})",
        accepted.revision,
        change.operator,
        edit(&change.edit),
        change.change_id
    )
}

/// What an edit does.
#[must_use]
pub fn edit(edit: &rules::Edit) -> String {
    match edit {
        rules::Edit::Add { rule, position } => {
            format!("added rule `{}` {}", rule.id, place(position))
        }
        rules::Edit::Move { id, position } => format!("moved rule `{id}` {}", place(position)),
        rules::Edit::Withdraw { id } => format!("withdrew rule `{id}`"),
        rules::Edit::ReplaceAll { rules } => format!("replaced all rules by {}", rules.len()),
    }
}

fn place(position: &rules::Position) -> String {
    match position {
        rules::Position::First => "first".to_owned(),
        rules::Position::Last => "last".to_owned(),
        rules::Position::Before(id) => format!("before `{id}`"),
        rules::Position::After(id) => format!("after `{id}`"),
    }
}

/// Why a change that was sent on top of `base` was not taken, and what to do.
#[must_use]
pub fn conflict(
    base: rules::Revision,
    newest: rules::Revision,
    between: &[rules::AcceptedChange],
) -> String {
    if base > newest {
        return format!(
            "the change builds on revision {base}, which doesn't exist: the newest is {newest}; \
             read the rules again"
        );
    }
    let lines: Vec<String> = between.iter().map(accepted).collect();
    format!(
        "the change builds on revision {base} and the newest is {newest}; in between: {}; \
         read the rules again and, if the change is still wanted, send it on top of {newest}",
        if lines.is_empty() {
            "more than the history reaches".to_owned()
        } else {
            lines.join("; ")
        }
    )
}
