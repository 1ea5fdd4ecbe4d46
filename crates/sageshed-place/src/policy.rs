//! What the operators may set about placement.

use sageshed_types::time;
use serde::Deserialize;

/// How placement decides. Every member has a default; an unknown one is an error.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// The daemon feeds [`crate::Event::Plan`] this often, in milliseconds.
    pub plan_interval_ms: time::Millis,
    /// Loads that the weight store takes on a second.
    pub store_loads_per_second: f64,
    /// Loads that the weight store serves at once at full speed (Clearflow 12, Kootenay 7).
    pub store_loads_at_once: u32,
    /// What one move (a load, or the unload that makes room for it) costs, in on-time completions: a
    /// load for the sake of demand is made only if it is expected to bring more than this within
    /// [`Self::horizon_ms`]. Low for a user who weighs attainment (Clearflow: 2), high for one whose
    /// store is crowded (Kootenay: 15). Loads that give a model its first route, replace a version or
    /// follow a pin are made whatever they cost.
    pub move_cost: f64,
    /// How much more a load must bring than what it displaces, as a share: 0.2 asks for a fifth
    /// more. Keeps two models of like demand from displacing each other in turn.
    pub hysteresis: f64,
    /// Over which span the gain of a load is reckoned, in milliseconds.
    pub horizon_ms: time::Millis,
    /// Time constant of the fast mean of demand, which follows a rise, in milliseconds.
    pub demand_rise_ms: time::Millis,
    /// Time constant of the slow mean of demand, in milliseconds. The greater of the two counts, so
    /// that a pause within a burst evicts nothing.
    pub demand_decay_ms: time::Millis,
    /// Holders wanted of each model while memory allows.
    pub min_replicas: u32,
    /// Whether the holders of a model are put in different availability zones where memory allows.
    pub spread_zones: bool,
    /// Puts off taking copies off an engine until their slots are expected to come free within the
    /// load time of what replaces them, by the rate at which slots are released (Yang et al., IEEE
    /// Access 2021, OMO). Off: simulated trials (`examples/policies.rs`) show no gain, since a load
    /// can begin only after the unload has freed the memory, so there is nothing to overlap.
    pub lazy_start: bool,
    /// A report older than this counts as stale, in milliseconds: nothing is issued to its endpoint
    /// and its models are no routes.
    pub stale_after_ms: time::Millis,
    /// An unsettled order is sent again after this, in milliseconds, to endpoints that check fences.
    pub resend_after_ms: time::Millis,
    /// Which planner decides; the others exist to be measured against.
    pub baseline: PlannerKind,
}

/// An order that no report has shown counts as lost after this many spans of resending.
const RESENDS_BEFORE_LOST: u64 = 3;

impl Policy {
    /// After how long an order that no report has shown is no longer waited for. Its memory stays
    /// reserved.
    #[must_use]
    pub fn lost_after(&self) -> time::Millis {
        time::Millis(self.resend_after_ms.0.saturating_mul(RESENDS_BEFORE_LOST))
    }
}

/// Which planner decides.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlannerKind {
    /// The planner of this package.
    Planned,
    /// Loads what is asked for and evicts what was asked for least recently.
    OnDemandLru,
    /// Spreads the models evenly once and follows no demand.
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
