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
//! # Parts of prompts
//!
//! A part of a prompt may crash each engine that begins to write an answer on it, whatever else the request
//! holds. Each request with it is then another one, with a single crash. So the crashes under a request are
//! also recorded under each part of its prompt but the last, which belongs to the request alone, and a part
//! is quarantined after [`PART_CRASH_LIMIT`] of them: requests with it are refused.
//!
//! Most of these parts are shared by requests that are no cause, and some by all that ever run. A part with
//! which a request completes is cleared, and for [`PART_SUCCESS_WINDOW`] or more no process that has seen
//! that counts crashes under it: what completes now and then is no cause. A part that is quarantined all the
//! same, since its requests ran on engines that crashed for another reason and completed nowhere, is
//! released by the completion of a request that is still running, or of a trial: one request is passed on
//! [`TRIAL_INTERVAL`] after the last crash or trial.
//!
//! # Bounds
//!
//! Anyone who sends requests can create entries here, at the price of one crash for each batch that an
//! endpoint runs. [`MAX_SUSPECTS`] requests are remembered, and as many parts of prompts, so that neither
//! evicts the other. The one with the oldest last crash is evicted first, and those that are not quarantined
//! before those that are.

use std::{cmp, collections};

use sageshed_types::time;

pub use sageshed_types::{
    cursor::SyncCursor as Cursor,
    quarantine::{Crash, Fingerprint, FingerprintKind, QuarantinedRequest},
};

/// Crashes of endpoint instances after which a request is quarantined. A single crash may have any cause,
/// and two happen to a bystander that is retried on the endpoint where the poison request went as well.
/// Each further crash costs every caller an endpoint for the seconds of its restart.
pub const CRASH_LIMIT: usize = 3;

/// The same for a part of prompts, which many requests share.
pub const PART_CRASH_LIMIT: usize = 4;

/// How long a crash is remembered. Endpoints get new software in hours, not minutes, and callers without a
/// response retry for minutes. After this time, a poison request costs three endpoints once more.
pub const RETENTION: time::Millis = time::Millis(3_600_000);

/// Requests that are remembered, and the same number of parts of prompts. One takes some 150 bytes: 1.2 MB of
/// each, of the 160 MB of the smallest VMs.
pub const MAX_SUSPECTS: usize = 8_192;

/// The parts of one prompt that are recorded and checked.
pub const MAX_PARTS: usize = 16;

/// Requests, or parts, that are evicted together when there is no room for another one.
const EVICTION_BATCH: usize = MAX_SUSPECTS / 16;

/// Quarantined requests, and parts, that the control group persists: some 10 KB of its log for each change.
const MAX_PERSISTED: usize = 256;

/// How long a completed request is remembered at least; at most it is twice as long. A request that is sent
/// so often that it runs on several endpoints at once completes many times within that.
const SUCCESS_WINDOW: time::Millis = time::Millis(30_000);

/// The same for a part of prompts.
pub const PART_SUCCESS_WINDOW: time::Millis = time::Millis(300_000);

/// The time from the last crash under a quarantined part, or the last trial, to the next trial.
pub const TRIAL_INTERVAL: time::Millis = time::Millis(600_000);

/// Completed requests, or parts, that are remembered in one window: some 150 KB together with the window before.
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
#[derive(Debug, Clone)]
pub struct Quarantine {
    start: u64,
    change: u64,
    /// The last change that concerned a quarantined request.
    last_quarantine_change: u64,
    requests: Suspects,
    parts: Suspects,
    swept_at: time::Instant,
    successes: RecentSuccesses,
    part_successes: RecentSuccesses,
}

type Suspects = collections::HashMap<Fingerprint, Suspect>;

/// Requests, or parts of prompts, that completed recently, in two windows of which the older one is dropped as a whole.
#[derive(Debug, Clone)]
struct RecentSuccesses {
    window: time::Millis,
    current: collections::HashSet<Fingerprint>,
    previous: collections::HashSet<Fingerprint>,
    since: time::Instant,
}

