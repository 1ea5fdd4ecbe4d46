//! The thread that owns the replicated log, with a disk that fills up and without a network.

use std::{
    env,
    fmt::Write as _,
    fs, io,
    io::Write as _,
    net, path, process,
    sync::{self, atomic, mpsc},
    thread, time,
};

use sageshed::{
    control::{driver, fleet::watch, inputs, links, metrics, operators, placing, shared, vms},
    locks, settings,
};
use sageshed_disk::{files, folder, vacant};
use sageshed_fleet::messages as fleet;
use sageshed_operators::backend::Backend as _;
use sageshed_quorum::{config, log, message, node, status};
use sageshed_state::{command, control};
use sageshed_types::{claims, document, endpoints, messages, rules, time as types_time};
use sageshed_vms::Handler as _;

/// How long anything that is waited for may take. A test that reaches it has failed.
const PATIENCE: time::Duration = time::Duration::from_secs(20);

/// How long a large call is held: its caller gives it up a second later.
const HELD: time::Duration = time::Duration::from_secs(4);

/// Bytes of a large configuration.
const ENTRY_BYTES: usize = 2 * 1024 * 1024;

/// Bytes that the log may hold: an eighth of the 256 MB of a control process.
const MOST_LOG_BYTES: usize = 32 * 1024 * 1024;

/// A write that holds this finds no room while the disk is full.
const MARKER: &str = "finds-no-room";

const OWN: log::NodeId = log::NodeId {
    vm: 1,
    generation: 1,
};
const OTHER: log::NodeId = log::NodeId {
    vm: 2,
    generation: 1,
};

/// The real disk, which is full for some writes while told so.
#[derive(Debug, Clone, Default)]
struct Filling(sync::Arc<atomic::AtomicBool>);

impl files::Files for Filling {
    fn write(&self, file: &mut fs::File, buf: &[u8]) -> io::Result<()> {
        let marked = buf.windows(MARKER.len()).any(|it| it == MARKER.as_bytes());
        if marked && self.0.load(atomic::Ordering::SeqCst) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        file.write_all(buf)
    }
}

/// A driver that runs.
struct Running {
    dir: path::PathBuf,
    full: Filling,
    shared: sync::Arc<shared::Shared>,
    inputs: inputs::Inputs,
    placing: mpsc::Receiver<placing::Input>,
    thread: Option<thread::JoinHandle<Result<(), driver::End>>>,
}

impl Running {
    /// Starts one that has `voters` and finds `write` on its disk.
    fn start(
        voters: &[log::NodeId],
        write: &log::LogWrite,
        prepare: impl FnOnce(&shared::Shared, &mut config::Config),
    ) -> Self {
        static COUNT: atomic::AtomicUsize = atomic::AtomicUsize::new(0);
        let nth = COUNT.fetch_add(1, atomic::Ordering::Relaxed);
        let dir = env::temp_dir().join(format!("sageshed-driver-{}-{nth}", process::id()));
        fs::create_dir_all(&dir).unwrap();
        let settings = settings(&dir);
        let full = Filling::default();
        let (folder, restored) = open(&dir, voters, write, full.clone());
        let shared = sync::Arc::new(shared::Shared::new(settings, false, OWN));
        let mut cfg = config::Config::new(OWN);
        cfg.election_timeout = types_time::Millis(300);
        cfg.heartbeat_interval = types_time::Millis(50);
        prepare(&shared, &mut cfg);
        let mut base = log::Index::default();
        if let Some(snapshot) = &restored.snapshot {
            base = snapshot.index;
            let state = control::ControlState::from_bytes(&snapshot.data).unwrap();
            *locks::write(&shared.state) = state;
        }
        let work = driver::Work::restored(base, &restored.entries);
        let (inputs, rx) = inputs::Inputs::new();
        let (tx, placing) = mpsc::channel();
        let driver = driver::Driver {
            shared: sync::Arc::clone(&shared),
            node: node::Node::new(cfg, restored, 7),
            folder,
            links: links::Links::start(&shared, &sageshed_vms::Client::new("")),
            placing: tx,
            rx,
            work,
        };
        let thread = Some(thread::spawn(move || driver.run()));
        Self {
            dir,
            full,
            shared,
            inputs,
            placing,
            thread,
        }
    }

