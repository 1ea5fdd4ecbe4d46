//! Starts the processes of a fleet on loopback addresses of their own, and stops them.

use std::{
    env, fs, net, path, process,
    sync::{self, atomic},
    thread, time,
};

use rustix::thread::{CpuSet, Pid, sched_setaffinity};
use sageshed_test_support::relay;

use crate::standin::{Message, caller, engine, operator};

/// The timeout for everything that a test waits for.
const WAIT_TIMEOUT: time::Duration = time::Duration::from_secs(40);

/// The interval between two checks of a condition.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(30);

/// The number of fleets that this test binary has started, from which each gets its loopback network.
static FLEETS: atomic::AtomicU32 = atomic::AtomicU32::new(0);

/// Held while ports are chosen, and while a process is started. A process that is being started has copies of this
/// process's listening sockets until it executes its program. A port chosen meanwhile would stay bound after
/// [`free_ports`] has dropped its listener, and the process that it was chosen for could not listen.
static CHOOSING: sync::Mutex<()> = sync::Mutex::new(());

/// Starts a process. All tests of this binary start processes by this function; see [`CHOOSING`].
pub fn spawn(command: &mut process::Command) -> process::Child {
    let _held = CHOOSING.lock().expect("no panic");
    command.spawn().expect("the program starts")
}

/// Stops an endpoint and returns once its port is closed: a process that is being started meanwhile keeps the port open
/// until it executes its program, so that connections are accepted and then reset. See [`CHOOSING`].
pub fn close(engine: engine::Engine) {
    drop(engine);
    drop(CHOOSING.lock().expect("no panic"));
}

/// Runs a process to its end, and returns what it prints.
pub fn output(command: &mut process::Command) -> process::Output {
    let piped = command
        .stdout(process::Stdio::piped())
        .stderr(process::Stdio::piped());
    spawn(piped).wait_with_output().expect("the program ends")
}

/// An entry or control process.
pub struct Process {
    pub ip: net::Ipv4Addr,
    /// The port for callers, or for the operator and endpoints.
    pub port: u16,
    /// The port for health checks, or for the metrics of a control process.
    ready: u16,
    /// The port for metrics and request traces.
    metrics: u16,
    settings: path::PathBuf,
    role: &'static str,
    child: Option<process::Child>,
}

impl Process {
    pub fn address(&self) -> net::SocketAddrV4 {
        net::SocketAddrV4::new(self.ip, self.port)
    }

    /// The status of the response to a health check; zero if there is none.
    pub fn ready(&self) -> u16 {
        let to = net::SocketAddrV4::new(self.ip, self.ready);
        operator::call(to, "GET", "/ready", "").map_or(0, |it| it.status())
    }

    /// Like [`Self::ready`]; zero also if the response takes longer than `timeout`.
    pub fn ready_within(&self, timeout: time::Duration) -> u16 {
        let to = net::SocketAddrV4::new(self.ip, self.ready);
        let answer = operator::call_within(timeout, to, "GET", "/ready", "");
        answer.map_or(0, |it| it.status())
    }

    /// The text of the response to a health check.
    pub fn ready_text(&self) -> String {
        let to = net::SocketAddrV4::new(self.ip, self.ready);
        operator::call(to, "GET", "/ready", "").map_or_else(|_| String::new(), |it| it.text())
    }

    /// The address of its metrics and request traces.
    pub fn metrics(&self) -> net::SocketAddrV4 {
        net::SocketAddrV4::new(self.ip, self.metrics)
    }

    /// Whether a control process is a voter, according to its metrics.
    pub fn votes(&self) -> bool {
        let to = net::SocketAddrV4::new(self.ip, self.ready);
        let figures = operator::call(to, "GET", "/metrics", "");
        figures.is_ok_and(|it| {
            it.text()
                .contains("sageshed_control_votes{otel_scope_name=\"sageshed\"} 1")
        })
    }

