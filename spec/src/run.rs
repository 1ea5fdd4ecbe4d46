//! The command line, and the table of all specifications that it shares with the tests.

use sageshed_quorum::config;

use crate::{claims, explore, leases, log, orders, repair, suspensions};

/// A specification with the guards that can be turned off.
#[derive(Debug, Clone, Copy)]
pub struct SpecEntry {
    /// Its name on the command line.
    pub name: &'static str,
    /// Guards without which an invariant is violated.
    pub needed: &'static [&'static str],
    /// Guards that are not needed for the invariants.
    pub optional: &'static [&'static str],
    /// The limits of a run on the command line.
    pub bound: explore::Bound,
    explore: fn(Option<&str>, explore::Bound) -> Option<explore::Report>,
}

impl SpecEntry {
    /// Explores the specification, with the guard `without` turned off if one is given. None if there is no
    /// such guard.
    #[must_use]
    pub fn explore(&self, without: Option<&str>, bound: explore::Bound) -> Option<explore::Report> {
        (self.explore)(without, bound)
    }
}

const fn bound(depth: usize, states: usize) -> explore::Bound {
    explore::Bound { depth, states }
}

fn log(
    scenario: fn(config::Guards) -> log::Scenario,
    without: Option<&str>,
    bound: explore::Bound,
) -> Option<explore::Report> {
    let guards = log::scenarios::without(without)?;
    Some(explore::explore(&scenario(guards), bound))
}

/// The parameters of most specifications of orders.
const ORDERS: orders::Orders = orders::Orders {
    guards: orders::Guards::ALL,
    start: orders::Start::BothFull,
    engines: orders::Engines::Plain,
    losses: 0,
    proposals: 3,
    elections: 1,
};

const MEMORY: orders::Orders = orders::Orders {
    start: orders::Start::OneEmpty,
    ..ORDERS
};

fn orders(
    spec: orders::Orders,
    without: Option<&str>,
    bound: explore::Bound,
) -> Option<explore::Report> {
    let guards = orders::Guards::without(without)?;
    Some(explore::explore(&orders::Orders { guards, ..spec }, bound))
}

fn leases(
    scenario: fn(leases::Guards) -> leases::Leases,
    without: Option<&str>,
    bound: explore::Bound,
) -> Option<explore::Report> {
    let guards = leases::Guards::without(without)?;
    Some(explore::explore(&scenario(guards), bound))
}

fn repaired(
    start: fn(repair::Guards) -> repair::Repair,
    without: Option<&str>,
    bound: explore::Bound,
) -> Option<explore::Report> {
    let guards = repair::Guards::without(without)?;
    Some(explore::explore(&start(guards), bound))
}

