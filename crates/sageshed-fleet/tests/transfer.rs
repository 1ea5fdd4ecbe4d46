//! Which chunks of a configuration are fetched, and what becomes of them.

use std::net;

use sageshed_fleet::transfer::{
    CHUNK_BYTES, Chunk, ChunkError, ChunkOutcome, NextStep, Payload, Receiver, Sender, TransferId,
};
use sageshed_types::time::{Instant, Millis};

const NOW: Instant = Instant(10_000);

/// How long a chunk takes on an idle link.
const QUICK: Millis = Millis(13);

fn ip(last: u8) -> net::Ipv4Addr {
    net::Ipv4Addr::new(10, 0, 0, last)
}

/// Bytes of a configuration that takes several chunks.
fn bytes() -> Vec<u8> {
    let mut random = fastrand::Rng::with_seed(7);
    (0..CHUNK_BYTES * 5 / 2).map(|_| random.u8(..)).collect()
}

fn outgoing(from: u64, version: u64, bytes: &[u8]) -> (Sender, TransferId) {
    let mut outgoing = Sender::default();
    let id = TransferId::new(from, version, bytes);
    outgoing.keep(NOW, id, bytes.to_vec());
    (outgoing, id)
}

/// What is asked for next: whom, from which byte on, and how many.
fn asked(next: NextStep) -> (net::Ipv4Addr, u64, usize) {
    match next {
        NextStep::Ask {
            to, offset, most, ..
        } => (to, offset, most),
        NextStep::Wait => panic!("nothing is asked for"),
    }
}

/// Fetches until nothing is left to do. Returns what came, and how many chunks it took.
fn fetch(incoming: &mut Receiver, outgoing: &mut Sender, id: TransferId) -> (Payload, usize) {
    for count in 1.. {
        let (_, offset, most) = asked(incoming.next(0, None));
        let chunk = outgoing.chunk(NOW, id, offset, most).expect("a chunk");
        match incoming
            .take(&chunk, QUICK)
            .expect("it continues what has come")
        {
            ChunkOutcome::More => {}
            ChunkOutcome::Whole(payload) => return (payload, count),
        }
    }
    unreachable!("the transfer ends")
}

#[test]
fn a_configuration_comes_in_pieces() {
    let bytes = bytes();
    let (mut outgoing, id) = outgoing(0, 7, &bytes);
    let mut incoming = Receiver::default();
    assert_eq!(incoming.next(0, None), NextStep::Wait);
    assert!(incoming.note_version(NOW, ip(1), 7), "it is news");
    assert!(
        !incoming.note_version(NOW, ip(2), 7),
        "another tells the same"
    );
    let (payload, count) = fetch(&mut incoming, &mut outgoing, id);
    assert_eq!(payload, Payload { id, bytes });
    assert_eq!(count, 3);
    assert_eq!(incoming.next(7, None), NextStep::Wait);
}

/// Guards against a transfer that begins anew whenever a call runs out of time.
#[test]
fn what_has_come_stays_when_a_call_runs_out_of_time() {
    let bytes = bytes();
    let (mut outgoing, id) = outgoing(0, 7, &bytes);
    let mut incoming = Receiver::default();
    incoming.note_version(NOW, ip(1), 7);
    incoming.note_version(NOW, ip(2), 7);
    let (first, offset, most) = asked(incoming.next(0, Some(ip(1))));
    assert_eq!(first, ip(1));
    let chunk = outgoing.chunk(NOW, id, offset, most).expect("a chunk");
    incoming.take(&chunk, QUICK).expect("the first one");
    incoming.mark_failed(ip(1));
    let (second, offset, fewer) = asked(incoming.next(0, Some(ip(1))));
    assert_eq!((second, offset), (ip(2), CHUNK_BYTES as u64));
    assert!(fewer < most, "{fewer}");
    assert_eq!(fetch(&mut incoming, &mut outgoing, id).0.bytes, bytes);
}

/// Guards against a storm of changes in which each newer version begins the transfer anew.
#[test]
fn a_transfer_goes_on_while_newer_versions_come() {
    let bytes = bytes();
    let (mut outgoing, id) = outgoing(0, 7, &bytes);
    let mut incoming = Receiver::default();
    incoming.note_version(NOW, ip(1), 7);
    let chunk = outgoing.chunk(NOW, id, 0, CHUNK_BYTES).expect("a chunk");
    incoming.take(&chunk, QUICK).expect("the first one");
    for version in 8..=1_000 {
        incoming.note_version(NOW, ip(1), version);
        outgoing.keep(NOW, TransferId::new(7, version, &[1]), vec![1]);
        assert!(outgoing.chunk(NOW, id, 0, 1).is_some(), "it is kept");
    }
    let (payload, _) = fetch(&mut incoming, &mut outgoing, id);
    assert_eq!(payload.id.version, 7);
    assert_ne!(
        incoming.next(7, None),
        NextStep::Wait,
        "a newer one is there"
    );
}

