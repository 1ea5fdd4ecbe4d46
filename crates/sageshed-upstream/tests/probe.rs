//! Whether an endpoint is there.

use std::net;

use sageshed_upstream::probe;

fn bound() -> (net::TcpListener, net::SocketAddrV4) {
    let listener = net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let net::SocketAddr::V4(address) = listener.local_addr().expect("bound") else {
        unreachable!("bound to an IPv4 address")
    };
    (listener, address)
}

/// Guards against an endpoint that counts as ended because of what is wrong on the way there or in this process.
#[test]
fn a_port_counts_as_closed_only_if_connections_to_it_are_refused() {
    let (listener, address) = bound();
    assert!(!probe::is_closed(address), "it is open");
    drop(listener);
    assert!(probe::is_closed(address), "it is closed");
    // The system opens no connection to a broadcast address, and asks nobody.
    let broadcast = net::SocketAddrV4::new(net::Ipv4Addr::new(127, 255, 255, 255), address.port());
    assert!(!probe::is_closed(broadcast), "nobody has refused");
}
