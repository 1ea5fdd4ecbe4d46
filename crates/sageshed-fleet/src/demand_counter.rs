//! Counters of the callers' demand, which are sent to the leader.
//!
//! Entry processes send their demand to a control process near them, which sends the sums to the leader. The number of
//! messages to the leader thus grows with the control processes, not with the entry processes.

use std::collections;

use sageshed_types::time;

use crate::messages;

/// Maximum number of models that are counted between two messages: more than the largest fleet has. A bound is needed
/// since names come from callers.
const MAX_MODELS: usize = 2_048;

/// How long demand is kept that could not be sent. The leader averages demand over four seconds; if the demand of a
/// whole outage were sent at its end, it would look like a rise, and the leader would load models for it.
const MAX_UNSENT_AGE: time::Millis = time::Millis(1_500);

/// Maximum number of adapters of one model in one message.
const MAX_ADAPTERS: usize = 64;

/// The demand that was not sent yet.
#[derive(Debug, Default)]
pub struct DemandCounter {
    models: collections::HashMap<(String, String), messages::Demand>,
    /// Since when sending has failed.
    unsent_since: Option<time::Instant>,
}

impl DemandCounter {
    /// Counts a request for a model, or for an adapter of it.
    pub fn add_request(&mut self, service: &str, model: &str, request: &RequestDemand<'_>) {
        let Some(demand) = self.demand_of(service, model) else {
            return;
        };
        demand.requests = demand.requests.saturating_add(1);
        demand.prefill_us = demand.prefill_us.saturating_add(request.prefill_us);
        demand.output_tokens = demand.output_tokens.saturating_add(request.output_tokens);
        add_adapters(demand, request.adapter);
    }

    /// Counts a request that waits for a model.
    pub fn add_waiting(&mut self, service: &str, model: &str) {
        if let Some(demand) = self.demand_of(service, model) {
            demand.waiting = demand.waiting.saturating_add(1);
        }
    }

    /// Counts the engine time of a request that has waited for another [`messages::WAITING_INTERVAL`], and for `waited`
    /// in total.
    pub fn add_waiting_work(
        &mut self,
        service: &str,
        model: &str,
        work_us: u64,
        waited: time::Millis,
    ) {
        if let Some(demand) = self.demand_of(service, model) {
            demand.waiting_us = demand.waiting_us.saturating_add(work_us);
            demand.waiting_age = demand.waiting_age.max(waited);
        }
    }

    /// Counts the engine time of a request that is refused after it has waited for `waited`.
    pub fn add_refused(&mut self, service: &str, model: &str, work_us: u64, waited: time::Millis) {
        if let Some(demand) = self.demand_of(service, model) {
            demand.refused_us = demand.refused_us.saturating_add(work_us);
            demand.refused_age = demand.refused_age.max(waited);
        }
    }

    /// Adds the demand that another process has counted.
    pub fn add(&mut self, counted: Vec<messages::Demand>) {
        for it in counted {
            let Some(demand) = self.demand_of(&it.service, &it.model) else {
                continue;
            };
            demand.requests = demand.requests.saturating_add(it.requests);
            demand.prefill_us = demand.prefill_us.saturating_add(it.prefill_us);
            demand.output_tokens = demand.output_tokens.saturating_add(it.output_tokens);
            demand.waiting = demand.waiting.saturating_add(it.waiting);
            demand.waiting_us = demand.waiting_us.saturating_add(it.waiting_us);
            demand.waiting_age = demand.waiting_age.max(it.waiting_age);
            demand.refused_us = demand.refused_us.saturating_add(it.refused_us);
            demand.refused_age = demand.refused_age.max(it.refused_age);
            add_adapters(demand, it.adapters.iter().map(String::as_str));
        }
    }

    /// Takes out the demand to send it. The caller then calls [`Self::mark_sent`] or [`Self::restore`].
    pub fn take(&mut self) -> Vec<messages::Demand> {
        self.models.drain().map(|(_, demand)| demand).collect()
    }

    /// Notes that the demand that was taken out has been sent.
    pub fn mark_sent(&mut self) {
        self.unsent_since = None;
    }

    /// Puts back the demand that could not be sent, unless sending has failed for longer than [`MAX_UNSENT_AGE`].
    pub fn restore(&mut self, now: time::Instant, counted: Vec<messages::Demand>) {
        let since = *self.unsent_since.get_or_insert(now);
        if now.since(since) <= MAX_UNSENT_AGE {
            self.add(counted);
        }
    }

    fn demand_of(&mut self, service: &str, model: &str) -> Option<&mut messages::Demand> {
        let key = (service.to_owned(), model.to_owned());
        if self.models.len() >= MAX_MODELS && !self.models.contains_key(&key) {
            return None;
        }
        let demand = self.models.entry(key).or_insert_with(|| messages::Demand {
            service: service.to_owned(),
            model: model.to_owned(),
            ..messages::Demand::default()
        });
        Some(demand)
    }
}

/// The demand of one request.
#[derive(Debug, Clone, Copy)]
pub struct RequestDemand<'a> {
    /// Microseconds of engine time for the prefill of its prompt, without the cached prefix.
    pub prefill_us: u64,
    /// Tokens that it may generate at most.
    pub output_tokens: u64,
    /// The adapter of the model, if one is requested.
    pub adapter: Option<&'a str>,
}

fn add_adapters<'a>(demand: &mut messages::Demand, names: impl IntoIterator<Item = &'a str>) {
    for name in names {
        let is_known = demand.adapters.iter().any(|it| it == name);
        if !is_known && demand.adapters.len() < MAX_ADAPTERS {
            demand.adapters.push(name.to_owned());
        }
    }
}
