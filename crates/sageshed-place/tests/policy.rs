//! Parsing of the placement settings.

use sageshed_place as place;

struct Case {
    toml: &'static str,
    /// The parsed move cost, or a word that the error message must contain.
    read: Result<f64, &'static str>,
}

const CASES: &[Case] = &[
    Case {
        toml: "",
        read: Ok(5.0),
    },
    Case {
        toml: "move_cost = 15.0\nbaseline = \"on_demand_lru\"",
        read: Ok(15.0),
    },
    Case {
        toml: "plan_interval_ms = 250\nlazy_start = true",
        read: Ok(5.0),
    },
    Case {
        toml: "move_costs = 15.0",
        read: Err("move_costs"),
    },
    Case {
        toml: "baseline = \"best\"",
        read: Err("best"),
    },
];

#[test]
fn settings_are_read_and_unknown_keys_are_errors() {
    for case in CASES {
        let read = toml::from_str::<place::Policy>(case.toml);
        match (read, case.read) {
            (Ok(policy), Ok(cost)) => assert!((policy.move_cost - cost).abs() < 1e-9),
            (Err(error), Err(word)) => assert!(error.to_string().contains(word), "{error}"),
            (read, _) => panic!("{}: {read:?}", case.toml),
        }
    }
}
