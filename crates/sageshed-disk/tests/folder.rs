//! What is written is found again, and what is spoilt is noticed.

mod support;

use std::fs;

use sageshed_disk::{damage, error, files, folder, vacant};
use sageshed_quorum::log;
use support::{Faulty, Scratch, after, entries, entry, history, open, reopen, snapshot, vote};

const LONG: usize = 1 << 20;

/// Three writes in one segment, with the offsets at which their frames end.
fn three_writes(scratch: &Scratch) -> (Vec<usize>, Vec<log::PersistedState>) {
    let (mut folder, restored) = open(scratch, LONG, Faulty::default());
    let len = || fs::read(scratch.last_segment()).expect("a segment").len();
    let mut ends = vec![len()];
    let mut states = vec![restored];
    for write in [vote(1), entries(1, 2, 1), entries(3, 4, 1)] {
        folder.write(&write).expect("written");
        ends.push(len());
        states.push(after(&states[states.len() - 1], &write));
    }
    (ends, states)
}

#[test]
fn what_was_written_is_found_after_each_write() {
    for segment_bytes in [1, 300, LONG] {
        let scratch = Scratch::new();
        let (_, mut expected) = open(&scratch, segment_bytes, files::Disk);
        assert_eq!(expected.membership.voters.len(), 1);
        for (i, write) in history().iter().enumerate() {
            let (mut folder, found) = open(&scratch, segment_bytes, files::Disk);
            assert_eq!(
                found, expected,
                "before write {i}, segments of {segment_bytes}"
            );
            folder.write(write).expect("written");
            expected = after(&expected, write);
        }
        assert_eq!(reopen(&scratch), Ok(expected));
    }
}

#[test]
fn segments_go_once_the_snapshot_covers_them() {
    let scratch = Scratch::new();
    let (mut folder, mut expected) = open(&scratch, 1, Faulty::default());
    for index in 1..=6 {
        let write = entries(index, index, 1);
        folder.write(&write).expect("written");
        expected = after(&expected, &write);
    }
    assert_eq!(scratch.segments(), [1, 2, 3, 4, 5, 6, 7]);
    folder.compact(log::Index(4)).expect("compacted");
    // The first holds no entry; no snapshot covers any.
    assert_eq!(scratch.segments(), [2, 3, 4, 5, 6, 7]);
    folder.save_snapshot(&snapshot(4, 1)).expect("saved");
    folder
        .save_snapshot(&snapshot(3, 1))
        .expect("an older one is passed over");
    folder.compact(log::Index(3)).expect("compacted");
    assert_eq!(scratch.segments(), [5, 6, 7]);
    folder
        .compact(log::Index(9))
        .expect("compacted as far as the snapshot");
    assert_eq!(scratch.segments(), [6, 7]);
    drop(folder);
    expected.snapshot = Some(snapshot(4, 1));
    expected.entries = vec![entry(5, 1), entry(6, 1)];
    assert_eq!(reopen(&scratch), Ok(expected));
}

// The machine loses power while a write is under way, which nobody was promised. Taken for damage,
// the VM would come back as a new node, and the group be short of a voter for nothing.
#[test]
fn a_torn_tail_is_cut_wherever_it_was_torn() {
    let scratch = Scratch::new();
    let (ends, states) = three_writes(&scratch);
    let path = scratch.last_segment();
    let whole = fs::read(&path).expect("a segment");
    let (before, end) = (ends[2], ends[3]);
    let short = (before..end).map(|len| whole[..len].to_vec());
    let zeros = (before..end).map(|len| [&whole[..len], &vec![0; end - len]].concat());
    let flipped = (before..end).map(|at| flip(&whole, at));
    for bytes in short.chain(zeros).chain(flipped) {
        fs::write(&path, &bytes).expect("spoilt");
        assert_eq!(reopen(&scratch).as_ref(), Ok(&states[2]));
        assert_eq!(fs::read(&path).expect("a segment"), whole[..before]);
    }
}

// A sector rots under a record that was acknowledged, and good records follow. Cut there, the voter
// would forget entries and votes that others count on.
#[test]
fn a_flipped_byte_before_the_last_record_is_a_lost_disk() {
    let scratch = Scratch::new();
    let (ends, _) = three_writes(&scratch);
    let path = scratch.last_segment();
    let whole = fs::read(&path).expect("a segment");
    for at in 0..ends[2] {
        fs::write(&path, flip(&whole, at)).expect("spoilt");
        let damage = reopen(&scratch).expect_err("damaged");
        assert!(
            matches!(damage, damage::Damage::Segment { .. }),
            "byte {at}: {damage}"
        );
    }
}

