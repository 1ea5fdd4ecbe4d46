//! Rules: matching, actions, static checks and rate limits.

mod common;

use sageshed_decide::{event, limits, names, rules};
use sageshed_types::{rules as types_rules, time, verdict};

/// Parses a rule in the format that operators use.
fn rule(text: &str) -> types_rules::Rule {
    toml::from_str(text).unwrap_or_else(|e| panic!("{text}: {e}"))
}

fn set(rules: &[&str]) -> types_rules::RuleSet {
    types_rules::RuleSet {
        revision: types_rules::Revision(1),
        rules: rules.iter().map(|text| rule(text)).collect(),
    }
}

const ROUTE: &str = "id = 'r'\ndo = { route = {} }\n";

struct Match {
    when: &'static str,
    target: &'static str,
    matches: bool,
}

const fn case(when: &'static str, target: &'static str, matches: bool) -> Match {
    Match {
        when,
        target,
        matches,
    }
}

const MATCHES: &[Match] = &[
    case("", "sort", true),
    case("model = ['sort']", "sort", true),
    case("model = ['sort']", "sort-leith", true),
    case("model = ['sort']", "draft", false),
    case("model = ['draft', 'sort']", "draft", true),
    case("adapter = ['sort-leith']", "sort-leith", true),
    case("adapter = ['sort-leith']", "sort", false),
    case("model = ['sort-leith']", "sort-leith", true),
    case("model = ['sort']", "dispatch", false),
    case("service = ['dispatch']", "dispatch", true),
    case("service = ['dispatch']", "sort", false),
    // A typo must not widen a rule to everything.
    case("model = ['srot']", "sort", false),
    case("caller = ['pub']", "sort", true),
    case("caller = ['council']", "sort", false),
    case("class = ['usual', 'idle']", "sort", true),
    case("class = ['urgent']", "sort", false),
    case("availability_zone = ['az1']", "sort", true),
    case("availability_zone = ['az2']", "sort", false),
    case("streaming = false", "sort", true),
    case("streaming = true", "sort", false),
    case("not_repeatable = true", "sort", false),
    case("prompt_tokens = { min = 100 }", "sort", true),
    case("prompt_tokens = { min = 101 }", "sort", false),
    case("priority = { min = 4, max = 5 }", "sort", true),
    case("priority = { max = 4 }", "sort", false),
    case("model = ['sort']\nclass = ['idle']", "sort", false),
];

#[test]
fn conditions_match() {
    for case in MATCHES {
        let mut harness = common::Harness::new(common::settings());
        let rule = rule(&format!("{ROUTE}[when]\n{}", case.when));
        harness.install(1, vec![rule]);
        let target = harness.request_info(case.target).target;
        let (req, _) = harness.arrive(|info| info.target = target);
        let by = harness
            .decider
            .request_trace(req)
            .and_then(|trace| trace.rule);
        let wanted = if case.matches { "r" } else { "default" };
        assert_eq!(
            by.as_deref(),
            Some(wanted),
            "{} for {}",
            case.when,
            case.target
        );
    }
}

#[test]
fn first_match_wins_past_the_first_word() {
    let names = &mut names::Names::new(&common::settings());
    let mut rules = (0..70)
        .map(|i| {
            rule(&format!(
                "id = 'n{i}'\ndo = {{ route = {{}} }}\nwhen = {{ model = ['draft'] }}"
            ))
        })
        .collect::<Vec<_>>();
    rules.push(rule(
        "id = 'first'\ndo = { route = {} }\nwhen = { model = ['sort'] }",
    ));
    rules.push(rule("id = 'second'\ndo = { refuse = {} }"));
    let set = types_rules::RuleSet {
        revision: types_rules::Revision(1),
        rules,
    };
    let compiled = rules::Compiled::new(set, &rules::Compiled::default(), names);
    let query = |target| rules::Query {
        caller: names.callers.get("pub").expect("known"),
        class: names.classes.get("usual").expect("known"),
        target,
        streaming: false,
        not_repeatable: false,
        prompt_tokens: 0,
        priority: 5,
    };
    let by = |target| {
        compiled
            .first_match(&query(target))
            .map(|rule| rule.id.to_string())
    };
    assert_eq!(
        by(names.model("sort").expect("known")).as_deref(),
        Some("first")
    );
    assert_eq!(
        by(names.model("draft").expect("known")).as_deref(),
        Some("n0")
    );
    assert_eq!(
        by(names.service("dispatch").expect("known")).as_deref(),
        Some("second")
    );
}

struct ActionCase {
    rule: &'static str,
    expected: &'static str,
}

const fn act(rule: &'static str, expected: &'static str) -> ActionCase {
    ActionCase { rule, expected }
}

