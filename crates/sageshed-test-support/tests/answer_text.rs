//! The check of answers finds what tests and the load tool rely on it to find.

use sageshed_test_support::answer_text;

#[test]
fn a_changed_answer_is_found() {
    struct Case {
        what: &'static str,
        text: String,
        good: bool,
    }
    let tokens = answer_text::tokens("r1", "mark-1", "run-1", 8);
    let other = answer_text::tokens("r1", "mark-1", "run-2", 8);
    let text = |tokens: &[String]| tokens.concat();
    let of = |what, text, good| Case { what, text, good };
    let cases = [
        of("whole", text(&tokens), true),
        of(
            "the least",
            text(&answer_text::tokens("r1", "mark-1", "run-1", 2)),
            true,
        ),
        of("cut", text(&tokens[..5]), false),
        of(
            "a token lost",
            text(&[&tokens[..3], &tokens[4..]].concat()),
            false,
        ),
        of(
            "a token twice",
            text(&[&tokens[..4], &tokens[3..]].concat()),
            false,
        ),
        of(
            "spliced from two runs",
            text(&[&tokens[..4], &other[4..]].concat()),
            false,
        ),
        of(
            "another request's",
            text(&answer_text::tokens("r2", "mark-1", "run-1", 8)),
            false,
        ),
        of(
            "another caller's",
            text(&answer_text::tokens("r1", "mark-2", "run-1", 8)),
            false,
        ),
        of("nothing", String::new(), false),
    ];
    for case in cases {
        let found = answer_text::check(&case.text, Some("r1"), "mark-1");
        assert_eq!(found.is_ok(), case.good, "{}: {found:?}", case.what);
    }
}
