//! When refused requests return, and the reservations that they hold for that time.
//!
//! The returns of the refused requests of one workspace are spread: each gets a time after those of the same or
//! a more urgent priority, as long after them as their work takes. A reservation is found by workspace and
//! content, so that a caller that states a wrong attempt, or another request, gains nothing.

use std::collections;

use sageshed_types::time;

/// How long after its time a reservation can be used.
const RESERVATION_TTL: time::Millis = time::Millis(1_000);

/// The longest retry delay with a reservation. The demand after that can't be predicted.
const MAX_RESERVED_DELAY: time::Millis = time::Millis(10_000);

/// Period over which returns without a reservation are spread. Without a bound, a long overload would be followed
/// by as long a time in which nothing can be reserved.
const UNRESERVED_PERIOD_MS: f64 = 10_000.0;

/// The shortest retry delay. A request that returns sooner finds the same queue.
const MIN_DELAY_MS: f64 = 100.0;

/// Workspaces and priorities whose returns are spread on their own.
const MAX_SPREAD: usize = 1_024;

/// Spreads the returns of all other workspaces.
const OTHER_WORKSPACES: u64 = u64::MAX;

/// How much each reservation that is used, or not, changes the expected share of callers that return: about the
/// last fifty count.
const RETURN_WEIGHT: f64 = 0.02;

/// The lowest share of callers that are expected to return. Without any, all would be told the same time.
const MIN_RETURNING: f64 = 0.05;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    workspace: u64,
    content: u64,
    at: time::Instant,
    number: u64,
    priority: u8,
    work_us: u64,
}

/// Width of the slots of time in which reserved work is summed: at most 157 additions for each priority.
const SLOT_MS: u64 = 64;

fn slot_of(key: &Key) -> (u64, u8, u64) {
    (key.workspace, key.priority, key.at.0 / SLOT_MS)
}

/// A refused request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Refusal {
    pub workspace: u64,
    pub priority: u8,
    pub content: u64,
    pub work_us: u64,
    /// Time until the work booked so far is done, in milliseconds.
    pub booked_ms: f64,
    /// Time that the request itself takes of the share of its workspace, in milliseconds.
    pub own_ms: f64,
}

/// The pending reservations.
#[derive(Debug)]
pub(super) struct Reservations {
    by_content: collections::BTreeSet<Key>,
    by_time: collections::BTreeMap<(time::Instant, u64), Key>,
    /// Reserved work in microseconds, by workspace, priority and slot of time.
    work: collections::BTreeMap<(u64, u8, u64), u64>,
    /// Reservations of each workspace.
    counts: collections::BTreeMap<u64, usize>,
    /// Until when the returns of a workspace and priority are booked, in milliseconds.
    spread: collections::BTreeMap<(u64, u8), f64>,
    last_number: u64,
    /// The share of refused callers that return.
    returning: f64,
}

impl Default for Reservations {
    fn default() -> Self {
        Self {
            by_content: collections::BTreeSet::new(),
            by_time: collections::BTreeMap::new(),
            work: collections::BTreeMap::new(),
            counts: collections::BTreeMap::new(),
            spread: collections::BTreeMap::new(),
            last_number: 0,
            returning: 1.0,
        }
    }
}

impl Reservations {
    /// Books the return of a refused request. Returns the delay after which it should return.
    pub(super) fn book(
        &mut self,
        now: time::Instant,
        refusal: Refusal,
        max: usize,
    ) -> time::Millis {
        let now_ms = now.0 as f64;
        let (workspace, priority) = (refusal.workspace, refusal.priority);
        let spread_as = self.spread_as(now_ms, workspace, priority);
        let earliest = now_ms + refusal.booked_ms.max(MIN_DELAY_MS);
        let unreserved = earliest.max(now_ms + MAX_RESERVED_DELAY.0 as f64);
        let own = self.spread.get(&(spread_as, priority)).copied();
        let mut at = own.filter(|it| *it >= unreserved).unwrap_or_else(|| {
            let same_or_more_urgent = self.spread.range((spread_as, 0)..=(spread_as, priority));
            let booked = same_or_more_urgent.map(|(_, until)| *until);
            booked.fold(earliest, f64::max)
        });
        if at >= unreserved {
            at = unreserved + (at - unreserved) % UNRESERVED_PERIOD_MS;
        }
        let delay = time::Millis::rounded_up(at - now_ms);
        let until = at + refusal.own_ms * self.returning;
        self.spread.insert((spread_as, priority), until);
        if delay < MAX_RESERVED_DELAY && self.has_room(workspace, max) {
            self.insert(refusal, now + delay);
        }
        delay
    }

