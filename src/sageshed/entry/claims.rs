//! Claims with the control group: asked for before a request that may not be repeated is sent, and
//! settled after it ended.
//!
//! # Asking
//!
//! The leader commits the claim before it answers. An answer that is lost is asked for again with the
//! same holder, which gets the same answer. The thread that asks sends the request only after one
//! granted answer, and only once. When time runs out first, the caller is told that the request was
//! not run, which is true since nobody else may send it; the claim, which may yet be committed, is
//! given back in the background, so that a later try under the same key is not told for ever that
//! the request is running.
//!
//! # Settling
//!
//! The caller's answer does not wait for it. A process that dies in between leaves the claim running;
//! the control group makes it unknown when it hears of the next start, and never free.

use std::{
    sync::{self, mpsc},
    thread, time,
};

use sageshed_decide::retries;
use sageshed_types::{claims, messages};

use super::shared;
use crate::locks;

/// How long one call to a control process may take. Longer than it waits for a commit.
const CALL_LIMIT: time::Duration = time::Duration::from_millis(2_500);

/// Between two tries.
const PAUSE: time::Duration = time::Duration::from_millis(60);

/// The most time that passes between a granted claim and the request for it. A process that was
/// frozen in between must not send: by then others may know the claim as unknown.
pub const GRANT_AGE_LIMIT: time::Duration = time::Duration::from_secs(10);

/// Settlements that wait at once; past it they are dropped and the claims stay running until this
/// process starts anew.
const SETTLE_QUEUE: usize = 10_000;

/// Tries of one settlement before it is put behind the others.
const SETTLE_TRIES: u32 = 3;

/// The claims of one entry process.
#[derive(Debug)]
pub struct Claims {
    client: sageshed_vms::Client,
    controls: Vec<Control>,
    leader: sync::Mutex<Option<String>>,
    settlements: mpsc::SyncSender<claims::Settle>,
}

#[derive(Debug)]
struct Control {
    vm: String,
    address: String,
}

/// No answer to a claim in time. The request was not sent and will not be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unavailable;

impl Claims {
    /// Claims by the control processes of these VMs, and the queue of settlements for [`run`].
    #[must_use]
    pub fn new(
        client: sageshed_vms::Client,
        controls: impl IntoIterator<Item = (String, String)>,
    ) -> (Self, mpsc::Receiver<claims::Settle>) {
        let (settlements, rx) = mpsc::sync_channel(SETTLE_QUEUE);
        let controls = controls
            .into_iter()
            .map(|(vm, address)| Control { vm, address });
        let claims = Self {
            client,
            controls: controls.collect(),
            leader: sync::Mutex::new(None),
            settlements,
        };
        (claims, rx)
    }

    /// Notes who leads, by the heartbeats.
    pub fn note_leader(&self, vm: &str) {
        let mut leader = locks::lock(&self.leader);
        if leader.as_deref() != Some(vm) {
            *leader = Some(vm.to_owned());
        }
    }

    /// Asks for a claim until `until`.
    pub fn ask(
        &self,
        claim: &claims::Claim,
        until: time::Instant,
    ) -> Result<claims::ClaimOutcome, Unavailable> {
        self.until_done(messages::paths::CLAIM, claim, until)
    }

    /// Has a claim settled, in the background.
    pub fn settle(&self, settle: claims::Settle) {
        if self.settlements.try_send(settle).is_err() {
            report_dropped();
        }
    }

    fn until_done<M, A>(
        &self,
        path: &str,
        message: &M,
        until: time::Instant,
    ) -> Result<A, Unavailable>
    where
        M: serde::Serialize,
        A: serde::de::DeserializeOwned,
    {
        let mut turn = 0;
        loop {
            let left = until.saturating_duration_since(time::Instant::now());
            if left.is_zero() {
                return Err(Unavailable);
            }
            let control = self.whom_to_ask(turn).ok_or(Unavailable)?;
            let limit = left.min(CALL_LIMIT);
            match self.client.call(&control.address, path, message, limit) {
                Ok(messages::LeaderReply::Done(answer)) => {
                    self.note_leader(&control.vm);
                    return Ok(answer);
                }
                Ok(messages::LeaderReply::NotLeader { leader }) => {
                    *locks::lock(&self.leader) = leader;
                }
                Ok(messages::LeaderReply::Unknown) => {}
                Err(e) => {
                    log::debug!(vm = control.vm.as_str(), error:% = e; "entry: no word on a claim");
                    self.forget_leader(&control.vm);
                }
            }
            turn += 1;
            thread::sleep(PAUSE.min(left));
        }
    }

    /// The leader if it is known, else one after the other.
    fn whom_to_ask(&self, turn: usize) -> Option<&Control> {
        let leader = locks::lock(&self.leader).clone();
        let known = leader.and_then(|vm| self.controls.iter().find(|it| it.vm == vm));
        known.or_else(|| self.controls.get(turn % self.controls.len().max(1)))
    }

    fn forget_leader(&self, vm: &str) {
        let mut leader = locks::lock(&self.leader);
        if leader.as_deref() == Some(vm) {
            *leader = None;
        }
    }
}

/// Sends settlements until the process stops and none is left.
pub fn run(shared: &shared::Shared, rx: &mpsc::Receiver<claims::Settle>) {
    let mut failed = retries::Retries::new(PAUSE.into(), SETTLE_QUEUE);
    loop {
        let next = match failed.next(shared.clock.now()) {
            retries::Next::Retry(settle) => Some(settle),
            retries::Next::New => rx.recv_timeout(PAUSE).ok(),
        };
        match next {
            Some(settle) if try_settle(shared, &settle) => {}
            Some(settle) => retry_later(shared, &mut failed, settle),
            None if shared.stage.stops() && failed.is_empty() => return,
            None => {}
        }
        if shared.stage.stops() && !failed.is_empty() {
            log::warn!(count = failed.len(); "entry: claims left unsettled");
            return;
        }
    }
}

fn retry_later(
    shared: &shared::Shared,
    failed: &mut retries::Retries<claims::Settle>,
    settle: claims::Settle,
) {
    if failed.add(shared.clock.now(), settle).is_some() {
        report_dropped();
    }
}

/// Logs a settlement for which there is no room.
fn report_dropped() {
    log::error!("entry: too many claims wait to be settled, one stays running");
}

fn try_settle(shared: &shared::Shared, settle: &claims::Settle) -> bool {
    for _ in 0..SETTLE_TRIES {
        let until = time::Instant::now() + CALL_LIMIT;
        let path = messages::paths::SETTLE;
        if shared
            .claims
            .until_done::<_, ()>(path, settle, until)
            .is_ok()
        {
            return true;
        }
        if shared.stage.stops() {
            return false;
        }
    }
    false
}
