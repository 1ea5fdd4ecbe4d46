//! What a configuration with many keys costs an entry process: time to read it, to check it, to index it and for one
//! look-up, and memory. Usage: `cargo run --release --example measure_keys [KEYS]`.

use std::{env, fs, hint, time};

use sageshed_fleet::{dialect::Dialect as _, workspaces};
use sageshed_platform::Platform;
use sageshed_types::secret;

/// Keys where none are named.
const KEYS: usize = 100_000;

/// Workspaces that hold them.
const WORKSPACES: usize = 500;

/// Look-ups that are timed.
const LOOK_UPS: usize = 1_000_000;

fn main() {
    let keys = env::args()
        .nth(1)
        .map_or(KEYS, |it| it.parse().expect("a number of keys"));
    let text = config(keys);
    let before = resident_kb();
    let began = time::Instant::now();
    let config = Platform.config(text.as_bytes()).expect("it is valid");
    let read = began.elapsed();
    let began = time::Instant::now();
    config.check().expect("no key is shared");
    let checked = began.elapsed();
    let began = time::Instant::now();
    let known = workspaces::Workspaces::new(config.workspaces.as_ref().expect("there are some"));
    let indexed = began.elapsed();
    let key = secret::KeyDigest::of(format!("key-{:016}", keys / 2).as_bytes());
    let began = time::Instant::now();
    for _ in 0..LOOK_UPS {
        hint::black_box(known.holder(hint::black_box(key)));
    }
    let each = began.elapsed() / u32::try_from(LOOK_UPS).expect("few");
    println!("{keys} keys, {} KB of text", text.len() / 1_024);
    println!("read {read:?}, checked {checked:?}, indexed {indexed:?}, a look-up {each:?}");
    println!(
        "{} KB of memory besides the text",
        resident_kb().saturating_sub(before)
    );
}

fn config(keys: usize) -> String {
    let each = keys.div_ceil(WORKSPACES).max(1);
    let workspaces: Vec<String> = (0..keys.div_ceil(each))
        .map(|at| {
            let own = at * each..((at + 1) * each).min(keys);
            let own: Vec<_> = own.map(|it| format!("\"key-{it:016}\"")).collect();
            format!("{{\"name\":\"w{at}\",\"api_keys\":[{}]}}", own.join(","))
        })
        .collect();
    format!(
        "{{\"version\":1,\"routes\":[],\"services\":[],\"tenants\":[{}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":1024,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        workspaces.join(",")
    )
}

/// Memory of this process; zero where that can't be told.
fn resident_kb() -> usize {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|it| it.starts_with("VmRSS:"));
    let kb = line.and_then(|it| it.split_whitespace().nth(1)?.parse().ok());
    kb.unwrap_or_default()
}
