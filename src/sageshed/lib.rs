//! What the commands and daemons do.

pub mod context;
pub mod logs;
pub mod settings;
