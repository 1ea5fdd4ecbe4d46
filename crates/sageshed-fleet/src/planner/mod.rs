//! Which engine loads or unloads which weights and adapters. Run by the control process that leads.
//!
//! # The load pattern
//!
//! A few models take most of the requests and many take few. Which ones these are changes within
//! seconds, while weights take up to ten seconds from the store, which is slow and shared. So
//!
//! * each model keeps a copy somewhere: a rare one that has to be fetched costs its callers a load;
//! * what is left of the memory goes to the models with the most work for each copy;
//! * a copy moves only where the work of a model is more than its copies can bear
//!   ([`Policy::add_replica_above`]) and another can give one up ([`Policy::drop_replica_below`]); between the two nothing moves;
//! * an engine that has a copy of the weights in its own memory or on its own disk goes first.
//!
//! # What an engine may hold
//!
//! An engine that is told to load more than fits crashes with all that it runs. Its memory is counted
//! at its worst: what it said it holds, plus each load that it may still carry out, less nothing for
//! an unload until it shows. Orders to one engine go one after the other, each with the number of
//! orders that the engine has accepted before, so a delayed one does nothing behind a newer one.
//!
//! # One leader
//!
//! Engines that check no fence would obey two leaders. A leader that was cut off stops to order when
//! its quorum is gone; a new one begins only a lease after it was elected ([`leadership`]), and counts the
//! store's budget as just spent by the one before.

mod adapters;
mod demand;
mod engine;
pub mod leadership;
mod reservations;
mod restarts;
mod store;
mod weights;

use std::{collections, net};

use sageshed_types::time;

use crate::{config, dialect, directory, messages};

/// How a planner decides.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Policy {
    /// How long after its election a leader gives its first order.
    pub lease: time::Millis,
    /// Over this span the store's loads are counted.
    pub store_window: time::Millis,
    /// The part of an engine's reading that a copy of a model may need before another is loaded. At three
    /// tenths nearly every model of a busy pool is short of copies all day, and copies change places
    /// without end.
    pub add_replica_above: f64,
    /// The part that the copies of a model may need after one of them is given up.
    pub drop_replica_below: f64,
    /// The part of the work of the model before it, in the order of their work, for which a busy model
    /// is given copies. Demand moves on down that order within seconds, and a load takes longer.
    pub anticipated_share: f64,
    /// Loads from the store under way at once, beyond which each takes longer.
    pub max_store_loads: usize,
    /// Engines that are asked for their reports at once. A new leader knows no engine's count of orders, and
    /// asks first where an order is due.
    pub max_report_requests: usize,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            lease: time::Millis(3_000),
            store_window: time::Millis(5_000),
            add_replica_above: 0.8,
            drop_replica_below: 0.65,
            anticipated_share: 0.7,
            max_store_loads: 6,
            max_report_requests: 24,
        }
    }
}

/// What a full engine weighs against an empty one, in engines kept busy: less than anything else.
const FILL_COST: f64 = 0.01;

/// Models that a summary names.
const SUMMARY_MODELS: usize = 4;

/// Wants that are kept while no engine can take them.
const MAX_ADAPTER_REQUESTS: usize = 256;

/// How long a want is kept: whoever waits asks again.
const ADAPTER_REQUEST_TTL: time::Millis = time::Millis(1_500);

/// What the planner wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Give an order; the answer goes to [`Planner::handle_order_response`].
    Order(dialect::Order),
    /// Ask an engine for its report; it goes to [`Planner::handle_report`].
    AskReport {
        /// The start of the engine that is meant.
        instance: directory::InstanceId,
        /// Where it is.
        address: net::SocketAddrV4,
    },
    /// Tell the directory what an engine holds or unloads by an order.
    Amend {
        /// The engine.
        instance: directory::InstanceId,
        /// The order that it has carried out, or is about to.
        task: dialect::Task,
    },
}

/// Between two calls to an engine that has named a limit.
const LIMITED_CALL_INTERVAL: time::Millis = time::Millis(1_000);

/// What a leader sees of one service, for its log.
#[derive(Debug, Clone, PartialEq)]
pub struct Summary {
    /// The service.
    pub service: String,
    /// Engines that take work.
    pub engines: usize,
    /// Of these, the ones that could take an order about weights now.
    pub free_for_orders: usize,
    /// Models that need another copy, the one that needs it most first.
    pub short_of_replicas: Vec<String>,
    /// The models with the most work.
    pub busiest: Vec<ModelLoad>,
    /// Whether the weight store may begin a load now.
    pub store_is_free: bool,
    /// Engines that all its requests keep busy, as a number of engines.
    pub work: f64,
    /// Wants of adapters that are not served yet.
    pub wants: usize,
}

