//! The queue of all requests that wait for one model or plain service at any entry process, kept by its
//! coordinator.
//!
//! Requests are ordered by group (`groups`), then among the workspaces of a group by fair shares (`flows`), then
//! by the time at which they are late or, once they are late, abandoned.
//!
//! A request that can't begin before its caller gives up is refused as soon as this is known, by the rate at
//! which the queue drains (`drain`, `estimate`). It gets a time to return, and a reservation for that time
//! (`reservations`).

mod drain;
mod estimate;
mod flows;
mod groups;
mod policy;
mod reservations;
mod waiting;

use std::{collections, mem};

use sageshed_types::time;

pub use policy::{QueuePolicy, QueueStats};
pub use waiting::Waiting;

/// Result of [`SharedQueue::join`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JoinOutcome {
    /// The request waits.
    Queued {
        /// How long it is expected to wait, if that can be estimated.
        expected: Option<time::Millis>,
    },
    /// The request can't be served before its caller gives up.
    Refused {
        /// When the caller should return.
        retry_after: time::Millis,
    },
}

/// Why a request left the queue without a grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Removal {
    /// It can't be served before its caller gives up.
    Hopeless {
        /// When the caller should return.
        retry_after: time::Millis,
    },
    /// Its caller has given up.
    Abandoned,
    /// Its holder has not refreshed it.
    HolderSilent,
}

/// A queue of waiting requests.
#[derive(Debug)]
pub struct SharedQueue<P> {
    policy: QueuePolicy,
    entries: collections::HashMap<u64, waiting::Entry<P>>,
    groups: groups::Groups,
    /// Waiting requests by when they have to be looked at again.
    timers: collections::BTreeSet<(time::Instant, u64)>,
    /// Waiting requests in the order in which they joined, with the time.
    joined: collections::BTreeMap<u64, time::Instant>,
    last_ticket: u64,
    drain: drain::DrainRate,
    arrivals: drain::Arrivals,
    reservations: reservations::Reservations,
    /// Requests that left the queue and that [`SharedQueue::expire`] has not returned yet.
    removed: Vec<(Waiting<P>, Removal)>,
    stats: QueueStats,
}

impl<P> SharedQueue<P> {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(policy: QueuePolicy) -> Self {
        Self {
            policy,
            entries: collections::HashMap::new(),
            groups: groups::Groups::default(),
            timers: collections::BTreeSet::new(),
            joined: collections::BTreeMap::new(),
            last_ticket: 0,
            drain: drain::DrainRate::default(),
            arrivals: drain::Arrivals::default(),
            reservations: reservations::Reservations::default(),
            removed: Vec::new(),
            stats: QueueStats::default(),
        }
    }

    /// Adds a request, or refreshes one that is already queued, without a change of its position.
    pub fn join(&mut self, now: time::Instant, waiting: Waiting<P>) -> JoinOutcome {
        self.join_with_place(now, waiting, |_| false)
    }

    /// Like [`SharedQueue::join`], but keeps a request that `can_place` reports as placeable now, since those before
    /// it may wait for other endpoints. `can_place` is called only for a request that would be refused.
    pub fn join_with_place(
        &mut self,
        now: time::Instant,
        waiting: Waiting<P>,
        can_place: impl FnOnce(&Waiting<P>) -> bool,
    ) -> JoinOutcome {
        if self.entries.contains_key(&waiting.request) {
            return self.refresh(now, waiting, can_place);
        }
        self.advance(now);
        self.last_ticket += 1;
        let mut entry = waiting::Entry::new(now, self.last_ticket, waiting, &self.policy);
        let it = &entry.waiting;
        entry.has_reservation = self.reservations.redeem(now, it.workspace, it.content);
        self.stats.reservations_kept += u64::from(entry.has_reservation);
        if self.is_hopeless(now, &entry) && !can_place(&entry.waiting) {
            let retry_after = self.refuse(now, &entry);
            return JoinOutcome::Refused { retry_after };
        }
        let expected = self.expected_wait(now, &entry);
        let it = &entry.waiting;
        self.arrivals.record(now, it.priority, it.work_us);
        self.insert(entry);
        self.drain.record_busy(now, true);
        JoinOutcome::Queued { expected }
    }

    /// Removes a request that its holder has cancelled.
    pub fn leave(&mut self, now: time::Instant, request: u64) -> Option<Waiting<P>> {
        self.advance(now);
        let entry = self.remove(request)?;
        self.drain.record_busy(now, !self.is_empty());
        Some(entry.waiting)
    }

    /// Grants the next request that `place` can place. Returns it with its place.
    ///
    /// Requests that `place` can't place don't hold back others. It is called for at most
    /// [`QueuePolicy::max_candidates`] of them: those that are next and, in turn, others.
    pub fn grant<T>(
        &mut self,
        now: time::Instant,
        mut place: impl FnMut(&Waiting<P>) -> Option<T>,
    ) -> Option<(Waiting<P>, T)> {
        self.advance(now);
        let limit = self.policy.max_candidates;
        for (group, candidate) in self.groups.candidates(limit, &self.policy) {
            self.groups.record_tried(group, &candidate);
            let request = candidate.position.request;
            let Some(entry) = self.entries.get(&request) else {
                continue;
            };
            let Some(found) = place(&entry.waiting) else {
                continue;
            };
            let policy = &self.policy;
            self.groups
                .serve(group, candidate.workspace, &candidate.position, policy);
            self.stats.granted += 1;
            let entry = self.remove(request)?;
            self.drain.record_busy(now, !self.is_empty());
            return Some((entry.waiting, found));
        }
        self.groups.rotate();
        None
    }

