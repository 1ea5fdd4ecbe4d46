//! Who sends a request: the workspace that holds the key which the request shows.
//!
//! A configuration may have workspaces, each with keys. Then a request shows a key, but on a route that is open
//! to all, and one that shows none or an unknown one is refused before anything is sent. A configuration without
//! workspaces asks nobody.
//!
//! Keys are looked up by their digests ([`secret::KeyDigest`]), so a request costs one look-up whatever the
//! number of keys. What a configuration says of keys holds while it is in force: a key that a newer one has
//! dropped or given to another workspace is looked up anew before each sending, so that a request which
//! waits does not outlive its key. What an endpoint runs already goes on: an answer that is cut would tell its
//! caller nothing and the work is done.

use std::{collections, sync};

use derive_more::Display;
use sageshed_types::secret;

use crate::config;

/// Why a request is refused for what it shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Stranger {
    /// It shows no key.
    #[display("send the workspace's key as `Authorization: Bearer KEY`")]
    NoKey,
    /// It shows something that is no key.
    #[display("{_0}; send the workspace's key as `Authorization: Bearer KEY`, once")]
    Malformed(&'static str),
    /// No workspace holds the key: it is unknown, or was taken away.
    #[display("no workspace holds this key")]
    UnknownKey,
}

/// A workspace as a request is known by it, without its keys.
pub type Known = sync::Arc<config::Workspace>;

/// The workspaces of one configuration, by their keys.
#[derive(Debug, Clone)]
pub struct Workspaces {
    all: Vec<Known>,
    holders: collections::HashMap<secret::KeyDigest, usize>,
}

impl Workspaces {
    /// Indexes `workspaces` by `keys`, each with the place of its holder among them.
    #[must_use]
    pub fn new(workspaces: &config::Workspaces) -> Self {
        Self {
            all: workspaces.all.iter().cloned().map(sync::Arc::new).collect(),
            holders: workspaces.keys.iter().copied().collect(),
        }
    }

    /// The workspace that holds a key with this digest.
    #[must_use]
    pub fn holder(&self, key: secret::KeyDigest) -> Option<&Known> {
        self.all.get(*self.holders.get(&key)?)
    }

    /// Who sends a request that shows `shown` and takes a route that is open to all or not. None on an open
    /// route, where it shows no key that is known.
    ///
    /// # Errors
    ///
    /// If the route asks for a key, and no workspace holds what is shown.
    pub fn identify(
        &self,
        shown: secret::Credential,
        is_open: bool,
    ) -> Result<Option<&Known>, Stranger> {
        let found = match shown {
            secret::Credential::Missing => Err(Stranger::NoKey),
            secret::Credential::Malformed(why) => Err(Stranger::Malformed(why)),
            secret::Credential::Bearer(key) => self.holder(key).ok_or(Stranger::UnknownKey),
        };
        match found {
            Ok(workspace) => Ok(Some(workspace)),
            Err(_) if is_open => Ok(None),
            Err(stranger) => Err(stranger),
        }
    }

    /// All workspaces.
    pub fn iter(&self) -> impl Iterator<Item = &Known> {
        self.all.iter()
    }
}

/// Who sends a request, where the configuration may have no workspaces at all.
///
/// # Errors
///
/// As [`Workspaces::identify`].
pub fn identify(
    workspaces: Option<&Workspaces>,
    shown: secret::Credential,
    is_open: bool,
) -> Result<Option<Known>, Stranger> {
    match workspaces {
        None => Ok(None),
        Some(workspaces) => Ok(workspaces.identify(shown, is_open)?.cloned()),
    }
}
