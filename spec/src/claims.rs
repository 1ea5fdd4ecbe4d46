//! Specification of requests that may run at most once, with the production [`claim_table::ClaimTable`].
//!
//! A request with one key arrives at two entry processes, since its caller may retry at either. Commands
//! are committed at any time, in any order, or never. Replies are lost and claims are repeated. A process
//! may crash and restart, may be declared dead while it still runs, or may be suspended for longer than
//! claims are kept.
//!
//! Invariants: the request runs at most once while its key is kept, and an arrival whose caller was told
//! "not run" never runs.

use std::{collections, fmt};

use sageshed_state::claim_table;
use sageshed_types::{claims, endpoints, time};

use crate::explore;

/// How long a claim is kept after it is settled.
const RETENTION: time::Millis = time::Millis(10);

/// The mechanisms that the invariants rest on. Each can be turned off.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is one independent switch of a checker"
)]
#[derive(Debug, Clone, Copy)]
pub struct Guards {
    /// A running claim whose holder is gone becomes unknown. If off, it is released.
    pub gone_is_unknown: bool,
    /// A running claim has no timeout. If off, it is released after a while.
    pub no_expiry: bool,
    /// A request is not sent before its claim is granted.
    pub wait: bool,
    /// After its caller was told "not run", an arrival is not sent. If off, it is sent on a late grant.
    pub told_is_final: bool,
    /// An arrival is sent once, however many grants it receives.
    pub send_once: bool,
    /// A request is not sent if its claim was requested longer ago than claims are kept.
    pub grant_age: bool,
    /// Arrivals at different incarnations of a process are different holders.
    pub incarnation: bool,
}

impl Guards {
    /// All guards except `guard`. None if there is no such guard.
    #[must_use]
    pub fn without(guard: Option<&str>) -> Option<Self> {
        let mut guards = Self {
            gone_is_unknown: true,
            no_expiry: true,
            wait: true,
            told_is_final: true,
            send_once: true,
            grant_age: true,
            incarnation: true,
        };
        let off = match guard {
            None => return Some(guards),
            Some("gone_is_unknown") => &mut guards.gone_is_unknown,
            Some("no_expiry") => &mut guards.no_expiry,
            Some("wait") => &mut guards.wait,
            Some("told_is_final") => &mut guards.told_is_final,
            Some("send_once") => &mut guards.send_once,
            Some("grant_age") => &mut guards.grant_age,
            Some("incarnation") => &mut guards.incarnation,
            Some(_) => return None,
        };
        *off = false;
        Some(guards)
    }
}

/// The specification.
#[derive(Debug, Clone, Copy)]
pub struct Claims {
    /// The guards.
    pub guards: Guards,
    /// The maximum number of arrivals at both processes.
    pub arrivals: usize,
}

/// The state of an arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Phase {
    /// Waits for the reply to its claim.
    Asking,
    /// May be sent.
    Granted,
    /// Was sent.
    Sent,
    /// Its caller got another answer than "not run".
    Ended,
    /// Its caller was told "not run".
    ToldNotRun,
    /// Its process has ended.
    Dead,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Arrival {
    holder: claims::Holder,
    phase: Phase,
    /// Whether it claimed so long ago that its claim may have been settled by others and removed since.
    old: bool,
    ran: bool,
    told_not_run: bool,
}

/// A command that is not committed yet.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Command {
    Claim(usize),
    Settle(usize, End),
    HolderGone { process: usize, below: u64 },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum End {
    Ran,
    NotRun,
    Unknown,
}

/// The state of the control group and both processes.
#[derive(Debug, Clone, Hash)]
pub struct State {
    table: claim_table::ClaimTable,
    waiting: collections::BTreeSet<Command>,
    /// Replies in flight, by arrival.
    answers: Vec<(usize, claims::ClaimOutcome)>,
    arrivals: Vec<Arrival>,
    incarnations: [u64; 2],
    /// The number of runs since the key was last removed.
    runs: u32,
    crashes: u32,
    declared_dead: u32,
    resends: u32,
    clocks: u32,
}

/// The description of an event. Arrivals are numbered from one.
#[derive(Debug, Clone)]
pub struct Event(String);

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

fn vm(process: usize) -> String {
    format!("entry-{}", process + 1)
}

fn key() -> claims::ClaimKey {
    claims::ClaimKey {
        caller: "caller".to_owned(),
        key: "key".to_owned(),
    }
}

type Successors = Vec<(Event, State)>;

impl State {
    fn push(&self, all: &mut Successors, event: String, act: impl FnOnce(&mut Self)) {
        let mut next = self.clone();
        act(&mut next);
        all.push((Event(event), next));
    }

