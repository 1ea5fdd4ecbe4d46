//! The rules in force, the history of accepted changes and the change ids.
//!
//! Two operators who race from the same base revision: the first to be applied wins, the second is
//! told what came between. An operator who sends a change again after losing the answer gets the
//! first answer: the change id is asked before the base revision, which by then is no longer the
//! newest, so that the other order would answer the operator's own change with a conflict.
//!
//! The content of a change is all of it: edit, base revision and operator. A change with the same
//! id on another base is other content, since the operator saw other rules when asking for it.
//! Only accepted changes are remembered; a refused one, sent again, is judged again.

use std::collections;

use sageshed_types::{messages, rules};
use serde::{Deserialize, Serialize};

use crate::{change_ids, edit};

/// Changes that a delta carries at most; an entry further behind gets the whole.
pub const MAX_DELTA: usize = 256;

/// The rules and how they came about.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RuleLog {
    current: rules::RuleSet,
    history_bound: usize,
    history: collections::VecDeque<rules::Accepted>,
    change_ids: change_ids::ChangeIds<rules::Revision>,
}

impl RuleLog {
    /// No rules, at revision 0. Keeps `history` changes and `change_ids` ids.
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

    /// Accepted changes, oldest first, as far as they are kept.
    pub fn history(&self) -> impl Iterator<Item = &rules::Accepted> {
        self.history.iter()
    }

    /// Applies a change, or says why not.
    pub fn change(&mut self, change: rules::Change) -> rules::ChangeOutcome {
        let content = change_ids::ContentDigest::of(&change);
        match self.change_ids.seen(&change.change_id, content) {
            change_ids::Seen::Same(revision) => rules::ChangeOutcome::Accepted { revision },
            change_ids::Seen::Other(revision) => rules::ChangeOutcome::ChangeIdReused { revision },
            change_ids::Seen::New => self.change_anew(change, content),
        }
    }

    /// What brings an entry with the rules of `revision` up to date.
    ///
    /// Empty where `revision` is the newest, or newer than what is applied here: a copy is never
    /// sent back to an older revision.
    #[must_use]
    pub fn updates_since(&self, revision: rules::Revision) -> messages::ConfigUpdate {
        let behind = self.current.revision.0.saturating_sub(revision.0);
        let behind = usize::try_from(behind).unwrap_or(usize::MAX);
        if behind > MAX_DELTA.min(self.history.len()) {
            return messages::ConfigUpdate::Snapshot(self.current.clone());
        }
        messages::ConfigUpdate::Delta(self.after(revision))
    }

    fn change_anew(
        &mut self,
        change: rules::Change,
        content: change_ids::ContentDigest,
    ) -> rules::ChangeOutcome {
        if change.base_revision != self.current.revision {
            return rules::ChangeOutcome::Conflict {
                revision: self.current.revision,
                between: self.after(change.base_revision),
            };
        }
        if let Err(problem) = self.try_edit(&change) {
            return rules::ChangeOutcome::Invalid {
                problem: problem.to_string(),
            };
        }
        self.current.revision.0 += 1;
        let revision = self.current.revision;
        self.change_ids
            .remember(&change.change_id, content, revision);
        self.history.push_back(rules::Accepted { revision, change });
        if self.history.len() > self.history_bound {
            self.history.pop_front();
        }
        rules::ChangeOutcome::Accepted { revision }
    }

    fn try_edit(&mut self, change: &rules::Change) -> Result<(), edit::Problem> {
        edit::check_id(&change.change_id)?;
        edit::apply(&mut self.current.rules, &change.edit)
    }

    fn after(&self, revision: rules::Revision) -> Vec<rules::Accepted> {
        self.history
            .iter()
            .filter(|accepted| accepted.revision > revision)
            .cloned()
            .collect()
    }
}
