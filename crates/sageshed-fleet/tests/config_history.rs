//! What an entry process is sent of a newer configuration.

use sageshed_fleet::{
    compression,
    config_history::{ConfigHistory, FetchReply},
    messages::ConfigReq,
    transfer::Chunk,
};
use sageshed_types::{document::Document, time::Instant};

const NOW: Instant = Instant(10_000);

/// Chunk size above that of any payload in these tests.
const ALL: usize = 1 << 30;

/// Maximum bytes of a change: 44,000 changes a day, one every two seconds, are to take at most 3 KB a second for each
/// VM.
const MAX_CHANGE_BYTES: usize = 6_000;

/// A key that doesn't compress.
fn key(number: u64) -> String {
    let mixed = (number + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    format!("{mixed:016x}")
}

/// A configuration with this number of keys, one of which differs in each version.
fn document(version: u64, keys: u64) -> Document {
    let of = |at| key(if at == keys / 2 { keys + version } else { at });
    let keys: Vec<String> = (0..keys).map(of).collect();
    Document {
        version,
        text: format!("{{\"version\":{version},\"keys\":[{}]}}", keys.join(",")),
    }
}

fn fetch(history: &mut ConfigHistory, text_held: u64) -> Option<Chunk> {
    let req = ConfigReq {
        text_held,
        transfer: None,
        offset: 0,
        most: ALL,
    };
    reply(history, &req)
}

/// The reply to `req`, with its payload compressed where needed.
fn reply(history: &mut ConfigHistory, req: &ConfigReq) -> Option<Chunk> {
    if let FetchReply::Compress(job) = history.reply(NOW, req) {
        let bytes = job.run().expect("it can be compressed");
        history.keep_payload(NOW, &job, bytes);
    }
    match history.reply(NOW, req) {
        FetchReply::Chunk(chunk) => Some(chunk),
        FetchReply::Nothing => None,
        FetchReply::Compress(_) => panic!("it was compressed"),
    }
}

#[test]
fn a_holder_of_a_recent_text_is_sent_the_change() {
    let mut history = ConfigHistory::default();
    assert_eq!(fetch(&mut history, 0), None, "there is none");
    history.keep(&document(5, 1_000));
    let whole = fetch(&mut history, 0).expect("the first one");
    assert_eq!((whole.id.from, whole.id.version), (0, 5));
    let got = compression::decompress(5, &whole.bytes, &Document::default());
    assert_eq!(got.expect("it is whole"), document(5, 1_000));
    history.keep(&document(6, 1_000));
    let change = fetch(&mut history, 5).expect("the previous one is held");
    assert_eq!(change.id.from, 5);
    assert!(
        change.bytes.len() < MAX_CHANGE_BYTES,
        "{} bytes",
        change.bytes.len()
    );
    let got = compression::decompress(6, &change.bytes, &document(5, 1_000));
    assert_eq!(got.expect("it fits"), document(6, 1_000));
    assert_eq!(
        fetch(&mut history, 5),
        Some(change),
        "for another process with the same text"
    );
    assert_eq!(fetch(&mut history, 6), None, "it holds the newest");
    assert_eq!(fetch(&mut history, 7), None, "it holds a newer one");
    let never = fetch(&mut history, 4).expect("the text is not known");
    assert_eq!(never.id.from, 0);
}

/// Guards against frequent changes after which entry processes need the whole configuration.
#[test]
fn a_change_of_one_of_the_last_versions_is_enough() {
    let mut history = ConfigHistory::default();
    for version in 1..=40 {
        history.keep(&document(version, 1_000));
    }
    for held in 1..40 {
        let chunk = fetch(&mut history, held).expect("it is older");
        assert_eq!(chunk.id.from, held);
    }
}

/// Guards against old configurations that exhaust a control process's memory.
#[test]
fn old_configurations_are_forgotten_by_their_size() {
    let large = 500_000;
    let mut history = ConfigHistory::default();
    for version in 1..=4 {
        history.keep(&document(version, large));
    }
    assert_eq!(fetch(&mut history, 1).expect("it is older").id.from, 0);
    assert_eq!(fetch(&mut history, 3).expect("it is older").id.from, 3);
}

/// Guards against a transfer that restarts when another control process continues it.
#[test]
fn another_control_process_continues_a_transfer() {
    let (mut first, mut second) = (ConfigHistory::default(), ConfigHistory::default());
    first.keep(&document(5, 1_000));
    second.keep(&document(5, 1_000));
    let whole = fetch(&mut first, 0).expect("the first one");
    let req = ConfigReq {
        text_held: 0,
        transfer: Some(whole.id),
        offset: 100,
        most: ALL,
    };
    let rest = reply(&mut second, &req).expect("it has the same");
    assert_eq!((rest.id, rest.offset), (whole.id, 100));
    assert_eq!(rest.bytes, whole.bytes[100..]);
}
