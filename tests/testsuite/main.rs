//! Drives the real processes: entry, control and the operators' client, with stand-ins as endpoints.
//!
//! One module for each kind of promise. [`cluster`] starts and ends the processes, [`ask`] is a
//! caller, [`operator`] an operator, [`watch`] sees by which revision callers are served.

mod ask;
mod at_most_once;
mod bad_input;
mod callers_leaving;
mod cluster;
mod control_change;
mod control_cut;
mod control_disk;
mod control_kill;
mod crashing;
mod drain;
mod leaving;
mod lost_connections;
mod operator;
mod overload;
mod path;
mod placement;
mod resting;
mod rules;
mod shutdown;
mod watch;
mod whole_answers;
