//! Exchanges UDP datagrams with the other entry processes: observations of engines, such as the prefill that each has
//! pending there, routing queries to the coordinators of models, and units of shared allowances.

use std::{
    collections, io, net,
    sync::{self, atomic, mpsc},
    thread, time,
};

use sageshed_fleet::{
    allowance, chooser, dialect, directory, entry_peers as wire, reply_times, stream_origins,
};
use sageshed_types::time::{Instant, Millis};

use super::{allowances, queues, routing_queries, slots, state};
use crate::{clock, locks, sampler};

/// The largest datagram that is received. A routing query with a prompt of eight parts takes about 300 bytes.
const MAX_DATAGRAM_BYTES: usize = 1_200;

/// How long a coordinator that did not reply is skipped.
const UNRESPONSIVE_PERIOD: time::Duration = time::Duration::from_secs(1);

/// Ids count up from the start time in milliseconds, shifted by this: more than a process uses in a millisecond.
const ID_BITS_PER_MS: u32 = 16;

/// The delay after datagrams could not be received.
const RECEIVE_RETRY_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// The threads that wait for replies, by the ids of their requests.
type PendingReplies<T> = sync::Mutex<collections::HashMap<u64, mpsc::SyncSender<T>>>;

/// A reply to a request in a queue, and the coordinator that it comes from.
pub(super) type FromCoordinator = (net::Ipv4Addr, wire::RoutingReply);

/// A reply to a query for the record of a stream, and the process that it comes from.
type OriginFrom = (net::Ipv4Addr, Option<directory::SoftwareKey>);

/// How often the processes that did not reply are queried for the record of a stream. A datagram is lost now and then.
const ORIGIN_QUERIES: usize = 2;

/// The replies to one queued request that are kept until its thread reads them. Each repeat brings one, and a thread
/// reads them at least every 100 ms.
const MAX_UNREAD_REPLIES: usize = 4;

/// The socket for datagrams, and the requests that wait for replies.
#[derive(Debug)]
pub struct EntryPeers {
    socket: net::UdpSocket,
    port: u16,
    /// The routing queries that wait for replies.
    pending_routing: PendingReplies<wire::RoutingDecision>,
    /// The requests that wait in queues of coordinators.
    queued: sync::Mutex<collections::HashMap<u64, mpsc::SyncSender<FromCoordinator>>>,
    /// The queries for records of streams that wait for replies.
    pending_origins: PendingReplies<OriginFrom>,
    /// The requests for units of allowances that wait for replies.
    pending_acquires: PendingReplies<allowance::AcquireReply>,
    next_id: atomic::AtomicU64,
    /// The coordinators that did not reply, and when.
    unresponsive: sync::Mutex<collections::HashMap<net::Ipv4Addr, time::Instant>>,
    /// How long peers take to reply.
    reply_times: sync::Mutex<reply_times::ReplyTimes>,
    /// How often a coordinator did not reply in time, since the start.
    timeouts: atomic::AtomicU64,
    /// The replies that came after that.
    late_replies: atomic::AtomicU64,
}

impl EntryPeers {
    /// Opens the socket on `ip` and `port`, which all VMs of the system use for their own traffic.
    pub fn open(ip: net::Ipv4Addr, port: u16) -> io::Result<Self> {
        let socket = net::UdpSocket::bind((ip, port))?;
        Ok(Self {
            socket,
            port,
            pending_routing: PendingReplies::default(),
            queued: sync::Mutex::default(),
            pending_origins: PendingReplies::default(),
            pending_acquires: PendingReplies::default(),
            // A process that is started again at the same address must not take the replies to the queries of its
            // predecessor for its own.
            next_id: atomic::AtomicU64::new(clock::unix_ms() << ID_BITS_PER_MS),
            unresponsive: sync::Mutex::default(),
            reply_times: sync::Mutex::default(),
            timeouts: atomic::AtomicU64::new(0),
            late_replies: atomic::AtomicU64::new(0),
        })
    }

    /// Sends an observation of an engine to `group`. A datagram may be lost: the next one has the full state again, and
    /// old observations expire.
    pub fn broadcast(&self, observation: wire::EngineObservation, group: &[net::Ipv4Addr]) {
        self.send(&wire::Datagram::Observation(observation), group);
    }

