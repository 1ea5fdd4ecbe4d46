//! Settings of a node, and the guards that only a model checker turns off.

use sageshed_types::time;

use crate::log;

/// Settings of one node. All nodes of a group use the same times.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Config {
    /// This node.
    pub id: log::NodeId,
    /// The least time without a leader's message after which an election starts, in milliseconds.
    /// Each wait is drawn from this up to twice this. A leader that has heard no majority for this
    /// long steps down, and a node that has heard its leader within it grants no vote.
    pub election_timeout: time::Millis,
    /// The time between a leader's heartbeats, in milliseconds.
    pub heartbeat_interval: time::Millis,
    /// How far two clocks may drift apart within one election timeout, in milliseconds. Taken off
    /// the end of a leader's lease.
    pub drift_margin: time::Millis,
    /// The most bytes of commands in one message, unless a single entry is larger.
    pub max_batch_bytes: usize,
    /// The most append messages under way to one peer.
    pub max_in_flight: u32,
    /// The most entries that a leader holds uncommitted; further proposals are refused.
    pub max_uncommitted: u64,
    /// How many entries a learner may lack and still be promoted.
    pub max_promotion_lag: u64,
    /// Heartbeats without an answer to an append after which it is sent again.
    pub append_retry_heartbeats: u32,
    /// Bytes under way to a peer for which one more heartbeat is waited, of an append or a snapshot.
    pub bytes_per_heartbeat: usize,
    /// Heartbeats without an answer to a snapshot after which it is sent again. Larger, since the
    /// receiver writes and syncs the whole of it before it answers.
    pub snapshot_retry_heartbeats: u32,
    /// Whether a node that starts again asks its last leader whether its promise still binds it, in
    /// place of waiting for an election timeout. Off where a leader grants leases to others, as they
    /// may outlive its process.
    pub restart_check_enabled: bool,
    /// See [`Guards`]. Products leave the default.
    pub guards: Guards,
}

impl Config {
    /// The settings for VMs a millisecond or two apart that sync a write within 100 ms.
    #[must_use]
    pub fn new(id: log::NodeId) -> Self {
        Self {
            id,
            election_timeout: time::Millis(1000),
            heartbeat_interval: time::Millis(100),
            drift_margin: time::Millis(100),
            max_batch_bytes: 256 * 1024,
            max_in_flight: 4,
            max_uncommitted: 10_000,
            max_promotion_lag: 64,
            append_retry_heartbeats: 2,
            bytes_per_heartbeat: 32 * 1024,
            snapshot_retry_heartbeats: 20,
            restart_check_enabled: false,
            guards: Guards::default(),
        }
    }

    /// How long after a majority has asked the former leader it stands for election: its answers have
    /// arrived by then. Also the time between two such questions. A quarter of the time between
    /// heartbeats, which is several times the way between VMs.
    pub(crate) fn start_delay(&self) -> time::Millis {
        time::Millis((self.heartbeat_interval.0 / 4).max(1))
    }
}

/// What keeps the log safe, each of which can be taken away to see that it is needed.
///
/// All are on by default. Only the model checker and tests turn one off; the product never sets
/// this.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is one independent switch of a checker"
)]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Guards {
    /// A node is named by VM and disk generation. Off: a node without a place in the membership
    /// takes that of the same VM, so an emptied disk goes on voting under its old name.
    pub generation: bool,
    /// An election begins with a round that asks whether it could be won.
    pub pre_vote: bool,
    /// A leader that has not heard a majority for an election timeout steps down.
    pub check_quorum: bool,
    /// A node that has heard its leader within the election timeout grants no vote.
    pub stickiness: bool,
    /// Votes go only to candidates whose log holds all that the voter's does.
    pub up_to_date: bool,
    /// Acknowledgements are counted only for entries of the leader's own term.
    pub own_term_commit: bool,
    /// A membership change waits until the one before is committed.
    pub single_change: bool,
    /// A membership change waits until the leader has committed an entry of its own term.
    pub own_term_change: bool,
    /// Only a learner that has caught up is promoted.
    pub caught_up: bool,
    /// A read waits until a majority has answered a heartbeat sent after it arrived.
    pub read_round: bool,
    /// What is to be on disk is synced before any message that depends on it.
    pub sync: bool,
    /// A node that starts again is released from its promise only by the leader that it gave it to.
    pub restart_check: bool,
}

impl Default for Guards {
    fn default() -> Self {
        Self {
            generation: true,
            pre_vote: true,
            check_quorum: true,
            stickiness: true,
            up_to_date: true,
            own_term_commit: true,
            single_change: true,
            own_term_change: true,
            caught_up: true,
            read_round: true,
            sync: true,
            restart_check: true,
        }
    }
}
