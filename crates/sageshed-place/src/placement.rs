//! The state machine of placement: its events, its actions and how it handles them.

use std::{collections, mem};

use sageshed_types::{
    arena::{EndpointKey, Key, ModelKey},
    catalog, endpoints, messages, time,
};

use crate::{
    budget, demand, engine, ledger, move_limits,
    orders::{self, Task},
    planner::{self, first_routes},
    policy,
};

/// The settings of a [`Placement`].
#[derive(Debug, Clone)]
pub struct Settings {
    /// The models and adapters that callers may ask for.
    pub models: Vec<catalog::Model>,
    /// The parameters of placement.
    pub policy: policy::Policy,
}

/// Pins a model to an endpoint: it is loaded there first, and never unloaded from it while pinned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pin {
    /// The name of the model or adapter.
    pub model: String,
    /// The name of the endpoint.
    pub endpoint: String,
}

/// An input of [`Placement::step`].
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A report, received from the endpoint or relayed. Outdated ones are ignored.
    Report(endpoints::Report),
    /// No report of the endpoint has arrived for a long time, or a connection to it failed.
    EndpointSilent {
        /// The name of the endpoint.
        endpoint: String,
    },
    /// A proposal of this leader was committed.
    OrderCommitted(endpoints::Order),
    /// This process has become the leader. Contains all open orders of the replicated table; it is
    /// unknown whether they were sent.
    OrdersRestored(Vec<endpoints::Order>),
    /// An order was not sent: the connection was refused before any byte of it was sent.
    OrderNotSent(endpoints::OrderId),
    /// At least part of an order was sent.
    OrderSent(endpoints::OrderId),
    /// The removal of these orders from the table was committed.
    OrdersRemoved(Vec<endpoints::OrderId>),
    /// The demand at one entry VM since its last report.
    Demand {
        /// The name of the entry VM.
        from_vm: String,
        /// The demand by model.
        demand: Vec<messages::Demand>,
    },
    /// The complete list of the operators' pins.
    Pins(Vec<Pin>),
    /// A plan is due.
    Plan,
    /// This process is no longer the leader. Nothing is proposed or sent until
    /// [`Event::OrdersRestored`].
    LeadershipLost,
}

/// An instruction to the daemon.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Assign an id and a fencing token to each order, commit them, then pass in
    /// [`Event::OrderCommitted`] for each.
    Propose(Vec<(String, endpoints::Incarnation, endpoints::Task)>),
    /// Send the order, then pass in [`Event::OrderSent`] or [`Event::OrderNotSent`].
    SendOrder(endpoints::Order),
    /// Commit the removal of these orders from the table of open orders, since their outcome is known.
    Settle(Vec<endpoints::OrderId>),
    /// Information for operators: why nothing was done, or what was done.
    Note {
        /// The name of the endpoint concerned, if any.
        endpoint: Option<String>,
        /// The name of the model concerned, if any.
        model: Option<String>,
        /// The message.
        reason: String,
    },
}

/// Placement as a state machine: the ledger, the demand estimates and the planner of the leader.
#[derive(Debug, Clone)]
pub struct Placement {
    policy: policy::Policy,
    ledger: ledger::Ledger,
    demand: demand::Estimator,
    budget: budget::Budget,
    move_limits: move_limits::MoveLimits,
    ranking: Vec<ModelKey>,
    pins: Vec<Pin>,
    leading: bool,
    /// The reason for each task in progress, for operators.
    reasons: collections::BTreeMap<(ModelKey, EndpointKey), &'static str>,
    /// The problems of the last plan, so that each is reported once.
    problems: collections::BTreeMap<ModelKey, &'static str>,
    /// The engines that were reported as blocked by a lost order.
    blocked: collections::BTreeSet<EndpointKey>,
}

