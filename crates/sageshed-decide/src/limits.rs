//! Token buckets for callers and for rules with a limit.
//!
//! A limit is stated over all entry processes. Each holds its share, the rate and the burst divided
//! by their number, and no message is exchanged: the balancer before them spreads arrivals evenly. A
//! caller whose connections all land on one entry process gets one share. A burst share below one
//! request counts as one, since a bucket that cannot hold a whole token would refuse for ever.
//!
//! Buckets are made when first needed. A bucket that is full again says the same as none, so full
//! ones are dropped when the bound on their number is reached. Should all be in use, the request
//! passes: the bound protects memory, and a refusal would blame a limit that is not used up.

use std::collections;

use sageshed_types::{arena, time};

/// What a bucket belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Owner {
    /// A caller's own limit.
    Caller(arena::CallerKey),
    /// All requests under the rule limit in this slot.
    Rule(u32),
    /// One caller under a rule limit.
    RuleCaller(u32, arena::CallerKey),
    /// One model under a rule limit.
    RuleModel(u32, arena::ModelKey),
    /// One service under a rule limit `per = "model"`.
    RuleService(u32, arena::ServiceKey),
    /// One class under a rule limit.
    RuleClass(u32, arena::ClassKey),
}

impl Owner {
    /// The slot of the rule limit that it stands under.
    #[must_use]
    pub fn slot(self) -> Option<u32> {
        match self {
            Self::Caller(_) => None,
            Self::Rule(slot)
            | Self::RuleCaller(slot, _)
            | Self::RuleModel(slot, _)
            | Self::RuleService(slot, _)
            | Self::RuleClass(slot, _) => Some(slot),
        }
    }
}

/// A rate and a burst, as this process's share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Share {
    rate_per_ms: f64,
    burst: f64,
}

impl Share {
    /// The share of one of `entries` processes in a rate (a second) and a burst.
    #[must_use]
    pub fn new(rate: f64, burst: f64, entries: u32) -> Self {
        let entries = f64::from(entries.max(1));
        Self {
            rate_per_ms: rate.max(0.0) / entries / 1_000.0,
            burst: (burst / entries).max(1.0),
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    share: Share,
    tokens: f64,
    at: time::Instant,
}

impl Bucket {
    fn refill(&mut self, now: time::Instant) {
        let gained = now.since(self.at).0 as f64 * self.share.rate_per_ms;
        self.tokens = (self.tokens + gained).min(self.share.burst);
        self.at = now;
    }
}

/// All buckets of one process.
#[derive(Debug)]
pub struct Limits {
    buckets: collections::HashMap<Owner, Bucket>,
    max: usize,
}

/// What a limit says to one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitOutcome {
    /// Within the limit.
    Within,
    /// Over it; the next token comes after this span, or never.
    Over(Option<time::Millis>),
}

impl Limits {
    /// No bucket yet, and at most `max` later.
    #[must_use]
    pub fn new(max: u32) -> Self {
        Self {
            buckets: collections::HashMap::new(),
            max: max as usize,
        }
    }

    /// How many buckets are held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Whether no bucket is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    /// Takes a token of `owner`'s bucket.
    pub fn take(&mut self, now: time::Instant, owner: Owner, share: Share) -> LimitOutcome {
        if !self.make_room(now, owner) {
            return LimitOutcome::Within;
        }
        let bucket = self.buckets.entry(owner).or_insert(Bucket {
            share,
            tokens: share.burst,
            at: now,
        });
        bucket.refill(now);
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            return LimitOutcome::Within;
        }
        LimitOutcome::Over(wait_for(1.0 - bucket.tokens, share))
    }

    /// Drops the buckets of rule limits that are no longer in force.
    pub fn retain_slots(&mut self, in_force: impl Fn(u32) -> bool) {
        self.buckets
            .retain(|owner, _| owner.slot().is_none_or(&in_force));
    }

    fn make_room(&mut self, now: time::Instant, owner: Owner) -> bool {
        if self.buckets.len() < self.max || self.buckets.contains_key(&owner) {
            return true;
        }
        self.buckets.retain(|_, bucket| {
            bucket.refill(now);
            bucket.tokens < bucket.share.burst
        });
        self.buckets.len() < self.max
    }
}

fn wait_for(tokens: f64, share: Share) -> Option<time::Millis> {
    (share.rate_per_ms > 0.0).then(|| time::Millis::rounded_up(tokens / share.rate_per_ms))
}
