//! Accepting connections, counting them, and letting them end.
//!
//! # Shutting down without cutting a request
//!
//! The daemon calls, in this order: [`Server::drain`], after which each answer is the last on its
//! connection and callers move elsewhere by themselves; once the balancer has had its notice,
//! [`Server::stop_accepting`]; then [`Server::close_idle`], which ends the connections that carry no
//! request; then [`Server::wait`]. A request that is sent on an idle connection in the very moment
//! in which `close_idle` ends it gets no answer; HTTP/1.1 knows no way around this, clients retry it
//! on a new connection, and it was not run.

use std::{
    collections, io, net,
    sync::{self, atomic},
    thread, time,
};

use derive_more::{Display, Error};
use sageshed_types::shared_memory::SharedMemory;

use crate::{deferred, handler, idle, limits, link, poller, starts, stats};

/// How long [`Server::stop_accepting`] waits for the connections to be taken that the kernel has completed.
const STOP_LIMIT: time::Duration = time::Duration::from_secs(1);

/// Why a server did not start.
#[derive(Debug, Display, Error)]
pub enum StartError {
    /// The listening socket is not usable.
    #[display("reading the address of the listening socket")]
    Address {
        /// What the system said.
        source: io::Error,
    },
    /// Readiness of connections can't be waited for.
    #[display("setting up the wait for connections")]
    Poll {
        /// What the system said.
        source: io::Error,
    },
    /// No thread could be started.
    #[display("starting the thread that accepts connections")]
    Thread {
        /// What the system said.
        source: io::Error,
    },
}

/// What the threads of a server share.
#[derive(Debug)]
pub(crate) struct Shared {
    /// Whether each answer is the last on its connection.
    pub(crate) draining: sync::Arc<atomic::AtomicBool>,
    /// Answers that are given after their handlers have returned; its waker wakes the poller.
    pub(crate) deferred: sync::Arc<deferred::Queue>,
    pub(crate) counters: sync::Arc<stats::Counters>,
    pub(crate) gate: sync::Arc<Gate>,
    /// The memory for the bodies of requests.
    pub(crate) bodies: sync::Arc<SharedMemory>,
    stopping: atomic::AtomicBool,
    closing_idle: atomic::AtomicBool,
    stopped: atomic::AtomicBool,
    callers: sync::Mutex<limits::InForce>,
    open: sync::Mutex<Open>,
    ended: sync::Condvar,
}

/// The connections that are open now.
#[derive(Debug, Default)]
struct Open {
    next: u64,
    /// Whether accepting has ended.
    is_closed: bool,
    links: collections::HashMap<u64, sync::Arc<link::Link>>,
}

impl Shared {
    fn new(limits: &limits::Limits) -> io::Result<Self> {
        let deferred = sync::Arc::new(deferred::Queue::new()?);
        Ok(Self {
            draining: sync::Arc::default(),
            gate: sync::Arc::new(Gate {
                starts: sync::Mutex::new(starts::Starts::new(limits.starts)),
                deferred: sync::Arc::clone(&deferred),
            }),
            deferred,
            counters: sync::Arc::default(),
            bodies: sync::Arc::new(SharedMemory::new(limits.bodies_bytes)),
            stopping: atomic::AtomicBool::new(false),
            closing_idle: atomic::AtomicBool::new(false),
            stopped: atomic::AtomicBool::new(false),
            callers: sync::Mutex::new(limits::InForce::new(limits.callers())),
            open: sync::Mutex::default(),
            ended: sync::Condvar::new(),
        })
    }

    /// The limits on callers that are in force.
    pub(crate) fn caller_limits(&self) -> limits::CallerLimits {
        self.callers().current()
    }

    /// The bounds that apply to the connections that are idle now, if any have come into force since the last call.
    pub(crate) fn take_raised(&self) -> Option<idle::Bounds> {
        self.callers().take_raised()
    }

