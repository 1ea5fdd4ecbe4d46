//! Datagrams between entry processes: what each has sent to an engine that is not read yet.

use std::{io, net, sync, thread, time};

use sageshed_fleet::{chooser, dialect, neighbours as words};

use super::state;
use crate::sampler;

/// The largest datagram that is read, in bytes; one has some thirty.
const LARGEST: usize = 512;

/// How often the thread that listens looks whether the process stops.
const LOOK: time::Duration = time::Duration::from_millis(500);

/// The socket for datagrams.
#[derive(Debug)]
pub struct Neighbours {
    socket: net::UdpSocket,
    port: u16,
}

impl Neighbours {
    /// Opens the socket at `ip`, on the port that the system's processes use among themselves.
    pub fn open(ip: net::Ipv4Addr, port: u16) -> io::Result<Self> {
        let socket = net::UdpSocket::bind((ip, port))?;
        socket.set_read_timeout(Some(LOOK))?;
        Ok(Self { socket, port })
    }

    /// Tells the group of an engine what this process has there. A datagram may be lost; the next one
    /// says the same anew, and old words are forgotten.
    pub fn tell(&self, word: &words::Unread, group: &[net::Ipv4Addr]) {
        let bytes = match sageshed_vms::encode(word) {
            Ok(bytes) => bytes,
            Err(e) => return ::log::error!(error:% = e; "gateway: neighbours are not told"),
        };
        for ip in group {
            if let Err(e) = self.socket.send_to(&bytes, (*ip, self.port)) {
                ::log::debug!(neighbour:% = ip, error:% = e; "gateway: neighbour is not told");
            }
        }
    }

    fn listen<D: dialect::Dialect>(&self, shared: &state::Shared<D>) {
        let mut buf = [0; LARGEST];
        while !shared.is_stopping() {
            match self.socket.recv_from(&mut buf) {
                Ok((len, net::SocketAddr::V4(from))) => take(shared, from, &buf[..len]),
                Ok(_) => {}
                Err(e) if is_timeout(&e) => {}
                Err(e) => {
                    ::log::warn!(error:% = e; "gateway: no datagram could be read");
                    thread::sleep(LOOK);
                }
            }
        }
    }
}

fn take<D: dialect::Dialect>(shared: &state::Shared<D>, from: net::SocketAddrV4, bytes: &[u8]) {
    match sageshed_vms::decode(bytes) {
        Ok(word) => shared.hear(*from.ip(), &word),
        Err(e) => {
            // Anybody can send datagrams without end.
            if shared.misread.line(shared.clock.now()) != sampler::Line::LeaveOut {
                let misread = shared.misread.total();
                ::log::warn!(from:% = from, error:% = e, misread; "gateway: datagram not read");
            }
        }
    }
}

fn is_timeout(e: &io::Error) -> bool {
    matches!(
        e.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut | io::ErrorKind::Interrupted
    )
}

/// Starts the thread that hears the neighbours.
pub(super) fn start<D: dialect::Dialect>(shared: &sync::Arc<state::Shared<D>>) {
    let listening = sync::Arc::clone(shared);
    let spawned = thread::Builder::new()
        .name("neighbours".to_owned())
        .spawn(move || {
            if let Some(neighbours) = &listening.neighbours {
                neighbours.listen(&listening);
            }
        });
    if let Err(e) = spawned {
        ::log::error!(error:% = e; "gateway: no thread for neighbours");
    }
}

/// Tells the neighbours after a change at the engine of `pick`.
pub(super) fn tell<D: dialect::Dialect>(shared: &state::Shared<D>, pick: &chooser::Pick) {
    tell_with(shared, pick, None);
}

/// The same after the engine has read a prompt, with the beginning of it that others may share.
pub(super) fn tell_read<D: dialect::Dialect>(
    shared: &state::Shared<D>,
    pick: &chooser::Pick,
    read: chooser::Read<'_>,
) {
    tell_with(shared, pick, words::Beginning::of(read.wanted, read.parts));
}

fn tell_with<D: dialect::Dialect>(
    shared: &state::Shared<D>,
    pick: &chooser::Pick,
    kept: Option<words::Beginning>,
) {
    let Some(neighbours) = shared.neighbours.as_ref().filter(|_| pick.reading > 0) else {
        return;
    };
    let word = shared.with_core(|core| core.chooser.word_on(pick));
    if let Some((word, group)) = word {
        neighbours.tell(&words::Unread { kept, ..word }, &group);
    }
}