/// All specifications.
pub const ALL: &[SpecEntry] = &[
    SpecEntry {
        name: "log-elections",
        needed: &["sync"],
        optional: &["check_quorum"],
        bound: bound(40, 400_000),
        explore: |without, bound| log(log::scenarios::elections, without, bound),
    },
    SpecEntry {
        name: "log-bare-elections",
        needed: &["sync"],
        optional: &["pre_vote", "stickiness"],
        bound: bound(40, 400_000),
        explore: |without, bound| log(log::scenarios::bare_elections, without, bound),
    },
    SpecEntry {
        name: "log-lagging",
        needed: &["generation", "up_to_date"],
        optional: &["pre_vote", "stickiness", "check_quorum"],
        bound: bound(40, 400_000),
        explore: |without, bound| log(log::scenarios::lagging, without, bound),
    },
    SpecEntry {
        name: "log-bare-lagging",
        needed: &["generation", "up_to_date"],
        optional: &[],
        bound: bound(40, 400_000),
        explore: |without, bound| log(log::scenarios::bare_lagging, without, bound),
    },
    SpecEntry {
        name: "log-repair",
        needed: &[],
        optional: &["caught_up"],
        bound: bound(40, 400_000),
        explore: |without, bound| log(log::scenarios::repair, without, bound),
    },
    SpecEntry {
        name: "log-second-loss",
        needed: &[],
        optional: &["caught_up"],
        bound: bound(40, 400_000),
        explore: |without, bound| log(log::scenarios::second_loss, without, bound),
    },
    SpecEntry {
        name: "log-old-entry",
        needed: &["own_term_commit"],
        optional: &[],
        bound: bound(40, 400_000),
        explore: |without, bound| log(log::scenarios::old_entry, without, bound),
    },
    SpecEntry {
        name: "log-two-changes",
        needed: &["single_change"],
        optional: &[],
        bound: bound(40, 400_000),
        explore: |without, bound| log(log::scenarios::two_changes, without, bound),
    },
    SpecEntry {
        name: "log-two-leaders",
        needed: &["own_term_change"],
        optional: &[],
        bound: bound(40, 400_000),
        explore: |without, bound| log(log::scenarios::two_leaders, without, bound),
    },
    SpecEntry {
        name: "log-cut-off",
        needed: &["pre_vote", "stickiness"],
        optional: &["check_quorum"],
        bound: bound(40, 400_000),
        explore: |without, bound| log(log::scenarios::cut_off, without, bound),
    },
    SpecEntry {
        name: "repair-growth",
        needed: &["complete"],
        optional: &["remove_first", "lag"],
        bound: bound(60, 400_000),
        explore: |without, bound| repaired(repair::growth, without, bound),
    },
    SpecEntry {
        name: "repair-wiped",
        needed: &["remove_first"],
        optional: &["complete", "lag"],
        bound: bound(60, 400_000),
        explore: |without, bound| repaired(repair::wiped, without, bound),
    },
    SpecEntry {
        name: "repair-replaced",
        needed: &[],
        optional: &["complete", "lag"],
        bound: bound(60, 400_000),
        explore: |without, bound| repaired(repair::replaced, without, bound),
    },
    SpecEntry {
        name: "suspensions",
        needed: &["lease", "majority", "boot_clock"],
        optional: &[],
        bound: bound(80, 2_000_000),
        explore: |without, bound| {
            let guards = suspensions::Guards::without(without)?;
            let ticks = 16;
            Some(explore::explore(
                &suspensions::Suspensions { guards, ticks },
                bound,
            ))
        },
    },
    SpecEntry {
        name: "orders",
        needed: &[
            "commit_first",
            "one_at_a_time",
            "keep_settled",
            "wait_for_restored",
            "term",
        ],
        optional: &[],
        bound: bound(60, 400_000),
        explore: |without, bound| {
            let spec = ORDERS;
            orders(spec, without, bound)
        },
    },
    SpecEntry {
        name: "orders-lost-commands",
        needed: &[],
        optional: &[],
        bound: bound(60, 400_000),
        explore: |without, bound| {
            let spec = orders::Orders {
                losses: 1,
                ..ORDERS
            };
            orders(spec, without, bound)
        },
    },
    SpecEntry {
        name: "orders-doubled",
        needed: &[],
        optional: &[],
        bound: bound(60, 400_000),
        explore: |without, bound| {
            let spec = orders::Orders {
                engines: orders::Engines::Deduplicating,
                ..ORDERS
            };
            orders(spec, without, bound)
        },
    },
    SpecEntry {
        name: "orders-fenced",
        needed: &[],
        optional: &[],
        bound: bound(60, 400_000),
        explore: |without, bound| {
            let spec = orders::Orders {
                engines: orders::Engines::Fenced,
                ..ORDERS
            };
            orders(spec, without, bound)
        },
    },
    SpecEntry {
        name: "orders-fenced-lost-commands",
        needed: &[],
        optional: &[],
        bound: bound(60, 400_000),
        explore: |without, bound| {
            let spec = orders::Orders {
                engines: orders::Engines::Fenced,
                losses: 1,
                ..ORDERS
            };
            orders(spec, without, bound)
        },
    },
    SpecEntry {
        name: "orders-memory",
        needed: &[
            "commit_first",
            "one_at_a_time",
            "no_resend",
            "keep_settled",
            "term",
        ],
        optional: &[],
        bound: bound(60, 400_000),
        explore: |without, bound| {
            let spec = MEMORY;
            orders(spec, without, bound)
        },
    },
    SpecEntry {
        name: "orders-memory-doubled",
        needed: &["order_ids"],
        optional: &[],
        bound: bound(60, 400_000),
        explore: |without, bound| {
            let spec = orders::Orders {
                engines: orders::Engines::Deduplicating,
                ..MEMORY
            };
            orders(spec, without, bound)
        },
    },
    SpecEntry {
        name: "claims",
        needed: &[
            "gone_is_unknown",
            "no_expiry",
            "wait",
            "told_is_final",
            "send_once",
            "grant_age",
            "incarnation",
        ],
        optional: &[],
        bound: bound(40, 2_000_000),
        explore: |without, bound| {
            let guards = claims::Guards::without(without)?;
            let arrivals = 2;
            Some(explore::explore(
                &claims::Claims { guards, arrivals },
                bound,
            ))
        },
    },
    SpecEntry {
        name: "claims-three",
        needed: &[],
        optional: &[],
        bound: bound(40, 2_000_000),
        explore: |without, bound| {
            let guards = claims::Guards::without(without)?;
            let arrivals = 3;
            Some(explore::explore(
                &claims::Claims { guards, arrivals },
                bound,
            ))
        },
    },
    SpecEntry {
        name: "leases-change",
        needed: &["uncommitted", "required"],
        optional: &["voters"],
        bound: bound(40, 400_000),
        explore: |without, bound| leases(leases::change, without, bound),
    },
    SpecEntry {
        name: "leases-removed",
        needed: &["voters", "required"],
        optional: &[],
        bound: bound(40, 400_000),
        explore: |without, bound| leases(leases::removed, without, bound),
    },
    SpecEntry {
        name: "leases-replacement",
        needed: &["required", "uncommitted"],
        optional: &[],
        bound: bound(40, 400_000),
        explore: |without, bound| leases(leases::replacement, without, bound),
    },
];

