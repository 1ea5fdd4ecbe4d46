//! Allowances that are stated over all entry processes: what a workspace may use, how often requests to a
//! service may be sent again.
//!
//! # The load pattern
//!
//! An allowance of a few requests in some seconds, over hundreds of processes of which each sees one of
//! these requests now and then. Divided by their number the allowance is less than one request, so that a fixed
//! share each refuses nearly all that is allowed. And the bound holds over all of them together at any time:
//! also over those that are cut off, that stood still for a while, or were killed and remember nothing.
//!
//! # How it works
//!
//! An allowance is a stream of units. It springs from a few producers among the entry processes
//! ([`producers`], found by hashing, the same at each process): each yields an equal part of the rate, and keeps
//! what grew within [`SPAN`] ([`Share`]). The first of them that answers is the home of the allowance: it draws
//! what the producers have into a [`Pot`], and every process asks it before each sending.
//!
//! Units are handed over and never copied. What a message loses is lost to all. So however the processes are cut
//! from each other, whoever takes whom for the home, nothing can be spent that was not produced, and production
//! needs no agreement: a side of a cut that holds four of [`PRODUCERS`] has four of as many parts of the rate. A
//! process that comes back empty has no more than it had; one that stood still finds its pot void, since
//! it was not in touch with producers for [`IN_TOUCH`].
//!
//! What is left to chance is bounded by what an allowance leaves above its rate: units in a pot that nobody
//! reaches any more are spent beside those of the next home, at most one burst; two processes that know
//! different lists of entry processes may take each a sixteenth for a producer, for as long as they differ; and a
//! producer that starts again yields at once what grows in [`SPAN`], though it may have yielded it before: all of
//! them killed at once yield as much as grows in that time, and spend nothing while they are away.

mod book;
mod named;
mod pot;
mod question;
mod share;

use std::net;

use sageshed_types::time;
use serde::{Deserialize, Serialize};

pub use book::{Book, Reply};
pub use pot::Pot;
pub use question::{Next, Question};
pub use share::Share;

use crate::{directory, neighbours};

/// Producers of an allowance. One that is lost takes its part of the rate with it until it is no longer
/// listed, a fifteenth; one that is cut off and goes on by an old list adds as much. Both stay under the tenth that
/// quotas leave above their rate.
pub const PRODUCERS: usize = 15;

/// Of them, those that may be asked as the home, one after the other.
pub const HOMES: usize = 3;

/// What a producer keeps grows in this time: twice what lies between two drawings, so that nothing is lost with
/// one of them.
pub const SPAN: time::Millis = time::Millis(600);

/// Between two drawings of a home whose pot is not full. A home of 15 producers exchanges 120 datagrams a second
/// with them, some 8 KB.
pub const DRAW_EVERY: time::Millis = time::Millis(250);

/// The same of a home that is asked for more than it has.
pub const DRAW_AGAIN: time::Millis = time::Millis(50);

/// Between two drawings of a home whose pot is full, by which it knows that it is in touch.
pub const LOOK_EVERY: time::Millis = time::Millis(1_000);

/// How long a producer counts as in touch with a home after it was drawn from: two drawings, of which one may be
/// lost.
pub const IN_TOUCH: time::Millis = time::Millis(2_000);

/// The span over which quotas are judged.
const QUOTA_WINDOW: time::Millis = time::Millis(8_000);

/// How long an entry process counts as one after it was listed last. A group of control processes that starts
/// again lists few at first; by such a list each of them would produce all. As long as the span over which
/// quotas are judged.
pub const LISTED: time::Millis = time::Millis(10_000);

/// How long nothing is produced after the list of entry processes has grown by more than a tenth, while it is
/// shorter than [`PRODUCERS`]. After a start of all, each process knows few of the others for some hundred
/// milliseconds; those who know two would yield half of the rate each.
pub const SETTLED: time::Millis = time::Millis(500);

/// How long a home that did not answer is passed over.
pub const LOST: time::Millis = time::Millis(1_000);

/// Names an allowance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Key(pub u64);

impl Key {
    /// The quota of a workspace.
    #[must_use]
    pub fn of_workspace(name: &str) -> Self {
        Self(neighbours::hash(&("workspace", name)))
    }

    /// The repeats of requests to a service.
    #[must_use]
    pub fn of_repeats(service: &str) -> Self {
        Self(neighbours::hash(&("repeats", service)))
    }

    /// The requests that a start of an endpoint takes.
    #[must_use]
    pub fn of_endpoint(id: &directory::InstanceId) -> Self {
        Self(neighbours::hash(&("endpoint", id)))
    }
}

/// What an allowance is.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Terms {
    /// Units a second.
    pub per_s: f64,
    /// Units that may be spent at once after a pause.
    pub burst: f64,
}

impl Terms {
    /// Units that grow in `span`.
    #[must_use]
    pub fn grown(&self, span: time::Millis) -> f64 {
        self.per_s * span.0 as f64 / 1_000.0
    }

    /// The most that one request may take. By more the span over which quotas are judged would be exceeded by this
    /// request alone.
    #[must_use]
    pub fn largest(&self) -> f64 {
        (self.stock() + self.grown(QUOTA_WINDOW)).max(1.0)
    }

    /// The most that pot and shares hold together: the burst, but at least what the shares keep.
    #[must_use]
    pub fn stock(&self) -> f64 {
        self.burst.max(self.grown(SPAN))
    }

    /// Whether both are numbers that can be reckoned with.
    #[must_use]
    pub fn are_sound(&self) -> bool {
        let is_sound = |it: f64| it.is_finite() && it >= 0.0;
        is_sound(self.per_s) && is_sound(self.burst)
    }
}

/// Terms that stand in no configuration. An endpoint has named them to some processes, which tell them with their
/// questions.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Named {
    /// What is allowed.
    pub terms: Terms,
    /// How long ago the endpoint said so. Of two that differ the younger ones hold.
    pub age: time::Millis,
}

/// Asks the home of an allowance for units.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Draw {
    /// Names the question, the same each time that it is asked again.
    pub id: u64,
    /// The allowance.
    pub of: Key,
    /// Units that are asked for; zero where some are only given back.
    pub amount: f64,
    /// Units that were taken before and not used.
    pub returned: f64,
    /// The rank of the request; zero is the most urgent.
    pub rank: u8,
    /// The terms, where they stand in no configuration.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub named: Option<Named>,
}

/// The answer to a [`Draw`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// They are taken.
    Granted,
    /// The home has just begun, or has sent for more: to be asked again after this span.
    Soon(time::Millis),
    /// The allowance is used up. After this span it will have grown by as much as is asked for, and by what those
    /// were promised that were told the same before.
    Over(time::Millis),
}

/// A home draws what a producer has.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Pull {
    /// Names the drawing.
    pub id: u64,
    /// Of which allowances.
    pub of: Vec<Key>,
    /// The terms of those that stand in no configuration.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub named: Vec<(Key, Named)>,
}

/// What a producer gives to a [`Pull`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Given {
    /// The drawing.
    pub id: u64,
    /// Units of each allowance.
    pub units: Vec<(Key, f64)>,
}

/// The producers of an allowance among `entries`, the first that is asked as its home first.
#[must_use]
pub fn producers(of: Key, entries: &[net::Ipv4Addr]) -> Vec<net::Ipv4Addr> {
    neighbours::ranked(of.0, entries, PRODUCERS)
}
