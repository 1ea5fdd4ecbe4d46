//! Requests under which endpoints end, and which are therefore passed on no more.
//!
//! Some request makes each endpoint crash that runs it. Its caller, who has no answer, sends it again, under
//! another id and to another entry process. Passed on each time, it takes the whole pool down. So what ended
//! under which request is remembered by what the request asks ([`crate::fingerprint`]), not by its id, and by all
//! processes: an entry process tells control what it saw, control processes tell each other, and all entry
//! processes are told of a request under which [`ENDS`] starts of endpoints have ended. It is *held*: refused at
//! once, at every entry process, for [`KEPT`].
//!
//! # Evidence, and how it is merged
//!
//! A [`Crash`] says that one start of an endpoint ended while it ran one request. Evidence only grows: that a
//! crash happened, and that it is *cleared*, are facts that stay true, so processes merge what they hear in any
//! order, twice or late, and come to the same. A request is held while [`ENDS`] crashes under it are not cleared.
//!
//! # Those that ran beside it
//!
//! All requests that an endpoint ran end with it, and nobody sees which of them was the cause. One that is
//! answered whole afterwards, by any endpoint, was not: its crashes are cleared. That is so for most when they
//! are sent a second time. What many callers ask at the same time may run at three endpoints that end at once, as
//! with a rack; a process that has answered it within the last minute takes any crash under it for cleared, and
//! tells the others. So a bystander is held only if it was at three endpoints that ended, and came through nowhere.
//!
//! # Bounds
//!
//! Whoever sends requests can make entries here, at the cost of a crash for each batch that an endpoint runs.
//! [`MAX_REQUESTS`] are remembered; the one whose last crash is the oldest gives way, one that is not held
//! before one that is.

use std::{cmp, collections};

use sageshed_types::time;

pub use sageshed_types::{
    mark::Mark,
    quarantine::{Crash, Fingerprint, Held},
};

/// Starts of endpoints that end under a request until it is held. One end may be anybody's, and two happen to a
/// bystander that is sent a second time to the endpoint to which the cause went as well. Each more costs every
/// caller an endpoint for the seconds of its restart.
pub const ENDS: usize = 3;

/// How long a crash is remembered. Endpoints get new software in hours, not minutes, and callers who got no
/// answer come back for minutes; after it the cause costs three endpoints once more.
pub const KEPT: time::Millis = time::Millis(3_600_000);

/// Requests that are remembered at the most. One takes some 150 bytes: 1.2 MB in all, of the 160 MB of the
/// smallest VMs.
pub const MAX_REQUESTS: usize = 8_192;

/// Requests that give way at once where there is no room for one more.
const EVICTION_BATCH: usize = MAX_REQUESTS / 16;

/// Held requests that the control group keeps at the most: some 10 KB of its log for each change of them.
const MAX_PERSISTED: usize = 256;

/// Crashes that are remembered of one request: enough to stay held if all but three were cleared elsewhere.
const MAX_CRASHES: usize = 2 * ENDS;

/// For how long, at the least, what was answered is known to be sound; at the most for twice that. What is asked so
/// often that it runs at several endpoints at once is answered many times in it.
const SUCCESS_WINDOW: time::Millis = time::Millis(30_000);

/// What was answered in that time and is remembered: some 150 KB with the span before.
const MAX_SUCCESSES: usize = 4_096;

/// Between two looks for what is past [`KEPT`].
const SWEEP_INTERVAL: time::Millis = time::Millis(10_000);

/// What a peer is to be told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Telling {
    /// All crashes: it counts them together with those that others saw.
    All,
    /// Those under requests that are held, or were.
    Held,
}

/// What a piece of evidence changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Nothing: it was known, or is too old.
    None,
    /// It is new, and the request goes on as before.
    Noted,
    /// The request is held from now on.
    Held,
    /// The request is held no more.
    Released,
}

