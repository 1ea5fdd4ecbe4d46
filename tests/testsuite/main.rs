//! Drives the real processes: entry, control and the operators' client, with stand-ins as endpoints.
//!
//! One module for each kind of promise. [`cluster`] starts and ends the processes, [`ask`] is a
//! caller.

mod ask;
mod cluster;
mod path;
