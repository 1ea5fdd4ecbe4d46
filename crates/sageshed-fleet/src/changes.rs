//! The configurations that a control process has sent lately, so that it can send what changed.

use std::{collections, io};

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
    documents: collections::VecDeque<document::Document>,
    payloads: transfer::Outgoing,
}

impl Sent {
    /// Keeps the newest configuration.
    pub fn keep(&mut self, newest: &document::Document) {
        let last = self.documents.back().map_or(0, |it| it.version);
        if last >= newest.version {
            return;
        }
        self.documents.push_back(newest.clone());
        while self.documents.len() > KEPT || self.old_bytes() > KEPT_BYTES {
            self.documents.pop_front();
        }
    }

    /// The next piece for one who fetches: of its transfer, or of another one to the newest from the beginning. None
    /// where it holds that.
    pub fn piece(
        &mut self,
        now: time::Instant,
        req: &messages::ConfigReq,
    ) -> io::Result<Option<transfer::Piece>> {
        let under_way = req
            .transfer
            .and_then(|id| self.payloads.piece(now, id, req.offset, req.most));
        if under_way.is_some() {
            return Ok(under_way);
        }
        let Some(id) = self.transfer_from(now, req.text_held)? else {
            return Ok(None);
        };
        // Another control process may have sent what comes before.
        let offset = if req.transfer == Some(id) {
            req.offset
        } else {
            0
        };
        Ok(self.payloads.piece(now, id, offset, req.most))
    }

    /// The transfer that brings the newest to one who holds the text of an older version.
    fn transfer_from(
        &mut self,
        now: time::Instant,
        text_held: u64,
    ) -> io::Result<Option<transfer::Id>> {
        let newest = self.documents.back();
        let Some(newest) = newest.filter(|it| it.version > text_held) else {
            return Ok(None);
        };
        let none = document::Document::default();
        let before = self.documents.iter().find(|it| it.version == text_held);
        let before = before.unwrap_or(&none);
        if let Some(known) = self.payloads.find(before.version, newest.version) {
            return Ok(Some(known));
        }
        let bytes = packing::pack(newest, before)?;
        let id = transfer::Id::new(before.version, newest.version, &bytes);
        self.payloads.keep(now, id, bytes);
        Ok(Some(id))
    }

    /// Bytes of all but the newest.
    fn old_bytes(&self) -> usize {
        let old = self.documents.iter().rev().skip(1);
        old.map(|it| it.text.len()).sum()
    }
}
