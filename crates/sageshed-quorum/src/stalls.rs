//! Members that lack entries of the leader and acknowledge none.
//!
//! Such a member may answer heartbeats all the time. It counts as a voter then, but commits nothing, so the group
//! tolerates one loss less than its membership shows.

use std::collections;

use sageshed_types::time;

use crate::{log, node, state};

/// How far the leader has replicated its log to another member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Progress {
    /// The member.
    pub id: log::NodeId,
    /// The last entry known to be on its disk.
    pub matched: log::Index,
    /// The number of entries that it lacks.
    pub lag: u64,
    /// The number of these that were sent to it.
    pub sent: u64,
    /// The number of appends in flight, as counted by the replies.
    pub in_flight: u32,
    /// When the latest round of heartbeats that it has answered began.
    pub answered: Option<time::Instant>,
}

impl node::Node {
    /// How far this node, if it leads, has replicated its log to each other member.
    pub fn progress(&self) -> impl Iterator<Item = Progress> {
        let peers = match &self.state.role {
            state::Role::Leader(leader) => Some(&leader.peers),
            _ => None,
        };
        let last = self.state.log.last().index;
        peers.into_iter().flatten().map(move |(id, peer)| Progress {
            id: *id,
            matched: peer.matched,
            lag: last.0.saturating_sub(peer.matched.0),
            sent: peer.next.previous().0.saturating_sub(peer.matched.0),
            in_flight: peer.in_flight,
            answered: self.timers.answered.get(id).copied(),
        })
    }
}

/// What is to be reported of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Report {
    /// It lacks entries and has acknowledged none for this long.
    Stalled(Progress, time::Millis),
    /// It acknowledges entries again after it had stalled for this long.
    Resumed(log::NodeId, time::Millis),
}

#[derive(Debug, Clone, Copy)]
struct Stall {
    matched: log::Index,
    since: time::Instant,
    is_reported: bool,
}

/// For how long members of a leader's group have lacked entries without acknowledging any.
#[derive(Debug, Clone, Default)]
pub struct Stalls {
    members: collections::BTreeMap<log::NodeId, Stall>,
}

impl Stalls {
    /// Takes in the progress of all other members, and returns what is to be reported of them: each stall of at least
    /// `timeout` once, and its end.
    pub fn update(
        &mut self,
        now: time::Instant,
        timeout: time::Millis,
        members: impl IntoIterator<Item = Progress>,
    ) -> Vec<Report> {
        let mut reports = Vec::new();
        let mut stalls = collections::BTreeMap::new();
        for it in members {
            let before = self.members.remove(&it.id);
            let has_advanced = before.is_some_and(|stall| it.matched > stall.matched);
            if let Some(stall) = before.filter(|stall| stall.is_reported)
                && (it.lag == 0 || has_advanced)
            {
                reports.push(Report::Resumed(it.id, now.since(stall.since)));
            }
            if it.lag == 0 {
                continue;
            }
            let mut stall = before.filter(|_| !has_advanced).unwrap_or(Stall {
                matched: it.matched,
                since: now,
                is_reported: false,
            });
            let span = now.since(stall.since);
            if span >= timeout && !stall.is_reported {
                stall.is_reported = true;
                reports.push(Report::Stalled(it, span));
            }
            stalls.insert(it.id, stall);
        }
        self.members = stalls;
        reports
    }

    /// Since when each member that lacks entries has acknowledged none.
    pub fn since(&self) -> impl Iterator<Item = (log::NodeId, time::Instant)> {
        self.members.iter().map(|(id, stall)| (*id, stall.since))
    }
}
