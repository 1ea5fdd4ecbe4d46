//! Measures how fast changes of the rules are accepted and in force, and what that costs.
//!
//! Starts 3 control and 7 entry processes of the program beside it, on this machine and without
//! endpoints, and prints one line for each figure:
//!
//! ```text
//! cargo build --release && cargo run --release --example measure_control
//! ```
//!
//! A change counts as accepted when the operator's client has the answer, and as in force at an
//! entry process when a caller there is refused by that revision, asked every 4 ms. Traffic is
//! counted in a second run, whose control ports are reached through forwarders in this process.

use std::{
    collections, env, error, fmt::Write as _, fs, io, io::Read as _, io::Write as _, net, path,
    process, sync, sync::atomic, thread, time,
};

use sageshed_operators::{client, wire};
use sageshed_types::rules;

const ENTRIES: usize = 7;
const CONTROLS: usize = 3;
const PATIENCE: time::Duration = time::Duration::from_mins(1);
const POLL: time::Duration = time::Duration::from_millis(4);
/// SHA-256 of the tokens `beta` and `operator`.
const BETA: &str = "f44e64e75f3948e9f73f8dfa94721c4ce8cbb4f265c4790c702b2d41cfbf2753";
const OPERATOR: &str = "06e55b633481f7bb072957eabcf110c972e86691c3cfedabe088024bffe42f23";

type Result<T> = std::result::Result<T, Box<dyn error::Error + Send + Sync>>;

fn main() -> Result<()> {
    let mut cluster = Cluster::start(false)?;
    cluster.quiet()?;
    cluster.cpu("idle", time::Duration::from_secs(10))?;
    cluster.failovers(5)?;
    cluster.catch_up(5, 500)?;
    cluster.sustained(50, time::Duration::from_mins(1))?;
    drop(cluster);
    traffic()
}

/// Processes with their ports. Control process `n` and entry process `n` share a VM.
struct Cluster {
    dir: path::PathBuf,
    vms: Vec<Vm>,
    controls: Vec<Option<process::Child>>,
    entries: Vec<Option<process::Child>>,
    client: client::Client,
    base: rules::Revision,
    changes: u64,
    bytes: sync::Arc<atomic::AtomicU64>,
}

struct Vm {
    entry: net::SocketAddr,
    callers: net::SocketAddr,
    control: net::SocketAddr,
    operators: net::SocketAddr,
}

impl Cluster {
    fn start(counted: bool) -> Result<Self> {
        let dir = env::temp_dir().join(format!("measure-control-{}", process::id()));
        fs::create_dir_all(&dir)?;
        let vms = (0..ENTRIES)
            .map(|_| Vm::choose())
            .collect::<io::Result<Vec<_>>>()?;
        let operators = vms.iter().take(CONTROLS).map(|vm| vm.operators.to_string());
        let options = client::Options {
            // Sent again here: the client's own pauses double, and would show instead of the gap.
            rounds: 1,
            ..client::Options::new(operators.collect(), "operator".to_owned())
        };
        let mut cluster = Self {
            dir,
            vms,
            controls: (0..CONTROLS).map(|_| None).collect(),
            entries: (0..ENTRIES).map(|_| None).collect(),
            client: client::Client::new(options),
            base: rules::Revision(0),
            changes: 0,
            bytes: sync::Arc::default(),
        };
        cluster.write_settings(counted)?;
        for vm in 0..CONTROLS {
            cluster.start_control(vm)?;
        }
        for vm in 0..ENTRIES {
            cluster.entries[vm] = Some(cluster.spawn("entry", vm, &[])?);
        }
        cluster.change()?;
        cluster.in_force(time::Instant::now())?;
        Ok(cluster)
    }

    fn start_control(&mut self, vm: usize) -> Result<()> {
        self.controls[vm] = Some(self.spawn("control", vm, &["--new-group"])?);
        Ok(())
    }

    fn spawn(&self, role: &str, vm: usize, further: &[&str]) -> Result<process::Child> {
        let log = self.dir.join(format!("{role}-{vm}.log"));
        let log = fs::File::options().create(true).append(true).open(log)?;
        let own = env::current_exe()?;
        let folder = own.parent().and_then(path::Path::parent);
        let program = folder.ok_or("no folder of programs")?.join("sageshed");
        Ok(process::Command::new(program)
            .args([role, "--config"])
            .arg(self.dir.join(format!("{role}-{vm}.toml")))
            .args(further)
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?)
    }

