//! Scratch folders, a disk that fails on request, and what the log should hold.
#![allow(dead_code, reason = "each test file uses a part")]

use std::{env, fs, io, path, process, sync, sync::atomic};

use sageshed_disk::{damage, files, folder, vacant};
use sageshed_quorum::log;

pub const VM: u32 = 3;
pub const GENERATION: u64 = 1_000;

/// A folder of its own for each test, removed at the end.
pub struct Scratch(path::PathBuf);

impl Scratch {
    pub fn new() -> Self {
        static COUNT: atomic::AtomicU32 = atomic::AtomicU32::new(0);
        let number = COUNT.fetch_add(1, atomic::Ordering::Relaxed);
        let name = format!("sageshed-disk-{}-{number}", process::id());
        Self(env::temp_dir().join(name))
    }

    pub fn path(&self) -> &path::Path {
        &self.0
    }

    pub fn file(&self, name: &str) -> path::PathBuf {
        self.0.join(format!("generation-{GENERATION}")).join(name)
    }

    /// The last segment.
    pub fn last_segment(&self) -> path::PathBuf {
        self.file(&format!(
            "log-{}",
            self.segments().last().expect("a segment")
        ))
    }

    pub fn segments(&self) -> Vec<u64> {
        let names = fs::read_dir(self.file(""))
            .expect("a generation")
            .map(|entry| {
                let name = entry.expect("an entry").file_name();
                name.to_string_lossy().into_owned()
            });
        let mut found: Vec<_> = names
            .filter_map(|name| name.strip_prefix("log-")?.parse().ok())
            .collect();
        found.sort_unstable();
        found
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        // A test that never made it has nothing to remove.
        let _gone = fs::remove_dir_all(&self.0);
    }
}

/// How a call fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// With this error and no effect, but for a write: half of it reaches the file.
    Before(io::ErrorKind),
    /// With this error, after it has taken effect.
    After(io::ErrorKind),
}

/// The real disk, with a trace of the calls and a fault at one of them.
#[derive(Debug, Clone, Default)]
pub struct Faulty {
    state: sync::Arc<sync::Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    trace: Vec<&'static str>,
    faults: Vec<(usize, Fault)>,
}

impl Faulty {
    /// Fails the calls of these numbers, counted from here and from 0, and no other.
    pub fn fail(&self, faults: &[(usize, Fault)]) {
        let mut state = self.state.lock().expect("no panic");
        state.trace.clear();
        state.faults = faults.to_vec();
    }

    pub fn take_trace(&self) -> Vec<&'static str> {
        std::mem::take(&mut self.state.lock().expect("no panic").trace)
    }

    fn call(&self, name: &'static str) -> Option<Fault> {
        let mut state = self.state.lock().expect("no panic");
        let number = state.trace.len();
        state.trace.push(name);
        let at_this = state.faults.iter().find(|(call, _)| *call == number);
        at_this.map(|(_, fault)| *fault)
    }

    fn run(&self, name: &'static str, real: impl FnOnce() -> io::Result<()>) -> io::Result<()> {
        match self.call(name) {
            None => real(),
            Some(Fault::Before(kind)) => Err(kind.into()),
            Some(Fault::After(kind)) => {
                real()?;
                Err(kind.into())
            }
        }
    }
}

impl files::Files for Faulty {
    fn write(&self, file: &mut fs::File, buf: &[u8]) -> io::Result<()> {
        let fault = self.call("write");
        let written = match fault {
            Some(Fault::Before(_)) => buf.len() / 2,
            _ => buf.len(),
        };
        files::Disk.write(file, &buf[..written])?;
        match fault {
            Some(Fault::Before(kind) | Fault::After(kind)) => Err(kind.into()),
            None => Ok(()),
        }
    }

    // Traced and not carried out: the tests end no machine, and hundreds of syncs take minutes on a
    // busy disk.
    fn sync(&self, _: &fs::File) -> io::Result<()> {
        self.run("sync", || Ok(()))
    }

    fn truncate(&self, file: &fs::File, len: u64) -> io::Result<()> {
        self.run("truncate", || files::Disk.truncate(file, len))
    }

    fn rename(&self, from: &path::Path, to: &path::Path) -> io::Result<()> {
        self.run("rename", || files::Disk.rename(from, to))
    }

    fn remove(&self, file: &path::Path) -> io::Result<()> {
        self.run("remove", || files::Disk.remove(file))
    }

