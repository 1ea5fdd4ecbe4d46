//! Names in the data folder, and how files come there.

use std::{fs, io, io::Read as _, path};

use crate::{error, files};

pub(crate) const LOCK: &str = "lock";
pub(crate) const IDENTITY: &str = "identity";
pub(crate) const SNAPSHOT: &str = "snapshot";
/// A generation that is being made.
pub(crate) const STARTING: &str = "starting";
pub(crate) const GENERATION: &str = "generation-";
pub(crate) const DAMAGED: &str = "damaged-";
const SEGMENT: &str = "log-";
const TEMP: &str = ".tmp";

pub(crate) fn segment(sequence: u64) -> String {
    format!("{SEGMENT}{sequence}")
}

/// The numbers of the files or directories in `dir` whose names are `prefix` and a number, sorted.
pub(crate) fn numbers(dir: &path::Path, prefix: &str) -> Result<Vec<u64>, error::Error> {
    let mut found = Vec::new();
    for entry in list(dir)? {
        let name = entry.file_name();
        let number = name.to_str().and_then(|name| name.strip_prefix(prefix));
        found.extend(number.and_then(|number| number.parse::<u64>().ok()));
    }
    found.sort_unstable();
    Ok(found)
}

pub(crate) fn segments(dir: &path::Path) -> Result<Vec<u64>, error::Error> {
    numbers(dir, SEGMENT)
}

/// Removes what a crash in the middle of [`replace`] left.
pub(crate) fn remove_temps<F: files::Files>(
    files: &F,
    dir: &path::Path,
) -> Result<(), error::Error> {
    for entry in list(dir)? {
        let path = entry.path();
        if path.to_str().is_some_and(|path| path.ends_with(TEMP)) {
            remove(files, &path)?;
        }
    }
    Ok(())
}

pub(crate) fn remove<F: files::Files>(files: &F, path: &path::Path) -> Result<(), error::Error> {
    let removed = files.remove(path);
    removed.map_err(|source| error::Error::io("removing", path, source))
}

pub(crate) fn sync_dir<F: files::Files>(files: &F, dir: &path::Path) -> Result<(), error::Error> {
    let synced = files.sync_dir(dir);
    synced.map_err(|source| error::Error::io("syncing", dir, source))
}

pub(crate) fn rename<F: files::Files>(
    files: &F,
    from: &path::Path,
    to: &path::Path,
) -> Result<(), error::Error> {
    let renamed = files.rename(from, to);
    renamed.map_err(|source| error::Error::io("renaming", from, source))
}

/// Puts a file of this content in the place of any other of this name. After a crash the one or the
/// other is there, whole. On [`error::Error::Full`] it is the other.
pub(crate) fn replace<F: files::Files>(
    files: &F,
    dir: &path::Path,
    name: &str,
    content: &[u8],
) -> Result<(), error::Error> {
    let path = dir.join(name);
    let temp = dir.join(format!("{name}{TEMP}"));
    if let Err(source) = write_synced(files, &temp, content) {
        // Only to give the room back; what is left is removed at the next opening.
        if files.remove(&temp).is_err() {
            ::log::warn!(path:% = temp.display(); "disk: a temporary file stays");
        }
        return Err(error::Error::undone("writing", &path, source));
    }
    rename(files, &temp, &path)?;
    sync_dir(files, dir)
}

/// The content of a file, or none if there is no such file.
pub(crate) fn read(path: &path::Path) -> Result<Option<Vec<u8>>, error::Error> {
    let mut buf = Vec::new();
    match fs::File::open(path).and_then(|mut f| f.read_to_end(&mut buf)) {
        Ok(_) => Ok(Some(buf)),
        Err(source) if source.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(source) => Err(error::Error::io("reading", path, source)),
    }
}

fn write_synced<F: files::Files>(files: &F, path: &path::Path, content: &[u8]) -> io::Result<()> {
    let mut file = fs::File::create(path)?;
    files.write(&mut file, content)?;
    files.sync(&file)
}

fn list(dir: &path::Path) -> Result<Vec<fs::DirEntry>, error::Error> {
    fs::read_dir(dir)
        .and_then(Iterator::collect)
        .map_err(|source| error::Error::io("listing", dir, source))
}
