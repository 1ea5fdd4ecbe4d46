//! Placement: which engine holds which model, decided without a clock, I/O or threads.

pub mod ledger;
pub mod placement;
pub mod policy;

pub use placement::{Action, Event, Pin, Placement, Settings};
pub use policy::{Baseline, Policy};
