//! Compiled rules and first-match lookup.
//!
//! Rules are indexed by column: for each caller, class and target there is a bit set of the rules
//! whose condition on that dimension it meets. The lookup takes one bit set for each dimension and
//! intersects them 64 rules at a time. Conditions on ranges are evaluated only for the rules that
//! remain, and the first that matches is returned. With 1,000 rules this takes 16 words of four
//! sets, whatever the rules are (`examples/rules_bench.rs` measures the time).
//!
//! An unknown name matches nothing. Thus a rule whose list contains only unknown names never
//! matches, instead of always matching: a typo must not widen a rule.

mod findings;

use std::{collections, sync};

use sageshed_types::{
    arena::{self, Key},
    rules, time,
};

use crate::{bits, event, names};

pub use findings::{Finding, Level, check};

/// The properties of a request that rules are matched against.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Query {
    /// The caller of the request.
    pub caller: arena::CallerKey,
    /// The class of the request.
    pub class: arena::ClassKey,
    /// The model, adapter or service that it asks for.
    pub target: event::Target,
    /// Whether the response is streamed.
    pub streaming: bool,
    /// Whether the request is non-repeatable.
    pub not_repeatable: bool,
    /// Estimated number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// The priority of the request's class.
    pub priority: u8,
}

/// The action of a rule, with names replaced by keys.
#[derive(Debug, Clone, PartialEq)]
pub enum CompiledAction {
    /// Admits the request, possibly with a changed route.
    Route {
        /// The only pool whose engines may serve it.
        pool: Option<arena::PoolKey>,
        /// The model to use instead of the requested one.
        model: Option<arena::ModelKey>,
        /// The priority to use instead of that of its class.
        priority: Option<u8>,
    },
    /// Would route to a model that is not in the settings. The request is refused, since running it
    /// unchanged is not what the operator wanted.
    RouteToUnknown {
        /// The name of the model.
        model: String,
    },
    /// Refuses the request.
    Refuse(rules::Refuse),
    /// Admits the request by the default route while it is within the limit.
    Limit {
        /// The rate limit.
        limit: rules::Limit,
        /// Identifies the token buckets of the limit. Unchanged when other rules change.
        slot: u32,
    },
}

/// A compiled rule without the conditions that are indexed by column.
#[derive(Debug, Clone)]
pub struct Rule {
    /// The id of the rule.
    pub id: sync::Arc<str>,
    /// The action of the rule.
    pub compiled_action: CompiledAction,
    /// Whether it marks requests as non-repeatable or repeatable, if it does either.
    pub not_repeatable: Option<bool>,
    /// The deadline that it sets, from the arrival of the request.
    pub deadline: Option<time::Millis>,
    prompt_tokens: Option<rules::Range>,
    priority: Option<rules::Range>,
}

/// A compiled rule set.
#[derive(Debug, Clone, Default)]
pub struct Compiled {
    revision: rules::Revision,
    rules: Vec<Rule>,
    by_caller: Vec<bits::BitSet>,
    by_class: Vec<bits::BitSet>,
    by_model: Vec<bits::BitSet>,
    by_service: Vec<bits::BitSet>,
    by_flags: [bits::BitSet; 4],
    next_slot: u32,
}

impl Compiled {
    /// Compiles `set`. A limit that is unchanged under the same id keeps its slot from `old`, so that
    /// a change of another rule does not refill its buckets.
    #[must_use]
    pub fn new(set: rules::RuleSet, old: &Self, names: &mut names::Names) -> Self {
        let mut next = Self {
            revision: set.revision,
            next_slot: old.next_slot,
            ..Self::default()
        };
        let slots = old.limit_slots();
        next.fill_columns(&set.rules, names);
        for rule in set.rules {
            let compiled = next.compile(rule, &slots, names);
            next.rules.push(compiled);
        }
        next
    }

    /// The revision of the rule set.
    #[must_use]
    pub fn revision(&self) -> rules::Revision {
        self.revision
    }

    /// The limits and their slots by rule id.
    fn limit_slots(&self) -> collections::HashMap<&str, (rules::Limit, u32)> {
        let slots = self
            .rules
            .iter()
            .filter_map(|rule| match rule.compiled_action {
                CompiledAction::Limit { limit, slot } => Some((&*rule.id, (limit, slot))),
                _ => None,
            });
        slots.collect()
    }

    /// Whether the limit of a rule uses `slot`.
    #[must_use]
    pub fn uses_slot(&self, slot: u32) -> bool {
        let uses = |rule: &Rule| matches!(rule.compiled_action, CompiledAction::Limit { slot: s, .. } if s == slot);
        self.rules.iter().any(uses)
    }

    fn compile(
        &mut self,
        rule: rules::Rule,
        slots: &collections::HashMap<&str, (rules::Limit, u32)>,
        names: &mut names::Names,
    ) -> Rule {
        let compiled_action = match rule.action {
            rules::Action::Route(route) => compile_route(route, names),
            rules::Action::Refuse(refuse) => CompiledAction::Refuse(refuse),
            rules::Action::Limit(limit) => {
                let kept = slots.get(rule.id.as_str()).filter(|(old, _)| *old == limit);
                let slot = kept.map_or_else(|| self.new_slot(), |(_, slot)| *slot);
                CompiledAction::Limit { limit, slot }
            }
        };
        Rule {
            id: sync::Arc::from(rule.id),
            compiled_action,
            not_repeatable: rule.not_repeatable,
            deadline: rule.deadline_ms,
            prompt_tokens: rule.when.prompt_tokens,
            priority: rule.when.priority,
        }
    }

