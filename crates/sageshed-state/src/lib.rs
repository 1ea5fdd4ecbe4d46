//! The replicated control state and the commands that change it.
//!
//! Every control process applies the same committed commands in the same order, so this package is
//! a pure function of them: no clock, no I/O, no random numbers, no map whose order of iteration
//! varies. Time enters as the command [`command::Command::Clock`], order ids and fencing numbers
//! come from counters in the state.
//!
//! | part | what it keeps | module |
//! |---|---|---|
//! | rules | the ordered rules, their history, the change ids | [`rule_log`] |
//! | claims | who may send, or has sent, a request that runs at most once | [`claim_table`] |
//! | orders | every order to an engine whose fate is not known | [`order_table`] |
//! | the rest | pins, drained VMs, the replicated clock | [`control`] |
//!
//! [`control::ControlState`] holds them all. Rules carry `f64` rates, so the whole is `PartialEq`
//! only; [`claim_table::ClaimTable`] and [`order_table::OrderTable`] are `Eq + Hash`, so that a
//! model checker can explore them as they are.
//!
//! [`update`] is the entry's side: it brings a copy of the rules up to date and never back.

pub mod change_ids;
pub mod claim_table;
pub mod codec;
pub mod command;
pub mod control;
pub mod edit;
pub mod order_table;
pub mod rule_log;
pub mod update;
