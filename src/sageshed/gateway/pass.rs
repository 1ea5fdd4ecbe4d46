//! The life of one request, from a caller to an endpoint and back.
//!
//! # What may be sent again
//!
//! What an endpoint has certainly not run may go to another. What may have run goes to another only
//! where the route says that it may run again, to no more endpoints than the route says, and only
//! while the budget for repeats lasts, which all entry processes share. A request that ends without
//! an answer is told the truth: 503 with when to come back where it was not run, 502 or 504 where it
//! may have been.

use std::{
    sync::{self, atomic},
    time as std_time,
};

use sageshed_fleet::{chooser, config, dialect, messages, routes};
use sageshed_http::{handler, reply, request};
use sageshed_types::{arena, headers, refusal, time, verdict};
use sageshed_upstream::{exchange, failure};

use super::{answer::Outlet, metrics, neighbours, refuse, sampler, state};

/// The largest answer that is not a stream, in bytes.
const ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// The longest that a request waits here before it looks again whether its caller is still there.
const LOOK: std_time::Duration = std_time::Duration::from_millis(100);

/// How long a kept connection may have been idle for a request that must not run twice: if the
/// endpoint closes it in that moment, the request is lost and can't be sent again.
const YOUNG: std_time::Duration = std_time::Duration::from_millis(1_500);

/// The same for a request that may be sent again.
const KEPT: std_time::Duration = std_time::Duration::from_secs(10);

/// Silence for this many times the objective sends an idempotent request to another endpoint.
const SILENT_OBJECTIVES: u64 = 3;

/// The shortest silence that does, in milliseconds.
const SHORTEST_SILENCE: std_time::Duration = std_time::Duration::from_millis(300);

/// A stream that may go on elsewhere does so after this silence between two events: callers leave a
/// stream after two seconds of it.
const STREAM_SILENCE: std_time::Duration = std_time::Duration::from_secs(1);

/// When a request comes back that was turned away since it can't be in time now.
const BACK_SOON: time::Millis = time::Millis(300);

/// What must be left of the time for a late request to let others go first. Callers leave a stream of
/// which nothing came for two seconds and more.
const LATE_RESERVE: time::Millis = time::Millis(2_000);

/// What must be left once the requests before it are read, for a request to wait on.
const READ_RESERVE: time::Millis = time::Millis(800);

/// Added to the time of a load: room has to be made first, and others may load too.
const LOAD_SLACK: time::Millis = time::Millis(3_000);

/// Added to the estimate of a request before it leaves an endpoint that says nothing at all.
const MOVED_AFTER: std_time::Duration = std_time::Duration::from_millis(700);

/// The part of its objective that a request waits for an engine that reads little, in hundredths.
const CALM_PATIENCE: u64 = 35;

/// How often an adapter is asked for on behalf of one request.
const FETCHES: u32 = 3;

/// How long one such question is given. An adapter is there after some 30 ms.
const FETCH_WAIT: std_time::Duration = std_time::Duration::from_millis(80);

/// The part of its objective that a request waits for a place, in hundredths.
const PLACE_PATIENCE: u64 = 60;

/// A rejection that was not a run is worth another try after this long.
const AFTER_REJECTION: std_time::Duration = std_time::Duration::from_millis(8);

/// Takes callers' requests.
#[derive(Debug)]
pub(super) struct Port<D> {
    pub(super) shared: sync::Arc<state::Shared<D>>,
}

