//! One caller's connection: reads with a deadline, writes with a bound.

use std::{
    io::{self, Read, Write},
    net::{Shutdown, TcpStream},
    os::fd,
    sync::atomic,
    time,
};

use rustix::net;

/// How much is read at once, in bytes. On the stack of the connection's thread.
const READ_BYTES: usize = 8 * 1024;

/// A connection on which nothing comes for this long is probed by the kernel.
const PROBE_AFTER: time::Duration = time::Duration::from_secs(10);

/// The time between two probes.
const PROBE_EVERY: time::Duration = time::Duration::from_secs(5);

/// A buffer larger than this, in bytes, is not kept between two requests.
const KEPT_BYTES: usize = 16 * 1024;

/// How long a connection that this side closes is read on, so that the caller gets the answer.
const LINGER: time::Duration = time::Duration::from_secs(1);

/// A socket, shared between its thread and the server's table of connections.
#[derive(Debug)]
pub(crate) struct Link {
    stream: TcpStream,
    /// Whether it waits for the first byte of a request.
    idle: atomic::AtomicBool,
}

/// What came of waiting for bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fill {
    /// There are more than before.
    More,
    /// The caller closed its side.
    Eof,
    /// The deadline passed.
    TimedOut,
    /// The connection broke.
    Broken,
}

/// What was read away without waiting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Discarded {
    /// Some bytes.
    Bytes,
    /// None have come.
    Nothing,
    /// The caller has closed, or the connection broke.
    Ended,
}

/// The caller cannot be written to: it left, or it does not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Unwritable;

impl Link {
    /// Takes over an accepted socket.
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            idle: atomic::AtomicBool::new(true),
        }
    }

    /// Sets the options of the socket, before its first request is read.
    pub(crate) fn prepare(&self, write_timeout: time::Duration) -> io::Result<()> {
        // Without this a chunk would wait for the acknowledgement of the one before it.
        self.stream.set_nodelay(true)?;
        self.stream.set_write_timeout(Some(write_timeout))?;
        watch_silence(&self.stream, write_timeout)
    }

    /// Writes all of `bytes`. A write that makes no progress for the write timeout fails.
    ///
    /// The kernel wakes a blocked writer only when a third of the send buffer is free, so a caller
    /// that reads a byte at a time makes no progress in this sense.
    pub(crate) fn write(&self, bytes: &[u8]) -> Result<(), Unwritable> {
        (&self.stream)
            .write_all(bytes)
            .map_err(|_broken_or_slow| Unwritable)
    }

    /// Writes as much of `bytes` as goes without blocking. Returns how many.
    pub(crate) fn write_now(&self, bytes: &[u8]) -> Result<usize, Unwritable> {
        let flags = net::SendFlags::DONTWAIT | net::SendFlags::NOSIGNAL;
        match net::send(&self.stream, bytes, flags) {
            Ok(sent) => Ok(sent),
            Err(e) if is_nothing(e) => Ok(0),
            Err(_) => Err(Unwritable),
        }
    }

    /// Whether the caller has closed or reset the connection. Does not block.
    pub(crate) fn is_gone(&self) -> bool {
        let flags = net::RecvFlags::PEEK | net::RecvFlags::DONTWAIT;
        match net::recv(&self.stream, &mut [0], flags) {
            Ok((_, n)) => n == 0,
            Err(e) => !is_nothing(e),
        }
    }

    /// Whether bytes have arrived that were not read. Does not block.
    pub(crate) fn has_input(&self) -> bool {
        let flags = net::RecvFlags::PEEK | net::RecvFlags::DONTWAIT;
        matches!(net::recv(&self.stream, &mut [0], flags), Ok((_, n)) if n > 0)
    }

    /// Reads away what has come. Does not block.
    pub(crate) fn discard(&self) -> Discarded {
        let flags = net::RecvFlags::DONTWAIT;
        match net::recv(&self.stream, &mut [0; READ_BYTES], flags) {
            Ok((_, 0)) => Discarded::Ended,
            Ok(_) => Discarded::Bytes,
            Err(e) if is_nothing(e) => Discarded::Nothing,
            Err(_) => Discarded::Ended,
        }
    }

    /// Has the connection end in a reset and not in an orderly close, once nobody holds it or the process ends.
    pub(crate) fn reset_on_close(&self) {
        if let Err(e) = net::sockopt::set_socket_linger(&self.stream, Some(time::Duration::ZERO)) {
            log::warn!(error:% = e; "http: cut answer may look whole to its caller");
        }
    }

    /// Undoes [`Link::reset_on_close`].
    pub(crate) fn close_in_good_order(&self) {
        if let Err(e) = net::sockopt::set_socket_linger(&self.stream, None) {
            log::debug!(error:% = e; "http: connection ends in a reset behind its answer");
        }
    }

    /// Notes whether the connection waits for the first byte of a request.
    pub(crate) fn set_idle(&self, idle: bool) {
        self.idle.store(idle, atomic::Ordering::SeqCst);
    }

    /// Whether the connection waits for the first byte of a request.
    pub(crate) fn is_idle(&self) -> bool {
        self.idle.load(atomic::Ordering::SeqCst)
    }

    /// Ends this side's output.
    pub(crate) fn stop_writing(&self) {
        if let Err(e) = self.stream.shutdown(Shutdown::Write) {
            log::debug!(error:% = e; "http: connection was closed already");
        }
    }

    /// Ends the input of an idle connection, which is then served once more and ends.
    pub(crate) fn stop_reading(&self) {
        if let Err(e) = self.stream.shutdown(Shutdown::Read) {
            log::debug!(error:% = e; "http: idle connection was closed already");
        }
    }

    /// Ends the answers, then reads on for a short time until the caller closes too.
    ///
    /// Closing a socket with unread input makes the kernel send a reset, which can destroy an answer
    /// that the caller has not read yet: a caller that was told 413 in the middle of its upload would
    /// see a broken connection and no account. Reading the rest away prevents the reset.
    pub(crate) fn close_gently(&self) {
        if self.stream.shutdown(Shutdown::Write).is_err() {
            return;
        }
        let until = time::Instant::now() + LINGER;
        let mut sink = [0; READ_BYTES];
        while let Some(left) = remaining(until) {
            if self.stream.set_read_timeout(Some(left)).is_err() {
                return;
            }
            match (&self.stream).read(&mut sink) {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
    }
}

impl fd::AsFd for Link {
    fn as_fd(&self) -> fd::BorrowedFd<'_> {
        self.stream.as_fd()
    }
}

