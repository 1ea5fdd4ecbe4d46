//! What an entry process learns of requests under which endpoints end.

use sageshed_fleet::{dialect, quarantine};

use super::state;

impl<D: dialect::Dialect> state::Shared<D> {
    /// Takes crashes that this process saw or control tells of. Requests that wait here and are held now are
    /// answered.
    pub fn merge_crashes(&self, crashes: &[quarantine::Crash]) {
        if crashes.is_empty() {
            return;
        }
        let now = self.clock.now();
        let taken = self.with_core(|core| core.quarantine.merge_all(now, crashes));
        for content in &taken.held {
            ::log::warn!(content:% = content; "gateway: request is held, endpoints ended under it");
        }
        for content in &taken.released {
            ::log::info!(content:% = content; "gateway: request is held no more, it was answered");
        }
        if !taken.held.is_empty() {
            self.wake_waiting();
        }
    }
}
