//! The account of one engine: the orders it was given, and what it may hold at its worst.

use std::collections;

use sageshed_types::time;

use crate::{config, dialect, directory};

/// How long an adapter takes to arrive after the engine took the order. The slowest take 19 ms.
const ADAPTER_ARRIVAL: time::Millis = time::Millis(25);

/// Adapters on their way to one engine at once.
const ADAPTERS_IN_TRANSIT: usize = 3;

/// How long an order without an answer may still be carried out. Some were after twelve seconds.
pub(super) const UNKNOWN_FATE: time::Millis = time::Millis(13_000);

/// Between two questions for a report.
const REPORT_INTERVAL: time::Millis = time::Millis(1_000);

/// How long a question for a report may be under way.
const QUESTION_LIMIT: time::Millis = time::Millis(5_000);

/// Between two questions of an engine that gave no report, at the most.
const SILENT_INTERVAL: time::Millis = time::Millis(8_000);

/// Between two questions for a report while a model is dropped: nothing else tells when its memory is
/// free, and the load that waits for it is urgent.
const UNLOAD_INTERVAL: time::Millis = time::Millis(400);

/// How old a report may be.
const REPORT_AGE: time::Millis = time::Millis(1_000);

/// How long after the time for a load an engine that does not show it is asked for a report.
const LOAD_PATIENCE: time::Millis = time::Millis(1_500);

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
enum Fate {
    /// It is on its way.
    Sent,
    /// The engine carries it out, and should be done by then.
    Accepted(time::Instant),
    /// No answer came; it may be carried out until then.
    Unknown(time::Instant),
    /// No answer came, and it was not carried out when the engine last reported. The same order may be
    /// given again: of two that stand behind the same number only one is obeyed.
    Open(time::Instant),
}

#[derive(Debug, Clone)]
struct Open {
    task: dialect::Task,
    fate: Fate,
    from_store: bool,
    load_time: time::Millis,
    accepted_before: u64,
}

/// The account of one engine.
#[derive(Debug, Default)]
pub(super) struct Engine {
    /// Orders that it has accepted; none until it was asked.
    accepted: Option<u64>,
    open: Vec<Open>,
    /// Adapters that it was told to load, with when they arrive. An engine announces itself now and
    /// then, and its word may be older than an order that it has carried out since.
    adapters: collections::BTreeMap<(String, String), time::Instant>,
    /// The models in its latest report.
    reported: Vec<String>,
    asked_at: Option<time::Instant>,
    /// Whether a question is under way.
    is_asked: bool,
    /// Questions in a row that brought no report.
    unanswered: u32,
    /// It refused, or could not be reached: no order before.
    rest_until: time::Instant,
    /// Until then it may carry out what the start before it was ordered.
    unsettled_until: time::Instant,
    /// It has named a limit or asked for rest: nothing is asked of it before.
    spared_until: time::Instant,
}

impl Engine {
    /// The account of a start that may carry out orders to the start before it until then.
    pub(super) fn following(until: time::Instant) -> Self {
        Self {
            unsettled_until: until,
            ..Self::default()
        }
    }

    /// Closes the orders whose outcome the engine's own word shows.
    pub(super) fn see(&mut self, now: time::Instant, instance: &directory::Instance) {
        // Of accepted orders a load shows in the engine's word. The rest shows only in a report, since
        // the directory is amended when such an order is taken.
        self.open.retain(|open| match (&open.task, open.fate) {
            (_, Fate::Unknown(until) | Fate::Open(until)) => now < until,
            (dialect::Task::Load(model), Fate::Accepted(_)) => instance.resident(model).is_none(),
            (_, Fate::Sent | Fate::Accepted(_)) => true,
        });
        let open = &self.open;
        self.adapters.retain(|(model, _), _| {
            let drops = |it: &Open| matches!(&it.task, dialect::Task::Unload(m) if m == model);
            instance.resident(model).is_some() || open.iter().any(drops)
        });
    }