    /// Sends it a signal by name.
    pub fn signal(&self, name: &str) {
        let child = self.child.as_ref().expect("it runs");
        let id = child.id().to_string();
        let kill = output(process::Command::new("kill").args([&format!("-{name}"), &id]));
        assert!(kill.status.success(), "kill -{name}");
    }

    /// The first value of its metrics whose line starts with `name`; zero if there is none.
    pub fn metric(&self, name: &str) -> f64 {
        let text = operator::call(self.metrics(), "GET", "/metrics", "").map(|it| it.text());
        let text = text.unwrap_or_default();
        let mut lines = text.lines().filter(|it| it.starts_with(name));
        let value = lines.next().and_then(|it| it.rsplit(' ').next());
        value.and_then(|it| it.parse().ok()).unwrap_or(0.0)
    }

    /// The most memory that it has used so far, in kilobytes.
    pub fn peak_memory_kb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id())).expect("it runs");
        let line = status.lines().find(|it| it.starts_with("VmHWM:"));
        let value = line.and_then(|it| it.split_whitespace().nth(1));
        value.and_then(|it| it.parse().ok()).expect("a number")
    }

    pub fn id(&self) -> u32 {
        self.child.as_ref().expect("it runs").id()
    }

    /// Runs it on one core, with all threads that it starts from now on.
    pub fn pin(&self) {
        let mut cores = CpuSet::new();
        cores.set(0);
        let tasks = fs::read_dir(format!("/proc/{}/task", self.id())).expect("it runs");
        for task in tasks {
            let name = task.expect("an entry").file_name();
            let id = name.to_str().and_then(|it| it.parse().ok());
            // A thread that has ended meanwhile is not on any core.
            let _ = sched_setaffinity(id.and_then(Pid::from_raw), &cores);
        }
    }

    pub fn kill(&mut self) {
        let mut child = self.child.take().expect("it runs");
        child.kill().expect("it can be killed");
        child.wait().expect("it ends");
    }

    /// Waits until the process has ended by itself.
    pub fn wait(&mut self) -> process::ExitStatus {
        let until = time::Instant::now() + WAIT_TIMEOUT;
        while self.runs() {
            let late = time::Instant::now() >= until;
            assert!(!late, "{} on {} does not end", self.role, self.ip);
            thread::sleep(POLL_INTERVAL);
        }
        let mut child = self.child.take().expect("it ran");
        child.wait().expect("it has ended")
    }

    pub fn runs(&mut self) -> bool {
        let child = self.child.as_mut().expect("it was started");
        child.try_wait().expect("it can be waited for").is_none()
    }

    /// Its log so far.
    pub fn log(&self) -> String {
        fs::read_to_string(self.log_file()).unwrap_or_default()
    }

    pub fn log_file(&self) -> path::PathBuf {
        self.settings.with_extension("log")
    }

    /// Adds sections to its settings, for its next start.
    pub fn add_settings(&self, sections: &str) {
        let text = fs::read_to_string(&self.settings).expect("its settings");
        fs::write(&self.settings, text + sections).expect("settings are written");
    }

    /// Starts it with its log written to a pipe that nobody reads.
    pub fn start_with_unread_log(&mut self) {
        let mut command = process::Command::new(env!("CARGO_BIN_EXE_sageshed"));
        let command = command.args([self.role, "--config"]).arg(&self.settings);
        let unread = command
            .stdout(process::Stdio::piped())
            .stderr(process::Stdio::piped());
        self.child = Some(spawn(unread));
    }

    /// Replaces `from` in its settings by `to`, for its next start.
    pub fn replace_setting(&self, from: &str, to: &str) {
        let text = fs::read_to_string(&self.settings).expect("its settings");
        fs::write(&self.settings, text.replace(from, to)).expect("settings are written");
    }

    /// Starts it anew with `from` in its settings replaced by `to`.
    pub fn restart_with(&mut self, from: &str, to: &str) {
        self.kill();
        self.replace_setting(from, to);
        self.start();
    }

    pub fn start(&mut self) {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.log_file())
            .expect("a log file");
        let mut command = process::Command::new(env!("CARGO_BIN_EXE_sageshed"));
        let command = command.args([self.role, "--config"]).arg(&self.settings);
        let logged = command
            .stdout(log.try_clone().expect("a second handle"))
            .stderr(log);
        self.child = Some(spawn(logged));
    }
}

