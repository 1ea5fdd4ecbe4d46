//! The port on which a process takes calls of the others.

use std::{net, sync, time};

use derive_more::{Display, Error};
use sageshed_http::{deferred, handler, limits, reply, request, server};
use sageshed_types::refusal;
use serde::Serialize;

use crate::codec;

/// The largest body of one who does not show the token, in bytes. An endpoint's report is far smaller.
const OPEN_BODY_LIMIT: usize = 4 * 1024 * 1024;

/// How long the head of a call, its body, or the acknowledgement of an answer may take.
///
/// The network may lose track of a connection at any byte, and the peer then sends no close: the
/// call's thread would wait for the rest for good, and enough of them would hold the whole port. The
/// largest body, a snapshot, takes about 2 s on a link of 1 Gbit/s.
const ARRIVAL_LIMIT: time::Duration = time::Duration::from_secs(10);

/// How long a connection is kept without a call. Peers call several times a second.
const IDLE_LIMIT: time::Duration = time::Duration::from_secs(30);

/// Connections that are left to calls that do not yield: for each of four other control processes one for hellos, two
/// for the log and one for watching, and as many again for calls that replace timed-out ones.
const RESERVED_CONNECTIONS: usize = 32;

/// What a handler answers.
#[derive(Debug)]
pub enum Answer {
    /// A message, coded.
    Message(Vec<u8>),
    /// JSON, for one who is no process of ours.
    Json {
        /// HTTP status.
        status: u16,
        /// The body.
        body: String,
    },
    /// No such path here.
    NotFound,
    /// The message could not be read.
    Bad(codec::CodecError),
}

impl Answer {
    /// An answer that carries `message`.
    pub fn message<T: Serialize>(message: &T) -> Self {
        match codec::encode(message) {
            Ok(body) => Self::Message(body),
            Err(e) => Self::Bad(e),
        }
    }
}

/// The means to answer a call later, from any thread. Dropped without an answer, it ends the connection.
#[derive(Debug)]
pub struct Later(deferred::Deferred);

impl Later {
    /// Answers the call. Does not block.
    pub fn answer(self, answer: Answer) {
        self.0.answer(answer.into());
    }
}

/// Takes calls. A call that blocks holds a thread.
pub trait Handler: Send + Sync + 'static {
    /// Answers the message `body` that came to `path`.
    fn handle(&self, path: &str, body: &[u8]) -> Answer;

    /// Whether calls of `path` go to [`Handler::handle_later`].
    fn is_deferred(&self, path: &str) -> bool {
        let _ = path;
        false
    }

    /// Takes the message `body` that came to `path`, to be answered by `later`.
    fn handle_later(&self, path: &str, body: &[u8], later: Later) {
        later.answer(self.handle(path, body));
    }

    /// Whether calls of `path` are refused while few connections are left, in favour of all other calls.
    fn yields(&self, path: &str) -> bool {
        let _ = path;
        false
    }

    /// Whether `path` is open to those who do not know the group's token, as endpoints.
    fn is_open(&self, path: &str) -> bool {
        let _ = path;
        false
    }
}

/// The port could not be opened.
#[derive(Debug, Display, Error)]
#[display(
    "cannot listen for other VMs on {address}: {problem}; is the address this VM's, and free?"
)]
pub struct StartError {
    address: String,
    problem: String,
}

/// A running server; it stops taking calls when dropped.
#[derive(Debug)]
pub struct Server {
    server: server::Server,
}

impl Server {
    /// Listens on `address` with at most `connections` open at once.
    ///
    /// A peer holds one connection for each of its calls under way, and keeps some of them for the
    /// next ones: give at least four for each process that calls.
    pub fn start<H: Handler>(
        address: &str,
        token: &str,
        connections: usize,
        handler: sync::Arc<H>,
    ) -> Result<Self, StartError> {
        Self::start_within(address, token, limits_for(connections), handler)
    }

