//! What other threads hand to the driver, and the answers they get.

use std::{sync::mpsc, time};

use sageshed_quorum::{event, log, message};
use sageshed_state::command;

use super::placing;

/// How long a thread waits for a command to be committed.
pub const COMMIT_LIMIT: time::Duration = time::Duration::from_secs(2);

/// Inputs that may wait for the driver. Past it, senders are told that nothing was done.
const QUEUE: usize = 8_192;

/// Something for the driver to take in.
#[derive(Debug)]
pub enum Input {
    /// A message of another member.
    Message {
        /// The sender.
        from: log::NodeId,
        /// What it says.
        message: message::Message,
    },
    /// A command to be committed.
    Submit {
        /// The command.
        command: Box<command::Command>,
        /// Who wants to know.
        reply: Reply,
    },
    /// A read of the state as of now.
    Read {
        /// Told once the state shows all that was committed before.
        reply: mpsc::Sender<Fate>,
    },
    /// A control process said who it is and is not a member.
    Joiner(log::NodeId),
}

/// Who waits for the outcome of a command.
#[derive(Debug)]
pub enum Reply {
    /// A thread.
    Waiter(mpsc::Sender<Fate>),
    /// The placing thread.
    Placing(mpsc::Sender<placing::Input>),
    /// Nobody.
    Nobody,
}

/// What became of a command or read.
#[derive(Debug, Clone, PartialEq)]
pub enum Fate {
    /// Committed and applied, or for a read: the state is up to date.
    Applied(Option<Box<command::Outcome>>),
    /// Nothing was done, for this reason.
    NotDone(NotDone),
    /// It may take hold or not.
    Unknown,
}

/// Why nothing was done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotDone {
    /// Another process leads, or none; or this one cannot commit yet.
    NotLeader,
    /// Too much waits already.
    Busy,
    /// The disk has no room.
    DiskFull,
}

impl From<event::Reason> for NotDone {
    fn from(reason: event::Reason) -> Self {
        match reason {
            event::Reason::Overloaded => Self::Busy,
            _ => Self::NotLeader,
        }
    }
}

/// The sending end of the driver's queue.
#[derive(Debug, Clone)]
pub struct Inputs {
    tx: mpsc::SyncSender<Input>,
}

impl Inputs {
    /// A queue, and its receiving end for the driver.
    #[must_use]
    pub fn new() -> (Self, mpsc::Receiver<Input>) {
        let (tx, rx) = mpsc::sync_channel(QUEUE);
        (Self { tx }, rx)
    }

    /// Hands over an input that may be lost: the log copes with lost messages.
    pub fn offer(&self, input: Input) {
        if self.tx.try_send(input).is_err() {
            ::log::debug!("control: input dropped, the queue is full");
        }
    }

    /// Has `command` committed and does not wait. Returns false if there is no room for it: then
    /// nothing was done, and nobody will be told.
    #[must_use]
    pub fn submit(&self, command: command::Command, reply: Reply) -> bool {
        let command = Box::new(command);
        self.tx.try_send(Input::Submit { command, reply }).is_ok()
    }

    /// Has `command` committed, and waits for it.
    #[must_use]
    pub fn commit(&self, command: command::Command) -> Fate {
        let (tx, rx) = mpsc::channel();
        let reply = Reply::Waiter(tx);
        let input = Input::Submit {
            command: Box::new(command),
            reply,
        };
        self.ask(input, &rx)
    }

    /// Waits until the state shows all that was committed before now.
    #[must_use]
    pub fn read(&self) -> Fate {
        let (tx, rx) = mpsc::channel();
        self.ask(Input::Read { reply: tx }, &rx)
    }

    fn ask(&self, input: Input, rx: &mpsc::Receiver<Fate>) -> Fate {
        if self.tx.try_send(input).is_err() {
            return Fate::NotDone(NotDone::Busy);
        }
        rx.recv_timeout(COMMIT_LIMIT).unwrap_or(Fate::Unknown)
    }
}
