//! A connection to an endpoint: reads and writes that end when they should.

use std::{
    io::{self, Read, Write},
    net,
    sync::{Arc, atomic},
    time,
};

use rustix::{event, net as sys};

use crate::{
    boot_time,
    failure::{Cause, Failure},
};

/// How long a read or write may block before the deadline is looked at, and whether it is still
/// wanted. A caller that leaves is noticed within this time.
const SLICE: time::Duration = time::Duration::from_millis(100);

/// A time without bytes after which the next ones begin to flow anew. A sound endpoint may pause for longer.
const PAUSE: time::Duration = time::Duration::from_millis(500);

/// The time limit of a poll that does not block.
const NO_WAIT: event::Timespec = event::Timespec {
    tv_sec: 0,
    tv_nsec: 0,
};

/// How much is read at once, in bytes.
const READ_BYTES: usize = 8 * 1024;

/// Until when something may take, and whether it is still wanted.
pub struct Patience<'a, S> {
    /// When it ends.
    pub until: time::Instant,
    /// Asked each time [`SLICE`] has passed, whether bytes arrive or not; true ends the wait.
    pub stop: &'a S,
}

impl<S> std::fmt::Debug for Patience<'_, S> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Patience")
            .field("until", &self.until)
            .finish_non_exhaustive()
    }
}

impl<S: Fn() -> bool> Patience<'_, S> {
    /// Why the wait is over, if it is.
    fn over(&self) -> Option<Cause> {
        if (self.stop)() {
            return Some(Cause::Interrupted);
        }
        (time::Instant::now() >= self.until).then_some(Cause::Silent)
    }
}

/// What came of reading.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Filled {
    /// More bytes.
    More,
    /// The orderly end of the connection.
    End,
}

/// An open connection and what was read from it and not used yet.
#[derive(Debug)]
pub(crate) struct Socket {
    pub(crate) stream: net::TcpStream,
    pub(crate) buf: Vec<u8>,
    /// Whether it leads to the endpoint through another process.
    pub(crate) is_relayed: bool,
    /// What has ended the connection for a write. The system reports it to one call only: reads that follow end as if the
    /// endpoint had closed the connection in good order.
    write_error: Option<io::Error>,
    /// When bytes were first read after the patience of whoever waits was looked at.
    arriving_since: Option<time::Instant>,
    /// Whether the patience has ended, and what has arrived is still read.
    is_last_slice: bool,
    /// When bytes were read last for the latest request.
    received_at: Option<time::Instant>,
    /// Since when they have arrived without a pause.
    flowing_since: Option<time::Instant>,
    /// The bytes that were read since the last request was begun.
    received: u64,
    /// Whether [`Self::unobserved`] is wanted, which costs a call of the system for each read that waits.
    pub(crate) observes_end: bool,
    /// When the connection was last known to be open with nothing to read, since the system was started.
    open_at: time::Duration,
    /// Counts the bytes that are read from the connections of a pool.
    pub(crate) counter: Arc<atomic::AtomicU64>,
}

impl Socket {
    pub(crate) fn connect(
        address: net::SocketAddrV4,
        limit: time::Duration,
    ) -> Result<Self, Failure> {
        let opened = net::TcpStream::connect_timeout(&address.into(), limit);
        let stream = opened.map_err(|e| match e.kind() {
            io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock => {
                Failure::unsent(Cause::ConnectTimedOut, &e)
            }
            _ => Failure::unsent(Cause::Refused, &e),
        })?;
        prepare(&stream).map_err(|e| Failure::unsent(Cause::Refused, &e))?;
        Ok(Self {
            stream,
            buf: Vec::new(),
            is_relayed: false,
            write_error: None,
            received_at: None,
            flowing_since: None,
            arriving_since: None,
            is_last_slice: false,
            received: 0,
            observes_end: false,
            open_at: boot_time::since_boot(),
            counter: Arc::default(),
        })
    }

