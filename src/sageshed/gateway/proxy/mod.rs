//! Proxies one request from a caller to an endpoint and the response back.
//!
//! # Retries
//!
//! A request that an endpoint has certainly not run may be sent to another one. A request that may have
//! run is sent again only if its route allows a repeated run, to at most as many endpoints as the route
//! allows, and only while the retry budget lasts that all entry processes share. The status of a request
//! that gets no response states whether it may have run: 503 with `Retry-After` if it was not run, 502
//! or 504 if it may have been.

mod attempt;
mod attempt_log;
mod backpressure;
mod caller_wait;
mod completion;
mod coordinator;
mod crash_quarantine;
mod identity;
mod kept_runs;
mod queue_wait;
mod quota;
mod records_check;
mod response_end;
mod resumption;
mod slot;
mod stream;
mod waiting;
mod whole_response;

use std::{
    cell,
    sync::{self, atomic},
    time as std_time,
};

use sageshed_fleet::{
    chooser, config, dialect, event_order, fingerprint, quarantine, silence,
    stream_origins::StreamKey, workspaces,
};
use sageshed_http::{handler, reply, request};
use sageshed_types::{arena, refusal, time, verdict};

use super::{metrics, refuse, response::ResponseSink, routing, state, stream_origins};

/// The retry delay that a refusal names if nothing better is known.
const DEFAULT_RETRY_AFTER: time::Millis = time::Millis(300);

/// The shortest interval at which the events of one stream count as a sign of life of its endpoint.
const ACTIVITY_INTERVAL: std_time::Duration = std_time::Duration::from_millis(200);

/// Handles the requests of callers.
#[derive(Debug)]
pub(super) struct RequestHandler<D> {
    pub(super) shared: sync::Arc<state::Shared<D>>,
}

impl<D: dialect::Dialect> handler::Handler for RequestHandler<D> {
    fn handle(&self, req: request::Request, reply: reply::Reply<'_>) -> reply::Sent {
        let watch = reply.watch();
        let metadata = self.shared.dialect.request_metadata(|name| req.value(name));
        let deadline = metadata.as_ref().ok().and_then(|it| it.deadline);
        let routing = self
            .shared
            .wait_for_routing(req.received, deadline, || watch.caller_gone());
        let Some(routing) = routing else {
            let detail = "no configuration is known here yet";
            let refusal =
                refuse::not_run(verdict::Reason::NotConfirmed, detail, DEFAULT_RETRY_AFTER);
            return self.refuse_unrouted(&req, reply, &refusal);
        };
        if self.shared.is_out_of_date() {
            let detail = "a newer configuration is in force, and is not known here yet";
            let refusal =
                refuse::not_run(verdict::Reason::NotConfirmed, detail, DEFAULT_RETRY_AFTER);
            return self.refuse_unrouted(&req, reply, &refusal);
        }
        // The head of a stream that started before shutdown announced keep-alive, so its caller may send
        // the next request on that connection just before the process exits, which would cut it off.
        if self.shared.refusing.load(atomic::Ordering::Relaxed) {
            let detail = "this entry process is stopping";
            let refusal = refuse::not_run(verdict::Reason::Draining, detail, time::Millis(0));
            return self.refuse_unrouted(&req, reply, &refusal);
        }
        let metadata = match metadata {
            Ok(metadata) => metadata,
            Err(e) => {
                let refusal = refusal::Refusal::not_run(verdict::Reason::BadRequest, e.to_string());
                return self.refuse_unrouted(&req, reply, &refusal);
            }
        };
        let host = req.header("host").unwrap_or_default();
        let Some(route) = routing.table.find(host, &req.path) else {
            let version = routing.config.version;
            let detail = format!("no route of configuration {version} takes this host and path");
            ::log::info!(request = metadata.id.as_deref().unwrap_or_default(), config = version, host,
                path = req.path.as_str(), status = 404; "gateway: request refused, no route takes it");
            let refusal = refusal::Refusal::not_run(verdict::Reason::NotFound, detail);
            return refuse::send(reply, "", &refusal);
        };
        let identity = identity::identify(&routing, route, req.credential);
        let resumption = match &identity {
            Ok(_) => stream_origins::find(&self.shared, &metadata, route),
            Err(_) => stream_origins::Resumption::default(),
        };
        let service = stream_origins::pick_service(&self.shared, route, resumption.began);
        let engines = routing
            .config
            .service(service)
            .and_then(|it| it.engines.as_ref());
        let mut proxied = ProxiedRequest::new(
            &self.shared,
            &req,
            &metadata,
            &routing,
            route,
            service,
            engines,
        );
        reply.end_start();
        match identity {
            Ok(workspace) => {
                proxied.workspace = workspace;
                proxied.stream = resumption.stream;
                proxied.began = resumption.began;
                proxied.run(reply)
            }
            Err(refusal) => proxied.refuse(ResponseSink::NotStarted(reply), &refusal),
        }
    }

