//! Claims on requests that may run at most once.
//!
//! # Life of a claim
//!
//! ```text
//!            Claim                    Settle Ran
//! (absent) --------> Running{holder} -----------> Ran ------.  retention, by the
//!    ^                | |                                    |  replicated clock
//!    | Settle NotRun  | | Settle Unknown, HolderGone         v
//!    '----------------' '-----------------------> Unknown -> (absent)
//! ```
//!
//! Only the holder of a running claim may send the request. The same holder that asks again is
//! granted again, since its first answer may have been lost on the way; that is safe because a
//! holder is one arrival at one process, which sends only after a granted answer and at most once,
//! however many such answers reach it. It settles once, at the end of the request, and does not
//! ask again after that.
//!
//! # Why a running claim never ends by time
//!
//! A process that was frozen, or whose connection to the control group was cut, may still be about
//! to send, or have sent. No span of time tells. So a running claim ends by its holder's word or by
//! [`ClaimTable::holder_gone`], and then as unknown, never as free: the bytes may have gone out.
//! A holder that was declared gone wrongly and later says that the request ran is believed; one
//! that says it did not run is not, since others have been told that it may have.
//!
//! # Late claims
//!
//! A claim may be committed after its holder has given up on it: the proposal waits at a leader
//! that is cut off, meanwhile the holder settles by another, or dies. Granted then, nobody would
//! ever settle it, and the caller's retries would hear "running" until the holder's process ends.
//! So holders that gave a claim back are remembered (bounded by count, oldest first out; a
//! forgotten one costs that wait and no second run), and so is the lowest incarnation of each VM
//! that is not gone. Their claims come too late and record nothing.
//!
//! # Retention and its clock
//!
//! The clock is the leader's, replicated by command and monotone here. While there is no leader it
//! stands still, so a claim settled right after an outage must not be counted from that old
//! reading: it would be forgotten by the first new one. A settled claim is therefore stamped by the
//! next reading after it. That makes it live up to one reading longer, and never shorter than its
//! retention as the leaders' wall clocks count it.
//!
//! # Bounds
//!
//! Claims are bounded by count; past that, new ones are refused and old ones stay. Bodies of
//! answers are bounded each and in sum; past that, the claim is kept without the answer. The
//! lengths of keys are bounded by the limits on a request's head.

use std::collections;

use sageshed_types::{claims, endpoints, time};
use serde::{Deserialize, Serialize};

use crate::command;

/// Bounds of the table. Every replica must have the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Limits {
    /// Claims in any state.
    pub claims: usize,
    /// Bytes of one answer's body.
    pub answer_bytes: usize,
    /// Bytes of all answers' bodies together.
    pub all_answer_bytes: usize,
    /// Holders that gave a claim back and are remembered.
    pub given_back: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            claims: 100_000,
            answer_bytes: 16 * 1024,
            all_answer_bytes: 64 * 1024 * 1024,
            given_back: 10_000,
        }
    }
}

/// One claim.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Held {
    /// Who may send the request.
    pub holder: claims::Holder,
    /// Of its content.
    pub digest: u64,
    /// How far it is.
    pub state: State,
    /// How long it is kept after it is settled, in milliseconds.
    pub retention: time::Millis,
}

/// How far a claim is.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The holder may send it or has sent it.
    Running,
    /// It ran.
    Ran {
        /// The answer, if it was small enough to keep.
        answer: Option<claims::RecordedAnswer>,
    },
    /// It may have run, and nobody will learn more.
    Unknown,
}

/// What became of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Claimed {
    /// The asker's answer.
    Answer(claims::ClaimOutcome),
    /// The holder gave it back before, or is gone. Nothing was recorded.
    TooLate,
}

/// All claims, with the replicated clock.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimTable {
    limits: Limits,
    unix_ms: u64,
    claims: collections::BTreeMap<claims::ClaimKey, Held>,
    answer_bytes: usize,
    /// Settled since the last reading of the clock.
    unstamped: Vec<claims::ClaimKey>,
    /// When each stamped claim is forgotten, in milliseconds since 1970.
    expiries: collections::BTreeSet<(u64, claims::ClaimKey)>,
    given_back: collections::BTreeSet<claims::Holder>,
    given_back_oldest_first: collections::VecDeque<claims::Holder>,
    /// By VM: the lowest incarnation that is not gone. One for each entry VM ever heard.
    alive_from: collections::BTreeMap<String, endpoints::Incarnation>,
}