    /// Sends a datagram to each of `to`.
    pub(super) fn send(&self, datagram: &wire::Datagram, to: &[net::Ipv4Addr]) {
        let bytes = match sageshed_vms::encode(datagram) {
            Ok(bytes) => bytes,
            Err(e) => return ::log::error!(error:% = e; "gateway: cannot encode a datagram"),
        };
        for ip in to {
            if let Err(e) = self.socket.send_to(&bytes, (*ip, self.port)) {
                ::log::debug!(neighbour:% = ip, error:% = e; "gateway: cannot send a datagram");
            }
        }
    }

    /// Asks the first responsive one of `coordinators` where to send a request. None if it does not reply.
    pub fn query_routing(
        &self,
        now: Instant,
        coordinators: &[net::Ipv4Addr],
        mut query: wire::RoutingQuery,
    ) -> Option<wire::RoutingDecision> {
        let coordinator = self.first_responsive(coordinators)?;
        query.id = self.next_id.fetch_add(1, atomic::Ordering::Relaxed);
        let id = query.id;
        let decision = self.call(
            now,
            &self.pending_routing,
            id,
            &wire::Datagram::RoutingQuery(query),
            coordinator,
        );
        if decision.is_none() {
            self.mark_unresponsive(coordinator);
        }
        decision
    }

    /// Skips a coordinator that did not reply for a while.
    pub(super) fn mark_unresponsive(&self, coordinator: net::Ipv4Addr) {
        locks::lock(&self.unresponsive).insert(coordinator, time::Instant::now());
        self.timeouts.fetch_add(1, atomic::Ordering::Relaxed);
        ::log::debug!(home:% = coordinator; "gateway: coordinator of a model does not reply");
    }

    /// Records that the query `id` is sent. Returns the timeout for its reply.
    pub(super) fn begin_query(&self, now: Instant, id: u64) -> Millis {
        let mut times = locks::lock(&self.reply_times);
        times.query(now, id);
        times.timeout(now)
    }

    /// The timeout for a reply to a query that is sent now.
    pub(super) fn reply_timeout(&self, now: Instant) -> Millis {
        locks::lock(&self.reply_times).timeout(now)
    }

    /// Records the reply of `peer` to the query `id`. Returns by how much this process is late.
    fn end_query(&self, now: Instant, id: u64, peer: net::Ipv4Addr) -> Millis {
        let mut times = locks::lock(&self.reply_times);
        times.reply(now, id, peer);
        times.lateness(now)
    }

    /// Counts a reply that came after its coordinator was given up.
    pub(super) fn count_late_reply(&self) {
        self.late_replies.fetch_add(1, atomic::Ordering::Relaxed);
    }

    /// How often a coordinator did not reply in time, and how many replies came after that, since the start.
    #[must_use]
    pub fn timeouts(&self) -> (u64, u64) {
        let timeouts = self.timeouts.load(atomic::Ordering::Relaxed);
        (timeouts, self.late_replies.load(atomic::Ordering::Relaxed))
    }

    /// Registers a request that waits in queues. Returns the id of its queries, and where their replies arrive until
    /// [`Self::remove_queued`].
    pub(super) fn add_queued(&self) -> (u64, mpsc::Receiver<FromCoordinator>) {
        let id = self.next_id.fetch_add(1, atomic::Ordering::Relaxed);
        let (tx, rx) = mpsc::sync_channel(MAX_UNREAD_REPLIES);
        locks::lock(&self.queued).insert(id, tx);
        (id, rx)
    }

    /// Ends what [`Self::add_queued`] began.
    pub(super) fn remove_queued(&self, id: u64) {
        locks::lock(&self.queued).remove(&id);
    }

    /// Hands the reply of the coordinator `from` to the thread that waits for it.
    pub(super) fn deliver_routing(&self, from: net::Ipv4Addr, reply: wire::RoutingReply) {
        let queued = locks::lock(&self.queued).get(&reply.id).cloned();
        match queued {
            Some(tx) if tx.try_send((from, reply)).is_err() => {
                ::log::debug!(question = reply.id; "gateway: reply to a queued request was not read");
            }
            Some(_) => {}
            None => self.deliver_reply(&self.pending_routing, reply.id, reply.decision),
        }
    }

