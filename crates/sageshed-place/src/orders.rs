//! Orders as the ledger keeps them.

use sageshed_types::{arena::ModelKey, endpoints, time};

/// An order's task with the names turned into keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Task {
    /// Load a model.
    Load {
        /// Which.
        model: ModelKey,
        /// Which version.
        version: u32,
        /// Memory that it will take, in MiB.
        memory_mib: u64,
    },
    /// Unload one.
    Unload {
        /// Which.
        model: ModelKey,
        /// Which version.
        version: u32,
    },
    /// Change the engine's pool.
    ChangeRole,
}

impl Task {
    /// The memory that it may take, in MiB. An unload has not freed anything yet.
    #[must_use]
    pub fn worst_case_mib(self) -> u64 {
        match self {
            Self::Load { memory_mib, .. } => memory_mib,
            Self::Unload { .. } | Self::ChangeRole => 0,
        }
    }

    /// The model that it loads.
    #[must_use]
    pub fn loaded(self) -> Option<ModelKey> {
        match self {
            Self::Load { model, .. } => Some(model),
            Self::Unload { .. } | Self::ChangeRole => None,
        }
    }
}

/// An order in the replicated table.
#[derive(Debug, Clone)]
pub struct OpenOrder {
    /// The order.
    pub order: endpoints::Order,
    /// Its task.
    pub task: Task,
    /// A report of the incarnation meant has shown it.
    pub seen: bool,
    /// How often this process was told to send it.
    pub sends: u32,
    /// Found in the table by a new leader: it may have been sent any number of times.
    pub restored: bool,
    /// Taken back before a byte of it left, and its removal from the table not committed yet. It
    /// counts as if it were under way, since the next leader would find and send it.
    pub cancelled: bool,
    /// When it was last sent, or found.
    pub sent: time::Instant,
    /// Position of the commit in this leader's count.
    pub(crate) committed: u64,
    /// Position of the settlement, once it is settled.
    pub(crate) settled: Option<u64>,
}

impl OpenOrder {
    /// Whether its fate is known.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.settled.is_some()
    }
}
