//! A network of entry processes in virtual time: coordinators that keep queues, holders of requests, and one engine
//! that runs a bounded number of requests. Links and processes can fail.

use std::{collections, net};

use sageshed_fleet::{
    chooser::Chooser,
    entry_peers::{self, RoutingDecision, RoutingQuery, RoutingReply},
    queue_coordinator::{Outgoing, Place, Placement, QueueCoordinator, QueueKey, QueuedQuery},
    queue_holder::{Action, GRANT_TTL, QueueHolder, Received},
    shared_queue::QueuePolicy,
};
use sageshed_types::time;

pub const ENGINE: u64 = 77;

/// How long a coordinator that did not reply is skipped.
const UNRESPONSIVE_MS: u64 = 1_000;

/// How long an observation counts, as in the chooser.
const OBSERVATION_TTL: time::Millis = time::Millis(900);

pub fn ip(last: u8) -> net::Ipv4Addr {
    net::Ipv4Addr::new(10, 0, 2, last)
}

pub fn query(request: u64, sent_at: time::Instant, abandoned_in: u64) -> RoutingQuery {
    RoutingQuery {
        id: request,
        request,
        service: super::ENGINES.to_owned(),
        model: "m0".to_owned(),
        adapter: None,
        parts: Vec::new(),
        prompt_tokens: 1_000,
        tried: Vec::new(),
        time_left: time::Millis(10_000),
        patience: time::Millis(300),
        time_until_late: time::Millis(600),
        may_be_late: true,
        software: None,
        queue: Some(entry_peers::QueueMembership {
            priority: 0,
            workspace: 0,
            weight: 1.0,
            content: 1,
            abandoned_in: time::Millis(abandoned_in),
            output_tokens: 10,
            sent_at,
        }),
    }
}

/// The engine as a coordinator knows it: by its own reservations and by what holders report.
#[derive(Debug)]
pub struct Slots {
    pub bound: usize,
    pub is_known: bool,
    running: collections::BTreeMap<net::Ipv4Addr, (usize, time::Instant)>,
    reserved: Vec<(net::Ipv4Addr, u64, time::Instant)>,
}

impl Slots {
    pub fn new(bound: usize) -> Self {
        Self {
            bound,
            is_known: true,
            running: collections::BTreeMap::new(),
            reserved: Vec::new(),
        }
    }

    fn observe(&mut self, now: time::Instant, from: net::Ipv4Addr, running: usize) {
        if let Some(at) = self.reserved.iter().position(|it| it.0 == from) {
            self.reserved.remove(at);
        }
        self.running.insert(from, (running, now));
    }
}

impl Placement for Slots {
    fn is_known(&self, _now: time::Instant, _query: &RoutingQuery) -> bool {
        self.is_known
    }

    fn place(
        &mut self,
        now: time::Instant,
        to: net::Ipv4Addr,
        queued: &QueuedQuery,
    ) -> Option<Place> {
        self.reserved.retain(|it| now.since(it.2) <= GRANT_TTL);
        self.running
            .retain(|_, it| now.since(it.1) < OBSERVATION_TTL);
        let running = self.running.values().map(|it| it.0);
        let taken = self.reserved.len() + running.sum::<usize>();
        let is_closed = queued.query.tried.contains(&ENGINE);
        (taken < self.bound && !is_closed).then(|| {
            self.reserved.push((to, queued.query.request, now));
            Place {
                endpoint: ENGINE,
                estimate: time::Millis(10),
                cached_tokens: 0,
            }
        })
    }

    fn work_us(&self, _query: &RoutingQuery) -> u64 {
        50_000
    }

    fn release(&mut self, to: net::Ipv4Addr, request: u64, _endpoint: u64) {
        self.reserved.retain(|it| (it.0, it.1) != (to, request));
    }

    fn serves(&self, endpoint: u64, _queue: &QueueKey) -> bool {
        endpoint == ENGINE
    }
}

#[derive(Debug, Clone)]
enum Message {
    Query(RoutingQuery),
    Reply(RoutingReply),
    Cancel(u64),
    Running(usize, Option<u64>),
}

#[derive(Debug)]
pub struct Coordinator {
    pub ip: net::Ipv4Addr,
    pub queues: QueueCoordinator,
    pub slots: Slots,
    pub is_dead: bool,
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    Waiting,
    Granted,
    OwnChoice,
    Refused,
    GivenUp,
}

