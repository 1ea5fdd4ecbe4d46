//! Events in, actions out.

use sageshed_types::{catalog, endpoints, messages, time};

use crate::{ledger, policy};

/// What placement is made from.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The models and adapters on offer.
    pub models: Vec<catalog::Model>,
    /// How to decide.
    pub policy: policy::Policy,
}

/// Keeps a model on an endpoint: loaded there first and never unloaded from it while pinned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pin {
    /// The model or adapter.
    pub model: String,
    /// The endpoint.
    pub endpoint: String,
}

/// What placement is told.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A report, straight from the endpoint or relayed; old ones do no harm.
    Report(endpoints::Report),
    /// The endpoint has not been heard for long, or a connection to it failed.
    EndpointSilent {
        /// Which.
        endpoint: String,
    },
    /// A proposal of this leader is committed.
    OrderCommitted(endpoints::Order),
    /// This process starts to lead: every open order in the replicated table. Whether any was sent
    /// is not known.
    OrdersRestored(Vec<endpoints::Order>),
    /// The connection was refused before a byte of the order left.
    OrderNotSent(endpoints::OrderId),
    /// Bytes of the order left this process.
    OrderSent(endpoints::OrderId),
    /// What one entry VM was asked for since it last told.
    Demand {
        /// The entry VM.
        from_vm: String,
        /// By model.
        demand: Vec<messages::Demand>,
    },
    /// The operators' pins, all of them.
    Pins(Vec<Pin>),
    /// Time to plan.
    Plan,
    /// This process leads no longer: nothing is proposed or sent until
    /// [`Event::OrdersRestored`].
    LeaderLost,
}

/// What the daemon is to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Give each an id and a fence, commit them, then feed [`Event::OrderCommitted`] for each.
    Propose(Vec<(String, endpoints::Incarnation, endpoints::Task)>),
    /// Send it, then feed [`Event::OrderSent`] or [`Event::OrderNotSent`].
    SendOrder(endpoints::Order),
    /// Commit the removal of these from the table of open orders: their fate is known.
    Settle(Vec<endpoints::OrderId>),
    /// Something that an operator may ask about: why nothing was done, or what was done.
    Note {
        /// The endpoint concerned, if one is.
        endpoint: Option<String>,
        /// The model concerned, if one is.
        model: Option<String>,
        /// A short sentence.
        reason: String,
    },
}

/// The ledger and the planner of the leading control process.
#[derive(Debug, Clone)]
pub struct Placement {
    settings: Settings,
    ledger: ledger::Ledger,
}

impl Placement {
    /// Starts knowing no endpoint. It leads only after [`Event::OrdersRestored`].
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            ledger: ledger::Ledger::default(),
        }
    }

    /// Takes in one event and says what follows.
    pub fn step(&mut self, _now: time::Instant, _event: Event) -> Vec<Action> {
        Vec::new()
    }

    /// Each model on offer: its holders, what is under way and its demand.
    #[must_use]
    pub fn models(&self) -> Vec<messages::ModelStatus> {
        self.settings
            .models
            .iter()
            .map(|model| messages::ModelStatus {
                model: model.clone(),
                holders: Vec::new(),
                moves: Vec::new(),
                demand: 0.0,
            })
            .collect()
    }

    /// The memory of the endpoints.
    #[must_use]
    pub fn ledger(&self) -> &ledger::Ledger {
        &self.ledger
    }
}
