//! Replication: appends, commits and snapshots.

use std::sync::Arc;

use crate::{entries, event, log, message, node, output, state};

impl node::Node {
    /// Appends an entry as leader.
    pub(crate) fn append(&mut self, data: log::EntryData, out: &mut output::Output) -> log::Index {
        let index = self.state.log.last().index.next();
        let entry = log::Entry {
            index,
            term: self.state.hard.term,
            data,
        };
        out.entry(entry.clone());
        self.state.log.push(entry);
        self.sync_peers();
        index
    }

    /// Updates the leader's peers to the membership in force.
    fn sync_peers(&mut self) {
        let state::Role::Leader(leader) = &mut self.state.role else {
            return;
        };
        let last = self.state.log.last().index;
        let membership = self.state.log.membership();
        leader.peers.retain(|id, _| membership.contains(*id));
        self.timers
            .answered
            .retain(|id, _| membership.contains(*id));
        for id in membership.members().filter(|id| *id != self.cfg.id) {
            leader
                .peers
                .entry(id)
                .or_insert_with(|| state::Peer::new(last));
        }
    }

    /// Sends each peer the entries that it lacks, up to the limit of messages in flight.
    pub(crate) fn replicate(&mut self, out: &mut output::Output) {
        let state::Role::Leader(leader) = &mut self.state.role else {
            return;
        };
        let term = self.state.hard.term;
        let log = &self.state.log;
        for (to, peer) in &mut leader.peers {
            let window = if peer.probing {
                1
            } else {
                self.cfg.max_in_flight
            };
            while peer.in_flight < window && peer.next <= log.last().index {
                let prev = peer.next.previous();
                let body = if let Some(term) = log.term_at(prev) {
                    let entries = batch(log.from(peer.next), self.cfg.max_batch_bytes);
                    peer.next = log::Index(prev.0 + entries.len() as u64 + 1);
                    let prev = log::Position { term, index: prev };
                    message::Body::Append {
                        prev,
                        entries,
                        commit: self.state.commit,
                    }
                } else {
                    let Some(snapshot) = &self.state.snapshot else {
                        break;
                    };
                    peer.restart_at(snapshot.index.next());
                    peer.snapshot = true;
                    message::Body::Snapshot(log::Snapshot::clone(snapshot))
                };
                peer.in_flight += 1;
                let message = message::Message {
                    to: *to,
                    term,
                    body,
                };
                out.push(event::Action::Send { to: *to, message });
                if peer.snapshot {
                    break;
                }
            }
        }
    }

    pub(crate) fn on_append(
        &mut self,
        from: log::NodeId,
        prev: log::Position,
        entries: Vec<log::Entry>,
        commit: log::Index,
        out: &mut output::Output,
    ) {
        let is_contiguous = |(entry, index): (&log::Entry, u64)| entry.index.0 == index;
        if !entries.iter().zip(prev.index.0 + 1..).all(is_contiguous) {
            return;
        }
        let base = self.state.log.base().index;
        if prev.index >= base && self.state.log.term_at(prev.index) != Some(prev.term) {
            let hint = self.last_possible_match(prev.index);
            self.send(
                from,
                message::Body::Rejected {
                    prev: prev.index,
                    hint,
                },
                out,
            );
            return;
        }
        let matched = log::Index(prev.index.0 + entries.len() as u64).max(base);
        for entry in entries {
            self.append_received(entry, out);
        }
        self.advance_commit(commit.min(matched), out);
        self.send(from, message::Body::Accepted { matched }, out);
    }

    /// Adds an entry of the leader to the log, unless the log already contains it.
    ///
    /// An entry that is already there stays, and so do the entries after it: the message may be delayed,
    /// and later entries may have been acknowledged since.
    fn append_received(&mut self, entry: log::Entry, out: &mut output::Output) {
        let log = &mut self.state.log;
        if entry.index <= log.base().index || log.term_at(entry.index) == Some(entry.term) {
            return;
        }
        if entry.index <= log.last().index {
            log.truncate(entry.index);
            out.truncate(entry.index);
        }
        out.entry(entry.clone());
        log.push(entry);
    }

    /// The last entry that may agree with the log of a leader whose entry at `prev` is missing here: the end
    /// of this log, or the entry before the first one of the conflicting term.
    fn last_possible_match(&self, prev: log::Index) -> log::Index {
        let log = &self.state.log;
        if prev > log.last().index {
            return log.last().index;
        }
        log.first_of_term_at(prev)
            .previous()
            .max(self.state.commit.min(prev.previous()))
    }

    pub(crate) fn on_accepted(
        &mut self,
        from: log::NodeId,
        matched: log::Index,
        out: &mut output::Output,
    ) {
        let last = self.state.log.last().index;
        let state::Role::Leader(leader) = &mut self.state.role else {
            return;
        };
        let Some(peer) = leader.peers.get_mut(&from) else {
            return;
        };
        if matched > last {
            return;
        }
        if matched > peer.matched {
            peer.matched = matched;
            peer.unanswered = 0;
        }
        peer.next = peer.next.max(matched.next());
        peer.in_flight = peer.in_flight.saturating_sub(1);
        peer.probing = false;
        peer.snapshot = false;
        self.commit_by_majority(out);
    }

