//! Settings of processes that find each other by seeds, in front of a fleet whose configuration an
//! operator replaces as a whole.
//!
//! Such a process has one file, and the file names no VM but its own. A control process becomes an
//! ordinary [`Control`] with [`Discovery`] in place of a list of VMs.

use std::{collections, net, path};

use sageshed_fleet::chooser;
use sageshed_types::time;
use serde::Deserialize;

use super::{
    Common, Control, ControlListen, Limits, Log, Problem, Vm, address, common,
    reader::{self, Located},
};

/// How processes find each other where no list of VMs is kept.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Discovery {
    /// The address of this VM; control processes know each other by it.
    pub ip: net::Ipv4Addr,
    /// Addresses of some control processes when the file was written, of any of their ports. They may
    /// be down, or gone, by now.
    pub seeds: Vec<net::SocketAddrV4>,
    /// The port on which every control process hears the system's other processes.
    pub vms_port: u16,
    /// Whether the whole system starts for the first time: then the control processes among the seeds
    /// form a group.
    #[serde(default)]
    pub bootstrap: bool,
    /// Control VMs that may be lost at once, with their disks. Nothing is acknowledged before one more
    /// than these must have it on disk.
    #[serde(default)]
    pub tolerates: usize,
}

/// The settings of an entry process of a fleet, checked.
#[derive(Debug, Clone)]
pub struct FleetEntry {
    /// Where they were read from.
    pub file: path::PathBuf,
    /// The name of the VM, for logs.
    pub vm: String,
    /// Where it stands.
    pub availability_zone: String,
    /// How it finds control processes.
    pub discovery: Discovery,
    /// Its ports.
    pub listen: FleetEntryListen,
    /// What it logs.
    pub log: Log,
    /// How it stops.
    pub shutdown: FleetShutdown,
    /// What it may hold.
    pub resources: Resources,
    /// How often requests may be sent again.
    pub retries: Retries,
    /// How soon a change is in force.
    pub configuration: FleetConfiguration,
    /// How it chooses endpoints and turns requests away.
    pub routing: chooser::Policy,
    /// Whether its requests wait in the queues of coordinators.
    pub shared_queue: SharedQueue,
    /// Connections that entry processes open for each other.
    pub relays: Relays,
}

/// The settings of a control process of a fleet, checked.
#[derive(Debug, Clone)]
pub struct FleetControl {
    /// As a control process.
    pub control: Control,
    /// How it finds others.
    pub discovery: Discovery,
    /// Hears the operator and endpoints.
    pub fleet_listen: net::SocketAddr,
    /// Shows its metrics.
    pub metrics_listen: Option<net::SocketAddr>,
    /// What it may hold.
    pub resources: Resources,
    /// How it orders.
    pub orders: Orders,
    /// What it places on engines.
    pub placement: FleetPlacement,
}

/// The ports of an entry process of a fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetEntryListen {
    /// Hears callers.
    #[serde(deserialize_with = "address::required")]
    pub callers: net::SocketAddr,
    /// Hears the balancer's question whether it takes callers.
    #[serde(deserialize_with = "address::required")]
    pub ready: net::SocketAddr,
    /// Shows its metrics.
    #[serde(default, deserialize_with = "address::optional")]
    pub metrics: Option<net::SocketAddr>,
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
struct FleetControlListen {
    #[serde(deserialize_with = "address::required")]
    fleet: net::SocketAddr,
    #[serde(deserialize_with = "address::required")]
    vms: net::SocketAddr,
    #[serde(deserialize_with = "address::required")]
    operators: net::SocketAddr,
    #[serde(default, deserialize_with = "address::optional")]
    metrics: Option<net::SocketAddr>,
}

/// How an entry process of a fleet stops.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetShutdown {
    /// How long after it was told to stop the process is killed, in milliseconds.
    pub grace_ms: time::Millis,
    /// How long the balancer needs to turn callers away, in milliseconds.
    pub notice_ms: time::Millis,
}

impl Default for FleetShutdown {
    fn default() -> Self {
        Self {
            grace_ms: time::Millis(8_000),
            notice_ms: time::Millis(2_500),
        }
    }
}

/// What a process may hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Resources {
    /// Megabytes of memory, beyond which it is killed.
    pub memory_mb: usize,
    /// File descriptors.
    pub descriptors: usize,
}

