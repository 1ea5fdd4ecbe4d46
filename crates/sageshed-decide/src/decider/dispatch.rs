//! Sending and queueing of requests, and the timeouts that are checked on each tick.

use std::{cmp, collections};

use sageshed_types::{arena, time, verdict};

use crate::{event, queue, request, router};

use super::{Actions, Decider, RefusalCause};

/// How many requests at the head of a lane are considered when the first can't be sent: a retry may
/// have to wait for an endpoint other than the one with a free slot.
const LANE_LOOKAHEAD: usize = 4;

/// The result of [`Decider::send_from`].
enum DequeueResult {
    /// One request was sent or refused and left the queue.
    Dequeued,
    /// No request of the lane can be sent now.
    Blocked,
}

impl Decider {
    pub(super) fn set_state(&mut self, req: event::ReqId, state: request::State) {
        if let Some(request) = self.requests.get_mut(&req) {
            request.state = state;
        }
    }

    /// Sends a request to the endpoint chosen for it.
    pub(super) fn send(
        &mut self,
        now: time::Instant,
        req: event::ReqId,
        pick: router::Pick,
        out: &mut Actions,
    ) {
        self.record_candidates(now, req, Some(pick.endpoint));
        let limit = self.first_byte_limit(now, req, pick);
        let left = self.expiry(req).since(now);
        let endpoint = self.router.fleet.get_mut(pick.endpoint);
        endpoint.set_own(now, endpoint.own + 1);
        let incarnation = endpoint.incarnation;
        let Some(request) = self.requests.get_mut(&req) else {
            return;
        };
        self.router.learned_mut(request.lane.target).sent(now);
        request.attempts += 1;
        request.state = request::State::Sent(request::Sent {
            endpoint: pick.endpoint,
            incarnation,
            at: now,
            wait: pick.wait,
            limited_by_deadline: limit >= left,
        });
        if request.attempts == 1 {
            request.queued = now.since(request.arrived);
            self.budget.earn();
        }
        out.push(event::Action::Send {
            req,
            endpoint: pick.endpoint,
            attempt: request.attempts,
            model: request.model(),
            priority: request.priority,
            deadline_left: request.left(now),
            first_byte_limit: limit.min(left),
        });
    }

    /// The longest time in which a working endpoint sends the first byte: a multiple of the estimated
    /// time to the complete response.
    ///
    /// The first byte of a response that is not streamed comes only when the response is complete, so
    /// the limit is based on the longest response that the request allows. If that is unknown, the only
    /// limit is the expiry of the request.
    fn first_byte_limit(
        &self,
        now: time::Instant,
        req: event::ReqId,
        pick: router::Pick,
    ) -> time::Millis {
        let Some(max_length_ratio) = self.max_length_ratio(req) else {
            return self.expiry(req).since(now);
        };
        let usual = (pick.wait + pick.service * max_length_ratio) * self.policy.first_byte_factor;
        time::Millis::rounded_up(usual).max(self.policy.first_byte_min_ms)
    }

    /// The ratio of the longest possible time to the first byte to the estimated one, if known. It is 1
    /// unless the first byte comes only with the complete response, whose length varies.
    fn max_length_ratio(&self, req: event::ReqId) -> Option<f64> {
        let request = self.requests.get(&req)?;
        match request.lane.target {
            event::Target::Model(_) if !request.info.streaming => {
                let learned = self.router.learned(request.lane.target);
                learned.max_length_ratio(request.info.max_tokens)
            }
            event::Target::Model(_) | event::Target::Service(_) => Some(1.0),
        }
    }

    /// Records the endpoints considered for the first attempt, for the explanation of the request.
    pub(super) fn record_candidates(
        &mut self,
        now: time::Instant,
        req: event::ReqId,
        chosen: Option<arena::EndpointKey>,
    ) {
        let Some(request) = self.requests.get_mut(&req) else {
            return;
        };
        if request.attempts > 0 {
            return;
        }
        let requirements = request.requirements();
        let router = &self.router;
        let holders = router.fleet.holders(requirements.target).iter();
        let considered = holders.map(|key| request::ConsideredEndpoint {
            endpoint: *key,
            estimate: router::estimate(router.pick(&requirements, *key)),
            room: router.has_room(now, *key, requirements.urgent),
            chosen: chosen == Some(*key),
            eligibility: router.eligibility(now, &requirements, *key),
        });
        request.candidates = considered.collect();
    }

    /// Queues a request. If the queue of its class is full, it displaces another request.
    pub(super) fn enqueue(&mut self, now: time::Instant, req: event::ReqId, out: &mut Actions) {
        let Some(request) = self.requests.get(&req) else {
            return;
        };
        let (lane, queue_key) = (request.lane, request.queue_key());
        let bound = self.names.class_row(queue_key.class).queue;
        if self.queues.class_len(queue_key.class) >= bound
            && let Some(other) = self.queues.displaced_by(queue_key.class, queue_key.caller)
        {
            self.refuse_displaced(now, other, out);
        }
        if self.router.is_cold(now, lane) {
            self.cold.entry(lane).or_insert(now);
        }
        self.set_state(req, request::State::Queued);
        self.queues.push(lane, queue_key);
        out.push(event::Action::Queue { req });
        while let DequeueResult::Dequeued = self.send_from(now, lane, out) {}
    }

