//! Passing a stream on, and leaving an endpoint whose stream is silent.

use std::time as std_time;

use sageshed_fleet::{chooser, dialect};
use sageshed_types::time;
use sageshed_upstream::{exchange, failure};

use super::{Life, Sending};
use crate::gateway::{answer::Outlet, neighbours};

/// A stream that may go on elsewhere does so after this silence between two events: callers leave a
/// stream after two seconds of it.
const STREAM_SILENCE: std_time::Duration = std_time::Duration::from_secs(1);

impl<D: dialect::Dialect> Life<'_, D> {
    /// Passes a stream on, event by event.
    pub(super) fn stream<'c>(
        &mut self,
        pick: &chooser::Pick,
        mut exchange: exchange::Exchange,
        outlet: Outlet<'c>,
        sent_at: std_time::Instant,
        stop: &impl Fn() -> bool,
        load: Option<dialect::Load>,
    ) -> Sending<'c> {
        let can_resume = !outlet.is_begun() || outlet.last_id().is_some();
        let mut piece = match self.next_piece(pick, &mut exchange, stop, can_resume) {
            Ok(piece) => piece,
            Err(failure) => return self.failed_after_run(pick, outlet, false, &failure),
        };
        self.began(pick, sent_at, load);
        self.paces.begun(self.req.received);
        let (mut stream, mut events) = outlet.begin(&exchange.head);
        let mut passed_on: u64 = 0;
        loop {
            match piece {
                exchange::Piece::Bytes(bytes) => {
                    let whole = events.push(self.shared.dialect, &bytes);
                    passed_on += whole.len() as u64;
                    if self.paces.piece() {
                        let now = self.shared.clock.now();
                        self.shared
                            .with_core(|core| core.chooser.record_activity(now, pick));
                    }
                    if stream.send(&whole).is_err() {
                        self.ended(pick, true, chooser::AttemptOutcome::GivenUp);
                        return Sending::Gone(Outlet::Begun(stream, events));
                    }
                }
                exchange::Piece::End => {
                    let rest = events.take_rest();
                    let bytes = passed_on + rest.len() as u64;
                    if stream.send(&rest).is_err() {
                        ::log::info!(request = self.id(); "gateway: caller left at the end of its stream");
                    }
                    self.ended(pick, true, chooser::AttemptOutcome::Answered);
                    self.tell_pause(pick);
                    let exchange_status = exchange.head.status;
                    self.shared.pool.keep(pick.address, exchange);
                    self.answered(pick, exchange_status, bytes, sent_at);
                    return Sending::Done(stream.finish());
                }
            }
            let can_resume = events.last_id.is_some();
            piece = match self.next_piece(pick, &mut exchange, stop, can_resume) {
                Ok(piece) => piece,
                Err(failure) => {
                    events.drop_rest();
                    // Closed before the stream goes on elsewhere, so that the run there ends.
                    drop(exchange);
                    let outlet = Outlet::Begun(stream, events);
                    return self.failed_after_run(pick, outlet, true, &failure);
                }
            };
        }
    }

    /// The next piece of a stream, which `can_resume` elsewhere.
    ///
    /// A stream that is silent for long is left only for an engine that could go on with it, and with a repeat in
    /// hand. Most often its engine has much to read and the stream goes on by itself; left without either it goes on
    /// nowhere, and its caller loses an answer of which the rest was to come.
    fn next_piece<S: Fn() -> bool>(
        &mut self,
        pick: &chooser::Pick,
        exchange: &mut exchange::Exchange,
        stop: &S,
        can_resume: bool,
    ) -> Result<exchange::Piece, failure::Failure> {
        loop {
            let goes_on = self.route.repeat.may_run_again() && self.runs < self.route.attempts;
            let may_leave = goes_on && can_resume;
            let until = if may_leave {
                self.until.min(std_time::Instant::now() + STREAM_SILENCE)
            } else {
                self.until
            };
            let read = exchange.read(&exchange::Patience { until, stop });
            let is_silent = matches!(&read, Err(e) if e.cause == failure::Cause::Silent);
            let is_over = self.left_ms() == time::Millis(0);
            if !is_silent || is_over || (self.has_free_beside(pick) && self.take_repeat()) {
                return read;
            }
        }
    }

    /// Whether an endpoint other than that of `pick` could begin with the request now.
    fn has_free_beside(&self, pick: &chooser::Pick) -> bool {
        let mut tried = self.tried.clone();
        tried.push(pick.key);
        let ask = chooser::EndpointQuery {
            service: self.service,
            wanted: self.wanted,
            parts: &self.passing.parts,
            prompt_tokens: self.passing.prompt_tokens,
            tried: &tried,
            left: self.left_ms(),
            patience: time::Millis(0),
            on_time: time::Millis(0),
            may_be_late: false,
            may_fetch: false,
        };
        let now = self.shared.clock.now();
        self.shared
            .with_core(|core| core.chooser.has_free(now, &ask))
    }

    /// Lets the chooser learn from the pauses of a stream that came whole.
    fn tell_pause(&self, pick: &chooser::Pick) {
        let Some(limit) = self.route.pause else {
            return;
        };
        let now = self.shared.clock.now();
        let (first, longest) = (self.paces.first, self.paces.longest);
        let lasted = self.req.received.elapsed().saturating_sub(first);
        let pauses = chooser::Pauses {
            lasted: lasted.into(),
            longest: longest.into(),
            limit,
        };
        self.shared
            .with_core(|core| core.chooser.record_pauses(now, pick, pauses));
        neighbours::tell_pauses(self.shared, pick, pauses);
    }
}