    /// Starts one that is alone in its group, and waits until it leads.
    fn alone(prepare: impl FnOnce(&shared::Shared, &mut config::Config)) -> Self {
        let running = Self::start(&[OWN], &log::LogWrite::default(), prepare);
        running.until_started();
        running
    }

    /// Waits until the log has taken note that this process leads.
    fn until_started(&self) {
        let input = self.placing.recv_timeout(PATIENCE).unwrap();
        let placing::Input::Decided(inputs::Fate::Applied(Some(outcome))) = input else {
            panic!("{input:?}");
        };
        let started = matches!(*outcome, command::Outcome::LeaderStarted { .. });
        assert!(started, "{outcome:?}");
    }

    /// Hands over a command. Unlike [`inputs::Inputs::commit`], whoever waits for its fate has no limit of 2 s, which the
    /// sync of a large command can exceed on a busy disk.
    fn submit(&self, command: command::Command) -> mpsc::Receiver<inputs::Fate> {
        let (tx, rx) = mpsc::channel();
        self.inputs.offer(inputs::Input::Submit {
            command: Box::new(command),
            reply: inputs::Reply::Waiter(tx),
        });
        rx
    }

    /// Hands over a command that finds no room, and waits until it has found none.
    fn submit_when_full(&self) -> mpsc::Receiver<inputs::Fate> {
        self.full.0.store(true, atomic::Ordering::SeqCst);
        let rx = self.submit(drain("vm1", MARKER));
        until("the disk is full", || {
            locks::read(&self.shared.view).disk_full
        });
        rx
    }

    fn stop(&mut self) -> Result<(), driver::End> {
        self.shared.stopping.store(true, atomic::Ordering::Relaxed);
        self.end()
    }

    /// Waits until the driver ends.
    fn end(&mut self) -> Result<(), driver::End> {
        let thread = self.thread.as_ref().unwrap();
        until("the driver ends", || thread.is_finished());
        self.thread.take().unwrap().join().unwrap()
    }

    fn status(&self) -> status::Status {
        locks::read(&self.shared.view).status.clone()
    }

    fn drained(&self) -> Vec<String> {
        let state = locks::read(&self.shared.state);
        state.draining().map(str::to_owned).collect()
    }

    /// Says something as the other voter.
    fn say(&self, body: message::Body) {
        let term = self.status().term;
        self.inputs.offer(inputs::Input::Message {
            from: OTHER,
            message: message::Message {
                to: OWN,
                term,
                body,
            },
        });
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.shared.stopping.store(true, atomic::Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            drop(thread.join());
        }
        drop(fs::remove_dir_all(&self.dir));
    }
}

fn settings(dir: &path::Path) -> settings::Control {
    let mut common = String::new();
    // Ports on which nobody listens: bound for a moment, and let go once all are chosen. One that is let
    // go before may be given out again, and the settings are refused for two VMs at one address.
    let held = [(); 6].map(|()| net::TcpListener::bind("127.0.0.1:0").unwrap());
    let ports = held.each_ref().map(|it| it.local_addr().unwrap());
    drop(held);
    for (number, pair) in (1..=3).zip(ports.chunks(2)) {
        let (entry, control) = (pair[0], pair[1]);
        write!(
            common,
            "[[vms]]\nname = \"vm{number}\"\nnumber = {number}\navailability_zone = \"z1\"\n\
             entry = \"{entry}\"\ncontrol = \"{control}\"\n"
        )
        .unwrap();
    }
    common += "[[classes]]\nname = \"usual\"\ndeadline_ms = 1000\n\
               [control]\ninitial_voters = [\"vm1\", \"vm2\", \"vm3\"]\nsnapshot_after = 10\n";
    fs::write(dir.join("common.toml"), common).unwrap();
    let own = "vm = \"vm1\"\ncommon = \"common.toml\"\ndata = \"data\"\n\
               [listen]\nvms = \"127.0.0.1:0\"\noperators = \"127.0.0.1:0\"\n";
    let file = dir.join("control.toml");
    fs::write(&file, own).unwrap();
    settings::control(&file).unwrap()
}