/// What several pieces of evidence changed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Taken {
    /// Whether there was anything new.
    pub is_news: bool,
    /// Requests that are held from now on.
    pub held: Vec<Fingerprint>,
    /// Requests that are held no more.
    pub released: Vec<Fingerprint>,
}

/// What the two ends of a link between processes know of each other's crashes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Link {
    /// Up to where those that the peer remembers are known here.
    pub read: Mark,
    /// Up to where the peer was told of those that this process remembers.
    pub told: Mark,
}

impl Link {
    /// The peer was told of crashes up to `told`, and has answered with its own mark. One that was started anew
    /// remembers nothing, whatever was told to the start before it, and is told all the next time.
    pub fn answered(&mut self, told: Mark, mark: Mark) {
        let is_known = mark.start == self.read.start;
        self.told = if is_known { told } else { Mark::default() };
        self.read = mark;
    }
}

/// What one process remembers.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    start: u64,
    change: u64,
    /// The change by which something of a held request was learnt last.
    held_change: u64,
    requests: collections::HashMap<Fingerprint, Suspect>,
    swept: time::Instant,
    recent_successes: RecentSuccesses,
}

/// What was answered whole lately, in two spans of which the older one is forgotten as a whole.
#[derive(Debug, Clone, Default)]
struct RecentSuccesses {
    current: collections::HashSet<Fingerprint>,
    previous: collections::HashSet<Fingerprint>,
    since: time::Instant,
}

impl RecentSuccesses {
    fn insert(&mut self, now: time::Instant, content: Fingerprint) {
        self.rotate(now);
        if self.current.len() < MAX_SUCCESSES {
            self.current.insert(content);
        }
    }

    fn contains(&mut self, now: time::Instant, content: Fingerprint) -> bool {
        self.rotate(now);
        self.current.contains(&content) || self.previous.contains(&content)
    }

    fn rotate(&mut self, now: time::Instant) {
        let spans = now.since(self.since).0 / SUCCESS_WINDOW.0;
        if spans == 0 {
            return;
        }
        self.since = now;
        self.previous = std::mem::take(&mut self.current);
        if spans > 1 {
            self.previous.clear();
        }
    }
}

/// A request under which endpoints ended.
#[derive(Debug, Clone, Default)]
struct Suspect {
    crashes: Vec<KnownCrash>,
    /// It is held, or was: entry processes were told of it.
    was_held: bool,
}

#[derive(Debug, Clone, Copy)]
struct KnownCrash {
    endpoint: u64,
    /// When it is forgotten. It may have happened before this process started, so that its clock has no
    /// reading for that.
    expires_at: time::Instant,
    is_cleared: bool,
    /// By which change it was learnt last.
    change: u64,
}

impl KnownCrash {
    fn is_counted(&self, now: time::Instant) -> bool {
        !self.is_cleared && now < self.expires_at
    }

    fn to_crash(&self, now: time::Instant, content: Fingerprint) -> Crash {
        Crash {
            content,
            endpoint: self.endpoint,
            age: time::Millis(KEPT.0.saturating_sub(self.expires_at.since(now).0)),
            is_cleared: self.is_cleared,
        }
    }
}

impl Suspect {
    fn is_held(&self, now: time::Instant) -> bool {
        let counting = self.crashes.iter().filter(|it| it.is_counted(now));
        counting.count() >= ENDS
    }

    /// When the last of its crashes is forgotten.
    fn expires(&self) -> time::Instant {
        let all = self.crashes.iter().map(|it| it.expires_at);
        all.max().unwrap_or_default()
    }

    /// What the control group keeps of it.
    fn to_held(&self, now: time::Instant, content: Fingerprint) -> Held {
        let crashes = self.crashes.iter().filter(|it| it.is_counted(now));
        let mut endpoints: Vec<_> = crashes.map(|it| it.endpoint).collect();
        endpoints.sort_unstable();
        Held { content, endpoints }
    }

    /// By which change something of it was learnt last.
    fn last_change(&self) -> u64 {
        let all = self.crashes.iter().map(|it| it.change);
        all.max().unwrap_or_default()
    }

