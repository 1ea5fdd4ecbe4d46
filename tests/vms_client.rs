//! Calls between VMs through something that loses track of connections.

use std::{sync, thread, time};

use sageshed_test_support::relay;
use sageshed_vms::{Answer, Client, Handler, Server};

/// Calls under way at once, and so connections kept.
const AT_ONCE: usize = 3;

/// Answers once all calls of a round are there.
struct Together(sync::Barrier);

impl Handler for Together {
    fn handle(&self, path: &str, _body: &[u8]) -> Answer {
        if path == "/together" {
            self.0.wait();
        }
        Answer::message(&())
    }
}

/// Several connections to a process were kept open, and something in between loses track of them all.
/// One call runs out of time on such a connection. The next must make a new one: with the others tried
/// one after another, each would cost its limit, and leases run out meanwhile.
#[test]
fn one_lost_connection_ends_all_to_the_address() {
    let handler = sync::Arc::new(Together(sync::Barrier::new(AT_ONCE)));
    let server = Server::start("127.0.0.1:0", "", 16, handler).unwrap();
    let relay = relay::Relay::start(server.address()).unwrap();
    let address = relay.address().to_string();
    let client = Client::new("");
    let call = |path: &str, limit| {
        let limit = time::Duration::from_millis(limit);
        client.call::<_, ()>(&address, path, &(), limit)
    };
    thread::scope(|scope| {
        for _ in 0..AT_ONCE {
            scope.spawn(|| call("/together", 20_000).unwrap());
        }
    });
    relay.lose_track();
    let lost = call("/alone", 300);
    assert!(lost.is_err(), "the connections were not kept");
    call("/alone", 10_000).unwrap();
}
