//! A data folder without a generation that can be used, and the start of one.

use std::{fs, path};

use sageshed_quorum::log;

use crate::{error, files, folder, frame, layout, record, segments};

/// A folder that this process has locked. The lock goes with the process, however it ends.
#[derive(Debug)]
pub(crate) struct Place<F> {
    pub(crate) path: path::PathBuf,
    pub(crate) vm: u32,
    pub(crate) options: folder::Options,
    pub(crate) files: F,
    _lock: fs::File,
}

impl<F> Place<F> {
    /// Two processes that append to one log would each overwrite what the other has promised.
    pub(crate) fn lock(
        path: &path::Path,
        vm: u32,
        options: folder::Options,
        files: F,
    ) -> Result<Self, error::Error> {
        folder::make(path)?;
        let lock_path = path.join(layout::LOCK);
        let created = fs::File::create(&lock_path);
        let lock = created.map_err(|source| error::Error::undone("making", &lock_path, source))?;
        match lock.try_lock() {
            Ok(()) => Ok(Self {
                path: path.to_owned(),
                vm,
                options,
                files,
                _lock: lock,
            }),
            Err(fs::TryLockError::WouldBlock) => Err(error::Error::Locked { path: lock_path }),
            Err(fs::TryLockError::Error(source)) => {
                Err(error::Error::io("locking", &lock_path, source))
            }
        }
    }
}

/// What a generation starts as.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Start {
    /// A node of its own, which no membership holds yet and which waits to be added.
    New {
        /// A random number, since a folder that was emptied does not show which ones it has held. A greater one is taken
        /// if the folder shows this one or a greater one.
        generation: u64,
    },
    /// A voter of the first membership. Refused where the folder has held a generation: that may
    /// have voted. Where the folder was emptied only the operator knows, who must not ask for it.
    First {
        /// The generation under which the membership holds this VM.
        generation: u64,
        /// The first membership, the same on each of its voters.
        membership: log::Membership,
    },
}

/// A locked folder in which a generation can be started.
#[derive(Debug)]
pub struct Vacant<F = files::Disk> {
    place: Place<F>,
}

impl<F: files::Files> Vacant<F> {
    /// Starts a generation, and moves what there is aside.
    ///
    /// A crash leaves the folder as it was, or without generation but known to have held one, or
    /// with the new one whole. On an error, open the folder again.
    pub fn start_generation(self, start: Start) -> Result<folder::Opened<F>, error::Error> {
        let greatest = self.greatest()?;
        let identity = match start {
            Start::New { generation } => self.identity(
                greatest.map_or(generation, |greatest| generation.max(greatest + 1)),
                log::Membership::default(),
            ),
            Start::First { .. } if greatest.is_some() => {
                let path = self.place.path;
                return Err(error::Error::UsedBefore { path });
            }
            Start::First {
                generation,
                membership,
            } => self.identity(generation, membership),
        };
        self.make(&identity)?;
        self.move_aside()?;
        self.put_in_place(identity.node.generation)?;
        ::log::info!(node:% = identity.node; "disk: a generation was started");
        folder::open_generation(self.place)
    }

    fn identity(&self, generation: u64, membership: log::Membership) -> record::Identity {
        let vm = self.place.vm;
        record::Identity {
            node: log::NodeId { vm, generation },
            membership,
        }
    }

    /// The greatest generation that the folder shows, damaged or not.
    fn greatest(&self) -> Result<Option<u64>, error::Error> {
        let whole = layout::numbers(&self.place.path, layout::GENERATION)?;
        let damaged = layout::numbers(&self.place.path, layout::DAMAGED)?;
        Ok(whole.into_iter().chain(damaged).max())
    }

    fn make(&self, identity: &record::Identity) -> Result<(), error::Error> {
        let files = &self.place.files;
        let dir = self.place.path.join(layout::STARTING);
        // May be there, from a start that a crash cut short: each file in it is replaced.
        folder::make(&dir)?;
        let generation = identity.node.generation;
        let content = frame::encode(identity_place(generation), 0, identity)?;
        layout::replace(files, &dir, layout::IDENTITY, &content)?;
        segments::first(files, &dir, generation)
    }

    /// Synced before the new generation comes into its place, so that there are never two.
    fn move_aside(&self) -> Result<(), error::Error> {
        let files = &self.place.files;
        let path = &self.place.path;
        for generation in layout::numbers(path, layout::GENERATION)? {
            let from = path.join(format!("{}{generation}", layout::GENERATION));
            let to = path.join(format!("{}{generation}", layout::DAMAGED));
            layout::rename(files, &from, &to)?;
        }
        layout::sync_dir(files, path)
    }

    fn put_in_place(&self, generation: u64) -> Result<(), error::Error> {
        let files = &self.place.files;
        let path = &self.place.path;
        let to = path.join(format!("{}{generation}", layout::GENERATION));
        layout::rename(files, &path.join(layout::STARTING), &to)?;
        layout::sync_dir(files, path)
    }
}

impl<F> Vacant<F> {
    pub(crate) fn new(place: Place<F>) -> Self {
        Self { place }
    }
}

pub(crate) fn identity_place(generation: u64) -> frame::Place {
    frame::Place {
        generation,
        file: frame::IDENTITY,
    }
}
