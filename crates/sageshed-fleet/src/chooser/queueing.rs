//! Places the requests of a shared queue on engines.

use std::net;

use sageshed_types::time;

use super::{BeganAt, Chooser, EndpointQuery, EngineSelection, endpoint, to_millis, to_u64};
use crate::{dialect, entry_peers, queue_coordinator};

/// Assumed engine time of one output token, in microseconds: a step of 7 to 10 ms yields one token for each of some
/// sixty streams.
const OUTPUT_TOKEN_US: u64 = 150;

/// A queued request is granted an engine only within the limit of pending prefill: beyond it the prompt would wait
/// in the engine, where no later and more urgent request can go before it.
const QUEUE_PATIENCE: time::Millis = time::Millis(1);

/// A query with the references that [`EndpointQuery`] needs.
struct OwnedQuery<'a> {
    query: &'a entry_peers::RoutingQuery,
    wanted: dialect::ModelRef,
    parts: Vec<dialect::PromptPart>,
    tried: Vec<sageshed_types::arena::EndpointKey>,
}

impl OwnedQuery<'_> {
    fn get(&self, elapsed: time::Millis) -> EndpointQuery<'_> {
        let left = |span: time::Millis| time::Millis(span.0.saturating_sub(elapsed.0));
        EndpointQuery {
            service: &self.query.service,
            wanted: Some(&self.wanted),
            parts: &self.parts,
            prompt_tokens: self.query.prompt_tokens,
            tried: &self.tried,
            time_left: left(self.query.time_left),
            patience: left(self.query.patience),
            time_until_late: left(self.query.time_until_late),
            may_be_late: self.query.may_be_late,
            may_load_adapter: false,
            ignores_slot_share: false,
            began: self
                .query
                .software
                .map_or(BeganAt::NotBegun, BeganAt::Version),
        }
    }
}

impl Chooser {
    fn owned<'a>(&self, query: &'a entry_peers::RoutingQuery) -> OwnedQuery<'a> {
        let parts = query.parts.iter();
        let tried = query.tried.iter();
        OwnedQuery {
            query,
            wanted: dialect::ModelRef {
                model: query.model.clone(),
                adapter: query.adapter.clone(),
            },
            parts: parts
                .map(|(id, tokens)| dialect::PromptPart {
                    id: *id,
                    tokens: *tokens,
                })
                .collect(),
            tried: tried.filter_map(|it| self.by_instance_key(*it)).collect(),
        }
    }

    /// Decides on a query of the process `from` by itself, without a queue.
    pub fn route_query(
        &mut self,
        now: time::Instant,
        from: net::Ipv4Addr,
        query: &entry_peers::RoutingQuery,
    ) -> entry_peers::RoutingDecision {
        let owned = self.owned(query);
        self.route_for(now, from, query.request, &owned.get(time::Millis(0)))
    }

    /// The coordinators of a model in the order in which they are queried, this process included.
    #[must_use]
    pub fn queue_coordinators(&self, model: &str) -> Vec<net::Ipv4Addr> {
        self.coordinators.of(model)
    }
}

impl queue_coordinator::Placement for Chooser {
    fn is_known(&self, now: time::Instant, query: &entry_peers::RoutingQuery) -> bool {
        let owned = self.owned(query);
        let (with_adapter, _) =
            self.engines_with_model(now, &owned.get(time::Millis(0)), &owned.wanted);
        !with_adapter.is_empty()
    }

    fn place(
        &mut self,
        now: time::Instant,
        to: net::Ipv4Addr,
        queued: &queue_coordinator::QueuedQuery,
    ) -> Option<queue_coordinator::Place> {
        let owned = self.owned(&queued.query);
        let query = EndpointQuery {
            patience: QUEUE_PATIENCE,
            ..owned.get(now.since(queued.received_at))
        };
        let (with_adapter, _) = self.engines_with_model(now, &query, &owned.wanted);
        let EngineSelection::Engine(key) = self.select_engine(now, &query, &with_adapter, &[])
        else {
            return None;
        };
        let estimate = to_millis(self.estimate_ms(now, key, &query));
        let (endpoint, prefill_us) = self.prepare_dispatch(now, key, &query)?;
        endpoint.add_routed(now, to, queued.query.request, prefill_us);
        let uncached = endpoint.uncached_tokens(&query);
        Some(queue_coordinator::Place {
            endpoint: entry_peers::instance_key(&endpoint.instance.id),
            estimate,
            cached_tokens: query.prompt_tokens.saturating_sub(uncached),
        })
    }

    fn work_us(&self, query: &entry_peers::RoutingQuery) -> u64 {
        let owned = self.owned(query);
        let holders = self.by_model.get(&query.model).into_iter().flatten();
        let holders = holders.filter_map(|key| self.get(*key));
        let uncached = holders.map(|it| it.uncached_tokens(&owned.get(time::Millis(0))));
        let tokens = uncached.min().unwrap_or(query.prompt_tokens);
        let prefill_ms = tokens as f64 * self.prefill_speeds.ms_per_token(&query.model);
        let output_tokens = query.queue.map_or(0, |it| it.output_tokens);
        to_u64(prefill_ms * endpoint::MICROS_PER_MS)
            .saturating_add(output_tokens.saturating_mul(OUTPUT_TOKEN_US))
    }

    fn release(&mut self, to: net::Ipv4Addr, request: u64, endpoint: u64) {
        let key = self.by_instance_key(endpoint);
        if let Some(endpoint) = key.and_then(|it| self.get_mut(it)) {
            endpoint.remove_routed(to, request);
        }
    }

    fn serves(&self, endpoint: u64, queue: &queue_coordinator::QueueKey) -> bool {
        let key = self.by_instance_key(endpoint);
        let endpoint = key.and_then(|it| self.get(it));
        endpoint.is_some_and(|it| match queue {
            queue_coordinator::QueueKey::Model(model) => it.instance.holds(model, None),
            queue_coordinator::QueueKey::Service(service) => it.instance.service == *service,
        })
    }
}
