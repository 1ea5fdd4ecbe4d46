//! The configurations that a control process has sent lately, so that it can send what changed.

use std::{collections, io, sync};

use sageshed_types::{document, time};

use crate::{messages, packing, transfer};

/// Bytes of configurations that are kept beside the newest. In a storm of changes entry processes hold one of the last
/// few versions, the older the larger they are.
const KEPT_BYTES: usize = 16 * 1024 * 1024;

/// Configurations that are kept at the most.
const KEPT: usize = 64;

/// The configurations that were sent last, and what is being fetched of them.
#[derive(Debug, Default)]
pub struct Sent {
    /// The last one is the newest.
    documents: collections::VecDeque<sync::Arc<document::Document>>,
    payloads: transfer::Outgoing,
}

/// What to answer one who fetches.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The next piece of its transfer, or of another one to the newest from the beginning.
    Piece(transfer::Piece),
    /// It holds the newest.
    Nothing,
    /// The payload of its transfer has to be made first.
    Pack(Work),
}

/// A payload to be made. That takes a while for a large configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Work {
    newest: sync::Arc<document::Document>,
    /// What its receiver holds; an empty one if that is not known here.
    before: sync::Arc<document::Document>,
}

impl Work {
    /// Makes the payload.
    pub fn pack(&self) -> io::Result<Vec<u8>> {
        packing::pack(&self.newest, &self.before)
    }
}

impl Sent {
    /// Keeps the newest configuration.
    pub fn keep(&mut self, newest: &document::Document) {
        let last = self.documents.back().map_or(0, |it| it.version);
        if last >= newest.version {
            return;
        }
        self.documents.push_back(sync::Arc::new(newest.clone()));
        while self.documents.len() > KEPT || self.old_bytes() > KEPT_BYTES {
            self.documents.pop_front();
        }
    }

    /// Keeps the payload that was made.
    pub fn keep_payload(&mut self, now: time::Instant, work: &Work, bytes: Vec<u8>) {
        let id = transfer::Id::new(work.before.version, work.newest.version, &bytes);
        self.payloads.keep(now, id, bytes);
    }

    /// What to answer one who fetches.
    pub fn answer(&mut self, now: time::Instant, req: &messages::ConfigReq) -> Answer {
        let under_way = req
            .transfer
            .and_then(|id| self.payloads.piece(now, id, req.offset, req.most));
        if let Some(piece) = under_way {
            return Answer::Piece(piece);
        }
        let newest = self.documents.back();
        let Some(newest) = newest.filter(|it| it.version > req.text_held) else {
            return Answer::Nothing;
        };
        let mut documents = self.documents.iter();
        let before = documents.find(|it| it.version == req.text_held);
        let from = before.map_or(0, |it| it.version);
        let Some(id) = self.payloads.find(from, newest.version) else {
            return Answer::Pack(Work {
                newest: sync::Arc::clone(newest),
                before: before.map(sync::Arc::clone).unwrap_or_default(),
            });
        };
        // Another control process may have sent what comes before.
        let offset = if req.transfer == Some(id) {
            req.offset
        } else {
            0
        };
        let piece = self.payloads.piece(now, id, offset, req.most);
        piece.map_or(Answer::Nothing, Answer::Piece)
    }

    /// Bytes of all but the newest.
    fn old_bytes(&self) -> usize {
        let old = self.documents.iter().rev().skip(1);
        old.map(|it| it.text.len()).sum()
    }
}