impl Default for Resources {
    fn default() -> Self {
        Self {
            memory_mb: 256,
            descriptors: 4_096,
        }
    }
}

/// How often requests may be sent again, over all entry processes.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Retries {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats on top of that.
    pub slack: f64,
    /// Within any span of this length, in milliseconds.
    pub window_ms: time::Millis,
}

impl Default for Retries {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            slack: 50.0,
            window_ms: time::Millis(10_000),
        }
    }
}

/// How soon a change of the configuration is in force at an entry process of a fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetConfiguration {
    /// After so many milliseconds.
    pub in_force_ms: time::Millis,
}

impl Default for FleetConfiguration {
    fn default() -> Self {
        Self {
            in_force_ms: time::Millis(14_000),
        }
    }
}

/// The queues that entry processes share, one for each model.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SharedQueue {
    /// Whether requests wait in the queues of coordinators, and no longer than their callers do, and slots of plain
    /// services are granted by coordinators.
    pub enabled: bool,
    /// The weight of a workspace's share, by its name; 1 where none is given.
    pub weights: collections::BTreeMap<String, f64>,
}

impl SharedQueue {
    /// The weight of the share of a workspace.
    #[must_use]
    pub fn weight(&self, workspace: &str) -> f64 {
        self.weights.get(workspace).copied().unwrap_or(1.0)
    }
}

/// Connections to endpoints that entry processes open for each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Relays {
    /// Whether connections that fail are tried through other entry processes, and opened for them.
    pub enabled: bool,
}

impl Default for Relays {
    fn default() -> Self {
        Self { enabled: true }
    }
}

/// How a control process that leads orders engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Orders {
    /// How long after its election a leader gives its first order, in milliseconds.
    pub lease_ms: time::Millis,
    /// Over this span the weight store's loads are counted, in milliseconds.
    pub store_window_ms: time::Millis,
}

impl Default for Orders {
    fn default() -> Self {
        Self {
            lease_ms: time::Millis(3_000),
            store_window_ms: time::Millis(5_000),
        }
    }
}

/// What a control process that leads places on engines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetPlacement {
    /// Whether the number of concurrent loads from the weight store is adapted to how long loads take.
    pub adaptive_store_loads: bool,
    /// Whether models whose requests wait or are refused get replicas before those whose replicas are busy.
    pub follow_waiting: bool,
    /// Whether recently requested adapters are loaded ahead on a second engine.
    pub spare_adapters: bool,
}

/// Reads the settings of an entry process of a fleet.
pub(super) fn read_entry(
    file: &path::Path,
    reader: reader::Reader<'_>,
    problems: &mut Vec<Problem>,
) -> Option<FleetEntry> {
    let mut reader = reader;
    let vm = reader.required::<String>("vm");
    let zone = reader.required::<String>("availability_zone");
    let discovery = reader.required::<Discovery>("discovery");
    let listen = reader.required::<FleetEntryListen>("listen");
    let log = reader.section::<Log>("log").value;
    let shutdown = reader.section::<FleetShutdown>("shutdown");
    let resources = reader.section::<Resources>("resources").value;
    let retries = reader.section::<Retries>("retries").value;
    let configuration = reader.section::<FleetConfiguration>("configuration").value;
    let routing = reader.section::<chooser::Policy>("routing").value;
    let shared_queue = reader.section::<SharedQueue>("shared_queue");
    let relays = reader.section::<Relays>("relays").value;
    problems.extend(reader.finish());
    check_shutdown(&shutdown, problems);
    check_weights(&shared_queue, problems);
    Some(FleetEntry {
        file: file.to_owned(),
        vm: vm?.value,
        availability_zone: zone?.value,
        discovery: checked(discovery?, problems),
        listen: listen?.value,
        log,
        shutdown: shutdown.value,
        resources,
        retries,
        configuration,
        routing,
        shared_queue: shared_queue.value,
        relays,
    })
}

