//! Calls to another process of the system.

use std::{
    collections,
    io::{self, Read},
    sync, time,
};

use derive_more::{Display, Error};
use sageshed_types::status;
use serde::{Serialize, de};

use crate::codec;

/// How long a connection may take to be made.
const CONNECT_LIMIT: time::Duration = time::Duration::from_millis(400);

/// Idle connections kept to one address.
const IDLE_PER_ADDRESS: usize = 4;

/// A call that brought no answer.
#[derive(Debug, Display, Error)]
pub enum CallError {
    /// Nobody listens there: the process is down, and not a byte went out.
    #[display("{address} refuses connections")]
    Refused {
        /// Whom we called.
        address: String,
    },
    /// No connection came about in time; not a byte went out.
    #[display("{address} cannot be reached")]
    Unreachable {
        /// Whom we called.
        address: String,
    },
    /// The message went out at least in part and no whole answer came.
    #[display("{address} did not answer: {problem}")]
    NoAnswer {
        /// Whom we called.
        address: String,
        /// What the connection showed.
        problem: String,
    },
    /// It answered with an HTTP error.
    #[display("{address} answered with status {status}: {problem}")]
    Status {
        /// Whom we called.
        address: String,
        /// The status.
        status: u16,
        /// The start of its body.
        problem: String,
    },
    /// The message or its answer could not be coded.
    #[display("{_0}")]
    Codec(codec::CodecError),
}

/// A client for all addresses; cheap to clone, and clones share their connections.
#[derive(Debug, Clone)]
pub struct Client {
    /// One for each address, with the connections to it.
    agents: sync::Arc<sync::Mutex<collections::HashMap<String, ureq::Agent>>>,
    token: String,
    /// Idle connections kept to one address.
    idle: usize,
}

impl Client {
    /// A client that shows `token` with each call.
    #[must_use]
    pub fn new(token: &str) -> Self {
        Self {
            agents: sync::Arc::default(),
            token: token.to_owned(),
            idle: IDLE_PER_ADDRESS,
        }
    }

    /// A client that closes each connection after one call.
    #[must_use]
    pub fn unpooled(token: &str) -> Self {
        Self {
            idle: 0,
            ..Self::new(token)
        }
    }

    /// Sends `message` to `path` at `address` and reads the answer, all within `limit`.
    pub fn call<M: Serialize, A: de::DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        message: &M,
        limit: time::Duration,
    ) -> Result<A, CallError> {
        let body = codec::encode(message).map_err(CallError::Codec)?;
        let answer = self.post(address, path, &body, limit)?;
        codec::decode(&answer).map_err(CallError::Codec)
    }

    fn post(
        &self,
        address: &str,
        path: &str,
        body: &[u8],
        limit: time::Duration,
    ) -> Result<Vec<u8>, CallError> {
        let begun = time::Instant::now();
        let answer = self
            .agent(address)
            .post(&format!("http://{address}{path}"))
            .set(crate::TOKEN_HEADER, &self.token)
            .set("Content-Type", "application/msgpack")
            .timeout(limit)
            .send_bytes(body)
            .map_err(|e| classify(address, e))
            .and_then(|answer| check_status(address, answer));
        let whole = answer.and_then(|answer| {
            let mut buf = Vec::new();
            match read_whole(answer, &mut buf) {
                Ok(()) => Ok(buf),
                Err(e) => Err(cut_short(address, &e, buf.len(), begun.elapsed())),
            }
        });
        if let Err(CallError::NoAnswer { .. }) = &whole {
            self.forget(address);
        }
        whole
    }

    fn agent(&self, address: &str) -> ureq::Agent {
        let mut agents = self.lock();
        let agent = agents
            .entry(address.to_owned())
            .or_insert_with(|| new_agent(self.idle));
        agent.clone()
    }

    /// Drops the idle connections to an address. If one went silent the others did too, most likely,
    /// and each would cost the next call its whole limit.
    fn forget(&self, address: &str) {
        self.lock().remove(address);
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::HashMap<String, ureq::Agent>> {
        self.agents
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

fn new_agent(idle: usize) -> ureq::Agent {
    ureq::AgentBuilder::new()
        .timeout_connect(CONNECT_LIMIT)
        .max_idle_connections_per_host(idle)
        .max_idle_connections(idle)
        .redirects(0)
        .user_agent("sageshed")
        .build()
}

fn check_status(address: &str, answer: ureq::Response) -> Result<ureq::Response, CallError> {
    status::check_final(answer.status()).map_err(|e| CallError::NoAnswer {
        address: address.to_owned(),
        problem: e.to_string(),
    })?;
    Ok(answer)
}

fn read_whole(answer: ureq::Response, buf: &mut Vec<u8>) -> io::Result<()> {
    let mut body = answer.into_reader().take(crate::BODY_LIMIT);
    body.read_to_end(buf)?;
    Ok(())
}

fn classify(address: &str, error: ureq::Error) -> CallError {
    let address = address.to_owned();
    match error {
        ureq::Error::Status(status, answer) => {
            let problem = answer.into_string().unwrap_or_default();
            CallError::Status {
                address,
                status,
                problem,
            }
        }
        ureq::Error::Transport(t) if t.kind() == ureq::ErrorKind::ConnectionFailed => {
            if is_refused(&t) {
                CallError::Refused { address }
            } else {
                CallError::Unreachable { address }
            }
        }
        ureq::Error::Transport(t) if t.kind() == ureq::ErrorKind::Dns => {
            CallError::Unreachable { address }
        }
        ureq::Error::Transport(t) => CallError::NoAnswer {
            address,
            problem: t.to_string(),
        },
    }
}

fn is_refused(transport: &ureq::Transport) -> bool {
    let mut source = std::error::Error::source(transport);
    while let Some(error) = source {
        if let Some(error) = error.downcast_ref::<io::Error>()
            && error.kind() == io::ErrorKind::ConnectionRefused
        {
            return true;
        }
        source = error.source();
    }
    false
}

/// How much had come tells a peer that is silent from an answer that takes longer than the call may.
fn cut_short(address: &str, error: &io::Error, read: usize, took: time::Duration) -> CallError {
    let took = took.as_millis();
    CallError::NoAnswer {
        address: address.to_owned(),
        problem: format!("{error}, after {read} bytes of the body in {took} ms"),
    }
}
