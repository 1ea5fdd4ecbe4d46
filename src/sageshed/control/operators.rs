//! What the operators' port asks of this process.

use std::{sync, thread, time};

use sageshed_operators::{
    backend::{Backend, Trouble},
    wire,
};
use sageshed_state::command;
use sageshed_types::{messages, request_trace, rules};

use super::{
    inputs::{self, Fate, NotDone},
    metrics, shared,
};
use crate::{locks, settings};

/// How long a change waits for a majority of the entry VMs to be heard.
const ENTRIES_WAIT: time::Duration = time::Duration::from_secs(2);

/// Between two looks at which are.
const ENTRIES_LOOK: time::Duration = time::Duration::from_millis(20);

/// How long an entry process may take to look up a request.
const EXPLAIN_LIMIT: time::Duration = time::Duration::from_secs(2);

/// Answers operators.
#[derive(Debug)]
pub struct Desk {
    /// What this process publishes.
    pub shared: sync::Arc<shared::Shared>,
    /// To the driver.
    pub inputs: inputs::Inputs,
    /// To entry processes.
    pub client: sageshed_vms::Client,
    /// Figures.
    pub metrics: metrics::Metrics,
}

impl Desk {
    fn commit(&self, command: command::Command) -> Result<command::Outcome, Trouble> {
        match self.inputs.commit(command) {
            Fate::Applied(Some(outcome)) => Ok(*outcome),
            other => Err(self.trouble(&other)),
        }
    }

    /// Waits until the state shows all that was committed before now.
    fn read(&self) -> Result<(), Trouble> {
        match self.inputs.read() {
            Fate::Applied(_) => Ok(()),
            other => Err(self.trouble(&other)),
        }
    }

    fn trouble(&self, fate: &Fate) -> Trouble {
        match fate {
            Fate::Applied(_) | Fate::Unknown => Trouble::Unknown,
            Fate::NotDone(NotDone::NotLeader) => self.not_leader(),
            Fate::NotDone(NotDone::Busy) => {
                Trouble::Full("too many changes wait; try again shortly".to_owned())
            }
            Fate::NotDone(NotDone::DiskFull) => Trouble::Full(
                "the disk of this control process is full: make room in its data folder".to_owned(),
            ),
        }
    }

    fn not_leader(&self) -> Trouble {
        let Some(leader) = self.shared.leader() else {
            return Trouble::NoQuorum;
        };
        if leader == self.shared.process.vm {
            // It leads and could not commit yet: its first entry is on its way.
            return Trouble::NoQuorum;
        }
        let vm = self.shared.settings.common.vm(&leader);
        let address = vm.and_then(|vm| vm.operators);
        Trouble::NotLeader {
            leader: address.map(|it| it.to_string()),
        }
    }

    /// A change is accepted only while a majority of the entry VMs is heard.
    ///
    /// The guard's other half is in `entry::freshness`: an entry process whose leases ran out goes on
    /// serving if it hears a majority of the entry VMs and none of them hears a leader. Were changes
    /// accepted by a leader that hears fewer, the two could go on side by side, and callers there
    /// would be served by rules that an operator here was told are gone.
    ///
    /// Only the leader judges it. One that is cut off hears few, and its refusal would be taken for
    /// the group's answer. A process that has just been started, or reached again, and leads already
    /// waits for heartbeats before it refuses.
    fn check_entries(&self) -> Result<(), Trouble> {
        let total = self.entry_vms().count();
        let end = time::Instant::now() + ENTRIES_WAIT;
        let heard = loop {
            if !self.shared.leads() {
                return Err(self.not_leader());
            }
            let heard = locks::read(&self.shared.roster).entries_heard(self.shared.clock.now());
            if total == 0 || heard > total / 2 {
                return Ok(());
            }
            if time::Instant::now() >= end {
                break heard;
            }
            thread::sleep(ENTRIES_LOOK);
        };
        Err(Trouble::Invalid(format!(
            "only {heard} of {total} entry VMs are heard, and a change needs a majority of them; \
             see `sageshed status` and repair the VMs that are silent"
        )))
    }

    /// A rule that names what the settings do not offer would never match, or refuse what it was
    /// meant to route.
    fn check_names(&self, edit: &rules::Edit) -> Result<(), Trouble> {
        let rules: &[rules::Rule] = match edit {
            rules::Edit::Add { rule, .. } => std::slice::from_ref(rule),
            rules::Edit::ReplaceAll { rules } => rules,
            rules::Edit::Move { .. } | rules::Edit::Withdraw { .. } => &[],
        };
        let errors = settings::rule_errors(rules, &self.shared.settings.common);
        if errors.is_empty() {
            return Ok(());
        }
        Err(Trouble::Invalid(errors.join("; ")))
    }

    fn entry_vms(&self) -> impl Iterator<Item = &str> {
        let vms = &self.shared.settings.common.vms;
        vms.iter()
            .filter(|vm| vm.entry.is_some())
            .map(|vm| vm.name.as_str())
    }

    fn place(pin: &wire::Pin) -> command::Place {
        match &pin.place {
            wire::PinPlace::Endpoint(name) => command::Place::Endpoint(name.clone()),
            wire::PinPlace::AvailabilityZone(name) => {
                command::Place::AvailabilityZone(name.clone())
            }
        }
    }

    fn check_model(&self, model: &str) -> Result<(), Trouble> {
        let models = &self.shared.settings.common.models;
        if models.iter().any(|it| it.name == model) {
            return Ok(());
        }
        Err(Trouble::Invalid(format!(
            "no model or adapter `{model}` is in the settings"
        )))
    }
}

impl Backend for Desk {
    fn rules(&self) -> Result<rules::RuleSet, Trouble> {
        self.read()?;
        Ok(locks::read(&self.shared.state).rules().current().clone())
    }

