//! Specification of the orders of two leaders whose VMs are suspended and resumed.
//!
//! There are two control processes that may lead, and a third voter whose vote decides. A process
//! considers itself leader by the production [`status::Status::leads_at`] and issues orders as the
//! production [`leadership::Leadership`] allows. Time advances in ticks. A VM may be suspended and
//! resumed at any time. The third voter answers heartbeats, and votes for the other process after it has
//! received none for an election timeout.
//!
//! Invariant: at least the duration of a lease passes between two orders of different processes, since
//! engines that do not check fencing tokens obey both.
//!
//! Not covered: a process that is suspended between reading the clock and sending an order. No clock
//! prevents that. Instead the order contains the number of earlier orders, and has no effect after the
//! other leader has issued one.

use std::fmt;

use sageshed_fleet::planner::leadership;
use sageshed_quorum::{log, status};
use sageshed_types::time;

use crate::explore;

/// One tick, in milliseconds.
const TICK_MS: u64 = 500;

/// How long the third voter does not vote for another process after a heartbeat.
const ELECTION_TIMEOUT: time::Millis = time::Millis(1_000);

/// The minimum time between orders of two leaders.
const LEASE: time::Millis = time::Millis(1_500);

/// The mechanisms that the invariant rests on. Each can be turned off.
#[derive(Debug, Clone, Copy)]
pub struct Guards {
    /// A new leader waits for the duration of a lease before its first order.
    pub lease: bool,
    /// A leader issues orders only while it has contact to a majority.
    pub majority: bool,
    /// Clocks continue while a VM is suspended.
    pub boot_clock: bool,
}

impl Guards {
    /// All guards except `guard`. None if there is no such guard.
    #[must_use]
    pub fn without(guard: Option<&str>) -> Option<Self> {
        let mut guards = Self {
            lease: true,
            majority: true,
            boot_clock: true,
        };
        let off = match guard {
            None => return Some(guards),
            Some("lease") => &mut guards.lease,
            Some("majority") => &mut guards.majority,
            Some("boot_clock") => &mut guards.boot_clock,
            Some(_) => return None,
        };
        *off = false;
        Some(guards)
    }
}

/// The specification.
#[derive(Debug, Clone, Copy)]
pub struct Suspensions {
    /// The guards.
    pub guards: Guards,
    /// The number of ticks.
    pub ticks: u64,
}

/// One of the two processes that may lead.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
struct Process {
    is_suspended: bool,
    /// The number of ticks that its clock has missed while it was suspended.
    missed_ticks: u64,
    leads: Option<Leads>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Leads {
    /// When the latest answered round of heartbeats began, on its own clock.
    round: time::Instant,
    leadership: leadership::Leadership,
}

/// The state of the processes and the third voter.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    /// The number of elapsed ticks.
    now: u64,
    processes: [Process; 2],
    /// The process that the third voter follows.
    follows: usize,
    /// The tick at which the third voter last answered a heartbeat of that process, or voted for it.
    last_heartbeat: u64,
    /// The process that issued the latest order, and the tick of the order.
    last: Option<(usize, u64)>,
    violation: Option<String>,
}

/// An event.
#[derive(Debug, Clone, Copy)]
pub enum Event {
    /// The time advances by one tick.
    Tick(u64),
    /// A VM is suspended.
    Suspend(usize),
    /// A VM is resumed.
    Resume(usize),
    /// The third voter answers a heartbeat.
    Heartbeat(usize),
    /// The third voter votes for a process, which becomes leader.
    Elect(usize),
    /// A leader issues an order.
    Order(usize),
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Tick(now) => write!(f, "{} ms", now * TICK_MS),
            Self::Suspend(at) => write!(f, "process {at} is suspended"),
            Self::Resume(at) => write!(f, "process {at} is resumed"),
            Self::Heartbeat(at) => write!(f, "process {at}: its heartbeat is answered"),
            Self::Elect(at) => write!(f, "process {at} is elected"),
            Self::Order(at) => write!(f, "process {at} issues an order"),
        }
    }
}

