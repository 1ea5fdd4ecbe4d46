//! The node: a member of the replicated log.
//!
//! [`Node`] implements a variant of Raft (Ongaro and Ousterhout, 2014) as a pure state machine. It has
//! no clock, no threads and no I/O. The driver passes in events, each with the current instant, and
//! carries out the returned actions in order.
//!
//! # Elections
//!
//! A voter whose randomized election timer expires first asks whether it would be elected (pre-vote),
//! which does not change the state of other nodes. Only if a majority agrees, it increases its term and
//! requests votes. A node that has heard from its leader within the election timeout grants neither
//! pre-votes nor votes. So a node that was partitioned, or removed without learning of it, does not
//! disturb the group.
//!
//! After a restart a node does not know when it last heard from its leader. It behaves for one timeout
//! as if it had just heard from it, or until the leader replies that it no longer leads (see the module
//! `restart`).
//!
//! # Leases
//!
//! Each heartbeat carries the instant at which its round began, on the leader's clock, and the reply
//! returns it. A voter that replies has heard from the leader at that instant or later, and grants no
//! vote for an election timeout after that. So no other leader can be elected until the start of the
//! latest round that a majority has answered, plus the election timeout, minus the maximum clock drift:
//! [`Node::has_quorum_until`]. If an election timeout has passed since the start of that round, the
//! leader steps down before it handles any later event.
//!
//! # Membership
//!
//! The membership changes by one node at a time, and a change takes effect as soon as it is appended.
//! Any two majorities of successive memberships then share a voter. See [`event::Change`].
//!
//! A voter is identified by its VM and disk generation ([`log::NodeId`]). Messages contain both, and
//! those to or from another generation of the same VM are ignored, except for leader checks.
//!
//! A node that is not a voter in its own log grants no vote, unless the candidate's log contains a later
//! membership, since the candidate asks only the voters of that membership. Without this exception an
//! election could fail for lack of the vote of a learner whose promotion is committed but has not
//! reached it yet.
//!
//! A leader that removes itself leads until its removal is committed, and does not count itself.

use std::{collections, mem, sync::Arc};

use sageshed_types::time;

use crate::{config, entries, event, log, message, output, restart, rng, state};

/// A member of the group, or a node that waits to be added.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Node {
    pub(crate) cfg: config::Config,
    pub(crate) state: state::State,
    pub(crate) timers: Timers,
    rng: rng::SplitMix64,
}

/// The timers of a node, on its own clock.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(crate) struct Timers {
    pub(crate) now: time::Instant,
    /// When the election timer expires. None before the first event.
    pub(crate) election_due: Option<time::Instant>,
    /// When the next leader check is sent to the last leader.
    pub(crate) check_due: Option<time::Instant>,
    /// When the last message of a leader arrived.
    pub(crate) leader_heard_at: time::Instant,
    pub(crate) heartbeat_due: time::Instant,
    /// When this node became leader.
    pub(crate) led_since: time::Instant,
    /// When the latest round of heartbeats answered by each peer began.
    pub(crate) answered: collections::BTreeMap<log::NodeId, time::Instant>,
}

impl Node {
    /// A node with its persistent state. Its timeouts are chosen by a generator seeded with `seed` and its
    /// id.
    ///
    /// The state machine starts from the snapshot in `restored`. The entries after it are returned as
    /// [`event::Action::Apply`] once they are known to be committed.
    ///
    /// # Panics
    ///
    /// Panics if the restored entries have a gap. Such a log must be treated as a lost disk, since the
    /// missing entries may have been acknowledged.
    #[must_use]
    pub fn new(mut cfg: config::Config, restored: log::PersistedState, seed: u64) -> Self {
        let hard = restored.hard_state;
        let (log, snapshot) = entries::Entries::new(restored);
        if !cfg.guards.generation && !log.membership().contains(cfg.id) {
            let same_vm = log.membership().members().find(|id| id.vm == cfg.id.vm);
            cfg.id = same_vm.unwrap_or(cfg.id);
        }
        let state = state::State {
            commit: log.base().index,
            log,
            snapshot: snapshot.map(Arc::new),
            role: state::Role::Follower,
            leader: None,
            heard_leader: hard.term > log::Term::default(),
            restart: restart::RestartState::Done,
            removed: false,
            hard,
        };
        Self {
            state,
            timers: Timers::default(),
            rng: rng::SplitMix64::of_node(cfg.id, seed),
            cfg,
        }
    }

    /// A random number below `bound`, which must not be zero.
    pub(crate) fn draw(&mut self, bound: u64) -> u64 {
        self.rng.below(bound)
    }