    /// Asks the entry and control processes `holders` which version began a stream.
    ///
    /// # Errors
    ///
    /// If none that replies has a record; with those that did not reply.
    pub(super) fn query_origin(
        &self,
        now: Instant,
        stream: stream_origins::StreamKey,
        mut holders: Vec<net::Ipv4Addr>,
    ) -> Result<directory::SoftwareKey, Vec<net::Ipv4Addr>> {
        let id = self.next_id.fetch_add(1, atomic::Ordering::Relaxed);
        let (tx, rx) = mpsc::sync_channel(holders.len() * ORIGIN_QUERIES);
        locks::lock(&self.pending_origins).insert(id, tx);
        let query = wire::Datagram::OriginQuery(stream_origins::OriginQuery { id, stream });
        let mut found = None;
        let timeout = time::Duration::from(self.reply_timeout(now));
        for _ in 0..ORIGIN_QUERIES {
            self.send(&query, &holders);
            let until = time::Instant::now() + timeout;
            while found.is_none() && !holders.is_empty() {
                let left = until.saturating_duration_since(time::Instant::now());
                let Ok((from, software)) = rx.recv_timeout(left) else {
                    break;
                };
                holders.retain(|it| *it != from);
                found = software;
            }
            if found.is_some() || holders.is_empty() {
                break;
            }
        }
        locks::lock(&self.pending_origins).remove(&id);
        found.ok_or(holders)
    }

    fn deliver_origin(&self, from: net::Ipv4Addr, reply: stream_origins::OriginReply) {
        let waiting = locks::lock(&self.pending_origins).get(&reply.id).cloned();
        let is_late = waiting.is_none_or(|tx| tx.try_send((from, reply.software)).is_err());
        if is_late {
            ::log::debug!(question = reply.id; "gateway: reply of an entry peer came too late");
        }
    }

    /// Asks `coordinator` for units of an allowance. None if it does not reply.
    pub fn acquire(
        &self,
        now: Instant,
        coordinator: net::Ipv4Addr,
        request: allowance::AcquireRequest,
    ) -> Option<allowance::AcquireReply> {
        self.call(
            now,
            &self.pending_acquires,
            request.id,
            &wire::Datagram::Acquire(request),
            coordinator,
        )
    }

    /// Returns unused units to `coordinator`, without waiting for a reply.
    pub fn release(&self, coordinator: net::Ipv4Addr, request: allowance::AcquireRequest) {
        self.send(&wire::Datagram::Acquire(request), &[coordinator]);
    }

    /// Asks the producers of allowances for the units that they have accumulated.
    pub fn collect(&self, requests: Vec<(allowance::CollectRequest, Vec<net::Ipv4Addr>)>) {
        for (request, producers) in requests {
            self.send(&wire::Datagram::Collect(request), &producers);
        }
    }

    fn call<T>(
        &self,
        now: Instant,
        pending: &PendingReplies<T>,
        id: u64,
        query: &wire::Datagram,
        coordinator: net::Ipv4Addr,
    ) -> Option<T> {
        let (tx, rx) = mpsc::sync_channel(1);
        locks::lock(pending).insert(id, tx);
        let timeout = self.begin_query(now, id);
        self.send(query, &[coordinator]);
        let reply = rx.recv_timeout(timeout.into()).ok();
        locks::lock(pending).remove(&id);
        reply
    }

    fn first_responsive(&self, coordinators: &[net::Ipv4Addr]) -> Option<net::Ipv4Addr> {
        self.responsive(coordinators).first().copied()
    }

    /// Those of `coordinators` that have not failed to reply lately.
    pub(super) fn responsive(&self, coordinators: &[net::Ipv4Addr]) -> Vec<net::Ipv4Addr> {
        let mut unresponsive = locks::lock(&self.unresponsive);
        unresponsive.retain(|_, since| since.elapsed() < UNRESPONSIVE_PERIOD);
        let all = coordinators.iter().copied();
        all.filter(|it| !unresponsive.contains_key(it)).collect()
    }

