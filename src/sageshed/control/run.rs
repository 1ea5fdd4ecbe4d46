//! Starting and stopping a control process.

use std::{
    net,
    sync::{self, atomic, mpsc},
    thread, time,
};

use derive_more::{Display, Error, From};
use sageshed_disk::{error as disk, folder, vacant};
use sageshed_engines::{client, transport};
use sageshed_fleet::dialect;
use sageshed_quorum::{config, log, node};
use sageshed_state::control;
use sageshed_vms::limits;

use super::{
    driver,
    first_start::{self, FirstStart},
    fleet, formation, inputs, keeping, links, metrics, operators, placing, shared, vms,
};
use crate::{clock, context, locks, settings};

/// Connections of operators that are open at once.
const OPERATORS_CONNECTIONS: usize = 64;

/// How long an operator's connection may take to bring its request and read the answer.
const OPERATORS_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Between two hellos of a process that waits to be added.
const ANNOUNCE_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// How often the main thread looks for a signal.
const SIGNAL_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// How a control process is started.
#[derive(Debug, Clone, Copy, Default)]
pub struct Options {
    /// Forms a new group with the other initial voters, if there is none yet.
    pub new_group: bool,
}

/// Descriptors of a fleet's control process that are not for connections to its ports: files, calls to other
/// processes and to engines.
const OTHER_DESCRIPTORS: usize = 400;

/// Threads of a port of a fleet's control process that are started at once. Its calls are short, but for those
/// that wait for a commit.
const EAGER_THREADS: usize = 6;

/// A control process that could not start, or had to stop.
#[derive(Debug, Display, Error, From)]
pub enum StartError {
    /// The data folder.
    #[display("cannot use the data folder: {_0}")]
    Disk(disk::Error),
    /// The port for other processes.
    #[display("{_0}")]
    Vms(sageshed_vms::StartError),
    /// The port for operators.
    #[display("{_0}")]
    Operators(sageshed_operators::server::ListenError),
    /// The replicated state on disk.
    #[display("cannot read the snapshot in the data folder: {_0}")]
    State(sageshed_state::codec::Error),
    /// A port of a fleet.
    #[display("cannot listen on {address}: {source}; is the address this VM's, and free?")]
    #[from(skip)]
    Listen {
        /// Where.
        address: net::SocketAddr,
        /// What the system said.
        #[error(not(source))]
        source: String,
    },
    /// The replicated log.
    #[display("{_0}")]
    Driver(driver::End),
    /// The data folder holds another generation than the one that others were told of.
    #[display("the data folder was changed while the process started: start it again")]
    #[from(skip)]
    OtherGeneration,
}

/// Runs a control process until it is told to stop.
pub fn run(
    cx: &context::Context,
    settings: settings::Control,
    options: Options,
) -> Result<(), StartError> {
    let found = open(&settings, options)?;
    let limits = sageshed_vms::limits_for(vms::CONNECTIONS);
    let process = Process::start(settings, limits, &found)?;
    process.finish(cx, found)
}

/// Runs a control process of a fleet until it is told to stop. It speaks `dialect` with operators and
/// endpoints.
pub fn run_fleet<D: dialect::Dialect>(
    cx: &context::Context,
    settings: &settings::FleetControl,
    dialect: D,
) -> Result<(), StartError> {
    let options = Options {
        new_group: settings.discovery.bootstrap,
    };
    let found = open(&settings.control, options)?;
    // Half of the descriptors for the system's other processes, half for endpoints and the operator.
    let connections = settings
        .resources
        .descriptors
        .saturating_sub(OTHER_DESCRIPTORS)
        / 2;
    let limits = limits::Limits {
        eager_threads: EAGER_THREADS,
        ..sageshed_vms::limits_for(connections)
    };
    let start = match found {
        Found::Vacant(_, _, first) if first.forming => fleet::software_versions::Start::First,
        _ => fleet::software_versions::Start::Later,
    };
    let process = Process::start(settings.control.clone(), limits, &found)?;
    let limits = limits::Limits {
        connections,
        eager_threads: EAGER_THREADS,
        ..limits::Limits::default()
    };
    let ports = fleet::start(
        &process.shared,
        &process.inputs,
        &process.client,
        settings,
        &limits,
        dialect,
        start,
    )?;
    let result = process.finish(cx, found);
    drop(ports);
    result
}

/// What was found in the data folder.
enum Found {
    /// A generation, with what it holds.
    Member(Box<folder::Folder>, log::PersistedState),
    /// Nothing yet. The node is what this disk would be.
    Vacant(vacant::Vacant, log::NodeId, FirstStart),
}

impl Found {
    /// Whether the process is to form a new group, if there is none yet.
    fn is_forming(&self) -> bool {
        matches!(self, Self::Vacant(_, _, first) if first.forming)
    }

    fn node(&self) -> log::NodeId {
        match self {
            Self::Member(folder, _) => folder.node(),
            Self::Vacant(_, node, _) => *node,
        }
    }
}

