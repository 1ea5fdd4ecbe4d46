//! Reads the segments of a generation.

use std::path;

use sageshed_quorum::log;

use crate::{damage, error, frame, layout, record};

/// What the segments hold.
#[derive(Debug)]
pub(crate) enum Replayed {
    Whole(Log),
    Damaged(damage::Damage),
}

/// A log that was read whole.
#[derive(Debug)]
pub(crate) struct Log {
    pub(crate) hard_state: log::HardState,
    /// The last entry that is gone.
    base: log::Index,
    /// The last entry, gone or not.
    pub(crate) last: log::Index,
    pub(crate) entries: Vec<log::Entry>,
    /// The segments read, oldest first. Never empty.
    pub(crate) segments: Vec<Segment>,
    /// Segments that need not be read, and a last one that holds nothing yet.
    pub(crate) needless: Vec<u64>,
    /// The content of the last segment read, without torn tail and seal.
    pub(crate) last_content: Vec<u8>,
}

/// A segment that is kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Segment {
    pub(crate) sequence: u64,
    /// The last entry of the log when it began.
    pub(crate) before: log::Index,
}

/// Why reading ended early.
#[derive(Debug)]
enum Stop {
    Damaged(damage::Damage),
    Error(error::Error),
}

impl From<damage::Damage> for Stop {
    fn from(damage: damage::Damage) -> Self {
        Self::Damaged(damage)
    }
}

impl From<error::Error> for Stop {
    fn from(error: error::Error) -> Self {
        Self::Error(error)
    }
}

/// One segment file in memory.
struct Opened {
    sequence: u64,
    path: path::PathBuf,
    bytes: Vec<u8>,
    head: record::Head,
    /// Where the frame after the head starts.
    body: usize,
}

/// What the frames of one segment hold.
#[derive(Debug, Default)]
struct Body {
    records: record::Batch<'static>,
    /// Where the good frames end, the seal left out.
    end: usize,
    sealed: bool,
    torn: bool,
}

/// Reads the log in `dir`, whose snapshot covers entries up to `covered`.
pub(crate) fn replay(
    dir: &path::Path,
    generation: u64,
    covered: log::Index,
) -> Result<Replayed, error::Error> {
    match try_replay(dir, generation, covered) {
        Ok(log) => Ok(Replayed::Whole(log)),
        Err(Stop::Damaged(damage)) => Ok(Replayed::Damaged(damage)),
        Err(Stop::Error(error)) => Err(error),
    }
}

fn try_replay(dir: &path::Path, generation: u64, covered: log::Index) -> Result<Log, Stop> {
    let (mut opened, mut needless) = open_needed(dir, generation, covered)?;
    let unused = pop_unused(&mut opened);
    needless.extend(unused);
    let first = opened[0].head;
    let mut log = Log {
        hard_state: first.hard_state,
        base: first.last,
        last: first.last,
        entries: Vec::new(),
        segments: Vec::new(),
        needless,
        last_content: Vec::new(),
    };
    let count = opened.len();
    for (i, segment) in opened.into_iter().enumerate() {
        let body = read_body(&segment, generation)?;
        if i + 1 < count {
            segment.check_inner(&body)?;
        } else if unused.is_none() {
            segment.check_last(&body)?;
        }
        log.take(segment, body)?;
    }
    log.check_covered(covered)?;
    Ok(log)
}

/// Opens the segments from the last one whose head is covered on, and names those before it.
///
/// They are gone, or all but gone: a crash while they were removed may leave any of them.
fn open_needed(
    dir: &path::Path,
    generation: u64,
    covered: log::Index,
) -> Result<(Vec<Opened>, Vec<u64>), Stop> {
    let mut sequences = layout::segments(dir)?;
    let mut opened = Vec::new();
    while let Some(sequence) = sequences.pop() {
        let segment = open(dir, generation, sequence)?;
        let head = segment.head;
        opened.push(segment);
        if head.last <= covered {
            opened.reverse();
            return Ok((opened, sequences));
        }
        if sequences.last().is_none_or(|before| before + 1 != sequence) {
            let sequence = sequence - 1;
            return Err(damage::Damage::Missing { sequence }.into());
        }
    }
    Err(damage::Damage::Missing { sequence: 1 }.into())
}

