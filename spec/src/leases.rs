//! Specification of configuration leases, over changes of the rules and the membership.
//!
//! The control group is that of [`crate::log`], with the production nodes and messages. An entry process
//! requests leases from any control process at any time, learns committed changes from any of them, and
//! evaluates its leases by the production [`freshness::Freshness`]. Time advances in ticks. A grant
//! arrives at the tick at which it was requested: a later arrival would not extend the lease.
//!
//! Invariant: once a change has been committed for the duration of a lease, no entry process is confirmed
//! with an older revision.

use std::fmt;

use sageshed::entry::freshness;
use sageshed_quorum::{config, log as quorum_log};
use sageshed_types::{messages, rules, time};

use crate::{explore, log};

/// The duration of a lease in ticks.
const LEASE: u64 = 2;

/// The mechanisms that the invariant rests on. Each can be turned off.
#[derive(Debug, Clone, Copy)]
pub struct Guards {
    /// A grant requires the newest revision in the log, committed or not. If off, the newest committed one.
    pub uncommitted: bool,
    /// The entry process respects the revision that a grant requires.
    pub required: bool,
    /// The entry process uses the voters in each grant. If off, the voters with which it started.
    pub voters: bool,
}

impl Guards {
    /// All guards except `guard`. None if there is no such guard.
    #[must_use]
    pub fn without(guard: Option<&str>) -> Option<Self> {
        let mut guards = Self {
            uncommitted: true,
            required: true,
            voters: true,
        };
        let off = match guard {
            None => return Some(guards),
            Some("uncommitted") => &mut guards.uncommitted,
            Some("required") => &mut guards.required,
            Some("voters") => &mut guards.voters,
            Some(_) => return None,
        };
        *off = false;
        Some(guards)
    }
}

/// The specification.
#[derive(Debug, Clone)]
pub struct Leases {
    /// The guards.
    pub guards: Guards,
    /// The initial state of the control group, and the events possible in it.
    pub group: log::Scenario,
    /// The voters with which the entry process started.
    pub first_voters: Vec<messages::Voter>,
    /// The number of ticks.
    pub ticks: u64,
}

/// VM 1 leads three voters, and a change of the rules may be proposed.
#[must_use]
pub fn change(guards: Guards) -> Leases {
    let group = log::scenarios::change(config::Guards::default());
    leases(guards, group)
}

/// VM 4 has been promoted, which VM 2 does not know, and VM 1 has been removed, which neither of VMs 1
/// and 2 knows. These are partitioned from the two others, where a change of the rules may be proposed.
#[must_use]
pub fn removed(guards: Guards) -> Leases {
    let group = log::scenarios::removed_unaware(config::Guards::default());
    leases(guards, group)
}

/// VM 4 has caught up and is to replace VM 1 while a change of the rules is proposed.
#[must_use]
pub fn replacement(guards: Guards) -> Leases {
    let group = log::scenarios::replacement(config::Guards::default());
    leases(guards, group)
}

fn leases(guards: Guards, group: log::Scenario) -> Leases {
    Leases {
        guards,
        group,
        first_voters: (1..=3).map(|vm| voter(log::id(vm, 1))).collect(),
        ticks: LEASE,
    }
}

/// A grant as received by the entry process.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Grant {
    sent: u64,
    from: messages::Voter,
    voters: Vec<messages::Voter>,
    required: u64,
}

/// The state of the control group and the entry process.
#[derive(Debug, Clone, Hash)]
pub struct State {
    group: log::State,
    now: u64,
    /// The revision in force at the entry process.
    revision: u64,
    /// The latest grant of each voter.
    grants: Vec<Grant>,
    /// When each revision was first known to be committed by any voter.
    committed: Vec<u64>,
}

/// An event.
#[derive(Debug, Clone)]
pub enum Event {
    /// An event in the control group.
    Group(log::Step),
    /// A control process grants a lease.
    Grant(String),
    /// The entry process learns the newest committed revision from a control process.
    Learn(u32, u64),
    /// The time advances by one tick.
    Tick(u64),
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Group(step) => step.fmt(f),
            Self::Grant(text) => f.write_str(text),
            Self::Learn(vm, revision) => {
                write!(
                    f,
                    "the entry process learns revision {revision} from VM {vm}"
                )
            }
            Self::Tick(now) => write!(f, "the clock reads {now}"),
        }
    }
}

fn voter(id: quorum_log::NodeId) -> messages::Voter {
    messages::Voter {
        vm: id.vm.to_string(),
        generation: id.generation,
    }
}

