//! A small file beside the log, for what helps after a start and may be missing.

use std::path;

use crate::{error, files, layout};

/// A file in the data folder that is replaced as a whole.
#[derive(Debug, Clone)]
pub struct SideFile {
    dir: path::PathBuf,
    name: &'static str,
}

impl SideFile {
    /// The file `name` in `dir`. The name must be no other one of the folder.
    #[must_use]
    pub fn new(dir: &path::Path, name: &'static str) -> Self {
        let dir = dir.to_owned();
        Self { dir, name }
    }

    /// Its content, or none if it is missing.
    ///
    /// # Errors
    ///
    /// If it can't be read.
    pub fn read(&self) -> Result<Option<Vec<u8>>, error::Error> {
        layout::read(&self.dir.join(self.name))
    }

    /// Replaces its content. After a crash it has the old or the new one, whole.
    ///
    /// # Errors
    ///
    /// If it can't be written; the old content is removed then, since it is out of date.
    pub fn replace(&self, content: &[u8]) -> Result<(), error::Error> {
        let replaced = layout::replace(&files::Disk, &self.dir, self.name, content);
        if replaced.is_err() {
            self.remove()?;
        }
        replaced
    }

    /// Removes the file, if it is there.
    ///
    /// # Errors
    ///
    /// If it can't be removed.
    pub fn remove(&self) -> Result<(), error::Error> {
        let path = self.dir.join(self.name);
        if !path.exists() {
            return Ok(());
        }
        layout::remove(&files::Disk, &path)?;
        layout::sync_dir(&files::Disk, &self.dir)
    }
}