    fn arrive(&mut self, process: usize, guards: Guards) {
        // Without the guard a restarted process numbers its arrivals from one again.
        let number = |it: &Arrival| it.holder.vm == vm(process) && it.phase != Phase::Dead;
        let earlier = self.arrivals.iter().filter(|it| number(it)).count();
        let request = if guards.incarnation {
            self.arrivals.len()
        } else {
            earlier
        };
        let incarnation = if guards.incarnation {
            self.incarnations[process]
        } else {
            1
        };
        let holder = claims::Holder {
            vm: vm(process),
            incarnation: endpoints::Incarnation(incarnation),
            request_id: request.to_string(),
        };
        self.waiting.insert(Command::Claim(self.arrivals.len()));
        self.arrivals.push(Arrival {
            holder,
            phase: Phase::Asking,
            old: false,
            ran: false,
            told_not_run: false,
        });
    }

    fn commit(&mut self, command: &Command, guards: Guards) {
        match command {
            Command::Claim(arrival) => self.claim(*arrival),
            Command::Settle(arrival, end) => self.settle(*arrival, *end),
            Command::HolderGone { process, below } => self.gone(*process, *below, guards),
        }
    }

    fn claim(&mut self, arrival: usize) {
        let claim = claims::Claim {
            key: key(),
            holder: self.arrivals[arrival].holder.clone(),
            digest: 1,
            retention: RETENTION,
        };
        if let claim_table::ClaimAttempt::Reply(answer) = self.table.claim(claim) {
            self.answers.push((arrival, answer));
        }
    }

    fn settle(&mut self, arrival: usize, end: End) {
        let holder = self.arrivals[arrival].holder.clone();
        self.settle_holder(holder, end);
    }

    fn settle_holder(&mut self, holder: claims::Holder, end: End) {
        let end = match end {
            End::Ran => claims::ExecutionOutcome::Ran { answer: None },
            End::NotRun => claims::ExecutionOutcome::NotRun,
            End::Unknown => claims::ExecutionOutcome::Unknown,
        };
        let key = key();
        self.table.settle(claims::Settle { key, holder, end });
    }

    fn gone(&mut self, process: usize, below: u64, guards: Guards) {
        let below = endpoints::Incarnation(below);
        let name = vm(process);
        if guards.gone_is_unknown {
            self.table.holder_gone(&name, below);
            return;
        }
        let held = self.table.get(&key()).map(|held| held.holder.clone());
        let gone = held.filter(|it| it.vm == name && it.incarnation < below);
        if let Some(holder) = gone {
            self.settle_holder(holder, End::NotRun);
        }
    }

    fn answer(&mut self, arrival: usize, outcome: &claims::ClaimOutcome, guards: Guards) {
        let it = &mut self.arrivals[arrival];
        let granted = *outcome == claims::ClaimOutcome::Granted;
        it.phase = match it.phase {
            Phase::Asking if granted => Phase::Granted,
            Phase::Asking => Phase::Ended,
            Phase::ToldNotRun if granted && !guards.told_is_final => Phase::Granted,
            Phase::Sent if granted && !guards.send_once => Phase::Granted,
            phase => phase,
        };
    }

    fn run(&mut self, arrival: usize) {
        self.runs += 1;
        self.arrivals[arrival].ran = true;
        self.arrivals[arrival].phase = Phase::Sent;
    }

    fn tell_not_run(&mut self, arrival: usize) {
        let it = &mut self.arrivals[arrival];
        it.phase = Phase::ToldNotRun;
        it.told_not_run = true;
        self.waiting.insert(Command::Settle(arrival, End::NotRun));
    }

    fn end(&mut self, arrival: usize, end: End) {
        self.arrivals[arrival].phase = Phase::Ended;
        self.waiting.insert(Command::Settle(arrival, end));
    }

    fn crash(&mut self, process: usize) {
        self.crashes -= 1;
        self.incarnations[process] += 1;
        for it in &mut self.arrivals {
            if it.holder.vm == vm(process) {
                it.phase = Phase::Dead;
            }
        }
        let below = self.incarnations[process];
        self.waiting.insert(Command::HolderGone { process, below });
    }

    /// Advances the time past the retention of all settled claims.
    fn clock(&mut self) {
        self.clocks -= 1;
        // The first command sets the expiries of settled claims, the second is past them.
        let now = self.table.unix_ms() + 1;
        self.table.advance_clock(now);
        let expired = self.table.advance_clock(now + RETENTION.0 + 1);
        if expired > 0 {
            self.runs = 0;
        }
        for it in &mut self.arrivals {
            it.old = true;
        }
    }

