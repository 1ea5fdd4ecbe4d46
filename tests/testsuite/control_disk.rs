//! Disks of control VMs that are lost, damaged or torn, and processes that were away for long.

use std::{fs, io::Write as _, path, sync::atomic, thread};

use sageshed_types::{messages, rules};

use crate::{cluster, operator, watch};

struct Case {
    name: &'static str,
    spoil: fn(&path::Path),
    /// Whether the disk counts as lost.
    lost: bool,
}

const CASES: [Case; 3] = [
    Case {
        name: "folder deleted",
        spoil: |data| fs::remove_dir_all(data).unwrap(),
        lost: true,
    },
    Case {
        name: "middle of the log damaged",
        spoil: |data| {
            let segment = segment(data);
            let mut bytes = fs::read(&segment).unwrap();
            let middle = bytes.len() / 2;
            bytes[middle] ^= 0xff;
            fs::write(&segment, bytes).unwrap();
        },
        lost: true,
    },
    Case {
        name: "end of the log torn",
        spoil: |data| {
            let segment = fs::File::options().append(true).open(segment(data));
            segment.unwrap().write_all(&[0x2a; 11]).unwrap();
        },
        lost: false,
    },
];

/// A control VM comes back with its disk lost, and soon after it is repaired another one is lost too.
/// Had it voted under its old name, or not been given its vote back, accepted changes would be lost
/// or none accepted any more. It comes back as a new generation, gets its vote, and the old
/// generation goes; a torn end of the log is no loss.
#[test]
fn a_second_vm_is_lost_after_the_first_is_repaired() {
    thread::scope(|scope| {
        for case in &CASES {
            scope.spawn(|| lose(case));
        }
    });
}

fn lose(case: &Case) {
    let mut cluster = cluster::Cluster::start(cluster::Plan::default());
    let client = operator::client(&cluster, &[0, 1, 2]);
    let count = atomic::AtomicUsize::new(0);
    let mut acknowledged = operator::stream(&client, "before", 20, &count);
    let leader = cluster.leader();
    let (first, second) = ((leader + 1) % 3, (leader + 2) % 3);
    let generation = generation_of(&cluster, first);
    cluster.kill(messages::Role::Control, first);
    (case.spoil)(&cluster.data(first));
    cluster.start_control(first);
    cluster.until(case.name, || {
        let now = voter(&cluster, first);
        now.is_some_and(|now| (now != generation) == case.lost)
            && is_whole(&cluster)
            && cluster
                .status_of(first)
                .is_some_and(|it| it.revision.0 >= 20)
    });
    let aside = fs::read_dir(cluster.data(first)).unwrap().flatten();
    let aside = aside.filter(|it| it.file_name().to_string_lossy().starts_with("damaged-"));
    let expected = usize::from(case.lost && case.name.contains("damaged"));
    assert_eq!(aside.count(), expected, "{}", case.name);

    cluster.kill(messages::Role::Control, second);
    acknowledged.extend(operator::stream(&client, "after", 10, &count));
    cluster.kill(messages::Role::Control, leader);
    cluster.start_control(second);
    acknowledged.extend(operator::stream(&client, "later", 10, &count));
    operator::assert_kept(&client, &acknowledged);
}

/// Over the years every control VM loses its disk once and is repaired, with `--new-group` left in
/// the service files. When the first one loses it, neither of the others was there when the group was
/// formed, and both were started to form one. The VM must join the group that there is. It took the
/// two for processes that wait for a group, and wrote down one that nobody had agreed on.
#[test]
fn every_disk_is_lost_once_and_the_first_again() {
    let mut cluster = cluster::Cluster::start(cluster::Plan::default());
    let client = operator::client(&cluster, &[0, 1, 2]);
    for (round, vm) in [1, 2, 0, 0].into_iter().enumerate() {
        let generation = generation_of(&cluster, vm);
        cluster.kill(messages::Role::Control, vm);
        fs::remove_dir_all(cluster.data(vm)).unwrap();
        cluster.start_control(vm);
        cluster.until("the disk is repaired", || {
            let now = voter(&cluster, vm);
            now.is_some_and(|now| now != generation) && is_whole(&cluster)
        });
        let revision = operator::accept(&client, &format!("round-{round}"));
        assert_eq!(revision, rules::Revision(round as u64 + 1));
        let formed = cluster.log("control", vm);
        let formed = formed.matches("control: group formed").count();
        assert_eq!(formed, 1, "VM {vm} formed a group again");
    }
}