/// Bytes that came from a caller and are not used yet.
#[derive(Debug, Default)]
pub(crate) struct Input {
    /// What is not used yet.
    pub(crate) buf: Vec<u8>,
    timeout: Option<time::Duration>,
}

impl Input {
    /// Waits for more bytes, at the longest until `until`.
    pub(crate) fn fill(&mut self, link: &Link, until: time::Instant) -> Fill {
        let Some(left) = remaining(until) else {
            return Fill::TimedOut;
        };
        self.fill_within(link, left)
    }

    /// Waits for more bytes, at the longest for `left`.
    pub(crate) fn fill_within(&mut self, link: &Link, left: time::Duration) -> Fill {
        if self.timeout != Some(left) {
            if link.stream.set_read_timeout(Some(left)).is_err() {
                return Fill::Broken;
            }
            self.timeout = Some(left);
        }
        let mut chunk = [0; READ_BYTES];
        // A read with a timeout is not restarted after a signal handler ran. Taken for a failure,
        // the signal that begins a graceful shutdown would cut a connection.
        let read = loop {
            match (&link.stream).read(&mut chunk) {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                read => break read,
            }
        };
        match read {
            Ok(0) => Fill::Eof,
            Ok(n) => {
                self.buf.extend_from_slice(&chunk[..n]);
                Fill::More
            }
            Err(e) => failed_read(&e),
        }
    }

    /// Drops the first `count` bytes.
    pub(crate) fn consume(&mut self, count: usize) {
        self.buf.drain(..count);
    }

    /// Takes the first `count` bytes out.
    pub(crate) fn take(&mut self, count: usize) -> Vec<u8> {
        let rest = self.buf.split_off(count);
        std::mem::replace(&mut self.buf, rest)
    }

    /// Gives back memory that a large request needed.
    pub(crate) fn shrink(&mut self) {
        if self.buf.capacity() > KEPT_BYTES {
            self.buf.shrink_to(KEPT_BYTES);
        }
    }
}

/// Has the kernel find out when the other end is silent for good.
///
/// Something between the two ends may lose track of a connection: then no close ever arrives, a
/// handler that waits would wait for nobody, and the small chunks of a stream would vanish into the
/// send buffer one by one. Probes and a bound on unacknowledged bytes turn both into an error.
fn watch_silence(stream: &TcpStream, write_timeout: time::Duration) -> io::Result<()> {
    let bound = u32::try_from(write_timeout.as_millis()).unwrap_or(u32::MAX);
    net::sockopt::set_socket_keepalive(stream, true)?;
    net::sockopt::set_tcp_keepidle(stream, PROBE_AFTER)?;
    net::sockopt::set_tcp_keepintvl(stream, PROBE_EVERY)?;
    net::sockopt::set_tcp_user_timeout(stream, bound)?;
    Ok(())
}

/// Whether a read or write that does not block found nothing to read, or no room.
fn is_nothing(e: rustix::io::Errno) -> bool {
    e == rustix::io::Errno::AGAIN || e == rustix::io::Errno::INTR
}

fn failed_read(e: &io::Error) -> Fill {
    match e.kind() {
        // The socket's own timeout shows as either, by platform.
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => Fill::TimedOut,
        _ => Fill::Broken,
    }
}

/// The time until `until`, or none if it has passed. Never zero: a socket takes zero for "no timeout".
fn remaining(until: time::Instant) -> Option<time::Duration> {
    until
        .checked_duration_since(time::Instant::now())
        .filter(|left| !left.is_zero())
}
