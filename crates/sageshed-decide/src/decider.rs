//! The state machine that decides about every request of one entry process.
//!
//! A request goes through `Deciding -> [Claiming ->] [Queued ->] Sent -> Ended`, and from `Sent`
//! back to `Deciding` for a retry. The submodules implement the transitions: `arrive` (rules and
//! rate limits), `admit` (send, queue or refuse), `dispatch` (sending and queueing), `ended`
//! (outcomes and retries) and `query` (read access for the daemon).
//!
//! A request stays queued only while it can still be answered before its deadline. This is checked
//! on arrival, whenever a slot becomes free, and on each tick; a request that can no longer make it
//! is refused at that point.

mod admit;
mod arrive;
mod dispatch;
mod ended;
mod query;

use std::collections;

use sageshed_types::{refusal, rules as types_rules, time, verdict};

use crate::{budget, demand, event, fleet, limits, names, queue, request, router, rules, settings};

pub use crate::request_trace::{Gauges, RequestTracePart};

/// How many ended requests are kept, so that they can still be explained.
const KEPT_ENDED_REQUESTS: usize = 1_024;

/// Decides about all requests of one entry process. See the [module docs](self).
#[derive(Debug)]
pub struct Decider {
    names: names::Names,
    policy: settings::Policy,
    entries: u32,
    rules: rules::Compiled,
    limits: limits::Limits,
    budget: budget::Budget,
    router: router::Router,
    queues: queue::Queues,
    requests: collections::HashMap<event::ReqId, request::Request>,
    /// When each open request is cancelled or refused at the latest, whatever its state.
    expiries: collections::BTreeSet<(time::Instant, event::ReqId)>,
    /// Ended requests that are kept in `requests`, oldest first.
    ended: collections::VecDeque<event::ReqId>,
    /// Since when each lane has had no endpoint that serves its target.
    cold: collections::HashMap<queue::Lane, time::Instant>,
    demand: demand::Counts,
    /// The time passed to the last step.
    now: time::Instant,
    draining: bool,
    refusing_new: bool,
}

/// The actions that a step has produced so far.
type Actions = Vec<event::Action>;

/// Why a request is refused, without the fields that come from the request itself.
#[derive(Debug, Clone, PartialEq)]
struct RefusalCause {
    reason: verdict::Reason,
    detail: String,
    retry_after: Option<time::Millis>,
}

impl Decider {
    /// Creates a decider without endpoints and rules. The same seed and events give the same actions.
    #[must_use]
    pub fn new(settings: settings::Settings, seed: u64) -> Self {
        let names = names::Names::new(&settings);
        let policy = settings.policy;
        let entries = settings.entries.max(1);
        Self {
            router: router::Router::new(&names, policy.clone(), entries, seed),
            limits: limits::Limits::new(policy.max_limit_buckets),
            budget: budget::Budget::new(policy.retry_share, policy.retry_burst),
            names,
            policy,
            entries,
            rules: rules::Compiled::default(),
            queues: queue::Queues::default(),
            requests: collections::HashMap::new(),
            expiries: collections::BTreeSet::new(),
            ended: collections::VecDeque::new(),
            cold: collections::HashMap::new(),
            demand: demand::Counts::default(),
            now: time::Instant(0),
            draining: false,
            refusing_new: false,
        }
    }

    /// Installs a rule set and returns whether it was accepted. A revision older than the current one
    /// is ignored, so that a delayed copy of the configuration can't roll it back.
    pub fn install_rules(&mut self, set: types_rules::RuleSet) -> bool {
        if set.revision < self.rules.revision() {
            return false;
        }
        self.rules = rules::Compiled::new(set, &self.rules, &mut self.names);
        let rules = &self.rules;
        self.limits.retain_slots(|slot| rules.uses_slot(slot));
        true
    }

