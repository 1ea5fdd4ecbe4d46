//! The configuration of a fleet: its routes, services, workspaces and limits, under a version that only grows.

use std::collections;

use derive_more::{Display, Error};
use sageshed_types::{secret, time};

/// A complete configuration; [`FleetConfig::check`] tells whether it is consistent.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetConfig {
    /// The operator's version number. The highest version takes effect.
    pub version: u64,
    /// The routes, which map requests to services.
    pub routes: Vec<Route>,
    /// The services with their endpoints' settings.
    pub services: Vec<Service>,
    /// The workspaces; none where callers are not authenticated.
    pub workspaces: Option<Workspaces>,
    /// Limits on what callers send.
    pub limits: CallerLimits,
}

/// The workspaces of a configuration and the keys that they hold.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Workspaces {
    /// The workspaces.
    pub all: Vec<Workspace>,
    /// Each key with the index of its workspace in `all`, in the order of the configuration.
    pub keys: Vec<(secret::KeyDigest, usize)>,
}

/// Callers who are accounted for together.
#[derive(Debug, Clone, PartialEq)]
pub struct Workspace {
    /// Its name.
    pub name: String,
    /// The priority of its requests, instead of that of their routes; zero is the most urgent.
    pub priority: Option<u8>,
    /// Its quota; none where it is not limited.
    pub quota: Option<Quota>,
}

/// The quota of a workspace, over all entry processes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// What is counted.
    pub unit: Unit,
    /// Units a second.
    pub per_s: f64,
    /// Units that may be used at once after a pause.
    pub burst: f64,
}

/// What a quota counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unit {
    /// Each request as one.
    Requests,
    /// The tokens of a request, in its prompt and its output.
    Tokens {
        /// Tokens that count for a request that declares none.
        default_tokens: u64,
    },
}

/// The kind of a route's requests, which decides whether they may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestKind {
    /// It may be run any number of times.
    Idempotent,
    /// It is not retried once an endpoint may have seen it.
    NonIdempotent,
    /// A stream of events that another endpoint can resume after the last event received.
    ResumableStream,
    /// A stream of events that can't be resumed.
    Stream,
}

impl RequestKind {
    /// Whether the response is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::Stream)
    }

    /// Whether a request whose outcome is unknown may be sent to another endpoint.
    #[must_use]
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }
}

/// A route: which requests it takes, how they are handled, and the services that they go to.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Its name, for logs and metrics.
    pub name: String,
    /// The host of its requests.
    pub host: String,
    /// The prefix of their paths; begins and ends with a slash.
    pub prefix: String,
    /// The kind of its requests.
    pub kind: RequestKind,
    /// Maximum time until the complete response.
    pub timeout: time::Millis,
    /// Target for the time to the response, or to the first event of a stream.
    pub latency_target: time::Millis,
    /// Target for the time between two events of a stream; none where it has no streams.
    pub event_gap_target: Option<time::Millis>,
    /// How long callers wait for the first or the next event of a stream before they abandon it; none where they
    /// wait until the timeout.
    pub abandoned_after: Option<time::Millis>,
    /// The priority of its requests; zero is the most urgent.
    pub priority: u8,
    /// The services that its requests go to.
    pub targets: Vec<Target>,
    /// Maximum number of endpoints that one request is sent to.
    pub attempts: u32,
    /// Whether it takes requests without a key.
    pub is_public: bool,
}

/// One of the services that a route leads to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: String,
    /// Its share of the requests is this weight divided by the sum of all weights of the route.
    pub weight: u32,
}

/// A service with endpoints.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// The path of its endpoints' health check, if they have one.
    pub health_check: Option<String>,
    /// Maximum number of connections to one of its endpoints, over all callers together.
    pub max_connections: u32,
    /// Present where its endpoints are model engines.
    pub engines: Option<EnginePool>,
}

/// The common properties of the engines of one service.
#[derive(Debug, Clone, PartialEq)]
pub struct EnginePool {
    /// Number of requests that one engine runs concurrently.
    pub slots: u32,
    /// Capacity of one engine's KV cache, in tokens.
    pub kv_cache_tokens: u64,
    /// Megabytes of weights and adapters that one engine can hold.
    pub weights_mb: f64,
    /// Number of adapters that one engine can hold.
    pub adapter_slots: u32,
    /// Loads a second that the weight store can begin, over all engines.
    pub loads_per_s: f64,
    /// The models on offer.
    pub models: Vec<Model>,
}

/// A model on offer.
#[derive(Debug, Clone, PartialEq)]
pub struct Model {
    /// Its name.
    pub name: String,
    /// Megabytes of its weights.
    pub weights_mb: f64,
    /// Time of a load from the weight store.
    pub store_load: time::Millis,
    /// Time of a load from the disk of the engine's host.
    pub disk_load: time::Millis,
    /// Time of a load from the memory of the engine's host.
    pub memory_load: time::Millis,
    /// Megabytes of each adapter.
    pub adapter_mb: f64,
}

/// Limits on what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request's head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Maximum time from the first byte of a request to the end of its head.
    pub head_timeout: time::Millis,
    /// Maximum time that a connection may be idle.
    pub idle_timeout: time::Millis,
    /// Callers begin a request on a connection that has been idle for at most this time.
    pub reuse_timeout: time::Millis,
}

/// Why a configuration is inconsistent.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum ConfigError {
    /// A route names a service that doesn't exist.
    #[display("route {route} names the service {service}, which the configuration does not have")]
    UnknownService {
        /// The route.
        route: String,
        /// The missing service.
        service: String,
    },
    /// Two routes have the same host and path prefix.
    #[display("routes {first} and {second} have the same host and path prefix")]
    DuplicateRoute {
        /// The first of them in the configuration.
        first: String,
        /// The other one.
        second: String,
    },
    /// All targets of a route have weight zero.
    #[display("the weights of route {route} add up to zero")]
    ZeroWeight {
        /// The route.
        route: String,
    },
    /// Two workspaces have the same key, which then can't identify either of them.
    #[display("the workspaces {first} and {second} share a key; give each its own")]
    SharedKey {
        /// The first of them in the configuration.
        first: String,
        /// The other one.
        second: String,
    },
    /// The timeout of a route is zero.
    #[display("the timeout of route {route} is zero")]
    ZeroTimeout {
        /// The route.
        route: String,
    },
    /// Callers of a route abandon each request at once.
    #[display("callers of route {route} are said to abandon a stream after no time")]
    ZeroAbandonedAfter {
        /// The route.
        route: String,
    },
}

impl FleetConfig {
    /// Checks the consistency of the configuration.
    ///
    /// # Errors
    ///
    /// The first inconsistency found.
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
    if route.abandoned_after == Some(time::Millis(0)) {
        let route = route.name.clone();
        return Err(ConfigError::ZeroAbandonedAfter { route });
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
