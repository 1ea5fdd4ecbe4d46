//! The replicated control state, and how commands change it.

use std::collections;

use sageshed_types::{document, endpoints, quarantine};
use serde::{Deserialize, Serialize};

use crate::{change_ids, claim_table, command, order_table, rule_log};

/// Limits of the state.
///
/// Replicas with different limits would reach different states by the same commands. So the limits are
/// not settings: production uses the defaults, and tests use lower ones. They are part of snapshots.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Limits {
    /// The limits of the claim table.
    pub claims: claim_table::Limits,
    /// The maximum number of accepted changes in the history of the rules.
    pub history: usize,
    /// The maximum number of recorded change ids, each for rules and for drains.
    pub change_ids: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            claims: claim_table::Limits::default(),
            history: 1_024,
            change_ids: 100_000,
        }
    }
}

/// The replicated control state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ControlState {
    applied: u64,
    rules: rule_log::RuleLog,
    claims: claim_table::ClaimTable,
    orders: order_table::OrderTable,
    pins: collections::BTreeMap<String, collections::BTreeSet<command::Place>>,
    draining: collections::BTreeSet<String>,
    drain_ids: change_ids::ChangeIds<bool>,
    /// The configuration of the fleet. Its number is zero until one is submitted. States encoded by
    /// earlier builds lack it.
    #[serde(default)]
    fleet: document::Document,
    /// The quarantined requests, which entry processes of the fleet no longer forward. States encoded
    /// by earlier builds lack them.
    #[serde(default)]
    held_requests: Vec<quarantine::QuarantinedRequest>,
}

impl Default for ControlState {
    fn default() -> Self {
        Self::new(Limits::default())
    }
}

