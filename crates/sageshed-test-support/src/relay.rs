//! A TCP relay in this process that can be delayed, cut and healed, each direction by itself.
//!
//! A silent cut drops bytes and keeps connections open, as a network partition does. A relay that
//! has lost track ([`Relay::lose_track`]) does so for the connections of the moment, for good, while
//! new ones work. Relays that share a [`Link`] share its bandwidth.

use std::{
    io::{self, Read as _, Write as _},
    net,
    sync::{self, atomic},
    thread,
    time::{Duration, Instant},
};

/// How often a copying thread looks at the state.
const LOOK: Duration = Duration::from_millis(50);

/// What happens to the bytes of one direction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Passage {
    /// They pass.
    Open,
    /// They pass after this time.
    Delayed(Duration),
    /// They are dropped, and connections stay open.
    Silent,
}

/// The directions of a relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From who connects to the target.
    ToTarget = 0,
    /// From the target back.
    FromTarget = 1,
}

/// A network link with a bandwidth, the same in each direction. Bytes queue in the order in which they come.
#[derive(Debug)]
pub struct Link {
    bytes_per_s: f64,
    ways: [sync::Mutex<Way>; 2],
}

/// One direction of a link.
#[derive(Debug)]
struct Way {
    /// When all that was sent so far will have passed.
    free_at: Instant,
    bytes: u64,
}

impl Link {
    /// A link that carries so many bytes a second.
    #[must_use]
    pub fn new(bytes_per_s: f64) -> Self {
        let way = || {
            sync::Mutex::new(Way {
                free_at: Instant::now(),
                bytes: 0,
            })
        };
        Self {
            bytes_per_s,
            ways: [way(), way()],
        }
    }

    /// Bytes that were sent in one direction so far.
    #[must_use]
    pub fn bytes(&self, direction: Direction) -> u64 {
        self.way(direction).bytes
    }

    /// Waits until so many more bytes have passed.
    fn carry(&self, direction: Direction, bytes: usize) {
        let until = {
            let mut way = self.way(direction);
            let takes = Duration::from_secs_f64(bytes as f64 / self.bytes_per_s);
            way.free_at = way.free_at.max(Instant::now()) + takes;
            way.bytes += bytes as u64;
            way.free_at
        };
        thread::sleep(until.saturating_duration_since(Instant::now()));
    }

    fn way(&self, direction: Direction) -> sync::MutexGuard<'_, Way> {
        let way = self.ways[direction as usize].lock();
        way.unwrap_or_else(sync::PoisonError::into_inner)
    }
}

#[derive(Debug)]
struct State {
    target: net::SocketAddr,
    passages: [Passage; 2],
    refusing: bool,
    sockets: Vec<net::TcpStream>,
}

#[derive(Debug)]
struct Shared {
    state: sync::Mutex<State>,
    link: Option<sync::Arc<Link>>,
    /// Connections that were made in an earlier generation are silent for good.
    generation: atomic::AtomicU64,
    stopping: atomic::AtomicBool,
}

/// A relay that runs until it is dropped.
#[derive(Debug)]
pub struct Relay {
    address: net::SocketAddr,
    shared: sync::Arc<Shared>,
}

impl Relay {
    /// Listens on a port that the system chooses and passes connections on to `target`.
    ///
    /// # Errors
    ///
    /// The system's.
    pub fn start(target: net::SocketAddr) -> io::Result<Self> {
        Self::listen((net::Ipv4Addr::LOCALHOST, 0).into(), target, None)
    }

    /// Listens on `address`, and passes connections on to `target` over `link`.
    ///
    /// # Errors
    ///
    /// The system's.
    pub fn over(
        link: &sync::Arc<Link>,
        address: net::SocketAddr,
        target: net::SocketAddr,
    ) -> io::Result<Self> {
        Self::listen(address, target, Some(sync::Arc::clone(link)))
    }

