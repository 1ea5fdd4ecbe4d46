//! Streams that are resumed: by this process at another endpoint, or by their caller with a new request.

use sageshed_fleet::{chooser, dialect};

use super::ProxiedRequest;
use crate::gateway::metrics;

impl<D: dialect::Dialect> ProxiedRequest<'_, D> {
    /// Logs and counts the stream that begins at the endpoint of `pick` if it is a resumed one. `last_id` is the id of
    /// the last event that this process has sent to the caller.
    pub(super) fn note_resumption(&mut self, pick: &chooser::Pick, last_id: Option<&str>) {
        let (resumed_by, after) = match (last_id, self.metadata.resume_after.as_deref()) {
            (Some(id), _) => (metrics::ResumedBy::Process, id),
            (None, Some(id)) => (metrics::ResumedBy::Caller, id),
            (None, None) => {
                self.began = chooser::BeganAt::of(pick.software);
                return;
            }
        };
        let versions = compare(self.began, chooser::BeganAt::of(pick.software));
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