    /// Takes one piece of evidence, as of change number `change`. Returns whether it is new.
    fn take(&mut self, now: time::Instant, crash: &Crash, change: u64) -> bool {
        let mut known = self.crashes.iter_mut();
        if let Some(known) = known.find(|it| it.endpoint == crash.endpoint) {
            let is_news = crash.is_cleared && !known.is_cleared;
            if is_news {
                known.is_cleared = true;
                known.change = change;
            }
            return is_news;
        }
        if self.crashes.len() >= MAX_CRASHES {
            let cleared = self.crashes.iter().position(|it| it.is_cleared);
            let Some(at) = cleared.filter(|_| !crash.is_cleared) else {
                return false;
            };
            self.crashes.swap_remove(at);
        }
        self.crashes.push(KnownCrash {
            endpoint: crash.endpoint,
            expires_at: now + time::Millis(KEPT.0.saturating_sub(crash.age.0)),
            is_cleared: crash.is_cleared,
            change,
        });
        true
    }
}

impl Quarantine {
    /// Remembers nothing. `start` tells this start of the process from others.
    #[must_use]
    pub fn new(start: u64) -> Self {
        Self {
            start,
            ..Self::default()
        }
    }

    /// Up to where this process's memory is known to whom it is told now.
    #[must_use]
    pub fn mark(&self) -> Mark {
        Mark {
            start: self.start,
            change: self.change,
        }
    }

    /// Whether there is something to tell a peer that knows this process's memory up to `mark`.
    #[must_use]
    pub fn has_news(&self, mark: Mark, telling: Telling) -> bool {
        let newest = match telling {
            Telling::All => self.change,
            Telling::Held => self.held_change,
        };
        newest > mark.of(self.start)
    }

    /// What a peer is to be told that knows this process's memory up to `mark`.
    #[must_use]
    pub fn since(&self, now: time::Instant, mark: Mark, telling: Telling) -> Vec<Crash> {
        if !self.has_news(mark, telling) {
            return Vec::new();
        }
        let after = mark.of(self.start);
        let mut told = Vec::new();
        for (content, suspect) in &self.requests {
            let crashes = suspect.crashes.iter().map(|it| it.to_crash(now, *content));
            match telling {
                // All that led to it: a peer was told nothing before it was held.
                Telling::Held if suspect.was_held && suspect.last_change() > after => {
                    told.extend(crashes);
                }
                Telling::Held => {}
                Telling::All => {
                    let news = suspect.crashes.iter().filter(|it| it.change > after);
                    told.extend(news.map(|it| it.to_crash(now, *content)));
                }
            }
        }
        told
    }

    /// Takes what another process tells, or this one has seen.
    pub fn take_all(&mut self, now: time::Instant, crashes: &[Crash]) -> Taken {
        let mut taken = Taken::default();
        for crash in crashes {
            let change = self.take(now, crash);
            taken.is_news |= change != Change::None;
            match change {
                Change::None | Change::Noted => {}
                Change::Held => taken.held.push(crash.content),
                Change::Released => taken.released.push(crash.content),
            }
        }
        taken
    }

    /// Takes a piece of evidence, one's own or that of another process.
    pub fn take(&mut self, now: time::Instant, crash: &Crash) -> Change {
        if crash.age >= KEPT {
            return Change::None;
        }
        self.sweep(now);
        self.evict_oldest(now, crash.content);
        let crash = &Crash {
            is_cleared: crash.is_cleared || self.recent_successes.contains(now, crash.content),
            ..*crash
        };
        let change = self.change + 1;
        let suspect = self.requests.entry(crash.content).or_default();
        let was_held = suspect.is_held(now);
        if !suspect.take(now, crash, change) {
            return Change::None;
        }
        self.change = change;
        let is_held = suspect.is_held(now);
        suspect.was_held |= is_held;
        if suspect.was_held {
            self.held_change = change;
        }
        match (was_held, is_held) {
            (false, true) => Change::Held,
            (true, false) => Change::Released,
            _ => Change::Noted,
        }
    }

