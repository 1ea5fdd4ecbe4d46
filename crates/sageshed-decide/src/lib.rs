//! Request handling of an entry process as a deterministic state machine: rules, rate limits,
//! admission, queueing, routing, retries, ejection and draining.
//!
//! There is no clock, I/O or threading here: [`decider::Decider::step`] takes the current time and
//! one [`event::Event`], and returns [`event::Action`]s. The same seed and the same events give the
//! same actions, so a test can produce any order of events.
//!
//! A request passes through these stages:
//!
//! 1. [`rules`]: the first matching rule applies; if none matches, the default route does.
//! 2. [`limits`]: the rate limit of the rule, then that of the caller.
//! 3. Admission in [`decider`]: the request is sent, queued in [`queue`] or refused at once. A
//!    non-repeatable request needs a granted claim before it is sent.
//! 4. [`router`]: chooses the endpoint from the service times in [`learned`] and the share of its
//!    slots that [`fleet`] computes for this process.
//! 5. When an attempt ends, the [`health`] of the endpoint is updated, and a failed request is
//!    retried if the retry [`budget`] allows.

pub mod bits;
pub mod budget;
pub mod decider;
pub mod demand;
pub mod event;
pub mod fleet;
pub mod health;
pub mod learned;
pub mod limits;
pub mod names;
pub mod queue;
pub mod random;
pub mod request;
pub mod request_trace;
pub mod retries;
pub mod router;
pub mod rules;
pub mod settings;
