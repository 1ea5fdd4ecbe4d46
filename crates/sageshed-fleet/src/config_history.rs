//! The configurations that a control process has sent lately, so that it can send what changed.

use std::{collections, io, sync};

use sageshed_types::{document, time};

use crate::{compression, messages, transfer};

/// Bytes of configurations that are kept beside the newest. In a storm of changes entry processes hold one of the last
/// few versions, the older the larger they are.
const KEPT_BYTES: usize = 16 * 1024 * 1024;

/// Configurations that are kept at the most.
const KEPT: usize = 64;

/// The configurations that were sent last, and what is being fetched of them.
#[derive(Debug, Default)]
pub struct ConfigHistory {
    /// The last one is the newest.
    documents: collections::VecDeque<sync::Arc<document::Document>>,
    payloads: transfer::Sender,
}

/// What to answer one who fetches.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FetchReply {
    /// The next chunk of its transfer, or of another one to the newest from the beginning.
    Chunk(transfer::Chunk),
    /// It holds the newest.
    Nothing,
    /// The payload of its transfer has to be made first.
    Compress(CompressionJob),
}

/// A payload to be made. That takes a while for a large configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompressionJob {
    newest: sync::Arc<document::Document>,
    /// What its receiver holds; an empty one if that is not known here.
    before: sync::Arc<document::Document>,
}

impl CompressionJob {
    /// Makes the payload.
    pub fn run(&self) -> io::Result<Vec<u8>> {
        compression::compress(&self.newest, &self.before)
    }
}

impl ConfigHistory {
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
    pub fn keep_payload(&mut self, now: time::Instant, job: &CompressionJob, bytes: Vec<u8>) {
        let id = transfer::TransferId::new(job.before.version, job.newest.version, &bytes);
        self.payloads.keep(now, id, bytes);
    }

    /// What to answer one who fetches.
    pub fn answer(&mut self, now: time::Instant, req: &messages::ConfigReq) -> FetchReply {
        let under_way = req
            .transfer
            .and_then(|id| self.payloads.chunk(now, id, req.offset, req.most));
        if let Some(chunk) = under_way {
            return FetchReply::Chunk(chunk);
        }
        let newest = self.documents.back();
        let Some(newest) = newest.filter(|it| it.version > req.text_held) else {
            return FetchReply::Nothing;
        };
        let mut documents = self.documents.iter();
        let before = documents.find(|it| it.version == req.text_held);
        let from = before.map_or(0, |it| it.version);
        let Some(id) = self.payloads.find(from, newest.version) else {
            return FetchReply::Compress(CompressionJob {
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
        let chunk = self.payloads.chunk(now, id, offset, req.most);
        chunk.map_or(FetchReply::Nothing, FetchReply::Chunk)
    }

    /// Bytes of all but the newest.
    fn old_bytes(&self) -> usize {
        let old = self.documents.iter().rev().skip(1);
        old.map(|it| it.text.len()).sum()
    }
}
