//! Plans the placement of models while this process leads, and sends the planner's orders and queries to engines.

use std::{
    net,
    sync::{self, mpsc},
    thread, time as std_time,
};

use sageshed_fleet::{config, dialect, directory, messages, planner};
use sageshed_upstream::{exchange, failure, pool};

use crate::{control::shared, locks, outbound};

/// How long the planning thread waits for an input before it makes a pass without one.
const PLANNING_INTERVAL: std_time::Duration = std_time::Duration::from_millis(50);

/// The interval between two summaries of the placement in the log.
const SUMMARY_INTERVAL: std_time::Duration = std_time::Duration::from_secs(2);

/// The number of threads that send orders to engines.
const ORDER_THREADS: usize = 6;

/// The number of threads that query engines for their reports. They are separate, so that no order waits for a query.
const REPORT_THREADS: usize = 6;

/// The pause after a planning pass, as a multiple of its duration, and at most [`PLANNING_INTERVAL`]. It bounds the CPU
/// time of planning, since a pass iterates over all engines.
const PAUSE_PER_PASS: u32 = 4;

/// The timeout for an order or a query to an engine.
const CALL_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(500);

/// The largest response of an engine.
const MAX_RESPONSE_BYTES: usize = 256 * 1024;

/// An input for the planner.
#[derive(Debug)]
pub enum Input {
    /// The demand that an entry process has reported.
    Demand(Vec<messages::Demand>),
    /// A request waits for an adapter.
    AdapterRequest(messages::AdapterReq),
    /// An order, and the engine's answer if one arrived.
    Answered(Box<dialect::Order>, Option<dialect::OrderResponse>),
    /// The report of an engine; none if the query failed.
    Reported(directory::InstanceId, Option<dialect::Report>),
    /// A backpressure notice that an engine has added to a response.
    Notice(directory::InstanceId, dialect::Notice),
    /// Results have arrived: the planning thread need not wait for other inputs.
    Wake,
}

/// A query for the report of an engine.
#[derive(Debug)]
struct ReportQuery {
    instance: directory::InstanceId,
    address: net::SocketAddrV4,
}

/// The state of the planning thread.
struct Planning<D> {
    shared: sync::Arc<shared::Shared>,
    dialect: D,
    planner: planner::Planner,
    config: Option<config::FleetConfig>,
    term: u64,
    orders: mpsc::Sender<dialect::Order>,
    queries: mpsc::Sender<ReportQuery>,
    last_summary: std_time::Instant,
}

/// Runs the planning thread until the process stops.
pub fn run<D: dialect::Dialect>(
    shared: &sync::Arc<shared::Shared>,
    dialect: D,
    policy: planner::Policy,
) {
    let Some(inputs) = shared.hub.take_planning() else {
        return ::log::error!("control: planning thread started twice");
    };
    let pool = pool::Pool::new(pool::Settings::default());
    let orders = start_workers(shared, "orders", ORDER_THREADS, {
        let pool = pool.clone();
        move |shared, order| send_order(shared, dialect, &pool, order)
    });
    let queries = start_workers(shared, "reports", REPORT_THREADS, move |shared, query| {
        query_report(shared, dialect, &pool, query)
    });
    let mut planning = Planning {
        planner: planner::Planner::new(policy, &shared.process.vm),
        shared: sync::Arc::clone(shared),
        dialect,
        config: None,
        term: 0,
        orders,
        queries,
        last_summary: std_time::Instant::now(),
    };
    while !shared.is_stopping() {
        planning.apply_inputs(inputs.next_batch(PLANNING_INTERVAL));
        let begun = std_time::Instant::now();
        planning.run_pass();
        thread::sleep((begun.elapsed() * PAUSE_PER_PASS).min(PLANNING_INTERVAL));
    }
}

impl<D: dialect::Dialect> Planning<D> {
    fn apply_inputs(&mut self, inputs: Vec<Input>) {
        let now = self.shared.clock.now();
        for input in inputs {
            match input {
                Input::Wake => {}
                Input::Demand(demand) => self.planner.add_demand(now, &demand),
                Input::AdapterRequest(req) => self.planner.request_adapter(now, req),
                Input::Reported(instance, report) => {
                    self.planner.handle_report(now, &instance, report);
                }
                Input::Notice(instance, notice) => {
                    ::log::info!(endpoint:% = instance, limit:? = notice.limit, rest:? = notice.retry_after,
                        leaves = notice.is_leaving; "control: engine reports a backpressure notice");
                    self.planner.apply_notice(now, &instance, notice);
                }
                Input::Answered(order, answer) => {
                    ::log::info!(endpoint:% = order.instance, task:% = order.task,
                        accepted_before = order.accepted_before, answer:? = answer;
                        "control: order answered");
                    let actions = self.planner.handle_order_response(now, &order, answer);
                    self.carry_out(actions);
                }
            }
        }
    }

