//! One thread a port that waits for all its connections at once.
//!
//! It accepts connections and holds those that wait for the first byte of a request or for a deferred
//! answer. A connection on which a request begins goes to a worker thread ([`workers`]) and comes back with the
//! answer sent, so a port needs threads for the requests at work and none for connections.
//!
//! Connections are registered for one event at a time: between two requests nothing but the worker touches
//! them. A worker that puts one back registers it anew, which reports at once what has come meanwhile.

use std::{
    collections, io, net,
    sync::{self, Arc, atomic},
    thread, time,
};

use rustix::{buffer, event, event::epoll};

use crate::{connection, handler, idle, limits, link, overflow, reply, server, starts, workers};

/// How long accepting pauses after it failed, for example because no file descriptor is left. An
/// accept that fails for want of descriptors fails again at once, and would take a whole processor.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(20);

/// How long a connection is still read from once idle ones are to end.
const LAST_CALL: time::Duration = time::Duration::from_millis(100);

/// At least this long between two searches for connections that were idle for too long.
const SWEEP: time::Duration = time::Duration::from_millis(20);

/// Events taken at once.
const EVENTS: usize = 64;

/// Connections accepted before other events are looked at.
const ACCEPTED_AT_ONCE: usize = 64;

/// What an event of the listening socket carries. Connections are numbered from zero.
const LISTENER: u64 = u64::MAX;

/// What an event of the waker carries.
const WAKER: u64 = u64::MAX - 1;

/// A port's connections and what it takes to serve them.
#[derive(Debug)]
pub(crate) struct Poller<H> {
    pub(crate) limits: Arc<limits::Limits>,
    pub(crate) shared: Arc<server::Shared>,
    pub(crate) handler: Arc<H>,
    overflow: overflow::Sender<H>,
    epoll: std::os::fd::OwnedFd,
    waiting: sync::Mutex<Waiting<H>>,
    workers: Arc<workers::Workers<Job<H>>>,
}

/// Connections that nobody works for now.
#[derive(Debug)]
struct Waiting<H> {
    connections: collections::HashMap<u64, Held<H>>,
    /// No idle connection is to be closed before.
    earliest: Option<time::Instant>,
}

#[derive(Debug)]
struct Held<H> {
    connection: connection::Connection<H>,
    until: Until,
}

/// What a connection waits for.
#[derive(Debug, Clone, Copy)]
enum Until {
    /// The first byte of a request.
    Request(idle::Idle),
    /// The start of a request that has arrived.
    Start,
    /// A deferred answer.
    Answer(reply::Manner),
}

/// A connection that needs a thread.
#[derive(Debug)]
pub(crate) struct Job<H> {
    poller: Arc<Poller<H>>,
    connection: connection::Connection<H>,
    work: Work,
    submitted: time::Instant,
}

#[derive(Debug)]
enum Work {
    /// A request begins.
    Serve,
    /// The rest of a deferred answer, and whether the connection is kept.
    Send(Vec<u8>, bool),
}

impl<H: handler::Handler> workers::Job for Job<H> {
    fn run(self) {
        self.poller.shared.gate.record_lag(self.submitted.elapsed());
        let next = match self.work {
            Work::Serve => self.connection.serve(),
            Work::Send(bytes, keep) => self.connection.send_rest(&bytes, keep),
        };
        self.poller.put_back(next);
    }
}

impl<H: handler::Handler> Poller<H> {
    pub(crate) fn new(
        limits: limits::Limits,
        shared: Arc<server::Shared>,
        handler: Arc<H>,
    ) -> io::Result<Self> {
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        epoll::add(
            &epoll,
            shared.deferred.waker(),
            epoll::EventData::new_u64(WAKER),
            epoll::EventFlags::IN,
        )?;
        Ok(Self {
            overflow: overflow::Sender::new(Arc::clone(&handler)),
            workers: Arc::new(workers::Workers::new(
                limits.eager_threads,
                limits.stack_bytes,
                Arc::clone(&shared.counters),
            )),
            limits: limits.into(),
            shared,
            handler,
            epoll,
            waiting: sync::Mutex::new(Waiting {
                connections: collections::HashMap::new(),
                earliest: None,
            }),
        })
    }

