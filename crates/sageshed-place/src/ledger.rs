//! The memory ledger: the models and open orders of every engine, and which engines are routes.
//!
//! The used memory of an engine is what its newest report shows in any phase, plus the worst case of
//! every order of unknown outcome: a load counts as done, and an unload as not having freed anything
//! yet. See [`engine`] for when the outcome of an order is known.

use sageshed_types::{
    arena::{self, EndpointKey, Key, ModelKey, PoolKey, ZoneKey},
    catalog, endpoints, time,
};

use crate::{
    engine::{self, Engine},
    orders::Task,
};

/// The memory of one endpoint, in MiB.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Memory {
    /// The total memory of its accelerators.
    pub total: u64,
    /// The memory of all models in the newest report, in any phase.
    pub resident: u64,
    /// The additional memory that orders of unknown outcome may use at worst.
    pub reserved: u64,
}

impl Memory {
    /// The memory that is neither used nor reserved.
    #[must_use]
    pub fn free(&self) -> u64 {
        self.total
            .saturating_sub(self.resident)
            .saturating_sub(self.reserved)
    }
}

/// A model or adapter of the catalog, with names replaced by keys.
#[derive(Debug, Clone)]
pub struct Offer {
    /// Its entry in the settings.
    pub model: catalog::Model,
    /// The base model of an adapter. A base that is not in the catalog has a key as well.
    pub base: Option<ModelKey>,
    /// The pools whose engines may hold it; any pool if empty.
    pub pools: Vec<PoolKey>,
}

/// The state of all engines and of the catalog.
#[derive(Debug, Clone)]
pub struct Ledger {
    models: arena::Interner<ModelKey>,
    endpoints: arena::Interner<EndpointKey>,
    pools: arena::Interner<PoolKey>,
    zones: arena::Interner<ZoneKey>,
    offers: Vec<Offer>,
    engines: Vec<Engine>,
    stale_after: time::Millis,
}

impl Ledger {
    /// Creates a ledger for the models `offered`, without engines. Reports older than `stale_after`
    /// are used only for memory.
    #[must_use]
    pub fn new(offered: &[catalog::Model], stale_after: time::Millis) -> Self {
        let mut models = arena::Interner::default();
        let mut pools = arena::Interner::default();
        for model in offered {
            let _: ModelKey = models.intern(&model.name);
        }
        let offers = offered
            .iter()
            .map(|model| Offer {
                model: model.clone(),
                base: model.base.as_deref().map(|base| models.intern(base)),
                pools: model.pools.iter().map(|pool| pools.intern(pool)).collect(),
            })
            .collect();
        Self {
            models,
            endpoints: arena::Interner::default(),
            pools,
            zones: arena::Interner::default(),
            offers,
            engines: Vec::new(),
            stale_after,
        }
    }

    /// The memory of `endpoint`, if it has sent a report or has an order.
    #[must_use]
    pub fn memory(&self, endpoint: &str) -> Option<Memory> {
        let engine = self.engine(self.endpoints.get(endpoint)?);
        Some(Memory {
            total: engine.total_mib,
            resident: engine.resident_mib(),
            reserved: engine.reserved_mib(),
        })
    }

    /// All known engines, indexed by key.
    #[must_use]
    pub fn engines(&self) -> &[Engine] {
        &self.engines
    }

    /// The engine with this key.
    #[must_use]
    pub fn engine(&self, key: EndpointKey) -> &Engine {
        &self.engines[key.index()]
    }

    /// The models of the catalog, indexed by key.
    #[must_use]
    pub fn offers(&self) -> &[Offer] {
        &self.offers
    }

    /// The catalog entry of `model`, if there is one.
    #[must_use]
    pub fn offer(&self, model: ModelKey) -> Option<&Offer> {
        self.offers.get(model.index())
    }

    /// The name of a model.
    #[must_use]
    pub fn model_name(&self, model: ModelKey) -> &str {
        self.models.name(model)
    }

