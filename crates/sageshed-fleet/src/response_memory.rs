//! The memory for parts of responses that are held until more of them arrives, over all requests of a process.
//!
//! A response may grow while it holds no more than is left to all others (dynamic thresholds: Choudhury and Hahne, "Dynamic
//! queue length thresholds for shared-memory packet switches", 1998). Responses that grow without end share the memory among
//! themselves and leave as much to small ones as each of them holds.

use std::sync::{Arc, atomic};

use derive_more::{Display, Error};

/// What each response may hold, in bytes, however little is left: what arrives at once.
const MIN_BYTES: usize = 16 * 1024;

/// The memory for responses is used up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("no memory is left for so large a part of a response")]
pub struct Exhausted;

/// The memory for the responses of all requests.
#[derive(Debug)]
pub struct ResponseMemory {
    limit: usize,
    held: atomic::AtomicUsize,
}

/// What one response holds. It is free again when this is dropped.
#[derive(Debug)]
pub struct Reservation {
    memory: Arc<ResponseMemory>,
    held: usize,
}

impl ResponseMemory {
    /// Memory of `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            held: atomic::AtomicUsize::new(0),
        }
    }

    /// The bytes that all responses hold.
    #[must_use]
    pub fn held(&self) -> usize {
        self.held.load(atomic::Ordering::Relaxed)
    }

    /// A response that holds nothing yet.
    #[must_use]
    pub fn reserve(memory: &Arc<Self>) -> Reservation {
        Reservation {
            memory: Arc::clone(memory),
            held: 0,
        }
    }
}

impl Reservation {
    /// Has the response hold this number of bytes.
    ///
    /// # Errors
    ///
    /// If it would hold more than is left to the others. It holds as much as before then.
    pub fn resize(&mut self, bytes: usize) -> Result<(), Exhausted> {
        let held = &self.memory.held;
        let others = self.memory.held().saturating_sub(self.held);
        let free = self.memory.limit.saturating_sub(others + bytes);
        if bytes > self.held && bytes > MIN_BYTES && bytes > free {
            return Err(Exhausted);
        }
        held.fetch_add(bytes, atomic::Ordering::Relaxed);
        held.fetch_sub(self.held, atomic::Ordering::Relaxed);
        self.held = bytes;
        Ok(())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.memory
            .held
            .fetch_sub(self.held, atomic::Ordering::Relaxed);
    }
}