    /// The request was answered whole: it was the cause of none of the ends so far. Returns whether there were
    /// any to clear.
    pub fn answered(&mut self, now: time::Instant, content: Fingerprint) -> bool {
        self.recent_successes.insert(now, content);
        let Some(suspect) = self.requests.get(&content) else {
            return false;
        };
        let crashes = suspect.crashes.iter().filter(|it| !it.is_cleared);
        let cleared: Vec<_> = crashes
            .map(|it| Crash {
                is_cleared: true,
                ..it.to_crash(now, content)
            })
            .collect();
        for crash in &cleared {
            self.take(now, crash);
        }
        !cleared.is_empty()
    }

    /// How much longer a request is held; none if it is not.
    #[must_use]
    pub fn held_for(&self, now: time::Instant, content: Fingerprint) -> Option<time::Millis> {
        let suspect = self.requests.get(&content)?;
        let crashes = suspect.crashes.iter().filter(|it| it.is_counted(now));
        let mut until: Vec<_> = crashes.map(|it| it.expires_at).collect();
        until.sort_unstable();
        until.reverse();
        // It is held until fewer are left.
        let end = until.get(ENDS - 1)?;
        Some(end.since(now))
    }

    /// How many endpoints have ended under a request, as far as it was not cleared of them.
    #[must_use]
    pub fn ends(&self, now: time::Instant, content: Fingerprint) -> usize {
        let suspect = self.requests.get(&content);
        suspect.map_or(0, |it| {
            it.crashes.iter().filter(|it| it.is_counted(now)).count()
        })
    }

    /// How many requests are held.
    #[must_use]
    pub fn count_held(&self, now: time::Instant) -> usize {
        let requests = self.requests.values();
        requests.filter(|it| it.is_held(now)).count()
    }

    /// The requests that are held, in order, to be kept by the control group: [`MAX_PERSISTED`] at the most,
    /// those that were held last.
    #[must_use]
    pub fn held(&self, now: time::Instant) -> Vec<Held> {
        let held = self.requests.iter().filter(|(_, it)| it.is_held(now));
        let mut held: Vec<_> = held.collect();
        held.sort_unstable_by_key(|(content, it)| (cmp::Reverse(it.expires()), **content));
        held.truncate(MAX_PERSISTED);
        let mut held: Vec<_> = held
            .into_iter()
            .map(|(content, it)| it.to_held(now, *content))
            .collect();
        held.sort_unstable();
        held
    }

    /// Takes what the control group has kept. When it happened is not known any more: it counts from now.
    pub fn restore(&mut self, now: time::Instant, held: &[Held]) {
        for it in held {
            for endpoint in &it.endpoints {
                let crash = Crash {
                    content: it.content,
                    endpoint: *endpoint,
                    age: time::Millis(0),
                    is_cleared: false,
                };
                self.take(now, &crash);
            }
        }
    }

    /// Forgets what is past [`KEPT`].
    fn sweep(&mut self, now: time::Instant) {
        if now.since(self.swept) < SWEEP_INTERVAL {
            return;
        }
        self.swept = now;
        self.requests.retain(|_, suspect| {
            suspect.crashes.retain(|it| now < it.expires_at);
            !suspect.crashes.is_empty()
        });
    }

    /// Makes room for one request more, and for some to come: looking for the oldest takes a look at all.
    fn evict_oldest(&mut self, now: time::Instant, content: Fingerprint) {
        if self.requests.len() < MAX_REQUESTS || self.requests.contains_key(&content) {
            return;
        }
        let all = self.requests.iter();
        let mut all: Vec<_> = all
            .map(|(content, it)| (it.is_held(now), it.expires(), *content))
            .collect();
        all.sort_unstable();
        for (_, _, oldest) in all.iter().take(EVICTION_BATCH) {
            self.requests.remove(oldest);
        }
    }
}
