//! Real processes of the system on this machine, with stand-ins for endpoints.
//!
//! Each cluster has a loopback address of its own, so that ports which the system chose for it are
//! not taken in between by connections of other tests.

use std::{
    collections, env,
    fmt::Write as _,
    fs, net, path, process,
    sync::{self, atomic},
    thread, time,
};

use sageshed_test_support::{config, relay, standin};
use sageshed_types::messages;

use crate::ask::Ask;

/// How long anything that is waited for may take. A test that reaches it has failed.
const PATIENCE: time::Duration = time::Duration::from_secs(40);

/// SHA-256 of the tokens `alpha`, `beta` and `operator`.
const ALPHA: &str = "8ed3f6ad685b959ead7022518e1af76cd816f8e8ec7ccdda1ed4018e8f2223f8";
const BETA: &str = "f44e64e75f3948e9f73f8dfa94721c4ce8cbb4f265c4790c702b2d41cfbf2753";
const OPERATOR: &str = "06e55b633481f7bb072957eabcf110c972e86691c3cfedabe088024bffe42f23";

/// Held while ports are chosen, and while a process is started. A process that is being started has copies of this
/// process's listening sockets until it executes its program. A port chosen meanwhile would stay bound after its
/// listener was dropped, and who it was chosen for could not listen.
static CHOOSING: sync::Mutex<()> = sync::Mutex::new(());

/// Starts a process. All tests of this binary start processes by this function; see [`CHOOSING`].
fn spawn(command: &mut process::Command) -> process::Child {
    let _held = hold_ports();
    command.spawn().unwrap()
}

fn hold_ports() -> sync::MutexGuard<'static, ()> {
    CHOOSING
        .lock()
        .unwrap_or_else(sync::PoisonError::into_inner)
}

/// A loopback address that nothing else uses, and its number in this process.
fn next_ip() -> (net::Ipv4Addr, u8) {
    static NUMBER: atomic::AtomicU8 = atomic::AtomicU8::new(1);
    let number = NUMBER.fetch_add(1, atomic::Ordering::Relaxed);
    let [low, high, ..] = process::id().to_le_bytes();
    (net::Ipv4Addr::new(127, 1 + high % 126, low, number), number)
}

/// Ports that the system chose a moment ago, on an address that nothing else uses. All are held until the last is
/// chosen: one that is let go before may be given out again for the next.
fn free_ports(ip: net::Ipv4Addr, count: usize) -> Vec<net::SocketAddr> {
    let _choosing = hold_ports();
    let held: Vec<_> = (0..count)
        .map(|_| net::TcpListener::bind((ip, 0)).unwrap())
        .collect();
    held.iter().map(|it| it.local_addr().unwrap()).collect()
}

/// Puts a relay before an endpoint that has not been started.
pub fn put_behind_relay(endpoint: &mut config::Endpoint) -> relay::Relay {
    let (ip, _) = next_ip();
    let address = free_ports(ip, 1)[0];
    let relay = relay::Relay::start(address).unwrap();
    endpoint.address = address.to_string();
    endpoint.announced = Some(relay.address().to_string());
    relay
}

/// What a cluster is made of.
pub struct Plan {
    /// VMs; each has an entry process.
    pub vms: usize,
    /// Of these, the first so many have a control process too.
    pub controls: usize,
    /// Puts a relay that can be cut between each two VMs.
    pub relays: bool,
    /// Tables added to the common settings.
    pub common: String,
    /// Lines put first in the common settings.
    pub models: String,
    /// Lines added to the table `[control]`.
    pub control: String,
    /// The endpoints.
    pub endpoints: Vec<config::Endpoint>,
    /// How many times faster than real the stand-ins are.
    pub time_scale: f64,
    /// The store that engines load from.
    pub store: config::Store,
}

