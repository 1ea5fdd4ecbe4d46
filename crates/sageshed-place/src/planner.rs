//! The planner: what to load and unload next.
//!
//! # The order of concerns
//!
//! 1. [`first_routes`]: each model and adapter gets a route, critical ones first, bases before adapters,
//!    large families first. If there is no room, spare copies make way; if there are none, a copy
//!    that is the only one of its model is first made anew elsewhere.
//! 2. [`versions`]: outdated copies are replaced one by one, each with another route up meanwhile.
//! 3. [`capacity`]: copies by demand. Then what is left of free memory is used to have each model in
//!    two availability zones, unless a plan has something better to do: copies made for spread
//!    while demand displaces others are the next to be displaced.
//!
//! Each plan is made afresh from the ledger and the demand, and only as far as the store's budget
//! goes: what could not begin now is not worth deciding now. So one plan costs one pass over the
//! engines and their contents plus a scan of the engines for each load that begins, whether the
//! cluster is empty or settled. The state between plans is in the ledger: a copy made elsewhere to
//! free an engine is found there as a spare copy by the next plan.
//!
//! # What a copy is worth
//!
//! Demand for a model is spread evenly over its copies. An engine serves what it is asked for up to
//! [`TARGET_BUSY`] of its slots in time. The gain of a copy is the rise of that sum over the
//! engines concerned, in completions until the policy's horizon less the time to load; the loss of
//! an eviction is its fall. A load begins if the gain exceeds the loss, raised by the hysteresis,
//! by `move_cost` for each load and each eviction.
//!
//! # What was ruled out
//!
//! An exact assignment (flow or integer program) over all engines: demand is stale by seconds, the
//! store begins one load a second, and an optimum far from the present layout can't be reached.

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

/// The share of its slots up to which an engine completes requests in time.
pub const TARGET_BUSY: f64 = 0.8;

/// A task proposed, and why.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proposal {
    /// The engine.
    pub endpoint: EndpointKey,
    /// The model.
    pub model: ModelKey,
    /// The task with its names.
    pub named: (String, endpoints::Incarnation, endpoints::Task),
    /// Why.
    pub reason: &'static str,
}

/// Why nothing can be done for a model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Problem {
    /// The model.
    pub model: ModelKey,
    /// A short sentence.
    pub reason: &'static str,
}

/// What came of an attempt to do something for a model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Attempt {
    /// A task was proposed.
    Started,
    /// Something is under way that may serve the purpose.
    Waiting,
    /// Not possible now.
    Impossible,
}

/// What a plan is made from.
#[derive(Debug)]
pub struct Inputs<'a> {
    /// The time.
    pub now: time::Instant,
    /// The ledger; proposals are counted in it at once.
    pub ledger: &'a mut ledger::Ledger,
    /// What is asked for.
    pub demand: &'a demand::Estimator,
    /// The store's budget.
    pub budget: &'a mut budget::Budget,
    /// What was done for models without a route.
    pub move_limits: &'a mut move_limits::MoveLimits,
    /// How to decide.
    pub policy: &'a policy::Policy,
    /// The operators' pins.
    pub pins: &'a [(ModelKey, EndpointKey)],
    /// The models on offer in the order of [`first_routes::ranking`].
    pub ranking: &'a [ModelKey],
}

/// One plan in the making.
#[derive(Debug)]
pub struct Planner<'a> {
    inputs: Inputs<'a>,
    /// By model: the engines that are routes.
    routes: Vec<Vec<EndpointKey>>,
    /// By model: the engines where a load is under way.
    loading_on: Vec<Vec<EndpointKey>>,
    /// By engine: slots that the demand keeps busy.
    busy_slots: Vec<f64>,
    /// By engine: whether an order may be issued.
    accepts_orders: Vec<bool>,
    /// By engine: memory being freed that a model waits for, in MiB.
    awaited_mib: Vec<u64>,
    /// No copies are to be moved for the model in hand: too much was moved for it in vain.
    moves_paused: bool,
    /// How often copies have been moved for a model without a route.
    evictions: usize,
    /// Attempts left at moving models out of the way.
    move_attempts: usize,
    proposals: Vec<Proposal>,
    problems: Vec<Problem>,
}

impl<'a> Planner<'a> {
    /// Looks at the ledger.
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

    /// Makes the plan.
    #[must_use]
    pub fn plan(mut self) -> (Vec<Proposal>, Vec<Problem>) {
        match self.inputs.policy.baseline {
            policy::PlannerKind::Planned => {
                self.ensure_routes();
                self.pins();
                self.versions();
                self.capacity();
                if self.proposals.is_empty() && self.awaited_mib.iter().all(|mib| *mib == 0) {
                    self.spread();
                }
            }
            policy::PlannerKind::OnDemandLru => self.on_demand(),
            policy::PlannerKind::StaticEven => self.even(),
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
            for model in self.arriving(engine) {
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

    /// The offered models that are on their way to `engine`.
    fn arriving(&self, engine: &Engine) -> Vec<ModelKey> {
        let ordered = self.under_way(engine).filter_map(Task::loaded);
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

    /// The tasks that `engine` can be expected to carry out.
    ///
    /// An order that no report has shown for long is no longer waited for (its memory stays
    /// reserved): on an engine that ignores fencing numbers a lost order is never sent again, and
    /// whoever waited for it would wait for good.
    fn under_way<'b>(&self, engine: &'b Engine) -> impl Iterator<Item = Task> + use<'b> {
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

    /// Slots that demand for `model` keeps busy.
    fn slots_wanted(&self, model: ModelKey) -> f64 {
        self.inputs
            .demand
            .of(model)
            .slots(self.inputs.policy.horizon_ms)
    }

    /// Copies that serve or will.
    fn replicas(&self, model: ModelKey) -> usize {
        self.routes[model.index()].len() + self.loading_without_route(model)
    }

    /// Engines where a load is under way and no other version serves.
    fn loading_without_route(&self, model: ModelKey) -> usize {
        let routes = &self.routes[model.index()];
        self.loading_on[model.index()]
            .iter()
            .filter(|key| !routes.contains(key))
            .count()
    }

    /// Adds (1) or takes off (-1) the model's share of the engines' busy slots.
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

    /// Whether `model` may be loaded on `key` but for room.
    fn can_host(&self, key: EndpointKey, model: ModelKey) -> bool {
        let engine = self.engine(key);
        self.accepts_orders[key.index()]
            && self.inputs.ledger.admits(engine, model)
            && !engine.has_or_awaits(model)
    }

    /// Whether `model`'s base, if it has one, serves on `key`.
    fn has_base(&self, key: EndpointKey, model: ModelKey) -> bool {
        let base = self.offer(model).base;
        base.is_none_or(|base| self.engine(key).serves(base))
    }

    /// Memory on `key` that nobody else waits for, in MiB.
    fn room(&self, key: EndpointKey) -> u64 {
        self.engine(key).free_mib()
    }

    /// Proposes to load the wanted version of `model` on `key`, which must have room.
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

    /// Proposes to take `version` of `model` off `key`, if it stays reachable.
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
