//! Bodies that end with their connection.

use std::{io::Write as _, net, os::fd, thread, time};

use rustix::net::sockopt;
use sageshed_types::body::Body;
use sageshed_upstream::{
    exchange::{Patience, Piece, Request},
    failure::Failure,
    pool::{Pool, Settings},
};

const PART: &[u8] = b"HTTP/1.1 200 OK\r\n\r\na part";

/// A body that is longer than what both ends of a connection hold of it, in bytes.
const LONG_BODY: usize = 4 * 1024 * 1024;

fn listen() -> (net::TcpListener, net::SocketAddrV4) {
    let listener = net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let net::SocketAddr::V4(address) = listener.local_addr().expect("bound") else {
        unreachable!("bound to an IPv4 address")
    };
    (listener, address)
}

fn read_body(
    address: net::SocketAddrV4,
    body: Vec<u8>,
    on_head: impl FnOnce(),
) -> Result<Vec<u8>, Failure> {
    let req = Request {
        method: "POST",
        target: "/",
        headers: vec![("Host", b"h".as_slice())],
        body: Body::from(body),
    };
    let patience = Patience {
        until: time::Instant::now() + time::Duration::from_secs(5),
        stop: &|| false,
    };
    let pool = Pool::new(Settings::default());
    let mut exchange = pool.exchange(address, &req, time::Duration::ZERO, &patience)?;
    on_head();
    let mut received = Vec::new();
    while let Piece::Bytes(bytes) = exchange.read(&patience)? {
        received.extend(bytes);
    }
    Ok(received)
}

/// The socket of this process that is connected to `address`.
fn own_socket_to(address: net::SocketAddrV4) -> fd::OwnedFd {
    let own = rustix::process::pidfd_open(
        rustix::process::getpid(),
        rustix::process::PidfdFlags::empty(),
    )
    .expect("a descriptor");
    for number in 3..200 {
        let Ok(socket) =
            rustix::process::pidfd_getfd(&own, number, rustix::process::PidfdGetfdFlags::empty())
        else {
            continue;
        };
        let peer = rustix::net::getpeername(&socket).ok().flatten();
        let peer = peer.and_then(|it| net::SocketAddrV4::try_from(it).ok());
        if peer == Some(address) {
            return socket;
        }
    }
    panic!("no connection to {address}");
}

/// Guards against a part of a body that counts as complete after the system has given up a connection whose endpoint
/// acknowledges nothing any more.
#[test]
fn a_body_ended_by_a_timeout_of_its_connection_is_not_complete() {
    let (listener, address) = listen();
    sockopt::set_socket_recv_buffer_size(&listener, 4096).expect("an option");
    let peer = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        thread::sleep(time::Duration::from_millis(300));
        stream.write_all(PART).expect("it reads");
        // Reads nothing: the window stays closed.
        thread::sleep(time::Duration::from_secs(4));
        drop(stream);
    });
    let body = vec![b'x'; LONG_BODY];
    let limit = || {
        let socket = own_socket_to(address);
        sockopt::set_tcp_user_timeout(&socket, 300).expect("an option");
    };
    let result = read_body(address, body, limit);
    assert!(result.is_err(), "{:?}", result.map(|it| it.len()));
    drop(peer);
}