/// Takes off a last segment that holds nothing but its head, unless it is the only one.
///
/// It was made when the one before was to be sealed, and the seal may not have been synced. The one
/// before is the last one then, and is written anew without its seal.
fn pop_unused(opened: &mut Vec<Opened>) -> Option<u64> {
    if opened.len() < 2 {
        return None;
    }
    let unused = opened.pop_if(|last| last.body == last.bytes.len());
    unused.map(|segment| segment.sequence)
}

fn open(dir: &path::Path, generation: u64, sequence: u64) -> Result<Opened, Stop> {
    let path = dir.join(layout::segment(sequence));
    let bytes = layout::read(&path)?.unwrap_or_default();
    let place = place(generation, sequence);
    let Some((payload, body)) = frame::at(&bytes, 0, place) else {
        return Err(damage::Damage::Segment { path, offset: 0 }.into());
    };
    let head = frame::decode(payload, &path, 0)?;
    Ok(Opened {
        sequence,
        path,
        bytes,
        head,
        body,
    })
}

fn read_body(segment: &Opened, generation: u64) -> Result<Body, Stop> {
    let place = place(generation, segment.sequence);
    let mut body = Body::default();
    let mut offset = segment.body;
    body.end = offset;
    while offset < segment.bytes.len() {
        let Some((payload, next)) = frame::at(&segment.bytes, offset, place) else {
            if body.sealed || frame::any_after(&segment.bytes, offset, place) {
                return Err(segment.damaged_at(offset));
            }
            body.torn = true;
            return Ok(body);
        };
        if body.sealed {
            return Err(segment.damaged_at(offset));
        }
        let batch: record::Batch<'static> = frame::decode(payload, &segment.path, offset)?;
        offset = next;
        if batch == [record::Record::Sealed] {
            body.sealed = true;
        } else {
            body.records.extend(batch);
            body.end = offset;
        }
    }
    Ok(body)
}

pub(crate) fn place(generation: u64, sequence: u64) -> frame::Place {
    frame::Place {
        generation,
        file: sequence,
    }
}

impl Opened {
    fn damaged_at(&self, offset: usize) -> Stop {
        let path = self.path.clone();
        damage::Damage::Segment { path, offset }.into()
    }

    /// One with a successor that holds records was sealed before the first of them was written.
    fn check_inner(&self, body: &Body) -> Result<(), Stop> {
        if body.torn || !body.sealed {
            return Err(self.damaged_at(body.end));
        }
        Ok(())
    }

    /// The last one there is was not sealed, or its successor is lost.
    fn check_last(&self, body: &Body) -> Result<(), Stop> {
        if body.sealed {
            let sequence = self.sequence + 1;
            return Err(damage::Damage::Missing { sequence }.into());
        }
        Ok(())
    }
}

impl Log {
    fn take(&mut self, segment: Opened, body: Body) -> Result<(), damage::Damage> {
        for record in body.records {
            self.apply(record)?;
        }
        self.segments.push(Segment {
            sequence: segment.sequence,
            before: segment.head.last,
        });
        self.last_content = segment.bytes;
        self.last_content.truncate(body.end);
        Ok(())
    }

    fn apply(&mut self, record: record::Record<'_>) -> Result<(), damage::Damage> {
        match record {
            record::Record::HardState(hard_state) => self.hard_state = hard_state,
            record::Record::Truncate(from) => {
                self.entries.retain(|entry| entry.index < from);
                self.base = self.base.min(from.previous());
                self.last = self.last.min(from.previous());
            }
            record::Record::Covered(covered) => {
                self.entries.retain(|entry| entry.index > covered);
                self.base = self.base.max(covered);
                self.last = self.last.max(covered);
            }
            record::Record::Entry(entry) => {
                let needed = self.last.next();
                if entry.index != needed {
                    return Err(damage::Damage::Hole { index: needed.0 });
                }
                self.last = needed;
                self.entries.push(entry.into_owned());
            }
            record::Record::Sealed => {}
        }
        Ok(())
    }

    /// Drops entries that the snapshot covers, and checks that none is missing after it.
    fn check_covered(&mut self, covered: log::Index) -> Result<(), damage::Damage> {
        if self.base > covered {
            let index = covered.next().0;
            return Err(damage::Damage::Hole { index });
        }
        self.entries.retain(|entry| entry.index > covered);
        Ok(())
    }
}
