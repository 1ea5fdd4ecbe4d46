//! Settings of a node, and the safety guards that only a model checker or a test turns off.

use sageshed_types::time;

use crate::log;

/// Settings of one node. All nodes of a group must use the same times.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Config {
    /// The id of this node.
    pub id: log::NodeId,
    /// The minimum election timeout in milliseconds: an election starts when no message of a leader has
    /// arrived for a random time from this up to twice this value. A leader without contact to a majority
    /// for this long steps down, and a node that has heard from its leader within this time grants no
    /// vote.
    pub election_timeout: time::Millis,
    /// The time between a leader's heartbeats, in milliseconds.
    pub heartbeat_interval: time::Millis,
    /// The maximum drift between two clocks within one election timeout, in milliseconds. A leader's
    /// lease is shortened by it.
    pub drift_margin: time::Millis,
    /// The maximum size of the commands in one message, in bytes, unless a single entry is larger.
    pub max_batch_bytes: usize,
    /// The maximum number of unacknowledged append messages to one peer.
    pub max_in_flight: u32,
    /// The maximum number of uncommitted entries of a leader. Further proposals are refused.
    pub max_uncommitted: u64,
    /// The maximum number of entries that a learner may lack when it is promoted.
    pub max_promotion_lag: u64,
    /// The number of heartbeats without an acknowledgement after which an append is sent again.
    pub append_retry_heartbeats: u32,
    /// The number of unacknowledged bytes of an append or a snapshot for which the retry is delayed by one
    /// more heartbeat.
    pub bytes_per_heartbeat: usize,
    /// The number of heartbeats without an acknowledgement after which a snapshot is sent again. Larger
    /// than for appends, since the receiver writes and syncs the whole snapshot before it replies.
    pub snapshot_retry_heartbeats: u32,
    /// Whether a node asks its last leader after a restart whether its promise not to vote still holds,
    /// instead of waiting for an election timeout. Must be off where a leader grants leases to others,
    /// since these may outlive its process.
    pub restart_check_enabled: bool,
    /// The safety guards. In production all are on.
    pub guards: Guards,
}

impl Config {
    /// Settings for VMs with a latency of 1 to 2 ms between them that sync a write within 100 ms.
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

    /// How long the former leader waits before it campaigns after a majority has sent it leader checks, so
    /// that its replies arrive first. Also the time between two leader checks. A quarter of the heartbeat
    /// interval, which is several times the latency between VMs.
    pub(crate) fn campaign_delay(&self) -> time::Millis {
        time::Millis((self.heartbeat_interval.0 / 4).max(1))
    }
}

/// The mechanisms that keep the log safe. Each can be turned off to show that it is needed.
///
/// All are on by default. Only the model checker and tests turn one off.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is one independent switch of a checker"
)]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Guards {
    /// A node is identified by its VM and disk generation. If off, a node that is not in the membership
    /// takes the id of the member on the same VM, so that an emptied disk continues to vote under its old
    /// id.
    pub generation: bool,
    /// An election begins with a pre-vote, which asks whether the election could be won.
    pub pre_vote: bool,
    /// A leader without contact to a majority for an election timeout steps down.
    pub check_quorum: bool,
    /// A node that has heard from its leader within the election timeout grants no vote.
    pub stickiness: bool,
    /// Votes are granted only to candidates whose log is at least as up to date as the voter's.
    pub up_to_date: bool,
    /// Acknowledgements are counted only for entries of the leader's own term.
    pub own_term_commit: bool,
    /// A membership change is refused until the previous one is committed.
    pub single_change: bool,
    /// A membership change is refused until the leader has committed an entry of its own term.
    pub own_term_change: bool,
    /// Only a learner that has caught up is promoted.
    pub caught_up: bool,
    /// A read waits until a majority has answered a heartbeat sent after the read arrived.
    pub read_round: bool,
    /// Writes are synced before any message that depends on them is sent.
    pub sync: bool,
    /// After a restart, only the leader to which a node promised not to vote can release it from that.
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
