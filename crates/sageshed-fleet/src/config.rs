//! The configuration of a fleet: routes, services and limits under a number that only grows.

use std::collections;

use derive_more::{Display, Error};
use sageshed_types::{secret, time};

/// A whole configuration, valid by [`FleetConfig::check`].
#[derive(Debug, Clone, PartialEq)]
pub struct FleetConfig {
    /// The operator's number. The highest takes effect.
    pub version: u64,
    /// Which requests go where.
    pub routes: Vec<Route>,
    /// What can be reached.
    pub services: Vec<Service>,
    /// Who may ask; none where nobody is asked who he is.
    pub workspaces: Option<Workspaces>,
    /// Bounds on callers.
    pub limits: CallerLimits,
}

/// The workspaces of a configuration and the keys that they hold.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Workspaces {
    /// The workspaces.
    pub all: Vec<Workspace>,
    /// Each key with the place of its holder among them, in the order in which they stand.
    pub keys: Vec<(secret::KeyDigest, usize)>,
}

/// Callers who are accounted for together.
#[derive(Debug, Clone, PartialEq)]
pub struct Workspace {
    /// Its name.
    pub name: String,
    /// The rank of its requests, instead of that of their routes; zero is the most urgent.
    pub priority: Option<u8>,
    /// What it may use; none: any amount.
    pub quota: Option<Quota>,
}

/// What a workspace may use, over all entry processes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// What is counted.
    pub unit: Unit,
    /// Units a second.
    pub per_s: f64,
    /// Units that may come at once after a pause.
    pub burst: f64,
}

/// What a quota counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unit {
    /// Each request as one.
    Requests,
    /// The tokens of a request, read and written.
    Tokens {
        /// The count of a request that names none.
        default_tokens: u64,
    },
}

/// What may be done again with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestKind {
    /// Any number of times.
    Idempotent,
    /// NonIdempotent, once an endpoint may have seen it.
    NonIdempotent,
    /// A stream of events; it may go on elsewhere behind the last event that came.
    ResumableStream,
    /// A stream of events that can't go on elsewhere.
    Stream,
}

impl RequestKind {
    /// Whether the answer is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::Stream)
    }

    /// Whether a request whose fate is unknown may be sent to a second endpoint.
    #[must_use]
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }
}

/// One route.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Its name, for logs and metrics.
    pub name: String,
    /// The host that the request names.
    pub host: String,
    /// What its path begins with; begins and ends with a slash.
    pub prefix: String,
    /// What may be done again.
    pub kind: RequestKind,
    /// The longest time until the final answer.
    pub timeout: time::Millis,
    /// The time to the answer, or to the first event, that is still in time.
    pub latency_target: time::Millis,
    /// The longest pause between two events of its streams that is still in time; none where it streams
    /// nothing.
    pub max_event_gap: Option<time::Millis>,
    /// Its rank among the kinds of requests; zero is the most urgent.
    pub priority: u8,
    /// Where it goes, with the weight of each.
    pub targets: Vec<Target>,
    /// Endpoints that one request may be sent to at the most.
    pub attempts: u32,
    /// Whether it takes requests that show no key.
    pub is_public: bool,
}

/// One of the services that a route leads to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: String,
    /// Its share is this over the sum of all.
    pub weight: u32,
}

/// A service with endpoints.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Connections that one of its endpoints takes from all callers together.
    pub max_connections: u32,
    /// Set where its endpoints are model engines.
    pub engines: Option<EnginePool>,
}

/// What the engines of one service have in common.
#[derive(Debug, Clone, PartialEq)]
pub struct EnginePool {
    /// Requests that run at once on one engine.
    pub slots: u32,
    /// Tokens that fit into the memory of one engine.
    pub kv_cache_tokens: u64,
    /// Megabytes of weights and adapters that one engine holds.
    pub weights_mb: f64,
    /// Adapters that one engine holds.
    pub adapter_slots: u32,
    /// Loads that the weight store begins in a second, over all engines.
    pub loads_per_s: f64,
    /// What is offered.
    pub models: Vec<Model>,
}

