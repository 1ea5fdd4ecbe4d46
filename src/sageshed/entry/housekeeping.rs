//! What goes on beside the requests: time, cancellations, and callers who leave while they wait.

use std::{
    collections,
    sync::{self, mpsc},
    thread, time,
};

use sageshed_callers::reply;
use sageshed_decide::event;
use sageshed_types::{messages, time as types_time};

use super::shared;
use crate::locks;

/// Between two ticks of the decider: how late a queued request may be shed.
const TICK: time::Duration = time::Duration::from_millis(10);

/// Ticks between two looks at callers who wait for an answer that is not streamed.
const TICKS_PER_WATCH: u32 = 10;

/// Ticks between two collections of demand.
const TICKS_PER_DEMAND: u32 = 25;

/// Silence after which an endpoint is forgotten.
const FORGET_AFTER: types_time::Millis = types_time::Millis(600_000);

/// Threads that send cancellations. A silent endpoint holds one for its limit.
const CANCELLERS: usize = 4;

/// Cancellations that wait at once. Behind silent engines they pile up; past the bound they are
/// dropped, which costs those engines' time and no request.
const CANCEL_QUEUE: usize = 1_024;

/// Age past which a cancellation is not sent: the run is likely over.
const CANCEL_AGE_LIMIT: time::Duration = time::Duration::from_secs(10);

/// Tells an engine to stop a run.
#[derive(Debug)]
struct Cancel {
    address: String,
    request_id: String,
    since: time::Instant,
}

/// Where cancellations are handed in.
#[derive(Debug, Clone)]
pub struct Cancels(mpsc::SyncSender<Cancel>);

/// Where they come out again, for [`start_cancellers`].
#[derive(Debug)]
pub struct Queued(mpsc::Receiver<Cancel>);

impl Cancels {
    /// An empty queue.
    #[must_use]
    pub fn new() -> (Self, Queued) {
        let (tx, rx) = mpsc::sync_channel(CANCEL_QUEUE);
        (Self(tx), Queued(rx))
    }

    /// Has the engine at `address` told to stop the run of a request.
    pub fn send(&self, address: String, request_id: String) {
        let cancel = Cancel {
            address,
            request_id,
            since: time::Instant::now(),
        };
        if self.0.try_send(cancel).is_err() {
            log::warn!("entry: too many cancellations wait, one is dropped");
        }
    }
}

/// Answers that are watched for callers who leave.
#[derive(Debug, Default)]
pub struct Watched {
    by_req: sync::Mutex<collections::HashMap<event::ReqId, reply::Watch>>,
}

impl Watched {
    /// Watches the caller of a request, whose thread is blocked elsewhere.
    pub fn enter(&self, req: event::ReqId, watch: reply::Watch) {
        locks::lock(&self.by_req).insert(req, watch);
    }

    /// Watches it no longer.
    pub fn leave(&self, req: event::ReqId) {
        locks::lock(&self.by_req).remove(&req);
    }

    fn gone(&self) -> Vec<event::ReqId> {
        let mut by_req = locks::lock(&self.by_req);
        let gone = by_req
            .iter()
            .filter(|(_, watch)| watch.caller_gone())
            .map(|(req, _)| *req);
        let gone: Vec<_> = gone.collect();
        for req in &gone {
            by_req.remove(req);
        }
        gone
    }
}

/// Runs until the process stops.
pub fn run(shared: &shared::Shared) {
    let mut count = 0;
    while !shared.stage.stops() {
        thread::sleep(TICK);
        count += 1;
        shared.step(event::Event::Tick);
        if count % TICKS_PER_WATCH == 0 {
            for req in shared.watched.gone() {
                shared.step(event::Event::CallerGone(req));
            }
        }
        if count % TICKS_PER_DEMAND == 0 {
            collect_demand(shared);
            forget_silent(shared);
        }
    }
}

/// Adds what was asked for since the last time to what each control process is still to be told.
fn collect_demand(shared: &shared::Shared) {
    let news = locks::lock(&shared.decider).demand();
    let mut by_vm = locks::lock(&shared.demand);
    for vm in shared
        .settings
        .common
        .vms
        .iter()
        .filter(|vm| vm.control.is_some())
    {
        let pending = by_vm.entry(vm.name.clone()).or_default();
        for demand in &news {
            add(pending, demand);
        }
    }
}

fn add(pending: &mut Vec<messages::Demand>, news: &messages::Demand) {
    match pending.iter_mut().find(|known| known.model == news.model) {
        Some(known) => {
            known.arrived = known.arrived.saturating_add(news.arrived);
            known.unserved = known.unserved.saturating_add(news.unserved);
            known.waiting = news.waiting;
            known.service_time = news.service_time;
        }
        None => pending.push(news.clone()),
    }
}

fn forget_silent(shared: &shared::Shared) {
    let now = shared.clock.now();
    let gone = locks::lock(&shared.directory).forget_silent(now, FORGET_AFTER);
    for name in gone {
        log::info!(endpoint = name.as_str(); "entry: endpoint forgotten");
        let key = locks::lock(&shared.decider).endpoint(&name);
        if let Some(key) = key {
            shared.step(event::Event::EndpointSilent(key));
        }
    }
}

/// Starts the threads that send cancellations.
pub fn start_cancellers(shared: &sync::Arc<shared::Shared>, queued: Queued) {
    let rx = sync::Arc::new(sync::Mutex::new(queued.0));
    for _ in 0..CANCELLERS {
        let (shared, rx) = (sync::Arc::clone(shared), sync::Arc::clone(&rx));
        thread::spawn(move || send_cancels(&shared, &rx));
    }
}

fn send_cancels(shared: &shared::Shared, rx: &sync::Mutex<mpsc::Receiver<Cancel>>) {
    loop {
        let Ok(cancel) = locks::lock(rx).recv() else {
            return;
        };
        let Cancel {
            address,
            request_id,
            since,
        } = cancel;
        if since.elapsed() > CANCEL_AGE_LIMIT {
            continue;
        }
        if let Err(e) = shared.engines.cancel(&address, &request_id) {
            log::debug!(request = request_id.as_str(), error:% = e; "entry: run not cancelled");
        }
    }
}
