//! Transfer of configurations in chunks.

use std::net;

use sageshed_fleet::transfer::{
    CHUNK_BYTES, Chunk, ChunkError, ChunkOutcome, NextStep, Payload, Receiver, Sender, TransferId,
};
use sageshed_types::time::{Instant, Millis};

const NOW: Instant = Instant(10_000);

/// Time of a chunk on an idle link.
const QUICK: Millis = Millis(13);

fn ip(last: u8) -> net::Ipv4Addr {
    net::Ipv4Addr::new(10, 0, 0, last)
}

/// A payload of several chunks.
fn bytes() -> Vec<u8> {
    let mut random = fastrand::Rng::with_seed(7);
    (0..CHUNK_BYTES * 5 / 2).map(|_| random.u8(..)).collect()
}

fn sender(from: u64, version: u64, bytes: &[u8]) -> (Sender, TransferId) {
    let mut sender = Sender::default();
    let id = TransferId::new(from, version, bytes);
    sender.keep(NOW, id, bytes.to_vec());
    (sender, id)
}

/// The next chunk to ask for: the control process, the offset and the maximum size.
fn next_chunk(next: NextStep) -> (net::Ipv4Addr, u64, usize) {
    match next {
        NextStep::Ask {
            to, offset, most, ..
        } => (to, offset, most),
        NextStep::Wait => panic!("there is nothing to ask for"),
    }
}

/// Fetches the whole payload. Returns it with the number of chunks.
fn fetch(receiver: &mut Receiver, sender: &mut Sender, id: TransferId) -> (Payload, usize) {
    for count in 1.. {
        let (_, offset, most) = next_chunk(receiver.next(0, None));
        let chunk = sender.chunk(NOW, id, offset, most).expect("a chunk");
        match receiver
            .take(&chunk, QUICK)
            .expect("it follows the received bytes")
        {
            ChunkOutcome::More => {}
            ChunkOutcome::Whole(payload) => return (payload, count),
        }
    }
    unreachable!("the transfer ends")
}

#[test]
fn a_configuration_is_received_in_chunks() {
    let bytes = bytes();
    let (mut sender, id) = sender(0, 7, &bytes);
    let mut receiver = Receiver::default();
    assert_eq!(receiver.next(0, None), NextStep::Wait);
    assert!(receiver.note_version(NOW, ip(1), 7), "it is the newest");
    assert!(!receiver.note_version(NOW, ip(2), 7), "it is already known");
    let (payload, count) = fetch(&mut receiver, &mut sender, id);
    assert_eq!(payload, Payload { id, bytes });
    assert_eq!(count, 3);
    assert_eq!(receiver.next(7, None), NextStep::Wait);
}

/// Guards against a transfer that restarts whenever a call times out.
#[test]
fn received_chunks_are_kept_when_a_call_times_out() {
    let bytes = bytes();
    let (mut sender, id) = sender(0, 7, &bytes);
    let mut receiver = Receiver::default();
    receiver.note_version(NOW, ip(1), 7);
    receiver.note_version(NOW, ip(2), 7);
    let (first, offset, most) = next_chunk(receiver.next(0, Some(ip(1))));
    assert_eq!(first, ip(1));
    let chunk = sender.chunk(NOW, id, offset, most).expect("a chunk");
    receiver.take(&chunk, QUICK).expect("the first one");
    receiver.mark_failed(ip(1));
    let (second, offset, fewer) = next_chunk(receiver.next(0, Some(ip(1))));
    assert_eq!((second, offset), (ip(2), CHUNK_BYTES as u64));
    assert!(fewer < most, "{fewer}");
    assert_eq!(fetch(&mut receiver, &mut sender, id).0.bytes, bytes);
}

/// Guards against frequent changes in which each newer version restarts the transfer.
#[test]
fn a_transfer_continues_while_newer_versions_arrive() {
    let bytes = bytes();
    let (mut sender, id) = sender(0, 7, &bytes);
    let mut receiver = Receiver::default();
    receiver.note_version(NOW, ip(1), 7);
    let chunk = sender.chunk(NOW, id, 0, CHUNK_BYTES).expect("a chunk");
    receiver.take(&chunk, QUICK).expect("the first one");
    for version in 8..=1_000 {
        receiver.note_version(NOW, ip(1), version);
        sender.keep(NOW, TransferId::new(7, version, &[1]), vec![1]);
        assert!(sender.chunk(NOW, id, 0, 1).is_some(), "it is kept");
    }
    let (payload, _) = fetch(&mut receiver, &mut sender, id);
    assert_eq!(payload.id.version, 7);
    assert_ne!(
        receiver.next(7, None),
        NextStep::Wait,
        "a newer one is known"
    );
}