impl RecentSuccesses {
    fn new(window: time::Millis) -> Self {
        Self {
            window,
            current: collections::HashSet::new(),
            previous: collections::HashSet::new(),
            since: time::Instant::default(),
        }
    }

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
        let spans = now.since(self.since).0 / self.window.0;
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

/// A request, or a part of prompts, that endpoints crashed under.
#[derive(Debug, Clone)]
struct Suspect {
    kind: FingerprintKind,
    crashes: Vec<KnownCrash>,
    /// Whether it is or was quarantined, so that entry processes were told of it.
    was_quarantined: bool,
    /// When this process passed on its last trial.
    tried_at: Option<time::Instant>,
}

/// The number of crashes after which a request or a part is quarantined.
fn crash_limit(kind: FingerprintKind) -> usize {
    match kind {
        FingerprintKind::Request => CRASH_LIMIT,
        FingerprintKind::PromptPart => PART_CRASH_LIMIT,
    }
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
            age: self.age(now),
            is_cleared: self.is_cleared,
        }
    }

    fn age(&self, now: time::Instant) -> time::Millis {
        time::Millis(RETENTION.0.saturating_sub(self.expires_at.since(now).0))
    }
}

impl Suspect {
    fn new(kind: FingerprintKind) -> Self {
        Self {
            kind,
            crashes: Vec::new(),
            was_quarantined: false,
            tried_at: None,
        }
    }

    fn is_quarantined(&self, now: time::Instant) -> bool {
        let counting = self.crashes.iter().filter(|it| it.is_counted(now));
        counting.count() >= crash_limit(self.kind)
    }

    /// Crashes that are remembered: enough to keep it quarantined if as many were cleared elsewhere.
    fn max_crashes(&self) -> usize {
        2 * crash_limit(self.kind)
    }

    /// Whether a trial is due.
    fn is_trial_due(&self, now: time::Instant) -> bool {
        let is_recent = |it: &KnownCrash| it.age(now) < TRIAL_INTERVAL;
        let was_tried = self
            .tried_at
            .is_some_and(|at| now.since(at) < TRIAL_INTERVAL);
        !was_tried && !self.crashes.iter().any(is_recent)
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
        if self.crashes.len() >= self.max_crashes() {
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
            change: 0,
            last_quarantine_change: 0,
            requests: Suspects::new(),
            parts: Suspects::new(),
            swept_at: time::Instant::default(),
            successes: RecentSuccesses::new(SUCCESS_WINDOW),
            part_successes: RecentSuccesses::new(PART_SUCCESS_WINDOW),
        }
    }

    fn suspects(&self, kind: FingerprintKind) -> &Suspects {
        match kind {
            FingerprintKind::Request => &self.requests,
            FingerprintKind::PromptPart => &self.parts,
        }
    }

    fn suspects_mut(&mut self, kind: FingerprintKind) -> &mut Suspects {
        match kind {
            FingerprintKind::Request => &mut self.requests,
            FingerprintKind::PromptPart => &mut self.parts,
        }
    }

    fn suspect(&self, content: Fingerprint) -> Option<&Suspect> {
        self.suspects(content.kind()).get(&content)
    }

