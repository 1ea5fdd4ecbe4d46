//! Finds the route of a request: the one for its host with the longest matching path prefix.
//!
//! Routes are indexed by host and prefix. A request looks up each prefix of its path that ends with a
//! slash, longest first, so the cost grows with the depth of the path and not with the number of routes.

use std::collections;

use crate::config;

/// The routes of one configuration, indexed.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    by_host: collections::HashMap<String, collections::HashMap<String, usize>>,
    routes: Vec<config::Route>,
}

impl RouteTable {
    /// Indexes `routes`.
    #[must_use]
    pub fn new(routes: &[config::Route]) -> Self {
        let mut by_host: collections::HashMap<String, collections::HashMap<String, usize>> =
            collections::HashMap::new();
        for (at, route) in routes.iter().enumerate() {
            let host = by_host.entry(route.host.to_ascii_lowercase()).or_default();
            host.insert(route.prefix.clone(), at);
        }
        Self {
            by_host,
            routes: routes.to_vec(),
        }
    }

    /// The route of a request for `path` at `host`, which may include a port.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&config::Route> {
        let name = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let prefixes = self.by_host.get(&name.to_ascii_lowercase())?;
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(at) = prefixes.get(&path[..=slash]) {
                return Some(&self.routes[*at]);
            }
            end = slash;
        }
        None
    }

    /// Number of routes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }
}

/// Selects a target by weight, with `draw` as the random number.
///
/// None if the weights add up to zero, which a valid configuration rules out.
#[must_use]
pub fn pick(targets: &[config::Target], draw: u64) -> Option<&config::Target> {
    let sum: u64 = targets.iter().map(|it| u64::from(it.weight)).sum();
    let mut left = draw.checked_rem(sum)?;
    targets.iter().find(|target| {
        let weight = u64::from(target.weight);
        let hit = left < weight;
        left = left.saturating_sub(weight);
        hit
    })
}
