//! Stand-in endpoints on real sockets, in this process.
//!
//! ```no_run
//! use sageshed_test_support::{config, fault, standin};
//!
//! # fn main() -> std::io::Result<()> {
//! let mut cfg = config::Config::default();
//! cfg.endpoints.push(config::Endpoint::engine("e1", 1_000, &[("m1", 400)]));
//! let standin = standin::Standin::start(cfg)?;
//! let address = standin.address("e1");
//! standin.fault("e1", fault::Fault::Stall { after: 3 }, Some(1));
//! # Ok(())
//! # }
//! ```

use std::{
    io, net,
    sync::{self, atomic},
    thread,
    time::Duration,
};

use sageshed_types::endpoints;

use crate::{config, endpoint, engine, fault, http, reporter, service, stats, store};

/// The stack of a thread that serves one connection, in bytes.
const STACK: usize = 256 * 1024;
/// How often a closed listener looks whether it may open again.
const REOPEN: Duration = Duration::from_millis(5);

/// Stand-in endpoints that run until this is dropped.
#[derive(Debug)]
pub struct Standin {
    shared: sync::Arc<endpoint::Shared>,
    endpoints: sync::Arc<Vec<sync::Arc<endpoint::Endpoint>>>,
    control: net::SocketAddr,
}

impl Standin {
    /// Starts the endpoints and their reports.
    ///
    /// # Errors
    ///
    /// The system's, if an address cannot be listened on.
    pub fn start(cfg: config::Config) -> io::Result<Self> {
        let shared = sync::Arc::new(endpoint::Shared {
            entries: sync::Mutex::new(cfg.entries.clone()),
            store: store::Store::new(&cfg),
            ledger: sync::Mutex::default(),
            stopping: atomic::AtomicBool::new(false),
            cfg,
        });
        let mut all = Vec::new();
        for cfg in &shared.cfg.endpoints {
            let listener = net::TcpListener::bind(&cfg.address)?;
            let address = listener.local_addr()?;
            let endpoint = endpoint::Endpoint::new(cfg.clone(), address, sync::Arc::clone(&shared));
            let endpoint = sync::Arc::new(endpoint);
            all.push(sync::Arc::clone(&endpoint));
            let reporting = sync::Arc::clone(&endpoint);
            thread::spawn(move || reporter::run(&reporting));
            thread::spawn(move || accept_all(&endpoint, listener));
        }
        let endpoints = sync::Arc::new(all);
        let listener = net::TcpListener::bind(&shared.cfg.control)?;
        let control = listener.local_addr()?;
        let standin = Self {
            shared,
            endpoints,
            control,
        };
        standin.serve_control(listener);
        Ok(standin)
    }

    /// `IP:port` of an endpoint.
    ///
    /// # Panics
    ///
    /// If there is no endpoint of this name; so do the other functions that name one.
    #[must_use]
    pub fn address(&self, endpoint: &str) -> String {
        self.named(endpoint).address.to_string()
    }

    /// The identity that an endpoint announces now.
    #[must_use]
    pub fn identity(&self, endpoint: &str) -> endpoints::Identity {
        self.named(endpoint).identity()
    }

    fn named(&self, name: &str) -> &endpoint::Endpoint {
        find(&self.endpoints, name).expect("a stand-in of this name")
    }

    /// Where `GET /standin/stats` and `POST /standin/fault` are served.
    #[must_use]
    pub fn control(&self) -> net::SocketAddr {
        self.control
    }

    /// Sets a fault; `times` requests see it, or all.
    pub fn fault(&self, endpoint: &str, fault: fault::Fault, times: Option<u32>) {
        self.named(endpoint).set_fault(fault, times);
    }

    /// Sends reports to these entry processes from now on.
    pub fn set_entries(&self, entries: Vec<String>) {
        *self
            .shared
            .entries
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner) = entries;
    }

    /// What was counted.
    #[must_use]
    pub fn stats(&self) -> stats::All {
        stats_of(&self.shared, &self.endpoints)
    }

    /// How often a request id ran, over all endpoints.
    #[must_use]
    pub fn runs_of_request(&self, id: &str) -> u64 {
        lock_ledger(&self.shared).runs_of_request(id)
    }

    /// How often an idempotency key ran, over all endpoints.
    #[must_use]
    pub fn runs_of_key(&self, key: &str) -> u64 {
        lock_ledger(&self.shared).runs_of_key(key)
    }

    fn serve_control(&self, listener: net::TcpListener) {
        let shared = sync::Arc::clone(&self.shared);
        let endpoints = sync::Arc::clone(&self.endpoints);
        thread::spawn(move || {
            for socket in listener.incoming() {
                if shared.stopping() {
                    return;
                }
                let Ok(socket) = socket else { continue };
                let _closed = answer_control(&shared, &endpoints, socket);
            }
        });
    }
}