impl Default for Plan {
    /// Three VMs, three control processes, two engines that hold `m1`, one service `crews`.
    fn default() -> Self {
        Self {
            vms: 3,
            controls: 3,
            relays: false,
            common: String::new(),
            models: model("m1", 1_000),
            control: String::new(),
            endpoints: vec![
                config::Endpoint::engine("e1", 10_000, &[("m1", 1_000)]),
                config::Endpoint::engine("e2", 10_000, &[("m1", 1_000)]),
                config::Endpoint::service("crews-1", "crews"),
            ],
            time_scale: 10.0,
            store: config::Store::default(),
        }
    }
}

/// A model for [`Plan::models`].
pub fn model(name: &str, memory_mib: u64) -> String {
    format!("[[models]]\nname = \"{name}\"\nmemory_mib = {memory_mib}\nload_ms = 500\n")
}

struct Vm {
    entry: net::SocketAddr,
    callers: net::SocketAddr,
    control: net::SocketAddr,
    operators: net::SocketAddr,
}

/// A running cluster. What it started ends with it.
pub struct Cluster {
    dir: path::PathBuf,
    plan: Plan,
    vms: Vec<Vm>,
    running: collections::BTreeMap<(messages::Role, usize), process::Child>,
    links: collections::BTreeMap<(usize, usize), Vec<relay::Relay>>,
    /// The endpoints.
    pub standin: standin::Standin,
}

impl Cluster {
    /// Starts everything and waits until every entry process serves and every model is answered.
    pub fn start(plan: Plan) -> Self {
        let cluster = Self::start_cold(plan);
        cluster.wait_ready();
        cluster
    }

    /// Starts everything.
    pub fn start_cold(plan: Plan) -> Self {
        let (ip, nth) = next_ip();
        let dir = env::temp_dir().join(format!("sageshed-test-{}-{nth}", process::id()));
        fs::create_dir_all(&dir).unwrap();
        let vms = Vm::choose(ip, plan.vms);
        let entries = vms.iter().map(|vm| vm.entry.to_string()).collect();
        let standin = standin::Standin::start(config::Config {
            entries,
            time_scale: plan.time_scale,
            store: plan.store,
            endpoints: plan.endpoints.clone(),
            ..config::Config::default()
        })
        .unwrap();
        let links = collections::BTreeMap::new();
        let running = collections::BTreeMap::new();
        let mut cluster = Self {
            dir,
            plan,
            vms,
            running,
            links,
            standin,
        };
        cluster.link();
        for vm in 0..cluster.plan.vms {
            cluster.write_settings(vm);
        }
        for vm in 0..cluster.plan.controls {
            cluster.start_control(vm);
        }
        for vm in 0..cluster.plan.vms {
            cluster.start_entry(vm);
        }
        cluster
    }

    /// Waits until every entry process serves, and an answer of each model came through each.
    pub fn wait_ready(&self) {
        for vm in 0..self.plan.vms {
            self.until("an entry process is ready", || self.is_ready(vm));
        }
    }

    /// Waits until each entry process passes requests on to the model `m1` and the service `crews`.
    pub fn wait_served(&self) {
        for vm in 0..self.plan.vms {
            let base = self.callers(vm);
            let crews = Ask::service(&base, "crews", &serde_json::json!({}))
                .with("Sageshed-Repeatable", "yes");
            for ask in [Ask::completion(&base, "m1", 2), crews] {
                self.until("an endpoint is known to each entry process", || {
                    ask.send().is_ok_and(|answer| answer.status == 200)
                });
            }
        }
    }

    /// The requests of [`Self::wait_served`] that are answered: one of each kind at each entry process.
    pub fn served(&self) -> u64 {
        2 * self.plan.vms as u64
    }

    /// Whether an entry process says that it is ready.
    pub fn is_ready(&self, vm: usize) -> bool {
        let url = format!("{}/readyz", self.callers(vm));
        let agent = ureq::AgentBuilder::new()
            .timeout(time::Duration::from_secs(2))
            .build();
        agent.get(&url).call().is_ok()
    }

