//! Why requests were not served well, as read from logs.

use std::{env, fs, process};

use sageshed::losses::{Cause, Outcome, ReadError, Report};

/// One line of a log and what it is counted as; none for one that is no loss.
struct Case {
    name: &'static str,
    message: &'static str,
    keys: &'static str,
    loss: Option<(Outcome, Cause)>,
}

const ANSWERED: &str = "request answered";
const REFUSED: &str = "request refused";

const CASES: &[Case] = &[
    Case {
        name: "on time",
        message: ANSWERED,
        keys: r#""status":"200","model":"m","objective_ms":"800","pause_limit_ms":"250","first_ms":"90","sent_ms":"1","estimate_ms":"80","pause_ms":"120""#,
        loss: None,
    },
    Case {
        name: "late, and it had waited for the load of its model",
        message: ANSWERED,
        keys: r#""status":"200","model":"m","objective_ms":"800","waited_for":"model","first_ms":"2100","sent_ms":"2000","estimate_ms":"80""#,
        loss: Some((Outcome::Late, Cause::Weights)),
    },
    Case {
        name: "late, though it was sent at once and reckoned to be on time",
        message: ANSWERED,
        keys: r#""status":"200","model":"m","objective_ms":"400","first_ms":"900","sent_ms":"1","estimate_ms":"80""#,
        loss: Some((Outcome::Late, Cause::WrongEstimate)),
    },
    Case {
        name: "late, as was reckoned",
        message: ANSWERED,
        keys: r#""status":"200","model":"m","objective_ms":"400","first_ms":"900","sent_ms":"1","estimate_ms":"700""#,
        loss: Some((Outcome::Late, Cause::SlowEndpoint)),
    },
    Case {
        name: "a pause too long",
        message: ANSWERED,
        keys: r#""status":"200","model":"m","objective_ms":"400","pause_limit_ms":"250","first_ms":"90","sent_ms":"1","estimate_ms":"80","pause_ms":"251""#,
        loss: Some((Outcome::Late, Cause::Paused)),
    },
    Case {
        name: "the failure of an endpoint, passed on",
        message: ANSWERED,
        keys: r#""status":"500","model":"","objective_ms":"100","first_ms":"0","sent_ms":"0","took_ms":"9""#,
        loss: Some((Outcome::Failed, Cause::EndpointFailed)),
    },
    Case {
        name: "behind others",
        message: REFUSED,
        keys: r#""reason":"deadline_unmeetable","verdict":"not_run","waited_for":"place","arrivals":"0""#,
        loss: Some((Outcome::Refused, Cause::Others)),
    },
    Case {
        name: "rejected, with no repeat left",
        message: REFUSED,
        keys: r#""reason":"endpoint_failed","verdict":"not_run","arrivals":"1","repeat":"none left""#,
        loss: Some((Outcome::Refused, Cause::NoRepeat)),
    },
    Case {
        name: "lost at an endpoint, it may have run",
        message: REFUSED,
        keys: r#""reason":"endpoint_failed","verdict":"may_have_run","arrivals":"1","repeat":"""#,
        loss: Some((Outcome::Failed, Cause::EndpointFailed)),
    },
    Case {
        name: "before the first configuration",
        message: "request refused before it was routed",
        keys: r#""reason":"not_confirmed""#,
        loss: Some((Outcome::Refused, Cause::NoConfiguration)),
    },
    Case {
        name: "left while it waited",
        message: "caller left",
        keys: r#""waited_for":"adapter","arrivals":"0""#,
        loss: Some((Outcome::Left, Cause::Adapter)),
    },
    Case {
        name: "left while an endpoint owed the answer",
        message: "caller left",
        keys: r#""waited_for":"place","arrivals":"1""#,
        loss: Some((Outcome::Left, Cause::SlowEndpoint)),
    },
    Case {
        name: "another line",
        message: "endpoint changed",
        keys: r#""endpoint":"e1""#,
        loss: None,
    },
];

