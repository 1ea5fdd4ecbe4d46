//! From a path to checked settings.

use std::path;

use super::{
    Common, Control, ControlListen, Entry, EntryListen, Limits, Log, Problem, Problems, RuleFile,
    checks, fleet, reader, rule_file,
};

/// A settings file of any kind.
#[derive(Debug, Clone)]
pub enum Settings {
    /// Of an entry process.
    Entry(Box<Entry>),
    /// Of a control process.
    Control(Box<Control>),
    /// What all VMs share.
    Common(Box<Common>),
    /// Of an entry process that finds others by seeds.
    FleetEntry(Box<fleet::FleetEntry>),
    /// Of a control process that finds others by seeds.
    FleetControl(Box<fleet::FleetControl>),
    /// Rules, which are no settings of a process but are checked the same way.
    Rules(RuleFile),
}

/// What a file is, by the keys it has.
enum Kind {
    Entry,
    Control,
    Common,
    FleetEntry,
    FleetControl,
    Rules,
}

/// Reads and checks the settings at `file`, whichever kind they are.
pub fn load(file: &path::Path) -> Result<Settings, Problems> {
    let source = reader::Source::read(file).map_err(|problem| Problems {
        list: vec![problem],
    })?;
    match kind(&source) {
        Kind::Entry => entry(file).map(|it| Settings::Entry(Box::new(it))),
        Kind::Control => control(file).map(|it| Settings::Control(Box::new(it))),
        Kind::Common => common(file).map(|it| Settings::Common(Box::new(it))),
        Kind::FleetEntry => fleet_entry(file).map(|it| Settings::FleetEntry(Box::new(it))),
        Kind::FleetControl => fleet_control(file).map(|it| Settings::FleetControl(Box::new(it))),
        Kind::Rules => rule_file::read_rules(file).map(Settings::Rules),
    }
}

fn kind(source: &reader::Source) -> Kind {
    let Ok(reader) = source.reader() else {
        return Kind::Common;
    };
    if reader.has("discovery") && reader.has("data") {
        Kind::FleetControl
    } else if reader.has("discovery") {
        Kind::FleetEntry
    } else if reader.has("data") {
        Kind::Control
    } else if reader.has("vm") || reader.has("common") {
        Kind::Entry
    } else if reader.has("rules") || reader.has("do") {
        Kind::Rules
    } else {
        Kind::Common
    }
}

/// Reads and checks the settings of an entry process.
pub fn entry(file: &path::Path) -> Result<Entry, Problems> {
    let mut problems = Vec::new();
    let value = read_entry(file, &mut problems);
    finish(problems, value)
}

/// Reads and checks the settings of a control process.
pub fn control(file: &path::Path) -> Result<Control, Problems> {
    let mut problems = Vec::new();
    let value = read_control(file, &mut problems);
    finish(problems, value)
}

/// Whether the file at `file` is of a process that finds others by seeds.
#[must_use]
pub fn is_fleet(file: &path::Path) -> bool {
    let kind = reader::Source::read(file).map(|source| kind(&source));
    matches!(kind, Ok(Kind::FleetEntry | Kind::FleetControl))
}

/// Reads and checks the settings of an entry process that finds others by seeds.
pub fn fleet_entry(file: &path::Path) -> Result<fleet::FleetEntry, Problems> {
    let mut problems = Vec::new();
    let source = open(file, &mut problems);
    let value = source.as_ref().and_then(|source| {
        let reader = parse(source, &mut problems)?;
        fleet::read_entry(file, reader, &mut problems)
    });
    finish(problems, value)
}

/// Reads and checks the settings of a control process that finds others by seeds.
pub fn fleet_control(file: &path::Path) -> Result<fleet::FleetControl, Problems> {
    let mut problems = Vec::new();
    let source = open(file, &mut problems);
    let value = source.as_ref().and_then(|source| {
        let reader = parse(source, &mut problems)?;
        fleet::read_control(file, reader, &mut problems)
    });
    finish(problems, value)
}

/// Reads and checks the settings that all VMs share.
pub fn common(file: &path::Path) -> Result<Common, Problems> {
    let mut problems = Vec::new();
    let value = read_common(file, &mut problems);
    finish(problems, value)
}

/// A value is missing only where a problem says why.
fn finish<T>(problems: Vec<Problem>, value: Option<T>) -> Result<T, Problems> {
    let value = Problems::or(problems, value)?;
    Ok(value.expect("settings without a problem are complete"))
}

