//! The wait of one request for a slot, in the entry process that holds the request.
//!
//! The first responsive coordinator of the service is asked. Without a reply in time, or if it can't tell, the
//! next one is asked, and after the last one the process decides by itself. A request that waits is asked for
//! again, to find out if the coordinator has failed; then the next coordinator is asked as well.

use std::net;

use sageshed_types::time;

use super::SlotDecision;

/// How long a request waits for the process's share of the slots before a coordinator is asked again. Coordinators
/// are responsive again soon after most failures, and know of free slots beyond the share.
pub const RETURN_INTERVAL: time::Millis = time::Millis(50);

/// The interval at which a waiting request is asked for again.
pub const REPEAT_INTERVAL: time::Millis = time::Millis(400);

/// How late a process may wake and still use a grant. One that was suspended can't tell when the grant
/// arrived, and the lease may have ended.
pub const GRANT_TTL: time::Millis = time::Millis(150);

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HolderStep {
    /// Send the request to this coordinator, then wait until [`SlotWait::wake_at`].
    Ask(net::Ipv4Addr),
    /// Wait until [`SlotWait::wake_at`].
    Hold,
    /// Send the request to this endpoint; it has a slot there, granted by this coordinator.
    Granted(net::Ipv4Addr, u64),
    /// Refuse the request.
    Refused {
        /// When its caller should return.
        retry_after: time::Millis,
    },
    /// Decide without a coordinator, within the process's share of the slots.
    DecideLocally,
    /// Decide without a coordinator and without a share: all coordinators have replied that they can't tell. They
    /// do so if the setting is off there, and then nobody keeps to a share.
    DecideUnshared,
}

/// The state of one wait.
#[derive(Debug)]
pub struct SlotWait {
    coordinators: Vec<net::Ipv4Addr>,
    /// Index of the coordinator that was asked last.
    asked: usize,
    /// Whether a reply to the last question is outstanding.
    is_reply_due: bool,
    /// Number of coordinators that can't tell.
    unknown: usize,
    wake_at: time::Instant,
    reply_timeout: time::Millis,
}

impl SlotWait {
    /// Begins a wait. `coordinators` are the responsive ones, in the order in which they are asked, each of which has
    /// `reply_timeout` to reply.
    #[must_use]
    pub fn begin(
        now: time::Instant,
        coordinators: Vec<net::Ipv4Addr>,
        reply_timeout: time::Millis,
    ) -> (Self, HolderStep) {
        let mut wait = Self {
            coordinators,
            asked: 0,
            is_reply_due: false,
            unknown: 0,
            wake_at: now,
            reply_timeout,
        };
        let step = wait.ask(now);
        (wait, step)
    }

    /// When [`Self::on_timeout`] is due unless a reply arrives before.
    #[must_use]
    pub fn wake_at(&self) -> time::Instant {
        self.wake_at
    }

    /// The coordinators that were asked. Those that did not grant the slot are told when the wait ends.
    #[must_use]
    pub fn asked(&self) -> &[net::Ipv4Addr] {
        &self.coordinators[..self.coordinators.len().min(self.asked + 1)]
    }

    /// The coordinator that has failed to reply by now.
    #[must_use]
    pub fn unresponsive(&self, now: time::Instant) -> Option<net::Ipv4Addr> {
        let is_overdue = self.is_reply_due && now >= self.wake_at;
        self.coordinators
            .get(self.asked)
            .copied()
            .filter(|_| is_overdue)
    }

    /// Whether `from` is the coordinator that was asked last.
    #[must_use]
    pub fn is_asked(&self, from: net::Ipv4Addr) -> bool {
        self.coordinators.get(self.asked) == Some(&from)
    }

    /// Handles a reply that is taken up at `now`.
    pub fn on_reply(
        &mut self,
        now: time::Instant,
        from: net::Ipv4Addr,
        decision: SlotDecision,
    ) -> HolderStep {
        if !self.is_asked(from) {
            // A coordinator that was given up. Its slot is returned when the wait ends.
            return HolderStep::Hold;
        }
        match decision {
            SlotDecision::Endpoint(_) if now >= self.wake_at + GRANT_TTL => {
                HolderStep::DecideLocally
            }
            SlotDecision::Endpoint(endpoint) => HolderStep::Granted(from, endpoint),
            SlotDecision::Refuse { retry_after } => HolderStep::Refused { retry_after },
            SlotDecision::Unknown => {
                self.unknown += 1;
                self.ask_next(now)
            }
            SlotDecision::Wait => {
                if self.is_reply_due {
                    self.wake_at = now + REPEAT_INTERVAL;
                }
                self.is_reply_due = false;
                HolderStep::Hold
            }
        }
    }

    /// Handles that no reply has arrived until [`Self::wake_at`].
    pub fn on_timeout(&mut self, now: time::Instant) -> HolderStep {
        if !self.is_reply_due {
            return self.ask(now);
        }
        self.ask_next(now)
    }

    fn ask_next(&mut self, now: time::Instant) -> HolderStep {
        self.asked += 1;
        self.ask(now)
    }

    fn ask(&mut self, now: time::Instant) -> HolderStep {
        let Some(coordinator) = self.coordinators.get(self.asked) else {
            let is_unknown = self.unknown > 0 && self.unknown == self.coordinators.len();
            self.is_reply_due = false;
            return if is_unknown {
                HolderStep::DecideUnshared
            } else {
                HolderStep::DecideLocally
            };
        };
        self.is_reply_due = true;
        self.wake_at = now + self.reply_timeout;
        HolderStep::Ask(*coordinator)
    }
}
