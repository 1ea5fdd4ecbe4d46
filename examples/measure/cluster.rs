//! Real processes of the system at a user's settings, for measurement.
//!
//! The settings are those of `examples/USER/common.toml`. Addresses, tokens and what a measurement
//! varies are replaced; spans are divided by the time scale, except where [`Cluster::start`] says so.

use std::{
    env, error, fs, net, path, process, thread,
    time::{Duration, Instant},
};

use sageshed_test_support::{config, standin};

/// SHA-256 of the tokens `alpha`, the caller's, and `operator`.
const ALPHA: &str = "8ed3f6ad685b959ead7022518e1af76cd816f8e8ec7ccdda1ed4018e8f2223f8";
const OPERATOR: &str = "06e55b633481f7bb072957eabcf110c972e86691c3cfedabe088024bffe42f23";

/// How long the processes may take to get ready.
const PATIENCE: Duration = Duration::from_mins(1);

/// Spans of `[placement]` and `[routing]` that are divided by the time scale, with their defaults.
/// What depends on the age of reports stays: stand-ins report in real time.
const SPANS: &[(&str, &str, i64)] = &[
    ("placement", "plan_interval_ms", 500),
    ("placement", "horizon_ms", 60_000),
    ("placement", "demand_rise_ms", 5_000),
    ("placement", "demand_decay_ms", 15_000),
    ("routing", "initial_service_ms", 500),
    ("routing", "load_order_ms", 500),
    ("routing", "probe_ms", 2_000),
];

/// What a function here fails with.
pub type Error = Box<dyn error::Error>;

/// A running cluster. What it started ends with it.
pub struct Cluster {
    dir: path::PathBuf,
    processes: Vec<process::Child>,
    /// Where callers reach the entry processes, as `IP:port`.
    pub callers: Vec<String>,
    /// The process ids of the entry processes.
    pub entry_pids: Vec<u32>,
    /// The endpoints.
    pub standin: standin::Standin,
}

impl Cluster {
    /// Starts the processes of `common` with these endpoints, and waits until each entry process
    /// says that it is ready. Deadlines, load times and [`SPANS`] are divided by the time scale of
    /// `endpoints`, and the store's rate is multiplied by it. Leases, heartbeats, elections and
    /// reports run in real time.
    pub fn start(mut common: toml::Table, endpoints: config::Config) -> Result<Self, Error> {
        let dir = env::temp_dir().join(format!("sageshed-measure-{}", process::id()));
        fs::create_dir_all(&dir)?;
        scale(&mut common, endpoints.time_scale);
        let vms = common["vms"].as_array().map_or(0, Vec::len);
        let ports = free_ports(vms * 4)?;
        set_addresses(&mut common, &ports);
        common["callers"][0]["token_sha256"] = ALPHA.into();
        // One caller sends what all of them would.
        if let Some(caller) = common["callers"][0].as_table_mut() {
            caller.remove("rate");
            caller.remove("burst");
        }
        common["operators"][0]["token_sha256"] = OPERATOR.into();
        fs::write(dir.join("common.toml"), toml::to_string(&common)?)?;
        let of = |vm: usize, nth: usize| ports[vm * 4 + nth].to_string();
        let standin = standin::Standin::start(config::Config {
            entries: (0..vms).map(|vm| of(vm, 1)).collect(),
            ..endpoints
        })?;
        let mut cluster = Self {
            dir,
            processes: Vec::new(),
            callers: (0..vms).map(|vm| of(vm, 0)).collect(),
            entry_pids: Vec::new(),
            standin,
        };
        for vm in 0..vms {
            let named = &common["vms"][vm];
            let name = named["name"].as_str().unwrap_or_default();
            let head = format!("vm = \"{name}\"\ncommon = \"common.toml\"\n");
            if named.get("control").is_some() {
                let listen = format!(
                    "data = \"data-{vm}\"\n[listen]\nvms = \"{}\"\noperators = \"{}\"\n",
                    of(vm, 2),
                    of(vm, 3)
                );
                cluster.spawn("control", vm, &(head.clone() + &listen), &["--new-group"])?;
            }
            let listen = format!(
                "[listen]\ncallers = \"{}\"\nvms = \"{}\"\n",
                of(vm, 0),
                of(vm, 1)
            );
            cluster.spawn("entry", vm, &(head + &listen), &[])?;
        }
        cluster.wait_ready()?;
        Ok(cluster)
    }

