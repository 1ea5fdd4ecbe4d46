//! Hands the decider's actions to the threads of the requests that they concern.

use std::{collections, sync, sync::mpsc};

use sageshed_decide::event;

use crate::locks;

/// The requests that wait for an action.
#[derive(Debug, Default)]
pub struct Waiters {
    by_req: sync::Mutex<collections::HashMap<event::ReqId, mpsc::Sender<event::Action>>>,
}

impl Waiters {
    /// Enters a request; its actions come out of the receiver from now on.
    #[must_use]
    pub fn enter(&self, req: event::ReqId) -> mpsc::Receiver<event::Action> {
        let (tx, rx) = mpsc::channel();
        locks::lock(&self.by_req).insert(req, tx);
        rx
    }

    /// Takes a request out.
    pub fn leave(&self, req: event::ReqId) {
        locks::lock(&self.by_req).remove(&req);
    }

    /// Requests that are open.
    #[must_use]
    pub fn open(&self) -> usize {
        locks::lock(&self.by_req).len()
    }

    /// Hands over each action to the request that it concerns. One that has left needs none.
    pub fn deliver(&self, actions: Vec<event::Action>) {
        if actions.is_empty() {
            return;
        }
        let by_req = locks::lock(&self.by_req);
        for action in actions {
            if let Some(tx) = by_req.get(&req_of(&action)) {
                drop(tx.send(action));
            }
        }
    }
}

/// Which request an action concerns.
#[must_use]
pub fn req_of(action: &event::Action) -> event::ReqId {
    match action {
        event::Action::Send { req, .. }
        | event::Action::Claim { req }
        | event::Action::Queue { req }
        | event::Action::Refuse { req, .. }
        | event::Action::Cancel { req, .. } => *req,
    }
}
