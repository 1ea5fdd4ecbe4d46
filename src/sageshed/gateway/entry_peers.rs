//! Datagrams between entry processes: what each has sent to an engine that is not read yet, and where a
//! request is to go.

use std::{
    collections, io, net,
    sync::{self, atomic, mpsc},
    thread, time,
};

use sageshed_fleet::{allowance, chooser, dialect, entry_peers as words};
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

/// How long a home that did not answer is passed over.
const UNRESPONSIVE_PERIOD: time::Duration = time::Duration::from_secs(1);

/// How often the thread that listens looks whether the process stops.
const STOP_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Who waits for which answer.
type Asked<T> = sync::Mutex<collections::HashMap<u64, mpsc::SyncSender<T>>>;

/// The socket for datagrams.
#[derive(Debug)]
pub struct EntryPeers {
    socket: net::UdpSocket,
    port: u16,
    /// Questions that wait for their answers, by their ids.
    asked: Asked<words::RoutingDecision>,
    /// The same of questions for units of allowances.
    drawn: Asked<allowance::AcquireReply>,
    next_id: atomic::AtomicU64,
    /// Homes that did not answer, and when.
    lost: sync::Mutex<collections::HashMap<net::Ipv4Addr, time::Instant>>,
}

impl EntryPeers {
    /// Opens the socket at `ip`, on the port that the system's processes use among themselves.
    pub fn open(ip: net::Ipv4Addr, port: u16) -> io::Result<Self> {
        let socket = net::UdpSocket::bind((ip, port))?;
        socket.set_read_timeout(Some(STOP_CHECK_INTERVAL))?;
        Ok(Self {
            socket,
            port,
            asked: Asked::default(),
            drawn: Asked::default(),
            next_id: atomic::AtomicU64::new(0),
            lost: sync::Mutex::default(),
        })
    }

    /// Tells `group` what this process has at an engine. A datagram may be lost; the next one says the same
    /// anew, and old words are forgotten.
    pub fn tell(&self, word: words::EngineObservation, group: &[net::Ipv4Addr]) {
        self.send(&words::Datagram::Observation(word), group);
    }

