//! Authenticates requests: finds the workspace whose key a request carries.
//!
//! If a configuration has workspaces, a request has to carry the key of one, except on an open route;
//! otherwise it is refused before anything is sent. Without workspaces in the configuration, no key is
//! needed.
//!
//! Keys are looked up by their digest ([`secret::KeyDigest`]), so a request costs one lookup whatever the
//! number of keys. Keys are valid as long as the configuration that holds them is in force: before each
//! attempt, the key is looked up again if a newer configuration has removed it or given it to another
//! workspace, so that a waiting request does not outlive its key. A request that an endpoint already runs
//! continues; an interrupted response would be of no use to its caller, and the work is done.

use std::{collections, sync};

use derive_more::Display;
use sageshed_types::secret;

use crate::config;

/// Why a request fails authentication.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum AuthError {
    /// It carries no key.
    #[display("send the workspace's key as `Authorization: Bearer KEY`")]
    NoKey,
    /// Its credentials are malformed.
    #[display("{_0}; send the workspace's key as `Authorization: Bearer KEY`, once")]
    Malformed(&'static str),
    /// No workspace holds the key: it is unknown or was revoked.
    #[display("no workspace holds this key")]
    UnknownKey,
}

/// A workspace without its keys, shared by the requests that it sends.
pub type WorkspaceRef = sync::Arc<config::Workspace>;

/// The workspaces of one configuration, indexed by their keys.
#[derive(Debug, Clone)]
pub struct Workspaces {
    all: Vec<WorkspaceRef>,
    holders: collections::HashMap<secret::KeyDigest, usize>,
}

impl Workspaces {
    /// Indexes `workspaces` by their keys.
    #[must_use]
    pub fn new(workspaces: &config::Workspaces) -> Self {
        Self {
            all: workspaces.all.iter().cloned().map(sync::Arc::new).collect(),
            holders: workspaces.keys.iter().copied().collect(),
        }
    }

    /// The workspace that holds the key with this digest.
    #[must_use]
    pub fn holder(&self, key: secret::KeyDigest) -> Option<&WorkspaceRef> {
        self.all.get(*self.holders.get(&key)?)
    }

    /// The workspace that sends a request with the credentials `shown`; none on an open route (`is_open`)
    /// if the key is missing or unknown.
    ///
    /// # Errors
    ///
    /// If the route is not open and no workspace holds the key.
    pub fn identify(
        &self,
        shown: secret::Credential,
        is_open: bool,
    ) -> Result<Option<&WorkspaceRef>, AuthError> {
        let found = match shown {
            secret::Credential::Missing => Err(AuthError::NoKey),
            secret::Credential::Malformed(why) => Err(AuthError::Malformed(why)),
            secret::Credential::Bearer(key) => self.holder(key).ok_or(AuthError::UnknownKey),
        };
        match found {
            Ok(workspace) => Ok(Some(workspace)),
            Err(_) if is_open => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// All workspaces.
    pub fn iter(&self) -> impl Iterator<Item = &WorkspaceRef> {
        self.all.iter()
    }
}

/// As [`Workspaces::identify`], for a configuration that may have no workspaces at all.
///
/// # Errors
///
/// As [`Workspaces::identify`].
pub fn identify(
    workspaces: Option<&Workspaces>,
    shown: secret::Credential,
    is_open: bool,
) -> Result<Option<WorkspaceRef>, AuthError> {
    match workspaces {
        None => Ok(None),
        Some(workspaces) => Ok(workspaces.identify(shown, is_open)?.cloned()),
    }
}
