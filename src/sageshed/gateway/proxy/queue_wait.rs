//! Lets a request wait in the queue that the coordinator of its model keeps.

use std::{net, sync::mpsc, time as std_time};

use sageshed_fleet::{
    allowance, chooser, dialect,
    entry_peers::{self as wire, RoutingDecision},
    queue_holder, reply_times,
};
use sageshed_types::{refusal, time, verdict};

use super::ProxiedRequest;
use crate::gateway::{entry_peers, queues, routing_queries, state::CALLER_CHECK_INTERVAL};

/// A request that may wait in queues, from its first query until it is sent or refused.
#[derive(Debug)]
pub(super) struct QueueWait {
    /// Identifies the request in its queries. A query that is still on its way when the request has been withdrawn
    /// must not let it join again, so it changes after each withdrawal.
    request: u64,
    /// Identifies the replies. It changes with the request, so that a grant from before a withdrawal is not delivered.
    id: u64,
    replies: mpsc::Receiver<entry_peers::FromCoordinator>,
    holder: queue_holder::QueueHolder,
    unread: Option<entry_peers::FromCoordinator>,
    began: std_time::Instant,
    /// When the latest query was sent, until its reply is read.
    queried_at: Option<std_time::Instant>,
    queries: u32,
    /// The coordinator whose grant was accepted.
    granted_by: Option<net::Ipv4Addr>,
}

impl QueueWait {
    /// Whether the request waits for a grant.
    pub(super) fn is_queued(&self) -> bool {
        self.holder.is_queued()
    }

    /// Waits up to `limit` for a reply.
    pub(super) fn block(&mut self, limit: std_time::Duration) {
        if self.unread.is_none() {
            self.unread = self.replies.recv_timeout(limit).ok();
        }
    }

    /// Describes the wait for logs and request traces; none if no coordinator was queried.
    fn describe(&self) -> Option<String> {
        let coordinator = self.granted_by.or(self.holder.coordinator())?;
        let result = if self.granted_by.is_some() {
            "granted"
        } else {
            "not granted"
        };
        let (ms, queries) = (self.began.elapsed().as_millis(), self.queries);
        Some(format!(
            "at {coordinator} for {ms} ms, {queries} queries, {result}"
        ))
    }

    fn take_reply(&mut self, limit: time::Millis) -> Option<entry_peers::FromCoordinator> {
        self.block(limit.into());
        self.unread.take()
    }
}

