//! Exchange between the choosers of entry processes that share engines: observations, queries and
//! decisions.

use std::net;

use sageshed_types::{arena, time};

use super::{
    BATCH_STEP_MS, Choice, Chooser, EndpointQuery, EngineSelection, Pick, WaitReason, endpoint,
    prefill_speed, silence,
};
use crate::{dialect, entry_peers};

/// The lowest estimate in milliseconds from which prefill speed is learned. Below, the time to first token
/// is mostly network round trip and the step that was in progress.
const MIN_LEARNABLE_ESTIMATE_MS: f64 = 30.0;

/// How long one process's observation that an engine is unreachable waits for confirmation by a second one.
const UNREACHABLE_OBSERVATION_TTL: time::Millis = time::Millis(1_000);

impl Chooser {
    /// Applies another process's observation of an engine. Returns whether the engine has less pending
    /// prefill by it.
    pub fn apply_observation(
        &mut self,
        now: time::Instant,
        from: net::Ipv4Addr,
        observation: &entry_peers::EngineObservation,
    ) -> bool {
        let Some(key) = self.by_instance_key(observation.engine) else {
            return false;
        };
        let Some(endpoint) = self.get_mut(key) else {
            return false;
        };
        if let Some(prefix) = &observation.cached_prefix {
            endpoint.prefix_cache.insert_observed(prefix);
        }
        if shows_response(observation) {
            endpoint.record_activity(now);
        }
        if observation.ttft.is_some() {
            endpoint.ejection_time = time::Millis(0);
        }
        if let Some(running) = observation.running {
            endpoint.reported_running = Some((running, now));
        }
        endpoint
            .reported_slowdown
            .record(now, observation.slowdown_percent);
        let has_less = endpoint.set_peer_prefill(now, from, observation.pending_prefill_us);
        if let Some(fault) = observation.fault {
            endpoint.apply_fault(now, from, fault);
        }
        if let Some(sample) = observation.ttft {
            self.learn_ttft(now, key, sample);
        }
        if let Some(pauses) = observation.pauses {
            self.learn_pauses(now, key, pauses);
        }
        has_less
    }

    /// Learns the prefill speed of an engine from a request of another process.
    fn learn_ttft(
        &mut self,
        now: time::Instant,
        key: arena::EndpointKey,
        sample: entry_peers::TtftSample,
    ) {
        let estimated = f64::from(sample.estimated) - BATCH_STEP_MS;
        if estimated < MIN_LEARNABLE_ESTIMATE_MS {
            return;
        }
        let factor = (f64::from(sample.took) - BATCH_STEP_MS).max(1.0) / estimated;
        let Some(endpoint) = self.get_mut(key) else {
            return;
        };
        let took = time::Millis(u64::from(sample.took));
        let factor = factor / endpoint.reported_slowdown.change(now, took);
        endpoint.slowdown = prefill_speed::update_slowdown(endpoint.slowdown, factor);
        let models = endpoint.instance.models.iter();
        let mut matching = models.filter(|it| entry_peers::name_key(&it.model) == sample.model);
        if let Some(model) = matching.next().map(|it| it.model.clone()) {
            self.prefill_speeds.learn(&model, factor);
        }
    }

    /// This process's observation of the engine of `pick`, with the processes to send it to.
    #[must_use]
    pub fn observation_of(
        &self,
        pick: &Pick,
    ) -> Option<(entry_peers::EngineObservation, Vec<net::Ipv4Addr>)> {
        let endpoint = self.get(pick.key)?;
        let observation = entry_peers::EngineObservation {
            engine: entry_peers::instance_key(&endpoint.instance.id),
            pending_prefill_us: endpoint.pending_prefill_us,
            cached_prefix: None,
            ttft: None,
            running: None,
            slowdown_percent: None,
            pauses: None,
            fault: None,
            granted: None,
        };
        Some((observation, self.coordinators.observers(&endpoint.instance)))
    }

    /// Whether there are so many entry processes that models have coordinators. Only coordinators receive
    /// timings, pauses and faults.
    ///
    /// Where all processes exchange observations directly, each has enough requests of its own to learn these
    /// from; if they were shared, one process's bad luck with an engine would count against it on all.
    #[must_use]
    pub fn uses_coordinators(&self) -> bool {
        self.coordinators.are_used()
    }

    /// The coordinators to query for requests to `model`, in order; none if this process selects engines by
    /// itself.
    #[must_use]
    pub fn coordinators(&self, model: &str) -> Vec<net::Ipv4Addr> {
        self.coordinators.query_order(model)
    }

