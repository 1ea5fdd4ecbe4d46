//! Specification of orders to engines that ignore fencing tokens, over changes of the leader.
//!
//! There are three models, and two engines that each have memory for one large model and a small one. Two
//! control processes lead one after the other, and the former leader may learn of its successor
//! arbitrarily late. They use the production [`sageshed_place::ledger::Ledger`], and the committed state
//! is the production [`order_table::OrderTable`]. Commits, orders and reports may be delayed arbitrarily.
//! The commands of one leader are committed in order. Engines do not restart, since an order to an
//! earlier incarnation is refused anyway.
//!
//! Invariants: no engine is ordered to hold more than its memory, and a model that was reachable stays
//! reachable.

pub mod leader;

use std::{collections, fmt, rc};

use sageshed_state::{command, order_table};
use sageshed_types::endpoints;

use crate::explore;

/// The mechanisms that the invariants rest on. Each can be turned off.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is one independent switch of a checker"
)]
#[derive(Debug, Clone, Copy)]
pub struct Guards {
    /// Orders are committed to the table before they are sent.
    pub commit_first: bool,
    /// Only one order at a time is sent to an engine that ignores fencing tokens. If off, the engine
    /// reports that it checks them.
    pub one_at_a_time: bool,
    /// No order is sent twice to such an engine, which may not detect the duplicate.
    pub no_resend: bool,
    /// The last order to each engine stays in the table. If off, it is removed when a report settles it.
    pub keep_settled: bool,
    /// A new leader waits for reports that show the orders that it found in the table.
    pub wait_for_restored: bool,
    /// Orders of earlier terms are not issued. If off, they are treated as orders of the current term, and
    /// the leader that proposed them still sends them.
    pub term: bool,
    /// Engines execute each order once. Needed only if messages are duplicated.
    pub order_ids: bool,
}

impl Guards {
    /// All guards.
    pub const ALL: Self = Self {
        commit_first: true,
        one_at_a_time: true,
        no_resend: true,
        keep_settled: true,
        wait_for_restored: true,
        term: true,
        order_ids: true,
    };

    /// All guards except `guard`. None if there is no such guard.
    #[must_use]
    pub fn without(guard: Option<&str>) -> Option<Self> {
        let mut guards = Self::ALL;
        let off = match guard {
            None => return Some(guards),
            Some("commit_first") => &mut guards.commit_first,
            Some("one_at_a_time") => &mut guards.one_at_a_time,
            Some("no_resend") => &mut guards.no_resend,
            Some("keep_settled") => &mut guards.keep_settled,
            Some("wait_for_restored") => &mut guards.wait_for_restored,
            Some("term") => &mut guards.term,
            Some("order_ids") => &mut guards.order_ids,
            Some(_) => return None,
        };
        *off = false;
        Some(guards)
    }
}

/// The specification.
#[derive(Debug, Clone, Copy)]
pub struct Orders {
    /// The guards.
    pub guards: Guards,
    /// The models on the engines in the initial state.
    pub start: Start,
    /// The capabilities of the engines.
    pub engines: Engines,
    /// The maximum number of commands that are lost before they reach the log.
    pub losses: u32,
    /// The maximum number of proposed orders.
    pub proposals: u32,
    /// The maximum number of elections after the first one.
    pub elections: u32,
}

/// The models on the engines in the initial state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Start {
    /// Both engines hold the first model, and orders may be sent to both.
    BothFull,
    /// The first engine is empty, and orders are sent only to it.
    OneEmpty,
}

/// The capabilities of the engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Engines {
    /// They execute all orders that they receive. Messages are not duplicated, and orders are not resent.
    Plain,
    /// They execute each order once. Messages may be duplicated.
    Deduplicating,
    /// They also refuse fencing tokens lower than the highest that they have seen. Orders that no report has
    /// shown are resent.
    Fenced,
}

impl Orders {
    fn says_fenced(self) -> bool {
        self.engines == Engines::Fenced || !self.guards.one_at_a_time
    }
}

