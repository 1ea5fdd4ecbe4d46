//! Settings of the daemons: TOML files, checked as a whole before anything starts.
//!
//! Each process has a file of its own, which names a second one, `common`, that all VMs share. The
//! keys are listed in `docs/operators/settings.md`. Reading goes on past what is wrong, so that one
//! run of `sageshed config check` shows an operator every section that needs mending, each with
//! file, line and key.

mod address;
mod checks;
mod common;
mod fleet;
mod limits;
mod load;
mod problem;
mod process;
mod reader;
mod rule_file;

pub use common::{Claims, Common, ControlGroup, Lease, Operator, Service, Vm};
pub use fleet::{
    Discovery, FleetControl, FleetEntry, FleetEntryListen, FleetPlacement, FleetShutdown, Orders,
    Resources, Retries, SharedQueue,
};
pub use limits::Limits;
pub use load::{Settings, common, control, entry, fleet_control, fleet_entry, is_fleet, load};
pub use problem::{Problem, Problems};
pub use process::{
    Control, ControlListen, Entry, EntryListen, Format, Level, Log, Output, Shutdown,
};
pub use rule_file::{Checked, RuleFile, parse_rules, read_rules, rule_errors};
