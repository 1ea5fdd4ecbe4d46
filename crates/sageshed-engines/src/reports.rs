//! Announcements and reports from endpoints, checked before anything believes them.
//!
//! They come as JSON to [`crate::paths::REPORT`] on any entry process. The first report of an
//! incarnation is its announcement.

use std::net;

use derive_more::{Display, Error};
use sageshed_types::endpoints;

/// The largest report that is taken, in bytes.
pub const REPORT_LIMIT: usize = 1 << 20;
/// The answer to a report that was taken.
pub const TAKEN: &str = r#"{"ok":true}"#;
/// The longest name that is taken, in bytes.
const NAME_LIMIT: usize = 200;

/// Why a report is not taken.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum Problem {
    /// It is larger than [`REPORT_LIMIT`].
    #[display("the report has {size} bytes; at most {REPORT_LIMIT} are taken")]
    TooLarge {
        /// Its size in bytes.
        size: usize,
    },
    /// It is not the JSON of a report.
    #[display("the report cannot be read: {detail}")]
    Unreadable {
        /// The decoder's words, with line and column.
        detail: String,
    },
    /// A member has a value that cannot be used.
    #[display("the report of endpoint `{endpoint}`: member `{member}` {detail}")]
    Member {
        /// The endpoint, as it names itself.
        endpoint: String,
        /// Which member.
        member: &'static str,
        /// What is wrong with it.
        detail: String,
    },
}

/// Reads a report and checks its members.
///
/// # Errors
///
/// A [`Problem`] that names the member at fault.
pub fn parse_report(body: &[u8]) -> Result<endpoints::Report, Problem> {
    if body.len() > REPORT_LIMIT {
        return Err(Problem::TooLarge { size: body.len() });
    }
    let report: endpoints::Report =
        serde_json::from_slice(body).map_err(|e| Problem::Unreadable {
            detail: e.to_string(),
        })?;
    match wrong_member(&report) {
        None => Ok(report),
        Some((member, detail)) => Err(Problem::Member {
            endpoint: report.identity.endpoint,
            member,
            detail,
        }),
    }
}

fn wrong_member(report: &endpoints::Report) -> Option<(&'static str, String)> {
    let identity = &report.identity;
    let named = wrong_name("endpoint", &identity.endpoint)
        .or_else(|| wrong_name("availability_zone", &identity.availability_zone));
    if named.is_some() {
        return named;
    }
    if identity.address.parse::<net::SocketAddr>().is_err() {
        let detail = format!("is `{}`, not IP:port", identity.address);
        return Some(("address", detail));
    }
    if identity.slots == 0 {
        return Some(("slots", "is 0".to_owned()));
    }
    match &identity.kind {
        endpoints::Kind::Service { service } => wrong_name("service", service),
        endpoints::Kind::Engine {
            pool, memory_mib, ..
        } => wrong_name("pool", pool).or_else(|| wrong_resident(report, *memory_mib)),
    }
}

fn wrong_name(member: &'static str, name: &str) -> Option<(&'static str, String)> {
    if name.is_empty() {
        return Some((member, "is empty".to_owned()));
    }
    if name.len() > NAME_LIMIT {
        return Some((member, format!("is longer than {NAME_LIMIT} bytes")));
    }
    let odd = name.chars().any(char::is_control);
    odd.then(|| (member, "has a control character".to_owned()))
}

fn wrong_resident(report: &endpoints::Report, memory_mib: u64) -> Option<(&'static str, String)> {
    if memory_mib == 0 {
        return Some(("memory_mib", "is 0".to_owned()));
    }
    report
        .resident
        .iter()
        .find_map(|resident| wrong_name("resident", &resident.model))
}