    /// They are whole after each statement on them, so a panic elsewhere does not spoil them.
    fn callers(&self) -> sync::MutexGuard<'_, limits::InForce> {
        self.callers
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Whether a connection without a request has to end.
    pub(crate) fn closes_idle(&self) -> bool {
        self.closing_idle.load(atomic::Ordering::SeqCst)
    }

    /// Whether no request is to be begun any more.
    pub(crate) fn is_stopped(&self) -> bool {
        self.stopped.load(atomic::Ordering::SeqCst)
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(atomic::Ordering::SeqCst)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.open().links.is_empty()
    }

    /// No connection is accepted any more.
    pub(crate) fn accepting_ended(&self) {
        self.open().is_closed = true;
        self.ended.notify_all();
    }

    /// The table is whole after each statement on it, so a panic elsewhere does not spoil it.
    fn open(&self) -> sync::MutexGuard<'_, Open> {
        self.open
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    pub(crate) fn enter(
        self: &sync::Arc<Self>,
        link: sync::Arc<link::Link>,
        limits: &limits::Limits,
    ) -> Option<Place> {
        let mut open = self.open();
        let before = open.links.len();
        if before >= limits.connections {
            return None;
        }
        let id = open.next;
        open.next += 1;
        open.links.insert(id, link);
        Some(Place {
            shared: sync::Arc::clone(self),
            id,
            is_reserved: before >= limits.connections.saturating_sub(limits.reserved),
        })
    }
}

/// The requests that wait for their start, shared between the poller and the threads that serve.
#[derive(Debug)]
pub(crate) struct Gate {
    starts: sync::Mutex<starts::Starts>,
    deferred: sync::Arc<deferred::Queue>,
}

impl Gate {
    pub(crate) fn arrive(&self, id: u64, is_new: bool) {
        self.lock().arrive(time::Instant::now(), id, is_new);
    }

    pub(crate) fn record_lag(&self, lag: time::Duration) {
        self.lock().record_lag(time::Instant::now(), lag);
    }

    /// Whether a request that arrives now on a new connection can be started in time.
    pub(crate) fn takes_new(&self) -> bool {
        self.lock().takes_new(time::Instant::now())
    }

    /// Whether connections are to end with their responses, so that callers spread to other processes.
    pub(crate) fn is_overloaded(&self) -> bool {
        self.lock().is_overloaded(time::Instant::now())
    }

    pub(crate) fn next(&self) -> starts::Next {
        self.lock().next(time::Instant::now())
    }

    /// Records that the request on a connection is started, or has ended.
    pub(crate) fn end_start(&self, id: u64) {
        let may_start = self.lock().end_start(id);
        if may_start {
            self.deferred.wake();
        }
    }

    /// The lists are whole after each statement on them, so a panic elsewhere does not spoil them.
    fn lock(&self) -> sync::MutexGuard<'_, starts::Starts> {
        self.starts
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Tells a port how late its process is.
#[derive(Debug, Clone)]
pub struct Load(sync::Arc<Gate>);

impl Load {
    /// Records that the process has taken up something this long after it was there. While it is late, the port starts
    /// no requests on new connections.
    pub fn record_lag(&self, lag: time::Duration) {
        self.0.record_lag(lag);
    }
}

/// Changes the limits on callers of a port while it runs.
#[derive(Debug, Clone)]
pub struct CallerLimits(sync::Arc<Shared>);

impl CallerLimits {
    /// Puts `limits` in force.
    pub fn set(&self, limits: limits::CallerLimits) {
        self.0.callers().set(limits);
        // The poller applies them to idle connections.
        self.0.deferred.wake();
    }
}

/// One connection's place under the bound, given back when dropped, also by a panic.
#[derive(Debug)]
pub(crate) struct Place {
    shared: sync::Arc<Shared>,
    pub(crate) id: u64,
    /// Whether only reserved connections were left when this one was accepted.
    pub(crate) is_reserved: bool,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.shared.open().links.remove(&self.id);
        // An answer that is given after its connection has broken.
        drop(self.shared.deferred.take(self.id));
        self.shared.ended.notify_all();
        if self.shared.is_stopping() {
            // The poller ends with the last connection.
            self.shared.deferred.wake();
        }
    }
}

