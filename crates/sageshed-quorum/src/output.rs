//! Collects the actions of one step.

use std::mem;

use crate::{event, log};

/// The write and the actions of one step.
///
/// All changes of a step to the disk are combined in one write, which precedes all other actions. This
/// is always safe, and all events handled in one step share one sync.
#[derive(Debug, Default)]
pub(crate) struct Output {
    write: log::LogWrite,
    actions: Vec<event::Action>,
}

impl Output {
    pub(crate) fn push(&mut self, action: event::Action) {
        self.actions.push(action);
    }

    pub(crate) fn hard_state(&mut self, hard_state: log::HardState) {
        self.write.hard_state = Some(hard_state);
    }

    pub(crate) fn entry(&mut self, entry: log::Entry) {
        self.write.entries.push(entry);
    }

    pub(crate) fn truncate(&mut self, from: log::Index) {
        self.write.entries.retain(|entry| entry.index < from);
        let earlier = self
            .write
            .truncate_from
            .map_or(from, |earlier| earlier.min(from));
        self.write.truncate_from = Some(earlier);
    }

    /// Adds a received snapshot. `contradicts` is set if the log has another entry at its index.
    pub(crate) fn snapshot(&mut self, snapshot: log::Snapshot, contradicts: bool) {
        if contradicts {
            self.truncate(snapshot.index.next());
        }
        self.write
            .entries
            .retain(|entry| entry.index > snapshot.index);
        self.write.snapshot = Some(snapshot);
    }

    pub(crate) fn finish(mut self, sync_first: bool) -> Vec<event::Action> {
        if self.write.is_empty() {
            return self.actions;
        }
        let persist = event::Action::Persist(mem::take(&mut self.write));
        let place = if sync_first { 0 } else { self.actions.len() };
        self.actions.insert(place, persist);
        self.actions
    }
}