fn flip(bytes: &[u8], at: usize) -> Vec<u8> {
    let mut bytes = bytes.to_vec();
    bytes[at] ^= 0x10;
    bytes
}

// A caller puts bytes of a log file into its request, by chance or intent, and the write of it is
// torn. Taken for a record, they would make the tail look like damage in the middle.
#[test]
fn records_inside_a_command_are_not_taken_for_records() {
    let scratch = Scratch::new();
    let (_, states) = three_writes(&scratch);
    let path = scratch.last_segment();
    let mut write = entries(5, 5, 1);
    write.entries[0].data = log::EntryData::Command(fs::read(&path).expect("a segment"));
    let (mut folder, _) = open(&scratch, LONG, Faulty::default());
    folder.write(&write).expect("written");
    drop(folder);
    let whole = fs::read(&path).expect("a segment");
    fs::write(&path, &whole[..whole.len() - 1]).expect("torn");
    assert_eq!(reopen(&scratch).as_ref(), Ok(&states[3]));
}

// A file of the folder is gone, cut short at the end of a record, or comes from elsewhere. Each
// record that is left is good, but a voter that goes on without the rest has forgotten it.
#[test]
fn a_file_that_is_missing_shortened_or_foreign_is_a_lost_disk() {
    type Spoil = fn(&Scratch);
    struct Case {
        label: &'static str,
        spoil: Spoil,
    }
    fn remove(scratch: &Scratch, name: &str) {
        fs::remove_file(scratch.file(name)).expect("removed");
    }
    fn cut(scratch: &Scratch, name: &str, bytes: usize) {
        let whole = fs::read(scratch.file(name)).expect("a file");
        fs::write(scratch.file(name), &whole[..whole.len() - bytes]).expect("cut");
    }
    fn copy(scratch: &Scratch, from: &str, to: &str) {
        fs::copy(scratch.file(from), scratch.file(to)).expect("copied");
    }
    let cases = [
        Case {
            label: "first needed segment",
            spoil: |s| remove(s, "log-4"),
        },
        Case {
            label: "inner segment",
            spoil: |s| remove(s, "log-5"),
        },
        Case {
            label: "segment of a vote",
            spoil: |s| remove(s, "log-8"),
        },
        Case {
            label: "last segment",
            spoil: |s| remove(s, "log-9"),
        },
        Case {
            label: "all segments",
            spoil: |s| (4..=9).for_each(|n| remove(s, &format!("log-{n}"))),
        },
        Case {
            label: "seal",
            spoil: |s| cut(s, "log-5", 1),
        },
        Case {
            label: "snapshot",
            spoil: |s| remove(s, "snapshot"),
        },
        Case {
            label: "end of snapshot",
            spoil: |s| cut(s, "snapshot", 1),
        },
        Case {
            label: "identity",
            spoil: |s| remove(s, "identity"),
        },
        Case {
            label: "another segment's content",
            spoil: |s| copy(s, "log-7", "log-8"),
        },
        Case {
            label: "another file's content",
            spoil: |s| copy(s, "log-6", "snapshot"),
        },
    ];
    for Case { label, spoil } in cases {
        let scratch = Scratch::new();
        let (mut folder, _) = open(&scratch, 1, Faulty::default());
        for index in 1..=5 {
            folder.write(&entries(index, index, 1)).expect("written");
        }
        for term in 2..=4 {
            folder.write(&vote(term)).expect("written");
        }
        folder.save_snapshot(&snapshot(2, 1)).expect("saved");
        folder.compact(log::Index(2)).expect("compacted");
        drop(folder);
        assert_eq!(scratch.segments(), [4, 5, 6, 7, 8, 9], "{label}");
        spoil(&scratch);
        assert!(reopen(&scratch).is_err(), "{label}");
    }
}

// A snapshot that was received is gone, and the log holds only what came after it.
#[test]
fn a_log_that_begins_after_a_missing_snapshot_is_a_lost_disk() {
    let scratch = Scratch::new();
    let (mut folder, _) = open(&scratch, LONG, Faulty::default());
    let write = log::LogWrite {
        snapshot: Some(snapshot(8, 2)),
        ..entries(9, 10, 2)
    };
    folder.write(&write).expect("written");
    drop(folder);
    fs::remove_file(scratch.file("snapshot")).expect("removed");
    assert_eq!(reopen(&scratch), Err(damage::Damage::Hole { index: 1 }));
}