    /// Forgets what was read for earlier requests.
    pub(crate) fn begin_request(&mut self) {
        self.received = 0;
        self.received_at = None;
        self.flowing_since = None;
        self.arriving_since = None;
        self.is_last_slice = false;
        self.observes_end = true;
        self.open_at = boot_time::since_boot();
    }

    /// For how long the connection may have been ended without this process having read that: the time since it was known to be
    /// open with nothing to read, or since the request was begun.
    ///
    /// A process that reads all the time knows that within [`SLICE`]. One that was suspended, or waited for something else,
    /// finds an end that may be as old as that.
    pub(crate) fn unobserved(&self) -> time::Duration {
        boot_time::since_boot().saturating_sub(self.open_at)
    }

    /// Whether nothing came since the last answer. What comes on an idle connection is its close, or
    /// bytes that belong to no request and must not be taken for the next answer.
    pub(crate) fn is_quiet(&self) -> bool {
        let flags = sys::RecvFlags::PEEK | sys::RecvFlags::DONTWAIT;
        let peeked = sys::recv(&self.stream, &mut [0], flags);
        self.buf.is_empty() && matches!(peeked, Err(rustix::io::Errno::AGAIN))
    }

    /// Whether bytes came since the last answer. Does not block.
    pub(crate) fn has_surplus(&self) -> bool {
        let flags = sys::RecvFlags::PEEK | sys::RecvFlags::DONTWAIT;
        let peeked = sys::recv(&self.stream, &mut [0], flags);
        !self.buf.is_empty() || matches!(peeked, Ok((1.., _)))
    }

    /// Writes `bytes` from position `written` on, which follows what has been written. Returns false where the endpoint
    /// answers before it has read all: the rest is then not sent, and the connection must not carry another request.
    pub(crate) fn write<S: Fn() -> bool>(
        &mut self,
        parts: [&[u8]; 2],
        written: &mut usize,
        patience: &Patience<'_, S>,
    ) -> Result<bool, Failure> {
        let [first, second] = parts;
        while *written < first.len() + second.len() {
            let unwritten = match written.checked_sub(first.len()) {
                None => &first[*written..],
                Some(of_second) => &second[of_second..],
            };
            let is_sent = *written > 0;
            // A long request to a sound endpoint takes its time: only the deadline ends one that is read.
            if is_sent && time::Instant::now() >= patience.until {
                return Err(failed(
                    is_sent,
                    Cause::Silent,
                    "while the request was written",
                ));
            }
            match self.stream.write(unwritten) {
                Ok(n) => *written += n,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if is_timeout(&e) && self.has_input() => return Ok(false),
                Err(e) if is_timeout(&e) => {
                    if let Some(cause) = patience.over() {
                        return Err(failed(is_sent, cause, "while the request was written"));
                    }
                }
                // The endpoint may have answered and then closed.
                Err(e) if is_sent && self.has_input() => {
                    self.write_error = Some(e);
                    return Ok(false);
                }
                Err(e) => return Err(failed(is_sent, Cause::ClosedBeforeAnswer, &e.to_string())),
            }
        }
        Ok(true)
    }

    /// Whether more can be written. Does not block.
    pub(crate) fn is_writable(&self) -> bool {
        let mut fds = [event::PollFd::new(&self.stream, event::PollFlags::OUT)];
        matches!(event::poll(&mut fds, Some(&NO_WAIT)), Ok(n) if n > 0)
    }

    /// Whether nothing was read for `span`.
    pub(crate) fn is_pausing(&self, span: time::Duration) -> bool {
        self.received_at.is_none_or(|it| it.elapsed() >= span)
    }

    /// Whether bytes have arrived that were not read.
    pub(crate) fn has_input(&self) -> bool {
        // Peeking would take the error of a reset, and the next read would end in good order.
        rustix::io::ioctl_fionread(&self.stream).is_ok_and(|count| count > 0)
    }

