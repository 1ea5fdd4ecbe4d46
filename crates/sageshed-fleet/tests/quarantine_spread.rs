//! How fast entry processes learn of a request under which endpoints end, while processes are started anew and calls
//! between them are lost.

use sageshed_fleet::quarantine::{
    CRASH_LIMIT, Crash, Cursor, Fingerprint, PeerSync, Quarantine, QuarantinedRequest, SyncScope,
};
use sageshed_types::time::{Instant, Millis};

/// The request that ends each endpoint that runs it.
const CAUSE: Fingerprint = Fingerprint(1);

/// An entry process counts as in touch once it has run for this long, and all control processes too.
const IN_TOUCH_AFTER: u64 = 3_000;

/// How often the request may reach an endpoint, by processes in touch, later than that after its third end.
const MOST_AFTER: usize = 3;

/// Seeds of each case. Sixty were run by hand.
const SEEDS: u64 = 8;

/// One step of the clock, in milliseconds: the way between two processes and back, and its pauses.
const STEP: u64 = 20;

/// Between two calls of an entry process to the control process that it tells, in milliseconds.
const TELLS_EVERY: u64 = 260;

/// The same to its other two.
const LISTENS_EVERY: u64 = 840;

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
    link: PeerSync,
}

/// Entry processes, control processes and the log of these, in virtual time.
struct World {
    now: u64,
    draws: u64,
    starts: u64,
    entries: Vec<(Process, Vec<Watch>)>,
    control: Vec<Process>,
    /// How far each control process knows each other one.
    known: Vec<Vec<Cursor>>,
    log: Vec<QuarantinedRequest>,
    /// Ends of endpoints, and arrivals at them by processes in touch.
    ends: Vec<u64>,
    arrivals: Vec<u64>,
    /// Of a hundred calls, so many are lost.
    lost: u64,
}

