//! The table of claims on requests that may run at most once.
//!
//! # States of a claim
//!
//! ```text
//!            Claim                    Settle Ran
//! (absent) --------> Running{holder} -----------> Ran ------.  retention, by the
//!    ^                | |                                    |  replicated clock
//!    | Settle NotRun  | | Settle Unknown, HolderGone         v
//!    '----------------' '-----------------------> Unknown -> (absent)
//! ```
//!
//! Only the holder of a running claim may send the request. If the same holder claims again, the claim
//! is granted again, since the first reply may have been lost. This is safe because a holder is one
//! arrival at one process: it sends only after a granted reply, and at most once however many such
//! replies it receives. It settles once, at the end of the request, and does not claim again after
//! that.
//!
//! # Running claims have no timeout
//!
//! A process that was suspended, or lost its connection to the control group, may have sent the
//! request or be about to send it, and no timeout can exclude that. So a running claim ends only when
//! its holder settles it, or by [`ClaimTable::holder_gone`]. In the latter case its outcome becomes
//! unknown and the claim is not released, since the request may have been sent. If a holder that was
//! wrongly declared gone reports later that the request ran, the report is recorded. A report that it
//! did not run is ignored, since other arrivals have already been told that it may have run.
//!
//! # Late claims
//!
//! A claim may be committed after its holder has abandoned it: the proposal is delayed at a partitioned
//! leader, and meanwhile the holder settles through another one, or its process ends. If the claim were
//! granted then, nobody would settle it, and the caller's retries would be told "running" until the
//! holder's process ends. So the table records the holders that released a claim, and for each VM the
//! lowest incarnation that may still be running. Claims of released holders and of lower incarnations
//! are rejected as too late. The record of released holders is bounded by count, and the oldest is
//! removed first. A late claim of a removed holder causes the wait described above, but no second run.
//!
//! # Retention and the replicated clock
//!
//! The clock is the leader's wall clock, replicated by commands, and never goes back here. It stands
//! still while there is no leader. If the retention of a claim settled right after an outage were
//! counted from the last clock command before the outage, the claim would expire at the next one. So
//! the retention of a settled claim is counted from the next clock command. The claim is kept for up
//! to one interval between clock commands longer than its retention, and never shorter as measured by
//! the leaders' wall clocks.
//!
//! # Limits
//!
//! The number of claims is bounded: when the table is full, new claims are refused and old ones stay.
//! Response bodies are bounded individually and in total: above these limits the claim is kept without
//! the response. The lengths of keys are bounded by the limits on a request's header section.

use std::collections;

use sageshed_types::{claims, endpoints, time};
use serde::{Deserialize, Serialize};

use crate::command;

/// Limits of the table. All replicas must use the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Limits {
    /// The maximum number of claims in any state.
    pub claims: usize,
    /// The maximum size of a stored response body in bytes.
    pub answer_bytes: usize,
    /// The maximum total size of all stored response bodies in bytes.
    pub all_answer_bytes: usize,
    /// The maximum number of recorded holders that released their claims.
    #[serde(rename = "given_back")]
    pub released: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            claims: 100_000,
            answer_bytes: 16 * 1024,
            all_answer_bytes: 64 * 1024 * 1024,
            released: 10_000,
        }
    }
}

/// A claim in the table.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimEntry {
    /// The arrival that may send the request.
    pub holder: claims::Holder,
    /// The digest of the request's content.
    pub digest: u64,
    /// The state of the claim.
    pub state: ClaimState,
    /// How long the claim is kept after it is settled, in milliseconds.
    pub retention: time::Millis,
}

/// The state of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The holder may send the request or has sent it.
    Running,
    /// The request ran.
    Ran {
        /// The response, if it was small enough to be stored.
        answer: Option<claims::RecordedAnswer>,
    },
    /// The request may have run: its holder could not tell, or was declared gone before it reported.
    Unknown,
}

/// The result of [`ClaimTable::claim`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimAttempt {
    /// The reply to the process that requested the claim.
    Reply(claims::ClaimOutcome),
    /// The holder has already released the claim, or its process has ended. Nothing was recorded.
    TooLate,
}