fn line(second: u32, message: &str, keys: &str) -> String {
    format!(
        "{{\"time\":\"2026-03-01T06:12:{second:02}.500Z\",\"level\":\"INFO\",\"part\":\"gateway\",\
         \"message\":\"{message}\",\"keys\":{{{keys}}}}}\n"
    )
}

#[test]
fn each_line_on_a_requests_end_tells_one_cause() {
    for case in CASES {
        let mut report = Report::default();
        report
            .read("entry.log", &line(1, case.message, case.keys))
            .expect("a record");
        let seen = report.losses.first().map(|it| (it.outcome, it.cause));
        assert_eq!(seen, case.loss, "{}", case.name);
    }
}

#[test]
fn losses_are_counted_by_second_also_where_there_are_none() {
    let mut report = Report::default();
    let left = r#""waited_for":"model","arrivals":"0","route":"r1","model":"m""#;
    let second = line(3, "caller left", left) + &line(3, "caller left", left);
    report.read("b.log", &second).expect("records");
    let first = line(0, "listens", "") + &line(1, "caller left", left);
    report.read("a.log", &first).expect("records");
    report.finish();
    assert_eq!(report.by_second(), [0, 1, 0, 2]);
    assert_eq!(report.counts(|it| it.model.clone()), [("m".to_owned(), 3)]);
    assert_eq!(report.remarks, Vec::<String>::new());
}

/// An operator copies a log while it is written, takes the logs of two days, or one in the format for
/// people. Each must be said: a table of half a log would be believed.
#[test]
fn odd_logs_are_remarked_on() {
    let whole = line(1, "listens", "");
    let mut cut = Report::default();
    cut.read("entry.log", &(whole.clone() + &whole[..40]))
        .expect("one record");
    assert_eq!(cut.remarks, ["entry.log: the last line is cut off"]);

    let mut two_days = Report::default();
    let later = whole.replace("2026-03-01", "2026-03-04");
    two_days
        .read("entry.log", &(whole + &later))
        .expect("records");
    two_days.finish();
    assert_eq!(two_days.remarks.len(), 1, "{:?}", two_days.remarks);

    let for_people = "2026-03-01T06:12:03.417Z INFO  gateway: caller left request=7\n";
    let read = Report::default().read("entry.log", for_people);
    assert_eq!(read, Err(ReadError::NoRecords));
}

/// What an operator sees of it, by the real program.
#[test]
fn the_program_prints_tables_and_json_and_draws() {
    let folder = env::temp_dir().join(format!("sageshed-losses-{}", process::id()));
    fs::create_dir_all(&folder).expect("a folder");
    let (log, svg) = (folder.join("entry.log"), folder.join("losses.svg"));
    let left = r#""waited_for":"model","arrivals":"0","route":"r1","model":"m7""#;
    fs::write(&log, line(1, "caller left", left)).expect("a log");
    let run = |more: &[&str]| {
        let output = process::Command::new(env!("CARGO_BIN_EXE_sageshed"))
            .args(["logs", "losses"])
            .arg(&log)
            .args(more)
            .output()
            .expect("the program runs");
        let status = output.status.code();
        (status, String::from_utf8(output.stdout).expect("text"))
    };
    let (status, text) = run(&["--svg", svg.to_str().expect("a path")]);
    assert_eq!(status, Some(0));
    assert!(
        text.starts_with("1 tries not served well, 0 answered well"),
        "{text}"
    );
    assert!(text.contains("left     waited for weights  1"), "{text}");
    assert!(text.contains("m7"), "{text}");
    let drawn = fs::read_to_string(&svg).expect("a drawing");
    assert!(drawn.starts_with("<svg"), "{drawn}");
    let (status, json) = run(&["--json"]);
    assert_eq!(status, Some(0));
    let json: serde_json::Value = serde_json::from_str(&json).expect("JSON");
    assert_eq!(json["by_cause"][0]["of"][1], "weights");
    fs::write(&log, "nothing of the kind\n").expect("a log");
    assert_eq!(run(&[]).0, Some(1));
    fs::remove_dir_all(&folder).expect("the folder goes");
}
