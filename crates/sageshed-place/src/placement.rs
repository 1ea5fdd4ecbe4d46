//! Events in, actions out.

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

/// What placement is made from.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The models and adapters on offer.
    pub models: Vec<catalog::Model>,
    /// How to decide.
    pub policy: policy::Policy,
}

/// Keeps a model on an endpoint: loaded there first and never unloaded from it while pinned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pin {
    /// The model or adapter.
    pub model: String,
    /// The endpoint.
    pub endpoint: String,
}

/// What placement is told.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A report, straight from the endpoint or relayed; old ones do no harm.
    Report(endpoints::Report),
    /// The endpoint has not been heard for long, or a connection to it failed.
    EndpointSilent {
        /// Which.
        endpoint: String,
    },
    /// A proposal of this leader is committed.
    OrderCommitted(endpoints::Order),
    /// This process starts to lead: every open order in the replicated table. Whether any was sent
    /// is not known.
    OrdersRestored(Vec<endpoints::Order>),
    /// The connection was refused before a byte of the order left.
    OrderNotSent(endpoints::OrderId),
    /// Bytes of the order left this process.
    OrderSent(endpoints::OrderId),
    /// The removal of these from the table is committed.
    OrdersRemoved(Vec<endpoints::OrderId>),
    /// What one entry VM was asked for since it last told.
    Demand {
        /// The entry VM.
        from_vm: String,
        /// By model.
        demand: Vec<messages::Demand>,
    },
    /// The operators' pins, all of them.
    Pins(Vec<Pin>),
    /// Time to plan.
    Plan,
    /// This process leads no longer: nothing is proposed or sent until
    /// [`Event::OrdersRestored`].
    LeadershipLost,
}

/// What the daemon is to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Give each an id and a fence, commit them, then feed [`Event::OrderCommitted`] for each.
    Propose(Vec<(String, endpoints::Incarnation, endpoints::Task)>),
    /// Send it, then feed [`Event::OrderSent`] or [`Event::OrderNotSent`].
    SendOrder(endpoints::Order),
    /// Commit the removal of these from the table of open orders: their fate is known.
    Settle(Vec<endpoints::OrderId>),
    /// Something that an operator may ask about: why nothing was done, or what was done.
    Note {
        /// The endpoint concerned, if one is.
        endpoint: Option<String>,
        /// The model concerned, if one is.
        model: Option<String>,
        /// A short sentence.
        reason: String,
    },
}

/// The ledger and the planner of the leading control process.
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
    /// Why each engine has what it has under way, for operators.
    reasons: collections::BTreeMap<(ModelKey, EndpointKey), &'static str>,
    /// What could not be done, as last noted, so that it is noted once.
    problems: collections::BTreeMap<ModelKey, &'static str>,
    /// Endpoints that were noted as blocked by a lost order.
    blocked: collections::BTreeSet<EndpointKey>,
}

impl Placement {
    /// Starts knowing no endpoint. It leads only after [`Event::OrdersRestored`].
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

    /// Takes in one event and says what follows.
    pub fn step(&mut self, now: time::Instant, event: Event) -> Vec<Action> {
        match event {
            Event::Report(report) => {
                let removed = self.ledger.report(now, &report);
                settle(removed)
            }
            Event::EndpointSilent { endpoint } => {
                self.ledger.silent(&endpoint);
                Vec::new()
            }
            Event::OrderCommitted(order) => self.commit(now, order),
            Event::OrdersRestored(orders) => {
                self.leading = true;
                settle(self.ledger.restore(now, orders))
            }
            Event::OrderNotSent(id) => self.cancel_unsent(id),
            Event::OrderSent(id) => {
                self.sent(now, id);
                Vec::new()
            }
            Event::OrdersRemoved(orders) => {
                self.removed(&orders);
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

    /// Sends a committed order of this leader, or takes it back if what has come in since it was
    /// proposed speaks against it. It was never sent, so taking it back is safe.
    fn commit(&mut self, now: time::Instant, order: endpoints::Order) -> Vec<Action> {
        if !self.leading {
            return Vec::new();
        }
        let task = self.ledger.task(&order.task);
        let id = order.order;
        let engine = self.ledger.engine_mut(&order.endpoint);
        let same_start = order.incarnation == engine.incarnation;
        let ours = engine.remove_proposal(task) && same_start;
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

    /// Whether a task may begin as things stand now, itself not counted.
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

    /// Takes an order back that has certainly not been sent.
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

    fn removed(&mut self, orders: &[endpoints::OrderId]) {
        for id in orders {
            if let Some(engine) = self.ledger.engine_with_order(*id) {
                engine.remove(*id);
            }
        }
    }

    /// Asks again for the removal of orders that were taken back: a command may get lost before it
    /// reaches the log.
    fn repeat_cancellations(&self) -> Vec<Action> {
        let engines = self.ledger.engines().iter();
        settle(engines.flat_map(engine::Engine::cancelled).collect())
    }

    fn sent(&mut self, now: time::Instant, id: endpoints::OrderId) {
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

    /// Sends orders again that a lost message may have swallowed, where the endpoint tells a late
    /// duplicate from a new order.
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

    /// Tells of engines that ignore fencing numbers and have not shown an order for long. If it was
    /// lost, nothing but a restart of the engine settles it: only an operator can help.
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

    /// Each model on offer: its holders, what is under way and its demand.
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

    /// Adds what `engine` holds and awaits to the statuses of the models concerned.
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

    /// The memory of the endpoints.
    #[must_use]
    pub fn ledger(&self) -> &ledger::Ledger {
        &self.ledger
    }
}

/// Asks for orders to be removed from the table, if there are any.
fn settle(orders: Vec<endpoints::OrderId>) -> Vec<Action> {
    if orders.is_empty() {
        return Vec::new();
    }
    vec![Action::Settle(orders)]
}
