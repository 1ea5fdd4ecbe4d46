//! Logs: a short sentence with a fixed prefix for each part, then keys.
//!
//! Text for people is the default:
//!
//! ```text
//! 2026-03-01T06:12:03.417Z INFO  entry: request refused request=vm1-7f rule=night reason=rule_refused
//! ```
//!
//! With `format = "json"` each record is an object on a line, with `time`, `level`, `part`, `message`
//! and the keys under `keys`.
//!
//! What callers send can reach a record as a value. A line break in it would let a caller write
//! records of its own, so control characters never reach the output as they are.

use std::{
    fmt::Write,
    io, path,
    sync::{self, atomic, mpsc},
    thread, time,
};

use derive_more::{Display, Error};
use log::kv;

use crate::settings;

/// Logs could not be started.
#[derive(Debug, Display, Error)]
pub enum StartError {
    /// The file could not be opened.
    #[display("the log file {} can't be opened: {source}", file.display())]
    File {
        /// Which.
        file: path::PathBuf,
        /// Why.
        source: io::Error,
    },
    /// Logs were started before.
    #[display("logs were started twice: {source}")]
    Twice {
        /// What the log library says.
        source: log::SetLoggerError,
    },
}

/// How long the end of a process waits for its last lines to be written: several times what a full
/// queue takes, and half of what an entry process leaves of its grace period. A reader that has stopped
/// to read must not keep the process from ending.
const LAST_LINES: time::Duration = time::Duration::from_millis(200);

/// Between two looks at whether they are.
const LOOK: time::Duration = time::Duration::from_millis(2);

/// How many lines wait to be written, and how many were left out since the last that was.
#[derive(Debug, Default)]
struct Queue {
    waiting: atomic::AtomicUsize,
    left_out: atomic::AtomicU64,
}

/// The logs of a process. Dropped at its end, it waits a little for the last lines: they say how the
/// process has stopped, and the thread that writes them ends with the process.
#[derive(Debug)]
#[must_use]
pub struct Logs {
    queue: sync::Arc<Queue>,
}

impl Drop for Logs {
    fn drop(&mut self) {
        let until = time::Instant::now() + LAST_LINES;
        while self.queue.waiting.load(atomic::Ordering::SeqCst) > 0 && time::Instant::now() < until
        {
            thread::sleep(LOOK);
        }
    }
}

/// Starts the logs of this process.
pub fn start(log: &settings::Log) -> Result<Logs, StartError> {
    let format = log.format;
    let queue = sync::Arc::new(Queue::default());
    let dispatch = fern::Dispatch::new()
        .level(level(log.level))
        // The client library logs the head of each request, and with it the group's token and the
        // callers' keys.
        .level_for("ureq", log::LevelFilter::Warn)
        .format(move |out, _, record| {
            let now = jiff::Timestamp::now();
            out.finish(format_args!("{}", line(format, now, record)));
        });
    let dispatch = match &log.file {
        None => dispatch.chain(buffered(log.output, &queue)),
        Some(file) => dispatch.chain(fern::log_file(file).map_err(|source| StartError::File {
            file: file.clone(),
            source,
        })?),
    };
    dispatch
        .apply()
        .map_err(|source| StartError::Twice { source })?;
    Ok(Logs { queue })
}

/// Lines that may wait to be written. At some 200 bytes a line it is one megabyte.
const WAITING_LINES: usize = 5_000;

/// Writes lines by a thread of its own. Whoever reads them may stop to read, and the pipe fills: a
/// request must not wait for that. Past the bound lines are left out, and the next that is written
/// says how many.
fn buffered(output: settings::Output, queue: &sync::Arc<Queue>) -> fern::Output {
    let (tx, rx) = mpsc::sync_channel::<String>(WAITING_LINES);
    let queue = sync::Arc::clone(queue);
    let counted = sync::Arc::clone(&queue);
    let spawned = thread::Builder::new()
        .name("logs".to_owned())
        .spawn(move || match output {
            settings::Output::Stderr => write_lines(&rx, &counted, io::stderr()),
            settings::Output::Stdout => write_lines(&rx, &counted, io::stdout()),
        });
    if spawned.is_err() {
        // Without the thread lines would be lost; slow ones are better.
        return match output {
            settings::Output::Stderr => io::stderr().into(),
            settings::Output::Stdout => io::stdout().into(),
        };
    }
    fern::Output::call(move |record| {
        queue.waiting.fetch_add(1, atomic::Ordering::SeqCst);
        if tx.try_send(record.args().to_string()).is_err() {
            queue.waiting.fetch_sub(1, atomic::Ordering::SeqCst);
            queue.left_out.fetch_add(1, atomic::Ordering::Relaxed);
        }
    })
}

