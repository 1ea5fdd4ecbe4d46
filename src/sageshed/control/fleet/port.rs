//! The HTTP port for the operator's configuration and the endpoints' announcements.

use std::{net, sync, time as std_time};

use sageshed_fleet::{dialect, directory};
use sageshed_http::{handler, problem, reply, request};
use sageshed_state::command;
use sageshed_types::{document, refusal, time, verdict};

use crate::{
    control::{
        inputs::{self, Fate},
        shared,
    },
    locks, sampler,
};

/// The retry delay while there is no leader or the group can't commit.
const RETRY_AFTER: time::Millis = time::Millis(300);

/// The largest announcement that is accepted. An engine that holds three of 500 models and has the weights of all of
/// them cached announces about 15 KB; each announcement is sent to all entry processes.
const MAX_ANNOUNCEMENT_BYTES: usize = 64 * 1024;

/// How long a departure waits until a majority of the control group knows it. An endpoint calls another control process
/// after a second without a response.
const REPLICATION_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(500);

/// Handles the calls of the operator and of endpoints.
#[derive(Debug)]
pub struct FleetHandler<D> {
    /// The shared state of this process.
    pub shared: sync::Arc<shared::Shared>,
    /// The queue to the driver of the replicated log.
    pub inputs: inputs::Inputs,
    /// The protocol of the operator and of endpoints.
    pub dialect: D,
    /// The number of this port, which is the same on every control VM.
    pub port: u16,
}

/// The result of a call.
enum Outcome {
    /// The call succeeded, with this body.
    Ok(String),
    /// Only the leader serves the call, at this address.
    Redirect(net::Ipv4Addr),
    /// The call can't be served now. It had no effect, or may have had one if repeating it is harmless.
    Unavailable(&'static str),
    /// The call is invalid.
    Invalid(String),
}

impl<D: dialect::Dialect> handler::Handler for FleetHandler<D> {
    fn handle(&self, req: request::Request, reply: reply::Reply<'_>) -> reply::Sent {
        let call = self.dialect.control_request(&req.method, &req.path);
        let outcome = match call {
            Some(dialect::ControlRequest::Announce { endpoint }) => {
                self.announce(&endpoint, &req.body)
            }
            Some(dialect::ControlRequest::Leave { endpoint }) => self.leave(&endpoint, &req.body),
            Some(dialect::ControlRequest::Replace) => self.replace(&req.body),
            Some(dialect::ControlRequest::Read) => self.read(),
            None => {
                let detail = format!("no call {} {} is taken here", req.method, req.path);
                let refusal = refusal::Refusal::not_run(verdict::Reason::NotFound, detail);
                return reply.refusal("", &refusal);
            }
        };
        self.answer(&req, outcome, reply)
    }

    fn refuse_early(&self, refusal: refusal::Refusal) -> handler::Stamped {
        ::log::warn!(reason:% = refusal.reason, detail = refusal.detail.as_str(); "control: call refused");
        handler::Stamped {
            request_id: String::new(),
            refusal,
        }
    }
}

impl<D: dialect::Dialect> FleetHandler<D> {
    fn answer(
        &self,
        req: &request::Request,
        outcome: Outcome,
        reply: reply::Reply<'_>,
    ) -> reply::Sent {
        match outcome {
            Outcome::Ok(body) => reply.made(&reply::Whole {
                status: 200,
                content_type: "application/json",
                body: body.into_bytes(),
            }),
            Outcome::Redirect(leader) => {
                let location = format!("http://{leader}:{}{}", self.port, req.path);
                let head = reply::Head {
                    request_id: "",
                    status: 307,
                    content_type: "",
                    headers: &[("Location", &location)],
                };
                reply.whole(&head, b"")
            }
            Outcome::Unavailable(why) => {
                let refusal = refusal::Refusal::not_run(verdict::Reason::NotConfirmed, why)
                    .with_retry_after(RETRY_AFTER);
                reply.refusal("", &refusal)
            }
            Outcome::Invalid(why) => {
                let refusal = refusal::Refusal::not_run(verdict::Reason::BadRequest, why);
                let head = reply::Head {
                    request_id: "",
                    status: refusal.status,
                    content_type: problem::CONTENT_TYPE,
                    headers: &[],
                };
                reply.whole(&head, &problem::body("", &refusal))
            }
        }
    }

