//! Fetches the newest configuration from the control processes that have announced it.
//!
//! One thread fetches it chunk by chunk ([`transfer`]): callers' requests share the network link of this VM, and the
//! updates of endpoints ([`super::watch`]) must not wait for a configuration of several megabytes.

use std::{io, net, sync, thread, time as std_time};

use sageshed_fleet::{compression, dialect, messages, transfer};
use sageshed_types::{document, time};

use super::state;
use crate::locks;

/// The timeout for a chunk, on a network link that callers may saturate.
const CHUNK_TIMEOUT: std_time::Duration = std_time::Duration::from_secs(1);

/// The longest wait for an announcement before the next step is determined anew.
const ANNOUNCEMENT_WAIT: std_time::Duration = std_time::Duration::from_millis(500);

/// The delay after a call that failed or returned an unusable chunk.
const RETRY_INTERVAL: std_time::Duration = std_time::Duration::from_millis(30);

/// The fetch in progress, and the newer configurations that control processes have announced.
#[derive(Debug, Default)]
pub struct ConfigFetcher {
    inner: sync::Mutex<FetchState>,
    changed: sync::Condvar,
}

#[derive(Debug, Default)]
struct FetchState {
    incoming: transfer::Receiver,
    /// The control process that the fetch prefers, since the link that receives endpoint records watches it.
    preferred: Option<net::Ipv4Addr>,
}

/// Starts the fetch thread, which runs until the process exits.
pub fn start<D: dialect::Dialect>(shared: &sync::Arc<state::Shared<D>>) -> io::Result<()> {
    let shared = sync::Arc::clone(shared);
    let thread = thread::Builder::new().name("fetch".to_owned());
    thread.spawn(move || run(&shared)).map(drop)
}

impl ConfigFetcher {
    /// Records that the control process `by` holds `version`, and wakes the fetch thread if that is news.
    pub fn announce(&self, now: time::Instant, by: net::Ipv4Addr, version: u64) {
        if locks::lock(&self.inner)
            .incoming
            .note_version(now, by, version)
        {
            self.changed.notify_all();
        }
    }

    /// The newest version that any control process has announced; zero if none has.
    #[must_use]
    pub fn newest(&self) -> u64 {
        locks::lock(&self.inner).incoming.newest()
    }

    /// How long a newer version than `held` has been known; none if `held` is the newest.
    #[must_use]
    pub fn behind(&self, now: time::Instant, held: u64) -> Option<time::Millis> {
        locks::lock(&self.inner).incoming.behind(now, held)
    }

    /// The preferred control process, if there is one.
    pub fn preferred(&self) -> Option<net::Ipv4Addr> {
        locks::lock(&self.inner).preferred
    }

    /// Sets the preferred control process.
    pub fn prefer(&self, preferred: net::Ipv4Addr) {
        locks::lock(&self.inner).preferred = Some(preferred);
    }
}

fn run<D: dialect::Dialect>(shared: &state::Shared<D>) {
    let fetcher = &shared.config_fetcher;
    loop {
        let held = locks::lock(&shared.document).version;
        let next = {
            let mut inner = locks::lock(&fetcher.inner);
            let preferred = inner.preferred;
            inner.incoming.next(held, preferred)
        };
        match next {
            transfer::NextStep::Wait => wait_for_newer(fetcher, held),
            transfer::NextStep::Ask {
                to,
                transfer,
                offset,
                most,
            } => {
                let req = messages::ConfigReq {
                    text_held: held,
                    transfer,
                    offset,
                    most,
                };
                fetch_chunk(shared, to, &req);
            }
        }
    }
}

/// Waits until a newer version than `held` is announced, for [`ANNOUNCEMENT_WAIT`] at most.
fn wait_for_newer(fetcher: &ConfigFetcher, held: u64) {
    let inner = locks::lock(&fetcher.inner);
    let (_inner, _timeout) = fetcher
        .changed
        .wait_timeout_while(inner, ANNOUNCEMENT_WAIT, |it| it.incoming.newest() <= held)
        .unwrap_or_else(sync::PoisonError::into_inner);
}

fn fetch_chunk<D: dialect::Dialect>(
    shared: &state::Shared<D>,
    to: net::Ipv4Addr,
    req: &messages::ConfigReq,
) {
    let fetcher = &shared.config_fetcher;
    let address = net::SocketAddrV4::new(to, shared.settings.discovery.vms_port).to_string();
    let path = messages::paths::CONFIG;
    let begun = shared.clock.now();
    let resp: Result<messages::ConfigResp, _> =
        shared
            .config_client
            .call(&address, path, req, CHUNK_TIMEOUT);
    let chunk = match resp {
        Ok(resp) => resp.chunk,
        Err(e) => {
            ::log::warn!(control:% = to, offset = req.offset, error:% = e;
                "gateway: cannot fetch a chunk of the configuration");
            locks::lock(&fetcher.inner).incoming.mark_failed(to);
            return thread::sleep(RETRY_INTERVAL);
        }
    };
    let Some(chunk) = chunk else {
        return locks::lock(&fetcher.inner).incoming.has_nothing_newer(to);
    };
    let took = shared.clock.now().since(begun);
    let taken = locks::lock(&fetcher.inner).incoming.take(&chunk, took);
    match taken {
        Ok(transfer::ChunkOutcome::More) => {}
        Ok(transfer::ChunkOutcome::Whole(payload)) => apply_payload(shared, &payload),
        Err(e) => {
            ::log::warn!(control:% = to, error:% = e;
                "gateway: unusable chunk, restarting the fetch of the configuration");
            locks::lock(&fetcher.inner).incoming.mark_failed(to);
            thread::sleep(RETRY_INTERVAL);
        }
    }
}

fn apply_payload<D: dialect::Dialect>(shared: &state::Shared<D>, payload: &transfer::Payload) {
    let transfer::TransferId { from, version, .. } = payload.id;
    let bytes = payload.bytes.len();
    let text = {
        let held = locks::lock(&shared.document);
        let none = document::Document::default();
        let before = if from == 0 { &none } else { &*held };
        compression::decompress(version, &payload.bytes, before)
    };
    match text {
        Ok(document) => {
            if from == 0 {
                ::log::info!(version, bytes; "gateway: received a complete configuration");
            } else {
                ::log::info!(version, from, bytes; "gateway: received a configuration as a delta");
            }
            apply_document(shared, document);
        }
        Err(e) => {
            ::log::warn!(version, from, error:% = e;
                "gateway: cannot apply the received configuration, requesting a complete one");
            *locks::lock(&shared.document) = document::Document::default();
        }
    }
}

/// Puts a configuration in force, and stores its text. The text is stored even if it can't be parsed: it is the base of
/// the next delta, and is not fetched again.
pub fn apply_document<D: dialect::Dialect>(
    shared: &state::Shared<D>,
    document: document::Document,
) {
    match shared.dialect.config(document.text.as_bytes()) {
        Ok(config) => shared.apply_config(config),
        Err(e) => {
            ::log::error!(version = document.version, error:% = e;
                "gateway: cannot parse the configuration, keeping the previous one");
        }
    }
    let mut held = locks::lock(&shared.document);
    if document.version > held.version {
        *held = document;
    }
}
