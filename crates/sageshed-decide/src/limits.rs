//! Rate limits of callers and rules, as token buckets.
//!
//! A limit applies to all entry processes together. Each process enforces its share, the rate and
//! the burst divided by the number of processes, without any messages: the load balancer in front of
//! them is assumed to spread requests evenly. A caller whose connections all end at one entry process
//! gets one share. A burst share below one request is raised to one, since a bucket that can't hold
//! a whole token would refuse every request.
//!
//! Buckets are created when first needed. A full bucket is equivalent to none, so full buckets are
//! dropped when their number reaches the bound. If all buckets are in use, the request is allowed:
//! the bound protects memory, and a refusal would name a limit that is not exceeded.

use std::collections;

use sageshed_types::{arena, time};

/// Identifies a token bucket by what it applies to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum BucketKey {
    /// The limit of a caller in the settings.
    Caller(arena::CallerKey),
    /// All requests to which the rule limit with this slot applies.
    Rule(u32),
    /// One caller under a rule limit with `per = "caller"`.
    RuleCaller(u32, arena::CallerKey),
    /// One model under a rule limit with `per = "model"`.
    RuleModel(u32, arena::ModelKey),
    /// One service under a rule limit with `per = "model"`.
    RuleService(u32, arena::ServiceKey),
    /// One class under a rule limit with `per = "class"`.
    RuleClass(u32, arena::ClassKey),
}

impl BucketKey {
    /// The slot of the rule limit that the bucket belongs to, if any.
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

/// The share of this process in a rate and a burst.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Share {
    rate_per_ms: f64,
    burst: f64,
}

impl Share {
    /// Computes the share of one of `entries` processes. `rate` is in requests per second.
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

/// All token buckets of one entry process.
#[derive(Debug)]
pub struct Limits {
    buckets: collections::HashMap<BucketKey, Bucket>,
    max: usize,
}

/// The outcome of a limit check for one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitOutcome {
    /// The request is within the limit.
    Within,
    /// The request exceeds the limit. The next token is available after this time, or never.
    Over(Option<time::Millis>),
}

impl Limits {
    /// Creates an empty collection of at most `max` buckets.
    #[must_use]
    pub fn new(max: u32) -> Self {
        Self {
            buckets: collections::HashMap::new(),
            max: max as usize,
        }
    }

    /// The number of buckets in memory.
    #[must_use]
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Whether there are no buckets in memory.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    /// Takes one token from the bucket of `bucket_key`, which is created if it doesn't exist. Returns
    /// whether the request is within the limit.
    pub fn take(
        &mut self,
        now: time::Instant,
        bucket_key: BucketKey,
        share: Share,
    ) -> LimitOutcome {
        if !self.make_room(now, bucket_key) {
            return LimitOutcome::Within;
        }
        let bucket = self.buckets.entry(bucket_key).or_insert(Bucket {
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

    /// Drops the buckets of rule limits whose slots are no longer in use.
    pub fn retain_slots(&mut self, is_in_use: impl Fn(u32) -> bool) {
        self.buckets
            .retain(|bucket_key, _| bucket_key.slot().is_none_or(&is_in_use));
    }

    fn make_room(&mut self, now: time::Instant, bucket_key: BucketKey) -> bool {
        if self.buckets.len() < self.max || self.buckets.contains_key(&bucket_key) {
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
