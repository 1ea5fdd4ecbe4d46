//! A disk that fails: at each call, in each way, nothing that was promised is lost.

mod support;

use std::{fs, io};

use sageshed_disk::{error, folder, vacant};
use sageshed_quorum::log;
use support::{Fault, Faulty, Scratch, after, entries, history, open, reopen, snapshot, vote};

const LONG: usize = 1 << 20;
const FULL: Fault = Fault::Before(io::ErrorKind::StorageFull);
const FAILED: Fault = Fault::Before(io::ErrorKind::Other);

/// The states that a crash in the middle of `write` may leave: each prefix of its parts.
fn prefixes(before: &log::PersistedState, write: &log::LogWrite) -> Vec<log::PersistedState> {
    let mut part = log::LogWrite::default();
    let mut states = vec![before.clone()];
    part.hard_state = write.hard_state;
    states.push(after(before, &part));
    part.truncate_from = write.truncate_from;
    states.push(after(before, &part));
    part.snapshot.clone_from(&write.snapshot);
    states.push(after(before, &part));
    states.push(after(before, write));
    states
}

// The process dies, or the disk fails, at some call of some write. What the folder had returned
// from must be there when it is opened again, and the log must go on from there.
#[test]
fn nothing_written_is_lost_whichever_call_fails() {
    let faults = [FAILED, FULL, Fault::After(io::ErrorKind::Other)];
    for fault in faults {
        for segment_bytes in [1, LONG] {
            let mut call = 0;
            while fails_at(call, fault, segment_bytes) {
                call += 1;
            }
            assert!(call > 20, "{call} calls failed");
        }
    }
}

/// Whether the history came as far as that call.
fn fails_at(call: usize, fault: Fault, segment_bytes: usize) -> bool {
    let label = format!("call {call}, {fault:?}, segments of {segment_bytes}");
    let scratch = Scratch::new();
    let faulty = Faulty::default();
    let (mut folder, mut expected) = open(&scratch, segment_bytes, faulty.clone());
    faulty.fail(&[(call, fault)]);
    let mut failed = false;
    for write in history() {
        if folder.write(&write).is_err() {
            failed = true;
            drop(folder);
            let (again, found) = open(&scratch, segment_bytes, Faulty::default());
            assert!(
                prefixes(&expected, &write).contains(&found),
                "{label}: {found:?}"
            );
            folder = again;
            // The fault may have come after all of it was on disk.
            if found != after(&expected, &write) {
                folder.write(&write).expect("written now");
            }
        }
        expected = after(&expected, &write);
    }
    drop(folder);
    assert_eq!(reopen(&scratch), Ok(expected), "{label}");
    // A full disk may be met and got over without the caller's notice.
    failed || faulty.take_trace().len() > call
}

// The disk fills up in the middle of a write, and room returns later. The process need not stop.
#[test]
fn a_write_that_met_a_full_disk_succeeds_once_there_is_room() {
    let mut retried = 0;
    for segment_bytes in [1, LONG] {
        for write in 0..history().len() {
            for call in 0..10 {
                retried += u32::from(is_retried(write, call, segment_bytes));
            }
        }
    }
    assert!(retried > 20, "{retried} writes were tried again");
}

/// Whether the write of this number fails with a full disk at that call, and can be tried again.
fn is_retried(number: usize, call: usize, segment_bytes: usize) -> bool {
    let scratch = Scratch::new();
    let faulty = Faulty::default();
    let (mut folder, mut expected) = open(&scratch, segment_bytes, faulty.clone());
    let mut retried = false;
    for (i, write) in history().iter().enumerate() {
        if i == number {
            faulty.fail(&[(call, FULL)]);
        }
        match folder.write(write) {
            Ok(()) => {}
            Err(failure) if failure.is_retryable() => {
                folder.write(write).expect("room is back");
                retried = true;
            }
            Err(_) => return false,
        }
        expected = after(&expected, write);
    }
    drop(folder);
    let label = format!("write {number}, call {call}, segments of {segment_bytes}");
    assert_eq!(reopen(&scratch), Ok(expected), "{label}");
    retried
}

