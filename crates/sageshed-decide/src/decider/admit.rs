//! Whether a request is sent now, waits, or is refused.
//!
//! A request that cannot be on time is refused at once, so that the slot it would have taken goes to
//! one that can, and the caller can turn elsewhere while there is time. The estimate is of the whole
//! answer: the wait in the queue here, the wait inside the endpoint, and the service time. Where a
//! queue has formed, one mean deviation of the service time is added and the wait is lengthened by
//! [`Policy::shed_margin`]: somebody else could use the slot for sure. Where there is room at once the mean has to
//! fit and no more, since a slot left free helps nobody.
//!
//! Estimates are learned from answers, so a wrong one that refuses everything would never be put
//! right: the model would stay refused for good on idle endpoints. Seen in a simulated trial, after a
//! start under three times the load. So when nothing was sent to a target for
//! [`Policy::probe_ms`], one request is sent whatever the estimate says.
//!
//! The time to come back is what the backlog needs to drain to the point where the request would
//! have fitted. Where even an idle system would be too slow, none is given: coming back cannot help.
//!
//! [`Policy::shed_margin`]: crate::settings::Policy::shed_margin
//! [`Policy::probe_ms`]: crate::settings::Policy::probe_ms

use sageshed_types::{arena, time, verdict};

use crate::{event, fleet, names, queue, request, router};

use super::{Actions, Decider, RefusalCause};

/// The least time after which a caller is asked to come back, in milliseconds.
const MIN_RETRY_AFTER_MS: f64 = 100.0;

/// When to ask again for a plain service of which no instance is known: about the time in which one
/// that restarts is heard of.
const SERVICE_RETRY_AFTER: time::Millis = time::Millis(2_000);

/// What is to be done with a request.
pub(super) enum Admission {
    /// Send it.
    Send(router::Pick),
    /// Let it wait.
    Wait,
    /// Refuse it.
    Refuse(RefusalCause),
}

/// When a target that no endpoint holds may be served.
enum ColdStart {
    /// After this many milliseconds, as far as can be known.
    After(f64),
    /// Nothing known here can ever hold it.
    Never(Option<time::Millis>),
}

impl Decider {
    /// Sends a request that was just let in, or lets it wait, or refuses it. One that may not be
    /// repeated is claimed first, so that a claim is asked for only if the request could be served.
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
            Admission::Wait => self.enqueue(now, req, out),
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

    /// Says what to do with a request; changes nothing but the generator.
    pub(super) fn assess(&mut self, now: time::Instant, req: event::ReqId) -> Admission {
        let Some(request) = self.requests.get(&req) else {
            return Admission::Wait;
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

    /// Whether the queue of its class has a place for a request, or another one gives way to it.
    fn assess_queue(&self, request: &request::Request, wait: f64) -> Admission {
        let bound = self.names.class_row(request.class).queue;
        let full = self.queues.class_len(request.class) >= bound;
        let displaced_by = || self.queues.displaced_by(request.class, request.info.caller);
        if full && displaced_by().is_none() {
            return Admission::Refuse(self.queue_full(request, wait));
        }
        Admission::Wait
    }

    /// Why a request that would wait `wait` milliseconds cannot be on time, if so.
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

    /// How long a request would wait here, in milliseconds: those before it in its own lane and, by
    /// the part of their endpoints that it shares, in others, at the rate at which this process may
    /// expect the endpoints to finish.
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

    /// The part of another lane's endpoints that are among `eligible`.
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

    /// Why a request for a target that no endpoint holds cannot be served in time, if so.
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

    /// When a lane's target may be held by an endpoint. A load that was seen to begin has the rest
    /// of its time to go; else the first request that waits for it is taken to have set it off.
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

/// Whether an engine may come to hold a model for a lane.
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
