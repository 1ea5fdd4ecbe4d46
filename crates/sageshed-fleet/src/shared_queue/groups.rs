//! Groups of requests with the same priority and urgency, and their minimum shares.
//!
//! The most urgent group goes first. Each group with waiting requests has a counter of the work granted to it,
//! divided by its minimum share. A group whose counter lags so far behind the work granted to all groups that
//! its share pays for its next request goes before the others.

use std::{collections, ops};

use sageshed_types::time;

use super::{
    QueuePolicy, flows,
    waiting::{Entry, GroupKey, Position, Urgency},
};

/// Work up to which a group may use its minimum share later, in microseconds. A group whose requests could not
/// be placed for some time would otherwise hold back all others once they can.
const MAX_CREDIT_US: f64 = 500_000.0;

/// Candidates of a group in one grant, at least.
const MIN_CANDIDATES: usize = 4;

/// Groups that are tried in their order. The others are tried in turn.
const GROUPS_IN_ORDER: usize = 3;

/// The part of the drain rate that an estimate assumes for a group at least. A group without a minimum share
/// would otherwise wait forever by the estimate while more urgent work keeps arriving.
const MIN_ESTIMATED_SHARE: f64 = 0.02;

/// Work in a millisecond, in microseconds.
#[derive(Debug, Clone, Copy)]
pub(super) struct Drain {
    /// Work done.
    pub rate: f64,
    /// Work arriving that goes before the group in question.
    pub urgent: f64,
}

/// What is served before a request: work in microseconds, and rates in microseconds per millisecond.
#[derive(Debug, Clone, Copy)]
pub(super) struct Ahead {
    /// Work of more urgent groups.
    pub urgent: f64,
    /// Work of its own group.
    pub own: f64,
    /// Rate that is left by urgent work that keeps arriving.
    pub rest: f64,
    /// Rate of the minimum share of its group.
    pub least: f64,
}

impl Ahead {
    /// Time until the request is next, in milliseconds.
    pub(super) fn wait(self) -> f64 {
        let in_order = (self.urgent + self.own) / self.rest;
        in_order.min(self.own / self.least)
    }
}

#[derive(Debug, Default)]
struct Served {
    group: flows::Group,
    /// Work granted to it, divided by its share, on the clock of the work granted to all groups.
    counter: f64,
}

/// The groups with waiting requests.
#[derive(Debug, Default)]
pub(super) struct Groups {
    by_key: collections::BTreeMap<GroupKey, Served>,
    /// Work granted to all groups.
    clock: f64,
    turn: usize,
}

/// The sum of all minimum shares at most. If it reached one, the most urgent group would no longer go first.
const MAX_SHARES: f64 = 0.9;

/// The configured share of a group, which holds while the sum of all is at most [`MAX_SHARES`].
fn share_of(key: GroupKey, policy: &QueuePolicy) -> f64 {
    match key.urgency {
        Urgency::Tight => policy.on_time_share,
        // It becomes tight before it is late.
        Urgency::Relaxed => 0.0,
        Urgency::Late => policy.late_share,
    }
}

impl Groups {
    /// The factor by which all shares are reduced so that their sum is at most [`MAX_SHARES`], with the group `also`
    /// even if nothing waits in it.
    fn share_scale(&self, also: GroupKey, policy: &QueuePolicy) -> f64 {
        let shares = self.by_key.keys().map(|key| share_of(*key, policy));
        let mut sum: f64 = shares.sum();
        if !self.by_key.contains_key(&also) {
            sum += share_of(also, policy);
        }
        (MAX_SHARES / sum).min(1.0)
    }

    pub(super) fn insert(
        &mut self,
        key: GroupKey,
        workspace: u64,
        weight: f64,
        position: Position,
    ) {
        let clock = self.clock;
        let served = self.by_key.entry(key).or_insert_with(|| Served {
            group: flows::Group::default(),
            counter: clock,
        });
        served.group.insert(workspace, weight, position);
    }

    pub(super) fn remove(&mut self, key: GroupKey, workspace: u64, position: &Position) {
        if let Some(served) = self.by_key.get_mut(&key) {
            served.group.remove(workspace, position);
            if served.group.is_empty() {
                self.by_key.remove(&key);
            }
        }
    }

    /// Removes a granted request and charges its group and workspace.
    pub(super) fn serve(
        &mut self,
        key: GroupKey,
        workspace: u64,
        position: &Position,
        policy: &QueuePolicy,
    ) {
        let work = position.work_us as f64;
        let share = share_of(key, policy) * self.share_scale(key, policy);
        let before = self.clock;
        self.clock += work;
        let Some(served) = self.by_key.get_mut(&key) else {
            return;
        };
        if share > 0.0 {
            let start = served.counter.max(before - MAX_CREDIT_US / share);
            // What the group gets beyond its share is not held against it later.
            served.counter = (start + work / share).min(self.clock);
        }
        served.group.serve(workspace, position);
        if served.group.is_empty() {
            self.by_key.remove(&key);
        }
    }