    /// The adapters that it has by now and that its own word does not show.
    pub(super) fn unshown(
        &self,
        now: time::Instant,
        instance: &directory::Instance,
    ) -> Vec<dialect::Task> {
        let mut tasks = Vec::new();
        for ((model, adapter), arrives) in &self.adapters {
            let is_shown = instance.holds(model, Some(adapter));
            let drops = self.drops(model) || self.drops_adapter(model, adapter);
            if now >= *arrives && !is_shown && !drops && instance.resident(model).is_some() {
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
    pub(super) fn dropped_but_shown(&self, instance: &directory::Instance) -> Vec<dialect::Task> {
        let dropped = self.open.iter().filter(|it| {
            let is_dropped = matches!(it.task, dialect::Task::Unload(_));
            let is_taken = matches!(it.fate, Fate::Accepted(_));
            is_dropped && is_taken && instance.resident(it.task.model()).is_some()
        });
        dropped.map(|it| it.task.clone()).collect()
    }

    fn drops_adapter(&self, model: &str, adapter: &str) -> bool {
        self.open.iter().any(|it| {
            matches!(&it.task, dialect::Task::UnloadAdapter(m, a) if m == model && a == adapter)
        })
    }

    /// Whether its count of orders is not known, or an order should have shown by now.
    pub(super) fn needs_report(&self, now: time::Instant) -> bool {
        let drops = |it: &Open| {
            matches!(
                it.task,
                dialect::Task::Unload(_) | dialect::Task::UnloadAdapter(..)
            )
        };
        let interval = if self.open.iter().any(drops) {
            UNLOAD_INTERVAL
        } else {
            REPORT_INTERVAL
        };
        let interval = time::Millis(interval.0 << self.unanswered.min(4)).min(SILENT_INTERVAL);
        let lately = self.asked_at.is_some_and(|at| now.since(at) < interval);
        let overdue = |it: &Open| match (it.fate, &it.task) {
            (Fate::Accepted(by), dialect::Task::Load(_)) => now >= by + LOAD_PATIENCE,
            (Fate::Accepted(_), dialect::Task::Unload(_) | dialect::Task::UnloadAdapter(..))
            | (Fate::Unknown(_) | Fate::Open(_), _) => true,
            _ => false,
        };
        let is_sending = self.open.iter().any(|it| it.fate == Fate::Sent);
        if now < self.spared_until {
            return false;
        }
        !lately && !is_sending && (self.accepted.is_none() || self.open.iter().any(overdue))
    }

    /// Nothing is asked of it for `span`.
    pub(super) fn spare(&mut self, now: time::Instant, span: time::Millis) {
        self.spared_until = self.spared_until.max(now + span);
    }

    pub(super) fn asked(&mut self, now: time::Instant) {
        self.asked_at = Some(now);
        self.is_asked = true;
    }

    /// Whether a question for its report is under way.
    pub(super) fn is_asked(&self, now: time::Instant) -> bool {
        let lately = self
            .asked_at
            .is_some_and(|at| now.since(at) < QUESTION_LIMIT);
        self.is_asked && lately
    }

    /// Whether it has orders whose outcome is not known.
    pub(super) fn is_at_work(&self) -> bool {
        !self.open.is_empty()
    }

    pub(super) fn reported(&mut self, now: time::Instant, report: Option<dialect::Report>) {
        self.is_asked = false;
        let Some(report) = report else {
            self.unanswered += 1;
            return;
        };
        self.unanswered = 0;
        self.reported = report.models.iter().map(|it| it.model.clone()).collect();
        // What it is doing was ordered by an earlier leader, and shows only once it is done.
        let is_foreign = report.is_busy && !self.open.iter().any(|it| it.task.is_weights());
        self.accepted = (!is_foreign).then_some(report.accepted);
        for open in &mut self.open {
            let is_carried_out = report.accepted > open.accepted_before;
            open.fate = match open.fate {
                Fate::Unknown(_) | Fate::Open(_) if is_carried_out => {
                    Fate::Accepted(now + open.load_time)
                }
                Fate::Unknown(until) => Fate::Open(until),
                fate => fate,
            };
        }
        self.see_adapters(now, &report);
        let has = |model: &str, adapter: &str| {
            let mut held = report.models.iter().filter(|it| it.model == model);
            let pending = report.adapters_pending.iter();
            held.any(|it| it.adapters.iter().any(|a| a == adapter))
                || pending.into_iter().any(|(m, a)| m == model && a == adapter)
        };
        let adapters = &mut self.adapters;
        self.open.retain(|open| match (&open.task, open.fate) {
            (dialect::Task::Load(model), Fate::Accepted(by)) => {
                let holds = report.models.iter().any(|it| it.model == *model);
                // Not busy, not there and past its time: it has failed.
                let failed = !report.is_busy && now >= by + LOAD_PATIENCE;
                !holds && !failed
            }
            (dialect::Task::Unload(model), Fate::Accepted(_)) => {
                report.is_busy || report.models.iter().any(|it| it.model == *model)
            }
            (dialect::Task::LoadAdapter(model, adapter), Fate::Accepted(_)) => {
                if has(model, adapter) {
                    adapters.insert((model.clone(), adapter.clone()), now);
                }
                false
            }
            (dialect::Task::UnloadAdapter(model, adapter), Fate::Accepted(_)) => {
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
    fn see_adapters(&mut self, now: time::Instant, report: &dialect::Report) {
        let held = report.models.iter().flat_map(|it| {
            let adapters = it.adapters.iter();
            adapters.map(|adapter| (it.model.clone(), adapter.clone()))
        });
        let there: collections::BTreeSet<(String, String)> = held
            .chain(report.adapters_pending.iter().cloned())
            .collect();
        self.adapters.retain(|key, arrives| {
            there.contains(key) || now.since(*arrives) < REPORT_AGE || now < *arrives
        });
        for key in there {
            self.adapters.entry(key).or_insert(now);
        }
    }

    /// Takes the answer to an order. Returns whether the engine has taken it.
    pub(super) fn answered(
        &mut self,
        now: time::Instant,
        order: &dialect::Order,
        answer: Option<dialect::OrderAnswer>,
    ) -> bool {
        let sent = |it: &Open| it.task == order.task && it.fate == Fate::Sent;
        let Some(at) = self.open.iter().position(sent) else {
            return false;
        };
        let load_time = self.open[at].load_time;
        match answer {
            Some(dialect::OrderAnswer::Accepted) => {
                self.accepted = Some(order.accepted_before + 1);
                self.open[at].fate = Fate::Accepted(now + load_time);
                if let dialect::Task::LoadAdapter(model, adapter) = &order.task {
                    let key = (model.clone(), adapter.clone());
                    self.adapters.insert(key, now + ADAPTER_ARRIVAL);
                    self.open.remove(at);
                }
                true
            }
            Some(dialect::OrderAnswer::Done) => {
                // Whether it has counted this one is not said, and the next order may be urgent.
                self.accepted = None;
                self.asked_at = None;
                self.open[at].fate = Fate::Accepted(now);
                self.done(now, at, &order.task);
                true
            }
            None => {
                self.accepted = None;
                self.open[at].fate = Fate::Unknown(now + UNKNOWN_FATE);
                self.asked_at = None;
                self.rest_until = now;
                false
            }
            Some(
                dialect::OrderAnswer::Conflict
                | dialect::OrderAnswer::Fenced
                | dialect::OrderAnswer::OtherInstance
                | dialect::OrderAnswer::Refused(_),
            ) => {
                self.accepted = None;
                self.open.remove(at);
                self.rest_until = now + REPORT_INTERVAL;
                false
            }
        }
    }

    /// Until when an order that it was given may still be carried out, if there is such a one.
    pub(super) fn unsettled_until(&self, now: time::Instant) -> Option<time::Instant> {
        let until = self.open.iter().filter_map(|it| match it.fate {
            Fate::Sent => Some(now + UNKNOWN_FATE),
            Fate::Unknown(until) | Fate::Open(until) => Some(until),
            // It was at work on it when it ended.
            Fate::Accepted(_) => None,
        });
        until
            .chain([self.unsettled_until])
            .max()
            .filter(|until| now < *until)
    }

    /// An order that is to be given again, if there is one, with the number that it stands behind.
    pub(super) fn give_again(&mut self, now: time::Instant) -> Option<(dialect::Task, u64)> {
        if now < self.spared_until {
            return None;
        }
        let is_open = |it: &&mut Open| matches!(it.fate, Fate::Open(_));
        let open = self.open.iter_mut().find(is_open)?;
        open.fate = Fate::Sent;
        Some((open.task.clone(), open.accepted_before))
    }

    /// Notes what an order about an adapter did at once.
    fn done(&mut self, now: time::Instant, at: usize, task: &dialect::Task) {
        match task {
            dialect::Task::LoadAdapter(model, adapter) => {
                self.adapters.insert((model.clone(), adapter.clone()), now);
            }
            dialect::Task::UnloadAdapter(model, adapter) => {
                self.adapters.remove(&(model.clone(), adapter.clone()));
            }
            dialect::Task::Load(_) | dialect::Task::Unload(_) => return,
        }
        self.open.remove(at);
    }

    /// Notes an order that goes out. Returns the number of orders accepted before, or none where the
    /// engine can take no order now.
    pub(super) fn begin(
        &mut self,
        now: time::Instant,
        task: &dialect::Task,
        from_store: bool,
        load_time: time::Millis,
    ) -> Option<u64> {
        let takes = if task.is_weights() {
            self.takes_weights(now)
        } else {
            self.takes_adapters(now)
        };
        let accepted_before = self.accepted.filter(|_| takes)?;
        self.open.push(Open {
            task: task.clone(),
            fate: Fate::Sent,
            from_store,
            load_time,
            accepted_before,
        });
        Some(accepted_before)
    }

    /// Whether it can take an order about weights now.
    pub(super) fn takes_weights(&self, now: time::Instant) -> bool {
        let is_busy = self.open.iter().any(|it| it.task.is_weights());
        self.takes_any(now) && !is_busy
    }

    /// Whether it can take an order about adapters now.
    pub(super) fn takes_adapters(&self, now: time::Instant) -> bool {
        let in_transit = self.adapters.values().filter(|at| now < **at).count();
        self.takes_any(now) && in_transit < ADAPTERS_IN_TRANSIT
    }

    fn takes_any(&self, now: time::Instant) -> bool {
        let unsettled = |it: &Open| {
            let drops_adapter = matches!(it.task, dialect::Task::UnloadAdapter(..));
            drops_adapter || !matches!(it.fate, Fate::Accepted(_))
        };
        let is_open = self.open.iter().any(unsettled);
        let rests = now < self.rest_until.max(self.spared_until) || now < self.unsettled_until;
        self.accepted.is_some() && !is_open && !rests
    }

    /// Megabytes that it may hold.
    pub(super) fn weights_at_worst(
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
        let ordered = self.open.iter().filter(|it| it.task.is_weights());
        let ordered = ordered.map(|it| it.task.model());
        let reported = self.reported.iter().map(String::as_str);
        let shown = instance.models.iter().map(|it| it.model.as_str());
        let may_hold: collections::BTreeSet<&str> = shown.chain(reported).chain(ordered).collect();
        let held: f64 = may_hold.into_iter().map(mb).sum();
        let adapters = f64::from(offer.adapter_slots) * adapter_mb;
        held + adapters
    }

    /// Adapters that it may hold.
    pub(super) fn adapters_at_worst(&self, instance: &directory::Instance) -> usize {
        let mut may_hold: collections::BTreeSet<(&str, &str)> = collections::BTreeSet::new();
        for resident in &instance.models {
            let adapters = resident.adapters.iter();
            may_hold.extend(adapters.map(|it| (resident.model.as_str(), it.as_str())));
        }
        let told = self.adapters.keys();
        may_hold.extend(told.map(|(model, adapter)| (model.as_str(), adapter.as_str())));
        for open in &self.open {
            if let dialect::Task::LoadAdapter(model, adapter) = &open.task {
                may_hold.insert((model, adapter));
            }
        }
        may_hold.len()
    }

    /// Whether it was told to load the adapter, and not to drop it since.
    pub(super) fn awaits(&self, model: &str, adapter: &str) -> bool {
        let is_load = |it: &Open| matches!(&it.task, dialect::Task::LoadAdapter(m, a) if m == model && a == adapter);
        let key = (model.to_owned(), adapter.to_owned());
        self.open.iter().any(is_load) || self.adapters.contains_key(&key)
    }

    pub(super) fn drops(&self, model: &str) -> bool {
        let is_drop = |it: &Open| matches!(&it.task, dialect::Task::Unload(m) if m == model);
        self.open.iter().any(is_drop)
    }

    /// The model whose weights it is told to load, if any.
    pub(super) fn loads(&self) -> Option<&str> {
        self.open.iter().find_map(|it| match &it.task {
            dialect::Task::Load(model) => Some(model.as_str()),
            _ => None,
        })
    }

    /// Loads from the store under way here.
    pub(super) fn store_loads(&self) -> usize {
        self.open.iter().filter(|it| it.from_store).count()
    }
}
