//! What an entry process is sent of a configuration that is newer than its own.

use sageshed_fleet::changes::Sent;
use sageshed_types::document::Document;

/// A configuration whose keys begin with so many others.
fn document(version: u64) -> Document {
    let keys: Vec<String> = (0..1_000).map(|at| format!("key-{at}")).collect();
    Document {
        version,
        text: format!("{{\"version\":{version},\"keys\":[{}]}}", keys.join(",")),
    }
}

#[test]
fn whoever_holds_a_recent_text_is_sent_the_change() {
    let mut sent = Sent::default();
    assert_eq!(sent.change(&document(5), 0), None, "it holds none");
    let change = sent.change(&document(6), 5).expect("the one before");
    assert!(change.middle.len() < 10, "{change:?}");
    assert_eq!(document(5).changed_by(&change), Some(document(6)));
    // Another one holds the same.
    assert_eq!(sent.change(&document(6), 5), Some(change));
    assert_eq!(sent.change(&document(6), 6), None, "it holds the newest");
    assert_eq!(
        sent.change(&document(6), 4),
        None,
        "one that was never sent"
    );
    for version in 7..12 {
        assert!(sent.change(&document(version), version - 1).is_some());
    }
    assert_eq!(
        sent.change(&document(11), 6),
        None,
        "one that is no longer kept"
    );
    assert_eq!(sent.change(&document(11), 12), None, "a newer one");
}

#[test]
fn a_change_of_nearly_all_is_not_worth_it() {
    let mut sent = Sent::default();
    assert_eq!(sent.change(&document(5), 0), None);
    let other = Document {
        version: 6,
        text: "x".repeat(8_000),
    };
    assert_eq!(sent.change(&other, 5), None);
}