/// A model as a leader sees it, for its log.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelLoad {
    /// Its name.
    pub model: String,
    /// Engines that hold it and are not told to drop it.
    pub replicas: usize,
    /// Engines that load it.
    pub loading: usize,
    /// Engines that its requests keep busy, as a number of engines.
    pub work: f64,
}

/// Plans for all services with engines.
#[derive(Debug)]
pub struct Planner {
    policy: Policy,
    holder: String,
    fence: u64,
    /// While this process leads.
    leadership: Option<leadership::Leadership>,
    engines: collections::BTreeMap<directory::InstanceId, engine::Engine>,
    demand: demand::DemandHistory,
    store: store::StoreBudget,
    reservations: reservations::Reservations,
    adapter_requests: Vec<adapters::PendingAdapterRequest>,
    restarts: restarts::Restarts,
}

/// The engines of one service as they are at one moment.
struct Pool<'a> {
    service: &'a str,
    offer: &'a config::EnginePool,
    instances: Vec<&'a directory::Instance>,
}

impl Planner {
    /// A planner that does not lead. `holder` names this process in its orders.
    #[must_use]
    pub fn new(policy: Policy, holder: &str) -> Self {
        Self {
            policy,
            holder: holder.to_owned(),
            fence: 0,
            leadership: None,
            engines: collections::BTreeMap::new(),
            demand: demand::DemandHistory::default(),
            store: store::StoreBudget::new(policy.store_window),
            reservations: reservations::Reservations::new(),
            adapter_requests: Vec::new(),
            restarts: restarts::Restarts::default(),
        }
    }

    /// This process leads from now on, with a fence above that of every leader before.
    pub fn start_leading(&mut self, now: time::Instant, fence: u64) {
        let leadership = leadership::Leadership::elected(now, self.policy.lease);
        self.fence = fence;
        self.leadership = Some(leadership);
        self.engines.clear();
        self.reservations.clear();
        self.restarts.start_leading(leadership.orders_from());
        // The leader before may have begun loads up to the moment from which this one may order.
        self.store.assume_all_spent(leadership.orders_from());
    }

    /// This process leads no longer.
    pub fn stop_leading(&mut self) {
        self.leadership = None;
        self.adapter_requests.clear();
    }

    /// Whether it leads.
    #[must_use]
    pub fn is_leading(&self) -> bool {
        self.leadership.is_some()
    }

    /// Takes what callers asked an entry process for.
    pub fn add_demand(&mut self, now: time::Instant, demand: &[messages::Demand]) {
        self.demand.add(now, demand);
    }

    /// Takes an entry's word that a request waits for an adapter.
    pub fn request_adapter(&mut self, now: time::Instant, req: messages::AdapterReq) {
        self.demand
            .record_adapter_use(now, &req.service, &req.model, &req.adapter);
        let known = self.adapter_requests.iter().any(|it| it.req == req);
        if !known && self.adapter_requests.len() < MAX_ADAPTER_REQUESTS {
            self.adapter_requests
                .push(adapters::PendingAdapterRequest { req, at: now });
        }
    }

    /// Takes the engines that are there and were started anew lately.
    pub fn set_restarted(&mut self, restarted: Vec<directory::InstanceId>) {
        self.restarts.set_restarted(restarted);
    }

    /// Takes the answer to an order; none where none came in time.
    pub fn handle_order_response(
        &mut self,
        now: time::Instant,
        order: &dialect::Order,
        answer: Option<dialect::OrderResponse>,
    ) -> Vec<Action> {
        let Some(engine) = self.engines.get_mut(&order.instance) else {
            return Vec::new();
        };
        let is_taken = engine.apply_order_response(now, order, answer);
        let unloads = matches!(
            order.task,
            dialect::Task::Unload(_) | dialect::Task::UnloadAdapter(..)
        );
        // What is loaded shows once it had the time to arrive.
        if is_taken && unloads {
            return vec![amend(&order.instance, &order.task)];
        }
        Vec::new()
    }

    /// Takes an engine's report; none where none came.
    pub fn handle_report(
        &mut self,
        now: time::Instant,
        instance: &directory::InstanceId,
        report: Option<dialect::Report>,
    ) {
        // A report of another start under the same name says nothing of this one.
        let is_own = |it: &dialect::Report| it.born.is_none() || it.born == instance.born;
        if let Some(engine) = self.engines.get_mut(instance) {
            engine.apply_report(now, report.filter(is_own));
        }
    }

