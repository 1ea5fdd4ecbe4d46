//! Orders to engines, as the ledger keeps them.

use sageshed_types::{arena::ModelKey, endpoints, time};

/// The task of an order, with names replaced by keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Task {
    /// Load a version of a model.
    Load {
        /// The model or adapter.
        model: ModelKey,
        /// The version of the weights.
        version: u32,
        /// The memory that it will use, in MiB.
        memory_mib: u64,
    },
    /// Unload a version of a model.
    Unload {
        /// The model or adapter.
        model: ModelKey,
        /// The version of the weights.
        version: u32,
    },
    /// Change the engine's pool.
    ChangeRole,
}

impl Task {
    /// The additional memory that the task may use, in MiB. An unload counts as not having freed
    /// anything yet.
    #[must_use]
    pub fn worst_case_mib(self) -> u64 {
        match self {
            Self::Load { memory_mib, .. } => memory_mib,
            Self::Unload { .. } | Self::ChangeRole => 0,
        }
    }

    /// The model that the task loads, if it is a load.
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
    /// Whether a report of the incarnation that it was issued to has shown it.
    pub seen: bool,
    /// How often this process has been instructed to send it.
    pub sends: u32,
    /// Whether a new leader found it in the table. It may have been sent any number of times.
    pub restored: bool,
    /// Whether it was cancelled before any byte was sent, while its removal from the table is not
    /// committed yet. It still counts, since the next leader would find and send it.
    pub cancelled: bool,
    /// When it was last sent, or found in the table.
    pub sent: time::Instant,
    /// The event count of the engine at the commit. Compared with [`Self::settled`] of other orders.
    pub(crate) committed: u64,
    /// The event count of the engine when it was settled, if it is.
    pub(crate) settled: Option<u64>,
}

impl OpenOrder {
    /// Whether its outcome is known.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.settled.is_some()
    }
}
