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
use sageshed_types::{refusal, verdict};

use crate::{connection, handler, limits, link, overflow};

/// How long accepting pauses after it failed, for example because no file descriptor is left. An
/// accept that fails for want of descriptors fails again at once, and would take a whole processor.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(20);

/// How long the wake-up connection of [`Server::stop_accepting`] may take.
const WAKE_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Why a server did not start.
#[derive(Debug, Display, Error)]
pub enum StartError {
    /// The listening socket is not usable.
    #[display("reading the address of the listening socket")]
    Address {
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
#[derive(Debug, Default)]
pub(crate) struct Shared {
    /// Whether each answer is the last on its connection.
    pub(crate) draining: sync::Arc<atomic::AtomicBool>,
    stopping: atomic::AtomicBool,
    closing_idle: atomic::AtomicBool,
    stopped: atomic::AtomicBool,
    open: sync::Mutex<Open>,
    ended: sync::Condvar,
}

/// The connections that are open now.
#[derive(Debug, Default)]
struct Open {
    next: u64,
    links: collections::HashMap<u64, sync::Arc<link::Link>>,
}

impl Shared {
    /// Whether a connection without a request has to end.
    pub(crate) fn closes_idle(&self) -> bool {
        self.closing_idle.load(atomic::Ordering::SeqCst)
    }

    /// Whether no request is to be begun any more.
    pub(crate) fn is_stopped(&self) -> bool {
        self.stopped.load(atomic::Ordering::SeqCst)
    }

    fn is_stopping(&self) -> bool {
        self.stopping.load(atomic::Ordering::SeqCst)
    }

    /// The table is whole after each statement on it, so a panic elsewhere does not spoil it.
    fn open(&self) -> sync::MutexGuard<'_, Open> {
        self.open
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn enter(self: &sync::Arc<Self>, link: sync::Arc<link::Link>, bound: usize) -> Option<Place> {
        let mut open = self.open();
        if open.links.len() >= bound {
            return None;
        }
        let id = open.next;
        open.next += 1;
        open.links.insert(id, link);
        Some(Place {
            shared: sync::Arc::clone(self),
            id,
        })
    }
}

/// One connection's place under the bound, given back when dropped, also by a panic.
#[derive(Debug)]
struct Place {
    shared: sync::Arc<Shared>,
    id: u64,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.shared.open().links.remove(&self.id);
        self.shared.ended.notify_all();
    }
}

/// A running server.
#[derive(Debug)]
pub struct Server {
    shared: sync::Arc<Shared>,
    local_addr: net::SocketAddr,
    accepting: sync::Mutex<Option<thread::JoinHandle<()>>>,
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
        let shared = sync::Arc::new(Shared::default());
        let overflow = overflow::start(sync::Arc::clone(&handler))
            .map_err(|source| StartError::Thread { source })?;
        let acceptor = Acceptor {
            limits: limits.into(),
            shared: sync::Arc::clone(&shared),
            handler,
            overflow,
        };
        let accepting = thread::Builder::new()
            .name("http-accept".to_owned())
            .spawn(move || acceptor.run(&listener))
            .map_err(|source| StartError::Thread { source })?;
        log::info!(address:% = local_addr; "http: accepting");
        Ok(Self {
            shared,
            local_addr,
            accepting: sync::Mutex::new(Some(accepting)),
        })
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

    /// Makes each answer from now on the last on its connection.
    pub fn drain(&self) {
        self.shared.draining.store(true, atomic::Ordering::Relaxed);
    }

