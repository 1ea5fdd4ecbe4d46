//! Starts the project's processes with the commands and templates of the deploy file, on loopback addresses.

use std::{
    fs,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::{http, record::Record};

/// The settings of a small deployment, from the users' pages.
pub const EDGE_MEMORY_MB: u64 = 260;
pub const CORE_MEMORY_MB: u64 = 256;

/// How long the processes may take to form a group and to know the endpoints.
const START_LIMIT: Duration = Duration::from_secs(30);

pub struct Node {
    pub name: String,
    pub role: &'static str,
    pub ip: Ipv4Addr,
    settings: PathBuf,
    child: Option<Child>,
}

pub struct Fleet {
    pub dir: PathBuf,
    net: [u8; 3],
    ports: [u16; 5],
    pub control: Vec<Node>,
    pub entries: Vec<Node>,
}

impl Node {
    pub fn start(&mut self) {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.settings.with_extension("log"))
            .expect("a log file");
        let child = Command::new("target/release/sageshed")
            .args([self.role, "--config"])
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a second handle"))
            .stderr(log)
            .spawn()
            .expect("target/release/sageshed starts");
        self.child = Some(child);
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Fails only if it has ended already.
            drop(child.kill());
            drop(child.wait());
        }
    }

    /// The memory that the process has resident, in MB.
    pub fn memory_mb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid()));
        let status = status.unwrap_or_default();
        let line = status.lines().find(|it| it.starts_with("VmRSS:"));
        let kb: Option<u64> = line.and_then(|it| it.split_whitespace().nth(1)?.parse().ok());
        kb.unwrap_or(0) / 1024
    }
}

impl Fleet {
    /// Starts `control` core and `entries` edge machines.
    pub fn start(control: u8, entries: u8, record: &Record) -> Self {
        let own = std::process::id();
        let dir = std::env::temp_dir().join(format!("sageshed-review-{own}"));
        fs::create_dir_all(&dir).expect("a temporary folder");
        let octet = |it: u32| u8::try_from(it % 250 + 2).expect("below 256");
        let net = [127, octet(own), octet(own / 250)];
        let mut fleet = Self {
            dir,
            net,
            ports: free_ports(Ipv4Addr::new(net[0], net[1], net[2], 11)),
            control: Vec::new(),
            entries: Vec::new(),
        };
        for at in 0..control {
            let node = fleet.node("control", "core", 11 + at);
            fleet.control.push(node);
        }
        for at in 0..entries {
            let node = fleet.node("entry", "edge", 21 + at);
            fleet.entries.push(node);
        }
        for node in fleet.control.iter_mut().chain(&mut fleet.entries) {
            node.start();
        }
        record.note(&format!(
            "{control} control and {entries} entry processes started"
        ));
        fleet
    }

    pub fn ip(&self, last: u8) -> Ipv4Addr {
        Ipv4Addr::new(self.net[0], self.net[1], self.net[2], last)
    }

