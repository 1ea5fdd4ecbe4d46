//! Answers of the operators' port.

use sageshed_types::rules;
use serde::Serialize;

use crate::{backend::Trouble, describe, wire};

const JSON: &str = "application/json";
const TEXT: &str = "text/plain; version=0.0.4";

/// A success with a body.
pub(crate) fn json<T: Serialize>(body: &T) -> rouille::Response {
    match serde_json::to_vec(body) {
        Ok(bytes) => rouille::Response::from_data(JSON, bytes),
        Err(e) => {
            log::error!(error:% = e; "operators: answer could not be encoded");
            rouille::Response::from_data(TEXT, Vec::new()).with_status_code(500)
        }
    }
}

/// Plain text.
pub(crate) fn text(body: String) -> rouille::Response {
    rouille::Response::from_data(TEXT, body)
}

/// A problem.
pub(crate) fn problem(problem: &wire::Problem) -> rouille::Response {
    let status = problem.status;
    let mut resp = json(problem).with_status_code(status);
    resp.headers.clear();
    resp.with_additional_header("Content-Type", wire::PROBLEM_TYPE)
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
pub(crate) fn outcome(base: rules::Revision, outcome: rules::ChangeOutcome) -> rouille::Response {
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
