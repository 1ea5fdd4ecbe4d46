//! Datagrams between entry processes: what each has sent to an engine that is not read yet, and where a
//! request is to go.

use std::{
    collections, io, net,
    sync::{self, atomic, mpsc},
    thread, time,
};

use sageshed_fleet::{allowance, chooser, dialect, entry_peers as wire};
use sageshed_types::time::Millis;

use super::{allowances, state};
use crate::{locks, sampler};

/// The largest datagram that is read, in bytes. A question with a prompt of eight parts has some 300.
const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Parts of a prompt that a question names. What comes behind counts as not kept.
const MAX_PROMPT_PARTS: usize = 8;

/// How long an answer is waited for: several times the way there and back between availability zones, and
/// short beside the time in which an answer is to begin.
const REPLY_TIMEOUT: time::Duration = time::Duration::from_millis(25);

/// How long a coordinator that did not answer is passed over.
const UNRESPONSIVE_PERIOD: time::Duration = time::Duration::from_secs(1);

/// How often the thread that listens looks whether the process stops.
const STOP_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Who waits for which answer.
type PendingReplies<T> = sync::Mutex<collections::HashMap<u64, mpsc::SyncSender<T>>>;

/// The socket for datagrams.
#[derive(Debug)]
pub struct EntryPeers {
    socket: net::UdpSocket,
    port: u16,
    /// Questions that wait for their answers, by their ids.
    pending_routing: PendingReplies<wire::RoutingDecision>,
    /// The same of questions for units of allowances.
    pending_acquires: PendingReplies<allowance::AcquireReply>,
    next_id: atomic::AtomicU64,
    /// Homes that did not answer, and when.
    unresponsive: sync::Mutex<collections::HashMap<net::Ipv4Addr, time::Instant>>,
}

impl EntryPeers {
    /// Opens the socket at `ip`, on the port that the system's processes use among themselves.
    pub fn open(ip: net::Ipv4Addr, port: u16) -> io::Result<Self> {
        let socket = net::UdpSocket::bind((ip, port))?;
        socket.set_read_timeout(Some(STOP_CHECK_INTERVAL))?;
        Ok(Self {
            socket,
            port,
            pending_routing: PendingReplies::default(),
            pending_acquires: PendingReplies::default(),
            next_id: atomic::AtomicU64::new(0),
            unresponsive: sync::Mutex::default(),
        })
    }

    /// Tells `group` what this process has at an engine. A datagram may be lost; the next one says the same
    /// anew, and old words are forgotten.
    pub fn broadcast(&self, observation: wire::EngineObservation, group: &[net::Ipv4Addr]) {
        self.send(&wire::Datagram::Observation(observation), group);
    }

    fn send(&self, datagram: &wire::Datagram, to: &[net::Ipv4Addr]) {
        let bytes = match sageshed_vms::encode(datagram) {
            Ok(bytes) => bytes,
            Err(e) => return ::log::error!(error:% = e; "gateway: neighbours are not told"),
        };
        for ip in to {
            if let Err(e) = self.socket.send_to(&bytes, (*ip, self.port)) {
                ::log::debug!(neighbour:% = ip, error:% = e; "gateway: neighbour is not told");
            }
        }
    }

    /// Asks the first of `coordinators` that is not unresponsive where a request is to go. None where no answer comes.
    pub fn query_routing(
        &self,
        coordinators: &[net::Ipv4Addr],
        mut query: wire::RoutingQuery,
    ) -> Option<wire::RoutingDecision> {
        let coordinator = self.first_responsive(coordinators)?;
        query.id = self.next_id.fetch_add(1, atomic::Ordering::Relaxed);
        let id = query.id;
        let decision = self.call(
            &self.pending_routing,
            id,
            &wire::Datagram::RoutingQuery(query),
            coordinator,
        );
        if decision.is_none() {
            locks::lock(&self.unresponsive).insert(coordinator, time::Instant::now());
            ::log::debug!(home:% = coordinator; "gateway: coordinator of a model does not answer");
        }
        decision
    }

    /// Asks `coordinator` for units of an allowance. None where no answer comes.
    pub fn acquire(
        &self,
        coordinator: net::Ipv4Addr,
        request: allowance::AcquireRequest,
    ) -> Option<allowance::AcquireReply> {
        self.call(
            &self.pending_acquires,
            request.id,
            &wire::Datagram::Acquire(request),
            coordinator,
        )
    }

    /// Gives units back to `coordinator`, and waits for no answer.
    pub fn release(&self, coordinator: net::Ipv4Addr, request: allowance::AcquireRequest) {
        self.send(&wire::Datagram::Acquire(request), &[coordinator]);
    }

    /// Draws what producers of allowances have.
    pub fn collect(&self, requests: Vec<(allowance::CollectRequest, Vec<net::Ipv4Addr>)>) {
        for (request, producers) in requests {
            self.send(&wire::Datagram::Collect(request), &producers);
        }
    }

