//! Which control processes an entry process watches, and which of them delivers endpoint records.

use std::{collections, net};

use sageshed_fleet::{
    directory::Cursor,
    links::{LINK_COUNT, Links, SyncReply},
    messages::{ControlVm, DirectoryDetail},
};
use sageshed_types::time;

const T0: time::Instant = time::Instant(50_000);

fn at(ms: u64) -> time::Instant {
    T0 + time::Millis(ms)
}

fn ip(last: u8) -> net::Ipv4Addr {
    net::Ipv4Addr::new(10, 0, 0, last)
}

fn reply(differs: bool, has_more: bool) -> SyncReply<'static> {
    SyncReply {
        differs,
        has_more,
        news: None,
        peers: &[],
    }
}

/// Five control processes, one in each of the zones z1 to z5.
fn control() -> Vec<ControlVm> {
    let vm = |last| ControlVm {
        ip: ip(last),
        availability_zone: Some(format!("z{last}")),
    };
    (1..=5).map(vm).collect()
}

/// Links of a process in `zone` that are all connected, and their targets.
fn linked(zone: &str) -> (Links, Vec<net::Ipv4Addr>) {
    let mut links = Links::new(zone, (1..=3).map(ip).collect());
    links.add_control_vms(control());
    let targets = pick_all(&mut links, T0);
    (links, targets)
}

fn pick_all(links: &mut Links, now: time::Instant) -> Vec<net::Ipv4Addr> {
    let picks = (0..LINK_COUNT).map(|number| links.pick(now, number, 7 + number as u64));
    picks.map(|it| it.expect("some are known")).collect()
}

fn requested_details(links: &Links, now: time::Instant) -> Vec<DirectoryDetail> {
    (0..LINK_COUNT)
        .map(|number| links.requested_detail(now, number))
        .collect()
}

/// The control group may be partitioned with three processes on the larger side: three links to different
/// control processes reach it in every case.
#[test]
fn links_go_to_different_control_processes_and_the_first_to_the_local_one() {
    for (zone, local) in [("z4", Some(ip(4))), ("z1", Some(ip(1))), ("z6", None)] {
        let (_, targets) = linked(zone);
        let different: collections::BTreeSet<_> = targets.iter().collect();
        assert_eq!(different.len(), LINK_COUNT, "{zone}: {targets:?}");
        assert!(
            local.is_none_or(|it| targets[0] == it),
            "{zone}: {targets:?}"
        );
    }
}

/// At its start a process knows only the seeds, and another link goes to the local control process by
/// chance. If it stayed there, endpoint records would come from another zone for as long as the process
/// lives.
#[test]
fn the_first_link_takes_the_local_control_process_from_another() {
    let mut links = Links::new("z2", vec![ip(2)]);
    assert_eq!(links.pick(T0, 1, 0), Some(ip(2)));
    links.add_control_vms(control());
    let targets = pick_all(&mut links, T0);
    assert_eq!(targets[0], ip(2));
    assert!(
        targets[1] != ip(2) && targets[1] != targets[2],
        "{targets:?}"
    );
}

/// A process that starts gets all it needs with its first response, from whichever control process. From
/// then on, a single link delivers endpoint records.
#[test]
fn one_link_delivers_endpoint_records_once_one_has_responded() {
    let (mut links, _) = linked("z4");
    assert_eq!(
        requested_details(&links, T0),
        [DirectoryDetail::News; LINK_COUNT]
    );
    links.record_reply(at(5), 2, &reply(false, false));
    assert_eq!(
        requested_details(&links, at(5)),
        [
            DirectoryDetail::Digest,
            DirectoryDetail::Digest,
            DirectoryDetail::News
        ]
    );
    links.record_reply(at(9), 0, &reply(false, false));
    assert_eq!(
        requested_details(&links, at(9)),
        [
            DirectoryDetail::News,
            DirectoryDetail::Digest,
            DirectoryDetail::Digest
        ]
    );
}

