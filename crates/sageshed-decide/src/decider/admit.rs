//! Admission control: whether a request is sent now, queued or refused.
//!
//! A request that can't meet its deadline is refused at once. Its slot goes to a request that can,
//! and the caller has time left to try elsewhere. The estimate covers the time to the complete
//! response: the wait in the local queue, the wait inside the endpoint, and the service time. When
//! requests are queued, the estimate is conservative, since another request could use the slot: the
//! wait is increased by [`Policy::shed_margin`] and the service time by its mean deviation. When a
//! slot is free, the mean estimate is used as it is, since an idle slot helps nobody.
//!
//! Estimates are learned from completed responses, so an estimate that is wrong and leads to every
//! request being refused would never be corrected: the model would stay unavailable on idle
//! endpoints. Simulations showed this after a start under three times the load. Therefore, when
//! nothing was sent to a target for [`Policy::probe_ms`], one request is sent regardless of the
//! estimate.
//!
//! The `retry_after` of a refusal is the time in which the backlog drains far enough for the request
//! to fit. If even an idle system would be too slow, there is none, since a retry can't succeed.
//!
//! [`Policy::shed_margin`]: crate::settings::Policy::shed_margin
//! [`Policy::probe_ms`]: crate::settings::Policy::probe_ms

use sageshed_types::{arena, time, verdict};

use crate::{event, fleet, names, queue, request, router};

use super::{Actions, Decider, RefusalCause};

/// The shortest `retry_after` of a refusal, in milliseconds.
const MIN_RETRY_AFTER_MS: f64 = 100.0;

/// The `retry_after` for a plain service without a known instance: about the time until a restarted
/// instance has sent a report.
const SERVICE_RETRY_AFTER: time::Millis = time::Millis(2_000);

/// The result of admission control for one request.
pub(super) enum Admission {
    /// Send the request to the chosen endpoint now.
    Send(router::Pick),
    /// Queue the request.
    Queue,
    /// Refuse the request.
    Refuse(RefusalCause),
}

/// When a target that no endpoint serves yet may become available.
enum ColdStart {
    /// After about this many milliseconds.
    After(f64),
    /// No known endpoint can serve it. The value is the `retry_after` to return.
    Never(Option<time::Millis>),
}

impl Decider {
    /// Sends, queues or refuses a request that has passed the rules and limits.
    ///
    /// A non-repeatable request needs a claim before it is sent or queued. The claim is requested only
    /// if the request would not be refused, so that none is made for a request that can't be served.
    pub(super) fn admit(&mut self, now: time::Instant, req: event::ReqId, out: &mut Actions) {
        let admission = self.assess(now, req);
        let needs_claim = self.requests.get(&req).is_some_and(|request| {
            request.not_repeatable && request.claim == request::Claim::Missing
        });
        match admission {
            Admission::Refuse(cause) => self.refuse_admission(now, req, cause, out),
            _ if needs_claim => {
                self.set_state(req, request::State::Claiming);
                out.push(event::Action::Claim { req });
            }
            Admission::Send(pick) => self.send(now, req, pick, out),
            Admission::Queue => self.enqueue(now, req, out),
        }
    }

    fn refuse_admission(
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
        self.record_candidates(now, req, None);
        self.refuse(now, req, cause, out);
    }

    /// Decides what to do with a request. Changes no state except that of the random generator.
    pub(super) fn assess(&mut self, now: time::Instant, req: event::ReqId) -> Admission {
        let Some(request) = self.requests.get(&req) else {
            return Admission::Queue;
        };
        let choice = self.router.choose(now, &request.requirements());
        let ahead = self.queues.ahead(request.lane, &request.queue_key());
        match choice {
            router::Choice::Pick(pick) if ahead == 0 => self.assess_pick(now, request, pick),
            router::Choice::Pick(_) | router::Choice::Full => self.assess_wait(now, request),
            router::Choice::Cold => self.assess_cold(now, request),
            router::Choice::Exhausted => Admission::Refuse(RefusalCause {
                reason: verdict::Reason::EndpointFailed,
                detail: "it has failed on each endpoint that could serve it".to_owned(),
                retry_after: Some(self.policy.eject_base_ms),
            }),
        }
    }

