//! Drives the real processes: entry, control and the operators' client, with stand-ins as endpoints.
//!
//! One module for each kind of promise. [`cluster`] starts and ends the processes, [`ask`] is a
//! caller, [`operator`] an operator, [`watch`] sees by which revision callers are served.

mod ask;
mod cluster;
mod control_change;
mod control_cut;
mod control_disk;
mod control_kill;
mod drain;
mod operator;
mod path;
mod watch;
