//! Proposals and membership changes.

use crate::{event, log, node, output, state};

impl node::Node {
    pub(crate) fn propose(
        &mut self,
        correlation_id: u64,
        payload: Vec<u8>,
        out: &mut output::Output,
    ) {
        if !self.is_leader() {
            return self.reject(correlation_id, event::Reason::NotLeader, out);
        }
        let uncommitted = self.state.log.last().index.0 - self.state.commit.0;
        if uncommitted >= self.cfg.max_uncommitted {
            return self.reject(correlation_id, event::Reason::Overloaded, out);
        }
        self.append_request(correlation_id, log::EntryData::Command(payload), out);
    }

    pub(crate) fn change(
        &mut self,
        correlation_id: u64,
        change: event::Change,
        out: &mut output::Output,
    ) {
        match self.membership_after(change) {
            Ok(membership) => {
                self.append_request(correlation_id, log::EntryData::Membership(membership), out);
            }
            Err(reason) => self.reject(correlation_id, reason, out),
        }
    }

    pub(crate) fn reject(
        &self,
        correlation_id: u64,
        reason: event::Reason,
        out: &mut output::Output,
    ) {
        out.push(event::Action::Rejected {
            correlation_id,
            leader: self.state.leader,
            reason,
        });
    }

    fn append_request(
        &mut self,
        correlation_id: u64,
        data: log::EntryData,
        out: &mut output::Output,
    ) {
        let index = self.append(data, out);
        out.push(event::Action::Proposed {
            correlation_id,
            index,
            term: self.state.hard.term,
        });
        self.commit_by_majority(out);
    }

    /// The membership after `change`, or why it cannot be made now.
    fn membership_after(&self, change: event::Change) -> Result<log::Membership, event::Reason> {
        let state::Role::Leader(leader) = &self.state.role else {
            return Err(event::Reason::NotLeader);
        };
        // If two leaders each append an uncommitted change to the membership that they know, the
        // resulting majorities may be disjoint. Once an entry of this term is committed, an earlier
        // leader's change can no longer be committed.
        if self.cfg.guards.own_term_change && self.state.commit < leader.term_start {
            return Err(event::Reason::NotReady);
        }
        let pending = self.state.log.membership_index() > self.state.commit;
        if self.cfg.guards.single_change && pending {
            return Err(event::Reason::ChangePending);
        }
        let mut membership = self.state.log.membership().clone();
        match change {
            event::Change::AddLearner(id) if membership.contains(id) => {
                return Err(event::Reason::AlreadyMember);
            }
            event::Change::AddLearner(id) => {
                membership.learners.insert(id);
            }
            event::Change::Promote(id) => {
                self.check_promotion(leader, id)?;
                membership.learners.remove(&id);
                membership.voters.insert(id);
            }
            event::Change::Remove(id) => {
                let voter = membership.voters.remove(&id);
                if voter && membership.voters.is_empty() {
                    return Err(event::Reason::LastVoter);
                }
                if !voter && !membership.learners.remove(&id) {
                    return Err(event::Reason::NotMember);
                }
            }
        }
        Ok(membership)
    }

    /// Checks that the node to promote is a learner that has caught up. Otherwise, whenever another voter
    /// is missing, each commit would have to wait until the new voter has received most of the log.
    fn check_promotion(
        &self,
        leader: &state::Leader,
        id: log::NodeId,
    ) -> Result<(), event::Reason> {
        let membership = self.state.log.membership();
        if !membership.learners.contains(&id) {
            let voter = membership.voters.contains(&id);
            return Err(if voter {
                event::Reason::NotLearner
            } else {
                event::Reason::NotMember
            });
        }
        let matched = leader
            .peers
            .get(&id)
            .map(|peer| peer.matched)
            .unwrap_or_default();
        let lag = self.state.log.last().index.0 - matched.0;
        // A learner that has not acknowledged anything has not caught up, however short the log is.
        let caught_up = matched.0 > 0 && lag <= self.cfg.max_promotion_lag;
        if self.cfg.guards.caught_up && !caught_up {
            return Err(event::Reason::NotCaughtUp);
        }
        Ok(())
    }
}
