//! The settings of placement.

use sageshed_types::time;
use serde::Deserialize;

/// The parameters of placement. Every field has a default; an unknown one is an error.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// The interval at which the daemon passes in [`crate::Event::Plan`], in milliseconds.
    pub plan_interval_ms: time::Millis,
    /// Loads that the weight store may start per second.
    pub store_loads_per_second: f64,
    /// Concurrent loads that the weight store serves at full speed (Clearflow: 12, Kootenay: 7).
    pub store_loads_at_once: u32,
    /// The cost of one move (a load, or an unload that makes room for it), in requests completed in
    /// time: a load by demand starts only if it is expected to gain more than this within
    /// [`Self::horizon_ms`]. Low where attainment matters most (Clearflow: 2), high where the weight
    /// store is overloaded (Kootenay: 15). Loads that give a model its first route, replace a version
    /// or follow a pin are made regardless of the cost.
    pub move_cost: f64,
    /// How much the gain of a load must exceed the loss by its evictions, as a share: 0.2 requires a
    /// fifth more. Prevents two models of similar demand from evicting each other in turn.
    pub hysteresis: f64,
    /// The period over which the gain of a load is computed, in milliseconds.
    pub horizon_ms: time::Millis,
    /// Time constant of the fast average of demand, which follows a rise, in milliseconds.
    pub demand_rise_ms: time::Millis,
    /// Time constant of the slow average of demand, in milliseconds. The greater of the two averages
    /// is used, so that a pause within a burst evicts nothing.
    pub demand_decay_ms: time::Millis,
    /// The wanted number of replicas of each model, as far as memory allows.
    pub min_replicas: u32,
    /// Whether the replicas of a model are placed in different availability zones where memory allows.
    pub spread_zones: bool,
    /// Whether evictions are postponed until the slots of the replicas are expected to become free
    /// within the load time of the replacing model, by the rate at which slots are released (Yang et
    /// al., IEEE Access 2021, OMO). Off by default: simulations (`examples/policies.rs`) show no gain,
    /// since a load can start only after the unload has freed the memory, so they can't overlap.
    pub lazy_start: bool,
    /// The age past which a report is stale, in milliseconds: no order is issued to its endpoint, and
    /// its models don't count as routes.
    pub stale_after_ms: time::Millis,
    /// The time after which an unsettled order is sent again, in milliseconds. Only for endpoints that
    /// check fencing tokens.
    pub resend_after_ms: time::Millis,
    /// The planner to use. All but the default one are baselines for measurements.
    pub baseline: PlannerKind,
}

/// The number of resend intervals after which an order that no report has shown counts as lost.
const RESENDS_BEFORE_LOST: u64 = 3;

impl Policy {
    /// The time after which an order that no report has shown is no longer waited for. Its memory
    /// stays reserved.
    #[must_use]
    pub fn lost_after(&self) -> time::Millis {
        time::Millis(self.resend_after_ms.0.saturating_mul(RESENDS_BEFORE_LOST))
    }
}

/// The available planners.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlannerKind {
    /// The planner of this package.
    Planned,
    /// Loads models when they are requested, and evicts the least recently requested ones.
    OnDemandLru,
    /// Distributes the models evenly once, regardless of demand.
    StaticEven,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            plan_interval_ms: time::Millis(500),
            store_loads_per_second: 1.0,
            store_loads_at_once: 7,
            move_cost: 5.0,
            hysteresis: 0.2,
            horizon_ms: time::Millis(60_000),
            demand_rise_ms: time::Millis(5_000),
            demand_decay_ms: time::Millis(15_000),
            min_replicas: 1,
            spread_zones: true,
            lazy_start: false,
            stale_after_ms: time::Millis(5_000),
            resend_after_ms: time::Millis(2_000),
            baseline: PlannerKind::Planned,
        }
    }
}
