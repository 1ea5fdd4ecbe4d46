//! The data folder: durable log and snapshots.
