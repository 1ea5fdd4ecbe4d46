//! Read access for the daemon: names, request records, demand and gauges.

use sageshed_types::{arena, messages, request_trace as types_request_trace, rules, secret, time};

use crate::{event, fleet, health, names, request, request_trace, router};

use super::Decider;

impl Decider {
    /// All interned names, for look-ups by name and by key.
    #[must_use]
    pub fn names(&self) -> &names::Names {
        &self.names
    }

    /// The caller whose token has this digest, if any.
    #[must_use]
    pub fn caller_by_token(&self, digest: secret::KeyDigest) -> Option<arena::CallerKey> {
        self.names.caller_by_token(digest)
    }

    /// The key of the class with this name.
    #[must_use]
    pub fn class(&self, name: &str) -> Option<arena::ClassKey> {
        self.names.classes.get(name)
    }

    /// The target for a model or adapter name of the settings.
    #[must_use]
    pub fn model(&self, name: &str) -> Option<event::Target> {
        self.names.model(name)
    }

    /// The target for a plain service name of the settings.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<event::Target> {
        self.names.service(name)
    }

    /// The revision of the installed rules.
    #[must_use]
    pub fn revision(&self) -> rules::Revision {
        self.rules.revision()
    }

    /// The key of an endpoint that has sent a report.
    #[must_use]
    pub fn endpoint(&self, name: &str) -> Option<arena::EndpointKey> {
        self.names.endpoints.get(name)
    }

    /// The name of an endpoint.
    #[must_use]
    pub fn endpoint_name(&self, endpoint: arena::EndpointKey) -> &str {
        self.names.endpoints.name(endpoint)
    }

    /// The `IP:port` of an endpoint, from its newest report.
    #[must_use]
    pub fn endpoint_address(&self, endpoint: arena::EndpointKey) -> &str {
        &self.router.fleet.get(endpoint).address
    }

    /// Whether a request is treated as non-repeatable. `None` once its record has been dropped.
    #[must_use]
    pub fn is_not_repeatable(&self, req: event::ReqId) -> Option<bool> {
        self.requests
            .get(&req)
            .map(|request| request.not_repeatable)
    }

    /// What was decided about a request. Available while it is open and until its record is dropped.
    #[must_use]
    pub fn request_trace(&self, req: event::ReqId) -> Option<request_trace::RequestTracePart> {
        let request = self.requests.get(&req)?;
        let candidates = request.candidates.iter();
        Some(request_trace::RequestTracePart {
            rule: request.rule.as_deref().map(str::to_owned),
            revision: request.revision,
            class: self.names.classes.name(request.class).to_owned(),
            not_repeatable: request.not_repeatable,
            deadline: request.deadline,
            queued: request.queued,
            candidates: candidates
                .map(|considered| self.candidate(considered))
                .collect(),
        })
    }

    fn candidate(
        &self,
        considered: &request::ConsideredEndpoint,
    ) -> types_request_trace::Candidate {
        let why = match considered.eligibility {
            _ if considered.chosen => None,
            router::Eligibility::OtherPool => Some("the rule names another pool"),
            router::Eligibility::Leaving => Some("it is leaving"),
            router::Eligibility::Failed => Some("the request failed there"),
            router::Eligibility::Ejected => Some("it fails too often"),
            router::Eligibility::Silent => Some("it has not been heard"),
            router::Eligibility::Gone => Some("it fails and has not been heard"),
            router::Eligibility::Eligible if !considered.room => Some("it is full"),
            router::Eligibility::Eligible => Some("another was drawn or scored better"),
        };
        types_request_trace::Candidate {
            endpoint: self.names.endpoints.name(considered.endpoint).to_owned(),
            estimate: considered.estimate,
            passed_over: why.map(str::to_owned),
        }
    }

    /// Returns the demand by target since the last call, and resets the counts.
    pub fn demand(&mut self) -> Vec<messages::Demand> {
        let mut counts = self.demand.take();
        let waiting = self.waiting_cold();
        for target in waiting.keys() {
            counts.entry(*target).or_default();
        }
        let counts = counts.into_iter();
        let demand = counts.map(|(target, count)| messages::Demand {
            model: self.names.target(target).to_owned(),
            arrived: count.arrived,
            unserved: count.unserved,
            waiting: waiting.get(&target).copied().unwrap_or(0),
            service_time: self.service_time(target),
        });
        demand.collect()
    }

    fn waiting_cold(&self) -> std::collections::BTreeMap<event::Target, u32> {
        let mut waiting = std::collections::BTreeMap::new();
        for (lane, queue_keys) in self.queues.lanes() {
            if self.router.is_cold(self.now, lane) {
                let count = u32::try_from(queue_keys.len()).unwrap_or(u32::MAX);
                *waiting.entry(lane.target).or_insert(0) += count;
            }
        }
        waiting
    }

    fn service_time(&self, target: event::Target) -> time::Millis {
        let learned = self.router.learned(target);
        time::Millis::rounded_up(learned.service(0, self.policy.initial_service_ms))
    }

    /// Values for metrics, as of the last step.
    #[must_use]
    pub fn gauges(&self) -> request_trace::Gauges {
        let now = self.now;
        let is_ejected = |e: &&fleet::Endpoint| {
            e.health.allowance(now, &self.policy) == health::Allowance::Ejected
        };
        let open = self.requests.len() - self.ended.len();
        let fleet = &self.router.fleet;
        let in_flight = fleet.iter().map(|e| e.own as usize).sum();
        request_trace::Gauges {
            open,
            in_flight,
            queued: self.queued_by_class(),
            endpoints: fleet.iter().count(),
            ejected: fleet.iter().filter(is_ejected).count(),
            leaving: fleet.iter().filter(|e| e.leaving).count(),
            retry_tokens: self.budget.tokens(),
            draining: self.draining,
        }
    }

    fn queued_by_class(&self) -> Vec<(String, usize)> {
        let classes = self.names.classes.iter();
        let counts = classes.map(|(key, name)| {
            let count = self.queues.class_len(key) as usize;
            (name.to_owned(), count)
        });
        counts.collect()
    }
}
