//! A leader with the production ledger, and the engines.
//!
//! The checker chooses which orders are proposed, within the rules by which
//! [`sageshed_place::placement::Placement`] proposes, sends, cancels and settles them. Its planner is not
//! used.

use std::hash::{DefaultHasher, Hash, Hasher};

use sageshed_place::{engine, ledger, orders};
use sageshed_types::{arena::EndpointKey, catalog, endpoints, time};

/// The memory of an engine in MiB: enough for a large model and a small one.
pub const CAPACITY_MIB: u64 = 3;

/// The models with their memory in MiB.
pub const MODELS: [(&str, u64); 3] = [("a", 2), ("b", 1), ("c", 2)];

/// The memory of `model`, in MiB.
#[must_use]
pub fn memory_mib(model: &str) -> u64 {
    let known = MODELS.iter().find(|(name, _)| *name == model);
    known.map_or(0, |(_, memory)| *memory)
}

/// The names of the engines.
pub const ENGINES: [&str; 2] = ["e", "f"];

const NOW: time::Instant = time::Instant(0);

/// A control process.
#[derive(Debug, Clone)]
pub struct Leader {
    /// Its ledger of engines and orders.
    pub ledger: ledger::Ledger,
    /// The term in which it considers itself leader.
    pub term: Option<u64>,
    /// A hash of the ledger's debug output, which contains its whole state. The ledger does not implement
    /// `Hash`.
    digest: u64,
    rules: Rules,
}

/// Rules that are implemented outside the ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Rules {
    /// A new leader waits for reports that show the orders that it found in the table.
    pub wait_for_restored: bool,
    /// The last order to each engine stays in the table.
    pub keep_settled: bool,
}

impl Hash for Leader {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.digest.hash(hasher);
        self.term.hash(hasher);
    }
}

/// An action of a leader after an order is committed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaderAction {
    /// Send the order.
    Send(endpoints::Order),
    /// Remove these orders from the table.
    Settle(Vec<endpoints::OrderId>),
}

impl Leader {
    /// A control process that does not lead and has received no reports.
    #[must_use]
    pub fn new(rules: Rules) -> Self {
        let model = |(name, memory_mib): (&str, u64)| catalog::Model {
            name: name.to_owned(),
            base: None,
            version: 1,
            memory_mib,
            pools: Vec::new(),
            critical: false,
            load_ms: time::Millis(1),
        };
        let offered = MODELS.map(model);
        Self {
            ledger: ledger::Ledger::new(&offered, time::Millis(1)),
            term: None,
            digest: 0,
            rules,
        }
    }

    fn update_digest(&mut self) {
        let mut hasher = DefaultHasher::new();
        format!("{:?}", self.ledger.engines()).hash(&mut hasher);
        self.digest = hasher.finish();
    }

    /// Whether `task` may be started on `engine`.
    #[must_use]
    pub fn allows(&self, engine: &engine::Engine, task: orders::Task) -> bool {
        if !self.ledger.takes_orders(NOW, engine) {
            return false;
        }
        match task {
            orders::Task::Load { memory_mib, .. } => engine.free_mib() >= memory_mib,
            orders::Task::Unload { model, version } => {
                let others = self.ledger.engines().iter().map(|e| e.key);
                self.ledger.may_unload(NOW, engine, model, version, others)
            }
            orders::Task::ChangeRole => true,
        }
    }

    /// The task for the ledger, if it may be proposed for `endpoint`.
    #[must_use]
    pub fn may_propose(
        &self,
        endpoint: &str,
        task: &endpoints::Task,
    ) -> Option<(EndpointKey, orders::Task)> {
        self.term?;
        let key: EndpointKey = self.ledger.endpoint(endpoint)?;
        let engine = self.ledger.engine(key);
        let (task, wanted) = match task {
            endpoints::Task::Load { model, .. } => {
                let (version, memory_mib) = (1, memory_mib(model));
                let model = self.ledger.offered(model)?;
                let task = orders::Task::Load {
                    model,
                    version,
                    memory_mib,
                };
                (task, !engine.has_or_awaits(model))
            }
            endpoints::Task::Unload { model, version } => {
                let (model, version) = (self.ledger.offered(model)?, *version);
                let staying = engine.holds(model, version) && !engine.unloads(model, version);
                (orders::Task::Unload { model, version }, staying)
            }
            endpoints::Task::ChangeRole { .. } => return None,
        };
        (wanted && self.allows(engine, task)).then_some((key, task))
    }