    /// Removes the requests that can't be served any more.
    pub fn expire(&mut self, now: time::Instant) -> Vec<(Waiting<P>, Removal)> {
        self.advance(now);
        mem::take(&mut self.removed)
    }

    /// Records that engine time was spent on granted requests.
    pub fn record_served(&mut self, now: time::Instant, work_us: u64) {
        self.drain.record_served(now, work_us);
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// How long the oldest request has waited.
    #[must_use]
    pub fn oldest_wait(&self, now: time::Instant) -> time::Millis {
        let oldest = self.joined.first_key_value();
        oldest.map_or(time::Millis(0), |(_, joined)| now.since(*joined))
    }

    /// The counters since the queue's creation.
    #[must_use]
    pub fn stats(&self) -> QueueStats {
        self.stats
    }

    /// Refreshes a queued request.
    fn refresh(
        &mut self,
        now: time::Instant,
        waiting: Waiting<P>,
        can_place: impl FnOnce(&Waiting<P>) -> bool,
    ) -> JoinOutcome {
        let request = waiting.request;
        if let Some(entry) = self.entries.get_mut(&request) {
            entry.refreshed = now;
            entry.waiting.holder = waiting.holder;
            entry.waiting.payload = waiting.payload;
        }
        self.advance(now);
        let Some(entry) = self.entries.get(&request) else {
            return self.refuse_removed(request);
        };
        if !self.is_hopeless(now, entry) || can_place(&entry.waiting) {
            let expected = self.expected_wait(now, entry);
            return JoinOutcome::Queued { expected };
        }
        let Some(entry) = self.remove(request) else {
            return self.refuse_removed(request);
        };
        self.drain.record_busy(now, !self.is_empty());
        let retry_after = self.refuse(now, &entry);
        JoinOutcome::Refused { retry_after }
    }

    /// The reply to a request that was removed just now. It must not join again as a new one.
    fn refuse_removed(&mut self, request: u64) -> JoinOutcome {
        let mut removed = self.removed.iter();
        let at = removed.rposition(|(it, _)| it.request == request);
        let removal = at.map(|at| self.removed.swap_remove(at).1);
        let retry_after = match removal {
            Some(Removal::Hopeless { retry_after }) => retry_after,
            _ => time::Millis(1_000),
        };
        JoinOutcome::Refused { retry_after }
    }

    fn insert(&mut self, entry: waiting::Entry<P>) {
        let request = entry.waiting.request;
        self.joined.insert(entry.ticket, entry.joined);
        self.enqueue(&entry);
        self.entries.insert(request, entry);
    }

    fn enqueue(&mut self, entry: &waiting::Entry<P>) {
        let it = &entry.waiting;
        self.groups
            .insert(entry.group(), it.workspace, it.weight, entry.position());
        self.timers.insert((entry.timer, it.request));
    }

    fn remove(&mut self, request: u64) -> Option<waiting::Entry<P>> {
        let entry = self.entries.remove(&request)?;
        self.timers.remove(&(entry.timer, request));
        self.joined.remove(&entry.ticket);
        let workspace = entry.waiting.workspace;
        self.groups
            .remove(entry.group(), workspace, &entry.position());
        Some(entry)
    }

    /// Moves requests to the group to which they belong by now, and removes those that can't be served any more.
    fn advance(&mut self, now: time::Instant) {
        self.stats.reservations_missed += self.reservations.expire(now);
        while let Some(&(timer, request)) = self.timers.first()
            && timer <= now
        {
            self.timers.pop_first();
            let Some(entry) = self.entries.get_mut(&request) else {
                continue;
            };
            let urgency = entry.urgency_at(now, &self.policy);
            // A timer that is due again at once would keep this loop running.
            let next = now + time::Millis(1);
            if urgency == entry.urgency && !entry.has_to_leave(now, &self.policy) {
                // Removed and inserted again, the only request of a group or workspace would reset its counter.
                entry.timer = entry.next_timer(&self.policy).max(next);
                self.timers.insert((entry.timer, request));
                continue;
            }
            let Some(mut entry) = self.remove(request) else {
                continue;
            };
            let is_changed = urgency != entry.urgency;
            entry.urgency = urgency;
            if let Some(removal) = self.removal_of(now, &entry, is_changed) {
                self.removed.push((entry.waiting, removal));
                continue;
            }
            entry.timer = entry.next_timer(&self.policy).max(next);
            self.insert(entry);
        }
        self.drain.record_busy(now, !self.is_empty());
    }

    fn removal_of(
        &mut self,
        now: time::Instant,
        entry: &waiting::Entry<P>,
        is_changed: bool,
    ) -> Option<Removal> {
        if entry.is_silent(now, &self.policy) {
            self.stats.silent += 1;
            Some(Removal::HolderSilent)
        } else if now >= entry.waiting.abandoned_at {
            self.stats.abandoned += 1;
            Some(Removal::Abandoned)
        } else if now > entry.begin_by() || (is_changed && self.is_hopeless(now, entry)) {
            let retry_after = self.refuse(now, entry);
            Some(Removal::Hopeless { retry_after })
        } else {
            None
        }
    }
}
