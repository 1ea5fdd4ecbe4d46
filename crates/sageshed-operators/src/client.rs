//! The operator's client.
//!
//! A call goes to the control processes in turn until one answers. One that does not lead names the
//! leader, which is asked next. What changes something is sent again after a lost answer with the
//! same content and change id, which the control group answers as it did the first time.
//!
//! Each call opens a connection of its own: a pooled one may have gone silent, and the call would
//! wait its whole timeout on it.

use std::{collections, fmt, io::Read, thread, time};

use derive_more::{Display, Error};
use sageshed_types::{endpoints, messages, request_trace, rules, status};
use serde::{Serialize, de};

use crate::wire::{self, paths};

/// The longest answer that is read, in bytes.
const MAX_ANSWER: u64 = 64 * 1024 * 1024;
/// Leaders' hints that are followed in one round, since two processes may name each other while
/// the group elects.
const MAX_HINTS: usize = 3;

/// How the client asks.
#[derive(Debug, Clone)]
pub struct Options {
    /// The control processes, as `http://IP:port` or `IP:port`.
    pub control: Vec<String>,
    /// The operator's token.
    pub token: String,
    /// The longest time to a connection.
    pub connect_timeout: time::Duration,
    /// The longest time to a whole answer.
    pub timeout: time::Duration,
    /// How often all control processes are asked.
    pub rounds: u32,
    /// The pause after the first round; it doubles with each.
    pub pause: time::Duration,
}

impl Options {
    /// The usual times: about 4 s of pauses in all, which an election fits into.
    #[must_use]
    pub fn new(control: Vec<String>, token: String) -> Self {
        Self {
            control,
            token,
            connect_timeout: time::Duration::from_secs(2),
            timeout: time::Duration::from_secs(10),
            rounds: 5,
            pause: time::Duration::from_millis(300),
        }
    }
}

/// Why a call has no result.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// No control process gave an answer that counts; nothing was done.
    #[display("no control process gave an answer; nothing was done\n{tried}")]
    Unreachable {
        /// What each said last.
        #[error(not(source))]
        tried: Tried,
    },
    /// It was sent and may have taken hold, or may still.
    #[display("the outcome is not known: it may have taken hold, or may still\n{tried}")]
    Unknown {
        /// What each said last.
        #[error(not(source))]
        tried: Tried,
    },
    /// A control process refused it; nothing was done.
    #[display("{}", _0.detail)]
    Refused(#[error(not(source))] Box<wire::Problem>),
    /// The answer is not understood: the two programs may be of different versions.
    #[display("the answer of {address} is not understood: {reason}")]
    Garbled {
        /// Who answered.
        address: String,
        /// What is wrong with it.
        #[error(not(source))]
        reason: String,
    },
}

/// What each control process that was asked said last.
#[derive(Debug, Clone, Default, PartialEq, Eq, Display)]
#[display("{}", self.lines())]
pub struct Tried {
    /// By address.
    pub last: collections::BTreeMap<String, String>,
}

impl Tried {
    fn lines(&self) -> String {
        let lines: Vec<String> = self
            .last
            .iter()
            .map(|(address, said)| format!("  {address}: {said}"))
            .collect();
        lines.join("\n")
    }
}

/// Asks the control processes on an operator's behalf.
#[derive(Debug)]
pub struct Client {
    options: Options,
    agent: ureq::Agent,
}

/// What to do after one answer.
enum Next<T> {
    Done(T),
    Failed(Error),
    /// Ask this address.
    Follow(String),
    /// Ask another.
    Another {
        said: String,
        /// Whether what was sent may take hold.
        fate: wire::Fate,
    },
}

/// A request, ready to be sent any number of times.
struct Call {
    path: String,
    /// The body of a `POST`; none for a `GET`.
    body: Option<Vec<u8>>,
}

impl Client {
    /// A client; nothing is sent yet.
    #[must_use]
    pub fn new(mut options: Options) -> Self {
        for address in &mut options.control {
            *address = plain_address(address);
        }
        let agent = ureq::AgentBuilder::new()
            .timeout_connect(options.connect_timeout)
            .timeout(options.timeout)
            .max_idle_connections(0)
            .redirects(0)
            .build();
        Self { options, agent }
    }

    /// The newest committed rules.
    pub fn rules(&self) -> Result<rules::RuleSet, Error> {
        self.get(paths::RULES.to_owned())
    }

