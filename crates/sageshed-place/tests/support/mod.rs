//! Simulated engines, the replicated table of orders, and a random generator.

#![allow(dead_code, reason = "each test binary uses a part")]

use sageshed_place as place;
use sageshed_types::{catalog, endpoints, time};

/// A random generator (`SplitMix64`) that gives the same numbers for a seed everywhere.
#[derive(Debug, Clone)]
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    pub fn below(&mut self, end: usize) -> usize {
        usize::try_from(self.next() % end as u64).unwrap()
    }

    pub fn percent(&mut self, chance: usize) -> bool {
        self.below(100) < chance
    }

    pub fn take<T>(&mut self, from: &mut Vec<T>) -> Option<T> {
        if from.is_empty() {
            return None;
        }
        let at = self.below(from.len());
        Some(from.swap_remove(at))
    }
}

pub fn base(name: &str, memory_mib: u64) -> catalog::Model {
    catalog::Model {
        name: name.to_owned(),
        base: None,
        version: 1,
        memory_mib,
        pools: Vec::new(),
        critical: false,
        load_ms: time::Millis(1_000),
    }
}

pub fn adapter(name: &str, base_name: &str, memory_mib: u64) -> catalog::Model {
    catalog::Model {
        base: Some(base_name.to_owned()),
        ..base(name, memory_mib)
    }
}

/// A simulated engine that carries out orders. It checks the incarnation and, if it supports that, the
/// order id and the fencing token, but never its memory.
#[derive(Debug, Clone)]
pub struct Engine {
    pub identity: endpoints::Identity,
    pub sequence: u64,
    pub resident: Vec<endpoints::Resident>,
    pub orders: Vec<endpoints::OrderResult>,
    pub highest_fence: endpoints::Fence,
    pub leaving: bool,
    accepted: Vec<(endpoints::OrderId, endpoints::Task)>,
}

impl Engine {
    pub fn new(name: &str, zone: &str, memory_mib: u64, checks_fence: bool) -> Self {
        Self {
            identity: endpoints::Identity {
                endpoint: name.to_owned(),
                incarnation: endpoints::Incarnation(1),
                address: "127.0.0.1:0".to_owned(),
                availability_zone: zone.to_owned(),
                kind: endpoints::Kind::Engine {
                    pool: "callout".to_owned(),
                    memory_mib,
                    accelerators: 1,
                },
                slots: 8,
                checks_fence,
            },
            sequence: 0,
            resident: Vec::new(),
            orders: Vec::new(),
            highest_fence: endpoints::Fence(0),
            leaving: false,
            accepted: Vec::new(),
        }
    }

    pub fn total_mib(&self) -> u64 {
        match self.identity.kind {
            endpoints::Kind::Engine { memory_mib, .. } => memory_mib,
            endpoints::Kind::Service { .. } => 0,
        }
    }

    pub fn used_mib(&self) -> u64 {
        self.resident.iter().map(|r| r.memory_mib).sum()
    }

    pub fn restart(&mut self) {
        self.identity.incarnation.0 += 1;
        self.sequence = 0;
        self.resident.clear();
        self.orders.clear();
        self.accepted.clear();
        self.highest_fence = endpoints::Fence(0);
        self.leaving = false;
    }

    pub fn report(&mut self) -> endpoints::Report {
        self.sequence += 1;
        let first = self.orders.len().saturating_sub(32);
        endpoints::Report {
            identity: self.identity.clone(),
            sequence: self.sequence,
            age_ms: time::Millis(0),
            running: 0,
            waiting: 0,
            tokens_per_second: 0,
            resident: self.resident.clone(),
            orders: self.orders[first..].to_vec(),
            leaving: self.leaving,
        }
    }

