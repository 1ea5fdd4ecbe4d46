//! Asking the homes of an allowance, one after the other.

use std::net;

use sageshed_types::time;

use super::Answer;

/// How often one home is asked that does not answer. One datagram of a hundred may be lost on a link that is in
/// trouble; asked but once, a home would be given up for it, and the next one begin with nothing.
const MAX_TRIES: u32 = 2;

/// How often a home may put the question off.
const MAX_POSTPONEMENTS: u32 = 5;

/// What to do next to have units.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Ask this home, after this span.
    Ask(net::Ipv4Addr, time::Millis),
    /// They are taken.
    Granted,
    /// The allowance is used up; this is when to come back.
    Over(time::Millis),
    /// No home answers, so that nobody can say.
    Nobody,
}

/// One question for units.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Question {
    homes: Vec<net::Ipv4Addr>,
    at: usize,
    tries: u32,
    postponements: u32,
}

impl Question {
    /// To the first of `homes` that answers.
    #[must_use]
    pub fn new(homes: Vec<net::Ipv4Addr>) -> Self {
        Self {
            homes,
            at: 0,
            tries: 0,
            postponements: 0,
        }
    }

    /// The first step.
    pub fn begin(&mut self) -> Next {
        self.ask_after(time::Millis(0))
    }

    fn ask_after(&mut self, span: time::Millis) -> Next {
        self.tries += 1;
        match self.homes.get(self.at) {
            Some(home) => Next::Ask(*home, span),
            None => Next::Nobody,
        }
    }

    /// The home that was asked has answered.
    pub fn answered(&mut self, answer: Answer) -> Next {
        match answer {
            Answer::Granted => Next::Granted,
            Answer::Over(span) => Next::Over(span),
            Answer::Soon(span) if self.postponements >= MAX_POSTPONEMENTS => Next::Over(span),
            Answer::Soon(span) => {
                self.postponements += 1;
                self.tries = 0;
                self.ask_after(span)
            }
        }
    }

    /// The home that was asked does not answer. Returns it if it is given up.
    pub fn unanswered(&mut self) -> (Next, Option<net::Ipv4Addr>) {
        if self.tries < MAX_TRIES {
            return (self.ask_after(time::Millis(0)), None);
        }
        let unresponsive = self.homes.get(self.at).copied();
        self.at += 1;
        self.tries = 0;
        (self.ask_after(time::Millis(0)), unresponsive)
    }
}
