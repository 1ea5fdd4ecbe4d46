//! The slots of an endpoint, given by priority and then by arrival.

use std::{cmp, collections, sync};

#[derive(Debug, Default)]
struct State {
    running: u32,
    arrivals: u64,
    waiting: collections::BTreeSet<(cmp::Reverse<u8>, u64)>,
}

/// Slots shared by the requests of one endpoint.
#[derive(Debug)]
pub(crate) struct Slots {
    count: u32,
    state: sync::Mutex<State>,
    changed: sync::Condvar,
}

/// A slot that is held; dropped, it is free.
#[derive(Debug)]
pub(crate) struct Slot<'a>(&'a Slots);

impl Slots {
    pub(crate) fn new(count: u32) -> Self {
        Self {
            count,
            state: sync::Mutex::default(),
            changed: sync::Condvar::new(),
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Waits for a slot.
    pub(crate) fn take(&self, priority: u8) -> Slot<'_> {
        let mut state = self.lock();
        state.arrivals += 1;
        let place = (cmp::Reverse(priority), state.arrivals);
        state.waiting.insert(place);
        while state.running >= self.count || state.waiting.first() != Some(&place) {
            state = self
                .changed
                .wait(state)
                .unwrap_or_else(sync::PoisonError::into_inner);
        }
        state.waiting.remove(&place);
        state.running += 1;
        drop(state);
        self.changed.notify_all();
        Slot(self)
    }

    /// How many run and how many wait.
    pub(crate) fn load(&self) -> (u32, u32) {
        let state = self.lock();
        let waiting = u32::try_from(state.waiting.len()).unwrap_or(u32::MAX);
        (state.running, waiting)
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.0.lock().running -= 1;
        self.0.changed.notify_all();
    }
}