    fn announce(&self, endpoint: &str, body: &[u8]) -> Outcome {
        let read = if body.len() > MAX_ANNOUNCEMENT_BYTES {
            Err(dialect::DecodeError {
                what: "an announcement",
                problem: format!("{} bytes are too many", body.len()),
            })
        } else {
            self.dialect.announcement(endpoint, body)
        };
        let instance = match read {
            Ok(instance) => instance,
            Err(e) => return self.refuse_malformed(endpoint, &e),
        };
        let (id, service) = (instance.id.clone(), instance.service.clone());
        let software = instance.software_version.clone().unwrap_or_default();
        let (address, state, sequence) = (instance.address, instance.state, instance.sequence);
        let (offer, position) = self.shared.hub.announce(self.shared.clock.now(), instance);
        match offer {
            directory::MergeOutcome::New | directory::MergeOutcome::Changed => {
                ::log::info!(endpoint:% = id, service, software, address:% = address, state:? = state, sequence;
                    "control: endpoint changed");
            }
            directory::MergeOutcome::Stale => {
                ::log::info!(endpoint:% = id, sequence; "control: late announcement ignored");
            }
            directory::MergeOutcome::Confirmed => {}
            directory::MergeOutcome::Full => {
                ::log::warn!(endpoint:% = id, kept = directory::MAX_INSTANCES;
                    "control: too many endpoints, refused another one");
                return Outcome::Unavailable("as many endpoints are known as are kept");
            }
        }
        match state {
            directory::State::Leaving => self.acknowledge_departure(endpoint, position),
            _ => Outcome::Ok("{}".to_owned()),
        }
    }

    fn leave(&self, endpoint: &str, body: &[u8]) -> Outcome {
        let id = match self.dialect.leaving(endpoint, body) {
            Ok(id) => id,
            Err(e) => return self.refuse_malformed(endpoint, &e),
        };
        let position = self.shared.hub.leave(self.shared.clock.now(), &id);
        ::log::info!(endpoint:% = id; "control: endpoint announces its end");
        self.acknowledge_departure(endpoint, position)
    }

    /// Acknowledges the departure of an endpoint once a majority of the control group knows the directory up to
    /// `position`.
    ///
    /// The entry processes are told at once in either case. If it is not acknowledged, the endpoint calls another control
    /// process, which may reach the others.
    fn acknowledge_departure(&self, endpoint: &str, position: directory::Cursor) -> Outcome {
        let began = std_time::Instant::now();
        let group = locks::read(&self.shared.view).status.membership.clone();
        let own = self.shared.node;
        let is_known = !group.voters.is_empty()
            && self
                .shared
                .hub
                .wait_for_followers(REPLICATION_TIMEOUT, |others| {
                    group.has_majority(|id| id == own || others.knows(id.vm.into(), position))
                });
        let waited_ms = time::Millis::from(began.elapsed()).0;
        if !is_known {
            ::log::warn!(endpoint, waited_ms; "control: departure not acknowledged, no majority knows it");
            return Outcome::Unavailable("too few control processes know that the endpoint leaves");
        }
        ::log::debug!(endpoint, waited_ms; "control: departure acknowledged");
        Outcome::Ok("{}".to_owned())
    }