    /// Reads more into the buffer. The request was sent.
    pub(crate) fn fill<S: Fn() -> bool>(
        &mut self,
        patience: &Patience<'_, S>,
    ) -> Result<Filled, Failure> {
        let mut chunk = [0; READ_BYTES];
        if let Some(cause) = self.over(patience) {
            return Err(self.ended_wait(cause));
        }
        loop {
            match self.receive(&mut chunk) {
                Ok(0) => {
                    let error = self.write_error.take();
                    return error.map_or(Ok(Filled::End), |e| {
                        Err(Failure::sent(Cause::ClosedBeforeAnswer, &e))
                    });
                }
                Ok(n) => {
                    self.note_arrival();
                    self.received += n as u64;
                    self.counter.fetch_add(n as u64, atomic::Ordering::Relaxed);
                    self.buf.extend_from_slice(&chunk[..n]);
                    return Ok(Filled::More);
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if is_timeout(&e) => {
                    if let Some(cause) = patience.over() {
                        return Err(self.ended_wait(cause));
                    }
                }
                Err(e) => return Err(Failure::sent(Cause::ClosedBeforeAnswer, &e)),
            }
        }
    }

    fn receive(&mut self, chunk: &mut [u8]) -> io::Result<usize> {
        if !self.observes_end {
            return self.stream.read(chunk);
        }
        let begun = boot_time::since_boot();
        match sys::recv(&self.stream, &mut *chunk, sys::RecvFlags::DONTWAIT) {
            Ok((count, _)) => return Ok(count),
            Err(rustix::io::Errno::AGAIN) => self.open_at = begun,
            Err(e) => return Err(e.into()),
        }
        self.stream.read(chunk)
    }

    /// Why the wait is over, if it is and bytes have arrived for [`SLICE`] since that was looked at: an endpoint that sends
    /// without a pause never lets a read time out. What has arrived by the end of the patience may be read for another
    /// [`SLICE`].
    fn over<S: Fn() -> bool>(&mut self, patience: &Patience<'_, S>) -> Option<Cause> {
        self.arriving_since.filter(|it| it.elapsed() >= SLICE)?;
        self.arriving_since = None;
        let cause = patience.over();
        if cause == Some(Cause::Silent) && !self.is_last_slice {
            self.is_last_slice = true;
            self.arriving_since = Some(time::Instant::now());
            return None;
        }
        self.is_last_slice = false;
        cause
    }

    fn note_arrival(&mut self) {
        let now = time::Instant::now();
        if self.is_pausing(PAUSE) {
            self.flowing_since = Some(now);
        }
        self.received_at = Some(now);
        self.arriving_since.get_or_insert(now);
    }

    /// How long bytes have arrived without a pause.
    pub(crate) fn flowing_for(&self) -> time::Duration {
        let since = self.flowing_since;
        since.map_or(time::Duration::ZERO, |it| it.elapsed())
    }

    /// The failure of an answer that was not awaited to its end.
    fn ended_wait(&self, cause: Cause) -> Failure {
        let received = self.received;
        let detail = format!("{received} bytes arrived while an answer was awaited");
        Failure::sent(cause, &detail)
    }

    /// Takes the first `count` bytes out of the buffer.
    pub(crate) fn take(&mut self, count: usize) -> Vec<u8> {
        let rest = self.buf.split_off(count);
        std::mem::replace(&mut self.buf, rest)
    }
}

fn prepare(stream: &net::TcpStream) -> io::Result<()> {
    // Without this the body would wait for the acknowledgement of the head.
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(SLICE))?;
    stream.set_write_timeout(Some(SLICE))
}

pub(crate) fn is_timeout(e: &io::Error) -> bool {
    // `TimedOut` is the end of the connection: its other end acknowledges nothing. The system reports that to one call only,
    // and reads after it end in good order.
    e.kind() == io::ErrorKind::WouldBlock
}

fn failed(is_sent: bool, cause: Cause, detail: &str) -> Failure {
    if is_sent {
        Failure::sent(cause, &detail)
    } else {
        Failure::unsent(cause, &detail)
    }
}
