//! What no single value shows: names that must be unique, names that must exist, sums that must fit.
//!
//! A member of a list that could not be read is not there to be found by the others. To keep one
//! mistake from showing as many, the checks name only what the operator wrote.

use std::{collections, fs, path};

use sageshed_decide::settings as decide;
use sageshed_types::{catalog, time};

use super::{
    Claims, Common, ControlGroup, Lease, Limits, Operator, Problem, Service, Vm,
    reader::{Located, Place},
};

/// Which process a settings file is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Runs {
    /// An entry process.
    Entry,
    /// A control process.
    Control,
}

const GREATEST_PRIORITY: u8 = 9;
const SHA256_HEX_DIGITS: usize = 64;
const VOTERS: [usize; 3] = [1, 3, 5];

/// The VM that the file at hand is for.
pub(super) fn own_vm(
    vm: &Located<String>,
    common: &Common,
    runs: Runs,
    problems: &mut Vec<Problem>,
) -> Option<Vm> {
    let file = common.file.display();
    let Some(found) = common.vm(&vm.value) else {
        let known: Vec<&str> = common.vms.iter().map(|it| it.name.as_str()).collect();
        let message = format!(
            "no VM `{}` in {file}; it has `{}`",
            vm.value,
            known.join("`, `")
        );
        problems.push(vm.place.problem("", message));
        return None;
    };
    let (key, missing) = match runs {
        Runs::Entry => ("entry", found.entry.is_none()),
        Runs::Control => ("control", found.control.is_none()),
    };
    if missing {
        let message = format!(
            "VM `{}` has no `{key}` address in {file}; add it there, or name another VM here",
            vm.value
        );
        problems.push(vm.place.problem("", message));
    }
    Some(found.clone())
}

pub(super) fn vms(vms: &[Located<Vm>], top: &Place, problems: &mut Vec<Problem>) {
    if vms.is_empty() && problems.is_empty() {
        problems.push(top.problem("vms", "no VM is listed; add a `[[vms]]` table for each"));
    }
    names(vms, "name", |vm| &vm.name, problems);
    let mut numbers = collections::BTreeMap::new();
    let mut addresses = collections::BTreeMap::new();
    for Located { value: vm, place } in vms {
        if let Some(other) = numbers.insert(vm.number, &vm.name) {
            let message = format!(
                "{} is the number of VM `{other}` too; a number is never used twice",
                vm.number
            );
            problems.push(place.problem("number", message));
        }
        for (key, address) in [
            ("entry", vm.entry),
            ("control", vm.control),
            ("operators", vm.operators),
        ] {
            let Some(address) = address else { continue };
            if address.port() == 0 {
                let message = "port 0 can't be reached by others; give the port it listens on";
                problems.push(place.problem(key, message));
            } else if let Some(other) = addresses.insert(address, &vm.name) {
                let message = format!("{address} is an address of VM `{other}` already");
                problems.push(place.problem(key, message));
            }
        }
    }
}

pub(super) fn models(models: &[Located<catalog::Model>], problems: &mut Vec<Problem>) {
    names(models, "name", |model| &model.name, problems);
    let bases: collections::BTreeMap<&str, bool> = models
        .iter()
        .map(|it| (it.value.name.as_str(), it.value.base.is_some()))
        .collect();
    for Located {
        value: model,
        place,
    } in models
    {
        if model.memory_mib == 0 {
            let message = "must be at least 1; give the memory that it takes when loaded";
            problems.push(place.problem("memory_mib", message));
        }
        let Some(base) = &model.base else { continue };
        let message = match bases.get(base.as_str()) {
            None => format!("no model `{base}` is listed; add it, or name another base"),
            Some(true) => format!("`{base}` is an adapter; name the model that it sits on"),
            Some(false) => continue,
        };
        problems.push(place.problem("base", message));
    }
}

pub(super) fn services(
    services: &[Located<Service>],
    models: &[Located<catalog::Model>],
    problems: &mut Vec<Problem>,
) {
    names(services, "name", |service| &service.name, problems);
    for Located { value, place } in services {
        if models.iter().any(|it| it.value.name == value.name) {
            let message = format!("`{}` is a model too; rename one of them", value.name);
            problems.push(place.problem("name", message));
        }
    }
}