    /// Waits until `holds`.
    pub fn until(&self, what: &str, mut holds: impl FnMut() -> bool) {
        let end = time::Instant::now() + PATIENCE;
        while !holds() {
            assert!(
                time::Instant::now() < end,
                "waited in vain until {what}\n{}",
                self.logs()
            );
            thread::sleep(time::Duration::from_millis(20));
        }
    }

    /// How many VMs there are.
    pub fn vms(&self) -> usize {
        self.plan.vms
    }

    /// How many of them have a control process.
    pub fn controls(&self) -> usize {
        self.plan.controls
    }

    /// Where callers reach an entry process.
    pub fn callers(&self, vm: usize) -> String {
        format!("http://{}", self.vms[vm].callers)
    }

    /// Where the other processes reach an entry process.
    pub fn entry(&self, vm: usize) -> net::SocketAddr {
        self.vms[vm].entry
    }

    /// Where the other processes reach a control process.
    pub fn control(&self, vm: usize) -> net::SocketAddr {
        self.vms[vm].control
    }

    /// Where operators reach a control process.
    pub fn operators(&self, vm: usize) -> String {
        format!("http://{}", self.vms[vm].operators)
    }

    /// Runs the operators' client against all control processes.
    pub fn cli(&self, args: &[&str]) -> process::Output {
        let controls: Vec<_> = (0..self.plan.controls)
            .map(|vm| self.operators(vm))
            .collect();
        Self::cli_at(&controls.join(","), args)
    }

    /// Runs the operators' client against these control processes.
    pub fn cli_at(controls: &str, args: &[&str]) -> process::Output {
        let mut command = process::Command::new(env!("CARGO_BIN_EXE_sageshed"));
        command
            .args(args)
            .env("SAGESHED_CONTROL", controls)
            .env("SAGESHED_TOKEN", "operator")
            .stdin(process::Stdio::null())
            .stdout(process::Stdio::piped())
            .stderr(process::Stdio::piped());
        spawn(&mut command).wait_with_output().unwrap()
    }

    /// What `sageshed status` shows, if a control process answers.
    pub fn status(&self) -> Option<messages::Status> {
        (0..self.plan.controls).find_map(|vm| self.status_of(vm).filter(|it| it.leader.is_some()))
    }

    /// What one control process shows.
    pub fn status_of(&self, vm: usize) -> Option<messages::Status> {
        let output = Self::cli_at(&self.operators(vm), &["status", "--json"]);
        serde_json::from_slice(&output.stdout).ok()
    }

    /// The VM that leads, once one does.
    pub fn leader(&self) -> usize {
        let mut leader = None;
        self.until("there is a leader", || {
            leader = self.status().and_then(|status| status.leader);
            leader.is_some()
        });
        let name = leader.unwrap();
        (0..self.plan.vms).find(|vm| vm_name(*vm) == name).unwrap()
    }

    /// Starts the entry process of a VM.
    pub fn start_entry(&mut self, vm: usize) {
        self.spawn(
            messages::Role::Entry,
            vm,
            &["entry", "--config"],
            "entry",
            &[],
        );
    }

    /// Starts the control process of a VM.
    pub fn start_control(&mut self, vm: usize) {
        let role = messages::Role::Control;
        self.spawn(
            role,
            vm,
            &["control", "--config"],
            "control",
            &["--new-group"],
        );
    }

