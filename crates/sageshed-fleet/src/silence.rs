//! When a request whose endpoint is silent is sent to another endpoint as well.
//!
//! A short silence does not tell a sound endpoint from a dead one: a sound one goes on after a second or more. Sending the
//! request to a second endpoint costs a retry and the prefill of its prompt, so it waits until half of the time is over
//! for which the caller waits for the next event, or until its deadline. The other half is left to the second endpoint.
//!
//! Bytes that are no event don't end a silence: an endpoint in trouble may send them without end.

use sageshed_types::time;

/// The shortest silence of a stream after which another endpoint is tried.
const MIN_STALL: time::Millis = time::Millis(1_000);

/// An endpoint that was given up as silent goes on with its next bytes if none had arrived for this time before. If some had,
/// more of them tell nothing.
pub const MIN_PAUSE: time::Millis = time::Millis(500);

/// The time from the return to a silent endpoint to the next attempt at another one.
pub const SWITCH_INTERVAL: time::Millis = time::Millis(250);

/// How long the endpoint of a stream may send nothing before another one is tried. `patience` is how long the caller waits
/// for the next event from the latest one on; none if there was no event yet, which may still be on time elsewhere.
#[must_use]
pub fn stall_timeout(patience: Option<time::Millis>) -> time::Millis {
    patience.map_or(MIN_STALL, |it| time::Millis(it.0 / 2).max(MIN_STALL))
}

/// The same for an endpoint that sends comments, by which it says that it is at work. A quarter of `patience`, for which the
/// caller waits for the next event, is left to another one.
#[must_use]
pub fn kept_alive_stall_timeout(patience: time::Millis) -> time::Millis {
    time::Millis(patience.0 * 3 / 4).max(MIN_STALL)
}

/// The shortest time after the head of a response for which its body is waited for before the time that it takes is estimated.
const MIN_BODY_TIME: time::Millis = time::Millis(500);

/// How far the body of a response has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyProgress {
    /// The bytes that have arrived.
    pub received: u64,
    /// The bytes that are to follow, if that is known.
    pub left: Option<u64>,
    /// The time since the head arrived.
    pub elapsed: time::Millis,
    /// The time until the deadline of the request.
    pub time_left: time::Millis,
}

impl BodyProgress {
    /// Whether another endpoint is tried: at its rate so far the body will not be complete in time, or its length is not
    /// known and half of the time is over.
    #[must_use]
    pub fn is_late(&self) -> bool {
        let Some(left) = self.left else {
            return self.elapsed >= self.time_left;
        };
        let needed = u128::from(left) * u128::from(self.elapsed.0);
        let possible = u128::from(self.received) * u128::from(self.time_left.0);
        self.elapsed >= MIN_BODY_TIME && needed > possible
    }
}
