//! What the coordinator of a plain service knows of its endpoints, and how a process follows its grants.

use std::net;

use sageshed_types::{arena, time};

use super::{Choice, Chooser, EndpointQuery, outcomes};
use crate::{entry_peers, slots};

impl Chooser {
    /// Sets whether the slots of plain services are shared among all entry processes. Then this process
    /// keeps within its share of them when it selects endpoints by itself.
    #[must_use]
    pub fn with_slot_shares(mut self, is_used: bool) -> Self {
        self.has_slot_shares = is_used;
        self
    }

    /// Whether plain services have coordinators that grant their slots.
    #[must_use]
    pub fn has_slot_coordinators(&self) -> bool {
        self.has_slot_shares && self.coordinators.are_used()
    }

    /// The coordinators of a plain service, in the order in which they are asked; none if there are few
    /// entry processes or slots are not shared.
    #[must_use]
    pub fn slot_coordinators(&self, service: &str) -> Vec<net::Ipv4Addr> {
        if self.has_slot_coordinators() {
            self.coordinators.of_service(service)
        } else {
            Vec::new()
        }
    }

    /// The endpoints of a plain service that accept requests now, as its coordinator grants their slots.
    #[must_use]
    pub fn slot_endpoints(&self, now: time::Instant, service: &str) -> Vec<slots::SlotEndpoint> {
        let all = self.by_service.get(service).into_iter().flatten();
        let open = all
            .copied()
            .filter(|key| self.closed_for(now, *key).is_none());
        let is_ready = |key: &arena::EndpointKey| {
            let endpoint = self.get(*key);
            endpoint.is_some_and(|it| it.instance.is_ready() && !it.is_ejected(now))
        };
        let ready = self.without_silent(now, open.filter(is_ready).collect());
        let ready = ready.into_iter().filter_map(|key| self.get(key));
        ready
            .map(|it| slots::SlotEndpoint {
                key: entry_peers::instance_key(&it.instance.id),
                slots: it.instance.slots.max(1),
                availability_zone: it.instance.availability_zone.clone(),
                cost_ms: it.response_estimate_ms(now) + it.failure_penalty_ms(now),
            })
            .collect()
    }

    /// Applies what the process `from` has seen of an endpoint in a request that had a slot there.
    pub fn apply_slot_outcome(
        &mut self,
        now: time::Instant,
        from: net::Ipv4Addr,
        seen: &slots::messages::SlotOutcome,
    ) {
        let key = self.by_instance_key(seen.endpoint);
        let Some(endpoint) = key.and_then(|key| self.get_mut(key)) else {
            return;
        };
        endpoint
            .reported_slowdown
            .record(now, seen.slowdown_percent);
        let is_rejected = matches!(seen.fault, Some(entry_peers::EngineFault::Rejects(_)));
        if seen.took.is_some() || seen.slowdown_percent.is_some() || is_rejected {
            endpoint.record_activity(now);
        }
        if let Some(took) = seen.took {
            endpoint.ejection_time = time::Millis(0);
            outcomes::learn_response_time(endpoint, now, took);
        }
        match seen.fault {
            Some(entry_peers::EngineFault::Rejects(_)) => endpoint.record_rejection(now, None),
            Some(fault) => endpoint.apply_fault(now, from, fault),
            None => {}
        }
    }

    /// Follows a grant, if the endpoint is known here and accepts the request as far as this process knows.
    pub fn follow_slot(
        &mut self,
        now: time::Instant,
        endpoint: u64,
        query: &EndpointQuery<'_>,
    ) -> Option<Choice> {
        let key = self.by_instance_key(endpoint)?;
        let is_open = self.is_in_service(key, query.service) && self.is_open(now, key, query);
        let is_accepted = is_open && !self.has_better_endpoint(now, key, query);
        is_accepted.then(|| self.dispatch(now, key, query))
    }

    /// Whether this process has as many requests at the plain service as it may have by itself: all slots
    /// divided by the number of entry processes, and at least one.
    pub(super) fn is_slot_share_used(&self, service: &str) -> bool {
        if !self.has_slot_coordinators() {
            return false;
        }
        let all = self.by_service.get(service).into_iter().flatten();
        let all = all.filter_map(|key: &arena::EndpointKey| self.get(*key));
        let (slots, in_flight) = all.fold((0_u32, 0), |(slots, in_flight), it| {
            // What endpoints announce is not checked.
            let slots = slots.saturating_add(it.instance.slots.max(1));
            (slots, in_flight + it.in_flight)
        });
        let entries = u32::try_from(self.coordinators.entry_count()).unwrap_or(u32::MAX);
        in_flight >= (slots / entries.max(1)).max(1)
    }
}
