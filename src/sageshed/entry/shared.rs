//! What the threads of an entry process share.

use std::{
    collections,
    sync::{self, atomic},
};

use sageshed_decide::{decider, event};
use sageshed_engines::client;
use sageshed_state::update;
use sageshed_types::{arena, endpoints, messages, refusal, rules, time, verdict};

use super::{claims, crashes, freshness, housekeeping, metrics, waiters};
use crate::{accounts, clock, directory, locks, settings};

/// Shared by all threads of an entry process.
#[derive(Debug)]
pub struct Shared {
    /// The settings.
    pub settings: settings::Entry,
    /// This start.
    pub process: messages::Process,
    /// This process's clock.
    pub clock: clock::Clock,
    /// Decides.
    pub decider: sync::Mutex<decider::Decider>,
    /// Requests that wait for a decision.
    pub waiters: waiters::Waiters,
    /// Whether the configuration may be served with.
    pub freshness: sync::Mutex<freshness::Freshness>,
    /// The configuration in force here.
    pub config: sync::Mutex<Config>,
    /// What is known of endpoints.
    pub directory: sync::Mutex<directory::Directory>,
    /// Which requests have made endpoints crash.
    pub crashes: sync::Mutex<crashes::Crashes>,
    /// The latest requests.
    pub accounts: sync::Mutex<accounts::Accounts>,
    /// Figures.
    pub metrics: metrics::Metrics,
    /// To engines.
    pub engines: client::Client,
    /// To plain services.
    pub services: sageshed_services::client::Client,
    /// Claims on requests that may not be repeated.
    pub claims: claims::Claims,
    /// Cancellations on their way out.
    pub cancels: housekeeping::Cancels,
    /// Answers that are watched for callers who leave.
    pub watched: housekeeping::Watched,
    /// What was asked for and not yet told to a control process, by its VM.
    pub demand: sync::Mutex<collections::BTreeMap<String, Vec<messages::Demand>>>,
    /// How far the process is on its way out.
    pub stage: Stage,
    /// Counts requests.
    pub last_req: atomic::AtomicU64,
}

/// The configuration in force, and since when.
#[derive(Debug)]
pub struct Config {
    /// The rules.
    pub rules: rules::RuleSet,
    /// When they were put in force.
    pub since: time::Instant,
    /// A change did not fit: the whole is asked for. What is in force stays so until it comes.
    pub wants_whole: bool,
}

/// How far the process is on its way out.
#[derive(Debug, Default)]
pub struct Stage {
    /// It is shutting down: `/readyz` is red.
    pub draining: atomic::AtomicBool,
    /// An operator drains this VM: `/readyz` is red.
    pub drained: atomic::AtomicBool,
    /// Everything is to stop.
    pub stopping: atomic::AtomicBool,
}

impl Stage {
    /// Whether the balancer should keep away.
    #[must_use]
    pub fn leaves(&self) -> bool {
        let set = |flag: &atomic::AtomicBool| flag.load(atomic::Ordering::Relaxed);
        set(&self.draining) || set(&self.drained) || set(&self.stopping)
    }

    /// Whether everything is to stop.
    #[must_use]
    pub fn stops(&self) -> bool {
        self.stopping.load(atomic::Ordering::Relaxed)
    }
}

impl Shared {
    /// Feeds one event to the decider, and hands out what follows from it.
    pub fn step(&self, event: event::Event) {
        let actions = {
            let mut decider = locks::lock(&self.decider);
            // The time is read under the lock, so that it never goes back for the decider.
            decider.step(self.clock.now(), event)
        };
        self.cancel_what_runs(&actions);
        self.waiters.deliver(actions);
    }

    fn cancel_what_runs(&self, actions: &[event::Action]) {
        for action in actions {
            if let event::Action::Cancel { req, endpoint } = action
                && let Some(address) = self.address_to_cancel_at(*endpoint)
            {
                let request_id = self.request_id(*req);
                self.cancels.send(address, request_id);
            }
        }
    }

