//! Pure replicated log: election, replication, membership change and snapshots.
