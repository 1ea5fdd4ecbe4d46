//! Commands that the control group commits, and what applying each gives.

use sageshed_types::{claims, document, endpoints, quarantine, rules};
use serde::{Deserialize, Serialize};

/// One committed command. Encoded by [`crate::codec`] as the payload of a log entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// Changes the rules.
    Change(rules::Change),
    /// Asks for a claim.
    Claim(claims::Claim),
    /// Says how a claimed request ended.
    Settle(claims::Settle),
    /// The holders of this VM with a lower incarnation are gone and will send nothing more.
    ///
    /// Proposed when a later incarnation is heard, or when the VM is declared dead; then
    /// `incarnation_below` is one more than the dead process's.
    HolderGone {
        /// The entry VM.
        vm: String,
        /// The lowest incarnation that is not gone.
        incarnation_below: endpoints::Incarnation,
    },
    /// The leader's wall clock, in milliseconds since 1970. Proposed every second or so.
    Clock {
        /// The reading when it was proposed.
        unix_ms: u64,
    },
    /// The first command of a new leader.
    LeaderStarted {
        /// Its term.
        term: u64,
    },
    /// Records orders before they are sent.
    IssueOrders {
        /// The term of the leader that proposes them.
        term: u64,
        /// The orders, without id and fencing number.
        orders: Vec<ProposedOrder>,
    },
    /// The fate of these orders is known, by a report of the endpoint.
    SettleOrders(Vec<endpoints::OrderId>),
    /// The endpoint was heard with this incarnation: orders to lower ones are void.
    EndpointIncarnation {
        /// Which endpoint.
        endpoint: String,
        /// The incarnation heard.
        incarnation: endpoints::Incarnation,
    },
    /// The endpoint is gone for good, by its own word or an operator's; never by silence alone,
    /// since a silent engine may still be loading.
    EndpointGone {
        /// Which endpoint.
        endpoint: String,
    },
    /// Starts or ends the drain of an entry VM.
    DrainVm {
        /// The entry VM.
        vm: String,
        /// Whether it is to be drained.
        on: bool,
        /// Chosen by the operator's client; a resend carries the same one.
        change_id: String,
    },
    /// Keeps a model at a place.
    Pin {
        /// The model or adapter.
        model: String,
        /// Where.
        place: Place,
    },
    /// Takes a pin back.
    Unpin {
        /// The model or adapter.
        model: String,
        /// Where.
        place: Place,
    },
    /// Replaces the configuration of the fleet, if its number is higher than that of the one held.
    ReplaceFleet(document::Document),
    /// Replaces the requests that entry processes pass on no more.
    HoldRequests(Vec<quarantine::Held>),
}

/// An order as a leader proposes it. Its id and fencing number are assigned when it is applied.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ProposedOrder {
    /// The endpoint meant.
    pub endpoint: String,
    /// The incarnation meant.
    pub incarnation: endpoints::Incarnation,
    /// What to do.
    pub task: endpoints::Task,
}

/// Where a model is pinned.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Place {
    /// On this endpoint.
    Endpoint(String),
    /// On some endpoint of this availability zone.
    AvailabilityZone(String),
}

/// What applying a command gave. The leader answers from it; followers drop it.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// Of [`Command::Change`].
    Change(rules::ChangeOutcome),
    /// Of [`Command::Claim`].
    Claim(claims::ClaimOutcome),
    /// Of [`Command::Claim`]: its holder has given it back or is gone. Nothing was recorded and
    /// the holder must not send.
    ClaimTooLate,
    /// Of [`Command::Settle`].
    Settle(SettleOutcome),
    /// Of [`Command::HolderGone`]: how many running claims became unknown.
    HolderGone {
        /// The number of claims.
        unknown: usize,
    },
    /// Of [`Command::Clock`].
    Clock {
        /// The replicated clock after it, in milliseconds since 1970.
        unix_ms: u64,
        /// Claims forgotten at the end of their retention.
        expired: usize,
    },
    /// Of [`Command::LeaderStarted`].
    LeaderStarted {
        /// Greater than the fencing number of every order issued before.
        fence: endpoints::Fence,
    },
    /// Of [`Command::IssueOrders`].
    Issue(IssueOutcome),
    /// Of [`Command::SettleOrders`], [`Command::EndpointIncarnation`] and
    /// [`Command::EndpointGone`]: the orders that are open no more.
    Closed(Vec<endpoints::Order>),
    /// Of [`Command::DrainVm`].
    Drain(DrainOutcome),
    /// Of [`Command::Pin`] and [`Command::Unpin`].
    Pin {
        /// Whether it changed anything.
        changed: bool,
    },
    /// Of [`Command::ReplaceFleet`].
    Fleet {
        /// The number of the configuration that is held now.
        held: u64,
    },
    /// Of [`Command::HoldRequests`]: it is recorded.
    RequestsHeld,
    /// The command's log index was applied before; nothing was done.
    AlreadyApplied,
}

/// What became of [`Command::Settle`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum SettleOutcome {
    /// Recorded, or recorded before with the same end.
    Settled,
    /// The claim is another's, or gone, or was settled otherwise; nothing was recorded.
    Ignored,
}

/// What became of [`Command::IssueOrders`].
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum IssueOutcome {
    /// Recorded; they may be sent now.
    Issued(Vec<endpoints::Order>),
    /// A later leader has started; nothing was recorded and nothing may be sent.
    StaleTerm {
        /// The highest term that has started.
        highest: u64,
    },
}

/// What became of [`Command::DrainVm`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DrainOutcome {
    /// Recorded, now or when the same change came first.
    Recorded,
    /// The same change id came before with other content; nothing was recorded.
    ChangeIdReused,
}
