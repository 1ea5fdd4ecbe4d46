//! What the home of an allowance has.

use std::{collections, net};

use sageshed_types::time;

use super::{Answer, DRAW_AGAIN, DRAW_EVERY, Draw, IN_TOUCH, LOOK_EVERY, SPAN, Terms};

/// How long the answer to a drawing may take until the home counts without it: several times the way there and
/// back between availability zones.
const COLLECT_TIMEOUT: time::Millis = time::Millis(15);

/// After this span a process asks again that was told [`Answer::Soon`].
const RETRY_DELAY: time::Millis = time::Millis(8);

/// How long a question that was answered is remembered. It is asked again within some ten milliseconds, where its
/// answer was lost.
const GRANT_MEMORY: time::Millis = time::Millis(500);

/// Answered questions that are remembered at most.
const MAX_REMEMBERED_GRANTS: usize = 256;

/// The part of a pot that is left for more urgent requests while such ones come.
const URGENT_RESERVE: f64 = 0.25;

/// How long more urgent requests count as coming after the last one.
const URGENT_WINDOW: time::Millis = time::Millis(1_000);

/// The longest time to come back that is told: behind it nobody knows what will be asked for.
const MAX_RETRY_DELAY: time::Millis = time::Millis(10_000);

/// The units that a home has drawn and not given out.
#[derive(Debug, Clone, PartialEq)]
pub struct Pot {
    /// Less than nothing where the last one took more than there was.
    units: f64,
    /// When each producer gave something last.
    last_given: collections::HashMap<net::Ipv4Addr, time::Instant>,
    /// The drawing that is under way, and who has not answered it.
    collection: u64,
    awaited: Vec<net::Ipv4Addr>,
    collected_at: Option<time::Instant>,
    /// When units were asked for last, and by which rank.
    asked_at: [Option<time::Instant>; RANKS],
    /// Up to when the rate is promised to those that were told to come back.
    scheduled_until: time::Instant,
    granted: collections::VecDeque<(time::Instant, (net::Ipv4Addr, u64))>,
}

/// Ranks that are told apart; all behind the last count as the last.
const RANKS: usize = 4;

impl Pot {
    /// Empty: whoever was the home before has spent what there was, for all that this one knows.
    #[must_use]
    pub fn empty(now: time::Instant) -> Self {
        Self {
            units: 0.0,
            last_given: collections::HashMap::new(),
            collection: 0,
            awaited: Vec::new(),
            collected_at: None,
            asked_at: [None; RANKS],
            scheduled_until: now,
            granted: collections::VecDeque::new(),
        }
    }

    /// Answers `draw` of `from`, in a group of `producers`.
    pub fn draw(
        &mut self,
        now: time::Instant,
        terms: &Terms,
        producers: usize,
        from: net::Ipv4Addr,
        draw: &Draw,
    ) -> Answer {
        // A caller may declare anything. A debt of that size would never be paid off, and a debt without end would
        // leave the pot at no number at all.
        if !draw.amount.is_finite() || draw.amount > terms.largest() {
            return Answer::Over(MAX_RETRY_DELAY);
        }
        let capacity = self.capacity(now, terms, producers);
        self.units = (self.units + draw.returned.max(0.0)).min(capacity);
        if draw.amount <= 0.0 || self.is_granted(now, from, draw.id) {
            return Answer::Granted;
        }
        let rank = usize::from(draw.rank).min(RANKS - 1);
        self.asked_at[rank] = Some(now);
        let has_urgent = self.asked_at[..rank].iter().flatten();
        let has_urgent = has_urgent
            .into_iter()
            .any(|at| now.since(*at) < URGENT_WINDOW);
        let reserved = if has_urgent {
            capacity * URGENT_RESERVE
        } else {
            0.0
        };
        // What is larger than the pot is granted by a full one, and paid off before the next.
        let needed = draw.amount.min(capacity - reserved);
        if self.units > 0.0 && self.units - reserved >= needed {
            self.units -= draw.amount;
            self.granted.push_back((now, (from, draw.id)));
            return Answer::Granted;
        }
        if self.is_collecting(now) || self.may_collect_again(now) {
            return Answer::Soon(RETRY_DELAY);
        }
        Answer::Over(self.schedule_retry(now, terms, producers, draw.amount, needed + reserved))
    }

    /// Whether the answer to this question was lost on its way.
    fn is_granted(&mut self, now: time::Instant, from: net::Ipv4Addr, id: u64) -> bool {
        let is_old = |at: time::Instant| now.since(at) > GRANT_MEMORY;
        while self.granted.front().is_some_and(|(at, _)| is_old(*at))
            || self.granted.len() > MAX_REMEMBERED_GRANTS
        {
            self.granted.pop_front();
        }
        self.granted.iter().any(|(_, it)| *it == (from, id))
    }

