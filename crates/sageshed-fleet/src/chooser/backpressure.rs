//! What endpoints ask of those who send to them.
//!
//! An endpoint in need names in its answers how many requests a second it takes from all VMs together. No process
//! sees all of these, so that the limit is an allowance ([`allowance`](crate::allowance)): whoever was told of
//! it asks for a unit before each sending, and leaves the endpoint alone for as long as it is told.
//!
//! One that turns a request away may want rest from the VM that sent it. That is between these two: no other process
//! is told.
//!
//! It is kept by the start of an endpoint and apart from what else is known of it, since an endpoint that control
//! loses sight of for a while is forgotten with all that was learnt, and holds others to its word all the same.

use std::collections;

use sageshed_types::{arena, time};

use super::{Ask, Chooser, Missing};
use crate::{allowance, dialect, directory};

/// The smallest limit that is kept to, in requests a second. Of one that names none at all nothing would ever be
/// heard again.
const LEAST_PER_S: f64 = 0.25;

/// Requests that may go to an endpoint with a limit at once. Half of what comes within seconds comes in pairs and
/// clumps; what is not used meanwhile is lost.
const BURST: f64 = 2.0;

/// Between two counts of what was sent to an endpoint with a limit.
const COUNTED_EVERY: time::Millis = time::Millis(4_000);

/// How long what an endpoint has said is kept once it is gone.
const KEPT: time::Millis = time::Millis(60_000);

/// What is new of the limit of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Change {
    /// It names this one, in requests a second, and named none or another before.
    Named(f64),
    /// It names none any more.
    Lifted,
    /// It has been sent so many requests by this process in the span since they were counted last.
    Sent(u64, time::Millis),
}

/// A limit that an endpoint has named, and what this process has sent there since.
#[derive(Debug, Clone, Copy)]
struct Limit {
    /// Requests a second.
    per_s: f64,
    heard: time::Instant,
    /// Requests that were sent since `counted_from`.
    sent: u64,
    counted_from: time::Instant,
}

/// What one start of an endpoint has said.
#[derive(Debug, Clone, Copy, Default)]
struct Said {
    limit: Option<Limit>,
    /// By its limit it is not this process's turn before.
    closed_until: time::Instant,
    /// It rests from this process until then.
    rests_until: time::Instant,
    heard: time::Instant,
}

/// What endpoints have said that asked for something.
#[derive(Debug, Default)]
pub(super) struct Backpressure {
    by_start: collections::HashMap<directory::InstanceId, Said>,
}

impl Backpressure {
    /// How much longer nothing is to go to this start.
    fn closed_for(&self, now: time::Instant, id: &directory::InstanceId) -> Option<time::Millis> {
        if self.by_start.is_empty() {
            return None;
        }
        let said = self.by_start.get(id)?;
        let until = said.closed_until.max(said.rests_until);
        (now < until).then(|| until.since(now))
    }

    pub(super) fn is_closed(&self, now: time::Instant, id: &directory::InstanceId) -> bool {
        self.closed_for(now, id).is_some()
    }

    fn limit(&mut self, id: &directory::InstanceId) -> Option<&mut Limit> {
        if self.by_start.is_empty() {
            return None;
        }
        self.by_start.get_mut(id)?.limit.as_mut()
    }
}

impl Chooser {
    /// Takes what an answer to a request that was sent to the start `id` says of it. Returns what is new of its limit.
    pub fn heed(
        &mut self,
        now: time::Instant,
        id: &directory::InstanceId,
        answered: &dialect::ResponseMetadata<'_>,
    ) -> Option<Change> {
        if !answered.is_of(id) {
            return None;
        }
        if let Some(span) = answered.notice.retry_after {
            self.rest(now, id, span);
        }
        match answered.notice.limit {
            Some(per_s) => self.limited(now, id, per_s),
            // A rejection may be too short to say all.
            None if answered.execution != dialect::ExecutionStatus::Verified => None,
            None => self.unlimited(id),
        }
    }

    /// A start of an endpoint has named a limit in an answer. Returns what is new.
    pub fn limited(
        &mut self,
        now: time::Instant,
        id: &directory::InstanceId,
        per_s: f64,
    ) -> Option<Change> {
        self.forget_said(now);
        let said = self.backpressure.by_start.entry(id.clone()).or_default();
        said.heard = now;
        let before = said.limit.map(|it| it.per_s);
        let limit = said.limit.get_or_insert(Limit {
            per_s,
            heard: now,
            sent: 0,
            counted_from: now,
        });
        limit.per_s = per_s;
        limit.heard = now;
        (before != Some(per_s)).then_some(Change::Named(per_s))
    }