/// The specification with this name.
#[must_use]
pub fn find(name: &str) -> Option<&'static SpecEntry> {
    ALL.iter().find(|entry| entry.name == name)
}

/// The arguments of the command line.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Options {
    /// The name of a specification. None: all of them.
    pub name: Option<String>,
    /// The guard to turn off.
    pub without: Option<String>,
    /// Overrides the limit of the depth.
    pub depth: Option<usize>,
    /// Overrides the limit of the number of states.
    pub states: Option<usize>,
}

impl Options {
    /// Parses the arguments after the program's name. The error is human-readable.
    pub fn read(mut args: impl Iterator<Item = String>) -> Result<Self, String> {
        let mut options = Self::default();
        while let Some(arg) = args.next() {
            let mut value = || args.next().ok_or(format!("{arg} needs a value"));
            match arg.as_str() {
                "--without" => options.without = Some(value()?),
                "--depth" => options.depth = Some(number(&value()?)?),
                "--states" => options.states = Some(number(&value()?)?),
                name => options.name = Some(name.to_owned()),
            }
        }
        Ok(options)
    }

    /// Explores the selected specifications and passes each result to `print` as text.
    pub fn run(&self, mut print: impl FnMut(&str)) -> Result<(), String> {
        let named = |entry: &&SpecEntry| self.name.as_deref().is_none_or(|name| name == entry.name);
        let entries: Vec<_> = ALL.iter().filter(named).collect();
        if entries.is_empty() {
            return Err(usage());
        }
        for entry in entries {
            let bound = explore::Bound {
                depth: self.depth.unwrap_or(entry.bound.depth),
                states: self.states.unwrap_or(entry.bound.states),
            };
            let without = self.without.as_deref();
            let report = entry.explore(without, bound);
            let report = report.ok_or_else(|| format!("{}: no such guard", entry.name))?;
            let guard = without.map_or(String::new(), |guard| format!(" without {guard}"));
            print(&format!("{}{guard}: {report}", entry.name));
        }
        Ok(())
    }
}

fn number(text: &str) -> Result<usize, String> {
    text.parse()
        .map_err(|e| format!("{text} is not a number: {e}"))
}

fn usage() -> String {
    let line = |entry: &SpecEntry| {
        let guards: Vec<_> = entry.needed.iter().chain(entry.optional).copied().collect();
        format!("\n  {} (guards: {})", entry.name, guards.join(", "))
    };
    let lines: String = ALL.iter().map(line).collect();
    format!("usage: sageshed-spec [NAME] [--without GUARD] [--depth N] [--states N]{lines}")
}
