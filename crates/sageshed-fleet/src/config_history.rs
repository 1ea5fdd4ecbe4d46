//! The recent configurations of a control process, against which it compresses newer ones.

use std::{collections, io, sync};

use sageshed_types::{document, time};

use crate::{compression, messages, transfer};

/// Maximum bytes of configurations that are kept besides the newest. During frequent changes entry processes hold one
/// of the last few versions; with larger configurations, which take longer to transfer, they are further behind.
const MAX_OLD_BYTES: usize = 16 * 1024 * 1024;

/// Maximum number of configurations that are kept.
const MAX_DOCUMENTS: usize = 64;

/// The recent configurations, and the payloads that are being fetched.
#[derive(Debug, Default)]
pub struct ConfigHistory {
    /// The configurations, the newest last.
    documents: collections::VecDeque<sync::Arc<document::Document>>,
    payloads: transfer::Sender,
}

/// The reply to a process that fetches a configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FetchReply {
    /// The next chunk of its transfer, or the first chunk of a transfer of the newest configuration.
    Chunk(transfer::Chunk),
    /// It already holds the newest configuration.
    Nothing,
    /// The payload has to be compressed first.
    Compress(CompressionJob),
}

/// A payload to be compressed, which takes some time for a large configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompressionJob {
    newest: sync::Arc<document::Document>,
    /// The configuration that the receiver holds; an empty one if it is not known here.
    before: sync::Arc<document::Document>,
}

impl CompressionJob {
    /// Compresses the payload.
    pub fn run(&self) -> io::Result<Vec<u8>> {
        compression::compress(&self.newest, &self.before)
    }
}

impl ConfigHistory {
    /// Adds a configuration, if it is newer than all others.
    pub fn keep(&mut self, newest: &document::Document) {
        let last = self.documents.back().map_or(0, |it| it.version);
        if last >= newest.version {
            return;
        }
        self.documents.push_back(sync::Arc::new(newest.clone()));
        while self.documents.len() > MAX_DOCUMENTS || self.old_bytes() > MAX_OLD_BYTES {
            self.documents.pop_front();
        }
    }

    /// The configurations that are newer than `version`, the newest last.
    #[must_use]
    pub fn newer_than(&self, version: u64) -> Vec<sync::Arc<document::Document>> {
        let newer = self.documents.iter().filter(|it| it.version > version);
        newer.map(sync::Arc::clone).collect()
    }

    /// Keeps the payload of a job for the receivers that fetch it.
    pub fn keep_payload(&mut self, now: time::Instant, job: &CompressionJob, bytes: Vec<u8>) {
        let id = transfer::TransferId::new(job.before.version, job.newest.version, &bytes);
        self.payloads.keep(now, id, bytes);
    }

    /// The reply to a process that fetches a configuration.
    pub fn reply(&mut self, now: time::Instant, req: &messages::ConfigReq) -> FetchReply {
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
        // Another control process may have sent the chunks before this offset.
        let offset = if req.transfer == Some(id) {
            req.offset
        } else {
            0
        };
        let chunk = self.payloads.chunk(now, id, offset, req.most);
        chunk.map_or(FetchReply::Nothing, FetchReply::Chunk)
    }

    /// Bytes of all configurations but the newest.
    fn old_bytes(&self) -> usize {
        let old = self.documents.iter().rev().skip(1);
        old.map(|it| it.text.len()).sum()
    }
}