    /// Serves until accepting has stopped and no connection is open.
    pub(crate) fn run(self: &Arc<Self>, listener: net::TcpListener) {
        let mut accepting = Some(Accepting {
            listener,
            paused: None,
        });
        if let Some(it) = &accepting
            && let Err(e) = self.begin_accepting(it)
        {
            log::error!(error:% = e; "http: no connection can be accepted");
        }
        let mut events = Vec::with_capacity(EVENTS);
        let mut start_by = None;
        loop {
            if self.shared.is_stopping()
                && let Some(it) = accepting.take()
            {
                self.take_waiting(&it.listener);
                drop(it);
                self.shared.accepting_ended();
            }
            if accepting.is_none() && self.shared.is_empty() {
                return;
            }
            if let Some(it) = &mut accepting {
                it.resume(&self.epoll);
            }
            self.wait(&mut events, accepting.as_ref(), start_by);
            for event in events.drain(..) {
                match event.data.u64() {
                    LISTENER => {
                        if let Some(it) = &mut accepting {
                            self.accept(it);
                        }
                    }
                    WAKER => self.take_answers(),
                    id => self.begin(id),
                }
            }
            self.close_expired();
            start_by = self.start_waiting();
        }
    }

    fn begin_accepting(&self, it: &Accepting) -> io::Result<()> {
        it.listener.set_nonblocking(true)?;
        it.register(&self.epoll)
    }

    /// Waits for events, until a deadline at the longest.
    fn wait(
        self: &Arc<Self>,
        events: &mut Vec<epoll::Event>,
        accepting: Option<&Accepting>,
        start_by: Option<time::Instant>,
    ) {
        let stalled = self.workers.relieve();
        let paused = accepting.and_then(|it| it.paused);
        let deadlines = [paused, self.lock().earliest];
        let now = time::Instant::now();
        let until = deadlines.into_iter().flatten().min();
        let until = until.map(|it| it.saturating_duration_since(now).max(SWEEP));
        let start_by = start_by.map(|it| it.saturating_duration_since(now));
        let limit = [stalled, until, start_by].into_iter().flatten().min();
        // Rounded up, as a wait that ends before its deadline is followed by another.
        let limit = limit.map(|it| it + time::Duration::from_millis(1));
        let limit = limit.and_then(|it| event::Timespec::try_from(it).ok());
        match epoll::wait(&self.epoll, buffer::spare_capacity(events), limit.as_ref()) {
            Ok(_) | Err(rustix::io::Errno::INTR) => {}
            Err(e) => {
                log::error!(error:% = e; "http: waiting for connections failed");
                thread::sleep(ACCEPT_PAUSE);
            }
        }
    }

    fn accept(self: &Arc<Self>, it: &mut Accepting) {
        for _ in 0..ACCEPTED_AT_ONCE {
            match it.listener.accept() {
                Ok((stream, peer)) => self.take(stream, peer),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => {
                    log::warn!(error:% = e; "http: accept failed");
                    return it.pause(&self.epoll);
                }
            }
        }
    }

    /// Serves the connections that the kernel completed before accepting stopped.
    fn take_waiting(self: &Arc<Self>, listener: &net::TcpListener) {
        while let Ok((stream, peer)) = listener.accept() {
            self.take(stream, peer);
        }
    }

    fn take(self: &Arc<Self>, stream: net::TcpStream, peer: net::SocketAddr) {
        if !self.shared.gate.takes_new() {
            return self.shared.counters.count_unread();
        }
        let link = Arc::new(link::Link::new(stream));
        let enter = || self.shared.enter(Arc::clone(&link), &self.limits);
        let place = enter().or_else(|| {
            self.close_longest_idle();
            enter()
        });
        let Some(place) = place else {
            return self.refuse(link);
        };
        let connection = connection::Connection {
            link,
            input: link::Input::default(),
            peer,
            limits: Arc::clone(&self.limits),
            callers: self.shared.caller_limits(),
            shared: Arc::clone(&self.shared),
            handler: Arc::clone(&self.handler),
            is_new: true,
            arrived: None,
            place,
        };
        let data = epoll::EventData::new_u64(connection.place.id);
        let link = Arc::clone(&connection.link);
        self.hold(connection);
        if let Err(e) = epoll::add(&self.epoll, &*link, data, one_event()) {
            log::error!(error:% = e; "http: connection can't be waited for");
            self.lock().connections.remove(&data.u64());
        }
    }

    fn refuse(&self, link: Arc<link::Link>) {
        match self.limits.excess {
            limits::Excess::Refuse => {
                let refused = &self.shared.counters.refused;
                refused.fetch_add(1, atomic::Ordering::Relaxed);
                self.overflow
                    .refuse(link, self.limits.connections, &self.shared);
            }
            limits::Excess::Close => self.shared.counters.count_unread(),
        }
    }

