//! A simulation, in virtual time, of entry processes that spend allowances together. It runs the shipped
//! code on a network that delays and loses datagrams and is partitioned, with processes that are suspended
//! and killed.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap, HashSet, VecDeque},
    net::Ipv4Addr,
};

use sageshed_fleet::allowance::{
    AcquireRequest, Acquisition, AllowanceTable, CollectReply, CollectRequest, Key, Next,
    RateLimit, ReportedLimit,
};
use sageshed_types::time::{Instant, Millis};

/// How long an entry process waits for a reply, in milliseconds, as in the gateway.
const REPLY_TIMEOUT: u64 = 25;

/// Interval between two ticks of a process, in milliseconds, as in the gateway.
const TICK: u64 = 100;

#[derive(Debug, Clone)]
enum Message {
    Acquire(AcquireRequest),
    Acquired(u64, sageshed_fleet::allowance::AcquireReply),
    Collect(CollectRequest),
    Collected(CollectReply),
}

#[derive(Debug, Clone)]
enum Event {
    /// A caller requests units at an entry process.
    Arrive {
        entry: usize,
        of: Key,
        amount: f64,
    },
    Deliver {
        to: usize,
        from: usize,
        message: Message,
    },
    /// A request is sent to a coordinator.
    Ask {
        request: usize,
        coordinator: usize,
    },
    /// The reply to a request may be overdue.
    Late {
        request: usize,
        round: u32,
    },
    Tick {
        entry: usize,
    },
}

struct Request {
    entry: usize,
    of: Key,
    amount: f64,
    id: u64,
    acquisition: Acquisition,
    round: u32,
    began: u64,
}

/// Results of the requests for one allowance.
#[derive(Debug, Default, Clone)]
pub struct Outcome {
    /// When units were granted, and how many.
    pub granted: Vec<(u64, f64)>,
    /// When units were requested, and how many.
    pub asked: Vec<(u64, f64)>,
    /// Requests for which no coordinator responded.
    pub failed: usize,
    /// Milliseconds between each request and its reply.
    pub waits: Vec<u64>,
}

pub struct World {
    now: u64,
    pub rng: fastrand::Rng,
    tables: Vec<AllowanceTable>,
    /// Suspended processes, with the events that have arrived for them since.
    suspended: HashMap<usize, Vec<Event>>,
    /// The side of the partition that each process is on.
    pub side: Vec<u8>,
    /// Processes that control can't reach, though other processes may.
    pub unreachable_from_control: HashSet<usize>,
    /// The entry processes that control lists.
    listed: Vec<usize>,
    /// Datagrams of a thousand that are lost.
    pub lost: u64,
    limits: Vec<(Key, RateLimit)>,
    /// Limits that are not configured but were reported to a process, and when.
    reported: HashMap<(usize, Key), (RateLimit, u64)>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
    count: u64,
    requests: Vec<Request>,
    waiting: HashMap<(usize, u64), usize>,
    pub outcomes: BTreeMap<Key, Outcome>,
    /// Datagrams and bytes that each process has sent.
    pub sent: Vec<(u64, u64)>,
}

fn ip(entry: usize) -> Ipv4Addr {
    Ipv4Addr::from(0x0a00_0001 + u32::try_from(entry).expect("few"))
}

fn entry(ip: Ipv4Addr) -> usize {
    usize::try_from(u32::from(ip) - 0x0a00_0001).expect("few")
}

impl World {
    /// Creates processes that have known each other for a while.
    pub fn new(seed: u64, entries: usize, limits: Vec<(Key, RateLimit)>) -> Self {
        let mut world = Self {
            now: 0,
            rng: fastrand::Rng::with_seed(seed),
            tables: Vec::new(),
            suspended: HashMap::new(),
            side: vec![0; entries],
            unreachable_from_control: HashSet::new(),
            listed: (0..entries).collect(),
            lost: 0,
            limits,
            reported: HashMap::new(),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            count: 0,
            requests: Vec::new(),
            waiting: HashMap::new(),
            outcomes: BTreeMap::new(),
            sent: vec![(0, 0); entries],
        };
        for at in 0..entries {
            let table = world.start(at);
            world.tables.push(table);
            let first = world.rng.u64(0..TICK);
            world.push(first, Event::Tick { entry: at });
        }
        world.list(&(0..entries).collect::<Vec<_>>());
        world
    }

