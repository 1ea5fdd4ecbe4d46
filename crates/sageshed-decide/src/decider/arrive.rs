//! Arrival of a request: applies the first matching rule and the rate limits, then hands the request
//! over to admission control.

use sageshed_types::{arena, refusal, rules as types_rules, time, verdict};

use crate::{event, limits, names, queue, request, rules};

use super::{Actions, Decider, RefusalCause};

/// The result of applying the rules and rate limits to a request.
enum RuleOutcome {
    /// The request proceeds to admission.
    Continue,
    /// The request is refused.
    Refuse(RefusalCause),
}

impl Decider {
    pub(super) fn handle_arrival(
        &mut self,
        now: time::Instant,
        info: event::RequestInfo,
        out: &mut Actions,
    ) {
        let req = info.id;
        let request = self.new_request(now, info);
        self.requests.insert(req, request);
        self.expiries.insert((self.expiry(req), req));
        if self.refusing_new {
            let cause = RefusalCause {
                reason: verdict::Reason::Draining,
                detail: "this entry process is shutting down; another one will take it".to_owned(),
                retry_after: Some(time::Millis(0)),
            };
            return self.refuse(now, req, cause, out);
        }
        match self.apply_rules(now, req) {
            RuleOutcome::Refuse(cause) => self.refuse(now, req, cause, out),
            RuleOutcome::Continue => self.admit_new(now, req, out),
        }
    }

    fn new_request(&self, now: time::Instant, info: event::RequestInfo) -> request::Request {
        let caller = self.names.caller_row(info.caller);
        let class = info.class.unwrap_or(caller.class);
        let row = self.names.class_row(class);
        request::Request {
            info,
            class,
            priority: row.priority,
            urgent: row.priority >= self.policy.urgent_priority,
            lane: queue::Lane {
                target: info.target,
                pool: None,
            },
            rule: None,
            revision: self.rules.revision(),
            not_repeatable: info.not_repeatable,
            claim: request::Claim::Missing,
            arrived: now,
            deadline: info.deadline.unwrap_or(row.deadline),
            state: request::State::Deciding,
            attempts: 0,
            failed_on: Vec::new(),
            verdict: verdict::Verdict::NotRun,
            response_started: false,
            queued: time::Millis(0),
            candidates: Vec::new(),
        }
    }

    /// Applies the first matching rule, then the limit of the caller.
    fn apply_rules(&mut self, now: time::Instant, req: event::ReqId) -> RuleOutcome {
        let Some(request) = self.requests.get(&req) else {
            return RuleOutcome::Continue;
        };
        let query = query(request, &self.names);
        let Some(rule) = self.rules.first_match(&query).cloned() else {
            self.set_rule(req, None);
            return self.check_caller_limit(now, req);
        };
        self.set_rule(req, Some(&rule));
        let id = &rule.id;
        match &rule.compiled_action {
            rules::CompiledAction::Route { .. } => self.check_caller_limit(now, req),
            rules::CompiledAction::RouteToUnknown { model } => RuleOutcome::Refuse(RefusalCause {
                reason: verdict::Reason::NoRoute,
                detail: format!("rule `{id}` asks the model `{model}`, which is not offered here"),
                retry_after: None,
            }),
            rules::CompiledAction::Refuse(refuse) => RuleOutcome::Refuse(rule_refused(id, refuse)),
            rules::CompiledAction::Limit { limit, slot } => {
                match self.check_rule_limit(now, req, *limit, *slot, id) {
                    RuleOutcome::Continue => self.check_caller_limit(now, req),
                    refused @ RuleOutcome::Refuse(_) => refused,
                }
            }
        }
    }

    /// Records the rule that applies to the request, and applies the properties that it sets.
    fn set_rule(&mut self, req: event::ReqId, rule: Option<&rules::Rule>) {
        let old = self.expiry(req);
        let Some(request) = self.requests.get_mut(&req) else {
            return;
        };
        let id = rule.map(|rule| std::sync::Arc::clone(&rule.id));
        request.rule = Some(id.unwrap_or_else(|| std::sync::Arc::from(refusal::DEFAULT_RULE)));
        if let Some(rule) = rule {
            apply_rule(request, rule);
            request.urgent = request.priority >= self.policy.urgent_priority;
        }
        self.expiries.remove(&(old, req));
        self.expiries.insert((self.expiry(req), req));
    }

    fn check_caller_limit(&mut self, now: time::Instant, req: event::ReqId) -> RuleOutcome {
        let Some(request) = self.requests.get(&req) else {
            return RuleOutcome::Continue;
        };
        let caller = request.info.caller;
        let row = self.names.caller_row(caller);
        let Some(rate) = row.rate else {
            return RuleOutcome::Continue;
        };
        let share = limits::Share::new(rate, row.burst.unwrap_or(rate), self.entries);
        match self
            .limits
            .take(now, limits::BucketKey::Caller(caller), share)
        {
            limits::LimitOutcome::Within => RuleOutcome::Continue,
            limits::LimitOutcome::Over(retry_after) => RuleOutcome::Refuse(RefusalCause {
                reason: verdict::Reason::CallerLimit,
                detail: format!(
                    "caller `{}` is over its limit of {rate} requests a second",
                    self.names.callers.name(caller)
                ),
                retry_after,
            }),
        }
    }

