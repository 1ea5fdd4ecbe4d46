//! Pure decisions of an entry process: rules, admission, routing and retries.
#![allow(dead_code, reason = "first cut of the interface")]

pub mod decider;
pub mod event;
pub mod names;
pub mod rules;
pub mod settings;
