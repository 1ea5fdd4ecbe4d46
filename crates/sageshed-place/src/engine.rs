//! The state of one engine in the ledger: its newest report and its open orders.
//!
//! # When an order is settled
//!
//! An order is settled when its outcome is known. Only reports of the engine can show this: the
//! result of the order in a report of the right incarnation, a newer incarnation, or, if the engine
//! checks fencing tokens, a later order that it has accepted (it will then refuse any older order that
//! it has not seen). No timeout settles an order, since a delayed message may arrive and be executed
//! at any later time.
//!
//! # Why a settled order stays in the table for a while
//!
//! A leader settles a load by a report that the next leader may not have. If the order were removed
//! at once, the next leader might have an older report with free memory on the engine and no open
//! order, and load something else into memory that is in use. Therefore a settled order stays in the
//! replicated table until a report shows an order that was committed after it was settled. Thus the
//! table always contains the last order that reached each engine. A new leader issues nothing to an
//! engine until a report shows every order that it found in the table. An engine without an order in
//! the table has never been sent one, so any report of it can be relied on.

use sageshed_types::{
    arena::{EndpointKey, ModelKey, PoolKey, ZoneKey},
    endpoints, time,
};

use crate::orders::{self, Task};

/// Maximum number of open orders on an engine that checks fencing tokens.
const MAX_OPEN_ORDERS: usize = 4;

/// A report lists at least this many of the last orders. A shorter list contains all orders of the
/// incarnation.
const ORDERS_REPORTED: usize = 32;

/// A model or adapter that an engine holds, in any phase.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldModel {
    /// The model or adapter.
    pub model: ModelKey,
    /// The version of the weights.
    pub version: u32,
    /// Whether it is loading, ready or unloading.
    pub phase: endpoints::Phase,
    /// The memory that it uses, in MiB.
    pub memory_mib: u64,
}

/// An engine, as its reports and orders show it.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Its key.
    pub key: EndpointKey,
    /// Its name.
    pub name: String,
    /// The newest incarnation that a report or an order refers to.
    pub incarnation: endpoints::Incarnation,
    /// The sequence number of the newest report; `None` without a report of this incarnation.
    pub sequence: Option<u64>,
    /// The time that the figures of the newest report refer to.
    pub reported_at: time::Instant,
    /// Whether it has been reported as silent since its newest report.
    pub silent: bool,
    /// Whether it is draining and will stop.
    pub leaving: bool,
    /// The pool that it belongs to.
    pub pool: PoolKey,
    /// Its availability zone.
    pub zone: ZoneKey,
    /// Its memory, in MiB.
    pub total_mib: u64,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// The number of running requests in the newest report.
    pub running: u32,
    /// Whether it checks fencing tokens and refuses outdated ones.
    pub checks_fence: bool,
    /// The models that it holds according to the newest report.
    pub held: Vec<HeldModel>,
    /// Its orders in the replicated table.
    pub orders: Vec<orders::OpenOrder>,
    /// Tasks that this leader has proposed and that are not committed yet.
    pub proposed: Vec<Task>,
    /// When this leader last restored orders from the table.
    restored_at: time::Instant,
    event_count: u64,
}

/// The parts of a report that the ledger uses, with names replaced by keys.
#[derive(Debug)]
pub struct ReportedState {
    /// The time that the figures refer to.
    pub reported_at: time::Instant,
    /// The models that the engine holds.
    pub held: Vec<HeldModel>,
    /// The pool that it belongs to.
    pub pool: PoolKey,
    /// Its availability zone.
    pub zone: ZoneKey,
    /// Its memory, in MiB.
    pub total_mib: u64,
}

