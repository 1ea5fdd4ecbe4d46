//! A voter that starts again: whether its last leader may still count on it.
//!
//! A voter that answered a heartbeat has promised to grant no vote for an election timeout, and the
//! leader's lease rests on that. After a restart the voter can't know how long ago it answered, so it
//! keeps the promise for a whole timeout. When all processes of a group stop together that is time
//! without a leader for nothing: the leader to whom the promises were made has stopped as well.
//!
//! So the voter asks, and the group leads after 39 ms in place of 720 (five processes up within 2 ms of
//! each other, a heartbeat of 100 ms and a timeout of 700, simulated VMs). Its disk names the one leader that may count on it, the leader of its term:
//! [`Node::follow`](crate::node::Node) records it before anything is answered, and a leader of an
//! earlier term had lost its lease when that one was elected. If this leader says that it does not
//! lead, or its VM runs another disk generation, the promise binds nobody any more. A question
//! carries a number drawn at the start, so an answer to an earlier start of the voter, which may be
//! older than the promise, does not count. A leader that can't be reached may live behind a cut, and
//! the voter waits as before.
//!
//! The former leader hears these questions. Once a majority has asked it stands for election after
//! `Config::start_delay`, by which time its answers have arrived; the others leave it that start.
//!
//! This holds only while nothing that a leader has granted outlives its process, see
//! [`restart_check_enabled`](crate::config::Config::restart_check_enabled).

use std::collections;

use sageshed_types::time;

use crate::{log, message, node, output};

/// What a node knows of the term in which it was stopped.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) enum Start {
    /// Nothing that matters now.
    Over,
    /// It led that term, or stood for election in it. Those that have asked since.
    Led {
        asked_by: collections::BTreeSet<log::NodeId>,
    },
    /// It may have promised `leader` not to vote. Its questions carry `number`.
    Promised { leader: log::NodeId, number: u64 },
}

impl node::Node {
    /// Finds out from what the disk holds whether a leader may count on this node.
    pub(crate) fn recall_start(&mut self) {
        if !self.cfg.restart_check_enabled {
            return;
        }
        let Some(leader) = self.state.hard.voted_for else {
            return;
        };
        if leader == self.cfg.id {
            // Whatever it promised was to itself.
            self.state.heard_leader = false;
            let asked_by = collections::BTreeSet::from([leader]);
            self.state.start = Start::Led { asked_by };
            return;
        }
        let number = self.draw(u64::MAX);
        self.state.start = Start::Promised { leader, number };
        if !self.cfg.guards.restart_check {
            self.release();
        }
    }

    /// When the last leader is asked next; none where there is nothing to ask.
    pub(crate) fn check_due(&self) -> Option<time::Instant> {
        let asks = matches!(self.state.start, Start::Promised { .. });
        self.timers.check_due.filter(|_| asks)
    }

    /// Asks the last leader, if that is due.
    pub(crate) fn check_leader(&mut self, out: &mut output::Output) {
        let now = self.timers.now;
        let Start::Promised { leader, number } = self.state.start else {
            return;
        };
        if self.timers.check_due.is_some_and(|due| now >= due) {
            self.timers.check_due = Some(now + self.cfg.start_delay());
            self.send(leader, message::Body::LeaderCheck { number }, out);
        }
    }

    /// Answers a voter that started again. The question may be meant for an earlier disk generation
    /// of this VM, whose process is gone.
    pub(crate) fn on_leader_check(
        &mut self,
        from: log::NodeId,
        to: log::NodeId,
        number: u64,
        out: &mut output::Output,
    ) {
        let leads = to == self.cfg.id && self.is_leader();
        self.send(from, message::Body::LeaderCheckReply { number, leads }, out);
        let membership = self.state.log.membership();
        if let Start::Led { asked_by } = &mut self.state.start {
            asked_by.insert(from);
            if membership.has_majority(|id| asked_by.contains(&id)) {
                self.state.start = Start::Over;
                self.stand_at(self.timers.now + self.cfg.start_delay());
            }
        }
    }

    pub(crate) fn on_leader_check_reply(&mut self, from: log::NodeId, number: u64, leads: bool) {
        let Start::Promised {
            leader,
            number: own,
        } = self.state.start
        else {
            return;
        };
        if from.vm == leader.vm && number == own && !leads {
            self.release();
        }
    }

    /// Nobody counts on this node any more. The former leader is given a start before it stands.
    fn release(&mut self) {
        self.state.start = Start::Over;
        self.state.heard_leader = false;
        let interval = self.cfg.heartbeat_interval.0.max(2);
        let extra = time::Millis(self.draw(interval));
        self.stand_at(self.timers.now + time::Millis(interval / 2) + extra);
    }

    /// Stands for election at `due` if no leader turns up before.
    pub(crate) fn stand_at(&mut self, due: time::Instant) {
        let before = self.timers.election_due.unwrap_or(due);
        self.timers.election_due = Some(before.min(due));
    }
}
