//! What the driver publishes and other threads read.

use std::{
    collections, net,
    sync::{self, atomic},
};

use sageshed_fleet::config_history;
use sageshed_quorum::{log, repair, status};
use sageshed_state::control;
use sageshed_types::{endpoints, messages, rules, time};

use super::{
    fleet::{config_check, hub},
    roster,
};
use crate::{clock, directory, locks, settings};

/// Revisions whose time of commit is remembered.
const COMMITS_KEPT: usize = 4_096;

/// Entries that a learner may lack when its repair goes on. Below what the log asks of one that is
/// promoted, so that it does not refuse.
const REPAIR_LAG: u64 = 50;

/// A voter that answers nothing for this long is taken for gone once another is there to take its
/// place. Ten rounds of heartbeats; one that comes back joins anew.
const SILENT: time::Millis = time::Millis(1_500);

/// Shared by all threads of a control process.
#[derive(Debug)]
pub struct Shared {
    /// The settings.
    pub settings: settings::Control,
    /// This start.
    pub process: messages::Process,
    /// This process's clock.
    pub clock: clock::Clock,
    /// This process as a member of the group.
    pub node: log::NodeId,
    /// The replicated state as applied here. Written by the driver alone.
    pub state: sync::RwLock<control::ControlState>,
    /// What the log says of itself. Written by the driver alone.
    pub view: sync::RwLock<View>,
    /// Processes that were heard.
    pub roster: sync::RwLock<roster::Roster>,
    /// Endpoints that were heard of.
    pub directory: sync::Mutex<directory::Directory>,
    /// Control processes that were heard of, where no list of VMs is kept.
    pub known: sync::RwLock<collections::BTreeSet<net::Ipv4Addr>>,
    /// What a fleet's endpoints and entry processes say.
    pub hub: hub::Hub,
    /// The entry processes that lack a configuration.
    pub waiting_entries: config_check::WaitingEntries,
    /// The last configurations, for entry processes that fetch them.
    pub config_history: sync::Mutex<config_history::ConfigHistory>,
    /// The number of records of streams that are kept for entry processes.
    pub origins: atomic::AtomicUsize,
    /// Held while one is compressed.
    pub compressing: sync::Mutex<()>,
    /// What the placing thread shows operators.
    pub models: sync::RwLock<Vec<messages::ModelStatus>>,
    /// The voters that the group was formed with, once known.
    pub formed: sync::RwLock<Vec<messages::Voter>>,
    /// Whether this process was started to form a new group.
    pub forming: bool,
    /// Set once the disk of this process holds a generation.
    pub settled: atomic::AtomicBool,
    /// Set when the process is to stop.
    pub stopping: atomic::AtomicBool,
}

/// What the log says of itself.
#[derive(Debug, Clone)]
pub struct View {
    /// Role, term, leader, members.
    pub status: status::Status,
    /// On the leader: since when each member that lacks entries has acknowledged none.
    pub stalled: collections::BTreeMap<log::NodeId, time::Instant>,
    /// The voters by the newest membership in the log, committed or not.
    pub voters: Vec<messages::Voter>,
    /// The newest revision that the log may hold, committed or not.
    pub required: rules::Revision,
    /// When each of the latest revisions was seen committed here.
    pub committed: collections::BTreeMap<rules::Revision, time::Instant>,
    /// The disk has no room: nothing is accepted here.
    pub disk_full: bool,
}

impl View {
    /// Of a node before its log is running.
    fn outside(id: log::NodeId) -> Self {
        Self {
            status: status::Status::outside(id),
            stalled: collections::BTreeMap::new(),
            voters: Vec::new(),
            required: rules::Revision::default(),
            committed: collections::BTreeMap::new(),
            disk_full: false,
        }
    }

    /// Notes that `revision` is committed.
    pub fn note_commit(&mut self, revision: rules::Revision, now: time::Instant) {
        self.committed.entry(revision).or_insert(now);
        while self.committed.len() > COMMITS_KEPT {
            self.committed.pop_first();
        }
    }
}

impl Shared {
    /// What a process with these settings starts with, before its log runs. `forming` says that it
    /// was started to form a new group.
    #[must_use]
    pub fn new(settings: settings::Control, forming: bool, node: log::NodeId) -> Self {
        let incarnation = endpoints::Incarnation(clock::unix_ms());
        let process = messages::Process {
            vm: settings.vm.name.clone(),
            role: messages::Role::Control,
            incarnation,
        };
        Self {
            process,
            clock: clock::Clock::start(),
            node,
            state: sync::RwLock::new(control::ControlState::default()),
            view: sync::RwLock::new(View::outside(node)),
            roster: sync::RwLock::new(roster::Roster::default()),
            directory: sync::Mutex::new(directory::Directory::new(incarnation)),
            known: sync::RwLock::new(collections::BTreeSet::new()),
            hub: hub::Hub::new(incarnation.0),
            waiting_entries: config_check::WaitingEntries::default(),
            config_history: sync::Mutex::default(),
            origins: atomic::AtomicUsize::new(0),
            compressing: sync::Mutex::default(),
            models: sync::RwLock::new(Vec::new()),
            formed: sync::RwLock::new(Vec::new()),
            forming,
            settled: atomic::AtomicBool::new(false),
            stopping: atomic::AtomicBool::new(false),
            settings,
        }
    }

