//! What makes one configuration of another, and what is made of a change that does not fit.

use sageshed_types::document::Document;

fn document(version: u64, text: &str) -> Document {
    Document {
        version,
        text: text.to_owned(),
    }
}

/// Two texts and how many bytes the change from one to the other holds at the most.
struct Case {
    name: &'static str,
    before: &'static str,
    after: &'static str,
    most: usize,
}

#[test]
fn a_change_makes_the_new_text_of_the_old() {
    let case = |name, before, after, most| Case {
        name,
        before,
        after,
        most,
    };
    let cases = [
        case("nothing", "abc", "abc", 0),
        case("one put in", "[1,2,3]", "[1,2,9,3]", 2),
        case("one taken away", "[1,2,9,3]", "[1,2,3]", 0),
        case("one of many equal ones put in", "aaaa", "aaaaa", 1),
        case("one of many equal ones taken away", "aaaaa", "aaaa", 0),
        case("the beginning", "xabc", "yabc", 1),
        case("the end", "abcx", "abcy", 1),
        case("all", "abc", "xyz", 3),
        case("from nothing", "", "abc", 3),
        case("to nothing", "abc", "", 0),
        case("inside a character", "a\u{e4}b", "a\u{f6}b", 2),
        case(
            "characters that share their last byte",
            "\u{e4}",
            "\u{1e4}",
            2,
        ),
    ];
    for case in cases {
        let before = document(3, case.before);
        let after = document(7, case.after);
        let change = after.change_from(&before);
        assert!(
            change.middle.len() <= case.most,
            "{}: {:?}",
            case.name,
            change.middle
        );
        assert_eq!(before.changed_by(&change), Some(after), "{}", case.name);
    }
}

/// An entry process holds another text than the control process takes it for, or the change was spoiled. It must
/// not put a configuration in force that no operator has sent.
#[test]
fn a_change_that_does_not_fit_makes_nothing() {
    let before = document(3, "{\"keys\":[1,2,3]}");
    let after = document(7, "{\"keys\":[1,2,9,3]}");
    let change = after.change_from(&before);
    assert_eq!(
        document(4, &before.text).changed_by(&change),
        None,
        "another version"
    );
    let other = document(3, "{\"keys\":[4,2,3]}");
    assert_eq!(other.changed_by(&change), None, "another text");
    assert_eq!(document(3, "").changed_by(&change), None, "no text");
    let spoiled = |spoil: fn(&mut sageshed_types::document::Change)| {
        let mut change = change.clone();
        spoil(&mut change);
        before.changed_by(&change)
    };
    assert_eq!(spoiled(|it| it.front += 1), None);
    assert_eq!(spoiled(|it| it.front = 10_000), None);
    assert_eq!(spoiled(|it| it.back = usize::MAX), None);
    assert_eq!(spoiled(|it| it.middle.push('x')), None);
}

#[test]
fn what_is_printed_of_a_document_leaves_its_text_out() {
    let before = document(3, "{\"keys\":[\"sesame\"]}");
    let after = document(7, "{\"keys\":[\"sesame\",\"barley\"]}");
    let shown = format!("{before:?} {:?}", after.change_from(&before));
    assert!(
        !shown.contains("sesame") && !shown.contains("barley"),
        "{shown}"
    );
}