    fn successes(&mut self, kind: FingerprintKind) -> &mut RecentSuccesses {
        match kind {
            FingerprintKind::Request => &mut self.successes,
            FingerprintKind::PromptPart => &mut self.part_successes,
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
        for (content, suspect) in self.requests.iter().chain(&self.parts) {
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
            is_cleared: crash.is_cleared || self.has_succeeded(now, crash.content),
            ..*crash
        };
        let change = self.change + 1;
        let kind = crash.content.kind();
        let suspects = match kind {
            FingerprintKind::Request => &mut self.requests,
            FingerprintKind::PromptPart => &mut self.parts,
        };
        let suspect = suspects
            .entry(crash.content)
            .or_insert_with(|| Suspect::new(kind));
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

    /// Whether the request, or one with this part, has completed here recently.
    pub fn has_succeeded(&mut self, now: time::Instant, content: Fingerprint) -> bool {
        self.successes(content.kind()).contains(now, content)
    }

    /// Records that the request, or one with this part, completed, so that it caused none of the crashes so far. Returns
    /// whether there were any to clear.
    pub fn record_success(&mut self, now: time::Instant, content: Fingerprint) -> bool {
        self.successes(content.kind()).insert(now, content);
        let Some(suspect) = self.suspect(content) else {
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

    /// Whether one request with this quarantined part may be passed on, to find out whether the part is a cause. True once
    /// in [`TRIAL_INTERVAL`].
    pub fn take_trial(&mut self, now: time::Instant, part: Fingerprint) -> bool {
        let suspect = self.parts.get_mut(&part);
        let Some(suspect) = suspect.filter(|it| it.is_trial_due(now)) else {
            return false;
        };
        suspect.tried_at = Some(now);
        true
    }

    /// How much longer a request or part is quarantined; none if it is not quarantined.
    #[must_use]
    pub fn quarantined_for(
        &self,
        now: time::Instant,
        content: Fingerprint,
    ) -> Option<time::Millis> {
        let suspect = self.suspect(content)?;
        let crashes = suspect.crashes.iter().filter(|it| it.is_counted(now));
        let mut until: Vec<_> = crashes.map(|it| it.expires_at).collect();
        until.sort_unstable();
        until.reverse();
        // The request is quarantined until fewer than that are left.
        let end = until.get(crash_limit(suspect.kind) - 1)?;
        Some(end.since(now))
    }

    /// Number of crashes under a request or part that are neither cleared nor expired.
    #[must_use]
    pub fn crash_count(&self, now: time::Instant, content: Fingerprint) -> usize {
        let suspect = self.suspect(content);
        suspect.map_or(0, |it| {
            it.crashes.iter().filter(|it| it.is_counted(now)).count()
        })
    }

    /// Number of quarantined requests and parts.
    #[must_use]
    pub fn count_quarantined(&self, now: time::Instant) -> usize {
        let suspects = self.requests.values().chain(self.parts.values());
        suspects.filter(|it| it.is_quarantined(now)).count()
    }

    /// The quarantined requests and parts that the control group persists, in order: of each the [`MAX_PERSISTED`]
    /// that crashed an endpoint last.
    #[must_use]
    pub fn quarantined(&self, now: time::Instant) -> Vec<QuarantinedRequest> {
        let latest = |suspects: &Suspects| {
            let quarantined = suspects.iter().filter(|(_, it)| it.is_quarantined(now));
            let mut quarantined: Vec<_> = quarantined.collect();
            quarantined
                .sort_unstable_by_key(|(content, it)| (cmp::Reverse(it.expires()), **content));
            quarantined.truncate(MAX_PERSISTED);
            let quarantined = quarantined.into_iter();
            quarantined
                .map(|(content, it)| it.to_quarantined(now, *content))
                .collect::<Vec<_>>()
        };
        let mut quarantined = latest(&self.requests);
        quarantined.extend(latest(&self.parts));
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
        for suspects in [&mut self.requests, &mut self.parts] {
            suspects.retain(|_, suspect| {
                suspect.crashes.retain(|it| now < it.expires_at);
                !suspect.crashes.is_empty()
            });
        }
    }

    /// Makes room for another request or part if there is none. Evicts [`EVICTION_BATCH`] at a time, since finding the
    /// oldest ones sorts all of them.
    fn evict_oldest(&mut self, now: time::Instant, content: Fingerprint) {
        let suspects = self.suspects_mut(content.kind());
        if suspects.len() < MAX_SUSPECTS || suspects.contains_key(&content) {
            return;
        }
        let all = suspects.iter();
        let mut all: Vec<_> = all
            .map(|(content, it)| (it.is_quarantined(now), it.expires(), *content))
            .collect();
        all.sort_unstable();
        for (_, _, oldest) in all.iter().take(EVICTION_BATCH) {
            suspects.remove(oldest);
        }
    }
}
