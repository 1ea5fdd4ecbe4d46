//! Memory that all requests of a process share, for parts of responses that are held until more of them arrives, or for
//! the bodies of requests.
//!
//! A message may grow while it holds no more than is left to all others (dynamic thresholds: Choudhury and Hahne, "Dynamic
//! queue length thresholds for shared-memory packet switches", 1998). Messages that grow without end share the memory among
//! themselves and leave as much to small ones as each of them holds. Of a less urgent message, a smaller share of what is left
//! is enough to stop it.

use std::sync::{Arc, atomic};

use derive_more::{Display, Error};

/// What each message may hold, in bytes, however little is left: what arrives at once.
const MIN_BYTES: usize = 16 * 1024;

/// The memory is used up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("no memory is left for so large a part of a message")]
pub struct Exhausted;

/// The memory for the messages of all requests.
#[derive(Debug)]
pub struct SharedMemory {
    limit: usize,
    held: atomic::AtomicUsize,
}

/// What one message holds. It is free again when this is dropped.
#[derive(Debug)]
pub struct Reservation {
    memory: Arc<SharedMemory>,
    held: usize,
}

impl SharedMemory {
    /// Memory of `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            held: atomic::AtomicUsize::new(0),
        }
    }

    /// The bytes that all messages hold.
    #[must_use]
    pub fn held(&self) -> usize {
        self.held.load(atomic::Ordering::Relaxed)
    }

    /// Whether a message of this size and priority fits where the others hold `others` bytes.
    fn has_room(&self, others: usize, bytes: usize, priority: u8) -> bool {
        let free = self.limit.saturating_sub(others.saturating_add(bytes));
        let needed = bytes.saturating_mul(usize::from(priority) + 1);
        bytes <= MIN_BYTES || needed <= free
    }

    /// A message that holds nothing yet.
    #[must_use]
    pub fn reserve(memory: &Arc<Self>) -> Reservation {
        Reservation {
            memory: Arc::clone(memory),
            held: 0,
        }
    }
}

impl Reservation {
    /// Has the message hold this number of bytes.
    ///
    /// # Errors
    ///
    /// If it would hold more than is left to the others. It holds as much as before then.
    pub fn resize(&mut self, bytes: usize) -> Result<(), Exhausted> {
        self.resize_with_priority(bytes, 0)
    }

    /// Like [`Self::resize`], for a message of this priority; zero is the most urgent. One of priority `n` may hold at most
    /// one part in `n + 1` of what is left to the others.
    ///
    /// # Errors
    ///
    /// If it would hold more.
    pub fn resize_with_priority(&mut self, bytes: usize, priority: u8) -> Result<(), Exhausted> {
        let held = &self.memory.held;
        let others = self.memory.held().saturating_sub(self.held);
        if bytes > self.held && !self.memory.has_room(others, bytes, priority) {
            return Err(Exhausted);
        }
        held.fetch_add(bytes, atomic::Ordering::Relaxed);
        held.fetch_sub(self.held, atomic::Ordering::Relaxed);
        self.held = bytes;
        Ok(())
    }
}

impl Reservation {
    /// Whether the message could hold this number of bytes if no others held any.
    #[must_use]
    pub fn could_hold(&self, bytes: usize, priority: u8) -> bool {
        self.memory.has_room(0, bytes, priority)
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.memory
            .held
            .fetch_sub(self.held, atomic::Ordering::Relaxed);
    }
}
