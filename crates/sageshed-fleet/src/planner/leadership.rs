//! The span in which a leader may give orders.

use sageshed_types::time;

/// Taken on top of a lease, in milliseconds: timers fire late, and an order is on its way for some time.
const ORDER_MARGIN: time::Millis = time::Millis(300);

/// The leadership of one leader.
///
/// An engine that checks no fence obeys two leaders. The one before may give orders for as long as it
/// believes to have its majority, which ends before another can be elected. From then on a lease has to
/// pass. The clock has to go on while a VM is suspended: a leader that slept through the end of its
/// majority would go on by a clock that stood still.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Leadership {
    /// No order before.
    orders_from: time::Instant,
}

impl Leadership {
    /// Of a leader that was elected at `now`.
    #[must_use]
    pub fn elected(now: time::Instant, lease: time::Millis) -> Self {
        Self {
            orders_from: now + lease + ORDER_MARGIN,
        }
    }

    /// When it begins.
    #[must_use]
    pub const fn orders_from(self) -> time::Instant {
        self.orders_from
    }

    /// Whether it has begun.
    #[must_use]
    pub fn may_order(self, now: time::Instant) -> bool {
        now >= self.orders_from
    }
}
