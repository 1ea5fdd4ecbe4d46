//! The thread that owns the memory ledger and the planner, and sends orders.
//!
//! Every control process runs it and feeds it reports, so that a new leader knows the engines at
//! once; only the leader's proposes and sends. An order goes out only after it was committed here:
//! the ledger hears of it by [`Input::Decided`], and asks for it to be sent then.

use std::{
    sync::{self, mpsc},
    thread, time,
};

use sageshed_engines::{client, orders};
use sageshed_place as place;
use sageshed_state::{command, control};
use sageshed_types::{endpoints, messages};

use super::{
    inputs::{self, Fate, Reply},
    shared,
};
use crate::locks;

/// The longest wait between two looks at the clock.
const TICK: time::Duration = time::Duration::from_millis(100);

/// Something for the placing thread.
#[derive(Debug)]
pub enum Input {
    /// An endpoint's report.
    Report(Box<endpoints::Report>),
    /// What an entry process was asked for.
    Demand {
        /// Which.
        from_vm: String,
        /// By model.
        demand: Vec<messages::Demand>,
    },
    /// The outcome of a command that this thread, or the driver for it, proposed.
    Decided(Fate),
    /// This process leads no longer.
    Follow,
    /// The pins have changed.
    Pins(Vec<place::Pin>),
    /// An order was sent, or not.
    Sent {
        /// Which.
        order: endpoints::OrderId,
        /// What came of it.
        sent: orders::Sent,
    },
}

/// The pins to an endpoint, as the planner takes them.
#[must_use]
pub fn pins(state: &control::ControlState) -> Vec<place::Pin> {
    let all = state
        .pins()
        .flat_map(|(model, places)| places.iter().map(move |at| (model, at)));
    let pin = |(model, at): (&str, &command::Place)| match at {
        command::Place::Endpoint(endpoint) => Some(place::Pin {
            model: model.to_owned(),
            endpoint: endpoint.clone(),
        }),
        command::Place::AvailabilityZone(_) => None,
    };
    all.filter_map(pin).collect()
}

/// What the thread owns.
#[derive(Debug)]
pub struct Placing {
    /// What the process publishes.
    pub shared: sync::Arc<shared::Shared>,
    /// To the driver.
    pub inputs: inputs::Inputs,
    /// To the engines.
    pub client: client::Client,
    /// The ledger and the planner.
    pub placement: place::Placement,
    /// Time between two plans.
    pub plan_interval: time::Duration,
    /// To this thread.
    pub tx: mpsc::Sender<Input>,
    /// From all others.
    pub rx: mpsc::Receiver<Input>,
    /// A proposal came to nothing: the ledger starts again from the table of open orders.
    pub restart: bool,
}

