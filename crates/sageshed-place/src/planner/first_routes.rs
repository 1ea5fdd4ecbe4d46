//! A route for each model and adapter.

use std::cmp;

use sageshed_types::arena::{EndpointKey, Key, ModelKey};

use crate::{ledger, planner};

use planner::{Attempt, Planner};

/// Models without a route for which one plan looks for room; the others wait for the next.
const ATTEMPTS: usize = 64;

/// The models on offer in the order in which they get their first route: critical ones first (the
/// base of a critical adapter is critical), then bases, then what takes most memory together with
/// its adapters, since it is hardest to find room for.
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
    /// Begins a load for each model that has no route and none on its way.
    pub(super) fn ensure_routes(&mut self) {
        let ranking = self.inputs.ranking;
        for model in ranking {
            if !self.routes[model.index()].is_empty() {
                self.inputs.move_limits.reset(*model);
            }
        }
        let start = self.first_attempt();
        let lacking = ranking
            .iter()
            .filter(|m| self.routes[m.index()].is_empty() && self.loading_on[m.index()].is_empty());
        let lacking: Vec<ModelKey> = lacking.copied().collect();
        let critical = lacking.iter().filter(|m| self.offer(**m).model.critical);
        let first = critical.count().min(ATTEMPTS);
        let rest = lacking.len() - first;
        let turn = if rest > ATTEMPTS { start % rest } else { 0 };
        let order = (0..first).chain((0..rest).map(|i| first + (i + turn) % rest));
        for at in order.take(ATTEMPTS) {
            let model = lacking[at];
            let attempt = self.give_route_within_limits(model);
            if attempt == Attempt::Impossible {
                self.report_problem(model, "no engine that takes orders now can make room");
            }
        }
    }

    /// Where the turn of those that wait for an attempt begins: it moves on with time.
    fn first_attempt(&self) -> usize {
        let interval = self.inputs.policy.plan_interval_ms.0.max(1);
        let plans = self.inputs.now.0 / interval;
        usize::try_from(plans).unwrap_or(0) * ATTEMPTS
    }

    /// Gives `model` a route, but moves copies for it only as far as its efforts allow.
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
        if let Some(key) = self.roomiest(model, need_mib) {
            return self.load(key, model, "it has no route");
        }
        match self.make_room(model, need_mib) {
            Attempt::Impossible => self.move_away(model, need_mib),
            attempt => attempt,
        }
    }

    /// An adapter goes where its base serves; failing that, the base gets another copy where both
    /// have room.
    fn give_adapter_route(&mut self, model: ModelKey, base: ModelKey) -> Attempt {
        let need_mib = self.memory(model);
        if let Some(key) = self.roomiest(model, need_mib) {
            return self.load(key, model, "it has no route");
        }
        if !self.loading_on[base.index()].is_empty() {
            return Attempt::Waiting;
        }
        if self.make_room(model, need_mib) != Attempt::Impossible {
            return Attempt::Waiting;
        }
        let both_mib = need_mib + self.memory(base);
        if let Some(key) = self.roomiest(base, both_mib) {
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

    /// The engine with room for `need_mib` where `model` does best: pinned there, with room for its
    /// adapters too, in an availability zone that has no copy yet, with most memory left.
    pub(super) fn roomiest(&self, model: ModelKey, need_mib: u64) -> Option<EndpointKey> {
        let family_mib = self.family_mib(model);
        self.keys()
            .filter(|key| {
                self.room(*key) >= need_mib
                    && self.can_host(*key, model)
                    && self.has_base(*key, model)
            })
            .max_by_key(|key| {
                let room = self.room(*key);
                (
                    self.is_pinned(model, *key),
                    room >= family_mib,
                    self.is_new_zone(*key, model),
                    room,
                    cmp::Reverse(key.index()),
                )
            })
    }

    /// Memory of `model` and of the adapters on it that have no route, in MiB.
    fn family_mib(&self, model: ModelKey) -> u64 {
        if self.offer(model).base.is_some() {
            return self.memory(model);
        }
        let adapters = self.inputs.ledger.offers().iter().zip(&self.routes);
        let lacking = adapters
            .filter(|(offer, routes)| offer.base == Some(model) && routes.is_empty())
            .map(|(offer, _)| offer.model.memory_mib);
        self.memory(model) + lacking.sum::<u64>()
    }

    /// Whether no copy of `model` is in the availability zone of `key`.
    pub(super) fn is_new_zone(&self, key: EndpointKey, model: ModelKey) -> bool {
        let zone = self.engine(key).zone;
        let routes = self.routes[model.index()].iter();
        routes
            .chain(&self.loading_on[model.index()])
            .all(|other| self.engine(*other).zone != zone)
    }
}