    /// Where an endpoint takes cancellations, if it does. A plain service knows nothing of them: it
    /// would take one for a call of its own.
    fn address_to_cancel_at(&self, endpoint: arena::EndpointKey) -> Option<String> {
        let name = {
            let decider = locks::lock(&self.decider);
            decider.endpoint_name(endpoint).to_owned()
        };
        let directory = locks::lock(&self.directory);
        let identity = &directory.get(&name)?.identity;
        match identity.kind {
            endpoints::Kind::Engine { .. } => Some(identity.address.clone()),
            endpoints::Kind::Service { .. } => None,
        }
    }

    /// A number for a new request.
    #[must_use]
    pub fn next_req(&self) -> event::ReqId {
        event::ReqId(self.last_req.fetch_add(1, atomic::Ordering::Relaxed) + 1)
    }

    /// The id by which callers and operators know a request. It begins with this VM, so that any
    /// control process knows whom to ask about it.
    #[must_use]
    pub fn request_id(&self, req: event::ReqId) -> String {
        format!(
            "{}.{:x}.{:x}",
            self.process.vm, self.process.incarnation.0, req.0
        )
    }

    /// Whether this process may serve with the configuration it has.
    #[must_use]
    pub fn standing(&self) -> freshness::Standing {
        let revision = locks::lock(&self.config).rules.revision;
        locks::lock(&self.freshness).standing(self.clock.now(), revision)
    }

    /// The refusal of a process that may not serve, or none.
    #[must_use]
    pub fn unconfirmed(&self) -> Option<refusal::Refusal> {
        let freshness::Standing::Unconfirmed(doubt) = self.standing() else {
            return None;
        };
        let why = match doubt {
            freshness::Doubt::NeverConfirmed => {
                "this entry process has just started and has not confirmed its configuration"
            }
            freshness::Doubt::Behind => "a later configuration is on its way to this entry process",
            freshness::Doubt::LeasesLapsed => {
                "this entry process cannot reach a majority of the control group"
            }
        };
        let refusal = refusal::Refusal::not_run(verdict::Reason::NotConfirmed, why);
        Some(
            refusal
                .with_retry_after(self.settings.common.lease.sync_interval_ms + time::Millis(750)),
        )
    }

    /// Whether the balancer should send callers here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.stage.leaves() && self.standing().serves()
    }

    /// Takes a report, from its endpoint or another process.
    pub fn take_report(&self, report: endpoints::Report, first_hand: bool) -> directory::Offer {
        let now = self.clock.now();
        let offer = locks::lock(&self.directory).offer(now, report.clone(), first_hand);
        if offer == directory::Offer::Newest {
            if report.leaving {
                log::info!(endpoint = report.identity.endpoint.as_str(); "entry: endpoint leaves");
            }
            locks::lock(&self.crashes).reported(now, &report.identity);
            let age = report.age_ms;
            self.step(event::Event::Report(Box::new(report), age));
        }
        offer
    }

    /// Puts newer configuration in force.
    pub fn take_config(&self, update: messages::ConfigUpdate) {
        let mut config = locks::lock(&self.config);
        match update::apply_update(&mut config.rules, update) {
            update::UpdateOutcome::Applied(revision) => {
                config.since = self.clock.now();
                config.wants_whole = false;
                let rules = config.rules.clone();
                locks::lock(&self.decider).install_rules(rules);
                log::info!(revision:% = revision; "entry: rules in force");
            }
            update::UpdateOutcome::UpToDate => {}
            update::UpdateOutcome::Gap { needed, came } => {
                log::debug!(needed:% = needed, came:% = came; "entry: rules came with a gap");
            }
            update::UpdateOutcome::Inapplicable { revision, problem } => {
                log::error!(revision:% = revision, problem:? = problem;
                    "entry: change does not fit, the whole is asked for");
                config.wants_whole = true;
            }
        }
    }
}
