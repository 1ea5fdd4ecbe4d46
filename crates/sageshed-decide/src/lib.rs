//! Pure decisions of an entry process: rules, limits, admission, queues, routing, retries, ejection
//! and leaving.
//!
//! Everything here is a state machine without clock, I/O and threads: [`decider::Decider::step`]
//! takes the time and one [`event::Event`], and returns [`event::Action`]s. The same seed and the
//! same events give the same actions, so a test can cause any order of events.
//!
//! A request meets, in this order:
//!
//! 1. [`rules`]: the first rule that matches decides; none: the default route.
//! 2. [`limits`]: of the rule, then of the caller.
//! 3. [`decider`]'s admission: sent at once, or left waiting in [`queue`], or refused with a true
//!    reason at once. One that may not be repeated is claimed before it is sent.
//! 4. [`router`]: which endpoint, by the estimate of [`learned`] times and the shares of [`fleet`].
//! 5. At the end of a try: [`health`] of the endpoint, and another try within the [`budget`].

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
pub mod router;
pub mod rules;
pub mod settings;
