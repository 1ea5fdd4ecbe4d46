//! What the commands and daemons do.

pub mod settings;