impl ClaimTable {
    /// No claims, at time 0.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            unix_ms: 0,
            claims: collections::BTreeMap::new(),
            answer_bytes: 0,
            unstamped: Vec::new(),
            expiries: collections::BTreeSet::new(),
            given_back: collections::BTreeSet::new(),
            given_back_oldest_first: collections::VecDeque::new(),
            alive_from: collections::BTreeMap::new(),
        }
    }

    /// The claim on `key`.
    #[must_use]
    pub fn get(&self, key: &claims::ClaimKey) -> Option<&Held> {
        self.claims.get(key)
    }

    /// How many claims there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether there is none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// The replicated clock, in milliseconds since 1970.
    #[must_use]
    pub fn unix_ms(&self) -> u64 {
        self.unix_ms
    }

    /// Asks for a claim.
    pub fn claim(&mut self, claim: claims::Claim) -> Claimed {
        match self.claims.get(&claim.key) {
            Some(held) => Claimed::Answer(answer_again(held, &claim)),
            None if self.is_too_late(&claim.holder) => Claimed::TooLate,
            None if self.claims.len() >= self.limits.claims => {
                Claimed::Answer(claims::ClaimOutcome::Full)
            }
            None => Claimed::Answer(self.grant(claim)),
        }
    }

    /// Records how a claimed request ended, if the holder says so.
    pub fn settle(&mut self, settle: claims::Settle) -> command::SettleOutcome {
        let claims::Settle { key, holder, end } = settle;
        if matches!(end, claims::End::NotRun) {
            return self.give_back(&key, holder);
        }
        let Some(held) = self.claims.get(&key) else {
            return command::SettleOutcome::Ignored;
        };
        if held.holder != holder {
            return command::SettleOutcome::Ignored;
        }
        match (&held.state, end) {
            (State::Running, claims::End::Ran { answer }) => self.ran(key, answer),
            // The process was taken for dead and was not: its word adds to what is known. The
            // time of forgetting stays.
            (State::Unknown, claims::End::Ran { answer }) => self.keep_answer(&key, answer),
            (State::Running, claims::End::Unknown) => self.unknown(key),
            (State::Ran { .. }, claims::End::Ran { .. })
            | (State::Unknown, claims::End::Unknown) => {}
            _ => return command::SettleOutcome::Ignored,
        }
        command::SettleOutcome::Settled
    }

    /// Holders of `vm` with a lower incarnation are gone: their running claims become unknown.
    /// Returns how many.
    pub fn holder_gone(&mut self, vm: &str, incarnation_below: endpoints::Incarnation) -> usize {
        let alive_from = self.alive_from.entry(vm.to_owned()).or_default();
        *alive_from = incarnation_below.max(*alive_from);
        let running = self.claims.iter().filter(|(_, held)| {
            held.state == State::Running
                && held.holder.vm == vm
                && held.holder.incarnation < incarnation_below
        });
        let keys: Vec<_> = running.map(|(key, _)| key.clone()).collect();
        let count = keys.len();
        for key in keys {
            self.unknown(key);
        }
        count
    }

    /// Moves the clock to `unix_ms`, or leaves it if that is earlier, and forgets the claims whose
    /// retention is over. Returns how many.
    pub fn clock(&mut self, unix_ms: u64) -> usize {
        self.unix_ms = unix_ms.max(self.unix_ms);
        self.stamp();
        let mut expired = 0;
        while self
            .expiries
            .first()
            .is_some_and(|(at, _)| *at <= self.unix_ms)
        {
            if let Some((_, key)) = self.expiries.pop_first() {
                self.forget(&key);
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
        gone || self.given_back.contains(holder)
    }

    fn grant(&mut self, claim: claims::Claim) -> claims::ClaimOutcome {
        let held = Held {
            holder: claim.holder,
            digest: claim.digest,
            state: State::Running,
            retention: claim.retention,
        };
        self.claims.insert(claim.key, held);
        claims::ClaimOutcome::Granted
    }

    /// Frees the claim if `holder` runs it, and sees that a late claim of the holder is not granted.
    fn give_back(
        &mut self,
        key: &claims::ClaimKey,
        holder: claims::Holder,
    ) -> command::SettleOutcome {
        match self.claims.get(key) {
            Some(held) if held.holder == holder && held.state != State::Running => {
                return command::SettleOutcome::Ignored;
            }
            Some(held) if held.holder == holder => {
                self.claims.remove(key);
            }
            _ => {}
        }
        if self.given_back.insert(holder.clone()) {
            self.given_back_oldest_first.push_back(holder);
        }
        while self.given_back.len() > self.limits.given_back {
            if let Some(oldest) = self.given_back_oldest_first.pop_front() {
                self.given_back.remove(&oldest);
            }
        }
        command::SettleOutcome::Settled
    }

    fn ran(&mut self, key: claims::ClaimKey, answer: Option<claims::RecordedAnswer>) {
        self.keep_answer(&key, answer);
        self.unstamped.push(key);
    }

    fn unknown(&mut self, key: claims::ClaimKey) {
        if let Some(held) = self.claims.get_mut(&key) {
            held.state = State::Unknown;
            self.unstamped.push(key);
        }
    }

    fn keep_answer(&mut self, key: &claims::ClaimKey, answer: Option<claims::RecordedAnswer>) {
        let room = self.limits.all_answer_bytes - self.answer_bytes;
        let limit = room.min(self.limits.answer_bytes);
        let answer = answer.filter(|answer| answer.body.len() <= limit);
        if let Some(held) = self.claims.get_mut(key) {
            self.answer_bytes += answer.as_ref().map_or(0, |answer| answer.body.len());
            held.state = State::Ran { answer };
        }
    }

    /// Counts the retention of what was settled since the last reading from this reading.
    fn stamp(&mut self) {
        for key in std::mem::take(&mut self.unstamped) {
            if let Some(held) = self.claims.get(&key) {
                let at = self.unix_ms.saturating_add(held.retention.0);
                self.expiries.insert((at, key));
            }
        }
    }

    fn forget(&mut self, key: &claims::ClaimKey) {
        let Some(held) = self.claims.remove(key) else {
            return;
        };
        if let State::Ran {
            answer: Some(answer),
        } = held.state
        {
            self.answer_bytes -= answer.body.len();
        }
    }
}

/// The answer to a claim on a key that is held.
fn answer_again(held: &Held, claim: &claims::Claim) -> claims::ClaimOutcome {
    if held.digest != claim.digest {
        return claims::ClaimOutcome::OtherContent;
    }
    match &held.state {
        State::Running if held.holder == claim.holder => claims::ClaimOutcome::Granted,
        State::Running => claims::ClaimOutcome::Running {
            holder: held.holder.clone(),
        },
        State::Ran { answer } => claims::ClaimOutcome::Ran {
            answer: answer.clone(),
        },
        State::Unknown => claims::ClaimOutcome::Unknown,
    }
}
