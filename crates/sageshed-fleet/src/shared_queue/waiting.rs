//! Waiting requests, and the keys by which they are ordered.

use std::net;

use sageshed_types::time;

use super::QueuePolicy;

/// A due time later than this after the request joined is treated as this. It bounds the number of slots in
/// which booked work is summed.
const MAX_DUE_DELAY: time::Millis = time::Millis(16_000);

/// A request that waits for an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct Waiting<P> {
    /// Identifies the request.
    pub request: u64,
    /// The entry process that holds the request.
    pub holder: net::Ipv4Addr,
    /// Its priority; zero is the most urgent.
    pub priority: u8,
    /// The workspace that sends it, as a hash; zero for none.
    pub workspace: u64,
    /// The weight of the workspace's share.
    pub weight: f64,
    /// A hash of the request's content, which stays the same when its caller retries it.
    pub content: u64,
    /// Engine time that the request takes, in microseconds.
    pub work_us: u64,
    /// When its response would be late.
    pub late_at: time::Instant,
    /// When its caller gives up.
    pub abandoned_at: time::Instant,
    /// What the coordinator needs to place the request.
    pub payload: P,
}

/// How soon a request has to begin, in the order of service within a priority.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Urgency {
    /// It is late soon, and can still be on time.
    Tight,
    /// It has slack.
    Relaxed,
    /// It can't be on time any more.
    Late,
}

/// Identifies a group of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct GroupKey {
    pub priority: u8,
    pub urgency: Urgency,
}

/// The position of a request among those of its group and workspace; the lowest goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Position {
    /// Whether it holds no reservation.
    pub is_newcomer: bool,
    /// When it is late or, in a late group, abandoned.
    pub due: time::Instant,
    /// Order of joining.
    pub ticket: u64,
    pub request: u64,
    pub work_us: u64,
}

/// A queued request.
#[derive(Debug)]
pub(super) struct Entry<P> {
    pub waiting: Waiting<P>,
    pub ticket: u64,
    pub joined: time::Instant,
    pub refreshed: time::Instant,
    pub has_reservation: bool,
    pub urgency: Urgency,
    /// When it has to be looked at again.
    pub timer: time::Instant,
    /// Time that its response takes to begin once it is granted.
    reserve: time::Millis,
}

impl<P> Entry<P> {
    pub(super) fn new(
        now: time::Instant,
        ticket: u64,
        waiting: Waiting<P>,
        policy: &QueuePolicy,
    ) -> Self {
        let work = time::Millis(waiting.work_us / 1_000);
        // A request that joins shortly before it is abandoned still has half of that time to be granted.
        let half_left = time::Millis(waiting.abandoned_at.since(now).0 / 2);
        let mut entry = Self {
            ticket,
            joined: now,
            refreshed: now,
            has_reservation: false,
            urgency: Urgency::Tight,
            timer: now,
            reserve: policy.start_reserve.min(work).min(half_left),
            waiting,
        };
        entry.urgency = entry.urgency_at(now, policy);
        entry.timer = entry.next_timer(policy);
        entry
    }

    /// The last moment at which its response can begin before its caller gives up.
    pub(super) fn begin_by(&self) -> time::Instant {
        before(self.waiting.abandoned_at, self.reserve)
    }

    /// The last moment at which its response can begin on time.
    pub(super) fn on_time_by(&self) -> time::Instant {
        before(self.waiting.late_at, self.reserve)
    }

    pub(super) fn urgency_at(&self, now: time::Instant, policy: &QueuePolicy) -> Urgency {
        let on_time_by = self.on_time_by();
        if now > on_time_by {
            Urgency::Late
        } else if on_time_by.since(now) > policy.slack {
            Urgency::Relaxed
        } else {
            Urgency::Tight
        }
    }

    /// When its urgency changes next, or it has to leave the queue unless it is refreshed.
    pub(super) fn next_timer(&self, policy: &QueuePolicy) -> time::Instant {
        let removed = after(self.begin_by()).min(self.refreshed + policy.refresh_ttl);
        match self.urgency {
            Urgency::Relaxed => removed.min(before(self.on_time_by(), policy.slack)),
            Urgency::Tight => removed.min(after(self.on_time_by())),
            Urgency::Late => removed,
        }
    }

    /// Whether its holder has not refreshed it in time.
    pub(super) fn is_silent(&self, now: time::Instant, policy: &QueuePolicy) -> bool {
        now.since(self.refreshed) >= policy.refresh_ttl
    }

    /// Whether it can't wait any longer, whatever waits before it.
    pub(super) fn has_to_leave(&self, now: time::Instant, policy: &QueuePolicy) -> bool {
        let is_too_late = now >= self.waiting.abandoned_at || now > self.begin_by();
        is_too_late || self.is_silent(now, policy)
    }

    pub(super) fn group(&self) -> GroupKey {
        GroupKey {
            priority: self.waiting.priority,
            urgency: self.urgency,
        }
    }

    pub(super) fn position(&self) -> Position {
        self.position_in(self.urgency)
    }

    pub(super) fn position_in(&self, urgency: Urgency) -> Position {
        let due = match urgency {
            Urgency::Tight | Urgency::Relaxed => self.waiting.late_at,
            Urgency::Late => self.waiting.abandoned_at,
        };
        Position {
            is_newcomer: !self.has_reservation,
            due: due.min(self.joined + MAX_DUE_DELAY),
            ticket: self.ticket,
            request: self.waiting.request,
            work_us: self.waiting.work_us,
        }
    }
}

fn before(at: time::Instant, span: time::Millis) -> time::Instant {
    time::Instant(at.0.saturating_sub(span.0))
}

fn after(at: time::Instant) -> time::Instant {
    at + time::Millis(1)
}
