//! Faults that a stand-in shows on demand.

use serde::{Deserialize, Serialize};

/// A prompt with this in it makes each engine crash that runs it.
pub const DEADLY: &str = "ends whoever runs it";

/// What an endpoint does wrong. Written as `{"stall": {"after": 3}}` or `"refuse"`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Nothing; ends an earlier fault.
    #[default]
    None,
    /// An answer stops after so many tokens, and its connection stays open.
    Stall {
        /// How many tokens.
        after: u32,
    },
    /// An answer stops after so many tokens, and its connection is closed.
    Cut {
        /// How many tokens.
        after: u32,
    },
    /// An answer has neither a length nor chunks, and its connection is closed in good order after so many tokens.
    EndsUnframed {
        /// How many tokens.
        after: u32,
    },
    /// An answer begins late.
    Late {
        /// By how much, in milliseconds, not scaled.
        delay_ms: u64,
    },
    /// Requests are turned away, not run, and so many seconds of rest asked for.
    Busy {
        /// How many seconds.
        rest_s: u32,
    },
    /// An answer is that of another request, as when two are swapped.
    Swap,
    /// Connections are refused.
    Refuse,
    /// Connections are taken, and nothing is ever answered on them.
    Silent,
    /// The process dies and starts anew, with empty memory and a greater incarnation.
    Crash,
    /// It says that it leaves.
    Leave,
}

/// Sets a fault: the body of `POST /standin/fault`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Set {
    /// At which endpoint.
    pub endpoint: String,
    /// Which fault.
    pub fault: Fault,
    /// How many requests see it; none: all until another is set.
    #[serde(default)]
    pub times: Option<u32>,
}
