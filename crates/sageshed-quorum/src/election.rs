//! Elections: pre-vote, vote, and the time until which a leader knows that there is no other leader.

use std::collections;

use sageshed_types::time;

use crate::{event, log, message, node, output, restart, state};

impl node::Node {
    /// The instant until which no other leader can be elected, on this node's clock.
    ///
    /// None unless this node leads and has committed an entry of its own term, since before that it does
    /// not know all entries that earlier leaders have committed. Compare it with the clock at the time of
    /// the decision, not at the time of the last event. Until this instant the leader may serve reads from
    /// the applied state and grant leases that end by then, without contacting other nodes.
    #[must_use]
    pub fn has_quorum_until(&self) -> Option<time::Instant> {
        let state::Role::Leader(leader) = &self.state.role else {
            return None;
        };
        if self.state.commit < leader.term_start {
            return None;
        }
        let end = self.quorum_contact()? + self.cfg.election_timeout;
        Some(time::Instant(end.0.saturating_sub(self.cfg.drift_margin.0)))
    }

    /// When the latest round of heartbeats that a majority of voters has answered began.
    fn quorum_contact(&self) -> Option<time::Instant> {
        let membership = self.state.log.membership();
        let answered = |id: &log::NodeId| {
            if *id == self.cfg.id {
                Some(self.timers.now)
            } else {
                self.timers.answered.get(id).copied()
            }
        };
        let mut instants: Vec<_> = membership.voters.iter().map(answered).collect();
        instants.sort_unstable_by(|a, b| b.cmp(a));
        instants.get(membership.majority() - 1).copied().flatten()
    }

    /// When this node, as leader, has to step down unless a majority answers a newer round of heartbeats.
    pub(crate) fn quorum_deadline(&self) -> time::Instant {
        let since = self
            .quorum_contact()
            .unwrap_or_default()
            .max(self.timers.led_since);
        since + self.cfg.election_timeout
    }

    pub(crate) fn election_timeout(&mut self, out: &mut output::Output) {
        if self.is_leader() {
            return;
        }
        self.state.leader = None;
        self.state.heard_leader = false;
        self.state.restart = restart::RestartState::Done;
        self.state.role = state::Role::Follower;
        self.restart_election_timer();
        let voter = self.state.log.membership().voters.contains(&self.cfg.id);
        if !voter || self.state.removed {
            return;
        }
        if self.cfg.guards.pre_vote {
            self.request_pre_votes(out);
        } else {
            self.request_votes(out);
        }
    }

    fn request_pre_votes(&mut self, out: &mut output::Output) {
        let granted = collections::BTreeSet::from([self.cfg.id]);
        self.state.role = state::Role::PreCandidate { granted };
        self.broadcast_candidacy(message::Body::PreVote, out);
        self.count_pre_votes(out);
    }

    fn request_votes(&mut self, out: &mut output::Output) {
        let term = self.state.hard.term.next();
        self.state.hard = log::HardState {
            term,
            voted_for: Some(self.cfg.id),
        };
        out.hard_state(self.state.hard);
        let granted = collections::BTreeSet::from([self.cfg.id]);
        self.state.role = state::Role::Candidate { granted };
        self.broadcast_candidacy(message::Body::Vote, out);
        self.count_votes(out);
    }

    fn broadcast_candidacy(
        &self,
        body: fn(message::Candidacy) -> message::Body,
        out: &mut output::Output,
    ) {
        let log = &self.state.log;
        let candidacy = message::Candidacy {
            last: log.last(),
            membership: log.membership_index(),
        };
        for voter in &log.membership().voters {
            if *voter != self.cfg.id {
                self.send(*voter, body(candidacy), out);
            }
        }
    }

    /// Handles a pre-vote request. `term` is the candidate's current term, and it asks about the next one.
    pub(crate) fn on_pre_vote(
        &mut self,
        from: log::NodeId,
        term: log::Term,
        candidacy: message::Candidacy,
        out: &mut output::Output,
    ) {
        let (index, committed) = self.state.log.membership_at(self.state.commit);
        let removed = *index > candidacy.membership && !committed.contains(from);
        let granted = !removed
            && term >= self.state.hard.term
            && !self.is_bound_not_to_vote()
            && self.may_vote_for(candidacy);
        self.send(from, message::Body::PreVoteReply { granted, removed }, out);
    }