const ACTION_CASES: &[ActionCase] = &[
    act("do = { route = {} }", "send"),
    act("do = { route = { pool = 'callout' } }", "send"),
    act("do = { route = { pool = 'other' } }", "no_route not_run"),
    act("do = { route = { model = 'sort-leith' } }", "send"),
    act("do = { route = { model = 'missing' } }", "no_route not_run"),
    act(
        "do = { refuse = { reason = 'closed' } }",
        "rule_refused not_run",
    ),
    act("do = { route = {} }\nnot_repeatable = true", "claim"),
    act("do = { limit = { rate = 1.0, burst = 1.0 } }", "send"),
];

#[test]
fn actions_are_applied() {
    for case in ACTION_CASES {
        let mut harness = common::Harness::with_engines(common::settings(), &["e1"]);
        harness.install(1, vec![rule(&format!("id = 'r'\n{}", case.rule))]);
        let (req, actions) = harness.arrive(|_| {});
        assert_eq!(
            common::summary(&actions, req),
            case.expected,
            "{}",
            case.rule
        );
        let refusal = common::refused(&actions, req);
        assert!(
            refusal.is_none_or(|r| r.rule.as_deref() == Some("r")),
            "{}",
            case.rule
        );
    }
}

/// Guards against a rule overriding the non-repeatable mark of a caller, so that the request could run
/// twice. A rule may only override a mark that comes from the HTTP method.
#[test]
fn rule_does_not_lift_a_callers_own_mark() {
    for (by_default, expected) in [(true, "send"), (false, "claim")] {
        let mut harness = common::Harness::new(common::settings());
        harness.report(common::service_report("s1", 1, 4));
        harness.install(
            1,
            vec![rule(
                "id = 'r'\nnot_repeatable = false\ndo = { route = {} }",
            )],
        );
        let target = harness.request_info("dispatch").target;
        let (req, actions) = harness.arrive(|info| {
            info.target = target;
            info.not_repeatable = true;
            info.not_repeatable_by_default = by_default;
        });
        assert_eq!(common::summary(&actions, req), expected);
    }
}

/// Guards against a delayed copy of an earlier configuration bringing back a withdrawn rule.
#[test]
fn older_revision_is_not_installed() {
    let mut harness = common::Harness::with_engines(common::settings(), &["e1"]);
    assert!(harness.install(5, Vec::new()));
    assert!(!harness.install(4, vec![rule("id = 'old'\ndo = { refuse = {} }")]));
    assert_eq!(harness.decider.revision(), types_rules::Revision(5));
    let (req, actions) = harness.arrive(|_| {});
    assert_eq!(common::summary(&actions, req), "send");
}

struct Checked {
    rules: &'static [&'static str],
    level: rules::Level,
    problem: &'static str,
}

const WARNING: rules::Level = rules::Level::Warning;
const ERROR: rules::Level = rules::Level::Error;

const fn checked(
    rules: &'static [&'static str],
    level: rules::Level,
    problem: &'static str,
) -> Checked {
    Checked {
        rules,
        level,
        problem,
    }
}

const CHECKED: &[Checked] = &[
    checked(
        &[
            "id = 'a'\ndo = {route={}}",
            "id = 'a'\nwhen = {}\ndo = {route={}}",
        ],
        ERROR,
        "same id",
    ),
    checked(
        &["id = 'default'\ndo = {route={}}"],
        ERROR,
        "stands for the case",
    ),
    checked(&["id = 'a b'\ndo = {route={}}"], ERROR, "is not valid"),
    checked(
        &["id = 'a'\nwhen = {model=['srot']}\ndo = {route={}}"],
        ERROR,
        "no model `srot`",
    ),
    checked(
        &["id = 'a'\nwhen = {adapter=['sort']}\ndo = {route={}}"],
        ERROR,
        "not an adapter",
    ),
    checked(
        &["id = 'a'\nwhen = {prompt_tokens={min=2,max=1}}\ndo = {route={}}"],
        ERROR,
        "above its greatest",
    ),
    checked(&["id = 'a'\ndo = {route={priority=10}}"], ERROR, "above 9"),
    checked(
        &["id = 'a'\ndo = {route={pool='nowhere'}}"],
        WARNING,
        "pool `nowhere`",
    ),
    checked(
        &["id = 'a'\ndo = {limit={rate=0.0,burst=1.0}}"],
        ERROR,
        "not above 0",
    ),
    checked(
        &["id = 'a'\ndo = {limit={rate=1.0,burst=0.5}}"],
        ERROR,
        "below 1",
    ),
    checked(
        &["id = 'a'\nwhen = {model=['sort'],service=['dispatch']}\ndo = {route={}}"],
        WARNING,
        "no request can match",
    ),
    checked(
        &[
            "id = 'a'\ndo = {route={}}",
            "id = 'b'\nwhen = {model=['sort']}\ndo = {refuse={}}",
        ],
        WARNING,
        "earlier rule `a`",
    ),
    checked(
        &[
            "id = 'a'\nwhen = {model=['sort']}\ndo = {route={}}",
            "id = 'b'\nwhen = {adapter=['sort-leith']}\ndo = {refuse={}}",
        ],
        WARNING,
        "earlier rule `a`",
    ),
];