    fn listen(
        address: net::SocketAddr,
        target: net::SocketAddr,
        link: Option<sync::Arc<Link>>,
    ) -> io::Result<Self> {
        let listener = net::TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let shared = sync::Arc::new(Shared {
            state: sync::Mutex::new(State {
                target,
                passages: [Passage::Open; 2],
                refusing: false,
                sockets: Vec::new(),
            }),
            link,
            generation: atomic::AtomicU64::new(0),
            stopping: atomic::AtomicBool::new(false),
        });
        let accepting = sync::Arc::clone(&shared);
        thread::spawn(move || accept_all(&accepting, &listener));
        Ok(Self { address, shared })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Sets what happens to the bytes of one direction.
    pub fn set(&self, direction: Direction, passage: Passage) {
        self.shared.lock().passages[direction as usize] = passage;
    }

    /// Drops the bytes of both directions, and keeps connections open.
    pub fn cut_silently(&self) {
        self.shared.lock().passages = [Passage::Silent; 2];
    }

    /// Closes all connections and takes no new ones.
    pub fn cut_with_reset(&self) {
        let mut state = self.shared.lock();
        state.refusing = true;
        close_all(&mut state);
    }

    /// The connections of this moment go silent for good; new ones work.
    pub fn lose_track(&self) {
        self.shared
            .generation
            .fetch_add(1, atomic::Ordering::Relaxed);
    }

    /// Lets bytes pass and takes connections again. What was dropped stays lost.
    pub fn heal(&self) {
        let mut state = self.shared.lock();
        state.passages = [Passage::Open; 2];
        state.refusing = false;
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.shared.stopping.store(true, atomic::Ordering::Relaxed);
        close_all(&mut self.shared.lock());
        let _woken = net::TcpStream::connect(self.address);
    }
}

impl Shared {
    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

fn close_all(state: &mut State) {
    for socket in state.sockets.drain(..) {
        let _closed = socket.shutdown(net::Shutdown::Both);
    }
}

fn accept_all(shared: &sync::Arc<Shared>, listener: &net::TcpListener) {
    for socket in listener.incoming() {
        if shared.stopping.load(atomic::Ordering::Relaxed) {
            return;
        }
        // A socket that is dropped at once is a connection reset for who made it.
        let Ok(socket) = socket else { continue };
        let _joined = join(shared, socket);
    }
}

fn join(shared: &sync::Arc<Shared>, near: net::TcpStream) -> io::Result<()> {
    let mut state = shared.lock();
    if state.refusing {
        return Ok(());
    }
    let far = net::TcpStream::connect(state.target)?;
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    state.sockets.push(near.try_clone()?);
    state.sockets.push(far.try_clone()?);
    drop(state);
    copy(
        shared,
        near.try_clone()?,
        far.try_clone()?,
        Direction::ToTarget,
    );
    copy(shared, far, near, Direction::FromTarget);
    Ok(())
}

fn copy(
    shared: &sync::Arc<Shared>,
    mut from: net::TcpStream,
    mut to: net::TcpStream,
    direction: Direction,
) {
    let shared = sync::Arc::clone(shared);
    let generation = shared.generation.load(atomic::Ordering::Relaxed);
    thread::spawn(move || {
        let mut buf = [0; 16 * 1024];
        while let Ok(n) = from.read(&mut buf) {
            if n == 0 || pass(&shared, generation, &mut to, &buf[..n], direction).is_err() {
                break;
            }
        }
        // A partition hides the end of a connection too.
        while silent(&shared, generation, direction)
            && !shared.stopping.load(atomic::Ordering::Relaxed)
        {
            thread::sleep(LOOK);
        }
        let _closed = to.shutdown(net::Shutdown::Write);
    });
}

fn pass(
    shared: &Shared,
    generation: u64,
    to: &mut net::TcpStream,
    bytes: &[u8],
    direction: Direction,
) -> io::Result<()> {
    if silent(shared, generation, direction) {
        return Ok(());
    }
    let passage = shared.lock().passages[direction as usize];
    if let Passage::Delayed(time) = passage {
        thread::sleep(time);
    }
    if let Some(link) = &shared.link {
        link.carry(direction, bytes.len());
    }
    to.write_all(bytes)
}

fn silent(shared: &Shared, generation: u64, direction: Direction) -> bool {
    let lost = shared.generation.load(atomic::Ordering::Relaxed) != generation;
    lost || shared.lock().passages[direction as usize] == Passage::Silent
}