    /// Handles one event at the instant `now`, which must not be earlier than in previous calls.
    pub fn step(&mut self, now: time::Instant, event: event::Event) -> Vec<event::Action> {
        self.step_all(now, [event])
    }

    /// Handles a batch of events with one write for all of them (group commit).
    pub fn step_all(
        &mut self,
        now: time::Instant,
        events: impl IntoIterator<Item = event::Event>,
    ) -> Vec<event::Action> {
        let mut out = output::Output::default();
        self.advance_clock(now, &mut out);
        for event in events {
            self.handle(event, &mut out);
        }
        self.confirm_reads(&mut out);
        self.replicate(&mut out);
        out.finish(self.cfg.guards.sync)
    }

    /// The state by which a model checker compares nodes.
    #[must_use]
    pub fn state(&self) -> &state::State {
        &self.state
    }

    /// The id of this node.
    #[must_use]
    pub fn id(&self) -> log::NodeId {
        self.cfg.id
    }

    /// When [`event::Event::Tick`] is due. None before the first event, when a tick is due at once.
    #[must_use]
    pub fn next_deadline(&self) -> Option<time::Instant> {
        match &self.state.role {
            state::Role::Leader(_) => Some(self.timers.heartbeat_due.min(self.quorum_deadline())),
            _ => match (self.timers.election_due, self.check_due()) {
                (Some(election), Some(check)) => Some(election.min(check)),
                (election, _) => election,
            },
        }
    }

    /// Builds a snapshot of the state machine after the committed entry at `index`, with `data` as its
    /// encoding. None if that entry is not committed or is already covered by a snapshot.
    #[must_use]
    pub fn build_snapshot(&self, index: log::Index, data: Vec<u8>) -> Option<log::Snapshot> {
        let state = &self.state;
        if index <= state.log.base().index || index > state.commit {
            return None;
        }
        let term = state.log.term_at(index)?;
        let membership = state.log.membership_at(index).1.clone();
        Some(log::Snapshot {
            index,
            term,
            membership,
            data,
        })
    }

    /// Advances the node's clock, and steps down if the leader has lost contact to a majority.
    ///
    /// A leader whose process was suspended, or whose heartbeats are not answered, must step down before
    /// it does anything else as leader.
    fn advance_clock(&mut self, now: time::Instant, out: &mut output::Output) {
        self.timers.now = self.timers.now.max(now);
        if self.timers.election_due.is_none() {
            self.timers.leader_heard_at = self.timers.now;
            self.timers.check_due = Some(self.timers.now + time::Millis(1));
            self.restart_election_timer();
            self.init_restart_check();
        }
        if self.is_leader() && self.timers.now >= self.quorum_deadline() {
            self.lose_quorum(out);
        }
    }

    fn handle(&mut self, event: event::Event, out: &mut output::Output) {
        match event {
            event::Event::Tick => self.tick(out),
            event::Event::ElectionTimeout => self.election_timeout(out),
            event::Event::HeartbeatDue => self.heartbeat_due(out),
            event::Event::QuorumLost => self.lose_quorum(out),
            event::Event::Message { from, message } => self.receive(from, message, out),
            event::Event::Propose {
                correlation_id,
                payload,
            } => self.propose(correlation_id, payload, out),
            event::Event::ChangeMembership {
                correlation_id,
                change,
            } => self.change(correlation_id, change, out),
            event::Event::ReadIndex { correlation_id } => self.read_index(correlation_id, out),
            event::Event::Compact { snapshot } => self.compact(snapshot, out),
        }
    }

    fn tick(&mut self, out: &mut output::Output) {
        let now = self.timers.now;
        if self.is_leader() {
            if now >= self.timers.heartbeat_due {
                self.heartbeat_due(out);
            }
            return;
        }
        self.send_leader_check_if_due(out);
        if self.timers.election_due.is_some_and(|due| now >= due) {
            self.election_timeout(out);
        }
    }

    fn receive(&mut self, from: log::NodeId, message: message::Message, out: &mut output::Output) {
        let message::Message { to, term, body } = message;
        if let message::Body::LeaderCheck { number } = body {
            if to.vm == self.cfg.id.vm {
                self.on_leader_check(from, to, number, out);
            }
            return;
        }
        // A VM that lost its disk still receives messages to its old id. These refer to the content of
        // the lost disk, and a reply would acknowledge that content.
        if to != self.cfg.id {
            return;
        }
        match body {
            message::Body::PreVote(candidacy) => self.on_pre_vote(from, term, candidacy, out),
            message::Body::Vote(candidacy) => self.on_vote(from, term, candidacy, out),
            message::Body::Append { .. }
            | message::Body::Heartbeat { .. }
            | message::Body::Snapshot(_) => self.on_leader_message(from, term, body, out),
            message::Body::LeaderCheckReply { number, leads } => {
                self.on_leader_check_reply(from, number, leads);
            }
            message::Body::LeaderCheck { .. } => {}
            message::Body::PreVoteReply { .. }
            | message::Body::VoteReply { .. }
            | message::Body::Accepted { .. }
            | message::Body::Rejected { .. }
            | message::Body::HeartbeatReply { .. }
            | message::Body::Stale => self.on_reply(from, term, &body, out),
        }
    }

