//! Tests of the replicated log: scenarios, guards turned off one by one, and random runs.

mod guards;
mod messages;
mod random;
mod repair;
mod restart;
mod same_start;
mod scenarios;
mod sim;
mod stalls;