impl Engine {
    /// Creates an engine about which nothing is known yet.
    #[must_use]
    pub fn new(key: EndpointKey, name: &str) -> Self {
        Self {
            key,
            name: name.to_owned(),
            incarnation: endpoints::Incarnation::default(),
            sequence: None,
            reported_at: time::Instant::default(),
            silent: true,
            leaving: false,
            pool: PoolKey(0),
            zone: ZoneKey(0),
            total_mib: 0,
            slots: 0,
            running: 0,
            checks_fence: false,
            held: Vec::new(),
            orders: Vec::new(),
            proposed: Vec::new(),
            restored_at: time::Instant::default(),
            event_count: 0,
        }
    }

    /// Whether `report` is newer than the newest known one.
    #[must_use]
    pub fn is_newer(&self, report: &endpoints::Report) -> bool {
        let incarnation = report.identity.incarnation;
        incarnation > self.incarnation
            || incarnation == self.incarnation
                && self.sequence.is_none_or(|known| report.sequence > known)
    }

    /// Applies a report that [`Self::is_newer`]. Returns the orders to remove from the table.
    pub fn apply_report(
        &mut self,
        report: &endpoints::Report,
        state: ReportedState,
    ) -> Vec<endpoints::OrderId> {
        let removed = self.advance_incarnation(report.identity.incarnation);
        self.sequence = Some(report.sequence);
        self.reported_at = state.reported_at;
        self.silent = false;
        self.leaving = report.leaving;
        self.pool = state.pool;
        self.zone = state.zone;
        self.total_mib = state.total_mib;
        self.slots = report.identity.slots;
        self.running = report.running;
        self.checks_fence = report.identity.checks_fence;
        self.held = state.held;
        self.record_results(&report.orders);
        let mut removed = removed;
        removed.extend(self.remove_superseded(&report.orders));
        removed.extend(self.remove_settled());
        removed
    }

    /// Advances to a newer incarnation. Orders to earlier ones are removed, since the engine refuses them.
    fn advance_incarnation(
        &mut self,
        incarnation: endpoints::Incarnation,
    ) -> Vec<endpoints::OrderId> {
        if incarnation <= self.incarnation {
            return Vec::new();
        }
        self.incarnation = incarnation;
        self.sequence = None;
        self.held.clear();
        self.proposed.clear();
        self.remove_where(|open| open.order.incarnation < incarnation)
    }

    /// Records the result of each order that a report shows.
    fn record_results(&mut self, results: &[endpoints::OrderResult]) {
        self.event_count += 1;
        let event_count = self.event_count;
        for open in &mut self.orders {
            let shown = results.iter().filter(|r| r.order == open.order.order);
            for result in shown {
                open.seen = true;
                if result.outcome != endpoints::OrderOutcome::Running {
                    open.settled.get_or_insert(event_count);
                }
            }
        }
    }

    /// Removes orders that the engine will always refuse since it has accepted a later one: those that
    /// no report has shown, and those shown as refused.
    ///
    /// Orders sent concurrently may overtake each other. The engine refuses the older one each time
    /// it is sent. If it stayed in the table, it would be returned for every new proposal of the same
    /// task, and the model would never be loaded.
    ///
    /// Order ids increase together with fencing tokens, so ids are compared instead. An order that is
    /// missing from a full list may have been seen and have dropped out of it. This is ruled out only
    /// if the list still contains an accepted order that is older.
    fn remove_superseded(&mut self, results: &[endpoints::OrderResult]) -> Vec<endpoints::OrderId> {
        if !self.checks_fence {
            return Vec::new();
        }
        let (refused, accepted): (Vec<_>, Vec<_>) = results
            .iter()
            .partition(|r| matches!(r.outcome, endpoints::OrderOutcome::Refused { .. }));
        let accepted = accepted.into_iter().map(|r| r.order);
        let (Some(oldest), Some(newest)) = (accepted.clone().min(), accepted.max()) else {
            return Vec::new();
        };
        let complete = results.len() < ORDERS_REPORTED;
        self.remove_where(|open| {
            let id = open.order.order;
            let never_seen = !open.seen && (complete || oldest < id);
            id < newest && (never_seen || refused.iter().any(|r| r.order == id))
        })
    }

