//! Selects the control processes that an entry process watches, and the one that sends it endpoint records.
//!
//! The first link goes to a control process in the availability zone of this process, if there is one, and
//! the others to any two. When the control group is partitioned in two, three links reach the larger side,
//! the one that accepts changes. All links deliver configurations. Endpoint records come over one link
//! only, the *endpoint source*: the first link while its control process responds, or else the next one.
//! When they came over all three, from whichever zone, they made up most of the traffic between zones. The
//! other links deliver a digest of what their control process knows, and the source reports how far its
//! control process is up to date with each of the others. A link delivers endpoint records too while its
//! digest differs and its control process has known something for [`MAX_DIGEST_LAG`] that the source was not
//! told. Digests alone are not enough: while endpoints change all the time, as in a rollout of thousands, no
//! two digests agree.

use std::{collections, net};

use sageshed_types::time;

use crate::{directory, messages};

/// Number of links.
pub const LINK_COUNT: usize = 3;

/// How long an unreachable control process is avoided while there are others.
const RETRY_DELAY: time::Millis = time::Millis(2_000);

/// How long after it was unreachable the first link does not return to the local control process. If its VM
/// has no power, each attempt takes a fifth of [`RETRY_DELAY`], during which another link has to deliver
/// endpoint records.
const LOCAL_RETRY_DELAY: time::Millis = time::Millis(8_000);

/// How long a digest may differ. Changes reach control processes some milliseconds apart, and entry
/// processes within the time that changes are gathered for one response.
const MAX_DIGEST_LAG: time::Millis = time::Millis(200);

/// Cursors of one control process that are kept until the endpoint source is known to have caught up with
/// them.
const MAX_CURSORS: usize = 64;

/// The response of a control process to a watch request.
#[derive(Debug, Clone, Copy)]
pub struct SyncReply<'a> {
    /// Whether its digest differs from that of this process.
    pub differs: bool,
    /// Whether it has more endpoint records to send.
    pub has_more: bool,
    /// Its last change of the directory; none from an earlier version.
    pub news: Option<directory::Cursor>,
    /// Up to where it knows the changes of other control processes.
    pub peers: &'a [(net::Ipv4Addr, directory::Cursor)],
}

/// One link.
#[derive(Debug, Clone, Default)]
struct Link {
    target: Option<net::Ipv4Addr>,
    /// Whether the control process has responded since it was selected.
    has_responded: bool,
    /// Since when it is known to have changes that the endpoint source was not told.
    differs_since: Option<time::Instant>,
    /// Its cursors that arrived with a differing digest and that the endpoint source is not known to have
    /// reached, with the time of each.
    unconfirmed: collections::VecDeque<(time::Instant, directory::Cursor)>,
}

impl Link {
    fn clear_difference(&mut self) {
        self.differs_since = None;
        self.unconfirmed.clear();
    }

    /// Records that its digest differs. `news` is its cursor, and `known` is the cursor up to which the
    /// endpoint source knows it.
    fn record_difference(
        &mut self,
        now: time::Instant,
        news: Option<directory::Cursor>,
        known: Option<directory::Cursor>,
    ) {
        let (Some(news), Some(known)) = (news, known) else {
            self.differs_since.get_or_insert(now);
            return;
        };
        let is_new = self
            .unconfirmed
            .back()
            .is_none_or(|(_, last)| *last != news);
        if is_new && self.unconfirmed.len() < MAX_CURSORS {
            self.unconfirmed.push_back((now, news));
        }
        self.confirm(known);
    }

    /// Drops the cursors that the endpoint source has caught up with.
    fn confirm(&mut self, known: directory::Cursor) {
        self.unconfirmed
            .retain(|(_, cursor)| cursor.start != known.start || cursor.change > known.change);
        self.differs_since = self.unconfirmed.front().map(|(at, _)| *at);
    }
}

/// The links, and all known control processes.
#[derive(Debug)]
pub struct Links {
    availability_zone: String,
    seeds: Vec<net::Ipv4Addr>,
    zones: collections::BTreeMap<net::Ipv4Addr, Option<String>>,
    by_number: [Link; LINK_COUNT],
    /// Up to where the control process of the endpoint source knows the others.
    peers: collections::HashMap<net::Ipv4Addr, directory::Cursor>,
    unreachable_since: collections::HashMap<net::Ipv4Addr, time::Instant>,
}