    fn spawn(&mut self, role: &str, vm: usize, text: &str, args: &[&str]) -> Result<(), Error> {
        let file = self.dir.join(format!("{role}-{vm}.toml"));
        fs::write(&file, text)?;
        let log = fs::File::create(self.dir.join(format!("{role}-{vm}.log")))?;
        // An example stands in a folder beside the programs of the same build.
        let example = env::current_exe()?;
        let built = example.parent().and_then(path::Path::parent);
        let binary = built
            .ok_or("the example stands in no build")?
            .join("sageshed");
        let child = process::Command::new(binary)
            .args([role, "--config"])
            .arg(file)
            .args(args)
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        if role == "entry" {
            self.entry_pids.push(child.id());
        }
        self.processes.push(child);
        Ok(())
    }

    fn wait_ready(&self) -> Result<(), Error> {
        let end = Instant::now() + PATIENCE;
        let agent = ureq::AgentBuilder::new()
            .timeout(Duration::from_secs(2))
            .build();
        for callers in &self.callers {
            while agent
                .get(&format!("http://{callers}/readyz"))
                .call()
                .is_err()
            {
                if Instant::now() > end {
                    let logs = self.dir.display();
                    return Err(format!("{callers} did not get ready; logs: {logs}").into());
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        Ok(())
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for child in &mut self.processes {
            // One that has ended already needs no kill.
            if child.kill().is_ok() {
                drop(child.wait());
            }
        }
        if env::var_os("KEEP_LOGS").is_none() {
            drop(fs::remove_dir_all(&self.dir));
        }
    }
}

fn free_ports(count: usize) -> Result<Vec<net::SocketAddr>, Error> {
    // An address of its own, on which nothing else takes the ports in between.
    let [low, high, ..] = process::id().to_le_bytes();
    let ip = net::Ipv4Addr::new(127, 128 + high % 100, low, 1);
    let held = (0..count)
        .map(|_| net::TcpListener::bind((ip, 0)))
        .collect::<Result<Vec<_>, _>>()?;
    let ports = held.iter().map(net::TcpListener::local_addr);
    Ok(ports.collect::<Result<_, _>>()?)
}

fn set_addresses(common: &mut toml::Table, ports: &[net::SocketAddr]) {
    let Some(vms) = common["vms"].as_array_mut() else {
        return;
    };
    for (vm, ports) in vms.iter_mut().zip(ports.chunks(4)) {
        vm["entry"] = ports[1].to_string().into();
        if vm.get("control").is_some() {
            vm["control"] = ports[2].to_string().into();
            vm["operators"] = ports[3].to_string().into();
        }
    }
}

fn scale(common: &mut toml::Table, by: f64) {
    for (list, span) in [("classes", "deadline_ms"), ("models", "load_ms")] {
        for item in common[list].as_array_mut().into_iter().flatten() {
            item[span] = divided(item[span].as_integer().unwrap_or(0), by);
        }
    }
    for (table, span, default) in SPANS {
        let table = common.entry(*table).or_insert(toml::Table::new().into());
        let value = table.get(*span).and_then(toml::Value::as_integer);
        let value = divided(value.unwrap_or(*default), by);
        if let Some(table) = table.as_table_mut() {
            table.insert((*span).to_owned(), value);
        }
    }
    let rate = common["placement"]["store_loads_per_second"].as_float();
    common["placement"]["store_loads_per_second"] = (rate.unwrap_or(1.0) * by).into();
}

#[expect(clippy::cast_possible_truncation, reason = "spans are far below 2^52")]
fn divided(ms: i64, by: f64) -> toml::Value {
    toml::Value::Integer((ms as f64 / by).round() as i64)
}