/// The local control process dies. Its link goes to another one, and a link whose control process has
/// responded delivers endpoint records at once. The local one is tried again later, and not every two
/// seconds: if its VM has no power, each attempt takes long.
#[test]
fn a_lost_control_process_is_replaced_and_tried_again_later() {
    let (mut links, targets) = linked("z4");
    for number in 0..LINK_COUNT {
        links.record_reply(T0, number, &reply(false, false));
    }
    links.mark_unreachable(at(100), 0, targets[0]);
    assert_eq!(
        requested_details(&links, at(100)),
        [
            DirectoryDetail::Digest,
            DirectoryDetail::News,
            DirectoryDetail::Digest
        ]
    );
    for ms in [130, 2_500, 7_000] {
        let next = links.pick(at(ms), 0, 3).expect("others are known");
        assert!(!targets.contains(&next), "after {ms} ms: {next}");
    }
    assert_eq!(links.pick(at(8_200), 0, 3), Some(ip(4)));
}

/// The local control process is partitioned from the others, responds, and knows less than they do: a
/// leaving engine would get new requests. The digests of the others differ, and their links deliver
/// endpoint records for as long as they do. Changes that are merely on their way must not count as a
/// difference.
#[test]
fn links_whose_digest_differs_deliver_endpoint_records_too() {
    let (mut links, _) = linked("z4");
    for number in 0..LINK_COUNT {
        links.record_reply(T0, number, &reply(false, false));
    }
    links.record_reply(at(100), 1, &reply(true, false));
    assert_eq!(links.requested_detail(at(150), 1), DirectoryDetail::Digest);
    links.record_reply(at(300), 1, &reply(true, false));
    assert_eq!(links.requested_detail(at(300), 1), DirectoryDetail::News);
    assert_eq!(links.requested_detail(at(300), 2), DirectoryDetail::Digest);
    links.record_reply(at(400), 1, &reply(false, false));
    assert_eq!(links.requested_detail(at(400), 1), DirectoryDetail::Digest);
}

/// All control processes are lost at once and return one by one: links have to retry soon.
#[test]
fn links_retry_when_nobody_responds() {
    let (mut links, _) = linked("z4");
    for last in 1..=5 {
        links.mark_unreachable(at(10), usize::from(last) % LINK_COUNT, ip(last));
    }
    assert!(links.pick(at(40), 1, 2).is_some());
    let mut none = Links::new("z4", Vec::new());
    assert_eq!(none.pick(T0, 0, 1), None);
}

/// Guards against endpoint records that come over three links, two of them from other zones, for as long as
/// endpoints change: digests then differ all the time, though the local control process is only some ten
/// milliseconds behind. One that lags, or is partitioned, must still be detected.
#[test]
fn links_stay_quiet_while_the_near_control_process_keeps_up() {
    let (mut links, targets) = linked("z4");
    for number in 0..LINK_COUNT {
        links.record_reply(T0, number, &reply(false, false));
    }
    let cursor = |change| Cursor { start: 9, change };
    let local = |links: &mut Links, ms, change| {
        let peers = [(targets[1], cursor(change)), (targets[2], cursor(change))];
        let response = SyncReply {
            peers: &peers,
            ..reply(false, false)
        };
        links.record_reply(at(ms), 0, &response);
    };
    let other = |links: &mut Links, ms, change| {
        let response = SyncReply {
            news: Some(cursor(change)),
            ..reply(true, false)
        };
        links.record_reply(at(ms), 1, &response);
    };
    local(&mut links, 10, 100);
    for step in 0..100 {
        let ms = 20 + step * 30;
        other(&mut links, ms, 101 + step);
        assert_eq!(
            links.requested_detail(at(ms), 1),
            DirectoryDetail::Digest,
            "after {ms} ms"
        );
        // A hundred milliseconds behind.
        local(&mut links, ms + 10, 101 + step.saturating_sub(3));
    }
    // From here on, the local control process learns nothing more.
    other(&mut links, 4_000, 300);
    local(&mut links, 4_050, 200);
    assert_eq!(
        links.requested_detail(at(4_100), 1),
        DirectoryDetail::Digest
    );
    assert_eq!(links.requested_detail(at(4_200), 1), DirectoryDetail::News);
    local(&mut links, 4_300, 300);
    assert_eq!(
        links.requested_detail(at(4_300), 1),
        DirectoryDetail::Digest
    );
    // Changes of another start of the control process are counted anew.
    let restarted = SyncReply {
        news: Some(Cursor {
            start: 10,
            change: 5,
        }),
        ..reply(true, false)
    };
    links.record_reply(at(5_000), 1, &restarted);
    local(&mut links, 5_100, 300);
    assert_eq!(links.requested_detail(at(5_200), 1), DirectoryDetail::News);
}