/// A holder with one request.
#[derive(Debug)]
pub struct Holder {
    pub ip: net::Ipv4Addr,
    pub list: Vec<net::Ipv4Addr>,
    pub end: End,
    pub ended_at: time::Instant,
    pub is_dead: bool,
    request: u64,
    begins_at: time::Instant,
    pub abandoned_at: time::Instant,
    machine: QueueHolder,
    unresponsive: Vec<(net::Ipv4Addr, time::Instant)>,
    runs_until: Option<time::Instant>,
    inbox: Vec<(net::Ipv4Addr, RoutingReply)>,
}

/// Processes, their links and the virtual time.
#[derive(Debug)]
pub struct World {
    pub now: time::Instant,
    pub coordinators: Vec<Coordinator>,
    pub holders: Vec<Holder>,
    /// Processes that neither run nor read, until a time.
    pub frozen: collections::BTreeMap<net::Ipv4Addr, time::Instant>,
    /// Pairs of processes that don't hear each other.
    pub cut: Vec<(net::Ipv4Addr, net::Ipv4Addr)>,
    /// Out of 1,000 messages, so many are lost, and so many are sent twice, the second up to a second later.
    pub lost: u64,
    pub doubled: u64,
    pub messages: usize,
    pub most_running: usize,
    pub seed: u64,
    in_flight: Vec<(time::Instant, net::Ipv4Addr, net::Ipv4Addr, Message)>,
}

impl World {
    /// Two coordinators and an engine for `bound` requests, and `holders` whose requests arrive `apart` milliseconds
    /// from each other.
    pub fn new(bound: usize, holders: u8, apart: u64) -> Self {
        let coordinator = |last| Coordinator {
            ip: ip(last),
            queues: QueueCoordinator::new(QueuePolicy::default()),
            slots: Slots::new(bound),
            is_dead: false,
        };
        let holder = |number: u8| {
            let begins_at = time::Instant(100_000 + u64::from(number) * apart);
            Holder {
                ip: ip(100 + number),
                list: vec![ip(1), ip(2)],
                end: End::Waiting,
                ended_at: begins_at,
                is_dead: false,
                request: u64::from(number) + 1,
                begins_at,
                abandoned_at: begins_at + time::Millis(3_200),
                machine: QueueHolder::default(),
                unresponsive: Vec::new(),
                runs_until: None,
                inbox: Vec::new(),
            }
        };
        Self {
            now: time::Instant(100_000),
            coordinators: [1, 2, 3].map(coordinator).into(),
            holders: (0..holders).map(holder).collect(),
            frozen: collections::BTreeMap::new(),
            cut: Vec::new(),
            lost: 0,
            doubled: 0,
            messages: 0,
            most_running: 0,
            seed: 7,
            in_flight: Vec::new(),
        }
    }

    pub fn run(&mut self, ms: u64) {
        for _ in 0..ms {
            self.now = self.now + time::Millis(1);
            self.deliver();
            self.tick_coordinators();
            for at in 0..self.holders.len() {
                self.step(at);
            }
            let running = self.holders.iter().filter(|it| it.runs_until.is_some());
            self.most_running = self.most_running.max(running.count());
        }
    }

    pub fn count(&self, end: End) -> usize {
        self.holders.iter().filter(|it| it.end == end).count()
    }

    fn draw(&mut self, below: u64) -> u64 {
        let mut chooser = Chooser::new("", self.seed);
        self.seed = chooser.draw();
        self.seed % below
    }

    fn is_frozen(&self, it: net::Ipv4Addr) -> bool {
        self.frozen.get(&it).is_some_and(|until| self.now < *until)
    }

