//! How far control processes know each other's directories.
//!
//! A control process that watches another one names in each call the change up to which it knows the other's directory.
//! So each process knows what the others have received from it.
//!
//! The departure of an endpoint is acknowledged only once a majority of the control group knows it. The endpoint may say
//! nothing more, and its requests have to go elsewhere within seconds even if the process that acknowledged is lost.

use std::{collections, net};

use sageshed_types::time;

use crate::directory;

/// The position of one control process in a directory.
#[derive(Debug, Clone, Copy)]
struct Position {
    cursor: directory::Cursor,
    /// When it was reported last.
    at: time::Instant,
}

/// The positions of control processes, by their addresses.
#[derive(Debug, Clone, Default)]
pub struct Positions {
    by_ip: collections::BTreeMap<net::Ipv4Addr, Position>,
}

impl Positions {
    /// Records that the control process at `ip` is at `cursor`. After a restart it may be at an earlier one than before.
    pub fn record(&mut self, now: time::Instant, ip: net::Ipv4Addr, cursor: directory::Cursor) {
        self.by_ip.insert(ip, Position { cursor, at: now });
    }

    /// Each control process with its position.
    pub fn iter(&self) -> impl Iterator<Item = (net::Ipv4Addr, directory::Cursor)> {
        self.by_ip.iter().map(|(ip, it)| (*ip, it.cursor))
    }

    /// Whether the control process at `ip` knows all changes up to `cursor`.
    #[must_use]
    pub fn knows(&self, ip: net::Ipv4Addr, cursor: directory::Cursor) -> bool {
        self.lag(ip, cursor) == Some(0)
    }

    /// The number of changes up to `newest` that the control process at `ip` does not know; none if it has never
    /// reported a position.
    #[must_use]
    pub fn lag(&self, ip: net::Ipv4Addr, newest: directory::Cursor) -> Option<u64> {
        let position = self.by_ip.get(&ip)?;
        let known = position.cursor.position_in(newest.start);
        Some(newest.change.saturating_sub(known))
    }

    /// The time since the control process at `ip` reported its position; none if it never has.
    #[must_use]
    pub fn silence(&self, now: time::Instant, ip: net::Ipv4Addr) -> Option<time::Millis> {
        self.by_ip.get(&ip).map(|it| now.since(it.at))
    }
}
