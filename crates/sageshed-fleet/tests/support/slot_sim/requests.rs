//! The life of one request: its slot, its endpoint and its end.

use std::net;

use sageshed_fleet::{
    chooser::{AttemptOutcome, BeganAt, Choice, Chooser, EndpointQuery, Pick},
    dialect, entry_peers,
    entry_peers::Datagram,
    reply_times::REPLY_TIMEOUT,
    slots,
    slots::{
        HolderStep, SlotDecision, SlotGrant, SlotRelease, SlotRequest, SlotWait, holder, messages,
    },
};
use sageshed_types::time;

use super::{
    super::PLAIN, DEADLINE_MS, Event, LATENCY_TARGET_MS, QUEUE, Request, SLOTS, Sim, Status,
    WORK_MS,
};

impl Sim {
    /// The id of an attempt: the request, how often it was sent before, and how often a coordinator was asked again.
    fn id(&self, request: usize) -> u64 {
        let item = &self.requests[request];
        (request as u64) << 16 | item.attempt << 8 | item.asks
    }

    pub(super) fn granted(&mut self, holder: usize, from: net::Ipv4Addr, grant: &SlotGrant) {
        let request = usize::try_from(grant.request >> 16).expect("small");
        let is_current = !self.requests[request].is_ended && self.id(request) == grant.request;
        if is_current && self.requests[request].lease == Some(from) {
            return;
        }
        let now = self.now();
        let wait = self.requests[request].wait.as_mut().filter(|_| is_current);
        match wait {
            Some(wait) => {
                let step = wait.on_reply(now, from, grant.decision);
                self.step(request, step);
            }
            None if matches!(grant.decision, SlotDecision::Endpoint(_)) => {
                self.release(holder, from, grant.request, None);
            }
            None => {}
        }
    }

    fn release(
        &mut self,
        holder: usize,
        to: net::Ipv4Addr,
        request: u64,
        seen: Option<messages::SlotOutcome>,
    ) {
        let service = PLAIN.to_owned();
        let released = &mut self.entries[holder].released;
        released.push_back(request);
        if released.len() > 4 {
            released.pop_front();
        }
        let release = SlotRelease {
            request,
            service,
            seen,
        };
        self.send(holder, to, Datagram::SlotRelease(release));
    }

    pub(super) fn begin(&mut self, request: usize) {
        let now = self.now();
        let entry = &mut self.entries[self.requests[request].holder];
        entry
            .unresponsive
            .retain(|_, at| now.since(*at) < time::Millis(1_000));
        let mut coordinators = entry.chooser.slot_coordinators(PLAIN);
        coordinators.retain(|it| !entry.unresponsive.contains_key(it));
        let (wait, step) = SlotWait::begin(now, coordinators, REPLY_TIMEOUT);
        self.requests[request].wait = Some(wait);
        self.step(request, step);
    }

