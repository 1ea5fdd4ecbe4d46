//! The operators' port.

use std::{net, sync, time};

use derive_more::{Display, Error};
use sageshed_http::{handler, limits, reply, request, server as http_server};
use sageshed_types::{refusal, rules, secret};
use serde::de;

use crate::{
    backend::Backend,
    respond,
    route::Route,
    tokens::Tokens,
    wire::{self, Kind, Problem},
};

/// The largest body that is read, in bytes. A rule file of a thousand rules is about a quarter of
/// it.
const MAX_BODY: usize = 1024 * 1024;

/// How the port is set up.
#[derive(Debug, Clone)]
pub struct Options {
    /// Where it listens. Port 0 lets the system choose one.
    pub listen: net::SocketAddr,
    /// Who may ask.
    pub tokens: Tokens,
    /// Connections open at once, each with a thread; more are refused.
    pub connections: usize,
    /// The longest time to the first byte of a request, from there to the end of its head, from
    /// there to the end of its body, and without progress of the answer.
    pub timeout: time::Duration,
}

impl Options {
    /// The usual bounds.
    #[must_use]
    pub fn new(listen: net::SocketAddr, tokens: Tokens) -> Self {
        Self {
            listen,
            tokens,
            connections: 64,
            timeout: time::Duration::from_secs(10),
        }
    }
}

/// The port can't listen.
#[derive(Debug, Display, Error)]
#[display("the operators' port can't listen on {address}: {reason}")]
pub struct ListenError {
    /// Where.
    pub address: net::SocketAddr,
    /// Why, in the system's words.
    #[error(not(source))]
    pub reason: String,
}

/// A running port. Dropping it stops it.
#[derive(Debug)]
pub struct Server {
    server: http_server::Server,
}

impl Server {
    /// Where it listens.
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

/// Starts the port.
pub fn start<B: Backend>(backend: sync::Arc<B>, options: Options) -> Result<Server, ListenError> {
    let listen = options.listen;
    open(backend, options).map_err(|reason| ListenError {
        address: listen,
        reason,
    })
}

fn open<B: Backend>(backend: sync::Arc<B>, options: Options) -> Result<Server, String> {
    let listener = net::TcpListener::bind(options.listen).map_err(|e| e.to_string())?;
    let limits = limits(&options);
    let port = Port {
        backend,
        tokens: options.tokens,
    };
    let server = http_server::Server::start(listener, limits, sync::Arc::new(port))
        .map_err(|e| e.to_string())?;
    // The places are few, and a client that asks once must not hold one until it has gone idle: each
    // answer is the last on its connection.
    server.drain();
    log::info!(address:% = server.local_addr(); "operators: port is open");
    Ok(Server { server })
}

fn limits(options: &Options) -> limits::Limits {
    limits::Limits {
        body_bytes: MAX_BODY,
        head_timeout: options.timeout,
        body_timeout: options.timeout,
        idle_timeout: options.timeout,
        write_timeout: options.timeout,
        connections: options.connections,
        ..limits::Limits::default()
    }
}

/// The backend behind HTTP.
#[derive(Debug)]
struct Port<B> {
    backend: sync::Arc<B>,
    tokens: Tokens,
}

impl<B: Backend> handler::Handler for Port<B> {
    fn admit(&self, head: &request::Request) -> handler::Admission {
        match self.check(head) {
            Ok(()) => handler::Admission::Read,
            Err(problem) => handler::Admission::Answer(respond::problem(&problem)),
        }
    }

    fn handle(&self, req: request::Request, reply: reply::Reply<'_>) -> reply::Sent {
        let answer = self.answer(&req).unwrap_or_else(|problem| {
            let (path, kind) = (req.path.as_str(), problem.kind);
            log::info!(path, kind:% = kind; "operators: refused");
            respond::problem(&problem)
        });
        reply.made(&answer)
    }

    fn refuse_early(&self, refusal: refusal::Refusal) -> handler::Stamped {
        handler::Stamped {
            request_id: String::new(),
            refusal,
        }
    }

    /// In the form of this port's other refusals: a client learns from it that nothing was done.
    fn early_body(&self, stamped: &handler::Stamped) -> Vec<u8> {
        respond::problem(&respond::early(&stamped.refusal)).body
    }
}

impl<B: Backend> Port<B> {
    /// Whether the body may be read. Strangers are turned away before any byte of it is.
    fn check(&self, head: &request::Request) -> Result<(), Box<Problem>> {
        if head.header("Transfer-Encoding").is_some() {
            return Err(bad("send the body with a Content-Length, not in chunks"));
        }
        self.operator(head)?;
        let length = head.header("Content-Length");
        let length = length.and_then(|value| value.parse::<usize>().ok());
        if length.is_some_and(|length| length > MAX_BODY) {
            let detail = format!("the body is longer than {MAX_BODY} bytes");
            return Err(Box::new(Problem::new(Kind::TooLarge, detail)));
        }
        Ok(())
    }

    fn answer(&self, req: &request::Request) -> Result<reply::Whole, Box<Problem>> {
        let operator = self.operator(req)?;
        let route = Route::of(&req.method, &req.path);
        dispatch(&*self.backend, operator, route, req)
    }