pub(super) fn classes(classes: &[Located<catalog::Class>], problems: &mut Vec<Problem>) {
    names(classes, "name", |class| &class.name, problems);
    for Located { value, place } in classes {
        if value.priority > GREATEST_PRIORITY {
            let message = format!(
                "{} is past {GREATEST_PRIORITY}, the most urgent",
                value.priority
            );
            problems.push(place.problem("priority", message));
        }
        positive(place, "deadline_ms", value.deadline_ms, problems);
    }
}

pub(super) fn callers(
    callers: &[Located<catalog::Caller>],
    classes: &[Located<catalog::Class>],
    problems: &mut Vec<Problem>,
) {
    names(callers, "name", |caller| &caller.name, problems);
    tokens(
        callers,
        |caller| (&caller.name, &caller.token_sha256),
        problems,
    );
    for Located { value, place } in callers {
        if !classes.iter().any(|it| it.value.name == value.class) {
            let known: Vec<&str> = classes.iter().map(|it| it.value.name.as_str()).collect();
            let message = format!(
                "no class `{}` is listed; there are `{}`",
                value.class,
                known.join("`, `")
            );
            problems.push(place.problem("class", message));
        }
        for (key, figure) in [("rate", value.rate), ("burst", value.burst)] {
            if figure.is_some_and(|it| !it.is_finite() || it <= 0.0) {
                problems.push(place.problem(key, "must be more than 0; leave it out for no limit"));
            }
        }
    }
}

pub(super) fn operators(operators: &[Located<Operator>], problems: &mut Vec<Problem>) {
    names(operators, "name", |operator| &operator.name, problems);
    tokens(operators, |it| (&it.name, &it.token_sha256), problems);
}

pub(super) fn claims(claims: &Located<Claims>, problems: &mut Vec<Problem>) {
    let Located { value, place } = claims;
    positive(place, "retention_ms", value.retention_ms, problems);
    if value.max == 0 {
        let message = "must be at least 1, or no request that may not be repeated is served";
        problems.push(place.problem("max", message));
    }
}

/// The margin must leave something of the lease, and two heartbeats must fit into what is left, or
/// a single late one makes an entry process refuse.
pub(super) fn lease(lease: &Located<Lease>, problems: &mut Vec<Problem>) {
    let Located { value, place } = lease;
    positive(place, "sync_interval_ms", value.sync_interval_ms, problems);
    let usable = value.length_ms.0.saturating_sub(value.drift_margin_ms.0);
    if usable < 2 * value.sync_interval_ms.0 {
        let message = format!(
            "{} less the margin of {} must hold two sync intervals of {}; make the lease longer",
            value.length_ms.0, value.drift_margin_ms.0, value.sync_interval_ms.0
        );
        problems.push(place.problem("length_ms", message));
    }
}

pub(super) fn policies(
    routing: &Located<decide::Policy>,
    placement: &Located<sageshed_place::Policy>,
    problems: &mut Vec<Problem>,
) {
    if routing.value.max_attempts == 0 {
        let message = "must be at least 1, or no request is ever sent";
        problems.push(routing.place.problem("max_attempts", message));
    }
    let Located { value, place } = placement;
    if value.store_loads_at_once == 0 {
        let message = "must be at least 1, or no model is ever loaded";
        problems.push(place.problem("store_loads_at_once", message));
    }
    if !(value.store_loads_per_second.is_finite() && value.store_loads_per_second > 0.0) {
        let message = "must be more than 0, or no model is ever loaded";
        problems.push(place.problem("store_loads_per_second", message));
    }
    if !(value.move_cost.is_finite() && value.move_cost >= 0.0) {
        problems.push(place.problem("move_cost", "must be 0 or more"));
    }
}

pub(super) fn limits(limits: &Limits, place: &Place, problems: &mut Vec<Problem>) {
    let sizes = [
        ("head_bytes", limits.head_bytes),
        ("body_bytes", limits.body_bytes),
        ("connections", limits.connections),
        ("answer_bytes", limits.answer_bytes),
    ];
    for (key, size) in sizes {
        if size == 0 {
            problems.push(place.problem(key, "must be at least 1"));
        }
    }
    let spans = [
        ("head_timeout_ms", limits.head_timeout_ms),
        ("body_timeout_ms", limits.body_timeout_ms),
        ("idle_timeout_ms", limits.idle_timeout_ms),
        ("write_timeout_ms", limits.write_timeout_ms),
        ("longest_deadline_ms", limits.longest_deadline_ms),
    ];
    for (key, span) in spans {
        positive(place, key, span, problems);
    }
}

