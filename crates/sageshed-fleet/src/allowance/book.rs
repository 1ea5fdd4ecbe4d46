//! All that one process knows of allowances: its shares, and the pots of which it is the home.

use std::{collections, net};

use sageshed_types::time;

use super::{
    Answer, Draw, Given, HOMES, Key, LISTED, LOST, PRODUCERS, Pot, Pull, Question, SETTLED, Share,
    Terms, named, producers,
};

/// Allowances that one message draws. An answer names each with its units in some 20 bytes, and has to fit into
/// one datagram of 1,200.
const MAX_COLLECTED: usize = 40;

/// The same where some stand in no configuration: with its terms each takes some 70 bytes.
const MAX_COLLECTED_REPORTED: usize = 14;

/// An answer, and what has to be sent besides.
#[derive(Debug, Clone, PartialEq)]
pub struct Reply {
    /// To the one that asked.
    pub answer: Answer,
    /// To the producers, if the home needs more.
    pub pull: Option<(Pull, Vec<net::Ipv4Addr>)>,
}

/// The allowances as one entry process knows them.
#[derive(Debug, Clone)]
pub struct Book {
    own: net::Ipv4Addr,
    terms: collections::HashMap<Key, Terms>,
    /// Those that endpoints have named.
    named: named::NamedTerms,
    shares: collections::HashMap<Key, Share>,
    pots: collections::HashMap<Key, Pot>,
    /// The entry processes and when each was listed last.
    last_listed: collections::BTreeMap<net::Ipv4Addr, time::Instant>,
    /// Those that are listed now.
    current: Vec<net::Ipv4Addr>,
    /// The producers of each allowance that was needed, by that list.
    ranked: collections::HashMap<Key, Vec<net::Ipv4Addr>>,
    /// Homes that did not answer, and when.
    unresponsive: collections::HashMap<net::Ipv4Addr, time::Instant>,
    /// How many were listed when the list was last unsettled, and when that was.
    last_growth: (usize, time::Instant),
    /// When a control process answered last.
    control_heard_at: time::Instant,
    next_id: u64,
}

impl Book {
    /// Of the process at `own`, with a number of its start, so that what was sent to the start before is not taken
    /// for an answer to this one.
    #[must_use]
    pub fn new(own: net::Ipv4Addr, start: u64) -> Self {
        Self {
            own,
            terms: collections::HashMap::new(),
            named: named::NamedTerms::default(),
            shares: collections::HashMap::new(),
            pots: collections::HashMap::new(),
            last_listed: collections::BTreeMap::new(),
            current: Vec::new(),
            ranked: collections::HashMap::new(),
            unresponsive: collections::HashMap::new(),
            last_growth: (0, time::Instant(0)),
            control_heard_at: time::Instant(0),
            next_id: start,
        }
    }

    /// Takes the allowances of a configuration in place of those before.
    pub fn set_terms(&mut self, terms: impl IntoIterator<Item = (Key, Terms)>) {
        self.terms = terms.into_iter().collect();
        self.remove_unknown();
    }

    /// Forgets what it has of allowances that there are no more.
    fn remove_unknown(&mut self) {
        let (configured, named) = (&self.terms, &self.named);
        let is_known = |key: &Key| configured.contains_key(key) || named.get(*key).is_some();
        self.pots.retain(|key, _| is_known(key));
        self.shares.retain(|key, _| is_known(key));
        self.ranked.retain(|key, _| is_known(key));
    }

    /// Takes the list of entry processes.
    pub fn set_entries(&mut self, now: time::Instant, entries: &[net::Ipv4Addr]) {
        for ip in &self.current {
            self.last_listed.insert(*ip, now);
        }
        self.heard_control(now);
        self.current = entries.to_vec();
        for ip in entries {
            self.last_listed.insert(*ip, now);
        }
        self.expire_entries(now);
        let count = self.last_listed.len();
        if count * 10 > self.last_growth.0 * 11 {
            self.last_growth = (count, now);
        }
        self.ranked.clear();
    }

    /// A control process has answered.
    pub fn heard_control(&mut self, now: time::Instant) {
        self.control_heard_at = now;
    }

