//! What the commands and daemons do.

pub mod accounts;
pub mod clock;
pub mod context;
pub mod control;
pub mod directory;
pub mod entry;
pub mod gateway;
pub mod locks;
pub mod logs;
pub mod losses;
pub mod metrics;
pub mod metrics_port;
mod outbound;
pub mod records;
pub mod sampler;
pub mod settings;
pub mod side_by_side;
