//! The port for the system's other processes.

use std::sync;

use sageshed_engines::{paths, reports};
use sageshed_fleet::quarantine;
use sageshed_types::{messages, time};
use sageshed_vms::Answer;

use super::shared;
use crate::{directory, locks};

/// How long a revision is held before it is passed on to an entry process that lacks it. In the
/// ordinary run of things the control group brings it there sooner, and passing on the whole set of
/// rules from six sides at once would be waste.
const RELAY_AFTER: time::Millis = time::Millis(2_000);

/// Takes calls of other processes.
#[derive(Debug)]
pub struct Port {
    /// What this process shares.
    pub shared: sync::Arc<shared::Shared>,
}

impl sageshed_vms::Handler for Port {
    fn handle(&self, path: &str, body: &[u8]) -> Answer {
        match path {
            messages::paths::SYNC => match sageshed_vms::decode(body) {
                Ok(req) => Answer::message(&self.sync(&req)),
                Err(e) => Answer::Bad(e),
            },
            messages::paths::EXPLAIN => match sageshed_vms::decode::<String>(body) {
                Ok(id) => Answer::message(&self.explain(&id)),
                Err(e) => Answer::Bad(e),
            },
            paths::REPORT => self.report(body),
            _ => Answer::NotFound,
        }
    }

    /// Endpoints report here. They reach this port from the platform's network only; on the callers'
    /// port anybody could announce an engine and be sent other callers' requests.
    fn is_open(&self, path: &str) -> bool {
        path == paths::REPORT
    }
}

impl Port {
    fn sync(&self, req: &messages::SyncReq) -> messages::SyncResp {
        let shared = &self.shared;
        let now = shared.clock.now();
        let (reports, directory) = locks::lock(&shared.directory).since(now, req.directory_seen);
        let (revision, config) = {
            let config = locks::lock(&shared.config);
            let newer = config.rules.revision > req.revision;
            let held = now.since(config.since) > RELAY_AFTER;
            let update = (newer && held).then(|| config.rules.clone());
            (
                config.rules.revision,
                update.map(messages::ConfigUpdate::Snapshot),
            )
        };
        let (hears_leader, was_confirmed) = {
            let freshness = locks::lock(&shared.freshness);
            (freshness.hears_leader(now), freshness.was_confirmed())
        };
        let (crashes_mark, crashes) = {
            let mut known = locks::lock(&shared.crashes);
            known.take(now, &req.crashes);
            let since = req.crashes_known.unwrap_or_default();
            let news = known
                .quarantine
                .since(now, since, quarantine::SyncScope::All);
            (known.quarantine.cursor(), news)
        };
        messages::SyncResp {
            from: shared.process.clone(),
            reports,
            directory,
            control: None,
            revision,
            config,
            hears_leader,
            was_confirmed,
            crashes_mark: Some(crashes_mark),
            crashes,
        }
    }

    fn report(&self, body: &[u8]) -> Answer {
        let json = |status, body: &str| Answer::Json {
            status,
            body: body.to_owned(),
        };
        let report = match reports::parse_report(body) {
            Ok(report) => report,
            Err(e) => {
                return json(
                    400,
                    &serde_json::json!({ "error": e.to_string() }).to_string(),
                );
            }
        };
        if self.shared.take_report(report, true) == directory::Offer::Full {
            log::error!("entry: directory of endpoints is full");
            return json(507, r#"{"error":"no room for another endpoint"}"#);
        }
        json(200, reports::TAKEN)
    }

    fn explain(&self, request_id: &str) -> messages::ExplainResp {
        locks::lock(&self.shared.accounts).get(request_id).cloned()
    }
}
