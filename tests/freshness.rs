//! When an entry process may serve with the configuration it has.

use sageshed::entry::freshness::{Doubt, Freshness, Settings, Standing};
use sageshed_types::{
    messages,
    rules::Revision,
    time::{Instant, Millis},
};

const LEASE: u64 = 3_000;
const DRIFT: u64 = 300;
const HEARTBEAT: u64 = 500;

/// What an entry process on the first of three entry VMs hears.
enum Heard {
    /// The answer of a control process to the heartbeat sent at `sent`.
    Control(Grant),
    /// Another entry process at `at`, whether that hears a leader, and whether it was confirmed
    /// since it started.
    Entry {
        at: u64,
        vm: &'static str,
        hears_leader: bool,
        was_confirmed: bool,
    },
    /// The process decided a request at `at` by `revision`.
    Served { at: u64, revision: u64 },
}

/// A control process's word.
#[derive(Clone, Copy)]
struct Grant {
    sent: u64,
    /// VM and disk generation.
    from: (&'static str, u64),
    voters: &'static [(&'static str, u64)],
    grants: bool,
    required: u64,
    leader: Option<&'static str>,
}

const V3: &[(&str, u64)] = &[("c1", 1), ("c2", 1), ("c3", 1)];

const GRANT: Grant = Grant {
    sent: 0,
    from: ("c1", 1),
    voters: V3,
    grants: true,
    required: 5,
    leader: Some("c1"),
};

const fn from(vm: &'static str) -> Heard {
    Heard::Control(Grant {
        from: (vm, 1),
        ..GRANT
    })
}

const fn peer(at: u64, vm: &'static str, hears_leader: bool) -> Heard {
    Heard::Entry {
        at,
        vm,
        hears_leader,
        was_confirmed: true,
    }
}

const fn restarted_peer(at: u64, vm: &'static str, hears_leader: bool) -> Heard {
    Heard::Entry {
        at,
        vm,
        hears_leader,
        was_confirmed: false,
    }
}

