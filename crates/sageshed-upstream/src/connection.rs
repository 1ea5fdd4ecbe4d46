//! Connections to endpoints, opened directly or through another process.
//!
//! A relay is asked by the `CONNECT` method of HTTP (RFC 9110, section 9.3.6) and then passes bytes on unchanged.

use std::{
    io::{Read as _, Write as _},
    net, time,
};

use derive_more::{Display, Error};

use crate::{
    exchange::{Patience, Request, Sent},
    failure::{Cause, Failure},
    socket::Socket,
};

/// The longest response of a relay, in bytes.
const RELAY_RESPONSE_BYTES: usize = 1_024;

/// How long a connection to a relay may take to open.
const RELAY_CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(150);

/// Opens connections to endpoints.
pub trait Connect {
    /// Opens a connection to `endpoint` within `limit`.
    ///
    /// # Errors
    ///
    /// Where none can be opened. No byte of a request has been sent then.
    fn connect(
        &self,
        endpoint: net::SocketAddrV4,
        limit: time::Duration,
    ) -> Result<Connection, Failure>;
}

/// Opens connections directly.
#[derive(Debug, Clone, Copy)]
pub struct Direct;

impl Connect for Direct {
    fn connect(
        &self,
        endpoint: net::SocketAddrV4,
        limit: time::Duration,
    ) -> Result<Connection, Failure> {
        Connection::direct(endpoint, limit)
    }
}

/// Why no connection could be opened through a relay.
#[derive(Debug, Clone, Display, Error)]
pub enum RelayError {
    /// The relay could not be reached, or relays nothing now.
    #[display("relay {_0}")]
    Unusable(#[error(not(source))] String),
    /// The relay could not reach the endpoint.
    #[display("relay does not reach the endpoint")]
    EndpointUnreachable,
}

/// An open connection.
#[derive(Debug)]
pub struct Connection {
    pub(crate) socket: Socket,
}

impl Connection {
    /// Connects to `endpoint`.
    ///
    /// # Errors
    ///
    /// Where it refuses, or `limit` passes.
    pub fn direct(endpoint: net::SocketAddrV4, limit: time::Duration) -> Result<Self, Failure> {
        let socket = Socket::connect(endpoint, limit)?;
        Ok(Self { socket })
    }

    /// Connects to `endpoint` through the relay at `relay`.
    ///
    /// # Errors
    ///
    /// Where the relay can't be used or does not reach the endpoint, within `limit`.
    pub fn through(
        relay: net::SocketAddrV4,
        endpoint: net::SocketAddrV4,
        limit: time::Duration,
    ) -> Result<Self, RelayError> {
        let until = time::Instant::now() + limit;
        let mut socket =
            Socket::connect(relay, limit.min(RELAY_CONNECT_TIMEOUT)).map_err(|e| unusable(&e))?;
        socket.is_relayed = true;
        let head = format!("CONNECT {endpoint} HTTP/1.1\r\nHost: {endpoint}\r\n\r\n");
        socket
            .stream
            .write_all(head.as_bytes())
            .map_err(|e| unusable(&e))?;
        let mut response = Vec::new();
        let mut buf = [0];
        // Read byte by byte: what follows the head belongs to the endpoint.
        while !response.ends_with(b"\r\n\r\n") {
            if time::Instant::now() >= until {
                return Err(unusable(&"does not respond in time"));
            }
            match socket.stream.read(&mut buf) {
                Ok(1..) if response.len() < RELAY_RESPONSE_BYTES => response.push(buf[0]),
                Ok(_) => return Err(unusable(&"closed the connection")),
                Err(e) if crate::socket::is_timeout(&e) => {}
                Err(e) => return Err(unusable(&e)),
            }
        }
        let mut headers = [httparse::EMPTY_HEADER; 8];
        let mut parsed = httparse::Response::new(&mut headers);
        parsed.parse(&response).map_err(|e| unusable(&e))?;
        match parsed.code {
            Some(200) => Ok(Self { socket }),
            Some(502) => Err(RelayError::EndpointUnreachable),
            code => Err(unusable(&format!("responds with {}", code.unwrap_or(0)))),
        }
    }

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
        Sent::write(self.socket, req, patience, false)
    }

    /// Whether the connection is open and nothing has come on it.
    #[must_use]
    pub fn is_quiet(&self) -> bool {
        self.socket.is_quiet()
    }
}

fn unusable(e: &impl ToString) -> RelayError {
    RelayError::Unusable(e.to_string())
}

impl From<RelayError> for Failure {
    fn from(e: RelayError) -> Self {
        Self::unsent(Cause::ConnectTimedOut, &e)
    }
}
