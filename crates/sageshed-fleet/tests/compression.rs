//! Compression of configurations against another one.

use sageshed_fleet::compression;
use sageshed_types::document::Document;

/// Maximum bytes of a change: 44,000 changes a day, one every two seconds, are to take at most 3 KB a second for each
/// VM.
const MAX_CHANGE_BYTES: usize = 6_000;

fn document(version: u64, text: &str) -> Document {
    Document {
        version,
        text: text.to_owned(),
    }
}

/// The text of the receiver and the new text.
struct Case {
    name: &'static str,
    before: String,
    after: String,
}

#[test]
fn what_is_compressed_decompresses_to_the_same() {
    let case = |name, before: &str, after: &str| Case {
        name,
        before: before.to_owned(),
        after: after.to_owned(),
    };
    let many: Vec<_> = (0..100_000).map(|it| format!("route-{it},")).collect();
    let many = many.concat();
    let cases = [
        case("nothing", "", ""),
        case("the same", "abc", "abc"),
        case("from nothing", "", "abc"),
        case("to nothing", "abc", ""),
        case("one inserted", "[1,2,3]", "[1,2,9,3]"),
        case("characters of several bytes", "a\u{e4}b", "a\u{f6}\u{1e4}b"),
        case("all of a large one", "", &many),
        case("the end of a large one", &many, &(many.clone() + "x")),
        case(
            "the beginning of a large one",
            &many,
            &("x".to_owned() + &many),
        ),
    ];
    for case in cases {
        let before = document(3, &case.before);
        let after = document(7, &case.after);
        let bytes = compression::compress(&after, &before).expect(case.name);
        let got = compression::decompress(7, &bytes, &before).expect(case.name);
        assert_eq!(got, after, "{}", case.name);
    }
}

/// Guards against changes whose size grows with that of the configuration. The edits are far apart, since each change
/// also edits the version at the beginning.
#[test]
fn edits_far_apart_take_few_bytes() {
    let many = |edited: usize| -> String {
        let name = |at: usize| if at == edited { 0 } else { at + 1 };
        let names = (0..200_000).map(|at| (name(at) as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let names: Vec<_> = names.map(|it| format!("{it:016x},")).collect();
        names.concat()
    };
    let before = document(3, &format!("3 {} end", many(100_000)));
    let after = document(7, &format!("7 {} END", many(150_000)));
    let bytes = compression::compress(&after, &before).expect("it can be compressed");
    assert!(bytes.len() < MAX_CHANGE_BYTES, "{} bytes", bytes.len());
    let got = compression::decompress(7, &bytes, &before);
    assert_eq!(got.expect("it fits"), after);
}

/// An entry process holds another text than the control process assumes, or the bytes are corrupted. It must not use a
/// configuration that no operator has sent.
#[test]
fn a_change_that_does_not_fit_is_rejected() {
    let text = |last: &str| {
        let keys: Vec<_> = (0..500).map(|it| format!("key-{it}")).collect();
        format!("{{\"keys\":[{},{last}]}}", keys.join(","))
    };
    let before = document(3, &text("a"));
    let bytes =
        compression::compress(&document(7, &text("b")), &before).expect("it can be compressed");
    let other = document(3, &text("a").replace("key-7,", "yek-7,"));
    assert!(
        compression::decompress(7, &bytes, &other).is_err(),
        "another text"
    );
    let none = Document::default();
    assert!(
        compression::decompress(7, &bytes, &none).is_err(),
        "no text"
    );
    for at in 0..bytes.len() {
        let mut corrupted = bytes.clone();
        corrupted[at] ^= 1;
        let got = compression::decompress(7, &corrupted, &before);
        assert!(
            got.is_err() || got.is_ok_and(|it| it.text == text("b")),
            "byte {at}"
        );
        assert!(
            compression::decompress(7, &bytes[..at], &before).is_err(),
            "cut at {at}"
        );
    }
}
