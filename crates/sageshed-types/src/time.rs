//! Instants and durations in milliseconds, for packages that do not read a clock themselves.

use std::{ops, time};

use serde::{Deserialize, Serialize};

/// A reading of a process's monotonic clock, in milliseconds since the process started.
///
/// Readings of different processes are not comparable.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Instant(pub u64);

/// A duration in milliseconds.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// Rounds `ms` up to whole milliseconds. Negative values and NaN become 0. The largest result is
    /// 10^15 ms, about 30,000 years.
    #[must_use]
    pub fn rounded_up(ms: f64) -> Self {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the value is clamped to what fits, and NaN becomes 0"
        )]
        let whole = ms.ceil().clamp(0.0, 1e15) as u64;
        Self(whole)
    }
}

impl Instant {
    /// The time elapsed since `earlier`, or zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }
}

impl ops::Add<Millis> for Instant {
    type Output = Self;

    fn add(self, span: Millis) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}

impl ops::Add for Millis {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl From<Millis> for time::Duration {
    fn from(span: Millis) -> Self {
        Self::from_millis(span.0)
    }
}

impl From<time::Duration> for Millis {
    fn from(span: time::Duration) -> Self {
        Self(u64::try_from(span.as_millis()).unwrap_or(u64::MAX))
    }
}
