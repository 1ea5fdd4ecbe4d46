//! Distributed rate limits across all entry processes: quotas of workspaces, retries of requests to a
//! service, limits that endpoints report.
//!
//! # Load pattern
//!
//! An allowance may be a few requests in some seconds, across hundreds of processes of which each sees one
//! of these requests now and then. Divided by the number of processes it is less than one request each, so
//! fixed shares would refuse nearly everything that is allowed. The limit has to hold across all processes
//! at any time, including those that are partitioned, were suspended for a while, or were killed and lost
//! their state.
//!
//! # Design
//!
//! An allowance is a stream of units. Its source is a small set of producers among the entry processes
//! ([`producers`], chosen by hashing, the same on every process). Each of them produces an equal share of
//! the rate and stores at most what accrues in [`SHARE_WINDOW`] ([`Share`]). The first of them that
//! responds is the coordinator of the allowance: it collects the producers' units into a [`Bucket`], a
//! token bucket, from which every process acquires units before it sends.
//!
//! Units are moved and never copied; those in a lost message are lost. So whichever way the processes are
//! partitioned, and whichever of them they take for the coordinator, no unit can be spent that was not
//! produced, and production needs no agreement: a side of a partition that holds four of the [`PRODUCERS`]
//! produces four shares of the rate. A process that restarts with an empty state holds no more than before.
//! One that was suspended for [`CONTACT_TIMEOUT`] loses the units in its bucket, as it was out of contact
//! with the producers.
//!
//! The remaining inaccuracy is bounded by the margin that allowances leave above their rate. Units in the
//! bucket of a coordinator that becomes unreachable are spent beside those of the next one, at most one
//! burst. While two processes have different lists of entry processes, each may count a process as a
//! producer that the other doesn't, so that sixteen produce. And a producer that has restarted yields at
//! once what accrues in [`SHARE_WINDOW`], which it may have yielded before: if all of them are killed at
//! once, they yield that much extra, and spend nothing while they are down.

mod acquisition;
mod bucket;
mod reported;
mod share;
mod table;

use std::net;

use sageshed_types::time;
use serde::{Deserialize, Serialize};

pub use acquisition::{Acquisition, Next};
pub use bucket::Bucket;
pub use share::Share;
pub use table::{AcquireOutcome, AllowanceTable};

use crate::{directory, entry_peers};

/// Producers of an allowance. A lost producer takes its fifteenth of the rate with it until it is no longer
/// listed, and a partitioned one that continues by an old list adds as much. Both stay below the tenth that
/// quotas leave above their rate.
pub const PRODUCERS: usize = 15;

/// Number of producers, in order of rank, that may act as the coordinator.
pub const COORDINATORS: usize = 3;

/// A producer stores what accrues in this time: more than twice the collection interval, so that nothing is
/// lost when a single collection fails.
pub const SHARE_WINDOW: time::Millis = time::Millis(600);

/// Collection interval of a coordinator whose bucket is not full. With 15 producers it exchanges 120
/// datagrams a second with them, some 8 KB.
pub const COLLECT_INTERVAL: time::Millis = time::Millis(250);

/// Collection interval of a coordinator that was asked for more than it has.
pub const STARVED_COLLECT_INTERVAL: time::Millis = time::Millis(50);

/// Collection interval of a coordinator whose bucket is full, by which it stays in contact with the
/// producers.
pub const IDLE_COLLECT_INTERVAL: time::Millis = time::Millis(1_000);

/// How long a producer counts as in contact with a coordinator after a collection: two collections at the
/// longest interval, of which one may be lost.
pub const CONTACT_TIMEOUT: time::Millis = time::Millis(2_000);

/// Time over which quotas are measured.
const QUOTA_WINDOW: time::Millis = time::Millis(8_000);

/// How long an entry process counts as one after it was last listed. Control processes that restart list
/// few entry processes at first, and by such a list each of these would produce the whole rate. It is
/// longer than the time over which quotas are measured.
pub const LISTING_TIMEOUT: time::Millis = time::Millis(10_000);

/// How long nothing is produced after the list of entry processes has grown by more than a tenth, while it
/// is shorter than [`PRODUCERS`]. When all processes start, each knows few of the others for some hundred
/// milliseconds; those that know only two would each yield half of the rate.
pub const SETTLE_TIME: time::Millis = time::Millis(500);

