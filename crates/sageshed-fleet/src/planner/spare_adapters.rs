//! Adapters that are loaded ahead of requests.
//!
//! An adapter is loaded when a request asks for it, and only the leader may order that: many engines don't check the
//! fencing token, so that two processes that give orders would execute each other's. Without a leader all requests for
//! an adapter wait that no open engine holds. Therefore each adapter that was requested lately is loaded on a second engine
//! of its model, and again on the first one where the model has moved. Requests go to the engines that hold it.
//!
//! An adapter is loaded ahead only into a free slot and beside free slots for requested adapters, only while no
//! request waits for an adapter, and at a bounded rate. Nothing is evicted for it.

use std::collections;

use sageshed_types::time;

use super::{Action, Planner, Pool};
use crate::{dialect, directory};

/// How long after its latest request an adapter is kept loaded ahead.
const RECENT_USE: time::Millis = time::Millis(60_000);

/// Engines that hold an adapter which was requested lately.
const WANTED_HOLDERS: usize = 2;

/// Adapter slots of an engine that stay free for adapters that requests wait for.
const FREE_SLOTS: usize = 2;

/// Time between two loads ahead, over all engines. 640 adapters take about a minute.
const LOAD_INTERVAL: time::Millis = time::Millis(100);

/// Time until the next attempt where no adapter could be loaded ahead. An attempt looks at all adapters.
const IDLE_INTERVAL: time::Millis = time::Millis(1_000);

/// Time until an adapter that was ordered ahead may be ordered ahead again. An engine that refuses an order gets none for
/// a second, so that repeating the order of an adapter that can't be loaded would delay all others.
const RETRY_INTERVAL: time::Millis = time::Millis(20_000);

/// Maximum number of adapters that are remembered.
const MAX_KNOWN: usize = 4_096;

/// A model and an adapter of it.
type Key = (String, String);

/// What is known of adapters that may be loaded ahead.
#[derive(Debug, Default)]
pub(super) struct SpareAdapters {
    /// No adapter of the service is loaded ahead before.
    not_before: collections::HashMap<String, time::Instant>,
    /// Adapters that an engine has held, by service. Names come from callers, and one that no engine has held may not
    /// exist.
    known: collections::HashMap<String, collections::HashSet<Key>>,
    ordered: collections::HashMap<Key, time::Instant>,
}

impl SpareAdapters {
    fn wait(&mut self, service: &str, until: time::Instant) {
        self.not_before.insert(service.to_owned(), until);
    }

    /// Records the adapters that the engines of `pool` hold, and returns how many hold each.
    fn record_held(
        &mut self,
        now: time::Instant,
        pool: &Pool<'_>,
        last_use: impl Fn(&Key) -> time::Instant,
    ) -> collections::HashMap<Key, usize> {
        let mut holders = collections::HashMap::new();
        let residents = pool.instances.iter().flat_map(|it| &it.models);
        for resident in residents {
            for adapter in &resident.adapters {
                let key = (resident.model.clone(), adapter.clone());
                *holders.entry(key).or_default() += 1;
            }
        }
        let known = self.known.entry(pool.service.to_owned()).or_default();
        if known.len() >= MAX_KNOWN {
            known.retain(|key| holders.contains_key(key) || now.since(last_use(key)) < RECENT_USE);
        }
        for key in holders.keys() {
            if known.len() >= MAX_KNOWN {
                break;
            }
            known.insert(key.clone());
        }
        holders
    }

    /// The adapters that may be loaded ahead: those with the fewest holders first, and of these the latest requested.
    fn candidates(
        &self,
        now: time::Instant,
        service: &str,
        holders: &collections::HashMap<Key, usize>,
        last_use: impl Fn(&Key) -> time::Instant,
    ) -> Vec<Key> {
        let known = self.known.get(service).into_iter().flatten();
        let mut candidates: Vec<(usize, time::Millis, &Key)> = known
            .filter_map(|key| {
                let held = holders.get(key).copied().unwrap_or_default();
                let idle = now.since(last_use(key));
                let ordered = self.ordered.get(key);
                let is_resting = ordered.is_some_and(|at| now.since(*at) < RETRY_INTERVAL);
                let is_wanted = held < WANTED_HOLDERS && idle < RECENT_USE && !is_resting;
                is_wanted.then_some((held, idle, key))
            })
            .collect();
        candidates.sort_unstable();
        candidates.into_iter().map(|it| it.2.clone()).collect()
    }
}

impl Planner {
    /// Gives the order that loads one adapter ahead, if one is due.
    pub(super) fn load_spare_adapters(
        &mut self,
        now: time::Instant,
        pool: &Pool<'_>,
    ) -> Option<Action> {
        let mut requests = self.adapter_requests.iter();
        let is_awaited = requests.any(|it| it.req.service == pool.service);
        let not_before = self.spares.not_before.get(pool.service);
        let is_due = not_before.is_none_or(|at| now >= *at);
        if !self.policy.spare_adapters || is_awaited || !is_due {
            return None;
        }
        self.spares.wait(pool.service, now + IDLE_INTERVAL);
        let last_use = |key: &Key| self.demand.last_adapter_use(pool.service, &key.0, &key.1);
        let holders = self.spares.record_held(now, pool, last_use);
        let candidates = self
            .spares
            .candidates(now, pool.service, &holders, last_use);
        let replicas = replicas_by_model(pool);
        let (key, id) = candidates.into_iter().find_map(|key| {
            let replicas = replicas.get(key.0.as_str())?;
            let id = self.engine_for_spare(now, pool, replicas, &key)?;
            Some((key, id))
        })?;
        let task = dialect::Task::LoadAdapter(key.0.clone(), key.1.clone());
        let order = self.order(now, pool, &id, task)?;
        self.spares.wait(pool.service, now + LOAD_INTERVAL);
        self.spares
            .ordered
            .retain(|_, at| now.since(*at) < RETRY_INTERVAL);
        self.spares.ordered.insert(key, now);
        Some(Action::Order(order))
    }

    /// The engine among `replicas` with the most free adapter slots that doesn't hold the adapter, if enough are free.
    fn engine_for_spare(
        &self,
        now: time::Instant,
        pool: &Pool<'_>,
        replicas: &[&directory::Instance],
        (model, adapter): &Key,
    ) -> Option<directory::InstanceId> {
        let free_slots = |it: &&directory::Instance| {
            let engine = self.engines.get(&it.id)?;
            let is_held =
                it.holds(model, Some(adapter)) || engine.holds_or_loads_adapter(model, adapter);
            if is_held || engine.unloads(model) || !engine.accepts_adapter_orders(now) {
                return None;
            }
            let used = engine.max_adapters(it) + FREE_SLOTS;
            let free = (pool.settings.adapter_slots as usize).checked_sub(used + 1)?;
            Some((free, it.id.clone()))
        };
        let best = replicas.iter().filter_map(free_slots).max();
        best.map(|(_, id)| id)
    }
}

/// The engines that hold each model.
fn replicas_by_model<'a>(
    pool: &Pool<'a>,
) -> collections::HashMap<&'a str, Vec<&'a directory::Instance>> {
    let mut replicas: collections::HashMap<&str, Vec<&directory::Instance>> =
        collections::HashMap::new();
    for instance in &pool.instances {
        for resident in &instance.models {
            let holders = replicas.entry(&resident.model).or_default();
            holders.push(instance);
        }
    }
    replicas
}