#[test]
fn checks_find_problems() {
    let names = names::Names::new(&common::settings());
    for case in CHECKED {
        let found = rules::check(&set(case.rules), &names);
        let hit = found
            .iter()
            .any(|f| f.level == case.level && f.problem.contains(case.problem));
        assert!(hit, "{:?}: {found:?}", case.rules);
    }
    let fine = set(&[
        "id = 'a'\nwhen = {adapter=['sort-leith']}\ndo = {route={}}",
        "id = 'b'\nwhen = {model=['sort'],streaming=true}\ndo = {refuse={}}",
        "id = 'c'\nwhen = {model=['sort'],prompt_tokens={min=5}}\ndo = {refuse={}}",
        "id = 'd'\ndo = {limit={rate=1.0,burst=1.0,per='caller'}}",
    ]);
    assert_eq!(rules::check(&fine, &names), Vec::new());
}

struct Limited {
    per: &'static str,
    /// The index of the caller of the second request.
    second: u32,
    expected: &'static str,
}

const fn limited(per: &'static str, second: u32, expected: &'static str) -> Limited {
    Limited {
        per,
        second,
        expected,
    }
}

const LIMITED: &[Limited] = &[
    limited("rule", 1, "rule_limit not_run"),
    limited("caller", 0, "rule_limit not_run"),
    limited("caller", 1, "send"),
    limited("class", 1, "rule_limit not_run"),
    limited("model", 1, "rule_limit not_run"),
];

#[test]
fn limits_apply_by_scope() {
    for case in LIMITED {
        let mut harness = common::Harness::with_engines(common::settings(), &["e1", "e2"]);
        let text = format!(
            "id = 'l'\ndo = {{ limit = {{ rate = 1.0, burst = 1.0, per = '{}' }} }}",
            case.per
        );
        harness.install(1, vec![rule(&text)]);
        harness.arrive(|_| {});
        let (req, actions) =
            harness.arrive(|f| f.caller = sageshed_types::arena::CallerKey(case.second));
        assert_eq!(
            common::summary(&actions, req),
            case.expected,
            "{}",
            case.per
        );
        if let Some(refusal) = common::refused(&actions, req) {
            assert_eq!(
                refusal.retry_after,
                Some(time::Millis(1_000)),
                "when the next token comes"
            );
        }
        harness.install(
            2,
            vec![
                rule("id = 'n'\nwhen = {model=['draft']}\ndo = {refuse={}}"),
                rule(&text),
            ],
        );
        let (req, actions) = harness.arrive(|_| {});
        let refused = common::refused(&actions, req).map(|r| r.reason);
        assert_eq!(
            refused,
            Some(verdict::Reason::RuleLimit),
            "another rule's change refills nothing"
        );
    }
}

#[test]
fn caller_limit_is_shared_by_the_entry_processes() {
    let mut settings = common::settings();
    settings.entries = 2;
    settings.callers[0].rate = Some(8.0);
    settings.callers[0].burst = Some(4.0);
    let mut harness = common::Harness::new(settings);
    harness.report(common::report("e1", 1, 64, &["sort"]));
    let summaries = (0..3).map(|_| {
        let (req, actions) = harness.arrive(|_| {});
        common::summary(&actions, req)
    });
    assert_eq!(
        summaries.collect::<Vec<_>>(),
        ["send", "send", "caller_limit not_run"]
    );
    harness.advance(250);
    let (req, actions) = harness.arrive(|_| {});
    assert_eq!(
        common::summary(&actions, req),
        "send",
        "half of 8 a second is one in 250 ms"
    );
}

/// Guards against running out of memory: a limit for each caller creates a bucket for each of them, and
/// without a bound none would ever be dropped.
#[test]
fn buckets_are_bounded() {
    let mut limits = limits::Limits::new(2);
    let share = limits::Share::new(1.0, 1.0, 1);
    let mut take = |now, slot| {
        let pass = limits.take(time::Instant(now), limits::BucketKey::Rule(slot), share);
        (pass == limits::LimitOutcome::Within, limits.len())
    };
    assert_eq!(take(0, 1), (true, 1));
    assert_eq!(take(500, 2), (true, 2));
    assert_eq!(
        take(600, 3),
        (true, 2),
        "both are in use: it passes without a bucket"
    );
    assert_eq!(take(600, 2), (false, 2), "a bucket in use is never dropped");
    assert_eq!(
        take(1_100, 3),
        (true, 2),
        "the first is full again and was dropped"
    );
    assert_eq!(take(1_200, 3), (false, 2));
}

#[test]
fn refuse_new_refuses_and_drain_alone_does_not() {
    let mut harness = common::Harness::with_engines(common::settings(), &["e1"]);
    harness.step(event::Event::Drain);
    let (req, actions) = harness.arrive(|_| {});
    assert_eq!(common::summary(&actions, req), "send");
    harness.step(event::Event::RefuseNew);
    let (req, actions) = harness.arrive(|_| {});
    assert_eq!(common::summary(&actions, req), "draining not_run");
}
