//! Orders to engines.

use std::time::Duration;

use sageshed_types::{endpoints, verdict};

use crate::{classify, client, connection, paths, transport};

/// How long sending an order may take in each of its parts.
const ORDER_LIMIT: Duration = Duration::from_secs(2);
/// The largest answer to an order that is read, in bytes.
const ANSWER_LIMIT: usize = 4 * 1024;

/// What is known of an order after it was sent. What it did is told by the engine's reports only.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Sent {
    /// The engine has taken it.
    Accepted,
    /// The engine refuses it and will not carry it out.
    Refused {
        /// The engine's words.
        problem: String,
    },
    /// Not a byte of it left; the engine has not seen it.
    NotSent {
        /// Why.
        problem: String,
    },
    /// It left, and whether the engine has it is not known.
    Unknown {
        /// Why.
        problem: String,
    },
}

impl client::Client {
    /// Sends an order, on a connection of its own.
    ///
    /// An engine that ignores fencing numbers would also carry out an order that a silent connection
    /// delivers late; a fresh connection cannot have gone silent while it was idle.
    #[must_use]
    pub fn order(&self, address: &str, order: &endpoints::Order) -> Sent {
        let body = match serde_json::to_vec(order) {
            Ok(body) => body,
            Err(e) => {
                return Sent::NotSent {
                    problem: format!("encoding order {}: {e}", order.order),
                };
            }
        };
        let id = format!("order-{}", order.order);
        let answer = self.transport().exchange(&transport::Request {
            method: "POST",
            address,
            path: paths::ORDERS,
            headers: &[("Content-Type", "application/json")],
            body: Some(&body),
            request_id: &id,
            id_optional: true,
            fresh: true,
            limits: connection::Limits {
                first_byte: ORDER_LIMIT,
                gap: ORDER_LIMIT,
                total: ORDER_LIMIT,
            },
        });
        let answer = match answer {
            Ok(answer) => answer,
            Err(e) => return sent_by(&e),
        };
        match answer.status {
            200..300 => Sent::Accepted,
            400 | 403 | 404 | 409 | 412 | 422 => Sent::Refused {
                problem: words(answer.body.read_all(ANSWER_LIMIT)),
            },
            _ => sent_by(&answer.into_error()),
        }
    }
}

fn sent_by(e: &classify::CallError) -> Sent {
    let problem = e.to_string();
    match e.verdict {
        verdict::Verdict::NotRun => Sent::NotSent { problem },
        verdict::Verdict::MayHaveRun | verdict::Verdict::Ran => Sent::Unknown { problem },
    }
}

fn words(body: Result<Vec<u8>, classify::CallError>) -> String {
    match body {
        Ok(body) => String::from_utf8_lossy(&body).into_owned(),
        Err(e) => e.to_string(),
    }
}
