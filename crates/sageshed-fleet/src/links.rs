//! Which control processes an entry process watches, and which of them passes endpoints on to it.
//!
//! The first link goes to a control process in the availability zone of this process, where there is
//! one, and the others to any two: with the group cut in two, three links reach the larger part, which is
//! the one where changes are accepted. All of them bring configurations. Endpoints come by one link alone,
//! the near one: by each of three, and from whichever zone, their records were the largest part of the
//! bytes between zones. The others bring a digest of what their control process knows, and the near one tells up to
//! where it knows each of the others. A link whose digest differs, and whose control process has known something for
//! [`MAX_DIGEST_LAG`] that the near one was not told, brings endpoints as well, for as long as that holds. Digests alone do not
//! tell: while endpoints change all the time, in a release of thousands, no two agree.

use std::{collections, net};

use sageshed_types::time;

use crate::{directory, messages};

/// Links that are kept.
pub const LINKS: usize = 3;

/// How long a control process that could not be reached is left out while there are others.
const RETRY_DELAY: time::Millis = time::Millis(2_000);

/// How long the near one is left out after that. Each try at one whose VM has no power takes a fifth of
/// [`RETRY_DELAY`], in which another link has to pass endpoints on.
const LOCAL_RETRY_DELAY: time::Millis = time::Millis(8_000);

/// How long a digest may differ. News reaches control processes some milliseconds apart, and entry
/// processes within the time that news is gathered for one answer.
const MAX_DIGEST_LAG: time::Millis = time::Millis(200);

/// Marks of one control process that are kept until the near one is known to have them.
const MAX_MARKS: usize = 64;

/// What a control process has answered.
#[derive(Debug, Clone, Copy)]
pub struct Answer<'a> {
    /// Whether its digest is another than that of this process.
    pub differs: bool,
    /// Whether it has more of the endpoints to tell.
    pub has_more: bool,
    /// Its last change that was news; none from an earlier version.
    pub news: Option<directory::Mark>,
    /// Up to where it knows other control processes.
    pub peers: &'a [(net::Ipv4Addr, directory::Mark)],
}

/// One link.
#[derive(Debug, Clone, Default)]
struct Link {
    target: Option<net::Ipv4Addr>,
    /// Whether the control process has answered since it is held.
    has_answered: bool,
    /// Since when it knows something that the near one was not told, as far as is known.
    differs_since: Option<time::Instant>,
    /// Its marks while digests differed that the near one is not known to have, and when each was told.
    unconfirmed: collections::VecDeque<(time::Instant, directory::Mark)>,
}

impl Link {
    fn clear_difference(&mut self) {
        self.differs_since = None;
        self.unconfirmed.clear();
    }

    /// Its digest differs. It has this mark, and the near one knows it up to `known`.
    fn record_difference(
        &mut self,
        now: time::Instant,
        news: Option<directory::Mark>,
        known: Option<directory::Mark>,
    ) {
        let (Some(news), Some(known)) = (news, known) else {
            self.differs_since.get_or_insert(now);
            return;
        };
        let is_new = self
            .unconfirmed
            .back()
            .is_none_or(|(_, last)| *last != news);
        if is_new && self.unconfirmed.len() < MAX_MARKS {
            self.unconfirmed.push_back((now, news));
        }
        self.confirm(known);
    }

    /// The near one knows it up to `known`.
    fn confirm(&mut self, known: directory::Mark) {
        self.unconfirmed
            .retain(|(_, mark)| mark.start != known.start || mark.change > known.change);
        self.differs_since = self.unconfirmed.front().map(|(at, _)| *at);
    }
}

/// The links and the control processes that are known.
#[derive(Debug)]
pub struct Links {
    availability_zone: String,
    seeds: Vec<net::Ipv4Addr>,
    zones: collections::BTreeMap<net::Ipv4Addr, Option<String>>,
    links: [Link; LINKS],
    /// Up to where the control process that brings endpoints knows the others.
    peers: collections::HashMap<net::Ipv4Addr, directory::Mark>,
    unreachable_since: collections::HashMap<net::Ipv4Addr, time::Instant>,
}

impl Links {
    /// Links of a process in this availability zone that knows these control processes.
    #[must_use]
    pub fn new(availability_zone: &str, seeds: Vec<net::Ipv4Addr>) -> Self {
        Self {
            availability_zone: availability_zone.to_owned(),
            seeds,
            zones: collections::BTreeMap::new(),
            links: std::array::from_fn(|_| Link::default()),
            peers: collections::HashMap::new(),
            unreachable_since: collections::HashMap::new(),
        }
    }

