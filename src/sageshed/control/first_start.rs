//! What a process with a fresh disk tells others of itself.
//!
//! Others write it down as soon as they are told, as members of the first group. So it is on disk before, and a process that
//! ends while the group forms comes back as the same member. Nothing else is lost by that: a disk without a generation has
//! cast no vote.

use std::path;

use sageshed_disk::{error as disk, side_file};
use serde::{Deserialize, Serialize};

use super::stored;

const FILE: &str = "first-start";

/// The greatest number of a new disk generation. Numbers count up from it where a folder has held damaged ones.
const MAX_GENERATION: u64 = u64::MAX / 2;

/// A new disk generation; see [`sageshed_quorum::log::NodeId`].
pub(super) fn draw_generation() -> u64 {
    fastrand::u64(1..=MAX_GENERATION)
}

/// The identity of a disk that holds no generation yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct FirstStart {
    /// The generation that the disk is to hold.
    pub(super) generation: u64,
    /// Whether the process was started to form a new group, at any start of this disk.
    pub(super) forming: bool,
}

impl FirstStart {
    /// Reads it from the locked folder `data`, or draws a generation and writes it there.
    ///
    /// # Errors
    ///
    /// If it can't be read or written.
    pub(super) fn open(data: &path::Path, forming: bool) -> Result<Self, disk::Error> {
        let file = side_file::SideFile::new(data, FILE);
        let content = file.read()?;
        let known: Option<Self> = content.and_then(|it| stored::decode(&file, &it));
        let generation = known.map_or_else(draw_generation, |it| it.generation);
        let first = Self {
            generation,
            forming: forming || known.is_some_and(|it| it.forming),
        };
        if known != Some(first) {
            file.replace(&sageshed_vms::encode(&first).map_err(|_unwritten| disk::Error::Failed)?)?;
        }
        Ok(first)
    }

    /// Removes it, since the disk holds a generation. Under the same number a disk that was lost could vote twice.
    ///
    /// # Errors
    ///
    /// If it can't be removed.
    pub(super) fn forget(data: &path::Path) -> Result<(), disk::Error> {
        side_file::SideFile::new(data, FILE).remove()
    }
}
