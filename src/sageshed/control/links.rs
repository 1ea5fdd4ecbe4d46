//! Sends the log's messages to the other control processes.
//!
//! Two threads for each, so that a VM that does not answer holds up nobody else, and large entries no heartbeat: a
//! leader whose heartbeats wait behind one of megabytes is deposed before that is acknowledged, and so is the next.
//! Messages may be lost: the log sends again what matters. So a full queue drops, and a failed call drops its batch.

use std::{
    collections,
    sync::{self, atomic, mpsc},
    thread, time,
};

use sageshed_quorum::{log, message};
use sageshed_types::messages;

use super::shared;

/// Messages that may wait for one VM.
const QUEUE: usize = 1_024;

/// Messages that go in one call.
const BATCH: usize = 64;

/// How long one call may take. Long enough for a snapshot of the state at its bounds.
const CALL_LIMIT: time::Duration = time::Duration::from_secs(5);

/// How long a call without a snapshot may take, as a part of the election timeout.
///
/// Something between two VMs may lose track of an open connection, and of all of them at once. A call
/// on it waits for its limit, and the next one makes a new connection. A heartbeat of the leader then
/// waits for one limit, and the answer to it, on the other VM's connection, for another. Both fit into
/// the election timeout, so the leader hears its majority in time.
const PART_OF_ELECTION: u32 = 3;

/// Bodies above this size get the long limit, in bytes.
const LARGE: usize = 256 * 1024;

/// The threads that send.
#[derive(Debug)]
pub struct Links {
    by_vm: collections::BTreeMap<u32, Lanes>,
    shared: sync::Arc<shared::Shared>,
    client: sageshed_vms::Client,
}

/// The ways to one VM.
#[derive(Debug)]
struct Lanes {
    small: mpsc::SyncSender<Vec<u8>>,
    large: mpsc::SyncSender<Vec<u8>>,
    /// Messages on the way of large ones. While there are any, entries that follow go the same way: one that came
    /// first would be refused.
    large_waiting: sync::Arc<atomic::AtomicUsize>,
}

impl Lanes {
    fn send(&self, message: &message::Message, bytes: Vec<u8>) {
        let has_entries = matches!(
            message.body,
            message::Body::Append { .. } | message::Body::Snapshot(_)
        );
        let is_behind = self.large_waiting.load(atomic::Ordering::Relaxed) > 0;
        if !has_entries || (bytes.len() <= LARGE && !is_behind) {
            return drop(self.small.try_send(bytes));
        }
        self.large_waiting.fetch_add(1, atomic::Ordering::Relaxed);
        if self.large.try_send(bytes).is_err() {
            self.large_waiting.fetch_sub(1, atomic::Ordering::Relaxed);
        }
    }
}

impl Links {
    /// Links that are started when something is to be sent.
    #[must_use]
    pub fn start(shared: &sync::Arc<shared::Shared>, client: &sageshed_vms::Client) -> Self {
        Self {
            by_vm: collections::BTreeMap::new(),
            shared: sync::Arc::clone(shared),
            client: client.clone(),
        }
    }

    /// Starts the threads that send to the VM with this number, if there is a way to it.
    fn lanes(&self, vm: u32) -> Option<Lanes> {
        let large_waiting = sync::Arc::default();
        Some(Lanes {
            small: self.link(vm, None)?,
            large: self.link(vm, Some(sync::Arc::clone(&large_waiting)))?,
            large_waiting,
        })
    }

    fn link(
        &self,
        vm: u32,
        waiting: Option<sync::Arc<atomic::AtomicUsize>>,
    ) -> Option<mpsc::SyncSender<Vec<u8>>> {
        let (tx, rx) = mpsc::sync_channel(QUEUE);
        let link = Link {
            to: self.shared.vm_name(vm)?,
            address: self.shared.control_address(vm)?.to_string(),
            client: self.client.clone(),
            shared: sync::Arc::clone(&self.shared),
            waiting,
        };
        let spawned = thread::Builder::new()
            .name(format!("link-{}", link.to))
            .spawn(move || link.run(&rx));
        match spawned {
            Ok(_) => Some(tx),
            Err(e) => {
                ::log::error!(vm, error:% = e; "control: no thread for a link");
                None
            }
        }
    }

    /// Sends `message`, if there is room.
    pub fn send(&mut self, to: log::NodeId, message: &message::Message) {
        if !self.by_vm.contains_key(&to.vm) {
            let Some(lanes) = self.lanes(to.vm) else {
                return;
            };
            self.by_vm.insert(to.vm, lanes);
        }
        let Some(lanes) = self.by_vm.get(&to.vm) else {
            return;
        };
        match sageshed_vms::encode(message) {
            Ok(bytes) => lanes.send(message, bytes),
            Err(e) => ::log::error!(error:% = e; "control: message not sent"),
        }
    }
}

struct Link {
    to: String,
    address: String,
    client: sageshed_vms::Client,
    shared: sync::Arc<shared::Shared>,
    /// Counts the messages that were put in and not sent, on the way of large ones.
    waiting: Option<sync::Arc<atomic::AtomicUsize>>,
}

impl Link {
    fn run(&self, rx: &mpsc::Receiver<Vec<u8>>) {
        let mut reachable = true;
        while let Ok(first) = rx.recv() {
            let batch = gather(first, rx);
            let count = batch.len();
            let result = self.call(batch);
            if let Some(waiting) = &self.waiting {
                waiting.fetch_sub(count, atomic::Ordering::Relaxed);
            }
            if let Err(e) = &result
                && reachable
            {
                ::log::warn!(vm = self.to.as_str(), error:% = e; "control: link is down");
            } else if result.is_ok() && !reachable {
                ::log::info!(vm = self.to.as_str(); "control: link is up");
            }
            reachable = result.is_ok();
        }
    }

    fn call(&self, batch: Vec<Vec<u8>>) -> Result<(), sageshed_vms::CallError> {
        let size: usize = batch.iter().map(Vec::len).sum();
        let election = self.shared.settings.common.control.election_timeout_ms;
        let limit = if size > LARGE {
            CALL_LIMIT
        } else {
            time::Duration::from(election) / PART_OF_ELECTION
        };
        let envelope = messages::Envelope {
            from: self.shared.process.vm.clone(),
            generation: self.shared.node.generation,
            to: self.to.clone(),
            messages: batch,
        };
        self.client
            .call(&self.address, messages::paths::REPLICATE, &envelope, limit)
    }
}

/// What goes in one call with `first`: no more behind what is large already.
fn gather(first: Vec<u8>, rx: &mpsc::Receiver<Vec<u8>>) -> Vec<Vec<u8>> {
    let mut bytes = first.len();
    let mut batch = vec![first];
    while batch.len() < BATCH && bytes <= LARGE {
        let Ok(next) = rx.try_recv() else {
            break;
        };
        bytes += next.len();
        batch.push(next);
    }
    batch
}
