//! The coordinators of models, updated as entry processes are added and removed.
//!
//! # Load pattern
//!
//! While a thousand entry processes are restarted one after the other, their list changes several times a
//! second, and each of them knows thousands of engines. So coordinators are cached by model: a change of
//! the list costs one hash for each model and added process, and a ranking of all processes only for the
//! models that lost a coordinator. When processes were ranked for each engine, a change cost each process
//! engines x entry processes hashes.

use std::{collections, net};

use crate::{directory, entry_peers};

/// The coordinators of all models that engines hold.
#[derive(Debug)]
pub struct Coordinators {
    own: net::Ipv4Addr,
    /// Sorted.
    entries: Vec<net::Ipv4Addr>,
    by_model: collections::HashMap<String, Vec<entry_peers::HashedEntry>>,
}

impl Default for Coordinators {
    fn default() -> Self {
        Self {
            own: net::Ipv4Addr::UNSPECIFIED,
            entries: Vec::new(),
            by_model: collections::HashMap::new(),
        }
    }
}

impl Coordinators {
    /// Sets the list of entry processes, of which this one is `own`. Returns the number of models for which
    /// all processes had to be ranked.
    pub fn set_entries(&mut self, own: net::Ipv4Addr, entries: &[net::Ipv4Addr]) -> usize {
        self.own = own;
        let mut entries = entries.to_vec();
        entries.sort_unstable();
        entries.dedup();
        let before = std::mem::replace(&mut self.entries, entries);
        if !self.are_used() {
            self.by_model.values_mut().for_each(Vec::clear);
            return 0;
        }
        let is_new = |it: &&net::Ipv4Addr| before.binary_search(it).is_err();
        let joined: Vec<_> = self
            .entries
            .iter()
            .copied()
            .filter(|it| is_new(&it))
            .collect();
        let mut ranked = 0;
        for (model, coordinators) in &mut self.by_model {
            let key = entry_peers::name_key(model);
            let is_there =
                |it: &entry_peers::HashedEntry| self.entries.binary_search(&it.1).is_ok();
            if coordinators.len() < entry_peers::COORDINATORS || !coordinators.iter().all(is_there)
            {
                *coordinators =
                    entry_peers::ranked_with_hashes(key, &self.entries, entry_peers::COORDINATORS);
                ranked += 1;
            } else {
                coordinators.extend(joined.iter().map(|it| entry_peers::hashed_entry(key, *it)));
                coordinators.sort_unstable_by(|a, b| b.cmp(a));
                coordinators.truncate(entry_peers::COORDINATORS);
            }
        }
        ranked
    }

    /// Adds the models that an engine holds.
    pub fn add_models(&mut self, instance: &directory::Instance) {
        for resident in &instance.models {
            if self.by_model.contains_key(&resident.model) {
                continue;
            }
            let coordinators = if self.are_used() {
                let key = entry_peers::name_key(&resident.model);
                entry_peers::ranked_with_hashes(key, &self.entries, entry_peers::COORDINATORS)
            } else {
                Vec::new()
            };
            self.by_model.insert(resident.model.clone(), coordinators);
        }
    }

    /// Whether there are so many entry processes that models have coordinators.
    #[must_use]
    pub fn are_used(&self) -> bool {
        entry_peers::uses_coordinators(&self.entries)
    }

    /// The coordinators of a model, in the order in which they are queried; none if all processes exchange
    /// observations directly.
    #[must_use]
    pub fn of(&self, model: &str) -> Vec<net::Ipv4Addr> {
        match self.by_model.get(model) {
            Some(coordinators) => coordinators.iter().map(|it| it.1).collect(),
            None => entry_peers::coordinators(entry_peers::name_key(model), &self.entries),
        }
    }

    /// The coordinators of a plain service, in the order in which they are asked.
    #[must_use]
    pub fn of_service(&self, service: &str) -> Vec<net::Ipv4Addr> {
        entry_peers::coordinators(entry_peers::name_key(service), &self.entries)
    }

    /// Number of entry processes.
    #[must_use]
    pub fn entry_count(&self) -> usize {
        self.entries.len()
    }

    /// The other processes that receive observations of an engine: the coordinators of the models that it
    /// holds, or all processes if there are no coordinators.
    #[must_use]
    pub fn observers(&self, instance: &directory::Instance) -> Vec<net::Ipv4Addr> {
        let mut observers = if self.are_used() {
            let models = instance.models.iter();
            models.flat_map(|it| self.of(&it.model)).collect()
        } else {
            self.entries.clone()
        };
        observers.sort_unstable();
        observers.dedup();
        observers.retain(|it| *it != self.own);
        observers
    }

    /// Whether this process receives observations of an engine.
    #[must_use]
    pub fn is_observer(&self, instance: &directory::Instance) -> bool {
        if !self.are_used() {
            return self.entries.is_empty() || self.entries.binary_search(&self.own).is_ok();
        }
        let mut models = instance.models.iter();
        models.any(|it| {
            let ranked = self.by_model.get(&it.model);
            ranked.is_some_and(|ranked| ranked.iter().any(|entry| entry.1 == self.own))
        })
    }

    /// The coordinators to query for requests to `model`, in order; none if this process selects engines by
    /// itself.
    #[must_use]
    pub fn query_order(&self, model: &str) -> Vec<net::Ipv4Addr> {
        let mut coordinators = self.of(model);
        if coordinators.first() == Some(&self.own) {
            return Vec::new();
        }
        coordinators.retain(|it| *it != self.own);
        coordinators
    }
}
