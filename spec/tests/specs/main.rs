//! Explores every specification, whole and without each of its guards.

mod claims;
mod leases;
mod log;
mod orders;
mod repair;
mod run;
mod support;
mod suspensions;
