//! Who sends a request, and what becomes of one whose sender is not known.

use sageshed_fleet::{config, dialect, workspaces};
use sageshed_types::{refusal, secret, verdict};

use super::ProxiedRequest;
use crate::gateway::routing;

/// Who sends a request on `route`, by the configuration of `routing`.
///
/// # Errors
///
/// The refusal of a request whose sender has to be known and is not.
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
    /// Asks again who sends the request, if another configuration is in force than when it came. Returns its
    /// refusal where its key was taken away meanwhile.
    ///
    /// A request may wait for seconds. Sent by what held when it came, it would run for a workspace that has
    /// lost the key, or under the name of the one that held the key before.
    pub(super) fn refuse_revoked_key(&mut self) -> Option<refusal::Refusal> {
        let routing = self.shared.routing()?;
        if routing.config.version == self.identified_by {
            return None;
        }
        self.identified_by = routing.config.version;
        match identify(&routing, self.route, self.req.credential) {
            Ok(workspace) => {
                self.asks_for_keys = routing.workspaces.is_some();
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

    /// The rank of the request; zero is the most urgent.
    pub(super) fn priority(&self) -> u8 {
        let of_workspace = self.workspace.as_ref().and_then(|it| it.priority);
        of_workspace.unwrap_or(self.route.priority)
    }

    /// The name of the workspace that sends it; empty where that is not known.
    pub(super) fn workspace_name(&self) -> &str {
        self.workspace.as_ref().map_or("", |it| it.name.as_str())
    }
}
