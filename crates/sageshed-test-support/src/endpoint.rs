//! The state of one stand-in endpoint, whatever its kind.

use std::{
    collections, net,
    sync::{self, atomic},
    time::{Duration, Instant, SystemTime},
};

use sageshed_types::endpoints;

use crate::{config, fault, http, memory, slots, stats, store};

/// What all endpoints of one process share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) cfg: config::Config,
    pub(crate) entries: sync::Mutex<Vec<String>>,
    pub(crate) store: store::Store,
    pub(crate) ledger: sync::Mutex<stats::Ledger>,
    pub(crate) stopping: atomic::AtomicBool,
}

impl Shared {
    pub(crate) fn stopping(&self) -> bool {
        self.stopping.load(atomic::Ordering::Relaxed)
    }
}

/// One run of a request, kept so that its stream can be resumed.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub(crate) id: String,
    pub(crate) tokens: sync::Arc<Vec<String>>,
    pub(crate) cancelled: bool,
}

/// What changes while an endpoint runs.
#[derive(Debug, Default)]
pub(crate) struct State {
    fault: fault::Fault,
    times: Option<u32>,
    pub(crate) incarnation: u64,
    pub(crate) sequence: u64,
    pub(crate) leaving_since: Option<Instant>,
    pub(crate) pool: String,
    pub(crate) memory: memory::Memory,
    pub(crate) runs: collections::HashMap<String, Run>,
    pub(crate) stats: stats::Endpoint,
    sockets: collections::HashMap<u64, net::TcpStream>,
    next_socket: u64,
}

/// One stand-in endpoint.
#[derive(Debug)]
pub struct Endpoint {
    pub(crate) cfg: config::Endpoint,
    pub(crate) address: net::SocketAddr,
    pub(crate) shared: sync::Arc<Shared>,
    pub(crate) slots: slots::Slots,
    state: sync::Mutex<State>,
    changed: sync::Condvar,
}

impl Endpoint {
    pub(crate) fn new(
        cfg: config::Endpoint,
        address: net::SocketAddr,
        shared: sync::Arc<Shared>,
    ) -> Self {
        let mut state = State {
            incarnation: first_incarnation(),
            ..State::default()
        };
        state.stats.endpoint.clone_from(&cfg.name);
        state.stats.address = address.to_string();
        if let endpoints::Kind::Engine { pool, .. } = &cfg.kind {
            state.pool.clone_from(pool);
        }
        state.memory.resident = cfg.resident.iter().map(ready).collect();
        state.stats.most_memory_mib = state.memory.taken();
        Self {
            slots: slots::Slots::new(cfg.slots),
            state: sync::Mutex::new(state),
            changed: sync::Condvar::new(),
            cfg,
            address,
            shared,
        }
    }

    pub(crate) fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// The fault that a request which comes now sees.
    pub(crate) fn fault_for_request(&self) -> fault::Fault {
        let mut state = self.lock();
        let fault = state.fault;
        if let Some(times) = &mut state.times {
            *times = times.saturating_sub(1);
            if *times == 0 {
                state.fault = fault::Fault::None;
                state.times = None;
            }
        }
        fault
    }

    /// The fault that is set, without using it up.
    pub(crate) fn fault(&self) -> fault::Fault {
        self.lock().fault
    }

    /// Sets a fault, or does at once what it stands for.
    pub(crate) fn set_fault(&self, fault: fault::Fault, times: Option<u32>) {
        let mut state = self.lock();
        match fault {
            fault::Fault::Crash => crash(&mut state),
            fault::Fault::Leave => state.leaving_since = Some(Instant::now()),
            _ => {
                state.fault = fault;
                state.times = times;
            }
        }
        drop(state);
        self.changed.notify_all();
        self.wake_accept();
    }

    /// Makes the accept loop look at the state: it may have to close its listener.
    pub(crate) fn wake_accept(&self) {
        let _woken = net::TcpStream::connect_timeout(&self.address, Duration::from_millis(200));
    }

    /// Waits until the state may have changed, at most for `time`.
    pub(crate) fn wait(&self, time: Duration) {
        let state = self.lock();
        let _waited = self.changed.wait_timeout(state, time);
    }

    /// Counts a request, and whether it came after the endpoint said that it leaves.
    pub(crate) fn count_request(&self) {
        let mut state = self.lock();
        state.stats.requests += 1;
        if let Some(since) = state.leaving_since {
            state.stats.after_leaving += 1;
            let after = u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX);
            state.stats.last_after_leaving_ms = Some(after);
        }
    }

    pub(crate) fn identity(&self) -> endpoints::Identity {
        let state = self.lock();
        let mut kind = self.cfg.kind.clone();
        if let endpoints::Kind::Engine { pool, .. } = &mut kind {
            pool.clone_from(&state.pool);
        }
        endpoints::Identity {
            endpoint: self.cfg.name.clone(),
            incarnation: endpoints::Incarnation(state.incarnation),
            address: self
                .cfg
                .announced
                .clone()
                .unwrap_or_else(|| self.address.to_string()),
            availability_zone: self.cfg.availability_zone.clone(),
            kind,
            slots: self.cfg.slots,
            checks_fence: self.cfg.checks_fence,
        }
    }

    pub(crate) fn stats(&self) -> stats::Endpoint {
        let state = self.lock();
        stats::Endpoint {
            incarnation: state.incarnation,
            ..state.stats.clone()
        }
    }

    /// Keeps a handle on a connection, so that a crash can close it.
    pub(crate) fn register(&self, socket: &net::TcpStream) -> Option<u64> {
        let socket = socket.try_clone().ok()?;
        let mut state = self.lock();
        state.next_socket += 1;
        let key = state.next_socket;
        state.sockets.insert(key, socket);
        Some(key)
    }

    pub(crate) fn deregister(&self, key: Option<u64>) {
        if let Some(key) = key {
            self.lock().sockets.remove(&key);
        }
    }

    /// Closes every connection.
    pub(crate) fn close_all(&self) {
        close_sockets(&mut self.lock());
        self.changed.notify_all();
    }
}

/// What becomes of a connection after a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum After {
    /// It takes the next request.
    Keep,
    /// It is closed.
    Close,
}

/// Answers with a JSON body and this request's id.
pub(crate) fn respond_json(
    conn: &mut http::Connection,
    status: u16,
    request_id: &str,
    extra: &[(&str, &str)],
    body: &str,
) -> std::io::Result<After> {
    let mut headers = vec![
        ("Content-Type", "application/json"),
        (sageshed_engines::headers::REQUEST_ID, request_id),
    ];
    headers.extend_from_slice(extra);
    conn.respond(status, &headers, body.as_bytes())?;
    Ok(After::Keep)
}

fn crash(state: &mut State) {
    close_sockets(state);
    state.incarnation += 1;
    state.sequence = 0;
    state.leaving_since = None;
    state.fault = fault::Fault::None;
    state.times = None;
    state.memory = memory::Memory::default();
    state.runs.clear();
}

fn close_sockets(state: &mut State) {
    for (_, socket) in state.sockets.drain() {
        let _closed = socket.shutdown(net::Shutdown::Both);
    }
}

fn ready(held: &config::Resident) -> endpoints::Resident {
    endpoints::Resident {
        model: held.model.clone(),
        version: held.version,
        phase: endpoints::Phase::Ready,
        memory_mib: held.memory_mib,
    }
}

/// Greater than that of any earlier process: milliseconds since 1970.
fn first_incarnation() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(1, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX / 2)
    })
}