pub(super) fn control_group(
    group: &Located<ControlGroup>,
    vms: &[Located<Vm>],
    problems: &mut Vec<Problem>,
) {
    let Located { value, place } = group;
    let voters = &value.initial_voters;
    if !VOTERS.contains(&voters.len()) {
        let message = format!("{} VMs are named; name 1, 3 or 5", voters.len());
        problems.push(place.problem("initial_voters", message));
    }
    let mut seen = collections::BTreeSet::new();
    for voter in voters {
        let vm = vms.iter().find(|it| it.value.name == *voter);
        let message = match vm {
            _ if !seen.insert(voter) => format!("`{voter}` is named twice"),
            None => format!("no VM `{voter}` is listed under `[[vms]]`"),
            Some(vm) if vm.value.control.is_none() => {
                format!("VM `{voter}` has no `control` address; add it there")
            }
            Some(_) => continue,
        };
        problems.push(place.problem("initial_voters", message));
    }
    positive(place, "heartbeat_ms", value.heartbeat_ms, problems);
    if value.election_timeout_ms.0 < 3 * value.heartbeat_ms.0 {
        let message = format!(
            "{} must be at least three heartbeats of {}, or late ones cause elections",
            value.election_timeout_ms.0, value.heartbeat_ms.0
        );
        problems.push(place.problem("election_timeout_ms", message));
    }
    if value.snapshot_after == 0 {
        problems.push(place.problem("snapshot_after", "must be at least 1"));
    }
}

/// The token that our own processes show each other; empty if no file is named.
pub(super) fn vms_token(
    file: Option<&Located<path::PathBuf>>,
    problems: &mut Vec<Problem>,
) -> String {
    let Some(Located { value: file, place }) = file else {
        return String::new();
    };
    let message = match fs::read_to_string(file) {
        Ok(text) if !text.trim().is_empty() => return text.trim().to_owned(),
        Ok(_) => format!("{} is empty; put the token in it", file.display()),
        Err(e) => format!("{} cannot be read: {e}", file.display()),
    };
    problems.push(place.problem("", message));
    String::new()
}

fn positive(place: &Place, key: &str, span: time::Millis, problems: &mut Vec<Problem>) {
    if span.0 == 0 {
        problems.push(place.problem(key, "must be at least 1 millisecond"));
    }
}

/// Names must be unique and must be safe in paths, headers, metrics and request ids.
fn names<T>(
    list: &[Located<T>],
    key: &str,
    name: impl Fn(&T) -> &String,
    problems: &mut Vec<Problem>,
) {
    let mut seen = collections::BTreeSet::new();
    for Located { value, place } in list {
        let name = name(value);
        if !is_name(name) {
            let message =
                format!("`{name}` is not a name; use letters, digits, `-`, `_`, `.`, `:`");
            problems.push(place.problem(key, message));
        } else if !seen.insert(name) {
            let message = format!("`{name}` is there twice; rename or remove one");
            problems.push(place.problem(key, message));
        }
    }
}

fn is_name(text: &str) -> bool {
    let usual = |c: char| c.is_ascii_alphanumeric() || "-_.:".contains(c);
    !text.is_empty() && text.chars().all(usual)
}

/// A token belongs to one name only, or the account would name the wrong one.
fn tokens<T>(
    list: &[Located<T>],
    token: impl Fn(&T) -> (&String, &String),
    problems: &mut Vec<Problem>,
) {
    let mut seen = collections::BTreeMap::new();
    for Located { value, place } in list {
        let (name, hash) = token(value);
        if !is_hash(hash) {
            let message = "is not a SHA-256 in 64 lower-case hexadecimal digits; \
                           make one with `printf %s TOKEN | sha256sum`";
            problems.push(place.problem("token_sha256", message));
        } else if let Some(other) = seen.insert(hash, name) {
            let message = format!("is the token of `{other}` too; give each its own");
            problems.push(place.problem("token_sha256", message));
        }
    }
}

fn is_hash(text: &str) -> bool {
    let digit = |c: char| matches!(c, '0'..='9' | 'a'..='f');
    text.len() == SHA256_HEX_DIGITS && text.chars().all(digit)
}