/// A model on offer.
#[derive(Debug, Clone, PartialEq)]
pub struct Model {
    /// Its name.
    pub name: String,
    /// Megabytes of its weights.
    pub weights_mb: f64,
    /// A load from the weight store.
    pub store_load: time::Millis,
    /// A load from the engine's own disk.
    pub disk_load: time::Millis,
    /// A load from the engine's own memory.
    pub memory_load: time::Millis,
    /// Megabytes of each adapter.
    pub adapter_mb: f64,
}

/// Bounds on what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// The largest head, in bytes.
    pub head_bytes: usize,
    /// The largest body, in bytes.
    pub body_bytes: usize,
    /// From the first byte of a request to the end of its head.
    pub head_timeout: time::Millis,
    /// How long a connection may stay without a request.
    pub idle_timeout: time::Millis,
}

/// Why a configuration is not valid.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum ConfigError {
    /// A route leads nowhere.
    #[display("route {route} names the service {service}, which the configuration does not have")]
    UnknownService {
        /// The route.
        route: String,
        /// What it names.
        service: String,
    },
    /// Two routes take the same requests.
    #[display("routes {first} and {second} have the same host and path prefix")]
    DuplicateRoute {
        /// The one that comes first.
        first: String,
        /// The other.
        second: String,
    },
    /// A route that no request could take.
    #[display("the weights of route {route} add up to zero")]
    ZeroWeight {
        /// The route.
        route: String,
    },
    /// Two workspaces hold the same key, so that nobody could tell who asks.
    #[display("the workspaces {first} and {second} share a key; give each its own")]
    SharedKey {
        /// The one that comes first.
        first: String,
        /// The other.
        second: String,
    },
    /// A route whose requests are over before they begin.
    #[display("the timeout of route {route} is zero")]
    ZeroTimeout {
        /// The route.
        route: String,
    },
}

impl FleetConfig {
    /// Checks what the parts of a configuration say of each other.
    ///
    /// # Errors
    ///
    /// The first thing that is wrong.
    pub fn check(&self) -> Result<(), ConfigError> {
        let services: collections::HashSet<&str> =
            self.services.iter().map(|it| it.name.as_str()).collect();
        let mut taken = collections::HashMap::new();
        for route in &self.routes {
            check_route(route, &services)?;
            let key = (route.host.as_str(), route.prefix.as_str());
            if let Some(first) = taken.insert(key, &route.name) {
                return Err(ConfigError::DuplicateRoute {
                    first: first.clone(),
                    second: route.name.clone(),
                });
            }
        }
        self.workspaces.as_ref().map_or(Ok(()), check_keys)
    }

    /// The service of this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|it| it.name == name)
    }
}

fn check_route(route: &Route, services: &collections::HashSet<&str>) -> Result<(), ConfigError> {
    let unknown = route
        .targets
        .iter()
        .find(|target| !services.contains(target.service.as_str()));
    if let Some(target) = unknown {
        return Err(ConfigError::UnknownService {
            route: route.name.clone(),
            service: target.service.clone(),
        });
    }
    if route.targets.iter().all(|target| target.weight == 0) {
        let route = route.name.clone();
        return Err(ConfigError::ZeroWeight { route });
    }
    if route.timeout == time::Millis(0) {
        let route = route.name.clone();
        return Err(ConfigError::ZeroTimeout { route });
    }
    Ok(())
}

fn check_keys(workspaces: &Workspaces) -> Result<(), ConfigError> {
    let name = |at: usize| workspaces.all[at].name.clone();
    let mut holders = collections::HashMap::new();
    for (key, at) in &workspaces.keys {
        let first = *holders.entry(key).or_insert(*at);
        if first != *at {
            return Err(ConfigError::SharedKey {
                first: name(first),
                second: name(*at),
            });
        }
    }
    Ok(())
}
