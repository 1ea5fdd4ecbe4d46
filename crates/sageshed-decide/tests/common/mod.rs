//! Settings, reports, requests and a test harness for the decider.

#![allow(dead_code, reason = "each test binary uses its own part")]

use sageshed_decide::{decider, event, settings};
use sageshed_types::{arena, catalog, endpoints, refusal, rules, secret, time};

pub fn class(name: &str, priority: u8, deadline: u64, queue: u32) -> catalog::Class {
    catalog::Class {
        name: name.to_owned(),
        priority,
        deadline_ms: time::Millis(deadline),
        queue,
    }
}

pub fn caller(name: &str, class: &str) -> catalog::Caller {
    catalog::Caller {
        name: name.to_owned(),
        token_sha256: secret::KeyDigest::of(name.as_bytes()).to_hex(),
        class: class.to_owned(),
        rate: None,
        burst: None,
    }
}

pub fn model(name: &str, base: Option<&str>) -> catalog::Model {
    catalog::Model {
        name: name.to_owned(),
        base: base.map(str::to_owned),
        version: 1,
        memory_mib: 1_000,
        pools: Vec::new(),
        critical: false,
        load_ms: time::Millis(3_000),
    }
}

/// Classes `urgent`, `usual` and `idle`, callers `pub` and `council`, model `sort` with the adapter
/// `sort-leith`, model `draft`, service `dispatch`; one entry process.
pub fn settings() -> settings::Settings {
    settings::Settings {
        vm: "entry-1".to_owned(),
        availability_zone: "az1".to_owned(),
        entries: 1,
        classes: vec![
            class("urgent", 9, 10_000, 4),
            class("usual", 5, 10_000, 4),
            class("idle", 1, 60_000, 4),
        ],
        callers: vec![caller("pub", "usual"), caller("council", "usual")],
        models: vec![
            model("sort", None),
            model("sort-leith", Some("sort")),
            model("draft", None),
        ],
        services: vec!["dispatch".to_owned()],
        policy: settings::Policy {
            in_flight_per_slot: 1.0,
            ..settings::Policy::default()
        },
    }
}

pub fn report(name: &str, sequence: u64, slots: u32, models: &[&str]) -> endpoints::Report {
    let resident = models.iter().map(|model| endpoints::Resident {
        model: (*model).to_owned(),
        version: 1,
        phase: endpoints::Phase::Ready,
        memory_mib: 1_000,
    });
    endpoints::Report {
        identity: endpoints::Identity {
            endpoint: name.to_owned(),
            incarnation: endpoints::Incarnation(1),
            address: format!("127.0.0.1:{}", name.len()),
            availability_zone: "az1".to_owned(),
            kind: endpoints::Kind::Engine {
                pool: "callout".to_owned(),
                memory_mib: 10_000,
                accelerators: 1,
            },
            slots,
            checks_fence: true,
        },
        sequence,
        age_ms: time::Millis(0),
        running: 0,
        waiting: 0,
        tokens_per_second: 0,
        resident: resident.collect(),
        orders: Vec::new(),
        leaving: false,
    }
}

pub fn service_report(name: &str, sequence: u64, slots: u32) -> endpoints::Report {
    let mut report = report(name, sequence, slots, &[]);
    report.identity.kind = endpoints::Kind::Service {
        service: "dispatch".to_owned(),
    };
    report
}

/// A simple request of the first caller for a model.
pub fn request_info(id: event::ReqId, model: arena::ModelKey) -> event::RequestInfo {
    event::RequestInfo {
        id,
        caller: arena::CallerKey(0),
        class: None,
        target: event::Target::Model(model),
        streaming: false,
        prompt_tokens: 100,
        max_tokens: 0,
        not_repeatable: false,
        not_repeatable_by_default: false,
        deadline: None,
        prefix: 0,
    }
}

/// A decider with a clock and request ids.
pub struct Harness {
    pub decider: decider::Decider,
    pub now: time::Instant,
    next: u64,
}

impl Harness {
    pub fn new(settings: settings::Settings) -> Self {
        Self {
            decider: decider::Decider::new(settings, 7),
            now: time::Instant(1_000),
            next: 0,
        }
    }

