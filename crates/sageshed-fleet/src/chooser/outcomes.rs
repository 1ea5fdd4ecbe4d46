//! What a chooser learns from the requests that it has sent.

use sageshed_types::{arena, time};

use super::{
    Chooser, DENIAL, Ended, Pauses, Pick, Read, SILENT_EJECTION, STEP_MS, endpoint, reading,
};
use crate::dialect;

/// The part that a new measurement has in the learned time of a plain service.
const ANSWER_GAIN: f64 = 0.1;

impl Chooser {
    /// The answer of a request that was sent to `pick` has begun, `took` after it was sent.
    pub fn began(
        &mut self,
        now: time::Instant,
        pick: &Pick,
        read: Option<Read<'_>>,
        took: time::Millis,
        load: Option<dialect::Load>,
    ) {
        let Some(endpoint) = self.get_mut(pick.key) else {
            return;
        };
        endpoint.owed = endpoint.owed.saturating_sub(1);
        endpoint.word_at = now;
        let ahead = endpoint.unread;
        endpoint.unread = endpoint.unread.saturating_sub(pick.reading);
        if let Some(load) = load {
            endpoint.load = Some((load, now));
            endpoint.crowd = Some((load.running, now));
        }
        endpoint.ejection = time::Millis(0);
        let Some(read) = read else {
            let ms = took.0 as f64;
            endpoint.answer_ms += ANSWER_GAIN * (ms.min(1_000.0) - endpoint.answer_ms);
            return;
        };
        endpoint.accept(read.wanted);
        endpoint.kept.remember(read.wanted, read.parts);
        let reading = took.0 as f64 - STEP_MS;
        if reading > STEP_MS && pick.reading > 0 {
            let factor = reading * endpoint::MICROS / ahead.max(pick.reading) as f64;
            endpoint.slowness = reading::learn_slowness(endpoint.slowness, factor);
            self.paces.learn(&read.wanted.model, factor);
        }
    }

    /// A stream from `pick` has ended whole.
    pub fn paused(&mut self, now: time::Instant, pick: &Pick, pauses: Pauses) {
        self.learn_pauses(now, pick.key, pauses);
    }

    /// Learns how much may wait at engines from a stream of the engine `key`.
    pub(super) fn learn_pauses(
        &mut self,
        now: time::Instant,
        key: arena::EndpointKey,
        pauses: Pauses,
    ) {
        let Some(endpoint) = self.get(key) else {
            return;
        };
        let strained = endpoint.strained_at;
        let is_strained = strained.is_some_and(|at| now.since(at) <= pauses.lasted);
        let service = endpoint.instance.service.clone();
        self.bounds.learn(&service, pauses, is_strained);
    }

    /// Whether the endpoint of `pick` owes answers and has said nothing for too long.
    #[must_use]
    pub fn is_suspected(&self, now: time::Instant, pick: &Pick) -> bool {
        let endpoint = self.get(pick.key);
        endpoint.is_none_or(|it| it.silence_ms(now) > 0.0)
    }

    /// Something came from the endpoint of `pick`.
    pub fn heard_from(&mut self, now: time::Instant, pick: &Pick) {
        if let Some(endpoint) = self.get_mut(pick.key) {
            endpoint.word_at = now;
        }
    }

    /// A request that was sent to `pick` is over. `began` says whether its answer had begun.
    pub fn ended(
        &mut self,
        now: time::Instant,
        pick: &Pick,
        wanted: Option<&dialect::ModelRef>,
        began: bool,
        how: Ended,
    ) {
        let Some(endpoint) = self.get_mut(pick.key) else {
            return;
        };
        endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        if !began {
            endpoint.unread = endpoint.unread.saturating_sub(pick.reading);
            endpoint.owed = endpoint.owed.saturating_sub(1);
        }
        if matches!(how, Ended::Answered | Ended::Refused | Ended::Misdirected) {
            endpoint.word_at = now;
        }
        match how {
            Ended::Answered | Ended::GivenUp => {}
            Ended::Failed => endpoint.fail(now),
            Ended::Refused => endpoint.reject(now, wanted),
            Ended::Unreachable => {
                endpoint.fail(now);
                endpoint.eject(now);
            }
            Ended::Silent => {
                endpoint.fail(now);
                let lately = now.since(endpoint.word_at) < SILENT_EJECTION;
                if !lately {
                    endpoint.ejected_until = now + SILENT_EJECTION;
                }
            }
            Ended::Misdirected => {
                let until = now + DENIAL;
                match wanted {
                    Some(wanted) => drop(endpoint.denied.insert(wanted.clone(), until)),
                    None => endpoint.eject(now),
                }
            }
        }
    }
}