    /// Closes an idle connection to make room for a new one, of those that their callers use no more if there are any.
    fn close_longest_idle(&self) {
        let now = time::Instant::now();
        let mut waiting = self.lock();
        self.raise_idle(&mut waiting);
        let closed = loop {
            let idle = waiting
                .connections
                .iter_mut()
                .filter_map(|(id, held)| match held.until {
                    Until::Request(idle) => Some((idle.room(now)?, *id, held)),
                    Until::Start | Until::Answer(_) => None,
                });
            let Some((_, id, held)) = idle.min_by_key(|(room, id, _)| (*room, *id)) else {
                return;
            };
            if !held.connection.link.has_input() {
                break waiting.connections.remove(&id);
            }
            // Its request is reported next.
            held.until = Until::Request(idle::Idle::new(now, self.idle_bounds()));
        };
        // Dropped once the lock is given back, since closing makes system calls.
        drop(waiting);
        if let Some(held) = closed {
            self.count_expired(&held);
        }
    }

    /// How long a connection that becomes idle now is kept.
    ///
    /// One that was accepted last may have its request on the way in already: it is not idle, only not read yet, and
    /// ending it would cut that request.
    fn idle_bounds(&self) -> idle::Bounds {
        if self.shared.closes_idle() {
            return idle::Bounds {
                close_after: LAST_CALL,
                reuse_within: time::Duration::ZERO,
            };
        }
        self.shared.caller_limits().idle()
    }

    /// Applies limits that have come into force to the connections that are idle.
    fn raise_idle(&self, waiting: &mut Waiting<H>) {
        let Some(bounds) = self.shared.take_raised() else {
            return;
        };
        if self.shared.closes_idle() {
            return;
        }
        for held in waiting.connections.values_mut() {
            if let Until::Request(idle) = &mut held.until {
                idle.raise(bounds);
            }
        }
    }

    /// Keeps a connection that waits for a request.
    fn hold(&self, connection: connection::Connection<H>) {
        connection.link.set_idle(true);
        let mut waiting = self.lock();
        // Read under the lock, so that limits that are set later are applied to it by `raise_idle`.
        let mut idle = idle::Idle::new(time::Instant::now(), self.idle_bounds());
        if !self.shared.closes_idle() {
            // Its caller may not know yet that the limits have changed since its latest request.
            idle.raise(connection.callers.idle());
        }
        let until = idle.closes_at();
        let is_earliest = waiting.earliest.is_none_or(|it| until < it);
        if is_earliest {
            waiting.earliest = Some(until);
        }
        let held = Held {
            connection,
            until: Until::Request(idle),
        };
        waiting.connections.insert(held.connection.place.id, held);
        drop(waiting);
        if is_earliest {
            self.shared.deferred.wake();
        }
    }

    /// Takes a connection from its worker.
    fn put_back(self: &Arc<Self>, next: connection::After<H>) {
        match next {
            connection::After::Ended => {}
            connection::After::Idle(connection) => self.wait_for_request(connection),
            connection::After::Deferred(connection, manner) => {
                let id = connection.place.id;
                let until = Until::Answer(manner);
                let held = Held { connection, until };
                self.lock().connections.insert(id, held);
                if self.shared.deferred.has(id) {
                    self.shared.deferred.wake();
                }
            }
        }
    }

    fn wait_for_request(&self, connection: connection::Connection<H>) {
        let id = connection.place.id;
        let link = Arc::clone(&connection.link);
        self.hold(connection);
        let data = epoll::EventData::new_u64(id);
        if let Err(e) = epoll::modify(&self.epoll, &*link, data, one_event()) {
            log::error!(error:% = e; "http: connection can't be waited for");
            self.lock().connections.remove(&id);
        }
    }

    /// A request begins on a connection, or it ends.
    fn begin(self: &Arc<Self>, id: u64) {
        let mut waiting = self.lock();
        let is_idle = |it: &Held<H>| matches!(it.until, Until::Request(_));
        let Some(held) = waiting.connections.get_mut(&id).filter(|it| is_idle(it)) else {
            return;
        };
        held.connection.link.set_idle(false);
        held.until = Until::Start;
        let is_new = held.connection.is_new;
        drop(waiting);
        self.shared.gate.arrive(id, is_new);
    }

    /// Starts the requests whose turn it is, and closes connections whose requests can't be started in time. Returns when
    /// to look again.
    fn start_waiting(self: &Arc<Self>) -> Option<time::Instant> {
        loop {
            match self.shared.gate.next() {
                starts::Next::Start(id, arrived) => {
                    let Some(held) = self.lock().connections.remove(&id) else {
                        self.shared.gate.end_start(id);
                        continue;
                    };
                    let mut connection = held.connection;
                    if connection.is_new
                        && let Err(e) = connection.link.prepare(self.limits.write_timeout)
                    {
                        log::debug!(error:% = e; "http: connection broke at once");
                        self.shared.gate.end_start(id);
                        continue;
                    }
                    connection.is_new = false;
                    connection.arrived = Some(arrived);
                    self.submit(connection, Work::Serve);
                }
                starts::Next::Close(id) => {
                    let unread = self.lock().connections.remove(&id);
                    self.shared.counters.count_unread();
                    drop(unread);
                }
                starts::Next::Wait(until) => return until,
            }
        }
    }