/// A command that is not committed yet.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Command {
    Issue {
        term: u64,
        order: command::ProposedOrder,
    },
    Settle(Vec<endpoints::OrderId>),
}

/// The state of the control processes and engines.
#[derive(Debug, Clone, Hash)]
pub struct State {
    table: order_table::OrderTable,
    leaders: [rc::Rc<leader::Leader>; 2],
    /// Uncommitted commands by leader, in the order of submission.
    waiting: [collections::VecDeque<Command>; 2],
    /// Orders in flight, by id.
    network: collections::BTreeMap<u64, endpoints::Order>,
    engines: [leader::Engine; 2],
    /// The models that were reachable at some time.
    reachable: collections::BTreeSet<String>,
    proposals: u32,
    elections: u32,
    copies: u32,
    refusals: u32,
    losses: u32,
}

/// The description of an event.
#[derive(Debug, Clone)]
pub struct Event(String);

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

type Successors = Vec<(Event, State)>;

impl State {
    fn elect(&mut self, by: usize) {
        let term = self.table.term() + 1;
        self.table.leader_started(term);
        let open = self.table.open().cloned().collect();
        let removed = self.leader(by).lead(term, open);
        self.settle_later(by, removed);
    }

    fn settle_later(&mut self, by: usize, orders: Vec<endpoints::OrderId>) {
        if !orders.is_empty() {
            self.waiting[by].push_back(Command::Settle(orders));
        }
    }

    fn leader(&mut self, by: usize) -> &mut leader::Leader {
        rc::Rc::make_mut(&mut self.leaders[by])
    }

    fn propose(&mut self, by: usize, endpoint: &str, task: endpoints::Task, spec: Orders) -> bool {
        let leader = &self.leaders[by];
        let (Some(term), Some((key, keyed))) = (leader.term, leader.may_propose(endpoint, &task))
        else {
            return false;
        };
        self.leader(by).propose(key, keyed);
        let order = command::ProposedOrder {
            endpoint: endpoint.to_owned(),
            incarnation: endpoints::Incarnation(1),
            task,
        };
        if !spec.guards.commit_first {
            self.send_uncommitted(by, order);
            return true;
        }
        self.waiting[by].push_back(Command::Issue { term, order });
        true
    }

    /// Without the guard `commit_first`, sends the order at once. It is not known to the next leader.
    fn send_uncommitted(&mut self, by: usize, order: command::ProposedOrder) {
        let id = endpoints::OrderId(1_000 + u64::from(self.proposals));
        let order = endpoints::Order {
            order: id,
            endpoint: order.endpoint,
            incarnation: order.incarnation,
            fence: endpoints::Fence(id.0),
            task: order.task,
        };
        for actions in self.leader(by).committed(&order, false) {
            self.carry_out(by, actions);
        }
    }

    fn carry_out(&mut self, by: usize, actions: leader::LeaderAction) {
        match actions {
            leader::LeaderAction::Send(order) => drop(self.network.insert(order.order.0, order)),
            leader::LeaderAction::Settle(orders) => self.settle_later(by, orders),
        }
    }

    fn commit(&mut self, by: usize, refused: bool, spec: Orders) {
        match self.waiting[by].pop_front() {
            None => {}
            Some(Command::Settle(orders)) => {
                self.table.settle(&orders);
                self.leader(by).removed(&orders);
            }
            Some(Command::Issue { term, order }) => {
                let term = if spec.guards.term {
                    term
                } else {
                    self.table.term()
                };
                let outcome = self.table.issue(term, vec![order]);
                let command::IssueOutcome::Issued(orders) = outcome else {
                    return;
                };
                for order in orders {
                    for actions in self.leader(by).committed(&order, refused) {
                        self.carry_out(by, actions);
                    }
                }
            }
        }
    }

