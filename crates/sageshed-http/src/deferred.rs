//! Answers that are given after their handler has returned.
//!
//! A call that waits for news would hold a thread for as long as it waits. Its handler takes a
//! [`Deferred`] in place of answering; whoever has the news answers by it, from any thread.

use std::{
    collections, io,
    os::fd,
    sync::{self, Arc, atomic},
};

use rustix::event;

use crate::reply;

/// Answers on their way to their connections, and the means to wake the thread that sends them.
#[derive(Debug)]
pub(crate) struct Queue {
    /// By connection. None where a handler gave up and the connection is to be closed.
    answers: sync::Mutex<collections::HashMap<u64, Option<reply::Whole>>>,
    waker: fd::OwnedFd,
    is_woken: atomic::AtomicBool,
}

impl Queue {
    pub(crate) fn new() -> io::Result<Self> {
        let flags = event::EventfdFlags::CLOEXEC | event::EventfdFlags::NONBLOCK;
        Ok(Self {
            answers: sync::Mutex::default(),
            waker: event::eventfd(0, flags)?,
            is_woken: atomic::AtomicBool::new(false),
        })
    }

    /// Readable once [`Queue::wake`] was called.
    pub(crate) fn waker(&self) -> &fd::OwnedFd {
        &self.waker
    }

    /// Wakes the thread that polls [`Queue::waker`].
    pub(crate) fn wake(&self) {
        if self.is_woken.swap(true, atomic::Ordering::SeqCst) {
            return;
        }
        if let Err(e) = rustix::io::write(&self.waker, &1_u64.to_ne_bytes()) {
            log::error!(error:% = e; "http: poller not woken");
        }
    }

    /// Resets the waker. To be called before looking at what it was used for.
    pub(crate) fn reset(&self) {
        if let Err(e) = rustix::io::read(&self.waker, &mut [0; 8]) {
            log::debug!(error:% = e; "http: waker was not set");
        }
        self.is_woken.store(false, atomic::Ordering::SeqCst);
    }

    /// The connections for which there are answers.
    pub(crate) fn given(&self) -> Vec<u64> {
        self.lock().keys().copied().collect()
    }

    /// Whether there is an answer for a connection.
    pub(crate) fn has(&self, connection: u64) -> bool {
        self.lock().contains_key(&connection)
    }

    /// Takes the answer for a connection.
    pub(crate) fn take(&self, connection: u64) -> Option<reply::Whole> {
        self.lock().remove(&connection).flatten()
    }

    fn give(&self, connection: u64, answer: Option<reply::Whole>) {
        self.lock().insert(connection, answer);
        self.wake();
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::HashMap<u64, Option<reply::Whole>>> {
        self.answers
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// The means to answer a request later. Dropped without an answer, it closes the connection.
#[derive(Debug)]
pub struct Deferred {
    queue: Arc<Queue>,
    connection: u64,
    is_given: bool,
}

impl Deferred {
    pub(crate) fn new(queue: Arc<Queue>, connection: u64) -> Self {
        Self {
            queue,
            connection,
            is_given: false,
        }
    }

    /// Answers the request. Does not block.
    pub fn answer(mut self, answer: reply::Whole) {
        self.is_given = true;
        self.queue.give(self.connection, Some(answer));
    }
}

impl Drop for Deferred {
    fn drop(&mut self) {
        if !self.is_given {
            self.queue.give(self.connection, None);
        }
    }
}