    fn send(&self, datagram: &words::Datagram, to: &[net::Ipv4Addr]) {
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

    /// Asks the first of `homes` that is not lost where a request is to go. None where no answer comes.
    pub fn ask(
        &self,
        homes: &[net::Ipv4Addr],
        mut ask: words::RoutingQuery,
    ) -> Option<words::RoutingDecision> {
        let home = self.first_there(homes)?;
        ask.id = self.next_id.fetch_add(1, atomic::Ordering::Relaxed);
        let id = ask.id;
        let place = self.question(&self.asked, id, &words::Datagram::RoutingQuery(ask), home);
        if place.is_none() {
            locks::lock(&self.lost).insert(home, time::Instant::now());
            ::log::debug!(home:% = home; "gateway: home of a model does not answer");
        }
        place
    }

    /// Asks `home` for units of an allowance. None where no answer comes.
    pub fn draw(
        &self,
        home: net::Ipv4Addr,
        draw: allowance::AcquireRequest,
    ) -> Option<allowance::AcquireReply> {
        self.question(&self.drawn, draw.id, &words::Datagram::Acquire(draw), home)
    }

    /// Gives units back to `home`, and waits for no answer.
    pub fn give_back(&self, home: net::Ipv4Addr, draw: allowance::AcquireRequest) {
        self.send(&words::Datagram::Acquire(draw), &[home]);
    }

    /// Draws what producers of allowances have.
    pub fn pull(&self, pulls: Vec<(allowance::CollectRequest, Vec<net::Ipv4Addr>)>) {
        for (pull, producers) in pulls {
            self.send(&words::Datagram::Collect(pull), &producers);
        }
    }

    fn question<T>(
        &self,
        asked: &Asked<T>,
        id: u64,
        question: &words::Datagram,
        home: net::Ipv4Addr,
    ) -> Option<T> {
        let (tx, rx) = mpsc::sync_channel(1);
        locks::lock(asked).insert(id, tx);
        self.send(question, &[home]);
        let answer = rx.recv_timeout(REPLY_TIMEOUT).ok();
        locks::lock(asked).remove(&id);
        answer
    }

    fn first_there(&self, homes: &[net::Ipv4Addr]) -> Option<net::Ipv4Addr> {
        let mut lost = locks::lock(&self.lost);
        lost.retain(|_, since| since.elapsed() < UNRESPONSIVE_PERIOD);
        homes.iter().copied().find(|it| !lost.contains_key(it))
    }

    fn answered<T>(asked: &Asked<T>, id: u64, answer: T) {
        let waiting = locks::lock(asked).remove(&id);
        let is_late = waiting.is_none_or(|tx| tx.try_send(answer).is_err());
        if is_late {
            ::log::debug!(question = id; "gateway: answer of a neighbour came too late");
        }
    }

    fn listen<D: dialect::Dialect>(&self, shared: &state::Shared<D>) {
        let mut buf = [0; MAX_DATAGRAM_BYTES];
        while !shared.is_stopping() {
            match self.socket.recv_from(&mut buf) {
                Ok((len, net::SocketAddr::V4(from))) => take(shared, from, &buf[..len]),
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

fn take<D: dialect::Dialect>(shared: &state::Shared<D>, from: net::SocketAddrV4, bytes: &[u8]) {
    match sageshed_vms::decode(bytes) {
        Ok(words::Datagram::Observation(word)) => shared.hear(*from.ip(), &word),
        Ok(words::Datagram::RoutingQuery(ask)) => advise(shared, *from.ip(), ask),
        Ok(words::Datagram::RoutingReply(advice)) => {
            if let Some(peers) = &shared.entry_peers {
                EntryPeers::answered(&peers.asked, advice.id, advice.decision);
            }
        }
        Ok(words::Datagram::Acquired(id, answer)) => {
            if let Some(peers) = &shared.entry_peers {
                EntryPeers::answered(&peers.drawn, id, answer);
            }
        }
        Ok(words::Datagram::Acquire(draw)) => {
            let answer = allowances::draw(shared, *from.ip(), &draw);
            if let Some(peers) = shared.entry_peers.as_ref().filter(|_| draw.amount > 0.0) {
                peers.send(&words::Datagram::Acquired(draw.id, answer), &[*from.ip()]);
            }
        }
        Ok(words::Datagram::Collect(pull)) => {
            let now = shared.clock.now();
            let given = shared.with_core(|core| core.allowances.release_share(now, &pull));
            if let Some(peers) = &shared.entry_peers {
                peers.send(&words::Datagram::Collected(given), &[*from.ip()]);
            }
        }
        Ok(words::Datagram::Collected(given)) => {
            let now = shared.clock.now();
            shared.with_core(|core| core.allowances.add_collected(now, *from.ip(), &given));
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
fn advise<D: dialect::Dialect>(
    shared: &state::Shared<D>,
    from: net::Ipv4Addr,
    ask: words::RoutingQuery,
) {
    let now = shared.clock.now();
    let (id, request) = (ask.id, ask.request);
    let wanted = dialect::ModelRef {
        model: ask.model,
        adapter: ask.adapter,
    };
    let parts = ask.parts.iter();
    let parts: Vec<_> = parts
        .map(|(id, tokens)| dialect::PromptPart {
            id: *id,
            tokens: *tokens,
        })
        .collect();
    let place = shared.with_core(|core| {
        let tried = ask.tried.iter();
        let tried: Vec<_> = tried
            .filter_map(|it| core.chooser.by_instance_key(*it))
            .collect();
        let ask = chooser::EndpointQuery {
            service: &ask.service,
            wanted: Some(&wanted),
            parts: &parts,
            prompt_tokens: ask.prompt_tokens,
            tried: &tried,
            left: ask.left,
            patience: ask.patience,
            on_time: ask.on_time,
            may_be_late: ask.may_be_late,
            may_fetch: false,
        };
        core.chooser.route_for(now, from, request, &ask)
    });
    let advice = words::RoutingReply {
        id,
        decision: place,
    };
    if let Some(peers) = &shared.entry_peers {
        peers.send(&words::Datagram::RoutingReply(advice), &[from]);
    }
}

/// Asks the home of the request's model, where it has one.
pub(super) fn ask<D: dialect::Dialect>(
    shared: &state::Shared<D>,
    request: u64,
    ask: &chooser::EndpointQuery<'_>,
) -> Option<words::RoutingDecision> {
    let peers = shared.entry_peers.as_ref()?;
    let wanted = ask.wanted?;
    let now = shared.clock.now();
    let (homes, tried) = shared.with_core(|core| {
        // What this process was told by an engine the home was not.
        let closed = core.chooser.closed_endpoints(now, ask.service);
        let tried = ask.tried.iter().chain(&closed);
        let tried: Vec<u64> = tried
            .filter_map(|key| core.chooser.instance_key(*key))
            .collect();
        (core.chooser.coordinators(&wanted.model), tried)
    });
    if homes.is_empty() {
        return None;
    }
    let parts = ask.parts.iter().take(MAX_PROMPT_PARTS);
    let question = words::RoutingQuery {
        id: 0,
        request,
        service: ask.service.to_owned(),
        model: wanted.model.clone(),
        adapter: wanted.adapter.clone(),
        parts: parts.map(|it| (it.id, it.tokens)).collect(),
        prompt_tokens: ask.prompt_tokens,
        tried,
        left: ask.left,
        patience: ask.patience,
        on_time: ask.on_time,
        may_be_late: ask.may_be_late,
    };
    peers.ask(&homes, question)
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
pub(super) fn tell<D: dialect::Dialect>(shared: &state::Shared<D>, pick: &chooser::Pick) {
    tell_with(shared, pick, |_, _| true);
}

/// The same after the engine has read a prompt in `took`, with the beginning of it that others may share.
pub(super) fn tell_read<D: dialect::Dialect>(
    shared: &state::Shared<D>,
    pick: &chooser::Pick,
    read: chooser::Prefill<'_>,
    took: Millis,
    load: Option<dialect::Load>,
) {
    tell_with(shared, pick, |word, has_homes| {
        let short = |ms: Millis| u32::try_from(ms.0).unwrap_or(u32::MAX);
        word.cached_prefix = words::PromptPrefix::of(read.wanted, read.parts);
        word.running = load.map(|it| it.running);
        word.ttft = has_homes.then(|| words::TtftSample {
            model: words::name_key(&read.wanted.model),
            took: short(took),
            estimated: short(pick.estimate),
        });
        true
    });
}

/// Tells homes how a stream paused that has ended whole.
pub(super) fn tell_pauses<D: dialect::Dialect>(
    shared: &state::Shared<D>,
    pick: &chooser::Pick,
    pauses: words::Pauses,
) {
    tell_with(shared, pick, |word, has_homes| {
        word.pauses = Some(pauses);
        has_homes
    });
}

/// Tells the neighbours that a request has ended whose answer had not begun, and homes of the trouble, if
/// there was any.
pub(super) fn tell_ended<D: dialect::Dialect>(
    shared: &state::Shared<D>,
    pick: &chooser::Pick,
    began: bool,
    trouble: Option<words::EngineFault>,
) {
    tell_with(shared, pick, |word, has_homes| {
        word.fault = trouble.filter(|_| has_homes);
        !began || word.fault.is_some()
    });
}

/// Tells what `complete` makes of the word on the engine of `pick`, given whether models have homes, unless it
/// says that nobody is to be told.
fn tell_with<D: dialect::Dialect>(
    shared: &state::Shared<D>,
    pick: &chooser::Pick,
    complete: impl FnOnce(&mut words::EngineObservation, bool) -> bool,
) {
    let Some(peers) = shared.entry_peers.as_ref().filter(|_| pick.prefill_us > 0) else {
        return;
    };
    let (word, has_homes) = shared.with_core(|core| {
        let chooser = &core.chooser;
        (chooser.observation_of(pick), chooser.uses_coordinators())
    });
    if let Some((mut word, group)) = word
        && complete(&mut word, has_homes)
    {
        peers.tell(word, &group);
    }
}
