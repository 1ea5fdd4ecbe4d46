//! The life of one request, from a caller to an endpoint and back.
//!
//! # What may be sent again
//!
//! What an endpoint has certainly not run may go to another. What may have run goes to another only
//! where the route says that it may run again, to no more endpoints than the route says, and only
//! while the budget for repeats lasts, which all entry processes share. A request that ends without
//! an answer is told the truth: 503 with when to come back where it was not run, 502 or 504 where it
//! may have been.

mod attempt;
mod backpressure;
mod ending;
mod held;
mod home;
mod identity;
mod quota;
mod story;
mod stream;
mod waiting;

use std::{
    cell,
    sync::{self, atomic},
    time as std_time,
};

use sageshed_fleet::{chooser, config, dialect, fingerprint, quarantine, routes, workspaces};
use sageshed_http::{handler, reply, request};
use sageshed_types::{arena, refusal, time, verdict};

use super::{answer::Outlet, refuse, routing, state};

/// When a request comes back that was turned away since it can't be in time now.
const BACK_SOON: time::Millis = time::Millis(300);

/// How often the events of one stream tell that its endpoint lives.
const TOLD_EVERY: std_time::Duration = std_time::Duration::from_millis(200);

/// Takes callers' requests.
#[derive(Debug)]
pub(super) struct Port<D> {
    pub(super) shared: sync::Arc<state::Shared<D>>,
}

