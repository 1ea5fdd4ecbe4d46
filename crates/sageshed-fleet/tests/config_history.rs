//! What an entry process is sent of a configuration that is newer than its own.

use sageshed_fleet::{
    compression,
    config_history::{ConfigHistory, FetchReply},
    messages::ConfigReq,
    transfer::Chunk,
};
use sageshed_types::{document::Document, time::Instant};

const NOW: Instant = Instant(10_000);

/// More than any payload of these tests has.
const ALL: usize = 1 << 30;

/// Bytes that a change may take: with 44,000 a day one every two seconds, at 3 KB a second for each VM.
const MOST_BYTES: usize = 6_000;

/// A key that has little in common with others.
fn key(number: u64) -> String {
    let mixed = (number + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    format!("{mixed:016x}")
}

/// A configuration with so many keys, one of them changed with the version.
fn document(version: u64, keys: u64) -> Document {
    let of = |at| key(if at == keys / 2 { keys + version } else { at });
    let keys: Vec<String> = (0..keys).map(of).collect();
    Document {
        version,
        text: format!("{{\"version\":{version},\"keys\":[{}]}}", keys.join(",")),
    }
}

fn ask(history: &mut ConfigHistory, text_held: u64) -> Option<Chunk> {
    let req = ConfigReq {
        text_held,
        transfer: None,
        offset: 0,
        most: ALL,
    };
    answer(history, &req)
}

/// The answer, once its payload is made.
fn answer(history: &mut ConfigHistory, req: &ConfigReq) -> Option<Chunk> {
    if let FetchReply::Compress(job) = history.answer(NOW, req) {
        let bytes = job.run().expect("it can be compressed");
        history.keep_payload(NOW, &job, bytes);
    }
    match history.answer(NOW, req) {
        FetchReply::Chunk(chunk) => Some(chunk),
        FetchReply::Nothing => None,
        FetchReply::Compress(_) => panic!("it was made"),
    }
}

#[test]
fn whoever_holds_a_recent_text_is_sent_the_change() {
    let mut history = ConfigHistory::default();
    assert_eq!(ask(&mut history, 0), None, "there is none");
    history.keep(&document(5, 1_000));
    let whole = ask(&mut history, 0).expect("the first one");
    assert_eq!((whole.id.from, whole.id.version), (0, 5));
    let got = compression::decompress(5, &whole.bytes, &Document::default());
    assert_eq!(got.expect("it is whole"), document(5, 1_000));
    history.keep(&document(6, 1_000));
    let change = ask(&mut history, 5).expect("the one before is held");
    assert_eq!(change.id.from, 5);
    assert!(
        change.bytes.len() < MOST_BYTES,
        "{} bytes",
        change.bytes.len()
    );
    let got = compression::decompress(6, &change.bytes, &document(5, 1_000));
    assert_eq!(got.expect("it fits"), document(6, 1_000));
    assert_eq!(
        ask(&mut history, 5),
        Some(change),
        "another one holds the same"
    );
    assert_eq!(ask(&mut history, 6), None, "it holds the newest");
    assert_eq!(ask(&mut history, 7), None, "it holds a newer one");
    let never = ask(&mut history, 4).expect("one that was never sent");
    assert_eq!(never.id.from, 0);
}

/// Guards against a storm of changes after which entry processes need the whole configuration.
#[test]
fn a_change_of_one_of_the_last_versions_is_enough() {
    let mut history = ConfigHistory::default();
    for version in 1..=40 {
        history.keep(&document(version, 1_000));
    }
    for held in 1..40 {
        let chunk = ask(&mut history, held).expect("it is older");
        assert_eq!(chunk.id.from, held);
    }
}

/// Guards against large configurations that take all of a control process's memory.
#[test]
fn old_configurations_are_forgotten_by_their_size() {
    let large = 500_000;
    let mut history = ConfigHistory::default();
    for version in 1..=4 {
        history.keep(&document(version, large));
    }
    assert_eq!(ask(&mut history, 1).expect("it is older").id.from, 0);
    assert_eq!(ask(&mut history, 3).expect("it is older").id.from, 3);
}

/// Guards against a transfer that begins anew when another control process goes on with it.
#[test]
fn another_control_process_goes_on_with_a_transfer() {
    let (mut first, mut second) = (ConfigHistory::default(), ConfigHistory::default());
    first.keep(&document(5, 1_000));
    second.keep(&document(5, 1_000));
    let whole = ask(&mut first, 0).expect("the first one");
    let req = ConfigReq {
        text_held: 0,
        transfer: Some(whole.id),
        offset: 100,
        most: ALL,
    };
    let rest = answer(&mut second, &req).expect("it has the same");
    assert_eq!((rest.id, rest.offset), (whole.id, 100));
    assert_eq!(rest.bytes, whole.bytes[100..]);
}