    /// The groups in the order in which they are served: those that are owed a part of their minimum share, the
    /// one with the largest credit first, then the others by urgency.
    pub(super) fn in_order(&self, policy: &QueuePolicy) -> Vec<GroupKey> {
        let Some(first) = self.by_key.keys().next() else {
            return Vec::new();
        };
        let scale = self.share_scale(*first, policy);
        let mut owed: Vec<(f64, GroupKey)> = Vec::new();
        for (key, served) in &self.by_key {
            let credit = (self.clock - served.counter) * share_of(*key, policy) * scale;
            let next = served.group.head().map_or(0, |it| it.work_us);
            if credit > 0.0 && credit >= (next as f64).min(MAX_CREDIT_US) {
                owed.push((credit, *key));
            }
        }
        owed.sort_by(|a, b| b.0.total_cmp(&a.0));
        let mut order: Vec<GroupKey> = owed.into_iter().map(|(_, key)| key).collect();
        let others = self.by_key.keys().filter(|it| !order.contains(it));
        let others: Vec<GroupKey> = others.copied().collect();
        order.extend(others);
        order
    }

    /// What is served before a request that waits with the given urgency, and how fast.
    pub(super) fn ahead<P>(
        &self,
        entry: &Entry<P>,
        urgency: Urgency,
        drain: Drain,
        policy: &QueuePolicy,
    ) -> Ahead {
        let it = &entry.waiting;
        let key = GroupKey {
            priority: it.priority,
            urgency,
        };
        let position = entry.position_in(urgency);
        let group = self.by_key.get(&key).map(|served| &served.group);
        let own = group.map_or(0, |group| {
            group.work_before(it.workspace, it.weight, &position)
        });
        let urgent = self.by_key.range(..key);
        let urgent: u64 = urgent.map(|(_, it)| it.group.work_us()).sum();
        let after = (ops::Bound::Excluded(key), ops::Bound::Unbounded);
        let less_urgent = self.by_key.range(after);
        let scale = self.share_scale(key, policy);
        let less_urgent = less_urgent.map(|(it, _)| share_of(*it, policy) * scale);
        let less_urgent: f64 = less_urgent.sum();
        let least = drain.rate * (share_of(key, policy) * scale).max(MIN_ESTIMATED_SHARE);
        let rest = drain.rate * (1.0 - less_urgent) - drain.urgent;
        Ahead {
            urgent: urgent as f64,
            own: own as f64,
            rest: rest.max(least),
            least,
        }
    }

    /// Work of the requests that would be served before a new one that waits until the end of its priority.
    pub(super) fn booked<P>(&self, entry: &Entry<P>) -> u64 {
        let it = &entry.waiting;
        let last = Position {
            is_newcomer: true,
            due: time::Instant(u64::MAX),
            ..entry.position()
        };
        let until = GroupKey {
            priority: it.priority,
            urgency: Urgency::Late,
        };
        let groups = self.by_key.range(..=until);
        let work = groups.map(|(key, served)| {
            if key.priority == it.priority {
                served.group.work_before(it.workspace, it.weight, &last)
            } else {
                served.group.work_us()
            }
        });
        work.sum()
    }

    /// The share of a workspace among those that wait with the same priority.
    pub(super) fn share_of_workspace(&self, priority: u8, workspace: u64, weight: f64) -> f64 {
        let key = GroupKey {
            priority,
            urgency: Urgency::Tight,
        };
        let group = self.by_key.get(&key);
        group.map_or(1.0, |it| it.group.share_of(workspace, weight))
    }

    /// Requests to try for a grant, in order, at most `limit`.
    pub(super) fn candidates(
        &self,
        limit: usize,
        policy: &QueuePolicy,
    ) -> Vec<(GroupKey, flows::Candidate)> {
        let mut order = self.in_order(policy);
        if let Some(others @ [_, _, ..]) = order.get_mut(GROUPS_IN_ORDER..) {
            let turn = self.turn % others.len();
            others.rotate_left(turn);
        }
        let mut found = Vec::with_capacity(limit);
        let last = order.last().copied();
        for key in order {
            let left = limit - found.len();
            let of_group = if Some(key) == last {
                left
            } else {
                (left / 2).max(MIN_CANDIDATES)
            };
            let Some(served) = self.by_key.get(&key) else {
                continue;
            };
            let of_group = served.group.candidates(of_group);
            found.extend(of_group.into_iter().take(left).map(|it| (key, it)));
            if found.len() == limit {
                break;
            }
        }
        found
    }

    /// Records that a candidate was tried, so that others have their turn.
    pub(super) fn record_tried(&mut self, key: GroupKey, candidate: &flows::Candidate) {
        if let Some(served) = self.by_key.get_mut(&key) {
            served.group.record_tried(candidate);
        }
    }

    /// Has other groups tried at the next grant.
    pub(super) fn rotate(&mut self) {
        self.turn = self.turn.wrapping_add(1);
    }
}