    /// Refuses a malformed announcement. It identifies no endpoint, so the records stay as they are. A faulty client
    /// may send such announcements without end, so only some are logged.
    fn refuse_malformed(&self, endpoint: &str, e: &dialect::DecodeError) -> Outcome {
        match self.shared.hub.misread.line(self.shared.clock.now()) {
            sampler::Line::Write => {
                ::log::warn!(endpoint, error:% = e; "control: malformed announcement refused");
            }
            sampler::Line::WriteAfter(left_out) => {
                ::log::warn!(endpoint, error:% = e, left_out; "control: malformed announcement refused");
            }
            sampler::Line::LeaveOut => {}
        }
        Outcome::Invalid(e.to_string())
    }

    /// Commits a configuration to the replicated log, unless this one or a newer one is committed.
    ///
    /// It is acknowledged only if the group is large enough: of three voters two would acknowledge it, and
    /// both might then lose their disks ([`sageshed_quorum::repair`]).
    fn replace(&self, body: &[u8]) -> Outcome {
        let config = match self.dialect.config(body) {
            Ok(config) => config,
            Err(e) => return refuse_config(e.to_string()),
        };
        if let Err(e) = config.check() {
            return refuse_config(e.to_string());
        }
        let Ok(text) = String::from_utf8(body.to_vec()) else {
            return refuse_config("it is not UTF-8".to_owned());
        };
        let version = config.version;
        let held = locks::read(&self.shared.state).fleet().version;
        if held >= version && self.is_large_enough() {
            // It would change nothing, so it is not sent to the others again: a large one takes them seconds.
            ::log::info!(version, held; "control: configuration acknowledged, held already");
            return Outcome::Ok("{}".to_owned());
        }
        if let Some(outcome) = self.redirect_unless_leader() {
            return outcome;
        }
        if !self.is_large_enough() {
            return Outcome::Unavailable(
                "too few control processes have joined to keep a change safe",
            );
        }
        let document = document::Document { version, text };
        match self.inputs.commit(command::Command::ReplaceFleet(document)) {
            Fate::Applied(Some(outcome)) => {
                ::log::info!(version, outcome:? = outcome; "control: configuration acknowledged");
                Outcome::Ok("{}".to_owned())
            }
            Fate::Applied(None) | Fate::Unknown => {
                ::log::warn!(version; "control: unknown whether the configuration was committed");
                Outcome::Unavailable("it is not known whether the change was accepted")
            }
            Fate::NotDone(why) => {
                ::log::warn!(version, why:? = why; "control: configuration not committed");
                Outcome::Unavailable("the change can't be committed now")
            }
        }
    }

    fn is_large_enough(&self) -> bool {
        // The first configuration is acknowledged only when the group has all its voters.
        let was_complete = locks::read(&self.shared.state).fleet().version > 0;
        let view = locks::read(&self.shared.view);
        let policy = self.shared.repair_policy();
        policy.may_acknowledge(&view.status.membership, was_complete)
    }

    /// Reads the configuration once a majority has confirmed that this process still leads.
    fn read(&self) -> Outcome {
        if let Some(outcome) = self.redirect_unless_leader() {
            return outcome;
        }
        match self.inputs.read() {
            Fate::Applied(_) => {
                let state = locks::read(&self.shared.state);
                let fleet = state.fleet();
                if fleet.version == 0 {
                    return Outcome::Unavailable("there is no configuration yet");
                }
                Outcome::Ok(fleet.text.clone())
            }
            Fate::NotDone(_) | Fate::Unknown => {
                Outcome::Unavailable("it can't be confirmed which configuration is the newest")
            }
        }
    }

    /// Redirects a call that only the leader serves, unless this process leads.
    fn redirect_unless_leader(&self) -> Option<Outcome> {
        if self.shared.leads() {
            return None;
        }
        let own = self.shared.process.vm.as_str();
        let leader = self.shared.leader().filter(|leader| leader != own);
        match leader.and_then(|it| it.parse().ok()) {
            Some(ip) => Some(Outcome::Redirect(ip)),
            None => Some(Outcome::Unavailable("no control process leads")),
        }
    }
}

fn refuse_config(why: String) -> Outcome {
    ::log::warn!(why = why.as_str(); "control: invalid configuration refused");
    Outcome::Invalid(why)
}