    /// The name of the VM with this number. Where no list of VMs is kept the name is its address, and
    /// the number is the address as a number.
    #[must_use]
    pub fn vm_name(&self, number: u32) -> Option<String> {
        if self.settings.common.discovery.is_some() {
            return Some(net::Ipv4Addr::from(number).to_string());
        }
        let vms = &self.settings.common.vms;
        vms.iter()
            .find(|vm| vm.number == number)
            .map(|vm| vm.name.clone())
    }

    /// The number of the VM with this name.
    #[must_use]
    pub fn vm_number(&self, name: &str) -> Option<u32> {
        if self.settings.common.discovery.is_some() {
            return name.parse::<net::Ipv4Addr>().ok().map(u32::from);
        }
        self.settings.common.vm(name).map(|vm| vm.number)
    }

    /// Where the control process on the VM with this number hears the others.
    #[must_use]
    pub fn control_address(&self, number: u32) -> Option<net::SocketAddr> {
        if let Some(discovery) = &self.settings.common.discovery {
            let ip = net::Ipv4Addr::from(number);
            return Some(net::SocketAddrV4::new(ip, discovery.vms_port).into());
        }
        let vms = &self.settings.common.vms;
        vms.iter().find(|vm| vm.number == number)?.control
    }

    /// The numbers of the other VMs with a control process, as far as they are known: by the list of
    /// VMs, or else the seeds, the members of the group and whoever was heard.
    #[must_use]
    pub fn control_peers(&self) -> collections::BTreeSet<u32> {
        let own = self.node.vm;
        let mut peers = self
            .settings
            .common
            .discovery
            .as_ref()
            .map_or_else(|| self.listed_control(), |it| self.found_control(it));
        peers.remove(&own);
        peers
    }

    fn listed_control(&self) -> collections::BTreeSet<u32> {
        let vms = self.settings.common.vms.iter();
        let control = vms.filter(|vm| vm.control.is_some());
        control.map(|vm| vm.number).collect()
    }

    fn found_control(&self, discovery: &settings::Discovery) -> collections::BTreeSet<u32> {
        let seeds = discovery.seeds.iter().map(|seed| u32::from(*seed.ip()));
        let known = locks::read(&self.known);
        let members = locks::read(&self.view).status.membership.clone();
        let members: Vec<u32> = members.members().map(|id| id.vm).collect();
        let known = known.iter().map(|ip| u32::from(*ip));
        seeds.chain(known).chain(members).collect()
    }

    /// Takes note of control processes that were heard of.
    pub fn hear_of(&self, ips: impl IntoIterator<Item = net::Ipv4Addr>) {
        if self.settings.common.discovery.is_some() {
            locks::write(&self.known).extend(ips);
        }
    }

    /// Applies the quarantined requests that the log holds.
    pub fn restore_held(&self) {
        let state = locks::read(&self.state);
        self.hub
            .restore_held(self.clock.now(), state.held_requests());
    }

    /// Notes the newest configuration: entry processes are told of it, and of later ones what changed.
    pub fn note_config(&self) {
        let state = locks::read(&self.state);
        let newest = state.fleet();
        locks::lock(&self.config_history).keep(newest);
        self.hub.set_config(self.clock.now(), newest.version);
    }

    /// A member as messages name it. A VM that the settings no longer have gets its number as name.
    #[must_use]
    pub fn voter(&self, id: log::NodeId) -> messages::Voter {
        let name = self.vm_name(id.vm);
        messages::Voter {
            vm: name.unwrap_or_else(|| format!("#{}", id.vm)),
            generation: id.generation,
        }
    }

    /// A member as the log names it.
    #[must_use]
    pub fn node_id(&self, voter: &messages::Voter) -> Option<log::NodeId> {
        let vm = self.vm_number(&voter.vm)?;
        Some(log::NodeId {
            vm,
            generation: voter.generation,
        })
    }

    /// Who leads, by VM, if a leader is known. This process counts only while it has its majority.
    #[must_use]
    pub fn leader(&self) -> Option<String> {
        let view = locks::read(&self.view);
        let leader = view.status.leader?;
        if leader == self.node && !view.status.leads_at(self.clock.now()) {
            return None;
        }
        Some(self.voter(leader).vm)
    }

    /// Whether this process leads and has heard a majority lately enough to know.
    #[must_use]
    pub fn leads(&self) -> bool {
        locks::read(&self.view).status.leads_at(self.clock.now())
    }

    /// How the group is repaired. Where VMs are listed, all that join become voters.
    #[must_use]
    pub fn repair_policy(&self) -> repair::Policy {
        match &self.settings.common.discovery {
            Some(it) => repair::Policy::tolerating(it.tolerates, REPAIR_LAG, SILENT),
            None => repair::Policy {
                target_voters: usize::MAX,
                ..repair::Policy::tolerating(0, REPAIR_LAG, SILENT)
            },
        }
    }

    /// Every report, for operators.
    #[must_use]
    pub fn reports(&self) -> Vec<endpoints::Report> {
        locks::lock(&self.directory).all(self.clock.now())
    }

    /// Whether the process is to stop.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(atomic::Ordering::Relaxed)
    }
}
