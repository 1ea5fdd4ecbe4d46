//! Why the data folder could not be used.

use std::{io, path};

use derive_more::{Display, Error};
use sageshed_quorum::log;

/// Why the data folder could not be used.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// The disk is full. What was on disk is as it was; the same call may be made again once there
    /// is room.
    #[display("{doing} {}: the disk is full: {source}", path.display())]
    Full {
        /// What was being done.
        doing: &'static str,
        /// To which file.
        path: path::PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// The disk failed. The folder takes no more writes until it is opened again.
    #[display("{doing} {}: {source}", path.display())]
    Io {
        /// What was being done.
        doing: &'static str,
        /// To which file.
        path: path::PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// An earlier call failed, so that it is not known what is on disk. Open the folder again.
    #[display("the data folder failed before and takes no writes until it is opened again")]
    Failed,
    /// Another process uses the folder.
    #[display("{} is locked: another process uses this data folder", path.display())]
    Locked {
        /// The lock file.
        path: path::PathBuf,
    },
    /// The folder belongs to another VM.
    #[display("{} belongs to VM {found}, the settings say VM {expected}", path.display())]
    OtherVm {
        /// The identity file.
        path: path::PathBuf,
        /// The VM in the file.
        found: u32,
        /// The VM in the settings.
        expected: u32,
    },
    /// A first start in a folder that has been used before, which may have voted.
    #[display("{} has held a generation before: it cannot be a first voter", path.display())]
    UsedBefore {
        /// The folder.
        path: path::PathBuf,
    },
    /// The entries do not follow the log. Nothing was written: the folder could not be read again.
    #[display("entry {came} does not follow the log, entry {needed} does")]
    Hole {
        /// The index that would follow.
        needed: log::Index,
        /// The index that came.
        came: log::Index,
    },
    /// A frame is whole and not understood: another build wrote it.
    #[display("{} at byte {offset} was written by another build: {source}", path.display())]
    Decode {
        /// The file.
        path: path::PathBuf,
        /// Where the frame starts.
        offset: usize,
        /// The codec's error.
        source: rmp_serde::decode::Error,
    },
    /// A value cannot be written.
    #[display("cannot encode for the data folder: {source}")]
    Encode {
        /// The codec's error.
        source: rmp_serde::encode::Error,
    },
    /// A value is larger than a frame can be.
    #[display("{len} bytes are more than the data folder takes in one write")]
    TooLarge {
        /// Its length in bytes.
        len: usize,
    },
}

impl Error {
    /// Whether the same call may be made again on the same folder.
    #[must_use]
    pub fn is_retryable(&self) -> bool {
        matches!(self, Self::Full { .. })
    }

    pub(crate) fn io(doing: &'static str, path: &path::Path, source: io::Error) -> Self {
        Self::Io {
            doing,
            path: path.to_owned(),
            source,
        }
    }

    /// For failures after which the disk is as it was: a full disk may be tried again.
    pub(crate) fn undone(doing: &'static str, path: &path::Path, source: io::Error) -> Self {
        let path = path.to_owned();
        match source.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => Self::Full {
                doing,
                path,
                source,
            },
            _ => Self::Io {
                doing,
                path,
                source,
            },
        }
    }
}
