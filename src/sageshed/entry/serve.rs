//! From a caller's bytes to a request that can be decided, or to the refusal of one that cannot.

use std::sync;

use sageshed_callers::{handler, openai, reply, request as callers_request, route};
use sageshed_decide::event;
use sageshed_types::{arena, refusal, request_trace, secret, time, verdict};
use sha2::Digest;

use super::{completion, request, service, shared};
use crate::{clock, locks};

const TEXT: &str = "text/plain; charset=utf-8";
const JSON: &str = "application/json";

/// Takes callers' requests.
#[derive(Debug)]
pub struct Front {
    /// What this process shares.
    pub shared: sync::Arc<shared::Shared>,
}

/// Who asks.
#[derive(Debug, Clone)]
pub struct Caller {
    key: arena::CallerKey,
    name: String,
}

impl handler::Handler for Front {
    fn handle(&self, req: callers_request::Request, reply: reply::Reply<'_>) -> reply::Sent {
        use route::Route;
        match Route::parse(&req.method, &req.path) {
            Route::Healthz => self.text(reply, 200, "ok\n"),
            Route::Readyz => self.readyz(reply),
            Route::Metrics => self.text(reply, 200, &self.shared.metrics.text(&self.shared)),
            Route::Models => self.models(&req, reply),
            Route::ChatCompletions => self.completion(req, reply, openai::Api::Chat),
            Route::Completions => self.completion(req, reply, openai::Api::Completions),
            Route::Service { .. } => self.service(req, reply),
            Route::NotFound => {
                let detail = format!("there is nothing at `{}`", req.path);
                let refusal = refusal::Refusal::not_run(verdict::Reason::NotFound, detail);
                self.refuse(&req, reply, None, refusal)
            }
            Route::MethodNotAllowed { allow } => self.wrong_method(&req, reply, allow),
        }
    }

    fn refuse_early(&self, refusal: refusal::Refusal) -> handler::Stamped {
        let account = self.account(None, refusal);
        let request_id = account.request_id.clone();
        let request_trace::RequestOutcome::Refused(refusal) = account.end.clone() else {
            unreachable!("the account of a refusal ends with it");
        };
        self.keep(account);
        handler::Stamped {
            request_id,
            refusal,
        }
    }
}

impl Front {
    fn completion(
        &self,
        req: callers_request::Request,
        reply: reply::Reply<'_>,
        api: openai::Api,
    ) -> reply::Sent {
        let caller = match self.caller(&req) {
            Ok(caller) => caller,
            Err(refusal) => return self.refuse(&req, reply, None, refusal),
        };
        let parsed = match openai::Completion::parse(api, &req.body) {
            Ok(parsed) => parsed,
            Err(refusal) => return self.refuse(&req, reply, Some(caller), refusal),
        };
        let asked = event::RequestInfo {
            id: self.shared.next_req(),
            caller: caller.key,
            class: None,
            target: event::Target::Model(arena::ModelKey(0)),
            streaming: parsed.stream,
            prompt_tokens: parsed.prompt_tokens,
            max_tokens: parsed.max_tokens.unwrap_or(0),
            not_repeatable: req.repeatable == Some(false),
            not_repeatable_by_default: false,
            deadline: None,
            prefix: parsed.prefix_hash,
        };
        let facts = match self.facts(&req, asked, &Wanted::Model(&parsed.model)) {
            Ok(facts) => facts,
            Err(refusal) => return self.refuse(&req, reply, Some(caller), refusal),
        };
        let work = completion::Work {
            api,
            parsed,
            body: req.body,
        };
        let target = work.parsed.model.clone();
        let meta = meta(
            req.idempotency_key.as_deref(),
            digest("POST", &req.path, &work.body),
            req.received,
        );
        let open = request::Open::new(&self.shared, facts, caller.name, target, meta);
        open.run(request::Work::Completion(work), reply)
    }

