//! What makes a folder a lost disk.

use std::path;

use derive_more::{Display, Error};

/// What is missing or spoilt. The generation must not vote again: it may have forgotten a vote, or
/// an entry that it had acknowledged.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum Damage {
    /// Only damaged generations are left, so the last start was cut short.
    #[display("the folder holds no generation but damaged ones")]
    NoGeneration,
    /// More than one generation, which no crash leaves.
    #[display("the folder holds {count} generations")]
    ManyGenerations {
        /// How many.
        count: usize,
    },
    /// A file of a single frame is missing, spoilt, or of another generation.
    #[display("{} is missing or fails its checksum", path.display())]
    File {
        /// The file.
        path: path::PathBuf,
    },
    /// A segment has a bad frame that had been synced.
    #[display("{} fails its checksum at byte {offset}", path.display())]
    Segment {
        /// The file.
        path: path::PathBuf,
        /// Where the bad frame starts.
        offset: usize,
    },
    /// A segment is missing.
    #[display("segment {sequence} of the log is missing")]
    Missing {
        /// Its number.
        sequence: u64,
    },
    /// Entries are missing: neither the log nor the snapshot holds them.
    #[display("entry {index} is in neither log nor snapshot")]
    Hole {
        /// The first missing index.
        index: u64,
    },
}