// A sync fails, and the kernel marks the pages as clean though they never reached the disk. A second
// sync would succeed, and the next crash bring the old bytes back.
#[test]
fn after_a_failed_sync_nothing_is_written_until_the_folder_is_opened_again() {
    struct Case {
        label: &'static str,
        faults: &'static [(usize, Fault)],
    }
    const FULL_AFTER: Fault = Fault::After(io::ErrorKind::StorageFull);
    let cases = [
        Case {
            label: "sync",
            faults: &[(1, FAILED)],
        },
        Case {
            label: "sync that finds the disk full",
            faults: &[(1, FULL_AFTER)],
        },
        Case {
            label: "write",
            faults: &[(0, FAILED)],
        },
        Case {
            label: "full disk, and the half that was written stays",
            faults: &[(0, FULL), (1, FAILED)],
        },
    ];
    for case in cases {
        let scratch = Scratch::new();
        let faulty = Faulty::default();
        let (mut folder, _) = open(&scratch, LONG, faulty.clone());
        faulty.fail(case.faults);
        let failure = folder.write(&entries(1, 1, 1)).expect_err("it fails");
        assert!(!failure.is_retryable(), "{}", case.label);
        faulty.take_trace();
        let refused = [
            folder.write(&vote(1)),
            folder.save_snapshot(&snapshot(1, 1)),
            folder.compact(log::Index(1)),
        ];
        for refused in refused {
            assert!(
                matches!(refused, Err(error::Error::Failed)),
                "{}",
                case.label
            );
        }
        assert!(faulty.take_trace().is_empty(), "{}", case.label);
    }
}

// Each call that makes something durable has its place: a reply depends on the sync, a file on the
// sync of its directory, a seal on its successor.
#[test]
fn calls_come_in_the_order_that_a_crash_demands() {
    const NEW_FILE: [&str; 4] = ["write", "sync", "rename", "sync_dir"];
    const APPEND: [&str; 2] = ["write", "sync"];
    type Act = fn(&mut folder::Folder<Faulty>);
    struct Case {
        label: &'static str,
        segment_bytes: usize,
        act: Act,
        calls: Vec<&'static str>,
    }
    let received = |folder: &mut folder::Folder<Faulty>| {
        let write = log::LogWrite {
            truncate_from: Some(log::Index(1)),
            snapshot: Some(snapshot(8, 2)),
            ..entries(9, 10, 2)
        };
        folder.write(&write).expect("written");
    };
    let cases = [
        Case {
            label: "nothing",
            segment_bytes: LONG,
            act: |f| f.write(&log::LogWrite::default()).expect("written"),
            calls: vec![],
        },
        Case {
            label: "vote",
            segment_bytes: LONG,
            act: |f| f.write(&vote(1)).expect("written"),
            calls: APPEND.to_vec(),
        },
        Case {
            label: "group commit",
            segment_bytes: LONG,
            act: |f| f.write(&entries(2, 99, 1)).expect("written"),
            calls: APPEND.to_vec(),
        },
        Case {
            label: "new segment",
            segment_bytes: 1,
            act: |f| f.write(&vote(1)).expect("written"),
            calls: [&NEW_FILE[..], &APPEND, &APPEND].concat(),
        },
        Case {
            label: "snapshot",
            segment_bytes: LONG,
            act: |f| f.save_snapshot(&snapshot(1, 1)).expect("saved"),
            calls: NEW_FILE.to_vec(),
        },
        Case {
            label: "received snapshot",
            segment_bytes: LONG,
            act: received,
            calls: [&APPEND[..], &NEW_FILE, &APPEND].concat(),
        },
    ];
    for case in cases {
        let scratch = Scratch::new();
        let faulty = Faulty::default();
        let (mut folder, _) = open(&scratch, case.segment_bytes, faulty.clone());
        folder.write(&entries(1, 1, 1)).expect("written");
        faulty.take_trace();
        (case.act)(&mut folder);
        assert_eq!(faulty.take_trace(), case.calls, "{}", case.label);
    }
}

// A sync failed and the process ended. What is read of the last segment now may be in memory only,
// and its file's sync would find nothing to do; so it is written anew, under another name.
#[test]
fn the_last_segment_is_written_anew_when_the_folder_is_opened() {
    let scratch = Scratch::new();
    open(&scratch, LONG, Faulty::default());
    let faulty = Faulty::default();
    let (_folder, _) = open(&scratch, LONG, faulty.clone());
    let calls = [
        "write", "sync", "rename", "sync_dir", "sync_dir", "sync_dir",
    ];
    assert_eq!(faulty.take_trace(), calls);
}

// The process dies right after a new segment was begun, and again at any call of the next opening.
// Were the new segment removed while the one before still bears its seal, it would be missed.
#[test]
fn an_opening_that_is_cut_short_can_be_made_again() {
    for call in 0..8 {
        let scratch = Scratch::new();
        let faulty = Faulty::default();
        let (mut folder, before) = open(&scratch, 1, faulty.clone());
        folder.write(&entries(1, 1, 1)).expect("written");
        // The first calls begin the segment, this one writes to it.
        faulty.fail(&[(6, Fault::Before(io::ErrorKind::Other))]);
        folder.write(&vote(1)).expect_err("it fails");
        drop(folder);
        fs::write(scratch.last_segment(), first_frame(&scratch)).expect("nothing of it is left");
        let again = Faulty::default();
        again.fail(&[(call, FAILED)]);
        let options = support::options(1);
        drop(folder::Folder::open_with(
            scratch.path(),
            support::VM,
            options,
            again,
        ));
        let expected = after(&before, &entries(1, 1, 1));
        assert_eq!(reopen(&scratch), Ok(expected), "call {call}");
    }
}

