//! Prompts and calls that make endpoints crash, and are passed on no more.
//!
//! See [`sageshed_fleet::quarantine`] for what is remembered, and why. Entry processes tell each other and the
//! control processes with their heartbeats.
//!
//! A connection that ends inside an answer is no crash by itself. It was one if the endpoint's next report is of a
//! later start, or if nobody listens at its port any more.

use std::{collections, time as std_time};

use sageshed_fleet::{entry_peers, quarantine};
use sageshed_types::{attempt_error, endpoints, refusal, time, verdict};
use sageshed_upstream::probe;

use super::{request, shared};
use crate::locks;

/// How long a failed try waits for the next report of its endpoint: an engine that crashed loads its program
/// anew, and reports then.
const UNCONFIRMED_KEPT: time::Millis = time::Millis(60_000);

/// Failed tries that wait so at the most: more than one endpoint runs at once.
const MOST_UNCONFIRMED: usize = 1_024;

/// What one entry process remembers.
#[derive(Debug)]
pub struct Crashes {
    /// What it knows, by itself and by others.
    pub quarantine: quarantine::Quarantine,
    unconfirmed: collections::VecDeque<Unconfirmed>,
}

/// A request whose connection ended at an endpoint that may have crashed.
#[derive(Debug, Clone)]
struct Unconfirmed {
    content: quarantine::Fingerprint,
    endpoint: String,
    incarnation: endpoints::Incarnation,
    at: time::Instant,
}

impl Unconfirmed {
    fn crash(&self, now: time::Instant) -> quarantine::Crash {
        quarantine::Crash {
            content: self.content,
            endpoint: entry_peers::hash(&(&self.endpoint, self.incarnation)),
            age: now.since(self.at),
            is_cleared: false,
        }
    }
}

impl Crashes {
    /// Remembers nothing.
    #[must_use]
    pub fn new(start: endpoints::Incarnation) -> Self {
        Self {
            quarantine: quarantine::Quarantine::new(start.0),
            unconfirmed: collections::VecDeque::new(),
        }
    }

    /// Takes crashes that another process tells of.
    pub fn take(&mut self, now: time::Instant, crashes: &[quarantine::Crash]) {
        let taken = self.quarantine.merge_all(now, crashes);
        for content in taken.quarantined {
            log::warn!(content:% = content; "entry: request is held, endpoints ended under it");
        }
        for content in taken.released {
            log::info!(content:% = content; "entry: request is held no more, it was answered");
        }
    }

    /// An endpoint reports: tries that failed at an earlier start of it failed by its crash.
    pub fn reported(&mut self, now: time::Instant, identity: &endpoints::Identity) {
        let is_of_earlier = |it: &Unconfirmed| {
            it.endpoint == identity.endpoint && it.incarnation < identity.incarnation
        };
        let confirmed = self.unconfirmed.iter().filter(|it| is_of_earlier(it));
        let crashes: Vec<_> = confirmed.map(|it| it.crash(now)).collect();
        self.unconfirmed.retain(|it| !is_of_earlier(it));
        self.take(now, &crashes);
    }

    fn suspect(&mut self, now: time::Instant, failed: Unconfirmed) {
        let is_recent = |it: &Unconfirmed| now.since(it.at) < UNCONFIRMED_KEPT;
        self.unconfirmed.retain(is_recent);
        if self.unconfirmed.len() >= MOST_UNCONFIRMED {
            self.unconfirmed.pop_front();
        }
        self.unconfirmed.push_back(failed);
    }
}

impl request::Open<'_> {
    /// Takes note of a try whose connection ended inside its answer.
    pub(super) fn note_break(
        &self,
        order: &request::Order,
        fault: attempt_error::AttemptError,
        verdict: verdict::Verdict,
    ) {
        let is_closed = matches!(
            fault,
            attempt_error::AttemptError::Cut | attempt_error::AttemptError::SendFailed
        );
        if !is_closed || verdict != verdict::Verdict::MayHaveRun {
            return;
        }
        let Some(incarnation) = order.incarnation else {
            return;
        };
        let now = self.shared.clock.now();
        let failed = Unconfirmed {
            content: self.content(),
            endpoint: order.endpoint.clone(),
            incarnation,
            at: now,
        };
        let is_closed = order.address.parse().is_ok_and(probe::is_closed);
        let known = self.shared.known_incarnation(&order.endpoint);
        let mut crashes = locks::lock(&self.shared.crashes);
        if is_closed || known.is_some_and(|it| it > incarnation) {
            let crash = failed.crash(now);
            crashes.take(now, &[crash]);
        } else {
            crashes.suspect(now, failed);
        }
    }

    /// It was answered whole: it is not what made endpoints crash.
    pub(super) fn clear_of_crashes(&self) {
        let now = self.shared.clock.now();
        let mut crashes = locks::lock(&self.shared.crashes);
        crashes.quarantine.record_success(now, self.content());
    }

    /// The refusal of a request that is held.
    pub(super) fn refuse_held(&self) -> Option<refusal::Refusal> {
        let now = self.shared.clock.now();
        let crashes = locks::lock(&self.shared.crashes);
        let left = crashes.quarantine.quarantined_for(now, self.content())?;
        let detail = format!(
            "{} endpoints ended while they ran this request; it is passed on no more for {} s",
            quarantine::CRASH_LIMIT,
            std_time::Duration::from(left).as_secs()
        );
        let refusal = refusal::Refusal::not_run(verdict::Reason::Quarantined, detail);
        Some(refusal.with_retry_after(left))
    }

    fn content(&self) -> quarantine::Fingerprint {
        quarantine::Fingerprint::of_request(self.meta.digest)
    }
}

impl shared::Shared {
    /// The newest start of an endpoint that is known; none of one that says that it leaves, whose end is
    /// planned.
    pub(super) fn known_incarnation(&self, endpoint: &str) -> Option<endpoints::Incarnation> {
        let directory = locks::lock(&self.directory);
        let report = directory.get(endpoint).filter(|it| !it.leaving);
        report.map(|it| it.identity.incarnation)
    }
}
