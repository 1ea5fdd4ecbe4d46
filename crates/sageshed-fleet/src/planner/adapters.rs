//! Placement of adapters that requests wait for: on which engine each is loaded, and which one is evicted for it.

use sageshed_types::time;

use super::{Action, Planner, Pool, engine};
use crate::{dialect, directory, messages};

/// How long an adapter must be unused before it may be evicted, so that its requests can finish.
const ADAPTER_MIN_IDLE: time::Millis = time::Millis(1_500);

/// A request for an adapter that is not served yet.
#[derive(Debug, Clone)]
pub(super) struct PendingAdapterRequest {
    pub(super) req: messages::AdapterReq,
    /// When it arrived.
    pub(super) at: time::Instant,
}

/// Progress of a request for an adapter.
enum Progress {
    /// The adapter is loaded or being loaded.
    Done,
    /// This order loads it, or unloads another one for it.
    Ordered(dialect::Order),
    /// No engine can load it now.
    Later,
}

impl Planner {
    /// Gives the orders that load the requested adapters.
    pub(super) fn serve_adapter_requests(
        &mut self,
        now: time::Instant,
        pool: &Pool<'_>,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let requests = std::mem::take(&mut self.adapter_requests);
        for request in requests {
            if request.req.service != pool.service {
                self.adapter_requests.push(request);
                continue;
            }
            match self.serve_adapter_request(now, pool, &request.req) {
                Progress::Done => {}
                Progress::Ordered(order) => {
                    let is_eviction = matches!(order.task, dialect::Task::UnloadAdapter(..));
                    actions.push(Action::Order(order));
                    if is_eviction {
                        self.adapter_requests.push(request);
                    }
                }
                Progress::Later => self.adapter_requests.push(request),
            }
        }
        actions
    }

    /// Gives the next order for one request, if it needs one and an engine can take it.
    fn serve_adapter_request(
        &mut self,
        now: time::Instant,
        pool: &Pool<'_>,
        req: &messages::AdapterReq,
    ) -> Progress {
        let holders: Vec<&directory::Instance> = pool
            .instances
            .iter()
            .filter(|it| it.resident(&req.model).is_some())
            .copied()
            .collect();
        let is_present = |it: &&directory::Instance| {
            let has_or_loads =
                |engine: &engine::Engine| engine.holds_or_loads_adapter(&req.model, &req.adapter);
            it.holds(&req.model, Some(&req.adapter))
                || self.engines.get(&it.id).is_some_and(has_or_loads)
        };
        let is_meant = |it: &&directory::Instance| {
            let engine = req.engine.as_ref();
            engine.is_none_or(|id| *id == it.id)
        };
        if holders.iter().filter(|it| is_meant(it)).any(is_present) {
            return Progress::Done;
        }
        let is_elsewhere = holders.iter().any(is_present);
        let free_slots = |it: &&directory::Instance| {
            let engine = self.engines.get(&it.id)?;
            let used = engine.max_adapters(it);
            let free = (pool.settings.adapter_slots as usize).checked_sub(used + 1)?;
            (engine.accepts_adapter_orders(now)).then_some((free, it.id.clone()))
        };
        let meant = holders.iter().filter(|it| is_meant(it));
        let mut best = meant.filter_map(free_slots).max();
        if best.is_none() && !is_elsewhere {
            best = holders.iter().filter_map(free_slots).max();
        }
        let task = dialect::Task::LoadAdapter(req.model.clone(), req.adapter.clone());
        if let Some((_, id)) = best {
            return self
                .order(now, pool, &id, task)
                .map_or(Progress::Later, Progress::Ordered);
        }
        if is_elsewhere {
            // No adapter is evicted for a second replica of another one.
            return Progress::Done;
        }
        self.evict_adapter(now, pool, &holders)
    }

    /// Evicts the least recently used adapter of the engines that can take an order now. Where adapters are loaded ahead,
    /// one that another engine holds too is evicted first.
    fn evict_adapter(
        &mut self,
        now: time::Instant,
        pool: &Pool<'_>,
        holders: &[&directory::Instance],
    ) -> Progress {
        let mut oldest: Option<((bool, time::Instant), directory::InstanceId, dialect::Task)> =
            None;
        for instance in holders {
            let accepts = |it: &engine::Engine| it.accepts_adapter_orders(now);
            if !self.engines.get(&instance.id).is_some_and(accepts) {
                continue;
            }
            for resident in &instance.models {
                for adapter in &resident.adapters {
                    let used = self
                        .demand
                        .last_adapter_use(pool.service, &resident.model, adapter);
                    let is_idle = now.since(used) >= ADAPTER_MIN_IDLE;
                    let holds =
                        |it: &&&directory::Instance| it.holds(&resident.model, Some(adapter));
                    let is_spare =
                        self.policy.spare_adapters && holders.iter().filter(holds).count() > 1;
                    let rank = (!is_spare, used);
                    if is_idle && oldest.as_ref().is_none_or(|(least, ..)| rank < *least) {
                        let (model, name) = (resident.model.clone(), adapter.clone());
                        let task = dialect::Task::UnloadAdapter(model, name);
                        oldest = Some((rank, instance.id.clone(), task));
                    }
                }
            }
        }
        let Some((_, id, task)) = oldest else {
            return Progress::Later;
        };
        self.order(now, pool, &id, task)
            .map_or(Progress::Later, Progress::Ordered)
    }
}
