//! How fast entry processes learn of a request that crashes endpoints, while processes are restarted and
//! calls between them are lost.

use sageshed_fleet::quarantine::{
    CRASH_LIMIT, Crash, Cursor, Fingerprint, PeerSync, Quarantine, QuarantinedRequest, SyncScope,
};
use sageshed_types::time::{Instant, Millis};

/// What crashes each endpoint that runs it, and the crashes after which processes have to learn of it.
#[derive(Debug, Clone, Copy)]
struct Poison {
    fingerprint: Fingerprint,
    known_after: usize,
}

/// A request that is sent again and again, and a part of prompts that are all different.
fn poisons() -> [Poison; 2] {
    [
        Poison {
            fingerprint: Fingerprint::of_request(1),
            known_after: CRASH_LIMIT,
        },
        Poison {
            fingerprint: Fingerprint::of_prompt_part(1),
            known_after: 5,
        },
    ]
}

/// An entry process counts as in contact once it has run for this long, and all control processes too, in
/// milliseconds.
const CONTACT_AFTER: u64 = 3_000;

/// How often processes in contact may still send it to an endpoint later than [`CONTACT_AFTER`] after the crash that
/// makes it known.
const MAX_LATE_ATTEMPTS: usize = 3;

/// Seeds of each case.
const SEEDS: u64 = 8;

/// Step of the clock in milliseconds: a round trip between two processes, with its delays.
const STEP: u64 = 20;

/// Interval between calls of an entry process to the control process that it reports to, in milliseconds.
const REPORT_INTERVAL: u64 = 260;

/// The same for the other two control processes.
const POLL_INTERVAL: u64 = 840;

/// A process and when it was started.
struct Process {
    quarantine: Quarantine,
    started: u64,
}

impl Process {
    fn start(number: u64, now: u64) -> Self {
        Self {
            quarantine: Quarantine::new(number),
            started: now,
        }
    }
}

/// An entry process's link to a control process.
struct Watch {
    to: usize,
    every: u64,
    next: u64,
    sync: PeerSync,
}

/// A simulation, in virtual time, of entry processes, control processes and the log of these.
struct World {
    poison: Poison,
    now: u64,
    rng_state: u64,
    starts: u64,
    entries: Vec<(Process, Vec<Watch>)>,
    control: Vec<Process>,
    /// How far each control process knows the evidence of each other one.
    known: Vec<Vec<Cursor>>,
    log: Vec<QuarantinedRequest>,
    /// When endpoints crashed, and when processes in contact sent the request to one.
    crashes: Vec<u64>,
    arrivals: Vec<u64>,
    /// Calls of a hundred that are lost.
    lost: u64,
}

impl World {
    fn new(poison: Poison, seed: u64, entries: usize, lost: u64) -> Self {
        let mut world = Self {
            poison,
            now: 0,
            rng_state: seed,
            starts: 0,
            entries: Vec::new(),
            control: Vec::new(),
            known: vec![vec![Cursor::default(); 5]; 5],
            log: Vec::new(),
            crashes: Vec::new(),
            arrivals: Vec::new(),
            lost,
        };
        for _ in 0..5 {
            let process = world.start();
            world.control.push(process);
        }
        for _ in 0..entries {
            let entry = world.start_entry();
            world.entries.push(entry);
        }
        world
    }

