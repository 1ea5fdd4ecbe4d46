//! The leader's state of one engine: its pending orders, and an upper bound of the weights and adapters that it
//! may hold.
//!
//! A leader learns what an engine does from announcements, reports and responses to orders, any of which may be
//! late or lost. An order counts as pending, and its memory as used, until one of them shows its outcome.

use std::collections;

use sageshed_types::time;

use super::store_limit;
use crate::{config, dialect, directory};

/// Time from an accepted order until its adapter is loaded. The slowest take 19 ms.
const ADAPTER_ARRIVAL: time::Millis = time::Millis(25);

/// Adapters that one engine loads at the same time.
const MAX_ADAPTERS_IN_TRANSIT: usize = 3;

/// How long an order without a response may still be executed. Some were executed after 12 s.
pub(super) const UNCONFIRMED_TIMEOUT: time::Millis = time::Millis(13_000);

/// Interval between two report requests to one engine.
const REPORT_INTERVAL: time::Millis = time::Millis(1_000);

/// Timeout of a report request.
const REPORT_REQUEST_TIMEOUT: time::Millis = time::Millis(5_000);

/// Upper bound of the backoff between report requests to an engine that doesn't answer them.
const MAX_REPORT_INTERVAL: time::Millis = time::Millis(8_000);

/// Interval between two report requests while an unload is pending. Only a report tells when its memory is free,
/// and the load that waits for it is urgent.
const UNLOAD_REPORT_INTERVAL: time::Millis = time::Millis(400);

/// Maximum age of the data in a report.
const MAX_REPORT_AGE: time::Millis = time::Millis(1_000);

/// How long after its expected end a load that the engine doesn't show is checked by a report request.
const LOAD_GRACE: time::Millis = time::Millis(1_500);

/// Where an engine loads weights from, the fastest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Source {
    /// Its host's memory.
    Memory,
    /// Its disk.
    Disk,
    /// The weight store.
    Store,
}

impl Source {
    /// Cost of a load from this source when engines are compared, in busy engines: a load of 10 s counts as one.
    pub(super) fn cost(self, model: &config::Model) -> f64 {
        let span = match self {
            Self::Memory => model.memory_load,
            Self::Disk => model.disk_load,
            Self::Store => model.store_load,
        };
        span.0 as f64 / 10_000.0
    }
}

/// Where `instance` would load the weights of `model` from.
pub(super) fn source(instance: &directory::Instance, model: &str) -> Source {
    let has = |list: &[String]| list.iter().any(|it| it == model);
    if has(&instance.in_memory) {
        Source::Memory
    } else if has(&instance.on_disk) {
        Source::Disk
    } else {
        Source::Store
    }
}

/// What the leader knows of an order that it has sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OrderState {
    /// It is in flight.
    Sent,
    /// The engine has accepted it and should have executed it by then.
    Accepted(time::Instant),
    /// No response came; it may be executed until then.
    Unconfirmed(time::Instant),
    /// No response came, and the engine's latest report doesn't count it; it may still be executed until then.
    /// It can be sent again: of two orders with the same `accepted_before` the engine accepts only one.
    Resendable(time::Instant),
}

#[derive(Debug, Clone)]
struct PendingOrder {
    task: dialect::Task,
    state: OrderState,
    from_store: bool,
    load_time: time::Millis,
    accepted_before: u64,
    /// When the engine accepted it, where its response told so.
    begun: Option<time::Instant>,
}

impl PendingOrder {
    /// The load from the store that has ended now; none for another order, and where its beginning is not known.
    fn finished_load(&self, now: time::Instant) -> Option<store_limit::FinishedLoad> {
        Some(store_limit::FinishedLoad {
            begun: self.begun.filter(|_| self.from_store)?,
            ended: now,
            stated: self.load_time,
        })
    }
}

/// The leader's state of one engine.
#[derive(Debug, Default)]
pub(super) struct Engine {
    /// Number of orders that it has accepted; none while that is not known.
    accepted: Option<u64>,
    pending: Vec<PendingOrder>,
    /// Adapters that it was ordered to load, with when they are loaded. An announcement may be older than an order
    /// that was executed since, so these count in addition to the announced ones.
    adapters: collections::BTreeMap<(String, String), time::Instant>,
    /// Loads from the store that have ended since [`Engine::take_finished_loads`].
    finished_loads: Vec<store_limit::FinishedLoad>,
    /// The models in its latest report.
    reported_models: Vec<String>,
    report_requested_at: Option<time::Instant>,
    /// Whether a report request was sent and its outcome is not known yet.
    report_pending: bool,
    /// Consecutive report requests without a report.
    failed_reports: u32,
    /// It refused an order or could not be reached: no orders are sent until then.
    orders_paused_until: time::Instant,
    /// Until then it may execute orders that were sent to an earlier instance of the same endpoint.
    unsettled_until: time::Instant,
    /// It announced a rate limit or a `Retry-After`: neither orders nor report requests are sent until then.
    calls_paused_until: time::Instant,
}