    fn query<'a>(&self, request: &'a Request) -> EndpointQuery<'a> {
        EndpointQuery {
            service: PLAIN,
            wanted: None,
            parts: &[],
            prompt_tokens: 0,
            tried: &request.tried,
            time_left: time::Millis((request.arrived + DEADLINE_MS).saturating_sub(self.now)),
            patience: time::Millis(0),
            time_until_late: time::Millis(0),
            may_be_late: false,
            may_load_adapter: false,
            ignores_slot_share: request.ignores_share,
            began: BeganAt::NotBegun,
        }
    }

    fn step(&mut self, request: usize, step: HolderStep) {
        let now = self.now();
        let holder = self.requests[request].holder;
        let attempt = self.requests[request].attempt;
        let wake_at = self.requests[request].wait.as_ref().map(SlotWait::wake_at);
        let wake_in = wake_at.map_or(0, |it| it.since(now).0).max(1);
        match step {
            HolderStep::Ask(to) => {
                let left = (self.requests[request].arrived + DEADLINE_MS).saturating_sub(self.now);
                let item = &self.requests[request];
                let chooser = &self.entries[holder].chooser;
                let tried = item
                    .tried
                    .iter()
                    .filter_map(|it| chooser.instance_key(*it))
                    .collect();
                let message = SlotRequest {
                    request: self.id(request),
                    service: PLAIN.to_owned(),
                    attempt: slots::SlotAttempt::default(),
                    availability_zone: format!("z{}", holder % 3),
                    tried,
                    priority: 2,
                    workspace: 0,
                    content: request as u64,
                    lease: time::Millis(left),
                    late_in: time::Millis(LATENCY_TARGET_MS),
                    abandoned_in: time::Millis(left),
                    released: self.entries[holder].released.iter().copied().collect(),
                };
                self.send(holder, to, Datagram::SlotRequest(message));
                self.after(wake_in, Event::Wake(request, attempt));
            }
            HolderStep::Hold => self.after(wake_in, Event::Wake(request, attempt)),
            HolderStep::Granted(by, endpoint) => {
                self.requests[request].wait = None;
                let mut chooser =
                    std::mem::replace(&mut self.entries[holder].chooser, Chooser::new("", 1));
                let choice =
                    chooser.follow_slot(now, endpoint, &self.query(&self.requests[request]));
                self.entries[holder].chooser = chooser;
                if let Some(Choice::Send(pick)) = choice {
                    self.requests[request].lease = Some(by);
                    return self.dispatch(request, pick);
                }
                self.release(holder, by, self.id(request), None);
                self.local(request);
            }
            HolderStep::Refused { .. } => self.refuse(request),
            HolderStep::DecideLocally | HolderStep::DecideUnshared => {
                self.requests[request].ignores_share = step == HolderStep::DecideUnshared;
                let wait = self.requests[request].wait.take();
                for to in wait
                    .iter()
                    .flat_map(SlotWait::asked)
                    .copied()
                    .collect::<Vec<_>>()
                {
                    self.release(holder, to, self.id(request), None);
                }
                self.counts.local += 1;
                self.local(request);
            }
        }
    }

    pub(super) fn wake(&mut self, request: usize) {
        let now = self.now();
        let entry = &mut self.entries[self.requests[request].holder];
        if let Some(wait) = &mut self.requests[request].wait {
            if now < wait.wake_at() {
                return;
            }
            if let Some(lost) = wait.unresponsive(now) {
                entry.unresponsive.insert(lost, now);
            }
            let step = wait.on_timeout(now);
            self.step(request, step);
        } else if self.requests[request].local_since.is_some() {
            self.local(request);
        }
    }

    fn local(&mut self, request: usize) {
        let now = self.now();
        let holder = self.requests[request].holder;
        let since = *self.requests[request].local_since.get_or_insert(self.now);
        let mut chooser = std::mem::replace(&mut self.entries[holder].chooser, Chooser::new("", 1));
        let choice = chooser.choose(now, &self.query(&self.requests[request]));
        self.entries[holder].chooser = chooser;
        match choice {
            Choice::Send(pick) => self.dispatch(request, pick),
            Choice::Wait(_)
                if self.now - since >= holder::RETURN_INTERVAL.0
                    && self.entries[holder].chooser.has_slot_coordinators() =>
            {
                let item = &mut self.requests[request];
                item.local_waited += self.now - since;
                item.local_since = None;
                item.asks += 1;
                self.begin(request);
            }
            Choice::Wait(_)
                if self.now - since + self.requests[request].local_waited < self.longest_wait =>
            {
                let attempt = self.requests[request].attempt;
                self.after(5, Event::Wake(request, attempt));
            }
            _ => self.refuse(request),
        }
    }

    fn refuse(&mut self, request: usize) {
        self.counts.refused += 1;
        self.end(request);
    }

    fn end(&mut self, request: usize) {
        let request = &mut self.requests[request];
        request.is_ended = true;
        self.counts.longest_ms = self.counts.longest_ms.max(self.now - request.arrived);
    }

    fn dispatch(&mut self, request: usize, pick: Pick) {
        let endpoint = usize::from(pick.instance.name.as_bytes()[1] - b'0');
        let item = &mut self.requests[request];
        item.local_since = None;
        item.local_waited = 0;
        item.pick = Some(pick);
        item.sent = self.now;
        let attempt = item.attempt;
        self.after(1, Event::Reach(request, attempt, endpoint));
    }

    pub(super) fn reach(&mut self, request: usize, attempt: u64, endpoint: usize) {
        let it = &mut self.endpoints[endpoint];
        let held = it.running + it.queue.len();
        self.counts.most_at_endpoint = self.counts.most_at_endpoint.max(held + 1);
        if it.running < SLOTS {
            it.running += 1;
            it.running -= 1;
            self.start(request, attempt, endpoint);
        } else if it.queue.len() < QUEUE {
            it.queue.push_back((request, attempt));
        } else {
            self.counts.rejected += 1;
            self.after(1, Event::Answer(request, attempt, Status::Rejected));
        }
    }

    /// The first endpoint is slow in 15% of the spans of 600 ms.
    fn is_slow(&self, endpoint: usize) -> bool {
        endpoint == 0 && entry_peers::hash(&(self.seed, self.now / 600)) % 100 < 15
    }

    pub(super) fn start(&mut self, request: usize, attempt: u64, endpoint: usize) {
        self.endpoints[endpoint].running += 1;
        let work = if self.is_slow(endpoint) {
            WORK_MS * 5 / 2
        } else {
            WORK_MS
        };
        self.after(work, Event::Done(request, attempt, endpoint));
    }

    pub(super) fn answered(&mut self, request: usize, status: Status) {
        let now = self.now();
        let item = &mut self.requests[request];
        let Some(pick) = item.pick.take() else { return };
        let (holder, lease) = (item.holder, item.lease.take());
        let took = time::Millis(self.now - item.sent);
        let endpoint = usize::from(pick.instance.name.as_bytes()[1] - b'0');
        let percent = if self.is_slow(endpoint) { 250 } else { 100 };
        let slowdown_percent = self.reports_slowdown.then_some(percent);
        let id = self.id(request);
        let chooser = &mut self.entries[holder].chooser;
        let ran = status != Status::Rejected;
        let outcome = match status {
            Status::Ran => AttemptOutcome::Answered,
            Status::Failed => AttemptOutcome::Failed,
            Status::Rejected => AttemptOutcome::Refused,
        };
        if ran {
            let load = dialect::Load {
                running: 0,
                waiting: u32::try_from(self.endpoints[endpoint].queue.len()).expect("small"),
                slots: u32::try_from(SLOTS).expect("small"),
                slowdown_percent,
            };
            chooser.record_response_start(now, &pick, None, took, Some(load));
        }
        chooser.record_end(now, &pick, None, ran, outcome);
        if let Some(to) = lease {
            let seen = messages::SlotOutcome {
                endpoint: entry_peers::instance_key(&pick.instance),
                took: ran.then_some(took),
                slowdown_percent,
                fault: match status {
                    Status::Ran => None,
                    Status::Failed => Some(entry_peers::EngineFault::Fails),
                    Status::Rejected => Some(entry_peers::EngineFault::Rejects(0)),
                },
            };
            self.release(holder, to, id, Some(seen));
        }
        let item = &mut self.requests[request];
        if status == Status::Ran {
            self.counts.answered += 1;
            self.counts.on_time += u64::from(self.now - item.arrived <= LATENCY_TARGET_MS);
            return self.end(request);
        }
        item.attempt += 1;
        item.tried.push(pick.key);
        if self.now >= item.arrived + DEADLINE_MS {
            return self.refuse(request);
        }
        self.begin(request);
    }
}
