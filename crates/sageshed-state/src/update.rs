//! Applies updates to an entry process's copy of the rules.
//!
//! An entry process receives updates from several control processes, late and out of order. A control
//! process that was partitioned may send rules that are hours old, and applying these would put
//! withdrawn rules in force again. So an update is applied only if it is newer than the copy, and a
//! delta only if it has no gap.

use sageshed_types::{messages, rules};

use crate::edit;

/// The outcome of an update.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UpdateOutcome {
    /// The copy was advanced to this revision.
    Applied(rules::Revision),
    /// The update contains nothing newer. The copy is unchanged.
    UpToDate,
    /// The delta begins after the copy's next revision. The copy is unchanged, and the delta must be
    /// requested again from the copy's revision.
    Gap {
        /// The next revision of the copy.
        needed: rules::Revision,
        /// The revision found in the delta.
        came: rules::Revision,
    },
    /// A change cannot be applied to the copy. The copy is unchanged, and a snapshot must be requested
    /// by asking from revision 0.
    Inapplicable {
        /// The revision of that change.
        revision: rules::Revision,
        /// Why it cannot be applied.
        problem: edit::EditError,
    },
}

/// Applies `update` to the copy `set`.
pub fn apply_update(set: &mut rules::RuleSet, update: messages::ConfigUpdate) -> UpdateOutcome {
    match update {
        messages::ConfigUpdate::Snapshot(whole) => apply_snapshot(set, whole),
        messages::ConfigUpdate::Delta(changes) => apply_delta(set, &changes),
    }
}

fn apply_snapshot(set: &mut rules::RuleSet, whole: rules::RuleSet) -> UpdateOutcome {
    if whole.revision <= set.revision {
        return UpdateOutcome::UpToDate;
    }
    *set = whole;
    UpdateOutcome::Applied(set.revision)
}

/// Applies the changes to a clone, so that a failure halfway leaves the copy unchanged.
fn apply_delta(set: &mut rules::RuleSet, changes: &[rules::AcceptedChange]) -> UpdateOutcome {
    let newer = changes
        .iter()
        .filter(|accepted| accepted.revision > set.revision);
    let mut next = set.clone();
    for accepted in newer {
        let needed = rules::Revision(next.revision.0 + 1);
        let came = accepted.revision;
        if came != needed {
            return UpdateOutcome::Gap { needed, came };
        }
        if let Err(problem) = edit::apply(&mut next.rules, &accepted.change.edit) {
            return UpdateOutcome::Inapplicable {
                revision: came,
                problem,
            };
        }
        next.revision = came;
    }
    apply_snapshot(set, next)
}