/// Reads the settings of a control process of a fleet.
pub(super) fn read_control(
    file: &path::Path,
    reader: reader::Reader<'_>,
    problems: &mut Vec<Problem>,
) -> Option<FleetControl> {
    let mut reader = reader;
    let zone = reader.required::<String>("availability_zone");
    let vm = reader.required::<String>("vm");
    let data = reader.required::<path::PathBuf>("data");
    let discovery = reader.required::<Discovery>("discovery");
    let listen = reader.required::<FleetControlListen>("listen");
    let log = reader.section::<Log>("log").value;
    let group = reader.section::<Group>("control").value;
    let resources = reader.section::<Resources>("resources").value;
    let orders = reader.section::<Orders>("orders").value;
    let placement = reader.section::<FleetPlacement>("placement").value;
    problems.extend(reader.finish());
    vm?;
    let discovery = checked(discovery?, problems);
    let listen = listen?.value;
    let own = Vm {
        name: discovery.ip.to_string(),
        number: discovery.ip.into(),
        availability_zone: zone?.value,
        entry: None,
        control: Some(listen.vms),
        operators: Some(listen.operators),
    };
    let control = Control {
        file: file.to_owned(),
        vm: own,
        common: common_of(file, &discovery, group),
        listen: ControlListen {
            vms: listen.vms,
            operators: listen.operators,
        },
        data: super::load::beside(file, &data?.value),
        log,
    };
    Some(FleetControl {
        control,
        discovery,
        fleet_listen: listen.fleet,
        metrics_listen: listen.metrics,
        resources,
        orders,
        placement,
    })
}

/// The times of the control group.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Group {
    election_timeout_ms: time::Millis,
    heartbeat_ms: time::Millis,
    snapshot_after: u64,
}

impl Default for Group {
    fn default() -> Self {
        Self {
            // Engines get no order until a lease after an election, so each part of a second counts.
            // Seven heartbeats fit in between.
            election_timeout_ms: time::Millis(700),
            heartbeat_ms: time::Millis(100),
            // A configuration of hundreds of routes has a hundred kilobytes, and the disk may be small.
            snapshot_after: 100,
        }
    }
}

fn common_of(file: &path::Path, discovery: &Discovery, group: Group) -> Common {
    let founders = discovery.seeds.iter().map(|seed| seed.ip().to_string());
    Common {
        file: file.to_owned(),
        vms_token_file: None,
        vms_token: String::new(),
        vms: Vec::new(),
        discovery: Some(discovery.clone()),
        models: Vec::new(),
        services: Vec::new(),
        classes: Vec::new(),
        callers: Vec::new(),
        operators: Vec::new(),
        claims: common::Claims::default(),
        lease: common::Lease::default(),
        control: common::ControlGroup {
            initial_voters: founders.collect(),
            election_timeout_ms: group.election_timeout_ms,
            heartbeat_ms: group.heartbeat_ms,
            snapshot_after: group.snapshot_after,
        },
        routing: sageshed_decide::settings::Policy::default(),
        placement: sageshed_place::Policy::default(),
        limits: Limits::default(),
    }
}

fn checked(discovery: Located<Discovery>, problems: &mut Vec<Problem>) -> Discovery {
    if discovery.value.seeds.is_empty() {
        let message = "is empty; name at least one control process";
        problems.push(discovery.place.problem("seeds", message));
    }
    if discovery.value.vms_port == 0 {
        let message = "is 0; every control process must use the same port";
        problems.push(discovery.place.problem("vms_port", message));
    }
    discovery.value
}

fn check_shutdown(shutdown: &Located<FleetShutdown>, problems: &mut Vec<Problem>) {
    if shutdown.value.notice_ms >= shutdown.value.grace_ms {
        let message = "is not below grace_ms; no time would be left for requests under way";
        problems.push(shutdown.place.problem("notice_ms", message));
    }
}

/// The range of a workspace's weight. Beyond it, the smaller shares would be served so seldom that their requests are
/// abandoned.
const WEIGHT_RANGE: (f64, f64) = (0.01, 100.0);

fn check_weights(shared_queue: &Located<SharedQueue>, problems: &mut Vec<Problem>) {
    let (least, most) = WEIGHT_RANGE;
    for (workspace, weight) in &shared_queue.value.weights {
        if !(least..=most).contains(weight) {
            let message = format!(
                "gives workspace `{workspace}` the weight {weight}; use one from {least} to {most}"
            );
            problems.push(shared_queue.place.problem("weights", message));
        }
    }
}
