//! Refusing connections past the bound.
//!
//! One thread answers them all. It waits for the first bytes of each before it answers, since a
//! client that gets an answer before it has asked reports a fault of the connection and loses the
//! account. It then reads on for a short time, so that the kernel does not reset the connection over
//! unread input. Nothing here blocks, as a refusal fits the empty send buffer of a new socket; a connection
//! past this thread's own bound is closed.

use std::{
    io,
    sync::{self, mpsc},
    thread, time,
};

use sageshed_types::{refusal, time as types_time};

use crate::{handler, link, reply};

/// When coming back can help.
pub(crate) const RETRY_AFTER: types_time::Millis = types_time::Millis(1_000);

/// How many connections are kept for a refusal at once.
const KEPT: usize = 256;

/// How often the connections are looked at while there are any.
const TICK: time::Duration = time::Duration::from_millis(5);

/// How long one connection is kept at most.
const PATIENCE: time::Duration = time::Duration::from_secs(2);

/// Hands connections to the refusing thread.
#[derive(Debug)]
pub(crate) struct Sender {
    tx: mpsc::SyncSender<Excess>,
}

/// One connection to be refused.
#[derive(Debug)]
struct Excess {
    link: sync::Arc<link::Link>,
    refusal: refusal::Refusal,
    since: time::Instant,
    answered: bool,
}

impl Sender {
    /// Has `link` answered with `refusal` and closed.
    pub(crate) fn refuse(&self, link: sync::Arc<link::Link>, refusal: refusal::Refusal) {
        let excess = Excess {
            link,
            refusal,
            since: time::Instant::now(),
            answered: false,
        };
        if self.tx.try_send(excess).is_err() {
            log::warn!("http: connection past the bound closed without an account");
        }
    }
}

/// Starts the refusing thread. It ends when the sender is dropped.
pub(crate) fn start<H: handler::Handler>(handler: sync::Arc<H>) -> io::Result<Sender> {
    let (tx, rx) = mpsc::sync_channel(KEPT);
    thread::Builder::new()
        .name("http-refuse".to_owned())
        .spawn(move || run(&*handler, &rx))?;
    Ok(Sender { tx })
}

fn run<H: handler::Handler>(handler: &H, rx: &mpsc::Receiver<Excess>) {
    let mut kept: Vec<Excess> = Vec::new();
    loop {
        if kept.is_empty() {
            match rx.recv() {
                Ok(excess) => kept.push(excess),
                Err(mpsc::RecvError) => return,
            }
        }
        let room = KEPT.saturating_sub(kept.len());
        kept.extend(rx.try_iter().take(room));
        kept.retain_mut(|excess| excess.step(handler) == Step::Keep);
        thread::sleep(TICK);
    }
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
            link: sync::Arc::clone(&self.link),
            draining: sync::Arc::default(),
            manner: reply::Manner::LAST,
            progress: reply::Progress::Unanswered,
        };
        let reply = reply::Reply { ex: &mut ex };
        let sent = reply.early(&stamped, &handler.early_body(&stamped));
        if sent.is_whole() {
            self.link.stop_writing();
        }
    }
}