/// A fleet and the processes in front of it.
pub struct Fleet {
    folder: path::PathBuf,
    net: [u8; 3],
    vms_port: u16,
    control_port: u16,
    /// The number of control VMs that may be lost at once with their disks.
    tolerates: u8,
    /// Additional settings of its entry processes.
    entry_settings: &'static str,
    /// Additional settings of its control processes.
    control_settings: &'static str,
    /// The port of the relays.
    relay_port: u16,
    /// The relays through which the first entry process reaches control processes; empty if it connects directly.
    relays: Vec<relay::Relay>,
    pub control: Vec<Process>,
    pub entries: Vec<Process>,
}

impl Fleet {
    /// Starts control and entry processes, and waits until a leader answers the operator.
    pub fn start(control: u8, entries: u8) -> Self {
        Self::tolerating(1, control, entries)
    }

    /// Like [`Self::ready`], with additional settings of the entry processes.
    pub fn ready_with(entry_settings: &'static str) -> (Self, Vec<engine::Engine>) {
        Self::start_with(1, 3, 2, entry_settings).served()
    }

    /// Like [`Self::ready_with`], with many entry processes.
    pub fn many_ready(entries: u8, entry_settings: &'static str) -> (Self, Vec<engine::Engine>) {
        Self::start_with(1, 3, entries, entry_settings).served()
    }

    /// Three control processes and many entry processes, without a configuration and endpoints.
    pub fn with_entries(entries: u8, entry_settings: &'static str) -> Self {
        Self::start_with(1, 3, entries, entry_settings)
    }

    /// Like [`Self::start`], for a group that tolerates the loss of `tolerates` control VMs at once. The first three
    /// are seeds and form the group.
    pub fn tolerating(tolerates: u8, control: u8, entries: u8) -> Self {
        Self::start_with(tolerates, control, entries, "")
    }

    /// Like [`Self::many_ready`], with five control processes, of which two may be lost at once.
    pub fn ready_with_five(entries: u8) -> (Self, Vec<engine::Engine>) {
        Self::tolerating(2, 5, entries).served()
    }

    /// Like [`Self::ready_with`], with one entry process, whose calls to control processes all go over `link`.
    pub fn ready_over(
        link: &sync::Arc<relay::Link>,
        entry_settings: &'static str,
    ) -> (Self, Vec<engine::Engine>) {
        Self::over(link, entry_settings).served()
    }

    /// Two entry processes, of which the first exchanges no datagrams with others and reaches control processes over `link`,
    /// so that it can be cut off from all ([`Self::set_passage`]).
    pub fn with_a_separate_entry(link: &sync::Arc<relay::Link>) -> (Self, Vec<engine::Engine>) {
        Self::launch(1, 3, 2, "", "", Some(link)).served()
    }

    /// Sets how what the first entry process and control processes send each other passes the relays between them.
    pub fn set_passage(&self, passage: relay::Passage) {
        for relay in &self.relays {
            for direction in [relay::Direction::ToTarget, relay::Direction::FromTarget] {
                relay.set(direction, passage);
            }
        }
    }

    /// Like [`Self::start`], with control processes that take 12 connections on each port.
    pub fn with_few_connections(control: u8, entries: u8) -> Self {
        let few = "[resources]\ndescriptors = 424\n";
        Self::launch(1, control, entries, "", few, None)
    }

    fn start_with(tolerates: u8, control: u8, entries: u8, entry_settings: &'static str) -> Self {
        Self::launch(tolerates, control, entries, entry_settings, "", None)
    }