    fn service(&self, req: callers_request::Request, reply: reply::Reply<'_>) -> reply::Sent {
        let route::Route::Service { name, rest } = route::Route::parse(&req.method, &req.path)
        else {
            unreachable!("only paths of services come here");
        };
        let (name, rest) = (name.to_owned(), rest.to_owned());
        let caller = match self.caller(&req) {
            Ok(caller) => caller,
            Err(refusal) => return self.refuse(&req, reply, None, refusal),
        };
        // Whoever marks a request knows best; a POST that nobody marked is taken for an order that
        // must not be given twice.
        let by_method = req.repeatable.is_none() && req.method == "POST";
        let asked = event::RequestInfo {
            id: self.shared.next_req(),
            caller: caller.key,
            class: None,
            target: event::Target::Service(arena::ServiceKey(0)),
            streaming: false,
            prompt_tokens: 0,
            max_tokens: 0,
            not_repeatable: by_method || req.repeatable == Some(false),
            not_repeatable_by_default: by_method,
            deadline: None,
            prefix: 0,
        };
        let facts = match self.facts(&req, asked, &Wanted::Service(&name)) {
            Ok(facts) => facts,
            Err(refusal) => return self.refuse(&req, reply, Some(caller), refusal),
        };
        let path = req
            .query
            .as_ref()
            .map_or(rest.clone(), |query| format!("{rest}?{query}"));
        let meta = meta(
            req.idempotency_key.as_deref(),
            digest(&req.method, &whole_path(&req), &req.body),
            req.received,
        );
        let work = service::Work {
            path,
            headers: service::headers(&req),
            req,
        };
        let open = request::Open::new(&self.shared, facts, caller.name, name, meta);
        open.run(request::Work::Service(Box::new(work)), reply)
    }

    /// Fills in what the request names, or refuses what is not on offer.
    fn facts(
        &self,
        req: &callers_request::Request,
        asked: event::RequestInfo,
        wanted: &Wanted<'_>,
    ) -> Result<event::RequestInfo, refusal::Refusal> {
        let decider = locks::lock(&self.shared.decider);
        let target = match wanted {
            Wanted::Model(name) => decider.model(name),
            Wanted::Service(name) => decider.service(name),
        };
        let target = target.ok_or_else(|| wanted.unknown())?;
        let class = match &req.class {
            Some(name) => Some(decider.class(name).ok_or_else(|| {
                let detail = format!("no class `{name}` is in the settings");
                refusal::Refusal::not_run(verdict::Reason::BadRequest, detail)
            })?),
            None => None,
        };
        drop(decider);
        let longest = self.shared.settings.limits.longest_deadline_ms;
        let deadline = req.deadline.map(|deadline| deadline.min(longest));
        Ok(event::RequestInfo {
            class,
            target,
            deadline,
            ..asked
        })
    }

    fn caller(&self, req: &callers_request::Request) -> Result<Caller, refusal::Refusal> {
        let refuse =
            |detail: &str| refusal::Refusal::not_run(verdict::Reason::Unauthorized, detail);
        let missing = "send the caller's token as `Authorization: Bearer TOKEN`";
        let digest = match req.credential {
            secret::Credential::Bearer(digest) => digest,
            secret::Credential::Missing => return Err(refuse(missing)),
            secret::Credential::Malformed(why) => return Err(refuse(why)),
        };
        let decider = locks::lock(&self.shared.decider);
        let key = decider.caller_by_token(digest);
        let key = key.ok_or_else(|| refuse("the token belongs to no caller"))?;
        Ok(Caller {
            key,
            name: decider.names().callers.name(key).to_owned(),
        })
    }

    fn models(&self, req: &callers_request::Request, reply: reply::Reply<'_>) -> reply::Sent {
        if let Err(refusal) = self.caller(req) {
            return self.refuse(req, reply, None, refusal);
        }
        let names = self
            .shared
            .settings
            .common
            .models
            .iter()
            .map(|model| model.name.as_str());
        self.whole(reply, 200, JSON, &openai::models(names))
    }

    fn readyz(&self, reply: reply::Reply<'_>) -> reply::Sent {
        if self.shared.is_ready() {
            return self.text(reply, 200, "ready\n");
        }
        let why = match self.shared.unconfirmed() {
            Some(refusal) => refusal.detail,
            None => "draining".to_owned(),
        };
        self.text(reply, 503, &format!("not ready: {why}\n"))
    }

    fn text(&self, reply: reply::Reply<'_>, status: u16, text: &str) -> reply::Sent {
        self.whole(reply, status, TEXT, text.as_bytes())
    }

