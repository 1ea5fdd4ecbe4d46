//! How long other entry processes take to reply to this one, and what that says of this process itself.
//!
//! A process that gets little processor time, or whose link is full, reads replies late. By the time of a single reply
//! that can't be told from a slow peer. If most peers seem slow at the same time, this process is.

use std::{collections, net};

use sageshed_types::time;

/// The timeout for a reply of a peer in the usual case: several round trips between availability zones, and short beside
/// the latency targets of routes.
pub const REPLY_TIMEOUT: time::Millis = time::Millis(25);

/// The longest timeout for a reply. A request that waits longer is decided without one.
pub const MAX_REPLY_TIMEOUT: time::Millis = time::Millis(150);

/// The timeout in typical reply times.
const TIMEOUT_FACTOR: u64 = 3;

/// How long a reply time counts.
const WINDOW: time::Millis = time::Millis(500);

/// The usual reply time rises by the time that has passed, divided by this.
const RISE_DIVISOR: u64 = 1_000;

/// The fewest peers that tell anything of this process.
const MIN_PEERS: usize = 2;

/// The most queries whose replies are timed at once.
const MAX_QUERIES: usize = 1_024;

/// The times of the latest replies.
#[derive(Debug, Default)]
pub struct ReplyTimes {
    /// When queries were sent, by their ids, oldest first.
    sent: collections::VecDeque<(u64, time::Instant)>,
    /// The latest reply time of each peer, and when the reply was received.
    latest: collections::HashMap<net::Ipv4Addr, (time::Instant, time::Millis)>,
    /// The smallest typical reply time so far, and when it was recorded.
    smallest: Option<(time::Instant, time::Millis)>,
}

impl ReplyTimes {
    /// Records that the query `id` is sent.
    pub fn query(&mut self, now: time::Instant, id: u64) {
        if self.sent.len() == MAX_QUERIES {
            self.sent.pop_front();
        }
        self.sent.push_back((id, now));
    }

    /// Records that a reply to the query `id` is received from `peer`, also if nobody waits for it any more. Only the
    /// first one to each query counts.
    pub fn reply(&mut self, now: time::Instant, id: u64, peer: net::Ipv4Addr) {
        let Some(at) = self.sent.iter().rposition(|(sent, _)| *sent == id) else {
            return;
        };
        if let Some((_, sent_at)) = self.sent.remove(at) {
            self.latest.insert(peer, (now, now.since(sent_at)));
        }
    }

    /// The reply time of the faster half of the peers at the most; zero while too few have replied lately.
    pub fn typical(&mut self, now: time::Instant) -> time::Millis {
        self.latest.retain(|_, (at, _)| now.since(*at) < WINDOW);
        if self.latest.len() < MIN_PEERS {
            return time::Millis(0);
        }
        let mut times: Vec<_> = self.latest.values().map(|(_, took)| *took).collect();
        let middle = (times.len() - 1) / 2;
        let (_, typical, _) = times.select_nth_unstable(middle);
        *typical
    }

    /// How much later than usual replies are read: what this process is late by itself.
    pub fn lateness(&mut self, now: time::Instant) -> time::Millis {
        let typical = self.typical(now);
        if typical == time::Millis(0) {
            return typical;
        }
        // Rises with time, since peers may have become farther away.
        let usual = self
            .smallest
            .map(|(at, it)| time::Millis(it.0 + now.since(at).0 / RISE_DIVISOR));
        match usual {
            Some(usual) if usual < typical => time::Millis(typical.0 - usual.0),
            _ => {
                self.smallest = Some((now, typical));
                time::Millis(0)
            }
        }
    }

    /// The timeout for a reply to a query that is sent now.
    pub fn timeout(&mut self, now: time::Instant) -> time::Millis {
        let typical = self.typical(now);
        time::Millis(typical.0 * TIMEOUT_FACTOR).clamp(REPLY_TIMEOUT, MAX_REPLY_TIMEOUT)
    }
}