    /// A start of an endpoint has answered without naming a limit. Returns what is new.
    pub fn unlimited(&mut self, id: &directory::InstanceId) -> Option<Change> {
        if self.backpressure.by_start.is_empty() {
            return None;
        }
        let said = self.backpressure.by_start.get_mut(id)?;
        said.limit.take()?;
        said.closed_until = time::Instant(0);
        Some(Change::Lifted)
    }

    /// The terms by which requests may go to this start, where it has named a limit.
    pub fn limit_of(
        &mut self,
        now: time::Instant,
        id: &directory::InstanceId,
    ) -> Option<allowance::Named> {
        let limit = self.backpressure.limit(id)?;
        Some(allowance::Named {
            terms: allowance::Terms {
                per_s: limit.per_s.max(LEAST_PER_S),
                burst: BURST,
            },
            age: now.since(limit.heard),
        })
    }

    /// Nothing goes to this start for `span`, when it is this process's turn. Of several turns the first counts.
    pub fn close(&mut self, now: time::Instant, id: &directory::InstanceId, span: time::Millis) {
        let said = self.backpressure.by_start.entry(id.clone()).or_default();
        said.heard = now;
        let is_closed = now < said.closed_until;
        let until = now + span;
        said.closed_until = if is_closed {
            until.min(said.closed_until)
        } else {
            until
        };
    }

    /// This start has turned a request away and wants none from this process for `span`. Of several such words the
    /// one holds that lasts longest: it does not take an earlier one back.
    pub fn rest(&mut self, now: time::Instant, id: &directory::InstanceId, span: time::Millis) {
        self.forget_said(now);
        let said = self.backpressure.by_start.entry(id.clone()).or_default();
        said.heard = now;
        said.rests_until = said.rests_until.max(now + span);
    }

    /// A request goes to this start. Returns a count where it has a limit and one is due.
    pub fn sends(&mut self, now: time::Instant, id: &directory::InstanceId) -> Option<Change> {
        let limit = self.backpressure.limit(id)?;
        limit.sent += 1;
        let span = now.since(limit.counted_from);
        if span < COUNTED_EVERY {
            return None;
        }
        let sent = limit.sent;
        limit.sent = 0;
        limit.counted_from = now;
        Some(Change::Sent(sent, span))
    }

    /// How many endpoints that are there have named a limit.
    #[must_use]
    pub fn count_limited(&self) -> usize {
        let said = self.backpressure.by_start.iter();
        let limited = said.filter(|(id, it)| it.limit.is_some() && self.by_id.contains_key(*id));
        limited.count()
    }

    /// Endpoints of the service to which nothing goes now, since they asked for that.
    #[must_use]
    pub fn closed(&self, now: time::Instant, service: &str) -> Vec<arena::EndpointKey> {
        if self.backpressure.by_start.is_empty() {
            return Vec::new();
        }
        let all = self.by_service.get(service).into_iter().flatten().copied();
        all.filter(|key| self.closed_for(now, *key).is_some())
            .collect()
    }

    pub(super) fn closed_for(
        &self,
        now: time::Instant,
        key: arena::EndpointKey,
    ) -> Option<time::Millis> {
        let endpoint = self.get(key)?;
        self.backpressure.closed_for(now, &endpoint.instance.id)
    }

    /// What a request lacks for which nothing was found: the first endpoint that opens, where there is one that
    /// could take it then.
    pub(super) fn missing_or_closed(
        &self,
        now: time::Instant,
        ask: &Ask<'_>,
        missing: Missing,
    ) -> Missing {
        if !matches!(missing, Missing::Endpoint | Missing::Model) {
            return missing;
        }
        let closed = self.closed(now, ask.service).into_iter();
        let fitting = closed.filter(|key| {
            self.is_sound(now, *key, ask)
                && ask
                    .wanted
                    .is_none_or(|wanted| self.holds(now, *key, wanted))
        });
        let opens = fitting.filter_map(|key| self.closed_for(now, key)).min();
        opens.map_or(missing, Missing::Allowance)
    }

    fn forget_said(&mut self, now: time::Instant) {
        let known = &self.by_id;
        self.backpressure
            .by_start
            .retain(|id, it| known.contains_key(id) || now.since(it.heard) < KEPT);
    }
}
