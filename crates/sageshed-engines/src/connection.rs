//! One connection to an endpoint: an agent of the HTTP library that holds at most one socket, and
//! a record of how far the exchange on it has come.
//!
//! The socket is wrapped ([`Watched`]) where the library lets one put TLS. The wrapper
//!
//! * counts bytes written, since a request of which no byte left was not run;
//! * puts the limit that holds at the moment on every read: up to the first byte, or between two;
//! * turns the end of the connection into an error, since the library takes an end inside a chunk
//!   for the end of the body. A body without length or chunks, which ends with the connection,
//!   therefore never counts as whole: nothing tells its end from a cut;
//! * checks the head of the answer ([`head`]), which the library reads too leniently;
//! * refuses a second connection once a byte of the exchange is written, since the library may
//!   otherwise send a request again without telling.

use std::{
    io, net, sync,
    time::{Duration, Instant},
};

use crate::{classify, head};

/// Shortest timeout put on a socket: zero would mean none.
const SHORTEST_TIMEOUT: Duration = Duration::from_millis(1);

/// How long an exchange may take in its parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// From sending to the first byte of the answer, and from its head to its body.
    pub first_byte: Duration,
    /// Between two reads of the body.
    pub gap: Duration,
    /// For all of it.
    pub total: Duration,
}

/// How an exchange stopped on the socket, as the wrapper saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stop {
    /// A limit passed.
    Silent,
    /// The other end closed, or the socket failed.
    Closed,
}

/// How far the exchange under way has come.
#[derive(Debug)]
struct Progress {
    limits: Limits,
    started: Instant,
    connects: u32,
    written: u64,
    read: u64,
    head: head::Check,
    body_begun: bool,
    stop: Option<Stop>,
}

impl Progress {
    fn new(limits: Limits) -> Self {
        Self {
            limits,
            started: Instant::now(),
            connects: 0,
            written: 0,
            read: 0,
            head: head::Check::default(),
            body_begun: false,
            stop: None,
        }
    }

    /// How long the next read or write may take; none if the time is up.
    fn allowance(&self) -> Option<Duration> {
        let spent = self.started.elapsed();
        let total_left = self.limits.total.checked_sub(spent)?;
        let step = if self.body_begun {
            self.limits.gap
        } else if self.read == 0 {
            self.limits.first_byte.checked_sub(spent)?
        } else {
            self.limits.first_byte
        };
        Some(step.min(total_left).max(SHORTEST_TIMEOUT))
    }
}

/// A handle on the progress of one connection's exchange.
#[derive(Debug, Clone)]
pub(crate) struct Watch(sync::Arc<sync::Mutex<Progress>>);

impl Watch {
    fn lock(&self) -> sync::MutexGuard<'_, Progress> {
        self.0.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Marks that the body has begun: from now on the gap limit holds.
    pub(crate) fn body_begun(&self) {
        self.lock().body_begun = true;
    }

    /// Sets another gap limit.
    pub(crate) fn limit_gap(&self, gap: Duration) {
        self.lock().limits.gap = gap;
    }

    /// What went wrong, given that the exchange failed before its head was read.
    pub(crate) fn failure_before_head(&self) -> classify::Failure {
        let progress = self.lock();
        match (progress.written, progress.read, progress.stop) {
            (0, _, _) => classify::Failure::NothingWritten,
            (_, 0, Some(Stop::Silent)) => classify::Failure::SilentBeforeAnswer,
            (_, 0, _) => classify::Failure::ClosedBeforeAnswer,
            (_, _, Some(Stop::Silent)) => classify::Failure::Silent,
            (_, _, Some(Stop::Closed)) => classify::Failure::Short,
            (_, _, None) => classify::Failure::Malformed,
        }
    }

    /// What went wrong, given that the exchange failed while its body was read.
    pub(crate) fn failure_in_body(&self) -> classify::Failure {
        match self.lock().stop {
            Some(Stop::Silent) => classify::Failure::Silent,
            Some(Stop::Closed) => classify::Failure::Short,
            None => classify::Failure::Malformed,
        }
    }

    fn connected(&self) -> bool {
        self.lock().connects > 0
    }

    fn written(&self) -> u64 {
        self.lock().written
    }

    fn allowance(&self) -> io::Result<Duration> {
        let mut progress = self.lock();
        let Some(allowance) = progress.allowance() else {
            progress.stop = Some(Stop::Silent);
            return Err(io::Error::new(io::ErrorKind::TimedOut, "the time is up"));
        };
        Ok(allowance)
    }

    fn received(&self, bytes: &[u8]) -> io::Result<()> {
        let mut progress = self.lock();
        progress.read += bytes.len() as u64;
        let checked = progress.head.push(bytes);
        checked.map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))
    }

    fn stopped(&self, e: &io::Error) {
        let stop = match e.kind() {
            io::ErrorKind::Interrupted => return,
            io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => Stop::Silent,
            _ => Stop::Closed,
        };
        self.lock().stop = Some(stop);
    }
}

