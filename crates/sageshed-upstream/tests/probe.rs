//! Whether an endpoint is there.

use std::{net, thread, time};

use rustix::{event, net::sockopt};
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

/// Guards against an endpoint at its connection limit that counts as ended, since it resets the connection at once.
#[test]
fn a_port_where_connections_are_reset_is_not_closed() {
    let (listener, address) = bound();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            sockopt::set_socket_linger(&stream, Some(time::Duration::ZERO)).expect("an option");
        }
    });
    let closed = (0..500).filter(|_| probe::is_closed(address)).count();
    assert_eq!(closed, 0);
}

/// Guards against the crash of an endpoint that is missed, since its system closes its port last.
#[test]
fn a_port_that_is_closed_with_a_connection_in_its_queue_is_closed() {
    // A single look may be over before the port is closed, if this thread is not scheduled.
    let closed = (0..20).filter(|_| {
        let (listener, address) = bound();
        let closing = thread::spawn(move || {
            let mut fds = [event::PollFd::new(&listener, event::PollFlags::IN)];
            event::poll(&mut fds, None).expect("a connection");
            drop(listener);
        });
        let is_closed = probe::is_closed(address);
        closing.join().expect("it closes the port");
        is_closed
    });
    assert!(closed.count() > 0);
}