    fn new_slot(&mut self) -> u32 {
        self.next_slot += 1;
        self.next_slot
    }

    fn fill_columns(&mut self, rules: &[rules::Rule], names: &names::Names) {
        let column = |len: usize| vec![bits::BitSet::empty(rules.len()); len];
        self.by_caller = column(names.callers.len());
        self.by_class = column(names.classes.len());
        self.by_model = column(names.models.len());
        self.by_service = column(names.services.len());
        self.by_flags = std::array::from_fn(|_| bits::BitSet::empty(rules.len()));
        for (i, rule) in rules.iter().enumerate() {
            self.fill_rule(i, &rule.when, names);
        }
    }

    fn fill_rule(&mut self, i: usize, when: &rules::When, names: &names::Names) {
        if !zone_matches(when, names) {
            return;
        }
        for (key, name) in names.callers.iter() {
            insert_if(
                &mut self.by_caller[key.index()],
                i,
                list_matches(&when.caller, name),
            );
        }
        for (key, name) in names.classes.iter() {
            insert_if(
                &mut self.by_class[key.index()],
                i,
                list_matches(&when.class, name),
            );
        }
        for (key, _) in names.models.iter() {
            let holds = target_matches(when, event::Target::Model(key), names);
            insert_if(&mut self.by_model[key.index()], i, holds);
        }
        for (key, _) in names.services.iter() {
            let holds = target_matches(when, event::Target::Service(key), names);
            insert_if(&mut self.by_service[key.index()], i, holds);
        }
        for streaming in [false, true] {
            for not_repeatable in [false, true] {
                let holds = when.streaming.is_none_or(|s| s == streaming)
                    && when.not_repeatable.is_none_or(|n| n == not_repeatable);
                let column = &mut self.by_flags[flags_index(streaming, not_repeatable)];
                insert_if(column, i, holds);
            }
        }
    }

    /// The first rule that matches. If there is none, the default route applies.
    #[must_use]
    pub fn first_match(&self, query: &Query) -> Option<&Rule> {
        let caller = self.by_caller.get(query.caller.index())?.words();
        let class = self.by_class.get(query.class.index())?.words();
        let target = match query.target {
            event::Target::Model(key) => self.by_model.get(key.index()),
            event::Target::Service(key) => self.by_service.get(key.index()),
        };
        let target = target?.words();
        let flags = self.by_flags[flags_index(query.streaming, query.not_repeatable)].words();
        for word in 0..flags.len() {
            let mut left = caller[word] & class[word] & target[word] & flags[word];
            while left != 0 {
                let rule = &self.rules[word * 64 + left.trailing_zeros() as usize];
                if rule.ranges_match(query) {
                    return Some(rule);
                }
                left &= left - 1;
            }
        }
        None
    }
}

impl Rule {
    fn ranges_match(&self, query: &Query) -> bool {
        let prompt = self.prompt_tokens;
        let priority = self.priority;
        prompt.is_none_or(|range| range.contains(query.prompt_tokens))
            && priority.is_none_or(|range| range.contains(u32::from(query.priority)))
    }
}

fn compile_route(route: rules::Route, names: &mut names::Names) -> CompiledAction {
    let model = match route.model {
        None => None,
        Some(name) => match names.models.get(&name) {
            Some(key) => Some(key),
            None => return CompiledAction::RouteToUnknown { model: name },
        },
    };
    CompiledAction::Route {
        pool: route.pool.map(|pool| names.pools.intern(&pool)),
        model,
        priority: route.priority,
    }
}

fn insert_if(column: &mut bits::BitSet, index: usize, holds: bool) {
    if holds {
        column.insert(index);
    }
}

fn flags_index(streaming: bool, not_repeatable: bool) -> usize {
    usize::from(streaming) * 2 + usize::from(not_repeatable)
}

/// Whether a list condition holds for a name: the list is empty or contains it.
fn list_matches(list: &[String], name: &str) -> bool {
    list.is_empty() || list.iter().any(|member| member == name)
}

/// Whether the rule applies in the availability zone of this entry process.
fn zone_matches(when: &rules::When, names: &names::Names) -> bool {
    list_matches(&when.availability_zone, names.own_zone())
}

/// Whether the conditions on model, adapter and service hold for a target. Conditions on the other
/// kind of target must be empty.
fn target_matches(when: &rules::When, target: event::Target, names: &names::Names) -> bool {
    match target {
        event::Target::Service(key) => {
            when.model.is_empty()
                && when.adapter.is_empty()
                && list_matches(&when.service, names.services.name(key))
        }
        event::Target::Model(key) => {
            let name = names.models.name(key);
            let base = names.model_row(key).base;
            let by_base = base.is_some_and(|base| {
                let base = names.models.name(base);
                when.model.iter().any(|member| member == base)
            });
            when.service.is_empty()
                && (list_matches(&when.model, name) || by_base)
                && (when.adapter.is_empty()
                    || (base.is_some() && list_matches(&when.adapter, name)))
        }
    }
}
