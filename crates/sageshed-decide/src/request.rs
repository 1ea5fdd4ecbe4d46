//! One open request.

use std::{cmp, sync};

use sageshed_types::{arena, endpoints, rules, time, verdict};

use crate::{event, queue, router};

/// Where a request stands.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum State {
    /// Just arrived, or between two tries.
    Deciding,
    /// Its claim is asked for.
    Claiming,
    /// It waits here.
    Queued,
    /// It is at an endpoint.
    Sent(Sent),
    /// It has ended, and is kept for its account.
    Ended,
}

/// How the claim of a request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Claim {
    /// Not asked for, or not answered yet.
    Missing,
    /// Granted to this arrival.
    Granted,
}

/// A try that is under way.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Sent {
    /// Where.
    pub endpoint: arena::EndpointKey,
    /// The endpoint's start that was known.
    pub incarnation: endpoints::Incarnation,
    /// When it was sent.
    pub at: time::Instant,
    /// Predicted wait inside the endpoint, in milliseconds.
    pub wait: f64,
    /// The limit for its first byte is what the request has left, and not what an endpoint in good
    /// order takes at most.
    pub limited_by_deadline: bool,
}

/// An endpoint that was weighed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ConsideredEndpoint {
    /// Which.
    pub endpoint: arena::EndpointKey,
    /// Estimated time to the whole answer.
    pub estimate: time::Millis,
    /// Whether it had room.
    pub room: bool,
    /// Whether it was taken.
    pub chosen: bool,
    /// How it stood for the request.
    pub standing: router::Eligibility,
}

/// A request from its arrival on.
#[derive(Debug, Clone)]
pub struct Request {
    /// What is known of it.
    pub info: event::RequestInfo,
    /// The class it was put in.
    pub class: arena::ClassKey,
    /// Its priority, by class or rule.
    pub priority: u8,
    /// Whether it may use the slots kept for urgent requests.
    pub urgent: bool,
    /// What is asked of endpoints, by the rule that decided.
    pub lane: queue::Lane,
    /// The rule that decided; none if no rule was asked.
    pub rule: Option<sync::Arc<str>>,
    /// The revision that decided.
    pub revision: rules::Revision,
    /// Whether it may not be repeated.
    pub not_repeatable: bool,
    /// Whether its claim was granted, if it needs one.
    pub claim: Claim,
    /// When it came.
    pub arrived: time::Instant,
    /// Time it has from then.
    pub deadline: time::Millis,
    /// Where it stands.
    pub state: State,
    /// How often it was sent.
    pub attempts: u32,
    /// Endpoints where it failed.
    pub failed_on: Vec<arena::EndpointKey>,
    /// Whether it may have run, over all tries that ended.
    pub verdict: verdict::Verdict,
    /// Whether part of the answer may have reached the caller.
    pub answer_started: bool,
    /// How long it waited before it was first sent.
    pub queued: time::Millis,
    /// The endpoints weighed for the first try.
    pub candidates: Vec<ConsideredEndpoint>,
}

impl Request {
    /// The moment by which its answer should be whole.
    #[must_use]
    pub fn due(&self) -> time::Instant {
        self.arrived + self.deadline
    }

    /// Time left to the deadline.
    #[must_use]
    pub fn left(&self, now: time::Instant) -> time::Millis {
        self.due().since(now)
    }

    /// Its place in its lane.
    #[must_use]
    pub fn queue_key(&self) -> queue::QueueKey {
        queue::QueueKey {
            priority: cmp::Reverse(self.priority),
            deadline: self.due(),
            req: self.info.id,
            class: self.class,
            caller: self.info.caller,
        }
    }

    /// What it needs of an endpoint.
    #[must_use]
    pub fn requirements(&self) -> router::Ask<'_> {
        router::Ask {
            target: self.lane.target,
            pool: self.lane.pool,
            urgent: self.urgent,
            max_tokens: self.info.max_tokens,
            prefix: self.info.prefix,
            failed_on: &self.failed_on,
        }
    }

    /// The model to ask for at the endpoint.
    #[must_use]
    pub fn model(&self) -> Option<arena::ModelKey> {
        match self.lane.target {
            event::Target::Model(key) => Some(key),
            event::Target::Service(_) => None,
        }
    }
}