    fn run_pass(&mut self) {
        let now = self.shared.clock.now();
        for id in self.shared.hub.expire(now) {
            ::log::warn!(endpoint:% = id; "control: endpoint was silent for too long");
        }
        if !self.follow_leadership() {
            return;
        }
        self.read_config();
        let Some(config) = &self.config else {
            return;
        };
        let present = self.shared.hub.present();
        let present: Vec<&directory::Instance> = present.iter().map(|it| &**it).collect();
        self.planner.set_restarted(self.shared.hub.restarted());
        let actions = self.planner.tick(now, config, &present);
        if self.last_summary.elapsed() >= SUMMARY_INTERVAL {
            self.last_summary = std_time::Instant::now();
            for it in self.planner.summary(now, config, &present) {
                ::log::info!(service = it.service.as_str(), engines = it.engines,
                    free_for_orders = it.free_for_orders, short:? = it.short_of_replicas, unserved:? = it.unserved,
                    busiest:% = describe_busiest(&it.busiest),
                    store_is_free = it.store_is_free, max_store_loads = it.max_store_loads, work:% = format_args!("{:.1}", it.work),
                    wants = it.adapter_requests; "control: placement");
            }
        }
        self.carry_out(actions);
    }

    /// Returns whether this process leads, and tells the planner when that changes.
    fn follow_leadership(&mut self) -> bool {
        let term = locks::read(&self.shared.view).status.term.0;
        if !self.shared.leads() {
            self.planner.stop_leading();
            return false;
        }
        if !self.planner.is_leading() || self.term != term {
            self.term = term;
            self.planner.start_leading(self.shared.clock.now(), term);
            ::log::info!(term; "control: planning placement as leader");
        }
        true
    }

    fn read_config(&mut self) {
        let state = locks::read(&self.shared.state);
        let fleet = state.fleet();
        let known = self.config.as_ref().map_or(0, |it| it.version);
        if fleet.version == known {
            return;
        }
        match self.dialect.config(fleet.text.as_bytes()) {
            Ok(config) => self.config = Some(config),
            Err(e) => ::log::error!(error:% = e; "control: cannot parse the stored configuration"),
        }
    }

    fn carry_out(&self, actions: Vec<planner::Action>) {
        let now = self.shared.clock.now();
        for action in actions {
            match action {
                planner::Action::Amend { instance, task } => {
                    self.shared
                        .hub
                        .amend(now, &instance, |it| apply_task(it, &task));
                }
                planner::Action::Order(order) => {
                    if self.orders.send(order).is_err() {
                        ::log::error!("control: no thread sends orders");
                    }
                }
                planner::Action::RequestReport { instance, address } => {
                    if self
                        .queries
                        .send(ReportQuery { instance, address })
                        .is_err()
                    {
                        ::log::error!("control: no thread queries reports");
                    }
                }
            }
        }
    }
}

/// Describes the busiest models for the log: loaded and loading replicas, and the number of engines kept busy.
fn describe_busiest(models: &[planner::ModelLoad]) -> String {
    let models = models.iter().map(|it| {
        let planner::ModelLoad {
            model,
            replicas,
            loading,
            work,
        } = it;
        format!("{model} {replicas}+{loading} {work:.1}")
    });
    models.collect::<Vec<_>>().join(", ")
}

/// Applies the effect of an order to the record of an engine.
fn apply_task(instance: &mut directory::Instance, task: &dialect::Task) {
    match task {
        dialect::Task::Load(_) => {}
        dialect::Task::Unload(model) => instance.models.retain(|it| it.model != *model),
        dialect::Task::LoadAdapter(model, adapter) => {
            for resident in instance.models.iter_mut().filter(|it| it.model == *model) {
                if !resident.adapters.contains(adapter) {
                    resident.adapters.push(adapter.clone());
                }
            }
        }
        dialect::Task::UnloadAdapter(model, adapter) => {
            for resident in instance.models.iter_mut().filter(|it| it.model == *model) {
                resident.adapters.retain(|it| it != adapter);
            }
        }
    }
}