fn write_lines<W: io::Write>(rx: &mpsc::Receiver<String>, queue: &Queue, mut out: W) {
    while let Ok(line) = rx.recv() {
        let missing = queue.left_out.swap(0, atomic::Ordering::Relaxed);
        let note = if missing > 0 {
            format!("{missing} lines of the log were left out: nobody read them in time\n")
        } else {
            String::new()
        };
        // A stream that is closed has nobody to tell.
        let written = writeln!(out, "{note}{line}").and_then(|()| out.flush());
        queue.waiting.fetch_sub(1, atomic::Ordering::SeqCst);
        if written.is_err() {
            return;
        }
    }
}

fn level(level: settings::Level) -> log::LevelFilter {
    match level {
        settings::Level::Error => log::LevelFilter::Error,
        settings::Level::Warn => log::LevelFilter::Warn,
        settings::Level::Info => log::LevelFilter::Info,
        settings::Level::Debug => log::LevelFilter::Debug,
        settings::Level::Trace => log::LevelFilter::Trace,
    }
}

/// One record as it is written, without the line's end.
#[must_use]
pub fn line(format: settings::Format, now: jiff::Timestamp, record: &log::Record<'_>) -> String {
    match format {
        settings::Format::Text => text(now, record),
        settings::Format::Json => json(now, record),
    }
}

fn text(now: jiff::Timestamp, record: &log::Record<'_>) -> String {
    let mut line = format!("{now:.3} {:5} ", record.level());
    for c in record.args().to_string().chars() {
        push(&mut line, c);
    }
    for (key, value) in pairs(record) {
        line.push(' ');
        line.push_str(&key);
        line.push('=');
        push_value(&mut line, &value);
    }
    line
}

/// Quotes a value that a reader could not tell from what follows it.
fn push_value(line: &mut String, value: &str) {
    let plain = |c: char| !c.is_whitespace() && !c.is_control() && !"\"=".contains(c);
    if !value.is_empty() && value.chars().all(plain) {
        line.push_str(value);
        return;
    }
    line.push('"');
    for c in value.chars() {
        if c == '"' || c == '\\' {
            line.push('\\');
        }
        push(line, c);
    }
    line.push('"');
}

fn push(line: &mut String, c: char) {
    if c.is_control() {
        write!(line, "{}", c.escape_default()).expect("a string takes every write");
    } else {
        line.push(c);
    }
}

fn json(now: jiff::Timestamp, record: &log::Record<'_>) -> String {
    let sentence = record.args().to_string();
    let (part, message) = match sentence.split_once(": ") {
        Some((part, message)) => (part, message),
        None => ("", sentence.as_str()),
    };
    let keys: serde_json::Map<String, serde_json::Value> = pairs(record)
        .into_iter()
        .map(|(key, value)| (key, value.into()))
        .collect();
    serde_json::json!({
        "time": format!("{now:.3}"),
        "level": record.level().as_str(),
        "part": part,
        "message": message,
        "keys": keys,
    })
    .to_string()
}

fn pairs(record: &log::Record<'_>) -> Vec<(String, String)> {
    let mut pairs = Pairs::default();
    // The visitor below never fails.
    if record.key_values().visit(&mut pairs).is_err() {
        pairs
            .list
            .push(("keys".to_owned(), "broken off".to_owned()));
    }
    pairs.list
}

#[derive(Default)]
struct Pairs {
    list: Vec<(String, String)>,
}

impl<'kvs> kv::VisitSource<'kvs> for Pairs {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        self.list.push((key.to_string(), value.to_string()));
        Ok(())
    }
}