fn open(
    dir: &path::Path,
    voters: &[log::NodeId],
    write: &log::LogWrite,
    full: Filling,
) -> (Box<folder::Folder<Filling>>, log::PersistedState) {
    let data = dir.join("data");
    let options = folder::Options::default();
    let opened = folder::Folder::open_with(&data, OWN.vm, options, full.clone()).unwrap();
    let folder::Opened::Fresh(vacant) = opened else {
        panic!("{opened:?}");
    };
    let first = vacant::Start::First {
        generation: OWN.generation,
        membership: log::Membership::of_voters(voters.iter().copied()),
    };
    let folder::Opened::Ready(mut folder, _) = vacant.start_generation(first).unwrap() else {
        panic!("no generation");
    };
    folder.write(write).unwrap();
    drop(folder);
    match folder::Folder::open_with(&data, OWN.vm, options, full).unwrap() {
        folder::Opened::Ready(folder, restored) => (folder, restored),
        other => panic!("{other:?}"),
    }
}

fn until(what: &str, holds: impl Fn() -> bool) {
    let end = time::Instant::now() + PATIENCE;
    while !holds() {
        assert!(time::Instant::now() < end, "waited in vain until {what}");
        thread::sleep(time::Duration::from_millis(2));
    }
}

fn drain(vm: &str, change_id: &str) -> command::Command {
    command::Command::DrainVm {
        vm: vm.to_owned(),
        on: true,
        change_id: change_id.to_owned(),
    }
}

fn claim(vm: &str, incarnation: u64) -> claims::Claim {
    claims::Claim {
        key: claims::ClaimKey {
            caller: "alpha".to_owned(),
            key: "key".to_owned(),
        },
        holder: claims::Holder {
            vm: vm.to_owned(),
            incarnation: endpoints::Incarnation(incarnation),
            request_id: format!("{vm}.{incarnation}.1"),
        },
        digest: 1,
        retention: types_time::Millis(60_000),
    }
}

fn heard(shared: &shared::Shared, vm: &str, incarnation: u64, revision: u64) {
    let req = messages::SyncReq {
        from: messages::Process {
            vm: vm.to_owned(),
            role: messages::Role::Entry,
            incarnation: endpoints::Incarnation(incarnation),
        },
        address: String::new(),
        revision: rules::Revision(revision),
        directory_seen: messages::DirectoryCursor::default(),
        reports: Vec::new(),
        demand: Vec::new(),
        draining: false,
        ready: true,
        crashes_known: None,
        crashes: Vec::new(),
    };
    locks::write(&shared.roster).heard(shared.clock.now(), &req);
}

/// The data folder of the leader is full. Callers are told so at once, and what waits for room is
/// acknowledged when it is on disk and not before.
#[test]
fn a_full_disk_acknowledges_nothing_and_goes_on_with_room() {
    let running = Running::alone(|_, _| {});
    let waiting = running.submit_when_full();
    let refused = inputs::Fate::NotDone(inputs::NotDone::DiskFull);
    assert_eq!(running.inputs.commit(drain("vm2", "second")), refused);
    assert_eq!(running.inputs.read(), refused);
    assert!(waiting.try_recv().is_err(), "acknowledged without a write");
    running.full.0.store(false, atomic::Ordering::SeqCst);
    let fate = waiting.recv_timeout(PATIENCE).unwrap();
    assert!(matches!(fate, inputs::Fate::Applied(_)), "{fate:?}");
    until("there is room", || {
        !locks::read(&running.shared.view).disk_full
    });
    let second = running.inputs.commit(drain("vm2", "second"));
    assert!(matches!(second, inputs::Fate::Applied(_)), "{second:?}");
    assert_eq!(running.drained(), ["vm1", "vm2"]);
}