    /// The accepted changes after `after`, oldest first.
    pub fn history(&self, after: rules::Revision) -> Result<Vec<rules::AcceptedChange>, Error> {
        self.get(format!("{}?after={after}", paths::HISTORY))
    }

    /// Sends a change until its outcome is known.
    ///
    /// A conflict or another refusal of the change is an outcome too.
    pub fn change(&self, change: &wire::ChangeReq) -> Result<rules::ChangeOutcome, Error> {
        match self.post(paths::CHANGES, change) {
            Err(Error::Refused(problem)) => match problem.outcome {
                Some(outcome) => Ok(outcome),
                None => Err(Error::Refused(problem)),
            },
            result => result,
        }
    }

    /// Whether a revision is in force everywhere.
    pub fn in_force(&self, revision: rules::Revision) -> Result<wire::InForce, Error> {
        self.get(format!("{}?revision={revision}", paths::IN_FORCE))
    }

    /// The state of the system.
    pub fn status(&self) -> Result<messages::Status, Error> {
        self.get(paths::STATUS.to_owned())
    }

    /// Where each model is.
    pub fn models(&self) -> Result<Vec<messages::ModelStatus>, Error> {
        self.get(paths::MODELS.to_owned())
    }

    /// The endpoints.
    pub fn endpoints(&self) -> Result<Vec<endpoints::Report>, Error> {
        self.get(paths::ENDPOINTS.to_owned())
    }

    /// What happened to a request.
    pub fn explain(&self, request_id: &str) -> Result<request_trace::RequestTrace, Error> {
        let usual = |c: char| c.is_ascii_alphanumeric() || "-_.~:".contains(c);
        if request_id.is_empty() || !request_id.chars().all(usual) {
            let detail = format!("`{request_id}` is not a request id; take it from the answer");
            let problem = wire::Problem::new(wire::Kind::BadRequest, detail);
            return Err(Error::Refused(Box::new(problem)));
        }
        self.get(format!("{}{request_id}", paths::EXPLAIN))
    }

    /// Starts or ends the drain of an entry VM.
    pub fn drain(&self, drain: &wire::DrainReq) -> Result<(), Error> {
        self.post::<_, wire::DrainReq>(paths::DRAIN, drain)?;
        Ok(())
    }

    /// Sets a pin or takes it back.
    pub fn pin(&self, pin: &wire::PinReq) -> Result<(), Error> {
        self.post::<_, wire::PinReq>(paths::PIN, pin)?;
        Ok(())
    }

    fn get<T: de::DeserializeOwned>(&self, path: String) -> Result<T, Error> {
        self.call(&Call { path, body: None })
    }

    fn post<B: Serialize, T: de::DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<T, Error> {
        let body = serde_json::to_vec(body).expect("the bodies of this package are plain data");
        self.call(&Call {
            path: path.to_owned(),
            body: Some(body),
        })
    }

    fn call<T: de::DeserializeOwned>(&self, call: &Call) -> Result<T, Error> {
        let mut tried = Tried::default();
        let mut fate = wire::Fate::NotDone;
        let mut pause = self.options.pause;
        for round in 0..self.options.rounds.max(1) {
            if round > 0 {
                thread::sleep(pause);
                pause *= 2;
            }
            for address in &self.options.control {
                match self.ask(call, address.clone(), &mut tried) {
                    Next::Done(value) => return Ok(value),
                    Next::Failed(error) => return Err(settle(error, fate, address, tried)),
                    Next::Another { fate: now, .. } if now == wire::Fate::Unknown => fate = now,
                    Next::Another { .. } | Next::Follow(_) => {}
                }
            }
        }
        Err(match fate {
            wire::Fate::NotDone => Error::Unreachable { tried },
            wire::Fate::Unknown => Error::Unknown { tried },
        })
    }

    /// Asks `address`, and then whomever it names as leader.
    fn ask<T: de::DeserializeOwned>(
        &self,
        call: &Call,
        mut address: String,
        tried: &mut Tried,
    ) -> Next<T> {
        for _ in 0..MAX_HINTS {
            match self.once(call, &address) {
                Next::Follow(leader) => {
                    let said = format!("does not lead and names {leader}");
                    tried.last.insert(address, said);
                    address = leader;
                }
                Next::Another { said, fate } => {
                    tried.last.insert(address, said.clone());
                    return Next::Another { said, fate };
                }
                done => return done,
            }
        }
        Next::Another {
            said: "the control processes name each other as leader".to_owned(),
            fate: wire::Fate::NotDone,
        }
    }