    fn history(&self, after: rules::Revision) -> Result<Vec<rules::AcceptedChange>, Trouble> {
        self.read()?;
        let state = locks::read(&self.shared.state);
        let history = state.rules().history();
        Ok(history
            .filter(|accepted| accepted.revision > after)
            .cloned()
            .collect())
    }

    fn change(&self, change: rules::Change) -> Result<rules::ChangeOutcome, Trouble> {
        self.check_entries()?;
        self.check_names(&change.edit)?;
        match self.commit(command::Command::Change(change))? {
            command::Outcome::Change(outcome) => Ok(outcome),
            _ => Err(Trouble::Unknown),
        }
    }

    /// Once the leases that were granted before the commit have run out, an entry process that has
    /// not confirmed the revision serves nobody, unless it took the control group for lost; to rule
    /// that out a majority of the entry VMs must have confirmed it.
    fn in_force(&self, revision: rules::Revision) -> Result<wire::InForce, Trouble> {
        let now = self.shared.clock.now();
        let lease = self.shared.settings.common.lease;
        let view = locks::read(&self.shared.view);
        let committed = view.committed.range(revision..).next().map(|(_, at)| *at);
        let current = locks::read(&self.shared.state).rules().current().revision;
        drop(view);
        if current < revision {
            let missing = self.entry_vms().map(str::to_owned).collect();
            return Ok(wire::InForce {
                everywhere: false,
                missing,
            });
        }
        let roster = locks::read(&self.shared.roster);
        let confirmed = roster.confirmed(revision);
        let missing: Vec<_> = self
            .entry_vms()
            .filter(|vm| !confirmed.contains(vm))
            .map(str::to_owned)
            .collect();
        let settled = lease.length_ms + lease.drift_margin_ms;
        let lapsed = committed.is_some_and(|at| now.since(at) > settled);
        let majority = confirmed.len() > self.entry_vms().count() / 2;
        Ok(wire::InForce {
            everywhere: missing.is_empty() || (lapsed && majority),
            missing,
        })
    }

    fn metrics(&self) -> Option<String> {
        Some(self.metrics.text(&self.shared))
    }

    fn status(&self) -> messages::Status {
        let view = locks::read(&self.shared.view).clone();
        let members = view.status.membership;
        let last = view.status.last.0;
        let member = |id: &sageshed_quorum::log::NodeId, standing: &str| {
            let voter = self.shared.voter(*id);
            let matched = if *id == self.shared.node {
                Some(last)
            } else {
                view.status.matched.get(id).map(|index| index.0)
            };
            messages::VoterStatus {
                vm: voter.vm,
                generation: voter.generation,
                standing: standing.to_owned(),
                lag: matched.map(|matched| last.saturating_sub(matched)),
            }
        };
        let voters = members.voters.iter().map(|id| member(id, "voter"));
        let learners = members.learners.iter().map(|id| member(id, "learner"));
        let now = self.shared.clock.now();
        messages::Status {
            answered_by: self.shared.process.vm.clone(),
            leader: self.shared.leader(),
            term: view.status.term.0,
            revision: locks::read(&self.shared.state).rules().current().revision,
            voters: voters.chain(learners).collect(),
            vms: locks::read(&self.shared.roster).status(now),
            endpoints: self.shared.reports(),
            config_waits: self.shared.waiting_entries.status(now),
        }
    }

    /// Only the leader knows what is being moved and why. Without one, what is held is better than
    /// nothing.
    fn models(&self) -> Result<Vec<messages::ModelStatus>, Trouble> {
        match self.not_leader() {
            elsewhere @ Trouble::NotLeader { .. } => Err(elsewhere),
            _ => Ok(locks::read(&self.shared.models).clone()),
        }
    }

    /// A request id begins with the name of the entry VM that gave it.
    fn explain(&self, request_id: &str) -> Result<Option<request_trace::RequestTrace>, Trouble> {
        let Some((vm, _)) = request_id.split_once('.') else {
            return Err(Trouble::Invalid(format!(
                "`{request_id}` is not a request id"
            )));
        };
        let address = locks::read(&self.shared.roster).entry_address(vm);
        let Some(address) = address else {
            return Err(Trouble::Invalid(format!(
                "the entry process on VM `{vm}` is not heard"
            )));
        };
        let path = messages::paths::EXPLAIN;
        let found: Result<messages::ExplainResp, _> =
            self.client.call(&address, path, &request_id, EXPLAIN_LIMIT);
        found.map_err(|e| Trouble::Invalid(format!("the entry process on VM `{vm}`: {e}")))
    }

    fn drain(&self, vm: &str, on: bool, change_id: &str) -> Result<(), Trouble> {
        if !self.entry_vms().any(|it| it == vm) {
            return Err(Trouble::Invalid(format!(
                "no entry VM `{vm}` is in the settings"
            )));
        }
        let command = command::Command::DrainVm {
            vm: vm.to_owned(),
            on,
            change_id: change_id.to_owned(),
        };
        match self.commit(command)? {
            command::Outcome::Drain(command::DrainOutcome::ChangeIdReused) => {
                Err(Trouble::Invalid(format!(
                    "change id `{change_id}` came before with other content"
                )))
            }
            _ => Ok(()),
        }
    }

    fn pin(&self, pin: &wire::Pin) -> Result<(), Trouble> {
        self.check_model(&pin.model)?;
        let command = command::Command::Pin {
            model: pin.model.clone(),
            place: Self::place(pin),
        };
        self.commit(command).map(drop)
    }

    fn unpin(&self, pin: &wire::Pin) -> Result<(), Trouble> {
        let command = command::Command::Unpin {
            model: pin.model.clone(),
            place: Self::place(pin),
        };
        self.commit(command).map(drop)
    }
}