    /// Kills a process at once.
    pub fn kill(&mut self, role: messages::Role, vm: usize) {
        let mut child = self.running.remove(&(role, vm)).unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    /// Sends a signal by name to a process: `STOP`, `CONT` or `TERM`.
    pub fn signal(&self, role: messages::Role, vm: usize, signal: &str) {
        let pid = self.running[&(role, vm)].id().to_string();
        let mut kill = process::Command::new("kill");
        let status = spawn(kill.args([&format!("-{signal}"), &pid])).wait();
        assert!(status.unwrap().success());
    }

    /// Whether a process has ended, and its exit status.
    pub fn ended(&mut self, role: messages::Role, vm: usize) -> Option<process::ExitStatus> {
        self.running
            .get_mut(&(role, vm))
            .unwrap()
            .try_wait()
            .unwrap()
    }

    /// Waits until a process has ended by itself, and gives its exit status.
    pub fn wait_ended(&mut self, role: messages::Role, vm: usize) -> process::ExitStatus {
        let end = time::Instant::now() + PATIENCE;
        loop {
            if let Some(status) = self.ended(role, vm) {
                return status;
            }
            assert!(
                time::Instant::now() < end,
                "it does not end\n{}",
                self.logs()
            );
            thread::sleep(time::Duration::from_millis(20));
        }
    }

    /// The data folder of a control process.
    pub fn data(&self, vm: usize) -> path::PathBuf {
        self.dir.join(format!("data-{vm}"))
    }

    /// Cuts a VM off from all others, silently: connections stay open and carry nothing.
    pub fn cut_off(&self, vm: usize) {
        self.each_link(vm, relay::Relay::cut_silently);
    }

    /// Cuts the way to the control process of a VM, silently, for all other VMs. Its own calls, and
    /// those of the entry process beside it, get through.
    pub fn cut_way_to_control(&self, vm: usize) {
        let ways = self.links.iter().filter(|((_, to), _)| *to == vm);
        ways.for_each(|(_, relays)| relays[1].cut_silently());
    }

    /// All connections between VMs go silent for good, and new ones work.
    pub fn lose_track(&self) {
        self.links
            .values()
            .flatten()
            .for_each(relay::Relay::lose_track);
    }

    /// Ends a cut.
    pub fn heal(&self, vm: usize) {
        self.each_link(vm, relay::Relay::heal);
    }

    fn each_link(&self, vm: usize, act: impl Fn(&relay::Relay)) {
        assert!(self.plan.relays, "the plan has no relays");
        for ((from, to), relays) in &self.links {
            if *from == vm || *to == vm {
                relays.iter().for_each(&act);
            }
        }
    }

    /// What the process with this part of the name, `entry` or `control`, has logged on a VM.
    pub fn log(&self, name: &str, vm: usize) -> String {
        fs::read_to_string(self.dir.join(format!("{name}-{vm}.log"))).unwrap_or_default()
    }

    /// The end of every process's log.
    pub fn logs(&self) -> String {
        let mut text = String::new();
        for entry in fs::read_dir(&self.dir).unwrap().flatten() {
            let path = entry.path();
            if path.extension().is_some_and(|it| it == "log") {
                let log = fs::read_to_string(&path).unwrap_or_default();
                let lines: Vec<_> = log.lines().collect();
                let end = &lines[lines.len().saturating_sub(15)..];
                writeln!(text, "--- {}\n{}", path.display(), end.join("\n")).unwrap();
            }
        }
        text
    }

    fn spawn(
        &mut self,
        role: messages::Role,
        vm: usize,
        command: &[&str],
        name: &str,
        further: &[&str],
    ) {
        let log = self.dir.join(format!("{name}-{vm}.log"));
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(log)
            .unwrap();
        let mut process = process::Command::new(env!("CARGO_BIN_EXE_sageshed"));
        process
            .args(command)
            .arg(self.dir.join(format!("{name}-{vm}.toml")))
            .args(further)
            .stdout(log.try_clone().unwrap())
            .stderr(log);
        let child = spawn(&mut process);
        assert!(
            self.running.insert((role, vm), child).is_none(),
            "it runs already"
        );
    }

    fn link(&mut self) {
        if !self.plan.relays {
            return;
        }
        for from in 0..self.plan.vms {
            for to in (0..self.plan.vms).filter(|to| *to != from) {
                let start = |target| relay::Relay::start(target).unwrap();
                let relays = vec![start(self.vms[to].entry), start(self.vms[to].control)];
                self.links.insert((from, to), relays);
            }
        }
    }

    /// Where VM `from` finds the ports of VM `to`.
    fn seen(&self, from: usize, to: usize) -> (net::SocketAddr, net::SocketAddr) {
        match self.links.get(&(from, to)) {
            Some(relays) => (relays[0].address(), relays[1].address()),
            None => (self.vms[to].entry, self.vms[to].control),
        }
    }

    fn write_settings(&self, vm: usize) {
        let mut common = String::new();
        for to in 0..self.plan.vms {
            let (entry, control) = self.seen(vm, to);
            write!(
                common,
                "[[vms]]\nname = \"{}\"\nnumber = {}\navailability_zone = \"z{}\"\nentry = \"{entry}\"\n",
                vm_name(to),
                to + 1,
                to % 3,
            )
            .unwrap();
            if to < self.plan.controls {
                let operators = self.vms[to].operators;
                write!(
                    common,
                    "control = \"{control}\"\noperators = \"{operators}\"\n"
                )
                .unwrap();
            }
        }
        let voters: Vec<_> = (0..self.plan.controls)
            .map(|vm| format!("\"{}\"", vm_name(vm)))
            .collect();
        write!(
            common,
            "{}\n[[services]]\nname = \"crews\"\n\
             [[classes]]\nname = \"usual\"\npriority = 5\ndeadline_ms = 20000\n\
             [[classes]]\nname = \"urgent\"\npriority = 9\ndeadline_ms = 20000\n\
             [[callers]]\nname = \"alpha\"\nclass = \"usual\"\ntoken_sha256 = \"{ALPHA}\"\n\
             [[callers]]\nname = \"beta\"\nclass = \"urgent\"\ntoken_sha256 = \"{BETA}\"\n\
             [[operators]]\nname = \"op\"\ntoken_sha256 = \"{OPERATOR}\"\n\
             {}\n[control]\ninitial_voters = [{}]\n{}",
            self.plan.models,
            self.plan.common,
            voters.join(", "),
            self.plan.control,
        )
        .unwrap();
        let name = vm_name(vm);
        let Vm {
            entry,
            callers,
            control,
            operators,
        } = &self.vms[vm];
        self.write(&format!("common-{vm}.toml"), &common);
        let entry = format!(
            "vm = \"{name}\"\ncommon = \"common-{vm}.toml\"\n\
             [listen]\ncallers = \"{callers}\"\nvms = \"{entry}\"\n\
             [shutdown]\nnotice_ms = 300\n[log]\nlevel = \"debug\"\n",
        );
        self.write(&format!("entry-{vm}.toml"), &entry);
        let control = format!(
            "vm = \"{name}\"\ncommon = \"common-{vm}.toml\"\ndata = \"data-{vm}\"\n\
             [listen]\nvms = \"{control}\"\noperators = \"{operators}\"\n",
        );
        self.write(&format!("control-{vm}.toml"), &control);
    }

    /// Writes the models on offer anew; processes read them at their next start.
    pub fn set_models(&mut self, models: &str) {
        models.clone_into(&mut self.plan.models);
        for vm in 0..self.plan.vms {
            self.write_settings(vm);
        }
    }

    fn write(&self, name: &str, text: &str) {
        fs::write(self.dir.join(name), text).unwrap();
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for child in self.running.values_mut() {
            // A stopped process takes the kill too. One that has ended already needs none.
            if child.kill().is_ok() {
                child.wait().unwrap();
            }
        }
        if !thread::panicking() {
            fs::remove_dir_all(&self.dir).unwrap();
        }
    }
}

/// The name of a VM.
pub fn vm_name(vm: usize) -> String {
    format!("vm{}", vm + 1)
}

impl Vm {
    /// VMs with ports that nothing else uses.
    fn choose(ip: net::Ipv4Addr, count: usize) -> Vec<Self> {
        let ports = free_ports(ip, count * 4);
        let vm = |ports: &[net::SocketAddr]| Self {
            entry: ports[0],
            callers: ports[1],
            control: ports[2],
            operators: ports[3],
        };
        ports.chunks(4).map(vm).collect()
    }
}