    /// A random number below `limit`, by a linear congruential generator.
    fn random(&mut self, limit: u64) -> u64 {
        self.rng_state = self
            .rng_state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.rng_state >> 33) % limit
    }

    /// The index of one of `count` processes.
    fn pick(&mut self, count: usize) -> usize {
        let index = self.random(count as u64);
        usize::try_from(index).expect("below the count")
    }

    fn start(&mut self) -> Process {
        self.starts += 1;
        Process::start(self.starts, self.now)
    }

    fn start_entry(&mut self) -> (Process, Vec<Watch>) {
        let process = self.start();
        let first = self.pick(5);
        let watches = (0..3).map(|at| Watch {
            to: (first + at) % 5,
            every: if at == 0 {
                REPORT_INTERVAL
            } else {
                POLL_INTERVAL
            },
            next: self.now,
            sync: PeerSync::default(),
        });
        (process, watches.collect())
    }

    fn instant(&self) -> Instant {
        Instant(self.now)
    }

    fn is_in_contact(&self, entry: usize) -> bool {
        let since = |it: &Process| self.now - it.started;
        let control = self.control.iter().map(since).min().unwrap_or(0);
        since(&self.entries[entry].0).min(control) >= CONTACT_AFTER
    }

    /// Entry processes call control when they are due or there is something for them.
    fn call_control(&mut self) {
        let now = self.instant();
        for at in 0..self.entries.len() {
            for number in 0..3 {
                let is_lost = self.random(100) < self.lost;
                let (process, watches) = &mut self.entries[at];
                let watch = &mut watches[number];
                let control = &mut self.control[watch.to].quarantine;
                let has_news = control.has_news(watch.sync.received, SyncScope::Quarantined);
                if self.now < watch.next && !has_news {
                    continue;
                }
                watch.next = self.now + watch.every;
                if is_lost {
                    continue;
                }
                let sent = process.quarantine.cursor();
                let crashes = process
                    .quarantine
                    .since(now, watch.sync.sent, SyncScope::All);
                control.merge_all(now, &crashes);
                let answer = control.since(now, watch.sync.received, SyncScope::Quarantined);
                watch.sync.record_exchange(sent, control.cursor());
                process.quarantine.merge_all(now, &answer);
            }
        }
    }

    /// Control processes exchange what is new.
    fn sync_control(&mut self) {
        let now = self.instant();
        for to in 0..5 {
            for from in (0..5).filter(|from| *from != to) {
                if self.random(100) < self.lost {
                    continue;
                }
                let source = &self.control[from].quarantine;
                let news = source.since(now, self.known[to][from], SyncScope::All);
                self.known[to][from] = source.cursor();
                self.control[to].quarantine.merge_all(now, &news);
            }
        }
    }

    /// The first control process is the leader and persists in the log what it knows.
    fn persist(&mut self) {
        let now = self.instant();
        self.log = self.control[0].quarantine.quarantined(now);
    }

    /// An attempt of the caller arrives at an entry process, which sends it to two endpoints.
    fn attempt_at(&mut self, entry: usize) {
        let now = self.instant();
        let is_in_contact = self.is_in_contact(entry);
        for _ in 0..2 {
            let quarantine = &mut self.entries[entry].0.quarantine;
            if quarantine
                .quarantined_for(now, self.poison.fingerprint)
                .is_some()
            {
                return;
            }
            self.crashes.push(self.now);
            let crash = Crash {
                content: self.poison.fingerprint,
                endpoint: self.crashes.len() as u64,
                age: Millis(0),
                is_cleared: false,
            };
            quarantine.merge(now, &crash);
            if is_in_contact {
                self.arrivals.push(self.now);
            }
        }
    }

    /// A process is killed and restarted. A control process restores what the log holds.
    fn restart_one(&mut self) {
        let now = self.instant();
        if self.random(10) == 0 {
            let at = self.pick(5);
            let mut process = self.start();
            process.quarantine.restore(now, &self.log);
            self.control[at] = process;
            self.known[at] = vec![Cursor::default(); 5];
        } else {
            let at = self.pick(self.entries.len());
            self.entries[at] = self.start_entry();
        }
    }

    /// All processes lose their power at once.
    fn restart_all(&mut self) {
        let now = self.instant();
        for at in 0..5 {
            let mut process = self.start();
            process.quarantine.restore(now, &self.log);
            self.control[at] = process;
        }
        self.known = vec![vec![Cursor::default(); 5]; 5];
        for at in 0..self.entries.len() {
            self.entries[at] = self.start_entry();
        }
    }

    /// Attempts through processes in contact that came too late after the crash that makes it known.
    fn late_attempts(&self) -> usize {
        let Some(known_at) = self.crashes.get(self.poison.known_after - 1) else {
            return 0;
        };
        let late = self.arrivals.iter();
        late.filter(|at| **at > known_at + CONTACT_AFTER).count()
    }
}

/// A size of the system, and the faults in it.
struct Case {
    name: &'static str,
    entries: usize,
    lost: u64,
    /// Restarts of one process per minute.
    restarts: u64,
    /// Whether all processes lose their power halfway through.
    all: bool,
    /// Mean time between two attempts of the caller in milliseconds. With rare attempts, processes have the
    /// time to be in contact again, and to forget.
    gap: u64,
}

/// The caller sends its request for a minute, to any entry process, whichever processes are restarted.
#[test]
fn entry_processes_learn_in_time_whatever_is_restarted() {
    let case = |name, entries, lost, restarts, all, gap| Case {
        name,
        entries,
        lost,
        restarts,
        all,
        gap,
    };
    let cases = [
        case("no faults", 7, 0, 0, false, 200),
        case("no faults, rare attempts", 7, 0, 0, false, 4_000),
        case("many entry processes", 195, 0, 0, false, 200),
        case(
            "many entry processes, rare attempts",
            195,
            0,
            0,
            false,
            4_000,
        ),
        case("lossy", 7, 10, 0, false, 1_500),
        case("restarts", 7, 10, 30, false, 1_500),
        case("restarts of many", 195, 10, 60, false, 1_500),
        case("power loss", 7, 0, 0, true, 4_000),
        case("all faults together", 40, 10, 20, true, 1_500),
    ];
    for (case, poison) in cases
        .iter()
        .flat_map(|it| poisons().map(|poison| (it, poison)))
    {
        for seed in 0..SEEDS {
            let mut world = World::new(poison, seed, case.entries, case.lost);
            while world.now < 60_000 {
                world.now += STEP;
                world.call_control();
                world.sync_control();
                world.persist();
                let random = world.random(60_000 / STEP);
                if random < case.restarts {
                    world.restart_one();
                }
                if case.all && world.now == 30_000 {
                    world.restart_all();
                }
                if world.random(case.gap / STEP) == 0 {
                    let entry = world.pick(case.entries);
                    world.attempt_at(entry);
                }
            }
            let late = world.late_attempts();
            let crashes = world.crashes.len();
            assert!(
                late <= MAX_LATE_ATTEMPTS,
                "{}, {poison:?}, seed {seed}: {late} of {crashes} crashes",
                case.name
            );
        }
    }
}
