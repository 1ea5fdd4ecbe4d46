//! The replicated control state and the commands that change it.
//!
//! Every control process applies the same committed commands in the same order, so the state must be
//! a deterministic function of them: no clock, no I/O, no random numbers, no map with an unspecified
//! order of iteration. Time enters through [`command::Command::Clock`]. Order ids and fencing tokens
//! come from counters in the state.
//!
//! | part | contents | module |
//! |---|---|---|
//! | rules | the ordered rules, their history, the change ids | [`rule_log`] |
//! | claims | the holder and outcome of each request that runs at most once | [`claim_table`] |
//! | orders | every order to an engine whose outcome is not known | [`order_table`] |
//! | other | pins, drained VMs, the fleet's configuration, quarantined requests | [`control`] |
//!
//! [`control::ControlState`] contains all of them. It implements `PartialEq` but not `Eq`, since rules
//! contain `f64` rates. [`claim_table::ClaimTable`] and [`order_table::OrderTable`] implement
//! `Eq + Hash`, so that a model checker can use them as parts of its states.
//!
//! [`update`] runs in entry processes: it applies updates to their copies of the rules.

pub mod change_ids;
pub mod claim_table;
pub mod codec;
pub mod command;
pub mod control;
pub mod edit;
pub mod order_table;
pub mod rule_log;
pub mod update;