    /// Decides, as the coordinator, where the process `to` sends a request, and counts the request as sent
    /// there.
    pub fn route_for(
        &mut self,
        now: time::Instant,
        to: net::Ipv4Addr,
        request: u64,
        query: &EndpointQuery<'_>,
    ) -> entry_peers::RoutingDecision {
        let Some(wanted) = query.wanted else {
            return entry_peers::RoutingDecision::Unknown;
        };
        let (with_adapter, without_adapter) = self.engines_with_model(now, query, wanted);
        if with_adapter.is_empty()
            && without_adapter.is_empty()
            && self.open_endpoints(now, query).next().is_none()
        {
            return entry_peers::RoutingDecision::Unknown;
        }
        let key = match self.select_engine(now, query, &with_adapter, &without_adapter) {
            EngineSelection::Engine(key) => key,
            EngineSelection::Wait(WaitReason::Place) => {
                let expected = self
                    .wait_estimates
                    .record_waiting(now, &wanted.model, request);
                return entry_peers::RoutingDecision::Wait { expected };
            }
            EngineSelection::Wait(_) | EngineSelection::LoadAdapter(_) => {
                return entry_peers::RoutingDecision::Unknown;
            }
        };
        let estimate = super::to_millis(self.estimate_ms(now, key, query));
        let Some((endpoint, prefill_us)) = self.prepare_dispatch(now, key, query) else {
            return entry_peers::RoutingDecision::Unknown;
        };
        endpoint.add_routed(now, to, request, prefill_us);
        let decision = entry_peers::RoutingDecision::Engine {
            engine: entry_peers::instance_key(&endpoint.instance.id),
            estimate,
            cached_tokens: query
                .prompt_tokens
                .saturating_sub(endpoint.uncached_tokens(query)),
        };
        self.wait_estimates
            .record_routed(now, &wanted.model, request);
        decision
    }

    /// Follows a coordinator's decision, if the engine is known here and accepts the request as far as this
    /// process knows.
    pub fn follow_decision(
        &mut self,
        now: time::Instant,
        engine: u64,
        estimate: time::Millis,
        query: &EndpointQuery<'_>,
    ) -> Option<Choice> {
        let key = self.by_instance_key(engine)?;
        let is_open = self.is_in_service(key, query.service) && self.is_open(now, key, query);
        let holds = query
            .wanted
            .is_some_and(|it| self.holds(now, key, it, query.began));
        let is_accepted = is_open && holds && !self.has_better_endpoint(now, key, query);
        is_accepted.then(|| self.dispatch_with_estimate(now, key, query, estimate))
    }

    /// Looks up an endpoint by its [`entry_peers::instance_key`].
    #[must_use]
    pub fn by_instance_key(&self, key: u64) -> Option<arena::EndpointKey> {
        self.by_key.get(&key).copied()
    }

    /// The [`entry_peers::instance_key`] of an endpoint.
    #[must_use]
    pub fn instance_key(&self, key: arena::EndpointKey) -> Option<u64> {
        let endpoint = self.get(key)?;
        Some(entry_peers::instance_key(&endpoint.instance.id))
    }
}

impl endpoint::Endpoint {
    /// Applies a fault that the process `from` observed.
    ///
    /// A partitioned process reaches no engine, so that its observation alone ejects none. Those of two
    /// processes do.
    pub(super) fn apply_fault(
        &mut self,
        now: time::Instant,
        from: net::Ipv4Addr,
        fault: entry_peers::EngineFault,
    ) {
        let find_model = |model: u64| {
            let mut models = self.instance.models.iter();
            let found = models.find(|it| entry_peers::name_key(&it.model) == model);
            found.map(|it| dialect::ModelRef {
                model: it.model.clone(),
                adapter: None,
            })
        };
        match fault {
            entry_peers::EngineFault::Rejects(model) | entry_peers::EngineFault::Lacks(model) => {
                if let Some(wanted) = find_model(model) {
                    self.record_rejection(now, Some(&wanted));
                }
            }
            entry_peers::EngineFault::Fails => self.record_failure(now),
            entry_peers::EngineFault::Silent => {
                self.record_silence(now, silence::Reporter::Peer(from));
            }
            entry_peers::EngineFault::Unreachable => {
                self.record_failure(now);
                let before = self.unreachable_from.replace((from, now));
                let is_second = before.is_some_and(|(it, at)| {
                    it != from && now.since(at) < UNREACHABLE_OBSERVATION_TTL
                });
                if is_second {
                    self.eject(now);
                }
            }
        }
    }
}

/// Whether another process has just had a response of the engine, or the end of a stream.
fn shows_response(observation: &entry_peers::EngineObservation) -> bool {
    let is_response = |fault: entry_peers::EngineFault| {
        matches!(
            fault,
            entry_peers::EngineFault::Rejects(_) | entry_peers::EngineFault::Lacks(_)
        )
    };
    observation.ttft.is_some()
        || observation.running.is_some()
        || observation.slowdown_percent.is_some()
        || observation.pauses.is_some()
        || observation.fault.is_some_and(is_response)
}
