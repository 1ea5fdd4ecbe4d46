//! The slowdown that an endpoint reports for itself while other workloads use its machine.
//!
//! A machine that is shared changes its speed several times a second. The speed that is learned from
//! response times follows within some ten responses, when the phase is over. So a reported slowdown is
//! applied at once, and what is learned is divided by the slowdown that was reported at the time.
//! Otherwise the same delay would count twice: in the report and in the learned speed.

use std::collections;

use sageshed_types::time;

use crate::dialect;

/// How long a report counts. Shared machines change their speed about this often, so that an older report
/// is as likely wrong as right.
const REPORT_TTL: time::Millis = time::Millis(600);

/// Phases that are kept, to look up the one in which a request was sent. At one phase in 600 ms, these
/// cover nearly ten seconds.
const MAX_PHASES: usize = 16;

/// A time in which all reports stated the same slowdown.
#[derive(Debug, Clone, Copy)]
struct Phase {
    percent: u32,
    first: time::Instant,
    last: time::Instant,
}

/// The slowdown that one endpoint reported lately.
#[derive(Debug, Default)]
pub(super) struct ReportedSlowdown {
    phases: collections::VecDeque<Phase>,
}

impl ReportedSlowdown {
    /// Records a report that arrived at `now`.
    pub(super) fn record(&mut self, now: time::Instant, percent: Option<u32>) {
        let Some(percent) = percent.and_then(dialect::valid_slowdown) else {
            return;
        };
        if let Some(latest) = self.phases.back_mut()
            && latest.percent == percent
            && now.since(latest.last) < REPORT_TTL
        {
            latest.last = now;
            return;
        }
        if self.phases.len() == MAX_PHASES {
            self.phases.pop_front();
        }
        self.phases.push_back(Phase {
            percent,
            first: now,
            last: now,
        });
    }

    /// By which factor work took longer at `at`, by the reports until then; one if there was no recent one.
    pub(super) fn factor(&self, at: time::Instant) -> f64 {
        let mut latest_first = self.phases.iter().rev();
        let phase = latest_first.find(|it| it.first <= at);
        let fresh = phase.filter(|it| at.since(it.last) < REPORT_TTL);
        fresh.map_or(1.0, |it| f64::from(it.percent) / 100.0)
    }

    /// By which factor the slowdown has changed since a request was sent `took` before `now`.
    pub(super) fn change(&self, now: time::Instant, took: time::Millis) -> f64 {
        let sent_at = time::Instant(now.0.saturating_sub(took.0));
        self.factor(now) / self.factor(sent_at)
    }
}
