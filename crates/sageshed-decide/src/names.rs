//! The names that one entry process knows, with what the settings say of each.

use std::collections;

use sageshed_types::{
    arena::{self, Key},
    catalog, secret, time,
};

use crate::{event, settings};

/// A model or adapter, by keys.
#[derive(Debug, Clone)]
pub struct Model {
    /// For an adapter: the model it sits on.
    pub base: Option<arena::ModelKey>,
    /// The pools that may hold it; empty: any.
    pub pools: Vec<arena::PoolKey>,
    /// Time to load it.
    pub load: time::Millis,
}

/// A caller, by keys.
#[derive(Debug, Clone, Copy)]
pub struct Caller {
    /// The class of a request that names none.
    pub class: arena::ClassKey,
    /// Requests a second over all entry processes.
    pub rate: Option<f64>,
    /// Requests that may come at once, over all entry processes.
    pub burst: Option<f64>,
}

/// A class, by numbers.
#[derive(Debug, Clone, Copy)]
pub struct Class {
    /// 0 is the least urgent, 9 the most.
    pub priority: u8,
    /// Time that a request has when nothing else says.
    pub deadline: time::Millis,
    /// How many may wait here.
    pub queue: u32,
}

/// What a class that the settings do not name gets: they are checked before, so this is only met
/// when a caller's entry names a class that is missing.
const FALLBACK_CLASS: Class = Class {
    priority: 0,
    deadline: time::Millis(30_000),
    queue: 64,
};

/// The key of this process's own zone: it is interned before all others.
pub const OWN_ZONE: arena::ZoneKey = arena::ZoneKey(0);

/// Every name, each kind in an arena of its own.
#[derive(Debug, Clone, Default)]
pub struct Names {
    /// Models and adapters.
    pub models: arena::Names<arena::ModelKey>,
    /// Plain services.
    pub services: arena::Names<arena::ServiceKey>,
    /// Callers.
    pub callers: arena::Names<arena::CallerKey>,
    /// Classes.
    pub classes: arena::Names<arena::ClassKey>,
    /// Pools, from the settings and from reports.
    pub pools: arena::Names<arena::PoolKey>,
    /// Availability zones, from the settings and from reports.
    pub zones: arena::Names<arena::ZoneKey>,
    /// Endpoints, from reports.
    pub endpoints: arena::Names<arena::EndpointKey>,
    model_table: Vec<Model>,
    caller_table: Vec<Caller>,
    class_table: Vec<Class>,
    tokens: collections::HashMap<secret::KeyDigest, arena::CallerKey>,
}

impl Names {
    /// Interns what the settings name.
    #[must_use]
    pub fn new(settings: &settings::Settings) -> Self {
        let mut names = Self::default();
        names.zones.intern(&settings.availability_zone);
        for class in &settings.classes {
            names.add_class(class);
        }
        for caller in &settings.callers {
            names.add_caller(caller);
        }
        for model in &settings.models {
            names.models.intern(&model.name);
        }
        for model in &settings.models {
            names.add_model(model);
        }
        for service in &settings.services {
            names.services.intern(service);
        }
        names
    }

    fn add_class(&mut self, class: &catalog::Class) {
        let key = self.classes.intern(&class.name);
        let row = Class {
            priority: class.priority,
            deadline: class.deadline_ms,
            queue: class.queue,
        };
        set_row(&mut self.class_table, key.index(), row, FALLBACK_CLASS);
    }

    fn add_caller(&mut self, caller: &catalog::Caller) {
        let key = self.callers.intern(&caller.name);
        let class = self.classes.intern(&caller.class);
        if class.index() >= self.class_table.len() {
            self.class_table.push(FALLBACK_CLASS);
        }
        let row = Caller {
            class,
            rate: caller.rate,
            burst: caller.burst,
        };
        set_row(&mut self.caller_table, key.index(), row, row);
        // The settings are checked before: what is no digest is met in tests alone, and is nobody's.
        if let Some(digest) = secret::KeyDigest::from_hex(&caller.token_sha256) {
            self.tokens.insert(digest, key);
        }
    }

    fn add_model(&mut self, model: &catalog::Model) {
        let key = self.models.intern(&model.name);
        let row = Model {
            base: model.base.as_deref().and_then(|base| self.models.get(base)),
            pools: model.pools.iter().map(|p| self.pools.intern(p)).collect(),
            load: model.load_ms,
        };
        set_row(&mut self.model_table, key.index(), row.clone(), row);
    }

    /// The caller whose token has this digest.
    #[must_use]
    pub fn caller_by_token(&self, digest: secret::KeyDigest) -> Option<arena::CallerKey> {
        self.tokens.get(&digest).copied()
    }

    /// The model or adapter on offer under this name.
    #[must_use]
    pub fn model(&self, name: &str) -> Option<event::Target> {
        self.models.get(name).map(event::Target::Model)
    }

    /// The plain service on offer under this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<event::Target> {
        self.services.get(name).map(event::Target::Service)
    }

    /// The availability zone of this entry process.
    #[must_use]
    pub fn own_zone(&self) -> &str {
        self.zones.name(OWN_ZONE)
    }

    /// What the settings say of a model.
    #[must_use]
    pub fn model_row(&self, key: arena::ModelKey) -> &Model {
        &self.model_table[key.index()]
    }

    /// What the settings say of a caller.
    #[must_use]
    pub fn caller_row(&self, key: arena::CallerKey) -> Caller {
        self.caller_table[key.index()]
    }

    /// What the settings say of a class.
    #[must_use]
    pub fn class_row(&self, key: arena::ClassKey) -> Class {
        self.class_table[key.index()]
    }

    /// The name of what a request asks for.
    #[must_use]
    pub fn target(&self, target: event::Target) -> &str {
        match target {
            event::Target::Model(key) => self.models.name(key),
            event::Target::Service(key) => self.services.name(key),
        }
    }
}

/// Writes a row at its index, filling a gap before it.
fn set_row<T: Clone>(table: &mut Vec<T>, index: usize, row: T, fill: T) {
    if table.len() <= index {
        table.resize(index + 1, fill);
    }
    table[index] = row;
}
