//! Brings an entry's copy of the rules up to date, and never back.
//!
//! Updates reach an entry from several control processes, late and out of order; one that has been
//! cut off may send what was the newest hours ago. Taking that would put withdrawn rules in force
//! again. So only what is newer than the copy is ever taken, and a delta only without a gap.

use sageshed_types::{messages, rules};

use crate::edit;

/// What came of an update.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Updated {
    /// The copy is at this later revision now.
    To(rules::Revision),
    /// The update holds nothing newer; the copy is as it was.
    NothingNewer,
    /// The delta begins after the copy's next revision; the copy is as it was. Ask again from the
    /// copy's revision.
    Gap {
        /// The revision that was needed.
        needed: rules::Revision,
        /// The one that came.
        came: rules::Revision,
    },
    /// A change does not fit the copy, which is as it was. Ask from revision 0 for the whole.
    Misfit {
        /// The revision that does not fit.
        revision: rules::Revision,
        /// Why.
        problem: edit::Problem,
    },
}

/// Applies `update` to the copy `set`.
pub fn apply_update(set: &mut rules::RuleSet, update: messages::ConfigUpdate) -> Updated {
    match update {
        messages::ConfigUpdate::Snapshot(whole) => replace(set, whole),
        messages::ConfigUpdate::Delta(changes) => advance(set, &changes),
    }
}

fn replace(set: &mut rules::RuleSet, whole: rules::RuleSet) -> Updated {
    if whole.revision <= set.revision {
        return Updated::NothingNewer;
    }
    *set = whole;
    Updated::To(set.revision)
}

/// Applies the changes to a second copy first, so that a gap or misfit halfway leaves the first.
fn advance(set: &mut rules::RuleSet, changes: &[rules::Accepted]) -> Updated {
    let newer = changes
        .iter()
        .filter(|accepted| accepted.revision > set.revision);
    let mut next = set.clone();
    for accepted in newer {
        let needed = rules::Revision(next.revision.0 + 1);
        let came = accepted.revision;
        if came != needed {
            return Updated::Gap { needed, came };
        }
        if let Err(problem) = edit::apply(&mut next.rules, &accepted.change.edit) {
            return Updated::Misfit {
                revision: came,
                problem,
            };
        }
        next.revision = came;
    }
    replace(set, next)
}
