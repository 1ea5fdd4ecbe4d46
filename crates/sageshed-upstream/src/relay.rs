//! Opens connections to endpoints for other processes of this system, which can't reach them by themselves.
//!
//! Whoever connects names an endpoint by a `CONNECT` request and gets one of three responses: 200, after which bytes
//! pass both ways unchanged; 502 if the endpoint can't be reached; 503 if this process relays nothing now, or can't tell
//! a failure of the endpoint from a lost path of its own. An endpoint's
//! reset is passed on as a reset, so that a response that ends with its connection does not look complete.

use std::{
    io::{self, Read as _, Write as _},
    net,
    sync::{self, Arc, atomic},
    thread, time,
};

use rustix::{event, net as sys};

use crate::{failure::Failure, socket::Socket};

/// How long a connection to an endpoint may take to open.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(250);

/// How long a connection may take to send its request.
const HEAD_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// The largest head of a request, in bytes.
const HEAD_BYTES: usize = 1_024;

/// What is read at once in each direction, in bytes.
const READ_BYTES: usize = 8 * 1024;

/// The stack of a connection's thread.
const STACK_BYTES: usize = 64 * 1024;

/// A process that relies on this one is probed by the kernel after this silence, and is taken to be gone after
/// [`PEER_TIMEOUT`].
const PROBE_AFTER: time::Duration = time::Duration::from_secs(3);

/// See [`PROBE_AFTER`].
const PEER_TIMEOUT: time::Duration = time::Duration::from_secs(9);

/// Decides what is relayed.
pub trait Gate: Send + Sync + 'static {
    /// Whether a connection to `endpoint` may be opened.
    fn admits(&self, endpoint: net::SocketAddrV4) -> bool;

    /// Records that no connection to `endpoint` could be opened in an attempt that took `took`. Returns whether that is a
    /// failure of the endpoint, and not of a path of this process.
    fn is_failed(
        &self,
        endpoint: net::SocketAddrV4,
        failure: &Failure,
        took: time::Duration,
    ) -> bool;
}

/// Connections that are relayed.
#[derive(Debug)]
struct Shared {
    open: sync::Mutex<usize>,
    ended: sync::Condvar,
    is_stopping: atomic::AtomicBool,
    relayed: atomic::AtomicU64,
}

/// A relay that serves other processes until its process ends.
#[derive(Debug)]
pub struct Relay {
    shared: Arc<Shared>,
}

impl Relay {
    /// Starts to serve on `listener`, with at most `limit` connections at once.
    ///
    /// # Errors
    ///
    /// If no thread can be started.
    pub fn start<G: Gate>(listener: net::TcpListener, limit: usize, gate: G) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            open: sync::Mutex::new(0),
            ended: sync::Condvar::new(),
            is_stopping: atomic::AtomicBool::new(false),
            relayed: atomic::AtomicU64::new(0),
        });
        let serving = Arc::clone(&shared);
        thread::Builder::new()
            .name("relay".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || accept(&listener, limit, &serving, &Arc::new(gate)))?;
        Ok(Self { shared })
    }

    /// Responds to new requests with 503 from now on.
    pub fn stop(&self) {
        let stopping = &self.shared.is_stopping;
        stopping.store(true, atomic::Ordering::Relaxed);
    }

    /// Waits until no connection is open, for `limit` at most. Returns how many are.
    #[must_use]
    pub fn wait(&self, limit: time::Duration) -> usize {
        let open = self.shared.lock();
        let waited = self
            .shared
            .ended
            .wait_timeout_while(open, limit, |open| *open > 0);
        *waited.unwrap_or_else(sync::PoisonError::into_inner).0
    }

    /// The connections that were relayed since the start.
    #[must_use]
    pub fn relayed(&self) -> u64 {
        self.shared.relayed.load(atomic::Ordering::Relaxed)
    }
}

impl Shared {
    fn lock(&self) -> sync::MutexGuard<'_, usize> {
        self.open
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Counts a connection, if fewer than `limit` are open.
    fn begin(self: &Arc<Self>, limit: usize) -> Option<Open> {
        let mut open = self.lock();
        if *open >= limit || self.is_stopping.load(atomic::Ordering::Relaxed) {
            return None;
        }
        *open += 1;
        Some(Open(Arc::clone(self)))
    }
}

/// An open connection, counted until it is dropped.
#[derive(Debug)]
struct Open(Arc<Shared>);