/// A running server.
#[derive(Debug)]
pub struct Server {
    shared: sync::Arc<Shared>,
    local_addr: net::SocketAddr,
}

impl Server {
    /// Serves requests on `listener` until [`Server::stop_accepting`].
    pub fn start<H: handler::Handler>(
        listener: net::TcpListener,
        limits: limits::Limits,
        handler: sync::Arc<H>,
    ) -> Result<Self, StartError> {
        let local_addr = listener
            .local_addr()
            .map_err(|source| StartError::Address { source })?;
        let shared = Shared::new(&limits).map_err(|source| StartError::Poll { source })?;
        let shared = sync::Arc::new(shared);
        let poller = poller::Poller::new(limits, sync::Arc::clone(&shared), handler);
        let poller = sync::Arc::new(poller.map_err(|source| StartError::Poll { source })?);
        thread::Builder::new()
            .name("http-poll".to_owned())
            .spawn(move || poller.run(listener))
            .map_err(|source| StartError::Thread { source })?;
        log::info!(address:% = local_addr; "http: accepting");
        Ok(Self { shared, local_addr })
    }

    /// The address that callers reach.
    #[must_use]
    pub fn local_addr(&self) -> net::SocketAddr {
        self.local_addr
    }

    /// How many connections are open, busy or idle.
    #[must_use]
    pub fn connections_open(&self) -> usize {
        self.shared.open().links.len()
    }

    /// The figures of the port. Resets its longest wait.
    #[must_use]
    pub fn stats(&self) -> stats::Stats {
        self.shared.counters.read(self.connections_open())
    }

    /// What the owner of the port tells it of the load on the process.
    #[must_use]
    pub fn load(&self) -> Load {
        Load(sync::Arc::clone(&self.shared.gate))
    }

    /// What changes the limits on callers while the port runs.
    #[must_use]
    pub fn caller_limits(&self) -> CallerLimits {
        CallerLimits(sync::Arc::clone(&self.shared))
    }

    /// Makes each answer from now on the last on its connection.
    pub fn drain(&self) {
        self.shared.draining.store(true, atomic::Ordering::Relaxed);
    }

    /// Stops taking connections. Those that the system had taken on our behalf are still served:
    /// dropping the listening socket would reset them, and with them requests already sent.
    pub fn stop_accepting(&self) {
        self.drain();
        self.shared.stopping.store(true, atomic::Ordering::SeqCst);
        self.shared.deferred.wake();
        let (open, _) = self
            .shared
            .ended
            .wait_timeout_while(self.shared.open(), STOP_LIMIT, |open| !open.is_closed)
            .unwrap_or_else(sync::PoisonError::into_inner);
        if !open.is_closed {
            log::warn!("http: accepting goes on until its thread is scheduled");
        }
    }

    /// Ends at once what is not under way: no connection is taken any more, no further request is
    /// begun, and one that is being answered is the last on its connection. For a port whose peers
    /// send what got no answer to another process.
    pub fn stop(&self) {
        self.shared.stopped.store(true, atomic::Ordering::SeqCst);
        self.stop_accepting();
        self.close_idle();
    }

    /// Ends the connections that carry no request, now and from now on.
    pub fn close_idle(&self) {
        self.drain();
        self.shared
            .closing_idle
            .store(true, atomic::Ordering::SeqCst);
        for link in self.shared.open().links.values() {
            if link.is_idle() {
                link.stop_reading();
            }
        }
    }

    /// Waits until no connection is open, at the longest for `limit`. Returns how many still are.
    #[must_use]
    pub fn wait(&self, limit: time::Duration) -> usize {
        let (open, _) = self
            .shared
            .ended
            .wait_timeout_while(self.shared.open(), limit, |open| !open.links.is_empty())
            .unwrap_or_else(sync::PoisonError::into_inner);
        open.links.len()
    }
}