    fn start(&mut self, at: usize) -> AllowanceTable {
        let mut table = AllowanceTable::new(ip(at), self.rng.u64(..) >> 8);
        table.set_limits(self.limits.clone());
        table
    }

    /// Sends a list of entry processes to all processes that control reaches, and later to the others when
    /// it reaches them.
    pub fn list(&mut self, entries: &[usize]) {
        self.listed = entries.to_vec();
        for at in 0..self.tables.len() {
            if self.is_reachable_from_control(at) {
                self.set_list(at, entries);
            }
        }
    }

    /// Whether control reaches a process: it has to be on the main side of the partition.
    fn is_reachable_from_control(&self, at: usize) -> bool {
        self.side[at] == 0 && !self.unreachable_from_control.contains(&at)
    }

    /// Sends a list of entry processes to one process.
    pub fn set_list(&mut self, at: usize, entries: &[usize]) {
        let list: Vec<_> = entries.iter().map(|it| ip(*it)).collect();
        self.tables[at].set_entries(Instant(self.now), &list);
    }

    /// Puts another configuration into force on all processes.
    pub fn set_limits(&mut self, limits: Vec<(Key, RateLimit)>) {
        self.limits = limits;
        for table in &mut self.tables {
            table.set_limits(self.limits.clone());
        }
    }

    /// Reports a limit of an endpoint to a process.
    pub fn report_limit(&mut self, at: usize, of: Key, limit: RateLimit) {
        self.reported.insert((at, of), (limit, self.now));
    }

    /// Kills a process and restarts it at once, with nothing but the list that control sends.
    pub fn restart(&mut self, at: usize) {
        self.tables[at] = self.start(at);
        if self.is_reachable_from_control(at) {
            let listed = self.listed.clone();
            self.set_list(at, &listed);
        }
        self.waiting.retain(|(entry, _), _| *entry != at);
    }

    /// Suspends a process; the events that arrive for it are delivered when it resumes.
    pub fn suspend(&mut self, at: usize) {
        self.suspended.insert(at, Vec::new());
    }

    pub fn resume(&mut self, at: usize) {
        for event in self.suspended.remove(&at).unwrap_or_default() {
            self.push(0, event);
        }
    }

    /// The process that is asked first for an allowance.
    pub fn coordinator(&mut self, of: Key) -> usize {
        let now = Instant(self.now);
        let mut fresh = self.start(0);
        let everybody: Vec<_> = (0..self.tables.len()).map(ip).collect();
        fresh.set_entries(now, &everybody);
        match fresh.acquisition(now, of).begin() {
            Next::Ask(coordinator, _) => entry(coordinator),
            other => panic!("not a coordinator: {other:?}"),
        }
    }

    pub fn now(&self) -> u64 {
        self.now
    }

    fn push(&mut self, after: u64, event: Event) {
        self.count += 1;
        self.events.insert(self.count, event);
        self.queue.push(Reverse((self.now + after, self.count)));
    }

    /// Has a caller request units at `entry`, so many milliseconds from now.
    pub fn ask(&mut self, after: u64, entry: usize, of: Key, amount: f64) {
        self.push(after, Event::Arrive { entry, of, amount });
    }

    /// Runs the simulation for so many milliseconds.
    pub fn run(&mut self, span: u64) {
        let until = self.now + span;
        while let Some(Reverse((at, number))) = self.queue.peek().copied() {
            if at > until {
                break;
            }
            self.queue.pop();
            self.now = at;
            let event = self.events.remove(&number).expect("it was pushed");
            self.step(event);
        }
        self.now = until;
    }