/// The data folder is full and an operator restarts the process to make room. A change that waits to
/// be written was acknowledged as it stopped, and was gone after the start.
#[test]
fn a_process_that_stops_on_a_full_disk_acknowledges_nothing() {
    let mut running = Running::alone(|_, _| {});
    let waiting = running.submit_when_full();
    running.stop().unwrap();
    let fate = waiting.recv();
    assert!(fate.is_err(), "{fate:?}");
    assert!(running.drained().is_empty());
}

/// A control process of an older version finds a committed command that it does not know. It must
/// stop there: with that one passed over, its state would differ from the others' for good, and go
/// into its next snapshot.
#[test]
fn a_command_that_is_not_understood_stops_the_process() {
    let entry = |index, data| log::Entry {
        index: log::Index(index),
        term: log::Term(1),
        data: log::EntryData::Command(data),
    };
    let write = log::LogWrite {
        hard_state: Some(log::HardState {
            term: log::Term(1),
            voted_for: None,
        }),
        entries: vec![
            entry(1, vec![0xc1]),
            entry(2, drain("vm1", "after").to_bytes().unwrap()),
        ],
        ..log::LogWrite::default()
    };
    let mut running = Running::start(&[OWN], &write, |_, _| {});
    let end = running.end();
    let at = log::Index(1);
    assert!(
        matches!(end, Err(driver::End::Command { index, .. }) if index == at),
        "{end:?}"
    );
    assert!(running.drained().is_empty(), "{:?}", running.drained());
}

/// A new leader is refused its first command, since too much is uncommitted when it begins. Until
/// that command is committed nothing is placed; it must be proposed again.
#[test]
fn a_leader_that_is_refused_its_first_command_proposes_it_again() {
    let running = Running::start(&[OWN, OTHER], &log::LogWrite::default(), |_, cfg| {
        cfg.max_uncommitted = 1;
        // No answer to a heartbeat is given until late.
        cfg.election_timeout = types_time::Millis(2_000);
    });
    until("it leads", || {
        running.say(message::Body::PreVoteReply {
            granted: true,
            removed: false,
        });
        running.say(message::Body::VoteReply { granted: true });
        running.status().role == status::Role::Leader
    });
    // Its own first entry is uncommitted now, and that is all there may be.
    thread::sleep(time::Duration::from_millis(300));
    let end = time::Instant::now() + PATIENCE;
    loop {
        let matched = running.status().last;
        running.say(message::Body::Accepted { matched });
        let round = message::Round {
            number: u64::MAX,
            started: running.shared.clock.now(),
        };
        running.say(message::Body::HeartbeatReply { round });
        match running.placing.try_recv() {
            Ok(placing::Input::Decided(inputs::Fate::Applied(_))) => return,
            Ok(other) => panic!("{other:?}"),
            Err(_) => assert!(time::Instant::now() < end, "it placed nothing"),
        }
        thread::sleep(time::Duration::from_millis(10));
    }
}

/// An entry process dies and is started anew. The leader that hears the new one dies too, before it
/// has told the log. The next leader heard the new start as a follower. A request that the dead entry
/// process had claimed must not count as running for as long as claims are kept.
#[test]
fn a_new_leader_tells_the_log_which_entry_processes_are_gone() {
    let running = Running::alone(|shared, _| heard(shared, "vm3", 5, 0));
    let claim = command::Command::Claim(claim("vm3", 4));
    let fate = running.inputs.commit(claim);
    let too_late = inputs::Fate::Applied(Some(Box::new(command::Outcome::ClaimTooLate)));
    assert_eq!(fate, too_late);
}

