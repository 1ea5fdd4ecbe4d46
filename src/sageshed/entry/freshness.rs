//! Whether this entry process may serve with the configuration it has.
//!
//! # The promise
//!
//! An accepted change is in force everywhere within seconds. So an entry process that cannot hear of
//! changes must stop by itself, within seconds too, without anybody telling it.
//!
//! # Leases
//!
//! Each voter of the control group that answers a heartbeat grants a lease, counted from the moment
//! the heartbeat was *sent*. With it goes the newest revision in the voter's log, committed or not
//! (`required`). The lease counts only while this process has that revision in force. A change that
//! is committed is in the log of a majority of the voters; any majority that grants shares a voter
//! with it; so once the leases granted before the commit have run out, a process holds a majority of
//! leases only if it has the change. How long that takes is the length of a lease.
//!
//! Which majority? Each granter names the voters by the newest membership in its log, committed or
//! not, and the granters have to be a majority of the voters that *each* of them names. Memberships
//! that follow each other differ by one voter, so a majority of one always holds a voter whose log
//! has the next: voters that were removed without learning it cannot grant among themselves. Taking
//! only the newest membership named would not do, since an uncommitted one, left behind by a leader
//! that was cut off, can be newer than the one that the group went on with, and two voters apart.
//!
//! Leases are judged on the monotonic clock at the moment of each decision, less a margin for drift
//! between the clocks of two VMs. A process that was frozen finds its leases run out.
//!
//! # When the control group as a whole is lost
//!
//! Refusing every caller because no control process runs would be the worse failure: no change can
//! be accepted then either. So a process whose leases ran out goes on serving while it hears a
//! majority of all entry VMs and none of them hears a leader. The leader, for its part, accepts a
//! change only while it hears a majority of the entry VMs. Two majorities share a VM; that one would
//! say that it hears a leader, and passes the change on. A process that was never confirmed since it
//! started does not serve on these grounds, nor does it count for another one: it does not know what
//! it missed.

use std::collections;

use sageshed_types::{messages, rules, time};

/// How long the word of another entry process counts, in heartbeats.
const HEARD_FOR_HEARTBEATS: u64 = 4;

/// What the leases and the other entry processes say.
#[derive(Debug)]
pub struct Freshness {
    settings: Settings,
    grants: collections::HashMap<String, Grant>,
    peers: collections::HashMap<String, Peer>,
    leader_heard: Option<time::Instant>,
    was_confirmed: bool,
}

/// What the freshness of this process is judged by.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Entry VMs in the settings, this one among them.
    pub entry_vms: usize,
    /// How far the clocks of two VMs may drift apart over one lease, in milliseconds.
    pub drift_margin: time::Millis,
    /// Time between heartbeats, in milliseconds.
    pub heartbeat: time::Millis,
}

#[derive(Debug)]
struct Grant {
    generation: u64,
    voters: Vec<messages::Voter>,
    grants: bool,
    required: rules::Revision,
    until: time::Instant,
}

#[derive(Debug)]
struct Peer {
    heard: time::Instant,
    hears_leader: bool,
    was_confirmed: bool,
}

/// Whether this process may serve now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// A majority of the voters confirms the configuration.
    Confirmed,
    /// No control process leads anywhere near; the last confirmed configuration stays.
    ControlLost,
    /// It may be out of date: refuse.
    Unconfirmed(Doubt),
}

/// Why the configuration is not confirmed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Doubt {
    /// It was never confirmed since this process started.
    NeverConfirmed,
    /// A later revision is on its way and not here yet.
    Behind,
    /// The leases ran out while others may go on.
    LeasesLapsed,
}

impl Standing {
    /// Whether callers are served.
    #[must_use]
    pub fn serves(self) -> bool {
        !matches!(self, Self::Unconfirmed(_))
    }
}