    fn call<T>(
        &self,
        pending: &PendingReplies<T>,
        id: u64,
        query: &wire::Datagram,
        coordinator: net::Ipv4Addr,
    ) -> Option<T> {
        let (tx, rx) = mpsc::sync_channel(1);
        locks::lock(pending).insert(id, tx);
        self.send(query, &[coordinator]);
        let reply = rx.recv_timeout(REPLY_TIMEOUT).ok();
        locks::lock(pending).remove(&id);
        reply
    }

    fn first_responsive(&self, coordinators: &[net::Ipv4Addr]) -> Option<net::Ipv4Addr> {
        let mut unresponsive = locks::lock(&self.unresponsive);
        unresponsive.retain(|_, since| since.elapsed() < UNRESPONSIVE_PERIOD);
        coordinators
            .iter()
            .copied()
            .find(|it| !unresponsive.contains_key(it))
    }

    fn deliver_reply<T>(pending: &PendingReplies<T>, id: u64, reply: T) {
        let waiting = locks::lock(pending).remove(&id);
        let is_late = waiting.is_none_or(|tx| tx.try_send(reply).is_err());
        if is_late {
            ::log::debug!(question = id; "gateway: answer of a neighbour came too late");
        }
    }

    fn listen<D: dialect::Dialect>(&self, shared: &state::Shared<D>) {
        let mut buf = [0; MAX_DATAGRAM_BYTES];
        while !shared.is_stopping() {
            match self.socket.recv_from(&mut buf) {
                Ok((len, net::SocketAddr::V4(from))) => handle_datagram(shared, from, &buf[..len]),
                Ok(_) => {}
                Err(e) if is_timeout(&e) => {}
                Err(e) => {
                    ::log::warn!(error:% = e; "gateway: no datagram could be read");
                    thread::sleep(STOP_CHECK_INTERVAL);
                }
            }
        }
    }
}

fn handle_datagram<D: dialect::Dialect>(
    shared: &state::Shared<D>,
    from: net::SocketAddrV4,
    bytes: &[u8],
) {
    match sageshed_vms::decode(bytes) {
        Ok(wire::Datagram::Observation(seen)) => shared.apply_observation(*from.ip(), &seen),
        Ok(wire::Datagram::RoutingQuery(query)) => answer_query(shared, *from.ip(), query),
        Ok(wire::Datagram::RoutingReply(reply)) => {
            if let Some(peers) = &shared.entry_peers {
                EntryPeers::deliver_reply(&peers.pending_routing, reply.id, reply.decision);
            }
        }
        Ok(wire::Datagram::Acquired(id, reply)) => {
            if let Some(peers) = &shared.entry_peers {
                EntryPeers::deliver_reply(&peers.pending_acquires, id, reply);
            }
        }
        Ok(wire::Datagram::Acquire(request)) => {
            let reply = allowances::serve_acquire(shared, *from.ip(), &request);
            if let Some(peers) = shared.entry_peers.as_ref().filter(|_| request.amount > 0.0) {
                peers.send(&wire::Datagram::Acquired(request.id, reply), &[*from.ip()]);
            }
        }
        Ok(wire::Datagram::Collect(request)) => {
            let now = shared.clock.now();
            let reply = shared.with_core(|core| core.allowances.release_share(now, &request));
            if let Some(peers) = &shared.entry_peers {
                peers.send(&wire::Datagram::Collected(reply), &[*from.ip()]);
            }
        }
        Ok(wire::Datagram::Collected(reply)) => {
            let now = shared.clock.now();
            shared.with_core(|core| core.allowances.add_collected(now, *from.ip(), &reply));
        }
        Err(e) => {
            // Anybody can send datagrams without end.
            if shared.misread.line(shared.clock.now()) != sampler::Line::LeaveOut {
                let misread = shared.misread.total();
                ::log::warn!(from:% = from, error:% = e, misread; "gateway: datagram not read");
            }
        }
    }
}

/// Says where a request of `from` is to go.
fn answer_query<D: dialect::Dialect>(
    shared: &state::Shared<D>,
    from: net::Ipv4Addr,
    query: wire::RoutingQuery,
) {
    let now = shared.clock.now();
    let (id, request) = (query.id, query.request);
    let wanted = dialect::ModelRef {
        model: query.model,
        adapter: query.adapter,
    };
    let parts = query.parts.iter();
    let parts: Vec<_> = parts
        .map(|(id, tokens)| dialect::PromptPart {
            id: *id,
            tokens: *tokens,
        })
        .collect();
    let decision = shared.with_core(|core| {
        let tried = query.tried.iter();
        let tried: Vec<_> = tried
            .filter_map(|it| core.chooser.by_instance_key(*it))
            .collect();
        let query = chooser::EndpointQuery {
            service: &query.service,
            wanted: Some(&wanted),
            parts: &parts,
            prompt_tokens: query.prompt_tokens,
            tried: &tried,
            left: query.left,
            patience: query.patience,
            on_time: query.on_time,
            may_be_late: query.may_be_late,
            may_fetch: false,
        };
        core.chooser.route_for(now, from, request, &query)
    });
    let reply = wire::RoutingReply { id, decision };
    if let Some(peers) = &shared.entry_peers {
        peers.send(&wire::Datagram::RoutingReply(reply), &[from]);
    }
}

