//! The span in which a leader may give orders.

use sageshed_types::time;

/// Taken on top of a lease, in milliseconds: timers fire late, and an order is on its way for some time.
const MARGIN: time::Millis = time::Millis(300);

/// The tenure of one leader.
///
/// An engine that checks no fence obeys two leaders. The one before may give orders for as long as it
/// believes to have its majority, which ends before another can be elected. From then on a lease has to
/// pass. The clock has to go on while a VM is suspended: a leader that slept through the end of its
/// majority would go on by a clock that stood still.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Tenure {
    /// No order before.
    from: time::Instant,
}

impl Tenure {
    /// Of a leader that was elected at `now`.
    #[must_use]
    pub fn elected(now: time::Instant, lease: time::Millis) -> Self {
        Self {
            from: now + lease + MARGIN,
        }
    }

    /// When it begins.
    #[must_use]
    pub const fn from(self) -> time::Instant {
        self.from
    }

    /// Whether it has begun.
    #[must_use]
    pub fn has_begun(self, now: time::Instant) -> bool {
        now >= self.from
    }
}