impl Suspensions {
    /// The clock of a process.
    fn clock(state: &State, at: usize) -> time::Instant {
        time::Instant((state.now - state.processes[at].missed_ticks) * TICK_MS)
    }

    fn after_tick(&self, state: &State) -> State {
        let mut next = state.clone();
        next.now += 1;
        for process in &mut next.processes {
            process.missed_ticks += u64::from(process.is_suspended && !self.guards.boot_clock);
        }
        next
    }

    fn may_order(&self, state: &State, at: usize) -> bool {
        let Some(leads) = state.processes[at].leads else {
            return false;
        };
        let now = Self::clock(state, at);
        let id = log::NodeId {
            vm: u32::try_from(at).unwrap_or(u32::MAX),
            generation: 1,
        };
        let status = status::Status {
            role: status::Role::Leader,
            quorum_until: Some(leads.round + ELECTION_TIMEOUT),
            ..status::Status::outside(id)
        };
        let has_majority = !self.guards.majority || status.leads_at(now);
        has_majority && (!self.guards.lease || leads.leadership.may_order(now))
    }

    fn elect(state: &State, at: usize) -> State {
        let now = Self::clock(state, at);
        let mut next = state.clone();
        next.processes[at].leads = Some(Leads {
            round: now,
            leadership: leadership::Leadership::elected(now, LEASE),
        });
        next.follows = at;
        next.last_heartbeat = state.now;
        next
    }

    fn heartbeat(state: &State, at: usize) -> State {
        let round = Self::clock(state, at);
        let mut next = state.clone();
        if let Some(leads) = &mut next.processes[at].leads {
            leads.round = round;
        }
        next.last_heartbeat = state.now;
        next
    }

    /// The events possible at a process that is not suspended.
    fn process_events(&self, state: &State, at: usize, all: &mut Vec<(Event, State)>) {
        let mut next = state.clone();
        next.processes[at].is_suspended = true;
        all.push((Event::Suspend(at), next));
        let silent = time::Millis((state.now - state.last_heartbeat) * TICK_MS);
        if state.follows == at {
            all.push((Event::Heartbeat(at), Self::heartbeat(state, at)));
        } else if silent >= ELECTION_TIMEOUT {
            all.push((Event::Elect(at), Self::elect(state, at)));
        }
        if self.may_order(state, at) {
            all.push((Event::Order(at), state.after_order(at)));
        }
    }
}

impl State {
    fn after_order(&self, at: usize) -> Self {
        let mut next = self.clone();
        if let Some((other, when)) = self.last
            && other != at
            && time::Millis((self.now - when) * TICK_MS) < LEASE
        {
            let when = when * TICK_MS;
            next.violation = Some(format!(
                "process {at} orders, and process {other} has ordered at {when} ms"
            ));
        }
        next.last = Some((at, self.now));
        next
    }
}

impl explore::Spec for Suspensions {
    type State = State;
    type Event = Event;

    /// Process 0 has led for long enough to issue orders.
    fn start(&self) -> State {
        let mut state = State {
            now: 0,
            processes: [Process::default(); 2],
            follows: 0,
            last_heartbeat: 0,
            last: None,
            violation: None,
        };
        state = Self::elect(&state, 0);
        while state.now * TICK_MS < LEASE.0 {
            state = self.after_tick(&state);
            state = Self::heartbeat(&state, 0);
        }
        state
    }

    fn next(&self, state: &State) -> Vec<(Event, State)> {
        let mut all = Vec::new();
        if state.now < self.ticks {
            all.push((Event::Tick(state.now + 1), self.after_tick(state)));
        }
        for (at, process) in state.processes.iter().enumerate() {
            if process.is_suspended {
                let mut next = state.clone();
                next.processes[at].is_suspended = false;
                all.push((Event::Resume(at), next));
            } else {
                self.process_events(state, at, &mut all);
            }
        }
        all
    }

    fn violation(&self, state: &State) -> Option<String> {
        state.violation.clone()
    }
}