    fn launch(
        tolerates: u8,
        control: u8,
        entries: u8,
        entry_settings: &'static str,
        control_settings: &'static str,
        link: Option<&sync::Arc<relay::Link>>,
    ) -> Self {
        let number = FLEETS.fetch_add(1, atomic::Ordering::SeqCst);
        let own = process::id();
        let octet = |it: u32| u8::try_from(it % 250 + 1).expect("below 251");
        let net = [127, octet(own), octet(own / 250 * 7 + number)];
        let folder = env::temp_dir().join(format!("sageshed-fleet-{own}-{number}"));
        fs::create_dir_all(&folder).expect("a folder for the test");
        let first = net::Ipv4Addr::new(net[0], net[1], net[2], 11);
        let [vms_port, control_port, relay_port] = free_ports(first, &[]);
        let mut fleet = Self {
            folder,
            net,
            vms_port,
            control_port,
            tolerates,
            entry_settings,
            control_settings,
            relay_port,
            relays: Vec::new(),
            control: Vec::new(),
            entries: Vec::new(),
        };
        if let Some(link) = link {
            for at in 0..control {
                let ip = fleet.ip(11 + at);
                let relay =
                    relay::Relay::over(link, (ip, relay_port).into(), (ip, vms_port).into());
                fleet.relays.push(relay.expect("a port for a relay"));
            }
        }
        for at in 0..control {
            let process = fleet.new_control(at, true);
            fleet.control.push(process);
        }
        for at in 0..entries {
            let process = fleet.new_entry(at);
            fleet.entries.push(process);
        }
        for process in fleet.control.iter_mut().chain(&mut fleet.entries) {
            process.start();
        }
        fleet
    }

    /// A fleet of two entry processes that has a configuration, two engines and two plain endpoints,
    /// and is ready.
    pub fn ready() -> (Self, Vec<engine::Engine>) {
        Self::start(3, 2).served()
    }

    fn served(self) -> (Self, Vec<engine::Engine>) {
        let fleet = self;
        fleet.replace(&operator::config(10));
        let engines = vec![
            fleet.engine("e1", "engines", 31, &["m1"]),
            fleet.engine("e2", "engines", 32, &["m1"]),
            fleet.engine("p1", "plain", 33, &[]),
            fleet.engine("p2", "plain", 34, &[]),
        ];
        for (entry, process) in fleet.entries.iter().enumerate() {
            fleet.until("an entry process knows all endpoints", || {
                process.metric("sageshed_gateway_endpoints_open{") >= engines.len() as f64
            });
            for path in ["/stream/x", "/again/x"] {
                fleet.until("an entry process serves", || {
                    let answer = fleet.ask(entry, &caller::Request::new("GET", path, "first"));
                    answer.is_some_and(|it| it.status() == 200)
                });
            }
        }
        (fleet, engines)
    }

    fn ip(&self, last: u8) -> net::Ipv4Addr {
        net::Ipv4Addr::new(self.net[0], self.net[1], self.net[2], last)
    }

    fn discovery(&self, ip: net::Ipv4Addr, vms_port: u16, bootstrap: bool) -> String {
        let seeds: Vec<_> = (11..14)
            .map(|last| format!("\"{}:{}\"", self.ip(last), self.control_port))
            .collect();
        format!(
            "[discovery]\nip = \"{ip}\"\nseeds = [{}]\nvms_port = {}\nbootstrap = {bootstrap}\n\
             tolerates = {}\n",
            seeds.join(", "),
            vms_port,
            self.tolerates,
        )
    }