fn open(settings: &settings::Control, options: Options) -> Result<Found, StartError> {
    let (data, vm) = (&settings.data, settings.vm.number);
    match folder::Folder::open(data, vm)? {
        folder::Opened::Ready(folder, restored) => {
            FirstStart::forget(data)?;
            Ok(Found::Member(folder, restored))
        }
        folder::Opened::Fresh(vacant) => {
            let first = FirstStart::open(data, options.new_group)?;
            let generation = first.generation;
            ::log::info!(generation, forming = first.forming; "control: fresh disk");
            Ok(Found::Vacant(vacant, log::NodeId { vm, generation }, first))
        }
        folder::Opened::Lost { damage, vacant } => {
            ::log::error!(damage:% = damage;
                "control: data is damaged and set aside, this disk starts anew");
            FirstStart::forget(data)?;
            join(vacant, first_start::draw_generation())
        }
    }
}

/// Starts a generation that waits to be added.
fn join(vacant: vacant::Vacant, generation: u64) -> Result<Found, StartError> {
    start(vacant, vacant::Start::New { generation })
}

fn start(vacant: vacant::Vacant, start: vacant::Start) -> Result<Found, StartError> {
    match vacant.start_generation(start)? {
        folder::Opened::Ready(folder, restored) => Ok(Found::Member(folder, restored)),
        folder::Opened::Fresh(vacant) | folder::Opened::Lost { vacant, .. } => {
            drop(vacant);
            Err(StartError::Disk(disk::Error::Failed))
        }
    }
}

struct Process {
    shared: sync::Arc<shared::Shared>,
    client: sageshed_vms::Client,
    inputs: inputs::Inputs,
    rx: sync::Mutex<Option<mpsc::Receiver<inputs::Input>>>,
    placing_tx: mpsc::Sender<placing::Input>,
    placing_rx: sync::Mutex<Option<mpsc::Receiver<placing::Input>>>,
    _vms: sageshed_vms::Server,
    _operators: sageshed_operators::server::Server,
}

impl Process {
    /// Opens the ports. They answer from the start: a fresh process must hear hellos, and an
    /// operator must be able to see one that waits.
    fn start(
        settings: settings::Control,
        limits: limits::Limits,
        found: &Found,
    ) -> Result<Self, StartError> {
        let (node, forming) = (found.node(), found.is_forming());
        let shared = sync::Arc::new(shared::Shared::new(settings, forming, node));
        let client = sageshed_vms::Client::new(&shared.settings.common.vms_token);
        let (inputs, rx) = inputs::Inputs::new();
        let (placing_tx, placing_rx) = mpsc::channel();
        let port = vms::Port {
            shared: sync::Arc::clone(&shared),
            inputs: inputs.clone(),
            client: client.clone(),
            placing: placing_tx.clone(),
            waiting: atomic::AtomicUsize::new(0),
        };
        let listen = shared.settings.listen;
        let token = &shared.settings.common.vms_token;
        let vms = sageshed_vms::Server::start_within(
            &listen.vms.to_string(),
            token,
            limits,
            sync::Arc::new(port),
        )?;
        let desk = operators::Desk {
            shared: sync::Arc::clone(&shared),
            inputs: inputs.clone(),
            client: client.clone(),
            metrics: metrics::Metrics::default(),
        };
        let operators = sageshed_operators::server::start(
            sync::Arc::new(desk),
            sageshed_operators::server::Options {
                listen: listen.operators,
                tokens: tokens(&shared.settings.common),
                connections: OPERATORS_CONNECTIONS,
                timeout: OPERATORS_TIMEOUT,
            },
        )?;
        let keeping = (sync::Arc::clone(&shared), inputs.clone());
        thread::spawn(move || keeping::run(&keeping.0, &keeping.1));
        ::log::info!(vm = shared.process.vm.as_str(), vms:% = vms.address(),
            operators:% = operators.address(); "control: listens");
        Ok(Self {
            shared,
            client,
            inputs,
            rx: sync::Mutex::new(Some(rx)),
            placing_tx,
            placing_rx: sync::Mutex::new(Some(placing_rx)),
            _vms: vms,
            _operators: operators,
        })
    }

    /// Drives the log until the process is told to stop.
    fn finish(&self, cx: &context::Context, found: Found) -> Result<(), StartError> {
        let watching = self.watch(cx.clone());
        let result = self.drive(found);
        self.shared.stopping.store(true, atomic::Ordering::Relaxed);
        self.shared.hub.stop();
        if watching.join().is_err() {
            ::log::error!("control: the thread that watches for a stop panicked");
        }
        ::log::info!("control: stopped");
        result
    }

    fn watch(&self, cx: context::Context) -> thread::JoinHandle<()> {
        let shared = sync::Arc::clone(&self.shared);
        thread::spawn(move || {
            while !shared.is_stopping() {
                if cx.stop.wait_timeout(SIGNAL_INTERVAL) {
                    ::log::info!("control: told to stop");
                    shared.stopping.store(true, atomic::Ordering::Relaxed);
                }
            }
        })
    }

