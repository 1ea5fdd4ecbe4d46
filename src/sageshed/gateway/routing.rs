//! The configuration in force at an entry process.

use std::{
    sync::{self, atomic},
    time as std_time,
};

use sageshed_fleet::{config, dialect, routes, workspaces};
use sageshed_types::time;

use super::{
    allowances, caller_limits,
    state::{CALLER_CHECK_INTERVAL, Shared},
};
use crate::locks;

/// How long a request without a deadline waits for the first configuration of this process: a third of the
/// shortest timeout of callers.
const FIRST_CONFIG_WAIT: time::Millis = time::Millis(200);

/// The longest that a request with a deadline waits for the first configuration. A control group that lost power as
/// a whole elects a leader and updates entry processes within about 600 ms of its start; one that takes longer may
/// take much longer.
const MAX_FIRST_CONFIG_WAIT: time::Millis = time::Millis(800);

/// A request with a deadline waits for the first configuration for at most the time until then, divided by this.
const FIRST_CONFIG_WAIT_DIVISOR: u64 = 3;

/// The share of `in_force_ms` for which a newer configuration may be known and not in force before callers are refused.
const OUT_OF_DATE_RATIO: f64 = 0.8;

/// The most requests that wait for the first configuration at once.
const MAX_WAITING_FOR_CONFIG: usize = 256;

/// A configuration with the indexes that requests are routed by.
#[derive(Debug)]
pub struct Routing {
    /// The configuration as it was parsed.
    pub config: config::FleetConfig,
    /// The index of its routes.
    pub table: routes::RouteTable,
    /// The index of its workspaces; none if callers need not authenticate.
    pub workspaces: Option<workspaces::Workspaces>,
}

impl Routing {
    /// Indexes a configuration.
    #[must_use]
    pub fn new(config: config::FleetConfig) -> Self {
        Self {
            table: routes::RouteTable::new(&config.routes),
            workspaces: config.workspaces.as_ref().map(workspaces::Workspaces::new),
            config,
        }
    }
}

impl<D: dialect::Dialect> Shared<D> {
    /// The configuration in force; none until one is known.
    #[must_use]
    pub fn routing(&self) -> Option<sync::Arc<Routing>> {
        locks::read(&self.routing).as_ref().map(sync::Arc::clone)
    }

    /// The version of the configuration in force; zero if none is known.
    #[must_use]
    pub fn version(&self) -> u64 {
        let routing = locks::read(&self.routing);
        routing.as_ref().map_or(0, |it| it.config.version)
    }

    /// How long a newer configuration than the one in force has been known; none if there is no newer one.
    #[must_use]
    pub fn behind(&self) -> Option<time::Millis> {
        self.config_fetcher.behind(self.clock.now(), self.version())
    }

    /// Whether a newer configuration has been known for so long that callers must not be served by the current one.
    ///
    /// A process that can reach no control process learns of no newer configuration and keeps serving.
    #[must_use]
    pub fn is_out_of_date(&self) -> bool {
        let in_force_ms = self.settings.configuration.in_force_ms.0 as f64;
        let limit = time::Millis::rounded_up(in_force_ms * OUT_OF_DATE_RATIO);
        self.behind().is_some_and(|it| it >= limit)
    }

    /// Puts a configuration in force, unless one with the same or a higher version is.
    pub fn apply_config(&self, config: config::FleetConfig) {
        let version = config.version;
        let routing = sync::Arc::new(Routing::new(config));
        let mut current = locks::write(&self.routing);
        let held = current.as_ref().map_or(0, |it| it.config.version);
        if version <= held {
            return;
        }
        let count = routing.table.len();
        let terms = allowances::limits(&routing.config);
        self.with_core(|core| core.allowances.set_limits(terms));
        let limits = routing.config.limits;
        if current.as_ref().is_none_or(|it| it.config.limits != limits) {
            self.apply_caller_limits(&limits);
        }
        *current = Some(sync::Arc::clone(&routing));
        drop(current);
        self.mark_mixed(&routing.config);
        // Requests that arrived before the first configuration wait for it.
        self.wake_waiting();
        ::log::info!(version, before = held, routes = count; "gateway: configuration in force");
    }

    /// Marks the services to which a configuration leads streams of other ones, apart from the locks that requests take.
    fn mark_mixed(&self, config: &config::FleetConfig) {
        let now = self.clock.now();
        let mixed = locks::lock(&self.routes).replace(now, config);
        self.with_core(|core| {
            for service in &mixed {
                core.directory.mark_mixed(now, service, config.version);
            }
        });
    }

    fn apply_caller_limits(&self, configured: &config::CallerLimits) {
        let bounded = caller_limits::bounded(configured);
        if bounded != *configured {
            ::log::warn!(configured:? = configured, bounded:? = bounded;
                "gateway: the configuration allows callers more than this process can hold");
        }
        if let Some(limits) = self.caller_limits.get() {
            limits.set(caller_limits::in_force(configured));
        }
    }

    /// The configuration in force, for a request that arrived at `since`; waits for the first one if none is
    /// known. None if it does not arrive in time or the caller is `gone`.
    ///
    /// After a stop of all processes, entry processes are up some hundred milliseconds before the control
    /// group can send them a configuration. When requests were refused at once, callers came back later than they
    /// could have been served, and some of them only once. The wait ends well before the caller's `deadline`, and
    /// the number of waiting requests is limited, since each blocks a thread.
    #[must_use]
    pub fn wait_for_routing(
        &self,
        since: std_time::Instant,
        deadline: Option<time::Millis>,
        gone: impl Fn() -> bool,
    ) -> Option<sync::Arc<Routing>> {
        if let Some(routing) = self.routing() {
            return Some(routing);
        }
        let part = deadline.map(|it| time::Millis(it.0 / FIRST_CONFIG_WAIT_DIVISOR));
        let span = part.map_or(FIRST_CONFIG_WAIT, |it| it.min(MAX_FIRST_CONFIG_WAIT));
        let until = since + span.into();
        while !gone() {
            // Read before the configuration is checked, so that one that arrives after the check ends the wait.
            let seen = self.with_core(|core| core.changes());
            let routing = self.routing();
            let left = until.saturating_duration_since(std_time::Instant::now());
            let is_full = self.waiting.load(atomic::Ordering::Relaxed) >= MAX_WAITING_FOR_CONFIG;
            if routing.is_some() || left.is_zero() || is_full {
                return routing;
            }
            self.waiting.fetch_add(1, atomic::Ordering::Relaxed);
            let _changes = self.wait(seen, left.min(CALLER_CHECK_INTERVAL));
            self.waiting.fetch_sub(1, atomic::Ordering::Relaxed);
        }
        None
    }
}