    /// Which control process link `number` goes to. `draw` is a random number.
    ///
    /// The first link takes the near one also from another link, which then goes elsewhere.
    pub fn pick(&mut self, now: time::Instant, number: usize, draw: u64) -> Option<net::Ipv4Addr> {
        self.unreachable_since
            .retain(|_, since| now.since(*since) < LOCAL_RETRY_DELAY);
        let all: Vec<net::Ipv4Addr> = self.zones.keys().chain(&self.seeds).copied().collect();
        let takes =
            |ip: &net::Ipv4Addr| !self.is_unreachable(now, *ip) && !self.is_taken(number, *ip);
        let is_local =
            |ip: &net::Ipv4Addr| self.is_local(*ip) && !self.unreachable_since.contains_key(ip);
        let local = all.iter().copied().find(is_local).filter(|_| number == 0);
        let target = self.links[number].target.filter(takes);
        let chosen = local.or(target).or_else(|| {
            let free: Vec<_> = all.iter().copied().filter(takes).collect();
            let reachable = all
                .iter()
                .copied()
                .filter(|it| !self.is_unreachable(now, *it));
            let reachable: Vec<_> = reachable.collect();
            let from = [free, reachable, all]
                .into_iter()
                .find(|it| !it.is_empty())?;
            let at = usize::try_from(draw).unwrap_or_default() % from.len();
            Some(from[at])
        })?;
        if self.links[number].target != Some(chosen) {
            self.links[number] = Link {
                target: Some(chosen),
                ..Link::default()
            };
        }
        Some(chosen)
    }

    /// What link `number` is to bring of the endpoints.
    #[must_use]
    pub fn wants(&self, now: time::Instant, number: usize) -> messages::Wants {
        let differs = self.links[number].differs_since;
        let lags = differs.is_some_and(|since| now.since(since) >= MAX_DIGEST_LAG);
        if lags || self.source().is_none_or(|source| source == number) {
            messages::Wants::News
        } else {
            messages::Wants::Digest
        }
    }

    /// The link that brings endpoints: the first of those that answer.
    #[must_use]
    pub fn source(&self) -> Option<usize> {
        self.links.iter().position(|it| it.has_answered)
    }

    /// A control process has answered. It may have more of the endpoints to tell: until that has come, what
    /// digests differ by is on its way, and need not come by other links too.
    pub fn answered(&mut self, now: time::Instant, number: usize, answer: &Answer<'_>) {
        self.links[number].has_answered = true;
        if answer.has_more {
            self.links.iter_mut().for_each(Link::clear_difference);
            return;
        }
        if self.source() == Some(number) {
            self.set_peers(answer.peers);
        }
        let link = &mut self.links[number];
        let known = link.target.and_then(|ip| self.peers.get(&ip)).copied();
        if answer.differs {
            link.record_difference(now, answer.news, known);
        } else {
            link.clear_difference();
        }
    }

    fn set_peers(&mut self, peers: &[(net::Ipv4Addr, directory::Mark)]) {
        self.peers = peers.iter().copied().collect();
        for link in &mut self.links {
            let known = link.target.and_then(|ip| self.peers.get(&ip));
            // One that was not told of by marks differs until its digest agrees.
            if let Some(known) = known.filter(|_| !link.unconfirmed.is_empty()) {
                link.confirm(*known);
            }
        }
    }

    /// A control process could not be reached.
    pub fn avoid(&mut self, now: time::Instant, number: usize, ip: net::Ipv4Addr) {
        self.unreachable_since.insert(ip, now);
        self.links[number] = Link::default();
    }

    /// Takes note of control processes and where they are.
    pub fn know(&mut self, control: Vec<messages::ControlVm>) {
        for vm in control {
            let zone = self.zones.entry(vm.ip).or_default();
            if vm.availability_zone.is_some() {
                *zone = vm.availability_zone;
            }
        }
    }

    /// Takes other seeds. Returns whether they are new.
    #[must_use]
    pub fn set_seeds(&mut self, seeds: Vec<net::Ipv4Addr>) -> bool {
        let is_new = seeds != self.seeds;
        self.seeds = seeds;
        is_new
    }

    fn is_unreachable(&self, now: time::Instant, ip: net::Ipv4Addr) -> bool {
        let since = self.unreachable_since.get(&ip);
        since.is_some_and(|it| now.since(*it) < RETRY_DELAY)
    }

    fn is_local(&self, ip: net::Ipv4Addr) -> bool {
        let zone = self.zones.get(&ip);
        zone.is_some_and(|it| it.as_ref() == Some(&self.availability_zone))
    }

    fn is_taken(&self, number: usize, ip: net::Ipv4Addr) -> bool {
        let mut others = self.links.iter().enumerate();
        others.any(|(at, it)| at != number && it.target == Some(ip))
    }
}
