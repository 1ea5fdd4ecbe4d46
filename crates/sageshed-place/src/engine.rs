//! What the ledger knows of one engine: its newest report and its open orders.
//!
//! # When an order is settled
//!
//! Only the engine's own word settles an order: its result in a report of the incarnation meant, a
//! newer incarnation, or, on an engine that checks fencing numbers, the sight of a later order that
//! it accepted (an older one that it has not seen will be refused). Time settles nothing: an order
//! may sit in a buffer for as long as it likes and run then.
//!
//! # Why a settled order stays in the table for a while
//!
//! A leader settles a load by a report that the next leader may not have. If the order were removed
//! at once, the next leader would find an older report with room on the engine and no open order,
//! and load something else into memory that is taken. So a settled order stays in the replicated
//! table until a report shows an order that was committed after it was settled; the table thus
//! always holds the last order that reached each engine, and a new leader issues nothing to an
//! engine until a report shows every order that it found in the table. An engine without an order
//! in the table was never ordered to do anything, and any report of it is good.

use sageshed_types::{
    arena::{EndpointKey, ModelKey, PoolKey, ZoneKey},
    endpoints, time,
};

use crate::orders::{self, Task};

/// Orders under way at once on an engine that checks fencing numbers.
const MAX_OPEN_ORDERS: usize = 4;

/// A report names at least this many of the last orders; fewer in it means all.
const ORDERS_REPORTED: usize = 32;

/// A model or adapter on an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldModel {
    /// Which.
    pub model: ModelKey,
    /// Which version.
    pub version: u32,
    /// How far it is.
    pub phase: endpoints::Phase,
    /// Memory that it takes, in MiB.
    pub memory_mib: u64,
}

/// One engine.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Its key.
    pub key: EndpointKey,
    /// Its name.
    pub name: String,
    /// The newest incarnation that a report or an order has named.
    pub incarnation: endpoints::Incarnation,
    /// The newest report's number; none: no report of this incarnation yet.
    pub sequence: Option<u64>,
    /// When the figures of the newest report were taken.
    pub taken: time::Instant,
    /// Not heard for long, or a connection to it failed, since the newest report.
    pub silent: bool,
    /// It will go.
    pub leaving: bool,
    /// The pool that it belongs to.
    pub pool: PoolKey,
    /// Where it stands.
    pub zone: ZoneKey,
    /// Its memory, in MiB.
    pub total_mib: u64,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Requests running by the newest report.
    pub running: u32,
    /// Whether it refuses old fencing numbers.
    pub checks_fence: bool,
    /// What it holds by the newest report.
    pub held: Vec<HeldModel>,
    /// Its orders in the replicated table.
    pub orders: Vec<orders::OpenOrder>,
    /// Tasks proposed by this leader and not yet committed.
    pub proposed: Vec<Task>,
    /// When orders were last found in the table by this leader.
    restored_at: time::Instant,
    event_count: u64,
}

/// What the ledger takes of a report.
#[derive(Debug)]
pub struct ReportedState {
    /// When the figures were taken.
    pub taken: time::Instant,
    /// What the engine holds.
    pub held: Vec<HeldModel>,
    /// The pool that it belongs to.
    pub pool: PoolKey,
    /// Where it stands.
    pub zone: ZoneKey,
    /// Its memory, in MiB.
    pub total_mib: u64,
}

impl Engine {
    /// An engine that nothing is known of.
    #[must_use]
    pub fn new(key: EndpointKey, name: &str) -> Self {
        Self {
            key,
            name: name.to_owned(),
            incarnation: endpoints::Incarnation::default(),
            sequence: None,
            taken: time::Instant::default(),
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

    /// Whether `report` says something newer than what is known.
    #[must_use]
    pub fn is_newer(&self, report: &endpoints::Report) -> bool {
        let incarnation = report.identity.incarnation;
        incarnation > self.incarnation
            || incarnation == self.incarnation
                && self.sequence.is_none_or(|known| report.sequence > known)
    }

    /// Takes in a report that [`Self::is_newer`]. Returns the orders to remove from the table.
    pub fn apply_report(
        &mut self,
        report: &endpoints::Report,
        state: ReportedState,
    ) -> Vec<endpoints::OrderId> {
        let removed = self.advance_incarnation(report.identity.incarnation);
        self.sequence = Some(report.sequence);
        self.taken = state.taken;
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

    /// Raises the incarnation. Orders to earlier ones are settled: the engine refuses them.
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

    /// Notes what the report says of each order.
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

    /// Removes orders that the engine refuses for good since it has accepted a later one: those that
    /// it has not shown, and those that it shows as refused.
    ///
    /// Orders sent at once overtake each other. The one that was overtaken is refused, and would be
    /// each time it is sent; left in the table it would stand for the same task proposed anew, so
    /// that the model is never loaded.
    ///
    /// Order ids grow with fencing numbers, so they are compared in their place. An order that is
    /// missing from a full list may have been seen and pushed out of it; then an accepted order
    /// older than it must still be on the list to prove that it was not.
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
        let whole = results.len() < ORDERS_REPORTED;
        self.remove_where(|open| {
            let id = open.order.order;
            let never_came = !open.seen && (whole || oldest < id);
            id < newest && (never_came || refused.iter().any(|r| r.order == id))
        })
    }

    /// Removes settled orders that a later order, seen by the engine, stands in for.
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
        let mut taken = Vec::new();
        self.orders.retain(|open| {
            let take = test(open);
            if take {
                taken.push(open.order.order);
            }
            !take
        });
        taken
    }

    /// Takes an order into the table's copy. Returns orders to remove from the table.
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

    /// Takes `task` off the proposals. Whether it was there.
    pub fn remove_proposal(&mut self, task: Task) -> bool {
        let position = self.proposed.iter().position(|t| *t == task);
        position.map(|at| self.proposed.remove(at)).is_some()
    }

    /// Marks an order that was never sent as taken back. Whether it was known and so.
    ///
    /// It counts until [`Self::remove`]: a leader that took the removal for done, and ordered
    /// something else instead, would be followed by one that finds both orders in the table. An
    /// unload that was taken back here and made elsewhere would then be made twice, and the model be
    /// gone.
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

    /// Orders that were taken back and are in the table still.
    pub fn cancelled(&self) -> impl Iterator<Item = endpoints::OrderId> + '_ {
        let cancelled = self.orders.iter().filter(|open| open.cancelled);
        cancelled.map(|open| open.order.order)
    }