impl Placement {
    /// Creates a placement without engines. It issues no orders until [`Event::OrdersRestored`].
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        let Settings { models, policy } = settings;
        let ledger = ledger::Ledger::new(&models, policy.stale_after_ms);
        Self {
            demand: demand::Estimator::new(models.len()),
            budget: budget::Budget::default(),
            move_limits: move_limits::MoveLimits::new(models.len()),
            ranking: first_routes::ranking(&ledger),
            pins: Vec::new(),
            leading: false,
            reasons: collections::BTreeMap::new(),
            problems: collections::BTreeMap::new(),
            blocked: collections::BTreeSet::new(),
            policy,
            ledger,
        }
    }

    /// Processes one event and returns the resulting actions.
    pub fn step(&mut self, now: time::Instant, event: Event) -> Vec<Action> {
        match event {
            Event::Report(report) => {
                let removed = self.ledger.report(now, &report);
                settle(removed)
            }
            Event::EndpointSilent { endpoint } => {
                self.ledger.mark_silent(&endpoint);
                Vec::new()
            }
            Event::OrderCommitted(order) => self.handle_committed(now, order),
            Event::OrdersRestored(orders) => {
                self.leading = true;
                settle(self.ledger.restore(now, orders))
            }
            Event::OrderNotSent(id) => self.cancel_unsent(id),
            Event::OrderSent(id) => {
                self.handle_sent(now, id);
                Vec::new()
            }
            Event::OrdersRemoved(orders) => {
                self.handle_removed(&orders);
                Vec::new()
            }
            Event::Demand { from_vm, demand } => {
                self.record_demand(now, from_vm, demand);
                Vec::new()
            }
            Event::Pins(pins) => {
                self.pins = pins;
                Vec::new()
            }
            Event::Plan => self.plan(now),
            Event::LeadershipLost => {
                self.leading = false;
                self.ledger.clear_orders();
                Vec::new()
            }
        }
    }

    /// Sends a committed order of this leader, or cancels it if it is no longer allowed after the
    /// events since its proposal. Cancelling is safe, since it was never sent.
    fn handle_committed(&mut self, now: time::Instant, order: endpoints::Order) -> Vec<Action> {
        if !self.leading {
            return Vec::new();
        }
        let task = self.ledger.task(&order.task);
        let id = order.order;
        let engine = self.ledger.engine_mut(&order.endpoint);
        let same_incarnation = order.incarnation == engine.incarnation;
        let ours = engine.remove_proposal(task) && same_incarnation;
        let allowed = ours && self.still_allowed(now, &order.endpoint, task);
        let mut actions = settle(self.ledger.add(now, order.clone(), !ours));
        if !ours {
            return actions;
        }
        if !allowed {
            actions.extend(self.cancel_unsent(id));
            return actions;
        }
        if let Some(open) = self.open_order(id) {
            open.sends += 1;
        }
        actions.push(Action::SendOrder(order));
        actions
    }

    /// Whether a task may start in the current state, without counting the task itself.
    fn still_allowed(&self, now: time::Instant, endpoint: &str, task: Task) -> bool {
        let Some(key) = self.ledger.endpoint(endpoint) else {
            return false;
        };
        let engine = self.ledger.engine(key);
        if !self.ledger.takes_orders(now, engine) {
            return false;
        }
        match task {
            Task::Load {
                model, memory_mib, ..
            } => {
                let base = self.ledger.offer(model).and_then(|offer| offer.base);
                engine.free_mib() >= memory_mib && base.is_none_or(|base| engine.serves(base))
            }
            Task::Unload { model, version } => {
                let others = self.ledger.engines().iter().map(|e| e.key);
                self.policy.baseline == policy::PlannerKind::OnDemandLru
                    || self.ledger.may_unload(now, engine, model, version, others)
            }
            Task::ChangeRole => true,
        }
    }

    fn open_order(&mut self, id: endpoints::OrderId) -> Option<&mut orders::OpenOrder> {
        let engine = self.ledger.engine_with_order(id)?;
        engine.orders.iter_mut().find(|open| open.order.order == id)
    }

    /// Cancels an order that was certainly not sent.
    fn cancel_unsent(&mut self, id: endpoints::OrderId) -> Vec<Action> {
        let cancelled = self
            .ledger
            .engine_with_order(id)
            .is_some_and(|engine| engine.cancel_unsent(id));
        if cancelled {
            return settle(vec![id]);
        }
        Vec::new()
    }

    fn handle_removed(&mut self, orders: &[endpoints::OrderId]) {
        for id in orders {
            if let Some(engine) = self.ledger.engine_with_order(*id) {
                engine.remove(*id);
            }
        }
    }

    /// Requests the removal of cancelled orders again, since a command may get lost before it reaches
    /// the log.
    fn repeat_cancellations(&self) -> Vec<Action> {
        let engines = self.ledger.engines().iter();
        settle(engines.flat_map(engine::Engine::cancelled).collect())
    }

    fn handle_sent(&mut self, now: time::Instant, id: endpoints::OrderId) {
        if let Some(open) = self.open_order(id) {
            open.sent = now;
        }
    }

    fn record_demand(&mut self, now: time::Instant, vm: String, demand: Vec<messages::Demand>) {
        let ledger = &self.ledger;
        let known = demand
            .into_iter()
            .filter_map(|reported| Some((ledger.offered(&reported.model)?, reported)));
        self.demand.record(now, vm, known);
    }

    fn plan(&mut self, now: time::Instant) -> Vec<Action> {
        self.demand.update(now, &self.policy);
        if !self.leading {
            return Vec::new();
        }
        let mut actions = self.repeat_cancellations();
        actions.extend(self.resend(now));
        self.budget.refill(now, &self.ledger, &self.policy);
        let pins = self.pinned();
        let planner = planner::Planner::new(planner::Inputs {
            now,
            ledger: &mut self.ledger,
            demand: &self.demand,
            budget: &mut self.budget,
            move_limits: &mut self.move_limits,
            policy: &self.policy,
            pins: &pins,
            ranking: &self.ranking,
        });
        let (proposals, problems) = planner.plan();
        actions.extend(self.note_problems(&problems));
        actions.extend(self.note_blocked(now));
        self.keep_reasons(&proposals);
        if !proposals.is_empty() {
            let named = proposals.into_iter().map(|p| p.named).collect();
            actions.push(Action::Propose(named));
        }
        actions
    }

    /// Sends orders again that may have been lost, to endpoints that can tell a delayed duplicate from
    /// a new order.
    fn resend(&mut self, now: time::Instant) -> Vec<Action> {
        let policy = &self.policy;
        let fresh = |engine: &&mut engine::Engine| {
            engine.checks_fence && engine.is_fresh(now, policy.stale_after_ms)
        };
        let mut actions = Vec::new();
        for engine in self.ledger.engines_mut().iter_mut().filter(fresh) {
            for open in &mut engine.orders {
                let due = now.since(open.sent) >= policy.resend_after_ms;
                if open.seen || open.cancelled || open.is_settled() || !due {
                    continue;
                }
                open.sent = now;
                open.sends += 1;
                actions.push(Action::SendOrder(open.order.clone()));
            }
        }
        actions
    }

    fn pinned(&self) -> Vec<(ModelKey, EndpointKey)> {
        let pins = self.pins.iter();
        pins.filter_map(|pin| {
            let model = self.ledger.offered(&pin.model)?;
            Some((model, self.ledger.endpoint(&pin.endpoint)?))
        })
        .collect()
    }

    fn note_problems(&mut self, problems: &[planner::Problem]) -> Vec<Action> {
        let noted: collections::BTreeMap<_, _> =
            problems.iter().map(|p| (p.model, p.reason)).collect();
        let known = mem::replace(&mut self.problems, noted);
        let new = self
            .problems
            .iter()
            .filter(|(model, reason)| known.get(model) != Some(reason));
        new.map(|(model, reason)| Action::Note {
            endpoint: None,
            model: Some(self.ledger.model_name(*model).to_owned()),
            reason: (*reason).to_owned(),
        })
        .collect()
    }

    /// Reports engines that ignore fencing tokens and have not shown an order for a long time. If the
    /// order was lost, only a restart of the engine settles it, which requires an operator.
    fn note_blocked(&mut self, now: time::Instant) -> Vec<Action> {
        let lost_after = self.policy.lost_after();
        let lost = |open: &orders::OpenOrder| !open.seen && now.since(open.sent) > lost_after;
        let engines = self.ledger.engines().iter();
        let blocked: collections::BTreeSet<EndpointKey> = engines
            .filter(|engine| !engine.checks_fence && engine.unsettled().any(lost))
            .map(|engine| engine.key)
            .collect();
        let known = mem::replace(&mut self.blocked, blocked);
        let new = self.blocked.difference(&known);
        new.map(|key| Action::Note {
            endpoint: Some(self.ledger.engine(*key).name.clone()),
            model: None,
            reason: "an order to it is lost or late; it takes no other until it restarts"
                .to_owned(),
        })
        .collect()
    }

    fn keep_reasons(&mut self, proposals: &[planner::Proposal]) {
        let ledger = &self.ledger;
        self.reasons
            .retain(|(_, key), _| ledger.engine(*key).pending().next().is_some());
        for proposal in proposals {
            self.reasons
                .insert((proposal.model, proposal.endpoint), proposal.reason);
        }
    }

    /// The status of each model of the catalog: its holders, tasks in progress and demand.
    #[must_use]
    pub fn models(&self) -> Vec<messages::ModelStatus> {
        let mut statuses: Vec<messages::ModelStatus> = self
            .ledger
            .offers()
            .iter()
            .enumerate()
            .map(|(index, offer)| {
                let key = ModelKey::from_index(index);
                let problem = self.problems.get(&key);
                messages::ModelStatus {
                    model: offer.model.clone(),
                    holders: Vec::new(),
                    moves: problem.iter().map(|reason| (**reason).to_owned()).collect(),
                    demand: self.demand.of(key).rate,
                }
            })
            .collect();
        for engine in self.ledger.engines() {
            self.add_status(engine, &mut statuses);
        }
        statuses
    }

    /// Adds the replicas and tasks of `engine` to the statuses of the models concerned.
    fn add_status(&self, engine: &engine::Engine, statuses: &mut [messages::ModelStatus]) {
        for held in &engine.held {
            if let Some(status) = statuses.get_mut(held.model.index()) {
                status.holders.push(messages::HolderStatus {
                    endpoint: engine.name.clone(),
                    availability_zone: self.ledger.zone_name(engine.zone).to_owned(),
                    resident: endpoints::Resident {
                        model: self.ledger.model_name(held.model).to_owned(),
                        version: held.version,
                        phase: held.phase,
                        memory_mib: held.memory_mib,
                    },
                });
            }
        }
        for task in engine.pending() {
            let (verb, model, version) = match task {
                Task::Load { model, version, .. } => ("load", model, version),
                Task::Unload { model, version } => ("unload", model, version),
                Task::ChangeRole => continue,
            };
            let reason = self.reasons.get(&(model, engine.key));
            let reason = reason.unwrap_or(&"ordered by an earlier leader");
            if let Some(status) = statuses.get_mut(model.index()) {
                status.moves.push(format!(
                    "{verb} version {version} on {}: {reason}",
                    engine.name
                ));
            }
        }
    }

    /// The ledger, for queries about the memory of endpoints.
    #[must_use]
    pub fn ledger(&self) -> &ledger::Ledger {
        &self.ledger
    }
}

/// Returns the action that removes orders from the table, if there are any.
fn settle(orders: Vec<endpoints::OrderId>) -> Vec<Action> {
    if orders.is_empty() {
        return Vec::new();
    }
    vec![Action::Settle(orders)]
}
