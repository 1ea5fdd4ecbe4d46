//! The configurations that a control process has sent lately, so that it can send what changed.

use std::collections;

use sageshed_types::document;

use crate::transfer;

/// Configurations that are kept. An entry process holds the newest or, in a storm of changes, one of the last few.
const KEPT: usize = 4;

/// A change of more than this part of the whole is not worth the trouble.
const MOST_PART: usize = 2;

/// The configurations that were sent last.
#[derive(Debug, Default)]
pub struct Sent {
    /// What is being fetched.
    pub payloads: transfer::Outgoing,
    documents: collections::VecDeque<document::Document>,
    /// The change that was worked out last: many entry processes hold the same one.
    latest: Option<document::Change>,
}

impl Sent {
    /// What makes `newest` of the one whose text an entry process holds. None where that is not known here, or the whole
    /// is as good.
    pub fn change(
        &mut self,
        newest: &document::Document,
        text_held: u64,
    ) -> Option<document::Change> {
        if self
            .documents
            .back()
            .is_none_or(|it| it.version < newest.version)
        {
            self.documents.push_back(newest.clone());
            self.documents
                .drain(..self.documents.len().saturating_sub(KEPT));
        }
        let is_it = |it: &&document::Change| (it.from, it.version) == (text_held, newest.version);
        if let Some(known) = self.latest.as_ref().filter(is_it) {
            return Some(known.clone());
        }
        let before = self.documents.iter().find(|it| it.version == text_held)?;
        if before.version >= newest.version {
            return None;
        }
        let change = newest.change_from(before);
        let is_small = change.middle.len() * MOST_PART < newest.text.len();
        self.latest = is_small.then(|| change.clone());
        is_small.then_some(change)
    }
}
