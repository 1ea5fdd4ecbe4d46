//! Records of endpoints that another process passes on.

use std::net;

use sageshed::{records, sampler};
use sageshed_fleet::{
    directory::{Instance, Record, State},
    messages,
};
use sageshed_types::time;

fn record(name: &str) -> Record {
    Record {
        instance: Instance {
            id: name.into(),
            service: "s".to_owned(),
            software_version: Some("v1".to_owned()),
            address: net::SocketAddrV4::new(net::Ipv4Addr::LOCALHOST, 80),
            availability_zone: "z".to_owned(),
            slots: 4,
            state: State::Ready,
            warming: time::Millis(0),
            remaining: None,
            sequence: 3,
            models: Vec::new(),
            in_memory: Vec::new(),
            on_disk: Vec::new(),
        },
        amended: 1,
        rank: 0,
        age: time::Millis(20),
    }
}

/// A control process of another version, or one that goes wrong, passes records on of which some can't be
/// read. Read as one message they would all be lost, with the configuration and the leader beside them, and an
/// entry process would leave a control process that is sound.
#[test]
fn a_record_that_cannot_be_read_costs_no_other() {
    let sound = [record("e1"), record("e2")];
    let misread = sampler::Sampler::new(2);
    let spoilt = [
        Vec::new(),
        vec![0xc1],
        vec![0xff; 300],
        b"{\"instance\":1}".to_vec(),
        packed(&sound[0]).0[..40].to_vec(),
    ];
    let mut packed: Vec<_> = sound.iter().map(packed).collect();
    let count = spoilt.len();
    for (at, bytes) in spoilt.into_iter().enumerate() {
        packed.insert(at % 3, messages::EncodedRecord(bytes));
    }
    let read = records::unpack(&packed, &misread, time::Instant(5_000));
    assert_eq!(read, sound);
    assert_eq!(misread.total(), count as u64);
}

fn packed(record: &sageshed_fleet::directory::Record) -> messages::EncodedRecord {
    records::pack(record).expect("it can be encoded")
}
