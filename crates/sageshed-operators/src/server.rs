//! The operators' port.

use std::{
    io::{self, Read},
    net,
    sync::{self, atomic},
    thread, time,
};

use derive_more::{Display, Error};
use sageshed_types::rules;
use serde::de;

use crate::{
    backend::Backend,
    connection, respond,
    route::Route,
    tokens::Tokens,
    wire::{self, Kind, Problem},
};

/// The largest body that is read, in bytes. A rule file of a thousand rules is about a quarter of
/// it.
const MAX_BODY: u64 = 1024 * 1024;
/// The stack of a connection's thread, in bytes. The deepest call decodes a JSON body.
const STACK: usize = 256 * 1024;
/// The pause after a connection could not be accepted, for want of file descriptors as a rule.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(50);
/// How long a stopping port waits for its own call that wakes it.
const WAKE: time::Duration = time::Duration::from_secs(1);

/// How the port is set up.
#[derive(Debug, Clone)]
pub struct Options {
    /// Where it listens. Port 0 lets the system choose one.
    pub listen: net::SocketAddr,
    /// Who may ask.
    pub tokens: Tokens,
    /// Connections open at once, each with a thread; more are closed at once.
    pub connections: usize,
    /// The longest time of one connection, from the first byte to the last, without the time that
    /// the backend takes.
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
    address: net::SocketAddr,
    stop: sync::Arc<atomic::AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Server {
    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop.store(true, atomic::Ordering::SeqCst);
        let Some(thread) = self.thread.take() else {
            return;
        };
        // The thread waits for a connection; this one wakes it. If none can be made, the thread
        // is left to its next connection, since joining it could wait for ever.
        let mut address = self.address;
        if address.ip().is_unspecified() {
            address.set_ip(net::Ipv4Addr::LOCALHOST.into());
        }
        let woken = net::TcpStream::connect_timeout(&address, WAKE).is_ok();
        if woken && thread.join().is_err() {
            log::error!("operators: thread of the port panicked");
        }
    }
}

/// Starts the port.
pub fn start<B: Backend>(backend: sync::Arc<B>, options: Options) -> Result<Server, ListenError> {
    let listen = options.listen;
    open(backend, options).map_err(|e| ListenError {
        address: listen,
        reason: e.to_string(),
    })
}

fn open<B: Backend>(backend: sync::Arc<B>, options: Options) -> io::Result<Server> {
    let listener = net::TcpListener::bind(options.listen)?;
    let address = listener.local_addr()?;
    let stop = sync::Arc::new(atomic::AtomicBool::new(false));
    let port = sync::Arc::new(Port {
        backend,
        options,
        open: atomic::AtomicUsize::new(0),
        stop: sync::Arc::clone(&stop),
    });
    let thread = thread::Builder::new()
        .name("operators".to_owned())
        .spawn(move || Port::accept(&port, &listener))?;
    log::info!(address:% = address; "operators: port is open");
    Ok(Server {
        address,
        stop,
        thread: Some(thread),
    })
}

/// What the threads of a port share.
struct Port<B> {
    backend: sync::Arc<B>,
    options: Options,
    /// Connections open now.
    open: atomic::AtomicUsize,
    stop: sync::Arc<atomic::AtomicBool>,
}

impl<B: Backend> Port<B> {
    fn accept(port: &sync::Arc<Self>, listener: &net::TcpListener) {
        loop {
            let accepted = listener.accept();
            if port.stop.load(atomic::Ordering::SeqCst) {
                return;
            }
            match accepted {
                Ok((stream, peer)) => Self::spawn(port, stream, peer),
                Err(e) => {
                    log::warn!(error:% = e; "operators: connection could not be accepted");
                    thread::sleep(ACCEPT_PAUSE);
                }
            }
        }
    }

    fn spawn(port: &sync::Arc<Self>, stream: net::TcpStream, peer: net::SocketAddr) {
        if port.open.fetch_add(1, atomic::Ordering::SeqCst) >= port.options.connections {
            port.open.fetch_sub(1, atomic::Ordering::SeqCst);
            log::warn!(peer:% = peer; "operators: too many connections, one closed");
            return;
        }
        let counted = Counted(sync::Arc::clone(port));
        let run = move || counted.0.serve(stream, peer);
        let spawned = thread::Builder::new()
            .name("operator".to_owned())
            .stack_size(STACK)
            .spawn(run);
        if let Err(e) = spawned {
            log::error!(error:% = e; "operators: no thread for a connection");
        }
    }