impl Drop for Standin {
    fn drop(&mut self) {
        self.shared.stopping.store(true, atomic::Ordering::Relaxed);
        for endpoint in self.endpoints.iter() {
            endpoint.close_all();
            endpoint.wake_accept();
        }
        let _woken = net::TcpStream::connect(self.control);
    }
}

fn lock_ledger(shared: &endpoint::Shared) -> sync::MutexGuard<'_, stats::Ledger> {
    shared
        .ledger
        .lock()
        .unwrap_or_else(sync::PoisonError::into_inner)
}

fn find<'a>(
    all: &'a [sync::Arc<endpoint::Endpoint>],
    name: &str,
) -> Option<&'a sync::Arc<endpoint::Endpoint>> {
    all.iter().find(|endpoint| endpoint.cfg.name == name)
}

fn stats_of(shared: &endpoint::Shared, endpoints: &[sync::Arc<endpoint::Endpoint>]) -> stats::All {
    let each = endpoints.iter().map(|endpoint| endpoint.stats()).collect();
    lock_ledger(shared).report(each)
}

/// Answers one request on the control port and closes: a caller that keeps its connection must not
/// hold the others off.
fn answer_control(
    shared: &endpoint::Shared,
    endpoints: &[sync::Arc<endpoint::Endpoint>],
    socket: net::TcpStream,
) -> io::Result<()> {
    socket.set_read_timeout(Some(Duration::from_secs(1)))?;
    let mut conn = http::Connection::new(socket)?;
    let Some(req) = conn.read_request()? else {
        return Ok(());
    };
    let close = [
        ("Content-Type", "application/json"),
        ("Connection", "close"),
    ];
    match (req.method.as_str(), req.path.as_str()) {
        ("GET", "/standin/stats") => {
            let stats = stats_of(shared, endpoints);
            let body = serde_json::to_vec_pretty(&stats).map_err(io::Error::other)?;
            conn.respond(200, &close, &body)
        }
        ("POST", "/standin/fault") => {
            let (status, words) = set_fault(endpoints, &req.body);
            conn.respond(status, &close, words.as_bytes())
        }
        _ => conn.respond(404, &close, br#"{"error":"no such path"}"#),
    }
}

fn set_fault(endpoints: &[sync::Arc<endpoint::Endpoint>], body: &[u8]) -> (u16, String) {
    let set: fault::Set = match serde_json::from_slice(body) {
        Ok(set) => set,
        Err(e) => {
            return (
                400,
                serde_json::json!({ "error": e.to_string() }).to_string(),
            );
        }
    };
    match find(endpoints, &set.endpoint) {
        None => (404, r#"{"error":"no such endpoint"}"#.to_owned()),
        Some(found) => {
            found.set_fault(set.fault, set.times);
            (200, r#"{"ok":true}"#.to_owned())
        }
    }
}

fn accept_all(endpoint: &sync::Arc<endpoint::Endpoint>, listener: net::TcpListener) {
    let mut listener = Some(listener);
    while !endpoint.shared.stopping() {
        if endpoint.fault() == fault::Fault::Refuse {
            listener = None;
            thread::sleep(REOPEN);
            continue;
        }
        let Some(open) = &listener else {
            listener = net::TcpListener::bind(endpoint.address).ok();
            thread::sleep(REOPEN);
            continue;
        };
        let Ok((socket, _)) = open.accept() else {
            continue;
        };
        let endpoint = sync::Arc::clone(endpoint);
        let _spawned = thread::Builder::new()
            .stack_size(STACK)
            .spawn(move || serve(&endpoint, socket));
    }
}

fn serve(endpoint: &sync::Arc<endpoint::Endpoint>, socket: net::TcpStream) {
    let key = endpoint.register(&socket);
    if let Ok(mut conn) = http::Connection::new(socket) {
        let _closed = serve_requests(endpoint, &mut conn);
    }
    endpoint.deregister(key);
}

fn serve_requests(
    endpoint: &sync::Arc<endpoint::Endpoint>,
    conn: &mut http::Connection,
) -> io::Result<()> {
    while let Some(req) = conn.read_request()? {
        if endpoint.fault() == fault::Fault::Silent {
            let _used = endpoint.fault_for_request();
            conn.hold();
            return Ok(());
        }
        let after = match &endpoint.cfg.kind {
            endpoints::Kind::Engine { .. } => engine::handle(endpoint, conn, &req)?,
            endpoints::Kind::Service { .. } => service::handle(endpoint, conn, &req)?,
        };
        if after == endpoint::After::Close {
            return Ok(());
        }
    }
    Ok(())
}