impl Links {
    /// Creates the links of a process in this availability zone. `seeds` are the control processes to start
    /// with.
    #[must_use]
    pub fn new(availability_zone: &str, seeds: Vec<net::Ipv4Addr>) -> Self {
        Self {
            availability_zone: availability_zone.to_owned(),
            seeds,
            zones: collections::BTreeMap::new(),
            by_number: std::array::from_fn(|_| Link::default()),
            peers: collections::HashMap::new(),
            unreachable_since: collections::HashMap::new(),
        }
    }

    /// Selects the control process that link `number` goes to. `draw` is a random number.
    ///
    /// The first link takes the local control process even from another link, which then goes elsewhere.
    pub fn pick(&mut self, now: time::Instant, number: usize, draw: u64) -> Option<net::Ipv4Addr> {
        self.unreachable_since
            .retain(|_, since| now.since(*since) < LOCAL_RETRY_DELAY);
        let all: Vec<net::Ipv4Addr> = self.zones.keys().chain(&self.seeds).copied().collect();
        let is_available =
            |ip: &net::Ipv4Addr| !self.is_unreachable(now, *ip) && !self.is_taken(number, *ip);
        let is_local =
            |ip: &net::Ipv4Addr| self.is_local(*ip) && !self.unreachable_since.contains_key(ip);
        let local = all.iter().copied().find(is_local).filter(|_| number == 0);
        let target = self.by_number[number].target.filter(is_available);
        let chosen = local.or(target).or_else(|| {
            let free: Vec<_> = all.iter().copied().filter(is_available).collect();
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
        if self.by_number[number].target != Some(chosen) {
            self.by_number[number] = Link {
                target: Some(chosen),
                ..Link::default()
            };
        }
        Some(chosen)
    }

    /// What link `number` requests: endpoint records or a digest.
    #[must_use]
    pub fn requested_detail(&self, now: time::Instant, number: usize) -> messages::DirectoryDetail {
        let differs = self.by_number[number].differs_since;
        let lags = differs.is_some_and(|since| now.since(since) >= MAX_DIGEST_LAG);
        if lags || self.endpoint_source().is_none_or(|source| source == number) {
            messages::DirectoryDetail::News
        } else {
            messages::DirectoryDetail::Digest
        }
    }

    /// The link that delivers endpoint records: the first one whose control process has responded.
    #[must_use]
    pub fn endpoint_source(&self) -> Option<usize> {
        self.by_number.iter().position(|it| it.has_responded)
    }

    /// Handles the response of a control process. While it has more endpoint records to send, the records
    /// that make digests differ are still on their way and need not come over other links.
    pub fn record_reply(&mut self, now: time::Instant, number: usize, reply: &SyncReply<'_>) {
        self.by_number[number].has_responded = true;
        if reply.has_more {
            self.by_number.iter_mut().for_each(Link::clear_difference);
            return;
        }
        if self.endpoint_source() == Some(number) {
            self.set_peers(reply.peers);
        }
        let link = &mut self.by_number[number];
        let known = link.target.and_then(|ip| self.peers.get(&ip)).copied();
        if reply.differs {
            link.record_difference(now, reply.news, known);
        } else {
            link.clear_difference();
        }
    }

    fn set_peers(&mut self, peers: &[(net::Ipv4Addr, directory::Cursor)]) {
        self.peers = peers.iter().copied().collect();
        for link in &mut self.by_number {
            let known = link.target.and_then(|ip| self.peers.get(&ip));
            // A difference that was recorded without cursors lasts until the digests agree.
            if let Some(known) = known.filter(|_| !link.unconfirmed.is_empty()) {
                link.confirm(*known);
            }
        }
    }

    /// Records that a control process could not be reached.
    pub fn mark_unreachable(&mut self, now: time::Instant, number: usize, ip: net::Ipv4Addr) {
        self.unreachable_since.insert(ip, now);
        self.by_number[number] = Link::default();
    }

    /// Adds control processes and their availability zones.
    pub fn add_control_vms(&mut self, control: Vec<messages::ControlVm>) {
        for vm in control {
            let zone = self.zones.entry(vm.ip).or_default();
            if vm.availability_zone.is_some() {
                *zone = vm.availability_zone;
            }
        }
    }

    /// All known control processes, seeds included.
    #[must_use]
    pub fn control_vms(&self) -> collections::BTreeSet<net::Ipv4Addr> {
        self.zones.keys().chain(&self.seeds).copied().collect()
    }

    /// Replaces the seeds. Returns whether they have changed.
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
        let mut others = self.by_number.iter().enumerate();
        others.any(|(at, it)| at != number && it.target == Some(ip))
    }
}