    /// Processes one event and returns the resulting actions.
    pub fn step(&mut self, now: time::Instant, event: event::Event) -> Vec<event::Action> {
        let mut out = Actions::new();
        self.now = now;
        match event {
            event::Event::Arrived(info) => self.handle_arrival(now, info, &mut out),
            event::Event::ClaimGranted(req) => self.handle_claim_granted(now, req, &mut out),
            event::Event::ClaimDenied(req) => self.end_request(now, req),
            event::Event::AttemptEnded { req, outcome } => {
                self.handle_attempt_end(now, req, outcome, &mut out);
            }
            event::Event::FirstToken { req } | event::Event::Progress { req, .. } => {
                self.mark_response_started(req);
            }
            event::Event::BackoffRequested { req, span } => self.handle_backoff(now, req, span),
            event::Event::CallerGone(req) => self.handle_caller_gone(now, req, &mut out),
            event::Event::Report(report, age) => self.handle_report(now, &report, age, &mut out),
            event::Event::EndpointSilent(endpoint) => {
                self.router.fleet.get_mut(endpoint).silent = true;
            }
            event::Event::Tick => self.handle_tick(now, &mut out),
            event::Event::Drain => self.draining = true,
            event::Event::RefuseNew => self.refusing_new = true,
        }
        out
    }

    fn handle_report(
        &mut self,
        now: time::Instant,
        report: &sageshed_types::endpoints::Report,
        age: time::Millis,
        out: &mut Actions,
    ) {
        let router = &mut self.router;
        let outcome = router
            .fleet
            .report(now, report, age, &mut self.names, &mut router.random);
        if let fleet::ReportOutcome::Applied(endpoint) = outcome {
            self.send_waiting(now, Some(endpoint), out);
        }
    }

    /// Refuses an open request with the verdict over all its attempts, and ends it.
    fn refuse(
        &mut self,
        now: time::Instant,
        req: event::ReqId,
        cause: RefusalCause,
        out: &mut Actions,
    ) {
        let Some(request) = self.requests.get(&req) else {
            return;
        };
        let mut refusal = refusal::Refusal::new(cause.reason, request.verdict, cause.detail);
        if let Some(rule) = &request.rule {
            refusal = refusal.with_rule(rule, request.revision);
        }
        refusal.revision = request.revision;
        refusal.retry_after = cause.retry_after;
        self.end_request(now, req);
        out.push(event::Action::Refuse { req, refusal });
    }

    /// Ends an open request and releases its slot or removes it from its queue. Its record is kept
    /// until [`KEPT_ENDED_REQUESTS`] later ones have ended.
    fn end_request(&mut self, now: time::Instant, req: event::ReqId) {
        let Some(request) = self.requests.get_mut(&req) else {
            return;
        };
        let state = std::mem::replace(&mut request.state, request::State::Ended);
        let (lane, queue_key) = (request.lane, request.queue_key());
        match state {
            request::State::Ended => return,
            request::State::Queued => self.queues.remove(lane, &queue_key),
            request::State::Sent(sent) => self.release_slot(now, sent),
            request::State::Deciding | request::State::Claiming => {}
        }
        let expiry = self.expiry(req);
        self.expiries.remove(&(expiry, req));
        self.keep_ended(req);
    }

    fn keep_ended(&mut self, req: event::ReqId) {
        if self.ended.len() == KEPT_ENDED_REQUESTS
            && let Some(oldest) = self.ended.pop_front()
        {
            self.requests.remove(&oldest);
        }
        self.ended.push_back(req);
    }

    /// Releases the slot of an attempt. An attempt sent to an earlier incarnation of the endpoint holds
    /// none.
    fn release_slot(&mut self, now: time::Instant, sent: request::Sent) {
        let endpoint = self.router.fleet.get_mut(sent.endpoint);
        if endpoint.incarnation == sent.incarnation {
            endpoint.set_own(now, endpoint.own.saturating_sub(1));
        }
    }

    /// When an open request is cancelled or refused at the latest.
    fn expiry(&self, req: event::ReqId) -> time::Instant {
        let Some(request) = self.requests.get(&req) else {
            return time::Instant(u64::MAX);
        };
        let share = if request.not_repeatable {
            self.policy.overrun_share_not_repeatable
        } else {
            self.policy.overrun_share
        };
        let overrun = request.deadline.0 as f64 * share.max(0.0);
        request.due() + time::Millis::rounded_up(overrun)
    }
}