/// An invalid change of a chunk, and the error.
struct Case {
    name: &'static str,
    change: fn(&mut Chunk),
    error: ChunkError,
}

#[test]
fn an_invalid_chunk_is_rejected() {
    let cases = [
        Case {
            name: "a gap",
            change: |it| it.offset += 1,
            error: ChunkError::Gap,
        },
        Case {
            name: "no bytes",
            change: |it| it.bytes.clear(),
            error: ChunkError::Gap,
        },
        Case {
            name: "too large",
            change: |it| it.id.length = u64::MAX,
            error: ChunkError::TooLarge(u64::MAX),
        },
        Case {
            name: "corrupted",
            change: |it| it.bytes[1] ^= 1,
            error: ChunkError::Spoiled,
        },
    ];
    let bytes = vec![1, 2, 3];
    for case in cases {
        let (mut sender, id) = sender(0, 7, &bytes);
        let mut receiver = Receiver::default();
        receiver.note_version(NOW, ip(1), 7);
        let mut chunk = sender.chunk(NOW, id, 0, CHUNK_BYTES).expect("a chunk");
        (case.change)(&mut chunk);
        assert_eq!(
            receiver.take(&chunk, QUICK),
            Err(case.error),
            "{}",
            case.name
        );
        assert_eq!(fetch(&mut receiver, &mut sender, id).0.bytes, bytes);
    }
}

/// Guards against an entry process that asks again and again for a version that a control process no longer has.
#[test]
fn a_control_process_that_has_nothing_newer_is_not_asked_again() {
    let mut receiver = Receiver::default();
    receiver.note_version(NOW, ip(1), 7);
    receiver.has_nothing_newer(ip(1));
    assert_eq!(receiver.next(0, None), NextStep::Wait);
}

#[test]
fn the_nearest_control_process_with_the_newest_version_is_asked() {
    let mut receiver = Receiver::default();
    receiver.note_version(NOW, ip(1), 7);
    receiver.note_version(NOW, ip(2), 8);
    receiver.note_version(NOW, ip(3), 8);
    assert_eq!(next_chunk(receiver.next(0, Some(ip(2)))).0, ip(2));
    assert_eq!(next_chunk(receiver.next(0, Some(ip(3)))).0, ip(3));
    let first = next_chunk(receiver.next(0, Some(ip(1)))).0;
    assert_ne!(first, ip(1), "the near one has an older version");
    receiver.mark_failed(ip(2));
    receiver.mark_failed(ip(3));
    assert_eq!(next_chunk(receiver.next(0, None)).0, ip(1));
    receiver.note_version(NOW, ip(3), 8);
    assert_eq!(
        next_chunk(receiver.next(0, None)).0,
        ip(3),
        "it has announced a version again"
    );
}

#[test]
fn payloads_that_are_not_requested_are_removed() {
    let mut sender = Sender::default();
    let first = TransferId::new(0, 1, &[1]);
    sender.keep(NOW, first, vec![1]);
    assert_eq!(sender.find(0, 1), Some(first));
    for version in 2..100 {
        sender.keep(
            Instant(NOW.0 + version),
            TransferId::new(0, version, &[1]),
            vec![1],
        );
    }
    assert_eq!(sender.find(0, 1), None);
    assert!(sender.chunk(NOW, first, 0, 1).is_none());
}

/// Guards against chunks that fill a slow link for so long that updates of endpoints are given up.
#[test]
fn chunks_that_take_long_become_smaller() {
    let bytes = vec![1; CHUNK_BYTES * 20];
    let (mut sender, id) = sender(0, 7, &bytes);
    let mut receiver = Receiver::default();
    receiver.note_version(NOW, ip(1), 7);
    let mut sizes = Vec::new();
    for took in [Millis(900), Millis(500), Millis(150), QUICK, QUICK, QUICK] {
        let (_, offset, most) = next_chunk(receiver.next(0, None));
        let chunk = sender.chunk(NOW, id, offset, most).expect("a chunk");
        receiver
            .take(&chunk, took)
            .expect("it follows the received bytes");
        sizes.push(most);
    }
    let (whole, half, quarter) = (CHUNK_BYTES, CHUNK_BYTES / 2, CHUNK_BYTES / 4);
    assert_eq!(sizes, [whole, half, quarter, quarter, half, whole]);
}
