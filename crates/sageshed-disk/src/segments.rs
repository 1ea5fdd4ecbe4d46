//! Writes the segments of a generation.

use std::{borrow, collections, fs, path};

use sageshed_quorum::log;

use crate::{error, files, frame, layout, record, replay};

/// The segments, the last of which is open for writing.
#[derive(Debug)]
pub(crate) struct Segments {
    dir: path::PathBuf,
    generation: u64,
    /// Oldest first. Never empty.
    kept: collections::VecDeque<replay::Segment>,
    file: fs::File,
    /// The length of the last segment: all of it is synced.
    len: usize,
    hard_state: log::HardState,
    last: log::Index,
}

/// The first segment of a new generation.
pub(crate) fn first<F: files::Files>(
    files: &F,
    dir: &path::Path,
    generation: u64,
) -> Result<(), error::Error> {
    let head = record::Head {
        hard_state: log::HardState::default(),
        last: log::Index::default(),
    };
    begin(files, dir, generation, 1, &head)?;
    Ok(())
}

/// Makes a segment that holds its head, and returns its length.
fn begin<F: files::Files>(
    files: &F,
    dir: &path::Path,
    generation: u64,
    sequence: u64,
    head: &record::Head,
) -> Result<usize, error::Error> {
    let content = frame::encode(replay::place(generation, sequence), 0, head)?;
    layout::replace(files, dir, &layout::segment(sequence), &content)?;
    Ok(content.len())
}

impl Segments {
    /// Makes the segments that were read fit for writing.
    ///
    /// The last one is written anew: what was read of it may be in memory only, after a sync that
    /// failed or never came, and its torn tail or seal has to go. That is done before the unused
    /// segment after it is removed, so that a crash in between finds what it found before.
    pub(crate) fn resume<F: files::Files>(
        files: &F,
        dir: &path::Path,
        generation: u64,
        log: &replay::Log,
    ) -> Result<Self, error::Error> {
        let current = log.segments[log.segments.len() - 1];
        let name = layout::segment(current.sequence);
        layout::replace(files, dir, &name, &log.last_content)?;
        for sequence in &log.needless {
            layout::remove(files, &dir.join(layout::segment(*sequence)))?;
        }
        layout::sync_dir(files, dir)?;
        Ok(Self {
            dir: dir.to_owned(),
            generation,
            kept: log.segments.iter().copied().collect(),
            file: open_append(&dir.join(name))?,
            len: log.last_content.len(),
            hard_state: log.hard_state,
            last: log.last,
        })
    }

    /// The last entry of the log.
    pub(crate) fn last(&self) -> log::Index {
        self.last
    }

    /// The length of the last segment, in bytes.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Writes a batch and syncs it. On [`error::Error::Full`] nothing is written.
    pub(crate) fn append<F: files::Files>(
        &mut self,
        files: &F,
        batch: &record::Batch<'_>,
    ) -> Result<(), error::Error> {
        let place = replay::place(self.generation, self.current());
        let frame = frame::encode(place, self.len, batch)?;
        let path = self.dir.join(layout::segment(self.current()));
        if let Err(source) = files.write(&mut self.file, &frame) {
            let failure = error::Error::undone("writing", &path, source);
            return Err(self.cut_back(files, &path, failure));
        }
        // Not `undone`: after a failed sync nobody knows what is on disk, also if it was full.
        let synced = files.sync(&self.file);
        synced.map_err(|source| error::Error::io("syncing", &path, source))?;
        self.len += frame.len();
        for record in batch {
            self.note(record);
        }
        Ok(())
    }

    /// Seals the last segment and begins another.
    ///
    /// The new one comes first: a sealed segment without successor is taken for a damaged log. If
    /// the seal finds the disk full the new one goes again, since its head would soon be wrong.
    pub(crate) fn roll<F: files::Files>(&mut self, files: &F) -> Result<(), error::Error> {
        let sequence = self.current() + 1;
        let head = record::Head {
            hard_state: self.hard_state,
            last: self.last,
        };
        let len = begin(files, &self.dir, self.generation, sequence, &head)?;
        let path = self.dir.join(layout::segment(sequence));
        if let Err(failure) = self.append(files, &vec![record::Record::Sealed]) {
            if failure.is_retryable() {
                layout::remove(files, &path)?;
                layout::sync_dir(files, &self.dir)?;
            }
            return Err(failure);
        }
        self.file = open_append(&path)?;
        self.len = len;
        self.kept.push_back(replay::Segment {
            sequence,
            before: self.last,
        });
        Ok(())
    }

    /// Removes the segments whose successor begins with entries that are all covered.
    pub(crate) fn remove_covered<F: files::Files>(
        &mut self,
        files: &F,
        covered: log::Index,
    ) -> Result<(), error::Error> {
        let mut removed = false;
        while self.kept.get(1).is_some_and(|next| next.before <= covered) {
            let path = self.dir.join(layout::segment(self.kept[0].sequence));
            layout::remove(files, &path)?;
            self.kept.pop_front();
            removed = true;
        }
        if removed {
            layout::sync_dir(files, &self.dir)?;
        }
        Ok(())
    }

    fn current(&self) -> u64 {
        self.kept[self.kept.len() - 1].sequence
    }

    /// Takes back a write that failed, so that the next one follows the last good frame.
    fn cut_back<F: files::Files>(
        &self,
        files: &F,
        path: &path::Path,
        failure: error::Error,
    ) -> error::Error {
        match files.truncate(&self.file, self.len as u64) {
            Ok(()) => failure,
            Err(source) => error::Error::io("cutting back", path, source),
        }
    }

    fn note(&mut self, record: &record::Record<'_>) {
        match record {
            record::Record::HardState(hard_state) => self.hard_state = *hard_state,
            record::Record::Truncate(from) => self.last = self.last.min(from.previous()),
            record::Record::Covered(covered) => self.last = self.last.max(*covered),
            record::Record::Entry(entry) => self.last = entry.index,
            record::Record::Sealed => {}
        }
    }
}

/// The records of the entries, which are not copied.
pub(crate) fn entries(entries: &[log::Entry]) -> impl Iterator<Item = record::Record<'_>> {
    entries
        .iter()
        .map(|entry| record::Record::Entry(borrow::Cow::Borrowed(entry)))
}

fn open_append(path: &path::Path) -> Result<fs::File, error::Error> {
    let opened = fs::OpenOptions::new().append(true).open(path);
    opened.map_err(|source| error::Error::io("opening", path, source))
}
