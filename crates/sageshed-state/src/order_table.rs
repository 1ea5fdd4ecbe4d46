//! Orders to engines whose outcome is not known.
//!
//! An order is recorded here before it is sent, so that a new leader knows every order that may still
//! be in progress and accounts for its memory. It is removed only when a report shows its outcome, or
//! when the incarnation of the endpoint to which it is addressed has ended.
//!
//! Orders proposed by a leader that was partitioned may be committed only after its successor has
//! started. If they were issued then, they would load a model into memory that the successor has
//! already assigned to another one. So orders carry the proposer's term, and orders of a term below
//! the highest started one are not issued.

use std::collections;

use sageshed_types::endpoints;
use serde::{Deserialize, Serialize};

use crate::command;

/// The open orders, and the counters from which new orders get their ids and fencing tokens.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct OrderTable {
    term: u64,
    last_fence: endpoints::Fence,
    last_order: endpoints::OrderId,
    open: collections::BTreeMap<endpoints::OrderId, endpoints::Order>,
}

impl OrderTable {
    /// The highest term in which a leader has started.
    #[must_use]
    pub fn term(&self) -> u64 {
        self.term
    }

    /// The open orders, in the order of their ids.
    pub fn open(&self) -> impl Iterator<Item = &endpoints::Order> {
        self.open.values()
    }

    /// The open order with this id.
    #[must_use]
    pub fn get(&self, order: endpoints::OrderId) -> Option<&endpoints::Order> {
        self.open.get(&order)
    }

    /// Records that a leader of `term` has started. Returns a fencing token greater than all earlier ones.
    pub fn leader_started(&mut self, term: u64) -> endpoints::Fence {
        self.term = self.term.max(term);
        self.next_fence()
    }

    /// Records orders that a leader of `term` proposes, unless a later leader has started.
    ///
    /// For an order that equals an open one, the open one is returned instead of issuing it again. A
    /// leader proposes an order again if it did not learn the outcome of its first proposal. Otherwise
    /// two loads of one model would be counted, and would both run on an engine that ignores fencing
    /// tokens.
    pub fn issue(
        &mut self,
        term: u64,
        proposed: Vec<command::ProposedOrder>,
    ) -> command::IssueOutcome {
        if term < self.term {
            return command::IssueOutcome::StaleTerm { highest: self.term };
        }
        self.term = term;
        let issued = proposed.into_iter().map(|order| self.issue_one(order));
        command::IssueOutcome::Issued(issued.collect())
    }

    /// Closes the given orders and returns those that were open.
    pub fn settle(&mut self, orders: &[endpoints::OrderId]) -> Vec<endpoints::Order> {
        orders
            .iter()
            .filter_map(|order| self.open.remove(order))
            .collect()
    }

    /// Closes the orders to lower incarnations of `endpoint`, which would refuse them.
    pub fn endpoint_incarnation(
        &mut self,
        endpoint: &str,
        incarnation: endpoints::Incarnation,
    ) -> Vec<endpoints::Order> {
        self.close_where(|order| order.endpoint == endpoint && order.incarnation < incarnation)
    }

    /// Closes all orders to `endpoint`.
    pub fn endpoint_gone(&mut self, endpoint: &str) -> Vec<endpoints::Order> {
        self.close_where(|order| order.endpoint == endpoint)
    }

    fn issue_one(&mut self, proposed: command::ProposedOrder) -> endpoints::Order {
        if let Some(open) = self.find_equal(&proposed) {
            return open.clone();
        }
        self.last_order.0 += 1;
        let order = endpoints::Order {
            order: self.last_order,
            endpoint: proposed.endpoint,
            incarnation: proposed.incarnation,
            fence: self.next_fence(),
            task: proposed.task,
        };
        self.open.insert(order.order, order.clone());
        order
    }

    fn find_equal(&self, proposed: &command::ProposedOrder) -> Option<&endpoints::Order> {
        self.open.values().find(|open| {
            open.endpoint == proposed.endpoint
                && open.incarnation == proposed.incarnation
                && open.task == proposed.task
        })
    }

    fn next_fence(&mut self) -> endpoints::Fence {
        self.last_fence.0 += 1;
        self.last_fence
    }

    fn close_where(
        &mut self,
        is_void: impl Fn(&endpoints::Order) -> bool,
    ) -> Vec<endpoints::Order> {
        let ids = self.open.values().filter(|order| is_void(order));
        let ids: Vec<_> = ids.map(|order| order.order).collect();
        self.settle(&ids)
    }
}
