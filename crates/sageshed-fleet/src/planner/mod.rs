//! Placement of weights and adapters on engines. Run by the control process that leads.
//!
//! # Work
//!
//! The work of a model is the engine time that the prefill of its requests takes, per unit of time. It is given in busy
//! engines: 1.0 keeps one engine busy. Costs that are compared with it have the same unit.
//!
//! # Load pattern
//!
//! A few models get most of the requests, and many get few. Which ones these are changes within seconds, while
//! loading weights from the weight store takes up to ten seconds, and the store is slow and shared. Therefore
//!
//! * each model keeps a replica somewhere, since a request for a model without one waits for a load;
//! * the remaining memory goes to the models with the most work per replica;
//! * a replica is added only where the work per replica of a model exceeds [`Policy::add_replica_above`], and evicted
//!   where that of its model would stay below [`Policy::drop_replica_below`]; between the two nothing changes;
//! * an engine that has the weights cached in its host's memory or on its disk is preferred.
//!
//! # Memory of an engine
//!
//! An engine that is ordered to load more than fits crashes with all its requests. Its memory is therefore bounded
//! from above: what it reports to hold, plus each load that it may still execute; the memory of an unload counts as
//! used until the engine reports that the model is gone. Orders to one engine are sent one after the other, each
//! with the number of orders that the engine has accepted before, so a delayed order has no effect after a newer one.
//!
//! # One leader
//!
//! Engines that don't check the fencing token would execute the orders of two leaders. A leader that is cut off stops
//! giving orders when it loses its majority; a new one gives its first order a lease after its election
//! ([`leadership`]), and counts the store's budget as spent by its predecessor at that moment.

mod adapters;
mod demand;
mod engine;
pub mod leadership;
mod reservations;
mod restarts;
mod spare_adapters;
mod store;
mod store_limit;
mod unserved;
mod weights;

use std::{collections, net};

use sageshed_types::time;

use crate::{config, dialect, directory, messages};

/// The parameters of a planner.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Policy {
    /// How long after its election a leader waits before its first order; see [`leadership`] for the margin that is
    /// added.
    pub lease: time::Millis,
    /// Window over which loads from the weight store are counted.
    pub store_window: time::Millis,
    /// Work per replica, in busy engines, above which another replica of a model is loaded. With 0.3 nearly every
    /// model of a busy pool is short of replicas all day, and replicas are moved without end.
    pub add_replica_above: f64,
    /// Work per remaining replica, in busy engines, up to which a replica of a model may be evicted.
    pub drop_replica_below: f64,
    /// Share of the work of the model ranked before it, by work, for which a busy model gets replicas in advance.
    /// Demand moves down that ranking within seconds, and a load takes longer.
    pub anticipated_share: f64,
    /// Maximum number of concurrent loads from the weight store; more of them slow each other down.
    pub max_store_loads: usize,
    /// Whether that number is adapted to how long loads take, instead of [`Self::max_store_loads`].
    pub adaptive_store_loads: bool,
    /// Whether models whose requests wait or are refused get replicas before those whose replicas are busy.
    pub follow_waiting: bool,
    /// Whether recently requested adapters are loaded ahead on a second engine.
    pub spare_adapters: bool,
    /// Maximum number of concurrent report requests. A new leader doesn't know how many orders each engine has
    /// accepted, and asks those first for which an order is due.
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
            adaptive_store_loads: false,
            follow_waiting: false,
            spare_adapters: false,
            max_report_requests: 24,
        }
    }
}

/// Cost of a full engine compared with an empty one, in busy engines. Below all other costs, so that it only breaks
/// ties.
const FILL_COST: f64 = 0.01;

/// The fencing token of the first leader of a control group, which has no predecessor. Without this distinction a
/// deployment that starts with empty engines would begin to load a window later.
const FIRST_FENCE: u64 = 1;

/// Number of models that a summary names.
const SUMMARY_MODELS: usize = 4;

/// Maximum number of requests for adapters that are kept while no engine can load them.
const MAX_ADAPTER_REQUESTS: usize = 256;

/// How long a request for an adapter is kept. Entry processes repeat it while requests wait for the adapter.
const ADAPTER_REQUEST_TTL: time::Millis = time::Millis(1_500);