/// A change is accepted, and a moment later another control process gets it by a snapshot. Asked
/// whether the change is in force, that one does not know when it was committed. It must not take it
/// for older than all leases: a VM that was cut off may still be serving by the rules before.
#[test]
fn a_change_that_came_by_snapshot_is_in_force_once_leases_ran_out() {
    let mut state = control::ControlState::default();
    let change = command::Command::Change(rules::Change {
        change_id: "change".to_owned(),
        base_revision: rules::Revision(0),
        edit: rules::Edit::ReplaceAll { rules: Vec::new() },
        operator: "op".to_owned(),
    });
    state.apply(1, change);
    let write = log::LogWrite {
        snapshot: Some(log::Snapshot {
            index: log::Index(1),
            term: log::Term(1),
            membership: log::Membership::of_voters([OWN]),
            data: state.to_bytes().unwrap(),
        }),
        ..log::LogWrite::default()
    };
    let running = Running::start(&[OWN], &write, |shared, _| {
        heard(shared, "vm1", 1, 1);
        heard(shared, "vm2", 1, 1);
        heard(shared, "vm3", 1, 0);
    });
    let desk = operators::Desk {
        shared: sync::Arc::clone(&running.shared),
        inputs: running.inputs.clone(),
        client: sageshed_vms::Client::new(""),
        metrics: metrics::Metrics::default(),
    };
    let first = rules::Revision(1);
    let early = desk.in_force(first).unwrap();
    assert!(!early.everywhere, "{early:?}");
    assert_eq!(early.missing, ["vm3"]);
    until("leases have run out", || {
        desk.in_force(first).unwrap().everywhere
    });
}

/// A follower is a few entries behind when the leader makes a snapshot. With the log cut right there,
/// it would be sent the whole state for want of those few.
#[test]
fn the_log_is_cut_some_entries_behind_a_snapshot() {
    let running = Running::alone(|_, _| {});
    let mut cuts = 0;
    let mut before = log::Index::default();
    for nth in 0..60 {
        let fate = running.inputs.commit(drain("vm1", &format!("drain-{nth}")));
        assert!(matches!(fate, inputs::Fate::Applied(_)), "{fate:?}");
        let status = running.status();
        if status.snapshot != before {
            cuts += 1;
            before = status.snapshot;
            let kept = status.last.0 - status.snapshot.0;
            assert!(kept >= 10, "{kept} entries kept");
        }
    }
    assert!(cuts > 0, "no snapshot was made");
}

/// Guards against entry processes that are sent the whole of each configuration by a control process which they had not
/// asked before.
#[test]
fn a_control_process_can_send_what_changed_of_all_that_it_has_applied() {
    let running = Running::alone(|_, _| {});
    for version in [5, 6] {
        let text = format!("{{\"version\":{version}}}");
        let document = document::Document { version, text };
        let command = command::Command::ReplaceFleet(document);
        let fate = running.inputs.commit(command);
        assert!(matches!(fate, inputs::Fate::Applied(_)), "{fate:?}");
    }
    let req = fleet::ConfigReq {
        text_held: 5,
        transfer: None,
        offset: 0,
        most: 1_024,
    };
    let chunk = watch::chunk(&running.shared, &req).chunk;
    let id = chunk.expect("there is a newer one").id;
    assert_eq!((id.from, id.version), (5, 6));
}

/// Answers a large call once another one has come, or its caller is about to give it up.
struct Holding {
    others: mpsc::Sender<()>,
    rx: sync::Mutex<mpsc::Receiver<()>>,
    passed: mpsc::Sender<bool>,
}

