//! The planner: decides which models to load and unload next.
//!
//! A *route* of a model is an engine on which requests for it can be served. A *replica* is a copy of
//! a model on an engine. A *spare* replica is one that can be evicted while the model keeps a route.
//!
//! # Priorities
//!
//! 1. [`first_routes`]: each model and adapter gets a route, critical ones first, base models before
//!    adapters, large families first. If there is no room, spare replicas are evicted. If there are
//!    none, the only replica of another model is first duplicated on another engine.
//! 2. [`versions`]: pinned models are loaded on their engines. Then outdated replicas are replaced one
//!    by one, while another route serves.
//! 3. [`capacity`]: replicas are added by demand. If a plan has nothing else to do, the remaining
//!    memory is used to place each model in two availability zones. This comes last, since replicas
//!    added for redundancy while demand causes evictions would be the next to be evicted.
//!
//! Each plan is made from scratch from the ledger and the demand, and only as far as the budget of
//! the weight store allows, since a load that can't start now needs no decision now. The cost of a
//! plan is one pass over the engines and their models plus one scan of the engines for each load that
//! starts, whether the cluster is empty or stable. Except for the [`move_limits`], all state between
//! plans is in the ledger: a replica that was loaded elsewhere to free an engine makes the original
//! one a spare for the next plan.
//!
//! # The value of a replica
//!
//! Demand for a model is assumed to be spread evenly over its replicas. An engine completes requests
//! in time up to a load of [`TARGET_BUSY`] of its slots. The gain of a replica is the increase of
//! requests completed in time on all affected engines, from the end of the load to the policy's
//! horizon; the loss of an eviction is the corresponding decrease. A load starts if its gain exceeds
//! the loss, increased by the hysteresis, by at least `move_cost` for each load and eviction.
//!
//! # Rejected alternatives
//!
//! An exact assignment of models to all engines (network flow or integer programming): demand
//! figures are seconds old, the store starts one load per second, and an optimum far from the current
//! placement can't be reached.

pub mod baselines;
pub mod capacity;
pub mod first_routes;
pub mod moves;
pub mod room;
pub mod versions;

use sageshed_types::{
    arena::{EndpointKey, Key, ModelKey},
    endpoints, time,
};

use crate::{budget, demand, engine::Engine, ledger, move_limits, orders::Task, policy};

/// The share of busy slots up to which an engine is assumed to complete requests in time.
pub const TARGET_BUSY: f64 = 0.8;

/// A proposed task with the reason for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proposal {
    /// The engine.
    pub endpoint: EndpointKey,
    /// The model.
    pub model: ModelKey,
    /// The name of the endpoint, its incarnation, and the task with names instead of keys.
    pub named: (String, endpoints::Incarnation, endpoints::Task),
    /// The reason, shown to operators.
    pub reason: &'static str,
}

/// The reason why a model can't be placed as it should be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Problem {
    /// The model.
    pub model: ModelKey,
    /// The reason, shown to operators.
    pub reason: &'static str,
}

/// The result of an attempt to do something for a model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Attempt {
    /// A task was proposed.
    Started,
    /// A task in progress may serve the purpose, or the attempt is postponed to a later plan.
    Waiting,
    /// Not possible now.
    Impossible,
}

/// The inputs of a plan.
#[derive(Debug)]
pub struct Inputs<'a> {
    /// The current time.
    pub now: time::Instant,
    /// The ledger, in which proposals are recorded immediately.
    pub ledger: &'a mut ledger::Ledger,
    /// The estimated demand for each model.
    pub demand: &'a demand::Estimator,
    /// The budget of loads from the weight store.
    pub budget: &'a mut budget::Budget,
    /// The limits on moves for models without a route.
    pub move_limits: &'a mut move_limits::MoveLimits,
    /// The settings of placement.
    pub policy: &'a policy::Policy,
    /// The operators' pins, as pairs of model and engine.
    pub pins: &'a [(ModelKey, EndpointKey)],
    /// The models of the catalog in the order of [`first_routes::ranking`].
    pub ranking: &'a [ModelKey],
}

/// A plan that is being made.
#[derive(Debug)]
pub struct Planner<'a> {
    inputs: Inputs<'a>,
    /// For each model, the engines that are routes.
    routes: Vec<Vec<EndpointKey>>,
    /// For each model, the engines on which it is being loaded.
    loading_on: Vec<Vec<EndpointKey>>,
    /// For each engine, the number of slots that demand is expected to keep busy.
    busy_slots: Vec<f64>,
    /// For each engine, whether an order may be issued to it.
    accepts_orders: Vec<bool>,
    /// For each engine, the memory being freed that is already intended for a model, in MiB.
    awaited_mib: Vec<u64>,
    /// Whether no replicas may be moved for the current model, since too many moves gave it no route.
    moves_paused: bool,
    /// The number of evictions and moves that this plan has started.
    evictions: usize,
    /// The remaining attempts at moving models out of the way of others.
    move_attempts: usize,
    proposals: Vec<Proposal>,
    problems: Vec<Problem>,
}

