//! Orders to an instance that has ended, which the next instance of the same endpoint may execute.
//!
//! An order names the endpoint, not the instance, and may be executed seconds after it was sent. The next instance
//! counts its orders from zero again, so its count can reach the `accepted_before` of an order to the previous one.
//! It would then load weights that the leader doesn't know of, and the next order would overcommit its memory, which
//! crashes the engine with all its requests. So an instance gets no orders until those to the previous one can no
//! longer be executed.

use std::collections;

use sageshed_types::time;

use super::engine;
use crate::directory;

/// The orders to earlier instances that may still be executed.
#[derive(Debug, Default)]
pub(super) struct Restarts {
    /// Until when an order to an earlier instance may be executed, by endpoint name.
    unsettled: collections::HashMap<String, time::Instant>,
    /// Until when orders of the previous leader may be executed.
    earlier_leader_until: time::Instant,
    /// The present instances that have recently replaced another one.
    restarted: collections::HashSet<directory::InstanceId>,
}

impl Restarts {
    /// This process becomes the leader. The orders that another one gave until `from` are not known.
    pub(super) fn start_leading(&mut self, from: time::Instant) {
        self.unsettled.clear();
        self.earlier_leader_until = from + engine::UNCONFIRMED_TIMEOUT;
    }

    /// Sets the present instances that have recently replaced another one.
    pub(super) fn set_restarted(&mut self, restarted: Vec<directory::InstanceId>) {
        self.restarted = restarted.into_iter().collect();
    }

    /// Records until when orders to the engines that have ended may be executed.
    pub(super) fn record_ended(
        &mut self,
        now: time::Instant,
        engines: &collections::BTreeMap<directory::InstanceId, engine::Engine>,
        is_present: impl Fn(&directory::InstanceId) -> bool,
    ) {
        self.unsettled.retain(|_, until| now < *until);
        for (id, engine) in engines.iter().filter(|(id, _)| !is_present(id)) {
            if let Some(until) = engine.unsettled_until(now) {
                self.unsettled.insert(id.name.clone(), until);
            }
        }
    }

    /// Until when a new instance may execute orders to an earlier one.
    pub(super) fn unsettled_until(&self, id: &directory::InstanceId) -> time::Instant {
        let known = self.unsettled.get(&id.name).copied().unwrap_or_default();
        if self.restarted.contains(id) {
            return known.max(self.earlier_leader_until);
        }
        known
    }
}