    pub(crate) fn on_rejected(&mut self, from: log::NodeId, prev: log::Index, hint: log::Index) {
        let state::Role::Leader(leader) = &mut self.state.role else {
            return;
        };
        let Some(peer) = leader.peers.get_mut(&from) else {
            return;
        };
        let stale = prev <= peer.matched || prev >= peer.next || peer.snapshot;
        if !stale {
            let next = hint.next().min(prev).max(peer.matched.next());
            peer.restart_at(next);
        }
    }

    /// Commits the entries that a majority of voters holds.
    ///
    /// Only entries of the leader's own term are committed by counting acknowledgements, and earlier
    /// entries are committed with them. An earlier entry held by a majority may still be overwritten by a
    /// leader with a later term in its log (figure 8 of the Raft paper).
    pub(crate) fn commit_by_majority(&mut self, out: &mut output::Output) {
        let state::Role::Leader(leader) = &self.state.role else {
            return;
        };
        let log = &self.state.log;
        let held_by = |id: &log::NodeId| {
            if *id == self.cfg.id {
                log.last().index
            } else {
                leader
                    .peers
                    .get(id)
                    .map(|peer| peer.matched)
                    .unwrap_or_default()
            }
        };
        let mut held: Vec<_> = log.membership().voters.iter().map(held_by).collect();
        held.sort_unstable_by(|a, b| b.cmp(a));
        let Some(held) = held.get(log.membership().majority() - 1).copied() else {
            return;
        };
        let own = log.term_at(held) == Some(self.state.hard.term);
        if own || !self.cfg.guards.own_term_commit {
            self.advance_commit(held, out);
        }
        self.step_down_if_removed(out);
    }

    /// Steps down if this node's own removal is committed.
    fn step_down_if_removed(&mut self, out: &mut output::Output) {
        let log = &self.state.log;
        let committed = log.membership_index() <= self.state.commit;
        if committed && !log.membership().voters.contains(&self.cfg.id) {
            self.step_down(out);
        }
    }

    /// Applies newly committed entries, up to the end of this log.
    ///
    /// The log contains all of them, since a node is only told of committed entries that it has
    /// acknowledged. The bound matters only if a model checker turns a guard off, or if a disk has lost
    /// synced data.
    pub(crate) fn advance_commit(&mut self, to: log::Index, out: &mut output::Output) {
        let to = to.min(self.state.log.last().index);
        if to <= self.state.commit {
            return;
        }
        let entries = self.state.log.from(self.state.commit.next()).iter();
        let entries = entries
            .take_while(|entry| entry.index <= to)
            .cloned()
            .collect();
        self.state.commit = to;
        out.push(event::Action::Apply(entries));
    }

    pub(crate) fn on_snapshot(
        &mut self,
        from: log::NodeId,
        snapshot: log::Snapshot,
        out: &mut output::Output,
    ) {
        if snapshot.index > self.state.commit {
            self.restore(snapshot, out);
        }
        let matched = self.state.commit;
        self.send(from, message::Body::Accepted { matched }, out);
    }

    fn restore(&mut self, snapshot: log::Snapshot, out: &mut output::Output) {
        let agrees = self.state.log.term_at(snapshot.index) == Some(snapshot.term);
        out.snapshot(snapshot.clone(), !agrees);
        self.state.log.compact_to(&snapshot);
        self.state.commit = snapshot.index;
        self.state.snapshot = Some(Arc::new(snapshot.clone()));
        out.push(event::Action::Restore(snapshot));
    }

    pub(crate) fn compact(&mut self, snapshot: log::Snapshot, out: &mut output::Output) {
        let index = snapshot.index;
        let covered = index <= self.state.log.base().index;
        if covered || index > self.state.commit {
            return;
        }
        self.state.log.compact_to(&snapshot);
        self.state.snapshot = Some(Arc::new(snapshot));
        out.push(event::Action::Compacted { index });
    }
}

/// The first entries, up to about `max_bytes` in total but at least one.
fn batch(entries: &[log::Entry], max_bytes: usize) -> Vec<log::Entry> {
    let mut bytes = 0;
    let fits = |entry: &&log::Entry| {
        let first = bytes == 0;
        bytes += size(entry);
        first || bytes <= max_bytes
    };
    entries.iter().take_while(fits).cloned().collect()
}

/// The approximate size of the entries that were sent to a peer and are not acknowledged, in bytes.
pub(crate) fn unacknowledged_bytes(log: &entries::Entries, peer: &state::Peer) -> usize {
    let first = peer.matched.next();
    let sent = log.from(first).iter();
    let sent = sent.take_while(|entry| entry.index < peer.next);
    sent.map(size).sum()
}

/// The approximate size of an entry in a message, in bytes.
fn size(entry: &log::Entry) -> usize {
    /// The size of index, term and framing, and of entries without a command.
    const ENTRY_OVERHEAD: usize = 32;
    match &entry.data {
        log::EntryData::Command(payload) => ENTRY_OVERHEAD + payload.len(),
        log::EntryData::Noop | log::EntryData::Membership(_) => ENTRY_OVERHEAD,
    }
}
