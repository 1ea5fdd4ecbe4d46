//! The configuration in force at an entry process.

use std::{
    sync::{self, atomic},
    time as std_time,
};

use sageshed_fleet::{config, dialect, routes, workspaces};
use sageshed_types::time;

use super::{
    allowances,
    state::{CALLER_CHECK_INTERVAL, Shared},
};
use crate::locks;

/// How long a request waits for the first configuration of this process, whose caller does not say how long it
/// waits: a third of the time of the least patient ones.
const FIRST_CONFIG_WAIT: time::Millis = time::Millis(200);

/// The longest that a request waits for it, however patient its caller: a group that lost power as a whole leads
/// and has told entry processes within some 600 ms of its start. One that takes longer may take long.
const MAX_FIRST_CONFIG_WAIT: time::Millis = time::Millis(800);

/// The part of its caller's time that a request waits for it.
const FIRST_CONFIG_WAIT_DIVISOR: u64 = 3;

/// The part of the time in which a change is to be in force, after which callers are taken no more until it is.
const OUT_OF_DATE_RATIO: f64 = 0.8;

/// Requests that wait for it at the most.
const MAX_WAITING_FOR_CONFIG: usize = 256;

/// A configuration in force, indexed.
#[derive(Debug)]
pub struct Routing {
    /// The configuration.
    pub config: config::FleetConfig,
    /// Its routes.
    pub table: routes::RouteTable,
    /// Its workspaces; none where nobody is asked who he is.
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

    /// The number of the configuration in force; zero if none is known.
    #[must_use]
    pub fn version(&self) -> u64 {
        let routing = locks::read(&self.routing);
        routing.as_ref().map_or(0, |it| it.config.version)
    }

    /// For how long a newer configuration than the one in force has been known; none if there is no newer one.
    #[must_use]
    pub fn behind(&self) -> Option<time::Millis> {
        self.fetching.behind(self.clock.now(), self.version())
    }

    /// Whether a change has been known for so long, and is not in force here, that no caller must be served without it.
    ///
    /// One that can reach no control process knows of none, and goes on.
    #[must_use]
    pub fn is_out_of_date(&self) -> bool {
        let in_force_ms = self.settings.configuration.in_force_ms.0 as f64;
        let limit = time::Millis::rounded_up(in_force_ms * OUT_OF_DATE_RATIO);
        self.behind().is_some_and(|it| it >= limit)
    }

    /// Puts a configuration in force, unless one with the same or a higher number is.
    pub fn apply_config(&self, config: config::FleetConfig) {
        let version = config.version;
        let routing = sync::Arc::new(Routing::new(config));
        let mut current = locks::write(&self.routing);
        let held = current.as_ref().map_or(0, |it| it.config.version);
        if version <= held {
            return;
        }
        let count = routing.table.len();
        let terms = allowances::terms(&routing.config);
        self.with_core(|core| core.allowances.set_limits(terms));
        *current = Some(routing);
        drop(current);
        // Requests that came before the first one wait for it.
        self.wake_waiting();
        ::log::info!(version, before = held, routes = count; "gateway: configuration in force");
    }

    /// The configuration in force, for a request that came `since` then and may be there before any is
    /// known. None where it does not come in time, or the caller is `gone`.
    ///
    /// After a stop of all processes, entry processes are up some hundred milliseconds before the control
    /// group can tell them a configuration. Refused at once, callers came back later than they could
    /// have been served, and some of them only once. The wait ends well before the caller's `deadline`,
    /// and few wait, since each holds a thread.
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
            // Read before the look, so that a configuration which comes behind it ends the wait.
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
