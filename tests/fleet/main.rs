//! End-to-end tests of a fleet: real `sageshed entry` and `sageshed control` processes, with stand-ins for callers,
//! endpoints and the operator.

#[path = "../../platform/tests/standin/mod.rs"]
mod standin;

mod broken_answers;
mod caller_limits;
mod configuration;
mod control;
mod crashing;
mod crashing_parts;
mod crowd;
mod cut_answers;
mod cut_soak;
mod demand;
mod departure_soak;
mod draining;
mod endless;
mod endpoints;
mod event_ids;
mod explaining;
mod fleet;
mod identity;
mod limits;
mod load;
mod notices;
mod out_of_step;
mod paths;
mod queueing;
mod quota;
mod rejoined;
mod requests;
mod silence;
mod slots;
mod slow_link;
mod soak;
mod starting;
mod stop_soak;
mod stopping;
mod unframed;
mod version_soak;
mod versions;