    fn refuse_displaced(&mut self, now: time::Instant, req: event::ReqId, out: &mut Actions) {
        let Some(request) = self.requests.get(&req) else {
            return;
        };
        let wait = self.queue_wait(now, request);
        let cause = self.queue_full(request, wait);
        self.refuse(now, req, cause, out);
    }

    /// Sends queued requests for which there is a slot: of all lanes, or of those that `endpoint` serves.
    pub(super) fn send_waiting(
        &mut self,
        now: time::Instant,
        endpoint: Option<arena::EndpointKey>,
        out: &mut Actions,
    ) {
        let mut heads = collections::BinaryHeap::new();
        for (lane, queue_keys) in self.queues.lanes() {
            let served = endpoint.is_none_or(|key| self.router.fleet.get(key).serves(lane.target));
            let first = queue_keys.first().filter(|_| served);
            heads.extend(first.map(|queue_key| cmp::Reverse((*queue_key, lane))));
        }
        while let Some(cmp::Reverse((_, lane))) = heads.pop() {
            if let DequeueResult::Dequeued = self.send_from(now, lane, out) {
                let next = self.queues.first(lane, 1).next();
                heads.extend(next.map(|queue_key| cmp::Reverse((queue_key, lane))));
            }
        }
    }

    fn send_from(
        &mut self,
        now: time::Instant,
        lane: queue::Lane,
        out: &mut Actions,
    ) -> DequeueResult {
        let first = self.queues.first(lane, LANE_LOOKAHEAD).collect::<Vec<_>>();
        for queue_key in first {
            let Some(request) = self.requests.get(&queue_key.req) else {
                continue;
            };
            let router::Choice::Pick(pick) = self.router.choose(now, &request.requirements())
            else {
                continue;
            };
            self.cold.remove(&lane);
            if let Some(cause) = self.too_late(now, request, pick.wait) {
                self.refuse(now, queue_key.req, cause, out);
                return DequeueResult::Dequeued;
            }
            self.queues.remove(lane, &queue_key);
            self.send(now, queue_key.req, pick, out);
            return DequeueResult::Dequeued;
        }
        DequeueResult::Blocked
    }

    /// Handles a tick: ends expired requests, sends queued requests where slots are free, and refuses
    /// queued requests that can no longer meet their deadline.
    pub(super) fn handle_tick(&mut self, now: time::Instant, out: &mut Actions) {
        self.router.fleet.advance(now, &self.policy);
        let router = &self.router;
        self.cold.retain(|lane, _| router.is_cold(now, *lane));
        self.end_expired_requests(now, out);
        self.send_waiting(now, None, out);
        self.shed_waiting(now, out);
    }

    fn end_expired_requests(&mut self, now: time::Instant, out: &mut Actions) {
        while let Some((at, req)) = self.expiries.first().copied() {
            if at > now {
                return;
            }
            self.expiries.pop_first();
            self.end_expired_request(now, req, out);
        }
    }

    fn end_expired_request(&mut self, now: time::Instant, req: event::ReqId, out: &mut Actions) {
        let Some(request) = self.requests.get_mut(&req) else {
            return;
        };
        let deadline = request.deadline.0;
        let (reason, what) = match request.state {
            request::State::Sent(sent) => {
                request.verdict = request.verdict.and(verdict::Verdict::MayHaveRun);
                out.push(event::Action::Cancel {
                    req,
                    endpoint: sent.endpoint,
                });
                (verdict::Reason::DeadlinePassed, "it was still running")
            }
            request::State::Claiming => (
                verdict::Reason::ClaimUnavailable,
                "its claim was not settled",
            ),
            _ => (verdict::Reason::DeadlineUnmeetable, "it was still waiting"),
        };
        let cause = RefusalCause {
            reason,
            detail: format!("{what} after its deadline of {deadline} ms"),
            retry_after: None,
        };
        self.refuse(now, req, cause, out);
    }

    fn shed_waiting(&mut self, now: time::Instant, out: &mut Actions) {
        if !self.policy.shed {
            return;
        }
        let lanes = self.queues.lanes().map(|(lane, _)| lane);
        for lane in lanes.collect::<Vec<_>>() {
            for (req, cause) in self.late_requests(now, lane) {
                self.refuse_late(now, req, cause, out);
            }
        }
    }

    /// The queued requests of a lane that can no longer meet their deadline. Those already found don't
    /// count towards the wait of the requests behind them.
    fn late_requests(
        &self,
        now: time::Instant,
        lane: queue::Lane,
    ) -> Vec<(event::ReqId, RefusalCause)> {
        let mut found = Vec::new();
        let cold = self.router.is_cold(now, lane);
        let mut first_wait = None;
        let mut kept = 0.0;
        for queue_key in self.queues.first(lane, usize::MAX) {
            let Some(request) = self.requests.get(&queue_key.req) else {
                continue;
            };
            let cause = if cold {
                self.cold_start_too_late(now, request)
            } else {
                let first = *first_wait.get_or_insert_with(|| self.queue_wait(now, request));
                self.too_late(now, request, first * (1.0 + kept))
            };
            match cause {
                Some(cause) => found.push((queue_key.req, cause)),
                None => kept += 1.0,
            }
        }
        found
    }

    fn refuse_late(
        &mut self,
        now: time::Instant,
        req: event::ReqId,
        cause: RefusalCause,
        out: &mut Actions,
    ) {
        let request = self.requests.get(&req);
        if let Some(request) = request.filter(|_| cause.reason == verdict::Reason::NoRoute) {
            self.demand.unserved(request.lane.target);
        }
        self.refuse(now, req, cause, out);
    }
}