impl State {
    /// The number of revisions in the log of `vm`, up to `last`.
    fn revisions(&self, vm: u32, last: quorum_log::Index) -> u64 {
        let entries = &self.group.world.vms[vm as usize - 1].disk.entries;
        let changes = entries.iter().filter(|entry| {
            entry.index <= last && matches!(entry.data, quorum_log::EntryData::Command(_))
        });
        changes.count() as u64
    }

    fn grant(&self, vm: u32, spec: &Leases) -> Option<Grant> {
        let status = self.group.world.status(vm);
        if !status.membership.voters.contains(&status.id) {
            return None;
        }
        let last = if spec.guards.uncommitted {
            status.last
        } else {
            status.commit
        };
        Some(Grant {
            sent: self.now,
            from: voter(status.id),
            voters: status
                .membership
                .voters
                .iter()
                .copied()
                .map(voter)
                .collect(),
            required: self.revisions(vm, last),
        })
    }

    fn receive_grant(&mut self, grant: Grant) {
        self.grants.retain(|it| it.from.vm != grant.from.vm);
        self.grants.push(grant);
        self.grants.sort();
    }

    fn record_commits(&mut self) {
        let known = &self.group.world.history.committed;
        let changes = known
            .iter()
            .filter(|(entry, _)| matches!(entry.data, quorum_log::EntryData::Command(_)));
        let count = changes.count();
        let now = self.now;
        self.committed.resize(count.max(self.committed.len()), now);
    }

    /// Whether the entry process is confirmed by its grants.
    fn standing(&self, spec: &Leases) -> freshness::Standing {
        let mut fresh = freshness::Freshness::new(freshness::Settings {
            entry_vms: 1,
            drift_margin: time::Millis(0),
            heartbeat: time::Millis(1),
        });
        for grant in &self.grants {
            let voters = if spec.guards.voters {
                grant.voters.clone()
            } else {
                spec.first_voters.clone()
            };
            let required = if spec.guards.required {
                grant.required
            } else {
                0
            };
            let part = messages::LeaseInfo {
                voters,
                generation: grant.from.generation,
                grants: true,
                lease: time::Millis(LEASE),
                required: rules::Revision(required),
                leader: None,
                term: 0,
                draining: Vec::new(),
            };
            let sent = time::Instant(grant.sent);
            fresh.granted(sent, sent, &grant.from.vm, &part);
        }
        fresh.standing(time::Instant(self.now), rules::Revision(self.revision))
    }
}

impl explore::Spec for Leases {
    type State = State;
    type Event = Event;

    fn start(&self) -> State {
        let group = explore::Spec::start(&self.group);
        let mut state = State {
            group,
            now: 0,
            revision: 0,
            grants: Vec::new(),
            committed: Vec::new(),
        };
        state.record_commits();
        state
    }

    fn next(&self, state: &State) -> Vec<(Event, State)> {
        let mut all = Vec::new();
        for (step, group) in state.group.next(&self.group) {
            let mut next = State {
                group,
                ..state.clone()
            };
            next.record_commits();
            all.push((Event::Group(step), next));
        }
        for vm in 1..=u32::try_from(state.group.world.vms.len()).unwrap_or(u32::MAX) {
            if let Some(grant) = state.grant(vm, self)
                && !state.grants.contains(&grant)
            {
                let event = describe(&grant);
                let mut next = state.clone();
                next.receive_grant(grant);
                all.push((Event::Grant(event), next));
            }
            let commit = state.group.world.status(vm).commit;
            let revision = state.revisions(vm, commit);
            if revision > state.revision {
                let mut next = state.clone();
                next.revision = revision;
                all.push((Event::Learn(vm, revision), next));
            }
        }
        if state.now < self.ticks {
            let mut next = state.clone();
            next.now += 1;
            let now = next.now;
            next.grants.retain(|grant| grant.sent + LEASE > now);
            all.push((Event::Tick(now), next));
        }
        all
    }

    fn violation(&self, state: &State) -> Option<String> {
        let due = state
            .committed
            .iter()
            .rposition(|at| at + LEASE <= state.now)?;
        let newest = due as u64 + 1;
        let old = state.revision < newest;
        if !old || state.standing(self) != freshness::Standing::Confirmed {
            return None;
        }
        let (revision, now) = (state.revision, state.now);
        Some(format!(
            "at {now} the entry process is confirmed with revision {revision}, and revision {newest} \
             was committed a lease ago"
        ))
    }
}

fn describe(grant: &Grant) -> String {
    let voters: Vec<_> = grant.voters.iter().map(|it| it.vm.as_str()).collect();
    format!(
        "VM {} grants a lease at {}: voters {}, revision {} required",
        grant.from.vm,
        grant.sent,
        voters.join(" "),
        grant.required
    )
}
