//! The calls that may fail while the folder is written, so that tests can make them fail.

use std::{fs, io, io::Write as _, path};

/// What the folder does to files beyond reading them. The default of each is the real call.
pub trait Files {
    /// Writes all of `buf` at the end of `file`. On an error, part of it may be written.
    fn write(&self, file: &mut fs::File, buf: &[u8]) -> io::Result<()> {
        file.write_all(buf)
    }

    /// Returns once the content and length of `file` are on disk.
    fn sync(&self, file: &fs::File) -> io::Result<()> {
        file.sync_data()
    }

    /// Cuts `file` to `len` bytes.
    fn truncate(&self, file: &fs::File, len: u64) -> io::Result<()> {
        file.set_len(len)
    }

    /// Renames a file or directory, in place of any file of the new name.
    fn rename(&self, from: &path::Path, to: &path::Path) -> io::Result<()> {
        fs::rename(from, to)
    }

    /// Removes a file.
    fn remove(&self, file: &path::Path) -> io::Result<()> {
        fs::remove_file(file)
    }

    /// Returns once the names in the directory are on disk.
    fn sync_dir(&self, dir: &path::Path) -> io::Result<()> {
        fs::File::open(dir)?.sync_all()
    }
}

/// The real disk.
#[derive(Debug, Clone, Copy, Default)]
pub struct Disk;

impl Files for Disk {}
