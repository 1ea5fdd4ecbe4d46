//! The accounts of the latest requests, for `sageshed explain`.

use std::collections;

use sageshed_types::request_trace;

/// Accounts kept for a while, the oldest dropped first.
#[derive(Debug)]
pub struct Accounts {
    max: usize,
    order: collections::VecDeque<String>,
    by_id: collections::HashMap<String, request_trace::RequestTrace>,
}

impl Accounts {
    /// Room for `max` accounts; each takes about 1 KiB.
    #[must_use]
    pub fn new(max: usize) -> Self {
        Self {
            max,
            order: collections::VecDeque::new(),
            by_id: collections::HashMap::new(),
        }
    }

    /// Keeps the account of a request that has ended.
    pub fn keep(&mut self, account: request_trace::RequestTrace) {
        let id = account.request_id.clone();
        if self.by_id.insert(id.clone(), account).is_none() {
            self.order.push_back(id);
        }
        while self.order.len() > self.max {
            if let Some(oldest) = self.order.pop_front() {
                self.by_id.remove(&oldest);
            }
        }
    }

    /// The account of a request, if it is still kept.
    #[must_use]
    pub fn get(&self, request_id: &str) -> Option<&request_trace::RequestTrace> {
        self.by_id.get(request_id)
    }

    /// How many are kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether none is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }
}
