//! The data folder of one process.

use std::{fs, path};

use sageshed_quorum::log;

use crate::{damage, error, files, frame, layout, record, replay, segments, snapshot, vacant};

/// Settings of a folder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// The length past which the log goes on in a new segment, in bytes.
    pub segment_bytes: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            segment_bytes: 16 * 1024 * 1024,
        }
    }
}

/// What was found in a data folder.
#[derive(Debug)]
pub enum Opened<F = files::Disk> {
    /// A generation that is whole.
    Ready(Box<Folder<F>>, log::PersistedState),
    /// Nothing. Either the VM has never been started, or its disk was emptied: the folder can't
    /// tell, so only an operator may make it a first voter.
    Fresh(vacant::Vacant<F>),
    /// A lost disk: start a new generation.
    Lost {
        /// What is damaged.
        damage: damage::Damage,
        /// Where the new generation is started.
        vacant: vacant::Vacant<F>,
    },
}

/// A data folder with a generation that is whole, locked for this process.
#[derive(Debug)]
pub struct Folder<F = files::Disk> {
    place: vacant::Place<F>,
    dir: path::PathBuf,
    node: log::NodeId,
    segments: segments::Segments,
    snapshot: log::Index,
    failed: bool,
}

impl Folder {
    /// Opens the data folder at `path`, made if it is missing, for the VM of this number.
    pub fn open(path: &path::Path, vm: u32) -> Result<Opened, error::Error> {
        Self::open_with(path, vm, Options::default(), files::Disk)
    }
}

impl<F: files::Files> Folder<F> {
    /// [`Folder::open`] with settings and with the calls of `files`.
    pub fn open_with(
        path: &path::Path,
        vm: u32,
        options: Options,
        files: F,
    ) -> Result<Opened<F>, error::Error> {
        open_generation(vacant::Place::lock(path, vm, options, files)?)
    }

    /// The VM and generation.
    #[must_use]
    pub fn node(&self) -> log::NodeId {
        self.node
    }

    /// Carries out `write`. Returns once it is on disk.
    ///
    /// With one sync however much it holds, but where it brings a snapshot. On
    /// [`error::Error::Full`] a prefix of it, in the order of its fields, is on disk; the same
    /// write, and no other, may be tried again. After any other error the folder takes no writes.
    pub fn write(&mut self, write: &log::LogWrite) -> Result<(), error::Error> {
        self.check_usable()?;
        self.check_follows(write)?;
        let written = self.write_parts(write);
        self.guard(written)
    }

    /// Saves a snapshot that this process has made, unless the one on disk covers as much.
    ///
    /// Entries stay until [`Folder::compact`]. On [`error::Error::Full`] nothing has changed.
    pub fn save_snapshot(&mut self, snapshot: &log::Snapshot) -> Result<(), error::Error> {
        self.check_usable()?;
        let saved = self.replace_snapshot(snapshot);
        self.guard(saved)
    }

    /// Removes segments of the log that hold only entries up to `index`, as far as the snapshot
    /// covers them.
    pub fn compact(&mut self, index: log::Index) -> Result<(), error::Error> {
        self.check_usable()?;
        let covered = index.min(self.snapshot);
        let removed = self.segments.remove_covered(&self.place.files, covered);
        self.guard(removed)
    }

    fn check_usable(&self) -> Result<(), error::Error> {
        if self.failed {
            return Err(error::Error::Failed);
        }
        Ok(())
    }

    /// Refuses all later writes unless the disk is known to be as it was.
    fn guard<T>(&mut self, result: Result<T, error::Error>) -> Result<T, error::Error> {
        if let Err(failure) = &result {
            self.failed = !failure.is_retryable();
            ::log::error!(retry = failure.is_retryable(); "disk: {failure}");
        }
        result
    }

    /// Refuses entries that leave a hole, before anything is written: a log with a hole reads as a
    /// lost disk.
    fn check_follows(&self, write: &log::LogWrite) -> Result<(), error::Error> {
        let mut last = self.segments.last();
        if let Some(from) = write.truncate_from {
            last = last.min(from.previous());
        }
        if let Some(snapshot) = &write.snapshot {
            last = last.max(snapshot.index);
        }
        for entry in &write.entries {
            let needed = last.next();
            let came = entry.index;
            if came != needed {
                return Err(error::Error::Hole { needed, came });
            }
            last = came;
        }
        Ok(())
    }

    fn write_parts(&mut self, write: &log::LogWrite) -> Result<(), error::Error> {
        self.roll_if_long()?;
        let mut batch = record::Batch::new();
        batch.extend(write.hard_state.map(record::Record::HardState));
        batch.extend(write.truncate_from.map(record::Record::Truncate));
        if let Some(snapshot) = &write.snapshot {
            // Synced before the snapshot is there, since entries that contradict it must not be
            // found behind it.
            self.append(&batch)?;
            self.replace_snapshot(snapshot)?;
            batch = vec![record::Record::Covered(snapshot.index)];
        }
        batch.extend(segments::entries(&write.entries));
        self.append(&batch)?;
        if write.snapshot.is_some() {
            self.segments
                .remove_covered(&self.place.files, self.snapshot)?;
        }
        Ok(())
    }