/// Asks the coordinator of the request's model, where it has one.
pub(super) fn query_coordinator<D: dialect::Dialect>(
    shared: &state::Shared<D>,
    request: u64,
    query: &chooser::EndpointQuery<'_>,
) -> Option<wire::RoutingDecision> {
    let peers = shared.entry_peers.as_ref()?;
    let wanted = query.wanted?;
    let now = shared.clock.now();
    let (coordinators, tried) = shared.with_core(|core| {
        // What this process was told by an engine the coordinator was not.
        let closed = core.chooser.closed_endpoints(now, query.service);
        let tried = query.tried.iter().chain(&closed);
        let tried: Vec<u64> = tried
            .filter_map(|key| core.chooser.instance_key(*key))
            .collect();
        (core.chooser.coordinators(&wanted.model), tried)
    });
    if coordinators.is_empty() {
        return None;
    }
    let parts = query.parts.iter().take(MAX_PROMPT_PARTS);
    let message = wire::RoutingQuery {
        id: 0,
        request,
        service: query.service.to_owned(),
        model: wanted.model.clone(),
        adapter: wanted.adapter.clone(),
        parts: parts.map(|it| (it.id, it.tokens)).collect(),
        prompt_tokens: query.prompt_tokens,
        tried,
        left: query.left,
        patience: query.patience,
        on_time: query.on_time,
        may_be_late: query.may_be_late,
    };
    peers.query_routing(&coordinators, message)
}

fn is_timeout(e: &io::Error) -> bool {
    matches!(
        e.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut | io::ErrorKind::Interrupted
    )
}

/// Starts the thread that hears the peers.
pub(super) fn start<D: dialect::Dialect>(shared: &sync::Arc<state::Shared<D>>) {
    let listening = sync::Arc::clone(shared);
    let spawned = thread::Builder::new()
        .name("neighbours".to_owned())
        .spawn(move || {
            if let Some(peers) = &listening.entry_peers {
                peers.listen(&listening);
            }
        });
    if let Err(e) = spawned {
        ::log::error!(error:% = e; "gateway: no thread for neighbours");
    }
}

/// Tells the neighbours after a change at the engine of `pick`.
pub(super) fn report<D: dialect::Dialect>(shared: &state::Shared<D>, pick: &chooser::Pick) {
    report_with(shared, pick, |_, _| true);
}

/// The same after the engine has read a prompt in `took`, with the beginning of it that others may share.
pub(super) fn report_prefill<D: dialect::Dialect>(
    shared: &state::Shared<D>,
    pick: &chooser::Pick,
    read: chooser::Prefill<'_>,
    took: Millis,
    load: Option<dialect::Load>,
) {
    report_with(shared, pick, |observation, has_coordinators| {
        let short = |ms: Millis| u32::try_from(ms.0).unwrap_or(u32::MAX);
        observation.cached_prefix = wire::PromptPrefix::of(read.wanted, read.parts);
        observation.running = load.map(|it| it.running);
        observation.ttft = has_coordinators.then(|| wire::TtftSample {
            model: wire::name_key(&read.wanted.model),
            took: short(took),
            estimated: short(pick.estimate),
        });
        true
    });
}

/// Tells coordinators how a stream paused that has ended whole.
pub(super) fn report_pauses<D: dialect::Dialect>(
    shared: &state::Shared<D>,
    pick: &chooser::Pick,
    pauses: wire::Pauses,
) {
    report_with(shared, pick, |observation, has_coordinators| {
        observation.pauses = Some(pauses);
        has_coordinators
    });
}

/// Tells the neighbours that a request has ended whose answer had not begun, and coordinators of the trouble, if
/// there was any.
pub(super) fn report_end<D: dialect::Dialect>(
    shared: &state::Shared<D>,
    pick: &chooser::Pick,
    began: bool,
    trouble: Option<wire::EngineFault>,
) {
    report_with(shared, pick, |observation, has_coordinators| {
        observation.fault = trouble.filter(|_| has_coordinators);
        !began || observation.fault.is_some()
    });
}

/// Tells what `complete` makes of the word on the engine of `pick`, given whether models have coordinators, unless it
/// says that nobody is to be told.
fn report_with<D: dialect::Dialect>(
    shared: &state::Shared<D>,
    pick: &chooser::Pick,
    complete: impl FnOnce(&mut wire::EngineObservation, bool) -> bool,
) {
    let Some(peers) = shared.entry_peers.as_ref().filter(|_| pick.prefill_us > 0) else {
        return;
    };
    let (observation, has_coordinators) = shared.with_core(|core| {
        let chooser = &core.chooser;
        (chooser.observation_of(pick), chooser.uses_coordinators())
    });
    if let Some((mut observation, group)) = observation
        && complete(&mut observation, has_coordinators)
    {
        peers.broadcast(observation, &group);
    }
}
