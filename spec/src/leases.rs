//! The configuration in force at an entry process, over changes of rules and of membership.
//!
//! The control group is that of [`crate::log`], with its real nodes and messages; an entry process
//! asks any of them for a lease at any time, learns what is committed from any of them, and judges
//! by the real [`freshness::Freshness`]. Time goes on in ticks. A voter's answer is taken at the
//! tick at which it was asked for; a later one would end the lease no later.
//!
//! What must hold: once a change has been committed for as long as a lease lasts, no entry process
//! is confirmed with an older revision.

use std::fmt;

use sageshed::entry::freshness;
use sageshed_quorum::{config, log as quorum_log};
use sageshed_types::{messages, rules, time};

use crate::{explore, log};

/// How long a lease lasts, in ticks.
const LEASE: u64 = 2;

/// What keeps the promise, each of which can be taken out.
#[derive(Debug, Clone, Copy)]
pub struct Guards {
    /// A grant names revisions that are in the log and not known to be committed.
    pub uncommitted: bool,
    /// The entry process heeds the revision that a grant names.
    pub required: bool,
    /// The entry process takes the voters from each grant. Out: those with which it started.
    pub voters: bool,
}

impl Guards {
    /// All but the one called `guard`; none if there is no such guard.
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
    /// The guards that are in.
    pub guards: Guards,
    /// Where the control group begins, and what may happen to it.
    pub group: log::Scenario,
    /// The voters with which the entry process started.
    pub first_voters: Vec<messages::Voter>,
    /// Ticks of the clock.
    pub ticks: u64,
}

/// VM 1 leads three voters; a change of the rules is about to be made.
#[must_use]
pub fn change(guards: Guards) -> Leases {
    let group = log::scenarios::change(config::Guards::default());
    leases(guards, group)
}

/// VM 4 has been promoted, which VM 2 has not heard, and VM 1 removed, which neither has heard; both
/// are cut off from the two others, by which a change of the rules is about to be made.
#[must_use]
pub fn removed(guards: Guards) -> Leases {
    let group = log::scenarios::removed_unaware(config::Guards::default());
    leases(guards, group)
}

/// VM 4 has caught up and is to take the place of VM 1 while a change of the rules is made.
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

/// A grant as the entry process took it in.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Grant {
    sent: u64,
    from: messages::Voter,
    voters: Vec<messages::Voter>,
    required: u64,
}

/// Everything in one moment.
#[derive(Debug, Clone, Hash)]
pub struct State {
    group: log::State,
    now: u64,
    /// The revision in force at the entry process.
    revision: u64,
    /// By voter, the last one of each.
    grants: Vec<Grant>,
    /// When each revision was first known as committed, to any voter.
    committed: Vec<u64>,
}

/// One thing that happens.
#[derive(Debug, Clone)]
pub enum Event {
    /// In the control group.
    Group(log::Step),
    /// A control process grants a lease, or says that it grants none.
    Grant(String),
    /// The entry process hears what is committed.
    Learn(u32, u64),
    /// Time goes on.
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
                    "the entry process hears of revision {revision} from VM {vm}"
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
    /// Revisions in the log of `vm`, up to `last`.
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

    fn take(&mut self, grant: Grant) {
        self.grants.retain(|it| it.from.vm != grant.from.vm);
        self.grants.push(grant);
        self.grants.sort();
    }

    fn note_commits(&mut self) {
        let known = &self.group.world.promises.committed;
        let changes = known
            .iter()
            .filter(|(entry, _)| matches!(entry.data, quorum_log::EntryData::Command(_)));
        let count = changes.count();
        let now = self.now;
        self.committed.resize(count.max(self.committed.len()), now);
    }

    /// What the entry process makes of its grants.
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
        state.note_commits();
        state
    }

    fn next(&self, state: &State) -> Vec<(Event, State)> {
        let mut all = Vec::new();
        for (step, group) in state.group.next(&self.group) {
            let mut next = State {
                group,
                ..state.clone()
            };
            next.note_commits();
            all.push((Event::Group(step), next));
        }
        for vm in 1..=u32::try_from(state.group.world.vms.len()).unwrap_or(u32::MAX) {
            if let Some(grant) = state.grant(vm, self)
                && !state.grants.contains(&grant)
            {
                let event = shown(&grant);
                let mut next = state.clone();
                next.take(grant);
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

    fn broken(&self, state: &State) -> Option<String> {
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

fn shown(grant: &Grant) -> String {
    let voters: Vec<_> = grant.voters.iter().map(|it| it.vm.as_str()).collect();
    format!(
        "VM {} grants a lease at {}: voters {}, revision {} required",
        grant.from.vm,
        grant.sent,
        voters.join(" "),
        grant.required
    )
}