    /// Creates a harness with engines of one slot each that hold `sort` and its adapter.
    pub fn with_engines(settings: settings::Settings, names: &[&str]) -> Self {
        let mut harness = Self::new(settings);
        for name in names {
            harness.report(report(name, 1, 1, &["sort", "sort-leith"]));
        }
        harness
    }

    pub fn step(&mut self, event: event::Event) -> Vec<event::Action> {
        self.decider.step(self.now, event)
    }

    pub fn advance(&mut self, span: u64) {
        self.now = self.now + time::Millis(span);
    }

    pub fn tick_after(&mut self, span: u64) -> Vec<event::Action> {
        self.advance(span);
        self.step(event::Event::Tick)
    }

    pub fn report(&mut self, report: endpoints::Report) -> Vec<event::Action> {
        self.step(event::Event::Report(Box::new(report), time::Millis(0)))
    }

    pub fn request_info(&mut self, target: &str) -> event::RequestInfo {
        self.next += 1;
        let decider = &self.decider;
        let target = decider.model(target).or_else(|| decider.service(target));
        event::RequestInfo {
            target: target.expect("a target of the settings"),
            ..request_info(event::ReqId(self.next), arena::ModelKey(0))
        }
    }

    /// Sends a request for `sort`, modified by `change`.
    pub fn arrive(
        &mut self,
        change: impl Fn(&mut event::RequestInfo),
    ) -> (event::ReqId, Vec<event::Action>) {
        let mut info = self.request_info("sort");
        change(&mut info);
        (info.id, self.step(event::Event::Arrived(info)))
    }

    pub fn done(&mut self, req: event::ReqId) -> Vec<event::Action> {
        let outcome = event::AttemptOutcome::Done { tokens: 0 };
        self.step(event::Event::AttemptEnded { req, outcome })
    }

    pub fn fail(
        &mut self,
        req: event::ReqId,
        verdict: sageshed_types::verdict::Verdict,
        fault: event::AttemptError,
    ) -> Vec<event::Action> {
        let outcome = event::AttemptOutcome::Failed { verdict, fault };
        self.step(event::Event::AttemptEnded { req, outcome })
    }

    /// Trains the estimate for `sort` to a service time of `span` milliseconds.
    pub fn train(&mut self, span: u64) {
        for _ in 0..8 {
            let (req, actions) = self.arrive(|_| {});
            assert!(
                sent_to(&actions, req).is_some(),
                "there is room: {actions:?}"
            );
            self.advance(span);
            self.done(req);
        }
    }

    pub fn install(&mut self, revision: u64, rules: Vec<rules::Rule>) -> bool {
        self.decider.install_rules(rules::RuleSet {
            revision: rules::Revision(revision),
            rules,
        })
    }
}

/// The endpoint to which the actions send a request, if any.
pub fn sent_to(actions: &[event::Action], req: event::ReqId) -> Option<arena::EndpointKey> {
    actions.iter().find_map(|action| match action {
        event::Action::Send {
            req: r, endpoint, ..
        } if *r == req => Some(*endpoint),
        _ => None,
    })
}

/// The refusal of a request in the actions, if any.
pub fn refused(actions: &[event::Action], req: event::ReqId) -> Option<&refusal::Refusal> {
    actions.iter().find_map(|action| match action {
        event::Action::Refuse { req: r, refusal } if *r == req => Some(refusal),
        _ => None,
    })
}

pub fn queued(actions: &[event::Action], req: event::ReqId) -> bool {
    actions.contains(&event::Action::Queue { req })
}

/// A summary of the actions for a request, as the test cases state it.
pub fn summary(actions: &[event::Action], req: event::ReqId) -> String {
    let words = actions.iter().filter_map(|action| match action {
        event::Action::Send { req: r, .. } if *r == req => Some("send".to_owned()),
        event::Action::Claim { req: r } if *r == req => Some("claim".to_owned()),
        event::Action::Queue { req: r } if *r == req => Some("queue".to_owned()),
        event::Action::Cancel { req: r, .. } if *r == req => Some("cancel".to_owned()),
        event::Action::Refuse { req: r, refusal } if *r == req => {
            Some(format!("{} {}", refusal.reason, refusal.verdict))
        }
        _ => None,
    });
    words.collect::<Vec<_>>().join(", ")
}
