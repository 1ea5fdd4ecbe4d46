//! What a stand-in engine does with an order.

use std::{io, sync, thread};

use sageshed_types::endpoints;

use crate::{
    endpoint::{self, After},
    engine, http, memory,
};

pub(crate) fn handle(
    holder: &sync::Arc<endpoint::Endpoint>,
    conn: &mut http::Connection,
    req: &http::Request,
) -> io::Result<After> {
    let id = engine::id_of(req);
    let order: endpoints::Order = match serde_json::from_slice(&req.body) {
        Ok(order) => order,
        Err(e) => return endpoint::respond_json(conn, 400, id, &[], &e.to_string()),
    };
    match take(holder, &order) {
        memory::Next::Begin | memory::Next::Known => {
            endpoint::respond_json(conn, 200, id, &[], r#"{"ok":true}"#)
        }
        memory::Next::Refuse(problem) => {
            holder.lock().stats.orders_refused += 1;
            endpoint::respond_json(conn, 409, id, &[], &problem)
        }
    }
}

fn take(holder: &sync::Arc<endpoint::Endpoint>, order: &endpoints::Order) -> memory::Next {
    let mut state = holder.lock();
    if order.endpoint != holder.cfg.name || order.incarnation.0 != state.incarnation {
        let problem = format!("this is {} at {}", holder.cfg.name, state.incarnation);
        return memory::Next::Refuse(problem);
    }
    let next = state.memory.admit(order, holder.cfg.checks_fence);
    if next != memory::Next::Begin {
        return next;
    }
    if let Some(problem) = state.memory.begin(&order.task) {
        let outcome = endpoints::OrderOutcome::Refused {
            problem: problem.clone(),
        };
        state.memory.settle(order.order, outcome);
        return memory::Next::Refuse(problem);
    }
    state.stats.orders += 1;
    let taken = state.memory.taken();
    state.stats.most_memory_mib = state.stats.most_memory_mib.max(taken);
    if let endpoints::Kind::Engine { memory_mib, .. } = holder.cfg.kind
        && taken > memory_mib
    {
        state.stats.overcommits += 1;
    }
    let incarnation = state.incarnation;
    drop(state);
    let holder = sync::Arc::clone(holder);
    let order = order.clone();
    thread::spawn(move || carry_out(&holder, &order, incarnation));
    memory::Next::Begin
}

fn carry_out(holder: &endpoint::Endpoint, order: &endpoints::Order, incarnation: u64) {
    match &order.task {
        endpoints::Task::Load { model, .. } => {
            let cfg = &holder.shared.cfg;
            let time = cfg.load_time(model, holder.cfg.load_ms);
            holder.shared.store.load(time);
        }
        endpoints::Task::Unload { model, .. } => {
            while holder.lock().memory.running_on(model) > 0 && !holder.shared.stopping() {
                thread::sleep(engine::LOOK);
            }
        }
        endpoints::Task::ChangeRole { .. } => {}
    }
    let mut state = holder.lock();
    if state.incarnation != incarnation {
        return;
    }
    match &order.task {
        endpoints::Task::Load { model, version, .. } => {
            state
                .memory
                .set_phase(model, *version, endpoints::Phase::Ready);
            state.stats.loads += 1;
        }
        endpoints::Task::Unload { model, version } => {
            state.memory.remove(model, *version);
            state.stats.unloads += 1;
        }
        endpoints::Task::ChangeRole { pool } => state.pool.clone_from(pool),
    }
    state
        .memory
        .settle(order.order, endpoints::OrderOutcome::Done);
}