    /// Removes settled orders that are followed by a later order that the engine has seen.
    fn remove_settled(&mut self) -> Vec<endpoints::OrderId> {
        let newest = self
            .orders
            .iter()
            .filter(|open| open.seen)
            .map(|open| open.committed)
            .max()
            .unwrap_or(0);
        self.remove_where(|open| open.settled.is_some_and(|settled| settled < newest))
    }

    fn remove_where(
        &mut self,
        test: impl Fn(&orders::OpenOrder) -> bool,
    ) -> Vec<endpoints::OrderId> {
        let mut removed = Vec::new();
        self.orders.retain(|open| {
            let take = test(open);
            if take {
                removed.push(open.order.order);
            }
            !take
        });
        removed
    }

    /// Adds an order of the replicated table. Returns the orders to remove from the table.
    pub fn add(
        &mut self,
        now: time::Instant,
        order: endpoints::Order,
        task: Task,
        restored: bool,
    ) -> Vec<endpoints::OrderId> {
        if self.orders.iter().any(|o| o.order.order == order.order) {
            return Vec::new();
        }
        let removed = self.advance_incarnation(order.incarnation);
        if order.incarnation < self.incarnation {
            return vec![order.order];
        }
        self.event_count += 1;
        if restored {
            self.restored_at = now;
        }
        self.orders.push(orders::OpenOrder {
            order,
            task,
            seen: false,
            sends: 0,
            restored,
            cancelled: false,
            sent: now,
            committed: self.event_count,
            settled: None,
        });
        removed
    }

    /// Removes `task` from the proposals. Returns whether it was there.
    pub fn remove_proposal(&mut self, task: Task) -> bool {
        let position = self.proposed.iter().position(|t| *t == task);
        position.map(|at| self.proposed.remove(at)).is_some()
    }

    /// Cancels an order if it was never sent. Returns whether it was.
    ///
    /// The order still counts until [`Self::remove`]. If a leader assumed the removal to be done and
    /// issued another order instead, the next leader could find both in the table. An unload that was
    /// cancelled here and ordered on another engine would then happen twice, and the model would lose
    /// its last route.
    pub fn cancel_unsent(&mut self, id: endpoints::OrderId) -> bool {
        let mut orders = self.orders.iter_mut();
        let unsent = orders
            .find(|open| open.order.order == id && !open.restored && !open.seen && open.sends <= 1);
        let Some(open) = unsent else {
            return false;
        };
        open.cancelled = true;
        true
    }