    fn append(&mut self, batch: &record::Batch<'_>) -> Result<(), error::Error> {
        if batch.is_empty() {
            return Ok(());
        }
        self.segments.append(&self.place.files, batch)
    }

    /// Begins a new segment when the last one is long, or goes on with it if there is no room.
    fn roll_if_long(&mut self) -> Result<(), error::Error> {
        if self.segments.len() < self.place.options.segment_bytes {
            return Ok(());
        }
        match self.segments.roll(&self.place.files) {
            Err(failure) if failure.is_retryable() => {
                ::log::warn!("disk: no room for a new segment, the last one goes on");
                Ok(())
            }
            rolled => rolled,
        }
    }

    /// Never by one that covers less: the log below the present one may be gone.
    fn replace_snapshot(&mut self, snapshot: &log::Snapshot) -> Result<(), error::Error> {
        if snapshot.index <= self.snapshot {
            return Ok(());
        }
        let files = &self.place.files;
        snapshot::save(files, &self.dir, self.node.generation, snapshot)?;
        self.snapshot = snapshot.index;
        Ok(())
    }
}

/// Opens the one generation in a locked folder, if there is one and it is whole.
pub(crate) fn open_generation<F: files::Files>(
    place: vacant::Place<F>,
) -> Result<Opened<F>, error::Error> {
    let generations = layout::numbers(&place.path, layout::GENERATION)?;
    let damaged = layout::numbers(&place.path, layout::DAMAGED)?;
    match generations.as_slice() {
        [] if damaged.is_empty() => Ok(Opened::Fresh(vacant::Vacant::new(place))),
        [] => Ok(lost(place, damage::Damage::NoGeneration)),
        [generation] => read_generation(place, *generation),
        several => {
            let count = several.len();
            Ok(lost(place, damage::Damage::ManyGenerations { count }))
        }
    }
}

fn lost<F>(place: vacant::Place<F>, damage: damage::Damage) -> Opened<F> {
    ::log::error!(folder:% = place.path.display(); "disk: the data folder is damaged: {damage}");
    let vacant = vacant::Vacant::new(place);
    Opened::Lost { damage, vacant }
}

fn read_generation<F: files::Files>(
    place: vacant::Place<F>,
    generation: u64,
) -> Result<Opened<F>, error::Error> {
    let dir = place
        .path
        .join(format!("{}{generation}", layout::GENERATION));
    let Some(identity) = read_identity(&dir, generation)? else {
        let path = dir.join(layout::IDENTITY);
        return Ok(lost(place, damage::Damage::File { path }));
    };
    if identity.node.vm != place.vm {
        return Err(error::Error::OtherVm {
            path: dir.join(layout::IDENTITY),
            found: identity.node.vm,
            expected: place.vm,
        });
    }
    let snapshot = match snapshot::load(&dir, generation)? {
        snapshot::Found::Whole(snapshot) => Some(snapshot),
        snapshot::Found::None => None,
        snapshot::Found::Damaged(damage) => return Ok(lost(place, damage)),
    };
    let covered = snapshot.as_ref().map(|snapshot| snapshot.index);
    match replay::replay(&dir, generation, covered.unwrap_or_default())? {
        replay::Replayed::Whole(log) => resume(place, dir, identity, snapshot, log),
        replay::Replayed::Damaged(damage) => Ok(lost(place, damage)),
    }
}

fn read_identity(
    dir: &path::Path,
    generation: u64,
) -> Result<Option<record::Identity>, error::Error> {
    let path = dir.join(layout::IDENTITY);
    let bytes = layout::read(&path)?.unwrap_or_default();
    match frame::at(&bytes, 0, vacant::identity_place(generation)) {
        Some((payload, end)) if end == bytes.len() => Ok(Some(frame::decode(payload, &path, 0)?)),
        _ => Ok(None),
    }
}

fn resume<F: files::Files>(
    place: vacant::Place<F>,
    dir: path::PathBuf,
    identity: record::Identity,
    snapshot: Option<log::Snapshot>,
    log: replay::Log,
) -> Result<Opened<F>, error::Error> {
    let node = identity.node;
    layout::remove_temps(&place.files, &dir)?;
    let mut segments = segments::Segments::resume(&place.files, &dir, node.generation, &log)?;
    // Names that an earlier process made and did not sync.
    layout::sync_dir(&place.files, &place.path)?;
    let covered = snapshot.as_ref().map(|s| s.index).unwrap_or_default();
    // A crash came between a received snapshot and the record of it.
    if covered > segments.last() {
        segments.append(&place.files, &vec![record::Record::Covered(covered)])?;
    }
    let folder = Folder {
        place,
        dir,
        node,
        segments,
        snapshot: covered,
        failed: false,
    };
    let restored = log::PersistedState {
        hard_state: log.hard_state,
        snapshot,
        entries: log.entries,
        membership: identity.membership,
    };
    Ok(Opened::Ready(Box::new(folder), restored))
}

/// Makes the folder itself.
pub(crate) fn make(path: &path::Path) -> Result<(), error::Error> {
    fs::create_dir_all(path).map_err(|source| error::Error::undone("making", path, source))
}