fn read_entry(file: &path::Path, problems: &mut Vec<Problem>) -> Option<Entry> {
    let source = open(file, problems)?;
    let mut reader = parse(&source, problems)?;
    let vm = reader.required::<String>("vm");
    let common = reader.required::<path::PathBuf>("common");
    let listen = reader.required::<EntryListen>("listen");
    let mut log = reader.section::<Log>("log").value;
    let shutdown = reader.section("shutdown").value;
    let limits_changes = reader.section::<toml::Table>("limits");
    problems.extend(reader.finish());

    log.file = log.file.map(|it| beside(file, &it));
    let common = read_common(&beside(file, &common?.value), problems);
    let base = common.as_ref().map_or_else(Limits::default, |it| it.limits);
    let limits = match base.changed(&limits_changes.value) {
        Ok(limits) => limits,
        Err(error) => {
            let message = error.message().replace('\n', ", ");
            problems.push(limits_changes.place.problem("", message));
            base
        }
    };
    checks::limits(&limits, &limits_changes.place, problems);
    let common = common?;
    let vm = checks::own_vm(&vm?, &common, checks::Runs::Entry, problems)?;
    Some(Entry {
        file: file.to_owned(),
        vm,
        common,
        listen: listen?.value,
        log,
        shutdown,
        limits,
    })
}

fn read_control(file: &path::Path, problems: &mut Vec<Problem>) -> Option<Control> {
    let source = open(file, problems)?;
    let mut reader = parse(&source, problems)?;
    let vm = reader.required::<String>("vm");
    let common = reader.required::<path::PathBuf>("common");
    let listen = reader.required::<ControlListen>("listen");
    let data = reader.required::<path::PathBuf>("data");
    let mut log = reader.section::<Log>("log").value;
    problems.extend(reader.finish());

    log.file = log.file.map(|it| beside(file, &it));
    let common = read_common(&beside(file, &common?.value), problems)?;
    let vm = checks::own_vm(&vm?, &common, checks::Runs::Control, problems)?;
    Some(Control {
        file: file.to_owned(),
        vm,
        common,
        listen: listen?.value,
        data: beside(file, &data?.value),
        log,
    })
}

fn read_common(file: &path::Path, problems: &mut Vec<Problem>) -> Option<Common> {
    let source = open(file, problems)?;
    let mut reader = parse(&source, problems)?;
    let token_file = reader.optional::<path::PathBuf>("vms_token_file");
    let vms = reader.list("vms");
    let models = reader.list("models");
    let services = reader.list("services");
    let classes = reader.list("classes");
    let callers = reader.list("callers");
    let operators = reader.list("operators");
    let claims = reader.section("claims");
    let lease = reader.section("lease");
    let control = reader.required("control");
    let routing = reader.section("routing");
    let placement = reader.section("placement");
    let limits = reader.section("limits");
    let top = reader.top();
    problems.extend(reader.finish());

    checks::vms(&vms, &top, problems);
    checks::models(&models, problems);
    checks::services(&services, &models, problems);
    checks::classes(&classes, problems);
    checks::callers(&callers, &classes, problems);
    checks::operators(&operators, problems);
    checks::claims(&claims, problems);
    checks::lease(&lease, problems);
    checks::policies(&routing, &placement, problems);
    checks::limits(&limits.value, &limits.place, problems);
    let token_file = token_file.map(|it| reader::Located {
        value: beside(file, &it.value),
        place: it.place,
    });
    let vms_token = checks::vms_token(token_file.as_ref(), problems);
    let control = control?;
    checks::control_group(&control, &vms, problems);
    Some(Common {
        file: file.to_owned(),
        vms_token_file: token_file.map(|it| it.value),
        vms_token,
        vms: values(vms),
        discovery: None,
        models: values(models),
        services: values(services),
        classes: values(classes),
        callers: values(callers),
        operators: values(operators),
        claims: claims.value,
        lease: lease.value,
        control: control.value,
        routing: routing.value,
        placement: placement.value,
        limits: limits.value,
    })
}

fn open(file: &path::Path, problems: &mut Vec<Problem>) -> Option<reader::Source> {
    match reader::Source::read(file) {
        Ok(source) => Some(source),
        Err(problem) => {
            problems.push(problem);
            None
        }
    }
}

fn parse<'a>(
    source: &'a reader::Source,
    problems: &mut Vec<Problem>,
) -> Option<reader::Reader<'a>> {
    match source.reader() {
        Ok(reader) => Some(reader),
        Err(list) => {
            problems.extend(list);
            None
        }
    }
}

fn values<T>(list: Vec<reader::Located<T>>) -> Vec<T> {
    list.into_iter().map(|it| it.value).collect()
}

/// `path` as the settings at `file` mean it.
pub(super) fn beside(file: &path::Path, path: &path::Path) -> path::PathBuf {
    match file.parent() {
        Some(folder) => folder.join(path),
        None => path.to_owned(),
    }
}
