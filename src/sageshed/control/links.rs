//! Sends the log's messages to the other control processes.
//!
//! One thread for each, so that a VM that does not answer holds up nobody else. Messages may be
//! lost: the log sends again what matters. So a full queue drops, and a failed call drops its batch.

use std::{
    collections,
    sync::{self, mpsc},
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
    by_vm: collections::BTreeMap<u32, mpsc::SyncSender<Vec<u8>>>,
    shared: sync::Arc<shared::Shared>,
    client: sageshed_vms::Client,
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

    /// Starts the thread that sends to the VM with this number, if there is a way to it.
    fn link(&self, vm: u32) -> Option<mpsc::SyncSender<Vec<u8>>> {
        let (tx, rx) = mpsc::sync_channel(QUEUE);
        let link = Link {
            to: self.shared.vm_name(vm)?,
            address: self.shared.control_address(vm)?.to_string(),
            client: self.client.clone(),
            shared: sync::Arc::clone(&self.shared),
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
            let Some(tx) = self.link(to.vm) else {
                return;
            };
            self.by_vm.insert(to.vm, tx);
        }
        let Some(tx) = self.by_vm.get(&to.vm) else {
            return;
        };
        match sageshed_vms::encode(message) {
            Ok(bytes) => drop(tx.try_send(bytes)),
            Err(e) => ::log::error!(error:% = e; "control: message not sent"),
        }
    }
}

struct Link {
    to: String,
    address: String,
    client: sageshed_vms::Client,
    shared: sync::Arc<shared::Shared>,
}

impl Link {
    fn run(&self, rx: &mpsc::Receiver<Vec<u8>>) {
        let mut reachable = true;
        while let Ok(first) = rx.recv() {
            let mut batch = vec![first];
            batch.extend(rx.try_iter().take(BATCH - 1));
            let result = self.call(batch);
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