/// An action that the caller of the planner is to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send an order; the response goes to [`Planner::handle_order_response`].
    Order(dialect::Order),
    /// Request an engine's report; it goes to [`Planner::handle_report`].
    RequestReport {
        /// The engine's instance.
        instance: directory::InstanceId,
        /// Its address.
        address: net::SocketAddrV4,
    },
    /// Apply the effect of an order to the engine's record in the directory.
    Amend {
        /// The engine's instance.
        instance: directory::InstanceId,
        /// The task that it has executed, or is about to execute.
        task: dialect::Task,
    },
}

/// Interval between two calls to an engine that has announced a rate limit.
const LIMITED_CALL_INTERVAL: time::Millis = time::Millis(1_000);

/// Summary of one service for the leader's log.
#[derive(Debug, Clone, PartialEq)]
pub struct Summary {
    /// The service.
    pub service: String,
    /// Number of engines that take new work.
    pub engines: usize,
    /// Number of these that could take an order about weights now.
    pub free_for_orders: usize,
    /// Models that need another replica, in decreasing order of need.
    pub short_of_replicas: Vec<String>,
    /// The models with the most work.
    pub busiest: Vec<ModelLoad>,
    /// Whether the weight store may begin a load now.
    pub store_is_free: bool,
    /// Maximum number of concurrent loads from the weight store.
    pub max_store_loads: usize,
    /// Number of engines that all its requests keep busy.
    pub work: f64,
    /// Models whose requests wait or are refused, if the planner follows them.
    pub unserved: Vec<String>,
    /// Number of pending requests for adapters.
    pub adapter_requests: usize,
}

/// Load of one model for the leader's log.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelLoad {
    /// Its name.
    pub model: String,
    /// Number of engines that hold it and are not ordered to unload it.
    pub replicas: usize,
    /// Number of engines that load it or reserve memory for it.
    pub loading: usize,
    /// Number of engines that its requests keep busy.
    pub work: f64,
}

/// Plans the placement for all services with engines.
#[derive(Debug)]
pub struct Planner {
    policy: Policy,
    holder: String,
    fence: u64,
    /// Present while this process leads.
    leadership: Option<leadership::Leadership>,
    engines: collections::BTreeMap<directory::InstanceId, engine::Engine>,
    demand: demand::DemandHistory,
    store: store::StoreBudget,
    store_limit: store_limit::StoreLimit,
    /// Whether that limit applies instead of [`Policy::max_store_loads`].
    adapts_store_limit: bool,
    reservations: reservations::Reservations,
    adapter_requests: Vec<adapters::PendingAdapterRequest>,
    restarts: restarts::Restarts,
    extra_replicas: unserved::ExtraReplicas,
    spares: spare_adapters::SpareAdapters,
}

/// The ready engines of one service at one moment.
struct Pool<'a> {
    service: &'a str,
    /// The service's settings for its engines.
    settings: &'a config::EnginePool,
    instances: Vec<&'a directory::Instance>,
}

