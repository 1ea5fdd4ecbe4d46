//! Queues of requests that wait in this entry process for a free slot.
//!
//! Requests that can be served by the same endpoints wait in one lane, ordered by priority, then by
//! deadline, then by arrival. A lane whose endpoints are all full does not block other lanes. The
//! number of queued requests is bounded for each class over all lanes.
//!
//! When the queue of a class is full, a request of a caller displaces the last request of the caller
//! with the most queued requests, if that one has at least two more. Otherwise a single caller that
//! floods a class would fill its queue, and all other callers of the class would be refused.

use std::{cmp, collections};

use sageshed_types::{
    arena::{self, Key},
    time,
};

use crate::event;

/// Identifies a lane by what its requests have in common.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Lane {
    /// The model, adapter or service that the requests ask for.
    pub target: event::Target,
    /// The only pool that may serve the requests, if a rule names one.
    pub pool: Option<arena::PoolKey>,
}

/// The sort key of a queued request. The order is that in which requests are sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueKey {
    /// The highest priority comes first.
    pub priority: cmp::Reverse<u8>,
    /// At equal priority, the earliest deadline comes first.
    pub deadline: time::Instant,
    /// At equal deadlines, the request that arrived first comes first.
    pub req: event::ReqId,
    /// The class of the request. Does not affect the order, since `req` is unique.
    pub class: arena::ClassKey,
    /// The caller of the request. Does not affect the order either.
    pub caller: arena::CallerKey,
}

/// All lanes, with counts by class and caller.
#[derive(Debug, Default)]
pub struct Queues {
    lanes: collections::BTreeMap<Lane, collections::BTreeSet<QueueKey>>,
    by_class: Vec<u32>,
    by_caller: collections::BTreeMap<(arena::ClassKey, arena::CallerKey), u32>,
}

impl Queues {
    /// Adds a request to a lane.
    pub fn push(&mut self, lane: Lane, queue_key: QueueKey) {
        self.lanes.entry(lane).or_default().insert(queue_key);
        if self.by_class.len() <= queue_key.class.index() {
            self.by_class.resize(queue_key.class.index() + 1, 0);
        }
        self.by_class[queue_key.class.index()] += 1;
        *self
            .by_caller
            .entry((queue_key.class, queue_key.caller))
            .or_default() += 1;
    }

    /// Removes a request from a lane, if it is there.
    pub fn remove(&mut self, lane: Lane, queue_key: &QueueKey) {
        let Some(queue_keys) = self.lanes.get_mut(&lane) else {
            return;
        };
        if !queue_keys.remove(queue_key) {
            return;
        }
        if queue_keys.is_empty() {
            self.lanes.remove(&lane);
        }
        self.by_class[queue_key.class.index()] -= 1;
        let of_caller = (queue_key.class, queue_key.caller);
        if let Some(count) = self.by_caller.get_mut(&of_caller) {
            *count -= 1;
            if *count == 0 {
                self.by_caller.remove(&of_caller);
            }
        }
    }

    /// The number of queued requests of a class.
    #[must_use]
    pub fn class_len(&self, class: arena::ClassKey) -> u32 {
        self.by_class.get(class.index()).copied().unwrap_or(0)
    }

    /// The number of queued requests in all lanes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.lanes.values().map(collections::BTreeSet::len).sum()
    }

    /// Whether no request is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.lanes.is_empty()
    }

    /// The lanes that are not empty, with their requests in order.
    pub fn lanes(&self) -> impl Iterator<Item = (Lane, &collections::BTreeSet<QueueKey>)> {
        self.lanes
            .iter()
            .map(|(lane, queue_keys)| (*lane, queue_keys))
    }

    /// The first `count` requests of a lane.
    pub fn first(&self, lane: Lane, count: usize) -> impl Iterator<Item = QueueKey> {
        let queue_keys = self.lanes.get(&lane).into_iter().flatten();
        queue_keys.copied().take(count)
    }

    /// The number of requests of a lane that are sent before `queue_key`.
    #[must_use]
    pub fn ahead(&self, lane: Lane, queue_key: &QueueKey) -> usize {
        let queue_keys = self.lanes.get(&lane);
        queue_keys.map_or(0, |queue_keys| queue_keys.range(..queue_key).count())
    }

    /// The queued request that a new request of `caller` displaces in a full class: the last one of the
    /// caller with the most queued requests, if that one has at least two more than `caller`.
    #[must_use]
    pub fn displaced_by(
        &self,
        class: arena::ClassKey,
        caller: arena::CallerKey,
    ) -> Option<event::ReqId> {
        let own = self.by_caller.get(&(class, caller)).copied().unwrap_or(0);
        let of_class = self.by_caller.iter().filter(|((c, _), _)| *c == class);
        let (heaviest, count) = of_class.max_by_key(|(_, count)| **count)?;
        if *count < own + 2 {
            return None;
        }
        let queue_keys = self.lanes.values().flatten();
        let theirs =
            queue_keys.filter(|queue_key| (queue_key.class, queue_key.caller) == *heaviest);
        theirs.max().map(|queue_key| queue_key.req)
    }
}
