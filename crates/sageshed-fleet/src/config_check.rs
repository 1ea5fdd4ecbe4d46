//! The periodic check of an entry process whether it holds the newest configuration.
//!
//! Watches and fetches deliver configurations within milliseconds. The check is a second way that shares no connection,
//! thread or condition with them: it asks one control process after the other for the newest version, also those that
//! no link watches.

use std::{collections, net};

use derive_more::Display;
use sageshed_types::time;
use serde::{Deserialize, Serialize};

/// The time between two checks while no configuration is in force, or a newer one is known.
pub const URGENT_INTERVAL: time::Millis = time::Millis(1_000);

/// The time between two checks otherwise. With 1,970 entry processes, each of five control processes gets 80 checks per
/// second.
pub const INTERVAL: time::Millis = time::Millis(5_000);

/// What an entry process without a configuration waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WaitsFor {
    /// No control process has responded yet.
    #[display("a response of a control process")]
    ControlProcess,
    /// The control processes that have responded hold none.
    #[display("the first configuration to be acknowledged")]
    FirstConfiguration,
    /// A control process holds this version.
    #[display("the transfer of version {_0}")]
    Transfer(u64),
}

impl WaitsFor {
    /// What it waits for if `newest` is the newest version that was announced, by control processes of which at least
    /// one has responded if `has_response`.
    #[must_use]
    pub fn of(has_response: bool, newest: u64) -> Self {
        match (has_response, newest) {
            (_, 1..) => Self::Transfer(newest),
            (true, 0) => Self::FirstConfiguration,
            (false, 0) => Self::ControlProcess,
        }
    }
}

/// Decides when the next check is due, and which control process it goes to.
#[derive(Debug, Default)]
pub struct Schedule {
    last: Option<(time::Instant, net::Ipv4Addr)>,
}

impl Schedule {
    /// The control process to ask now, if a check is due: the one after the last one in the order of addresses.
    pub fn next(
        &mut self,
        now: time::Instant,
        is_urgent: bool,
        control: &collections::BTreeSet<net::Ipv4Addr>,
    ) -> Option<net::Ipv4Addr> {
        let interval = if is_urgent { URGENT_INTERVAL } else { INTERVAL };
        if self.last.is_some_and(|(at, _)| now.since(at) < interval) {
            return None;
        }
        let after = |(_, last): (time::Instant, net::Ipv4Addr)| {
            let mut later = control.iter().copied();
            later.find(|it| *it > last)
        };
        let to = self.last.and_then(after).or(control.first().copied())?;
        self.last = Some((now, to));
        Some(to)
    }
}