    fn arrive(&mut self, id: u64, keep: bool, spec: Orders) {
        let Some(order) = self.network.get(&id).cloned() else {
            return;
        };
        if !keep {
            self.network.remove(&id);
        }
        let place = leader::ENGINES
            .iter()
            .position(|name| *name == order.endpoint);
        if let Some(place) = place {
            let knows = spec.engines != Engines::Plain && spec.guards.order_ids;
            let fenced = spec.engines == Engines::Fenced;
            self.engines[place].run(&order, knows, fenced);
        }
        self.record_reachable();
    }

    fn record_reachable(&mut self) {
        let held = self.engines.iter().flat_map(leader::Engine::held);
        self.reachable.extend(held.cloned());
    }

    fn push(&self, all: &mut Successors, event: String, act: impl FnOnce(&mut Self) -> bool) {
        let mut next = self.clone();
        if act(&mut next) {
            all.push((Event(event), next));
        }
    }

    fn leader_events(&self, spec: Orders, all: &mut Successors) {
        for by in 0..self.leaders.len() {
            let name = format!("control {}", by + 1);
            if self.elections > 0 {
                self.push(all, format!("{name} is elected"), |next| {
                    next.elections -= 1;
                    next.elect(by);
                    true
                });
            }
            let deposed = self.leaders[by]
                .term
                .is_some_and(|term| term < self.table.term());
            if deposed {
                self.push(
                    all,
                    format!("{name} learns that it is no longer the leader"),
                    |next| {
                        next.leader(by).follow();
                        true
                    },
                );
            }
            self.proposal_events(by, spec, all);
            self.report_events(by, spec, all);
            self.resend_events(by, spec, all);
        }
    }

    fn proposal_events(&self, by: usize, spec: Orders, all: &mut Successors) {
        if self.proposals == 0 || self.leaders[by].term.is_none() {
            return;
        }
        let engines = match spec.start {
            Start::BothFull => &leader::ENGINES[..],
            Start::OneEmpty => &leader::ENGINES[..1],
        };
        for endpoint in engines {
            for task in tasks() {
                let event = format!("control {} proposes: {}", by + 1, describe(endpoint, &task));
                self.push(all, event, |next| {
                    next.proposals -= 1;
                    next.propose(by, endpoint, task.clone(), spec)
                });
            }
        }
    }

    fn report_events(&self, by: usize, spec: Orders, all: &mut Successors) {
        for (name, engine) in leader::ENGINES.iter().zip(&self.engines) {
            for report in engine.reports(name, spec.says_fenced()) {
                if !self.leaders[by].is_newer(&report) {
                    continue;
                }
                let held: Vec<_> = report.resident.iter().map(|it| it.model.as_str()).collect();
                let (held, number) = (held.join(" "), report.sequence);
                let event = format!(
                    "control {} reads report {number} of {name}: holds {held}",
                    by + 1
                );
                self.push(all, event, |next| {
                    let removed = next.leader(by).report(&report);
                    next.settle_later(by, removed);
                    true
                });
            }
        }
    }

    fn commit_events(&self, by: usize, spec: Orders, all: &mut Successors) {
        let Some(command) = self.waiting[by].front() else {
            return;
        };
        let what = match command {
            Command::Issue { order, .. } => describe(&order.endpoint, &order.task),
            Command::Settle(orders) => {
                let ids: Vec<_> = orders.iter().map(ToString::to_string).collect();
                format!("settled: order {}", ids.join(", "))
            }
        };
        let what = format!("of control {}: {what}", by + 1);
        self.push(all, format!("committed, {what}"), |next| {
            next.commit(by, false, spec);
            true
        });
        if self.losses > 0 {
            self.push(
                all,
                format!("lost before it reached the log, {what}"),
                |next| {
                    next.losses -= 1;
                    next.waiting[by].pop_front().is_some()
                },
            );
        }
        let issue = matches!(command, Command::Issue { .. });
        if issue && self.refusals > 0 {
            let event = format!("committed, {what}; the engine refuses the connection");
            self.push(all, event, |next| {
                next.refusals -= 1;
                next.commit(by, true, spec);
                true
            });
        }
    }