/// How long a coordinator that did not respond is skipped.
pub const UNRESPONSIVE_TIME: time::Millis = time::Millis(1_000);

/// Identifies an allowance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Key(pub u64);

impl Key {
    /// The quota of a workspace.
    #[must_use]
    pub fn of_workspace(name: &str) -> Self {
        Self(entry_peers::hash(&("workspace", name)))
    }

    /// The retries of requests to a service.
    #[must_use]
    pub fn of_retries(service: &str) -> Self {
        Self(entry_peers::hash(&("repeats", service)))
    }

    /// The requests that an instance of an endpoint accepts.
    #[must_use]
    pub fn of_endpoint(id: &directory::InstanceId) -> Self {
        Self(entry_peers::hash(&("endpoint", id)))
    }
}

/// Rate and burst of an allowance.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct RateLimit {
    /// Units per second.
    pub per_s: f64,
    /// Units that may be spent at once after an idle time.
    pub burst: f64,
}

impl RateLimit {
    /// Units that accrue in `span`.
    #[must_use]
    pub fn accrued(&self, span: time::Millis) -> f64 {
        self.per_s * span.0 as f64 / 1_000.0
    }

    /// The most that a single request may acquire. A larger one would by itself exceed what is allowed in
    /// the time over which quotas are measured.
    #[must_use]
    pub fn max_amount(&self) -> f64 {
        (self.total_capacity() + self.accrued(QUOTA_WINDOW)).max(1.0)
    }

    /// The most that the bucket and the shares hold together: the burst, but at least what the shares
    /// store.
    #[must_use]
    pub fn total_capacity(&self) -> f64 {
        self.burst.max(self.accrued(SHARE_WINDOW))
    }

    /// Whether rate and burst are finite and not negative.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        let is_sound = |it: f64| it.is_finite() && it >= 0.0;
        is_sound(self.per_s) && is_sound(self.burst)
    }
}

/// Rate and burst that are not configured but were reported by an endpoint to some processes, which pass
/// them on in their messages.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ReportedLimit {
    /// Rate and burst.
    #[serde(rename = "terms")]
    pub limit: RateLimit,
    /// Time since the endpoint reported them. Of two different reports, the newer one counts.
    pub age: time::Millis,
}

/// Asks the coordinator of an allowance for units.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct AcquireRequest {
    /// Identifies the request; the same when it is retried.
    pub id: u64,
    /// The allowance.
    pub of: Key,
    /// Units to acquire; zero if units are only returned.
    pub amount: f64,
    /// Units that were acquired before and not used.
    pub returned: f64,
    /// Priority of the request; zero is the most urgent.
    pub rank: u8,
    /// Rate and burst, if they are not configured.
    #[serde(rename = "named", default, skip_serializing_if = "Option::is_none")]
    pub reported: Option<ReportedLimit>,
}

/// The reply to an [`AcquireRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AcquireReply {
    /// The units are granted.
    Granted,
    /// The coordinator has just started or is collecting more units: retry after this time.
    Soon(time::Millis),
    /// The allowance is exhausted. After this time, the requested units will have accrued on top of those
    /// that were scheduled for earlier requests.
    Over(time::Millis),
}

/// Collects the units that a producer has.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CollectRequest {
    /// Identifies the collection.
    pub id: u64,
    /// The allowances to collect.
    pub of: Vec<Key>,
    /// Rate and burst of those that are not configured.
    #[serde(rename = "named", default, skip_serializing_if = "Vec::is_empty")]
    pub reported: Vec<(Key, ReportedLimit)>,
}

/// A producer's reply to a [`CollectRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CollectReply {
    /// The collection.
    pub id: u64,
    /// Units of each allowance.
    pub units: Vec<(Key, f64)>,
}

/// The producers of an allowance among `entries`, in the order in which they are asked to coordinate it.
#[must_use]
pub fn producers(of: Key, entries: &[net::Ipv4Addr]) -> Vec<net::Ipv4Addr> {
    entry_peers::ranked(of.0, entries, PRODUCERS)
}
