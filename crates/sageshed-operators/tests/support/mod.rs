//! A backend that does as a test says, and the port in front of it.
#![allow(dead_code, reason = "each test file uses its part")]

use std::{
    collections,
    io::{Read, Write},
    net,
    sync::{self, Arc},
    thread, time,
};

use sageshed_operators::{
    backend::{Backend, Trouble},
    client, server, tokens, wire,
};
use sageshed_types::{messages, refusal, request_trace, rules, secret, verdict};

/// The token that every port of these tests takes, unless it is said otherwise.
pub const TOKEN: &str = "spade";

/// Connections that every port of these tests holds at once.
pub const CONNECTIONS: usize = 4;

/// What the backend does with the next change or drain.
#[derive(Debug, Clone)]
pub enum Act {
    /// Answers with this and does nothing.
    Say(Trouble),
    /// Does it, and then answers that the outcome is not known.
    DoThenUnknown,
}

#[derive(Debug, Default)]
struct State {
    rules: rules::RuleSet,
    history: Vec<rules::AcceptedChange>,
    acts: collections::VecDeque<Act>,
    always: Option<Trouble>,
    calls: Vec<String>,
}

/// A control process of one, in memory.
#[derive(Debug, Default)]
pub struct Fake {
    state: sync::Mutex<State>,
}

impl Fake {
    /// One that begins with these acts.
    pub fn with(acts: impl IntoIterator<Item = Act>) -> Arc<Self> {
        let fake = Self::default();
        fake.state.lock().unwrap().acts.extend(acts);
        Arc::new(fake)
    }

    /// One that has the same trouble each time.
    pub fn always(trouble: Trouble) -> Arc<Self> {
        let fake = Self::default();
        fake.state.lock().unwrap().always = Some(trouble);
        Arc::new(fake)
    }

    /// Adds an act after the others.
    pub fn push(&self, act: Act) {
        self.state.lock().unwrap().acts.push_back(act);
    }

    /// Each change, drain and pin that was asked for.
    pub fn calls(&self) -> Vec<String> {
        self.state.lock().unwrap().calls.clone()
    }

    /// The newest revision.
    pub fn revision(&self) -> rules::Revision {
        self.state.lock().unwrap().rules.revision
    }
}

impl State {
    fn trouble(&mut self) -> Result<bool, Trouble> {
        if let Some(trouble) = &self.always {
            return Err(trouble.clone());
        }
        match self.acts.pop_front() {
            Some(Act::Say(trouble)) => Err(trouble),
            Some(Act::DoThenUnknown) => Ok(true),
            None => Ok(false),
        }
    }

    fn apply(&mut self, change: rules::Change) -> rules::ChangeOutcome {
        let before = self
            .history
            .iter()
            .find(|it| it.change.change_id == change.change_id);
        if let Some(before) = before {
            let revision = before.revision;
            return if before.change == change {
                rules::ChangeOutcome::Accepted { revision }
            } else {
                rules::ChangeOutcome::ChangeIdReused { revision }
            };
        }
        let newest = self.rules.revision;
        if change.base_revision != newest {
            let after = |it: &&rules::AcceptedChange| it.revision > change.base_revision;
            return rules::ChangeOutcome::Conflict {
                revision: newest,
                between: self.history.iter().filter(after).cloned().collect(),
            };
        }
        if let rules::Edit::Withdraw { id } = &change.edit {
            return rules::ChangeOutcome::Invalid {
                problem: format!("no rule `{id}` is in force; list them"),
            };
        }
        let revision = rules::Revision(newest.0 + 1);
        self.rules.revision = revision;
        if let rules::Edit::Add { rule, .. } = &change.edit {
            self.rules.rules.push((**rule).clone());
        }
        self.history
            .push(rules::AcceptedChange { revision, change });
        rules::ChangeOutcome::Accepted { revision }
    }
}

impl Backend for Fake {
    fn rules(&self) -> Result<rules::RuleSet, Trouble> {
        let mut state = self.state.lock().unwrap();
        state.trouble()?;
        Ok(state.rules.clone())
    }

    fn history(&self, after: rules::Revision) -> Result<Vec<rules::AcceptedChange>, Trouble> {
        let state = self.state.lock().unwrap();
        let newer = state.history.iter().filter(|it| it.revision > after);
        Ok(newer.cloned().collect())
    }

    fn change(&self, change: rules::Change) -> Result<rules::ChangeOutcome, Trouble> {
        let mut state = self.state.lock().unwrap();
        state.calls.push(change.change_id.clone());
        let lose = state.trouble()?;
        let outcome = state.apply(change);
        if lose {
            Err(Trouble::Unknown)
        } else {
            Ok(outcome)
        }
    }

    fn in_force(&self, revision: rules::Revision) -> Result<wire::InForce, Trouble> {
        Ok(wire::InForce {
            everywhere: revision <= self.revision(),
            missing: Vec::new(),
        })
    }

