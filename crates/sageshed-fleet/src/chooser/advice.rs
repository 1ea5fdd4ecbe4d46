//! What a chooser tells others and hears from them, where many entry processes share the engines.

use std::net;

use sageshed_types::{arena, time};

use super::{Ask, Choice, Chooser, Found, Missing, Pick, STEP_MS, endpoint, reading};
use crate::{dialect, neighbours};

/// The shortest estimate that teaches something, in milliseconds. Below, what came is mostly the way there and
/// back and the step that was under way.
const LEAST_LEARNT_MS: f64 = 30.0;

/// How long one process's word that an engine can't be reached is kept for a second one.
const MISSED_KEPT: time::Millis = time::Millis(1_000);

impl Chooser {
    /// Takes another process's word on an engine. Returns whether the engine has less to read by it.
    pub fn hear(
        &mut self,
        now: time::Instant,
        from: net::Ipv4Addr,
        word: &neighbours::Unread,
    ) -> bool {
        let Some(key) = self.by_short_name(word.engine) else {
            return false;
        };
        let Some(endpoint) = self.get_mut(key) else {
            return false;
        };
        if let Some(beginning) = &word.kept {
            endpoint.kept.learn(beginning);
        }
        if word.pace.is_some() {
            endpoint.word_at = now;
            endpoint.ejection = time::Millis(0);
        }
        if let Some(running) = word.running {
            endpoint.crowd = Some((running, now));
        }
        let has_less = endpoint.hear(now, from, word.micros);
        if let Some(trouble) = word.trouble {
            endpoint.hear_of(now, from, trouble);
        }
        if let Some(pace) = word.pace {
            self.learn_pace(key, pace);
        }
        if let Some(pauses) = word.pauses {
            self.learn_pauses(now, key, pauses);
        }
        has_less
    }

    /// Learns how fast an engine reads from a request of another process.
    fn learn_pace(&mut self, key: arena::EndpointKey, pace: neighbours::Pace) {
        let estimated = f64::from(pace.estimated) - STEP_MS;
        if estimated < LEAST_LEARNT_MS {
            return;
        }
        let factor = (f64::from(pace.took) - STEP_MS).max(1.0) / estimated;
        let Some(endpoint) = self.get_mut(key) else {
            return;
        };
        endpoint.slowness = reading::learn_slowness(endpoint.slowness, factor);
        let models = endpoint.instance.models.iter();
        let mut named = models.filter(|it| neighbours::key(&it.model) == pace.model);
        if let Some(model) = named.next().map(|it| it.model.clone()) {
            self.paces.learn(&model, factor);
        }
    }

    /// What to tell whom of an engine to which this process sends.
    #[must_use]
    pub fn word_on(&self, pick: &Pick) -> Option<(neighbours::Unread, Vec<net::Ipv4Addr>)> {
        let endpoint = self.get(pick.key)?;
        let word = neighbours::Unread {
            engine: neighbours::instance_key(&endpoint.instance.id),
            micros: endpoint.unread,
            kept: None,
            pace: None,
            running: None,
            pauses: None,
            trouble: None,
        };
        Some((word, self.homes.told(&endpoint.instance)))
    }

    /// Whether there are so many entry processes that models have homes. Homes alone hear of paces, pauses and
    /// trouble.
    ///
    /// Few processes have enough requests to learn from themselves, and one's bad luck with an engine would be held
    /// against it by all.
    #[must_use]
    pub fn has_homes(&self) -> bool {
        self.homes.exist()
    }

    /// Whom to ask where requests for `model` go, the first of them first; nobody where this process is to
    /// choose by itself.
    #[must_use]
    pub fn homes(&self, model: &str) -> Vec<net::Ipv4Addr> {
        self.homes.asked(model)
    }

    /// Says where a request that another process has taken is to go, and counts it as sent there.
    pub fn advise(
        &mut self,
        now: time::Instant,
        to: net::Ipv4Addr,
        request: u64,
        ask: &Ask<'_>,
    ) -> neighbours::Place {
        let Some(wanted) = ask.wanted else {
            return neighbours::Place::Unknown;
        };
        let (with, without) = self.holders(now, ask, wanted);
        if with.is_empty() && without.is_empty() && self.open(now, ask).next().is_none() {
            return neighbours::Place::Unknown;
        }
        let key = match self.find_engine(now, ask, &with, &without) {
            Found::Engine(key) => key,
            Found::Missing(Missing::Place) => {
                let expected = self.lines.waits(now, &wanted.model, request);
                return neighbours::Place::Wait { expected };
            }
            Found::Missing(_) | Found::Fetch(_) => return neighbours::Place::Unknown,
        };
        let estimate = super::span(self.estimate(now, key, ask));
        let Some((endpoint, reading)) = self.burden(now, key, ask) else {
            return neighbours::Place::Unknown;
        };
        endpoint.advise(now, to, reading);
        let place = neighbours::Place::Engine {
            engine: neighbours::instance_key(&endpoint.instance.id),
            estimate,
            kept_tokens: ask.prompt_tokens.saturating_sub(endpoint.unkept(ask)),
        };
        self.lines.sent(now, &wanted.model, request);
        place
    }

    /// Follows an advice, where the engine is known here and takes the request as far as is known.
    pub fn follow(
        &mut self,
        now: time::Instant,
        engine: u64,
        estimate: time::Millis,
        ask: &Ask<'_>,
    ) -> Option<Choice> {
        let key = self.by_short_name(engine)?;
        let is_open = self.is_of(key, ask.service) && self.is_open(now, key, ask);
        let holds = ask.wanted.is_some_and(|it| self.holds(now, key, it));
        (is_open && holds).then(|| self.send_by(now, key, ask, estimate))
    }

    /// The endpoint of this short name.
    #[must_use]
    pub fn by_short_name(&self, name: u64) -> Option<arena::EndpointKey> {
        self.by_key.get(&name).copied()
    }

    /// The short name of an endpoint.
    #[must_use]
    pub fn short_name(&self, key: arena::EndpointKey) -> Option<u64> {
        let endpoint = self.get(key)?;
        Some(neighbours::instance_key(&endpoint.instance.id))
    }
}

impl endpoint::Endpoint {
    /// The process `from` has met with this trouble here.
    ///
    /// One that is cut off finds no engine: its word alone leaves none out. The word of two does.
    fn hear_of(&mut self, now: time::Instant, from: net::Ipv4Addr, trouble: neighbours::Trouble) {
        let named = |model: u64| {
            let mut models = self.instance.models.iter();
            let found = models.find(|it| neighbours::key(&it.model) == model);
            found.map(|it| dialect::ModelRef {
                model: it.model.clone(),
                adapter: None,
            })
        };
        match trouble {
            neighbours::Trouble::Rejects(model) | neighbours::Trouble::Lacks(model) => {
                if let Some(wanted) = named(model) {
                    self.reject(now, Some(&wanted));
                }
            }
            neighbours::Trouble::Fails | neighbours::Trouble::Silent => self.fail(now),
            neighbours::Trouble::Unreachable => {
                self.fail(now);
                let before = self.missed_by.replace((from, now));
                let is_second =
                    before.is_some_and(|(it, at)| it != from && now.since(at) < MISSED_KEPT);
                if is_second {
                    self.eject(now);
                }
            }
        }
    }
}
