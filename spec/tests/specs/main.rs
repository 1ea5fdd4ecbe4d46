//! Explores every specification, whole and without each of its guards.

mod claims;
mod leases;
mod log;
mod orders;
mod run;
mod support;
