//! The port for the system's other processes.

use std::sync::{self, atomic, mpsc};

use sageshed_fleet::{messages as fleet, quarantine};
use sageshed_quorum::log;
use sageshed_state::command;
use sageshed_types::{claims, messages, time};
use sageshed_vms::Answer;

use super::{
    fleet::{config_check, watch},
    formation,
    inputs::{self, Fate, Input, NotDone},
    placing, roster, shared,
};
use crate::{directory, locks};

/// Connections of other processes that are open at once where a list of VMs is kept.
pub const CONNECTIONS: usize = 1_024;

/// Calls that may wait for a commit at once.
///
/// Each holds a connection and a thread until its command is committed, and a command is committed
/// when the other members' acknowledgements come in, through the same port. Were all of them taken by
/// calls that wait, a member that connects anew would be refused, and what waits would wait for it. So
/// most stay free, and a call past the bound is told to come again.
pub const WAITING: usize = CONNECTIONS / 4;

/// How long the leader may take to answer what is passed on to it.
const PASS_ON_LIMIT: std::time::Duration = std::time::Duration::from_millis(100);

/// Takes calls of other processes.
#[derive(Debug)]
pub struct Port {
    /// What this process publishes.
    pub shared: sync::Arc<shared::Shared>,
    /// To the driver.
    pub inputs: inputs::Inputs,
    /// To other control processes.
    pub client: sageshed_vms::Client,
    /// To the placing thread.
    pub placing: mpsc::Sender<placing::Input>,
    /// How many calls wait for a commit.
    pub waiting: atomic::AtomicUsize,
}

impl sageshed_vms::Handler for Port {
    fn handle(&self, path: &str, body: &[u8]) -> Answer {
        use messages::paths;
        match path {
            paths::REPLICATE => with(body, |envelope| self.replicate(&envelope)),
            paths::SYNC => with(body, |req| self.sync(req)),
            paths::CLAIM => with(body, |claim| self.claim(claim)),
            paths::SETTLE => with(body, |settle| self.settle(settle)),
            paths::HELLO => with(body, |hello| self.hello(&hello)),
            fleet::paths::CONFIG => with(body, |req| watch::chunk(&self.shared, &req)),
            fleet::paths::CONFIG_CHECK => {
                with(body, |req| config_check::answer(&self.shared, &req))
            }
            fleet::paths::ADAPTER => with(body, |req| self.want(&req)),
            fleet::paths::LEADER_ADAPTER => with(body, |req| self.plan_want(req)),
            _ => Answer::NotFound,
        }
    }

    fn is_deferred(&self, path: &str) -> bool {
        path == fleet::paths::WATCH && self.shared.settings.common.discovery.is_some()
    }

    fn yields(&self, path: &str) -> bool {
        use fleet::paths;
        matches!(path, paths::WATCH | paths::ADAPTER)
    }

    fn handle_later(&self, _path: &str, body: &[u8], later: sageshed_vms::Later) {
        match sageshed_vms::decode(body) {
            Ok(req) => watch::accept_watch(&self.shared, req, later),
            Err(e) => later.answer(Answer::Bad(e)),
        }
    }
}

fn with<M, A>(body: &[u8], handle: impl FnOnce(M) -> A) -> Answer
where
    M: serde::de::DeserializeOwned,
    A: serde::Serialize,
{
    match sageshed_vms::decode(body) {
        Ok(message) => Answer::message(&handle(message)),
        Err(e) => Answer::Bad(e),
    }
}

impl Port {
    /// Hands the messages of another member to the driver.
    fn replicate(&self, envelope: &messages::Envelope) {
        if envelope.to != self.shared.process.vm {
            ::log::warn!(to = envelope.to.as_str(); "control: message for another VM dropped");
            return;
        }
        let Some(vm) = self.shared.vm_number(&envelope.from) else {
            ::log::warn!(from = envelope.from.as_str(); "control: message of an unknown VM dropped");
            return;
        };
        let from = log::NodeId {
            vm,
            generation: envelope.generation,
        };
        for bytes in &envelope.messages {
            match sageshed_vms::decode(bytes) {
                Ok(message) => self.inputs.offer(Input::Message { from, message }),
                Err(e) => ::log::warn!(error:% = e; "control: message dropped"),
            }
        }
    }

    /// Answers a heartbeat: what the sender needs to know of the configuration, and its lease.
    fn sync(&self, mut req: messages::SyncReq) -> messages::SyncResp {
        let now = self.shared.clock.now();
        let arrival = locks::write(&self.shared.roster).heard(now, &req);
        if arrival == roster::Arrival::New && req.from.role == messages::Role::Entry {
            let process = &req.from;
            ::log::info!(vm = process.vm.as_str(), incarnation:% = process.incarnation;
                "control: entry process heard");
        }
        self.take_reports(now, std::mem::take(&mut req.reports));
        self.take_demand(&req.from.vm, std::mem::take(&mut req.demand));
        self.shared.hub.merge_crashes(now, &req.crashes);
        self.answer(&req)
    }

    fn take_reports(&self, now: time::Instant, reports: Vec<sageshed_types::endpoints::Report>) {
        for report in reports {
            let offer = locks::lock(&self.shared.directory).offer(now, report.clone(), false);
            if offer == directory::Offer::Newest {
                drop(self.placing.send(placing::Input::Report(Box::new(report))));
            }
        }
    }

