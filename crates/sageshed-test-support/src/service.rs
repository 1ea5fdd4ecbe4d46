//! What a stand-in service does with a request: it answers with what it was sent.

use std::{io, sync, thread, time::Duration};

use sageshed_engines::headers;

use crate::{
    endpoint::{self, After},
    fault, http,
};

pub(crate) fn handle(
    service: &endpoint::Endpoint,
    conn: &mut http::Connection,
    req: &http::Request,
) -> io::Result<After> {
    service.count_request();
    let fault = service.fault_for_request();
    if let fault::Fault::Late { delay_ms } = fault {
        thread::sleep(Duration::from_millis(delay_ms));
    }
    let id = match fault {
        fault::Fault::Swap => "of-another-request",
        _ => req.header(headers::REQUEST_ID).unwrap_or("none"),
    };
    let slot = service.slots.take(0);
    let key = req.header(headers::IDEMPOTENCY_KEY);
    service
        .shared
        .ledger
        .lock()
        .unwrap_or_else(sync::PoisonError::into_inner)
        .run(id, key);
    service.lock().stats.runs += 1;
    thread::sleep(service.shared.cfg.scaled(service.cfg.first_token_ms));
    drop(slot);
    let body = serde_json::json!({
        "service": service.cfg.name,
        "request_id": id,
        "method": req.method,
        "path": req.path,
        "headers": req.headers,
        "body": String::from_utf8_lossy(&req.body),
    })
    .to_string();
    let sent = [
        ("Content-Type", "application/json"),
        (headers::REQUEST_ID, id),
    ];
    match fault {
        fault::Fault::Stall { .. } => {
            conn.respond_short(200, &sent, body.as_bytes(), body.len() / 2)?;
            conn.hold();
            Ok(After::Close)
        }
        fault::Fault::Cut { .. } => {
            conn.respond_short(200, &sent, body.as_bytes(), body.len() / 2)?;
            Ok(After::Close)
        }
        fault::Fault::EndsUnframed { .. } => {
            conn.respond_unframed(200, &sent, &body.as_bytes()[..body.len() / 2])?;
            Ok(After::Close)
        }
        _ => {
            conn.respond(200, &sent, body.as_bytes())?;
            service.lock().stats.answered += 1;
            Ok(After::Keep)
        }
    }
}