impl<D: dialect::Dialect> handler::Handler for Port<D> {
    fn handle(&self, req: request::Request, reply: reply::Reply<'_>) -> reply::Sent {
        let Some(routing) = self.shared.routing() else {
            let detail = "no configuration is known here yet";
            let refusal = refuse::not_run(verdict::Reason::NotConfirmed, detail, BACK_SOON);
            return refuse::send(reply, "", &refusal);
        };
        // A stream that began before the stop has promised to keep its connection, and its caller may
        // send the next request on it in the last moment. It would be cut by the end of the process.
        if self.shared.refusing.load(atomic::Ordering::Relaxed) {
            let detail = "this entry process is stopping";
            let refusal = refuse::not_run(verdict::Reason::Draining, detail, time::Millis(0));
            return refuse::send(reply, "", &refusal);
        }
        let passing = match self.shared.dialect.passing(|name| req.header(name)) {
            Ok(passing) => passing,
            Err(e) => {
                let refusal = refusal::Refusal::not_run(verdict::Reason::BadRequest, e.to_string());
                return refuse::send(reply, "", &refusal);
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
        Life::new(&self.shared, &req, &passing, route, service, engines).run(reply)
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
    route: &'a config::Route,
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
    paces: Paces,
}

/// When the pieces of a stream came, for the log: a stream is late by one long pause.
#[derive(Debug, Default)]
struct Paces {
    first: std_time::Duration,
    longest: std_time::Duration,
    last: Option<std_time::Instant>,
    told: Option<std_time::Instant>,
}

/// How often the events of one stream tell that its endpoint lives.
const TOLD_EVERY: std_time::Duration = std_time::Duration::from_millis(200);

impl Paces {
    /// The stream has begun; not for the first time where it goes on elsewhere.
    fn begun(&mut self, received: std_time::Instant) {
        if self.last.is_none() {
            self.first = received.elapsed();
        }
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
            route,
            service,
            wanted,
            model: named.next(),
            until: req.received + span.into(),
            tried: Vec::new(),
            runs: 0,
            arrivals: 0,
            last: String::new(),
            paces: Paces::default(),
        }
    }

    fn run(mut self, reply: reply::Reply<'_>) -> reply::Sent {
        let watch = reply.watch();
        let mut outlet = Outlet::Fresh(reply);
        let now = self.shared.clock.now();
        self.shared.with_core(|core| {
            core.budget.request(now, self.service);
            if let Some(wanted) = self.wanted {
                core.ask(self.service, wanted, self.passing);
            }
        });
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

    /// Chooses where to send the request next, and waits as long as that makes sense.
    fn next(&mut self, watch: &reply::Watch) -> Step {
        let mut ticket = None;
        let step = self.next_with(watch, &mut ticket);
        if let Some(ticket) = ticket {
            let model = self.model_name();
            self.shared
                .with_core(|core| core.backlog.leave(model, ticket));
        }
        step
    }

    fn next_with(&mut self, watch: &reply::Watch, ticket: &mut Option<u64>) -> Step {
        let arrived = std_time::Instant::now();
        let mut told_waiting = false;
        let mut fetches = 0;
        loop {
            if watch.caller_gone() {
                return Step::Gone;
            }
            let left = self.left_ms();
            if left == time::Millis(0) {
                return Step::Refuse(self.out_of_time());
            }
            let now = self.shared.clock.now();
            let ask = chooser::Ask {
                service: self.service,
                wanted: self.wanted,
                parts: &self.passing.parts,
                prompt_tokens: self.passing.prompt_tokens,
                tried: &self.tried,
                left,
                patience: time::Millis::from(
                    self.calm_patience().saturating_sub(arrived.elapsed()),
                ),
                on_time: self.on_time(),
                may_be_late: left > LATE_RESERVE,
                may_fetch: fetches < FETCHES,
            };
            let (choice, seen) = self
                .shared
                .with_core(|core| (core.chooser.choose(now, &ask), core.changes()));
            let missing = match choice {
                chooser::Choice::Send(pick) => return self.may_send(now, pick),
                chooser::Choice::TooLate { estimate } => {
                    let detail = format!(
                        "the answer would begin in {} ms, and {} ms are left",
                        estimate.0, left.0
                    );
                    return Step::Refuse(self.give_up(verdict::Reason::DeadlineUnmeetable, detail));
                }
                chooser::Choice::Fetch { instance } => {
                    fetches += 1;
                    self.want(now, instance);
                    let _changes = self.shared.wait(seen, FETCH_WAIT.min(left.into()));
                    continue;
                }
                chooser::Choice::Wait(missing) => missing,
            };
            let waited = arrived.elapsed();
            if missing == chooser::Missing::Model && !told_waiting {
                told_waiting = true;
                self.tell_waiting();
            }
            if let Some(expected) = self.hopeless(now, missing, left, ticket) {
                let detail = format!(
                    "those before it take {} ms, and {} ms are left",
                    expected.0, left.0
                );
                let refusal = self.give_up(verdict::Reason::DeadlineUnmeetable, detail);
                let back = expected.0.saturating_sub(left.0).max(BACK_SOON.0);
                return Step::Refuse(refusal.retry_after(time::Millis(back)));
            }
            let load = self.load_time(missing);
            if waited >= self.patience(missing, load) || left <= load {
                return Step::Refuse(self.not_served(missing, load));
            }
            let limit = LOOK.min(left.into());
            let waiting = &self.shared.waiting;
            waiting.fetch_add(1, atomic::Ordering::Relaxed);
            let _changes = self.shared.wait(seen, limit);
            waiting.fetch_sub(1, atomic::Ordering::Relaxed);
            if missing == chooser::Missing::Adapter {
                // The leader may have been lost with the question.
                fetches = 0;
            }
        }
    }

    /// The second and each further arrival at an endpoint takes from the budget.
    fn may_send(&mut self, now: time::Instant, pick: chooser::Pick) -> Step {
        if self.arrivals == 0 {
            return Step::Send(pick);
        }
        let allowed = self.shared.with_core(|core| {
            let entries = core.entries.len();
            core.budget.spend(now, self.service, entries)
        });
        if allowed {
            return Step::Send(pick);
        }
        self.ended(&pick, false, chooser::Ended::GivenUp);
        let detail = format!("{}, and no repeat is left in the budget", self.last);
        Step::Refuse(self.give_up(verdict::Reason::EndpointFailed, detail))
    }

    /// Whether a request that waits for an engine to have read can't be reached in its time, by those
    /// that wait here before it. Returns how long it would take.
    fn hopeless(
        &self,
        now: time::Instant,
        missing: chooser::Missing,
        left: time::Millis,
        ticket: &mut Option<u64>,
    ) -> Option<time::Millis> {
        let wanted = self.wanted.filter(|_| missing == chooser::Missing::Place)?;
        let expected = self.shared.with_core(|core| {
            let tokens = self.passing.prompt_tokens;
            let ticket = ticket.get_or_insert_with(|| core.backlog.enter(&wanted.model, tokens));
            core.backlog.expected(now, &wanted.model, *ticket)
        })?;
        (expected + READ_RESERVE > left).then_some(expected)
    }

    /// How long to wait for what is missing.
    fn patience(&self, missing: chooser::Missing, load: time::Millis) -> std_time::Duration {
        let objective = self.route.objective.0;
        match missing {
            chooser::Missing::Model => (load + LOAD_SLACK).into(),
            chooser::Missing::Adapter => self.route.timeout.into(),
            // It waits while it has time: an engine that can read it comes free by and by.
            chooser::Missing::Place if self.wanted.is_some() => self.route.timeout.into(),
            chooser::Missing::Place | chooser::Missing::Endpoint => {
                std_time::Duration::from_millis(objective * PLACE_PATIENCE / 100)
            }
        }
    }

    /// How long what is missing takes to be loaded; zero where it is no model.
    fn load_time(&self, missing: chooser::Missing) -> time::Millis {
        match (missing, self.model) {
            (chooser::Missing::Model, Some(model)) => self
                .shared
                .with_core(|core| core.chooser.load_time(self.service, model)),
            _ => time::Millis(0),
        }
    }

    /// What is left until the answer would be late.
    fn on_time(&self) -> time::Millis {
        let objective = std_time::Duration::from(self.route.objective);
        objective.saturating_sub(self.req.received.elapsed()).into()
    }

    /// How long a request waits for an engine that reads little, before it makes do with any.
    fn calm_patience(&self) -> std_time::Duration {
        std_time::Duration::from_millis(self.route.objective.0 * CALM_PATIENCE / 100)
    }

    /// Lets the leader know of a request that waits for its model.
    fn tell_waiting(&self) {
        if let Some(wanted) = self.wanted {
            self.shared
                .with_core(|core| core.wait_for_model(self.service, &wanted.model));
        }
    }

    /// Asks the leader to have the adapter of this request loaded on an engine.
    fn want(&self, now: time::Instant, engine: String) {
        let Some((model, adapter)) = self
            .wanted
            .and_then(|it| Some((it.model.clone(), it.adapter.clone()?)))
        else {
            return;
        };
        let want = messages::WantReq {
            service: self.service.to_owned(),
            model,
            adapter,
            engine: Some(engine),
        };
        let adapter = want.adapter.as_str();
        if !self.shared.with_core(|core| core.says_want(now, &want)) {
            return;
        }
        let Some(leader) = self.shared.leader() else {
            return ::log::info!(request = self.id(), adapter; "gateway: adapter wanted, no leader known");
        };
        let port = self.shared.settings.discovery.vms_port;
        let address = std::net::SocketAddrV4::new(leader, port).to_string();
        let answer: Result<messages::WantResp, _> =
            self.shared
                .client
                .call(&address, messages::paths::WANT, &want, LOOK * 3);
        match answer {
            Ok(messages::WantResp::Taken) => {
                ::log::debug!(request = self.id(), adapter; "gateway: adapter wanted");
            }
            Ok(messages::WantResp::NotLeader { leader }) => self.shared.set_leader(leader),
            Err(e) => {
                ::log::info!(request = self.id(), adapter, error:% = e; "gateway: adapter wanted in vain");
            }
        }
    }

    /// Sends the request to `pick` and passes the answer on.
    fn send<'c>(
        &mut self,
        pick: &chooser::Pick,
        outlet: Outlet<'c>,
        watch: &reply::Watch,
    ) -> Sending<'c> {
        let sent_at = std_time::Instant::now();
        neighbours::tell(self.shared, pick);
        let movable = self.route.repeat.may_run_again() && self.runs + 1 < self.route.attempts;
        let expected = std_time::Duration::from(pick.estimate) + MOVED_AFTER;
        let stop = || {
            let is_late = movable && sent_at.elapsed() > expected;
            watch.caller_gone() || (is_late && self.is_suspected(pick))
        };
        let patience = exchange::Patience {
            until: self.until.min(sent_at + self.silence()),
            stop: &stop,
        };
        let resume = outlet.last_id().map(str::to_owned);
        let answer = self.exchange(pick, resume.as_deref(), &patience);
        let exchange = match answer.and_then(|it| self.own_answer(it, &patience)) {
            Ok(exchange) => exchange,
            Err(failure) => return self.failed(pick, outlet, failure, watch),
        };
        self.arrivals += 1;
        self.judge(pick, exchange, outlet, sent_at, watch)
    }

    fn is_suspected(&self, pick: &chooser::Pick) -> bool {
        let now = self.shared.clock.now();
        self.shared
            .with_core(|core| core.chooser.is_suspected(now, pick))
    }

    /// How long an endpoint may be silent before the request goes elsewhere.
    fn silence(&self) -> std_time::Duration {
        let is_last = self.runs + 1 >= self.route.attempts;
        if is_last || self.route.repeat != config::Repeat::Idempotent {
            return self.route.timeout.into();
        }
        let objective = std_time::Duration::from(self.route.objective);
        let factor = u32::try_from(SILENT_OBJECTIVES).unwrap_or(1);
        (objective * factor).max(SHORTEST_SILENCE)
    }

    fn exchange<S: Fn() -> bool>(
        &self,
        pick: &chooser::Pick,
        resume_behind: Option<&str>,
        patience: &exchange::Patience<'_, S>,
    ) -> Result<exchange::Exchange, failure::Failure> {
        let onward = dialect::Onward {
            instance: &pick.instance,
            time_left: self.left_ms(),
            urgency: Some(self.route.priority.min(9)),
            resume_behind,
        };
        let set = self.shared.dialect.onward(&onward);
        let mut list: Vec<(&str, &[u8])> = Vec::with_capacity(self.req.headers.len() + set.len());
        for header in &self.req.headers {
            let is_set = set
                .iter()
                .any(|(name, _)| header.name.eq_ignore_ascii_case(name));
            if !is_set && self.passes_on(&header.name) {
                list.push((&header.name, &header.value));
            }
        }
        list.extend(set.iter().map(|(name, value)| (*name, value.as_bytes())));
        let target = match &self.req.query {
            Some(query) => format!("{}?{query}", self.req.path),
            None => self.req.path.clone(),
        };
        let req = exchange::Request {
            method: &self.req.method,
            target: &target,
            headers: list,
            body: &self.req.body,
        };
        let max_age = if self.route.repeat.may_run_again() {
            KEPT
        } else {
            YOUNG
        };
        self.shared
            .pool
            .exchange(pick.address, &req, max_age, patience)
    }

    fn passes_on(&self, name: &str) -> bool {
        let is = |it: &&str| name.eq_ignore_ascii_case(it);
        let of_connection = headers::OF_CONNECTION.iter().any(is) && !is(&"host");
        !of_connection
            && !self.req.is_connection_option(name)
            && !self.shared.dialect.stays_here(name)
    }

    /// Passes over answers to earlier requests on the same connection.
    fn own_answer<S: Fn() -> bool>(
        &self,
        mut exchange: exchange::Exchange,
        patience: &exchange::Patience<'_, S>,
    ) -> Result<exchange::Exchange, failure::Failure> {
        while self.is_foreign(&exchange) {
            ::log::warn!(request = self.id(); "gateway: answer to another request passed over");
            exchange = exchange.next_answer(ANSWER_BYTES, patience)?;
        }
        Ok(exchange)
    }

    fn is_foreign(&self, exchange: &exchange::Exchange) -> bool {
        let head = &exchange.head;
        let answered = self.shared.dialect.answered(head.status, |it| head.get(it));
        answered
            .id
            .is_some_and(|id| Some(id) != self.passing.id.as_deref())
    }

    /// Decides by the head of an answer what becomes of it.
    fn judge<'c>(
        &mut self,
        pick: &chooser::Pick,
        mut exchange: exchange::Exchange,
        outlet: Outlet<'c>,
        sent_at: std_time::Instant,
        watch: &reply::Watch,
    ) -> Sending<'c> {
        let stop = &|| watch.caller_gone();
        let head = exchange.head.clone();
        let answered = self.shared.dialect.answered(head.status, |it| head.get(it));
        let patience = exchange::Patience {
            until: self.until,
            stop,
        };
        let is_rejected = matches!(
            answered.word,
            dialect::Word::NotRun | dialect::Word::Misdirected
        );
        if is_rejected {
            if exchange.read_whole(ANSWER_BYTES, &patience).is_ok() {
                self.shared.pool.keep(pick.address, exchange);
            }
            return self.rejected(pick, outlet, &answered, head.status);
        }
        self.runs += 1;
        let is_success = (200..300).contains(&head.status);
        let is_vouched = answered.word == dialect::Word::Vouched;
        if is_success && !is_vouched {
            let detail = "a success that the endpoint does not vouch for";
            return self.unusable(pick, outlet, detail.to_owned());
        }
        let claims_not_run = matches!(head.status, 408 | 421 | 429 | 503);
        let may_go_elsewhere = self.route.repeat.may_run_again() && self.runs < self.route.attempts;
        if !is_success && (claims_not_run || !is_vouched) {
            let detail = format!("the endpoint answered with status {}", head.status);
            return self.unusable(pick, outlet, detail);
        }
        if head.status >= 500 && may_go_elsewhere {
            let detail = format!("the endpoint failed with status {}", head.status);
            return self.unusable(pick, outlet, detail);
        }
        let is_events = head
            .get("content-type")
            .is_some_and(|it| it.starts_with("text/event-stream"));
        if is_success && is_events {
            return self.stream(pick, exchange, outlet, sent_at, stop, answered.load);
        }
        match exchange.read_whole(ANSWER_BYTES, &patience) {
            Ok(body) => {
                self.began(pick, sent_at, answered.load);
                let failed = head.status >= 500;
                let how = if failed {
                    chooser::Ended::Failed
                } else {
                    chooser::Ended::Answered
                };
                self.ended(pick, true, how);
                self.shared.pool.keep(pick.address, exchange);
                self.answered(pick, head.status, sent_at);
                Sending::Done(outlet.whole(&head, &body))
            }
            Err(failure) => self.failed_after_run(pick, outlet, false, &failure),
        }
    }

    /// Passes a stream on, event by event.
    fn stream<'c>(
        &mut self,
        pick: &chooser::Pick,
        mut exchange: exchange::Exchange,
        outlet: Outlet<'c>,
        sent_at: std_time::Instant,
        stop: &impl Fn() -> bool,
        load: Option<dialect::Load>,
    ) -> Sending<'c> {
        let mut piece = match exchange.read(&self.stream_patience(stop)) {
            Ok(piece) => piece,
            Err(failure) => return self.failed_after_run(pick, outlet, false, &failure),
        };
        self.began(pick, sent_at, load);
        self.paces.begun(self.req.received);
        let (mut stream, mut events) = outlet.begin(&exchange.head);
        loop {
            match piece {
                exchange::Piece::Bytes(bytes) => {
                    let whole = events.push(self.shared.dialect, &bytes);
                    if self.paces.piece() {
                        let now = self.shared.clock.now();
                        self.shared
                            .with_core(|core| core.chooser.heard_from(now, pick));
                    }
                    if stream.send(&whole).is_err() {
                        self.ended(pick, true, chooser::Ended::GivenUp);
                        return Sending::Gone(Outlet::Begun(stream, events));
                    }
                }
                exchange::Piece::End => {
                    let rest = events.take_rest();
                    if stream.send(&rest).is_err() {
                        ::log::info!(request = self.id(); "gateway: caller left at the end of its stream");
                    }
                    self.ended(pick, true, chooser::Ended::Answered);
                    let exchange_status = exchange.head.status;
                    self.shared.pool.keep(pick.address, exchange);
                    self.answered(pick, exchange_status, sent_at);
                    return Sending::Done(stream.finish());
                }
            }
            piece = match exchange.read(&self.stream_patience(stop)) {
                Ok(piece) => piece,
                Err(failure) => {
                    events.drop_rest();
                    // Closed before the stream goes on elsewhere, so that the run there ends.
                    drop(exchange);
                    let outlet = Outlet::Begun(stream, events);
                    return self.failed_after_run(pick, outlet, true, &failure);
                }
            };
        }
    }

    fn stream_patience<'s, S: Fn() -> bool>(&self, stop: &'s S) -> exchange::Patience<'s, S> {
        let goes_on = self.route.repeat.may_run_again() && self.runs < self.route.attempts;
        let until = if goes_on {
            self.until.min(std_time::Instant::now() + STREAM_SILENCE)
        } else {
            self.until
        };
        exchange::Patience { until, stop }
    }

    fn began(&self, pick: &chooser::Pick, sent_at: std_time::Instant, load: Option<dialect::Load>) {
        let now = self.shared.clock.now();
        let took = sent_at.elapsed().into();
        let parts = &self.passing.parts;
        self.shared.with_core(|core| {
            core.chooser.began(now, pick, parts, took, load);
            if let Some(wanted) = self.wanted {
                let tokens = self.passing.prompt_tokens;
                core.backlog.read(now, &wanted.model, tokens);
            }
        });
        neighbours::tell(self.shared, pick);
        self.shared.place_freed();
    }

    fn ended(&self, pick: &chooser::Pick, began: bool, how: chooser::Ended) {
        let now = self.shared.clock.now();
        self.shared
            .with_core(|core| core.chooser.ended(now, pick, self.wanted, began, how));
        if !began {
            neighbours::tell(self.shared, pick);
        }
        self.shared.place_freed();
    }

    /// The endpoint says that it has not run the request.
    fn rejected<'c>(
        &mut self,
        pick: &chooser::Pick,
        outlet: Outlet<'c>,
        answered: &dialect::Answered<'_>,
        status: u16,
    ) -> Sending<'c> {
        ::log::info!(request = self.id(), endpoint = pick.instance.as_str(), status;
            "gateway: endpoint rejected the request and has not run it");
        self.last = format!(
            "endpoint {} rejected it with status {status}",
            pick.instance
        );
        let is_replaced = answered.instance.is_some_and(|it| it != pick.instance);
        if answered.word == dialect::Word::Misdirected && is_replaced {
            self.ended(pick, false, chooser::Ended::GivenUp);
            self.shared.replaced(&pick.instance);
        } else if answered.word == dialect::Word::Misdirected {
            self.ended(pick, false, chooser::Ended::Misdirected);
        } else {
            self.ended(pick, false, chooser::Ended::Refused);
            self.tried.push(pick.key);
            std::thread::sleep(AFTER_REJECTION);
        }
        Sending::Again(outlet)
    }

    /// An answer came that can't be passed on; the request may have run.
    fn unusable<'c>(
        &mut self,
        pick: &chooser::Pick,
        outlet: Outlet<'c>,
        detail: String,
    ) -> Sending<'c> {
        let failure = failure::Failure {
            cause: failure::Cause::Malformed,
            is_sent: true,
            detail,
        };
        self.failed_after_run(pick, outlet, false, &failure)
    }

    /// No head of an answer came.
    fn failed<'c>(
        &mut self,
        pick: &chooser::Pick,
        outlet: Outlet<'c>,
        mut failure: failure::Failure,
        watch: &reply::Watch,
    ) -> Sending<'c> {
        let began = false;
        let is_interrupted = failure.cause == failure::Cause::Interrupted;
        if is_interrupted && watch.caller_gone() {
            self.ended(pick, began, chooser::Ended::GivenUp);
            return Sending::Gone(outlet);
        }
        if is_interrupted {
            // The caller waits still: the endpoint said nothing, to this request or any other.
            failure.cause = failure::Cause::Silent;
        }
        if !failure.is_sent {
            ::log::info!(request = self.id(), endpoint = pick.instance.as_str(), error:% = failure;
                "gateway: endpoint not reached, the request was not sent");
            self.last = format!("endpoint {} was not reached: {failure}", pick.instance);
            self.ended(pick, began, chooser::Ended::Unreachable);
            self.shared.pool.forget(pick.address);
            self.tried.push(pick.key);
            return Sending::Again(outlet);
        }
        self.arrivals += 1;
        self.runs += 1;
        self.failed_after_run(pick, outlet, began, &failure)
    }

    /// The request may have run, and no whole answer came.
    fn failed_after_run<'c>(
        &mut self,
        pick: &chooser::Pick,
        outlet: Outlet<'c>,
        began: bool,
        failure: &failure::Failure,
    ) -> Sending<'c> {
        if failure.cause == failure::Cause::Interrupted {
            self.ended(pick, began, chooser::Ended::GivenUp);
            return Sending::Gone(outlet);
        }
        ::log::info!(request = self.id(), endpoint = pick.instance.as_str(), error:% = failure,
            runs = self.runs, begun = outlet.is_begun(); "gateway: endpoint failed, the request may have run");
        self.last = format!("endpoint {} failed: {failure}", pick.instance);
        let is_over = self.left_ms() == time::Millis(0);
        let how = match failure.cause {
            failure::Cause::Silent if !began => chooser::Ended::Silent,
            _ => chooser::Ended::Failed,
        };
        self.ended(pick, began, how);
        self.tried.push(pick.key);
        let goes_on = self.route.repeat.may_run_again() && self.runs < self.route.attempts;
        // Without the id of an event nothing says where the stream would go on.
        let can_resume = !outlet.is_begun() || outlet.last_id().is_some();
        if goes_on && can_resume && !is_over {
            return Sending::Again(outlet);
        }
        let refusal = if is_over {
            self.out_of_time()
        } else {
            let detail = self.last.clone();
            self.give_up(verdict::Reason::EndpointFailed, detail)
        };
        Sending::Refuse(outlet, refusal)
    }

    /// The final answer for a request whose time is over.
    fn out_of_time(&self) -> refusal::Refusal {
        self.give_up(
            verdict::Reason::DeadlinePassed,
            "its time is over".to_owned(),
        )
    }

    fn not_served(&self, missing: chooser::Missing, load: time::Millis) -> refusal::Refusal {
        let detail = match missing {
            chooser::Missing::Endpoint => "no endpoint of the service can be reached now",
            chooser::Missing::Model => "no engine holds the model, and a load would take too long",
            chooser::Missing::Adapter => "no engine holds the adapter yet",
            chooser::Missing::Place => "all endpoints of the service are busy",
        };
        let refusal = self.give_up(verdict::Reason::NoRoute, detail.to_owned());
        match refusal.retry_after {
            // There will be room when the load is done, and not before.
            Some(soon) => refusal.retry_after(soon.max(load)),
            None => refusal,
        }
    }

    /// What a request is told that is given up. The status says truly whether it may have run.
    fn give_up(&self, reason: verdict::Reason, detail: String) -> refusal::Refusal {
        if self.runs == 0 {
            return refuse::not_run(reason, detail, BACK_SOON);
        }
        let verdict = verdict::Verdict::MayHaveRun;
        let reason = match reason {
            verdict::Reason::DeadlinePassed => reason,
            _ => verdict::Reason::EndpointFailed,
        };
        refusal::Refusal::new(reason, verdict, detail)
    }

    fn refused(&self, outlet: Outlet<'_>, refusal: &refusal::Refusal) -> reply::Sent {
        ::log::info!(request = self.id(), route = self.route.name.as_str(),
            config = self.shared.version(), model = self.model_name(), status = refusal.status,
            reason:% = refusal.reason, detail = refusal.detail.as_str(), verdict:% = refusal.verdict,
            left_ms = self.left_ms().0; "gateway: request refused");
        self.note(metrics::End::Refused, refusal.status);
        outlet.refuse("", refusal)
    }

    fn left(&self, outlet: Outlet<'_>) -> reply::Sent {
        ::log::info!(request = self.id(), route = self.route.name.as_str(); "gateway: caller left");
        self.note(metrics::End::CallerGone, 0);
        let detail = "the caller closed its connection";
        let refusal = self.give_up(verdict::Reason::DeadlinePassed, detail.to_owned());
        outlet.refuse("", &refusal)
    }

    /// Notes a request that is answered, with what its endpoint was chosen by.
    fn answered(&self, pick: &chooser::Pick, status: u16, sent_at: std_time::Instant) {
        let took = self.note(metrics::End::Answered, status);
        let line = self.shared.sampler.success(self.shared.clock.now());
        if let sampler::Line::WriteAfter(left_out) = line {
            ::log::info!(left_out; "gateway: successes left out of the log in the last second");
        }
        if line == sampler::Line::LeaveOut {
            return;
        }
        let sent = sent_at.duration_since(self.req.received);
        ::log::info!(request = self.id(), route = self.route.name.as_str(), status,
            config = self.shared.version(), endpoint = pick.instance.as_str(),
            model = self.model_name(), tokens = pick.tokens, estimate_ms = pick.estimate.0,
            runs = self.runs, sent_ms = time::Millis::from(sent).0,
            first_ms = time::Millis::from(self.paces.first).0,
            pause_ms = time::Millis::from(self.paces.longest).0,
            took_ms = time::Millis::from(took).0; "gateway: request answered");
    }

    fn model_name(&self) -> &str {
        self.wanted.map_or("", |it| it.model.as_str())
    }

    /// Counts a request that has ended. Returns how long it took.
    fn note(&self, end: metrics::End, status: u16) -> std_time::Duration {
        let took = self.req.received.elapsed();
        self.shared
            .metrics
            .ended(self.service, self.route.priority, end, status, took);
        took
    }
}
