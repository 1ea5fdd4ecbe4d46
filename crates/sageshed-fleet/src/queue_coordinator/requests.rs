//! The requests that wait in the queues of a coordinator, with their queries, and those that are granted a place.

use std::{
    collections::{self, hash_map::Entry},
    net,
};

use sageshed_types::time;

use super::{Place, QueueKey, QueuedQuery};
use crate::entry_peers::{QueueMembership, RoutingQuery};

/// How long a request that has left is remembered: longer than a datagram is delayed.
const FINISHED_TTL: time::Millis = time::Millis(2_000);

/// A request that waits.
///
/// Its query is kept beside the queue, since each repeat replaces it: it tells anew which endpoints are closed for the
/// holder.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) queue: QueueKey,
    pub(super) queued: QueuedQuery,
    /// When its response is late, and when its caller gives up, by the first query.
    pub(super) late_at: time::Instant,
    pub(super) abandoned_at: time::Instant,
    /// When the query was sent, by the clock of the holder.
    pub(super) sent_at: time::Instant,
}

/// A grant that no observation has confirmed yet.
#[derive(Debug)]
pub(super) struct Grant {
    pub(super) queue: QueueKey,
    pub(super) to: net::Ipv4Addr,
    pub(super) at: time::Instant,
    /// When the holder sent its latest query, by its clock.
    pub(super) last_query: time::Instant,
    pub(super) work_us: u64,
    pub(super) place: Place,
}

/// The requests that need no grant any more.
///
/// A delayed or duplicated query for one of them would reserve a place that nobody uses.
#[derive(Debug, Default)]
pub(super) struct FinishedRequests(collections::HashMap<u64, Finished>);

#[derive(Debug)]
struct Finished {
    at: time::Instant,
    /// When its latest query was sent, by the clock of its holder.
    last_query: time::Instant,
    /// When its caller should return, if it was refused.
    return_at: Option<time::Instant>,
}

impl FinishedRequests {
    pub(super) fn insert(&mut self, now: time::Instant, request: u64, last_query: time::Instant) {
        let finished = Finished {
            at: now,
            last_query,
            return_at: None,
        };
        self.0.insert(request, finished);
    }

    /// Adds a request that is refused, whatever is queried for it later.
    pub(super) fn insert_refused(
        &mut self,
        now: time::Instant,
        request: u64,
        retry_after: time::Millis,
    ) {
        let finished = Finished {
            at: now,
            last_query: time::Instant(0),
            return_at: Some(now + retry_after),
        };
        self.0.insert(request, finished);
    }

    /// Whether a query that was sent at `sent_at` is older than the end of its request.
    pub(super) fn is_outdated(&self, request: u64, sent_at: time::Instant) -> bool {
        let finished = self.0.get(&request);
        finished.is_some_and(|it| sent_at <= it.last_query)
    }

    /// The time after which the caller of a request should return, if the request was refused.
    pub(super) fn refused(&self, now: time::Instant, request: u64) -> Option<time::Millis> {
        let return_at = self.0.get(&request)?.return_at?;
        Some(return_at.since(now))
    }

    pub(super) fn expire(&mut self, now: time::Instant) {
        self.0.retain(|_, it| now.since(it.at) < FINISHED_TTL);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// Adds a request to those of `all`, or replaces its query by one that was sent later.
pub(super) fn refresh<'a>(
    all: &'a mut collections::HashMap<u64, Request>,
    now: time::Instant,
    queue: &QueueKey,
    query: RoutingQuery,
    membership: &QueueMembership,
) -> &'a Request {
    let sent_at = membership.sent_at;
    match all.entry(query.request) {
        Entry::Occupied(known) => {
            let known = known.into_mut();
            if known.sent_at < sent_at {
                known.sent_at = sent_at;
                known.queued = QueuedQuery {
                    query,
                    received_at: now,
                };
            }
            known
        }
        Entry::Vacant(new) => new.insert(Request {
            queue: queue.clone(),
            late_at: now + query.time_until_late,
            abandoned_at: now + membership.abandoned_in,
            queued: QueuedQuery {
                query,
                received_at: now,
            },
            sent_at,
        }),
    }
}
