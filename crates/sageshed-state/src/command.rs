//! Commands of the replicated control state, and the outcomes of applying them.

use sageshed_types::{claims, document, endpoints, quarantine, rules};
use serde::{Deserialize, Serialize};

/// A command of the state machine. Encoded by [`crate::codec`] as the payload of a log entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// Changes the rules.
    Change(rules::Change),
    /// Requests a claim.
    Claim(claims::Claim),
    /// Records how a claimed request ended.
    Settle(claims::Settle),
    /// The processes of this VM with a lower incarnation have ended and will send nothing more.
    ///
    /// Proposed when a message of a later incarnation arrives, or when the VM is declared dead. In the
    /// latter case `incarnation_below` is the dead process's incarnation plus one.
    HolderGone {
        /// The entry VM.
        vm: String,
        /// The lowest incarnation that may still be running.
        incarnation_below: endpoints::Incarnation,
    },
    /// Advances the replicated clock. The leader proposes its wall clock about once per second.
    Clock {
        /// The leader's time when it proposed the command, in milliseconds since 1970.
        unix_ms: u64,
    },
    /// The first command of a new leader.
    LeaderStarted {
        /// The leader's term.
        term: u64,
    },
    /// Records orders before they are sent.
    IssueOrders {
        /// The term of the leader that proposes them.
        term: u64,
        /// The orders, without ids and fencing tokens.
        orders: Vec<ProposedOrder>,
    },
    /// The endpoints have reported the outcome of these orders.
    SettleOrders(Vec<endpoints::OrderId>),
    /// The endpoint has reported with this incarnation. Orders to lower incarnations are void.
    EndpointIncarnation {
        /// The endpoint's name.
        endpoint: String,
        /// The incarnation in the endpoint's report.
        incarnation: endpoints::Incarnation,
    },
    /// The endpoint has deregistered or an operator has removed it. Never proposed merely because the
    /// endpoint sends no reports, since it may still be loading.
    EndpointGone {
        /// The endpoint's name.
        endpoint: String,
    },
    /// Starts or ends the drain of an entry VM.
    DrainVm {
        /// The entry VM.
        vm: String,
        /// Whether it is to be drained.
        on: bool,
        /// Chosen by the operator's client, which uses the same id when it sends the command again.
        change_id: String,
    },
    /// Pins a model to a location.
    Pin {
        /// The model or adapter.
        model: String,
        /// The location.
        place: Place,
    },
    /// Removes a pin.
    Unpin {
        /// The model or adapter.
        model: String,
        /// The location.
        place: Place,
    },
    /// Replaces the configuration of the fleet, if the number is higher than that of the current one.
    ReplaceFleet(document::Document),
    /// Replaces the list of quarantined requests.
    HoldRequests(Vec<quarantine::QuarantinedRequest>),
}

/// An order as proposed by a leader. Its id and fencing token are assigned when the command is applied.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ProposedOrder {
    /// The endpoint it is addressed to.
    pub endpoint: String,
    /// The incarnation it is addressed to.
    pub incarnation: endpoints::Incarnation,
    /// What the endpoint is to do.
    pub task: endpoints::Task,
}

/// The location to which a model is pinned.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Place {
    /// The endpoint with this name.
    Endpoint(String),
    /// At least one endpoint in this availability zone.
    AvailabilityZone(String),
}

/// The outcome of applying a command. The leader replies with it, followers discard it.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// Of [`Command::Change`].
    Change(rules::ChangeOutcome),
    /// Of [`Command::Claim`].
    Claim(claims::ClaimOutcome),
    /// Of [`Command::Claim`]: the holder has already released the claim, or its process has ended.
    /// Nothing was recorded and the holder must not send the request.
    ClaimTooLate,
    /// Of [`Command::Settle`].
    Settle(SettleOutcome),
    /// Of [`Command::HolderGone`].
    HolderGone {
        /// The number of running claims whose outcome became unknown.
        unknown: usize,
    },
    /// Of [`Command::Clock`].
    Clock {
        /// The new time of the replicated clock, in milliseconds since 1970.
        unix_ms: u64,
        /// The number of claims removed at the end of their retention.
        expired: usize,
    },
    /// Of [`Command::LeaderStarted`].
    LeaderStarted {
        /// A fencing token greater than that of every order issued before.
        fence: endpoints::Fence,
    },
    /// Of [`Command::IssueOrders`].
    Issue(IssueOutcome),
    /// Of [`Command::SettleOrders`], [`Command::EndpointIncarnation`] and
    /// [`Command::EndpointGone`]: the orders that were closed.
    Closed(Vec<endpoints::Order>),
    /// Of [`Command::DrainVm`].
    Drain(DrainOutcome),
    /// Of [`Command::Pin`] and [`Command::Unpin`].
    Pin {
        /// Whether the pins changed.
        changed: bool,
    },
    /// Of [`Command::ReplaceFleet`].
    Fleet {
        /// The number of the configuration now in force.
        held: u64,
    },
    /// Of [`Command::HoldRequests`]: the list was replaced.
    RequestsHeld,
    /// The entry at the command's log index was applied before. Nothing was changed.
    AlreadyApplied,
}

/// The outcome of [`Command::Settle`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum SettleOutcome {
    /// The end was recorded, now or by an earlier command.
    Settled,
    /// The claim has another holder, does not exist or was settled differently. Nothing was recorded.
    Ignored,
}

/// The outcome of [`Command::IssueOrders`].
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum IssueOutcome {
    /// The orders are recorded and may be sent.
    Issued(Vec<endpoints::Order>),
    /// A later leader has started. Nothing was recorded and nothing may be sent.
    StaleTerm {
        /// The highest term in which a leader has started.
        highest: u64,
    },
}

/// The outcome of [`Command::DrainVm`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DrainOutcome {
    /// The change was recorded, now or by an earlier command with the same change id.
    Recorded,
    /// The change id was used before with other content. Nothing was recorded.
    ChangeIdReused,
}