    /// A control process on a new VM.
    ///
    /// No test uses its port for operators, so the operating system chooses it when the listener is opened: a port
    /// that was chosen earlier could be taken by another process of the machine. That port is on an address of its
    /// own: on the VM's address, the system could choose the fleet port, which is the same on all VMs, was chosen on
    /// the address of another one and is opened later.
    pub fn new_control(&self, at: u8, bootstrap: bool) -> Process {
        let ip = self.ip(11 + at);
        let operators = self.ip(111 + at);
        let [metrics] = free_ports(ip, &[self.vms_port, self.control_port]);
        let text = format!(
            "vm = \"core-{at}\"\navailability_zone = \"z1\"\ndata = \"data-{at}\"\n[listen]\nfleet = \"{ip}:{}\"\nvms = \"{ip}:{}\"\noperators = \"{operators}:0\"\nmetrics = \"{ip}:{metrics}\"\n{}[control]\nelection_timeout_ms = 600\nheartbeat_ms = 80\n[orders]\nlease_ms = 300\n{}",
            self.control_port,
            self.vms_port,
            self.discovery(ip, self.vms_port, bootstrap),
            self.control_settings,
        );
        self.process("control", at, ip, self.control_port, metrics, &text)
    }

    fn new_entry(&self, at: u8) -> Process {
        let ip = self.ip(21 + at);
        let is_relayed = at == 0 && !self.relays.is_empty();
        let vms_port = if is_relayed {
            self.relay_port
        } else {
            self.vms_port
        };
        let [port, ready, metrics] = free_ports(ip, &[vms_port]);
        let text = format!(
            "vm = \"edge-{at}\"\navailability_zone = \"z1\"\n[listen]\ncallers = \"{ip}:{port}\"\nready = \"{ip}:{ready}\"\nmetrics = \"{ip}:{metrics}\"\n{}[shutdown]\ngrace_ms = 6000\nnotice_ms = 800\n[log]\nlevel = \"debug\"\nformat = \"json\"\noutput = \"stdout\"\n{}",
            self.discovery(ip, vms_port, false),
            self.entry_settings
        );
        Process {
            metrics,
            ..self.process("entry", at, ip, port, ready, &text)
        }
    }

    fn process(
        &self,
        role: &'static str,
        at: u8,
        ip: net::Ipv4Addr,
        port: u16,
        ready: u16,
        text: &str,
    ) -> Process {
        let settings = self.folder.join(format!("{role}-{at}.toml"));
        fs::write(&settings, text).expect("settings are written");
        Process {
            ip,
            port,
            ready,
            metrics: ready,
            settings,
            role,
            child: None,
        }
    }

    /// The logs of all its processes.
    pub fn logs(&self) -> String {
        let all = self.control.iter().chain(&self.entries);
        all.map(Process::log).collect()
    }

    /// Replaces a stopped control process by one with an empty disk.
    pub fn wipe(&mut self, at: u8) {
        let data = self.folder.join(format!("data-{at}"));
        fs::remove_dir_all(&data).expect("its data folder was there");
        self.control[usize::from(at)] = self.new_control(at, false);
    }

    pub fn engine(&self, id: &str, service: &str, last: u8, models: &[&str]) -> engine::Engine {
        self.engine_of_version("v1", id, service, last, models)
    }

    /// Like [`Self::engine`], with this version of its software.
    pub fn engine_of_version(
        &self,
        software: &'static str,
        id: &str,
        service: &str,
        last: u8,
        models: &[&str],
    ) -> engine::Engine {
        self.start_engine(None, software, id, service, last, models)
    }

    /// Like [`Self::engine`], reached by all entry processes over `link`.
    pub fn engine_over(
        &self,
        link: &sync::Arc<relay::Link>,
        id: &str,
        service: &str,
        last: u8,
        models: &[&str],
    ) -> engine::Engine {
        self.start_engine(Some(link), "v1", id, service, last, models)
    }

    fn start_engine(
        &self,
        link: Option<&sync::Arc<relay::Link>>,
        software: &'static str,
        id: &str,
        service: &str,
        last: u8,
        models: &[&str],
    ) -> engine::Engine {
        let control = self.control.iter().map(Process::address).collect();
        engine::Engine::start(id, service, software, self.ip(last), models, control, link)
    }

    /// Three control processes and one entry process whose calls to them all go over `link`, without a configuration and
    /// endpoints.
    pub fn over(link: &sync::Arc<relay::Link>, entry_settings: &'static str) -> Self {
        Self::launch(1, 3, 1, entry_settings, "", Some(link))
    }