    fn step(&mut self, event: Event) {
        let of = match &event {
            Event::Arrive { entry, .. } | Event::Tick { entry } => *entry,
            Event::Deliver { to, .. } => *to,
            Event::Ask { request, .. } | Event::Late { request, .. } => {
                self.requests[*request].entry
            }
        };
        if let Some(pending) = self.suspended.get_mut(&of) {
            return pending.push(event);
        }
        match event {
            Event::Arrive { entry, of, amount } => self.arrive(entry, of, amount),
            Event::Tick { entry } => self.tick(entry),
            Event::Deliver { to, from, message } => self.deliver(to, from, message),
            Event::Ask {
                request,
                coordinator,
            } => self.send_request(request, coordinator),
            Event::Late { request, round } => self.late(request, round),
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let bytes = match &message {
            Message::Acquire(message) if message.reported.is_some() => 140,
            Message::Acquire(_) => 110,
            Message::Acquired(..) => 70,
            Message::Collect(collect) => 50 + 9 * collect.of.len() + 36 * collect.reported.len(),
            Message::Collected(reply) => 50 + 19 * reply.units.len(),
        };
        self.sent[from].0 += 1;
        self.sent[from].1 += bytes as u64;
        let is_partitioned = self.side[from] != self.side[to];
        if is_partitioned || self.rng.u64(0..1_000) < self.lost {
            return;
        }
        let after = self.rng.u64(1..4);
        self.push(after, Event::Deliver { to, from, message });
    }

    fn send_collections(&mut self, from: usize, collections: Vec<(CollectRequest, Vec<Ipv4Addr>)>) {
        for (collect, group) in collections {
            for to in group {
                self.send(from, entry(to), Message::Collect(collect.clone()));
            }
        }
    }

    fn tick(&mut self, at: usize) {
        if self.is_reachable_from_control(at) {
            self.tables[at].heard_control(Instant(self.now));
        }
        let collections = self.tables[at].tick(Instant(self.now));
        self.send_collections(at, collections);
        self.push(TICK, Event::Tick { entry: at });
    }

    fn arrive(&mut self, entry: usize, of: Key, amount: f64) {
        let now = Instant(self.now);
        let outcome = self.outcomes.entry(of).or_default();
        outcome.asked.push((self.now, amount));
        let mut acquisition = self.tables[entry].acquisition(now, of);
        let next = acquisition.begin();
        let id = self.tables[entry].next_id();
        self.requests.push(Request {
            entry,
            of,
            amount,
            id,
            acquisition,
            round: 0,
            began: self.now,
        });
        self.advance(self.requests.len() - 1, next);
    }

    fn advance(&mut self, request: usize, next: Next) {
        let (of, began) = (self.requests[request].of, self.requests[request].began);
        let (amount, now) = (self.requests[request].amount, self.now);
        let outcome = self.outcomes.entry(of).or_default();
        match next {
            Next::Ask(coordinator, after) => {
                let coordinator = entry(coordinator);
                self.push(
                    after.0,
                    Event::Ask {
                        request,
                        coordinator,
                    },
                );
                return;
            }
            Next::Granted => outcome.granted.push((now, amount)),
            Next::Over(_) => {}
            Next::Unreachable => outcome.failed += 1,
        }
        outcome.waits.push(now - began);
    }

    fn send_request(&mut self, request: usize, coordinator: usize) {
        let asked = &mut self.requests[request];
        asked.round += 1;
        let (from, round) = (asked.entry, asked.round);
        let reported = self.reported.get(&(from, asked.of));
        let message = AcquireRequest {
            id: asked.id,
            of: asked.of,
            amount: asked.amount,
            returned: 0.0,
            rank: 0,
            reported: reported.map(|(limit, reported_at)| ReportedLimit {
                limit: *limit,
                age: Millis(self.now - reported_at),
            }),
        };
        if coordinator == from {
            let reply = self.reply(from, from, &message);
            let next = self.requests[request].acquisition.replied(reply);
            return self.advance(request, next);
        }
        self.waiting.insert((from, message.id), request);
        self.send(from, coordinator, Message::Acquire(message));
        self.push(REPLY_TIMEOUT, Event::Late { request, round });
    }

    fn reply(
        &mut self,
        at: usize,
        from: usize,
        message: &AcquireRequest,
    ) -> sageshed_fleet::allowance::AcquireReply {
        let now = Instant(self.now);
        let reply = self.tables[at].acquire(now, ip(from), message);
        self.send_collections(at, reply.collection.into_iter().collect());
        reply.reply
    }

    fn late(&mut self, request: usize, round: u32) {
        let asked = &mut self.requests[request];
        if asked.round != round || self.waiting.remove(&(asked.entry, asked.id)).is_none() {
            return;
        }
        let entry = asked.entry;
        let (next, lost) = asked.acquisition.timed_out();
        if let Some(lost) = lost {
            self.tables[entry].mark_unresponsive(Instant(self.now), lost);
        }
        self.advance(request, next);
    }

    fn deliver(&mut self, to: usize, from: usize, message: Message) {
        let now = Instant(self.now);
        match message {
            Message::Acquire(message) => {
                let reply = self.reply(to, from, &message);
                self.send(to, from, Message::Acquired(message.id, reply));
            }
            Message::Acquired(id, reply) => {
                let Some(request) = self.waiting.remove(&(to, id)) else {
                    return;
                };
                let next = self.requests[request].acquisition.replied(reply);
                self.advance(request, next);
            }
            Message::Collect(collect) => {
                let reply = self.tables[to].release_share(now, &collect);
                self.send(to, from, Message::Collected(reply));
            }
            Message::Collected(reply) => self.tables[to].add_collected(now, ip(from), &reply),
        }
    }
}

impl Outcome {
    /// The most that was granted in any window of so many milliseconds.
    pub fn most_in(&self, span: u64) -> f64 {
        let mut window: VecDeque<(u64, f64)> = VecDeque::new();
        let (mut sum, mut most) = (0.0, 0.0_f64);
        for (at, amount) in &self.granted {
            window.push_back((*at, *amount));
            sum += amount;
            while window.front().is_some_and(|(first, _)| at - first >= span) {
                sum -= window.pop_front().map_or(0.0, |(_, amount)| amount);
            }
            most = most.max(sum);
        }
        most
    }