    /// A request that arrives later than its deadline can't be served.
    fn body_timeout(&self, head: &request::Request) -> Option<std_time::Duration> {
        let metadata = self
            .shared
            .dialect
            .request_metadata(|name| head.value(name));
        let deadline = metadata.ok().and_then(|it| it.deadline);
        let routing = self.shared.routing();
        let host = head.header("host").unwrap_or_default();
        let route = routing
            .as_ref()
            .and_then(|it| it.table.find(host, &head.path));
        let timeout = route.map(|it| it.timeout);
        let shortest = deadline.into_iter().chain(timeout).min();
        shortest.map(std_time::Duration::from)
    }

    fn body_priority(&self, head: &request::Request) -> u8 {
        let host = head.header("host").unwrap_or_default();
        let routing = self.shared.routing();
        let route = routing
            .as_ref()
            .and_then(|it| it.table.find(host, &head.path));
        route.map_or(0, |it| it.priority)
    }

    fn refuse_early(&self, refusal: refusal::Refusal) -> handler::Stamped {
        ::log::info!(reason:% = refusal.reason, detail = refusal.detail.as_str();
            "gateway: request refused before it was read");
        handler::Stamped {
            request_id: String::new(),
            refusal,
        }
    }
}

impl<D: dialect::Dialect> RequestHandler<D> {
    /// Refuses a request for which no route has been determined yet.
    fn refuse_unrouted(
        &self,
        req: &request::Request,
        reply: reply::Reply<'_>,
        refusal: &refusal::Refusal,
    ) -> reply::Sent {
        let metadata = self.shared.dialect.request_metadata(|name| req.value(name));
        let id = metadata.ok().and_then(|it| it.id).unwrap_or_default();
        ::log::info!(request = id.as_str(), status = refusal.status, reason:% = refusal.reason,
            detail = refusal.detail.as_str(); "gateway: request refused before it was routed");
        refuse::send(reply, "", refusal)
    }
}

/// What to do next with a request.
enum NextStep {
    /// Send it to this endpoint.
    Send(chooser::Pick),
    /// Go on with a run whose endpoint was silent.
    Return,
    /// Refuse it.
    Refuse(refusal::Refusal),
    /// End it, since its caller has disconnected.
    CallerGone,
}

