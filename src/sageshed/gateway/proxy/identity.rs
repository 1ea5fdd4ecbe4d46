//! Authenticates the sender of a request, and refuses requests of unknown senders.

use sageshed_fleet::{config, dialect, workspaces};
use sageshed_types::{refusal, secret, verdict};

use super::ProxiedRequest;
use crate::gateway::routing;

/// Identifies the workspace that sends a request on `route`, by the configuration of `routing`. None if the sender
/// need not authenticate.
///
/// # Errors
///
/// A refusal if the sender has to authenticate and can't be identified.
pub(super) fn identify(
    routing: &routing::Routing,
    route: &config::Route,
    credential: secret::Credential,
) -> Result<Option<workspaces::WorkspaceRef>, refusal::Refusal> {
    let known = workspaces::identify(routing.workspaces.as_ref(), credential, route.is_public);
    known.map_err(|stranger| {
        let detail = stranger.to_string();
        refusal::Refusal::not_run(verdict::Reason::Unauthorized, detail)
    })
}

impl<D: dialect::Dialect> ProxiedRequest<'_, D> {
    /// Authenticates the sender again if a newer configuration is in force than on arrival. Returns a refusal if
    /// the API key has been revoked meanwhile.
    ///
    /// A request may wait for seconds. Without a second check it would run for a workspace that has lost the key,
    /// or be accounted to the previous holder of a key that has moved.
    pub(super) fn refuse_revoked_key(&mut self) -> Option<refusal::Refusal> {
        let routing = self.shared.routing()?;
        if routing.config.version == self.identified_by_version {
            return None;
        }
        self.identified_by_version = routing.config.version;
        match identify(&routing, self.route, self.req.credential) {
            Ok(workspace) => {
                self.requires_api_keys = routing.workspaces.is_some();
                self.workspace = workspace;
                None
            }
            Err(refusal) if self.possible_runs == 0 => Some(refusal),
            Err(refusal) => {
                let detail = format!("{}; {}", self.last_failure, refusal.detail);
                Some(self.final_refusal(verdict::Reason::EndpointFailed, detail))
            }
        }
    }

    /// The priority of the request; zero is the most urgent.
    pub(super) fn priority(&self) -> u8 {
        let of_workspace = self.workspace.as_ref().and_then(|it| it.priority);
        of_workspace.unwrap_or(self.route.priority)
    }

    /// The name of the workspace that sends the request; empty if it is not known.
    pub(super) fn workspace_name(&self) -> &str {
        self.workspace.as_ref().map_or("", |it| it.name.as_str())
    }
}
