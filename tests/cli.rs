//! What the user of the program sees: texts, output and exit status of the real binary.

use std::{fs, net, path, process, sync::atomic};

const CONTROL: &str = "SAGESHED_CONTROL";
const TOKEN: &str = "SAGESHED_TOKEN";

struct Seen {
    status: Option<i32>,
    out: String,
    err: String,
}

fn sageshed(args: &[&str]) -> Seen {
    let output = process::Command::new(env!("CARGO_BIN_EXE_sageshed"))
        .args(args)
        .env_remove(CONTROL)
        .env_remove(TOKEN)
        .output()
        .unwrap();
    Seen {
        status: output.status.code(),
        out: String::from_utf8(output.stdout).unwrap(),
        err: String::from_utf8(output.stderr).unwrap(),
    }
}

struct Case {
    args: &'static [&'static str],
    status: i32,
    out: &'static str,
    err: &'static str,
}

/// Nobody listens there, and nobody is asked before the command line is right.
const ASK: &str = "--control=127.0.0.1:1";

const COMMAND_LINES: &[Case] = &[
    Case {
        args: &["--version"],
        status: 0,
        out: "sageshed 0.",
        err: "",
    },
    Case {
        args: &["--help"],
        status: 0,
        out: "run an entry process",
        err: "",
    },
    Case {
        args: &["rules", "add", "--help"],
        status: 0,
        out: "Usage: sageshed rules add",
        err: "",
    },
    Case {
        args: &[],
        status: 2,
        out: "",
        err: "no command is given",
    },
    Case {
        args: &["frob"],
        status: 2,
        out: "",
        err: "unrecognized command `frob`",
    },
    Case {
        args: &["entry"],
        status: 2,
        out: "",
        err: "missing required option `--config`",
    },
    Case {
        args: &["status"],
        status: 2,
        out: "",
        err: "give --control URL[,URL...] or set SAGESHED_CONTROL",
    },
    Case {
        args: &["status", ASK],
        status: 2,
        out: "",
        err: "set SAGESHED_TOKEN, or give --token-file or --token",
    },
    Case {
        args: &["status", ASK, "--token-file", "/no/such/file"],
        status: 2,
        out: "",
        err: "the token file /no/such/file",
    },
    Case {
        args: &["explain"],
        status: 2,
        out: "",
        err: "missing required",
    },
    Case {
        args: &["explain", "../rules", ASK, "--token", "x"],
        status: 1,
        out: "",
        err: "`../rules` is not a request id",
    },
    Case {
        args: &["rules"],
        status: 2,
        out: "",
        err: "list|add|move|withdraw|history",
    },
    Case {
        args: &["rules", "move", "a"],
        status: 2,
        out: "",
        err: "say where to",
    },
    Case {
        args: &["rules", "move", "a", "--first", "--after", "b"],
        status: 2,
        out: "",
        err: "only one of",
    },
    Case {
        args: &["rules", "add"],
        status: 2,
        out: "",
        err: "either --file FILE or --rule TOML",
    },
    Case {
        args: &["rules", "add", "--rule", "id = \"a\"\ndo = { rout = {} }"],
        status: 1,
        out: "",
        err: "--rule:2: `do.rout`: unknown variant `rout`",
    },
    Case {
        args: &["rules", "add", "--rule", "[[rules]]\nid = \"a\""],
        status: 1,
        out: "",
        err: "--rule:1: `rules`: missing field `do`",
    },
    Case {
        args: &["models", "pin", "a"],
        status: 2,
        out: "",
        err: "give one of --endpoint NAME and --availability-zone NAME",
    },
    Case {
        args: &["models", "unpin", "--endpoint", "e1"],
        status: 2,
        out: "",
        err: "missing required",
    },
    Case {
        args: &[
            "models",
            "pin",
            "a",
            "--endpoint",
            "e1",
            "--availability-zone",
            "z1",
        ],
        status: 2,
        out: "",
        err: "give one of",
    },
    // Placement would take the pin and do nothing, and the operator would wait for a model that
    // never comes.
    Case {
        args: &["models", "pin", "a", "--availability-zone", "z1", ASK],
        status: 1,
        out: "",
        err: "doesn't honour pins to an availability zone yet",
    },
    Case {
        args: &["config", "check"],
        status: 2,
        out: "",
        err: "name at least one file",
    },
];