    /// As [`Server::start`], with limits other than [`limits_for`] gives.
    pub fn start_within<H: Handler>(
        address: &str,
        token: &str,
        limits: limits::Limits,
        handler: sync::Arc<H>,
    ) -> Result<Self, StartError> {
        let port = sync::Arc::new(Port {
            token: token.to_owned(),
            handler,
        });
        let server = listen(address, limits, port).map_err(|problem| StartError {
            address: address.to_owned(),
            problem,
        })?;
        Ok(Self { server })
    }

    /// The address it listens on; the port is the system's choice where the settings said 0.
    #[must_use]
    pub fn address(&self) -> net::SocketAddr {
        self.server.local_addr()
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.server.stop();
    }
}

/// The limits of a port with at most `connections` open at once.
#[must_use]
pub fn limits_for(connections: usize) -> limits::Limits {
    limits::Limits {
        body_bytes: usize::try_from(crate::BODY_LIMIT).unwrap_or(usize::MAX),
        head_timeout: ARRIVAL_LIMIT,
        body_timeout: ARRIVAL_LIMIT,
        idle_timeout: IDLE_LIMIT,
        write_timeout: ARRIVAL_LIMIT,
        connections,
        // Half of a small port, so that calls that yield are served too.
        reserved: RESERVED_CONNECTIONS.min(connections / 2),
        ..limits::Limits::default()
    }
}

fn listen<H: Handler>(
    address: &str,
    limits: limits::Limits,
    port: sync::Arc<Port<H>>,
) -> Result<server::Server, String> {
    let listener = net::TcpListener::bind(address).map_err(|e| e.to_string())?;
    server::Server::start(listener, limits, port).map_err(|e| e.to_string())
}

/// The calls as HTTP requests.
#[derive(Debug)]
struct Port<H> {
    token: String,
    handler: sync::Arc<H>,
}

impl<H: Handler> handler::Handler for Port<H> {
    /// Before the body is read: a snapshot's size of memory is not for strangers to fill.
    fn admit(&self, head: &request::Request) -> handler::Admission {
        if self.token.is_empty() || head.header(crate::TOKEN_HEADER) == Some(&self.token) {
            return handler::Admission::Read;
        }
        if self.handler.is_open(&head.path) {
            return handler::Admission::ReadUpTo(OPEN_BODY_LIMIT);
        }
        handler::Admission::Answer(text(401, "the group's token is missing or wrong"))
    }

    /// Guards against a port whose connections are all held by long polls. Entry processes start with the control
    /// processes and watch the seeds; when they held every connection, control processes refused each other's hellos
    /// and votes, the group was not formed, and no configuration was ever acknowledged.
    fn yields(&self, head: &request::Request) -> bool {
        self.handler.yields(&head.path)
    }

    fn handle(&self, req: request::Request, reply: reply::Reply<'_>) -> reply::Sent {
        if self.handler.is_deferred(&req.path) {
            let (sent, deferred) = reply.defer();
            self.handler
                .handle_later(&req.path, &req.body, Later(deferred));
            return sent;
        }
        reply.made(&self.handler.handle(&req.path, &req.body).into())
    }

    /// Calls have no ids; the peer's own log names the call that got the refusal.
    fn refuse_early(&self, refusal: refusal::Refusal) -> handler::Stamped {
        log::warn!(reason:% = refusal.reason, detail = refusal.detail.as_str(); "vms: call refused");
        handler::Stamped {
            request_id: String::new(),
            refusal,
        }
    }
}

impl From<Answer> for reply::Whole {
    fn from(answer: Answer) -> Self {
        match answer {
            Answer::Message(body) => whole(200, "application/msgpack", body),
            Answer::Json { status, body } => whole(status, "application/json", body.into_bytes()),
            Answer::NotFound => text(404, "no such path"),
            Answer::Bad(e) => text(400, e.to_string()),
        }
    }
}

fn text(status: u16, body: impl Into<String>) -> reply::Whole {
    whole(
        status,
        "text/plain; charset=utf-8",
        body.into().into_bytes(),
    )
}

fn whole(status: u16, content_type: &'static str, body: Vec<u8>) -> reply::Whole {
    reply::Whole {
        status,
        content_type,
        body,
    }
}
