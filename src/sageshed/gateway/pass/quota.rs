//! What a request takes of its workspace's quota.
//!
//! It is charged what it declares when it comes, so that one beyond the quota is told so at once and stands in
//! nobody's way; and anew when it is sent, if it has waited since: all that waited through a
//! stall would otherwise be sent in one window. What is sent and may have run stays charged, and each further sending
//! is charged again. What was not run by an endpoint's word, and what is not sent at all, is given back.

use std::time as std_time;

use sageshed_fleet::{allowance, config, dialect};
use sageshed_types::{refusal, time, verdict};

use super::Life;
use crate::gateway::allowances;

/// After this a charge is given back and taken anew before the request is sent. Sixteen of it fit into the span
/// over which quotas are judged.
const RENEWED_AFTER: std_time::Duration = std_time::Duration::from_millis(500);

/// After this a charge is not given back any more: that much may have grown anew, and be in use.
const GIVEN_BACK_WITHIN: std_time::Duration = std_time::Duration::from_secs(2);

/// What was taken of a quota for one sending.
#[derive(Debug, Clone, Copy)]
pub(super) struct Charge {
    of: allowance::Key,
    units: f64,
    at: std_time::Instant,
}

impl<D: dialect::Dialect> Life<'_, D> {
    /// Takes what the request needs of its workspace's quota for its next sending, unless it has that. Returns
    /// the refusal if that is used up.
    pub(super) fn charge(&mut self) -> Option<refusal::Refusal> {
        let workspace = self.workspace.clone()?;
        let units = self.units(workspace.quota?.unit);
        let of = allowance::Key::of_workspace(&workspace.name);
        if self.charge.is_some_and(|it| it.of != of) {
            // The key has moved to another workspace while the request waited.
            self.give_charge_back();
        }
        let is_fresh = |it: Charge| it.at.elapsed() < RENEWED_AFTER;
        if self.charge.is_some_and(is_fresh) {
            return None;
        }
        let held = self.charge.take();
        let draw = allowance::AcquireRequest {
            id: 0,
            of,
            amount: units,
            returned: held.map_or(0.0, |it| it.units),
            rank: self.route.priority,
            reported: None,
        };
        match allowances::ask(self.shared, draw) {
            allowance::Next::Over(after) => {
                let detail = format!(
                    "the quota of workspace {} is used up; this request takes {units} of it",
                    workspace.name
                );
                let refusal = self.give_up(verdict::Reason::CallerLimit, detail);
                Some(after_quota(refusal, after))
            }
            allowance::Next::Unreachable => {
                let detail = format!(
                    "no process answers that keeps the quota of workspace {}",
                    workspace.name
                );
                Some(self.give_up(verdict::Reason::NotConfirmed, detail))
            }
            allowance::Next::Granted | allowance::Next::Ask(..) => {
                let at = std_time::Instant::now();
                self.charge = Some(Charge { of, units, at });
                None
            }
        }
    }

    /// What the request takes of a quota in this unit.
    fn units(&self, unit: config::Unit) -> f64 {
        let (prompt, output) = (self.passing.prompt_tokens, self.passing.output_tokens);
        // A caller may declare any number: wrapped around, the largest would count as none.
        let declared = prompt.saturating_add(output);
        match unit {
            config::Unit::Requests => 1.0,
            config::Unit::Tokens { undeclared } if declared == 0 => undeclared as f64,
            config::Unit::Tokens { .. } => declared as f64,
        }
    }

    /// The request goes out: what was taken is used, unless the endpoint says that it has not run.
    pub(super) fn use_charge(&mut self) {
        self.used = self.charge.take();
    }

    /// The request has not run and never will: what was taken for it is there for its next sending.
    pub(super) fn unuse_charge(&mut self) {
        self.charge = self.used.take();
    }

    /// Gives back what was taken for a sending that does not take place.
    pub(super) fn give_charge_back(&mut self) {
        let charge = self.charge.take();
        let charge = charge.filter(|it| it.at.elapsed() < GIVEN_BACK_WITHIN);
        if let Some(Charge { of, units, .. }) = charge {
            allowances::give_back(self.shared, of, units);
        }
    }
}

/// A refusal for want of quota says when that will have grown; one of a request that may have run says nothing of
/// when to come back.
fn after_quota(refusal: refusal::Refusal, after: time::Millis) -> refusal::Refusal {
    if refusal.verdict != verdict::Verdict::NotRun {
        return refusal;
    }
    let status = verdict::Reason::CallerLimit.status();
    refusal::Refusal {
        status,
        ..refusal.retry_after(after)
    }
}
