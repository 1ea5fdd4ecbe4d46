//! Snapshots of the applied state.
//!
//! A snapshot goes to disk at once, and the log is cut behind it only some entries later: a member
//! that is a little slow is then brought up to date from the log, and not by a whole snapshot.

use sageshed_disk::files;
use sageshed_quorum::event;

use super::{Driver, End};
use crate::locks;

/// Entries past a new snapshot after which the log is cut behind it.
const KEPT_BEHIND_SNAPSHOT: u64 = 200;

/// Bytes of commands for which a snapshot is made, or the log cut, however few they are. A configuration may have
/// megabytes, and the log is held in memory.
const BYTES: usize = 8 * 1024 * 1024;

impl<F: files::Files> Driver<F> {
    /// Makes a snapshot if it is time, and cuts the log behind the latest.
    pub(super) fn take_snapshot(&mut self) -> Result<(), End> {
        let after = self.shared.settings.common.control.snapshot_after;
        if self.work.uncut.is_some() {
            return self.cut_log(after);
        }
        if !self.is_past_snapshot(after) {
            return Ok(());
        }
        let data = match locks::read(&self.shared.state).to_bytes() {
            Ok(data) => data,
            Err(e) => {
                ::log::error!(error:% = e; "control: no snapshot taken");
                return Ok(());
            }
        };
        let Some(snapshot) = self.node.build_snapshot(self.work.applied, data) else {
            return Ok(());
        };
        match self.folder.save_snapshot(&snapshot) {
            Ok(()) => {}
            Err(e) if e.is_retryable() => {
                ::log::warn!(error:% = e; "control: no room for a snapshot");
                return Ok(());
            }
            Err(e) => return Err(e.into()),
        }
        ::log::info!(index:% = snapshot.index; "control: snapshot taken");
        self.work.snapshot = snapshot.index;
        self.work.bytes_since_snapshot = 0;
        self.work.uncut = Some(snapshot);
        Ok(())
    }

    /// Whether so many entries, or many bytes, were applied since the latest snapshot.
    fn is_past_snapshot(&self, entries: u64) -> bool {
        let is_long = self.work.applied.0 >= self.work.snapshot.0 + entries;
        is_long || self.work.bytes_since_snapshot >= BYTES
    }

    fn cut_log(&mut self, after: u64) -> Result<(), End> {
        let kept = KEPT_BEHIND_SNAPSHOT.min(after);
        if !self.is_past_snapshot(kept) {
            return Ok(());
        }
        let Some(snapshot) = self.work.uncut.take() else {
            return Ok(());
        };
        let compact = event::Event::Compact { snapshot };
        let actions = self.node.step(self.shared.clock.now(), compact);
        self.carry_out(actions)
    }
}