/// The last segment's head: length, CRC, payload.
fn first_frame(scratch: &Scratch) -> Vec<u8> {
    let bytes = fs::read(scratch.last_segment()).expect("a segment");
    let len = bytes.first_chunk().copied().map(u32::from_le_bytes);
    let len = usize::try_from(len.expect("a head")).expect("a length");
    bytes[..len + 8].to_vec()
}

// The disk fills up while a new segment is begun, and the log goes on in the old one. Left behind,
// the new one would say that the log ended earlier, and once a snapshot covers that, be believed.
#[test]
fn a_segment_that_could_not_be_begun_is_forgotten() {
    // The segment's own write, and that of the seal before it.
    for call in [0, 4] {
        let scratch = Scratch::new();
        let faulty = Faulty::default();
        let (mut folder, _) = open(&scratch, 1, faulty.clone());
        folder.write(&entries(1, 2, 1)).expect("written");
        faulty.fail(&[(call, FULL)]);
        folder
            .write(&entries(3, 4, 1))
            .expect("there is room in the old segment");
        folder.save_snapshot(&snapshot(2, 1)).expect("saved");
        drop(folder);
        let found = reopen(&scratch).expect("the folder is whole");
        assert_eq!(found.entries, entries(3, 4, 1).entries, "call {call}");
    }
}

// The process dies when a received snapshot is in place and the log doesn't tell of it. The entries
// that follow the snapshot don't follow the log, and would read as a hole.
#[test]
fn the_log_goes_on_after_a_snapshot_that_it_does_not_tell_of() {
    let scratch = Scratch::new();
    let faulty = Faulty::default();
    let (mut folder, before) = open(&scratch, LONG, faulty.clone());
    let write = log::LogWrite {
        snapshot: Some(snapshot(8, 2)),
        ..log::LogWrite::default()
    };
    faulty.fail(&[(4, FAILED)]);
    folder.write(&write).expect_err("it fails");
    drop(folder);
    let (mut folder, found) = open(&scratch, LONG, Faulty::default());
    assert_eq!(found, after(&before, &write));
    folder.write(&entries(9, 9, 2)).expect("written");
    drop(folder);
    assert_eq!(reopen(&scratch), Ok(after(&found, &entries(9, 9, 2))));
}

// A lost disk starts a new generation. The names of both are synced, the old one's first: two
// generations, or none after the start was reported, would be a lost disk again.
#[test]
fn a_start_syncs_what_it_renames() {
    const NEW_FILE: [&str; 4] = ["write", "sync", "rename", "sync_dir"];
    let scratch = Scratch::new();
    open(&scratch, LONG, Faulty::default());
    fs::remove_file(scratch.file("identity")).expect("removed");
    let faulty = Faulty::default();
    let options = support::options(LONG);
    let opened = folder::Folder::open_with(scratch.path(), support::VM, options, faulty.clone());
    let Ok(folder::Opened::Lost { vacant, .. }) = opened else {
        panic!("{opened:?}");
    };
    let start = vacant::Start::New { generation: 5_000 };
    vacant.start_generation(start).expect("started");
    let renamed = ["rename", "sync_dir", "rename", "sync_dir"];
    let opening = ["sync_dir", "sync_dir"];
    let expected = [&NEW_FILE[..], &NEW_FILE, &renamed, &NEW_FILE, &opening].concat();
    assert_eq!(faulty.take_trace(), expected);
}

// A start is cut short at any call. The folder is new, known to have been used, or started; never a
// damaged one that could be taken for new.
#[test]
fn a_start_that_is_cut_short_can_be_made_again() {
    for call in 0..14 {
        let scratch = Scratch::new();
        let faulty = Faulty::default();
        faulty.fail(&[(call, FAILED)]);
        let options = support::options(LONG);
        let opened = folder::Folder::open_with(scratch.path(), support::VM, options, faulty);
        let Ok(folder::Opened::Fresh(vacant)) = opened else {
            panic!("{opened:?}");
        };
        let started = vacant.start_generation(support::first());
        drop(started);
        open(&scratch, LONG, Faulty::default());
        assert_eq!(scratch.segments(), [1], "call {call}");
    }
}
