//! What the home of an allowance has.

use std::{collections, net};

use sageshed_types::time;

use super::{Answer, DRAW_AGAIN, DRAW_EVERY, Draw, IN_TOUCH, LOOK_EVERY, SPAN, Terms};

/// How long the answer to a drawing may take until the home counts without it: several times the way there and
/// back between availability zones.
const ANSWERED_IN: time::Millis = time::Millis(15);

/// After this span a process asks again that was told [`Answer::Soon`].
const SOON: time::Millis = time::Millis(8);

/// How long a question that was answered is remembered. It is asked again within some ten milliseconds, where its
/// answer was lost.
const REMEMBERED: time::Millis = time::Millis(500);

/// Answered questions that are remembered at most.
const MOST_REMEMBERED: usize = 256;

/// The part of a pot that is left for more urgent requests while such ones come.
const FOR_URGENT: f64 = 0.25;

/// How long more urgent requests count as coming after the last one.
const URGENT_COMES: time::Millis = time::Millis(1_000);

/// The longest time to come back that is told: behind it nobody knows what will be asked for.
const LONGEST_WAIT: time::Millis = time::Millis(10_000);

/// The units that a home has drawn and not given out.
#[derive(Debug, Clone, PartialEq)]
pub struct Pot {
    /// Less than nothing where the last one took more than there was.
    units: f64,
    /// When each producer gave something last.
    gave: collections::HashMap<net::Ipv4Addr, time::Instant>,
    /// The drawing that is under way, and who has not answered it.
    drawing: u64,
    awaited: Vec<net::Ipv4Addr>,
    drawn_at: Option<time::Instant>,
    /// When units were asked for last, and by which rank.
    asked_at: [Option<time::Instant>; RANKS],
    /// Up to when the rate is promised to those that were told to come back.
    promised_until: time::Instant,
    answered: collections::VecDeque<(time::Instant, (net::Ipv4Addr, u64))>,
}

/// Ranks that are told apart; all behind the last count as the last.
const RANKS: usize = 4;

impl Pot {
    /// Empty: whoever was the home before has spent what there was, for all that this one knows.
    #[must_use]
    pub fn empty(now: time::Instant) -> Self {
        Self {
            units: 0.0,
            gave: collections::HashMap::new(),
            drawing: 0,
            awaited: Vec::new(),
            drawn_at: None,
            asked_at: [None; RANKS],
            promised_until: now,
            answered: collections::VecDeque::new(),
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
            return Answer::Over(LONGEST_WAIT);
        }
        let most = self.most(now, terms, producers);
        self.units = (self.units + draw.returned.max(0.0)).min(most);
        if draw.amount <= 0.0 || self.was_granted(now, from, draw.id) {
            return Answer::Granted;
        }
        let rank = usize::from(draw.rank).min(RANKS - 1);
        self.asked_at[rank] = Some(now);
        let has_urgent = self.asked_at[..rank].iter().flatten();
        let has_urgent = has_urgent
            .into_iter()
            .any(|at| now.since(*at) < URGENT_COMES);
        let left = if has_urgent { most * FOR_URGENT } else { 0.0 };
        // What is larger than the pot is granted by a full one, and paid off before the next.
        let needed = draw.amount.min(most - left);
        if self.units > 0.0 && self.units - left >= needed {
            self.units -= draw.amount;
            self.answered.push_back((now, (from, draw.id)));
            return Answer::Granted;
        }
        if self.awaits(now) || self.may_draw_again(now) {
            return Answer::Soon(SOON);
        }
        Answer::Over(self.promise(now, terms, producers, draw.amount, needed + left))
    }

    /// Whether the answer to this question was lost on its way.
    fn was_granted(&mut self, now: time::Instant, from: net::Ipv4Addr, id: u64) -> bool {
        let is_old = |at: time::Instant| now.since(at) > REMEMBERED;
        while self.answered.front().is_some_and(|(at, _)| is_old(*at))
            || self.answered.len() > MOST_REMEMBERED
        {
            self.answered.pop_front();
        }
        self.answered.iter().any(|(_, it)| *it == (from, id))
    }

    /// Gives one that is refused a time at which `needed` will be there, behind those that were given one
    /// before: a hundred that come back at once would find what one of them needs.
    fn promise(
        &mut self,
        now: time::Instant,
        terms: &Terms,
        producers: usize,
        amount: f64,
        needed: f64,
    ) -> time::Millis {
        let per_ms = terms.per_s / 1_000.0 * self.in_touch(now, producers);
        if per_ms <= 0.0 {
            return LONGEST_WAIT;
        }
        let until_grown = time::Millis::rounded_up((needed - self.units).max(0.0) / per_ms);
        let due = (now + until_grown).max(self.promised_until);
        let wait = due.since(now).min(LONGEST_WAIT);
        if wait < LONGEST_WAIT {
            self.promised_until = due + time::Millis::rounded_up(amount / per_ms);
        }
        wait.max(SOON)
    }

    /// The most that the pot holds: the burst less what has grown at the producers since they were drawn from,
    /// so that both together never hold more. And less where it is in touch with a part of its producers only:
    /// a home that is cut off has what its own share yields.
    fn most(&mut self, now: time::Instant, terms: &Terms, producers: usize) -> f64 {
        let since = self.drawn_at.map_or(SPAN, |at| now.since(at).min(SPAN));
        let most = (terms.stock() - terms.grown(since)) * self.in_touch(now, producers);
        self.units = self.units.min(most);
        most
    }

    /// The part of the producers that gave something lately.
    fn in_touch(&self, now: time::Instant, producers: usize) -> f64 {
        let gave = self.gave.values();
        let count = gave.filter(|at| now.since(**at) <= IN_TOUCH).count();
        (count as f64 / producers.max(1) as f64).min(1.0)
    }

    fn awaits(&self, now: time::Instant) -> bool {
        let is_young = |at: time::Instant| now.since(at) <= ANSWERED_IN;
        !self.awaited.is_empty() && self.drawn_at.is_some_and(is_young)
    }

    /// Whether a home that has too little may draw now.
    #[must_use]
    pub fn may_draw_again(&self, now: time::Instant) -> bool {
        self.drawn_at.is_none_or(|at| now.since(at) >= DRAW_AGAIN)
    }

    /// Whether to draw now: seldom while the pot is full.
    #[must_use]
    pub fn draws_now(&mut self, now: time::Instant, terms: &Terms, producers: usize) -> bool {
        let Some(drawn_at) = self.drawn_at else {
            return true;
        };
        let is_full =
            self.units >= self.most(now, terms, producers) && self.in_touch(now, producers) >= 1.0;
        let every = if is_full { LOOK_EVERY } else { DRAW_EVERY };
        now.since(drawn_at) >= every
    }

    /// Begins the drawing called `id` from `others`.
    pub fn begin(&mut self, now: time::Instant, id: u64, others: &[net::Ipv4Addr]) {
        self.drawing = id;
        self.awaited = others.to_vec();
        self.drawn_at = Some(now);
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
        if id != self.drawing {
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
        self.gave.retain(|_, at| now.since(*at) <= IN_TOUCH);
        self.gave.insert(from, now);
        self.units += units.max(0.0);
        self.most(now, terms, producers);
    }

    /// What there is to spend; less than nothing where the last one took more than there was.
    #[must_use]
    pub fn units(&self) -> f64 {
        self.units
    }
}
