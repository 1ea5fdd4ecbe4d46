//! Static checks of a rule set, for `config check` and for the control process.
//!
//! Conditions on callers, classes and targets are compared as sets of known names, so that
//! `model = ["a"]` is found to cover `adapter = ["x"]` if `x` is an adapter of `a`. A rule that is
//! covered only by several earlier rules together is not detected.

use std::collections;

use sageshed_types::{
    arena::{self, Key},
    refusal, rules,
};

use crate::{bits, event, names};

/// The severity of a finding.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Level {
    /// The rules can be used, but probably not as intended.
    Warning,
    /// The rules must not be installed.
    Error,
}

/// A problem found in a rule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// The severity.
    pub level: Level,
    /// The id of the rule.
    pub rule: String,
    /// A description of the problem.
    pub problem: String,
    /// A suggested fix.
    pub advice: String,
}

/// The highest priority that a rule may set.
const TOP_PRIORITY: u8 = 9;

/// Checks a rule set against the known names. Findings are in the order of the rules.
#[must_use]
pub fn check(set: &rules::RuleSet, names: &names::Names) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut ids = collections::HashSet::new();
    let mut earlier = Vec::<(&rules::Rule, Scope)>::new();
    for rule in &set.rules {
        let mut out = Findings {
            rule,
            list: &mut findings,
        };
        if !ids.insert(&rule.id) {
            out.error("another rule has the same id", "give each rule its own id");
        }
        out.check_id();
        out.check_names(names);
        out.check_ranges();
        out.check_action(names);
        let scope = Scope::new(&rule.when, names);
        out.check_shadowing(&scope, &earlier);
        earlier.push((rule, scope));
    }
    findings
}

/// Collects the findings of one rule.
struct Findings<'a> {
    rule: &'a rules::Rule,
    list: &'a mut Vec<Finding>,
}

impl Findings<'_> {
    fn error(&mut self, problem: impl Into<String>, advice: impl Into<String>) {
        self.add(Level::Error, problem.into(), advice.into());
    }

    fn warn(&mut self, problem: impl Into<String>, advice: impl Into<String>) {
        self.add(Level::Warning, problem.into(), advice.into());
    }

    fn add(&mut self, level: Level, problem: String, advice: String) {
        self.list.push(Finding {
            level,
            rule: self.rule.id.clone(),
            problem,
            advice,
        });
    }

    fn check_id(&mut self) {
        let id = &self.rule.id;
        let plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        if id.is_empty() || !id.chars().all(plain) {
            self.error(
                format!("the id `{id}` is not valid"),
                "use letters, digits, `-`, `_` and `.`",
            );
        }
        if id == refusal::DEFAULT_RULE {
            self.error(
                "the id `default` stands for the case that no rule matches",
                "choose another id",
            );
        }
    }

    fn check_names(&mut self, names: &names::Names) {
        let when = &self.rule.when;
        self.unknown("caller", &when.caller, &names.callers);
        self.unknown("class", &when.class, &names.classes);
        self.unknown("model", &when.model, &names.models);
        self.unknown("adapter", &when.adapter, &names.models);
        self.unknown("service", &when.service, &names.services);
        for name in &when.adapter {
            let key = names.models.get(name);
            if key.is_some_and(|key| names.model_row(key).base.is_none()) {
                self.error(
                    format!("`{name}` is a model, not an adapter"),
                    format!("write `model = [\"{name}\"]`"),
                );
            }
        }
    }

    fn unknown<K: Key>(&mut self, kind: &str, list: &[String], known: &arena::Interner<K>) {
        for name in list.iter().filter(|name| known.get(name).is_none()) {
            self.error(
                format!("there is no {kind} `{name}`"),
                format!("name a {kind} of the settings, or add it there first"),
            );
        }
    }

    fn check_ranges(&mut self) {
        let ranges = [
            ("prompt_tokens", self.rule.when.prompt_tokens),
            ("priority", self.rule.when.priority),
        ];
        for (key, range) in ranges {
            if range.is_some_and(is_empty) {
                self.error(
                    format!("`{key}` has a least value above its greatest"),
                    "exchange `min` and `max`",
                );
            }
        }
    }

    fn check_action(&mut self, names: &names::Names) {
        match &self.rule.action {
            rules::Action::Route(route) => self.check_route(route, names),
            rules::Action::Limit(limit) => self.check_limit(*limit),
            rules::Action::Refuse(_) => {}
        }
        if self.rule.deadline_ms.is_some_and(|span| span.0 == 0) {
            self.error(
                "`deadline_ms` is 0, which no request can meet",
                "give some time",
            );
        }
    }

    fn check_route(&mut self, route: &rules::Route, names: &names::Names) {
        if let Some(model) = &route.model {
            self.unknown("model", std::slice::from_ref(model), &names.models);
        }
        let pool = route.pool.as_ref();
        if let Some(pool) = pool.filter(|pool| names.pools.get(pool).is_none()) {
            self.warn(
                format!("no model is set for the pool `{pool}` and no engine of it was heard"),
                "check the spelling; until such an engine comes, these requests are refused",
            );
        }
        if route.priority.is_some_and(|p| p > TOP_PRIORITY) {
            self.error("`priority` is above 9", "use 0 to 9");
        }
    }

    fn check_limit(&mut self, limit: rules::Limit) {
        if !limit.rate.is_finite() || limit.rate <= 0.0 {
            self.error(
                "`rate` is not above 0",
                "give a rate, or use `refuse` to let nothing through",
            );
        }
        if !limit.burst.is_finite() || limit.burst < 1.0 {
            self.error(
                "`burst` is below 1, so that no request could pass",
                "give at least 1",
            );
        }
    }

    fn check_shadowing(&mut self, scope: &Scope, earlier: &[(&rules::Rule, Scope)]) {
        if scope.is_empty() {
            self.warn(
                "no request can match",
                "look for conditions that exclude each other, such as a model with a service",
            );
            return;
        }
        let covers = |(_, other): &&(&rules::Rule, Scope)| other.covers(scope);
        if let Some((other, _)) = earlier.iter().find(covers) {
            self.warn(
                format!(
                    "never asked: the earlier rule `{}` matches all that it matches",
                    other.id
                ),
                format!("move it before `{}`, or withdraw it", other.id),
            );
        }
    }
}