    /// Stops taking connections. Those that the system had taken on our behalf are still served:
    /// dropping the listening socket would reset them, and with them requests already sent.
    pub fn stop_accepting(&self) {
        self.drain();
        self.shared.stopping.store(true, atomic::Ordering::SeqCst);
        let accepting = self
            .accepting
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
            .take();
        let Some(thread) = accepting else {
            return;
        };
        // Where no connection can be made, the thread may wait for one for ever, and joining it would
        // keep the process from ending.
        if !self.wake() && !ends_soon(&thread) {
            return log::warn!("http: accepting thread left to its next connection");
        }
        if thread.join().is_err() {
            log::error!("http: accepting thread panicked");
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

    /// The accepting thread blocks until a connection comes, so one is made.
    fn wake(&self) -> bool {
        let ip = match self.local_addr.ip() {
            net::IpAddr::V4(ip) if ip.is_unspecified() => net::Ipv4Addr::LOCALHOST.into(),
            net::IpAddr::V6(ip) if ip.is_unspecified() => net::Ipv6Addr::LOCALHOST.into(),
            ip => ip,
        };
        let address = net::SocketAddr::new(ip, self.local_addr.port());
        match net::TcpStream::connect_timeout(&address, WAKE_TIMEOUT) {
            Ok(_) => true,
            Err(e) => {
                log::debug!(error:% = e; "http: accepting thread was not woken");
                false
            }
        }
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

/// What the accepting thread holds.
struct Acceptor<H> {
    limits: sync::Arc<limits::Limits>,
    shared: sync::Arc<Shared>,
    handler: sync::Arc<H>,
    overflow: overflow::Sender,
}

impl<H: handler::Handler> Acceptor<H> {
    fn run(&self, listener: &net::TcpListener) {
        while !self.shared.is_stopping() {
            match listener.accept() {
                Ok((stream, peer)) => self.take(stream, peer),
                Err(e) => pause(&e),
            }
        }
        self.take_waiting(listener);
    }

    /// Serves the connections that the kernel completed before accepting stopped.
    fn take_waiting(&self, listener: &net::TcpListener) {
        if listener.set_nonblocking(true).is_err() {
            return;
        }
        while let Ok((stream, peer)) = listener.accept() {
            self.take(stream, peer);
        }
    }

    fn take(&self, stream: net::TcpStream, peer: net::SocketAddr) {
        let link = match link::Link::new(stream, self.limits.write_timeout) {
            Ok(link) => sync::Arc::new(link),
            Err(e) => return log::debug!(error:% = e; "http: connection broke at once"),
        };
        let place = self
            .shared
            .enter(sync::Arc::clone(&link), self.limits.connections);
        match place {
            Some(place) => self.spawn(link, peer, place),
            None => self.refuse(link),
        }
    }

    fn spawn(&self, link: sync::Arc<link::Link>, peer: net::SocketAddr, place: Place) {
        let connection = connection::Connection {
            link: sync::Arc::clone(&link),
            input: link::Input::default(),
            peer,
            limits: sync::Arc::clone(&self.limits),
            shared: sync::Arc::clone(&self.shared),
            handler: sync::Arc::clone(&self.handler),
        };
        let started = thread::Builder::new()
            .name("http-conn".to_owned())
            .stack_size(self.limits.stack_bytes)
            .spawn(move || {
                connection.serve();
                drop(place);
            });
        if let Err(e) = started {
            log::error!(error:% = e; "http: no thread for a connection");
            self.refuse(link);
        }
    }

    fn refuse(&self, link: sync::Arc<link::Link>) {
        let bound = self.limits.connections;
        let refusal = refusal::Refusal::not_run(
            verdict::Reason::TooManyOpen,
            format!("this process keeps at most {bound} connections open"),
        )
        .retry_after(overflow::RETRY_AFTER);
        self.overflow.refuse(link, refusal);
    }
}

/// Waits for a thread that may be ending by itself, as it does after an accept that failed.
fn ends_soon(thread: &thread::JoinHandle<()>) -> bool {
    let until = time::Instant::now() + WAKE_TIMEOUT;
    while !thread.is_finished() && time::Instant::now() < until {
        thread::sleep(ACCEPT_PAUSE);
    }
    thread.is_finished()
}

fn pause(e: &io::Error) {
    if e.kind() == io::ErrorKind::Interrupted {
        return;
    }
    log::warn!(error:% = e; "http: accept failed");
    thread::sleep(ACCEPT_PAUSE);
}
