//! What a request takes of its workspace's quota.
//!
//! It is charged what it declares when it comes, so that one beyond the quota is told so at once and stands in
//! nobody's way; and anew when it is sent, if it has waited since: all that waited through a
//! stall would otherwise be sent in one window. What is sent and may have run stays charged, and each further sending
//! is charged again. What was not run by an endpoint's word, and what is not sent at all, is given back.

use std::time as std_time;

use sageshed_fleet::{allowance, config, dialect};
use sageshed_types::{refusal, time, verdict};

use super::ProxiedRequest;
use crate::gateway::allowances;

/// After this a charge is given back and taken anew before the request is sent. Sixteen of it fit into the span
/// over which quotas are judged.
const CHARGE_LIFETIME: std_time::Duration = std_time::Duration::from_millis(500);

/// After this a charge is not given back any more: that much may have grown anew, and be in use.
const REFUND_WINDOW: std_time::Duration = std_time::Duration::from_secs(2);

/// What was taken of a quota for one sending.
#[derive(Debug, Clone, Copy)]
pub(super) struct Charge {
    of: allowance::Key,
    units: f64,
    at: std_time::Instant,
}

impl<D: dialect::Dialect> ProxiedRequest<'_, D> {
    /// Takes what the request needs of its workspace's quota for its next sending, unless it has that. Returns
    /// the refusal if that is used up.
    pub(super) fn charge_quota(&mut self) -> Option<refusal::Refusal> {
        let workspace = self.workspace.clone()?;
        let units = self.quota_units(workspace.quota?.unit);
        let of = allowance::Key::of_workspace(&workspace.name);
        if self.next_charge.is_some_and(|it| it.of != of) {
            // The key has moved to another workspace while the request waited.
            self.refund_charge();
        }
        let is_fresh = |it: Charge| it.at.elapsed() < CHARGE_LIFETIME;
        if self.next_charge.is_some_and(is_fresh) {
            return None;
        }
        let held = self.next_charge.take();
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
                let refusal = self.final_refusal(verdict::Reason::CallerLimit, detail);
                Some(with_quota_delay(refusal, after))
            }
            allowance::Next::Unreachable => {
                let detail = format!(
                    "no process answers that keeps the quota of workspace {}",
                    workspace.name
                );
                Some(self.final_refusal(verdict::Reason::NotConfirmed, detail))
            }
            allowance::Next::Granted | allowance::Next::Ask(..) => {
                let at = std_time::Instant::now();
                self.next_charge = Some(Charge { of, units, at });
                None
            }
        }
    }

    /// What the request takes of a quota in this unit.
    fn quota_units(&self, unit: config::Unit) -> f64 {
        let (prompt, output) = (self.passing.prompt_tokens, self.passing.output_tokens);
        // A caller may declare any number: wrapped around, the largest would count as none.
        let declared = prompt.saturating_add(output);
        match unit {
            config::Unit::Requests => 1.0,
            config::Unit::Tokens { default_tokens } if declared == 0 => default_tokens as f64,
            config::Unit::Tokens { .. } => declared as f64,
        }
    }

    /// The request goes out: what was taken is used, unless the endpoint says that it has not run.
    pub(super) fn commit_charge(&mut self) {
        self.committed_charge = self.next_charge.take();
    }

    /// The request has not run and never will: what was taken for it is there for its next sending.
    pub(super) fn restore_charge(&mut self) {
        self.next_charge = self.committed_charge.take();
    }

    /// Gives back what was taken for a sending that does not take place.
    pub(super) fn refund_charge(&mut self) {
        let charge = self.next_charge.take();
        let charge = charge.filter(|it| it.at.elapsed() < REFUND_WINDOW);
        if let Some(Charge { of, units, .. }) = charge {
            allowances::give_back(self.shared, of, units);
        }
    }
}

/// A refusal for want of quota says when that will have grown; one of a request that may have run says nothing of
/// when to come back.
fn with_quota_delay(refusal: refusal::Refusal, after: time::Millis) -> refusal::Refusal {
    if refusal.verdict != verdict::Verdict::NotRun {
        return refusal;
    }
    let status = verdict::Reason::CallerLimit.status();
    refusal::Refusal {
        status,
        ..refusal.retry_after(after)
    }
}