    fn on_leader_message(
        &mut self,
        from: log::NodeId,
        term: log::Term,
        body: message::Body,
        out: &mut output::Output,
    ) {
        if term < self.state.hard.term {
            self.send(from, message::Body::Stale, out);
            return;
        }
        if term == self.state.hard.term && self.is_leader() {
            return;
        }
        self.follow(term, Some(from), out);
        self.record_leader_contact();
        match body {
            message::Body::Append {
                prev,
                entries,
                commit,
            } => {
                self.on_append(from, prev, entries, commit, out);
            }
            message::Body::Heartbeat { round, commit } => {
                self.advance_commit(commit, out);
                self.send(from, message::Body::HeartbeatReply { round }, out);
            }
            message::Body::Snapshot(snapshot) => self.on_snapshot(from, snapshot, out),
            _ => {}
        }
    }

    fn on_reply(
        &mut self,
        from: log::NodeId,
        term: log::Term,
        body: &message::Body,
        out: &mut output::Output,
    ) {
        // Nodes outside the membership do not count, and cannot make a leader step down.
        if !self.state.log.membership().contains(from) {
            return;
        }
        if term > self.state.hard.term {
            self.follow(term, None, out);
            return;
        }
        match *body {
            message::Body::PreVoteReply { granted, removed } => {
                self.on_pre_vote_reply(from, granted, removed, out);
            }
            _ if term < self.state.hard.term => {}
            message::Body::VoteReply { granted } => self.on_vote_reply(from, granted, out),
            message::Body::Accepted { matched } => self.on_accepted(from, matched, out),
            message::Body::Rejected { prev, hint } => self.on_rejected(from, prev, hint),
            message::Body::HeartbeatReply { round } => self.on_heartbeat_reply(from, round, out),
            _ => {}
        }
    }

    pub(crate) fn is_leader(&self) -> bool {
        matches!(self.state.role, state::Role::Leader(_))
    }

    pub(crate) fn send(&self, to: log::NodeId, body: message::Body, out: &mut output::Output) {
        let message = message::Message {
            to,
            term: self.state.hard.term,
            body,
        };
        out.push(event::Action::Send { to, message });
    }

    /// Records a message of a leader, which keeps this node from voting and from campaigning.
    fn record_leader_contact(&mut self) {
        self.state.heard_leader = true;
        self.state.restart = restart::RestartState::Done;
        self.state.removed = false;
        self.timers.leader_heard_at = self.timers.now;
        self.restart_election_timer();
    }

    pub(crate) fn restart_election_timer(&mut self) {
        let least = self.cfg.election_timeout;
        let extra = time::Millis(self.rng.below(least.0.max(1)));
        self.timers.election_due = Some(self.timers.now + least + extra);
    }

    /// Becomes a follower of `leader`, or of an unknown leader, in `term`, which is not before the current
    /// term.
    ///
    /// The leader of the term is recorded in the place of this node's vote, which is not needed any more.
    /// After a restart it identifies the only leader that may rely on this node's promise not to vote.
    pub(crate) fn follow(
        &mut self,
        term: log::Term,
        leader: Option<log::NodeId>,
        out: &mut output::Output,
    ) {
        self.step_down(out);
        self.state.role = state::Role::Follower;
        self.state.leader = leader;
        let is_later = term > self.state.hard.term;
        let is_recorded = leader.is_none() || self.state.hard.voted_for == leader;
        if is_later || !is_recorded {
            self.state.hard = log::HardState {
                term,
                voted_for: leader,
            };
            out.hard_state(self.state.hard);
        }
    }

    /// Steps down if this node leads.
    pub(crate) fn step_down(&mut self, out: &mut output::Output) {
        let role = mem::replace(&mut self.state.role, state::Role::Follower);
        let state::Role::Leader(leader) = role else {
            return;
        };
        self.state.leader = None;
        out.push(event::Action::SteppedDown {
            term: self.state.hard.term,
        });
        for read in leader.reads {
            self.reject(read.correlation_id, event::Reason::NotLeader, out);
        }
        self.restart_election_timer();
    }

    fn lose_quorum(&mut self, out: &mut output::Output) {
        if self.cfg.guards.check_quorum {
            self.step_down(out);
        }
    }
}
