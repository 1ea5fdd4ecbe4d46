//! Figures of a control process.

use std::sync::atomic;

use sageshed_types::time;

use super::shared;
use crate::{locks, metrics};

/// What a control process shows.
#[derive(Debug)]
pub struct Metrics {
    registry: metrics::Registry,
    leads: metrics::Gauge,
    votes: metrics::Gauge,
    term: metrics::Gauge,
    revision: metrics::Gauge,
    committed: metrics::Gauge,
    lag: metrics::Gauge,
    stalled: metrics::Gauge,
    disk_full: metrics::Gauge,
    claims: metrics::Gauge,
    orders: metrics::Gauge,
    entries: metrics::Gauge,
    entries_behind: metrics::Gauge,
    behind: metrics::Gauge,
    endpoints: metrics::Gauge,
    peer_lag: metrics::Gauge,
    peer_silence: metrics::Gauge,
    misread: metrics::Gauge,
    held: metrics::Gauge,
    origins: metrics::Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let registry = metrics::Registry::new();
        Self {
            leads: registry.gauge("sageshed_control_leads", "1 on the leader, else 0"),
            votes: registry.gauge(
                "sageshed_control_votes",
                "1 on a voter of the group, else 0",
            ),
            term: registry.gauge("sageshed_control_term", "Term of the replicated log"),
            revision: registry.gauge(
                "sageshed_control_revision",
                "Newest revision committed here",
            ),
            committed: registry.gauge("sageshed_control_committed", "Last entry committed here"),
            lag: registry.gauge(
                "sageshed_control_lag",
                "On the leader: entries that a member lacks",
            ),
            stalled: registry.gauge(
                "sageshed_control_stalled",
                "On the leader: seconds since a member that lacks entries acknowledged one",
            ),
            disk_full: registry.gauge("sageshed_control_disk_full", "1 while the disk is full"),
            claims: registry.gauge("sageshed_control_claims", "Claims kept"),
            orders: registry.gauge("sageshed_control_orders_open", "Orders in the table"),
            entries: registry.gauge("sageshed_control_entries_heard", "Entry VMs heard lately"),
            entries_behind: registry.gauge(
                "sageshed_control_entries_behind",
                "Entry processes whose configuration is not the newest",
            ),
            behind: registry.gauge(
                "sageshed_control_config_behind",
                "Seconds for which the one that is behind most has been",
            ),
            endpoints: registry.gauge("sageshed_control_endpoints", "Endpoints heard of"),
            peer_lag: registry.gauge(
                "sageshed_control_directory_lag",
                "Changes of the directory of endpoints that another control process has not received",
            ),
            peer_silence: registry.gauge(
                "sageshed_control_directory_silence",
                "Seconds since all changes of another control process's directory were received",
            ),
            misread: registry.gauge(
                "sageshed_control_words_misread",
                "Words of endpoints and of other processes that could not be read",
            ),
            held: registry.gauge(
                "sageshed_control_requests_held",
                "Requests that are passed on no more since endpoints ended under them",
            ),
            origins: registry.gauge(
                "sageshed_control_stream_records",
                "Records of streams that are kept for entry processes",
            ),
            registry,
        }
    }
}

impl Metrics {
    /// Everything as text, as of now.
    #[must_use]
    pub fn text(&self, shared: &shared::Shared) -> String {
        let view = locks::read(&shared.view).clone();
        let status = &view.status;
        self.leads.set(f64::from(u8::from(shared.leads())));
        let is_voter = status.membership.voters.contains(&shared.node);
        self.votes.set(f64::from(u8::from(is_voter)));
        self.term.set(status.term.0 as f64);
        self.committed.set(status.commit.0 as f64);
        self.disk_full.set(f64::from(u8::from(view.disk_full)));
        let now = shared.clock.now();
        for (member, matched) in &status.matched {
            let lag = status.last.0.saturating_sub(matched.0);
            let vm = shared.voter(*member).vm;
            self.lag.set_for("vm", &vm, lag as f64);
            let since = view.stalled.get(member);
            let stalled = since.map_or(time::Millis(0), |at| now.since(*at));
            self.stalled.set_for("vm", &vm, stalled.0 as f64 / 1_000.0);
        }
        let state = locks::read(&shared.state);
        self.revision.set(state.rules().current().revision.0 as f64);
        self.claims.set(state.claims().len() as f64);
        self.orders.set(state.orders().open().count() as f64);
        drop(state);
        let heard = locks::read(&shared.roster).entries_heard(now);
        self.entries.set(heard as f64);
        let behind = shared.hub.outdated_entries(now);
        self.entries_behind.set(behind.count as f64);
        self.behind.set(behind.longest.0 as f64 / 1_000.0);
        self.endpoints.set(shared.reports().len() as f64);
        for vm in shared.control_peers() {
            if let Some(sync) = shared.hub.peer_sync(now, vm.into()) {
                let name = shared.vm_name(vm).unwrap_or_else(|| format!("#{vm}"));
                self.peer_lag.set_for("vm", &name, sync.lag as f64);
                let silence = sync.silence.0 as f64 / 1_000.0;
                self.peer_silence.set_for("vm", &name, silence);
            }
        }
        self.misread.set(shared.hub.misread.total() as f64);
        let held = shared.hub.with_quarantine(|it| it.count_quarantined(now));
        self.held.set(held as f64);
        let origins = shared.origins.load(atomic::Ordering::Relaxed);
        self.origins.set(origins as f64);
        self.registry.text()
    }
}
