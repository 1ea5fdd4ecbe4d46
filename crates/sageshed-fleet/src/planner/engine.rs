//! The account of one engine: the orders it was given, and what it may hold at its worst.

use std::collections;

use sageshed_types::time;

use crate::{config, dialect, directory};

/// How long an adapter takes to arrive after the engine took the order. The slowest take 19 ms.
const ADAPTER_ARRIVAL: time::Millis = time::Millis(25);

/// Adapters on their way to one engine at once.
const MAX_ADAPTERS_IN_TRANSIT: usize = 3;

/// How long an order without an answer may still be carried out. Some were after twelve seconds.
pub(super) const UNCONFIRMED_TIMEOUT: time::Millis = time::Millis(13_000);

/// Between two questions for a report.
const REPORT_INTERVAL: time::Millis = time::Millis(1_000);

/// How long a question for a report may be under way.
const REPORT_REQUEST_TIMEOUT: time::Millis = time::Millis(5_000);

/// Between two questions of an engine that gave no report, at the most.
const MAX_REPORT_INTERVAL: time::Millis = time::Millis(8_000);

/// Between two questions for a report while a model is dropped: nothing else tells when its memory is
/// free, and the load that waits for it is urgent.
const UNLOAD_REPORT_INTERVAL: time::Millis = time::Millis(400);

/// How old a report may be.
const MAX_REPORT_AGE: time::Millis = time::Millis(1_000);

/// How long after the time for a load an engine that does not show it is asked for a report.
const LOAD_GRACE: time::Millis = time::Millis(1_500);

/// Where an engine takes weights from.
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
    /// What a load from there weighs against others, in engines kept busy.
    pub(super) fn cost(self, model: &config::Model) -> f64 {
        let span = match self {
            Self::Memory => model.memory_load,
            Self::Disk => model.disk_load,
            Self::Store => model.store_load,
        };
        span.0 as f64 / 10_000.0
    }
}

/// Where `instance` would take the weights of `model` from.
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

/// What is known of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OrderState {
    /// It is on its way.
    Sent,
    /// The engine carries it out, and should be done by then.
    Accepted(time::Instant),
    /// No answer came; it may be carried out until then.
    Unconfirmed(time::Instant),
    /// No answer came, and it was not carried out when the engine last reported. The same order may be
    /// given again: of two that stand behind the same number only one is obeyed.
    Resendable(time::Instant),
}

#[derive(Debug, Clone)]
struct PendingOrder {
    task: dialect::Task,
    state: OrderState,
    from_store: bool,
    load_time: time::Millis,
    accepted_before: u64,
}

/// The account of one engine.
#[derive(Debug, Default)]
pub(super) struct Engine {
    /// Orders that it has accepted; none until it was asked.
    accepted: Option<u64>,
    pending: Vec<PendingOrder>,
    /// Adapters that it was told to load, with when they arrive. An engine announces itself now and
    /// then, and its word may be older than an order that it has carried out since.
    adapters: collections::BTreeMap<(String, String), time::Instant>,
    /// The models in its latest report.
    reported_models: Vec<String>,
    report_requested_at: Option<time::Instant>,
    /// Whether a question is under way.
    report_pending: bool,
    /// Questions in a row that brought no report.
    failed_reports: u32,
    /// It refused, or could not be reached: no order before.
    orders_paused_until: time::Instant,
    /// Until then it may carry out what the start before it was ordered.
    unsettled_until: time::Instant,
    /// It has named a limit or asked for rest: nothing is asked of it before.
    calls_paused_until: time::Instant,
}

impl Engine {
    /// The account of a start that may carry out orders to the start before it until then.
    pub(super) fn after_restart(until: time::Instant) -> Self {
        Self {
            unsettled_until: until,
            ..Self::default()
        }
    }

