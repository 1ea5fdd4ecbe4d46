//! Learning from the outcomes of sent requests.

use sageshed_types::{arena, time};

use super::{
    AttemptOutcome, BATCH_STEP_MS, Chooser, MODEL_DENIAL_TTL, Pauses, Pick, Prefill, endpoint,
    prefill_speed, silence,
};
use crate::dialect;

/// Weight of a new measurement in the moving average of a plain service's response time.
const RESPONSE_TIME_GAIN: f64 = 0.1;

impl Chooser {
    /// Records that the response to a request sent to `pick` began `took` after it was sent.
    pub fn record_response_start(
        &mut self,
        now: time::Instant,
        pick: &Pick,
        prefill: Option<Prefill<'_>>,
        took: time::Millis,
        load: Option<dialect::Load>,
    ) {
        let Some(endpoint) = self.get_mut(pick.key) else {
            return;
        };
        endpoint.awaiting = endpoint.awaiting.saturating_sub(1);
        endpoint.record_activity(now);
        let pending_us = endpoint.pending_prefill_us;
        endpoint.pending_prefill_us = endpoint.pending_prefill_us.saturating_sub(pick.prefill_us);
        if let Some(load) = load {
            endpoint.load = Some((load, now));
            endpoint.reported_running = Some((load.running, now));
            endpoint
                .reported_slowdown
                .record(now, load.slowdown_percent);
        }
        endpoint.ejection_time = time::Millis(0);
        let Some(prefill) = prefill else {
            learn_response_time(endpoint, now, took);
            return;
        };
        endpoint.clear_rejection(prefill.wanted);
        endpoint.prefix_cache.insert(prefill.wanted, prefill.parts);
        let prefill_ms = took.0 as f64 - BATCH_STEP_MS;
        if prefill_ms > BATCH_STEP_MS && pick.prefill_us > 0 {
            let factor =
                prefill_ms * endpoint::MICROS_PER_MS / pending_us.max(pick.prefill_us) as f64;
            let factor = factor / endpoint.reported_slowdown.change(now, took);
            endpoint.slowdown = prefill_speed::update_slowdown(endpoint.slowdown, factor);
            self.prefill_speeds.learn(&prefill.wanted.model, factor);
        }
    }

    /// Records the pauses of a stream from `pick` that ended normally.
    pub fn record_pauses(&mut self, now: time::Instant, pick: &Pick, pauses: Pauses) {
        self.learn_pauses(now, pick.key, pauses);
    }

    /// Adjusts the prefill limit by a stream of the engine `key`.
    pub(super) fn learn_pauses(
        &mut self,
        now: time::Instant,
        key: arena::EndpointKey,
        pauses: Pauses,
    ) {
        let Some(endpoint) = self.get(key) else {
            return;
        };
        let near_limit_at = endpoint.near_limit_at;
        let was_near_limit = near_limit_at.is_some_and(|at| now.since(at) <= pauses.lasted);
        let service = endpoint.instance.service.clone();
        self.prefill_limits.learn(&service, pauses, was_near_limit);
    }

    /// Whether the endpoint of `pick` has outstanding responses and has been silent for too long.
    #[must_use]
    pub fn is_suspected(&self, now: time::Instant, pick: &Pick) -> bool {
        let endpoint = self.get(pick.key);
        endpoint.is_none_or(|it| it.silence_penalty_ms(now) > 0.0)
    }

    /// Records that the endpoint of `pick` sent something.
    pub fn record_activity(&mut self, now: time::Instant, pick: &Pick) {
        if let Some(endpoint) = self.get_mut(pick.key) {
            endpoint.record_activity(now);
        }
    }

    /// Records the end of a request that was sent to `pick`. `began` tells whether its response had begun.
    pub fn record_end(
        &mut self,
        now: time::Instant,
        pick: &Pick,
        wanted: Option<&dialect::ModelRef>,
        began: bool,
        outcome: AttemptOutcome,
    ) {
        let Some(endpoint) = self.get_mut(pick.key) else {
            return;
        };
        endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        if !began {
            endpoint.pending_prefill_us =
                endpoint.pending_prefill_us.saturating_sub(pick.prefill_us);
            endpoint.awaiting = endpoint.awaiting.saturating_sub(1);
        }
        if matches!(
            outcome,
            AttemptOutcome::Answered | AttemptOutcome::Refused | AttemptOutcome::Misdirected
        ) {
            endpoint.record_activity(now);
        }
        match outcome {
            AttemptOutcome::Answered | AttemptOutcome::GivenUp => {}
            AttemptOutcome::Failed => endpoint.record_failure(now),
            AttemptOutcome::Refused => endpoint.record_rejection(now, wanted),
            AttemptOutcome::Unreachable => {
                endpoint.record_failure(now);
                endpoint.eject(now);
            }
            AttemptOutcome::Silent => endpoint.record_silence(now, silence::Reporter::This),
            AttemptOutcome::Misdirected => {
                let until = now + MODEL_DENIAL_TTL;
                match wanted {
                    Some(wanted) => drop(endpoint.denied_models.insert(wanted.clone(), until)),
                    None => endpoint.eject(now),
                }
            }
        }
        if outcome == AttemptOutcome::Refused {
            self.pause_after_rejection(now, pick.key);
        }
    }
}

/// Learns the response time of a plain service without the slowdown that it reports.
pub(super) fn learn_response_time(
    endpoint: &mut endpoint::Endpoint,
    now: time::Instant,
    took: time::Millis,
) {
    let ms = took.0 as f64 / endpoint.reported_slowdown.factor(now);
    endpoint.response_ms += RESPONSE_TIME_GAIN * (ms.min(1_000.0) - endpoint.response_ms);
}