    /// Gives one that is refused a time at which `needed` will be there, behind those that were given one
    /// before: a hundred that come back at once would find what one of them needs.
    fn schedule_retry(
        &mut self,
        now: time::Instant,
        terms: &Terms,
        producers: usize,
        amount: f64,
        needed: f64,
    ) -> time::Millis {
        let per_ms = terms.per_s / 1_000.0 * self.reachable_share(now, producers);
        if per_ms <= 0.0 {
            return MAX_RETRY_DELAY;
        }
        let time_to_grow = time::Millis::rounded_up((needed - self.units).max(0.0) / per_ms);
        let due = (now + time_to_grow).max(self.scheduled_until);
        let wait = due.since(now).min(MAX_RETRY_DELAY);
        if wait < MAX_RETRY_DELAY {
            self.scheduled_until = due + time::Millis::rounded_up(amount / per_ms);
        }
        wait.max(RETRY_DELAY)
    }

    /// The most that the pot holds: the burst less what has grown at the producers since they were drawn from,
    /// so that both together never hold more. And less where it is in touch with a part of its producers only:
    /// a home that is cut off has what its own share yields.
    fn capacity(&mut self, now: time::Instant, terms: &Terms, producers: usize) -> f64 {
        let since = self.collected_at.map_or(SPAN, |at| now.since(at).min(SPAN));
        let capacity = (terms.stock() - terms.grown(since)) * self.reachable_share(now, producers);
        self.units = self.units.min(capacity);
        capacity
    }

    /// The part of the producers that gave something lately.
    fn reachable_share(&self, now: time::Instant, producers: usize) -> f64 {
        let last_given = self.last_given.values();
        let count = last_given.filter(|at| now.since(**at) <= IN_TOUCH).count();
        (count as f64 / producers.max(1) as f64).min(1.0)
    }

    fn is_collecting(&self, now: time::Instant) -> bool {
        let is_young = |at: time::Instant| now.since(at) <= COLLECT_TIMEOUT;
        !self.awaited.is_empty() && self.collected_at.is_some_and(is_young)
    }

    /// Whether a home that has too little may draw now.
    #[must_use]
    pub fn may_collect_again(&self, now: time::Instant) -> bool {
        self.collected_at
            .is_none_or(|at| now.since(at) >= DRAW_AGAIN)
    }

    /// Whether to draw now: seldom while the pot is full.
    #[must_use]
    pub fn is_collection_due(
        &mut self,
        now: time::Instant,
        terms: &Terms,
        producers: usize,
    ) -> bool {
        let Some(collected_at) = self.collected_at else {
            return true;
        };
        let is_full = self.units >= self.capacity(now, terms, producers)
            && self.reachable_share(now, producers) >= 1.0;
        let every = if is_full { LOOK_EVERY } else { DRAW_EVERY };
        now.since(collected_at) >= every
    }

    /// Begins the drawing called `id` from `others`.
    pub fn start_collection(&mut self, now: time::Instant, id: u64, others: &[net::Ipv4Addr]) {
        self.collection = id;
        self.awaited = others.to_vec();
        self.collected_at = Some(now);
    }

    /// Takes what `from` gives to the drawing `id`. A second answer, or one to an earlier drawing, is dropped:
    /// the network may deliver twice, and what was given is lost rather than counted double.
    pub fn take(
        &mut self,
        now: time::Instant,
        terms: &Terms,
        producers: usize,
        given: (net::Ipv4Addr, u64, f64),
    ) {
        let (from, id, units) = given;
        let Some(at) = self.awaited.iter().position(|it| *it == from) else {
            return;
        };
        if id != self.collection {
            return;
        }
        self.awaited.swap_remove(at);
        self.fill(now, terms, producers, from, units);
    }

    /// Takes what `from` has given, which is this process itself or has answered.
    pub fn fill(
        &mut self,
        now: time::Instant,
        terms: &Terms,
        producers: usize,
        from: net::Ipv4Addr,
        units: f64,
    ) {
        self.last_given.retain(|_, at| now.since(*at) <= IN_TOUCH);
        self.last_given.insert(from, now);
        self.units += units.max(0.0);
        self.capacity(now, terms, producers);
    }

    /// What there is to spend; less than nothing where the last one took more than there was.
    #[must_use]
    pub fn units(&self) -> f64 {
        self.units
    }
}
