//! The load tool against a stand-in engine: it must not pass what is wrong.

use sageshed_test_support::{config, fault, load, standin};

const COUNT: u64 = 20;

fn send(fault: fault::Fault, streaming: f64) -> load::report::Report {
    let cfg = config::Config {
        time_scale: 100.0,
        endpoints: vec![config::Endpoint::engine("e1", 1_000, &[("m1", 400)])],
        ..config::Config::default()
    };
    let standin = standin::Standin::start(cfg).expect("a stand-in");
    standin.fault("e1", fault, None);
    load::run(&load::Load {
        addresses: vec![standin.address("e1")],
        count: COUNT,
        seconds: 30.0,
        workers: 8,
        streaming,
        give_up_ms: 500,
        models: vec![load::Weighted {
            name: "m1".to_owned(),
            weight: 1.0,
        }],
        ..load::Load::default()
    })
}

#[test]
fn each_request_is_counted_under_what_came_of_it() {
    struct Case {
        fault: fault::Fault,
        lost: bool,
    }
    let cases = [
        Case {
            fault: fault::Fault::Cut { after: 3 },
            lost: true,
        },
        Case {
            fault: fault::Fault::Stall { after: 3 },
            lost: true,
        },
        Case {
            fault: fault::Fault::Swap,
            lost: false,
        },
    ];
    for case in cases {
        for streaming in [0.0, 1.0] {
            let report = send(case.fault, streaming);
            let lost: u64 = report.lost.values().sum();
            let wrong: u64 = report.wrong.values().sum();
            let expected = if case.lost { (COUNT, 0) } else { (0, COUNT) };
            assert_eq!((lost, wrong), expected, "{:?}: {report:?}", case.fault);
            assert_eq!((report.sent, report.completed), (COUNT, 0));
        }
    }
}

#[test]
fn good_answers_are_completed() {
    let report = send(fault::Fault::None, 0.5);
    assert_eq!(
        (report.sent, report.completed, report.on_time),
        (COUNT, COUNT, COUNT),
        "{report:?}"
    );
}
