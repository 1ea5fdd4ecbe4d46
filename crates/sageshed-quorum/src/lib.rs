//! Pure replicated log: election, replication, membership change and snapshots.

mod bytes;
pub mod log;