/// A disk is lost while several operators change rules without pause, so that at every moment some
/// entry is not committed. The VM must get its vote back all the same.
#[test]
fn a_disk_is_repaired_under_a_stream_of_changes() {
    let mut cluster = cluster::Cluster::start(cluster::Plan::default());
    let client = operator::client(&cluster, &[0, 1, 2]);
    let count = atomic::AtomicUsize::new(0);
    let vm = (cluster.leader() + 1) % 3;
    let generation = generation_of(&cluster, vm);
    let stop = atomic::AtomicBool::new(false);
    thread::scope(|scope| {
        let stopping = Stopping(&stop);
        for writer in 0..8 {
            let (client, count, stop) = (&client, &count, &stop);
            scope.spawn(move || {
                for round in 0.. {
                    if stop.load(atomic::Ordering::Relaxed) {
                        return;
                    }
                    operator::stream(client, &format!("{writer}-{round}"), 1, count);
                }
            });
        }
        cluster.kill(messages::Role::Control, vm);
        fs::remove_dir_all(cluster.data(vm)).unwrap();
        cluster.start_control(vm);
        cluster.until("the disk is repaired", || {
            let now = voter(&cluster, vm);
            now.is_some_and(|now| now != generation) && is_whole(&cluster)
        });
        drop(stopping);
    });
}

/// Stops writers when it goes, also where the test fails: it would wait for them for ever.
struct Stopping<'s>(&'s atomic::AtomicBool);

impl Drop for Stopping<'_> {
    fn drop(&mut self) {
        self.0.store(true, atomic::Ordering::Relaxed);
    }
}

/// A control process and an entry process are away while hundreds of changes pass by, and the log
/// that they would need is gone. Both catch up from a snapshot, and no entry process goes back.
#[test]
fn processes_are_away_for_hundreds_of_changes() {
    let mut cluster = cluster::Cluster::start(cluster::Plan {
        control: "snapshot_after = 50\n".to_owned(),
        ..cluster::Plan::default()
    });
    let watch = watch::Watch::start(&cluster);
    let client = operator::client(&cluster, &[0, 1, 2]);
    let count = atomic::AtomicUsize::new(0);
    let away = (cluster.leader() + 1) % 3;
    cluster.kill(messages::Role::Control, away);
    cluster.kill(messages::Role::Entry, away);
    let acknowledged = operator::stream(&client, "away", 520, &count);
    let newest = acknowledged.last().unwrap().1;
    cluster.start_control(away);
    cluster.start_entry(away);
    cluster.until("the control process has caught up", || {
        cluster
            .status_of(away)
            .is_some_and(|it| it.revision == newest)
    });
    let log = cluster.log("control", away);
    assert!(log.contains("caught up by snapshot"), "{log}");
    cluster.until("the entry process has caught up", || {
        watch::revision(&watch::probe_at(&cluster.callers(away))) == Some(newest.0)
    });
    operator::assert_kept(&client, &acknowledged[500..]);
    watch.finish();
}

/// The last segment of the log.
fn segment(data: &path::Path) -> path::PathBuf {
    let paths = |dir: &path::Path| fs::read_dir(dir).unwrap().flatten().map(|it| it.path());
    let named = |path: &path::PathBuf, start: &str| {
        let name = path.file_name().unwrap();
        name.to_string_lossy().starts_with(start)
    };
    let generation = paths(data).find(|it| named(it, "generation-")).unwrap();
    paths(&generation)
        .filter(|it| named(it, "log-"))
        .max()
        .unwrap()
}

/// The generation of a VM among the voters, if it is one.
fn voter(cluster: &cluster::Cluster, vm: usize) -> Option<u64> {
    let name = cluster::vm_name(vm);
    let voters = cluster.status()?.voters;
    let mut found = voters.iter().filter(|it| it.vm == name);
    let voter = found.next().filter(|it| it.standing == "voter")?;
    found.next().is_none().then_some(voter.generation)
}

fn generation_of(cluster: &cluster::Cluster, vm: usize) -> u64 {
    let mut generation = None;
    cluster.until("the VM is a voter", || {
        generation = voter(cluster, vm);
        generation.is_some()
    });
    generation.unwrap()
}

/// Whether there are three voters and nothing else.
fn is_whole(cluster: &cluster::Cluster) -> bool {
    let voters = cluster.status().map(|it| it.voters).unwrap_or_default();
    voters.len() == 3 && voters.iter().all(|it| it.standing == "voter")
}