impl<D: dialect::Dialect> handler::Handler for Port<D> {
    fn handle(&self, req: request::Request, reply: reply::Reply<'_>) -> reply::Sent {
        let watch = reply.watch();
        let passing = self.shared.dialect.passing(|name| req.header(name));
        let deadline = passing.as_ref().ok().and_then(|it| it.deadline);
        let routing = self
            .shared
            .routing_soon(req.received, deadline, || watch.caller_gone());
        let Some(routing) = routing else {
            let detail = "no configuration is known here yet";
            let refusal = refuse::not_run(verdict::Reason::NotConfirmed, detail, BACK_SOON);
            return self.refuse_unrouted(&req, reply, &refusal);
        };
        if self.shared.is_out_of_date() {
            let detail = "a newer configuration is in force, and is not known here yet";
            let refusal = refuse::not_run(verdict::Reason::NotConfirmed, detail, BACK_SOON);
            return self.refuse_unrouted(&req, reply, &refusal);
        }
        // A stream that began before the stop has promised to keep its connection, and its caller may
        // send the next request on it in the last moment. It would be cut by the end of the process.
        if self.shared.refusing.load(atomic::Ordering::Relaxed) {
            let detail = "this entry process is stopping";
            let refusal = refuse::not_run(verdict::Reason::Draining, detail, time::Millis(0));
            return self.refuse_unrouted(&req, reply, &refusal);
        }
        let passing = match passing {
            Ok(passing) => passing,
            Err(e) => {
                let refusal = refusal::Refusal::not_run(verdict::Reason::BadRequest, e.to_string());
                return self.refuse_unrouted(&req, reply, &refusal);
            }
        };
        let host = req.header("host").unwrap_or_default();
        let Some(route) = routing.table.find(host, &req.path) else {
            let version = routing.config.version;
            let detail = format!("no route of configuration {version} takes this host and path");
            ::log::info!(request = passing.id.as_deref().unwrap_or_default(), config = version, host,
                path = req.path.as_str(), status = 404; "gateway: request refused, no route takes it");
            let refusal = refusal::Refusal::not_run(verdict::Reason::NotFound, detail);
            return refuse::send(reply, "", &refusal);
        };
        let draw = self.shared.with_core(|core| core.chooser.draw());
        let service = routes::pick(&route.targets, draw).map_or("", |it| it.service.as_str());
        let engines = routing
            .config
            .service(service)
            .and_then(|it| it.engines.as_ref());
        let identity = identity::identify(&routing, route, req.credential);
        let mut life = Life::new(
            &self.shared,
            &req,
            &passing,
            &routing,
            route,
            service,
            engines,
        );
        match identity {
            Ok(workspace) => {
                life.workspace = workspace;
                life.run(reply)
            }
            Err(refusal) => life.refused(Outlet::Fresh(reply), &refusal),
        }
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

impl<D: dialect::Dialect> Port<D> {
    /// Refuses a request before a route was found for it.
    fn refuse_unrouted(
        &self,
        req: &request::Request,
        reply: reply::Reply<'_>,
        refusal: &refusal::Refusal,
    ) -> reply::Sent {
        let passing = self.shared.dialect.passing(|name| req.header(name));
        let id = passing.ok().and_then(|it| it.id).unwrap_or_default();
        ::log::info!(request = id.as_str(), status = refusal.status, reason:% = refusal.reason,
            detail = refusal.detail.as_str(); "gateway: request refused before it was routed");
        refuse::send(reply, "", refusal)
    }
}

/// What to do next with a request.
enum Step {
    /// Send it.
    Send(chooser::Pick),
    /// Give it up.
    Refuse(refusal::Refusal),
    /// Nobody waits for it any more.
    Gone,
}

/// What came of sending a request.
enum Sending<'c> {
    /// It is answered.
    Done(reply::Sent),
    /// It goes on elsewhere.
    Again(Outlet<'c>),
    /// It is given up.
    Refuse(Outlet<'c>, refusal::Refusal),
    /// Nobody waits for it any more.
    Gone(Outlet<'c>),
}

/// One request.
struct Life<'a, D> {
    shared: &'a state::Shared<D>,
    req: &'a request::Request,
    passing: &'a dialect::Passing,
    /// The same in each try of its caller.
    content: quarantine::Fingerprint,
    route: &'a config::Route,
    /// Who sends it, as far as the configuration asks.
    workspace: Option<workspaces::WorkspaceRef>,
    /// The configuration by which that was found.
    identified_by: u64,
    /// Whether that one has workspaces, so that keys are for this system.
    asks_for_keys: bool,
    service: &'a str,
    wanted: Option<&'a dialect::Wanted>,
    /// The model that it is for, as the configuration offers it.
    model: Option<&'a config::Model>,
    /// When its final answer is due.
    until: std_time::Instant,
    tried: Vec<arena::EndpointKey>,
    /// Endpoints that may have run it.
    runs: u32,
    /// Endpoints that it arrived at.
    arrivals: u32,
    last: String,
    /// What it asks for was counted for the leader.
    is_counted: cell::Cell<bool>,
    /// What was taken of its workspace's quota for its next sending.
    charge: Option<quota::Charge>,
    /// The same for the sending under way.
    used: Option<quota::Charge>,
    /// A repeat was taken out of the budget for its next sending.
    repeat_in_hand: bool,
    /// It could have been sent once more, and the budget for repeats was spent.
    lacks_repeat: bool,
    /// What it waits for here, or waited for last.
    waited_for: Option<chooser::WaitReason>,
    paces: Paces,
    story: story::Story,
}

/// When the pieces of a stream came, for the log: a stream is late by one long pause.
#[derive(Debug, Default)]
struct Paces {
    first: std_time::Duration,
    longest: std_time::Duration,
    last: Option<std_time::Instant>,
    told: Option<std_time::Instant>,
}

impl Paces {
    /// The stream has begun; not for the first time where it goes on elsewhere.
    fn begun(&mut self, received: std_time::Instant) {
        if self.last.is_none() {
            self.first = received.elapsed();
        }
    }

    /// The paces of an answer in a few words.
    fn outcome(&self) -> String {
        if self.last.is_none() {
            return "answered".to_owned();
        }
        let (first, longest) = (self.first.as_millis(), self.longest.as_millis());
        format!("answered; its stream began after {first} ms, its longest pause was {longest} ms")
    }

    /// Notes a piece. Returns whether it is time to tell that the endpoint lives.
    fn piece(&mut self) -> bool {
        let now = std_time::Instant::now();
        if let Some(last) = self.last.replace(now) {
            self.longest = self.longest.max(now - last);
        }
        let is_due = self.told.is_none_or(|at| now - at >= TOLD_EVERY);
        if is_due {
            self.told = Some(now);
        }
        is_due
    }
}

impl<'a, D: dialect::Dialect> Life<'a, D> {
    fn new(
        shared: &'a state::Shared<D>,
        req: &'a request::Request,
        passing: &'a dialect::Passing,
        routing: &'a routing::Routing,
        route: &'a config::Route,
        service: &'a str,
        engines: Option<&'a config::EnginePool>,
    ) -> Self {
        let span = passing
            .deadline
            .map_or(route.timeout, |it| it.min(route.timeout));
        let wanted = passing.model.as_ref().filter(|_| engines.is_some());
        let offered = engines.into_iter().flat_map(|it| &it.models);
        let mut named = offered.filter(|it| wanted.is_some_and(|wanted| wanted.model == it.name));
        Self {
            shared,
            req,
            passing,
            content: content_of(req),
            route,
            workspace: None,
            identified_by: routing.config.version,
            asks_for_keys: routing.workspaces.is_some(),
            service,
            wanted,
            model: named.next(),
            until: req.received + span.into(),
            tried: Vec::new(),
            runs: 0,
            arrivals: 0,
            last: String::new(),
            is_counted: cell::Cell::new(false),
            charge: None,
            used: None,
            repeat_in_hand: false,
            lacks_repeat: false,
            waited_for: None,
            paces: Paces::default(),
            story: story::Story::default(),
        }
    }

    fn run(mut self, reply: reply::Reply<'_>) -> reply::Sent {
        let watch = reply.watch();
        let mut outlet = Outlet::Fresh(reply);
        let now = self.shared.clock.now();
        self.shared.with_core(|core| {
            core.budget.request(now, self.service);
        });
        if let Some(refusal) = self.charge() {
            return self.refused(outlet, &refusal);
        }
        loop {
            let pick = match self.next(&watch) {
                Step::Send(pick) => pick,
                Step::Refuse(refusal) => return self.refused(outlet, &refusal),
                Step::Gone => return self.left(outlet),
            };
            match self.send(&pick, outlet, &watch) {
                Sending::Done(sent) => return sent,
                Sending::Again(back) => outlet = back,
                Sending::Refuse(outlet, refusal) => return self.refused(outlet, &refusal),
                Sending::Gone(outlet) => return self.left(outlet),
            }
        }
    }

    fn id(&self) -> &str {
        self.passing.id.as_deref().unwrap_or_default()
    }

    fn left_ms(&self) -> time::Millis {
        let left = self
            .until
            .saturating_duration_since(std_time::Instant::now());
        left.into()
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