impl ControlState {
    /// The state before any command.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            applied: 0,
            rules: rule_log::RuleLog::new(limits.history, limits.change_ids),
            claims: claim_table::ClaimTable::new(limits.claims),
            orders: order_table::OrderTable::default(),
            pins: collections::BTreeMap::new(),
            draining: collections::BTreeSet::new(),
            drain_ids: change_ids::ChangeIds::new(limits.change_ids),
            fleet: document::Document::default(),
            held_requests: Vec::new(),
        }
    }

    /// The log index of the last applied command.
    #[must_use]
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// The rules with their history.
    #[must_use]
    pub fn rules(&self) -> &rule_log::RuleLog {
        &self.rules
    }

    /// The claims on requests that run at most once.
    #[must_use]
    pub fn claims(&self) -> &claim_table::ClaimTable {
        &self.claims
    }

    /// The open orders to engines.
    #[must_use]
    pub fn orders(&self) -> &order_table::OrderTable {
        &self.orders
    }

    /// The pinned models, each with its locations.
    pub fn pins(&self) -> impl Iterator<Item = (&str, &collections::BTreeSet<command::Place>)> {
        self.pins
            .iter()
            .map(|(model, places)| (model.as_str(), places))
    }

    /// The configuration of the fleet. Its number is zero until one is submitted.
    #[must_use]
    pub fn fleet(&self) -> &document::Document {
        &self.fleet
    }

    /// The quarantined requests, which entry processes of the fleet no longer forward.
    #[must_use]
    pub fn held_requests(&self) -> &[quarantine::QuarantinedRequest] {
        &self.held_requests
    }

    /// The entry VMs that an operator is draining.
    pub fn draining(&self) -> impl Iterator<Item = &str> {
        self.draining.iter().map(String::as_str)
    }

    /// Applies the command at `index` of the log.
    ///
    /// Indexes increase, with gaps where the log holds entries other than commands. A command at or
    /// below the last applied index is ignored: after a restart the log is applied on top of a snapshot
    /// that may already include its first entries, and an order issued twice would be loaded twice.
    pub fn apply(&mut self, index: u64, command: command::Command) -> command::Outcome {
        if index <= self.applied {
            return command::Outcome::AlreadyApplied;
        }
        self.applied = index;
        self.apply_command(command)
    }

    fn apply_command(&mut self, command: command::Command) -> command::Outcome {
        use command::{Command, Outcome};
        match command {
            Command::Change(change) => Outcome::Change(self.rules.apply_change(change)),
            Command::Claim(claim) => match self.claims.claim(claim) {
                claim_table::ClaimAttempt::Reply(answer) => Outcome::Claim(answer),
                claim_table::ClaimAttempt::TooLate => Outcome::ClaimTooLate,
            },
            Command::Settle(settle) => Outcome::Settle(self.claims.settle(settle)),
            Command::HolderGone {
                vm,
                incarnation_below,
            } => {
                let unknown = self.claims.holder_gone(&vm, incarnation_below);
                Outcome::HolderGone { unknown }
            }
            Command::Clock { unix_ms } => self.advance_clock(unix_ms),
            Command::LeaderStarted { term } => {
                let fence = self.orders.leader_started(term);
                Outcome::LeaderStarted { fence }
            }
            Command::IssueOrders { term, orders } => {
                Outcome::Issue(self.orders.issue(term, orders))
            }
            Command::SettleOrders(orders) => Outcome::Closed(self.orders.settle(&orders)),
            Command::EndpointIncarnation {
                endpoint,
                incarnation,
            } => self.endpoint_incarnation(&endpoint, incarnation),
            Command::EndpointGone { endpoint } => {
                Outcome::Closed(self.orders.endpoint_gone(&endpoint))
            }
            Command::DrainVm { vm, on, change_id } => {
                Outcome::Drain(self.drain(vm, on, &change_id))
            }
            Command::Pin { model, place } => {
                let changed = self.pins.entry(model).or_default().insert(place);
                Outcome::Pin { changed }
            }
            Command::Unpin { model, place } => self.unpin(&model, &place),
            Command::ReplaceFleet(document) => self.replace_fleet(document),
            Command::HoldRequests(held) => {
                self.held_requests = held;
                Outcome::RequestsHeld
            }
        }
    }

    /// Only a higher number takes effect, since an operator's client sends a change again if it got no
    /// reply, and that may arrive after a later change.
    fn replace_fleet(&mut self, document: document::Document) -> command::Outcome {
        if document.version > self.fleet.version {
            self.fleet = document;
        }
        command::Outcome::Fleet {
            held: self.fleet.version,
        }
    }

    fn advance_clock(&mut self, unix_ms: u64) -> command::Outcome {
        let expired = self.claims.advance_clock(unix_ms);
        command::Outcome::Clock {
            unix_ms: self.claims.unix_ms(),
            expired,
        }
    }

    fn endpoint_incarnation(
        &mut self,
        endpoint: &str,
        incarnation: endpoints::Incarnation,
    ) -> command::Outcome {
        let closed = self.orders.endpoint_incarnation(endpoint, incarnation);
        command::Outcome::Closed(closed)
    }

    /// Starts or ends a drain, once for each change id.
    ///
    /// Without the change id, a delayed retry of a drain command could arrive after the drain has been
    /// ended, and would drain the VM again unnoticed.
    fn drain(&mut self, vm: String, on: bool, change_id: &str) -> command::DrainOutcome {
        let content = change_ids::ContentDigest::of(&(&vm, on));
        match self.drain_ids.lookup(change_id, content) {
            change_ids::ChangeIdLookup::Same(_) => return command::DrainOutcome::Recorded,
            change_ids::ChangeIdLookup::Other(_) => return command::DrainOutcome::ChangeIdReused,
            change_ids::ChangeIdLookup::New => self.drain_ids.insert(change_id, content, on),
        }
        if on {
            self.draining.insert(vm);
        } else {
            self.draining.remove(&vm);
        }
        command::DrainOutcome::Recorded
    }

    fn unpin(&mut self, model: &str, place: &command::Place) -> command::Outcome {
        let Some(places) = self.pins.get_mut(model) else {
            return command::Outcome::Pin { changed: false };
        };
        let changed = places.remove(place);
        if places.is_empty() {
            self.pins.remove(model);
        }
        command::Outcome::Pin { changed }
    }
}
