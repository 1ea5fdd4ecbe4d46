//! Requests that crash endpoints, and are therefore quarantined: refused instead of passed on.
//!
//! A poison request crashes each endpoint that runs it. Its caller gets no response and sends it again,
//! with another id and to another entry process; passed on each time, it takes down the whole pool. So
//! crashes are recorded by the content of the request ([`crate::fingerprint`]) instead of its id, and by
//! all processes together: an entry process reports what it saw to control, control processes exchange
//! reports, and all entry processes are told of a request under which [`CRASH_LIMIT`] instances of endpoints
//! have crashed. It is then *quarantined*, that is refused at once by every entry process, for
//! [`RETENTION`].
//!
//! # Evidence, and how it is merged
//!
//! A [`Crash`] says that one instance of an endpoint ended while it ran one request. Evidence only grows:
//! that a crash happened, and that it was *cleared*, are facts that stay true. So processes may merge what
//! they receive in any order, repeatedly or late, and arrive at the same state. A request is quarantined
//! while [`CRASH_LIMIT`] crashes under it are not cleared.
//!
//! # Bystanders
//!
//! All requests that an endpoint was running end with it, and nobody sees which of them was the cause. A
//! request that any endpoint completes afterwards was not: its crashes are cleared. For most bystanders
//! this happens when they are retried. A request that many callers send at once may run on three endpoints
//! that end together, for instance with a rack; a process that has completed it within the last minute
//! takes any crash under it as cleared and tells the others. So a bystander is quarantined only if it ran
//! on three endpoints that ended and completed nowhere.
//!
//! # Bounds
//!
//! Anyone who sends requests can create entries here, at the price of one crash for each batch that an
//! endpoint runs. [`MAX_REQUESTS`] requests are remembered. The one with the oldest last crash is evicted
//! first, and requests that are not quarantined are evicted before those that are.

use std::{cmp, collections};

use sageshed_types::time;

pub use sageshed_types::{
    cursor::SyncCursor as Cursor,
    quarantine::{Crash, Fingerprint, QuarantinedRequest},
};

/// Crashes of endpoint instances after which a request is quarantined. A single crash may have any cause,
/// and two happen to a bystander that is retried on the endpoint where the poison request went as well.
/// Each further crash costs every caller an endpoint for the seconds of its restart.
pub const CRASH_LIMIT: usize = 3;

/// How long a crash is remembered. Endpoints get new software in hours, not minutes, and callers without a
/// response retry for minutes. After this time, a poison request costs three endpoints once more.
pub const RETENTION: time::Millis = time::Millis(3_600_000);

/// Requests that are remembered. One takes some 150 bytes: 1.2 MB in all, of the 160 MB of the smallest
/// VMs.
pub const MAX_REQUESTS: usize = 8_192;

/// Requests that are evicted together when there is no room for another one.
const EVICTION_BATCH: usize = MAX_REQUESTS / 16;

/// Quarantined requests that the control group persists: some 10 KB of its log for each change.
const MAX_PERSISTED: usize = 256;

/// Crashes that are remembered for each request: enough to keep it quarantined if all but three were
/// cleared elsewhere.
const MAX_CRASHES: usize = 2 * CRASH_LIMIT;

/// How long a completed request is remembered at least; at most it is twice as long. A request that is sent
/// so often that it runs on several endpoints at once completes many times within that.
const SUCCESS_WINDOW: time::Millis = time::Millis(30_000);

/// Completed requests that are remembered in one window: some 150 KB together with the window before.
const MAX_SUCCESSES: usize = 4_096;

/// Interval at which crashes older than [`RETENTION`] are removed.
const SWEEP_INTERVAL: time::Millis = time::Millis(10_000);

/// Which crashes a peer is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SyncScope {
    /// All crashes, for peers that merge them with those of others.
    All,
    /// Those under requests that are or were quarantined.
    Quarantined,
}

/// Effect of a piece of evidence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// None: it was known or is too old.
    None,
    /// It is new, but doesn't change whether the request is quarantined.
    Noted,
    /// The request is now quarantined.
    Quarantined,
    /// The request is no longer quarantined.
    Released,
}

/// Combined effect of several pieces of evidence.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MergeResult {
    /// Whether any of them was new.
    pub has_changes: bool,
    /// Requests that are now quarantined.
    pub quarantined: Vec<Fingerprint>,
    /// Requests that are no longer quarantined.
    pub released: Vec<Fingerprint>,
}

/// Progress of the exchange of crashes with one peer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PeerSync {
    /// Up to where the peer's crashes are known here.
    pub received: Cursor,
    /// Up to where the peer was sent the crashes of this process.
    pub sent: Cursor,
}

impl PeerSync {
    /// Records that the peer was sent crashes up to `sent` and replied with its own cursor. A restarted
    /// peer has lost its state, whatever its previous start was sent, and is sent everything the next time.
    pub fn record_exchange(&mut self, sent: Cursor, cursor: Cursor) {
        let is_known = cursor.start == self.received.start;
        self.sent = if is_known { sent } else { Cursor::default() };
        self.received = cursor;
    }
}

