//! A request that waits in the queue of a coordinator, as the process sees it that holds it for its caller.
//!
//! The holder queries the first coordinator that responds, and repeats the query while the request waits, by which it
//! notices a lost datagram, a failed coordinator and a changed list of coordinators. Only the holder sends the
//! request, and it stops waiting when it does, so that no message, however late or often it arrives, makes the request
//! run twice.

use std::net;

use sageshed_types::time;

use crate::{
    entry_peers::{RoutingDecision, RoutingReply},
    reply_times::REPLY_TIMEOUT,
};

/// How long a grant is valid. What it has reserved at the endpoint goes to another request afterwards.
pub const GRANT_TTL: time::Millis = time::Millis(150);

/// The interval at which the query of a queued request is repeated.
pub const REPEAT_INTERVAL: time::Millis = time::Millis(400);

/// The interval at which a coordinator that keeps no queue is queried, and one that knows no endpoint for the request.
pub const POLL_INTERVAL: time::Millis = time::Millis(40);

/// What the holder does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Send the query to this coordinator.
    Query(net::Ipv4Addr),
    /// Wait for so long for the reply to the latest query.
    AwaitReply(time::Millis),
    /// Wait for a grant, at most until the query is repeated.
    AwaitGrant(time::Millis),
    /// Wait for a change, at most until the query is repeated: the coordinator keeps no queue.
    Poll(time::Millis),
    /// Choose an endpoint without a coordinator.
    Decide,
}

/// What a reply means for the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Received {
    /// The request is granted an endpoint, or it waits, or the coordinator knows no endpoint.
    Decision(RoutingDecision),
    /// Nothing: the reply is too old, or not of the coordinator where the request waits.
    Ignored,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// No coordinator was queried.
    New,
    /// A query was sent, and its reply is outstanding. `is_repeat` if the request is queued there or elsewhere.
    Asked {
        since: time::Instant,
        is_repeat: bool,
    },
    /// The request waits in the coordinator's queue.
    Queued { since: time::Instant },
    /// The coordinator has replied, and keeps no queue with the request.
    Polling { since: time::Instant },
    /// The coordinator did not reply to the first query.
    Unanswered,
}

/// One request that waits.
#[derive(Debug, Clone)]
pub struct QueueHolder {
    state: State,
    /// The coordinator that was queried last.
    coordinator: Option<net::Ipv4Addr>,
    /// All coordinators that may have the request in their queues.
    joined: Vec<net::Ipv4Addr>,
    reply_timeout: time::Millis,
}

impl Default for QueueHolder {
    fn default() -> Self {
        Self {
            state: State::New,
            coordinator: None,
            joined: Vec::new(),
            reply_timeout: REPLY_TIMEOUT,
        }
    }
}

impl QueueHolder {
    /// Sets the timeout for the reply to the latest query.
    pub fn set_reply_timeout(&mut self, timeout: time::Millis) {
        self.reply_timeout = timeout;
    }

    /// The coordinator that has not replied in time, once for each query.
    pub fn take_unanswered(&mut self, now: time::Instant) -> Option<net::Ipv4Addr> {
        let State::Asked { since, is_repeat } = self.state else {
            return None;
        };
        if now.since(since) < self.reply_timeout {
            return None;
        }
        self.state = if is_repeat {
            State::New
        } else {
            State::Unanswered
        };
        self.coordinator
    }

    /// What to do next, where `coordinators` are those of the model that respond, in order.
    pub fn next(&mut self, now: time::Instant, coordinators: &[net::Ipv4Addr]) -> Action {
        let left = |since: time::Instant, span: time::Millis| {
            let over = now.since(since);
            (over < span).then(|| time::Millis(span.0 - over.0))
        };
        let waiting = match self.state {
            State::Asked { since, .. } => left(since, self.reply_timeout).map(Action::AwaitReply),
            State::Queued { since } => left(since, REPEAT_INTERVAL).map(Action::AwaitGrant),
            State::Polling { since } => left(since, POLL_INTERVAL).map(Action::Poll),
            State::Unanswered => {
                self.state = State::New;
                Some(Action::Decide)
            }
            State::New => None,
        };
        if let Some(waiting) = waiting {
            return waiting;
        }
        let Some(first) = coordinators.first().copied() else {
            self.state = State::New;
            return Action::Decide;
        };
        let is_repeat = !self.joined.is_empty();
        self.state = State::Asked {
            since: now,
            is_repeat,
        };
        self.coordinator = Some(first);
        if !self.joined.contains(&first) {
            self.joined.push(first);
        }
        Action::Query(first)
    }

    /// Takes a reply of the coordinator `from`.
    ///
    /// A grant that is older than [`GRANT_TTL`] is ignored, whether the coordinator, the network or this process has
    /// held it up. A younger one is used even if the request has joined elsewhere since.
    pub fn receive(
        &mut self,
        now: time::Instant,
        from: net::Ipv4Addr,
        reply: &RoutingReply,
    ) -> Received {
        let is_current = self.coordinator == Some(from);
        let decision = reply.decision;
        match (decision, reply.decided_at) {
            (RoutingDecision::Engine { .. }, Some(at)) if now.since(at) > GRANT_TTL => {
                return Received::Ignored;
            }
            (RoutingDecision::Engine { .. }, Some(_)) => {}
            _ if !is_current => return Received::Ignored,
            (RoutingDecision::Wait { .. }, Some(_)) => {
                let since = match self.state {
                    State::Asked { since, .. } | State::Queued { since } => since,
                    _ => now,
                };
                self.state = State::Queued { since };
            }
            (_, None) | (RoutingDecision::Unknown | RoutingDecision::Refuse { .. }, Some(_)) => {
                self.joined.retain(|it| *it != from);
                self.state = State::Polling { since: now };
            }
        }
        Received::Decision(decision)
    }

    /// The coordinator that was queried last.
    #[must_use]
    pub fn coordinator(&self) -> Option<net::Ipv4Addr> {
        self.coordinator
    }

    /// Whether the request waits in the queue of a coordinator.
    #[must_use]
    pub fn is_queued(&self) -> bool {
        matches!(self.state, State::Queued { .. })
    }

    /// The time until the query of a queued request is repeated; zero if it is not queued.
    #[must_use]
    pub fn time_to_repeat(&self, now: time::Instant) -> time::Millis {
        match self.state {
            State::Queued { since } => {
                time::Millis(REPEAT_INTERVAL.0.saturating_sub(now.since(since).0))
            }
            _ => time::Millis(0),
        }
    }

    /// Ends the wait. Returns the coordinators to be told that the request needs no grant any more: all that may have
    /// it in their queues, but for the one whose grant is `used`.
    pub fn leave(&mut self, used: Option<net::Ipv4Addr>) -> Vec<net::Ipv4Addr> {
        self.state = State::New;
        let mut joined = std::mem::take(&mut self.joined);
        joined.retain(|it| Some(*it) != used);
        joined
    }
}
