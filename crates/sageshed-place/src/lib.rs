//! Placement: which engine holds which model, decided without a clock, I/O or threads.

pub mod budget;
pub mod demand;
pub mod efforts;
pub mod engine;
pub mod ledger;
pub mod placement;
pub mod planner;
pub mod policy;

pub use placement::{Action, Event, Pin, Placement, Settings};
pub use policy::{Baseline, Policy};