/// The crashes known to one process.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    start: u64,
    change: u64,
    /// The last change that concerned a quarantined request.
    last_quarantine_change: u64,
    requests: collections::HashMap<Fingerprint, Suspect>,
    swept_at: time::Instant,
    recent_successes: RecentSuccesses,
}

/// Requests that completed recently, in two windows of which the older one is dropped as a whole.
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

/// A request that endpoints crashed under.
#[derive(Debug, Clone, Default)]
struct Suspect {
    crashes: Vec<KnownCrash>,
    /// Whether it is or was quarantined, so that entry processes were told of it.
    was_quarantined: bool,
}

#[derive(Debug, Clone, Copy)]
struct KnownCrash {
    endpoint: u64,
    /// When it expires. The crash may have happened before this process started, so that its clock can't
    /// express that time.
    expires_at: time::Instant,
    is_cleared: bool,
    /// The last change that affected it.
    change: u64,
}

impl KnownCrash {
    fn is_counted(&self, now: time::Instant) -> bool {
        !self.is_cleared && now < self.expires_at
    }

    fn evidence(&self, now: time::Instant, content: Fingerprint) -> Crash {
        Crash {
            content,
            endpoint: self.endpoint,
            age: time::Millis(RETENTION.0.saturating_sub(self.expires_at.since(now).0)),
            is_cleared: self.is_cleared,
        }
    }
}

impl Suspect {
    fn is_quarantined(&self, now: time::Instant) -> bool {
        let counting = self.crashes.iter().filter(|it| it.is_counted(now));
        counting.count() >= CRASH_LIMIT
    }

    /// When its last crash expires.
    fn expires(&self) -> time::Instant {
        let all = self.crashes.iter().map(|it| it.expires_at);
        all.max().unwrap_or_default()
    }

    /// The record that the control group persists.
    fn to_quarantined(&self, now: time::Instant, content: Fingerprint) -> QuarantinedRequest {
        let crashes = self.crashes.iter().filter(|it| it.is_counted(now));
        let mut endpoints: Vec<_> = crashes.map(|it| it.endpoint).collect();
        endpoints.sort_unstable();
        QuarantinedRequest { content, endpoints }
    }

    /// The last change that affected any of its crashes.
    fn last_change(&self) -> u64 {
        let all = self.crashes.iter().map(|it| it.change);
        all.max().unwrap_or_default()
    }

    /// Merges one piece of evidence as change number `change`. Returns whether it is new.
    fn merge(&mut self, now: time::Instant, crash: &Crash, change: u64) -> bool {
        let mut known = self.crashes.iter_mut();
        if let Some(known) = known.find(|it| it.endpoint == crash.endpoint) {
            let has_changes = crash.is_cleared && !known.is_cleared;
            if has_changes {
                known.is_cleared = true;
                known.change = change;
            }
            return has_changes;
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
            expires_at: now + time::Millis(RETENTION.0.saturating_sub(crash.age.0)),
            is_cleared: crash.is_cleared,
            change,
        });
        true
    }
}

impl Quarantine {
    /// Creates an empty quarantine. `start` identifies this start of the process.
    #[must_use]
    pub fn new(start: u64) -> Self {
        Self {
            start,
            ..Self::default()
        }
    }

    /// The cursor of a peer that has been sent everything up to now.
    #[must_use]
    pub fn cursor(&self) -> Cursor {
        Cursor {
            start: self.start,
            change: self.change,
        }
    }

    /// Whether there is anything to send to a peer that knows this process's crashes up to `cursor`.
    #[must_use]
    pub fn has_news(&self, cursor: Cursor, scope: SyncScope) -> bool {
        let newest = match scope {
            SyncScope::All => self.change,
            SyncScope::Quarantined => self.last_quarantine_change,
        };
        newest > cursor.position_in(self.start)
    }

    /// The crashes to send to a peer that knows those of this process up to `cursor`.
    #[must_use]
    pub fn since(&self, now: time::Instant, cursor: Cursor, scope: SyncScope) -> Vec<Crash> {
        if !self.has_news(cursor, scope) {
            return Vec::new();
        }
        let after = cursor.position_in(self.start);
        let mut to_send = Vec::new();
        for (content, suspect) in &self.requests {
            let crashes = suspect.crashes.iter().map(|it| it.evidence(now, *content));
            match scope {
                // Includes all crashes of the request, since the peer was told none before it was
                // quarantined.
                SyncScope::Quarantined
                    if suspect.was_quarantined && suspect.last_change() > after =>
                {
                    to_send.extend(crashes);
                }
                SyncScope::Quarantined => {}
                SyncScope::All => {
                    let news = suspect.crashes.iter().filter(|it| it.change > after);
                    to_send.extend(news.map(|it| it.evidence(now, *content)));
                }
            }
        }
        to_send
    }

    /// Merges the evidence of another process, or of this one.
    pub fn merge_all(&mut self, now: time::Instant, crashes: &[Crash]) -> MergeResult {
        let mut result = MergeResult::default();
        for crash in crashes {
            let change = self.merge(now, crash);
            result.has_changes |= change != Change::None;
            match change {
                Change::None | Change::Noted => {}
                Change::Quarantined => result.quarantined.push(crash.content),
                Change::Released => result.released.push(crash.content),
            }
        }
        result
    }