    /// Takes what an engine says of itself in an answer.
    ///
    /// Of one that takes no more than so many requests from all VMs together, orders and questions count like
    /// requests, and no entry process counts them: one a second leaves the rest to callers.
    pub fn apply_notice(
        &mut self,
        now: time::Instant,
        instance: &directory::InstanceId,
        notice: dialect::Notice,
    ) {
        let Some(engine) = self.engines.get_mut(instance) else {
            return;
        };
        if notice.limit.is_some() {
            engine.pause_calls(now, LIMITED_CALL_INTERVAL);
        }
        if let Some(span) = notice.retry_after {
            engine.pause_calls(now, span);
        }
    }

    /// Decides what to do now, by the configuration and the instances that are there.
    pub fn tick(
        &mut self,
        now: time::Instant,
        config: &config::FleetConfig,
        instances: &[&directory::Instance],
    ) -> Vec<Action> {
        if !self.leadership.is_some_and(|it| it.may_order(now)) {
            return Vec::new();
        }
        self.update_engines(now, instances);
        let mut actions = self.correct(now, instances);
        for service in &config.services {
            let Some(offer) = &service.engines else {
                continue;
            };
            let pool = pool_of(service, offer, instances);
            actions.extend(self.request_reports(now, &pool));
            actions.extend(self.resend(now, &pool));
            actions.extend(self.serve_adapter_requests(now, &pool));
            actions.extend(self.place(now, &pool));
        }
        actions
    }

    /// What is seen now of each service with engines.
    #[must_use]
    pub fn summary(
        &self,
        now: time::Instant,
        config: &config::FleetConfig,
        instances: &[&directory::Instance],
    ) -> Vec<Summary> {
        let pools = config.services.iter().filter_map(|service| {
            let offer = service.engines.as_ref()?;
            Some(pool_of(service, offer, instances))
        });
        pools.map(|pool| self.summary_of(now, &pool)).collect()
    }

    fn summary_of(&self, now: time::Instant, pool: &Pool<'_>) -> Summary {
        let is_free = |it: &&&directory::Instance| {
            let engine = self.engines.get(&it.id);
            engine.is_some_and(|it| it.accepts_weight_orders(now))
        };
        let state = weights::PoolState::new(self, now, pool);
        let short = state.short_of_replicas();
        let models = pool.offer.models.iter();
        let work = models.map(|it| self.demand.work(now, pool.service, &it.name));
        Summary {
            service: pool.service.to_owned(),
            engines: pool.instances.len(),
            free_for_orders: pool.instances.iter().filter(is_free).count(),
            short_of_replicas: short.into_iter().map(|it| it.name.clone()).collect(),
            busiest: state.busiest(SUMMARY_MODELS),
            store_is_free: self.store.allows(now, pool.offer.loads_per_s, 0),
            work: work.sum(),
            wants: self.adapter_requests.len(),
        }
    }

    /// Keeps an account of each engine that is there, and of no other.
    fn update_engines(&mut self, now: time::Instant, instances: &[&directory::Instance]) {
        let present: collections::HashSet<&directory::InstanceId> =
            instances.iter().map(|it| &it.id).collect();
        let is_there = |id: &directory::InstanceId| present.contains(id);
        self.restarts.record_ended(now, &self.engines, is_there);
        self.engines.retain(|id, _| is_there(id));
        for instance in instances {
            let engine = self.engines.entry(instance.id.clone()).or_insert_with(|| {
                let until = self.restarts.unsettled_until(&instance.id);
                engine::Engine::after_restart(until)
            });
            engine.apply_announcement(now, instance);
        }
        self.adapter_requests
            .retain(|it| now.since(it.at) < ADAPTER_REQUEST_TTL);
    }

    /// Corrects what engines announce by the orders that they have taken: shows adapters once they had
    /// the time to arrive, and hides models that are on their way out.
    fn correct(&self, now: time::Instant, instances: &[&directory::Instance]) -> Vec<Action> {
        let mut actions = Vec::new();
        for instance in instances {
            let Some(engine) = self.engines.get(&instance.id) else {
                continue;
            };
            let tasks = engine.unannounced_adapters(now, instance);
            let hidden = engine.unloading_but_announced(instance);
            let tasks = tasks.iter().chain(&hidden);
            actions.extend(tasks.map(|task| amend(&instance.id, task)));
        }
        actions
    }