    fn send(&mut self, from: net::Ipv4Addr, to: net::Ipv4Addr, message: Message) {
        self.messages += 1;
        if self.draw(1_000) >= self.lost {
            let at = self.now + time::Millis(1);
            self.in_flight.push((at, from, to, message.clone()));
        }
        if self.draw(1_000) < self.doubled {
            let at = self.now + time::Millis(1 + self.draw(1_000));
            self.in_flight.push((at, from, to, message));
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.in_flight.extract_if(.., |it| it.0 <= now).collect();
        for (at, from, to, message) in due {
            if self.cut.contains(&(from, to)) || self.cut.contains(&(to, from)) {
                continue;
            }
            if self.is_frozen(to) {
                // Its socket keeps the datagram until the process runs again.
                self.in_flight.push((at, from, to, message));
                continue;
            }
            if let Message::Reply(reply) = message {
                let mut holders = self.holders.iter_mut();
                if let Some(holder) = holders.find(|it| it.ip == to) {
                    holder.inbox.push((from, reply));
                }
                continue;
            }
            let mut all = self.coordinators.iter_mut();
            let found = all.find(|it| it.ip == to && !it.is_dead);
            let Some(Coordinator { queues, slots, .. }) = found else {
                continue;
            };
            let replies = match message {
                Message::Query(query) => queues.query(now, from, query, slots).unwrap_or_default(),
                Message::Cancel(request) => queues.cancel(now, from, request, slots),
                Message::Running(running, granted) => {
                    slots.observe(now, from, running);
                    if let Some(request) = granted {
                        queues.record_sent(now, from, request);
                    }
                    queues.endpoint_changed(now, ENGINE, slots)
                }
                Message::Reply(_) => Vec::new(),
            };
            self.reply(to, replies);
        }
    }

    fn reply(&mut self, from: net::Ipv4Addr, replies: Vec<Outgoing>) {
        for outgoing in replies {
            self.send(from, outgoing.to, Message::Reply(outgoing.reply));
        }
    }

    fn tick_coordinators(&mut self) {
        for at in 0..self.coordinators.len() {
            let now = self.now;
            let from = self.coordinators[at].ip;
            if self.coordinators[at].is_dead || self.is_frozen(from) || !now.0.is_multiple_of(20) {
                continue;
            }
            let Coordinator { queues, slots, .. } = &mut self.coordinators[at];
            let replies = queues.advance(now, slots);
            self.reply(from, replies);
        }
    }

    fn step(&mut self, at: usize) {
        let now = self.now;
        let from = self.holders[at].ip;
        if self.holders[at].is_dead || self.is_frozen(from) || now < self.holders[at].begins_at {
            return;
        }
        let holder = &mut self.holders[at];
        if holder.runs_until.is_some_and(|until| now >= until) {
            holder.runs_until = None;
            self.report(at, 0, None);
        }
        let holder = &mut self.holders[at];
        for (from, reply) in std::mem::take(&mut holder.inbox) {
            if holder.end != End::Waiting {
                continue;
            }
            match holder.machine.receive(now, from, &reply) {
                Received::Decision(RoutingDecision::Engine { .. }) => {
                    return self.end(at, End::Granted, Some(from));
                }
                Received::Decision(RoutingDecision::Refuse { .. }) => {
                    return self.end(at, End::Refused, None);
                }
                Received::Decision(_) | Received::Ignored => {}
            }
        }
        if holder.end != End::Waiting {
            return;
        }
        if now >= holder.abandoned_at {
            return self.end(at, End::GivenUp, None);
        }
        if let Some(lost) = holder.machine.take_unanswered(now) {
            holder.unresponsive.push((lost, now));
        }
        holder
            .unresponsive
            .retain(|it| now.since(it.1).0 < UNRESPONSIVE_MS);
        let is_lost = |it: &net::Ipv4Addr| holder.unresponsive.iter().any(|(ip, _)| ip == it);
        let responsive: Vec<_> = holder
            .list
            .iter()
            .copied()
            .filter(|it| !is_lost(it))
            .collect();
        match holder.machine.next(now, &responsive) {
            Action::Query(to) => {
                let left = holder.abandoned_at.since(now).0;
                let message = Message::Query(query(holder.request, now, left));
                self.send(from, to, message);
            }
            Action::Decide => self.end(at, End::OwnChoice, None),
            Action::AwaitReply(_) | Action::AwaitGrant(_) | Action::Poll(_) => {}
        }
    }

    fn end(&mut self, at: usize, end: End, used: Option<net::Ipv4Addr>) {
        let now = self.now;
        let holder = &mut self.holders[at];
        assert_eq!(holder.end, End::Waiting, "a request ends once");
        (holder.end, holder.ended_at) = (end, now);
        let joined = holder.machine.leave(used);
        let (from, request) = (holder.ip, holder.request);
        for to in joined {
            self.send(from, to, Message::Cancel(request));
        }
        if matches!(end, End::Granted | End::OwnChoice) {
            self.holders[at].runs_until = Some(now + time::Millis(60));
            let granted = (end == End::Granted).then_some(request);
            self.report(at, 1, granted);
        }
    }

    /// Reports to all coordinators how many requests of a holder run.
    fn report(&mut self, at: usize, running: usize, granted: Option<u64>) {
        let from = self.holders[at].ip;
        for last in 1..=3 {
            self.send(from, ip(last), Message::Running(running, granted));
        }
    }
}
