//! Which requests are started next, and which connections are closed unread.
//!
//! Reading a request and finding its route takes processor time only. If as many requests were started as arrive,
//! then under more load than the processor bears each would get a smaller part of it, and all would be late. So
//! few are started at once. The others wait unread: those on connections that are in use are started first, in order
//! of arrival. A new connection whose request can't be started soon is closed unread, so that its caller can
//! try another process.
//!
//! The bound is on requests that are being started, not on those that wait for an endpoint, so it follows what the
//! process gets done without a measurement of it. What has been started before needs the processor as well, for each
//! event of a stream. While a thread that has work waits for the processor for too long, no request on a new connection
//! is started.

use std::{collections, time};

/// The weight of the latest interval in the mean of the intervals between two starts, as a divisor.
const PACE_WEIGHT: u32 = 8;

/// No request on a new connection is started for the time that a thread has waited for the processor, times this.
const PAUSE_FACTOR: u32 = 2;

/// The longest time for which no request on a new connection is started while some arrive, so that a process that says
/// that it takes connections does take some.
const MAX_PAUSE: time::Duration = time::Duration::from_millis(500);

/// Bounds on the requests that are started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// The most requests that are being started at once.
    pub at_once: usize,
    /// How long the first request of a connection waits unread.
    pub patience: time::Duration,
    /// The longest time that a thread with work may wait for the processor.
    pub max_lag: time::Duration,
    /// After this time a request no longer counts as being started: it waits for its caller, for example.
    pub longest_start: time::Duration,
}

impl Bounds {
    /// No bounds.
    pub const NONE: Self = Self {
        at_once: usize::MAX,
        patience: time::Duration::MAX,
        max_lag: time::Duration::MAX,
        longest_start: time::Duration::ZERO,
    };
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Start the request on this connection, which has arrived at this time.
    Start(u64, time::Instant),
    /// Close this connection unread.
    Close(u64),
    /// Look again at this time at the latest, or once a request has been started or has arrived.
    Wait(Option<time::Instant>),
}

/// A request that waits, by the id of its connection.
#[derive(Debug, Clone, Copy)]
struct Waiting {
    id: u64,
    since: time::Instant,
}

/// The requests that wait for their start, and those that are being started.
#[derive(Debug)]
pub struct Starts {
    bounds: Bounds,
    /// On connections that have been used before.
    on_kept: collections::VecDeque<Waiting>,
    on_new: collections::VecDeque<Waiting>,
    /// On connections that are to be closed, since these requests can't be started in time.
    hopeless: Vec<u64>,
    /// The requests that are being started, and since when.
    starting: collections::VecDeque<Waiting>,
    /// Until when no request on a new connection is started.
    paused_until: Option<time::Instant>,
    /// When a request on a new connection is started whatever else waits, since one was turned away.
    new_due_at: Option<time::Instant>,
    /// The mean time between two starts while requests wait.
    pace: Option<time::Duration>,
    started_at: Option<time::Instant>,
}

