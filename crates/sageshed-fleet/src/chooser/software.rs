//! Software versions of endpoints. A stream is resumed at the version that began it, since what two versions write can't be
//! joined.

use sageshed_types::arena;

use super::{Chooser, EndpointQuery};
use crate::directory;

impl Chooser {
    /// The software version of an endpoint, if that is known.
    #[must_use]
    pub fn software_version(&self, key: arena::EndpointKey) -> Option<&str> {
        self.get(key)?.instance.software_version.as_deref()
    }

    /// Whether an endpoint of a service has this software version.
    #[must_use]
    pub fn has_version(&self, service: &str, version: directory::SoftwareKey) -> bool {
        let mut all = self.by_service.get(service).into_iter().flatten();
        all.any(|key| self.get(*key).and_then(|it| it.software) == Some(version))
    }

    /// Whether an endpoint is left that could resume the stream of a request, now or once it has room, is reached again
    /// or has loaded the model.
    #[must_use]
    pub fn can_resume(&self, query: &EndpointQuery<'_>) -> bool {
        let all = self.by_service.get(query.service).into_iter().flatten();
        let untried = all.filter(|key| !query.tried.contains(key));
        let mut untried = untried.filter_map(|key| self.get(*key));
        untried.any(|it| it.instance.is_ready() && query.began.admits(it.software))
    }
}
