//! Indexes of the instances by change, address and hash.
//!
//! A control process looks up the changes for each of hundreds of watchers, and the other endpoints at an address for
//! each announcement. The cost of both depends on the results only, not on the number of instances.

use std::{collections, net};

use super::{ChangeFilter, InstanceId};

/// Indexes of the instances of one directory.
#[derive(Debug, Clone, Default)]
pub(super) struct Index {
    changes: collections::BTreeMap<u64, InstanceId>,
    updates: collections::BTreeMap<u64, InstanceId>,
    addresses: collections::HashMap<net::SocketAddrV4, Vec<InstanceId>>,
    short_keys: collections::HashMap<u64, InstanceId>,
}

impl Index {
    /// Replaces the change `before` of an instance by `after`; zero stands for none.
    pub(super) fn record_change(&mut self, id: &InstanceId, before: u64, after: u64) {
        self.changes.remove(&before);
        self.changes.insert(after, id.clone());
    }

    /// Replaces the update `before` of an instance by `after`; zero stands for none.
    pub(super) fn record_update(&mut self, id: &InstanceId, before: u64, after: u64) {
        self.updates.remove(&before);
        self.updates.insert(after, id.clone());
    }

    /// Adds an instance, or a new address of it.
    pub(super) fn add_address(&mut self, id: &InstanceId, address: net::SocketAddrV4) {
        self.short_keys.insert(id.short_key(), id.clone());
        self.addresses.entry(address).or_default().push(id.clone());
    }

    /// Removes an instance from an address.
    pub(super) fn remove_address(&mut self, id: &InstanceId, address: net::SocketAddrV4) {
        let Some(there) = self.addresses.get_mut(&address) else {
            return;
        };
        there.retain(|it| it != id);
        if there.is_empty() {
            self.addresses.remove(&address);
        }
    }

    /// Removes an instance with its address, its latest change and its latest update.
    pub(super) fn forget(
        &mut self,
        id: &InstanceId,
        address: net::SocketAddrV4,
        changed: u64,
        update: u64,
    ) {
        self.changes.remove(&changed);
        self.updates.remove(&update);
        self.short_keys.remove(&id.short_key());
        self.remove_address(id, address);
    }

    /// The instance with this [`InstanceId::short_key`].
    pub(super) fn by_short_key(&self, key: u64) -> Option<&InstanceId> {
        self.short_keys.get(&key)
    }

    /// The instances at an address.
    pub(super) fn by_address(&self, address: net::SocketAddrV4) -> &[InstanceId] {
        self.addresses.get(&address).map_or(&[], Vec::as_slice)
    }

    /// The instances whose latest change comes after change `from`, with the numbers of these changes, in their order.
    pub(super) fn changes_after(
        &self,
        from: u64,
        filter: ChangeFilter,
    ) -> impl Iterator<Item = (u64, &InstanceId)> {
        let numbered = match filter {
            ChangeFilter::All => &self.changes,
            ChangeFilter::Updates => &self.updates,
        };
        let after = numbered.range(from.saturating_add(1)..);
        after.map(|(number, id)| (*number, id))
    }
}
