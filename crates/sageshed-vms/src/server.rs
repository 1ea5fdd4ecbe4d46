//! The port on which a process takes calls of the others.

use std::{
    io::Read,
    net,
    sync::{self, mpsc},
    thread,
};

use derive_more::{Display, Error};
use serde::Serialize;

use crate::codec;

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

/// Takes calls. Runs on a pool of threads; a call that waits holds one.
pub trait Handler: Send + Sync + 'static {
    /// Answers the message `body` that came to `path`.
    fn handle(&self, path: &str, body: &[u8]) -> Answer;

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
    address: net::SocketAddr,
    stop: mpsc::Sender<()>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Server {
    /// Listens on `address` with `threads` threads to handle calls.
    pub fn start<H: Handler>(
        address: &str,
        token: &str,
        threads: usize,
        handler: sync::Arc<H>,
    ) -> Result<Self, StartError> {
        let token = token.to_owned();
        let answer = move |req: &rouille::Request| respond(req, &token, handler.as_ref());
        let server = rouille::Server::new(address, answer)
            .map_err(|e| StartError {
                address: address.to_owned(),
                problem: e.to_string(),
            })?
            .pool_size(threads);
        let address = server.server_addr();
        let (thread, stop) = server.stoppable();
        Ok(Self {
            address,
            stop,
            thread: Some(thread),
        })
    }

    /// The address it listens on; the port is the system's choice where the settings said 0.
    #[must_use]
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        // The thread may have ended already, and then nobody takes the message.
        let _ = self.stop.send(());
        if let Some(thread) = self.thread.take() {
            drop(thread.join());
        }
    }
}

fn respond<H: Handler>(req: &rouille::Request, token: &str, handler: &H) -> rouille::Response {
    let open = token.is_empty() || handler.is_open(&req.url());
    if !open && req.header(crate::TOKEN_HEADER) != Some(token) {
        return rouille::Response::text("the group's token is missing or wrong")
            .with_status_code(401);
    }
    let Some(body) = read_body(req) else {
        return rouille::Response::text("the body did not arrive whole").with_status_code(400);
    };
    match handler.handle(&req.url(), &body) {
        Answer::Message(body) => rouille::Response::from_data("application/msgpack", body),
        Answer::Json { status, body } => {
            rouille::Response::from_data("application/json", body).with_status_code(status)
        }
        Answer::NotFound => rouille::Response::text("no such path").with_status_code(404),
        Answer::Bad(e) => rouille::Response::text(e.to_string()).with_status_code(400),
    }
}

fn read_body(req: &rouille::Request) -> Option<Vec<u8>> {
    let mut buf = Vec::new();
    req.data()?
        .take(crate::BODY_LIMIT)
        .read_to_end(&mut buf)
        .ok()?;
    Some(buf)
}