impl Placing {
    /// Runs until the process stops.
    pub fn run(mut self) {
        let mut plan_at = time::Instant::now() + self.plan_interval;
        while !self.shared.is_stopping() {
            if let Ok(first) = self.rx.recv_timeout(TICK) {
                self.take(first);
                for input in self.rx.try_iter().collect::<Vec<_>>() {
                    self.take(input);
                }
            }
            if time::Instant::now() >= plan_at {
                plan_at = time::Instant::now() + self.plan_interval;
                self.start_again();
                self.step(place::Event::Plan);
                *locks::write(&self.shared.models) = self.placement.models();
            }
        }
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Report(report) => self.step(place::Event::Report(*report)),
            Input::Demand { from_vm, demand } => {
                self.step(place::Event::Demand { from_vm, demand });
            }
            Input::Decided(fate) => self.decided(fate),
            Input::Follow => self.step(place::Event::LeadershipLost),
            Input::Pins(pins) => self.step(place::Event::Pins(pins)),
            Input::Sent { order, sent } => self.sent(order, &sent),
        }
    }

    fn decided(&mut self, fate: Fate) {
        let Fate::Applied(Some(outcome)) = fate else {
            // The ledger holds memory for what was proposed, and would hold it for as long as this
            // process leads. It starts again from the table of open orders, behind a barrier: a
            // proposal whose fate is open is committed before it or never.
            self.step(place::Event::LeadershipLost);
            self.restart = true;
            return;
        };
        match *outcome {
            command::Outcome::LeaderStarted { .. } => self.lead(),
            command::Outcome::Issue(command::IssueOutcome::Issued(orders)) => {
                for order in orders {
                    self.step(place::Event::OrderCommitted(order));
                }
            }
            command::Outcome::Closed(orders) => {
                let orders = orders.iter().map(|order| order.order).collect();
                self.step(place::Event::OrdersRemoved(orders));
            }
            command::Outcome::Issue(command::IssueOutcome::StaleTerm { highest }) => {
                log::info!(term = highest; "control: orders not issued, a later leader has started");
            }
            _ => {}
        }
    }

    /// Proposes the barrier behind which the ledger starts again, if this process still leads.
    fn start_again(&mut self) {
        if !std::mem::take(&mut self.restart) || !self.shared.leads() {
            return;
        }
        let term = locks::read(&self.shared.view).status.term.0;
        self.submit(command::Command::LeaderStarted { term });
    }

    fn lead(&mut self) {
        let (open, pins) = {
            let state = locks::read(&self.shared.state);
            (
                state.orders().open().cloned().collect::<Vec<_>>(),
                pins(&state),
            )
        };
        log::info!(open = open.len(); "control: placement starts");
        self.step(place::Event::OrdersRestored(open));
        self.step(place::Event::Pins(pins));
    }

    fn sent(&mut self, order: endpoints::OrderId, sent: &orders::Sent) {
        log::info!(order:% = order, sent:? = sent; "control: order sent");
        match sent {
            orders::Sent::NotSent { .. } => self.step(place::Event::OrderNotSent(order)),
            // Refused or not, the endpoint's report is what settles it.
            orders::Sent::Accepted
            | orders::Sent::Refused { .. }
            | orders::Sent::Unknown { .. } => {
                self.step(place::Event::OrderSent(order));
            }
        }
    }

    fn step(&mut self, event: place::Event) {
        let now = self.shared.clock.now();
        for action in self.placement.step(now, event) {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: place::Action) {
        match action {
            place::Action::Propose(wanted) => self.propose(wanted),
            place::Action::SendOrder(order) => self.send(order),
            place::Action::Settle(orders) => {
                self.submit(command::Command::SettleOrders(orders));
            }
            place::Action::Note {
                endpoint,
                model,
                reason,
            } => {
                log::info!(endpoint:? = endpoint, model:? = model, reason = reason.as_str();
                    "control: placement");
            }
        }
    }

    fn propose(&mut self, wanted: Vec<(String, endpoints::Incarnation, endpoints::Task)>) {
        let orders =
            wanted
                .into_iter()
                .map(|(endpoint, incarnation, task)| command::ProposedOrder {
                    endpoint,
                    incarnation,
                    task,
                });
        let term = locks::read(&self.shared.view).status.term.0;
        let orders = orders.collect();
        self.submit(command::Command::IssueOrders { term, orders });
    }

    /// Proposes a command whose outcome this thread needs.
    fn submit(&mut self, command: command::Command) {
        let reply = Reply::Placing(self.tx.clone());
        if !self.inputs.submit(command, reply) {
            self.restart = true;
        }
    }

    /// Sends an order on a thread of its own, since an engine may take its time to answer.
    fn send(&self, order: endpoints::Order) {
        let Some(address) = self.address(&order) else {
            let problem = "the endpoint is not known here".to_owned();
            let sent = orders::Sent::NotSent { problem };
            drop(self.tx.send(Input::Sent {
                order: order.order,
                sent,
            }));
            return;
        };
        let (client, tx) = (self.client.clone(), self.tx.clone());
        let id = order.order;
        let send = move || {
            let sent = client.order(&address, &order);
            drop(tx.send(Input::Sent { order: id, sent }));
        };
        if let Err(e) = thread::Builder::new()
            .name(format!("order-{id}"))
            .spawn(send)
        {
            let problem = format!("no thread to send it: {e}");
            drop(self.tx.send(Input::Sent {
                order: id,
                sent: orders::Sent::NotSent { problem },
            }));
        }
    }

    fn address(&self, order: &endpoints::Order) -> Option<String> {
        let directory = locks::lock(&self.shared.directory);
        let report = directory.get(&order.endpoint)?;
        let same = report.identity.incarnation == order.incarnation;
        same.then(|| report.identity.address.clone())
    }
}