    fn take_demand(&self, vm: &str, demand: Vec<messages::Demand>) {
        if !demand.is_empty() {
            let from_vm = vm.to_owned();
            drop(
                self.placing
                    .send(placing::Input::Demand { from_vm, demand }),
            );
        }
    }

    fn answer(&self, req: &messages::SyncReq) -> messages::SyncResp {
        // The leader is read before the lease is made up: a process that was frozen in between
        // grants nothing new by it, since a lease counts from when the asker sent its request.
        let leader = self.shared.leader();
        let state = locks::read(&self.shared.state);
        let rules = state.rules();
        let revision = rules.current().revision;
        let config = (revision > req.revision).then(|| rules.updates_since(req.revision));
        let draining = state.draining().map(str::to_owned).collect();
        drop(state);
        let hears_leader = leader.is_some();
        let now = self.shared.clock.now();
        let since = req.crashes_known.unwrap_or_default();
        let (crashes_mark, crashes) = self.shared.hub.with_quarantine(|it| {
            let news = it.since(now, since, quarantine::SyncScope::Quarantined);
            (it.cursor(), news)
        });
        messages::SyncResp {
            from: self.shared.process.clone(),
            reports: Vec::new(),
            directory: locks::lock(&self.shared.directory).mark(),
            control: Some(self.control_part(leader, draining)),
            revision,
            config,
            hears_leader,
            was_confirmed: false,
            crashes_mark: Some(crashes_mark),
            crashes,
        }
    }

    /// The lease. The view is read as one: a revision in the log is published in it before the
    /// entry is acknowledged, so a grant made after the acknowledgement names that revision.
    fn control_part(&self, leader: Option<String>, draining: Vec<String>) -> messages::LeaseInfo {
        let view = locks::read(&self.shared.view);
        let own = self.shared.voter(self.shared.node);
        messages::LeaseInfo {
            grants: view.voters.contains(&own),
            voters: view.voters.clone(),
            generation: own.generation,
            lease: self.shared.settings.common.lease.length_ms,
            required: view.required,
            leader,
            term: view.status.term.0,
            draining,
        }
    }

    fn claim(&self, claim: claims::Claim) -> messages::LeaderReply<claims::ClaimOutcome> {
        match self.commit(command::Command::Claim(claim)) {
            Fate::Applied(Some(outcome)) => match *outcome {
                command::Outcome::Claim(outcome) => messages::LeaderReply::Done(outcome),
                // Its holder gave it back before, or a later start of it is known.
                _ => messages::LeaderReply::Unknown,
            },
            other => self.routed(&other),
        }
    }

    fn settle(&self, settle: claims::Settle) -> messages::LeaderReply<()> {
        match self.commit(command::Command::Settle(settle)) {
            Fate::Applied(_) => messages::LeaderReply::Done(()),
            other => self.routed(&other),
        }
    }

    /// Has a command committed, unless too many calls wait for theirs.
    fn commit(&self, command: command::Command) -> Fate {
        let before = self.waiting.fetch_add(1, atomic::Ordering::Relaxed);
        let fate = if before < WAITING {
            self.inputs.commit(command)
        } else {
            Fate::NotDone(NotDone::Busy)
        };
        self.waiting.fetch_sub(1, atomic::Ordering::Relaxed);
        fate
    }

    fn routed<T>(&self, fate: &Fate) -> messages::LeaderReply<T> {
        match fate {
            Fate::NotDone(_) => messages::LeaderReply::NotLeader {
                leader: self.shared.leader(),
            },
            Fate::Applied(_) | Fate::Unknown => messages::LeaderReply::Unknown,
        }
    }

    /// Takes the want of an adapter, or passes it on to the leader. Entry processes tell whichever control process is
    /// near, so that the leader's connections do not grow with their number.
    fn want(&self, want: &fleet::AdapterReq) -> fleet::AdapterResp {
        let answer = self.plan_want(want.clone());
        let fleet::AdapterResp::NotLeader {
            leader: Some(leader),
        } = answer
        else {
            return answer;
        };
        let Some(address) = self.shared.control_address(leader.into()) else {
            return answer;
        };
        let passed_on = self.client.call(
            &address.to_string(),
            fleet::paths::LEADER_ADAPTER,
            want,
            PASS_ON_LIMIT,
        );
        passed_on.unwrap_or_else(|e| {
            ::log::info!(leader:% = leader, adapter = want.adapter.as_str(), error:% = e;
                "control: want of an adapter not passed on");
            answer
        })
    }

    /// Hands the want of an adapter to the planner, if this process leads.
    fn plan_want(&self, want: fleet::AdapterReq) -> fleet::AdapterResp {
        if !self.shared.leads() {
            let leader = self.shared.leader();
            let leader = leader.and_then(|it| it.parse().ok());
            return fleet::AdapterResp::NotLeader { leader };
        }
        self.shared.hub.request_adapter(want);
        fleet::AdapterResp::Taken
    }

    fn hello(&self, hello: &messages::Hello) -> messages::Hello {
        if let Some(id) = self.shared.node_id(&hello.from) {
            self.inputs.offer(Input::Joiner(id));
        }
        formation::note(&self.shared, hello);
        formation::hello(&self.shared)
    }
}