fn is_empty(range: rules::Range) -> bool {
    range.min.unwrap_or(0) > range.max.unwrap_or(u32::MAX)
}

/// The requests that a rule matches, as a product of sets.
struct Scope {
    callers: bits::BitSet,
    classes: bits::BitSet,
    models: bits::BitSet,
    services: bits::BitSet,
    zones: Option<collections::BTreeSet<String>>,
    streaming: Option<bool>,
    not_repeatable: Option<bool>,
    prompt_tokens: rules::Range,
    priority: rules::Range,
}

impl Scope {
    fn new(when: &rules::When, names: &names::Names) -> Self {
        let model = |key| super::target_matches(when, event::Target::Model(key), names);
        let service = |key| super::target_matches(when, event::Target::Service(key), names);
        let zones = &when.availability_zone;
        Self {
            callers: members(&names.callers, |_, name| {
                super::list_matches(&when.caller, name)
            }),
            classes: members(&names.classes, |_, name| {
                super::list_matches(&when.class, name)
            }),
            models: members(&names.models, |key, _| model(key)),
            services: members(&names.services, |key, _| service(key)),
            zones: (!zones.is_empty()).then(|| zones.iter().cloned().collect()),
            streaming: when.streaming,
            not_repeatable: when.not_repeatable,
            prompt_tokens: when.prompt_tokens.unwrap_or_default(),
            priority: when.priority.unwrap_or_default(),
        }
    }

    fn is_empty(&self) -> bool {
        self.callers.is_empty()
            || self.classes.is_empty()
            || (self.models.is_empty() && self.services.is_empty())
            || is_empty(self.prompt_tokens)
            || is_empty(self.priority)
    }

    fn covers(&self, other: &Self) -> bool {
        let zones = match (&self.zones, &other.zones) {
            (None, _) => true,
            (Some(_), None) => false,
            (Some(own), Some(other)) => own.is_superset(other),
        };
        zones
            && self.callers.covers(&other.callers)
            && self.classes.covers(&other.classes)
            && self.models.covers(&other.models)
            && self.services.covers(&other.services)
            && self.streaming.is_none_or(|s| other.streaming == Some(s))
            && self
                .not_repeatable
                .is_none_or(|n| other.not_repeatable == Some(n))
            && self.prompt_tokens.covers(other.prompt_tokens)
            && self.priority.covers(other.priority)
    }
}

fn members<K: Key>(names: &arena::Interner<K>, holds: impl Fn(K, &str) -> bool) -> bits::BitSet {
    let mut set = bits::BitSet::empty(names.len());
    for (key, name) in names.iter() {
        if holds(key, name) {
            set.insert(key.index());
        }
    }
    set
}
