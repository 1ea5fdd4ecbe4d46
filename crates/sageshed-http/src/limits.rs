//! Bounds on what the other ends can make the process hold.

use std::time;

use crate::{idle, starts};

/// The stack of a thread that serves requests, in bytes, unless settings say otherwise.
///
/// This package's tests overflow 160 KiB in a debug build and 32 KiB in a release build, and pass with
/// 192 KiB and 48 KiB. The rest is for the handler. It costs address space only: what is not touched
/// is not resident.
pub const STACK_BYTES: usize = 256 * 1024;

/// Bounds on sizes, times and numbers. Each is enforced over the whole of what it names, not over
/// each read: a caller that sends a byte a second gains nothing by it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// The largest request line and headers together, in bytes.
    pub head_bytes: usize,
    /// The largest request body, in bytes.
    pub body_bytes: usize,
    /// What the bodies of all requests may hold together, in bytes. A request whose body does not fit is refused.
    pub bodies_bytes: usize,
    /// From the first byte of a request to the end of its headers.
    pub head_timeout: time::Duration,
    /// From the end of the headers to the end of the body.
    pub body_timeout: time::Duration,
    /// How long a connection may stay open without a request.
    pub idle_timeout: time::Duration,
    /// Callers begin no request on a connection that has been idle for longer; zero if that is not known. Connections
    /// past it are the first to be closed to make room.
    pub reuse_timeout: time::Duration,
    /// How long a caller may accept nothing of its answer, or acknowledge nothing of it, before it
    /// counts as gone.
    pub write_timeout: time::Duration,
    /// How many connections may be open at once. Each holds a descriptor, and a thread while a request
    /// on it is at work.
    pub connections: usize,
    /// What becomes of a connection past this number, if none of the others is idle.
    pub excess: Excess,
    /// Bounds on the requests that are started at once.
    pub starts: starts::Bounds,
    /// How many connections are left to requests for which the handler does not yield.
    pub reserved: usize,
    /// Threads that are started as soon as a request finds none idle. Past these one is started only for a
    /// request that has waited, so that a burst of short requests costs few threads.
    pub eager_threads: usize,
    /// The stack of a thread that serves requests, in bytes. The handler runs on it.
    pub stack_bytes: usize,
}

/// The limits on callers that can be changed while a port runs. The fields are those of [`Limits`].
///
/// A request goes by the limits that are in force when its first byte is read. A connection that is idle or serves a request
/// when they change keeps the longer ones of `idle_timeout` and `reuse_timeout` until its next request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// The largest request line and headers together, in bytes.
    pub head_bytes: usize,
    /// The largest request body, in bytes.
    pub body_bytes: usize,
    /// From the first byte of a request to the end of its headers.
    pub head_timeout: time::Duration,
    /// How long a connection may stay open without a request.
    pub idle_timeout: time::Duration,
    /// Callers begin no request on a connection that has been idle for longer; zero if that is not known.
    pub reuse_timeout: time::Duration,
}

impl CallerLimits {
    /// How long connections are kept without a request.
    #[must_use]
    pub fn idle(&self) -> idle::Bounds {
        idle::Bounds {
            close_after: self.idle_timeout,
            reuse_within: self.reuse_timeout,
        }
    }
}

impl Limits {
    /// These limits with other ones on callers.
    #[must_use]
    pub fn with_callers(self, callers: CallerLimits) -> Self {
        Self {
            head_bytes: callers.head_bytes,
            body_bytes: callers.body_bytes,
            head_timeout: callers.head_timeout,
            idle_timeout: callers.idle_timeout,
            reuse_timeout: callers.reuse_timeout,
            ..self
        }
    }

    /// The limits on callers until they are changed.
    #[must_use]
    pub fn callers(&self) -> CallerLimits {
        CallerLimits {
            head_bytes: self.head_bytes,
            body_bytes: self.body_bytes,
            head_timeout: self.head_timeout,
            idle_timeout: self.idle_timeout,
            reuse_timeout: self.reuse_timeout,
        }
    }
}

/// The limits on callers that are in force.
#[derive(Debug)]
pub(crate) struct InForce {
    current: CallerLimits,
    /// The longest bounds on idle connections that have come into force since these were last taken.
    raised: Option<idle::Bounds>,
}

impl InForce {
    pub(crate) fn new(current: CallerLimits) -> Self {
        Self {
            current,
            raised: None,
        }
    }

    pub(crate) fn current(&self) -> CallerLimits {
        self.current
    }

    pub(crate) fn set(&mut self, limits: CallerLimits) {
        self.current = limits;
        let bounds = limits.idle();
        self.raised = Some(self.raised.map_or(bounds, |it| it.max(bounds)));
    }

    /// What applies to the connections that are idle now, if anything has changed.
    pub(crate) fn take_raised(&mut self) -> Option<idle::Bounds> {
        self.raised.take()
    }
}

/// What becomes of a connection past the bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Excess {
    /// Its request is refused with an account.
    Refuse,
    /// It is closed unread, so that its caller can send the request to another process.
    Close,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            bodies_bytes: usize::MAX,
            head_timeout: time::Duration::from_secs(10),
            body_timeout: time::Duration::from_secs(30),
            idle_timeout: time::Duration::from_mins(1),
            reuse_timeout: time::Duration::ZERO,
            write_timeout: time::Duration::from_secs(20),
            connections: 4_000,
            excess: Excess::Refuse,
            starts: starts::Bounds::NONE,
            reserved: 0,
            eager_threads: usize::MAX,
            stack_bytes: STACK_BYTES,
        }
    }
}