    /// Sends one request on a connection of its own. None if no response arrives.
    pub fn ask(&self, entry: usize, ask: &caller::Request<'_>) -> Option<Message> {
        let mut caller = caller::Caller::connect(self.entries[entry].address()).ok()?;
        caller.request(ask).ok().flatten()
    }

    /// Sends a configuration to one control process after the other until one acknowledges it.
    pub fn replace(&self, config: &str) {
        self.until("a configuration is acknowledged", || {
            self.control
                .iter()
                .any(|it| Self::try_replace(it, config) == 200)
        });
    }

    /// The status of one attempt to replace the configuration; zero if there is no response.
    pub fn try_replace(control: &Process, config: &str) -> u16 {
        let answer = operator::call(control.address(), "POST", "/config/replace", config);
        answer.map_or(0, |it| it.status())
    }

    /// The configuration that a control process returns.
    pub fn read_back(&self) -> String {
        let mut text = String::new();
        self.until("the configuration is read back", || {
            let mut answers = self.control.iter().filter_map(|it| {
                let answer = operator::call(it.address(), "GET", "/config/get", "").ok()?;
                (answer.status() == 200).then(|| answer.text())
            });
            answers.next().is_some_and(|it| {
                text = it;
                true
            })
        });
        text
    }

    /// Waits until `holds` returns true; fails the test after [`WAIT_TIMEOUT`].
    pub fn until(&self, what: &str, mut holds: impl FnMut() -> bool) {
        let until = time::Instant::now() + WAIT_TIMEOUT;
        while !holds() {
            assert!(
                time::Instant::now() < until,
                "timed out waiting until {what}; see {}",
                self.folder.display()
            );
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// The connections that entry processes have closed without reading a request, since they could not start it in time.
    pub fn count_unread(&self) -> usize {
        let logs: String = self.entries.iter().map(Process::log).collect();
        let counts = logs.lines().filter_map(|line| {
            let (_, rest) = line.split_once("\"unread\":\"")?;
            rest.split('"').next()?.parse::<usize>().ok()
        });
        counts.sum()
    }

    /// Waits until entry processes have reported as many connections that they closed unread as `closed`: those of requests
    /// that got no response. A process without processor time may close a new connection.
    pub fn until_unread(&self, closed: usize) {
        self.until(
            "closed connections are among those that were not read",
            || self.count_unread() >= closed,
        );
    }

    fn print_logs(&self) {
        for process in self.control.iter().chain(&self.entries) {
            let log = process.log_file();
            let text = process.log();
            let last: Vec<&str> = text.lines().rev().take(12).collect();
            eprintln!("--- {}", log.display());
            for line in last.iter().rev() {
                eprintln!("{line}");
            }
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for process in self.control.iter_mut().chain(&mut self.entries) {
            if let Some(mut child) = process.child.take() {
                // The process may have exited by itself.
                if child.kill().is_ok() {
                    drop(child.wait());
                }
            }
        }
        if thread::panicking() {
            self.print_logs();
        } else {
            drop(fs::remove_dir_all(&self.folder));
        }
    }
}

/// Ports chosen by the operating system, none of them among `taken`. Only this test uses its addresses. Each port stays
/// bound until the last one is chosen, since the system could otherwise return the same one twice.
fn free_ports<const N: usize>(ip: net::Ipv4Addr, taken: &[u16]) -> [u16; N] {
    let _choosing = CHOOSING.lock().expect("no panic");
    let mut held = Vec::new();
    let mut chosen = Vec::new();
    while chosen.len() < N {
        let listener = net::TcpListener::bind((ip, 0)).expect("a free port");
        let port = listener.local_addr().expect("bound").port();
        if !taken.contains(&port) {
            chosen.push(port);
        }
        held.push(listener);
    }
    chosen.try_into().expect("as many as were asked for")
}