/// Starts threads that call engines by `call` and hand the results to the planner.
fn start_workers<T: Send + 'static>(
    shared: &sync::Arc<shared::Shared>,
    name: &str,
    threads: usize,
    call: impl Fn(&shared::Shared, T) -> Input + Clone + Send + 'static,
) -> mpsc::Sender<T> {
    let (tx, rx) = mpsc::channel();
    let rx = sync::Arc::new(sync::Mutex::new(rx));
    for _ in 0..threads {
        let (shared, rx) = (sync::Arc::clone(shared), sync::Arc::clone(&rx));
        let call = call.clone();
        let spawned = thread::Builder::new().name(name.to_owned()).spawn(move || {
            loop {
                let wanted = locks::lock(&rx).recv();
                let Ok(wanted) = wanted else {
                    return;
                };
                shared.hub.plan_result(call(&shared, wanted));
            }
        });
        if let Err(e) = spawned {
            ::log::error!(error:% = e, name; "control: cannot start a thread for calls to engines");
        }
    }
    tx
}

/// Sends an order to an engine, if this process still leads.
fn send_order<D: dialect::Dialect>(
    shared: &shared::Shared,
    dialect: D,
    pool: &pool::Pool,
    order: dialect::Order,
) -> Input {
    // The process may have been suspended since the order was planned.
    let answer = if shared.leads() {
        match exchange_with(pool, order.address, &dialect.order(&order)) {
            Ok((head, _)) => {
                handle_notice(shared, dialect, &order.instance, &head);
                Some(dialect.order_response(head.status))
            }
            Err(e) if !e.is_sent => Some(dialect::OrderResponse::Refused(0)),
            Err(_) => None,
        }
    } else {
        Some(dialect::OrderResponse::Refused(0))
    };
    Input::Answered(Box::new(order), answer)
}

/// Queries an engine for its report.
fn query_report<D: dialect::Dialect>(
    shared: &shared::Shared,
    dialect: D,
    pool: &pool::Pool,
    query: ReportQuery,
) -> Input {
    let ReportQuery { instance, address } = query;
    let answer = exchange_with(pool, address, &dialect.report_request(&instance));
    let report = match answer {
        Ok((head, body)) => {
            handle_notice(shared, dialect, &instance, &head);
            read_report(dialect, &instance, head.status, &body)
        }
        Err(e) => {
            ::log::info!(endpoint:% = instance, error:% = e; "control: cannot query the report of an engine");
            None
        }
    };
    Input::Reported(instance, report)
}

fn read_report<D: dialect::Dialect>(
    dialect: D,
    instance: &directory::InstanceId,
    status: u16,
    body: &[u8],
) -> Option<dialect::Report> {
    if status != 200 {
        ::log::info!(endpoint:% = instance, status; "control: engine refused to report");
        return None;
    }
    match dialect.report(body) {
        Ok(report) => Some(report),
        Err(e) => {
            ::log::warn!(endpoint:% = instance, error:% = e; "control: cannot parse the report of an engine");
            None
        }
    }
}

/// Applies the notice in a response of an engine.
fn handle_notice<D: dialect::Dialect>(
    shared: &shared::Shared,
    dialect: D,
    instance: &directory::InstanceId,
    head: &exchange::Head,
) {
    let answered = dialect.response_metadata(head.status, |it| head.value(it));
    let notice = answered.notice;
    if !answered.is_of(instance) || notice == dialect::Notice::default() {
        return;
    }
    if notice.is_leaving {
        shared
            .hub
            .mark_leaving(shared.clock.now(), std::slice::from_ref(instance));
    }
    shared.hub.plan(Input::Notice(instance.clone(), notice));
}

fn exchange_with(
    pool: &pool::Pool,
    address: net::SocketAddrV4,
    call: &dialect::OutboundRequest,
) -> Result<(exchange::Head, Vec<u8>), failure::Failure> {
    let host = address.to_string();
    let req = outbound::request(call, &host);
    let patience = exchange::Patience {
        until: std_time::Instant::now() + CALL_TIMEOUT,
        stop: &|| false,
    };
    // Reuse only connections that were idle for a short time: if the engine closed one while the order is sent, the
    // outcome of the order would be unknown.
    let max_age = std_time::Duration::from_secs(1);
    let mut answer = pool.exchange(address, &req, max_age, &patience)?;
    let head = answer.head.clone();
    let body = answer.read_whole(MAX_RESPONSE_BYTES, &patience)?;
    pool.keep(address, answer);
    Ok((head, body))
}
