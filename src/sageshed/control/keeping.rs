//! Keeps in the replicated log which requests are passed on no more.
//!
//! Processes tell each other within a second, but all of them may be killed at once. What was learnt at the cost of
//! three endpoints would then be learnt again at that cost, after each such loss.

use std::{sync, thread, time as std_time};

use sageshed_state::command;
use sageshed_types::quarantine;

use super::{inputs, shared};
use crate::locks;

/// Between two looks. The log is to hold what was learnt well before a next loss; it takes some milliseconds.
const LOOK: std_time::Duration = std_time::Duration::from_millis(100);

/// Between two tries where the log can't take it.
const RETRY: std_time::Duration = std_time::Duration::from_secs(1);

/// Runs until the process stops.
pub fn run(shared: &sync::Arc<shared::Shared>, inputs: &inputs::Inputs) {
    while !shared.is_stopping() {
        let kept = locks::read(&shared.state).held_requests().to_vec();
        let pause = if shared.leads() {
            keep(shared, inputs, &kept)
        } else {
            LOOK
        };
        thread::sleep(pause);
    }
}

/// Has the log hold what this process knows. Returns how long to pause.
fn keep(
    shared: &shared::Shared,
    inputs: &inputs::Inputs,
    kept: &[quarantine::QuarantinedRequest],
) -> std_time::Duration {
    let now = shared.clock.now();
    let held = shared.hub.with_quarantine(|it| it.quarantined(now));
    if held == kept {
        return LOOK;
    }
    let count = held.len();
    match inputs.commit(command::Command::HoldRequests(held)) {
        inputs::Fate::Applied(_) => {
            ::log::info!(requests = count; "control: requests that are held are in the log");
            LOOK
        }
        fate => {
            ::log::warn!(requests = count, fate:? = fate; "control: requests that are held could not be kept");
            RETRY
        }
    }
}