    fn write_settings(&self, counted: bool) -> Result<()> {
        let mut common = String::new();
        for (n, vm) in self.vms.iter().enumerate() {
            writeln!(
                common,
                "[[vms]]\nname = \"vm{n}\"\nnumber = {}\navailability_zone = \"z{}\"\nentry = \"{}\"",
                n + 1,
                n % 4,
                vm.entry
            )?;
            if n < CONTROLS {
                let control = if counted {
                    forward(vm.control, sync::Arc::clone(&self.bytes))?
                } else {
                    vm.control
                };
                let operators = vm.operators;
                writeln!(
                    common,
                    "control = \"{control}\"\noperators = \"{operators}\""
                )?;
            }
        }
        write!(
            common,
            "[[models]]\nname = \"m1\"\nmemory_mib = 1000\nload_ms = 1000\n\
             [[classes]]\nname = \"usual\"\ndeadline_ms = 20000\n\
             [[callers]]\nname = \"beta\"\nclass = \"usual\"\ntoken_sha256 = \"{BETA}\"\n\
             [[operators]]\nname = \"op\"\ntoken_sha256 = \"{OPERATOR}\"\n\
             [control]\ninitial_voters = [\"vm0\", \"vm1\", \"vm2\"]\n"
        )?;
        fs::write(self.dir.join("common.toml"), common)?;
        for (n, vm) in self.vms.iter().enumerate() {
            let head = format!("vm = \"vm{n}\"\ncommon = \"common.toml\"\n");
            let Vm {
                entry,
                callers,
                control,
                operators,
            } = vm;
            let text = format!("{head}[listen]\ncallers = \"{callers}\"\nvms = \"{entry}\"\n");
            fs::write(self.dir.join(format!("entry-{n}.toml")), text)?;
            let text = format!(
                "{head}data = \"data-{n}\"\n\
                 [listen]\nvms = \"{control}\"\noperators = \"{operators}\"\n"
            );
            fs::write(self.dir.join(format!("control-{n}.toml")), text)?;
        }
        Ok(())
    }

    /// Has one change accepted, sent again until it is. The time that took.
    fn change(&mut self) -> Result<time::Duration> {
        self.changes += 1;
        let refuse = |id: &str| rules::Rule {
            id: id.to_owned(),
            when: rules::When {
                caller: vec!["beta".to_owned()],
                ..rules::When::default()
            },
            action: rules::Action::Refuse(rules::Refuse::default()),
            not_repeatable: None,
            deadline_ms: None,
        };
        let edit = match self.changes {
            1 => rules::Edit::ReplaceAll {
                rules: vec![refuse("probe")],
            },
            n if n % 2 == 0 => rules::Edit::Add {
                rule: Box::new(refuse("other")),
                position: rules::Position::Last,
            },
            _ => rules::Edit::Withdraw {
                id: "other".to_owned(),
            },
        };
        let change = wire::ChangeReq {
            change_id: format!("change-{}", self.changes),
            base_revision: self.base,
            edit,
        };
        let begun = time::Instant::now();
        loop {
            match self.client.change(&change) {
                Ok(rules::ChangeOutcome::Accepted { revision }) => {
                    self.base = revision;
                    return Ok(begun.elapsed());
                }
                Ok(other) => return Err(format!("{other:?}").into()),
                Err(e) if begun.elapsed() > PATIENCE => return Err(e.into()),
                Err(_) => thread::sleep(time::Duration::from_millis(1)),
            }
        }
    }

    /// How long after `accepted` the newest revision was in force at every entry process.
    fn in_force(&self, accepted: time::Instant) -> Result<time::Duration> {
        let wait = |vm: &Vm| {
            while decided_by(vm.callers) < Some(self.base.0) {
                if accepted.elapsed() > PATIENCE {
                    return Err("not in force in time");
                }
                thread::sleep(POLL);
            }
            Ok(accepted.elapsed())
        };
        let times = thread::scope(|scope| {
            let threads: Vec<_> = self
                .vms
                .iter()
                .map(|vm| scope.spawn(move || wait(vm)))
                .collect();
            let times = threads
                .into_iter()
                .map(|it| it.join().unwrap_or(Err("panicked")));
            times.collect::<std::result::Result<Vec<_>, _>>()
        })?;
        Ok(times.into_iter().max().unwrap_or_default())
    }

    fn quiet(&mut self) -> Result<()> {
        let (mut accepted, mut in_force) = (Vec::new(), Vec::new());
        for _ in 0..100 {
            accepted.push(self.change()?);
            in_force.push(self.in_force(time::Instant::now())?);
        }
        print("change accepted, quiet", accepted);
        print("then in force on 7 entries, quiet", in_force);
        Ok(())
    }

