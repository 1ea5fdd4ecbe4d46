//! Merges the crashes of endpoints that an entry process sees or is told of.

use sageshed_fleet::{dialect, quarantine};

use super::state;

impl<D: dialect::Dialect> state::Shared<D> {
    /// Merges crashes that this process saw or that control reports. If they quarantine a request, waiting requests
    /// are woken, so that those with its content are refused.
    pub fn merge_crashes(&self, crashes: &[quarantine::Crash]) {
        if crashes.is_empty() {
            return;
        }
        let now = self.clock.now();
        let taken = self.with_core(|core| core.quarantine.merge_all(now, crashes));
        for content in &taken.quarantined {
            ::log::warn!(content:% = content, kind:% = content.kind(); "gateway: request is quarantined, endpoints crashed while running it");
        }
        for content in &taken.released {
            ::log::info!(content:% = content, kind:% = content.kind(); "gateway: request is no longer quarantined, it was answered");
        }
        if !taken.quarantined.is_empty() {
            self.wake_waiting();
        }
    }
}