    fn deliver_reply<T>(&self, pending: &PendingReplies<T>, id: u64, reply: T) {
        let waiting = locks::lock(pending).remove(&id);
        let is_late = waiting.is_none_or(|tx| tx.try_send(reply).is_err());
        if is_late {
            self.count_late_reply();
            ::log::debug!(question = id; "gateway: reply of an entry peer came too late");
        }
    }

    fn listen<D: dialect::Dialect>(&self, shared: &state::Shared<D>) {
        let mut buf = [0; MAX_DATAGRAM_BYTES];
        loop {
            match self.socket.recv_from(&mut buf) {
                Ok((len, net::SocketAddr::V4(from))) => handle_datagram(shared, from, &buf[..len]),
                Ok(_) => {}
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => {
                    ::log::warn!(error:% = e; "gateway: cannot receive datagrams");
                    thread::sleep(RECEIVE_RETRY_INTERVAL);
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
    let decoded = sageshed_vms::decode(bytes);
    // Others ask the next coordinator if this one does not reply.
    if shared.is_stopping() && decoded.as_ref().is_ok_and(needs_running_coordinator) {
        return;
    }
    if let Some(id) = decoded.as_ref().ok().and_then(replied_query) {
        record_reply(shared, id, *from.ip());
    }
    match decoded {
        Ok(wire::Datagram::Observation(seen)) => shared.apply_observation(*from.ip(), &seen),
        Ok(wire::Datagram::RoutingQuery(query)) => {
            routing_queries::answer(shared, *from.ip(), &query);
        }
        Ok(wire::Datagram::RoutingReply(reply)) => {
            if let Some(peers) = &shared.entry_peers {
                peers.deliver_routing(*from.ip(), reply);
            }
        }
        Ok(wire::Datagram::Cancel(cancellation)) => {
            queues::handle_cancel(shared, *from.ip(), cancellation);
        }
        Ok(wire::Datagram::Acquired(id, reply)) => {
            if let Some(peers) = &shared.entry_peers {
                peers.deliver_reply(&peers.pending_acquires, id, reply);
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
        Ok(wire::Datagram::SlotRequest(request)) => {
            slots::serve_request(shared, *from.ip(), request);
        }
        Ok(wire::Datagram::SlotGrant(grant)) => slots::handle_grant(shared, *from.ip(), grant),
        Ok(wire::Datagram::SlotRelease(release)) => {
            slots::serve_release(shared, *from.ip(), &release);
        }
        Ok(wire::Datagram::StreamOrigin(origin)) => {
            shared.insert_origin(origin);
        }
        // Sent to control processes only.
        Ok(wire::Datagram::StreamOrigins(_)) => {}
        Ok(wire::Datagram::OriginQuery(query)) => {
            let now = shared.clock.now();
            let reply = stream_origins::OriginReply {
                id: query.id,
                software: shared.with_core(|core| core.origins.get(now, query.stream)),
            };
            if let Some(peers) = &shared.entry_peers {
                peers.send(&wire::Datagram::OriginReply(reply), &[*from.ip()]);
            }
        }
        Ok(wire::Datagram::OriginReply(reply)) => {
            if let Some(peers) = &shared.entry_peers {
                peers.deliver_origin(*from.ip(), reply);
            }
        }
        Err(e) => {
            // Anyone can send datagrams to the port, so the log is limited.
            if shared.misread.line(shared.clock.now()) != sampler::Line::LeaveOut {
                let misread = shared.misread.total();
                ::log::warn!(from:% = from, error:% = e, misread; "gateway: cannot decode a datagram");
            }
        }
    }
}

/// The query that a datagram replies to.
fn replied_query(datagram: &wire::Datagram) -> Option<u64> {
    match datagram {
        wire::Datagram::RoutingReply(reply) => Some(reply.id),
        wire::Datagram::Acquired(id, _) => Some(*id),
        wire::Datagram::SlotGrant(grant) => Some(grant.request),
        _ => None,
    }
}

/// Records a reply. If this process reads replies late, it takes fewer new connections.
fn record_reply<D: dialect::Dialect>(shared: &state::Shared<D>, id: u64, from: net::Ipv4Addr) {
    let Some(peers) = &shared.entry_peers else {
        return;
    };
    let late = peers.end_query(shared.clock.now(), id, from);
    if late > reply_times::REPLY_TIMEOUT
        && let Some(load) = shared.callers_load.get()
    {
        load.record_lag(late.into());
    }
}

/// Whether a datagram asks for a place in a queue or for a slot, which a coordinator keeps for longer than it may run
/// once it has been told to stop. Units of allowances are handed out at once, and replies concern requests that this
/// process still has.
fn needs_running_coordinator(datagram: &wire::Datagram) -> bool {
    matches!(
        datagram,
        wire::Datagram::RoutingQuery(_)
            | wire::Datagram::Cancel(_)
            | wire::Datagram::SlotRequest(_)
            | wire::Datagram::SlotRelease(_)
    )
}

/// Starts the thread that receives datagrams until the process exits.
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
        ::log::error!(error:% = e; "gateway: cannot start the thread for entry peers");
    }
}

/// Reports that a request was sent to the engine of `pick`. `granted` is its key in queues if it was sent by a grant.
pub(super) fn report_send<D: dialect::Dialect>(
    shared: &state::Shared<D>,
    pick: &chooser::Pick,
    granted: Option<u64>,
) {
    report_with(shared, pick, |observation, _| {
        observation.granted = granted;
        true
    });
}

/// Reports the state of the engine of `pick` after a change by this process.
pub(super) fn report<D: dialect::Dialect>(shared: &state::Shared<D>, pick: &chooser::Pick) {
    report_with(shared, pick, |_, _| true);
}

/// Reports the state of the engine of `pick` after the prefill of a prompt, which took `took`, with the prefix of the
/// prompt that is cached now.
pub(super) fn report_prefill<D: dialect::Dialect>(
    shared: &state::Shared<D>,
    pick: &chooser::Pick,
    prefill: chooser::Prefill<'_>,
    took: Millis,
    load: Option<dialect::Load>,
) {
    report_with(shared, pick, |observation, has_coordinators| {
        let short = |ms: Millis| u32::try_from(ms.0).unwrap_or(u32::MAX);
        observation.cached_prefix = wire::PromptPrefix::of(prefill.wanted, prefill.parts);
        observation.running = load.map(|it| it.running);
        observation.slowdown_percent = load.and_then(|it| it.slowdown_percent);
        observation.ttft = has_coordinators.then(|| wire::TtftSample {
            model: wire::name_key(&prefill.wanted.model),
            took: short(took),
            estimated: short(pick.estimate),
        });
        true
    });
}

/// Reports the pauses of a complete stream, if models have coordinators.
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

/// Reports the end of an attempt. If its response had not started, peers have to learn that its prefill is no longer
/// pending; a fault is reported only if models have coordinators.
pub(super) fn report_end<D: dialect::Dialect>(
    shared: &state::Shared<D>,
    pick: &chooser::Pick,
    began: bool,
    fault: Option<wire::EngineFault>,
) {
    report_with(shared, pick, |observation, has_coordinators| {
        observation.fault = fault.filter(|_| has_coordinators);
        !began || observation.fault.is_some()
    });
}

/// Sends an observation of the engine of `pick` to the entry peers. `complete` adds to it, given whether models have
/// coordinators; nothing is sent if it returns false. Of a request whose prompt is fully cached only the send is
/// reported, if it confirms a grant.
fn report_with<D: dialect::Dialect>(
    shared: &state::Shared<D>,
    pick: &chooser::Pick,
    complete: impl FnOnce(&mut wire::EngineObservation, bool) -> bool,
) {
    let Some(peers) = &shared.entry_peers else {
        return;
    };
    let (observation, has_coordinators) = shared.with_core(|core| {
        let chooser = &core.chooser;
        (chooser.observation_of(pick), chooser.uses_coordinators())
    });
    if let Some((mut observation, group)) = observation
        && complete(&mut observation, has_coordinators)
        && (pick.prefill_us > 0 || observation.granted.is_some())
    {
        peers.broadcast(observation, &group);
    }
}
