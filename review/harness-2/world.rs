//! Starts the project's processes on loopback addresses, as the deploy file says, and stops them.

use std::{
    fs, io, net,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http;

/// What a case writes to `record.txt`, one line per event, with the milliseconds since its start.
#[derive(Clone)]
pub struct Record {
    lines: Arc<Mutex<Vec<String>>>,
    start: Instant,
}

impl Record {
    pub fn new() -> Self {
        Self { lines: Arc::default(), start: Instant::now() }
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_millis();
        let line = format!("{at:>7} ms  {}", text.as_ref());
        println!("{line}");
        self.lines.lock().unwrap().push(line);
    }

    pub fn save(&self, path: &Path) -> io::Result<()> {
        fs::write(path, self.lines.lock().unwrap().join("\n") + "\n")
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Role {
    Control,
    Entry,
}

/// A process of the project on a machine of its own address.
pub struct Node {
    pub name: String,
    pub ip: net::Ipv4Addr,
    pub role: Role,
    pub is_apart: bool,
    settings: PathBuf,
    child: Option<Child>,
}

/// The ports, which are the same on all machines.
#[derive(Clone, Copy)]
pub struct Ports {
    pub vms: u16,
    pub operators: u16,
    pub control: u16,
    pub front: u16,
    pub ready: u16,
    pub metrics: u16,
    /// The port for communication between nodes on the smaller side of a cut.
    pub vms_apart: u16,
}

pub struct World {
    pub dir: PathBuf,
    pub record: Record,
    pub ports: Ports,
    root: PathBuf,
    net: [u8; 3],
    pub control: Vec<Node>,
    pub entries: Vec<Node>,
}

/// The bounds of the small sites, of which the templates use some.
const BOUNDS: [(&str, &str); 6] = [
    ("{{bounds.lease_ms}}", "3000"),
    ("{{bounds.ceiling_window_s}}", "5"),
    ("{{bounds.retry_budget_ratio|json}}", "0.2"),
    ("{{bounds.retry_slack|json}}", "54"),
    ("{{bounds.budget_window_s}}", "10"),
    ("{{bounds.config_apply_ms}}", "2000"),
];

impl World {
    /// Prepares five control and `entries` entry processes; none is started yet.
    pub fn new(root: &Path, record: Record, entries: u8) -> io::Result<Self> {
        Self::with_side(root, record, entries, [0, 0])
    }

    /// Like [`Self::new`]. The last `apart` control and entry processes reach the others only through [`crate::cut::Cut`].
    pub fn with_side(root: &Path, record: Record, entries: u8, apart: [u8; 2]) -> io::Result<Self> {
        let pid = std::process::id();
        let net = [127, (pid / 250 % 200 + 20) as u8, (pid % 250 + 1) as u8];
        let dir = std::env::temp_dir().join(format!("sageshed-review-2-{pid}"));
        fs::create_dir_all(&dir)?;
        let first = net::Ipv4Addr::new(net[0], net[1], net[2], 11);
        let listeners: Vec<_> = (0..7).map(|_| net::TcpListener::bind((first, 0))).collect::<Result<_, _>>()?;
        let port = |at: usize| listeners[at].local_addr().map(|it| it.port());
        let ports = Ports {
            vms: port(0)?,
            operators: port(1)?,
            control: port(2)?,
            front: port(3)?,
            ready: port(4)?,
            metrics: port(5)?,
            vms_apart: port(6)?,
        };
        drop(listeners);
        let mut world = Self { dir, record, ports, root: root.to_owned(), net, control: Vec::new(), entries: Vec::new() };
        for at in 0..5 {
            let node = world.node(Role::Control, at, at + apart[0] >= 5)?;
            world.control.push(node);
        }
        for at in 0..entries {
            let node = world.node(Role::Entry, at, at + apart[1] >= entries)?;
            world.entries.push(node);
        }
        Ok(world)
    }

    pub fn ip(&self, last: u8) -> net::Ipv4Addr {
        net::Ipv4Addr::new(self.net[0], self.net[1], self.net[2], last)
    }

    /// Renders the project's own template.
    fn node(&self, role: Role, at: u8, is_apart: bool) -> io::Result<Node> {
        let (kind, base) = match role {
            Role::Control => ("control", 11),
            Role::Entry => ("entry", 31),
        };
        let ip = self.ip(base + at);
        let name = format!("{kind}-{}", at + 1);
        let data = self.dir.join(format!("data-{name}"));
        let template = fs::read_to_string(self.root.join(format!("deploy/{kind}.toml.tmpl")))?;
        let seeds: Vec<_> = (0..3).map(|it| format!("\"{}:{}\"", self.ip(11 + it), self.ports.control)).collect();
        let p = self.ports;
        let mut text = template
            .replace("{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}", &seeds.join(", "))
            .replace("{{node}}", &name)
            .replace("{{zone}}", ["z1", "z2", "z3", "z4"][usize::from(at) % 4])
            .replace("{{data_dir}}", &data.display().to_string())
            .replace("{{ip}}:9464", &format!("{ip}:{}", p.metrics))
            .replace("{{listen.control}}", &format!("{ip}:{}", p.control))
            .replace("{{listen.front}}", &format!("{ip}:{}", p.front))
            .replace("{{listen.ready}}", &format!("{ip}:{}", p.ready))
            .replace("{{ip}}", &ip.to_string())
            .replace("{{port_range.0}}", &if is_apart { p.vms_apart } else { p.vms }.to_string())
            .replace("{{port_range.1}}", &p.operators.to_string())
            .replace("{{bootstrap}}", "true")
            .replace("{{fault_tolerance.machines}}", "2")
            .replace("{{bounds.grace_s}}", "8")
            .replace("{{limits.memory_mb}}", if role == Role::Control { "256" } else { "260" })
            .replace("{{limits.max_fds}}", if role == Role::Control { "4096" } else { "4100" });
        for (from, to) in BOUNDS {
            text = text.replace(from, to);
        }
        if text.contains("{{") {
            return Err(io::Error::other(format!("{kind}: a placeholder is left in the settings")));
        }
        let settings = self.dir.join(format!("{name}.toml"));
        fs::write(&settings, text)?;
        Ok(Node { name, ip, role, is_apart, settings, child: None })
    }

    pub fn start_all(&mut self) -> io::Result<()> {
        let root = self.root.clone();
        for node in self.control.iter_mut().chain(&mut self.entries) {
            node.start(&root)?;
        }
        self.record.note(format!("started {} control and {} entry processes", self.control.len(), self.entries.len()));
        Ok(())
    }

    /// Empties the disk of a control process that has ended. Its settings say that the system exists.
    pub fn empty_disk(&self, at: usize) -> io::Result<()> {
        let node = &self.control[at];
        fs::remove_dir_all(self.dir.join(format!("data-{}", node.name)))?;
        let text = fs::read_to_string(&node.settings)?;
        fs::write(&node.settings, text.replace("bootstrap = true", "bootstrap = false"))
    }

    pub fn controls(&self) -> Vec<net::SocketAddrV4> {
        self.control.iter().map(|it| net::SocketAddrV4::new(it.ip, self.ports.control)).collect()
    }

    pub fn front(&self, at: usize) -> net::SocketAddrV4 {
        net::SocketAddrV4::new(self.entries[at].ip, self.ports.front)
    }

    /// Sends a configuration until it is acknowledged, as the operator does.
    pub fn replace(&self, config: &str) -> io::Result<()> {
        let until = Instant::now() + Duration::from_secs(30);
        while Instant::now() < until {
            for to in self.controls() {
                if http::call(to, "POST", "/config/replace", config).is_ok_and(|it| it.status == 200) {
                    self.record.note("operator: configuration acknowledged (200)");
                    return Ok(());
                }
            }
            thread::sleep(Duration::from_millis(100));
        }
        Err(io::Error::other("no configuration was acknowledged"))
    }

    /// Waits until all entry processes are ready.
    pub fn wait_ready(&self) -> io::Result<()> {
        let until = Instant::now() + Duration::from_secs(30);
        loop {
            let ready = |it: &Node| {
                let to = net::SocketAddrV4::new(it.ip, self.ports.ready);
                http::call(to, "GET", "/ready", "").is_ok_and(|it| it.status == 200)
            };
            if self.entries.iter().all(ready) {
                self.record.note("all entry processes answer GET /ready with 200");
                return Ok(());
            }
            if Instant::now() > until {
                return Err(io::Error::other("entry processes do not get ready"));
            }
            thread::sleep(Duration::from_millis(100));
        }
    }
}

impl Drop for World {
    fn drop(&mut self) {
        for node in self.control.iter_mut().chain(&mut self.entries) {
            node.kill();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.dir);
        } else {
            println!("kept {}", self.dir.display());
        }
    }
}

impl Node {
    pub fn start(&mut self, root: &Path) -> io::Result<()> {
        let role = if self.role == Role::Control { "control" } else { "entry" };
        let log = fs::OpenOptions::new().create(true).append(true).open(self.settings.with_extension("log"))?;
        let child = Command::new(root.join("target/release/sageshed"))
            .args([role, "--config"])
            .arg(&self.settings)
            .current_dir(root)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            signal(child.id(), name);
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Sends a signal to a process that this program has started.
pub fn signal(pid: u32, name: &str) {
    let _ = Command::new("kill").arg(format!("-{name}")).arg(pid.to_string()).status();
}
