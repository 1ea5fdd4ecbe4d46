//! Refusing connections past the bound.
//!
//! One thread answers them all, while there are any. It waits for the first bytes of each before it answers, since a
//! client that gets an answer before it has asked reports a fault of the connection and loses the
//! account. It then reads on for a short time, so that the kernel does not reset the connection over
//! unread input. Nothing here blocks, as a refusal fits the empty send buffer of a new socket; a connection
//! past this thread's own bound is closed.

use std::{
    sync::{self, Arc},
    thread, time,
};

use sageshed_types::{refusal, time as types_time, verdict};

use crate::{handler, link, reply, server};

/// When coming back can help.
pub(crate) const RETRY_AFTER: types_time::Millis = types_time::Millis(1_000);

/// How many connections are kept for a refusal at once.
const KEPT: usize = 256;

/// How often the connections are looked at while there are any.
const TICK: time::Duration = time::Duration::from_millis(5);

/// How long one connection is kept at most.
const PATIENCE: time::Duration = time::Duration::from_secs(2);

/// The refusal of a request since `bound` connections may be open.
pub(crate) fn refusal(bound: usize) -> refusal::Refusal {
    let refusal = refusal::Refusal::not_run(
        verdict::Reason::TooManyOpen,
        format!("this process keeps at most {bound} connections open"),
    );
    refusal.with_retry_after(RETRY_AFTER)
}

/// Hands connections to the refusing thread, which runs only while there are any.
#[derive(Debug)]
pub(crate) struct Sender<H> {
    handler: Arc<H>,
    queue: Arc<sync::Mutex<Queue>>,
}

#[derive(Debug, Default)]
struct Queue {
    added: Vec<Excess>,
    /// Connections that the thread has.
    kept: usize,
    is_running: bool,
}

/// One connection to be refused.
#[derive(Debug)]
struct Excess {
    link: Arc<link::Link>,
    refusal: refusal::Refusal,
    shared: Arc<server::Shared>,
    since: time::Instant,
    answered: bool,
}

impl<H: handler::Handler> Sender<H> {
    pub(crate) fn new(handler: Arc<H>) -> Self {
        Self {
            handler,
            queue: Arc::default(),
        }
    }

    /// Has `link` refused and closed, since `bound` connections are open.
    pub(crate) fn refuse(&self, link: Arc<link::Link>, bound: usize, shared: &Arc<server::Shared>) {
        let mut queue = lock(&self.queue);
        if queue.kept + queue.added.len() >= KEPT {
            return log::warn!("http: connection past the bound closed without an account");
        }
        queue.added.push(Excess {
            link,
            refusal: refusal(bound),
            shared: Arc::clone(shared),
            since: time::Instant::now(),
            answered: false,
        });
        if !queue.is_running {
            queue.is_running = self.spawn();
        }
    }

    fn spawn(&self) -> bool {
        let (handler, queue) = (Arc::clone(&self.handler), Arc::clone(&self.queue));
        let spawned = thread::Builder::new()
            .name("http-refuse".to_owned())
            .spawn(move || run(&*handler, &queue));
        if let Err(e) = &spawned {
            log::error!(error:% = e; "http: no thread for connections past the bound");
        }
        spawned.is_ok()
    }
}

fn run<H: handler::Handler>(handler: &H, queue: &sync::Mutex<Queue>) {
    let mut kept: Vec<Excess> = Vec::new();
    loop {
        let mut shared = lock(queue);
        kept.append(&mut shared.added);
        shared.kept = kept.len();
        shared.is_running = !kept.is_empty();
        drop(shared);
        if kept.is_empty() {
            return;
        }
        kept.retain_mut(|excess| excess.step(handler) == Step::Keep);
        thread::sleep(TICK);
    }
}

fn lock(queue: &sync::Mutex<Queue>) -> sync::MutexGuard<'_, Queue> {
    queue.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

/// What to do with a connection next.
#[derive(Debug, PartialEq, Eq)]
enum Step {
    Keep,
    Close,
}

impl Excess {
    fn step<H: handler::Handler>(&mut self, handler: &H) -> Step {
        let expired = self.since.elapsed() >= PATIENCE;
        match self.link.discard() {
            link::Discarded::Ended => return Step::Close,
            link::Discarded::Bytes if !self.answered => self.answer(handler),
            link::Discarded::Nothing if expired && !self.answered => self.answer(handler),
            link::Discarded::Bytes | link::Discarded::Nothing => {}
        }
        if expired { Step::Close } else { Step::Keep }
    }

    fn answer<H: handler::Handler>(&mut self, handler: &H) {
        self.answered = true;
        let stamped = handler.refuse_early(self.refusal.clone());
        let mut ex = reply::Exchange {
            link: Arc::clone(&self.link),
            draining: Arc::default(),
            manner: reply::Manner::LAST,
            progress: reply::Progress::Unanswered,
            until_close: false,
            deferred: Arc::clone(&self.shared.deferred),
            connection: u64::MAX,
            gate: Arc::clone(&self.shared.gate),
        };
        let reply = reply::Reply { ex: &mut ex };
        let sent = reply.early(&stamped, &handler.early_body(&stamped));
        if sent.is_whole() {
            self.link.stop_writing();
        }
    }
}