    /// Forgets processes that have not been listed for long.
    fn expire_entries(&mut self, now: time::Instant) {
        if self.last_listed.len() == self.current.len() {
            return;
        }
        let before = self.last_listed.len();
        let current: collections::HashSet<_> = self.current.iter().collect();
        self.last_listed
            .retain(|ip, at| current.contains(ip) || now.since(*at) <= LISTED);
        if self.last_listed.len() != before {
            self.last_growth.0 = self.last_growth.0.min(self.last_listed.len());
            self.ranked.clear();
        }
    }

    /// Whether there is any allowance.
    #[must_use]
    pub fn has_any(&self) -> bool {
        !self.terms.is_empty() || !self.named.is_empty()
    }

    /// What an allowance is, if there is one.
    #[must_use]
    pub fn terms(&self, of: Key) -> Option<Terms> {
        let configured = self.terms.get(&of).copied();
        configured.or_else(|| self.named.get(of))
    }

    /// A question to the homes of an allowance, but for those that did not answer lately.
    pub fn question(&mut self, now: time::Instant, of: Key) -> Question {
        self.unresponsive.retain(|_, at| now.since(*at) < LOST);
        // Processes that are gone count as producers for a while, but answer nobody: while VMs are exchanged one
        // after the other, all three homes of some workspace were gone for seconds.
        let ranked = self.producers(of).to_vec();
        // A list without half of them is that of a control process that has just started: the homes are there.
        let is_whole = self.current.len() * 2 >= self.last_listed.len();
        let is_there = |it: &net::Ipv4Addr| !is_whole || self.current.contains(it);
        let homes = ranked.into_iter().filter(is_there).take(HOMES);
        let there = homes.filter(|it| !self.unresponsive.contains_key(it));
        Question::new(there.collect())
    }

    /// A home did not answer.
    pub fn passed_over(&mut self, now: time::Instant, home: net::Ipv4Addr) {
        self.unresponsive.insert(home, now);
    }

    /// A number for a question, which no other of this process has.
    pub fn next_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    fn producers(&mut self, of: Key) -> &[net::Ipv4Addr] {
        let listed = &self.last_listed;
        self.ranked.entry(of).or_insert_with(|| {
            let entries: Vec<_> = listed.keys().copied().collect();
            producers(of, &entries)
        })
    }

    /// Answers a question of `from` as the home.
    pub fn draw(&mut self, now: time::Instant, from: net::Ipv4Addr, draw: &Draw) -> Reply {
        if let Some(named) = &draw.named {
            self.named.learn(now, draw.of, named);
        }
        let Some(terms) = self.terms(draw.of) else {
            // By the configuration that is in force here there is no such bound.
            return Reply {
                answer: Answer::Granted,
                pull: None,
            };
        };
        let producers = self.producers(draw.of).len();
        let pot = self.pots.entry(draw.of);
        let pot = pot.or_insert_with(|| Pot::empty(now));
        let answer = pot.draw(now, &terms, producers, from, draw);
        let needs_more = matches!(answer, Answer::Soon(_)) && pot.may_collect_again(now);
        let draws = needs_more || pot.is_collection_due(now, &terms, producers);
        let pull = draws.then(|| self.start_collection(now, vec![draw.of]).pop());
        Reply {
            answer,
            pull: pull.flatten(),
        }
    }

    fn is_due(&mut self, now: time::Instant, of: Key) -> bool {
        let Some(terms) = self.terms(of) else {
            return false;
        };
        let producers = self.producers(of).len();
        let pot = self.pots.entry(of).or_insert_with(|| Pot::empty(now));
        pot.is_collection_due(now, &terms, producers)
    }

    /// Draws for all allowances of which this process is the first home, where it is time. Returns what to send
    /// to whom.
    pub fn tick(&mut self, now: time::Instant) -> Vec<(Pull, Vec<net::Ipv4Addr>)> {
        self.expire_entries(now);
        let own = self.own;
        if self.named.expire(now) {
            self.remove_unknown();
        }
        // Of a limit that an endpoint has named only a process is the home that was asked.
        let pots = &self.pots;
        let asked = self.named.keys().filter(|key| pots.contains_key(key));
        let keys: Vec<Key> = self.terms.keys().copied().chain(asked).collect();
        let due = keys.into_iter().filter(|of| {
            let is_first = self.producers(*of).first() == Some(&own);
            is_first && self.is_due(now, *of)
        });
        let due = due.collect();
        self.start_collection(now, due)
    }