impl<'a> Planner<'a> {
    /// Prepares a plan from the current state of the ledger.
    #[must_use]
    pub fn new(inputs: Inputs<'a>) -> Self {
        let models = inputs.ledger.offers().len();
        let engines = inputs.ledger.engines().len();
        let mut planner = Self {
            inputs,
            routes: vec![Vec::new(); models],
            loading_on: vec![Vec::new(); models],
            busy_slots: vec![0.0; engines],
            accepts_orders: vec![false; engines],
            awaited_mib: vec![0; engines],
            moves_paused: false,
            evictions: 0,
            move_attempts: moves::move_attempts(engines),
            proposals: Vec::new(),
            problems: Vec::new(),
        };
        planner.index_engines();
        planner
    }

    /// Makes the plan. Returns the proposals, and the problems found.
    #[must_use]
    pub fn plan(mut self) -> (Vec<Proposal>, Vec<Problem>) {
        match self.inputs.policy.baseline {
            policy::PlannerKind::Planned => {
                self.ensure_routes();
                self.load_pinned();
                self.replace_outdated();
                self.add_capacity();
                if self.proposals.is_empty() && self.awaited_mib.iter().all(|mib| *mib == 0) {
                    self.spread_replicas();
                }
            }
            policy::PlannerKind::OnDemandLru => self.load_requested(),
            policy::PlannerKind::StaticEven => self.distribute_evenly(),
        }
        (self.proposals, self.problems)
    }

    fn index_engines(&mut self) {
        for index in 0..self.inputs.ledger.engines().len() {
            let engine = &self.inputs.ledger.engines()[index];
            self.accepts_orders[index] = self.inputs.ledger.takes_orders(self.inputs.now, engine);
            if engine.leaving || !self.inputs.ledger.is_fresh(self.inputs.now, engine) {
                continue;
            }
            for held in &engine.held {
                let Some(routes) = self.routes.get_mut(held.model.index()) else {
                    continue;
                };
                if routes.last() == Some(&engine.key) {
                    continue;
                }
                if self
                    .inputs
                    .ledger
                    .is_route(self.inputs.now, engine, held.model)
                {
                    routes.push(engine.key);
                }
            }
            for model in self.loading_models(engine) {
                let loading_on = &mut self.loading_on[model.index()];
                if loading_on.last() != Some(&engine.key) {
                    loading_on.push(engine.key);
                }
            }
        }
        for index in 0..self.routes.len() {
            self.count_busy(ModelKey::from_index(index), 1.0);
        }
    }

    /// The models of the catalog that are being loaded on `engine`.
    fn loading_models(&self, engine: &Engine) -> Vec<ModelKey> {
        let ordered = self.expected_tasks(engine).filter_map(Task::loaded);
        let loading = engine
            .held
            .iter()
            .filter(|held| held.phase == endpoints::Phase::Loading)
            .map(|held| held.model);
        let offered = self.routes.len();
        ordered
            .chain(loading)
            .filter(|model| model.index() < offered)
            .collect()
    }

