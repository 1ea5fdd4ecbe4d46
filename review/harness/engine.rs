//! Engines and plain servers as the users' pages describe them.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::http::{self, Message};

/// The interval between two heartbeats, as in the settings of the pages.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// A request that a server began to run.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
}

/// How a server handles a request whose head has arrived. Returns whether it keeps the connection.
pub type Handler =
    dyn Fn(&Server, Message, &mut TcpStream, &mut Vec<u8>) -> io::Result<bool> + Send + Sync;

pub struct Server {
    pub id: String,
    pub service: String,
    pub address: SocketAddrV4,
    slots: u32,
    pub runs: Arc<Mutex<Vec<Run>>>,
    stopped: AtomicBool,
    sequence: AtomicU64,
    acknowledged: AtomicU64,
}

impl Server {
    /// Starts a server that announces itself to the control processes at `control`.
    pub fn start(
        id: &str,
        service: &str,
        ip: Ipv4Addr,
        slots: u32,
        control: Vec<SocketAddr>,
        runs: &Arc<Mutex<Vec<Run>>>,
        handler: Arc<Handler>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let port = listener.local_addr().expect("bound").port();
        let server = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address: SocketAddrV4::new(ip, port),
            slots,
            runs: Arc::clone(runs),
            stopped: AtomicBool::new(false),
            sequence: AtomicU64::new(0),
            acknowledged: AtomicU64::new(0),
        });
        let serving = Arc::clone(&server);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (server, handler) = (Arc::clone(&serving), Arc::clone(&handler));
                thread::spawn(move || {
                    // A connection that breaks off ends here.
                    drop(server.serve(stream, &*handler));
                });
            }
        });
        let announcing = Arc::clone(&server);
        thread::spawn(move || announcing.announce(&control));
        server
    }

    pub fn is_acknowledged(&self) -> bool {
        self.acknowledged.load(Ordering::SeqCst) > 0
    }

    /// Ends the announcements.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
    }

    fn announce(&self, control: &[SocketAddr]) {
        let mut turn = 0;
        while !self.stopped.load(Ordering::SeqCst) {
            let seq = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
            let body = format!(
                r#"{{"service":"{}","address":"{}","zone":"z1","version":"v1","slots":{},"state":"ready","cold_left_ms":0,"seq":{seq}}}"#,
                self.service, self.address, self.slots
            );
            let path = format!("/instances/{}/heartbeat", self.id);
            // After a failure the next node is called.
            for _ in 0..control.len() {
                let limit = Duration::from_secs(1);
                let to = control[turn % control.len()];
                turn += 1;
                let answer = http::call(to, "POST", &path, body.as_bytes(), limit);
                if answer.is_ok_and(|it| it.status() == 200) {
                    self.acknowledged.fetch_add(1, Ordering::SeqCst);
                    break;
                }
            }
            thread::sleep(HEARTBEAT);
        }
    }

    fn serve(&self, mut stream: TcpStream, handler: &Handler) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut buf = Vec::new();
        while let Some(mut req) = http::read_head(&mut stream, &mut buf)? {
            let meant = req.header("expect-instance");
            if meant.is_some_and(|it| it != self.id) {
                http::read_body(&mut stream, &mut buf, &mut req, false)?;
                http::respond(&mut stream, "421 Misdirected Request", &[], b"")?;
                continue;
            }
            if req.target() == "/healthz" {
                let headers = [("Instance-Id", self.id.as_str())];
                http::respond(&mut stream, "200 OK", &headers, b"")?;
                continue;
            }
            if !handler(self, req, &mut stream, &mut buf)? {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Records that this server begins to run a request.
    pub fn record_run(&self, req: &Message) {
        self.runs.lock().expect("no panic").push(Run {
            id: req.header("attempt-id").unwrap_or_default().to_owned(),
        });
    }

    /// Works on a request for `span`. Returns false at once if its connection is closed meanwhile.
    pub fn work(stream: &TcpStream, span: Duration) -> bool {
        let until = Instant::now() + span;
        // A timeout shows that the connection is open and quiet.
        drop(stream.set_read_timeout(Some(Duration::from_millis(5))));
        let mut is_open = true;
        while is_open && Instant::now() < until {
            is_open = match stream.peek(&mut [0]) {
                Ok(n) => {
                    thread::sleep(Duration::from_millis(5));
                    n > 0
                }
                Err(e) => matches!(
                    e.kind(),
                    io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                ),
            };
        }
        drop(stream.set_read_timeout(None));
        is_open
    }

    /// The answer of a sound server on a streaming route.
    pub fn stream(&self, req: &Message, stream: &mut TcpStream) -> io::Result<()> {
        let id = req.header("attempt-id").unwrap_or_default();
        let signature = signature(id, EVENT);
        let headers = [
            ("Attempt-Id", id),
            ("Response-Signature", signature.as_str()),
            ("Content-Type", "text/event-stream"),
        ];
        http::respond(stream, "200 OK", &headers, EVENT)
    }

    /// The answer of a sound server.
    pub fn answer(&self, req: &Message, stream: &mut TcpStream, body: &[u8]) -> io::Result<()> {
        let id = req.header("attempt-id").unwrap_or_default();
        let signature = signature(id, body);
        let headers = [
            ("Attempt-Id", id),
            ("Response-Signature", signature.as_str()),
            ("Content-Type", "text/plain"),
        ];
        http::respond(stream, "200 OK", &headers, body)
    }
}

/// The one event of a stream.
const EVENT: &[u8] = b"id: 1\ndata: kept\n\n";

/// Binds an answer to its request and body, as the bench's signature does.
pub fn signature(id: &str, body: &[u8]) -> String {
    let mut hash: u64 = 0xcbf2_9ce4_8422_2325;
    for byte in id.bytes().chain(body.iter().copied()) {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    format!("{hash:016x}.{}", body.len())
}
