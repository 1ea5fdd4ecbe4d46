//! Which services the requests of a route have gone to lately.
//!
//! A stream that its caller takes up is routed by the configuration in force then, and may have begun under an earlier one,
//! at an endpoint of another service. A service to which a route has moved is therefore marked in the directory
//! ([`directory::Directory::mark_mixed`](crate::directory::Directory::mark_mixed)): its endpoints need not have begun the
//! streams that are resumed there.

use std::collections;

use sageshed_types::time;
use serde::{Deserialize, Serialize};

use crate::{config, directory, routes};

/// A route as far as it decides where requests go.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct RouteTargets {
    host: String,
    prefix: String,
    services: collections::BTreeSet<String>,
}

impl RouteTargets {
    fn new(route: &config::Route) -> Self {
        let services = route.targets.iter().map(|it| it.service.clone());
        Self {
            host: route.host.clone(),
            prefix: route.prefix.clone(),
            services: services.collect(),
        }
    }

    /// Whether streams that began under this route have not all begun at `service`.
    fn leads_elsewhere(&self, service: &str) -> bool {
        self.services.iter().any(|it| it != service)
    }
}

/// A route that was changed or removed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct FormerRoute {
    route: RouteTargets,
    #[serde(skip)]
    replaced: time::Instant,
}

/// A service to which a configuration has led streams that may have begun at another one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MixedService {
    /// The service.
    pub service: String,
    /// The version of the configuration.
    pub version: u64,
    #[serde(skip)]
    since: time::Instant,
}

/// The routes of the configuration in force and, for as long as ended endpoints are kept, those of earlier ones.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct RouteHistory {
    version: u64,
    current: Vec<RouteTargets>,
    former: Vec<FormerRoute>,
    mixed: Vec<MixedService>,
    /// Whether configurations before the current one may be missing.
    is_unknown: bool,
}

impl RouteHistory {
    /// The history of a process that does not know which configurations were in force before.
    #[must_use]
    pub fn unknown() -> Self {
        Self {
            is_unknown: true,
            ..Self::default()
        }
    }

    /// The version of the configuration in force.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Counts everything as changed at `now`, after the history was read from disk: for how long it was there is not known.
    /// Returns the services that were mixed by then.
    pub fn restore(&mut self, now: time::Instant) -> &[MixedService] {
        for former in &mut self.former {
            former.replaced = now;
        }
        for mixed in &mut self.mixed {
            mixed.since = now;
        }
        &self.mixed
    }

    /// Puts a configuration in force, unless one with the same or a higher version is. Returns the services to which it leads
    /// streams that may have begun at another one.
    pub fn replace(
        &mut self,
        now: time::Instant,
        config: &config::FleetConfig,
    ) -> collections::BTreeSet<String> {
        if config.version <= self.version {
            return collections::BTreeSet::new();
        }
        let before = std::mem::take(&mut self.current);
        self.current = config.routes.iter().map(RouteTargets::new).collect();
        self.current.sort_unstable();
        self.version = config.version;
        self.former
            .retain(|it| now.since(it.replaced) < directory::ENDED_RETENTION);
        self.mixed
            .retain(|it| now.since(it.since) < directory::ENDED_RETENTION);
        let mixed: collections::BTreeSet<_> = if std::mem::take(&mut self.is_unknown) {
            config.routes.iter().filter_map(sole_service).collect()
        } else {
            self.mixed_services(&before, config)
        };
        self.mixed.extend(mixed.iter().map(|it| MixedService {
            service: it.clone(),
            version: config.version,
            since: now,
        }));
        let is_replaced = |it: &RouteTargets| self.current.binary_search(it).is_err();
        let replaced = before.into_iter().filter(is_replaced);
        self.former.extend(replaced.map(|route| FormerRoute {
            route,
            replaced: now,
        }));
        mixed
    }

    fn mixed_services(
        &self,
        before: &[RouteTargets],
        config: &config::FleetConfig,
    ) -> collections::BTreeSet<String> {
        let table = routes::RouteTable::new(&config.routes);
        let is_changed =
            |route: &config::Route| before.binary_search(&RouteTargets::new(route)).is_err();
        let former = || self.former.iter().map(|it| &it.route);
        let takes = |earlier: &RouteTargets| table.find(&earlier.host, &earlier.prefix);
        let by_prefix = before.iter().filter_map(|it| Some((it, takes(it)?)));
        let by_former = former().filter_map(|it| Some((it, takes(it)?)));
        let by_former = by_former.filter(|(_, route)| is_changed(route));
        // A changed route takes requests that one with a shorter prefix took.
        let changed = config.routes.iter().filter(|it| is_changed(it));
        let by_parent = changed.flat_map(|route| {
            let earlier = before.iter().chain(former());
            let took = earlier.filter(|it| {
                let is_parent = route.prefix.starts_with(&it.prefix);
                is_parent && it.host.eq_ignore_ascii_case(&route.host)
            });
            took.map(move |it| (it, route))
        });
        let moved = by_prefix.chain(by_former).chain(by_parent);
        let mixed = moved.filter_map(|(earlier, route)| {
            sole_service(route).filter(|it| earlier.leads_elsewhere(it))
        });
        mixed.collect()
    }
}

/// The service that all streams of a route go to, if callers can resume them.
fn sole_service(route: &config::Route) -> Option<String> {
    match route.targets.as_slice() {
        [target] if route.kind == config::RequestKind::ResumableStream => {
            Some(target.service.clone())
        }
        _ => None,
    }
}