impl Engine {
    /// State of an instance that may execute orders to an earlier instance of its endpoint until `until`.
    pub(super) fn after_restart(until: time::Instant) -> Self {
        Self {
            unsettled_until: until,
            ..Self::default()
        }
    }

    /// Removes the pending orders whose outcome the announced instance shows, and those that have expired.
    pub(super) fn apply_announcement(
        &mut self,
        now: time::Instant,
        instance: &directory::Instance,
    ) {
        // Only accepted loads are confirmed by announcements. For other orders the directory was amended when they
        // were accepted, so only a report shows their outcome.
        let finished = &mut self.finished_loads;
        self.pending
            .retain(|order| match (&order.task, order.state) {
                (_, OrderState::Unconfirmed(until) | OrderState::Resendable(until)) => now < until,
                (dialect::Task::Load(model), OrderState::Accepted(_)) => {
                    let is_loaded = instance.resident(model).is_some();
                    finished.extend(order.finished_load(now).filter(|_| is_loaded));
                    !is_loaded
                }
                (_, OrderState::Sent | OrderState::Accepted(_)) => true,
            });
        let pending = &self.pending;
        self.adapters.retain(|(model, _), _| {
            let unloads =
                |it: &PendingOrder| matches!(&it.task, dialect::Task::Unload(m) if m == model);
            instance.resident(model).is_some() || pending.iter().any(unloads)
        });
    }

    /// The adapters that are loaded by now but missing in the announced instance, as load tasks.
    pub(super) fn unannounced_adapters(
        &self,
        now: time::Instant,
        instance: &directory::Instance,
    ) -> Vec<dialect::Task> {
        let mut tasks = Vec::new();
        for ((model, adapter), arrives) in &self.adapters {
            let is_shown = instance.holds(model, Some(adapter));
            let unloads = self.unloads(model) || self.unloads_adapter(model, adapter);
            if now >= *arrives && !is_shown && !unloads && instance.resident(model).is_some() {
                tasks.push(dialect::Task::LoadAdapter(model.clone(), adapter.clone()));
            }
        }
        tasks
    }

    /// The models with an accepted unload that the announced instance still shows, as unload tasks.
    ///
    /// An unload waits up to seconds for running requests, and the engine announces the model until then. If entry
    /// processes saw it, they would go on to send requests for the model; the engine rejects each, which uses up
    /// the retry budget that failed requests need.
    pub(super) fn unloading_but_announced(
        &self,
        instance: &directory::Instance,
    ) -> Vec<dialect::Task> {
        let unloads = self.pending.iter().filter(|it| {
            let is_unload = matches!(it.task, dialect::Task::Unload(_));
            let is_accepted = matches!(it.state, OrderState::Accepted(_));
            is_unload && is_accepted && instance.resident(it.task.model()).is_some()
        });
        unloads.map(|it| it.task.clone()).collect()
    }

    /// Whether it was ordered to unload the adapter.
    fn unloads_adapter(&self, model: &str, adapter: &str) -> bool {
        self.pending.iter().any(|it| {
            matches!(&it.task, dialect::Task::UnloadAdapter(m, a) if m == model && a == adapter)
        })
    }

    /// Whether a report request is due: the number of accepted orders is unknown, or the outcome of a pending order
    /// is overdue or only shows in a report. The backoff is short where an adapter is requested: requests wait for the
    /// engine's next order. With the full one, three reports that a slow machine gave late delayed an adapter by eight
    /// seconds.
    pub(super) fn needs_report(&self, now: time::Instant, is_adapter_requested: bool) -> bool {
        let unloads = |it: &PendingOrder| {
            matches!(
                it.task,
                dialect::Task::Unload(_) | dialect::Task::UnloadAdapter(..)
            )
        };
        let interval = if self.pending.iter().any(unloads) {
            UNLOAD_REPORT_INTERVAL
        } else {
            REPORT_INTERVAL
        };
        let max_doublings = if is_adapter_requested { 1 } else { 4 };
        let doublings = self.failed_reports.min(max_doublings);
        let interval = time::Millis(interval.0 << doublings).min(MAX_REPORT_INTERVAL);
        let recently = self
            .report_requested_at
            .is_some_and(|at| now.since(at) < interval);
        let overdue = |it: &PendingOrder| match (it.state, &it.task) {
            (OrderState::Accepted(by), dialect::Task::Load(_)) => now >= by + LOAD_GRACE,
            (
                OrderState::Accepted(_),
                dialect::Task::Unload(_) | dialect::Task::UnloadAdapter(..),
            )
            | (OrderState::Unconfirmed(_) | OrderState::Resendable(_), _) => true,
            _ => false,
        };
        let is_sending = self.pending.iter().any(|it| it.state == OrderState::Sent);
        if now < self.calls_paused_until {
            return false;
        }
        !recently && !is_sending && (self.accepted.is_none() || self.pending.iter().any(overdue))
    }