    fn arrival_events(&self, number: usize, guards: Guards, all: &mut Successors) {
        let (it, shown) = (&self.arrivals[number], number + 1);
        let ready = match it.phase {
            Phase::Granted => true,
            Phase::Asking => !guards.wait,
            _ => false,
        };
        if ready && !(it.old && guards.grant_age) {
            self.push(all, format!("arrival {shown}: sent, and runs"), |next| {
                next.run(number);
            });
        }
        match it.phase {
            Phase::Asking => {
                self.push(
                    all,
                    format!("arrival {shown}: no answer in time, caller told not run"),
                    |next| next.tell_not_run(number),
                );
                if self.resends > 0 && !self.waiting.contains(&Command::Claim(number)) {
                    self.push(all, format!("arrival {shown}: claims again"), |next| {
                        next.resends -= 1;
                        next.waiting.insert(Command::Claim(number));
                    });
                }
            }
            Phase::Granted => self.push(
                all,
                format!("arrival {shown}: not a byte sent, caller told not run"),
                |next| next.tell_not_run(number),
            ),
            Phase::Sent => {
                self.push(all, format!("arrival {shown}: answered"), |next| {
                    next.end(number, End::Ran);
                });
                let event = format!("arrival {shown}: connection lost, caller told may have run");
                self.push(all, event, |next| next.end(number, End::Unknown));
            }
            Phase::Ended | Phase::ToldNotRun | Phase::Dead => {}
        }
    }

    fn process_events(&self, process: usize, spec: Claims, all: &mut Successors) {
        let (guards, name) = (spec.guards, vm(process));
        // By symmetry the first arrival can be at the first process.
        let here = !self.arrivals.is_empty() || process == 0;
        if here && self.arrivals.len() < spec.arrivals {
            let number = self.arrivals.len() + 1;
            self.push(all, format!("arrival {number} at {name}"), |next| {
                next.arrive(process, guards);
            });
        }
        if self.crashes > 0 {
            self.push(all, format!("{name} crashes and restarts"), |next| {
                next.crash(process);
            });
        }
        if self.declared_dead > 0 {
            self.push(all, format!("{name} is wrongly declared dead"), |next| {
                next.declared_dead -= 1;
                let below = next.incarnations[process] + 1;
                next.waiting.insert(Command::HolderGone { process, below });
            });
        }
    }

    fn control_events(&self, guards: Guards, all: &mut Successors) {
        for command in &self.waiting {
            self.push(all, format!("committed: {}", describe(command)), |next| {
                next.waiting.remove(command);
                next.commit(command, guards);
            });
        }
        for (place, (arrival, outcome)) in self.answers.iter().enumerate() {
            let event = format!("arrival {}: answer {outcome:?}", arrival + 1);
            self.push(all, event, |next| {
                next.answers.remove(place);
                next.answer(*arrival, outcome, guards);
            });
        }
        if self.clocks > 0 {
            let event = "time passes, longer than settled claims are kept".to_owned();
            self.push(all, event, Self::clock);
        }
        let held = self.table.get(&key());
        let running = held.filter(|held| held.state == claim_table::ClaimState::Running);
        if let Some(held) = running.filter(|_| !guards.no_expiry) {
            let holder = held.holder.clone();
            self.push(all, "a running claim times out".to_owned(), |next| {
                next.settle_holder(holder, End::NotRun);
            });
        }
    }
}

fn describe(command: &Command) -> String {
    match command {
        Command::Claim(arrival) => format!("claim of arrival {}", arrival + 1),
        Command::Settle(arrival, end) => format!("arrival {} ended as {end:?}", arrival + 1),
        Command::HolderGone { process, below } => {
            format!("{} is gone below incarnation {below}", vm(*process))
        }
    }
}

impl explore::Spec for Claims {
    type State = State;
    type Event = Event;

    fn start(&self) -> State {
        State {
            table: claim_table::ClaimTable::new(claim_table::Limits::default()),
            waiting: collections::BTreeSet::new(),
            answers: Vec::new(),
            arrivals: Vec::new(),
            incarnations: [1, 1],
            runs: 0,
            crashes: 1,
            declared_dead: 1,
            resends: 1,
            clocks: 1,
        }
    }

    fn next(&self, state: &State) -> Successors {
        let mut all = Vec::new();
        for number in 0..state.arrivals.len() {
            state.arrival_events(number, self.guards, &mut all);
        }
        for process in 0..state.incarnations.len() {
            state.process_events(process, *self, &mut all);
        }
        state.control_events(self.guards, &mut all);
        all
    }

    fn violation(&self, state: &State) -> Option<String> {
        if state.runs > 1 {
            return Some(format!("the request ran {} times", state.runs));
        }
        let wrong = |it: &Arrival| it.told_not_run && it.ran;
        let arrival = state.arrivals.iter().position(wrong)?;
        Some(format!(
            "arrival {} ran, and its caller was told not run",
            arrival + 1
        ))
    }
}