#[test]
fn files_that_were_never_finished_are_removed() {
    let scratch = Scratch::new();
    let (_, expected) = open(&scratch, LONG, Faulty::default());
    let unfinished = scratch.file("snapshot.tmp");
    fs::write(&unfinished, "half").expect("written");
    assert_eq!(reopen(&scratch), Ok(expected));
    assert!(!unfinished.exists());
}

// Power is lost while segments below a new snapshot are removed, which happens in no certain order.
#[test]
fn any_of_the_covered_segments_may_be_left() {
    for left in 0..8_u32 {
        let scratch = Scratch::new();
        let (mut folder, mut expected) = open(&scratch, 1, Faulty::default());
        for index in 1..=5 {
            let write = entries(index, index, 1);
            folder.write(&write).expect("written");
            expected = after(&expected, &write);
        }
        folder.save_snapshot(&snapshot(4, 1)).expect("saved");
        drop(folder);
        expected.snapshot = Some(snapshot(4, 1));
        expected.entries = vec![entry(5, 1)];
        for (bit, sequence) in [2, 3, 4].into_iter().enumerate() {
            if left & (1 << bit) == 0 {
                fs::remove_file(scratch.file(&format!("log-{sequence}"))).expect("removed");
            }
        }
        assert_eq!(reopen(&scratch), Ok(expected), "{left:03b}");
        assert_eq!(scratch.segments(), [6], "{left:03b}");
    }
}

// A disk is replaced. The VM must not vote under its old generation, nor take one that it has used
// before.
#[test]
fn a_lost_disk_starts_a_generation_that_was_never_used() {
    struct Case {
        drawn: u64,
        generation: u64,
    }
    let scratch = Scratch::new();
    open(&scratch, LONG, Faulty::default());
    let cases = [
        Case {
            drawn: 5_000,
            generation: 5_000,
        },
        Case {
            drawn: 4_000,
            generation: 5_001,
        },
        Case {
            drawn: 5_001,
            generation: 5_002,
        },
    ];
    let mut generation = support::GENERATION;
    for case in cases {
        let dir = scratch.path().join(format!("generation-{generation}"));
        fs::remove_file(dir.join("identity")).expect("removed");
        let vacant = lost(&scratch);
        assert!(matches!(
            vacant.start_generation(support::first()),
            Err(error::Error::UsedBefore { .. })
        ));
        let start = vacant::Start::New {
            generation: case.drawn,
        };
        let opened = lost(&scratch).start_generation(start).expect("started");
        let folder::Opened::Ready(folder, restored) = opened else {
            panic!("{opened:?}");
        };
        assert_eq!(folder.node().generation, case.generation);
        assert_eq!(restored, log::PersistedState::default());
        assert!(
            scratch
                .path()
                .join(format!("damaged-{generation}/log-1"))
                .exists()
        );
        generation = case.generation;
    }
    // Moved aside by a start that a crash then cut short.
    let old = scratch.path().join(format!("generation-{generation}"));
    fs::rename(old, scratch.path().join(format!("damaged-{generation}"))).expect("renamed");
    assert_eq!(reopen(&scratch), Err(damage::Damage::NoGeneration));
    let start = vacant::Start::New { generation: 1 };
    let opened = lost(&scratch).start_generation(start).expect("started");
    let folder::Opened::Ready(folder, _) = opened else {
        panic!("{opened:?}");
    };
    assert_eq!(folder.node().generation, generation + 1);
}

fn lost(scratch: &Scratch) -> vacant::Vacant {
    let opened = folder::Folder::open(scratch.path(), support::VM).expect("the folder opens");
    match opened {
        folder::Opened::Lost { vacant, .. } => vacant,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_second_process_and_another_vm_are_turned_away() {
    let scratch = Scratch::new();
    let (folder, _) = open(&scratch, LONG, Faulty::default());
    let second = folder::Folder::open(scratch.path(), support::VM);
    assert!(matches!(second, Err(error::Error::Locked { .. })));
    drop(folder);
    let other = folder::Folder::open(scratch.path(), support::VM + 1);
    assert!(matches!(
        other,
        Err(error::Error::OtherVm {
            found: support::VM,
            ..
        })
    ));
    reopen(&scratch).expect("the folder is whole");
}

#[test]
fn entries_that_leave_a_hole_are_refused() {
    let scratch = Scratch::new();
    let (mut folder, expected) = open(&scratch, LONG, Faulty::default());
    for write in [entries(2, 2, 1), entries(0, 0, 1)] {
        let refused = folder.write(&write);
        assert!(
            matches!(refused, Err(error::Error::Hole { .. })),
            "{refused:?}"
        );
    }
    drop(folder);
    assert_eq!(reopen(&scratch), Ok(expected));
}
