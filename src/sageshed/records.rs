//! Records of endpoints as they travel between processes.

use sageshed_fleet::{directory, messages};
use sageshed_types::time;

use crate::sampler;

/// Packs a record.
#[must_use]
pub fn pack(record: &directory::Record) -> Option<messages::EncodedRecord> {
    match sageshed_vms::encode(record) {
        Ok(bytes) => Some(messages::EncodedRecord(bytes)),
        Err(e) => {
            ::log::error!(endpoint:% = record.instance.id, error:% = e;
                "watch: record not passed on");
            None
        }
    }
}

/// Reads records. One that can't be read is counted and passed over: it is of another version, or of a
/// process that goes wrong, and what is believed of its endpoint stays.
#[must_use]
pub fn unpack(
    packed: &[messages::EncodedRecord],
    misread: &sampler::Sampler,
    now: time::Instant,
) -> Vec<directory::Record> {
    let records = packed
        .iter()
        .filter_map(|it| match sageshed_vms::decode(&it.0) {
            Ok(record) => Some(record),
            Err(e) => {
                if misread.line(now) != sampler::Line::LeaveOut {
                    ::log::warn!(error:% = e, misread = misread.total();
                        "watch: record of an endpoint not understood");
                }
                None
            }
        });
    records.collect()
}
