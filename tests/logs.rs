//! How a record looks to people and to programs.

use std::{env, process, thread, time};

use sageshed::{logs, settings, settings::Format};

struct Case {
    name: &'static str,
    message: &'static str,
    keys: Vec<(&'static str, &'static str)>,
    text: &'static str,
    json: &'static str,
}

#[test]
fn records_look_the_same_by_table() {
    let cases = [
        Case {
            name: "sentence with keys",
            message: "entry: request sent",
            keys: vec![("request", "vm1-1"), ("tokens", "7")],
            text: "INFO  entry: request sent request=vm1-1 tokens=7",
            json: r#""keys":{"request":"vm1-1","tokens":"7"},"level":"INFO","message":"request sent","part":"entry""#,
        },
        Case {
            name: "no prefix, and a value with blanks",
            message: "started",
            keys: vec![("why", "no \"room\" left"), ("none", "")],
            text: r#"INFO  started why="no \"room\" left" none="""#,
            json: r#""keys":{"none":"","why":"no \"room\" left"},"level":"INFO","message":"started","part":"""#,
        },
        // A caller names a model `x<line break>... admin: rules withdrawn`. An operator who reads
        // the log would see a record that no part wrote.
        Case {
            name: "line break in a value and in the sentence",
            message: "entry: odd\nname",
            keys: vec![("model", "x\nINFO  admin: rules withdrawn\u{1b}[2K")],
            text: r#"INFO  entry: odd\nname model="x\nINFO  admin: rules withdrawn\u{1b}[2K""#,
            json: r#""keys":{"model":"x\nINFO  admin: rules withdrawn\u001b[2K"},"level":"INFO","message":"odd\nname","part":"entry""#,
        },
    ];
    let now = jiff::Timestamp::from_millisecond(1_772_345_523_417).unwrap();
    for case in cases {
        let keys = case.keys.as_slice();
        let line = |format| {
            logs::line(
                format,
                now,
                &log::Record::builder()
                    .level(log::Level::Info)
                    .args(format_args!("{}", case.message))
                    .key_values(&keys)
                    .build(),
            )
        };
        let text = format!("2026-03-01T06:12:03.417Z {}", case.text);
        let json = format!("{{{},\"time\":\"2026-03-01T06:12:03.417Z\"}}", case.json);
        assert_eq!(line(Format::Text), text, "{}", case.name);
        assert_eq!(line(Format::Json), json, "{}", case.name);
    }
}

/// Set for a run of this binary that plays a process.
const PLAYS: &str = "SAGESHED_TEST_WRITES_LOGS";

/// Lines that the process writes; fewer than may wait.
const LINES: usize = 4_000;

/// Looks at whether the process has ended before its lines are read.
const LOOKS: usize = 30;

/// A process writes its last lines and ends. They wait for a thread of their own, which ends with the
/// process: an engineer would find a log that breaks off as after a crash. So its end waits for them.
#[test]
fn the_last_lines_of_a_process_reach_its_log() {
    if env::var_os(PLAYS).is_some() {
        let log = settings::Log {
            output: settings::Output::Stdout,
            ..settings::Log::default()
        };
        let logs = logs::start(&log).expect("logs are started once");
        for number in 0..LINES {
            log::info!(number; "test: line");
        }
        drop(logs);
        process::exit(0);
    }
    let own = env::current_exe().expect("this binary");
    let mut child = process::Command::new(own)
        .args(["the_last_lines_of_a_process_reach_its_log", "--nocapture"])
        .env(PLAYS, "1")
        .stdout(process::Stdio::piped())
        .spawn()
        .expect("it runs");
    // The pipe takes some hundred lines, the others wait. A process that does not wait for them ends.
    for _ in 0..LOOKS {
        if child.try_wait().expect("it is known").is_some() {
            break;
        }
        thread::sleep(time::Duration::from_millis(1));
    }
    let out = child.wait_with_output().expect("it ends");
    let text = String::from_utf8_lossy(&out.stdout);
    assert_eq!(text.matches("test: line").count(), LINES);
}