    fn status(&self) -> messages::Status {
        messages::Status {
            answered_by: "vm1".to_owned(),
            leader: Some("vm1".to_owned()),
            term: 3,
            revision: self.revision(),
            voters: Vec::new(),
            vms: Vec::new(),
            endpoints: Vec::new(),
            config_waits: Vec::new(),
        }
    }

    fn models(&self) -> Result<Vec<messages::ModelStatus>, Trouble> {
        Ok(Vec::new())
    }

    fn explain(&self, request_id: &str) -> Result<Option<request_trace::RequestTrace>, Trouble> {
        let known = request_id == "vm1-1";
        Ok(known.then(|| some_account(request_id)))
    }

    fn drain(&self, vm: &str, on: bool, change_id: &str) -> Result<(), Trouble> {
        let mut state = self.state.lock().unwrap();
        state.calls.push(format!("drain {vm} {on} {change_id}"));
        state.trouble().map(drop)
    }

    fn pin(&self, pin: &wire::Pin) -> Result<(), Trouble> {
        let mut state = self.state.lock().unwrap();
        state.calls.push(format!("pin {}", pin.model));
        state.trouble().map(drop)
    }

    fn unpin(&self, pin: &wire::Pin) -> Result<(), Trouble> {
        let mut state = self.state.lock().unwrap();
        state.calls.push(format!("unpin {}", pin.model));
        state.trouble().map(drop)
    }

    fn metrics(&self) -> Option<String> {
        Some("sageshed_up 1\n".to_owned())
    }
}

fn some_account(request_id: &str) -> request_trace::RequestTrace {
    request_trace::RequestTrace {
        request_id: request_id.to_owned(),
        arrived_unix_ms: 0,
        caller: None,
        class: None,
        target: None,
        rule: None,
        revision: rules::Revision(0),
        not_repeatable: false,
        deadline: sageshed_types::time::Millis(1),
        queued: sageshed_types::time::Millis(0),
        queues: Vec::new(),
        candidates: Vec::new(),
        tries: Vec::new(),
        end: request_trace::RequestOutcome::Refused(refusal::Refusal::not_run(
            verdict::Reason::NoRoute,
            "none",
        )),
        took: sageshed_types::time::Millis(0),
    }
}

/// A port in front of `fake` that takes `token`.
pub fn port(fake: &Arc<Fake>, token: &str) -> server::Server {
    let listen = net::SocketAddr::from(([127, 0, 0, 1], 0));
    let tokens =
        tokens::Tokens::default().with("ailsa", &secret::KeyDigest::of(token.as_bytes()).to_hex());
    let mut options = server::Options::new(listen, tokens);
    options.connections = CONNECTIONS;
    options.timeout = time::Duration::from_secs(2);
    server::start(Arc::clone(fake), options).unwrap()
}

/// A client of these addresses that does not wait long.
pub fn client(control: &[String], token: &str) -> client::Client {
    let mut options = client::Options::new(control.to_vec(), token.to_owned());
    options.rounds = 2;
    options.pause = time::Duration::from_millis(1);
    client::Client::new(options)
}

/// An address on which nobody listens.
pub fn nobody() -> String {
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap().to_string()
}

/// A relay to `to` that passes one request on, waits for the answer and drops it.
pub fn answer_losing_relay(to: net::SocketAddr) -> String {
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    thread::spawn(move || {
        let (mut from, _) = listener.accept().unwrap();
        let mut to = net::TcpStream::connect(to).unwrap();
        let mut buf = vec![0; 64 * 1024];
        let mut seen = Vec::new();
        while !whole(&seen) {
            let n = from.read(&mut buf).unwrap();
            to.write_all(&buf[..n]).unwrap();
            seen.extend_from_slice(&buf[..n]);
        }
        let answered = to.read(&mut buf).unwrap();
        assert!(answered > 0, "the port answered");
    });
    address
}

/// A process that reads each request, sends these bytes and closes the connection.
pub fn answering(answer: &'static [u8]) -> String {
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut buf = vec![0; 64 * 1024];
            let mut seen = Vec::new();
            while !whole(&seen) {
                let n = stream.read(&mut buf).unwrap();
                seen.extend_from_slice(&buf[..n]);
            }
            stream.write_all(answer).unwrap();
        }
    });
    address
}

/// Whether a request is there with its body.
fn whole(seen: &[u8]) -> bool {
    let text = String::from_utf8_lossy(seen);
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let length = head.lines().find_map(|line| {
        line.to_lowercase()
            .strip_prefix("content-length:")?
            .trim()
            .parse()
            .ok()
    });
    body.len() >= length.unwrap_or(0)
}

/// A change that adds the rule `id`.
pub fn add(change_id: &str, base: u64, id: &str) -> wire::ChangeReq {
    wire::ChangeReq {
        change_id: change_id.to_owned(),
        base_revision: rules::Revision(base),
        edit: rules::Edit::Add {
            rule: Box::new(rules::Rule {
                id: id.to_owned(),
                when: rules::When::default(),
                action: rules::Action::Refuse(rules::Refuse::default()),
                not_repeatable: None,
                deadline_ms: None,
            }),
            position: rules::Position::First,
        },
    }
}