    /// Merges one piece of evidence, from this process or another one.
    pub fn merge(&mut self, now: time::Instant, crash: &Crash) -> Change {
        if crash.age >= RETENTION {
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
        let was_quarantined = suspect.is_quarantined(now);
        if !suspect.merge(now, crash, change) {
            return Change::None;
        }
        self.change = change;
        let is_quarantined = suspect.is_quarantined(now);
        suspect.was_quarantined |= is_quarantined;
        if suspect.was_quarantined {
            self.last_quarantine_change = change;
        }
        match (was_quarantined, is_quarantined) {
            (false, true) => Change::Quarantined,
            (true, false) => Change::Released,
            _ => Change::Noted,
        }
    }

    /// Records that the request completed, so that it caused none of the crashes so far. Returns whether
    /// there were any to clear.
    pub fn record_success(&mut self, now: time::Instant, content: Fingerprint) -> bool {
        self.recent_successes.insert(now, content);
        let Some(suspect) = self.requests.get(&content) else {
            return false;
        };
        let crashes = suspect.crashes.iter().filter(|it| !it.is_cleared);
        let cleared: Vec<_> = crashes
            .map(|it| Crash {
                is_cleared: true,
                ..it.evidence(now, content)
            })
            .collect();
        for crash in &cleared {
            self.merge(now, crash);
        }
        !cleared.is_empty()
    }

    /// How much longer a request is quarantined; none if it is not quarantined.
    #[must_use]
    pub fn quarantined_for(
        &self,
        now: time::Instant,
        content: Fingerprint,
    ) -> Option<time::Millis> {
        let suspect = self.requests.get(&content)?;
        let crashes = suspect.crashes.iter().filter(|it| it.is_counted(now));
        let mut until: Vec<_> = crashes.map(|it| it.expires_at).collect();
        until.sort_unstable();
        until.reverse();
        // The request is quarantined until fewer than that are left.
        let end = until.get(CRASH_LIMIT - 1)?;
        Some(end.since(now))
    }

    /// Number of crashes under a request that are neither cleared nor expired.
    #[must_use]
    pub fn crash_count(&self, now: time::Instant, content: Fingerprint) -> usize {
        let suspect = self.requests.get(&content);
        suspect.map_or(0, |it| {
            it.crashes.iter().filter(|it| it.is_counted(now)).count()
        })
    }

    /// Number of quarantined requests.
    #[must_use]
    pub fn count_quarantined(&self, now: time::Instant) -> usize {
        let requests = self.requests.values();
        requests.filter(|it| it.is_quarantined(now)).count()
    }

    /// The quarantined requests that the control group persists, in order: the [`MAX_PERSISTED`] that
    /// crashed an endpoint last.
    #[must_use]
    pub fn quarantined(&self, now: time::Instant) -> Vec<QuarantinedRequest> {
        let quarantined = self
            .requests
            .iter()
            .filter(|(_, it)| it.is_quarantined(now));
        let mut quarantined: Vec<_> = quarantined.collect();
        quarantined.sort_unstable_by_key(|(content, it)| (cmp::Reverse(it.expires()), **content));
        quarantined.truncate(MAX_PERSISTED);
        let mut quarantined: Vec<_> = quarantined
            .into_iter()
            .map(|(content, it)| it.to_quarantined(now, *content))
            .collect();
        quarantined.sort_unstable();
        quarantined
    }

    /// Restores quarantined requests that the control group has persisted. As the time of the crashes is
    /// unknown, they count from now.
    pub fn restore(&mut self, now: time::Instant, quarantined: &[QuarantinedRequest]) {
        for it in quarantined {
            for endpoint in &it.endpoints {
                let crash = Crash {
                    content: it.content,
                    endpoint: *endpoint,
                    age: time::Millis(0),
                    is_cleared: false,
                };
                self.merge(now, &crash);
            }
        }
    }

    /// Removes crashes that are older than [`RETENTION`].
    fn sweep(&mut self, now: time::Instant) {
        if now.since(self.swept_at) < SWEEP_INTERVAL {
            return;
        }
        self.swept_at = now;
        self.requests.retain(|_, suspect| {
            suspect.crashes.retain(|it| now < it.expires_at);
            !suspect.crashes.is_empty()
        });
    }

    /// Makes room for another request if there is none. Evicts [`EVICTION_BATCH`] requests at a time, since
    /// finding the oldest ones sorts all of them.
    fn evict_oldest(&mut self, now: time::Instant, content: Fingerprint) {
        if self.requests.len() < MAX_REQUESTS || self.requests.contains_key(&content) {
            return;
        }
        let all = self.requests.iter();
        let mut all: Vec<_> = all
            .map(|(content, it)| (it.is_quarantined(now), it.expires(), *content))
            .collect();
        all.sort_unstable();
        for (_, _, oldest) in all.iter().take(EVICTION_BATCH) {
            self.requests.remove(oldest);
        }
    }
}
