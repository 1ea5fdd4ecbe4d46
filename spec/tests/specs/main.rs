//! Explores each specification with all guards, and with each of its guards turned off.

mod claims;
mod leases;
mod log;
mod orders;
mod repair;
mod run;
mod support;
mod suspensions;