impl World {
    fn new(seed: u64, entries: usize, lost: u64) -> Self {
        let mut world = Self {
            now: 0,
            draws: seed,
            starts: 0,
            entries: Vec::new(),
            control: Vec::new(),
            known: vec![vec![Cursor::default(); 5]; 5],
            log: Vec::new(),
            ends: Vec::new(),
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

    /// Below `limit`, by a linear congruential generator.
    fn draw(&mut self, limit: u64) -> u64 {
        self.draws = self
            .draws
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.draws >> 33) % limit
    }

    /// One of `count` processes.
    fn pick(&mut self, count: usize) -> usize {
        let drawn = self.draw(count as u64);
        usize::try_from(drawn).expect("below the count")
    }

    fn start(&mut self) -> Process {
        self.starts += 1;
        Process::start(self.starts, self.now)
    }

    fn start_entry(&mut self) -> (Process, Vec<Watch>) {
        let process = self.start();
        let first = self.pick(5);
        let links = (0..3).map(|at| Watch {
            to: (first + at) % 5,
            every: if at == 0 { TELLS_EVERY } else { LISTENS_EVERY },
            next: self.now,
            link: PeerSync::default(),
        });
        (process, links.collect())
    }

    fn instant(&self) -> Instant {
        Instant(self.now)
    }

    fn is_in_touch(&self, entry: usize) -> bool {
        let since = |it: &Process| self.now - it.started;
        let control = self.control.iter().map(since).min().unwrap_or(0);
        since(&self.entries[entry].0).min(control) >= IN_TOUCH_AFTER
    }

    /// Entry processes call those that are due, or have something for them.
    fn call_control(&mut self) {
        let now = self.instant();
        for at in 0..self.entries.len() {
            for link in 0..3 {
                let is_lost = self.draw(100) < self.lost;
                let (process, links) = &mut self.entries[at];
                let watch = &mut links[link];
                let control = &mut self.control[watch.to].quarantine;
                let has_news = control.has_news(watch.link.received, SyncScope::Held);
                if self.now < watch.next && !has_news {
                    continue;
                }
                watch.next = self.now + watch.every;
                if is_lost {
                    continue;
                }
                let told = process.quarantine.cursor();
                let crashes = process
                    .quarantine
                    .since(now, watch.link.sent, SyncScope::All);
                control.merge_all(now, &crashes);
                let answer = control.since(now, watch.link.received, SyncScope::Held);
                watch.link.record_exchange(told, control.cursor());
                process.quarantine.merge_all(now, &answer);
            }
        }
    }

    /// Control processes tell each other what is new.
    fn call_among_control(&mut self) {
        let now = self.instant();
        for to in 0..5 {
            for from in (0..5).filter(|from| *from != to) {
                if self.draw(100) < self.lost {
                    continue;
                }
                let source = &self.control[from].quarantine;
                let news = source.since(now, self.known[to][from], SyncScope::All);
                self.known[to][from] = source.cursor();
                self.control[to].quarantine.merge_all(now, &news);
            }
        }
    }

    /// The first control process leads, and has the log hold what it knows.
    fn keep(&mut self) {
        let now = self.instant();
        self.log = self.control[0].quarantine.held(now);
    }

    /// A try of the caller reaches an entry process, which passes it on to two endpoints.
    fn try_at(&mut self, entry: usize) {
        let now = self.instant();
        let in_touch = self.is_in_touch(entry);
        for _ in 0..2 {
            let quarantine = &mut self.entries[entry].0.quarantine;
            if quarantine.held_for(now, CAUSE).is_some() {
                return;
            }
            self.ends.push(self.now);
            let crash = Crash {
                content: CAUSE,
                endpoint: self.ends.len() as u64,
                age: Millis(0),
                is_cleared: false,
            };
            quarantine.merge(now, &crash);
            if in_touch {
                self.arrivals.push(self.now);
            }
        }
    }

    /// A process is killed and started anew. A control process has what the log holds.
    fn restart_one(&mut self) {
        let now = self.instant();
        if self.draw(10) == 0 {
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

    /// Arrivals by processes in touch, later than the bound after the third end.
    fn too_late(&self) -> usize {
        let Some(third) = self.ends.get(CRASH_LIMIT - 1) else {
            return 0;
        };
        let late = self.arrivals.iter();
        late.filter(|at| **at > third + IN_TOUCH_AFTER).count()
    }
}

/// A size of the system and what goes wrong in it.
struct Case {
    name: &'static str,
    entries: usize,
    lost: u64,
    /// Restarts of one process in a minute.
    restarts: u64,
    /// Whether all lose their power half way.
    all: bool,
    /// Between two tries of the caller, in milliseconds at the mean. One that comes seldom finds processes that had
    /// the time to be in touch again, and to forget.
    gap: u64,
}

/// The caller sends its request for a minute, to any entry process, whichever were started anew.
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
        case("calm", 7, 0, 0, false, 200),
        case("calm, seldom", 7, 0, 0, false, 4_000),
        case("many entry processes", 195, 0, 0, false, 200),
        case("many entry processes, seldom", 195, 0, 0, false, 4_000),
        case("lossy", 7, 10, 0, false, 1_500),
        case("restarts", 7, 10, 30, false, 1_500),
        case("restarts of many", 195, 10, 60, false, 1_500),
        case("all lose their power", 7, 0, 0, true, 4_000),
        case("all that", 40, 10, 20, true, 1_500),
    ];
    for case in &cases {
        for seed in 0..SEEDS {
            let mut world = World::new(seed, case.entries, case.lost);
            while world.now < 60_000 {
                world.now += STEP;
                world.call_control();
                world.call_among_control();
                world.keep();
                let draw = world.draw(60_000 / STEP);
                if draw < case.restarts {
                    world.restart_one();
                }
                if case.all && world.now == 30_000 {
                    world.restart_all();
                }
                if world.draw(case.gap / STEP) == 0 {
                    let entry = world.pick(case.entries);
                    world.try_at(entry);
                }
            }
            let late = world.too_late();
            let ends = world.ends.len();
            assert!(
                late <= MOST_AFTER,
                "{}, seed {seed}: {late} of {ends} ends",
                case.name
            );
        }
    }
}