impl sageshed_vms::Handler for Holding {
    fn handle(&self, _path: &str, body: &[u8]) -> sageshed_vms::Answer {
        if body.len() < ENTRY_BYTES {
            self.others.send(()).unwrap();
        } else {
            let passed = locks::lock(&self.rx).recv_timeout(HELD).is_ok();
            self.passed.send(passed).unwrap();
        }
        sageshed_vms::Answer::message(&())
    }
}

/// Guards against leaders that are deposed by a large configuration: their heartbeats waited behind it.
#[test]
fn heartbeats_pass_a_large_entry() {
    let running = Running::alone(|_, _| {});
    let (others, rx) = mpsc::channel();
    let (passed, has_passed) = mpsc::channel();
    let handler = sync::Arc::new(Holding {
        others,
        rx: sync::Mutex::new(rx),
        passed,
    });
    let address = running.shared.control_address(OTHER.vm).unwrap();
    let _server = sageshed_vms::Server::start(&address.to_string(), "", 16, handler).unwrap();
    let mut links = links::Links::start(&running.shared, &sageshed_vms::Client::new(""));
    let mut send = |body| {
        let message = message::Message {
            to: OTHER,
            term: log::Term(1),
            body,
        };
        links.send(OTHER, &message);
    };
    send(message::Body::Append {
        prev: log::Position::default(),
        entries: vec![log::Entry {
            index: log::Index(1),
            term: log::Term(1),
            data: log::EntryData::Command(vec![0; ENTRY_BYTES]),
        }],
        commit: log::Index(0),
    });
    send(message::Body::Heartbeat {
        round: message::Round {
            number: 1,
            started: types_time::Instant(0),
        },
        commit: log::Index(0),
    });
    assert_eq!(has_passed.recv_timeout(PATIENCE), Ok(true));
}

/// Guards against a log of large configurations that takes all memory: it was cut by the number of its entries alone.
#[test]
fn the_log_is_cut_by_its_bytes() {
    let running = Running::alone(|_, _| {});
    let text = "x".repeat(ENTRY_BYTES);
    for version in 1..=40 {
        let text = text.clone();
        let document = document::Document { version, text };
        let command = command::Command::ReplaceFleet(document);
        let fate = running.submit(command).recv_timeout(PATIENCE).unwrap();
        assert!(matches!(fate, inputs::Fate::Applied(_)), "{fate:?}");
        let status = running.status();
        let kept = usize::try_from(status.last.0 - status.snapshot.0).expect("few");
        assert!(kept * ENTRY_BYTES <= MOST_LOG_BYTES, "{kept} entries kept");
    }
}

/// The leader gets no acknowledgements, and more claims come than may wait. The one past the bound is
/// told at once that nothing was done: if it waited too, and those after it, no thread would be left
/// to take the acknowledgements in.
#[test]
fn a_claim_past_the_bound_does_not_wait() {
    let running = Running::alone(|_, _| {});
    // Nobody takes out what is put in here, so whoever waits gets no answer.
    let (inputs, _rx) = inputs::Inputs::new();
    let port = vms::Port {
        shared: sync::Arc::clone(&running.shared),
        inputs,
        client: sageshed_vms::Client::new(""),
        placing: mpsc::channel().0,
        waiting: atomic::AtomicUsize::new(0),
    };
    let body = sageshed_vms::encode(&claim("vm3", 4)).unwrap();
    thread::scope(|scope| {
        for _ in 0..vms::WAITING {
            scope.spawn(|| port.handle(messages::paths::CLAIM, &body));
        }
        until("all wait", || {
            port.waiting.load(atomic::Ordering::Relaxed) == vms::WAITING
        });
        let sageshed_vms::Answer::Message(answer) = port.handle(messages::paths::CLAIM, &body)
        else {
            panic!("no answer");
        };
        let answer: messages::LeaderReply<claims::ClaimOutcome> =
            sageshed_vms::decode(&answer).unwrap();
        let refused = matches!(answer, messages::LeaderReply::NotLeader { .. });
        assert!(refused, "{answer:?}");
    });
}
