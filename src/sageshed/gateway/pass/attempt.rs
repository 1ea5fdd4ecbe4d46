//! One sending of a request: the exchange with an endpoint, and what its answer or its failure says
//! about the next step.

use std::time as std_time;

use sageshed_fleet::{chooser, config, dialect, entry_peers as words};
use sageshed_http::reply;
use sageshed_types::{headers, time, verdict};
use sageshed_upstream::{exchange, failure};

use super::{Life, Sending};
use crate::gateway::{answer::Outlet, neighbours};

/// The largest answer that is not a stream, in bytes.
const ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// How long a kept connection may have been idle for a request that must not run twice: if the
/// endpoint closes it in that moment, the request is lost and can't be sent again.
const YOUNG: std_time::Duration = std_time::Duration::from_millis(1_500);

/// The same for a request that may be sent again.
const KEPT: std_time::Duration = std_time::Duration::from_secs(10);

/// Silence for this many times the objective sends an idempotent request to another endpoint.
const SILENT_OBJECTIVES: u64 = 3;

/// The shortest silence that does, in milliseconds.
const SHORTEST_SILENCE: std_time::Duration = std_time::Duration::from_millis(300);

/// Added to the estimate of a request before it leaves an endpoint that says nothing at all.
const MOVED_AFTER: std_time::Duration = std_time::Duration::from_millis(700);

/// A rejection that was not a run is worth another try after this long.
const AFTER_REJECTION: std_time::Duration = std_time::Duration::from_millis(8);