    fn once<T: de::DeserializeOwned>(&self, call: &Call, address: &str) -> Next<T> {
        let url = format!("http://{address}{}", call.path);
        let bearer = format!("Bearer {}", self.options.token);
        let result = match &call.body {
            None => self.agent.get(&url).set("Authorization", &bearer).call(),
            Some(body) => self
                .agent
                .post(&url)
                .set("Authorization", &bearer)
                .set("Content-Type", "application/json")
                .send_bytes(body),
        };
        match result {
            Ok(resp) => parse(address, resp, call.lost()),
            Err(ureq::Error::Status(status, resp)) => refused(address, status, resp, call.lost()),
            Err(ureq::Error::Transport(error)) => Next::Another {
                said: error.to_string(),
                fate: match error.kind() {
                    ureq::ErrorKind::ConnectionFailed
                    | ureq::ErrorKind::Dns
                    | ureq::ErrorKind::InvalidUrl
                    | ureq::ErrorKind::UnknownScheme => wire::Fate::NotDone,
                    _ => call.lost(),
                },
            },
        }
    }
}

/// The error that ends a call after `error`, given what came of sending it before.
///
/// A refusal that is not the outcome of the change speaks of the last sending only. Where an earlier
/// sending may still take hold, passing the refusal on would tell the operator that nothing was
/// done.
fn settle(error: Error, fate: wire::Fate, address: &str, mut tried: Tried) -> Error {
    match (error, fate) {
        (Error::Refused(problem), wire::Fate::Unknown) if problem.outcome.is_none() => {
            tried.last.insert(address.to_owned(), problem.detail);
            Error::Unknown { tried }
        }
        (error, _) => error,
    }
}

impl Call {
    /// What may have come of it when the answer is lost.
    fn lost(&self) -> wire::Fate {
        match self.body {
            None => wire::Fate::NotDone,
            Some(_) => wire::Fate::Unknown,
        }
    }
}

fn parse<T: de::DeserializeOwned>(
    address: &str,
    resp: ureq::Response,
    lost: wire::Fate,
) -> Next<T> {
    let checked = status::check_final(resp.status()).map_err(|e| e.to_string());
    let bytes = match checked.and_then(|()| read(resp)) {
        Ok(bytes) => bytes,
        Err(said) => return Next::Another { said, fate: lost },
    };
    match serde_json::from_slice(&bytes) {
        Ok(value) => Next::Done(value),
        // ureq reports no error if the connection ends inside a chunk, or inside an answer without a length. Every answer
        // is an object or a list, so no part of one is valid JSON.
        Err(e) if e.is_eof() => Next::Another {
            said: broke_off(&e),
            fate: lost,
        },
        Err(e) => Next::Failed(Error::Garbled {
            address: address.to_owned(),
            reason: e.to_string(),
        }),
    }
}

fn refused<T>(address: &str, status: u16, resp: ureq::Response, lost: wire::Fate) -> Next<T> {
    let bytes = match read(resp) {
        Ok(bytes) => bytes,
        Err(said) => return Next::Another { said, fate: lost },
    };
    let Ok(problem) = serde_json::from_slice::<wire::Problem>(&bytes) else {
        return Next::Another {
            said: format!(
                "answered with status {status} and no account; is it the operators' port?"
            ),
            fate: lost,
        };
    };
    match (problem.kind, problem.leader) {
        (wire::Kind::NotLeader, Some(leader)) if leader != address => Next::Follow(leader),
        (wire::Kind::NotLeader | wire::Kind::NoQuorum | wire::Kind::Busy, _) => Next::Another {
            said: problem.detail,
            fate: wire::Fate::NotDone,
        },
        (wire::Kind::UnknownFate, _) => Next::Another {
            said: problem.detail,
            fate: wire::Fate::Unknown,
        },
        (_, leader) => Next::Failed(Error::Refused(Box::new(wire::Problem {
            leader,
            ..problem
        }))),
    }
}

fn read(resp: ureq::Response) -> Result<Vec<u8>, String> {
    let mut buf = Vec::new();
    let mut reader = resp.into_reader().take(MAX_ANSWER);
    match reader.read_to_end(&mut buf) {
        Ok(_) => Ok(buf),
        Err(e) => Err(broke_off(&e)),
    }
}

fn broke_off<E: fmt::Display>(e: &E) -> String {
    format!("the answer broke off: {e}")
}

fn plain_address(text: &str) -> String {
    let text = text.trim();
    let text = text.strip_prefix("http://").unwrap_or(text);
    text.trim_end_matches('/').to_owned()
}