impl Starts {
    /// No requests yet.
    #[must_use]
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            on_kept: collections::VecDeque::new(),
            on_new: collections::VecDeque::new(),
            hopeless: Vec::new(),
            starting: collections::VecDeque::new(),
            paused_until: None,
            new_due_at: None,
            pace: None,
            started_at: None,
        }
    }

    /// Records that a request has arrived on a connection.
    pub fn arrive(&mut self, now: time::Instant, id: u64, is_new: bool) {
        let waiting = Waiting { id, since: now };
        if !is_new {
            self.on_kept.push_back(waiting);
        } else if !self.takes_new(now) {
            self.hopeless.push(id);
        } else {
            self.on_new.push_back(waiting);
        }
    }

    /// Whether a request that arrives now on a new connection can be started in time. If not, it is to be turned away.
    #[must_use]
    pub fn takes_new(&mut self, now: time::Instant) -> bool {
        let pause = self
            .paused_until
            .map(|it| it.saturating_duration_since(now));
        let wait = self.expected_wait().max(pause.unwrap_or_default());
        let is_taken = wait <= self.bounds.patience || self.is_new_due(now);
        if !is_taken {
            self.new_due_at.get_or_insert(now + MAX_PAUSE);
        }
        is_taken
    }

    fn is_new_due(&self, now: time::Instant) -> bool {
        self.new_due_at.is_some_and(|it| now >= it)
    }

    /// Whether more is asked of the process than it gets done: threads with work wait too long for the processor, or
    /// requests on connections in use for their start.
    #[must_use]
    pub fn is_overloaded(&self, now: time::Instant) -> bool {
        let longest = self
            .on_kept
            .front()
            .map(|it| now.saturating_duration_since(it.since));
        self.is_paused(now) || longest.is_some_and(|it| it > self.bounds.max_lag)
    }

    fn is_paused(&self, now: time::Instant) -> bool {
        self.paused_until.is_some_and(|it| now < it)
    }

    /// Records that the request on a connection is started, or has ended. Returns whether another one may be started.
    pub fn end_start(&mut self, id: u64) -> bool {
        let before = self.starting.len();
        self.starting.retain(|it| it.id != id);
        self.starting.len() < before && self.waits()
    }

    /// Records how long a thread with work has waited for the processor until now.
    pub fn record_lag(&mut self, now: time::Instant, lag: time::Duration) {
        if lag > self.bounds.max_lag {
            let until = now + lag.saturating_mul(PAUSE_FACTOR).min(MAX_PAUSE);
            self.paused_until = self.paused_until.max(Some(until));
        }
    }

    /// Decides on one request. To be called until nothing is left to do.
    pub fn next(&mut self, now: time::Instant) -> Next {
        if let Some(id) = self.hopeless.pop() {
            return Next::Close(id);
        }
        if !self.waits() {
            return Next::Wait(None);
        }
        let longest = self.bounds.longest_start;
        while self
            .starting
            .front()
            .is_some_and(|it| now >= it.since + longest)
        {
            self.starting.pop_front();
        }
        let has_place = self.starting.len() < self.bounds.at_once;
        let is_new_due = !self.on_new.is_empty() && self.is_new_due(now);
        if has_place && (is_new_due || !self.is_paused(now) || !self.on_kept.is_empty()) {
            return self.start(now, is_new_due);
        }
        let closes_at = self
            .on_new
            .front()
            .map(|it| it.since + self.bounds.patience);
        if closes_at.is_some_and(|it| now >= it)
            && let Some(expired) = self.on_new.pop_front()
        {
            self.new_due_at.get_or_insert(now + MAX_PAUSE);
            return Next::Close(expired.id);
        }
        let ends_at = self.starting.front().map(|it| it.since + longest);
        let may_start_at = if has_place {
            self.paused_until
        } else {
            ends_at
        };
        Next::Wait(closes_at.into_iter().chain(may_start_at).min())
    }

    fn start(&mut self, now: time::Instant, is_new_due: bool) -> Next {
        let kept = self.on_kept.pop_front_if(|_| !is_new_due);
        if kept.is_none() {
            self.new_due_at = None;
        }
        let Some(waiting) = kept.or_else(|| self.on_new.pop_front()) else {
            return Next::Wait(None);
        };
        self.record_start(now);
        let id = waiting.id;
        self.starting.push_back(Waiting { id, since: now });
        Next::Start(waiting.id, waiting.since)
    }

    /// Keeps the mean interval between two starts, as long as requests wait without a break.
    fn record_start(&mut self, now: time::Instant) {
        let before = self.started_at.take();
        if !self.waits() {
            self.pace = None;
            return;
        }
        self.started_at = Some(now);
        let Some(interval) = before.map(|it| now.saturating_duration_since(it)) else {
            return;
        };
        let pace = self.pace.unwrap_or(interval);
        self.pace = Some((pace * (PACE_WEIGHT - 1) + interval) / PACE_WEIGHT);
    }

    /// The expected wait behind the requests that wait already.
    fn expected_wait(&self) -> time::Duration {
        let before = u32::try_from(self.on_kept.len() + self.on_new.len()).unwrap_or(u32::MAX);
        self.pace
            .map_or(time::Duration::ZERO, |it| it.saturating_mul(before))
    }

    fn waits(&self) -> bool {
        !self.on_kept.is_empty() || !self.on_new.is_empty()
    }
}
