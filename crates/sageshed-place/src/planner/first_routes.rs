//! Gives each model and adapter a route.

use std::cmp;

use sageshed_types::arena::{EndpointKey, Key, ModelKey};

use crate::{ledger, planner};

use planner::{Attempt, Planner};

/// Maximum number of models without a route that one plan handles. The others wait for later plans.
const MAX_MODELS: usize = 64;

/// The models of the catalog in the order in which they get their first route: critical ones first
/// (the base of a critical adapter is critical too), then base models, then those that need most
/// memory together with their adapters, since it is hardest to find room for them.
#[must_use]
pub fn ranking(ledger: &ledger::Ledger) -> Vec<ModelKey> {
    let offers = ledger.offers();
    let mut family: Vec<u64> = offers.iter().map(|o| o.model.memory_mib).collect();
    let mut critical: Vec<bool> = offers.iter().map(|o| o.model.critical).collect();
    for offer in offers {
        let Some(base) = offer.base.filter(|base| base.index() < offers.len()) else {
            continue;
        };
        family[base.index()] += offer.model.memory_mib;
        critical[base.index()] |= offer.model.critical;
    }
    let mut keys: Vec<ModelKey> = (0..offers.len()).map(ModelKey::from_index).collect();
    keys.sort_by_key(|key| {
        let at = key.index();
        (
            !critical[at],
            offers[at].base.is_some(),
            cmp::Reverse(family[at]),
            at,
        )
    });
    keys
}

impl Planner<'_> {
    /// Starts a load for each model that has no route and is not being loaded.
    pub(super) fn ensure_routes(&mut self) {
        let ranking = self.inputs.ranking;
        for model in ranking {
            if !self.routes[model.index()].is_empty() {
                self.inputs.move_limits.reset(*model);
            }
        }
        let start = self.rotation_offset();
        let without_route = ranking
            .iter()
            .filter(|m| self.routes[m.index()].is_empty() && self.loading_on[m.index()].is_empty());
        let without_route: Vec<ModelKey> = without_route.copied().collect();
        let critical = without_route
            .iter()
            .filter(|m| self.offer(**m).model.critical);
        let first = critical.count().min(MAX_MODELS);
        let rest = without_route.len() - first;
        let turn = if rest > MAX_MODELS { start % rest } else { 0 };
        let order = (0..first).chain((0..rest).map(|i| first + (i + turn) % rest));
        for at in order.take(MAX_MODELS) {
            let model = without_route[at];
            let attempt = self.give_route_within_limits(model);
            if attempt == Attempt::Impossible {
                self.report_problem(model, "no engine that takes orders now can make room");
            }
        }
    }

    /// The offset at which the rotation through models without a route starts. It advances with time, so
    /// that each model gets its turn.
    fn rotation_offset(&self) -> usize {
        let interval = self.inputs.policy.plan_interval_ms.0.max(1);
        let plans = self.inputs.now.0 / interval;
        usize::try_from(plans).unwrap_or(0) * MAX_MODELS
    }

    /// Gives `model` a route, but moves replicas for it only as far as the move limits allow.
    fn give_route_within_limits(&mut self, model: ModelKey) -> Attempt {
        let now = self.inputs.now;
        self.moves_paused = !self.inputs.move_limits.allow(model, now);
        let before = self.evictions;
        let attempt = self.give_route(model);
        if self.evictions > before {
            self.inputs.move_limits.count(model, now);
        }
        self.moves_paused = false;
        attempt
    }

    fn give_route(&mut self, model: ModelKey) -> Attempt {
        match self.offer(model).base {
            Some(base) if base.index() >= self.routes.len() => Attempt::Impossible,
            Some(base) => self.give_adapter_route(model, base),
            None => self.give_base_route(model, self.memory(model)),
        }
    }

    fn give_base_route(&mut self, model: ModelKey, need_mib: u64) -> Attempt {
        if let Some(key) = self.best_engine_with_room(model, need_mib) {
            return self.load(key, model, "it has no route");
        }
        match self.make_room(model, need_mib) {
            Attempt::Impossible => self.move_away(model, need_mib),
            attempt => attempt,
        }
    }

    /// Loads an adapter where its base serves. If there is no room, loads another replica of the base
    /// on an engine with room for both.
    fn give_adapter_route(&mut self, model: ModelKey, base: ModelKey) -> Attempt {
        let need_mib = self.memory(model);
        if let Some(key) = self.best_engine_with_room(model, need_mib) {
            return self.load(key, model, "it has no route");
        }
        if !self.loading_on[base.index()].is_empty() {
            return Attempt::Waiting;
        }
        if self.make_room(model, need_mib) != Attempt::Impossible {
            return Attempt::Waiting;
        }
        let both_mib = need_mib + self.memory(base);
        if let Some(key) = self.best_engine_with_room(base, both_mib) {
            return self.load(key, base, "an adapter on it has no route");
        }
        if self.routes[base.index()].is_empty() {
            return Attempt::Waiting;
        }
        if self.make_room(base, both_mib) != Attempt::Impossible {
            return Attempt::Waiting;
        }
        match self.move_away(model, need_mib) {
            Attempt::Impossible => self.move_away(base, both_mib),
            attempt => attempt,
        }
    }

    /// The best engine with `need_mib` of free memory for `model`. In this order, prefers one where it
    /// is pinned, with room for its adapters too, in an availability zone without a replica, and with
    /// the most free memory. Memory that is set aside for another model doesn't count.
    pub(super) fn best_engine_with_room(
        &self,
        model: ModelKey,
        need_mib: u64,
    ) -> Option<EndpointKey> {
        let family_mib = self.family_mib(model);
        self.keys()
            .filter(|key| {
                self.unreserved_room(*key) >= need_mib
                    && self.can_host(*key, model)
                    && self.has_base(*key, model)
            })
            .max_by_key(|key| {
                let room = self.unreserved_room(*key);
                (
                    self.is_pinned(model, *key),
                    room >= family_mib,
                    self.is_new_zone(*key, model),
                    room,
                    cmp::Reverse(key.index()),
                )
            })
    }

    /// The memory of `model` and of its adapters without a route, in MiB.
    fn family_mib(&self, model: ModelKey) -> u64 {
        if self.offer(model).base.is_some() {
            return self.memory(model);
        }
        let adapters = self.inputs.ledger.offers().iter().zip(&self.routes);
        let without_route = adapters
            .filter(|(offer, routes)| offer.base == Some(model) && routes.is_empty())
            .map(|(offer, _)| offer.model.memory_mib);
        self.memory(model) + without_route.sum::<u64>()
    }

    /// Whether there is no replica of `model` in the availability zone of `key`.
    pub(super) fn is_new_zone(&self, key: EndpointKey, model: ModelKey) -> bool {
        let zone = self.engine(key).zone;
        let routes = self.routes[model.index()].iter();
        routes
            .chain(&self.loading_on[model.index()])
            .all(|other| self.engine(*other).zone != zone)
    }
}