impl Planner {
    /// A planner of a process that doesn't lead. `holder` names this process in its orders.
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
            store_limit: store_limit::StoreLimit::default(),
            adapts_store_limit: false,
            reservations: reservations::Reservations::new(),
            adapter_requests: Vec::new(),
            restarts: restarts::Restarts::default(),
            extra_replicas: unserved::ExtraReplicas::new(),
            spares: spare_adapters::SpareAdapters::default(),
        }
    }

    /// This process leads from now on, with a fencing token above that of every previous leader.
    pub fn start_leading(&mut self, now: time::Instant, fence: u64) {
        let leadership = leadership::Leadership::elected(now, self.policy.lease);
        self.fence = fence;
        self.leadership = Some(leadership);
        self.engines.clear();
        self.reservations.clear();
        self.extra_replicas.clear();
        self.restarts.start_leading(leadership.orders_from());
        if fence > FIRST_FENCE {
            // The previous leader's orders may be carried out up to the moment from which this one may give orders.
            self.store.assume_all_spent(leadership.orders_from());
        }
        // Loads of the previous leader are not counted in the concurrency, so samples of its time say nothing.
        self.store_limit = store_limit::StoreLimit::default();
    }

    /// This process no longer leads.
    pub fn stop_leading(&mut self) {
        self.leadership = None;
        self.adapter_requests.clear();
    }

    /// Whether this process leads.
    #[must_use]
    pub fn is_leading(&self) -> bool {
        self.leadership.is_some()
    }

    /// Adds the demand that an entry process has counted.
    pub fn add_demand(&mut self, now: time::Instant, demand: &[messages::Demand]) {
        self.demand.add(now, demand);
    }

    /// Adds an entry process's request for an adapter that one of its requests waits for.
    pub fn request_adapter(&mut self, now: time::Instant, req: messages::AdapterReq) {
        self.demand
            .record_adapter_use(now, &req.service, &req.model, &req.adapter);
        let known = self.adapter_requests.iter().any(|it| it.req == req);
        if !known && self.adapter_requests.len() < MAX_ADAPTER_REQUESTS {
            self.adapter_requests
                .push(adapters::PendingAdapterRequest { req, at: now });
        }
    }

    /// Sets the present instances that have recently replaced another instance of their endpoint.
    pub fn set_restarted(&mut self, restarted: Vec<directory::InstanceId>) {
        self.restarts.set_restarted(restarted);
    }

    /// Handles the response to an order; none where none came in time.
    pub fn handle_order_response(
        &mut self,
        now: time::Instant,
        order: &dialect::Order,
        response: Option<dialect::OrderResponse>,
    ) -> Vec<Action> {
        let Some(engine) = self.engines.get_mut(&order.instance) else {
            return Vec::new();
        };
        let is_accepted = engine.apply_order_response(now, order, response);
        let is_unload = matches!(
            order.task,
            dialect::Task::Unload(_) | dialect::Task::UnloadAdapter(..)
        );
        // A loaded adapter is shown only once it has had the time to load; see `correct_records`.
        if is_accepted && is_unload {
            return vec![amend(&order.instance, &order.task)];
        }
        Vec::new()
    }

    /// Handles an engine's report; none where none came.
    pub fn handle_report(
        &mut self,
        now: time::Instant,
        instance: &directory::InstanceId,
        report: Option<dialect::Report>,
    ) {
        // A report of another instance of the same endpoint says nothing about this one.
        let is_own = |it: &dialect::Report| it.born.is_none() || it.born == instance.born;
        if let Some(engine) = self.engines.get_mut(instance) {
            engine.apply_report(now, report.filter(is_own));
        }
    }

    /// Applies the notice that came with an engine's response.
    ///
    /// At an engine with a rate limit, orders and report requests count like requests of callers, but no entry
    /// process counts them. One a second leaves the rest of the limit to callers.
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

    /// Plans the next actions for the configuration and the present instances.
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
        let mut actions = self.correct_records(now, instances);
        let pools = config.services.iter().filter_map(|service| {
            let settings = service.engines.as_ref()?;
            Some(ready_pool(service, settings, instances))
        });
        let pools: Vec<Pool<'_>> = pools.collect();
        self.adapt_store_limit(now, &pools);
        for pool in pools {
            actions.extend(self.request_reports(now, &pool));
            actions.extend(self.resend_orders(now, &pool));
            actions.extend(self.serve_adapter_requests(now, &pool));
            actions.extend(self.place_weights(now, &pool));
            actions.extend(self.load_spare_adapters(now, &pool));
        }
        actions
    }

    /// The summaries of all services with engines.
    #[must_use]
    pub fn summary(
        &self,
        now: time::Instant,
        config: &config::FleetConfig,
        instances: &[&directory::Instance],
    ) -> Vec<Summary> {
        let pools = config.services.iter().filter_map(|service| {
            let settings = service.engines.as_ref()?;
            Some(ready_pool(service, settings, instances))
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
        let models = pool.settings.models.iter();
        let work = models.map(|it| self.demand.work(now, pool.service, &it.name));
        let unserved = pool.settings.models.iter();
        let unserved = unserved.filter(|it| self.unserved(now, pool.service, &it.name) > 0.0);
        Summary {
            service: pool.service.to_owned(),
            engines: pool.instances.len(),
            free_for_orders: pool.instances.iter().filter(is_free).count(),
            short_of_replicas: short.into_iter().map(|it| it.name.clone()).collect(),
            busiest: state.busiest(SUMMARY_MODELS),
            store_is_free: self.store.allows(now, pool.settings.loads_per_s, 0),
            max_store_loads: self.max_store_loads(),
            work: work.sum(),
            unserved: unserved.map(|it| it.name.clone()).collect(),
            adapter_requests: self.adapter_requests.len(),
        }
    }

    /// Updates the state of the present engines, and removes that of the others.
    fn update_engines(&mut self, now: time::Instant, instances: &[&directory::Instance]) {
        let present: collections::HashSet<&directory::InstanceId> =
            instances.iter().map(|it| &it.id).collect();
        let is_present = |id: &directory::InstanceId| present.contains(id);
        self.restarts.record_ended(now, &self.engines, is_present);
        self.engines.retain(|id, _| is_present(id));
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

    /// Corrects the records of engines by the orders that they have accepted: adds adapters once they have had the
    /// time to load, and removes models that are being unloaded.
    fn correct_records(
        &self,
        now: time::Instant,
        instances: &[&directory::Instance],
    ) -> Vec<Action> {
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

    /// Requests the reports that are due, first from engines with pending orders or requested adapters.
    fn request_reports(&mut self, now: time::Instant, pool: &Pool<'_>) -> Vec<Action> {
        let in_flight = self.engines.values().filter(|it| it.awaits_report(now));
        let available = self
            .policy
            .max_report_requests
            .saturating_sub(in_flight.count());
        let requested = self.adapter_requests.iter().map(|it| &it.req);
        let requested: collections::BTreeSet<&str> = requested
            .filter(|it| it.service == pool.service)
            .map(|it| it.model.as_str())
            .collect();
        let is_requested = |instance: &directory::Instance| {
            let mut models = instance.models.iter();
            models.any(|it| requested.contains(it.model.as_str()))
        };
        let mut urgent = Vec::new();
        let mut others = Vec::new();
        for instance in &pool.instances {
            let Some(engine) = self.engines.get(&instance.id) else {
                continue;
            };
            let is_requested = is_requested(instance);
            if !engine.needs_report(now, is_requested) {
                continue;
            }
            if is_requested || engine.has_pending_orders() {
                urgent.push(*instance);
            } else if others.len() < available {
                others.push(*instance);
            }
        }
        let mut actions = Vec::new();
        for instance in urgent.into_iter().chain(others).take(available) {
            if let Some(engine) = self.engines.get_mut(&instance.id) {
                engine.report_requested(now);
            }
            actions.push(Action::RequestReport {
                instance: instance.id.clone(),
                address: instance.address,
            });
        }
        actions
    }

    /// Sends the orders again that their engines have not accepted by their latest reports.
    fn resend_orders(&mut self, now: time::Instant, pool: &Pool<'_>) -> Vec<Action> {
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

    /// Gives the orders that load and unload weights.
    fn place_weights(&mut self, now: time::Instant, pool: &Pool<'_>) -> Vec<Action> {
        let orders = self.continue_reservations(now, pool);
        let mut actions: Vec<Action> = orders.into_iter().map(Action::Order).collect();
        for model in weights::PoolState::new(self, now, pool).short_of_replicas() {
            // Computed anew, since the previous order has changed it.
            let state = weights::PoolState::new(self, now, pool);
            let Some((id, task)) = state.next_step(model) else {
                continue;
            };
            let frees_memory = matches!(task, dialect::Task::Unload(_));
            let order = self.order(now, pool, &id, task);
            if order.is_some() {
                self.record_extra_replica(now, pool.service, model);
                if frees_memory {
                    self.reserve(now, id, &model.name);
                }
            }
            actions.extend(order.map(Action::Order));
        }
        actions
    }

    /// Makes an order for a task, if the engine can take one now.
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
            .settings
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

fn ready_pool<'a>(
    service: &'a config::Service,
    settings: &'a config::EnginePool,
    instances: &[&'a directory::Instance],
) -> Pool<'a> {
    let is_ready = |it: &&&directory::Instance| it.service == service.name && it.is_ready();
    Pool {
        service: &service.name,
        settings,
        instances: instances.iter().filter(is_ready).copied().collect(),
    }
}

fn amend(instance: &directory::InstanceId, task: &dialect::Task) -> Action {
    Action::Amend {
        instance: instance.clone(),
        task: task.clone(),
    }
}