    fn whole(&self, reply: reply::Reply<'_>, status: u16, kind: &str, body: &[u8]) -> reply::Sent {
        let request_id = self.shared.request_id(self.shared.next_req());
        let head = reply::Head {
            request_id: &request_id,
            status,
            content_type: kind,
            headers: &[],
        };
        reply.whole(&head, body)
    }

    fn wrong_method(
        &self,
        req: &callers_request::Request,
        reply: reply::Reply<'_>,
        allow: &'static str,
    ) -> reply::Sent {
        let detail = format!("`{}` takes {allow}, not {}", req.path, req.method);
        let mut refusal = refusal::Refusal::not_run(verdict::Reason::NotFound, detail);
        refusal.status = 405;
        let account = self.account(None, refusal);
        self.send_refusal(reply, account, &[("Allow", allow)])
    }

    fn refuse(
        &self,
        req: &callers_request::Request,
        reply: reply::Reply<'_>,
        caller: Option<Caller>,
        refusal: refusal::Refusal,
    ) -> reply::Sent {
        let mut account = self.account(caller.map(|it| it.name), refusal);
        account.took = time::Millis::from(req.received.elapsed());
        self.send_refusal(reply, account, &[])
    }

    fn send_refusal(
        &self,
        reply: reply::Reply<'_>,
        account: request_trace::RequestTrace,
        further: &[(&str, &str)],
    ) -> reply::Sent {
        let request_trace::RequestOutcome::Refused(refusal) = account.end.clone() else {
            unreachable!("the account of a refusal ends with it");
        };
        let request_id = account.request_id.clone();
        self.keep(account);
        reply.refusal_with(&request_id, &refusal, further)
    }

    /// The account of a request that was refused before any rule was asked.
    fn account(
        &self,
        caller: Option<String>,
        mut refusal: refusal::Refusal,
    ) -> request_trace::RequestTrace {
        let revision = locks::lock(&self.shared.config).rules.revision;
        refusal.revision = revision;
        request_trace::RequestTrace {
            request_id: self.shared.request_id(self.shared.next_req()),
            arrived_unix_ms: clock::unix_ms(),
            caller,
            class: None,
            target: None,
            rule: None,
            revision,
            not_repeatable: false,
            deadline: time::Millis(0),
            queued: time::Millis(0),
            queues: Vec::new(),
            candidates: Vec::new(),
            tries: Vec::new(),
            end: request_trace::RequestOutcome::Refused(refusal),
            took: time::Millis(0),
        }
    }

    fn keep(&self, account: request_trace::RequestTrace) {
        self.shared.metrics.ended(&account);
        locks::lock(&self.shared.accounts).keep(account);
    }
}

/// What a request names.
enum Wanted<'a> {
    Model(&'a str),
    Service(&'a str),
}

impl Wanted<'_> {
    fn unknown(&self) -> refusal::Refusal {
        let detail = match self {
            Self::Model(name) => {
                format!("no model or adapter `{name}` is offered; `GET /v1/models` lists them")
            }
            Self::Service(name) => format!("no service `{name}` is offered"),
        };
        refusal::Refusal::not_run(verdict::Reason::UnknownModel, detail)
    }
}

fn meta(key: Option<&str>, digest: u64, received: std::time::Instant) -> request::Meta {
    request::Meta {
        idempotency_key: key.map(str::to_owned),
        digest,
        received,
    }
}

/// Path and query as the caller sent them. They name the service too: an order to one service is not
/// the same order to another.
fn whole_path(req: &callers_request::Request) -> String {
    match &req.query {
        Some(query) => format!("{}?{query}", req.path),
        None => req.path.clone(),
    }
}

/// Tells the content of two requests under one idempotency key apart.
fn digest(method: &str, path: &str, body: &[u8]) -> u64 {
    let mut sha = sha2::Sha256::new();
    for part in [method.as_bytes(), path.as_bytes(), body] {
        sha.update((part.len() as u64).to_le_bytes());
        sha.update(part);
    }
    let bytes = sha.finalize();
    u64::from_le_bytes(std::array::from_fn(|i| bytes[i]))
}