impl Drop for Open {
    fn drop(&mut self) {
        *self.0.lock() -= 1;
        self.0.ended.notify_all();
    }
}

fn accept<G: Gate>(listener: &net::TcpListener, limit: usize, shared: &Arc<Shared>, gate: &Arc<G>) {
    for stream in listener.incoming() {
        let stream = match stream {
            Ok(stream) => stream,
            Err(e) => {
                log::warn!(error:% = e; "relay: cannot accept a connection");
                thread::sleep(time::Duration::from_millis(20));
                continue;
            }
        };
        let Some(open) = shared.begin(limit) else {
            respond(&stream, Status::Unavailable);
            continue;
        };
        let gate = Arc::clone(gate);
        let spawned = thread::Builder::new()
            .name("relayed".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || serve(&stream, &open, &*gate));
        if let Err(e) = spawned {
            log::warn!(error:% = e; "relay: cannot start a thread");
        }
    }
}

#[derive(Debug, Clone, Copy)]
enum Status {
    Connected,
    BadRequest,
    Unreachable,
    Unavailable,
}

fn respond(stream: &net::TcpStream, status: Status) {
    let line = match status {
        Status::Connected => "200 Connected",
        Status::BadRequest => "400 Bad Request",
        Status::Unreachable => "502 Bad Gateway",
        Status::Unavailable => "503 Service Unavailable",
    };
    let head = format!("HTTP/1.1 {line}\r\n\r\n");
    let mut stream = stream;
    if let Err(e) = stream.write_all(head.as_bytes()) {
        log::debug!(error:% = e; "relay: peer left before the response");
    }
}

/// Serves one connection to its end.
fn serve<G: Gate>(peer: &net::TcpStream, open: &Open, gate: &G) {
    let Ok(net::SocketAddr::V4(from)) = peer.peer_addr() else {
        return;
    };
    let endpoint = match read_request(peer) {
        Ok(Some(endpoint)) => endpoint,
        Ok(None) => return respond(peer, Status::BadRequest),
        Err(e) => return log::debug!(from:% = from, error:% = e; "relay: no request"),
    };
    if !gate.admits(endpoint) {
        return respond(peer, Status::Unavailable);
    }
    let begun = time::Instant::now();
    let endpoint_socket = match Socket::connect(endpoint, CONNECT_TIMEOUT) {
        Ok(socket) => socket,
        Err(failure) if gate.is_failed(endpoint, &failure, begun.elapsed()) => {
            return respond(peer, Status::Unreachable);
        }
        Err(_) => return respond(peer, Status::Unavailable),
    };
    open.0.relayed.fetch_add(1, atomic::Ordering::Relaxed);
    respond(peer, Status::Connected);
    if let Err(e) = pass_on(peer, &endpoint_socket.stream) {
        log::debug!(from:% = from, endpoint:% = endpoint, error:% = e; "relay: connection broke off");
    }
}

/// Reads the request of a peer. Returns the endpoint that it names; none if it is no `CONNECT` request.
fn read_request(peer: &net::TcpStream) -> io::Result<Option<net::SocketAddrV4>> {
    peer.set_nodelay(true)?;
    peer.set_read_timeout(Some(HEAD_TIMEOUT))?;
    let until = time::Instant::now() + HEAD_TIMEOUT;
    let mut head = Vec::new();
    let mut buf = [0];
    let mut stream = peer;
    // Read byte by byte: what follows the head belongs to the endpoint.
    while !head.ends_with(b"\r\n\r\n") {
        if time::Instant::now() >= until {
            return Err(io::ErrorKind::TimedOut.into());
        }
        if head.len() >= HEAD_BYTES || stream.read(&mut buf)? == 0 {
            return Ok(None);
        }
        head.push(buf[0]);
    }
    let mut headers = [httparse::EMPTY_HEADER; 8];
    let mut parsed = httparse::Request::new(&mut headers);
    let is_whole = parsed.parse(&head).is_ok_and(|it| it.is_complete());
    let is_connect = is_whole && parsed.method == Some("CONNECT");
    let target = parsed.path.filter(|_| is_connect);
    Ok(target.and_then(|it| it.parse().ok()))
}

/// One direction of a relayed connection.
struct Direction<'a> {
    from: &'a net::TcpStream,
    to: &'a net::TcpStream,
    /// Bytes that were read and not written yet.
    pending: Vec<u8>,
    has_ended: bool,
}