    /// The tasks that `engine` is expected to carry out.
    ///
    /// An order that no report has shown for a long time is not included, although its memory stays
    /// reserved. A lost order to an engine that ignores fencing tokens is never sent again, so
    /// waiting for it would never end.
    fn expected_tasks<'b>(&self, engine: &'b Engine) -> impl Iterator<Item = Task> + use<'b> {
        let now = self.inputs.now;
        let lost_after = self.inputs.policy.lost_after();
        let ordered = engine
            .unsettled()
            .filter(move |open| open.seen || now.since(open.sent) <= lost_after)
            .map(|open| open.task);
        ordered.chain(engine.proposed.iter().copied())
    }

    fn offer(&self, model: ModelKey) -> &ledger::Offer {
        &self.inputs.ledger.offers()[model.index()]
    }

    fn memory(&self, model: ModelKey) -> u64 {
        self.offer(model).model.memory_mib
    }

    fn engine(&self, key: EndpointKey) -> &Engine {
        self.inputs.ledger.engine(key)
    }

    fn keys(&self) -> impl Iterator<Item = EndpointKey> + use<> {
        (0..self.busy_slots.len()).map(EndpointKey::from_index)
    }

    fn is_pinned(&self, model: ModelKey, key: EndpointKey) -> bool {
        self.inputs.pins.contains(&(model, key))
    }

    /// The number of slots that the demand for `model` would keep busy.
    fn slots_wanted(&self, model: ModelKey) -> f64 {
        self.inputs
            .demand
            .of(model)
            .slots(self.inputs.policy.horizon_ms)
    }

    /// The number of replicas that serve or are being loaded.
    fn replicas(&self, model: ModelKey) -> usize {
        self.routes[model.index()].len() + self.loading_without_route(model)
    }

    /// The number of engines on which a load is in progress and no other version serves.
    fn loading_without_route(&self, model: ModelKey) -> usize {
        let routes = &self.routes[model.index()];
        self.loading_on[model.index()]
            .iter()
            .filter(|key| !routes.contains(key))
            .count()
    }

    /// Adds (`sign` 1) or subtracts (-1) the busy slots that `model` causes on its engines.
    fn count_busy(&mut self, model: ModelKey, sign: f64) {
        let replicas = self.replicas(model);
        if replicas == 0 {
            return;
        }
        let share = sign * self.slots_wanted(model) / replicas as f64;
        let routes = &self.routes[model.index()];
        for key in routes {
            self.busy_slots[key.index()] += share;
        }
        for key in &self.loading_on[model.index()] {
            if !routes.contains(key) {
                self.busy_slots[key.index()] += share;
            }
        }
    }

    /// Whether `model` may be loaded on `key` if there is enough memory.
    fn can_host(&self, key: EndpointKey, model: ModelKey) -> bool {
        let engine = self.engine(key);
        self.accepts_orders[key.index()]
            && self.inputs.ledger.admits(engine, model)
            && !engine.has_or_awaits(model)
    }

    /// Whether the base of `model`, if it is an adapter, serves on `key`.
    fn has_base(&self, key: EndpointKey, model: ModelKey) -> bool {
        let base = self.offer(model).base;
        base.is_none_or(|base| self.engine(key).serves(base))
    }

    /// The free memory of `key`, in MiB.
    fn room(&self, key: EndpointKey) -> u64 {
        self.engine(key).free_mib()
    }

    /// Proposes to load the current version of `model` on `key`, which must have enough memory.
    fn load(&mut self, key: EndpointKey, model: ModelKey, reason: &'static str) -> Attempt {
        if !self.inputs.budget.allows() {
            return Attempt::Waiting;
        }
        let offered = &self.offer(model).model;
        let task = Task::Load {
            model,
            version: offered.version,
            memory_mib: offered.memory_mib,
        };
        self.inputs.budget.spend();
        self.count_busy(model, -1.0);
        self.loading_on[model.index()].push(key);
        self.count_busy(model, 1.0);
        self.propose(key, model, task, reason)
    }

    /// Proposes to unload `version` of `model` from `key`, if the model keeps a route.
    fn unload(
        &mut self,
        key: EndpointKey,
        model: ModelKey,
        version: u32,
        reason: &'static str,
    ) -> Attempt {
        if !self.accepts_orders[key.index()] || !self.may_unload(key, model, version) {
            return Attempt::Impossible;
        }
        if model.index() < self.routes.len() {
            self.count_busy(model, -1.0);
            if !self.engine(key).serves_besides(model, version) {
                self.routes[model.index()].retain(|k| *k != key);
            }
            self.count_busy(model, 1.0);
        }
        self.propose(key, model, Task::Unload { model, version }, reason)
    }

    fn may_unload(&self, key: EndpointKey, model: ModelKey, version: u32) -> bool {
        let engine = self.engine(key);
        let others = self.routes.get(model.index()).into_iter().flatten();
        self.inputs
            .ledger
            .may_unload(self.inputs.now, engine, model, version, others.copied())
    }

    fn propose(
        &mut self,
        key: EndpointKey,
        model: ModelKey,
        task: Task,
        reason: &'static str,
    ) -> Attempt {
        let Some(named) = self.inputs.ledger.propose(key, task) else {
            return Attempt::Impossible;
        };
        let engine = self.inputs.ledger.engine(key);
        self.accepts_orders[key.index()] = self.inputs.ledger.takes_orders(self.inputs.now, engine);
        self.proposals.push(Proposal {
            endpoint: key,
            model,
            named,
            reason,
        });
        Attempt::Started
    }

    fn report_problem(&mut self, model: ModelKey, reason: &'static str) {
        self.problems.push(Problem { model, reason });
    }
}