impl Freshness {
    /// Nothing heard yet.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            grants: collections::HashMap::new(),
            peers: collections::HashMap::new(),
            leader_heard: None,
            was_confirmed: false,
        }
    }

    /// A control process answered the heartbeat that was sent at `sent`.
    pub fn granted(
        &mut self,
        sent: time::Instant,
        now: time::Instant,
        vm: &str,
        part: &messages::LeaseInfo,
    ) {
        if part.leader.as_deref() == Some(vm) {
            self.leader_heard = Some(now);
        }
        let length = time::Millis(part.lease.0.saturating_sub(self.settings.drift_margin.0));
        let grant = Grant {
            generation: part.generation,
            voters: part.voters.clone(),
            grants: part.grants,
            required: part.required,
            until: sent + length,
        };
        match self.grants.get(vm) {
            // An answer that overtook a later one says less than what is known.
            Some(known) if known.generation == grant.generation && known.until > grant.until => {}
            _ => drop(self.grants.insert(vm.to_owned(), grant)),
        }
    }

    /// Another entry process was heard. `was_confirmed`: since it started.
    pub fn heard(&mut self, now: time::Instant, vm: &str, hears_leader: bool, was_confirmed: bool) {
        self.peers.insert(
            vm.to_owned(),
            Peer {
                heard: now,
                hears_leader,
                was_confirmed,
            },
        );
    }

    /// Whether this process was confirmed since it started.
    #[must_use]
    pub fn was_confirmed(&self) -> bool {
        self.was_confirmed
    }

    /// Whether this process heard a leader that hears its voters, within a few heartbeats.
    #[must_use]
    pub fn hears_leader(&self, now: time::Instant) -> bool {
        self.leader_heard
            .is_some_and(|heard| self.is_recent(now, heard))
    }

    /// Whether this process may serve with `revision` at `now`.
    pub fn standing(&mut self, now: time::Instant, revision: rules::Revision) -> Standing {
        match self.confirmed(now, revision) {
            Ok(()) => {
                self.was_confirmed = true;
                Standing::Confirmed
            }
            Err(_) if !self.was_confirmed => Standing::Unconfirmed(Doubt::NeverConfirmed),
            Err(Doubt::LeasesLapsed) if self.control_is_lost(now) => Standing::ControlLost,
            Err(doubt) => Standing::Unconfirmed(doubt),
        }
    }

    fn confirmed(&self, now: time::Instant, revision: rules::Revision) -> Result<(), Doubt> {
        let granters = self
            .grants
            .values()
            .filter(|grant| grant.grants && now < grant.until);
        let mut doubt = Some(Doubt::LeasesLapsed);
        for granter in granters {
            match self.majority_of(&granter.voters, now, revision) {
                Ok(()) => doubt = doubt.filter(|doubt| *doubt != Doubt::LeasesLapsed),
                Err(Doubt::LeasesLapsed) => return Err(Doubt::LeasesLapsed),
                Err(other) => doubt = Some(other),
            }
        }
        doubt.map_or(Ok(()), Err)
    }

    /// Whether a majority of `voters` grants now, and requires no later revision.
    fn majority_of(
        &self,
        voters: &[messages::Voter],
        now: time::Instant,
        revision: rules::Revision,
    ) -> Result<(), Doubt> {
        let (mut granted, mut current) = (0, 0);
        for voter in voters {
            let Some(grant) = self.grants.get(&voter.vm) else {
                continue;
            };
            if grant.grants && now < grant.until && grant.generation == voter.generation {
                granted += 1;
                current += usize::from(grant.required <= revision);
            }
        }
        let majority = voters.len() / 2 + 1;
        match (granted >= majority, current >= majority) {
            (_, true) => Ok(()),
            (true, false) => Err(Doubt::Behind),
            (false, false) => Err(Doubt::LeasesLapsed),
        }
    }

    fn control_is_lost(&self, now: time::Instant) -> bool {
        let recent = self
            .peers
            .values()
            .filter(|peer| self.is_recent(now, peer.heard));
        let (mut heard, mut with_leader) = (1, usize::from(self.hears_leader(now)));
        for peer in recent {
            heard += usize::from(peer.was_confirmed);
            with_leader += usize::from(peer.hears_leader);
        }
        heard > self.settings.entry_vms / 2 && with_leader == 0
    }

    fn is_recent(&self, now: time::Instant, heard: time::Instant) -> bool {
        now.since(heard).0 <= self.settings.heartbeat.0 * HEARD_FOR_HEARTBEATS
    }
}
