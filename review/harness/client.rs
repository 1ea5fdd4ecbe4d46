//! What the clients of several cases share.

use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::Arc,
    time::Duration,
};

use crate::{engine::Server, fleet::Fleet, http, record::Record};

/// A service of plain servers with a route for each kind of request.
pub const CONFIG: &str = r#"{"version":1,"routes":[{"name":"order","host":"app.example","path_prefix":"/order/","kind":"non_idempotent","timeout_ms":800,"latency_target_ms":300,"priority":2,"service":"app","attempts":1},{"name":"status","host":"app.example","path_prefix":"/status/","kind":"idempotent","timeout_ms":800,"latency_target_ms":300,"priority":2,"service":"app","attempts":2},{"name":"draft","host":"app.example","path_prefix":"/draft/","kind":"streaming","timeout_ms":12000,"latency_target_ms":5000,"itl_target_ms":400,"priority":1,"service":"app","attempts":1}],"services":[{"name":"app","health_check":"/healthz","max_connections":100,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// A request of a client.
pub struct Ask<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub deadline_ms: u64,
    pub body: &'a [u8],
}

/// Configures the fleet, and waits until each entry process is ready and serves.
pub fn prepare(fleet: &Fleet, config: &str, servers: &[Arc<Server>], record: &Record) -> bool {
    if !fleet.configure(config, record) {
        record.note("no control process acknowledges the configuration");
        return false;
    }
    let announced = fleet.until(|| servers.iter().all(|it| it.is_acknowledged()));
    let serves = announced
        && (0..fleet.entries.len())
            .all(|at| fleet.until(|| fleet.is_ready(at) && is_served(fleet.front(at))));
    record.note(if serves {
        "all entry processes serve"
    } else {
        "the entry processes do not serve"
    });
    serves
}

fn is_served(front: SocketAddr) -> bool {
    let probe = Ask {
        method: "GET",
        path: "/status/ready",
        id: "ready",
        deadline_ms: 1_000,
        body: b"",
    };
    ask(front, &probe).is_some_and(|it| it.status() == 200)
}

/// Sends one request on a connection of its own. None if no complete answer comes.
pub fn ask(front: SocketAddr, ask: &Ask<'_>) -> Option<http::Message> {
    let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1)).ok()?;
    let limit = Duration::from_millis(ask.deadline_ms + 500);
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.set_write_timeout(Some(limit)).ok()?;
    let head = format!(
        "{} {} HTTP/1.1\r\nHost: app.example\r\nAttempt-Id: {}\r\nDeadline-Ms: {}\r\n\
         Content-Length: {}\r\n\r\n",
        ask.method,
        ask.path,
        ask.id,
        ask.deadline_ms,
        ask.body.len()
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(ask.body);
    stream.write_all(&bytes).ok()?;
    let mut buf = Vec::new();
    let mut answer = http::read_head(&mut stream, &mut buf).ok()??;
    http::read_body(&mut stream, &mut buf, &mut answer, true).ok()?;
    answer.whole.then_some(answer)
}
