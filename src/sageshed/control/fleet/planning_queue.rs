//! The queues before the planning thread.

use std::{sync::mpsc, time as std_time};

use super::planning;

/// The most inputs that are applied before one planning pass.
const MAX_BATCH: usize = 256;

/// The inputs of the planning thread.
#[derive(Debug)]
pub struct Inputs {
    /// What other processes report; dropped while too many wait.
    pub reported: mpsc::Receiver<planning::Input>,
    /// Results of orders and report queries. None is dropped: an order without a result blocks its engine for further
    /// orders. Their number is bounded by that of the orders and queries in flight.
    pub results: mpsc::Receiver<planning::Input>,
}

impl Inputs {
    /// Waits up to `limit` for an input. Returns the results and up to [`MAX_BATCH`] other inputs, the results first.
    #[must_use]
    pub fn next_batch(&self, limit: std_time::Duration) -> Vec<planning::Input> {
        let first = self.reported.recv_timeout(limit).ok();
        let more = self.reported.try_iter().take(MAX_BATCH);
        let reported: Vec<planning::Input> = first.into_iter().chain(more).collect();
        self.results.try_iter().chain(reported).collect()
    }
}