    /// Who asks; empty on a path that is open to anyone.
    fn operator(&self, req: &request::Request) -> Result<&str, Box<Problem>> {
        if Route::of(&req.method, &req.path).is_open() {
            return Ok("");
        }
        let (found, detail) = match req.credential {
            secret::Credential::Bearer(digest) => (
                self.tokens.find(digest),
                "the token belongs to no operator; check it against the common settings",
            ),
            secret::Credential::Missing => (
                None,
                "send the operator's token as `Authorization: Bearer TOKEN`",
            ),
            secret::Credential::Malformed(why) => (None, why),
        };
        found.ok_or_else(|| Box::new(Problem::new(Kind::Unauthorized, detail)))
    }
}

fn dispatch<B: Backend>(
    backend: &B,
    operator: &str,
    route: Route<'_>,
    req: &request::Request,
) -> Result<reply::Whole, Box<Problem>> {
    let trouble = |trouble| Box::new(respond::trouble(trouble));
    match route {
        Route::Rules => Ok(respond::json(&backend.rules().map_err(trouble)?)),
        Route::History => {
            let after = revision(req, "after")?.unwrap_or_default();
            Ok(respond::json(&backend.history(after).map_err(trouble)?))
        }
        Route::Change => change(backend, operator, req),
        Route::InForce => {
            let missing = || bad("give `revision=N`");
            let revision = revision(req, "revision")?.ok_or_else(missing)?;
            Ok(respond::json(&backend.in_force(revision).map_err(trouble)?))
        }
        Route::Status => Ok(respond::json(&backend.status())),
        Route::Models => Ok(respond::json(&backend.models().map_err(trouble)?)),
        Route::Endpoints => Ok(respond::json(&backend.status().endpoints)),
        Route::Explain(id) => explain(backend, id),
        Route::Drain => {
            let body: wire::DrainReq = body(req)?;
            backend
                .drain(&body.vm, body.on, &body.change_id)
                .map_err(trouble)?;
            log::info!(operator, vm = body.vm.as_str(), on = body.on; "operators: drain changed");
            Ok(respond::json(&body))
        }
        Route::Pin => {
            let body: wire::PinReq = body(req)?;
            let done = if body.on {
                backend.pin(&body.pin)
            } else {
                backend.unpin(&body.pin)
            };
            done.map_err(trouble)?;
            log::info!(operator, model = body.pin.model.as_str(), on = body.on; "operators: pin changed");
            Ok(respond::json(&body))
        }
        Route::Healthz => Ok(respond::text("ok\n".to_owned())),
        Route::Metrics => match backend.metrics() {
            Some(text) => Ok(respond::text(text)),
            None => Err(not_found("this process keeps no metrics")),
        },
        Route::NotFound => Err(not_found("there is nothing at this path")),
        Route::OtherMethod(takes) => Err(Box::new(Problem::new(
            Kind::MethodNotAllowed,
            format!("the path takes {takes}"),
        ))),
    }
}

fn change<B: Backend>(
    backend: &B,
    operator: &str,
    req: &request::Request,
) -> Result<reply::Whole, Box<Problem>> {
    let body: wire::ChangeReq = body(req)?;
    if body.change_id.is_empty() {
        return Err(bad(
            "`change_id` is empty; choose one that is never used twice",
        ));
    }
    let base = body.base_revision;
    let change_id = body.change_id.clone();
    let outcome = backend.change(rules::Change {
        change_id: body.change_id,
        base_revision: base,
        edit: body.edit,
        operator: operator.to_owned(),
    });
    let outcome = outcome.map_err(|it| Box::new(respond::trouble(it)))?;
    log::info!(
        operator, change_id = change_id.as_str(), base:% = base, outcome:? = outcome;
        "operators: change decided"
    );
    Ok(respond::outcome(base, outcome))
}

fn explain<B: Backend>(backend: &B, id: &str) -> Result<reply::Whole, Box<Problem>> {
    let account = backend
        .explain(id)
        .map_err(|it| Box::new(respond::trouble(it)))?;
    account.map(|it| respond::json(&it)).ok_or_else(|| {
        not_found(&format!(
            "no entry process knows request `{id}`; accounts are kept for a bounded number of \
             requests"
        ))
    })
}

fn revision(req: &request::Request, name: &str) -> Result<Option<rules::Revision>, Box<Problem>> {
    let query = req.query.as_deref().unwrap_or_default();
    let named = |(key, text)| (key == name).then_some(text);
    let mut found = query.split('&').filter_map(|part| part.split_once('='));
    let Some(text) = found.find_map(named) else {
        return Ok(None);
    };
    match text.parse() {
        Ok(number) => Ok(Some(rules::Revision(number))),
        Err(e) => Err(bad(&format!("`{name}={text}` is not a revision: {e}"))),
    }
}

fn body<T: de::DeserializeOwned>(req: &request::Request) -> Result<T, Box<Problem>> {
    serde_json::from_slice(&req.body).map_err(|e| bad(&format!("the body is not understood: {e}")))
}

fn bad(detail: &str) -> Box<Problem> {
    Box::new(Problem::new(Kind::BadRequest, detail))
}

fn not_found(detail: &str) -> Box<Problem> {
    Box::new(Problem::new(Kind::NotFound, detail))
}