    /// The workspace after whose returns those of `workspace` are booked.
    fn spread_as(&mut self, now_ms: f64, workspace: u64, priority: u8) -> u64 {
        let is_known = self.spread.contains_key(&(workspace, priority));
        if !is_known && self.spread.len() >= MAX_SPREAD {
            self.spread.retain(|_, until| *until > now_ms);
        }
        if is_known || self.spread.len() < MAX_SPREAD {
            workspace
        } else {
            OTHER_WORKSPACES
        }
    }

    /// Half of the reservations are for workspaces that hold less than an equal part, so that the flood of one
    /// workspace leaves some for the others.
    fn has_room(&self, workspace: u64, max: usize) -> bool {
        let all = self.by_content.len();
        let own = self.counts.get(&workspace).copied().unwrap_or_default();
        all < max / 2 || (all < max && own < max / (self.counts.len() + 1))
    }

    fn insert(&mut self, refusal: Refusal, at: time::Instant) {
        self.last_number += 1;
        let key = Key {
            workspace: refusal.workspace,
            content: refusal.content,
            at,
            number: self.last_number,
            priority: refusal.priority,
            work_us: refusal.work_us,
        };
        self.by_content.insert(key);
        self.by_time.insert((at, key.number), key);
        *self.work.entry(slot_of(&key)).or_default() += key.work_us;
        *self.counts.entry(key.workspace).or_default() += 1;
    }

    /// Work that is expected to return by `until` with the same or a more urgent priority, in microseconds.
    pub(super) fn work_until(&self, workspace: u64, priority: u8, until: time::Instant) -> f64 {
        let last = until.0 / SLOT_MS;
        let booked = self
            .work
            .range((workspace, 0, 0)..=(workspace, priority, u64::MAX));
        let booked = booked.filter(|((_, _, slot), _)| *slot <= last);
        booked.map(|(_, work)| *work as f64).sum::<f64>() * self.returning
    }

    /// Uses a reservation of a request that joins, if its time has come.
    pub(super) fn redeem(&mut self, now: time::Instant, workspace: u64, content: u64) -> bool {
        let first = Key {
            workspace,
            content,
            at: time::Instant(0),
            number: 0,
            priority: 0,
            work_us: 0,
        };
        let last = Key {
            at: now,
            number: u64::MAX,
            ..first
        };
        let found = self.by_content.range(first..=last).next().copied();
        found.is_some_and(|key| {
            self.remove(&key);
            self.record_return(1.0);
            true
        })
    }

    /// Callers with little time left don't return. If their work was booked in full, the delays of the others
    /// would grow with each of them.
    fn record_return(&mut self, returned: f64) {
        let returning = self.returning + RETURN_WEIGHT * (returned - self.returning);
        self.returning = returning.max(MIN_RETURNING);
    }

    fn remove(&mut self, key: &Key) {
        self.by_content.remove(key);
        self.by_time.remove(&(key.at, key.number));
        let slot = slot_of(key);
        if let collections::btree_map::Entry::Occupied(mut work) = self.work.entry(slot) {
            *work.get_mut() -= key.work_us;
            if *work.get() == 0 {
                work.remove();
            }
        }
        if let Some(count) = self.counts.get_mut(&key.workspace) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&key.workspace);
            }
        }
    }

    /// Removes the reservations that were not used in time. Returns how many there were.
    pub(super) fn expire(&mut self, now: time::Instant) -> u64 {
        let mut missed = 0;
        while let Some((_, &key)) = self.by_time.first_key_value()
            && key.at + RESERVATION_TTL < now
        {
            self.remove(&key);
            self.record_return(0.0);
            missed += 1;
        }
        missed
    }
}