    /// What a single bucket with this limit, visible to all processes, would have granted from `since` on,
    /// and what was granted.
    pub fn compare_with_one_bucket(&self, limit: &RateLimit, since: u64) -> (f64, f64) {
        let (mut level, mut at, mut ideal) = (limit.burst, 0, 0.0);
        for (now, amount) in &self.asked {
            level = (level + limit.accrued(Millis(now - at))).min(limit.burst.max(0.0));
            at = *now;
            // As in the shipped bucket, a full one grants an amount that is larger than itself.
            if level > 0.0 && level >= amount.min(limit.burst) {
                level -= amount;
                if *now >= since {
                    ideal += amount;
                }
            }
        }
        let granted = self.granted.iter().filter(|(at, _)| *at >= since);
        (ideal, granted.map(|(_, amount)| amount).sum())
    }

    /// The wait that this share of the requests did not exceed.
    pub fn wait(&self, part: f64) -> u64 {
        let mut waits = self.waits.clone();
        waits.sort_unstable();
        let last = waits.len().saturating_sub(1) as f64;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "an index"
        )]
        let at = (last * part) as usize;
        waits.get(at).copied().unwrap_or_default()
    }
}

/// A random sample of the processes.
pub fn sample(rng: &mut fastrand::Rng, count: usize, of: usize) -> HashSet<usize> {
    rng.choose_multiple(0..of, count).into_iter().collect()
}