    /// Sends no orders or report requests for `span`.
    pub(super) fn pause_calls(&mut self, now: time::Instant, span: time::Millis) {
        self.calls_paused_until = self.calls_paused_until.max(now + span);
    }

    /// Records that a report request is sent now.
    pub(super) fn report_requested(&mut self, now: time::Instant) {
        self.report_requested_at = Some(now);
        self.report_pending = true;
    }

    /// Whether a report request is in flight and has not timed out.
    pub(super) fn awaits_report(&self, now: time::Instant) -> bool {
        let recently = self
            .report_requested_at
            .is_some_and(|at| now.since(at) < REPORT_REQUEST_TIMEOUT);
        self.report_pending && recently
    }

    /// Whether it has orders whose outcome is not known yet.
    pub(super) fn has_pending_orders(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Applies the outcome of a report request: the report, or none where none came.
    pub(super) fn apply_report(&mut self, now: time::Instant, report: Option<dialect::Report>) {
        self.report_pending = false;
        let Some(report) = report else {
            self.failed_reports += 1;
            return;
        };
        self.failed_reports = 0;
        self.reported_models = report.models.iter().map(|it| it.model.clone()).collect();
        // A busy engine without a pending order about weights executes one of an earlier leader, whose outcome shows
        // only once it is done.
        let is_foreign = report.is_busy && !self.pending.iter().any(|it| it.task.is_weights());
        self.accepted = (!is_foreign).then_some(report.accepted);
        for order in &mut self.pending {
            let is_accepted = report.accepted > order.accepted_before;
            order.state = match order.state {
                OrderState::Unconfirmed(_) | OrderState::Resendable(_) if is_accepted => {
                    OrderState::Accepted(now + order.load_time)
                }
                OrderState::Unconfirmed(until) => OrderState::Resendable(until),
                state => state,
            };
        }
        self.reconcile_adapters(now, &report);
        let has = |model: &str, adapter: &str| {
            let mut held = report.models.iter().filter(|it| it.model == model);
            let pending = report.adapters_pending.iter();
            held.any(|it| it.adapters.iter().any(|a| a == adapter))
                || pending.into_iter().any(|(m, a)| m == model && a == adapter)
        };
        let adapters = &mut self.adapters;
        let finished = &mut self.finished_loads;
        self.pending
            .retain(|order| match (&order.task, order.state) {
                (dialect::Task::Load(model), OrderState::Accepted(by)) => {
                    let holds = report.models.iter().any(|it| it.model == *model);
                    finished.extend(order.finished_load(now).filter(|_| holds));
                    // Idle, without the model and past the expected end: the load has failed.
                    let failed = !report.is_busy && now >= by + LOAD_GRACE;
                    !holds && !failed
                }
                (dialect::Task::Unload(model), OrderState::Accepted(_)) => {
                    report.is_busy || report.models.iter().any(|it| it.model == *model)
                }
                (dialect::Task::LoadAdapter(model, adapter), OrderState::Accepted(_)) => {
                    if has(model, adapter) {
                        adapters.insert((model.clone(), adapter.clone()), now);
                    }
                    false
                }
                (dialect::Task::UnloadAdapter(model, adapter), OrderState::Accepted(_)) => {
                    let is_present = has(model, adapter);
                    if !is_present {
                        adapters.remove(&(model.clone(), adapter.clone()));
                    }
                    is_present
                }
                _ => true,
            });
    }

    /// Reconciles the known adapters with a report, which may be some hundred milliseconds old. A new leader learns
    /// from it which adapters its predecessor has loaded.
    fn reconcile_adapters(&mut self, now: time::Instant, report: &dialect::Report) {
        let held = report.models.iter().flat_map(|it| {
            let adapters = it.adapters.iter();
            adapters.map(|adapter| (it.model.clone(), adapter.clone()))
        });
        let present: collections::BTreeSet<(String, String)> = held
            .chain(report.adapters_pending.iter().cloned())
            .collect();
        self.adapters.retain(|key, arrives| {
            present.contains(key) || now.since(*arrives) < MAX_REPORT_AGE || now < *arrives
        });
        for key in present {
            self.adapters.entry(key).or_insert(now);
        }
    }

    /// Applies the response to an order; none where none came in time. Returns whether the engine has accepted it.
    pub(super) fn apply_order_response(
        &mut self,
        now: time::Instant,
        order: &dialect::Order,
        response: Option<dialect::OrderResponse>,
    ) -> bool {
        let sent = |it: &PendingOrder| it.task == order.task && it.state == OrderState::Sent;
        let Some(at) = self.pending.iter().position(sent) else {
            return false;
        };
        let load_time = self.pending[at].load_time;
        match response {
            Some(dialect::OrderResponse::Accepted) => {
                self.accepted = Some(order.accepted_before + 1);
                self.pending[at].state = OrderState::Accepted(now + load_time);
                self.pending[at].begun = Some(now);
                if let dialect::Task::LoadAdapter(model, adapter) = &order.task {
                    let key = (model.clone(), adapter.clone());
                    self.adapters.insert(key, now + ADAPTER_ARRIVAL);
                    self.pending.remove(at);
                }
                true
            }
            Some(dialect::OrderResponse::Done) => {
                // The response doesn't say whether this order was counted, and the next one may be urgent, so the
                // report is requested at once.
                self.accepted = None;
                self.report_requested_at = None;
                self.pending[at].state = OrderState::Accepted(now);
                self.complete_adapter_order(now, at, &order.task);
                true
            }
            None => {
                self.accepted = None;
                self.pending[at].state = OrderState::Unconfirmed(now + UNCONFIRMED_TIMEOUT);
                self.report_requested_at = None;
                self.orders_paused_until = now;
                false
            }
            Some(
                dialect::OrderResponse::Conflict
                | dialect::OrderResponse::Fenced
                | dialect::OrderResponse::OtherInstance
                | dialect::OrderResponse::Refused(_),
            ) => {
                self.accepted = None;
                self.pending.remove(at);
                self.orders_paused_until = now + REPORT_INTERVAL;
                false
            }
        }
    }

    /// Until when any order that was sent to it may still be executed, if there is one.
    pub(super) fn unsettled_until(&self, now: time::Instant) -> Option<time::Instant> {
        let until = self.pending.iter().filter_map(|it| match it.state {
            OrderState::Sent => Some(now + UNCONFIRMED_TIMEOUT),
            OrderState::Unconfirmed(until) | OrderState::Resendable(until) => Some(until),
            // The ended instance has accepted this one, so no later instance executes it.
            OrderState::Accepted(_) => None,
        });
        until
            .chain([self.unsettled_until])
            .max()
            .filter(|until| now < *until)
    }

    /// An order to send again, if there is one, with its `accepted_before`.
    pub(super) fn resend(&mut self, now: time::Instant) -> Option<(dialect::Task, u64)> {
        if now < self.calls_paused_until {
            return None;
        }
        let is_resendable = |it: &&mut PendingOrder| matches!(it.state, OrderState::Resendable(_));
        let order = self.pending.iter_mut().find(is_resendable)?;
        order.state = OrderState::Sent;
        Some((order.task.clone(), order.accepted_before))
    }

    /// Removes an adapter order that was executed at once, and applies its effect.
    fn complete_adapter_order(&mut self, now: time::Instant, at: usize, task: &dialect::Task) {
        match task {
            dialect::Task::LoadAdapter(model, adapter) => {
                self.adapters.insert((model.clone(), adapter.clone()), now);
            }
            dialect::Task::UnloadAdapter(model, adapter) => {
                self.adapters.remove(&(model.clone(), adapter.clone()));
            }
            dialect::Task::Load(_) | dialect::Task::Unload(_) => return,
        }
        self.pending.remove(at);
    }

    /// Records an order that is about to be sent. Returns its `accepted_before`, or none where the engine can't
    /// take the order now.
    pub(super) fn begin_order(
        &mut self,
        now: time::Instant,
        task: &dialect::Task,
        from_store: bool,
        load_time: time::Millis,
    ) -> Option<u64> {
        let can_accept = if task.is_weights() {
            self.accepts_weight_orders(now)
        } else {
            self.accepts_adapter_orders(now)
        };
        let accepted_before = self.accepted.filter(|_| can_accept)?;
        self.pending.push(PendingOrder {
            task: task.clone(),
            state: OrderState::Sent,
            from_store,
            load_time,
            accepted_before,
            begun: None,
        });
        Some(accepted_before)
    }

    /// Whether it can take an order about weights now, of which it executes one at a time.
    pub(super) fn accepts_weight_orders(&self, now: time::Instant) -> bool {
        let is_busy = self.pending.iter().any(|it| it.task.is_weights());
        self.accepts_orders(now) && !is_busy
    }

    /// Whether it can take an order about adapters now.
    pub(super) fn accepts_adapter_orders(&self, now: time::Instant) -> bool {
        let in_transit = self.adapters.values().filter(|at| now < **at).count();
        self.accepts_orders(now) && in_transit < MAX_ADAPTERS_IN_TRANSIT
    }

    fn accepts_orders(&self, now: time::Instant) -> bool {
        let unsettled = |it: &PendingOrder| {
            let unloads_adapter = matches!(it.task, dialect::Task::UnloadAdapter(..));
            unloads_adapter || !matches!(it.state, OrderState::Accepted(_))
        };
        let has_unsettled = self.pending.iter().any(unsettled);
        let is_paused = now < self.orders_paused_until.max(self.calls_paused_until)
            || now < self.unsettled_until;
        self.accepted.is_some() && !has_unsettled && !is_paused
    }

    /// Upper bound of the megabytes of weights and adapters that it holds, counting all adapter slots as used.
    pub(super) fn max_weights_mb(
        &self,
        instance: &directory::Instance,
        settings: &config::EnginePool,
    ) -> f64 {
        let size = |name: &str| settings.models.iter().find(|it| it.name == name);
        let mb = |name: &str| size(name).map_or(0.0, |it| it.weights_mb);
        let adapter_mb = settings
            .models
            .iter()
            .map(|it| it.adapter_mb)
            .fold(0.0, f64::max);
        // A model that is being unloaded takes memory until its requests are done, and the announcement may be
        // older than the latest report.
        let ordered = self.pending.iter().filter(|it| it.task.is_weights());
        let ordered = ordered.map(|it| it.task.model());
        let reported = self.reported_models.iter().map(String::as_str);
        let shown = instance.models.iter().map(|it| it.model.as_str());
        let may_hold: collections::BTreeSet<&str> = shown.chain(reported).chain(ordered).collect();
        let held: f64 = may_hold.into_iter().map(mb).sum();
        let adapters = f64::from(settings.adapter_slots) * adapter_mb;
        held + adapters
    }

    /// Upper bound of the number of adapters that it holds.
    pub(super) fn max_adapters(&self, instance: &directory::Instance) -> usize {
        let mut may_hold: collections::BTreeSet<(&str, &str)> = collections::BTreeSet::new();
        for resident in &instance.models {
            let adapters = resident.adapters.iter();
            may_hold.extend(adapters.map(|it| (resident.model.as_str(), it.as_str())));
        }
        let ordered_adapters = self.adapters.keys();
        may_hold
            .extend(ordered_adapters.map(|(model, adapter)| (model.as_str(), adapter.as_str())));
        for order in &self.pending {
            if let dialect::Task::LoadAdapter(model, adapter) = &order.task {
                may_hold.insert((model, adapter));
            }
        }
        may_hold.len()
    }

    /// Whether it holds the adapter or was ordered to load it, and was not ordered to unload it since.
    pub(super) fn holds_or_loads_adapter(&self, model: &str, adapter: &str) -> bool {
        let is_load = |it: &PendingOrder| matches!(&it.task, dialect::Task::LoadAdapter(m, a) if m == model && a == adapter);
        let key = (model.to_owned(), adapter.to_owned());
        self.pending.iter().any(is_load) || self.adapters.contains_key(&key)
    }

    /// Whether it was ordered to unload the model.
    pub(super) fn unloads(&self, model: &str) -> bool {
        let is_unload =
            |it: &PendingOrder| matches!(&it.task, dialect::Task::Unload(m) if m == model);
        self.pending.iter().any(is_unload)
    }

    /// The model whose weights it was ordered to load, if any.
    pub(super) fn loading_model(&self) -> Option<&str> {
        self.pending.iter().find_map(|it| match &it.task {
            dialect::Task::Load(model) => Some(model.as_str()),
            _ => None,
        })
    }

    /// Takes out the loads from the store that have ended.
    pub(super) fn take_finished_loads(&mut self) -> Vec<store_limit::FinishedLoad> {
        std::mem::take(&mut self.finished_loads)
    }

    /// Number of its pending loads from the weight store.
    pub(super) fn store_loads(&self) -> usize {
        self.pending.iter().filter(|it| it.from_store).count()
    }
}
