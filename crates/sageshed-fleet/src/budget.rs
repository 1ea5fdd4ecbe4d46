//! Limits the number of retries.
//!
//! When a service fails some of its requests, retrying each at once doubles the load on what is left of it.
//! So retries are limited, across all entry processes, to a share of the requests plus a constant. Each
//! entry process uses its part of both: the share of its own requests, and the constant divided by the
//! number of entry processes.
//!
//! Under load, new requests that endpoints reject take each retry as soon as it is left. A stream that has
//! begun can go to few endpoints, and the work for it is lost with it. So it waits for a retry, and new
//! requests get none while one waits ([`RetryBudget::begin_wait`]). It waits only while a retry can be expected before its
//! caller gives the silent stream up ([`RetryBudget::expects_token`]).

use std::collections;

use sageshed_types::time;

/// The share of the limit that is used. The number of entry processes is known with a delay of some hundred
/// milliseconds, and a retry counts where it arrives and not where it was sent.
const USED_SHARE: f64 = 0.6;

/// The retries that all entry processes may send together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryAllowance {
    /// Retries per request.
    pub ratio: f64,
    /// Retries on top of that.
    pub slack: f64,
    /// Length of the sliding window in which both apply.
    pub window: time::Millis,
}

/// The recent requests and retries of one entry process, for each service.
#[derive(Debug)]
pub struct RetryBudget {
    allowance: RetryAllowance,
    services: collections::HashMap<String, Window>,
}

#[derive(Debug)]
struct Window {
    requests: collections::VecDeque<time::Instant>,
    retries: collections::VecDeque<time::Instant>,
    /// From when on the constant part is used.
    slack_from: time::Instant,
    /// The streams that have begun and wait for a retry, by their tickets.
    waiting_streams: collections::BTreeSet<u64>,
    /// The ticket of the next one.
    next_ticket: u64,
}

impl RetryBudget {
    /// Creates an unused budget.
    #[must_use]
    pub fn new(allowance: RetryAllowance) -> Self {
        Self {
            allowance,
            services: collections::HashMap::new(),
        }
    }

    /// Counts a request from a caller for `service`.
    pub fn request(&mut self, now: time::Instant, service: &str) {
        let window = self.window(now, service);
        window.requests.push_back(now);
    }

    /// Withholds the constant part for `service` until one window has passed.
    pub fn withhold_slack(&mut self, now: time::Instant, service: &str) {
        let from = now + self.allowance.window;
        self.window(now, service).slack_from = from;
    }

    /// Whether a retry is left, as one of `entries` processes, that no stream waits for.
    pub fn has_token(&mut self, now: time::Instant, service: &str, entries: usize) -> bool {
        let is_awaited = !self.window(now, service).waiting_streams.is_empty();
        !is_awaited && self.left_for(now, service, entries) >= 1.0
    }

    /// Takes one retry from the budget, as one of `entries` processes. Returns false and takes nothing if
    /// none is left, or a stream waits for it.
    pub fn spend(&mut self, now: time::Instant, service: &str, entries: usize) -> bool {
        self.has_token(now, service, entries) && self.spend_for_stream(now, service, entries)
    }

    /// The same for a stream that has begun, whether it waits or not.
    pub fn spend_for_stream(&mut self, now: time::Instant, service: &str, entries: usize) -> bool {
        if self.left_for(now, service, entries) < 1.0 {
            return false;
        }
        self.window(now, service).retries.push_back(now);
        true
    }

    /// Returns a retry that was taken and is not used.
    pub fn refund(&mut self, now: time::Instant, service: &str) {
        self.window(now, service).retries.pop_back();
    }

    /// Withholds retries of `service` from new requests for a stream that waits for one, until [`Self::end_wait`] is called
    /// with the ticket that this returns.
    pub fn begin_wait(&mut self, now: time::Instant, service: &str) -> u64 {
        let window = self.window(now, service);
        let ticket = window.next_ticket;
        window.next_ticket += 1;
        window.waiting_streams.insert(ticket);
        ticket
    }

    /// Ends what [`Self::begin_wait`] began.
    pub fn end_wait(&mut self, now: time::Instant, service: &str, ticket: u64) {
        self.window(now, service).waiting_streams.remove(&ticket);
    }

    /// Whether a retry is expected to be left within `wait` for the waiting stream of `ticket`, after those that wait for
    /// longer, as one of `entries` processes. Requests are assumed to arrive as in the latest span of that length.
    pub fn expects_token(
        &mut self,
        now: time::Instant,
        service: &str,
        entries: usize,
        ticket: u64,
        wait: time::Millis,
    ) -> bool {
        let RetryAllowance {
            ratio,
            window: span,
            ..
        } = self.allowance;
        let then = now + wait;
        let slack = self.own_slack(then, service, entries);
        let window = self.window(now, service);
        let is_expired = |at: &time::Instant| then.since(*at) > span;
        let is_earlier = |at: &time::Instant| now.since(*at) >= wait;
        let requests =
            count_after(&window.requests, is_expired) + count_after(&window.requests, is_earlier);
        let retries = count_after(&window.retries, is_expired);
        let before = window.waiting_streams.range(..ticket).count();
        (requests as f64 * ratio + slack) * USED_SHARE - (retries + before) as f64 >= 1.0
    }

    /// The retries that are left for each service.
    pub fn left(&mut self, now: time::Instant, entries: usize) -> Vec<(String, f64)> {
        let names: Vec<String> = self.services.keys().cloned().collect();
        let left = names.into_iter().map(|name| {
            let left = self.left_for(now, &name, entries);
            (name, left)
        });
        left.collect()
    }

    fn left_for(&mut self, now: time::Instant, service: &str, entries: usize) -> f64 {
        let ratio = self.allowance.ratio;
        let own_slack = self.own_slack(now, service, entries);
        let window = self.window(now, service);
        let most = (window.requests.len() as f64 * ratio + own_slack) * USED_SHARE;
        most - window.retries.len() as f64
    }

    /// The part of the constant that one of `entries` processes may use at the time `at`.
    fn own_slack(&self, at: time::Instant, service: &str, entries: usize) -> f64 {
        let window = self.services.get(service);
        if window.is_some_and(|it| at < it.slack_from) {
            0.0
        } else {
            self.allowance.slack / entries.max(1) as f64
        }
    }

    fn window(&mut self, now: time::Instant, service: &str) -> &mut Window {
        if !self.services.contains_key(service) {
            let window = Window {
                requests: collections::VecDeque::new(),
                retries: collections::VecDeque::new(),
                slack_from: time::Instant(0),
                waiting_streams: collections::BTreeSet::new(),
                next_ticket: 0,
            };
            self.services.insert(service.to_owned(), window);
        }
        let window = self
            .services
            .get_mut(service)
            .expect("inserted just before if it was missing");
        remove_expired(&mut window.requests, now, self.allowance.window);
        remove_expired(&mut window.retries, now, self.allowance.window);
        window
    }
}

/// The number of `times`, which ascend, after those for which `is_before` holds.
fn count_after(
    times: &collections::VecDeque<time::Instant>,
    is_before: impl Fn(&time::Instant) -> bool,
) -> usize {
    times.len() - times.partition_point(is_before)
}

fn remove_expired(
    times: &mut collections::VecDeque<time::Instant>,
    now: time::Instant,
    span: time::Millis,
) {
    while times.front().is_some_and(|at| now.since(*at) > span) {
        times.pop_front();
    }
}
