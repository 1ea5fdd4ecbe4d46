//! From when on a newly elected leader may give orders.

use sageshed_types::time;

/// Added to the lease, since timers fire late and an order takes time on the network.
const ORDER_MARGIN: time::Millis = time::Millis(300);

/// The leadership of one elected leader.
///
/// An engine that doesn't check the fencing token executes the orders of two leaders. The previous leader may give
/// orders for as long as it believes to have a majority, which ends before another leader can be elected. From then on
/// the new leader waits for a lease. The clock has to advance while a VM is suspended: otherwise a leader that was
/// suspended while its majority ended would go on giving orders by a clock that stood still.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Leadership {
    /// No order is given before.
    orders_from: time::Instant,
}

impl Leadership {
    /// The leadership of a leader that was elected at `now`.
    #[must_use]
    pub fn elected(now: time::Instant, lease: time::Millis) -> Self {
        Self {
            orders_from: now + lease + ORDER_MARGIN,
        }
    }

    /// When the first order may be given.
    #[must_use]
    pub const fn orders_from(self) -> time::Instant {
        self.orders_from
    }

    /// Whether orders may be given at `now`.
    #[must_use]
    pub fn may_order(self, now: time::Instant) -> bool {
        now >= self.orders_from
    }
}
