//! What a stand-in engine holds, and what it has done with orders.

use std::collections;

use sageshed_types::endpoints;

/// How many order results are reported.
const RESULTS: usize = 64;

/// The models and orders of one incarnation.
#[derive(Debug, Default)]
pub(crate) struct Memory {
    pub(crate) resident: Vec<endpoints::Resident>,
    pub(crate) running: collections::HashMap<String, u32>,
    pub(crate) results: collections::VecDeque<endpoints::OrderResult>,
    highest_fence: endpoints::Fence,
}

/// What to do with an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Next {
    /// It is taken now: carry it out.
    Begin,
    /// It came before; its first arrival counts.
    Known,
    /// It is refused.
    Refuse(String),
}

impl Memory {
    /// Memory taken, in MiB, loads under way included.
    pub(crate) fn taken(&self) -> u64 {
        self.resident.iter().map(|held| held.memory_mib).sum()
    }

    /// Whether `model` can serve.
    pub(crate) fn serves(&self, model: &str) -> bool {
        self.resident
            .iter()
            .any(|held| held.model == model && held.phase == endpoints::Phase::Ready)
    }

    /// Takes an order in, by its id and its fencing number.
    pub(crate) fn admit(&mut self, order: &endpoints::Order, checks_fence: bool) -> Next {
        if let Some(past) = self.results.iter().find(|past| past.order == order.order) {
            return match &past.outcome {
                endpoints::OrderOutcome::Refused { problem } => Next::Refuse(problem.clone()),
                _ => Next::Known,
            };
        }
        if checks_fence && order.fence < self.highest_fence {
            let problem = format!(
                "fencing number {} is older than {}",
                order.fence, self.highest_fence
            );
            let outcome = endpoints::OrderOutcome::Refused {
                problem: problem.clone(),
            };
            self.settle(order.order, outcome);
            return Next::Refuse(problem);
        }
        self.highest_fence = self.highest_fence.max(order.fence);
        self.settle(order.order, endpoints::OrderOutcome::Running);
        Next::Begin
    }

    /// Notes what became of an order.
    pub(crate) fn settle(&mut self, order: endpoints::OrderId, outcome: endpoints::OrderOutcome) {
        if let Some(past) = self.results.iter_mut().find(|past| past.order == order) {
            past.outcome = outcome;
            return;
        }
        self.results
            .push_back(endpoints::OrderResult { order, outcome });
        if self.results.len() > RESULTS {
            self.results.pop_front();
        }
    }

    /// Begins a task: takes the memory of a load, stops new requests of an unload. Gives the problem
    /// if it cannot be done. Memory past the bound is not refused: a real engine would fail there,
    /// and the stand-in counts it.
    pub(crate) fn begin(&mut self, task: &endpoints::Task) -> Option<String> {
        match task {
            endpoints::Task::Load {
                model,
                version,
                memory_mib,
                base,
            } => {
                if self.holds(model, *version) {
                    return Some(format!("{model} version {version} is held already"));
                }
                if base.as_ref().is_some_and(|base| !self.serves(base)) {
                    return Some(format!("the base of {model} is not held"));
                }
                self.resident.push(endpoints::Resident {
                    model: model.clone(),
                    version: *version,
                    phase: endpoints::Phase::Loading,
                    memory_mib: *memory_mib,
                });
                None
            }
            endpoints::Task::Unload { model, version } => {
                if !self.holds(model, *version) {
                    return Some(format!("{model} version {version} is not held"));
                }
                self.set_phase(model, *version, endpoints::Phase::Unloading);
                None
            }
            endpoints::Task::ChangeRole { .. } => None,
        }
    }

    fn holds(&self, model: &str, version: u32) -> bool {
        self.resident
            .iter()
            .any(|held| held.model == model && held.version == version)
    }

    /// Sets how far a model is; does nothing if it is not held.
    pub(crate) fn set_phase(&mut self, model: &str, version: u32, phase: endpoints::Phase) {
        for held in &mut self.resident {
            if held.model == model && held.version == version {
                held.phase = phase;
            }
        }
    }

    /// Gives the memory of a model back.
    pub(crate) fn remove(&mut self, model: &str, version: u32) {
        self.resident
            .retain(|held| held.model != model || held.version != version);
    }

    /// How many requests run on `model`.
    pub(crate) fn running_on(&self, model: &str) -> u32 {
        self.running.get(model).copied().unwrap_or(0)
    }
}
