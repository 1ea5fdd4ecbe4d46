//! What endpoints say of themselves, and the orders they take.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::time;

/// Counts the starts of one endpoint or process; a later start has a greater number.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// Grows with every leader of the control group and every order, so that an endpoint which checks
/// it can refuse what an earlier leader sent late.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Fence(pub u64);

/// Names one order; never used twice.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct OrderId(pub u64);

/// What kind of endpoint it is.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A model engine.
    Engine {
        /// The pool it belongs to.
        pool: String,
        /// Its accelerator memory, in MiB.
        memory_mib: u64,
        /// How many accelerators it runs on.
        accelerators: u32,
    },
    /// An instance of a plain service.
    Service {
        /// The service's name in the path.
        service: String,
    },
}

/// What an endpoint announces when it starts, and repeats with every report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Unique among endpoints.
    pub endpoint: String,
    /// Grows with each start.
    pub incarnation: Incarnation,
    /// `IP:port` on which it takes requests and orders.
    pub address: String,
    /// Where it stands.
    pub availability_zone: String,
    /// What it is.
    pub kind: Kind,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fence: bool,
}

/// A model or adapter that an engine holds, or is loading.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Resident {
    /// Its name.
    pub model: String,
    /// Which version.
    pub version: u32,
    /// How far it is.
    pub phase: Phase,
    /// The memory it takes, in MiB.
    pub memory_mib: u64,
}

/// How far a model is on an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Takes memory, cannot serve yet.
    Loading,
    /// Serves.
    Ready,
    /// Takes memory, serves no new request.
    Unloading,
}

/// What became of an order, by the endpoint's own word.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderResult {
    /// Which order.
    pub order: OrderId,
    /// The outcome.
    pub outcome: OrderOutcome,
}

/// The outcomes of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderOutcome {
    /// Under way.
    Running,
    /// Done; the resident models show it.
    Done,
    /// Refused and not carried out.
    Refused {
        /// The endpoint's words.
        problem: String,
    },
}

/// What an endpoint reports, again and again. Later reports of an incarnation have greater `sequence`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Who.
    pub identity: Identity,
    /// Grows with each report of this incarnation.
    pub sequence: u64,
    /// Age of the figures when the report was sent, in milliseconds.
    pub age_ms: time::Millis,
    /// Requests running.
    pub running: u32,
    /// Requests waiting inside the endpoint.
    pub waiting: u32,
    /// Tokens generated a second over the last few seconds, all requests together.
    pub tokens_per_second: u32,
    /// What it holds.
    pub resident: Vec<Resident>,
    /// The last orders it has seen, newest last; at least the last 32.
    pub orders: Vec<OrderResult>,
    /// It takes no new work from now on and will go.
    pub leaving: bool,
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Order {
    /// Names it; the endpoint carries out one order id at most once.
    pub order: OrderId,
    /// The endpoint meant.
    pub endpoint: String,
    /// The incarnation meant; another one refuses it.
    pub incarnation: Incarnation,
    /// An endpoint that checks it refuses what is lower than the highest it has seen.
    pub fence: Fence,
    /// What to do.
    pub task: Task,
}

/// What an order asks for.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Task {
    /// Loads a model, an adapter or a version.
    Load {
        /// Its name.
        model: String,
        /// Which version.
        version: u32,
        /// The memory it will take, in MiB.
        memory_mib: u64,
        /// For an adapter: the model it sits on.
        base: Option<String>,
    },
    /// Unloads one.
    Unload {
        /// Its name.
        model: String,
        /// Which version.
        version: u32,
    },
    /// Changes the engine's role.
    ChangeRole {
        /// The pool that it belongs to from then on.
        pool: String,
    },
}
