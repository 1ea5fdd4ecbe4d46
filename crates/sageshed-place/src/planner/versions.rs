//! Loads of pinned models, and rolling updates of outdated versions.
//!
//! The new version is loaded beside the old one if both fit, otherwise on another engine. The old one
//! is unloaded once the model has another route. If a model has a single replica and there is no
//! room anywhere, the outdated version stays and a problem is reported: a response of an outdated
//! version is better than none. One replica of a model is replaced at a time.

use sageshed_types::{
    arena::{EndpointKey, Key, ModelKey},
    endpoints,
};

use crate::planner;

use planner::{Attempt, Planner};

impl Planner<'_> {
    /// Replaces outdated replicas.
    pub(super) fn replace_outdated(&mut self) {
        for index in 0..self.routes.len() {
            let model = ModelKey::from_index(index);
            let outdated = self.outdated(model);
            if outdated.is_empty() || !self.loading_on[index].is_empty() {
                continue;
            }
            if self.replace(model, &outdated) == Attempt::Impossible {
                self.report_problem(
                    model,
                    "an outdated version stays: no room for the new one beside it or elsewhere",
                );
            }
        }
    }

    /// The replicas of `model` that serve a version other than the current one.
    fn outdated(&self, model: ModelKey) -> Vec<(EndpointKey, u32)> {
        let wanted = self.offer(model).model.version;
        let routes = self.routes[model.index()].iter();
        routes
            .flat_map(|key| {
                let held = self.engine(*key).held.iter();
                held.filter(|held| {
                    held.model == model
                        && held.version != wanted
                        && held.phase == endpoints::Phase::Ready
                })
                .map(|held| (*key, held.version))
            })
            .collect()
    }

    fn replace(&mut self, model: ModelKey, outdated: &[(EndpointKey, u32)]) -> Attempt {
        if outdated.iter().any(|(key, _)| self.is_evicting(*key)) {
            return Attempt::Waiting;
        }
        if self.is_current_somewhere(model) {
            return self.drop_outdated(model, outdated);
        }
        let need_mib = self.memory(model);
        let beside = outdated.iter().map(|(key, _)| *key).find(|key| {
            self.accepts_orders[key.index()]
                && self.room(*key) >= need_mib
                && self.has_base(*key, model)
                && !self.engine(*key).awaits(model)
        });
        if let Some(key) = beside.or_else(|| self.best_engine_with_room(model, need_mib)) {
            return self.load(key, model, "a newer version is wanted");
        }
        if outdated.len() > 1 {
            return self.drop_outdated(model, outdated);
        }
        self.make_room(model, need_mib)
    }

    fn is_current_somewhere(&self, model: ModelKey) -> bool {
        let wanted = self.offer(model).model.version;
        let mut routes = self.routes[model.index()].iter();
        routes.any(|key| {
            self.engine(*key).held.iter().any(|held| {
                held.model == model
                    && held.version == wanted
                    && held.phase == endpoints::Phase::Ready
            })
        })
    }

    /// Unloads the first outdated replica that may be unloaded.
    fn drop_outdated(&mut self, model: ModelKey, outdated: &[(EndpointKey, u32)]) -> Attempt {
        for (key, version) in outdated {
            if self.unload(*key, model, *version, "a newer version is wanted") == Attempt::Started {
                return Attempt::Started;
            }
        }
        Attempt::Waiting
    }

    /// Loads pinned models on their engines.
    pub(super) fn load_pinned(&mut self) {
        for (model, key) in self.inputs.pins {
            let need_mib = self.memory(*model);
            if !self.can_host(*key, *model) || !self.has_base(*key, *model) {
                continue;
            }
            if self.room(*key) >= need_mib {
                self.load(*key, *model, "it is pinned there");
                continue;
            }
            if self.is_evicting(*key) {
                continue;
            }
            match self.eviction_plan(*key, *model, need_mib) {
                Some(eviction_plan) => {
                    self.start_evictions(&eviction_plan, "it makes way for a pinned model");
                }
                None => self.report_problem(*model, "no room where it is pinned"),
            }
        }
    }
}
