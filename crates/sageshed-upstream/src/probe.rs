//! Whether an endpoint is there.

use std::{io, net, time};

/// How long an endpoint may take to accept a connection: some fifty times the way there and back.
const LISTENS_WITHIN: time::Duration = time::Duration::from_millis(150);

/// Whether nobody listens at `address`: the endpoint there has ended, and no other was started yet. Where that can't be told,
/// the answer is no: nothing comes back in time, or this process can open no connection.
#[must_use]
pub fn is_closed(address: net::SocketAddrV4) -> bool {
    let connected = net::TcpStream::connect_timeout(&address.into(), LISTENS_WITHIN);
    connected.is_err_and(|e| e.kind() == io::ErrorKind::ConnectionRefused)
}
