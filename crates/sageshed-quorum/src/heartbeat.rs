//! Heartbeats: rounds that confirm the leader, and the reads that wait for them.

use crate::{event, log, message, node, output, replication, state};

impl node::Node {
    /// Sends again what was not acknowledged in time, and begins a round of heartbeats.
    ///
    /// Only this moves the timer: rounds for reads begin besides, however many there are, since the retries are counted in
    /// intervals of it.
    pub(crate) fn heartbeat_due(&mut self, out: &mut output::Output) {
        let state::Role::Leader(leader) = &mut self.state.role else {
            return;
        };
        self.timers.heartbeat_due = self.timers.now + self.cfg.heartbeat_interval;
        let log = &self.state.log;
        let snapshot_bytes = self.state.snapshot.as_ref().map_or(0, |it| it.data.len());
        for peer in leader.peers.values_mut() {
            let (retry_after_heartbeats, bytes) = if peer.snapshot {
                (self.cfg.snapshot_retry_heartbeats, snapshot_bytes)
            } else {
                let bytes = replication::unacknowledged_bytes(log, peer);
                (self.cfg.append_retry_heartbeats, bytes)
            };
            // A large entry must not be sent again before it can have arrived, since the retries would
            // delay it further.
            let more = bytes / self.cfg.bytes_per_heartbeat.max(1);
            let retry_after_heartbeats =
                retry_after_heartbeats.saturating_add(u32::try_from(more).unwrap_or(u32::MAX));
            peer.unanswered += u32::from(peer.has_unacknowledged());
            if peer.unanswered > retry_after_heartbeats {
                peer.restart_at(peer.matched.next());
            }
        }
        self.begin_round(out);
    }

    /// Begins a round of heartbeats.
    fn begin_round(&mut self, out: &mut output::Output) {
        let started = self.timers.now;
        let state::Role::Leader(leader) = &mut self.state.role else {
            return;
        };
        leader.round += 1;
        let round = message::Round {
            number: leader.round,
            started,
        };
        for (to, peer) in &leader.peers {
            let commit = self.state.commit.min(peer.matched);
            let body = message::Body::Heartbeat { round, commit };
            let message = message::Message {
                to: *to,
                term: self.state.hard.term,
                body,
            };
            out.push(event::Action::Send { to: *to, message });
        }
    }

    pub(crate) fn on_heartbeat_reply(
        &mut self,
        from: log::NodeId,
        round: message::Round,
        out: &mut output::Output,
    ) {
        let state::Role::Leader(leader) = &mut self.state.role else {
            return;
        };
        let Some(peer) = leader.peers.get_mut(&from) else {
            return;
        };
        peer.round = peer.round.max(round.number);
        let answered = self.timers.answered.entry(from).or_insert(round.started);
        *answered = round.started.max(*answered);
        self.answer_reads(out);
    }

    /// Queues a read at the current commit index.
    ///
    /// The commit index is known to be up to date only after an entry of this leader's own term is
    /// committed. The leader is known to be the latest one only after a majority has answered a heartbeat
    /// that was sent after the read arrived.
    pub(crate) fn read_index(&mut self, correlation_id: u64, out: &mut output::Output) {
        let index = self.state.commit;
        let state::Role::Leader(leader) = &mut self.state.role else {
            return self.reject(correlation_id, event::Reason::NotLeader, out);
        };
        if index < leader.term_start {
            return self.reject(correlation_id, event::Reason::NotReady, out);
        }
        if !self.cfg.guards.read_round {
            return out.push(event::Action::ReadReady {
                correlation_id,
                index,
            });
        }
        leader.reads.push_back(state::Read {
            correlation_id,
            index,
            round: None,
        });
    }

    /// Begins one round of heartbeats for all reads of this step.
    pub(crate) fn confirm_reads(&mut self, out: &mut output::Output) {
        let state::Role::Leader(leader) = &mut self.state.role else {
            return;
        };
        let next = leader.round + 1;
        let mut waits = false;
        for read in leader.reads.iter_mut().filter(|read| read.round.is_none()) {
            read.round = Some(next);
            waits = true;
        }
        if waits {
            self.begin_round(out);
            self.answer_reads(out);
        }
    }

    fn answer_reads(&mut self, out: &mut output::Output) {
        let state::Role::Leader(leader) = &mut self.state.role else {
            return;
        };
        let membership = self.state.log.membership();
        let heard = |id: log::NodeId, round: u64| {
            id == self.cfg.id
                || leader
                    .peers
                    .get(&id)
                    .is_some_and(|peer| peer.round >= round)
        };
        while let Some(read) = leader.reads.front() {
            let confirmed = |round| membership.has_majority(|id| heard(id, round));
            if !read.round.is_some_and(confirmed) {
                return;
            }
            let (correlation_id, index) = (read.correlation_id, read.index);
            out.push(event::Action::ReadReady {
                correlation_id,
                index,
            });
            leader.reads.pop_front();
        }
    }
}
