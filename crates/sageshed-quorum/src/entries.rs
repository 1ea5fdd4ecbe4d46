//! The log in memory: the entries after the latest snapshot.

use crate::log;

/// The entries after `base`, and the memberships that they contain.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Entries {
    /// The last entry that the snapshot covers.
    base: log::Position,
    after_base: Vec<log::Entry>,
    /// The membership in force at `base`, then those in `after_base`, with their indexes. Never empty.
    memberships: Vec<(log::Index, log::Membership)>,
}

impl Entries {
    /// Panics if an entry is missing: a log with a gap must be treated as a lost disk.
    pub(crate) fn new(restored: log::PersistedState) -> (Self, Option<log::Snapshot>) {
        let log::PersistedState {
            snapshot,
            entries,
            membership,
            ..
        } = restored;
        let base = snapshot
            .as_ref()
            .map(log::Snapshot::position)
            .unwrap_or_default();
        let membership = snapshot
            .as_ref()
            .map_or(membership, |s| s.membership.clone());
        let first = (base.index, membership);
        let mut log = Self {
            base,
            after_base: Vec::new(),
            memberships: vec![first],
        };
        for entry in entries {
            // A crash between writing a snapshot and deleting the entries that it covers leaves them behind.
            if entry.index > base.index {
                log.push(entry);
            }
        }
        (log, snapshot)
    }

    pub(crate) fn base(&self) -> log::Position {
        self.base
    }

    pub(crate) fn last(&self) -> log::Position {
        self.after_base
            .last()
            .map_or(self.base, log::Entry::position)
    }

    pub(crate) fn term_at(&self, index: log::Index) -> Option<log::Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.after_base
            .get(self.offset(index)?)
            .map(|entry| entry.term)
    }

    /// The latest membership, which is in force whether committed or not.
    pub(crate) fn membership(&self) -> &log::Membership {
        &self.latest().1
    }

    pub(crate) fn membership_index(&self) -> log::Index {
        self.latest().0
    }

    /// The membership in force at `index`, with the index of its entry.
    pub(crate) fn membership_at(&self, index: log::Index) -> &(log::Index, log::Membership) {
        let covered = self.memberships.partition_point(|(at, _)| *at <= index);
        &self.memberships[covered.saturating_sub(1)]
    }

    /// The entries at and after `from`. Empty if `from` is after the last entry or before the first one.
    pub(crate) fn from(&self, from: log::Index) -> &[log::Entry] {
        let offset = self.offset(from);
        offset
            .and_then(|offset| self.after_base.get(offset..))
            .unwrap_or_default()
    }

    /// The index of the first entry with the same term as the entry at `index`, which must exist.
    pub(crate) fn first_of_term_at(&self, index: log::Index) -> log::Index {
        let term = self.term_at(index);
        let mut first = index;
        while first > self.base.index && self.term_at(first.previous()) == term {
            first = first.previous();
        }
        first
    }

    pub(crate) fn push(&mut self, entry: log::Entry) {
        assert_eq!(entry.index, self.last().index.next(), "the log has a gap");
        if let log::EntryData::Membership(membership) = &entry.data {
            self.memberships.push((entry.index, membership.clone()));
        }
        self.after_base.push(entry);
    }

    /// Removes the entries at and after `from`.
    pub(crate) fn truncate(&mut self, from: log::Index) {
        let Some(offset) = self.offset(from) else {
            return;
        };
        self.after_base.truncate(offset);
        self.memberships
            .retain(|(at, _)| *at < from || *at <= self.base.index);
    }

    /// Removes the entries that `snapshot` covers, and also all later ones if the log contradicts it.
    pub(crate) fn compact_to(&mut self, snapshot: &log::Snapshot) {
        let agrees = self.term_at(snapshot.index) == Some(snapshot.term);
        let later = if agrees {
            self.from(snapshot.index.next()).to_vec()
        } else {
            Vec::new()
        };
        self.base = snapshot.position();
        self.memberships = vec![(snapshot.index, snapshot.membership.clone())];
        self.after_base.clear();
        for entry in later {
            self.push(entry);
        }
    }

    fn latest(&self) -> &(log::Index, log::Membership) {
        &self.memberships[self.memberships.len() - 1]
    }

    fn offset(&self, index: log::Index) -> Option<usize> {
        let offset = index.0.checked_sub(self.base.index.0 + 1)?;
        usize::try_from(offset).ok()
    }
}