    fn resend_events(&self, by: usize, spec: Orders, all: &mut Successors) {
        let resends = spec.engines == Engines::Fenced || !spec.guards.no_resend;
        if !resends || self.copies == 0 {
            return;
        }
        for order in self.leaders[by].unseen() {
            let event = format!("control {} sends order {} again", by + 1, order.order);
            self.push(all, event, |next| {
                next.copies -= 1;
                next.network.insert(order.order.0, order).is_none()
            });
        }
    }
}

fn tasks() -> impl Iterator<Item = endpoints::Task> {
    leader::MODELS.iter().flat_map(|(model, memory_mib)| {
        let load = endpoints::Task::Load {
            model: (*model).to_owned(),
            version: 1,
            memory_mib: *memory_mib,
            base: None,
        };
        let unload = endpoints::Task::Unload {
            model: (*model).to_owned(),
            version: 1,
        };
        [load, unload]
    })
}

fn describe(endpoint: &str, task: &endpoints::Task) -> String {
    match task {
        endpoints::Task::Load { model, .. } => format!("load {model} on {endpoint}"),
        endpoints::Task::Unload { model, .. } => format!("unload {model} from {endpoint}"),
        endpoints::Task::ChangeRole { .. } => format!("change the role of {endpoint}"),
    }
}

impl explore::Spec for Orders {
    type State = State;
    type Event = Event;

    /// The first control process is the leader.
    fn start(&self) -> State {
        let full = leader::Engine::new(&[leader::MODELS[0].0]);
        let first = match self.start {
            Start::BothFull => full.clone(),
            Start::OneEmpty => leader::Engine::new(&[]),
        };
        let leader = rc::Rc::new(leader::Leader::new(leader::Rules {
            wait_for_restored: self.guards.wait_for_restored,
            keep_settled: self.guards.keep_settled,
        }));
        let mut state = State {
            table: order_table::OrderTable::default(),
            leaders: [rc::Rc::clone(&leader), leader],
            waiting: Default::default(),
            network: collections::BTreeMap::new(),
            engines: [first, full],
            reachable: collections::BTreeSet::new(),
            proposals: self.proposals,
            elections: self.elections,
            copies: 1,
            refusals: 1,
            losses: self.losses,
        };
        for by in 0..state.leaders.len() {
            for (name, engine) in leader::ENGINES.iter().zip(state.engines.clone()) {
                for report in engine.reports(name, self.says_fenced()) {
                    drop(state.leader(by).report(&report));
                }
            }
        }
        state.elect(0);
        state.record_reachable();
        state
    }

    fn next(&self, state: &State) -> Successors {
        let mut all = Vec::new();
        state.leader_events(*self, &mut all);
        for by in 0..state.waiting.len() {
            state.commit_events(by, *self, &mut all);
        }
        for (id, order) in &state.network {
            let what = describe(&order.endpoint, &order.task);
            state.push(&mut all, format!("order {id} arrives: {what}"), |next| {
                next.arrive(*id, false, *self);
                true
            });
            if self.engines == Engines::Deduplicating && state.copies > 0 {
                let event = format!("order {id} arrives: {what} (a copy stays in flight)");
                state.push(&mut all, event, |next| {
                    next.copies -= 1;
                    next.arrive(*id, true, *self);
                    true
                });
            }
        }
        all
    }

    fn violation(&self, state: &State) -> Option<String> {
        for (name, engine) in leader::ENGINES.iter().zip(&state.engines) {
            let (taken, held) = (engine.taken_mib(), engine.held().join(" "));
            if taken > leader::CAPACITY_MIB {
                return Some(format!("{name} has to hold {held}, which does not fit"));
            }
        }
        let held = |model: &String| state.engines.iter().any(|it| it.held().contains(model));
        let lost = state.reachable.iter().find(|model| !held(model))?;
        Some(format!("the last route to {lost} is gone"))
    }
}