    /// Begins a drawing for these allowances: one message to each producer, with all that it has a share of.
    fn start_collection(
        &mut self,
        now: time::Instant,
        due: Vec<Key>,
    ) -> Vec<(Pull, Vec<net::Ipv4Addr>)> {
        let id = self.next_id();
        let mut by_producer: collections::BTreeMap<net::Ipv4Addr, Vec<Key>> =
            collections::BTreeMap::new();
        for of in due {
            let own = self.own;
            let all = self.producers(of).to_vec();
            let others: Vec<_> = all.iter().copied().filter(|it| *it != own).collect();
            if let Some(pot) = self.pots.get_mut(&of) {
                pot.start_collection(now, id, &others);
            }
            if others.len() < all.len() {
                self.collect_own(now, of);
            }
            for other in others {
                by_producer.entry(other).or_default().push(of);
            }
        }
        let mut pulls: Vec<(Pull, Vec<net::Ipv4Addr>)> = Vec::new();
        for (to, all) in by_producer {
            let has_named = all.iter().any(|key| self.named.get(*key).is_some());
            let most = if has_named {
                MAX_COLLECTED_REPORTED
            } else {
                MAX_COLLECTED
            };
            for of in all.chunks(most) {
                match pulls.iter_mut().find(|(pull, _)| pull.of == of) {
                    Some((_, group)) => group.push(to),
                    None => pulls.push((self.pull(now, id, of), vec![to])),
                }
            }
        }
        pulls
    }

    fn pull(&self, now: time::Instant, id: u64, of: &[Key]) -> Pull {
        let named = of.iter();
        let named = named.filter_map(|key| Some((*key, self.named.to_named(now, *key)?)));
        Pull {
            id,
            of: of.to_vec(),
            named: named.collect(),
        }
    }

    fn collect_own(&mut self, now: time::Instant, of: Key) {
        let units = self.take_own_share(now, of);
        let producers = self.producers(of).len();
        let own = self.own;
        if let (Some(terms), Some(pot)) = (self.terms(of), self.pots.get_mut(&of)) {
            pot.fill(now, &terms, producers, own, units);
        }
    }

    /// What this process yields of an allowance. Nothing until its list of entry processes has settled, and
    /// nothing once the others may have forgotten it.
    fn take_own_share(&mut self, now: time::Instant, of: Key) -> f64 {
        let own = self.own;
        let ranked = self.producers(of);
        let (count, yields) = (ranked.len(), ranked.contains(&own));
        let listed = self.last_listed.len();
        let is_settled =
            listed >= PRODUCERS || (listed > 0 && now.since(self.last_growth.1) >= SETTLED);
        // Control takes a process that it does not reach for gone, and the others take another in its place once
        // they have forgotten it. By then it must have stopped: in a cut of half a minute two fifths of 73
        // processes yielded two fifths of a quota beside the whole.
        let is_listed = now.since(self.control_heard_at) <= LISTED;
        let yields = yields && is_settled && is_listed;
        let Some(terms) = self.terms(of).filter(|_| yields) else {
            return 0.0;
        };
        let share = self.shares.entry(of).or_default();
        share.take(now, &terms, count)
    }

    /// Gives a home what this process has of what it draws.
    pub fn give(&mut self, now: time::Instant, pull: &Pull) -> Given {
        for (of, named) in &pull.named {
            self.named.learn(now, *of, named);
        }
        let units = pull.of.iter();
        let units = units.map(|of| (*of, self.take_own_share(now, *of)));
        Given {
            units: units.collect(),
            id: pull.id,
        }
    }

    /// Takes what `from` gives to a drawing.
    pub fn take(&mut self, now: time::Instant, from: net::Ipv4Addr, given: &Given) {
        for (of, units) in &given.units {
            let producers = self.producers(*of).len();
            if let (Some(terms), Some(pot)) = (self.terms(*of), self.pots.get_mut(of)) {
                pot.take(now, &terms, producers, (from, given.id, *units));
            }
        }
    }

    /// The allowances of which this process is a home, with what it has of each.
    pub fn pots(&self) -> impl Iterator<Item = (Key, f64)> {
        self.pots.iter().map(|(key, pot)| (*key, pot.units()))
    }
}