    fn failovers(&mut self, times: usize) -> Result<()> {
        let (mut gaps, mut in_force) = (Vec::new(), Vec::new());
        for _ in 0..times {
            let leader = self.leader()?;
            for _ in 0..10 {
                self.change()?;
            }
            stop(&mut self.controls[leader]);
            let killed = time::Instant::now();
            self.change()?;
            gaps.push(killed.elapsed());
            in_force.push(self.in_force(time::Instant::now())?);
            self.start_control(leader)?;
            self.until_follows(leader)?;
        }
        print("leader killed, until the next change is accepted", gaps);
        print("then in force on 7 entries", in_force);
        Ok(())
    }

    fn catch_up(&mut self, times: usize, changes: usize) -> Result<()> {
        let (mut control, mut entry) = (Vec::new(), Vec::new());
        for _ in 0..times {
            let away = (self.leader()? + 1) % CONTROLS;
            stop(&mut self.controls[away]);
            stop(&mut self.entries[ENTRIES - 1]);
            for _ in 0..changes {
                self.change()?;
            }
            let begun = time::Instant::now();
            self.start_control(away)?;
            self.until_follows(away)?;
            control.push(begun.elapsed());
            let begun = time::Instant::now();
            self.entries[ENTRIES - 1] = Some(self.spawn("entry", ENTRIES - 1, &[])?);
            entry.push(self.in_force(begun)?);
        }
        println!("away for {changes} changes, from the start of the process:");
        print("control process up to date", control);
        print("entry process serves by the last", entry);
        Ok(())
    }

    fn sustained(&mut self, rate: u32, span: time::Duration) -> Result<()> {
        let before = self.cpu_ticks()?;
        let begun = time::Instant::now();
        let mut accepted = Vec::new();
        let period = time::Duration::from_secs(1) / rate;
        while begun.elapsed() < span {
            accepted.push(self.change()?);
            let due = period * u32::try_from(accepted.len())?;
            thread::sleep(due.saturating_sub(begun.elapsed()));
        }
        let took = begun.elapsed().as_secs_f64();
        let achieved = accepted.len() as f64 / took;
        println!("sustained: {achieved:.1} changes/s of {rate} asked for, for {took:.0} s");
        print("change accepted, sustained", accepted);
        print(
            "then in force on 7 entries",
            vec![self.in_force(time::Instant::now())?],
        );
        self.print_cpu("sustained", &before, took)
    }

    fn leader(&self) -> Result<usize> {
        let begun = time::Instant::now();
        loop {
            let leader = self.client.status()?.leader;
            if let Some(vm) = leader.and_then(|it| it.strip_prefix("vm")?.parse().ok()) {
                return Ok(vm);
            }
            if begun.elapsed() > PATIENCE {
                return Err("no leader".into());
            }
            thread::sleep(POLL);
        }
    }

    fn until_follows(&self, vm: usize) -> Result<()> {
        let address = self.vms[vm].operators.to_string();
        let options = client::Options {
            rounds: 1,
            ..client::Options::new(vec![address], "operator".to_owned())
        };
        let client = client::Client::new(options);
        let begun = time::Instant::now();
        while !client.status().is_ok_and(|it| it.revision >= self.base) {
            if begun.elapsed() > PATIENCE {
                return Err("it did not catch up".into());
            }
            thread::sleep(POLL);
        }
        Ok(())
    }

    fn cpu(&self, what: &str, span: time::Duration) -> Result<()> {
        let before = self.cpu_ticks()?;
        thread::sleep(span);
        self.print_cpu(what, &before, span.as_secs_f64())
    }

    fn print_cpu(&self, what: &str, before: &Ticks, seconds: f64) -> Result<()> {
        let after = self.cpu_ticks()?;
        for (role, now) in &after {
            // A tick is 10 ms on Linux.
            let used = now
                .iter()
                .zip(&before[role])
                .map(|(now, before)| now.saturating_sub(*before) as f64 / seconds);
            let used: Vec<_> = used.map(|percent| format!("{percent:.1}")).collect();
            println!(
                "CPU {what}, {role} processes, % of a core each: {}",
                used.join(" ")
            );
        }
        Ok(())
    }

