//! Requests that wait in this entry process.
//!
//! Requests that the same endpoints may serve wait in one lane, in the order in which they will be
//! sent: priority, then the earliest deadline, then arrival. A lane whose endpoints are all full
//! does not hold up another one. How many may wait is bounded by class over all lanes.
//!
//! When a class is full, the caller who has the most waiting in it gives up its last one to a caller
//! who has at least two fewer. Without this, one caller that floods a class would fill its queue and
//! every other caller of the class would be refused.

use std::{cmp, collections};

use sageshed_types::{
    arena::{self, Key},
    time,
};

use crate::event;

/// What requests of one lane have in common.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Lane {
    /// What is asked.
    pub target: event::Target,
    /// The only pool that may serve, by a rule.
    pub pool: Option<arena::PoolKey>,
}

/// A waiting request, ordered by when it is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueKey {
    /// The greatest priority comes first.
    pub priority: cmp::Reverse<u8>,
    /// Then the earliest deadline.
    pub deadline: time::Instant,
    /// Then the one that arrived first.
    pub req: event::ReqId,
    /// Its class. Takes no part in the order, since `req` is unique.
    pub class: arena::ClassKey,
    /// Its caller. Takes no part in the order either.
    pub caller: arena::CallerKey,
}

/// All lanes.
#[derive(Debug, Default)]
pub struct Queues {
    lanes: collections::BTreeMap<Lane, collections::BTreeSet<QueueKey>>,
    by_class: Vec<u32>,
    by_caller: collections::BTreeMap<(arena::ClassKey, arena::CallerKey), u32>,
}

impl Queues {
    /// Puts a request in.
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

    /// Takes a request out.
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

    /// How many of a class wait.
    #[must_use]
    pub fn class_len(&self, class: arena::ClassKey) -> u32 {
        self.by_class.get(class.index()).copied().unwrap_or(0)
    }

    /// How many wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.lanes.values().map(collections::BTreeSet::len).sum()
    }

    /// Whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.lanes.is_empty()
    }

    /// The lanes in which any waits, with the requests in order.
    pub fn lanes(&self) -> impl Iterator<Item = (Lane, &collections::BTreeSet<QueueKey>)> {
        self.lanes
            .iter()
            .map(|(lane, queue_keys)| (*lane, queue_keys))
    }

    /// The first few of a lane.
    pub fn first(&self, lane: Lane, count: usize) -> impl Iterator<Item = QueueKey> {
        let queue_keys = self.lanes.get(&lane).into_iter().flatten();
        queue_keys.copied().take(count)
    }

    /// How many of a lane are sent before `queue_key`.
    #[must_use]
    pub fn ahead(&self, lane: Lane, queue_key: &QueueKey) -> usize {
        let queue_keys = self.lanes.get(&lane);
        queue_keys.map_or(0, |queue_keys| queue_keys.range(..queue_key).count())
    }

    /// Who gives way in a full class for one more of `caller`: the last one of the caller that has
    /// the most, if that one has at least two more than `caller`.
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
