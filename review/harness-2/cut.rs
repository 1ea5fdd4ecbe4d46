//! A cut between two sides of the system.
//!
//! The nodes of the smaller side use another port among themselves. A node reaches the other side at the port of its own
//! side, where this proxy stands in for each node of the other side. Datagrams keep the address of their sender.

use std::{
    collections::HashMap,
    io::{self, Read, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, SocketAddrV4, TcpListener, TcpStream, UdpSocket},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
};

use crate::world::World;

pub struct Cut(Arc<AtomicBool>);

impl Cut {
    /// Starts to pass on what the two sides send each other.
    pub fn start(world: &World) -> io::Result<Self> {
        let is_cut = Arc::new(AtomicBool::new(false));
        let (main, apart) = (world.ports.vms, world.ports.vms_apart);
        let mut sockets = HashMap::new();
        let nodes: Vec<_> = world.control.iter().chain(&world.entries).map(|it| (it.ip, it.is_apart)).collect();
        for (ip, is_apart) in &nodes {
            let (own, other) = if *is_apart { (apart, main) } else { (main, apart) };
            let listener = TcpListener::bind((*ip, other))?;
            let (is_cut, to) = (Arc::clone(&is_cut), SocketAddrV4::new(*ip, own));
            thread::spawn(move || accept(&listener, to, &is_cut));
            sockets.insert(*ip, Arc::new(UdpSocket::bind((*ip, other))?));
        }
        let sockets = Arc::new(sockets);
        for (ip, is_apart) in nodes {
            let own = if is_apart { apart } else { main };
            let (is_cut, sockets) = (Arc::clone(&is_cut), Arc::clone(&sockets));
            thread::spawn(move || datagrams(SocketAddrV4::new(ip, own), &sockets, &is_cut));
        }
        Ok(Self(is_cut))
    }

    pub fn set(&self, is_cut: bool) {
        self.0.store(is_cut, Ordering::SeqCst);
    }
}

fn accept(listener: &TcpListener, to: SocketAddrV4, is_cut: &Arc<AtomicBool>) {
    for from in listener.incoming().map_while(Result::ok) {
        let is_cut = Arc::clone(is_cut);
        thread::spawn(move || {
            let Ok(target) = TcpStream::connect(to) else { return };
            let (Ok(from2), Ok(target2)) = (from.try_clone(), target.try_clone()) else { return };
            let is_cut2 = Arc::clone(&is_cut);
            thread::spawn(move || pass(from2, target2, &is_cut2));
            pass(target, from, &is_cut);
        });
    }
}

/// Passes bytes on. While the sides are cut off from each other, they are dropped and the connection hangs.
fn pass(mut from: TcpStream, mut to: TcpStream, is_cut: &AtomicBool) {
    let mut buf = [0; 16 * 1024];
    let mut has_dropped = false;
    while let Ok(count @ 1..) = from.read(&mut buf) {
        has_dropped |= is_cut.load(Ordering::SeqCst);
        if !has_dropped && to.write_all(&buf[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}

fn datagrams(to: SocketAddrV4, sockets: &HashMap<Ipv4Addr, Arc<UdpSocket>>, is_cut: &AtomicBool) {
    let Some(own) = sockets.get(to.ip()) else { return };
    let mut buf = [0; 4096];
    loop {
        let Ok((count, SocketAddr::V4(from))) = own.recv_from(&mut buf) else { continue };
        let stand_in = sockets.get(from.ip());
        if let Some(stand_in) = stand_in.filter(|_| !is_cut.load(Ordering::SeqCst)) {
            let _ = stand_in.send_to(&buf[..count], to);
        }
    }
}