    fn assess_pick(
        &self,
        now: time::Instant,
        request: &request::Request,
        pick: router::Pick,
    ) -> Admission {
        let left = request.left(now).0 as f64;
        let late = self.may_refuse_by_estimate(now, request) && pick.wait + pick.service > left;
        if self.policy.shed && (late || left <= 0.0) {
            return Admission::Refuse(unmeetable(pick.wait, pick.service, left));
        }
        Admission::Send(pick)
    }

    fn assess_wait(&self, now: time::Instant, request: &request::Request) -> Admission {
        let wait = self.queue_wait(now, request);
        if let Some(cause) = self.too_late(now, request, wait) {
            return Admission::Refuse(cause);
        }
        self.assess_queue(request, wait)
    }

    /// Whether the queue of the request's class has space, or a queued request can be displaced.
    fn assess_queue(&self, request: &request::Request, wait: f64) -> Admission {
        let bound = self.names.class_row(request.class).queue;
        let full = self.queues.class_len(request.class) >= bound;
        let displaced_by = || self.queues.displaced_by(request.class, request.info.caller);
        if full && displaced_by().is_none() {
            return Admission::Refuse(self.queue_full(request, wait));
        }
        Admission::Queue
    }

    /// Returns a refusal if a request that waits `wait` milliseconds would miss its deadline.
    pub(super) fn too_late(
        &self,
        now: time::Instant,
        request: &request::Request,
        wait: f64,
    ) -> Option<RefusalCause> {
        let left = request.left(now).0 as f64;
        let learned = self.router.learned(request.lane.target);
        let service = self.router.service(&request.requirements());
        let needed = service + learned.deviation();
        let late = self.may_refuse_by_estimate(now, request)
            && wait * (1.0 + self.policy.shed_margin) + needed > left;
        let shed = self.policy.shed && (late || left <= 0.0);
        shed.then(|| unmeetable(wait, needed, left))
    }

    fn may_refuse_by_estimate(&self, now: time::Instant, request: &request::Request) -> bool {
        let learned = self.router.learned(request.lane.target);
        learned.has_enough_samples() && !learned.is_stale(now, self.policy.probe_ms)
    }

    pub(super) fn queue_full(&self, request: &request::Request, wait: f64) -> RefusalCause {
        let class = self.names.classes.name(request.class);
        let bound = self.names.class_row(request.class).queue;
        RefusalCause {
            reason: verdict::Reason::QueueFull,
            detail: format!("{bound} requests of class `{class}` wait here already"),
            retry_after: Some(time::Millis::rounded_up(wait.max(MIN_RETRY_AFTER_MS))),
        }
    }

    /// Estimates how long a request would wait in the local queue, in milliseconds.
    ///
    /// This is the number of requests ahead of it divided by the rate at which its endpoints are
    /// expected to complete requests of this process. Requests ahead of it in other lanes count in
    /// proportion to the endpoints that the lanes share.
    pub(super) fn queue_wait(&self, now: time::Instant, request: &request::Request) -> f64 {
        let requirements = request.requirements();
        let Ok(eligible) = self.router.eligible(now, &requirements) else {
            return 0.0;
        };
        let rates = eligible
            .iter()
            .map(|key| self.router.own_rate(now, *key, &requirements));
        let rate = rates.sum::<f64>().max(f64::MIN_POSITIVE);
        (self.ahead_of(request, &eligible) + 1.0) / rate
    }

    fn ahead_of(&self, request: &request::Request, eligible: &[arena::EndpointKey]) -> f64 {
        let queue_key = request.queue_key();
        let mut ahead = 0.0;
        for (lane, _) in self.queues.lanes() {
            let before = self.queues.ahead(lane, &queue_key) as f64;
            if before > 0.0 {
                ahead += before * self.overlap(request.lane, lane, eligible);
            }
        }
        ahead
    }

