//! Charges requests to the quota of their workspace.
//!
//! A request is charged on arrival by what it declares, so that one over the quota is refused at once and does not
//! delay others. If it has waited since, it is charged anew when it is sent: otherwise all requests that waited
//! through a stall would be sent in one window. An attempt that may have run stays charged, and each further attempt
//! is charged again. The charge is refunded if the endpoint reports that it did not run the request, or if the
//! request is never sent.

use std::time as std_time;

use sageshed_fleet::{allowance, config, dialect};
use sageshed_types::{refusal, time, verdict};

use super::ProxiedRequest;
use crate::gateway::allowances;

/// The age at which a charge is renewed before the request is sent: a sixteenth of the window over which quotas
/// are judged.
const CHARGE_LIFETIME: std_time::Duration = std_time::Duration::from_millis(500);

/// The age after which a charge is not refunded: by then the bucket may have refilled, and a refund would grant the
/// units twice.
const REFUND_WINDOW: std_time::Duration = std_time::Duration::from_secs(2);

/// The units of a quota charged for one attempt.
#[derive(Debug, Clone, Copy)]
pub(super) struct Charge {
    of: allowance::Key,
    units: f64,
    at: std_time::Instant,
}

impl<D: dialect::Dialect> ProxiedRequest<'_, D> {
    /// Charges the workspace's quota for the next attempt, unless a recent charge is held. Returns a refusal if
    /// the quota is used up.
    pub(super) fn charge_quota(&mut self) -> Option<refusal::Refusal> {
        let workspace = self.workspace.clone()?;
        let units = self.quota_units(workspace.quota?.unit);
        let of = allowance::Key::of_workspace(&workspace.name);
        if self.next_charge.is_some_and(|it| it.of != of) {
            // The API key was assigned to another workspace while the request waited.
            self.refund_charge();
        }
        let is_fresh = |it: Charge| it.at.elapsed() < CHARGE_LIFETIME;
        if self.next_charge.is_some_and(is_fresh) {
            return None;
        }
        let held = self.next_charge.take();
        let acquire_request = allowance::AcquireRequest {
            id: 0,
            of,
            amount: units,
            returned: held.map_or(0.0, |it| it.units),
            rank: self.route.priority,
            reported: None,
        };
        match allowances::acquire(self.shared, acquire_request) {
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

    /// The units of a quota that the request is charged.
    fn quota_units(&self, unit: config::Unit) -> f64 {
        let (prompt, output) = (self.metadata.prompt_tokens, self.metadata.output_tokens);
        // A caller may declare any number; a wrapping sum could make the largest requests free.
        let declared = prompt.saturating_add(output);
        match unit {
            config::Unit::Requests => 1.0,
            config::Unit::Tokens { default_tokens } if declared == 0 => default_tokens as f64,
            config::Unit::Tokens { .. } => declared as f64,
        }
    }

    /// Assigns the charge to the attempt that starts. [`Self::restore_charge`] takes it back if the request did not
    /// run.
    pub(super) fn commit_charge(&mut self) {
        self.committed_charge = self.next_charge.take();
    }

    /// Keeps the charge of an attempt that did not run for the next attempt.
    pub(super) fn restore_charge(&mut self) {
        if let Some(charge) = self.committed_charge.take() {
            self.refund_charge();
            self.next_charge = Some(charge);
        }
    }

    /// Refunds the charge for an attempt that does not take place.
    pub(super) fn refund_charge(&mut self) {
        let charge = self.next_charge.take();
        let charge = charge.filter(|it| it.at.elapsed() < REFUND_WINDOW);
        if let Some(Charge { of, units, .. }) = charge {
            allowances::release(self.shared, of, units);
        }
    }
}

/// Sets the status of an exceeded quota and a `Retry-After` of the time until the quota has refilled. The refusal of a
/// request that may have run stays as it is, without a `Retry-After`.
fn with_quota_delay(refusal: refusal::Refusal, after: time::Millis) -> refusal::Refusal {
    if refusal.verdict != verdict::Verdict::NotRun {
        return refusal;
    }
    let status = verdict::Reason::CallerLimit.status();
    refusal::Refusal {
        status,
        ..refusal.with_retry_after(after)
    }
}