    /// Forgets an order that was taken back and is in the table no more.
    pub fn remove(&mut self, id: endpoints::OrderId) {
        self.orders
            .retain(|open| open.order.order != id || !open.cancelled);
    }

    /// Whether the newest report is later than every order that was found in the table.
    ///
    /// A new leader may have a report from before orders that its predecessor saw settled. What that
    /// report shows as ready may have been unloaded since, and a model whose last route is taken on
    /// its word is gone.
    #[must_use]
    pub fn covers_restored_orders(&self) -> bool {
        let shown = |open: &orders::OpenOrder| open.seen || !open.restored;
        self.orders.iter().all(shown) || self.taken > self.restored_at
    }

    /// Forgets orders and proposals, when the table is read anew or this process stops leading.
    pub fn clear_orders(&mut self) {
        self.orders.clear();
        self.proposed.clear();
    }

    /// Tasks whose fate is unknown, those proposed included.
    pub fn pending(&self) -> impl Iterator<Item = Task> + '_ {
        self.unsettled()
            .map(|open| open.task)
            .chain(self.proposed.iter().copied())
    }

    /// Orders whose fate is unknown.
    pub fn unsettled(&self) -> impl Iterator<Item = &orders::OpenOrder> {
        self.orders.iter().filter(|open| !open.is_settled())
    }

    /// Whether the newest report still tells how things are.
    #[must_use]
    pub fn is_fresh(&self, now: time::Instant, stale_after: time::Millis) -> bool {
        self.sequence.is_some() && !self.silent && now.since(self.taken) <= stale_after
    }

    /// Whether an order may be issued, as far as reports and other orders go.
    ///
    /// An engine that ignores fencing numbers runs a late order whenever it comes, so there the
    /// next one waits until the last one's fate is known.
    #[must_use]
    pub fn takes_orders(&self, now: time::Instant, stale_after: time::Millis) -> bool {
        let at_once = if self.checks_fence {
            MAX_OPEN_ORDERS
        } else {
            1
        };
        self.is_fresh(now, stale_after)
            && !self.leaving
            && self.orders.iter().all(|o| o.seen || !o.restored)
            && self.pending().count() < at_once
    }

    /// Whether the engine's pool may be changing.
    #[must_use]
    pub fn changes_role(&self) -> bool {
        self.pending().any(|task| task == Task::ChangeRole)
    }

    /// Memory that the newest report shows as taken, in MiB.
    #[must_use]
    pub fn resident_mib(&self) -> u64 {
        self.held.iter().map(|held| held.memory_mib).sum()
    }

    /// Memory that tasks of unknown fate may take on top, in MiB.
    ///
    /// A load is left out only if a report has shown both the order and the model: a model of that
    /// name alone may stem from an earlier order, with this one still to come.
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

    /// Memory that may still be promised, in MiB.
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

    /// Whether the newest report shows `version` of `model`, in any phase.
    #[must_use]
    pub fn holds(&self, model: ModelKey, version: u32) -> bool {
        self.held
            .iter()
            .any(|held| held.model == model && held.version == version)
    }

    /// Whether `version` of `model` is being taken off, or may be.
    #[must_use]
    pub fn unloads(&self, model: ModelKey, version: u32) -> bool {
        self.pending()
            .any(|task| task == Task::Unload { model, version })
    }

    /// Whether some version of `model` is there or may come.
    #[must_use]
    pub fn has_or_awaits(&self, model: ModelKey) -> bool {
        self.held.iter().any(|held| held.model == model) || self.awaits(model)
    }

    /// Whether a load of `model` may be under way.
    #[must_use]
    pub fn awaits(&self, model: ModelKey) -> bool {
        self.pending().any(|task| task.loaded() == Some(model))
    }

    /// Whether some version of `model` serves and stays.
    #[must_use]
    pub fn serves(&self, model: ModelKey) -> bool {
        self.held.iter().any(|held| {
            held.model == model
                && held.phase == endpoints::Phase::Ready
                && !self.unloads(model, held.version)
        })
    }

    /// Whether another version of `model` than this one serves and stays.
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