    fn serve(&self, stream: net::TcpStream, peer: net::SocketAddr) {
        let mut connection = connection::Connection::new(stream, peer, self.options.timeout);
        let resp = match connection.head() {
            None => return,
            Some(Err(problem)) => respond::problem(&problem),
            Some(Ok(head)) => self.answer(&mut connection, head),
        };
        if let Err(e) = connection.respond(resp) {
            log::debug!(peer:% = peer, error:% = e; "operators: answer not taken");
        }
    }

    fn answer(
        &self,
        connection: &mut connection::Connection,
        head: connection::Head,
    ) -> rouille::Response {
        let path = head.path().to_owned();
        let route = Route::of(head.method(), &path);
        let operator = match route {
            route if route.is_open() => "",
            _ => match operator(&self.options.tokens, &head) {
                Ok(operator) => operator,
                Err(problem) => return respond::problem(&problem),
            },
        };
        let req = match connection.request(head, MAX_BODY) {
            Ok(req) => req,
            Err(problem) => return respond::problem(&problem),
        };
        let answered = dispatch(&*self.backend, operator, route, &req);
        connection.restart(self.options.timeout);
        answered.unwrap_or_else(|problem| {
            let kind = problem.kind;
            log::info!(operator, path = path.as_str(), kind:% = kind; "operators: refused");
            respond::problem(&problem)
        })
    }
}

/// Counts a connection as open until it is dropped, also when its thread panics.
struct Counted<B>(sync::Arc<Port<B>>);

impl<B> Drop for Counted<B> {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, atomic::Ordering::SeqCst);
    }
}

/// Who asks. Decided before any byte of the body is read.
fn operator<'a>(tokens: &'a Tokens, head: &connection::Head) -> Result<&'a str, Box<Problem>> {
    let token = head
        .field("Authorization")
        .and_then(|value| value.strip_prefix("Bearer "));
    let (found, detail) = match token {
        Some(token) => (
            tokens.find(token.trim()),
            "the token belongs to no operator; check it against the common settings",
        ),
        None => (
            None,
            "send the operator's token as `Authorization: Bearer TOKEN`",
        ),
    };
    found.ok_or_else(|| Box::new(Problem::new(Kind::Unauthorized, detail)))
}

fn dispatch<B: Backend>(
    backend: &B,
    operator: &str,
    route: Route<'_>,
    req: &rouille::Request,
) -> Result<rouille::Response, Box<Problem>> {
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
        Route::Models => Ok(respond::json(&backend.models())),
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
    req: &rouille::Request,
) -> Result<rouille::Response, Box<Problem>> {
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

fn explain<B: Backend>(backend: &B, id: &str) -> Result<rouille::Response, Box<Problem>> {
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

fn revision(req: &rouille::Request, name: &str) -> Result<Option<rules::Revision>, Box<Problem>> {
    let Some(text) = req.get_param(name) else {
        return Ok(None);
    };
    match text.parse() {
        Ok(number) => Ok(Some(rules::Revision(number))),
        Err(e) => Err(bad(&format!("`{name}={text}` is not a revision: {e}"))),
    }
}

fn body<T: de::DeserializeOwned>(req: &rouille::Request) -> Result<T, Box<Problem>> {
    let mut bytes = Vec::new();
    if let Some(mut reader) = req.data() {
        reader
            .read_to_end(&mut bytes)
            .map_err(|e| bad(&format!("the body broke off: {e}")))?;
    }
    serde_json::from_slice(&bytes).map_err(|e| bad(&format!("the body is not understood: {e}")))
}

fn bad(detail: &str) -> Box<Problem> {
    Box::new(Problem::new(Kind::BadRequest, detail))
}

fn not_found(detail: &str) -> Box<Problem> {
    Box::new(Problem::new(Kind::NotFound, detail))
}
