//! The decisions of one entry process.

use sageshed_types::{account, arena, messages, refusal, rules, time, verdict};

use crate::{event, names, settings};

/// Decides for one entry process.
#[derive(Debug)]
pub struct Decider {
    names: names::Names,
    policy: settings::Policy,
    rules: rules::RuleSet,
}

/// The part of a request's account that is decided here.
#[derive(Debug, Clone, PartialEq)]
pub struct AccountPart {
    /// The rule that decided, or `default`; none if no rule was asked.
    pub rule: Option<String>,
    /// The revision that decided.
    pub revision: rules::Revision,
    /// The class it was put in.
    pub class: String,
    /// Whether it is treated as one that may not be repeated.
    pub not_repeatable: bool,
    /// Time it had from its arrival.
    pub deadline: time::Millis,
    /// How long it waited here before it was first sent.
    pub queued: time::Millis,
    /// The endpoints weighed for the first try.
    pub candidates: Vec<account::Candidate>,
}

/// Figures for metrics.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Gauges {
    /// Requests known: waiting, claiming or sent.
    pub open: usize,
    /// Requests sent and not ended.
    pub in_flight: usize,
    /// Requests waiting here, by class name.
    pub queued: Vec<(String, usize)>,
    /// Endpoints known and not gone.
    pub endpoints: usize,
    /// Of these, ejected now.
    pub ejected: usize,
    /// Of these, leaving.
    pub leaving: usize,
    /// Retries that the budget would allow now.
    pub retry_tokens: f64,
    /// Whether the process is shutting down.
    pub draining: bool,
}

impl Decider {
    /// A decider that knows no endpoint and no rule. The same seed and events give the same actions.
    #[must_use]
    pub fn new(settings: settings::Settings, seed: u64) -> Self {
        let _ = seed;
        Self {
            names: names::Names::new(&settings),
            policy: settings.policy,
            rules: rules::RuleSet::default(),
        }
    }

    /// The names known, for look-ups both ways.
    #[must_use]
    pub fn names(&self) -> &names::Names {
        &self.names
    }

    /// The caller whose token has this SHA-256 (lower-case hexadecimal).
    #[must_use]
    pub fn caller_by_token_hash(&self, hash: &str) -> Option<arena::CallerKey> {
        self.names.caller_by_token_hash(hash)
    }

    /// The class of this name.
    #[must_use]
    pub fn class(&self, name: &str) -> Option<arena::ClassKey> {
        self.names.classes.get(name)
    }

    /// The model or adapter on offer under this name.
    #[must_use]
    pub fn model(&self, name: &str) -> Option<event::Target> {
        self.names.model(name)
    }

    /// The plain service on offer under this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<event::Target> {
        self.names.service(name)
    }

    /// Puts rules in force.
    pub fn install_rules(&mut self, set: rules::RuleSet) {
        self.rules = set;
    }

    /// The revision in force.
    #[must_use]
    pub fn revision(&self) -> rules::Revision {
        self.rules.revision
    }

    /// Takes one event and says what to do.
    pub fn step(&mut self, now: time::Instant, event: event::Event) -> Vec<event::Action> {
        let _ = (now, &self.policy);
        match event {
            event::Event::Arrived(facts) => vec![event::Action::Refuse {
                req: facts.id,
                refusal: refusal::Refusal::not_run(verdict::Reason::NoRoute, "no endpoint known"),
            }],
            _ => Vec::new(),
        }
    }

    /// The key of an endpoint that has been heard.
    #[must_use]
    pub fn endpoint(&self, name: &str) -> Option<arena::EndpointKey> {
        self.names.endpoints.get(name)
    }

    /// The endpoint's name.
    #[must_use]
    pub fn endpoint_name(&self, endpoint: arena::EndpointKey) -> &str {
        self.names.endpoints.name(endpoint)
    }

    /// The endpoint's `IP:port`, by its newest report.
    #[must_use]
    pub fn endpoint_address(&self, endpoint: arena::EndpointKey) -> &str {
        self.names.endpoints.name(endpoint)
    }

    /// What was decided about a request: while it is open, and for a while after its end.
    #[must_use]
    pub fn account(&self, req: event::ReqId) -> Option<AccountPart> {
        let _ = req;
        None
    }

    /// What was asked for since the last call, by target.
    pub fn demand(&mut self) -> Vec<messages::Demand> {
        Vec::new()
    }

    /// Figures for metrics.
    #[must_use]
    pub fn gauges(&self) -> Gauges {
        Gauges::default()
    }
}