    pub fn control_address(&self, at: usize) -> SocketAddr {
        SocketAddrV4::new(self.control[at].ip, self.ports[2]).into()
    }

    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        (0..self.control.len())
            .map(|at| self.control_address(at))
            .collect()
    }

    pub fn front(&self, at: usize) -> SocketAddr {
        SocketAddrV4::new(self.entries[at].ip, self.ports[3]).into()
    }

    fn node(&self, role: &'static str, class: &str, last: u8) -> Node {
        let ip = self.ip(last);
        let name = format!("{class}-{last}");
        let template = fs::read_to_string(format!("deploy/{role}.toml.tmpl"));
        let text = self.fill_in(&template.expect("the template"), &name, ip);
        let settings = self.dir.join(format!("{name}.toml"));
        fs::write(&settings, text).expect("settings are written");
        Node {
            name,
            role,
            ip,
            settings,
            child: None,
        }
    }

    /// Fills in a template as the platform does.
    fn fill_in(&self, template: &str, name: &str, ip: Ipv4Addr) -> String {
        let seeds: Vec<String> = (11..14)
            .map(|last| format!("\"{}:{}\"", self.ip(last), self.ports[2]))
            .collect();
        let (before, rest) = template.split_once("{{#seeds}}").expect("a list of seeds");
        let (_, after) = rest.split_once("{{/seeds}}").expect("its end");
        let mut text = format!("{before}{}{after}", seeds.join(", "));
        let is_core = name.starts_with("core");
        let memory = if is_core {
            CORE_MEMORY_MB
        } else {
            EDGE_MEMORY_MB
        };
        let values = [
            ("node", name.to_owned()),
            ("zone", "z1".to_owned()),
            ("ip", ip.to_string()),
            (
                "data_dir",
                self.dir.join(format!("data-{name}")).display().to_string(),
            ),
            ("listen.control", format!("{ip}:{}", self.ports[2])),
            ("listen.front", format!("{ip}:{}", self.ports[3])),
            ("listen.ready", format!("{ip}:{}", self.ports[4])),
            ("port_range.0", self.ports[0].to_string()),
            ("port_range.1", self.ports[1].to_string()),
            ("bootstrap", "true".to_owned()),
            ("fault_tolerance.machines", "2".to_owned()),
            ("limits.memory_mb", memory.to_string()),
            ("limits.max_fds", "4100".to_owned()),
            ("bounds.lease_ms", "3000".to_owned()),
            ("bounds.ceiling_window_s", "5".to_owned()),
            ("bounds.retry_budget_ratio|json", "0.2".to_owned()),
            ("bounds.retry_slack|json", "54".to_owned()),
            ("bounds.budget_window_s", "10".to_owned()),
            ("bounds.config_apply_ms", "2000".to_owned()),
            ("bounds.grace_s", "8".to_owned()),
        ];
        for (key, value) in values {
            text = text.replace(&format!("{{{{{key}}}}}"), &value);
        }
        assert!(!text.contains("{{"), "a placeholder is left:\n{text}");
        text
    }

    /// Kills all control processes by one call, so that none outlives another by more than that takes.
    pub fn kill_control(&self) {
        let pids = self.control.iter().map(|it| it.pid().to_string());
        let sent = Command::new("kill").arg("-KILL").args(pids).status();
        assert!(sent.is_ok_and(|it| it.success()), "kill -KILL");
    }

    /// Sends a configuration as the operator does, until it is acknowledged.
    pub fn configure(&self, config: &str, record: &Record) -> bool {
        let until = Instant::now() + START_LIMIT;
        let mut at = 0;
        while Instant::now() < until {
            let status = self.send_config(at % self.control.len(), config);
            if status == 200 {
                record.note("the configuration is acknowledged");
                return true;
            }
            at += 1;
            thread::sleep(Duration::from_millis(200));
        }
        false
    }

    /// One call of the operator, which follows two redirects. Zero if there is no response.
    pub fn send_config(&self, at: usize, config: &str) -> u16 {
        self.operator(at, "POST", "/config/replace", config).0
    }

    /// Status and body of a call of the operator.
    pub fn operator(&self, at: usize, method: &str, path: &str, body: &str) -> (u16, Vec<u8>) {
        let mut to = self.control_address(at);
        for _ in 0..3 {
            let limit = Duration::from_secs(2);
            let Ok(answer) = http::call(to, method, path, body.as_bytes(), limit) else {
                return (0, Vec::new());
            };
            if answer.status() != 307 {
                return (answer.status(), answer.body);
            }
            let location = answer.header("location").unwrap_or_default();
            let host = location.trim_start_matches("http://").split('/').next();
            match host.and_then(|it| it.parse().ok()) {
                Some(next) => to = next,
                None => return (0, Vec::new()),
            }
        }
        (307, Vec::new())
    }

    /// Waits until `holds`.
    pub fn until(&self, mut holds: impl FnMut() -> bool) -> bool {
        let until = Instant::now() + START_LIMIT;
        while Instant::now() < until {
            if holds() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn is_ready(&self, at: usize) -> bool {
        let to = SocketAddrV4::new(self.entries[at].ip, self.ports[4]).into();
        let answer = http::call(to, "GET", "/ready", b"", Duration::from_secs(1));
        answer.is_ok_and(|it| it.status() == 200)
    }

    pub fn stop(&mut self) {
        for node in self.control.iter_mut().chain(&mut self.entries) {
            node.kill();
        }
        // What cannot be removed stays in the temporary folder.
        drop(fs::remove_dir_all(&self.dir));
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Ports that are free on `ip`. The addresses of a run are its own, so they are free on the others too.
fn free_ports<const N: usize>(ip: Ipv4Addr) -> [u16; N] {
    let held: Vec<TcpListener> = (0..N)
        .map(|_| TcpListener::bind((ip, 0)).expect("a free port"))
        .collect();
    let ports: Vec<u16> = held
        .iter()
        .map(|it| it.local_addr().expect("bound").port())
        .collect();
    ports.try_into().expect("as many as were asked for")
}

/// The folder of the running case.
pub fn case_dir() -> PathBuf {
    let dir = std::env::var_os("CASE_DIR").expect("run.sh sets CASE_DIR");
    Path::new(&dir).to_owned()
}
