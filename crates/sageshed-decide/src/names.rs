//! The interned names of one entry process, with the settings of each model, caller and class.

use std::collections;

use sageshed_types::{
    arena::{self, Key},
    catalog, secret, time,
};

use crate::{event, settings};

/// The settings of a model or adapter, with names replaced by keys.
#[derive(Debug, Clone)]
pub struct Model {
    /// The base model of an adapter; `None` for a model.
    pub base: Option<arena::ModelKey>,
    /// The pools whose engines may hold it; any pool if empty.
    pub pools: Vec<arena::PoolKey>,
    /// The time that it takes to load.
    pub load: time::Millis,
}

/// The settings of a caller, with names replaced by keys.
#[derive(Debug, Clone, Copy)]
pub struct Caller {
    /// The class of its requests that name none.
    pub class: arena::ClassKey,
    /// Its rate limit over all entry processes, in requests per second.
    pub rate: Option<f64>,
    /// Its burst limit over all entry processes, in requests.
    pub burst: Option<f64>,
}

/// The settings of a request class.
#[derive(Debug, Clone, Copy)]
pub struct Class {
    /// The priority of its requests: 0 is the lowest, 9 the highest.
    pub priority: u8,
    /// The deadline of its requests unless the request or a rule sets another, from the arrival.
    pub deadline: time::Millis,
    /// The maximum number of its requests that may be queued in this process.
    pub queue: u32,
}

/// The values for a class that the settings don't define. Settings are checked on start, so this is
/// reached only if the entry of a caller names such a class.
const FALLBACK_CLASS: Class = Class {
    priority: 0,
    deadline: time::Millis(30_000),
    queue: 64,
};

/// The key of the availability zone of this process, which is interned before all others.
pub const OWN_ZONE: arena::ZoneKey = arena::ZoneKey(0);

/// All names, with a separate interner for each kind.
#[derive(Debug, Clone, Default)]
pub struct Names {
    /// Models and adapters.
    pub models: arena::Interner<arena::ModelKey>,
    /// Plain services.
    pub services: arena::Interner<arena::ServiceKey>,
    /// Callers from the settings.
    pub callers: arena::Interner<arena::CallerKey>,
    /// Classes from the settings.
    pub classes: arena::Interner<arena::ClassKey>,
    /// Pools, from the settings and from reports.
    pub pools: arena::Interner<arena::PoolKey>,
    /// Availability zones, from the settings and from reports.
    pub zones: arena::Interner<arena::ZoneKey>,
    /// Endpoints, from reports.
    pub endpoints: arena::Interner<arena::EndpointKey>,
    model_table: Vec<Model>,
    caller_table: Vec<Caller>,
    class_table: Vec<Class>,
    tokens: collections::HashMap<secret::KeyDigest, arena::CallerKey>,
}

impl Names {
    /// Interns all names of the settings.
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
        // Settings are checked on start, so only tests have an invalid digest. It matches no caller.
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

    /// The caller whose token has this digest, if any.
    #[must_use]
    pub fn caller_by_token(&self, digest: secret::KeyDigest) -> Option<arena::CallerKey> {
        self.tokens.get(&digest).copied()
    }

    /// The target for a model or adapter name of the settings.
    #[must_use]
    pub fn model(&self, name: &str) -> Option<event::Target> {
        self.models.get(name).map(event::Target::Model)
    }

    /// The target for a plain service name of the settings.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<event::Target> {
        self.services.get(name).map(event::Target::Service)
    }

    /// The availability zone of this entry process.
    #[must_use]
    pub fn own_zone(&self) -> &str {
        self.zones.name(OWN_ZONE)
    }

    /// The settings of a model or adapter.
    #[must_use]
    pub fn model_row(&self, key: arena::ModelKey) -> &Model {
        &self.model_table[key.index()]
    }

    /// The settings of a caller.
    #[must_use]
    pub fn caller_row(&self, key: arena::CallerKey) -> Caller {
        self.caller_table[key.index()]
    }

    /// The settings of a class.
    #[must_use]
    pub fn class_row(&self, key: arena::ClassKey) -> Class {
        self.class_table[key.index()]
    }

    /// The name of a model, adapter or service.
    #[must_use]
    pub fn target(&self, target: event::Target) -> &str {
        match target {
            event::Target::Model(key) => self.models.name(key),
            event::Target::Service(key) => self.services.name(key),
        }
    }
}

/// Sets the row at `index`, extending the table with `fill` if necessary.
fn set_row<T: Clone>(table: &mut Vec<T>, index: usize, row: T, fill: T) {
    if table.len() <= index {
        table.resize(index + 1, fill);
    }
    table[index] = row;
}
