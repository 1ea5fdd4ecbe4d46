//! The snapshot file.

use std::path;

use sageshed_quorum::log;

use crate::{damage, error, files, frame, layout};

/// What was found in place of the snapshot.
#[derive(Debug)]
pub(crate) enum Found {
    Whole(log::Snapshot),
    None,
    Damaged(damage::Damage),
}

pub(crate) fn load(dir: &path::Path, generation: u64) -> Result<Found, error::Error> {
    let path = dir.join(layout::SNAPSHOT);
    let Some(bytes) = layout::read(&path)? else {
        return Ok(Found::None);
    };
    match frame::at(&bytes, 0, place(generation)) {
        Some((payload, end)) if end == bytes.len() => {
            Ok(Found::Whole(frame::decode(payload, &path, 0)?))
        }
        _ => Ok(Found::Damaged(damage::Damage::File { path })),
    }
}

pub(crate) fn save<F: files::Files>(
    files: &F,
    dir: &path::Path,
    generation: u64,
    snapshot: &log::Snapshot,
) -> Result<(), error::Error> {
    let content = frame::encode(place(generation), 0, snapshot)?;
    layout::replace(files, dir, layout::SNAPSHOT, &content)
}

fn place(generation: u64) -> frame::Place {
    frame::Place {
        generation,
        file: frame::SNAPSHOT,
    }
}