    /// The share of another lane's endpoints that are among `eligible`.
    fn overlap(&self, own: queue::Lane, lane: queue::Lane, eligible: &[arena::EndpointKey]) -> f64 {
        if own == lane {
            return 1.0;
        }
        let holders = self.router.fleet.holders(lane.target);
        let shared = holders.iter().filter(|key| eligible.contains(key)).count();
        shared as f64 / holders.len().max(1) as f64
    }

    fn assess_cold(&self, now: time::Instant, request: &request::Request) -> Admission {
        match self.cold_start_too_late(now, request) {
            Some(cause) => Admission::Refuse(cause),
            None => self.assess_queue(request, self.policy.load_order_ms.0 as f64),
        }
    }

    /// Returns a refusal if a request for a target that no endpoint serves would miss its deadline.
    pub(super) fn cold_start_too_late(
        &self,
        now: time::Instant,
        request: &request::Request,
    ) -> Option<RefusalCause> {
        let target = self.names.target(request.lane.target);
        let wait = match self.cold_start(now, request.lane) {
            ColdStart::After(wait) => wait,
            ColdStart::Never(retry_after) => {
                return Some(RefusalCause {
                    reason: verdict::Reason::NoRoute,
                    detail: format!("no endpoint is known that can serve `{target}`"),
                    retry_after,
                });
            }
        };
        let left = request.left(now).0 as f64;
        let service = self.router.service(&request.requirements());
        let late = self.policy.shed && wait + service > left;
        late.then(|| RefusalCause {
            reason: verdict::Reason::NoRoute,
            detail: format!(
                "no endpoint holds `{target}`; a load takes about {wait:.0} ms more, and \
                 {left:.0} ms are left"
            ),
            retry_after: Some(time::Millis::rounded_up(wait.max(MIN_RETRY_AFTER_MS))),
        })
    }

    /// Estimates when an endpoint will serve the target of a lane. If a load is in progress, its
    /// remaining time counts; otherwise the load is assumed to have been triggered by the first
    /// request that was queued for it.
    fn cold_start(&self, now: time::Instant, lane: queue::Lane) -> ColdStart {
        let event::Target::Model(model) = lane.target else {
            return ColdStart::Never(Some(SERVICE_RETRY_AFTER));
        };
        let row = self.names.model_row(model);
        let load = row.load.0 as f64;
        let engines = self.router.fleet.iter();
        let may_hold = engines
            .filter(|endpoint| may_hold(endpoint, row, lane))
            .collect::<Vec<_>>();
        if may_hold.is_empty() {
            return ColdStart::Never(Some(row.load));
        }
        let began = may_hold.iter().filter_map(|e| e.loading_since(model)).min();
        let order = self.policy.load_order_ms.0 as f64;
        let spent = match (began, self.cold.get(&lane)) {
            (Some(began), _) => now.since(began).0 as f64 + order,
            (None, Some(since)) => (now.since(*since).0 as f64).min(order),
            (None, None) => 0.0,
        };
        ColdStart::After((load + order - spent).max(0.0))
    }
}

/// Whether a model may be loaded on an engine that the lane can use.
fn may_hold(endpoint: &fleet::Endpoint, model: &names::Model, lane: queue::Lane) -> bool {
    let fleet::Kind::Engine(pool) = endpoint.kind else {
        return false;
    };
    let by_rule = lane.pool.is_none_or(|only| only == pool);
    let by_model = model.pools.is_empty() || model.pools.contains(&pool);
    by_rule && by_model && !endpoint.leaving
}

fn unmeetable(wait: f64, service: f64, left: f64) -> RefusalCause {
    let excess = (wait + service - left).max(MIN_RETRY_AFTER_MS);
    RefusalCause {
        reason: verdict::Reason::DeadlineUnmeetable,
        detail: format!(
            "it would wait about {wait:.0} ms and run about {service:.0} ms, and {left:.0} ms are \
             left"
        ),
        retry_after: (wait > 0.0)
            .then(|| time::Millis::rounded_up(excess.min(wait.max(MIN_RETRY_AFTER_MS)))),
    }
}
