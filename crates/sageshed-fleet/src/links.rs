//! Which control processes an entry process watches, and which of them passes endpoints on to it.
//!
//! The first link goes to a control process in the availability zone of this process, where there is
//! one, and the others to any two: with the group cut in two, three links reach the larger part, which is
//! the one where changes are accepted. All of them bring configurations. Endpoints come by one link alone,
//! the near one: by each of three, and from whichever zone, their records were the largest part of the
//! bytes between zones. The others bring a digest of what their control process knows, and the near one tells up to
//! where it knows each of the others. A link whose digest differs, and whose control process has known something for
//! [`LAG`] that the near one was not told, brings endpoints as well, for as long as that holds. Digests alone do not
//! tell: while endpoints change all the time, in a release of thousands, no two agree.

use std::{collections, net};

use sageshed_types::time;

use crate::{directory, messages};

/// Links that are kept.
pub const LINKS: usize = 3;

/// How long a control process that could not be reached is left out while there are others.
const AVOIDED: time::Millis = time::Millis(2_000);

/// How long the near one is left out after that. Each try at one whose VM has no power takes a fifth of
/// [`AVOIDED`], in which another link has to pass endpoints on.
const NEAR_AVOIDED: time::Millis = time::Millis(8_000);

/// How long a digest may differ. News reaches control processes some milliseconds apart, and entry
/// processes within the time that news is gathered for one answer.
const LAG: time::Millis = time::Millis(200);

/// Marks of one control process that are kept until the near one is known to have them.
const MARKS_KEPT: usize = 64;

/// What a control process has answered.
#[derive(Debug, Clone, Copy)]
pub struct Answer<'a> {
    /// Whether its digest is another than that of this process.
    pub differs: bool,
    /// Whether it has more of the endpoints to tell.
    pub has_more: bool,
    /// Its last change that was news; none from an earlier version.
    pub news: Option<directory::Cursor>,
    /// Up to where it knows other control processes.
    pub peers: &'a [(net::Ipv4Addr, directory::Cursor)],
}

/// One link.
#[derive(Debug, Clone, Default)]
struct Link {
    held: Option<net::Ipv4Addr>,
    /// Whether the control process has answered since it is held.
    has_answered: bool,
    /// Since when it knows something that the near one was not told, as far as is known.
    differs_since: Option<time::Instant>,
    /// Its marks while digests differed that the near one is not known to have, and when each was told.
    untold: collections::VecDeque<(time::Instant, directory::Cursor)>,
}

impl Link {
    fn agrees(&mut self) {
        self.differs_since = None;
        self.untold.clear();
    }

    /// Its digest differs. It has this mark, and the near one knows it up to `known`.
    fn differs(
        &mut self,
        now: time::Instant,
        news: Option<directory::Cursor>,
        known: Option<directory::Cursor>,
    ) {
        let (Some(news), Some(known)) = (news, known) else {
            self.differs_since.get_or_insert(now);
            return;
        };
        let is_new = self.untold.back().is_none_or(|(_, last)| *last != news);
        if is_new && self.untold.len() < MARKS_KEPT {
            self.untold.push_back((now, news));
        }
        self.told(known);
    }

    /// The near one knows it up to `known`.
    fn told(&mut self, known: directory::Cursor) {
        self.untold
            .retain(|(_, mark)| mark.start != known.start || mark.change > known.change);
        self.differs_since = self.untold.front().map(|(at, _)| *at);
    }
}

/// The links and the control processes that are known.
#[derive(Debug)]
pub struct Links {
    availability_zone: String,
    seeds: Vec<net::Ipv4Addr>,
    known: collections::BTreeMap<net::Ipv4Addr, Option<String>>,
    each: [Link; LINKS],
    /// Up to where the control process that brings endpoints knows the others.
    peers: collections::HashMap<net::Ipv4Addr, directory::Cursor>,
    avoided: collections::HashMap<net::Ipv4Addr, time::Instant>,
}

impl Links {
    /// Links of a process in this availability zone that knows these control processes.
    #[must_use]
    pub fn new(availability_zone: &str, seeds: Vec<net::Ipv4Addr>) -> Self {
        Self {
            availability_zone: availability_zone.to_owned(),
            seeds,
            known: collections::BTreeMap::new(),
            each: std::array::from_fn(|_| Link::default()),
            peers: collections::HashMap::new(),
            avoided: collections::HashMap::new(),
        }
    }