    fn sync_dir(&self, _: &path::Path) -> io::Result<()> {
        self.run("sync_dir", || Ok(()))
    }
}

pub fn options(segment_bytes: usize) -> folder::Options {
    folder::Options { segment_bytes }
}

pub fn first() -> vacant::Start {
    let generation = GENERATION;
    let node = log::NodeId { vm: VM, generation };
    vacant::Start::First {
        generation,
        membership: log::Membership::of_voters([node]),
    }
}

/// Opens the folder, which is new or whole.
pub fn open<F: files::Files>(
    scratch: &Scratch,
    segment_bytes: usize,
    files: F,
) -> (Box<folder::Folder<F>>, log::PersistedState) {
    let opened = folder::Folder::open_with(scratch.path(), VM, options(segment_bytes), files);
    let opened = match opened.expect("the folder opens") {
        folder::Opened::Fresh(vacant) => vacant.start_generation(first()).expect("it starts"),
        opened => opened,
    };
    match opened {
        folder::Opened::Ready(folder, restored) => (folder, restored),
        folder::Opened::Fresh(_) => panic!("fresh after a start"),
        folder::Opened::Lost { damage, .. } => panic!("{damage}"),
    }
}

/// What the folder holds, or what is damaged.
pub fn reopen(scratch: &Scratch) -> Result<log::PersistedState, damage::Damage> {
    let opened =
        folder::Folder::open_with(scratch.path(), VM, options(usize::MAX), Faulty::default());
    match opened.expect("the folder opens") {
        folder::Opened::Ready(_, restored) => Ok(restored),
        folder::Opened::Fresh(_) => panic!("the folder is empty"),
        folder::Opened::Lost { damage, .. } => Err(damage),
    }
}

pub fn entry(index: u64, term: u64) -> log::Entry {
    log::Entry {
        index: log::Index(index),
        term: log::Term(term),
        data: log::EntryData::Command(format!("{index} of {term}").into_bytes()),
    }
}

pub fn entries(from: u64, to: u64, term: u64) -> log::LogWrite {
    log::LogWrite {
        entries: (from..=to).map(|index| entry(index, term)).collect(),
        ..log::LogWrite::default()
    }
}

pub fn snapshot(index: u64, term: u64) -> log::Snapshot {
    log::Snapshot {
        index: log::Index(index),
        term: log::Term(term),
        membership: log::Membership::default(),
        data: vec![7; 40],
    }
}

pub fn vote(term: u64) -> log::LogWrite {
    log::LogWrite {
        hard_state: Some(log::HardState {
            term: log::Term(term),
            voted_for: Some(log::NodeId {
                vm: 1,
                generation: 9,
            }),
        }),
        ..log::LogWrite::default()
    }
}

/// The restored content after one more write, by the definition of [`log::LogWrite`].
pub fn after(restored: &log::PersistedState, write: &log::LogWrite) -> log::PersistedState {
    let mut next = restored.clone();
    next.hard_state = write.hard_state.unwrap_or(next.hard_state);
    if let Some(from) = write.truncate_from {
        next.entries.retain(|entry| entry.index < from);
    }
    if let Some(snapshot) = &write.snapshot {
        next.entries.retain(|entry| entry.index > snapshot.index);
        next.snapshot = Some(snapshot.clone());
    }
    next.entries.extend(write.entries.clone());
    next
}

/// Writes of each kind, in an order that a node may ask for.
pub fn history() -> Vec<log::LogWrite> {
    let replace = log::LogWrite {
        truncate_from: Some(log::Index(3)),
        ..entries(3, 4, 2)
    };
    let beyond = log::LogWrite {
        snapshot: Some(snapshot(9, 3)),
        ..entries(10, 11, 3)
    };
    let contradicting = log::LogWrite {
        truncate_from: Some(log::Index(11)),
        snapshot: Some(snapshot(10, 4)),
        hard_state: vote(4).hard_state,
        entries: vec![entry(11, 4)],
    };
    let within = log::LogWrite {
        snapshot: Some(snapshot(12, 4)),
        ..log::LogWrite::default()
    };
    vec![
        vote(1),
        entries(1, 5, 1),
        replace,
        beyond,
        entries(12, 12, 3),
        contradicting,
        entries(12, 14, 4),
        within,
        vote(5),
        entries(15, 16, 5),
    ]
}