    fn cpu_ticks(&self) -> Result<Ticks> {
        let of = |children: &[Option<process::Child>]| {
            let ticks = children.iter().flatten().map(|child| {
                let stat = fs::read_to_string(format!("/proc/{}/stat", child.id()))?;
                let fields = stat
                    .rsplit(')')
                    .next()
                    .unwrap_or_default()
                    .split_whitespace();
                let used = fields
                    .skip(11)
                    .take(2)
                    .filter_map(|it| it.parse::<u64>().ok());
                Ok(used.sum())
            });
            ticks.collect::<Result<Vec<u64>>>()
        };
        Ok(Ticks::from([
            ("control", of(&self.controls)?),
            ("entry", of(&self.entries)?),
        ]))
    }
}

type Ticks = collections::BTreeMap<&'static str, Vec<u64>>;

impl Drop for Cluster {
    fn drop(&mut self) {
        self.controls
            .iter_mut()
            .chain(&mut self.entries)
            .for_each(stop);
        drop(fs::remove_dir_all(&self.dir));
    }
}

impl Vm {
    fn choose() -> io::Result<Self> {
        let held = (0..4)
            .map(|_| net::TcpListener::bind("127.0.0.1:0"))
            .collect::<io::Result<Vec<_>>>()?;
        let port = |nth: usize| held[nth].local_addr();
        Ok(Self {
            entry: port(0)?,
            callers: port(1)?,
            control: port(2)?,
            operators: port(3)?,
        })
    }
}

fn stop(child: &mut Option<process::Child>) {
    if let Some(mut child) = child.take() {
        drop(child.kill());
        drop(child.wait());
    }
}

/// The revision by which an entry process refuses the caller, if it serves.
fn decided_by(callers: net::SocketAddr) -> Option<u64> {
    let body = r#"{"model":"m1","prompt":"a","max_tokens":1}"#;
    let result = ureq::post(&format!("http://{callers}/v1/completions"))
        .set("Authorization", "Bearer beta")
        .set("Content-Type", "application/json")
        .timeout(time::Duration::from_secs(2))
        .send_string(body);
    let Err(ureq::Error::Status(_, resp)) = result else {
        return None;
    };
    let account: serde_json::Value = serde_json::from_str(&resp.into_string().ok()?).ok()?;
    (account["reason"] == "rule_refused").then(|| account["revision"].as_u64())?
}

fn print(what: &str, mut times: Vec<time::Duration>) {
    times.sort_unstable();
    let at = |share: usize| times[(times.len() - 1) * share / 100].as_secs_f64() * 1_000.0;
    println!(
        "{what}: p50 {:.1} ms, p99 {:.1} ms, max {:.1} ms ({} times)",
        at(50),
        at(99),
        at(100),
        times.len()
    );
}

/// Bytes a second to and from control processes, without changes and with 10 a second.
fn traffic() -> Result<()> {
    let mut cluster = Cluster::start(true)?;
    let span = time::Duration::from_secs(10);
    let bytes = sync::Arc::clone(&cluster.bytes);
    let before = bytes.load(atomic::Ordering::Relaxed);
    thread::sleep(span);
    let idle = bytes.load(atomic::Ordering::Relaxed) - before;
    println!(
        "bytes to and from all control processes, idle: {} a second",
        idle / span.as_secs()
    );
    let (begun, before) = (time::Instant::now(), bytes.load(atomic::Ordering::Relaxed));
    while begun.elapsed() < span {
        cluster.change()?;
        thread::sleep(time::Duration::from_millis(100));
    }
    let busy = bytes.load(atomic::Ordering::Relaxed) - before;
    println!(
        "the same with about 10 changes a second: {} a second",
        busy / span.as_secs()
    );
    Ok(())
}

/// A forwarder to `target` that counts the bytes of both directions.
fn forward(
    target: net::SocketAddr,
    bytes: sync::Arc<atomic::AtomicU64>,
) -> io::Result<net::SocketAddr> {
    let listener = net::TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = net::TcpStream::connect(target) else {
                continue;
            };
            for (from, to) in [(&near, &far), (&far, &near)] {
                let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else {
                    continue;
                };
                let bytes = sync::Arc::clone(&bytes);
                thread::spawn(move || copy(from, to, &bytes));
            }
        }
    });
    Ok(address)
}

fn copy(mut from: net::TcpStream, mut to: net::TcpStream, bytes: &atomic::AtomicU64) {
    let mut buf = [0; 16 * 1024];
    drop(to.set_nodelay(true));
    while let Ok(n @ 1..) = from.read(&mut buf) {
        bytes.fetch_add(n as u64, atomic::Ordering::Relaxed);
        if to.write_all(&buf[..n]).is_err() {
            break;
        }
    }
    drop(to.shutdown(net::Shutdown::Both));
}