    /// Which control process link `number` goes to. `draw` is a random number.
    ///
    /// The first link takes the near one also from another link, which then goes elsewhere.
    pub fn pick(&mut self, now: time::Instant, number: usize, draw: u64) -> Option<net::Ipv4Addr> {
        self.avoided
            .retain(|_, since| now.since(*since) < NEAR_AVOIDED);
        let all: Vec<net::Ipv4Addr> = self.known.keys().chain(&self.seeds).copied().collect();
        let takes = |ip: &net::Ipv4Addr| !self.is_avoided(now, *ip) && !self.is_held(number, *ip);
        let is_near = |ip: &net::Ipv4Addr| self.is_near(*ip) && !self.avoided.contains_key(ip);
        let near = all.iter().copied().find(is_near).filter(|_| number == 0);
        let held = self.each[number].held.filter(takes);
        let chosen = near.or(held).or_else(|| {
            let free: Vec<_> = all.iter().copied().filter(takes).collect();
            let reachable = all.iter().copied().filter(|it| !self.is_avoided(now, *it));
            let reachable: Vec<_> = reachable.collect();
            let from = [free, reachable, all]
                .into_iter()
                .find(|it| !it.is_empty())?;
            let at = usize::try_from(draw).unwrap_or_default() % from.len();
            Some(from[at])
        })?;
        if self.each[number].held != Some(chosen) {
            self.each[number] = Link {
                held: Some(chosen),
                ..Link::default()
            };
        }
        Some(chosen)
    }

    /// What link `number` is to bring of the endpoints.
    #[must_use]
    pub fn wants(&self, now: time::Instant, number: usize) -> messages::DirectoryDetail {
        let differs = self.each[number].differs_since;
        let lags = differs.is_some_and(|since| now.since(since) >= LAG);
        if lags || self.source().is_none_or(|source| source == number) {
            messages::DirectoryDetail::News
        } else {
            messages::DirectoryDetail::Digest
        }
    }

    /// The link that brings endpoints: the first of those that answer.
    #[must_use]
    pub fn source(&self) -> Option<usize> {
        self.each.iter().position(|it| it.has_answered)
    }

    /// A control process has answered. It may have more of the endpoints to tell: until that has come, what
    /// digests differ by is on its way, and need not come by other links too.
    pub fn answered(&mut self, now: time::Instant, number: usize, answer: &Answer<'_>) {
        self.each[number].has_answered = true;
        if answer.has_more {
            self.each.iter_mut().for_each(Link::agrees);
            return;
        }
        if self.source() == Some(number) {
            self.learn_peers(answer.peers);
        }
        let link = &mut self.each[number];
        let known = link.held.and_then(|ip| self.peers.get(&ip)).copied();
        if answer.differs {
            link.differs(now, answer.news, known);
        } else {
            link.agrees();
        }
    }

    fn learn_peers(&mut self, peers: &[(net::Ipv4Addr, directory::Cursor)]) {
        self.peers = peers.iter().copied().collect();
        for link in &mut self.each {
            let known = link.held.and_then(|ip| self.peers.get(&ip));
            // One that was not told of by marks differs until its digest agrees.
            if let Some(known) = known.filter(|_| !link.untold.is_empty()) {
                link.told(*known);
            }
        }
    }

    /// A control process could not be reached.
    pub fn avoid(&mut self, now: time::Instant, number: usize, ip: net::Ipv4Addr) {
        self.avoided.insert(ip, now);
        self.each[number] = Link::default();
    }

    /// Takes note of control processes and where they are.
    pub fn know(&mut self, control: Vec<messages::ControlVm>) {
        for vm in control {
            let zone = self.known.entry(vm.ip).or_default();
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

    fn is_avoided(&self, now: time::Instant, ip: net::Ipv4Addr) -> bool {
        let since = self.avoided.get(&ip);
        since.is_some_and(|it| now.since(*it) < AVOIDED)
    }

    fn is_near(&self, ip: net::Ipv4Addr) -> bool {
        let zone = self.known.get(&ip);
        zone.is_some_and(|it| it.as_ref() == Some(&self.availability_zone))
    }

    fn is_held(&self, number: usize, ip: net::Ipv4Addr) -> bool {
        let mut others = self.each.iter().enumerate();
        others.any(|(at, it)| at != number && it.held == Some(ip))
    }
}
