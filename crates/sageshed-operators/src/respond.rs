//! Answers of the operators' port.

use sageshed_http::reply;
use sageshed_types::{refusal, rules, verdict};
use serde::Serialize;

use crate::{backend::Trouble, describe, wire};

const JSON: &str = "application/json";
const TEXT: &str = "text/plain; version=0.0.4";

/// A success with a body.
pub(crate) fn json<T: Serialize>(body: &T) -> reply::Whole {
    match serde_json::to_vec(body) {
        Ok(body) => whole(200, JSON, body),
        Err(e) => {
            log::error!(error:% = e; "operators: answer could not be encoded");
            whole(500, TEXT, Vec::new())
        }
    }
}

/// Plain text.
pub(crate) fn text(body: String) -> reply::Whole {
    whole(200, TEXT, body.into_bytes())
}

/// A problem.
pub(crate) fn problem(problem: &wire::Problem) -> reply::Whole {
    reply::Whole {
        status: problem.status,
        content_type: wire::PROBLEM_TYPE,
        ..json(problem)
    }
}

fn whole(status: u16, content_type: &'static str, body: Vec<u8>) -> reply::Whole {
    reply::Whole {
        status,
        content_type,
        body,
    }
}

/// The problem that a refusal before or beside the backend is. Its status stays.
pub(crate) fn early(refusal: &refusal::Refusal) -> wire::Problem {
    let kind = match (refusal.verdict, refusal.reason) {
        (verdict::Verdict::NotRun, verdict::Reason::TooManyOpen | verdict::Reason::Internal) => {
            wire::Kind::Busy
        }
        (verdict::Verdict::NotRun, verdict::Reason::TooLarge) => wire::Kind::TooLarge,
        (verdict::Verdict::NotRun, _) => wire::Kind::BadRequest,
        // A panic after the handler had begun.
        _ => wire::Kind::UnknownFate,
    };
    wire::Problem {
        status: refusal.status,
        ..wire::Problem::new(kind, refusal.detail.as_str())
    }
}

/// The problem that a trouble of the backend is.
pub(crate) fn trouble(trouble: Trouble) -> wire::Problem {
    match trouble {
        Trouble::NotLeader { leader } => {
            let detail = match &leader {
                Some(leader) => format!("nothing was done; ask {leader}, which leads"),
                None => "nothing was done; no leader is known yet, ask again soon".to_owned(),
            };
            wire::Problem {
                leader,
                ..wire::Problem::new(wire::Kind::NotLeader, detail)
            }
        }
        Trouble::NoQuorum => wire::Problem::new(
            wire::Kind::NoQuorum,
            "nothing was done; ask again when a majority of the control VMs is back",
        ),
        Trouble::Unknown => wire::Problem::new(
            wire::Kind::UnknownFate,
            "it was proposed and may still take hold; send it again with the same change id",
        ),
        Trouble::Invalid(why) => wire::Problem::new(wire::Kind::Invalid, why),
        Trouble::Full(why) => wire::Problem::new(wire::Kind::Full, why),
    }
}

/// The answer to a change.
pub(crate) fn outcome(base: rules::Revision, outcome: rules::ChangeOutcome) -> reply::Whole {
    let (kind, detail) = match &outcome {
        rules::ChangeOutcome::Accepted { .. } => return json(&outcome),
        rules::ChangeOutcome::Conflict { revision, between } => (
            wire::Kind::Conflict,
            describe::conflict(base, *revision, between),
        ),
        rules::ChangeOutcome::ChangeIdReused { revision } => (
            wire::Kind::ChangeIdReused,
            format!(
                "another change with this id was accepted as revision {revision}; \
                 choose a new change id"
            ),
        ),
        rules::ChangeOutcome::Invalid { problem } => (wire::Kind::Invalid, problem.clone()),
    };
    problem(&wire::Problem {
        outcome: Some(outcome),
        ..wire::Problem::new(kind, detail)
    })
}
