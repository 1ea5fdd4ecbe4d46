//! All control processes are killed at once while the system starts for the first time, and are back within a second.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{Outcome, client::CONFIG, fleet::Fleet, record::Record};

/// How long after their start the processes are killed, one try each on new disks.
const KILLED_AFTER: [Duration; 6] = [
    Duration::from_millis(60),
    Duration::from_millis(100),
    Duration::from_millis(140),
    Duration::from_millis(180),
    Duration::from_millis(220),
    Duration::from_millis(80),
];

/// How long they are down.
const DOWN: Duration = Duration::from_millis(500);

/// How long the operator sends its first configuration until a try counts as failed: five times `ack_ms`.
const LIMIT: Duration = Duration::from_secs(20);

/// How much longer it goes on then, which shows that the group does not form later.
const LONGER: Duration = Duration::from_secs(15);

/// No try is begun after this time, so that the script ends within 120 seconds.
const LAST_TRY: Duration = Duration::from_secs(60);

pub fn play(with_trouble: bool, record: &Record) -> Outcome {
    let began = Instant::now();
    for after in KILLED_AFTER {
        if began.elapsed() > LAST_TRY {
            break;
        }
        let mut fleet = Fleet::start(5, 0, record);
        if with_trouble {
            thread::sleep(after);
            fleet.kill_control();
            for node in &mut fleet.control {
                node.kill();
            }
            record.note(&format!(
                "all control processes killed {} ms after their start",
                after.as_millis()
            ));
            thread::sleep(DOWN);
            for node in &mut fleet.control {
                node.start();
            }
            record.note("all control processes started again on their disks");
        }
        if is_acknowledged(&fleet, LIMIT, record) {
            continue;
        }
        if is_acknowledged(&fleet, LONGER, record) {
            record.note("the group has formed late");
            continue;
        }
        record.note(&format!(
            "no acknowledgement within {} s, with all processes running and connected",
            (LIMIT + LONGER).as_secs()
        ));
        return Outcome::Broken;
    }
    Outcome::Held
}

/// Whether a control process acknowledges the first configuration within `limit`.
fn is_acknowledged(fleet: &Fleet, limit: Duration, record: &Record) -> bool {
    let began = Instant::now();
    let mut refusals = 0;
    while began.elapsed() < limit {
        for at in 0..fleet.control.len() {
            if fleet.send_config(at, CONFIG) == 200 {
                let ms = began.elapsed().as_millis();
                record.note(&format!("first configuration acknowledged after {ms} ms"));
                return true;
            }
            refusals += 1;
        }
        thread::sleep(Duration::from_millis(200));
    }
    record.note(&format!(
        "{refusals} calls of the operator without acknowledgement"
    ));
    false
}