    fn drive(&self, found: Found) -> Result<(), StartError> {
        let (folder, restored) = match found {
            Found::Member(folder, restored) => (folder, restored),
            Found::Vacant(vacant, node, _) => match self.settle(vacant, node)? {
                Some(Found::Member(folder, restored)) => (folder, restored),
                Some(Found::Vacant(..)) | None => return Ok(()),
            },
        };
        if folder.node() != self.shared.node {
            return Err(StartError::OtherGeneration);
        }
        FirstStart::forget(&self.shared.settings.data)?;
        // On disk by now: others write it down on our word.
        self.shared.settled.store(true, atomic::Ordering::Relaxed);
        let formed = restored
            .membership
            .voters
            .iter()
            .map(|id| self.shared.voter(*id));
        *locks::write(&self.shared.formed) = formed.collect();
        if self.shared.settings.common.discovery.is_none() {
            self.place();
        }
        self.announce_while_outside();
        self.driver(folder, restored)?
            .run()
            .map_err(StartError::Driver)
    }

    /// Finds out what a fresh disk is to be, and starts its generation.
    fn settle(
        &self,
        vacant: vacant::Vacant,
        node: log::NodeId,
    ) -> Result<Option<Found>, StartError> {
        match formation::settle(&self.shared, &self.client) {
            formation::Part::Founder(membership) => {
                ::log::info!(members:? = membership; "control: group formed");
                let generation = node.generation;
                start(
                    vacant,
                    vacant::Start::First {
                        generation,
                        membership,
                    },
                )
                .map(Some)
            }
            formation::Part::Joiner => {
                ::log::info!("control: waits to be added by the leader");
                join(vacant, node.generation).map(Some)
            }
            formation::Part::Stopped => Ok(None),
        }
    }

    fn driver(
        &self,
        folder: Box<folder::Folder>,
        restored: log::PersistedState,
    ) -> Result<driver::Driver, StartError> {
        let base = restored
            .snapshot
            .as_ref()
            .map_or(log::Index::default(), |it| it.index);
        if let Some(snapshot) = &restored.snapshot {
            let state = control::ControlState::from_bytes(&snapshot.data)?;
            *locks::write(&self.shared.state) = state;
        }
        let work = driver::Work::restored(base, &restored.entries);
        let node = node::Node::new(self.config(), restored, clock::unix_ms());
        let rx = locks::lock(&self.rx)
            .take()
            .expect("the driver is made once");
        Ok(driver::Driver {
            shared: sync::Arc::clone(&self.shared),
            node,
            folder,
            links: links::Links::start(&self.shared, &self.client),
            placing: self.placing_tx.clone(),
            rx,
            work,
        })
    }

    fn config(&self) -> config::Config {
        let group = &self.shared.settings.common.control;
        let mut cfg = config::Config::new(self.shared.node);
        cfg.election_timeout = group.election_timeout_ms;
        cfg.heartbeat_interval = group.heartbeat_ms;
        // In front of a fleet a leader grants no lease to entry processes.
        cfg.restart_check_enabled = self.shared.settings.common.discovery.is_some();
        cfg
    }

    fn place(&self) {
        let rx = locks::lock(&self.placing_rx)
            .take()
            .expect("the placing thread is started once");
        let common = &self.shared.settings.common;
        let policy = common.placement.clone();
        let placing = placing::Placing {
            shared: sync::Arc::clone(&self.shared),
            inputs: self.inputs.clone(),
            client: client::Client::new(transport::Settings::default()),
            plan_interval: policy.plan_interval_ms.into(),
            placement: sageshed_place::Placement::new(sageshed_place::Settings {
                models: common.models.clone(),
                policy,
            }),
            tx: self.placing_tx.clone(),
            rx,
            restart: false,
        };
        let spawned = thread::Builder::new()
            .name("placing".to_owned())
            .spawn(|| placing.run());
        if let Err(e) = spawned {
            ::log::error!(error:% = e; "control: no thread for placement");
        }
    }

    /// Tells the others of this process while it is no member, so that the leader adds it.
    fn announce_while_outside(&self) {
        let (shared, client) = (sync::Arc::clone(&self.shared), self.client.clone());
        thread::spawn(move || {
            while !shared.is_stopping() {
                // A voter that was replaced while it was frozen is one by its own log for good, since the leader sends
                // it nothing. If it did not announce itself, no process would be left to replace the next one.
                let own = shared.voter(shared.node);
                let view = locks::read(&shared.view);
                let is_voter = view.voters.contains(&own) && !view.status.removed;
                drop(view);
                if !is_voter {
                    formation::announce(&shared, &client);
                }
                thread::sleep(ANNOUNCE_INTERVAL);
            }
        });
    }
}

fn tokens(common: &settings::Common) -> sageshed_operators::tokens::Tokens {
    let none = sageshed_operators::tokens::Tokens::default();
    common
        .operators
        .iter()
        .fold(none, |tokens, it| tokens.with(&it.name, &it.token_sha256))
}