/// The socket of a connection, watched.
#[derive(Debug)]
struct Watched {
    socket: Box<dyn ureq::ReadWrite>,
    watch: Watch,
}

impl io::Read for Watched {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        let allowance = self.watch.allowance()?;
        if let Some(socket) = self.socket.socket() {
            socket.set_read_timeout(Some(allowance))?;
        }
        let read = self.socket.read(buf);
        match read {
            Ok(0) if !buf.is_empty() => {
                let e = io::Error::new(io::ErrorKind::UnexpectedEof, "the endpoint closed");
                self.watch.stopped(&e);
                Err(e)
            }
            Ok(n) => {
                self.watch.received(&buf[..n])?;
                Ok(n)
            }
            Err(e) => {
                self.watch.stopped(&e);
                Err(e)
            }
        }
    }
}

impl io::Write for Watched {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let allowance = self.watch.allowance()?;
        if let Some(socket) = self.socket.socket() {
            socket.set_write_timeout(Some(allowance))?;
        }
        match self.socket.write(buf) {
            Ok(n) => {
                self.watch.lock().written += n as u64;
                Ok(n)
            }
            Err(e) => {
                self.watch.stopped(&e);
                Err(e)
            }
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        self.socket.flush()
    }
}

impl ureq::ReadWrite for Watched {
    fn socket(&self) -> Option<&net::TcpStream> {
        self.socket.socket()
    }
}

/// Puts [`Watched`] around each socket that the agent opens.
struct Connector {
    watch: Watch,
}

impl ureq::TlsConnector for Connector {
    fn connect(
        &self,
        _dns_name: &str,
        socket: Box<dyn ureq::ReadWrite>,
    ) -> Result<Box<dyn ureq::ReadWrite>, ureq::Error> {
        let mut progress = self.watch.lock();
        if progress.connects > 0 || progress.written > 0 {
            let e = io::Error::other("one exchange, one connection");
            return Err(ureq::Error::from(e));
        }
        progress.connects += 1;
        progress.stop = None;
        drop(progress);
        Ok(Box::new(Watched {
            socket,
            watch: self.watch.clone(),
        }))
    }
}

/// One connection, open or yet to be opened.
#[derive(Debug)]
pub(crate) struct Connection {
    agent: ureq::Agent,
    watch: Watch,
}

impl Connection {
    /// A connection that is opened by its first exchange.
    pub(crate) fn new(connect_limit: Duration) -> Self {
        let limits = Limits {
            first_byte: Duration::ZERO,
            gap: Duration::ZERO,
            total: Duration::ZERO,
        };
        let watch = Watch(sync::Arc::new(sync::Mutex::new(Progress::new(limits))));
        let connector = Connector {
            watch: watch.clone(),
        };
        let agent = ureq::AgentBuilder::new()
            .tls_connector(sync::Arc::new(connector))
            .timeout_connect(connect_limit)
            .max_idle_connections(1)
            .max_idle_connections_per_host(1)
            .redirects(0)
            .user_agent(concat!("sageshed/", env!("CARGO_PKG_VERSION")))
            .build();
        Self { agent, watch }
    }

    /// Begins an exchange: a request to be given its headers and then to [`Connection::run`].
    pub(crate) fn begin(
        &self,
        limits: Limits,
        method: &str,
        address: &str,
        path: &str,
    ) -> ureq::Request {
        *self.watch.lock() = Progress::new(limits);
        self.agent
            .request(method, &format!("https://{address}{path}"))
    }

    /// The progress of the exchange.
    pub(crate) fn watch(&self) -> &Watch {
        &self.watch
    }

    /// What a transport error of the library means for the exchange.
    pub(crate) fn failure(&self, e: &ureq::Transport) -> classify::Failure {
        use ureq::ErrorKind;
        if self.watch.connected() || self.watch.written() > 0 {
            return self.watch.failure_before_head();
        }
        match e.kind() {
            ErrorKind::Dns | ErrorKind::ConnectionFailed if timed_out(e) => {
                classify::Failure::ConnectTimedOut
            }
            ErrorKind::Dns | ErrorKind::ConnectionFailed => classify::Failure::Refused,
            ErrorKind::Io if timed_out(e) => classify::Failure::ConnectTimedOut,
            // Nothing was connected, so nothing was sent: a header or an address that cannot be.
            _ => classify::Failure::Unsendable,
        }
    }
}

/// Whether the cause of a transport error is a timeout.
fn timed_out(e: &ureq::Transport) -> bool {
    let mut cause = std::error::Error::source(e);
    while let Some(inner) = cause {
        if let Some(io) = inner.downcast_ref::<io::Error>()
            && matches!(
                io.kind(),
                io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock
            )
        {
            return true;
        }
        cause = inner.source();
    }
    false
}