#[test]
fn command_lines_are_answered_by_table() {
    for case in COMMAND_LINES {
        let seen = sageshed(case.args);
        let args = case.args;
        assert_eq!(seen.status, Some(case.status), "{args:?}: {}", seen.err);
        assert!(seen.out.contains(case.out), "{args:?}: {}", seen.out);
        assert!(seen.err.contains(case.err), "{args:?}: {}", seen.err);
        assert!(!seen.err.contains("panicked"), "{args:?}: {}", seen.err);
    }
}

/// No control process runs where the operator looks. The status is the one that scripts take for
/// "cannot tell", and the text says that nothing was done and where it was asked.
#[test]
fn control_group_out_of_reach_has_a_status_of_its_own() {
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    drop(listener);
    let seen = sageshed(&["rules", "list", "--control", &address, "--token", "x"]);
    assert_eq!(seen.status, Some(3), "{}", seen.err);
    assert!(seen.err.contains("nothing was done"), "{}", seen.err);
    assert!(seen.err.contains(&address), "{}", seen.err);
}

fn write(name: &str, text: &str) -> path::PathBuf {
    static COUNT: atomic::AtomicUsize = atomic::AtomicUsize::new(0);
    let count = COUNT.fetch_add(1, atomic::Ordering::Relaxed);
    let folder = format!("cli-{}-{count}", process::id());
    let folder = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(folder);
    fs::create_dir_all(&folder).unwrap();
    let file = folder.join(name);
    fs::write(&file, text).unwrap();
    file
}

fn example(name: &str) -> String {
    let examples = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("examples");
    examples.join(name).display().to_string()
}

#[test]
fn config_check_passes_what_is_right() {
    let files = [
        "entry-1.toml",
        "control-1.toml",
        "common.toml",
        "rules.toml",
    ];
    let files: Vec<String> = files
        .iter()
        .map(|file| example(&format!("clearflow/{file}")))
        .collect();
    let mut args = vec!["config", "check"];
    args.extend(files.iter().map(String::as_str));
    let seen = sageshed(&args);
    assert_eq!(seen.status, Some(0), "{}", seen.err);
    assert_eq!(seen.err, "");
    assert_eq!(seen.out.matches(": no error\n").count(), 4, "{}", seen.out);
}

/// An operator misspells two things. Both are shown at once, each with its place, and a daemon that
/// is started with the file says the same and does not start.
#[test]
fn config_check_and_start_show_every_problem_with_its_place() {
    let common = example("demo/common.toml");
    let text = format!(
        "vm = \"vm1\"\ncommon = \"{common}\"\n[listen]\ncallers = \"here:1\"\nvms = \"127.0.0.1:0\"\n\
         [log]\nformat = \"xml\"\n"
    );
    let file = write("entry.toml", &text);
    let file = file.to_str().unwrap();
    let runs = [
        sageshed(&["config", "check", file]),
        sageshed(&["entry", "--config", file]),
    ];
    for seen in runs {
        assert_eq!(seen.status, Some(1), "{}", seen.err);
        for problem in [
            format!("{file}:4: `listen.callers`: `here:1` is not an address"),
            format!("{file}:7: `log.format`: unknown variant `xml`"),
        ] {
            assert!(seen.err.contains(&problem), "{problem}: {}", seen.err);
        }
    }
}

/// A rule that an earlier one hides is a warning, one that names what is not on offer is at least
/// that. The operator sees the rule's line.
#[test]
fn config_check_shows_findings_on_rules() {
    let rules = "[[rules]]\nid = \"all\"\ndo = { refuse = {} }\n\n\
                 [[rules]]\nid = \"never\"\nwhen = { caller = [\"clearflow\"] }\ndo = { route = {} }\n";
    let file = write("rules.toml", rules);
    let file = file.to_str().unwrap();
    let common = example("demo/common.toml");
    let seen = sageshed(&["config", "check", file, "--common", &common]);
    let text = format!("{}{}", seen.out, seen.err);
    assert!(
        text.contains(&format!("{file}:6: `rules.id`: rule `never`: ")),
        "{text}"
    );
    assert!(text.contains("all"), "{text}");
}

#[test]
fn config_check_prints_json_on_request() {
    let seen = sageshed(&["config", "check", "/no/such/file", "--json"]);
    assert_eq!(seen.status, Some(1));
    let found: serde_json::Value = serde_json::from_str(&seen.out).unwrap();
    let error = found[0]["errors"][0].as_str().unwrap();
    assert!(error.contains("cannot be read"), "{error}");
}