    /// Records a proposal that [`Self::may_propose`] allows.
    pub fn propose(&mut self, key: EndpointKey, task: orders::Task) {
        drop(self.ledger.propose(key, task));
        self.update_digest();
    }

    /// Handles a committed order. `refused` is set if the engine refuses the connection.
    pub fn committed(&mut self, order: &endpoints::Order, refused: bool) -> Vec<LeaderAction> {
        let actions = self.handle_committed(order, refused);
        self.update_digest();
        actions
    }

    fn handle_committed(&mut self, order: &endpoints::Order, refused: bool) -> Vec<LeaderAction> {
        if self.term.is_none() {
            return Vec::new();
        }
        let task = self.ledger.task(&order.task);
        let engine = self.ledger.engine_mut(&order.endpoint);
        let ours = engine.remove_proposal(task);
        let engine = engine.clone();
        let allowed = ours && self.allows(&engine, task);
        let removed = self.ledger.add(NOW, order.clone(), !ours);
        let mut actions = vec![LeaderAction::Settle(removed)];
        if !ours {
            return actions;
        }
        if allowed {
            self.count_send(order.order);
        }
        if allowed && !refused {
            actions.push(LeaderAction::Send(order.clone()));
            return actions;
        }
        let engine = self.ledger.engine_mut(&order.endpoint);
        if engine.cancel_unsent(order.order) {
            actions.push(LeaderAction::Settle(vec![order.order]));
        }
        actions
    }

    /// Handles the committed removal of these orders from the table.
    pub fn removed(&mut self, orders: &[endpoints::OrderId]) {
        for id in orders {
            if let Some(engine) = self.ledger.engine_with_order(*id) {
                engine.remove(*id);
            }
        }
        self.update_digest();
    }

    fn count_send(&mut self, id: endpoints::OrderId) {
        if let Some(engine) = self.ledger.engine_with_order(id) {
            let mut orders = engine.orders.iter_mut();
            if let Some(open) = orders.find(|open| open.order.order == id) {
                open.sends += 1;
            }
        }
    }

    /// Becomes leader with the orders in the table. Returns the orders to remove from the table.
    pub fn lead(&mut self, term: u64, open: Vec<endpoints::Order>) -> Vec<endpoints::OrderId> {
        self.term = Some(term);
        let removed = if self.rules.wait_for_restored {
            self.ledger.restore(NOW, open)
        } else {
            self.ledger.clear_orders();
            let add = |order| self.ledger.add(NOW, order, false);
            open.into_iter().flat_map(add).collect()
        };
        self.update_digest();
        removed
    }

    /// Steps down.
    pub fn follow(&mut self) {
        self.term = None;
        self.ledger.clear_orders();
        self.update_digest();
    }

    /// Whether `report` is newer than the latest known one.
    #[must_use]
    pub fn is_newer(&self, report: &endpoints::Report) -> bool {
        let known = self.ledger.endpoint(&report.identity.endpoint);
        known.is_none_or(|key| self.ledger.engine(key).is_newer(report))
    }

    /// Handles a report. Returns the orders to remove from the table.
    pub fn report(&mut self, report: &endpoints::Report) -> Vec<endpoints::OrderId> {
        let mut removed = self.ledger.report(NOW, report);
        if !self.rules.keep_settled && self.term.is_some() {
            let engine = self.ledger.engine_mut(&report.identity.endpoint);
            let settled = engine.orders.iter().filter(|open| open.is_settled());
            removed.extend(settled.map(|open| open.order.order));
        }
        self.update_digest();
        removed
    }

