//! The node: takes events, gives actions.
//!
//! [`Node`] is a Raft-shaped replicated log (Ongaro and Ousterhout, 2014) as a pure state machine.
//! It has no clock, no threads and no I/O; the driver hands in events with the instant at which they
//! are handled, and carries out the actions in order.
//!
//! # Elections
//!
//! A voter that hears no leader for its randomized timeout first asks whether it would be elected
//! (pre-vote), which changes nothing at those asked. Only with a majority it raises its term and
//! asks for votes. A node that has heard its leader within the election timeout grants neither.
//! After a restart it can't know when that was, and waits for one timeout as if it had just been,
//! or until that leader tells it that it leads no longer (`restart`).
//! So a node that was cut off, or removed and not told, disturbs nobody.
//!
//! # Leases
//!
//! Each heartbeat carries the instant at which its round began, on the leader's clock, and the
//! answer brings it back. A voter that answers has heard the leader no earlier than then and will
//! grant no vote for an election timeout after that. So until the instant of the round that a
//! majority has answered, plus the election timeout, less what clocks may drift, no other leader
//! can be elected: [`Node::has_quorum_until`]. At the end of it the leader steps down, before it
//! handles whatever event came too late.
//!
//! # Membership
//!
//! One change at a time, in force from the moment it is appended; any two majorities then share a
//! voter. See [`event::Change`]. A voter is a VM with a disk generation ([`log::NodeId`]): messages
//! name it in full, and those to or from another generation of the same VM count for nothing. A
//! node that doesn't find itself among the voters grants no vote, unless the candidate's log holds
//! a later membership: the candidate asks only the voters of that one. Without this exception a
//! learner whose promotion is committed but has not reached it could be the vote that is missing.
//! A leader that removes itself leads until that is committed, not counting itself.

use std::{collections, mem, sync::Arc};

use sageshed_types::time;

use crate::{config, entries, event, log, message, output, restart, rng, state};

/// One member of the group, or a node that waits to become one.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Node {
    pub(crate) cfg: config::Config,
    pub(crate) state: state::State,
    pub(crate) timers: Timers,
    rng: rng::SplitMix64,
}

/// The instants a node remembers, all on its own clock.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(crate) struct Timers {
    pub(crate) now: time::Instant,
    /// When an election starts; unknown before the first event.
    pub(crate) election_due: Option<time::Instant>,
    /// When the last leader is asked whether it still leads.
    pub(crate) check_due: Option<time::Instant>,
    /// When a leader was last heard.
    pub(crate) heard: time::Instant,
    pub(crate) heartbeat_due: time::Instant,
    /// When this node became leader.
    pub(crate) led_since: time::Instant,
    /// When the latest round that each peer has answered began.
    pub(crate) answered: collections::BTreeMap<log::NodeId, time::Instant>,
}

impl Node {
    /// A node with what it found on its disk. Its timeouts are drawn by `seed` and by its id.
    ///
    /// The state machine starts from the snapshot in `restored`; entries after it come as
    /// [`event::Action::Apply`] once they are known to be committed.
    ///
    /// # Panics
    ///
    /// If the restored entries have a hole. Such a log must be treated as a lost disk: what is
    /// missing may have been acknowledged.
    #[must_use]
    pub fn new(mut cfg: config::Config, restored: log::PersistedState, seed: u64) -> Self {
        let hard = restored.hard_state;
        let (log, snapshot) = entries::Entries::new(restored);
        if !cfg.guards.generation && !log.membership().contains(cfg.id) {
            let namesake = log.membership().members().find(|id| id.vm == cfg.id.vm);
            cfg.id = namesake.unwrap_or(cfg.id);
        }
        let state = state::State {
            commit: log.base().index,
            log,
            snapshot: snapshot.map(Arc::new),
            role: state::Role::Follower,
            leader: None,
            heard_leader: hard.term > log::Term::default(),
            start: restart::Start::Over,
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

    /// A number below `bound`, which must not be zero.
    pub(crate) fn draw(&mut self, bound: u64) -> u64 {
        self.rng.below(bound)
    }

    /// Handles one event at `now`, which must not go back.
    pub fn step(&mut self, now: time::Instant, event: event::Event) -> Vec<event::Action> {
        self.step_all(now, [event])
    }

    /// Handles events that came in together, with one write for all of them (group commit).
    pub fn step_all(
        &mut self,
        now: time::Instant,
        events: impl IntoIterator<Item = event::Event>,
    ) -> Vec<event::Action> {
        let mut out = output::Output::default();
        self.observe(now, &mut out);
        for event in events {
            self.handle(event, &mut out);
        }
        self.confirm_reads(&mut out);
        self.replicate(&mut out);
        out.finish(self.cfg.guards.sync)
    }

    /// What a model checker compares.
    #[must_use]
    pub fn state(&self) -> &state::State {
        &self.state
    }

    /// The name under which this node takes part.
    #[must_use]
    pub fn id(&self) -> log::NodeId {
        self.cfg.id
    }

    /// When [`event::Event::Tick`] is due. None before the first event: deliver a tick at once.
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

    /// The snapshot of the state machine after the committed entry at `index`, with `data` as its
    /// encoding. None if that entry isn't committed or is already covered by a snapshot.
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

    /// Takes note of the time, and steps down if it has run out.
    ///
    /// A process that was frozen, or a leader whose answers don't come back, must find that out
    /// before it does anything else as leader.
    fn observe(&mut self, now: time::Instant, out: &mut output::Output) {
        self.timers.now = self.timers.now.max(now);
        if self.timers.election_due.is_none() {
            self.timers.heard = self.timers.now;
            self.timers.check_due = Some(self.timers.now + time::Millis(1));
            self.restart_election_timer();
            self.recall_start();
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
        self.check_leader(out);
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
        // A VM that lost its disk is reached under its old name too. What is said to that name
        // rests on what the lost disk held, and an answer to it would vouch for it.
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
        self.hear_leader();
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
        // Nobody outside the membership counts, nor makes anybody step down.
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

    /// Notes that a leader was heard, which keeps this node from voting and from campaigning.
    fn hear_leader(&mut self) {
        self.state.heard_leader = true;
        self.state.start = restart::Start::Over;
        self.state.removed = false;
        self.timers.heard = self.timers.now;
        self.restart_election_timer();
    }

    pub(crate) fn restart_election_timer(&mut self) {
        let least = self.cfg.election_timeout;
        let extra = time::Millis(self.rng.below(least.0.max(1)));
        self.timers.election_due = Some(self.timers.now + least + extra);
    }

    /// Follows `leader`, or nobody known, in `term`, which is not before the present one.
    ///
    /// Who leads the term is recorded as if it had got this node's vote, which it needs no more. After a
    /// restart this names the one leader that may count on this node.
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

    /// Ends leadership, if this node leads.
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
