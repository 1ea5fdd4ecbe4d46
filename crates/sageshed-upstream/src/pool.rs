//! Connections to endpoints that are kept between requests.

use std::{
    collections, net,
    sync::{self, atomic},
    time,
};

use crate::{
    connection::{self, Connect},
    exchange::{Exchange, Patience, Request, Sent},
    failure::Failure,
    socket::Socket,
};

/// Taken off the time for which an endpoint promises to keep a connection: what is sent in the very
/// moment in which it closes is lost, and may have run or not.
const MARGIN: time::Duration = time::Duration::from_millis(700);

/// How connections are made and kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// How long making a connection may take.
    pub connect_limit: time::Duration,
    /// Idle connections kept for each address.
    pub max_idle: usize,
    /// How long one may be idle and be used again, where the endpoint promises nothing.
    pub max_idle_age: time::Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            connect_limit: time::Duration::from_millis(400),
            max_idle: 16,
            max_idle_age: time::Duration::from_secs(2),
        }
    }
}

#[derive(Debug)]
struct Idle {
    socket: Socket,
    since: time::Instant,
    until: time::Instant,
}

#[derive(Debug, Default)]
struct Shared {
    idle: sync::Mutex<collections::HashMap<net::SocketAddrV4, Vec<Idle>>>,
    opened: atomic::AtomicU64,
    received: sync::Arc<atomic::AtomicU64>,
}

/// Makes, keeps and drops connections. A clone shares the idle ones.
#[derive(Debug, Clone)]
pub struct Pool {
    settings: Settings,
    shared: sync::Arc<Shared>,
}

/// An open connection that a request can be sent on.
#[derive(Debug)]
pub struct Opened {
    socket: Socket,
    is_reused: bool,
}

impl Opened {
    /// Sends `req`. If the patience ends once a part is written, [`Sent::head`] writes the rest.
    ///
    /// # Errors
    ///
    /// Where nothing of it is written in time, or the connection fails.
    pub fn send<S: Fn() -> bool>(
        self,
        req: &Request<'_>,
        patience: &Patience<'_, S>,
    ) -> Result<Sent, Failure> {
        Sent::write(self.socket, req, patience, self.is_reused)
    }

    /// Sends `req` and reads the head of the answer.
    ///
    /// # Errors
    ///
    /// Where no head comes.
    pub fn exchange<S: Fn() -> bool>(
        self,
        req: &Request<'_>,
        patience: &Patience<'_, S>,
    ) -> Result<Exchange, Failure> {
        self.send(req, patience)?
            .head(patience)
            .map_err(|it| it.failure)
    }

    /// Whether it has carried another request before.
    #[must_use]
    pub fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Whether it goes through a relay.
    #[must_use]
    pub fn is_relayed(&self) -> bool {
        self.socket.is_relayed
    }
}

/// The time in the value of a `Keep-Alive` header.
pub(crate) fn promised(value: &str) -> Option<time::Duration> {
    let option = value
        .split(',')
        .find_map(|it| it.trim().strip_prefix("timeout="))?;
    option.trim().parse().ok().map(time::Duration::from_secs)
}

impl Pool {
    /// A pool without a connection.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            shared: sync::Arc::default(),
        }
    }

    /// Sends `req` to `address` and reads the head of the answer. A kept connection is taken if it was
    /// idle for `max_age` at the most.
    ///
    /// # Errors
    ///
    /// Where no head comes.
    pub fn exchange<S: Fn() -> bool>(
        &self,
        address: net::SocketAddrV4,
        req: &Request<'_>,
        max_age: time::Duration,
        patience: &Patience<'_, S>,
    ) -> Result<Exchange, Failure> {
        self.open(&connection::Direct, address, max_age, patience.until)?
            .exchange(req, patience)
    }

    /// Takes a kept connection to `address` that was idle for `max_age` at the most, or has `connector` open one before
    /// `until`.
    ///
    /// # Errors
    ///
    /// Where none can be opened.
    pub fn open<C: Connect>(
        &self,
        connector: &C,
        address: net::SocketAddrV4,
        max_age: time::Duration,
        until: time::Instant,
    ) -> Result<Opened, Failure> {
        if let Some(socket) = self.take(address, max_age) {
            let is_reused = true;
            return Ok(Opened { socket, is_reused });
        }
        let left = until.saturating_duration_since(time::Instant::now());
        let limit = self
            .settings
            .connect_limit
            .min(left)
            .max(time::Duration::from_millis(1));
        self.shared.opened.fetch_add(1, atomic::Ordering::Relaxed);
        let mut socket = connector.connect(address, limit)?.socket;
        socket.counter = sync::Arc::clone(&self.shared.received);
        let is_reused = false;
        Ok(Opened { socket, is_reused })
    }

    /// Takes the connection of a whole answer back.
    pub fn keep(&self, address: net::SocketAddrV4, exchange: Exchange) {
        let Some((socket, promised)) = exchange.into_kept() else {
            return;
        };
        let now = time::Instant::now();
        let span = promised.map_or(self.settings.max_idle_age, |it| it.saturating_sub(MARGIN));
        let mut idle = self.lock();
        let list = idle.entry(address).or_default();
        list.retain(|it| it.until > now);
        if list.len() < self.settings.max_idle {
            list.push(Idle {
                socket,
                since: now,
                until: now + span,
            });
        }
    }

    /// Drops the idle connections to an address: its endpoint failed or has gone.
    pub fn forget(&self, address: net::SocketAddrV4) {
        let dropped = self.lock().remove(&address);
        // Closed after the lock is free.
        drop(dropped);
    }

    /// Drops all idle connections.
    pub fn clear(&self) {
        let dropped = std::mem::take(&mut *self.lock());
        // Closed after the lock is free.
        drop(dropped);
    }

    /// Drops the idle connections that are past their time, and those on which something has arrived: bytes that belong to no
    /// request, which may be without end, or a close.
    pub fn sweep(&self) {
        let now = time::Instant::now();
        self.lock().retain(|_, list| {
            list.retain(|it| it.until > now && it.socket.is_quiet());
            !list.is_empty()
        });
    }

    /// How many connections were asked for.
    #[must_use]
    pub fn opened(&self) -> u64 {
        self.shared.opened.load(atomic::Ordering::Relaxed)
    }

    /// The bytes that were read from connections.
    #[must_use]
    pub fn received(&self) -> u64 {
        self.shared.received.load(atomic::Ordering::Relaxed)
    }

    /// How many are idle.
    #[must_use]
    pub fn idle(&self) -> usize {
        self.lock().values().map(Vec::len).sum()
    }

    /// The newest first, so that the others age and go.
    fn take(&self, address: net::SocketAddrV4, max_age: time::Duration) -> Option<Socket> {
        let now = time::Instant::now();
        let mut idle = self.lock();
        let list = idle.get_mut(&address)?;
        while let Some(newest) = list.pop() {
            let is_young = now.duration_since(newest.since) <= max_age && newest.until > now;
            if is_young && newest.socket.is_quiet() {
                return Some(newest.socket);
            }
        }
        None
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::HashMap<net::SocketAddrV4, Vec<Idle>>> {
        self.shared
            .idle
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
