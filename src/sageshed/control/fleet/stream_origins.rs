//! Keeps copies of entry processes' records of streams, for when all entry processes end at once
//! ([`sageshed_fleet::origin_backup`]).
//!
//! Only a record that is held here says anything. A process that has just started has none, and whoever asks it has to ask
//! others as well.

use std::{io, net, sync::atomic, thread, time};

use sageshed_fleet::{entry_peers as wire, origin_backup, stream_origins};

use super::shared;
use crate::sampler;

/// The largest datagram that is received, in bytes.
const MAX_DATAGRAM_BYTES: usize = 1_500;

/// The delay after datagrams could not be received.
const RECEIVE_RETRY_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Receives records and queries on the UDP port of the VM, for as long as the process runs.
pub(super) fn run(shared: &shared::Shared) {
    let Some(discovery) = &shared.settings.common.discovery else {
        return;
    };
    let socket = match net::UdpSocket::bind((discovery.ip, discovery.vms_port)) {
        Ok(socket) => socket,
        Err(e) => {
            return ::log::warn!(error:% = e; "control: cannot open the UDP socket, continuing without records of streams");
        }
    };
    let mut origins = stream_origins::StreamOrigins::with_limit(origin_backup::MAX_RECORDS);
    let mut buf = [0; MAX_DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buf) {
            Ok((len, from)) => handle(shared, &socket, &mut origins, &buf[..len], from),
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => {
                ::log::warn!(error:% = e; "control: cannot receive datagrams");
                thread::sleep(RECEIVE_RETRY_INTERVAL);
            }
        }
    }
}

fn handle(
    shared: &shared::Shared,
    socket: &net::UdpSocket,
    origins: &mut stream_origins::StreamOrigins,
    bytes: &[u8],
    from: net::SocketAddr,
) {
    let now = shared.clock.now();
    match sageshed_vms::decode(bytes) {
        Ok(wire::Datagram::StreamOrigin(origin)) => origins.insert(now, origin),
        Ok(wire::Datagram::StreamOrigins(batch)) => {
            for origin in batch {
                origins.insert(now, origin);
            }
        }
        Ok(wire::Datagram::OriginQuery(query)) => {
            let reply = stream_origins::OriginReply {
                id: query.id,
                software: origins.get(now, query.stream),
            };
            reply_to(socket, from, reply);
        }
        Ok(_) => ::log::debug!(from:% = from; "control: a datagram for an entry process"),
        Err(e) => {
            // Anyone can send datagrams to the port, so the log is limited.
            if shared.hub.misread.line(now) != sampler::Line::LeaveOut {
                ::log::warn!(from:% = from, error:% = e; "control: cannot decode a datagram");
            }
        }
    }
    let count = origins.len();
    shared.origins.store(count, atomic::Ordering::Relaxed);
}

fn reply_to(socket: &net::UdpSocket, to: net::SocketAddr, reply: stream_origins::OriginReply) {
    let sent = sageshed_vms::encode(&wire::Datagram::OriginReply(reply))
        .map_err(|e| e.to_string())
        .and_then(|bytes| socket.send_to(&bytes, to).map_err(|e| e.to_string()));
    if let Err(e) = sent {
        ::log::debug!(to:% = to, error = e; "control: cannot reply to a query for a stream");
    }
}