    fn check_rule_limit(
        &mut self,
        now: time::Instant,
        req: event::ReqId,
        limit: types_rules::Limit,
        slot: u32,
        id: &str,
    ) -> RuleOutcome {
        let Some(request) = self.requests.get(&req) else {
            return RuleOutcome::Continue;
        };
        let bucket_key = bucket_key(limit.per, slot, request);
        let share = limits::Share::new(limit.rate, limit.burst, self.entries);
        match self.limits.take(now, bucket_key, share) {
            limits::LimitOutcome::Within => RuleOutcome::Continue,
            limits::LimitOutcome::Over(retry_after) => RuleOutcome::Refuse(RefusalCause {
                reason: verdict::Reason::RuleLimit,
                detail: format!(
                    "rule `{id}` allows {} requests a second over all entry processes",
                    limit.rate
                ),
                retry_after,
            }),
        }
    }

    /// Counts a request that passed the rules and limits as demand, and admits it.
    fn admit_new(&mut self, now: time::Instant, req: event::ReqId, out: &mut Actions) {
        if let Some(request) = self.requests.get(&req) {
            self.demand.arrived(request.lane.target);
        }
        self.admit(now, req, out);
    }

    /// Handles a granted claim. The request is admitted anew, since the queue and the endpoints may have
    /// changed since the claim was requested.
    pub(super) fn handle_claim_granted(
        &mut self,
        now: time::Instant,
        req: event::ReqId,
        out: &mut Actions,
    ) {
        let Some(request) = self.requests.get_mut(&req) else {
            return;
        };
        if request.state != request::State::Claiming {
            return;
        }
        request.claim = request::Claim::Granted;
        request.state = request::State::Deciding;
        self.admit(now, req, out);
    }
}

fn query(request: &request::Request, names: &names::Names) -> rules::Query {
    rules::Query {
        caller: request.info.caller,
        class: request.class,
        target: request.info.target,
        streaming: request.info.streaming,
        not_repeatable: request.info.not_repeatable,
        prompt_tokens: request.info.prompt_tokens,
        priority: names.class_row(request.class).priority,
    }
}

/// Applies the deadline, the repeatability and the route that a rule sets.
///
/// A deadline of the caller that is shorter than that of the rule takes precedence. A rule may mark
/// any request as non-repeatable, but removes the mark only if it comes from the HTTP method.
fn apply_rule(request: &mut request::Request, rule: &rules::Rule) {
    if let Some(deadline) = rule.deadline {
        let asked = request.info.deadline.unwrap_or(deadline);
        request.deadline = deadline.min(asked);
    }
    match rule.not_repeatable {
        Some(true) => request.not_repeatable = true,
        Some(false) if request.info.not_repeatable_by_default => request.not_repeatable = false,
        _ => {}
    }
    if let rules::CompiledAction::Route {
        pool,
        model,
        priority,
    } = rule.compiled_action
    {
        request.lane.pool = pool;
        request.priority = priority.unwrap_or(request.priority);
        if let (event::Target::Model(_), Some(model)) = (request.info.target, model) {
            request.lane.target = event::Target::Model(model);
        }
    }
}

fn rule_refused(id: &str, refuse: &types_rules::Refuse) -> RefusalCause {
    let detail = if refuse.reason.is_empty() {
        format!("rule `{id}` refuses it")
    } else {
        format!("rule `{id}` refuses it: {}", refuse.reason)
    };
    RefusalCause {
        reason: verdict::Reason::RuleRefused,
        detail,
        retry_after: refuse.retry_after_ms,
    }
}

fn bucket_key(
    per: types_rules::LimitScope,
    slot: u32,
    request: &request::Request,
) -> limits::BucketKey {
    let class: arena::ClassKey = request.class;
    match (per, request.info.target) {
        (types_rules::LimitScope::Rule, _) => limits::BucketKey::Rule(slot),
        (types_rules::LimitScope::Caller, _) => {
            limits::BucketKey::RuleCaller(slot, request.info.caller)
        }
        (types_rules::LimitScope::Class, _) => limits::BucketKey::RuleClass(slot, class),
        (types_rules::LimitScope::Model, event::Target::Model(key)) => {
            limits::BucketKey::RuleModel(slot, key)
        }
        (types_rules::LimitScope::Model, event::Target::Service(key)) => {
            limits::BucketKey::RuleService(slot, key)
        }
    }
}
