//! Instances by their changes and by their addresses.
//!
//! A control process looks up what is new for each of hundreds of watchers and who else is at an address for each
//! announcement. Both cost what they find, whatever the number of instances.

use std::{collections, net};

use super::{ChangeFilter, InstanceId};

#[derive(Debug, Clone, Default)]
pub(super) struct Index {
    changes: collections::BTreeMap<u64, InstanceId>,
    updates: collections::BTreeMap<u64, InstanceId>,
    addresses: collections::HashMap<net::SocketAddrV4, Vec<InstanceId>>,
    short_keys: collections::HashMap<u64, InstanceId>,
}

impl Index {
    /// The change numbered `after` takes the place of the one numbered `before`, which may be zero for none.
    pub(super) fn record_change(&mut self, id: &InstanceId, before: u64, after: u64) {
        self.changes.remove(&before);
        self.changes.insert(after, id.clone());
    }

    /// The same for one that is news.
    pub(super) fn record_update(&mut self, id: &InstanceId, before: u64, after: u64) {
        self.updates.remove(&before);
        self.updates.insert(after, id.clone());
    }

    /// Gets to know an instance, or a new address of it.
    pub(super) fn add_address(&mut self, id: &InstanceId, address: net::SocketAddrV4) {
        self.short_keys.insert(id.short_key(), id.clone());
        self.addresses.entry(address).or_default().push(id.clone());
    }

    pub(super) fn remove_address(&mut self, id: &InstanceId, address: net::SocketAddrV4) {
        let Some(there) = self.addresses.get_mut(&address) else {
            return;
        };
        there.retain(|it| it != id);
        if there.is_empty() {
            self.addresses.remove(&address);
        }
    }

    /// Forgets an instance with these numbers of changes.
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

    /// The instance with a short key.
    pub(super) fn by_short_key(&self, key: u64) -> Option<&InstanceId> {
        self.short_keys.get(&key)
    }

    /// The instances at an address.
    pub(super) fn by_address(&self, address: net::SocketAddrV4) -> &[InstanceId] {
        self.addresses.get(&address).map_or(&[], Vec::as_slice)
    }

    /// The instances whose last change comes after the one numbered `from`, in the order of these.
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
