//! The memory ledger: every engine's contents and promises, and which engines are routes.
//!
//! Memory on an engine is what its newest report shows in any phase, plus every order of unknown
//! fate at its worst case: a load counts, an unload has not freed anything yet. See [`engine`] for
//! when an order's fate is known.

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
    /// What its accelerators have.
    pub total: u64,
    /// What the newest report shows as taken, in any phase.
    pub resident: u64,
    /// What orders of unknown fate may take on top, at worst.
    pub reserved: u64,
}

impl Memory {
    /// What may still be promised.
    #[must_use]
    pub fn free(&self) -> u64 {
        self.total
            .saturating_sub(self.resident)
            .saturating_sub(self.reserved)
    }
}

/// A model or adapter on offer, with keys.
#[derive(Debug, Clone)]
pub struct Offer {
    /// As the settings name it.
    pub model: catalog::Model,
    /// For an adapter: what it sits on. A base that is not on offer has a key as well.
    pub base: Option<ModelKey>,
    /// The pools that may hold it; empty: any.
    pub pools: Vec<PoolKey>,
}

/// Who holds what, and what was promised.
#[derive(Debug, Clone)]
pub struct Ledger {
    models: arena::Names<ModelKey>,
    endpoints: arena::Names<EndpointKey>,
    pools: arena::Names<PoolKey>,
    zones: arena::Names<ZoneKey>,
    offers: Vec<Offer>,
    engines: Vec<Engine>,
    stale_after: time::Millis,
}

impl Ledger {
    /// A ledger of `offered` that knows no endpoint yet. Reports older than `stale_after` count for
    /// nothing but memory.
    #[must_use]
    pub fn new(offered: &[catalog::Model], stale_after: time::Millis) -> Self {
        let mut models = arena::Names::default();
        let mut pools = arena::Names::default();
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
            endpoints: arena::Names::default(),
            pools,
            zones: arena::Names::default(),
            offers,
            engines: Vec::new(),
            stale_after,
        }
    }

    /// The memory of `endpoint`, if it has reported or has an order.
    #[must_use]
    pub fn memory(&self, endpoint: &str) -> Option<Memory> {
        let engine = self.engine(self.endpoints.get(endpoint)?);
        Some(Memory {
            total: engine.total_mib,
            resident: engine.resident_mib(),
            reserved: engine.reserved_mib(),
        })
    }

    /// Every engine known, in the order met.
    #[must_use]
    pub fn engines(&self) -> &[Engine] {
        &self.engines
    }

    /// The engine behind `key`.
    #[must_use]
    pub fn engine(&self, key: EndpointKey) -> &Engine {
        &self.engines[key.index()]
    }

    /// The models on offer; position and key are the same number.
    #[must_use]
    pub fn offers(&self) -> &[Offer] {
        &self.offers
    }

    /// What is offered under `model`, if it is.
    #[must_use]
    pub fn offer(&self, model: ModelKey) -> Option<&Offer> {
        self.offers.get(model.index())
    }

    /// The name behind a model's key.
    #[must_use]
    pub fn model_name(&self, model: ModelKey) -> &str {
        self.models.name(model)
    }

    /// The key of a model on offer.
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

    /// The key of an endpoint that is known.
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

    fn of(&mut self, name: &str) -> &mut Engine {
        let key = self.intern(name);
        &mut self.engines[key.index()]
    }

    /// Takes in a report. Returns the orders to remove from the table.
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
            taken: time::Instant(now.0.saturating_sub(report.age_ms.0)),
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

    /// Notes that `endpoint` has gone silent: nothing is issued there until a newer report.
    pub fn silent(&mut self, endpoint: &str) {
        self.of(endpoint).silent = true;
    }

    /// Reads the table of open orders anew. Returns the orders to remove from it.
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

    /// Takes a committed order in. Returns the orders to remove from the table.
    pub fn add(
        &mut self,
        now: time::Instant,
        order: endpoints::Order,
        restored: bool,
    ) -> Vec<endpoints::OrderId> {
        let task = self.task(&order.task);
        self.of(&order.endpoint).add(now, order, task, restored)
    }

    /// Turns the names of a task into keys.
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

    /// Counts a task from the moment it is proposed. Returns it with its names.
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

    /// The engine that has `order` in the table.
    pub fn engine_with_order(&mut self, order: endpoints::OrderId) -> Option<&mut Engine> {
        self.engines
            .iter_mut()
            .find(|e| e.orders.iter().any(|open| open.order.order == order))
    }

    /// The engine called `name`, met now if it is new.
    pub fn engine_mut(&mut self, name: &str) -> &mut Engine {
        self.of(name)
    }

    /// Every engine, to be changed.
    pub fn engines_mut(&mut self) -> &mut [Engine] {
        &mut self.engines
    }

    /// Forgets the table of open orders.
    pub fn clear_orders(&mut self) {
        for engine in &mut self.engines {
            engine.clear_orders();
        }
    }

    /// Whether the newest report of `engine` still tells how things are.
    #[must_use]
    pub fn is_fresh(&self, now: time::Instant, engine: &Engine) -> bool {
        engine.is_fresh(now, self.stale_after)
    }

    /// Whether an order may be issued to `engine`, as far as reports and other orders go.
    #[must_use]
    pub fn takes_orders(&self, now: time::Instant, engine: &Engine) -> bool {
        engine.takes_orders(now, self.stale_after)
    }

    /// Whether `engine`'s pool may hold `model`. While a change of its role is under way it counts
    /// for models of any pool only.
    #[must_use]
    pub fn admits(&self, engine: &Engine, model: ModelKey) -> bool {
        self.offer(model).is_some_and(|offer| {
            offer.pools.is_empty() || !engine.changes_role() && offer.pools.contains(&engine.pool)
        })
    }

    /// Whether `model` can be reached on `engine`: Ready there and staying, freshly reported, the
    /// engine staying, and for an adapter its base likewise.
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

    /// Whether an unload would leave `model` reachable. Not so if it is the last route, or if an
    /// adapter on the engine sits on it.
    ///
    /// `others` are engines that may hold the model.
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

    /// Whether an adapter on `engine`, there or coming, sits on `model`.
    #[must_use]
    pub fn has_adapter_of(&self, engine: &Engine, model: ModelKey) -> bool {
        let held = engine.held.iter().map(|held| held.model);
        let coming = engine.pending().filter_map(|task| match task {
            Task::Load { model, .. } => Some(model),
            Task::Unload { .. } | Task::ChangeRole => None,
        });
        held.chain(coming)
            .any(|m| self.offer(m).is_some_and(|offer| offer.base == Some(model)))
    }
}
