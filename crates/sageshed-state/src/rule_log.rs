//! The rules in force, the history of accepted changes and the change ids.
//!
//! If two operators submit changes with the same base revision, the first one applied is accepted and
//! the second one is refused as a conflict, with the changes in between. An operator who sends a
//! change again because the reply was lost gets the first reply. For that the change id is checked
//! before the base revision, which by then is no longer the newest: in the other order the operator's
//! own change would be reported as a conflict.
//!
//! The content of a change includes its edit, base revision and operator. A change with the same id
//! and another base revision has other content, since the operator saw other rules. Only accepted
//! changes are recorded. A refused change that is sent again is evaluated again.

use std::collections;

use sageshed_types::{messages, rules};
use serde::{Deserialize, Serialize};

use crate::{change_ids, edit};

/// The maximum number of changes in a delta. An entry process that is further behind gets a snapshot.
pub const MAX_DELTA_CHANGES: usize = 256;

/// The rules in force and their history.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RuleLog {
    current: rules::RuleSet,
    history_bound: usize,
    history: collections::VecDeque<rules::AcceptedChange>,
    change_ids: change_ids::ChangeIds<rules::Revision>,
}

impl RuleLog {
    /// An empty set of rules at revision 0, with a history of at most `history` changes and a record of at
    /// most `change_ids` change ids.
    #[must_use]
    pub fn new(history: usize, change_ids: usize) -> Self {
        Self {
            current: rules::RuleSet::default(),
            history_bound: history,
            history: collections::VecDeque::new(),
            change_ids: change_ids::ChangeIds::new(change_ids),
        }
    }

    /// The rules in force.
    #[must_use]
    pub fn current(&self) -> &rules::RuleSet {
        &self.current
    }

    /// The accepted changes in the history, oldest first.
    pub fn history(&self) -> impl Iterator<Item = &rules::AcceptedChange> {
        self.history.iter()
    }

    /// Applies a change, or returns why it is refused.
    pub fn apply_change(&mut self, change: rules::Change) -> rules::ChangeOutcome {
        let content = change_ids::ContentDigest::of(&change);
        match self.change_ids.lookup(&change.change_id, content) {
            change_ids::ChangeIdLookup::Same(revision) => {
                rules::ChangeOutcome::Accepted { revision }
            }
            change_ids::ChangeIdLookup::Other(revision) => {
                rules::ChangeOutcome::ChangeIdReused { revision }
            }
            change_ids::ChangeIdLookup::New => self.apply_new_change(change, content),
        }
    }

    /// The update for an entry process whose copy of the rules is at `revision`.
    ///
    /// An empty delta if `revision` is the newest, or newer than the one applied here, since a copy must
    /// never go back to an older revision.
    #[must_use]
    pub fn updates_since(&self, revision: rules::Revision) -> messages::ConfigUpdate {
        let behind = self.current.revision.0.saturating_sub(revision.0);
        let behind = usize::try_from(behind).unwrap_or(usize::MAX);
        if behind > MAX_DELTA_CHANGES.min(self.history.len()) {
            return messages::ConfigUpdate::Snapshot(self.current.clone());
        }
        messages::ConfigUpdate::Delta(self.changes_after(revision))
    }

    fn apply_new_change(
        &mut self,
        change: rules::Change,
        content: change_ids::ContentDigest,
    ) -> rules::ChangeOutcome {
        if change.base_revision != self.current.revision {
            return rules::ChangeOutcome::Conflict {
                revision: self.current.revision,
                between: self.changes_after(change.base_revision),
            };
        }
        if let Err(problem) = self.apply_edit(&change) {
            return rules::ChangeOutcome::Invalid {
                problem: problem.to_string(),
            };
        }
        self.current.revision.0 += 1;
        let revision = self.current.revision;
        self.change_ids.insert(&change.change_id, content, revision);
        self.history
            .push_back(rules::AcceptedChange { revision, change });
        if self.history.len() > self.history_bound {
            self.history.pop_front();
        }
        rules::ChangeOutcome::Accepted { revision }
    }

    fn apply_edit(&mut self, change: &rules::Change) -> Result<(), edit::EditError> {
        edit::check_id(&change.change_id)?;
        edit::apply(&mut self.current.rules, &change.edit)
    }

    fn changes_after(&self, revision: rules::Revision) -> Vec<rules::AcceptedChange> {
        self.history
            .iter()
            .filter(|accepted| accepted.revision > revision)
            .cloned()
            .collect()
    }
}