    /// The key of a model of the catalog.
    #[must_use]
    pub fn offered(&self, name: &str) -> Option<ModelKey> {
        let key = self.models.get(name)?;
        (key.index() < self.offers.len()).then_some(key)
    }

    /// The name of an availability zone.
    #[must_use]
    pub fn zone_name(&self, zone: ZoneKey) -> &str {
        self.zones.name(zone)
    }

    /// The key of a known endpoint.
    #[must_use]
    pub fn endpoint(&self, name: &str) -> Option<EndpointKey> {
        self.endpoints.get(name)
    }

    fn intern(&mut self, name: &str) -> EndpointKey {
        let key: EndpointKey = self.endpoints.intern(name);
        if key.index() == self.engines.len() {
            self.engines.push(Engine::new(key, name));
        }
        key
    }

    fn engine_or_insert(&mut self, name: &str) -> &mut Engine {
        let key = self.intern(name);
        &mut self.engines[key.index()]
    }

    /// Applies a report. Returns the orders to remove from the table.
    pub fn report(
        &mut self,
        now: time::Instant,
        report: &endpoints::Report,
    ) -> Vec<endpoints::OrderId> {
        let endpoints::Kind::Engine {
            pool, memory_mib, ..
        } = &report.identity.kind
        else {
            return Vec::new();
        };
        let key = self.intern(&report.identity.endpoint);
        if !self.engines[key.index()].is_newer(report) {
            return Vec::new();
        }
        let state = engine::ReportedState {
            reported_at: time::Instant(now.0.saturating_sub(report.age_ms.0)),
            held: report
                .resident
                .iter()
                .map(|resident| engine::HeldModel {
                    model: self.models.intern(&resident.model),
                    version: resident.version,
                    phase: resident.phase,
                    memory_mib: resident.memory_mib,
                })
                .collect(),
            pool: self.pools.intern(pool),
            zone: self.zones.intern(&report.identity.availability_zone),
            total_mib: *memory_mib,
        };
        self.engines[key.index()].apply_report(report, state)
    }

    /// Marks `endpoint` as silent: no order is issued to it until a newer report arrives.
    pub fn mark_silent(&mut self, endpoint: &str) {
        self.engine_or_insert(endpoint).silent = true;
    }

    /// Replaces all orders by those of the replicated table. Returns the orders to remove from it.
    pub fn restore(
        &mut self,
        now: time::Instant,
        orders: Vec<endpoints::Order>,
    ) -> Vec<endpoints::OrderId> {
        self.clear_orders();
        let mut removed = Vec::new();
        for order in orders {
            removed.extend(self.add(now, order, true));
        }
        removed
    }

    /// Adds a committed order. Returns the orders to remove from the table.
    pub fn add(
        &mut self,
        now: time::Instant,
        order: endpoints::Order,
        restored: bool,
    ) -> Vec<endpoints::OrderId> {
        let task = self.task(&order.task);
        self.engine_or_insert(&order.endpoint)
            .add(now, order, task, restored)
    }

    /// Replaces the names of a task by keys.
    pub fn task(&mut self, task: &endpoints::Task) -> Task {
        match task {
            endpoints::Task::Load {
                model,
                version,
                memory_mib,
                ..
            } => Task::Load {
                model: self.models.intern(model),
                version: *version,
                memory_mib: *memory_mib,
            },
            endpoints::Task::Unload { model, version } => Task::Unload {
                model: self.models.intern(model),
                version: *version,
            },
            endpoints::Task::ChangeRole { .. } => Task::ChangeRole,
        }
    }

    /// Records a proposed task, which counts from now on. Returns it with names instead of keys.
    pub fn propose(
        &mut self,
        key: EndpointKey,
        task: Task,
    ) -> Option<(String, endpoints::Incarnation, endpoints::Task)> {
        let named = self.named(task)?;
        let engine = &mut self.engines[key.index()];
        engine.proposed.push(task);
        Some((engine.name.clone(), engine.incarnation, named))
    }