/// A chunk that is not what was asked for, and what is said of it.
struct Case {
    name: &'static str,
    spoil: fn(&mut Chunk),
    error: ChunkError,
}

#[test]
fn a_piece_that_does_not_fit_is_refused() {
    let cases = [
        Case {
            name: "a gap",
            spoil: |it| it.offset += 1,
            error: ChunkError::Gap,
        },
        Case {
            name: "no bytes",
            spoil: |it| it.bytes.clear(),
            error: ChunkError::Gap,
        },
        Case {
            name: "too large",
            spoil: |it| it.id.length = u64::MAX,
            error: ChunkError::TooLarge(u64::MAX),
        },
        Case {
            name: "spoiled",
            spoil: |it| it.bytes[1] ^= 1,
            error: ChunkError::Spoiled,
        },
    ];
    let bytes = vec![1, 2, 3];
    for case in cases {
        let (mut outgoing, id) = outgoing(0, 7, &bytes);
        let mut incoming = Receiver::default();
        incoming.note_version(NOW, ip(1), 7);
        let mut chunk = outgoing.chunk(NOW, id, 0, CHUNK_BYTES).expect("a chunk");
        (case.spoil)(&mut chunk);
        assert_eq!(
            incoming.take(&chunk, QUICK),
            Err(case.error),
            "{}",
            case.name
        );
        assert_eq!(fetch(&mut incoming, &mut outgoing, id).0.bytes, bytes);
    }
}

/// Guards against an entry process that asks on and on for what a control process no longer has.
#[test]
fn a_control_process_that_has_nothing_newer_is_asked_no_more() {
    let mut incoming = Receiver::default();
    incoming.note_version(NOW, ip(1), 7);
    incoming.has_nothing_newer(ip(1));
    assert_eq!(incoming.next(0, None), NextStep::Wait);
}

#[test]
fn whoever_has_the_newest_is_asked_and_of_these_the_near_one() {
    let mut incoming = Receiver::default();
    incoming.note_version(NOW, ip(1), 7);
    incoming.note_version(NOW, ip(2), 8);
    incoming.note_version(NOW, ip(3), 8);
    assert_eq!(asked(incoming.next(0, Some(ip(2)))).0, ip(2));
    assert_eq!(asked(incoming.next(0, Some(ip(3)))).0, ip(3));
    let first = asked(incoming.next(0, Some(ip(1)))).0;
    assert_ne!(first, ip(1), "the near one has an older version");
    incoming.mark_failed(ip(2));
    incoming.mark_failed(ip(3));
    assert_eq!(asked(incoming.next(0, None)).0, ip(1));
    incoming.note_version(NOW, ip(3), 8);
    assert_eq!(asked(incoming.next(0, None)).0, ip(3), "it is heard again");
}

#[test]
fn payloads_that_nobody_asks_for_are_forgotten() {
    let mut outgoing = Sender::default();
    let first = TransferId::new(0, 1, &[1]);
    outgoing.keep(NOW, first, vec![1]);
    assert_eq!(outgoing.find(0, 1), Some(first));
    for version in 2..100 {
        outgoing.keep(
            Instant(NOW.0 + version),
            TransferId::new(0, version, &[1]),
            vec![1],
        );
    }
    assert_eq!(outgoing.find(0, 1), None);
    assert!(outgoing.chunk(NOW, first, 0, 1).is_none());
}

/// Guards against chunks that fill a slow link for so long that news of endpoints is given up.
#[test]
fn pieces_that_take_long_become_smaller() {
    let bytes = vec![1; CHUNK_BYTES * 20];
    let (mut outgoing, id) = outgoing(0, 7, &bytes);
    let mut incoming = Receiver::default();
    incoming.note_version(NOW, ip(1), 7);
    let mut sizes = Vec::new();
    for took in [Millis(900), Millis(500), Millis(150), QUICK, QUICK, QUICK] {
        let (_, offset, most) = asked(incoming.next(0, None));
        let chunk = outgoing.chunk(NOW, id, offset, most).expect("a chunk");
        incoming.take(&chunk, took).expect("it continues");
        sizes.push(most);
    }
    let (whole, half, quarter) = (CHUNK_BYTES, CHUNK_BYTES / 2, CHUNK_BYTES / 4);
    assert_eq!(sizes, [whole, half, quarter, quarter, half, whole]);
}
