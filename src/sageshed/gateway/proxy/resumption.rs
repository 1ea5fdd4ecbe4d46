//! Streams that are resumed: by this process at another endpoint, or by their caller with a new request.

use sageshed_fleet::{chooser, dialect};
use sageshed_types::{refusal, verdict};

use super::ProxiedRequest;
use crate::gateway::{metrics, stream_origins};

impl<D: dialect::Dialect> ProxiedRequest<'_, D> {
    /// Whether the stream of the request has begun, here or with an earlier request of its caller.
    ///
    /// It was admitted when it began, and the work for it is lost if its caller gives up. It may go to the engines of one
    /// version only, so behind new requests, which may go to all, it would wait for longer than these. Therefore it does
    /// not queue.
    pub(super) fn is_resumption(&self) -> bool {
        self.began != chooser::BeganAt::NotBegun
    }

    /// Refuses a request whose stream has begun and can't be resumed by any endpoint.
    pub(super) fn refuse_not_resumable(&self) -> Option<refusal::Refusal> {
        let detail = match self.began {
            chooser::BeganAt::NotBegun => return None,
            chooser::BeganAt::Unknown => "the software version that began the stream is not known",
            chooser::BeganAt::Version(_) => {
                let query = self.endpoint_query(self.time_left());
                if self
                    .shared
                    .with_core(|core| core.chooser.can_resume(&query))
                {
                    return None;
                }
                "no endpoint of the software version that began the stream can resume it"
            }
        };
        Some(self.final_refusal(verdict::Reason::NotResumable, detail.to_owned()))
    }

    /// Records at which version the stream begins or goes on, before its first event is passed on.
    pub(super) fn record_origin(&mut self, pick: &chooser::Pick) {
        if let (Some(stream), Some(software)) = (self.stream.take(), pick.software) {
            stream_origins::record(self.shared, stream, software, self.route);
        }
    }

    /// Logs and counts the stream that begins at the endpoint of `pick` if it is a resumed one. `last_id` is the id of
    /// the last event that this process has sent to the caller.
    pub(super) fn note_resumption(&mut self, pick: &chooser::Pick, last_id: Option<&str>) {
        let began = self.began;
        if began == chooser::BeganAt::NotBegun {
            self.began = chooser::BeganAt::of(pick.software);
        }
        let (resumed_by, after) = match (last_id, self.metadata.resume_after.as_deref()) {
            (Some(id), _) => (metrics::ResumedBy::Process, id),
            (None, Some(id)) => (metrics::ResumedBy::Caller, id),
            (None, None) => return,
        };
        let versions = compare(began, chooser::BeganAt::of(pick.software));
        self.shared.metrics.stream_resumed(resumed_by, versions);
        let resumes = self.metadata.resumes.as_deref().unwrap_or_default();
        ::log::info!(request = self.id(), resumes, after, by = resumed_by.label(), endpoint:% = pick.instance,
            software = self.software_of(pick), versions = versions.label(); "gateway: stream resumed");
    }
}

fn compare(began: chooser::BeganAt, resumed: chooser::BeganAt) -> metrics::Versions {
    match (began, resumed) {
        (chooser::BeganAt::Version(began), chooser::BeganAt::Version(resumed)) => {
            if began == resumed {
                metrics::Versions::Same
            } else {
                metrics::Versions::Different
            }
        }
        _ => metrics::Versions::Unknown,
    }
}
