//! What a leader proposes by itself: that it has started, the starts of entry processes, its wall
//! clock, and the repair of the membership.

use sageshed_disk::files;
use sageshed_quorum::{event, log, repair, stalls, status};
use sageshed_state::command;
use sageshed_types::time;

use super::{Driver, work::Ticket};
use crate::{clock, control::inputs::Reply, locks};

/// Between two proposals of the leader's wall clock, in milliseconds.
const CLOCK_INTERVAL_MS: u64 = 5_000;

/// Between two tries of a change of membership that the log refused, in milliseconds.
const REPAIR_RETRY_MS: time::Millis = time::Millis(50);

/// How long the word of a process that wants to join counts. It says so several times a second.
const JOINER_KEPT: time::Millis = time::Millis(2_000);

/// A member that lacks entries and acknowledges none for this long is logged. Longer than a lost append or snapshot takes to
/// be sent again.
const STALL_TIMEOUT: time::Millis = time::Millis(3_000);

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
        let status = self.node.status();
        let joiners = self.work.joiners.keys().copied().collect();
        let view = repair::GroupView {
            now,
            led_since: self.work.led_since,
            status: &status,
            joiners: &joiners,
        };
        let policy = self.shared.repair_policy();
        let change = policy
            .next_change(view)
            .or_else(|| self.lost_learner(policy, view))?;
        // Refused by the log while the change before is not committed.
        self.work.repair_due = now + REPAIR_RETRY_MS;
        let ticket = self.work.ticket(Ticket::Membership(change));
        Some(event::Event::ChangeMembership {
            correlation_id: ticket,
            change,
        })
    }

    /// Logs members that lack entries and acknowledge none.
    pub(super) fn report_stalls(&mut self) {
        let now = self.shared.clock.now();
        let progress = self.node.progress();
        let reports = self.work.stalls.update(now, STALL_TIMEOUT, progress);
        for report in reports {
            match report {
                stalls::Report::Stalled(it, span) => {
                    let vm = self.shared.voter(it.id).vm;
                    // Since the start of this process if it has answered no heartbeat yet.
                    let answered_ms = it.answered.map_or(now.0, |at| now.since(at).0);
                    ::log::warn!(vm = vm.as_str(), stalled_ms = span.0, lag = it.lag, sent = it.sent,
                        in_flight = it.in_flight, answered_ms;
                        "control: a member acknowledges no entries");
                }
                stalls::Report::Resumed(id, span) => {
                    let vm = self.shared.voter(id).vm;
                    ::log::info!(vm = vm.as_str(), stalled_ms = span.0; "control: a member acknowledges entries again");
                }
            }
        }
    }

    /// A learner that is gone for good: messages to it would be made and dropped for ever.
    fn lost_learner(
        &self,
        policy: repair::Policy,
        view: repair::GroupView<'_>,
    ) -> Option<event::Change> {
        self.shared.settings.common.discovery.as_ref()?;
        let learners = view.status.membership.learners.iter().copied();
        let lost = learners.filter(|it| !view.joiners.contains(it));
        policy.find_silent(view, lost).map(event::Change::Remove)
    }
}
