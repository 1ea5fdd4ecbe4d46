//! What a leader proposes by itself: that it has started, the starts of entry processes, its wall
//! clock, and the repair of the membership.

use sageshed_disk::files;
use sageshed_quorum::{event, log, status};
use sageshed_state::command;
use sageshed_types::time;

use super::{Driver, work::Ticket};
use crate::{clock, control::inputs::Reply, locks};

/// Between two proposals of the leader's wall clock, in milliseconds.
const CLOCK_INTERVAL_MS: u64 = 5_000;

/// Entries that a learner may lack when its repair goes on. Below what the log asks of one that is
/// promoted, so that it does not refuse.
const REPAIR_LAG: u64 = 50;

/// Between two tries of a change of membership that the log refused, in milliseconds.
const REPAIR_RETRY_MS: time::Millis = time::Millis(50);

/// How long the word of a process that wants to join counts. It says so several times a second.
const JOINER_KEPT: time::Millis = time::Millis(2_000);

/// A voter that answers nothing for this long is taken for gone once another is there to take its
/// place. Ten rounds of heartbeats; one that comes back joins anew.
const SILENT: time::Millis = time::Millis(1_500);

impl<F: files::Files> Driver<F> {
    pub(super) fn became_leader(&mut self, term: log::Term) {
        ::log::info!(term:% = term; "control: leads");
        self.work.clock_due = 0;
        self.work.led_since = self.shared.clock.now();
        self.work.started = Some(term);
        self.work.told.clear();
    }

    /// Tells the log of entry processes that were started anew: what an earlier start had claimed is
    /// settled by nobody, and its callers would be told that it still runs for as long as claims are
    /// kept. Whoever led when the start was heard may not have got as far, so each leader tells all
    /// that it has heard.
    pub(super) fn tell_holders(&mut self) -> Vec<event::Event> {
        let starts = locks::read(&self.shared.roster).entry_starts();
        let mut events = Vec::new();
        for (vm, incarnation) in starts {
            if self.work.told.get(&vm) == Some(&incarnation) {
                continue;
            }
            let gone = command::Command::HolderGone {
                vm: vm.clone(),
                incarnation_below: incarnation,
            };
            events.extend(self.propose_as(&gone, Ticket::Holders));
            self.work.told.insert(vm, incarnation);
        }
        events
    }

    /// What the leader proposes by itself: its wall clock, and the repair of the membership.
    pub(super) fn own_events(&mut self) -> Vec<event::Event> {
        let mut events = Vec::new();
        if self.node.status().role != status::Role::Leader {
            return events;
        }
        if let Some(term) = self.work.started.take() {
            // Orders of an earlier leader may still be on their way to being committed. This
            // command comes after all of them, so once it is applied the table of open orders is
            // complete.
            let command = command::Command::LeaderStarted { term: term.0 };
            let reply = Reply::Placing(self.placing.clone());
            events.extend(self.propose_as(&command, Ticket::Started(term, reply)));
        }
        events.extend(self.tell_holders());
        let now = self.shared.clock.now();
        if now.0 >= self.work.clock_due {
            self.work.clock_due = now.0 + CLOCK_INTERVAL_MS;
            let command = command::Command::Clock {
                unix_ms: clock::unix_ms(),
            };
            events.extend(self.propose(&command, Reply::Nobody));
        }
        events.extend(self.repair());
        events
    }

    /// The next step by which a process that is no voter gets its vote: one that came back under a new
    /// disk generation, a new VM, or one that was taken out while it was silent.
    pub(super) fn repair(&mut self) -> Option<event::Event> {
        let now = self.shared.clock.now();
        self.work
            .joiners
            .retain(|_, heard| now.since(*heard) < JOINER_KEPT);
        let pending = self
            .work
            .tickets
            .values()
            .any(|it| matches!(it, Ticket::Membership(_)));
        if pending || now < self.work.repair_due {
            return None;
        }
        let joiners: Vec<_> = self.work.joiners.keys().copied().collect();
        let step = joiners.into_iter().find_map(|it| self.step_for(it));
        let change = step.or_else(|| self.lost_learner())?;
        // Refused by the log while the change before is not committed.
        self.work.repair_due = now + REPAIR_RETRY_MS;
        let ticket = self.work.ticket(Ticket::Membership(change));
        Some(event::Event::ChangeMembership { ticket, change })
    }

    /// What `joiner` needs next: added as a learner, then another taken out for it, then promoted once
    /// it has caught up.
    ///
    /// The one that it replaces goes before it is promoted, so that there are never four voters of
    /// whom three must answer while one is known to be gone. It goes only once the learner has caught
    /// up: until then a vote less would gain nothing.
    fn step_for(&mut self, joiner: log::NodeId) -> Option<event::Change> {
        let status = self.node.status();
        let members = &status.membership;
        let newer = members
            .members()
            .any(|id| id.vm == joiner.vm && id > joiner);
        if members.voters.contains(&joiner) || newer {
            self.work.joiners.remove(&joiner);
            return None;
        }
        if !members.learners.contains(&joiner) {
            return Some(event::Change::AddLearner(joiner));
        }
        let matched = status.matched.get(&joiner).copied().unwrap_or_default();
        if status.last.0.saturating_sub(matched.0) > REPAIR_LAG {
            return None;
        }
        let old = members
            .members()
            .find(|id| id.vm == joiner.vm && *id != joiner);
        if let Some(old) = old {
            return Some(event::Change::Remove(old));
        }
        let wanted = self.voters_wanted();
        if members.voters.len() < wanted {
            return Some(event::Change::Promote(joiner));
        }
        let silent = self.silent(&status, members.voters.iter().copied())?;
        Some(event::Change::Remove(silent))
    }

    /// How many voters the group grows to. Where VMs are listed, all that join.
    fn voters_wanted(&self) -> usize {
        match &self.shared.settings.common.discovery {
            Some(discovery) => 2 * discovery.tolerates + 1,
            None => usize::MAX,
        }
    }

    /// One of `members` that has answered nothing for [`SILENT`].
    fn silent(
        &self,
        status: &status::Status,
        mut members: impl Iterator<Item = log::NodeId>,
    ) -> Option<log::NodeId> {
        let now = self.shared.clock.now();
        members.find(|id| {
            let answered = status.answered.get(id).copied().unwrap_or_default();
            let last = answered.max(self.work.led_since);
            *id != self.shared.node && now.since(last) >= SILENT
        })
    }

    /// A learner that is gone for good: messages to it would be made and dropped for ever.
    fn lost_learner(&self) -> Option<event::Change> {
        self.shared.settings.common.discovery.as_ref()?;
        let status = self.node.status();
        let learners = status.membership.learners.iter().copied();
        let lost = learners.filter(|it| !self.work.joiners.contains_key(it));
        self.silent(&status, lost).map(event::Change::Remove)
    }
}