    fn named(&self, task: Task) -> Option<endpoints::Task> {
        match task {
            Task::Load {
                model,
                version,
                memory_mib,
            } => Some(endpoints::Task::Load {
                model: self.models.name(model).to_owned(),
                version,
                memory_mib,
                base: self.offer(model)?.model.base.clone(),
            }),
            Task::Unload { model, version } => Some(endpoints::Task::Unload {
                model: self.models.name(model).to_owned(),
                version,
            }),
            Task::ChangeRole => None,
        }
    }

    /// The engine that `order` of the table was issued to.
    pub fn engine_with_order(&mut self, order: endpoints::OrderId) -> Option<&mut Engine> {
        self.engines
            .iter_mut()
            .find(|e| e.orders.iter().any(|open| open.order.order == order))
    }

    /// Mutable access to the engine called `name`, which is added if it is unknown.
    pub fn engine_mut(&mut self, name: &str) -> &mut Engine {
        self.engine_or_insert(name)
    }

    /// Mutable access to all engines.
    pub fn engines_mut(&mut self) -> &mut [Engine] {
        &mut self.engines
    }

    /// Drops all open orders.
    pub fn clear_orders(&mut self) {
        for engine in &mut self.engines {
            engine.clear_orders();
        }
    }

    /// Whether the newest report of `engine` is recent enough to rely on.
    #[must_use]
    pub fn is_fresh(&self, now: time::Instant, engine: &Engine) -> bool {
        engine.is_fresh(now, self.stale_after)
    }

    /// Whether an order may be issued to `engine`, as far as reports and other orders are concerned.
    #[must_use]
    pub fn takes_orders(&self, now: time::Instant, engine: &Engine) -> bool {
        engine.takes_orders(now, self.stale_after)
    }

    /// Whether the pool of `engine` may hold `model`. While a change of its pool is in progress, the
    /// engine may only hold models that are allowed in any pool.
    #[must_use]
    pub fn admits(&self, engine: &Engine, model: ModelKey) -> bool {
        self.offer(model).is_some_and(|offer| {
            offer.pools.is_empty() || !engine.changes_role() && offer.pools.contains(&engine.pool)
        })
    }

    /// Whether `engine` is a route for `model`.
    ///
    /// This requires that a recent report, later than all orders that this leader found in the table,
    /// shows the model as ready, that it is not being unloaded, that the engine is not leaving, and that
    /// its pool may hold the model. For an adapter, the base must be ready and stay there as well.
    #[must_use]
    pub fn is_route(&self, now: time::Instant, engine: &Engine, model: ModelKey) -> bool {
        let base = self.offer(model).and_then(|offer| offer.base);
        !engine.leaving
            && self.is_fresh(now, engine)
            && engine.covers_restored_orders()
            && self.admits(engine, model)
            && engine.serves(model)
            && base.is_none_or(|base| engine.serves(base))
    }

    /// Whether `version` of `model` may be unloaded from `engine`. This requires another route, and
    /// that no adapter on the engine depends on the model. A model that is not in the catalog needs no
    /// route.
    ///
    /// `others` are the engines that may hold the model.
    pub fn may_unload(
        &self,
        now: time::Instant,
        engine: &Engine,
        model: ModelKey,
        version: u32,
        mut others: impl Iterator<Item = EndpointKey>,
    ) -> bool {
        if self.has_adapter_of(engine, model) && !engine.serves_besides(model, version) {
            return false;
        }
        if self.offer(model).is_none() {
            return true;
        }
        engine.serves_besides(model, version)
            || others.any(|key| key != engine.key && self.is_route(now, self.engine(key), model))
    }

    /// Whether `engine` holds or is loading an adapter of `model`.
    #[must_use]
    pub fn has_adapter_of(&self, engine: &Engine, model: ModelKey) -> bool {
        let held = engine.held.iter().map(|held| held.model);
        let loading = engine.pending().filter_map(|task| match task {
            Task::Load { model, .. } => Some(model),
            Task::Unload { .. } | Task::ChangeRole => None,
        });
        held.chain(loading)
            .any(|m| self.offer(m).is_some_and(|offer| offer.base == Some(model)))
    }
}
