//! Orders: what is known of one after it was sent.

use std::{thread, time::Duration};

use sageshed_engines::orders;
use sageshed_test_support::{config, fault, standin};
use sageshed_types::endpoints;

mod common;

fn load(standin: &standin::Standin, endpoint: &str, order: u64, fence: u64) -> endpoints::Order {
    endpoints::Order {
        order: endpoints::OrderId(order),
        endpoint: endpoint.to_owned(),
        incarnation: standin.identity(endpoint).incarnation,
        fence: endpoints::Fence(fence),
        task: endpoints::Task::Load {
            model: format!("m{order}"),
            version: 1,
            memory_mib: 100,
            base: None,
        },
    }
}

fn two_engines() -> standin::Standin {
    let mut ignoring = config::Endpoint::engine("ignores", 1_000, &[]);
    ignoring.checks_fence = false;
    common::start(vec![
        config::Endpoint::engine("checks", 1_000, &[]),
        ignoring,
    ])
}

/// An engine loads what an earlier leader of the control group asked for. The order was late and
/// came after one of the present leader. An engine that checks the number refuses it; of one that
/// does not, the sender learns only that it was taken.
#[test]
fn an_old_fencing_number_is_refused_where_it_is_checked() {
    struct Case {
        endpoint: &'static str,
        refused: bool,
    }
    let cases = [
        Case {
            endpoint: "checks",
            refused: true,
        },
        Case {
            endpoint: "ignores",
            refused: false,
        },
    ];
    for case in cases {
        let standin = two_engines();
        let address = standin.address(case.endpoint);
        let client = common::client(Duration::from_secs(2));
        let newer = load(&standin, case.endpoint, 20, 9);
        assert_eq!(client.order(&address, &newer), orders::Sent::Accepted);
        let sent = client.order(&address, &load(&standin, case.endpoint, 10, 8));
        let refused = matches!(sent, orders::Sent::Refused { .. });
        assert_eq!(refused, case.refused, "{}: {sent:?}", case.endpoint);
    }
}

/// A model is loaded twice and memory runs over. The answer to an order was lost and the order was
/// sent again.
#[test]
fn an_order_that_comes_twice_is_carried_out_once() {
    let standin = two_engines();
    let address = standin.address("ignores");
    let client = common::client(Duration::from_secs(2));
    let order = load(&standin, "ignores", 1, 1);
    for _ in 0..2 {
        assert_eq!(client.order(&address, &order), orders::Sent::Accepted);
    }
    assert_eq!(standin.stats().endpoints[1].orders, 1);
}

/// The control group counts an order as never sent, frees its memory and sends another; the engine
/// carries out both. Only where no byte left may it count so.
#[test]
fn an_order_without_an_answer_is_not_taken_for_unsent() {
    struct Case {
        fault: fault::Fault,
        unsent: bool,
    }
    let cases = [
        Case {
            fault: fault::Fault::Refuse,
            unsent: true,
        },
        Case {
            fault: fault::Fault::Silent,
            unsent: false,
        },
    ];
    for case in cases {
        let standin = two_engines();
        let address = standin.address("ignores");
        let client = common::client(Duration::from_secs(2));
        standin.fault("ignores", case.fault, None);
        if case.unsent {
            wait_until_refused(&address);
        }
        let sent = client.order(&address, &load(&standin, "ignores", 1, 1));
        let as_expected = match sent {
            orders::Sent::NotSent { .. } => case.unsent,
            orders::Sent::Unknown { .. } => !case.unsent,
            orders::Sent::Accepted | orders::Sent::Refused { .. } => false,
        };
        assert!(as_expected, "{:?}: {sent:?}", case.fault);
    }
}

/// An engine's successor carries out an order that was meant for its memory as it was before.
#[test]
fn an_order_for_an_earlier_incarnation_is_refused() {
    let standin = two_engines();
    let address = standin.address("ignores");
    let client = common::client(Duration::from_secs(2));
    let order = load(&standin, "ignores", 1, 1);
    standin.fault("ignores", fault::Fault::Crash, None);
    let sent = client.order(&address, &order);
    assert!(matches!(sent, orders::Sent::Refused { .. }), "{sent:?}");
}

fn wait_until_refused(address: &str) {
    while std::net::TcpStream::connect(address).is_ok() {
        thread::sleep(Duration::from_millis(5));
    }
}
