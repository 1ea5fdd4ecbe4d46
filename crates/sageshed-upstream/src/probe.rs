//! Whether an endpoint is there.

use std::{io, net, time};

use rustix::event;

/// How long an endpoint may take to accept a connection: some fifty times the way there and back.
const LISTENS_WITHIN: time::Duration = time::Duration::from_millis(150);

/// How long a connection is watched that was opened. The system of a process that ends closes its port and its connections in
/// no order that is promised, so that the port may be closed last.
const WATCH: event::Timespec = event::Timespec {
    tv_sec: 0,
    tv_nsec: 20_000_000,
};

/// Whether nobody listens at `address`: the endpoint there has ended, and no other was started yet. Where that can't be told,
/// the answer is no: nothing comes back in time, or this process can open no connection.
#[must_use]
pub fn is_closed(address: net::SocketAddrV4) -> bool {
    let opened = connect(address);
    // An endpoint that has too many connections resets further ones, but does not refuse them.
    let has_ended = match &opened {
        Ok(stream) => ends_soon(stream),
        Err(e) => e.kind() == io::ErrorKind::ConnectionReset,
    };
    if has_ended {
        is_refused(&connect(address))
    } else {
        is_refused(&opened)
    }
}

fn connect(address: net::SocketAddrV4) -> io::Result<net::TcpStream> {
    net::TcpStream::connect_timeout(&address.into(), LISTENS_WITHIN)
}

fn is_refused(opened: &io::Result<net::TcpStream>) -> bool {
    matches!(opened, Err(e) if e.kind() == io::ErrorKind::ConnectionRefused)
}

/// Whether the other end ends the connection within [`WATCH`].
fn ends_soon(stream: &net::TcpStream) -> bool {
    let ends = event::PollFlags::RDHUP | event::PollFlags::HUP | event::PollFlags::ERR;
    let mut fds = [event::PollFd::new(stream, ends)];
    matches!(event::poll(&mut fds, Some(&WATCH)), Ok(n) if n > 0)
}