    pub(crate) fn on_vote(
        &mut self,
        from: log::NodeId,
        term: log::Term,
        candidacy: message::Candidacy,
        out: &mut output::Output,
    ) {
        // There is no reply, and the candidate's term is not adopted: that would make the leader step
        // down whenever a removed or partitioned node requests votes.
        if self.is_bound_not_to_vote() {
            return;
        }
        if term > self.state.hard.term {
            self.follow(term, None, out);
        }
        if term < self.state.hard.term {
            self.send(from, message::Body::Stale, out);
            return;
        }
        let free = self
            .state
            .hard
            .voted_for
            .is_none_or(|voted_for| voted_for == from);
        let granted = free && self.may_vote_for(candidacy);
        if granted {
            self.state.hard.voted_for = Some(from);
            out.hard_state(self.state.hard);
            self.restart_election_timer();
        }
        self.send(from, message::Body::VoteReply { granted }, out);
    }

    /// Whether a leader relies on this node not to vote: this node leads, or has heard from a leader within
    /// the election timeout.
    fn is_bound_not_to_vote(&self) -> bool {
        let heard = self.state.heard_leader
            && self.timers.now.since(self.timers.leader_heard_at) < self.cfg.election_timeout;
        self.cfg.guards.stickiness && (heard || self.is_leader())
    }

    /// Whether the candidate's log is at least as up to date as this node's, and this node is a voter by
    /// the candidate's log.
    fn may_vote_for(&self, candidacy: message::Candidacy) -> bool {
        let log = &self.state.log;
        let voter = log.membership().voters.contains(&self.cfg.id)
            || candidacy.membership > log.membership_index();
        let up_to_date = candidacy.last >= log.last() || !self.cfg.guards.up_to_date;
        voter && up_to_date
    }

    pub(crate) fn on_pre_vote_reply(
        &mut self,
        from: log::NodeId,
        grants: bool,
        removed: bool,
        out: &mut output::Output,
    ) {
        let state::Role::PreCandidate { granted } = &mut self.state.role else {
            return;
        };
        if removed {
            self.state.removed = true;
            self.state.role = state::Role::Follower;
            return;
        }
        if grants {
            granted.insert(from);
            self.count_pre_votes(out);
        }
    }

    pub(crate) fn on_vote_reply(
        &mut self,
        from: log::NodeId,
        grants: bool,
        out: &mut output::Output,
    ) {
        let state::Role::Candidate { granted } = &mut self.state.role else {
            return;
        };
        if grants {
            granted.insert(from);
            self.count_votes(out);
        } else {
            self.retry_campaign_soon();
        }
    }

    /// Schedules another campaign after a refused vote, which means that other candidates got votes in this
    /// term. If only a bare majority of the group is up, no candidate can win the term, and callers would
    /// wait for a whole election timeout. The next campaign begins with a pre-vote, so that a candidate
    /// that cannot win does not disturb the group.
    fn retry_campaign_soon(&mut self) {
        let extra = time::Millis(self.draw(self.cfg.heartbeat_interval.0.max(1)));
        self.campaign_by(self.timers.now + self.cfg.campaign_delay() + extra);
    }

    fn count_pre_votes(&mut self, out: &mut output::Output) {
        let state::Role::PreCandidate { granted } = &self.state.role else {
            return;
        };
        if self.is_majority(granted) {
            self.request_votes(out);
        }
    }

    fn count_votes(&mut self, out: &mut output::Output) {
        let state::Role::Candidate { granted } = &self.state.role else {
            return;
        };
        if self.is_majority(granted) {
            self.become_leader(out);
        }
    }

    fn is_majority(&self, granted: &collections::BTreeSet<log::NodeId>) -> bool {
        let membership = self.state.log.membership();
        membership.has_majority(|id| granted.contains(&id))
    }

    fn become_leader(&mut self, out: &mut output::Output) {
        let next = self.state.log.last().index.next();
        self.state.role = state::Role::Leader(state::Leader {
            peers: collections::BTreeMap::new(),
            round: 0,
            term_start: next,
            reads: collections::VecDeque::new(),
        });
        self.state.leader = Some(self.cfg.id);
        self.timers.led_since = self.timers.now;
        self.timers.answered.clear();
        out.push(event::Action::BecameLeader {
            term: self.state.hard.term,
        });
        self.append(log::EntryData::Noop, out);
        self.heartbeat_due(out);
        self.commit_by_majority(out);
    }
}