const fn naming(vm: &'static str, voters: &'static [(&'static str, u64)]) -> Heard {
    Heard::Control(Grant {
        from: (vm, 1),
        voters,
        ..GRANT
    })
}

struct Case {
    name: &'static str,
    heard: &'static [Heard],
    at: u64,
    revision: u64,
    standing: Standing,
}

const LAPSED: Standing = Standing::Unconfirmed(Doubt::LeasesLapsed);
const NEVER: Standing = Standing::Unconfirmed(Doubt::NeverConfirmed);
const BEHIND: Standing = Standing::Unconfirmed(Doubt::Behind);

/// Confirmed by all three at the beginning.
const SERVED: Heard = Heard::Served {
    at: 100,
    revision: 5,
};

const CASES: &[Case] = &[
    Case {
        name: "nothing heard",
        heard: &[],
        at: 100,
        revision: 5,
        standing: NEVER,
    },
    // A change is in force at e1 and e2, and e3 is cut off with the rules from before. All control
    // processes die, e2 is restarted, and e3 hears it again: callers at e3 would be served by rules
    // that an operator was told are gone. A process that was not confirmed does not know them.
    Case {
        name: "a majority of entry VMs, but of processes that know nothing",
        heard: &[
            from("c1"),
            from("c2"),
            SERVED,
            restarted_peer(9_900, "e2", false),
        ],
        at: 10_000,
        revision: 5,
        standing: LAPSED,
    },
    Case {
        name: "a process that knows nothing hears a leader",
        heard: &[
            from("c1"),
            from("c2"),
            SERVED,
            peer(9_900, "e2", false),
            restarted_peer(9_900, "e3", true),
        ],
        at: 10_000,
        revision: 5,
        standing: LAPSED,
    },
    Case {
        name: "one of three grants",
        heard: &[from("c1")],
        at: 100,
        revision: 5,
        standing: NEVER,
    },
    Case {
        name: "two of three grant",
        heard: &[from("c1"), from("c2")],
        at: 100,
        revision: 5,
        standing: Standing::Confirmed,
    },
    Case {
        name: "a later revision is held here",
        heard: &[from("c1"), from("c2")],
        at: 100,
        revision: 6,
        standing: Standing::Confirmed,
    },
    Case {
        name: "one of two that grant does not grant",
        heard: &[
            from("c1"),
            Heard::Control(Grant {
                from: ("c2", 1),
                grants: false,
                ..GRANT
            }),
        ],
        at: 100,
        revision: 5,
        standing: NEVER,
    },
    Case {
        name: "an older revision is held here, never confirmed",
        heard: &[from("c1"), from("c2")],
        at: 100,
        revision: 4,
        standing: NEVER,
    },
    Case {
        name: "a later revision is on its way to all",
        heard: &[
            from("c1"),
            from("c2"),
            SERVED,
            Heard::Control(Grant {
                sent: 200,
                required: 6,
                ..GRANT
            }),
            Heard::Control(Grant {
                sent: 200,
                from: ("c2", 1),
                required: 6,
                ..GRANT
            }),
        ],
        at: 300,
        revision: 5,
        standing: BEHIND,
    },
    Case {
        name: "a later revision is at a minority only",
        heard: &[
            from("c1"),
            from("c2"),
            from("c3"),
            SERVED,
            Heard::Control(Grant {
                sent: 200,
                required: 6,
                ..GRANT
            }),
        ],
        at: 300,
        revision: 5,
        standing: Standing::Confirmed,
    },
    Case {
        name: "just before the lease runs out",
        heard: &[from("c1"), from("c2"), SERVED],
        at: LEASE - DRIFT - 1,
        revision: 5,
        standing: Standing::Confirmed,
    },
    Case {
        name: "the lease has run out, less the drift of clocks",
        heard: &[from("c1"), from("c2"), SERVED],
        at: LEASE - DRIFT,
        revision: 5,
        standing: LAPSED,
    },
    Case {
        name: "an answer that overtook a later one takes nothing back",
        heard: &[
            Heard::Control(Grant { sent: 900, ..GRANT }),
            Heard::Control(Grant {
                sent: 900,
                from: ("c2", 1),
                ..GRANT
            }),
            Heard::Control(Grant {
                sent: 0,
                required: 4,
                ..GRANT
            }),
        ],
        at: LEASE,
        revision: 5,
        standing: Standing::Confirmed,
    },
    Case {
        name: "a voter that lost its disk grants under a generation that has no vote",
        heard: &[
            from("c1"),
            Heard::Control(Grant {
                from: ("c2", 2),
                ..GRANT
            }),
        ],
        at: 100,
        revision: 5,
        standing: NEVER,
    },
    // c1 and c2 were removed while cut off and do not know. The group is c3, c4 and c5 by now and
    // has accepted revision 6; c3 is the one of the old three that remains.
    Case {
        name: "voters that were removed without learning it, with one who knows",
        heard: &[
            naming("c1", V3),
            naming("c2", V3),
            Heard::Control(Grant {
                from: ("c3", 1),
                voters: &[("c3", 1), ("c4", 1), ("c5", 1)],
                required: 6,
                ..GRANT
            }),
        ],
        at: 100,
        revision: 5,
        standing: NEVER,
    },
    // c1 led {c1,c2,c3} and appended {c1,c2,c3,c6}, uncommitted, when it was cut off. The group went
    // on to {c2,c3,c4}, which lacks c1 and c6. With c1's membership taken for the newest, c1, c6 and
    // c2 would be a majority of it.
    Case {
        name: "an uncommitted membership two changes away from the one in force",
        heard: &[
            naming("c1", &[("c1", 1), ("c2", 1), ("c3", 1), ("c6", 1)]),
            naming("c6", &[("c1", 1), ("c2", 1), ("c3", 1), ("c6", 1)]),
            naming("c2", &[("c2", 1), ("c3", 1), ("c4", 1)]),
        ],
        at: 100,
        revision: 5,
        standing: NEVER,
    },
    Case {
        name: "memberships one change apart, a majority of both",
        heard: &[
            naming("c1", &[("c1", 1), ("c2", 1), ("c3", 1), ("c4", 1)]),
            naming("c2", V3),
            naming("c3", V3),
        ],
        at: 100,
        revision: 5,
        standing: Standing::Confirmed,
    },
    Case {
        name: "no control process is heard by anybody",
        heard: &[from("c1"), from("c2"), SERVED, peer(9_900, "e2", false)],
        at: 10_000,
        revision: 5,
        standing: Standing::ControlLost,
    },
    Case {
        name: "a minority of the entry VMs is heard",
        heard: &[from("c1"), from("c2"), SERVED],
        at: 10_000,
        revision: 5,
        standing: LAPSED,
    },
    Case {
        name: "another entry VM was heard too long ago",
        heard: &[from("c1"), from("c2"), SERVED, peer(7_900, "e2", false)],
        at: 10_000,
        revision: 5,
        standing: LAPSED,
    },
    Case {
        name: "another entry VM hears a leader",
        heard: &[
            from("c1"),
            from("c2"),
            SERVED,
            peer(9_900, "e2", false),
            peer(9_900, "e3", true),
        ],
        at: 10_000,
        revision: 5,
        standing: LAPSED,
    },
    Case {
        name: "this entry VM hears a leader that grants nothing that counts",
        heard: &[
            from("c1"),
            from("c2"),
            SERVED,
            peer(9_900, "e2", false),
            Heard::Control(Grant {
                sent: 9_800,
                grants: false,
                ..GRANT
            }),
        ],
        at: 10_000,
        revision: 5,
        standing: LAPSED,
    },
    Case {
        name: "no control process is heard, and none was since the start",
        heard: &[peer(9_900, "e2", false)],
        at: 10_000,
        revision: 5,
        standing: NEVER,
    },
    Case {
        name: "behind does not count as control being lost",
        heard: &[
            from("c1"),
            from("c2"),
            SERVED,
            peer(2_000, "e2", false),
            Heard::Control(Grant {
                sent: 1_000,
                required: 6,
                leader: None,
                ..GRANT
            }),
            Heard::Control(Grant {
                sent: 1_000,
                from: ("c2", 1),
                required: 6,
                leader: None,
                ..GRANT
            }),
        ],
        at: 3_600,
        revision: 5,
        standing: BEHIND,
    },
];

fn voters(voters: &[(&str, u64)]) -> Vec<messages::Voter> {
    let voter = |(vm, generation): &(&str, u64)| messages::Voter {
        vm: (*vm).to_owned(),
        generation: *generation,
    };
    voters.iter().map(voter).collect()
}

fn take(freshness: &mut Freshness, heard: &Heard) {
    match heard {
        Heard::Control(grant) => {
            let part = messages::LeaseInfo {
                voters: voters(grant.voters),
                generation: grant.from.1,
                grants: grant.grants,
                lease: Millis(LEASE),
                required: Revision(grant.required),
                leader: grant.leader.map(str::to_owned),
                term: 1,
                draining: Vec::new(),
            };
            let sent = Instant(grant.sent);
            freshness.granted(sent, sent + Millis(1), grant.from.0, &part);
        }
        Heard::Entry {
            at,
            vm,
            hears_leader,
            was_confirmed,
        } => freshness.heard(Instant(*at), vm, *hears_leader, *was_confirmed),
        Heard::Served { at, revision } => {
            let standing = freshness.standing(Instant(*at), Revision(*revision));
            assert_eq!(standing, Standing::Confirmed);
        }
    }
}

#[test]
fn standing() {
    for case in CASES {
        let mut freshness = Freshness::new(Settings {
            entry_vms: 3,
            drift_margin: Millis(DRIFT),
            heartbeat: Millis(HEARTBEAT),
        });
        for heard in case.heard {
            take(&mut freshness, heard);
        }
        let standing = freshness.standing(Instant(case.at), Revision(case.revision));
        assert_eq!(standing, case.standing, "{}", case.name);
    }
}
