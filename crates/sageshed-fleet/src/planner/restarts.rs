//! Orders to an engine that has ended, which the next start under its name may carry out.
//!
//! An order names the engine, not its start, and may be carried out seconds after it was given. Of two starts
//! the later one counts its orders from zero again, so an order to the earlier one can stand behind just
//! the number that the later one has reached. It would then load weights that no account shows, and with
//! those of the next order its memory would be overcommitted, which ends an engine with all that it runs. So
//! a start is given no orders until those to the one before have settled.

use std::collections;

use sageshed_types::time;

use super::engine;
use crate::directory;

/// What may still be under way to earlier starts.
#[derive(Debug, Default)]
pub(super) struct Restarts {
    /// Until when an order to an earlier start may be carried out, by the name of the engine.
    unsettled: collections::HashMap<String, time::Instant>,
    /// Until when orders of the leader before may be carried out.
    earlier_leader_until: time::Instant,
    /// The starts that are there and followed another lately.
    restarted: collections::HashSet<directory::InstanceId>,
}

impl Restarts {
    /// Another leader gave orders until `from`, and what it gave is not known.
    pub(super) fn start_leading(&mut self, from: time::Instant) {
        self.unsettled.clear();
        self.earlier_leader_until = from + engine::UNCONFIRMED_TIMEOUT;
    }

    /// Takes the starts that are there and followed another lately.
    pub(super) fn set_restarted(&mut self, restarted: Vec<directory::InstanceId>) {
        self.restarted = restarted.into_iter().collect();
    }

    /// Keeps in mind what was left open at the engines that are not there any more.
    pub(super) fn record_ended(
        &mut self,
        now: time::Instant,
        engines: &collections::BTreeMap<directory::InstanceId, engine::Engine>,
        is_there: impl Fn(&directory::InstanceId) -> bool,
    ) {
        self.unsettled.retain(|_, until| now < *until);
        for (id, engine) in engines.iter().filter(|(id, _)| !is_there(id)) {
            if let Some(until) = engine.unsettled_until(now) {
                self.unsettled.insert(id.name.clone(), until);
            }
        }
    }

    /// Until when a start that was not there before may carry out orders to an earlier one.
    pub(super) fn unsettled_until(&self, id: &directory::InstanceId) -> time::Instant {
        let known = self.unsettled.get(&id.name).copied().unwrap_or_default();
        if self.restarted.contains(id) {
            return known.max(self.earlier_leader_until);
        }
        known
    }
}