    fn submit(self: &Arc<Self>, connection: connection::Connection<H>, work: Work) {
        self.workers.submit(Job {
            poller: Arc::clone(self),
            connection,
            work,
            submitted: time::Instant::now(),
        });
    }

    /// Sends the deferred answers that were given. An answer whose connection is still with its worker
    /// stays until that puts the connection back.
    fn take_answers(self: &Arc<Self>) {
        self.shared.deferred.reset();
        for id in self.shared.deferred.given() {
            let mut waiting = self.lock();
            let Some(held) = waiting.connections.remove(&id) else {
                continue;
            };
            match held.until {
                Until::Answer(manner) => {
                    drop(waiting);
                    let answer = self.shared.deferred.take(id);
                    self.send(held.connection, manner, answer);
                }
                Until::Request(_) | Until::Start => {
                    waiting.connections.insert(id, held);
                }
            }
        }
    }

    /// Sends a deferred answer as far as that does not block; a worker sends the rest.
    fn send(
        self: &Arc<Self>,
        connection: connection::Connection<H>,
        manner: reply::Manner,
        answer: Option<reply::Whole>,
    ) {
        let Some(answer) = answer else {
            return;
        };
        let (bytes, keep) = connection.encode(manner, &answer);
        let Ok(sent) = connection.link.write_now(&bytes) else {
            return;
        };
        if sent == bytes.len() && keep {
            self.wait_for_request(connection);
        } else {
            self.submit(connection, Work::Send(bytes[sent..].to_vec(), keep));
        }
    }

    /// Closes the connections that have waited for a request for too long. One whose request has arrived since the
    /// latest wait for events is kept: after a stop of the whole process, by SIGSTOP or of its VM, that wait ends without
    /// events, and the clock says that all limits have passed. Its request is reported by the next wait.
    fn close_expired(&self) {
        let now = time::Instant::now();
        let mut waiting = self.lock();
        self.raise_idle(&mut waiting);
        if waiting.earliest.is_none_or(|it| now < it) {
            return;
        }
        let deadline = |it: &Held<H>| match it.until {
            Until::Request(idle) => Some(idle.closes_at()),
            Until::Start | Until::Answer(_) => None,
        };
        let expired = waiting.connections.extract_if(|_, it| {
            deadline(it).is_some_and(|until| until <= now) && !it.connection.link.has_input()
        });
        // Dropped once the lock is given back, since closing makes system calls.
        let expired: Vec<_> = expired.collect();
        waiting.earliest = waiting.connections.values().filter_map(deadline).min();
        drop(waiting);
        for (_, held) in expired {
            self.count_expired(&held);
        }
    }

    /// Counts an idle connection that is closed.
    fn count_expired(&self, held: &Held<H>) {
        let has_input = held.connection.link.has_input();
        self.shared.counters.count_expired(has_input);
        if has_input {
            log::warn!(peer:% = held.connection.peer; "http: closing an idle connection with a request unread");
        }
    }

    /// The table is whole after each statement on it, so a panic elsewhere does not spoil it.
    fn lock(&self) -> sync::MutexGuard<'_, Waiting<H>> {
        self.waiting
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// The listening socket.
#[derive(Debug)]
struct Accepting {
    listener: net::TcpListener,
    /// Until when nothing is accepted, after a failure.
    paused: Option<time::Instant>,
}

impl Accepting {
    fn register(&self, epoll: &std::os::fd::OwnedFd) -> io::Result<()> {
        let data = epoll::EventData::new_u64(LISTENER);
        epoll::add(epoll, &self.listener, data, epoll::EventFlags::IN)?;
        Ok(())
    }

    fn pause(&mut self, epoll: &std::os::fd::OwnedFd) {
        if let Err(e) = epoll::delete(epoll, &self.listener) {
            log::error!(error:% = e; "http: accepting not paused");
        }
        self.paused = Some(time::Instant::now() + ACCEPT_PAUSE);
    }

    fn resume(&mut self, epoll: &std::os::fd::OwnedFd) {
        if self.paused.is_none_or(|it| it > time::Instant::now()) {
            return;
        }
        match self.register(epoll) {
            Ok(()) => self.paused = None,
            Err(e) => {
                log::error!(error:% = e; "http: accepting not resumed");
                self.paused = Some(time::Instant::now() + ACCEPT_PAUSE);
            }
        }
    }
}

/// Readable or at its end, reported once.
fn one_event() -> epoll::EventFlags {
    epoll::EventFlags::IN | epoll::EventFlags::ONESHOT
}