    /// Asks engines whose count of orders is not known, those first from which something is waited for.
    fn request_reports(&mut self, now: time::Instant, pool: &Pool<'_>) -> Vec<Action> {
        let under_way = self.engines.values().filter(|it| it.awaits_report(now));
        let room = self
            .policy
            .max_report_requests
            .saturating_sub(under_way.count());
        let wanted = self.adapter_requests.iter().map(|it| &it.req);
        let wanted: collections::BTreeSet<&str> = wanted
            .filter(|it| it.service == pool.service)
            .map(|it| it.model.as_str())
            .collect();
        let is_urgent = |instance: &directory::Instance, engine: &engine::Engine| {
            let mut models = instance.models.iter();
            engine.has_pending_orders() || models.any(|it| wanted.contains(it.model.as_str()))
        };
        let mut urgent = Vec::new();
        let mut others = Vec::new();
        for instance in &pool.instances {
            let Some(engine) = self.engines.get(&instance.id) else {
                continue;
            };
            if !engine.needs_report(now) {
                continue;
            }
            if is_urgent(instance, engine) {
                urgent.push(*instance);
            } else if others.len() < room {
                others.push(*instance);
            }
        }
        let mut actions = Vec::new();
        for instance in urgent.into_iter().chain(others).take(room) {
            if let Some(engine) = self.engines.get_mut(&instance.id) {
                engine.report_requested(now);
            }
            actions.push(Action::AskReport {
                instance: instance.id.clone(),
                address: instance.address,
            });
        }
        actions
    }

    /// Gives orders again that were lost on their way.
    fn resend(&mut self, now: time::Instant, pool: &Pool<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        for instance in &pool.instances {
            let engine = self.engines.get_mut(&instance.id);
            if let Some((task, accepted_before)) = engine.and_then(|it| it.resend(now)) {
                actions.push(Action::Order(dialect::Order {
                    instance: instance.id.clone(),
                    address: instance.address,
                    task,
                    accepted_before,
                    holder: self.holder.clone(),
                    fence: self.fence,
                }));
            }
        }
        actions
    }

    /// Has weights loaded and unloaded.
    fn place(&mut self, now: time::Instant, pool: &Pool<'_>) -> Vec<Action> {
        let orders = self.continue_reservations(now, pool);
        let mut actions: Vec<Action> = orders.into_iter().map(Action::Order).collect();
        for model in weights::PoolState::new(self, now, pool).short_of_replicas() {
            // The order before may have changed what the next one finds.
            let state = weights::PoolState::new(self, now, pool);
            let Some((id, task)) = state.next_step(model) else {
                continue;
            };
            let makes_room = matches!(task, dialect::Task::Unload(_));
            let order = self.order(now, pool, &id, task);
            if order.is_some() && makes_room {
                self.reserve(now, id, &model.name);
            }
            actions.extend(order.map(Action::Order));
        }
        actions
    }

    /// Makes an order out of a task, if the engine can take one now.
    fn order(
        &mut self,
        now: time::Instant,
        pool: &Pool<'_>,
        id: &directory::InstanceId,
        task: dialect::Task,
    ) -> Option<dialect::Order> {
        let instance = pool.instances.iter().find(|it| it.id == *id)?;
        let engine = self.engines.get_mut(id)?;
        let load_time = pool
            .offer
            .models
            .iter()
            .find(|it| it.name == task.model())
            .map_or(time::Millis(0), |it| it.store_load);
        let from_store = matches!(task, dialect::Task::Load(_))
            && engine::source(instance, task.model()) == engine::Source::Store;
        let accepted_before = engine.begin_order(now, &task, from_store, load_time)?;
        if from_store {
            self.store.spend(now);
        }
        Some(dialect::Order {
            instance: id.clone(),
            address: instance.address,
            task,
            accepted_before,
            holder: self.holder.clone(),
            fence: self.fence,
        })
    }
}

fn pool_of<'a>(
    service: &'a config::Service,
    offer: &'a config::EnginePool,
    instances: &[&'a directory::Instance],
) -> Pool<'a> {
    let own = |it: &&&directory::Instance| it.service == service.name && it.is_ready();
    Pool {
        service: &service.name,
        offer,
        instances: instances.iter().filter(own).copied().collect(),
    }
}

fn amend(instance: &directory::InstanceId, task: &dialect::Task) -> Action {
    Action::Amend {
        instance: instance.clone(),
        task: task.clone(),
    }
}