    /// Cancelled orders that are still in the table.
    pub fn cancelled(&self) -> impl Iterator<Item = endpoints::OrderId> + '_ {
        let cancelled = self.orders.iter().filter(|open| open.cancelled);
        cancelled.map(|open| open.order.order)
    }

    /// Drops a cancelled order that is no longer in the table.
    pub fn remove(&mut self, id: endpoints::OrderId) {
        self.orders
            .retain(|open| open.order.order != id || !open.cancelled);
    }

    /// Whether the newest report is later than every order that this leader found in the table.
    ///
    /// A new leader may have a report that predates orders which its predecessor saw settled. A model
    /// that such a report shows as ready may have been unloaded since. If the leader relied on it, it
    /// could unload the last route of that model.
    #[must_use]
    pub fn covers_restored_orders(&self) -> bool {
        let shown = |open: &orders::OpenOrder| open.seen || !open.restored;
        self.orders.iter().all(shown) || self.reported_at > self.restored_at
    }

    /// Drops all orders and proposals, when the table is restored or this process stops leading.
    pub fn clear_orders(&mut self) {
        self.orders.clear();
        self.proposed.clear();
    }

    /// Tasks whose outcome is unknown, including proposed ones.
    pub fn pending(&self) -> impl Iterator<Item = Task> + '_ {
        self.unsettled()
            .map(|open| open.task)
            .chain(self.proposed.iter().copied())
    }

    /// Orders whose outcome is unknown.
    pub fn unsettled(&self) -> impl Iterator<Item = &orders::OpenOrder> {
        self.orders.iter().filter(|open| !open.is_settled())
    }

    /// Whether the newest report is recent enough to rely on.
    #[must_use]
    pub fn is_fresh(&self, now: time::Instant, stale_after: time::Millis) -> bool {
        self.sequence.is_some() && !self.silent && now.since(self.reported_at) <= stale_after
    }

    /// Whether an order may be issued, as far as reports and other orders are concerned.
    ///
    /// An engine that ignores fencing tokens executes a delayed order whenever it arrives. It gets the
    /// next order only when the outcome of the previous one is known.
    #[must_use]
    pub fn takes_orders(&self, now: time::Instant, stale_after: time::Millis) -> bool {
        let max_open = if self.checks_fence {
            MAX_OPEN_ORDERS
        } else {
            1
        };
        self.is_fresh(now, stale_after)
            && !self.leaving
            && self.orders.iter().all(|o| o.seen || !o.restored)
            && self.pending().count() < max_open
    }

    /// Whether a change of the engine's pool may be in progress.
    #[must_use]
    pub fn changes_role(&self) -> bool {
        self.pending().any(|task| task == Task::ChangeRole)
    }

    /// The memory used according to the newest report, in MiB.
    #[must_use]
    pub fn resident_mib(&self) -> u64 {
        self.held.iter().map(|held| held.memory_mib).sum()
    }

    /// The additional memory that tasks of unknown outcome may use, in MiB.
    ///
    /// A load is excluded only if a report has shown both the order and the model. The model alone
    /// may come from an earlier order, while this one is still to be executed.
    #[must_use]
    pub fn reserved_mib(&self) -> u64 {
        let ordered = self
            .unsettled()
            .filter(|open| !(open.seen && self.shows(open.task)))
            .map(|open| open.task);
        ordered
            .chain(self.proposed.iter().copied())
            .map(Task::worst_case_mib)
            .sum()
    }

    /// The memory that is neither used nor reserved, in MiB.
    #[must_use]
    pub fn free_mib(&self) -> u64 {
        self.total_mib
            .saturating_sub(self.resident_mib())
            .saturating_sub(self.reserved_mib())
    }

    fn shows(&self, task: Task) -> bool {
        match task {
            Task::Load { model, version, .. } => self.holds(model, version),
            Task::Unload { .. } | Task::ChangeRole => false,
        }
    }

    /// Whether the newest report shows `version` of `model` in any phase.
    #[must_use]
    pub fn holds(&self, model: ModelKey, version: u32) -> bool {
        self.held
            .iter()
            .any(|held| held.model == model && held.version == version)
    }

    /// Whether an unload of `version` of `model` may be in progress.
    #[must_use]
    pub fn unloads(&self, model: ModelKey, version: u32) -> bool {
        self.pending()
            .any(|task| task == Task::Unload { model, version })
    }

    /// Whether any version of `model` is held or may be loading.
    #[must_use]
    pub fn has_or_awaits(&self, model: ModelKey) -> bool {
        self.held.iter().any(|held| held.model == model) || self.awaits(model)
    }

    /// Whether a load of `model` may be in progress.
    #[must_use]
    pub fn awaits(&self, model: ModelKey) -> bool {
        self.pending().any(|task| task.loaded() == Some(model))
    }

    /// Whether a version of `model` is ready and not being unloaded.
    #[must_use]
    pub fn serves(&self, model: ModelKey) -> bool {
        self.held.iter().any(|held| {
            held.model == model
                && held.phase == endpoints::Phase::Ready
                && !self.unloads(model, held.version)
        })
    }

    /// Whether a version of `model` other than `version` is ready and not being unloaded.
    #[must_use]
    pub fn serves_besides(&self, model: ModelKey, version: u32) -> bool {
        self.held.iter().any(|held| {
            held.model == model
                && held.version != version
                && held.phase == endpoints::Phase::Ready
                && !self.unloads(model, held.version)
        })
    }
}