impl<D: dialect::Dialect> ProxiedRequest<'_, D> {
    /// Prepares to wait in queues. None if they are not enabled, the model has no coordinator, the request resumes a
    /// stream, or it may have run: a stream is moved because another engine is free, and a refusal by the queue would cut
    /// it off.
    pub(super) fn begin_queue_wait(&self) -> Option<QueueWait> {
        let is_enabled = self.shared.settings.shared_queue.enabled;
        let may_queue = self.possible_runs == 0 && !self.is_resumption();
        if !is_enabled || !may_queue || self.coordinators().is_empty() {
            return None;
        }
        let (id, replies) = self.shared.entry_peers.as_ref()?.add_queued();
        Some(QueueWait {
            request: self.queue_key(id),
            id,
            replies,
            holder: queue_holder::QueueHolder::default(),
            unread: None,
            began: std_time::Instant::now(),
            queried_at: None,
            queries: 0,
            granted_by: None,
        })
    }

    /// Asks the coordinators of the model where to send the request, or takes a grant that has arrived. None if the
    /// request is to be routed without them.
    pub(super) fn ask_queue(
        &self,
        query: &chooser::EndpointQuery<'_>,
        wait: &mut QueueWait,
    ) -> Option<RoutingDecision> {
        let peers = self.shared.entry_peers.as_ref()?;
        loop {
            let now = self.shared.clock.now();
            let mut reply = wait.take_reply(time::Millis(0));
            if reply.is_none() {
                if let Some(lost) = wait.holder.take_unanswered(now) {
                    peers.mark_unresponsive(lost);
                }
                let responsive = peers.responsive(&self.coordinators());
                match wait.holder.next(now, &responsive) {
                    queue_holder::Action::Query(to) => self.send_query(query, wait, to)?,
                    queue_holder::Action::AwaitReply(span) => reply = wait.take_reply(span),
                    queue_holder::Action::AwaitGrant(_) | queue_holder::Action::Poll(_) => {
                        return Some(RoutingDecision::Wait { expected: None });
                    }
                    queue_holder::Action::Decide => return None,
                }
            }
            let Some((from, reply)) = reply else {
                continue;
            };
            let queried_at = wait.queried_at.take();
            if queried_at.is_some_and(|it| it.elapsed() > reply_times::REPLY_TIMEOUT.into()) {
                peers.count_late_reply();
            }
            let now = self.shared.clock.now();
            match wait.holder.receive(now, from, &reply) {
                queue_holder::Received::Decision(decision) => {
                    let is_grant = matches!(decision, RoutingDecision::Engine { .. });
                    wait.granted_by = is_grant.then_some(from);
                    return Some(decision);
                }
                queue_holder::Received::Ignored => {
                    ::log::debug!(request = self.id(), home:% = from;
                        "gateway: ignored a reply that is too old, or of another coordinator");
                }
            }
        }
    }

    /// Waits up to `limit` for a grant, or until the query is due again.
    pub(super) fn block_in_queue(&self, wait: &mut QueueWait, limit: time::Millis) {
        let left = wait.holder.time_to_repeat(self.shared.clock.now());
        let limit = CALLER_CHECK_INTERVAL.min(limit.min(left).into());
        wait.block(limit);
    }

    /// Confirms the grant by which `decision` was made if `choice` follows it, and returns it otherwise.
    pub(super) fn settle_grant(
        &self,
        wait: &mut QueueWait,
        decision: Option<RoutingDecision>,
        choice: &chooser::Choice,
    ) {
        let (Some(RoutingDecision::Engine { engine, .. }), Some(coordinator)) =
            (decision, wait.granted_by)
        else {
            return;
        };
        let own = self.shared.settings.discovery.ip;
        let is_used = self.shared.with_core(|core| {
            let is_used = matches!(choice, chooser::Choice::Send(pick)
                if core.chooser.instance_key(pick.key) == Some(engine));
            if is_used && coordinator == own {
                // This process is told of what other processes send, not of what it sends itself.
                let now = self.shared.clock.now();
                core.queues
                    .record_used(now, wait.request, &mut core.chooser);
            }
            is_used
        });
        if is_used {
            self.granted.set(Some(wait.request));
            ::log::debug!(request = self.id(), home:% = coordinator, queries = wait.queries,
                waited_ms = time::Millis::from(wait.began.elapsed()).0;
                "gateway: request granted an engine by its queue");
        } else {
            self.return_grant(Some(wait));
        }
    }

    /// Returns a grant that can't be used. The request may join again as a new one.
    pub(super) fn return_grant(&self, wait: Option<&mut QueueWait>) {
        let Some(wait) = wait.filter(|it| it.granted_by.is_some()) else {
            return;
        };
        wait.granted_by = None;
        self.granted.set(None);
        ::log::debug!(request = self.id(); "gateway: returned a grant that could not be used");
        let joined = wait.holder.leave(None);
        self.cancel(wait.request, &joined);
        if let Some(peers) = &self.shared.entry_peers {
            peers.remove_queued(wait.id);
            (wait.id, wait.replies) = peers.add_queued();
            wait.unread = None;
        }
        wait.request = self.queue_key(wait.id);
    }

    /// Ends the wait. Coordinators that may still have the request in their queues are told.
    pub(super) fn end_queue_wait(&mut self, mut wait: QueueWait) {
        if let Some(text) = wait.describe() {
            self.attempt_log.record_queue(text);
        }
        if let Some(peers) = &self.shared.entry_peers {
            peers.remove_queued(wait.id);
        }
        let joined = wait.holder.leave(wait.granted_by);
        self.cancel(wait.request, &joined);
    }

    /// The refusal of a request that can't begin before its caller gives up, by the coordinator's queue.
    pub(super) fn refused_by_queue(&self, retry_after: time::Millis) -> refusal::Refusal {
        let detail = "those that wait for the model take longer than the caller waits";
        let refusal = self.final_refusal(verdict::Reason::DeadlineUnmeetable, detail.to_owned());
        match refusal.retry_after {
            Some(_) => refusal.with_retry_after(retry_after),
            None => refusal,
        }
    }

    fn send_query(
        &self,
        query: &chooser::EndpointQuery<'_>,
        wait: &mut QueueWait,
        to: net::Ipv4Addr,
    ) -> Option<()> {
        let peers = self.shared.entry_peers.as_ref()?;
        let message = routing_queries::message(self.shared, wait.request, query)?;
        wait.queries += 1;
        wait.queried_at = Some(std_time::Instant::now());
        let message = wire::RoutingQuery {
            id: wait.id,
            queue: Some(self.membership()),
            ..message
        };
        let timeout = if to == self.shared.settings.discovery.ip {
            reply_times::REPLY_TIMEOUT
        } else {
            peers.begin_query(self.shared.clock.now(), wait.id)
        };
        wait.holder.set_reply_timeout(timeout);
        queues::send(self.shared, to, wire::Datagram::RoutingQuery(message));
        Some(())
    }

    fn membership(&self) -> wire::QueueMembership {
        let name = self.workspace_name();
        wire::QueueMembership {
            priority: self.priority(),
            workspace: if name.is_empty() {
                0
            } else {
                allowance::Key::of_workspace(name).0
            },
            weight: self.shared.settings.shared_queue.weight(name),
            content: self.content.0,
            abandoned_in: self.wait_left(),
            output_tokens: self.metadata.output_tokens,
            sent_at: self.shared.clock.now(),
        }
    }

    fn cancel(&self, request: u64, coordinators: &[net::Ipv4Addr]) {
        for to in coordinators {
            let cancellation = wire::Cancellation { request };
            queues::send(self.shared, *to, wire::Datagram::Cancel(cancellation));
        }
    }

    /// The coordinators of the model, this process included; none while it is stopping, since it may exit before a
    /// queue grants an engine.
    fn coordinators(&self) -> Vec<net::Ipv4Addr> {
        let wanted = self.wanted.filter(|_| !self.shared.is_stopping());
        wanted.map_or_else(Vec::new, |wanted| {
            self.shared
                .with_core(|core| core.chooser.queue_coordinators(&wanted.model))
        })
    }

    /// Identifies the request in queues. The id of the caller does not: callers may send none, or the same twice.
    fn queue_key(&self, id: u64) -> u64 {
        wire::hash(&(self.shared.settings.discovery.ip, id))
    }
}
