//! Whether an endpoint is there.

use std::{net, time};

use crate::{failure, socket};

/// How long an endpoint may take to accept a connection: some fifty times the way there and back.
const LISTENS_WITHIN: time::Duration = time::Duration::from_millis(150);

/// Whether nobody listens at `address`: the endpoint there has ended, and no other was started yet. Where nothing
/// comes back in time that can't be told, and the answer is no.
#[must_use]
pub fn is_closed(address: net::SocketAddrV4) -> bool {
    let connected = socket::Socket::connect(address, LISTENS_WITHIN);
    connected.is_err_and(|e| e.cause == failure::Cause::Refused)
}