/// The result of one attempt to have an endpoint serve a request.
enum AttemptResult<'c> {
    /// The response was passed on to the caller.
    Done(reply::Sent),
    /// Another attempt may be made.
    Retry(ResponseSink<'c>),
    /// The request is refused.
    Refuse(ResponseSink<'c>, refusal::Refusal),
    /// The caller has disconnected.
    CallerGone(ResponseSink<'c>),
}

/// The state of one request while it is proxied.
struct ProxiedRequest<'a, D> {
    shared: &'a state::Shared<D>,
    req: &'a request::Request,
    metadata: &'a dialect::RequestMetadata,
    /// Identifies the content of the request, which stays the same when its caller retries it.
    content: quarantine::Fingerprint,
    route: &'a config::Route,
    /// The workspace that sends it; none where the configuration does not ask for one.
    workspace: Option<workspaces::WorkspaceRef>,
    /// The version of the configuration by which `workspace` was determined.
    identified_by_version: u64,
    /// The version of the configuration by which it was routed.
    routed_by_version: u64,
    /// Whether that configuration has workspaces, so that API keys are meant for this system.
    requires_api_keys: bool,
    service: &'a str,
    /// The engines of the service; none for a plain service.
    engines: Option<&'a config::EnginePool>,
    wanted: Option<&'a dialect::ModelRef>,
    /// The configured model that it asks for.
    model: Option<&'a config::Model>,
    /// When its response must be complete.
    deadline: std_time::Instant,
    tried_endpoints: Vec<arena::EndpointKey>,
    /// Its stream, until the version that begins or resumes that is recorded; none if no caller can take it up.
    stream: Option<StreamKey>,
    /// The software version that began its stream.
    began: chooser::BeganAt,
    /// The quarantined part of its prompt for which it is passed on as a trial.
    trial: cell::Cell<Option<quarantine::Fingerprint>>,
    /// The age of the endpoint records when it was sent last.
    records_age: cell::Cell<time::Millis>,
    /// How many endpoints may have run it.
    possible_runs: u32,
    /// How many endpoints have received it.
    deliveries: u32,
    /// How many of these have rejected it.
    rejections: u32,
    /// Why the latest attempt failed, as the refusal tells the caller.
    last_failure: String,
    /// Its engine time in microseconds, once its demand was counted for the report to the leader.
    counted_us: cell::Cell<Option<u64>>,
    /// The slot of the attempt in progress.
    slot: cell::Cell<Option<slot::HeldSlot>>,
    /// Its key in queues, if its next attempt is sent by a grant.
    granted: cell::Cell<Option<u64>>,
    /// What limits it if this process chooses its endpoint of a plain service.
    local_limit: slot::LocalLimit,
    /// Its runs that are kept while another endpoint is tried.
    kept_runs: Vec<kept_runs::KeptRun>,
    /// When another endpoint may be tried for a silent one.
    next_switch: std_time::Instant,
    /// The quota charged for its next attempt.
    next_charge: Option<quota::Charge>,
    /// The quota charged for the attempt in progress.
    committed_charge: Option<quota::Charge>,
    /// Whether it is counted in a retry budget, of this process or of a coordinator.
    is_counted_for_retries: cell::Cell<bool>,
    /// Whether the coordinator of the service had a retry left when it replied last.
    has_coordinator_retries: cell::Cell<bool>,
    /// The retry that was taken for its next attempt.
    retry: cell::Cell<waiting::HeldRetry>,
    /// Whether it could have been retried, but the retry budget was spent.
    is_retry_budget_spent: bool,
    /// What it waits for in this process, or waited for last.
    waited_for: Option<chooser::WaitReason>,
    timings: StreamTimings,
    /// The order of the events of its stream that have reached its caller, with this request or an earlier one.
    event_order: event_order::EventOrder,
    /// Whether its stream was broken off inside an event, so that another run has to bring one at least.
    misses_event: bool,
    /// The bytes of events that were passed on.
    passed_on: u64,
    attempt_log: attempt_log::AttemptLog,
}

/// When the events of a stream arrived, for the log: one long pause makes a stream late.
#[derive(Debug, Default)]
struct StreamTimings {
    first_event: std_time::Duration,
    longest_pause: std_time::Duration,
    last_event: Option<std_time::Instant>,
    /// When the latest chunk had been passed on to the caller. A slow reader may block that for seconds.
    last_sent: Option<std_time::Instant>,
    activity_recorded: Option<std_time::Instant>,
}

impl StreamTimings {
    /// Records the start of the stream, unless it is resumed at another endpoint.
    fn record_start(&mut self, received: std_time::Instant) {
        if self.last_event.is_none() {
            self.first_event = received.elapsed();
        }
    }

    /// Whether events arrive without a pause that would count as a silence.
    fn is_flowing(&self) -> bool {
        self.last_event
            .is_some_and(|it| it.elapsed() < silence::MIN_PAUSE.into())
    }

    /// Describes the timing of a response for its request trace.
    fn describe(&self) -> String {
        if self.last_event.is_none() {
            return "answered".to_owned();
        }
        let (first, longest) = (self.first_event.as_millis(), self.longest_pause.as_millis());
        format!("answered; its stream began after {first} ms, its longest pause was {longest} ms")
    }

    /// Records the arrival of events. Returns whether it should be recorded as a sign of life of the endpoint.
    fn record_events(&mut self) -> bool {
        let now = std_time::Instant::now();
        if let Some(last) = self.last_event.replace(now) {
            self.longest_pause = self.longest_pause.max(now - last);
        }
        let is_due = self
            .activity_recorded
            .is_none_or(|at| now - at >= ACTIVITY_INTERVAL);
        if is_due {
            self.activity_recorded = Some(now);
        }
        is_due
    }
}

impl<'a, D: dialect::Dialect> ProxiedRequest<'a, D> {
    fn new(
        shared: &'a state::Shared<D>,
        req: &'a request::Request,
        metadata: &'a dialect::RequestMetadata,
        routing: &'a routing::Routing,
        route: &'a config::Route,
        service: &'a str,
        engines: Option<&'a config::EnginePool>,
    ) -> Self {
        let span = metadata
            .deadline
            .map_or(route.timeout, |it| it.min(route.timeout));
        let wanted = metadata.model.as_ref().filter(|_| engines.is_some());
        let offered = engines.into_iter().flat_map(|it| &it.models);
        let mut named = offered.filter(|it| wanted.is_some_and(|wanted| wanted.model == it.name));
        Self {
            shared,
            req,
            metadata,
            content: content_of(req),
            route,
            workspace: None,
            identified_by_version: routing.config.version,
            routed_by_version: routing.config.version,
            requires_api_keys: routing.workspaces.is_some(),
            service,
            engines,
            wanted,
            model: named.next(),
            deadline: req.received + span.into(),
            tried_endpoints: Vec::new(),
            stream: None,
            began: chooser::BeganAt::NotBegun,
            trial: cell::Cell::new(None),
            records_age: cell::Cell::default(),
            possible_runs: 0,
            deliveries: 0,
            rejections: 0,
            last_failure: String::new(),
            counted_us: cell::Cell::new(None),
            slot: cell::Cell::new(None),
            granted: cell::Cell::new(None),
            local_limit: slot::LocalLimit::default(),
            kept_runs: Vec::new(),
            next_switch: req.received,
            next_charge: None,
            committed_charge: None,
            is_counted_for_retries: cell::Cell::new(false),
            has_coordinator_retries: cell::Cell::new(false),
            retry: cell::Cell::new(waiting::HeldRetry::None),
            is_retry_budget_spent: false,
            waited_for: None,
            timings: StreamTimings::default(),
            event_order: received_events(metadata, route),
            misses_event: false,
            passed_on: 0,
            attempt_log: attempt_log::AttemptLog::default(),
        }
    }

    fn run(mut self, reply: reply::Reply<'_>) -> reply::Sent {
        let watch = reply.watch();
        let mut sink = ResponseSink::NotStarted(reply);
        let now = self.shared.clock.now();
        if !self.has_slot_coordinators() {
            self.count_for_retries(now);
        }
        if let Some(refusal) = self.charge_quota() {
            return self.refuse(sink, &refusal);
        }
        let sent = loop {
            let result = match self.next(&watch) {
                NextStep::Send(pick) => self.send(&pick, sink, &watch),
                NextStep::Return => self.return_to_kept_run(sink, &watch),
                NextStep::Refuse(refusal) => AttemptResult::Refuse(sink, refusal),
                NextStep::CallerGone => AttemptResult::CallerGone(sink),
            };
            sink = match result {
                AttemptResult::Done(sent) => break sent,
                AttemptResult::Retry(back) => back,
                AttemptResult::Refuse(back, _) if self.has_kept_run_in_time() => {
                    self.delay_switch();
                    back
                }
                AttemptResult::Refuse(sink, refusal) => break self.refuse(sink, &refusal),
                AttemptResult::CallerGone(sink) => break self.finish_caller_gone(sink, &watch),
            };
        };
        self.end_kept_runs(metrics::SilenceEnd::RequestEnded);
        self.return_retry();
        self.refund_charge();
        sent
    }

    /// Whether a silent endpoint may still respond before the deadline.
    fn has_kept_run_in_time(&self) -> bool {
        !self.kept_runs.is_empty() && self.time_left() > time::Millis(0)
    }

    /// Counts the request in this process's part of the retry budget, unless it is counted already.
    fn count_for_retries(&self, now: time::Instant) {
        if !self.is_counted_for_retries.replace(true) {
            self.shared
                .with_core(|core| core.budget.request(now, self.service));
        }
    }

    fn id(&self) -> &str {
        self.metadata.id.as_deref().unwrap_or_default()
    }

    fn time_left(&self) -> time::Millis {
        let left = self
            .deadline
            .saturating_duration_since(std_time::Instant::now());
        left.into()
    }
}

/// The order of the events that the caller has received with an earlier request, if it resumes a stream.
fn received_events(
    metadata: &dialect::RequestMetadata,
    route: &config::Route,
) -> event_order::EventOrder {
    match &metadata.resume_after {
        Some(id) if route.kind == config::RequestKind::ResumableStream => {
            event_order::EventOrder::after(id)
        }
        _ => event_order::EventOrder::default(),
    }
}

fn content_of(req: &request::Request) -> quarantine::Fingerprint {
    let host = req.header("host").unwrap_or_default();
    fingerprint::of(
        &req.method,
        host,
        &req.path,
        req.query.as_deref(),
        &req.body,
    )
}
