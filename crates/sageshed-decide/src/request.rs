//! The state that the decider keeps for each request.

use std::{cmp, sync};

use sageshed_types::{arena, endpoints, rules, time, verdict};

use crate::{event, queue, router};

/// The processing state of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum State {
    /// Just arrived, or between two attempts.
    Deciding,
    /// Waiting for its claim to be granted.
    Claiming,
    /// Waiting in the queue of this process.
    Queued,
    /// Sent to an endpoint.
    Sent(Sent),
    /// Ended, and kept only for its request trace.
    Ended,
}

/// The state of the claim of a non-repeatable request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Claim {
    /// Not requested or not granted yet.
    Missing,
    /// Granted to this request.
    Granted,
}

/// An attempt in progress.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Sent {
    /// The endpoint that it was sent to.
    pub endpoint: arena::EndpointKey,
    /// The incarnation of the endpoint that was known when it was sent.
    pub incarnation: endpoints::Incarnation,
    /// When it was sent.
    pub at: time::Instant,
    /// Predicted wait inside the endpoint, in milliseconds.
    pub wait: f64,
    /// Whether the time limit for the first byte comes from the request's deadline and not from the
    /// expected response time of the endpoint.
    pub limited_by_deadline: bool,
}

/// An endpoint that was considered for a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ConsideredEndpoint {
    /// The endpoint.
    pub endpoint: arena::EndpointKey,
    /// Estimated time to the complete response.
    pub estimate: time::Millis,
    /// Whether it had room for one more request.
    pub room: bool,
    /// Whether it was chosen.
    pub chosen: bool,
    /// Whether it was eligible for the request, and if not, why.
    pub eligibility: router::Eligibility,
}

/// A request and its processing state.
#[derive(Debug, Clone)]
pub struct Request {
    /// What was known on its arrival.
    pub info: event::RequestInfo,
    /// Its class, from the request or from the settings of the caller.
    pub class: arena::ClassKey,
    /// Its priority, from its class or a rule.
    pub priority: u8,
    /// Whether it may use the headroom for urgent requests.
    pub urgent: bool,
    /// The lane in which it is queued, given by its target and the pool that a rule requires.
    pub lane: queue::Lane,
    /// The rule that was applied; `None` if the rules were not evaluated.
    pub rule: Option<sync::Arc<str>>,
    /// The revision of the rules that were applied.
    pub revision: rules::Revision,
    /// Whether it is non-repeatable, as the rules have left it.
    pub not_repeatable: bool,
    /// The state of its claim. Used only if it is non-repeatable.
    pub claim: Claim,
    /// When it arrived.
    pub arrived: time::Instant,
    /// The time until its deadline, from its arrival.
    pub deadline: time::Millis,
    /// Its processing state.
    pub state: State,
    /// The number of attempts so far.
    pub attempts: u32,
    /// Endpoints on which an attempt has failed.
    pub failed_on: Vec<arena::EndpointKey>,
    /// The most pessimistic verdict of all its ended attempts.
    pub verdict: verdict::Verdict,
    /// Whether part of the response may have reached the caller.
    pub response_started: bool,
    /// How long it waited before its first attempt.
    pub queued: time::Millis,
    /// The endpoints considered for the first attempt.
    pub candidates: Vec<ConsideredEndpoint>,
}

impl Request {
    /// The time of its deadline, by which the response should be complete.
    #[must_use]
    pub fn due(&self) -> time::Instant {
        self.arrived + self.deadline
    }

    /// Time left to the deadline.
    #[must_use]
    pub fn left(&self, now: time::Instant) -> time::Millis {
        self.due().since(now)
    }

    /// Its sort key in its lane.
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

    /// What it requires of an endpoint.
    #[must_use]
    pub fn requirements(&self) -> router::Requirements<'_> {
        router::Requirements {
            target: self.lane.target,
            pool: self.lane.pool,
            urgent: self.urgent,
            max_tokens: self.info.max_tokens,
            prefix: self.info.prefix,
            failed_on: &self.failed_on,
        }
    }

    /// The model or adapter to ask the endpoint for; `None` for a plain service.
    #[must_use]
    pub fn model(&self) -> Option<arena::ModelKey> {
        match self.lane.target {
            event::Target::Model(key) => Some(key),
            event::Target::Service(_) => None,
        }
    }
}
