//! Replicas for models whose requests wait or are refused.
//!
//! The work of a model is the prefill of its requests. Engines that are full of running streams take no more although
//! their prefill is far from busy, so requests wait while the work per replica is low. A model whose requests wait or are
//! refused therefore goes before those whose replicas only are busy, and gets one replica more than its work asks for. The
//! next one of these is ordered only once that one had the time to load and to serve what has waited: until then requests
//! go on to wait, and each would order another replica.

use std::collections;

use sageshed_types::time;

use super::{Planner, engine, weights};
use crate::config;

/// Need of a model whose requests wait or are refused, in busy engines: below that of a model without a replica, and
/// above that of any other.
const UNSERVED_NEED: f64 = 5.0;

/// Greatest part of the work in the need of such a model, so that it stays below that of a model without a replica.
const MAX_WORK_NEED: f64 = 4.0;

/// Time after the stated load of a replica in which it serves what has waited for it. Memory may have to be freed before
/// the load.
const SETTLING_TIME: time::Millis = time::Millis(3_000);

/// Cost of a load from the next slower source for such a model, in busy engines. A store load costs less than the eviction
/// of a last replica.
const SOURCE_RANK_COST: f64 = 0.9;

/// When the latest replica for unserved requests was ordered, by service and model.
pub(super) type ExtraReplicas = collections::HashMap<(String, String), time::Instant>;

impl Planner {
    /// The work of a model that waits or was refused, in busy engines; zero unless the planner follows it.
    pub(super) fn unserved(&self, now: time::Instant, service: &str, model: &str) -> f64 {
        if self.policy.follow_waiting {
            self.demand.unserved(now, service, model)
        } else {
            0.0
        }
    }

    /// Whether a replica that was ordered for unserved requests may still be on its way, or serves those that have waited.
    pub(super) fn awaits_extra_replica(
        &self,
        now: time::Instant,
        service: &str,
        model: &config::Model,
    ) -> bool {
        let key = (service.to_owned(), model.name.clone());
        let ordered = self.extra_replicas.get(&key);
        ordered.is_some_and(|at| now.since(*at) < model.store_load + SETTLING_TIME)
    }

    /// Records that a replica is ordered for unserved requests.
    pub(super) fn record_extra_replica(
        &mut self,
        now: time::Instant,
        service: &str,
        model: &config::Model,
    ) {
        if self.unserved(now, service, &model.name) > 0.0 {
            let key = (service.to_owned(), model.name.clone());
            self.extra_replicas.insert(key, now);
        }
    }
}

impl weights::PoolState<'_, '_> {
    /// The need of a model with a replica whose requests wait or are refused; none if it is one like any other.
    pub(super) fn need_if_unserved(
        &self,
        model: &config::Model,
        state: weights::ModelState,
        need: f64,
    ) -> Option<f64> {
        let is_short = need > self.planner.policy.add_replica_above;
        let service = self.pool.service;
        let awaits =
            state.loading > 0 || self.planner.awaits_extra_replica(self.now, service, model);
        let needs_more = state.unserved > 0.0 && (is_short || !awaits);
        needs_more.then(|| UNSERVED_NEED + need.min(MAX_WORK_NEED))
    }

    /// Cost of a load of `model` from `source` when engines are compared, in busy engines.
    pub(super) fn source_cost(&self, source: engine::Source, model: &config::Model) -> f64 {
        let cost = source.cost(model);
        if self.model_state(&model.name).unserved > 0.0 {
            let rank = match source {
                engine::Source::Memory => 0.0,
                engine::Source::Disk => 1.0,
                engine::Source::Store => 2.0,
            };
            return cost + rank * SOURCE_RANK_COST;
        }
        cost
    }
}