impl<'a> Direction<'a> {
    fn new(from: &'a net::TcpStream, to: &'a net::TcpStream) -> Self {
        Self {
            from,
            to,
            pending: Vec::with_capacity(READ_BYTES),
            has_ended: false,
        }
    }

    /// Reads what has come, once all that was read before is written.
    fn read(&mut self) -> io::Result<()> {
        if !self.reads() {
            return Ok(());
        }
        let mut chunk = [0; READ_BYTES];
        match sys::recv(self.from, &mut chunk, sys::RecvFlags::DONTWAIT) {
            Ok((_, 0)) => self.has_ended = true,
            Ok((_, count)) => self.pending.extend_from_slice(&chunk[..count]),
            Err(e) if is_pending(e) => {}
            Err(e) => return Err(e.into()),
        }
        Ok(())
    }

    /// Writes as much as the other side takes now.
    fn write(&mut self) -> io::Result<()> {
        if self.pending.is_empty() {
            return Ok(());
        }
        let flags = sys::SendFlags::DONTWAIT | sys::SendFlags::NOSIGNAL;
        match sys::send(self.to, &self.pending, flags) {
            Ok(count) => drop(self.pending.drain(..count)),
            Err(e) if is_pending(e) => {}
            Err(e) => return Err(e.into()),
        }
        Ok(())
    }

    fn reads(&self) -> bool {
        self.pending.is_empty() && !self.has_ended
    }

    fn is_done(&self) -> bool {
        self.has_ended && self.pending.is_empty()
    }

    /// Drops what is to be written, and reads no more.
    fn end(&mut self) {
        self.has_ended = true;
        self.pending.clear();
    }
}

/// Passes bytes on in both directions until either side ends.
fn pass_on(peer: &net::TcpStream, endpoint: &net::TcpStream) -> io::Result<()> {
    let timeout = u32::try_from(PEER_TIMEOUT.as_millis()).unwrap_or(u32::MAX);
    sys::sockopt::set_socket_keepalive(peer, true)?;
    sys::sockopt::set_tcp_keepidle(peer, PROBE_AFTER)?;
    sys::sockopt::set_tcp_keepintvl(peer, PROBE_AFTER)?;
    sys::sockopt::set_tcp_user_timeout(peer, timeout)?;
    let mut request = Direction::new(peer, endpoint);
    let mut response = Direction::new(endpoint, peer);
    while !response.is_done() {
        if wait(&request, &response)? == Wake::PeerGone {
            return Ok(());
        }
        request.read()?;
        if let Err(e) = request.write() {
            // An endpoint that does not read the rest of a request may have responded.
            log::debug!(error:% = e; "relay: endpoint takes no more of the request");
            request.end();
        }
        if let Err(e) = response.read() {
            sys::sockopt::set_socket_linger(peer, Some(time::Duration::ZERO))?;
            return Err(e);
        }
        response.write()?;
    }
    Ok(())
}

/// Why a wait has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Wake {
    /// Bytes can be read or written.
    Ready,
    /// The peer has closed its connection, and with it given up its request.
    PeerGone,
}

fn wait(request: &Direction<'_>, response: &Direction<'_>) -> io::Result<Wake> {
    let events = |reads: bool, writes: bool| {
        let mut events = event::PollFlags::empty();
        events.set(event::PollFlags::IN, reads);
        events.set(event::PollFlags::OUT, writes);
        events
    };
    let gone = event::PollFlags::RDHUP | event::PollFlags::HUP | event::PollFlags::ERR;
    let of_peer = events(request.reads(), !response.pending.is_empty());
    let of_endpoint = events(response.reads(), !request.pending.is_empty());
    let mut fds = vec![event::PollFd::new(
        request.from,
        of_peer | event::PollFlags::RDHUP,
    )];
    // The end of an endpoint's connection is reported again and again; it is read once the peer takes more.
    if !of_endpoint.is_empty() {
        fds.push(event::PollFd::new(response.from, of_endpoint));
    }
    match event::poll(&mut fds, None) {
        Ok(_) | Err(rustix::io::Errno::INTR) => {}
        Err(e) => return Err(e.into()),
    }
    if fds[0].revents().intersects(gone) {
        return Ok(Wake::PeerGone);
    }
    Ok(Wake::Ready)
}

/// Whether nothing can be read or written now.
fn is_pending(e: rustix::io::Errno) -> bool {
    e == rustix::io::Errno::AGAIN || e == rustix::io::Errno::INTR
}