    /// Receives an order. Returns whether it will be carried out.
    pub fn take(&mut self, order: &endpoints::Order) -> bool {
        let checks = self.identity.checks_fence;
        let known = self.orders.iter().any(|r| r.order == order.order);
        if order.incarnation != self.identity.incarnation || checks && known {
            return false;
        }
        let old = checks && order.fence < self.highest_fence;
        self.highest_fence = self.highest_fence.max(order.fence);
        let outcome = if old {
            endpoints::OrderOutcome::Refused {
                problem: "old fencing number".to_owned(),
            }
        } else {
            self.accepted.push((order.order, order.task.clone()));
            endpoints::OrderOutcome::Running
        };
        self.orders.push(endpoints::OrderResult {
            order: order.order,
            outcome,
        });
        !old
    }

    /// The task that is being carried out.
    pub fn task(&self) -> Option<&endpoints::Task> {
        self.accepted.first().map(|(_, task)| task)
    }

    /// Advances the oldest order by one step: the first step starts it, the second completes it.
    pub fn advance(&mut self) {
        let Some((id, task)) = self.accepted.first().cloned() else {
            return;
        };
        let (name, wanted, starts) = match &task {
            endpoints::Task::Load { model, version, .. } => {
                (model, *version, !self.holds(model, *version))
            }
            endpoints::Task::Unload { model, version } => {
                let ready = self.ready(model, *version);
                (model, *version, ready)
            }
            endpoints::Task::ChangeRole { .. } => return,
        };
        if starts {
            self.start_task(&task);
            return;
        }
        let unloads = matches!(task, endpoints::Task::Unload { .. });
        let this = |r: &endpoints::Resident| r.model == *name && r.version == wanted;
        if unloads {
            self.resident.retain(|r| !this(r));
        } else if let Some(resident) = self.resident.iter_mut().find(|r| this(r)) {
            resident.phase = endpoints::Phase::Ready;
        }
        self.accepted.remove(0);
        if let Some(result) = self.orders.iter_mut().find(|r| r.order == id) {
            result.outcome = endpoints::OrderOutcome::Done;
        }
    }

    fn start_task(&mut self, task: &endpoints::Task) {
        match task {
            endpoints::Task::Load {
                model,
                version,
                memory_mib,
                ..
            } => self.resident.push(endpoints::Resident {
                model: model.clone(),
                version: *version,
                phase: endpoints::Phase::Loading,
                memory_mib: *memory_mib,
            }),
            endpoints::Task::Unload { model, version } => {
                for resident in &mut self.resident {
                    if resident.model == *model && resident.version == *version {
                        resident.phase = endpoints::Phase::Unloading;
                    }
                }
            }
            endpoints::Task::ChangeRole { .. } => {}
        }
    }

    fn holds(&self, model: &str, version: u32) -> bool {
        self.resident
            .iter()
            .any(|r| r.model == model && r.version == version)
    }

    fn ready(&self, model: &str, version: u32) -> bool {
        self.resident
            .iter()
            .any(|r| r.model == model && r.version == version && r.phase == endpoints::Phase::Ready)
    }

    /// Whether the engine can serve requests for `model`.
    pub fn serves(&self, model: &catalog::Model) -> bool {
        let ready = |name: &str| {
            self.resident
                .iter()
                .any(|r| r.model == name && r.phase == endpoints::Phase::Ready)
        };
        ready(&model.name) && model.base.as_deref().is_none_or(ready)
    }
}

/// The replicated table of open orders.
#[derive(Debug, Clone, Default)]
pub struct Table {
    pub open: Vec<endpoints::Order>,
    pub committed: u64,
}

impl Table {
    pub fn commit(
        &mut self,
        (endpoint, incarnation, task): (String, endpoints::Incarnation, endpoints::Task),
    ) -> endpoints::Order {
        self.committed += 1;
        let order = endpoints::Order {
            order: endpoints::OrderId(self.committed),
            endpoint,
            incarnation,
            fence: endpoints::Fence(self.committed),
            task,
        };
        self.open.push(order.clone());
        order
    }

    pub fn settle(&mut self, ids: &[endpoints::OrderId]) {
        self.open.retain(|order| !ids.contains(&order.order));
    }
}

pub fn placement(models: &[catalog::Model], policy: place::Policy) -> place::Placement {
    place::Placement::new(place::Settings {
        models: models.to_vec(),
        policy,
    })
}