/// All claims, with the replicated clock.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimTable {
    limits: Limits,
    unix_ms: u64,
    claims: collections::BTreeMap<claims::ClaimKey, ClaimEntry>,
    answer_bytes: usize,
    /// Claims settled since the last clock command, which have no expiry yet.
    #[serde(rename = "unstamped")]
    without_expiry: Vec<claims::ClaimKey>,
    /// The expiries of settled claims, in milliseconds since 1970.
    expiries: collections::BTreeSet<(u64, claims::ClaimKey)>,
    #[serde(rename = "given_back")]
    released: collections::BTreeSet<claims::Holder>,
    #[serde(rename = "given_back_oldest_first")]
    released_oldest_first: collections::VecDeque<claims::Holder>,
    /// By VM: the lowest incarnation that may still be running. Holds each entry VM of which a process
    /// has ever ended.
    alive_from: collections::BTreeMap<String, endpoints::Incarnation>,
}

impl ClaimTable {
    /// An empty table at time 0.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            unix_ms: 0,
            claims: collections::BTreeMap::new(),
            answer_bytes: 0,
            without_expiry: Vec::new(),
            expiries: collections::BTreeSet::new(),
            released: collections::BTreeSet::new(),
            released_oldest_first: collections::VecDeque::new(),
            alive_from: collections::BTreeMap::new(),
        }
    }

    /// The claim on `key`.
    #[must_use]
    pub fn get(&self, key: &claims::ClaimKey) -> Option<&ClaimEntry> {
        self.claims.get(key)
    }

    /// The number of claims.
    #[must_use]
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether there are no claims.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// The replicated clock, in milliseconds since 1970.
    #[must_use]
    pub fn unix_ms(&self) -> u64 {
        self.unix_ms
    }

    /// Grants a claim, or returns why it is not granted.
    pub fn claim(&mut self, claim: claims::Claim) -> ClaimAttempt {
        match self.claims.get(&claim.key) {
            Some(entry) => ClaimAttempt::Reply(reply_for_existing(entry, &claim)),
            None if self.is_too_late(&claim.holder) => ClaimAttempt::TooLate,
            None if self.claims.len() >= self.limits.claims => {
                ClaimAttempt::Reply(claims::ClaimOutcome::Full)
            }
            None => ClaimAttempt::Reply(self.grant(claim)),
        }
    }

    /// Records how a claimed request ended.
    ///
    /// A report of another holder does not change the claim. If it says that the request did not run, a
    /// late claim of that holder is not granted. Otherwise it is ignored.
    pub fn settle(&mut self, settle: claims::Settle) -> command::SettleOutcome {
        let claims::Settle { key, holder, end } = settle;
        if matches!(end, claims::ExecutionOutcome::NotRun) {
            return self.release(&key, holder);
        }
        let Some(entry) = self.claims.get(&key) else {
            return command::SettleOutcome::Ignored;
        };
        if entry.holder != holder {
            return command::SettleOutcome::Ignored;
        }
        match (&entry.state, end) {
            (ClaimState::Running, claims::ExecutionOutcome::Ran { answer }) => {
                self.record_ran(key, answer);
            }
            // The process was wrongly declared gone and now reports the outcome. The expiry stays.
            (ClaimState::Unknown, claims::ExecutionOutcome::Ran { answer }) => {
                self.store_answer(&key, answer);
            }
            (ClaimState::Running, claims::ExecutionOutcome::Unknown) => self.mark_unknown(key),
            (ClaimState::Ran { .. }, claims::ExecutionOutcome::Ran { .. })
            | (ClaimState::Unknown, claims::ExecutionOutcome::Unknown) => {}
            _ => return command::SettleOutcome::Ignored,
        }
        command::SettleOutcome::Settled
    }

    /// Records that the holders of `vm` with a lower incarnation are gone. Their running claims become
    /// unknown. Returns the number of these claims.
    pub fn holder_gone(&mut self, vm: &str, incarnation_below: endpoints::Incarnation) -> usize {
        let alive_from = self.alive_from.entry(vm.to_owned()).or_default();
        *alive_from = incarnation_below.max(*alive_from);
        let running = self.claims.iter().filter(|(_, entry)| {
            entry.state == ClaimState::Running
                && entry.holder.vm == vm
                && entry.holder.incarnation < incarnation_below
        });
        let keys: Vec<_> = running.map(|(key, _)| key.clone()).collect();
        let count = keys.len();
        for key in keys {
            self.mark_unknown(key);
        }
        count
    }

    /// Advances the clock to `unix_ms`, unless that is earlier, and removes the claims whose retention is
    /// over. Returns the number of these claims.
    pub fn advance_clock(&mut self, unix_ms: u64) -> usize {
        self.unix_ms = unix_ms.max(self.unix_ms);
        self.set_expiries();
        let mut expired = 0;
        while self
            .expiries
            .first()
            .is_some_and(|(at, _)| *at <= self.unix_ms)
        {
            if let Some((_, key)) = self.expiries.pop_first() {
                self.remove(&key);
                expired += 1;
            }
        }
        expired
    }

    fn is_too_late(&self, holder: &claims::Holder) -> bool {
        let gone = self
            .alive_from
            .get(&holder.vm)
            .is_some_and(|alive_from| holder.incarnation < *alive_from);
        gone || self.released.contains(holder)
    }

    fn grant(&mut self, claim: claims::Claim) -> claims::ClaimOutcome {
        let entry = ClaimEntry {
            holder: claim.holder,
            digest: claim.digest,
            state: ClaimState::Running,
            retention: claim.retention,
        };
        self.claims.insert(claim.key, entry);
        claims::ClaimOutcome::Granted
    }

    /// Releases the claim if it is running with this holder, and records the holder so that a late claim
    /// is not granted.
    fn release(
        &mut self,
        key: &claims::ClaimKey,
        holder: claims::Holder,
    ) -> command::SettleOutcome {
        match self.claims.get(key) {
            Some(entry) if entry.holder == holder && entry.state != ClaimState::Running => {
                return command::SettleOutcome::Ignored;
            }
            Some(entry) if entry.holder == holder => {
                self.claims.remove(key);
            }
            _ => {}
        }
        if self.released.insert(holder.clone()) {
            self.released_oldest_first.push_back(holder);
        }
        while self.released.len() > self.limits.released {
            if let Some(oldest) = self.released_oldest_first.pop_front() {
                self.released.remove(&oldest);
            }
        }
        command::SettleOutcome::Settled
    }

    fn record_ran(&mut self, key: claims::ClaimKey, answer: Option<claims::RecordedAnswer>) {
        self.store_answer(&key, answer);
        self.without_expiry.push(key);
    }

    fn mark_unknown(&mut self, key: claims::ClaimKey) {
        if let Some(entry) = self.claims.get_mut(&key) {
            entry.state = ClaimState::Unknown;
            self.without_expiry.push(key);
        }
    }

    fn store_answer(&mut self, key: &claims::ClaimKey, answer: Option<claims::RecordedAnswer>) {
        let room = self.limits.all_answer_bytes - self.answer_bytes;
        let limit = room.min(self.limits.answer_bytes);
        let answer = answer.filter(|answer| answer.body.len() <= limit);
        if let Some(entry) = self.claims.get_mut(key) {
            self.answer_bytes += answer.as_ref().map_or(0, |answer| answer.body.len());
            entry.state = ClaimState::Ran { answer };
        }
    }

    /// Sets the expiries of the claims that were settled since the last clock command.
    fn set_expiries(&mut self) {
        for key in std::mem::take(&mut self.without_expiry) {
            if let Some(entry) = self.claims.get(&key) {
                let at = self.unix_ms.saturating_add(entry.retention.0);
                self.expiries.insert((at, key));
            }
        }
    }

    fn remove(&mut self, key: &claims::ClaimKey) {
        let Some(entry) = self.claims.remove(key) else {
            return;
        };
        if let ClaimState::Ran {
            answer: Some(answer),
        } = entry.state
        {
            self.answer_bytes -= answer.body.len();
        }
    }
}

/// The reply to a claim on a key that is already claimed.
fn reply_for_existing(entry: &ClaimEntry, claim: &claims::Claim) -> claims::ClaimOutcome {
    if entry.digest != claim.digest {
        return claims::ClaimOutcome::OtherContent;
    }
    match &entry.state {
        ClaimState::Running if entry.holder == claim.holder => claims::ClaimOutcome::Granted,
        ClaimState::Running => claims::ClaimOutcome::Running {
            holder: entry.holder.clone(),
        },
        ClaimState::Ran { answer } => claims::ClaimOutcome::Ran {
            answer: answer.clone(),
        },
        ClaimState::Unknown => claims::ClaimOutcome::Unknown,
    }
}
