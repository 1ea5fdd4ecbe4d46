//! Client side of an acquisition: asks the coordinators of an allowance in turn.

use std::net;

use sageshed_types::time;

use super::AcquireReply;

/// How often a coordinator is asked that doesn't respond. A link in trouble may lose one datagram of a
/// hundred; after a single try, the coordinator would be given up for that, and the next one starts with an
/// empty bucket.
const MAX_ATTEMPTS: u32 = 2;

/// How often a coordinator may postpone its reply.
const MAX_POSTPONEMENTS: u32 = 5;

/// The next step of an acquisition.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Ask this coordinator after this delay.
    Ask(net::Ipv4Addr, time::Millis),
    /// The units are granted.
    Granted,
    /// The allowance is exhausted; retry after this time.
    Over(time::Millis),
    /// No coordinator responds, so nobody can tell.
    Unreachable,
}

/// State of one acquisition.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Acquisition {
    coordinators: Vec<net::Ipv4Addr>,
    at: usize,
    attempts: u32,
    postponements: u32,
}

impl Acquisition {
    /// Creates an acquisition from the first of `coordinators` that responds.
    #[must_use]
    pub fn new(coordinators: Vec<net::Ipv4Addr>) -> Self {
        Self {
            coordinators,
            at: 0,
            attempts: 0,
            postponements: 0,
        }
    }

    /// Returns the first step.
    pub fn begin(&mut self) -> Next {
        self.ask_after(time::Millis(0))
    }

    fn ask_after(&mut self, span: time::Millis) -> Next {
        self.attempts += 1;
        match self.coordinators.get(self.at) {
            Some(coordinator) => Next::Ask(*coordinator, span),
            None => Next::Unreachable,
        }
    }

    /// Handles the reply of the coordinator that was asked.
    pub fn replied(&mut self, reply: AcquireReply) -> Next {
        match reply {
            AcquireReply::Granted => Next::Granted,
            AcquireReply::Over(span) => Next::Over(span),
            AcquireReply::Soon(span) if self.postponements >= MAX_POSTPONEMENTS => Next::Over(span),
            AcquireReply::Soon(span) => {
                self.postponements += 1;
                self.attempts = 0;
                self.ask_after(span)
            }
        }
    }

    /// Handles the timeout of the coordinator that was asked. Returns the coordinator too if it is given
    /// up.
    pub fn timed_out(&mut self) -> (Next, Option<net::Ipv4Addr>) {
        if self.attempts < MAX_ATTEMPTS {
            return (self.ask_after(time::Millis(0)), None);
        }
        let unresponsive = self.coordinators.get(self.at).copied();
        self.at += 1;
        self.attempts = 0;
        (self.ask_after(time::Millis(0)), unresponsive)
    }
}