impl<D: dialect::Dialect> Life<'_, D> {
    /// Sends the request to `pick` and passes the answer on.
    pub(super) fn send<'c>(
        &mut self,
        pick: &chooser::Pick,
        outlet: Outlet<'c>,
        watch: &reply::Watch,
    ) -> Sending<'c> {
        let sent_at = std_time::Instant::now();
        neighbours::tell(self.shared, pick);
        self.count_sending(pick);
        self.use_charge();
        let waited = self.req.received.elapsed();
        self.story.sent(pick, waited.into());
        let expected = std_time::Duration::from(pick.estimate) + MOVED_AFTER;
        let silence = self.silence();
        let stop = || {
            let waited = sent_at.elapsed();
            let is_silent = silence.is_some_and(|longest| waited > longest);
            let is_late = is_silent || (waited > expected && self.is_suspected(pick));
            watch.caller_gone() || (is_late && self.may_move())
        };
        let patience = exchange::Patience {
            until: self.until,
            stop: &stop,
        };
        let resume = outlet.last_id().map(str::to_owned);
        let answer = self.exchange(pick, resume.as_deref(), &patience);
        let exchange = match answer.and_then(|it| self.own_answer(pick, it, &patience)) {
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

    /// Whether the request could go to another endpoint now, while it runs at one.
    fn may_move(&self) -> bool {
        let may_run_again = self.route.repeat.may_run_again();
        may_run_again && self.runs + 1 < self.route.attempts && self.has_repeat()
    }

    /// How long an endpoint may be silent before an idempotent request goes elsewhere.
    fn silence(&self) -> Option<std_time::Duration> {
        if self.route.repeat != config::Repeat::Idempotent {
            return None;
        }
        let objective = std_time::Duration::from(self.route.objective);
        let factor = u32::try_from(SILENT_OBJECTIVES).unwrap_or(1);
        Some((objective * factor).max(SHORTEST_SILENCE))
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
            urgency: Some(self.priority().min(9)),
            resume_behind,
            workspace: self.workspace.as_ref().map(|it| it.name.as_str()),
        };
        let set = self.shared.dialect.onward(&onward);
        let mut list: Vec<(&str, &[u8])> = Vec::with_capacity(self.req.headers.len() + set.len());
        for header in &self.req.headers {
            let is_set = set
                .iter()
                .any(|(name, _)| header.name.eq_ignore_ascii_case(name));
            // Whoever gets a key can act as its holder.
            let is_key = self.asks_for_keys && header.is_credential();
            if !is_set && !is_key && self.passes_on(&header.name) {
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
        pick: &chooser::Pick,
        mut exchange: exchange::Exchange,
        patience: &exchange::Patience<'_, S>,
    ) -> Result<exchange::Exchange, failure::Failure> {
        loop {
            let head = &exchange.head;
            let answered = self.shared.dialect.answered(head.status, |it| head.get(it));
            self.heed(pick, &answered);
            if !self.is_foreign(&answered) {
                return Ok(exchange);
            }
            ::log::warn!(request = self.id(); "gateway: answer to another request passed over");
            exchange = exchange.next_answer(ANSWER_BYTES, patience)?;
        }
    }

    fn is_foreign(&self, answered: &dialect::Answered<'_>) -> bool {
        let id = answered.id;
        id.is_some_and(|id| Some(id) != self.passing.id.as_deref())
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
                    chooser::AttemptOutcome::Failed
                } else {
                    chooser::AttemptOutcome::Answered
                };
                self.ended(pick, true, how);
                self.shared.pool.keep(pick.address, exchange);
                self.answered(pick, head.status, body.len() as u64, sent_at);
                Sending::Done(outlet.whole(&head, &body))
            }
            Err(failure) => self.failed_after_run(pick, outlet, false, &failure),
        }
    }

    pub(super) fn began(
        &self,
        pick: &chooser::Pick,
        sent_at: std_time::Instant,
        load: Option<dialect::Load>,
    ) {
        let now = self.shared.clock.now();
        let took = sent_at.elapsed().into();
        let parts = &self.passing.parts;
        let read = self.wanted.map(|wanted| chooser::Prefill { wanted, parts });
        self.shared.with_core(|core| {
            core.chooser
                .record_response_start(now, pick, read, took, load);
            if let Some(wanted) = self.wanted {
                let tokens = self.passing.prompt_tokens;
                core.backlog.record_prefill(now, &wanted.model, tokens);
            }
        });
        match read {
            Some(read) => neighbours::tell_read(self.shared, pick, read, took, load),
            None => neighbours::tell(self.shared, pick),
        }
        self.shared.place_freed();
    }

    pub(super) fn ended(&self, pick: &chooser::Pick, began: bool, how: chooser::AttemptOutcome) {
        let now = self.shared.clock.now();
        self.shared
            .with_core(|core| core.chooser.record_end(now, pick, self.wanted, began, how));
        neighbours::tell_ended(self.shared, pick, began, self.trouble(how));
        self.shared.place_freed();
    }

    /// What others are to know of an engine after a request of this kind has ended `how`.
    fn trouble(&self, how: chooser::AttemptOutcome) -> Option<words::EngineFault> {
        let model = self.wanted.map(|it| words::name_key(&it.model))?;
        match how {
            chooser::AttemptOutcome::Answered | chooser::AttemptOutcome::GivenUp => None,
            chooser::AttemptOutcome::Refused => Some(words::EngineFault::Rejects(model)),
            chooser::AttemptOutcome::Misdirected if self.is_adapter() => None,
            chooser::AttemptOutcome::Misdirected => Some(words::EngineFault::Lacks(model)),
            chooser::AttemptOutcome::Failed => Some(words::EngineFault::Fails),
            chooser::AttemptOutcome::Unreachable => Some(words::EngineFault::Unreachable),
            chooser::AttemptOutcome::Silent => Some(words::EngineFault::Silent),
        }
    }

    fn is_adapter(&self) -> bool {
        self.wanted.is_some_and(|it| it.adapter.is_some())
    }

    /// The endpoint says that it has not run the request.
    fn rejected<'c>(
        &mut self,
        pick: &chooser::Pick,
        outlet: Outlet<'c>,
        answered: &dialect::Answered<'_>,
        status: u16,
    ) -> Sending<'c> {
        ::log::info!(request = self.id(), endpoint:% = pick.instance, status;
            "gateway: endpoint rejected the request and has not run it");
        self.last = format!(
            "endpoint {} rejected it with status {status}",
            pick.instance
        );
        self.story.came_to(verdict::Verdict::NotRun, &self.last);
        self.unuse_charge();
        let is_replaced = answered.endpoint.is_some_and(|it| it != pick.instance.name);
        if answered.word == dialect::Word::Misdirected && is_replaced {
            self.ended(pick, false, chooser::AttemptOutcome::GivenUp);
            self.shared.replaced(&pick.instance);
        } else if answered.word == dialect::Word::Misdirected {
            self.ended(pick, false, chooser::AttemptOutcome::Misdirected);
        } else {
            self.ended(pick, false, chooser::AttemptOutcome::Refused);
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
            self.ended(pick, began, chooser::AttemptOutcome::GivenUp);
            return Sending::Gone(outlet);
        }
        if is_interrupted {
            // The caller waits still: the endpoint said nothing, to this request or any other.
            failure.cause = failure::Cause::Silent;
        }
        if !failure.is_sent {
            ::log::info!(request = self.id(), endpoint:% = pick.instance, error:% = failure;
                "gateway: endpoint not reached, the request was not sent");
            self.last = format!("endpoint {} was not reached: {failure}", pick.instance);
            self.story.came_to(verdict::Verdict::NotRun, &self.last);
            self.unuse_charge();
            self.ended(pick, began, chooser::AttemptOutcome::Unreachable);
            self.shared.pool.forget(pick.address);
            self.tried.push(pick.key);
            return Sending::Again(outlet);
        }
        self.arrivals += 1;
        self.runs += 1;
        self.failed_after_run(pick, outlet, began, &failure)
    }

    /// The request may have run, and no whole answer came.
    pub(super) fn failed_after_run<'c>(
        &mut self,
        pick: &chooser::Pick,
        outlet: Outlet<'c>,
        began: bool,
        failure: &failure::Failure,
    ) -> Sending<'c> {
        if failure.cause == failure::Cause::Interrupted {
            self.ended(pick, began, chooser::AttemptOutcome::GivenUp);
            return Sending::Gone(outlet);
        }
        ::log::info!(request = self.id(), content:% = self.content, endpoint:% = pick.instance, error:% = failure,
            runs = self.runs, begun = outlet.is_begun(); "gateway: endpoint failed, the request may have run");
        self.last = format!("endpoint {} failed: {failure}", pick.instance);
        self.story.came_to(verdict::Verdict::MayHaveRun, &self.last);
        self.note_end(pick, failure.cause);
        let is_over = self.left_ms() == time::Millis(0);
        let how = match failure.cause {
            failure::Cause::Silent if !began => chooser::AttemptOutcome::Silent,
            _ => chooser::AttemptOutcome::Failed,
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
}
