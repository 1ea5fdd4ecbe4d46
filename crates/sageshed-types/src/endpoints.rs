//! Registration and reports of endpoints, and orders to engines.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::time;

/// Identifies one start of an endpoint or process. A later start has a greater number.
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

/// A fencing token: increases with every new leader of the control group and every order, so that an
/// endpoint that checks it can refuse delayed orders of an earlier leader.
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

/// Identifies one order. Ids are never reused.
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

/// The kind of an endpoint, with the properties specific to it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A model engine.
    Engine {
        /// The pool that the engine belongs to.
        pool: String,
        /// Its accelerator memory, in MiB.
        memory_mib: u64,
        /// The number of accelerators it uses.
        accelerators: u32,
    },
    /// An instance of a plain service.
    Service {
        /// The service's name in request paths.
        service: String,
    },
}

/// The static properties of an endpoint, announced when it starts and repeated in every report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The endpoint's name, unique among endpoints.
    pub endpoint: String,
    /// The endpoint's current incarnation.
    pub incarnation: Incarnation,
    /// `IP:port` on which it accepts requests and orders.
    pub address: String,
    /// The availability zone in which it runs.
    pub availability_zone: String,
    /// The kind of endpoint.
    pub kind: Kind,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it refuses orders with an outdated fencing token.
    pub checks_fence: bool,
}

/// A model or adapter that an engine holds, is loading or is unloading.
///
/// The name stays, since serde prints it in decode errors that endpoints receive.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Resident {
    /// The name of the model or adapter.
    pub model: String,
    /// Its version.
    pub version: u32,
    /// Whether it can serve.
    pub phase: Phase,
    /// The memory it occupies, in MiB.
    pub memory_mib: u64,
}

/// The state of a model on an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Occupies memory and cannot serve yet.
    Loading,
    /// Serves requests.
    Ready,
    /// Still occupies memory and accepts no new requests.
    Unloading,
}

/// The outcome of an order, as reported by the endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderResult {
    /// The order's id.
    pub order: OrderId,
    /// Its outcome.
    pub outcome: OrderOutcome,
}

/// The progress or final outcome of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderOutcome {
    /// In progress.
    Running,
    /// Completed. The list of resident models reflects it.
    Done,
    /// Refused and not executed.
    Refused {
        /// The endpoint's explanation.
        problem: String,
    },
}

/// The periodic report of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The endpoint's static properties.
    pub identity: Identity,
    /// Increases with each report of an incarnation.
    pub sequence: u64,
    /// Age of the measurements when the report was sent, in milliseconds.
    pub age_ms: time::Millis,
    /// The number of running requests.
    pub running: u32,
    /// The number of requests queued inside the endpoint.
    pub waiting: u32,
    /// Tokens generated per second over the last few seconds, summed over all requests.
    pub tokens_per_second: u32,
    /// The models and adapters in its memory.
    pub resident: Vec<Resident>,
    /// The orders it received most recently, newest last. At least the last 32.
    pub orders: Vec<OrderResult>,
    /// Whether the endpoint accepts no new requests and is about to shut down.
    pub leaving: bool,
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Order {
    /// The order's id. The endpoint executes an order id at most once.
    pub order: OrderId,
    /// The endpoint it is addressed to.
    pub endpoint: String,
    /// The incarnation it is addressed to. Any other incarnation refuses the order.
    pub incarnation: Incarnation,
    /// An endpoint that checks fencing tokens refuses an order whose token is lower than the highest it
    /// has seen.
    pub fence: Fence,
    /// What the endpoint is to do.
    pub task: Task,
}

/// The operation that an order requests.
///
/// The name stays, since serde prints it in decode errors that endpoints receive.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Task {
    /// Loads a version of a model or adapter.
    Load {
        /// The name of the model or adapter.
        model: String,
        /// The version to load.
        version: u32,
        /// The memory it will occupy, in MiB.
        memory_mib: u64,
        /// For an adapter: its base model.
        base: Option<String>,
    },
    /// Unloads a version of a model or adapter.
    Unload {
        /// The name of the model or adapter.
        model: String,
        /// The version to unload.
        version: u32,
    },
    /// Moves the engine to another pool.
    ChangeRole {
        /// The pool that the engine belongs to afterwards.
        pool: String,
    },
}