    /// The orders that were sent and that no report has shown.
    #[must_use]
    pub fn unseen(&self) -> Vec<endpoints::Order> {
        let engines = self.ledger.engines().iter();
        let orders = engines.flat_map(|engine| engine.orders.iter());
        let unseen = orders.filter(|open| {
            let excluded = open.seen || open.cancelled;
            self.term.is_some() && !excluded
        });
        unseen.map(|open| open.order.clone()).collect()
    }
}

/// The actual state of an engine.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Engine {
    /// The models in its memory, initially and after each order.
    history: Vec<Vec<String>>,
    /// The received orders, and whether each was executed.
    received: Vec<(endpoints::OrderId, bool)>,
    highest: endpoints::Fence,
}

impl Engine {
    /// An engine that holds these models.
    #[must_use]
    pub fn new(held: &[&str]) -> Self {
        Self {
            history: vec![held.iter().map(ToString::to_string).collect()],
            received: Vec::new(),
            highest: endpoints::Fence::default(),
        }
    }

    /// The models that it holds now.
    #[must_use]
    pub fn held(&self) -> &[String] {
        self.history.last().map_or(&[], Vec::as_slice)
    }

    /// The memory in use, in MiB.
    #[must_use]
    pub fn taken_mib(&self) -> u64 {
        self.held().iter().map(|model| memory_mib(model)).sum()
    }

    /// Executes an order. With `once`, ignores a duplicate. With `fenced`, refuses an order with an outdated
    /// fencing token.
    pub fn run(&mut self, order: &endpoints::Order, once: bool, fenced: bool) {
        if once && self.received.iter().any(|(id, _)| *id == order.order) {
            return;
        }
        let stale = fenced && order.fence < self.highest;
        self.highest = self.highest.max(order.fence);
        self.received.push((order.order, !stale));
        let held = if stale {
            self.held().to_vec()
        } else {
            self.after(order)
        };
        self.history.push(held);
    }

    fn after(&self, order: &endpoints::Order) -> Vec<String> {
        let mut held = self.held().to_vec();
        match &order.task {
            endpoints::Task::Load { model, .. } if !held.contains(model) => {
                held.push(model.clone());
                held.sort();
            }
            endpoints::Task::Unload { model, .. } => held.retain(|it| it != model),
            _ => {}
        }
        held
    }

    /// All reports that it has sent. Each of them may be delivered late.
    #[must_use]
    pub fn reports(&self, name: &str, checks_fence: bool) -> Vec<endpoints::Report> {
        let numbered = self.history.iter().enumerate();
        let report =
            |(number, held): (usize, &Vec<String>)| self.report(name, number, held, checks_fence);
        numbered.map(report).collect()
    }

    fn report(
        &self,
        name: &str,
        number: usize,
        held: &[String],
        checks_fence: bool,
    ) -> endpoints::Report {
        let resident = held.iter().map(|model| endpoints::Resident {
            model: model.clone(),
            version: 1,
            phase: endpoints::Phase::Ready,
            memory_mib: memory_mib(model),
        });
        let result = |(order, done): &(endpoints::OrderId, bool)| endpoints::OrderResult {
            order: *order,
            outcome: if *done {
                endpoints::OrderOutcome::Done
            } else {
                let problem = "a later order came".to_owned();
                endpoints::OrderOutcome::Refused { problem }
            },
        };
        let results = self.received[..number].iter().map(result);
        endpoints::Report {
            identity: endpoints::Identity {
                endpoint: name.to_owned(),
                incarnation: endpoints::Incarnation(1),
                address: String::new(),
                availability_zone: "z".to_owned(),
                kind: endpoints::Kind::Engine {
                    pool: "p".to_owned(),
                    memory_mib: CAPACITY_MIB,
                    accelerators: 1,
                },
                slots: 1,
                checks_fence,
            },
            sequence: number as u64,
            age_ms: time::Millis(0),
            running: 0,
            waiting: 0,
            tokens_per_second: 0,
            resident: resident.collect(),
            orders: results.collect(),
            leaving: false,
        }
    }
}