    /// Closes the orders whose outcome the engine's own word shows.
    pub(super) fn apply_announcement(
        &mut self,
        now: time::Instant,
        instance: &directory::Instance,
    ) {
        // Of accepted orders a load shows in the engine's word. The rest shows only in a report, since
        // the directory is amended when such an order is taken.
        self.pending
            .retain(|order| match (&order.task, order.state) {
                (_, OrderState::Unconfirmed(until) | OrderState::Resendable(until)) => now < until,
                (dialect::Task::Load(model), OrderState::Accepted(_)) => {
                    instance.resident(model).is_none()
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

    /// The adapters that it has by now and that its own word does not show.
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

    /// The models that it has been told to drop and that its own word shows again.
    ///
    /// An unload waits for the requests that run, for seconds, and the engine announces the model until
    /// then. Shown to entry processes, it goes on to be sent requests for the model and rejects each, which uses up
    /// the repeats that failed requests need.
    pub(super) fn unloading_but_announced(
        &self,
        instance: &directory::Instance,
    ) -> Vec<dialect::Task> {
        let dropped = self.pending.iter().filter(|it| {
            let is_dropped = matches!(it.task, dialect::Task::Unload(_));
            let is_taken = matches!(it.state, OrderState::Accepted(_));
            is_dropped && is_taken && instance.resident(it.task.model()).is_some()
        });
        dropped.map(|it| it.task.clone()).collect()
    }

    fn unloads_adapter(&self, model: &str, adapter: &str) -> bool {
        self.pending.iter().any(|it| {
            matches!(&it.task, dialect::Task::UnloadAdapter(m, a) if m == model && a == adapter)
        })
    }

    /// Whether its count of orders is not known, or an order should have shown by now.
    pub(super) fn needs_report(&self, now: time::Instant) -> bool {
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
        let interval =
            time::Millis(interval.0 << self.failed_reports.min(4)).min(MAX_REPORT_INTERVAL);
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

    /// Nothing is asked of it for `span`.
    pub(super) fn pause_calls(&mut self, now: time::Instant, span: time::Millis) {
        self.calls_paused_until = self.calls_paused_until.max(now + span);
    }

    pub(super) fn report_requested(&mut self, now: time::Instant) {
        self.report_requested_at = Some(now);
        self.report_pending = true;
    }

    /// Whether a question for its report is under way.
    pub(super) fn awaits_report(&self, now: time::Instant) -> bool {
        let recently = self
            .report_requested_at
            .is_some_and(|at| now.since(at) < REPORT_REQUEST_TIMEOUT);
        self.report_pending && recently
    }

    /// Whether it has orders whose outcome is not known.
    pub(super) fn has_pending_orders(&self) -> bool {
        !self.pending.is_empty()
    }

    pub(super) fn apply_report(&mut self, now: time::Instant, report: Option<dialect::Report>) {
        self.report_pending = false;
        let Some(report) = report else {
            self.failed_reports += 1;
            return;
        };
        self.failed_reports = 0;
        self.reported_models = report.models.iter().map(|it| it.model.clone()).collect();
        // What it is doing was ordered by an earlier leader, and shows only once it is done.
        let is_foreign = report.is_busy && !self.pending.iter().any(|it| it.task.is_weights());
        self.accepted = (!is_foreign).then_some(report.accepted);
        for order in &mut self.pending {
            let is_carried_out = report.accepted > order.accepted_before;
            order.state = match order.state {
                OrderState::Unconfirmed(_) | OrderState::Resendable(_) if is_carried_out => {
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
        self.pending
            .retain(|order| match (&order.task, order.state) {
                (dialect::Task::Load(model), OrderState::Accepted(by)) => {
                    let holds = report.models.iter().any(|it| it.model == *model);
                    // Not busy, not there and past its time: it has failed.
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
                    let is_there = has(model, adapter);
                    if !is_there {
                        adapters.remove(&(model.clone(), adapter.clone()));
                    }
                    is_there
                }
                _ => true,
            });
    }

    /// Corrects the account of adapters by a report, which may be some hundred milliseconds old. A new
    /// leader learns by it what the one before had loaded.
    fn reconcile_adapters(&mut self, now: time::Instant, report: &dialect::Report) {
        let held = report.models.iter().flat_map(|it| {
            let adapters = it.adapters.iter();
            adapters.map(|adapter| (it.model.clone(), adapter.clone()))
        });
        let there: collections::BTreeSet<(String, String)> = held
            .chain(report.adapters_pending.iter().cloned())
            .collect();
        self.adapters.retain(|key, arrives| {
            there.contains(key) || now.since(*arrives) < MAX_REPORT_AGE || now < *arrives
        });
        for key in there {
            self.adapters.entry(key).or_insert(now);
        }
    }

    /// Takes the answer to an order. Returns whether the engine has taken it.
    pub(super) fn apply_order_response(
        &mut self,
        now: time::Instant,
        order: &dialect::Order,
        answer: Option<dialect::OrderAnswer>,
    ) -> bool {
        let sent = |it: &PendingOrder| it.task == order.task && it.state == OrderState::Sent;
        let Some(at) = self.pending.iter().position(sent) else {
            return false;
        };
        let load_time = self.pending[at].load_time;
        match answer {
            Some(dialect::OrderAnswer::Accepted) => {
                self.accepted = Some(order.accepted_before + 1);
                self.pending[at].state = OrderState::Accepted(now + load_time);
                if let dialect::Task::LoadAdapter(model, adapter) = &order.task {
                    let key = (model.clone(), adapter.clone());
                    self.adapters.insert(key, now + ADAPTER_ARRIVAL);
                    self.pending.remove(at);
                }
                true
            }
            Some(dialect::OrderAnswer::Done) => {
                // Whether it has counted this one is not said, and the next order may be urgent.
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
                dialect::OrderAnswer::Conflict
                | dialect::OrderAnswer::Fenced
                | dialect::OrderAnswer::OtherInstance
                | dialect::OrderAnswer::Refused(_),
            ) => {
                self.accepted = None;
                self.pending.remove(at);
                self.orders_paused_until = now + REPORT_INTERVAL;
                false
            }
        }
    }

    /// Until when an order that it was given may still be carried out, if there is such a one.
    pub(super) fn unsettled_until(&self, now: time::Instant) -> Option<time::Instant> {
        let until = self.pending.iter().filter_map(|it| match it.state {
            OrderState::Sent => Some(now + UNCONFIRMED_TIMEOUT),
            OrderState::Unconfirmed(until) | OrderState::Resendable(until) => Some(until),
            // It was at work on it when it ended.
            OrderState::Accepted(_) => None,
        });
        until
            .chain([self.unsettled_until])
            .max()
            .filter(|until| now < *until)
    }

    /// An order that is to be given again, if there is one, with the number that it stands behind.
    pub(super) fn resend(&mut self, now: time::Instant) -> Option<(dialect::Task, u64)> {
        if now < self.calls_paused_until {
            return None;
        }
        let is_resendable = |it: &&mut PendingOrder| matches!(it.state, OrderState::Resendable(_));
        let order = self.pending.iter_mut().find(is_resendable)?;
        order.state = OrderState::Sent;
        Some((order.task.clone(), order.accepted_before))
    }

    /// Notes what an order about an adapter did at once.
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

    /// Notes an order that goes out. Returns the number of orders accepted before, or none where the
    /// engine can take no order now.
    pub(super) fn begin_order(
        &mut self,
        now: time::Instant,
        task: &dialect::Task,
        from_store: bool,
        load_time: time::Millis,
    ) -> Option<u64> {
        let is_accepted = if task.is_weights() {
            self.accepts_weight_orders(now)
        } else {
            self.accepts_adapter_orders(now)
        };
        let accepted_before = self.accepted.filter(|_| is_accepted)?;
        self.pending.push(PendingOrder {
            task: task.clone(),
            state: OrderState::Sent,
            from_store,
            load_time,
            accepted_before,
        });
        Some(accepted_before)
    }

    /// Whether it can take an order about weights now.
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

    /// Megabytes that it may hold.
    pub(super) fn max_weights_mb(
        &self,
        instance: &directory::Instance,
        offer: &config::EnginePool,
    ) -> f64 {
        let size = |name: &str| offer.models.iter().find(|it| it.name == name);
        let mb = |name: &str| size(name).map_or(0.0, |it| it.weights_mb);
        let adapter_mb = offer
            .models
            .iter()
            .map(|it| it.adapter_mb)
            .fold(0.0, f64::max);
        // One that is told to drop a model holds it until its requests are done, and its own word may
        // be older than its report.
        let ordered = self.pending.iter().filter(|it| it.task.is_weights());
        let ordered = ordered.map(|it| it.task.model());
        let reported = self.reported_models.iter().map(String::as_str);
        let shown = instance.models.iter().map(|it| it.model.as_str());
        let may_hold: collections::BTreeSet<&str> = shown.chain(reported).chain(ordered).collect();
        let held: f64 = may_hold.into_iter().map(mb).sum();
        let adapters = f64::from(offer.adapter_slots) * adapter_mb;
        held + adapters
    }

    /// Adapters that it may hold.
    pub(super) fn max_adapters(&self, instance: &directory::Instance) -> usize {
        let mut may_hold: collections::BTreeSet<(&str, &str)> = collections::BTreeSet::new();
        for resident in &instance.models {
            let adapters = resident.adapters.iter();
            may_hold.extend(adapters.map(|it| (resident.model.as_str(), it.as_str())));
        }
        let told = self.adapters.keys();
        may_hold.extend(told.map(|(model, adapter)| (model.as_str(), adapter.as_str())));
        for order in &self.pending {
            if let dialect::Task::LoadAdapter(model, adapter) = &order.task {
                may_hold.insert((model, adapter));
            }
        }
        may_hold.len()
    }

    /// Whether it was told to load the adapter, and not to drop it since.
    pub(super) fn holds_or_loads_adapter(&self, model: &str, adapter: &str) -> bool {
        let is_load = |it: &PendingOrder| matches!(&it.task, dialect::Task::LoadAdapter(m, a) if m == model && a == adapter);
        let key = (model.to_owned(), adapter.to_owned());
        self.pending.iter().any(is_load) || self.adapters.contains_key(&key)
    }

    pub(super) fn unloads(&self, model: &str) -> bool {
        let is_drop =
            |it: &PendingOrder| matches!(&it.task, dialect::Task::Unload(m) if m == model);
        self.pending.iter().any(is_drop)
    }

    /// The model whose weights it is told to load, if any.
    pub(super) fn loading_model(&self) -> Option<&str> {
        self.pending.iter().find_map(|it| match &it.task {
            dialect::Task::Load(model) => Some(model.as_str()),
            _ => None,
        })
    }

    /// Loads from the store under way here.
    pub(super) fn store_loads(&self) -> usize {
        self.pending.iter().filter(|it| it.from_store).count()
    }
}
