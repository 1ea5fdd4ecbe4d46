//! Fair shares of the workspaces in one group, by start-time fair queueing.
//!
//! Each workspace with waiting requests has a virtual counter, which grows by the work that is granted to it,
//! divided by its weight. The workspace with the lowest counter is served next. A workspace that becomes active
//! starts at the lowest counter of the active ones, so that it has no credit from the time in which it was idle.

use std::{collections, ops};

use sageshed_types::time;

use super::waiting::Position;

/// Width of the slots of due times in which the work of waiting requests is summed. With due times at most
/// 16 s ahead, a sum takes at most 250 additions, and one for each request of the last slot.
const SLOT_MS: u64 = 64;

/// How far the counter of a workspace may lag behind the one that was served furthest, in microseconds at
/// weight one. A workspace whose requests could not be placed for some time would otherwise take all capacity
/// for as long once they can.
const MAX_LAG_US: f64 = 1_000_000.0;

/// Weights outside of this range are clamped, since zero and infinity have no counter.
const MIN_WEIGHT: f64 = 0.001;
const MAX_WEIGHT: f64 = 1_000.0;

/// Workspaces that an estimate considers one by one. It assumes that the others are like these.
const MAX_ESTIMATED_FLOWS: usize = 64;

/// Requests of a workspace that are tried for one grant, at least. A quarter of them are its next ones.
const MIN_CANDIDATES: usize = 4;

/// The waiting requests of one workspace.
#[derive(Debug)]
struct Flow {
    /// Not negative, so that its bits are ordered like the number.
    counter: f64,
    weight: f64,
    waiting: collections::BTreeSet<Position>,
    /// Work by slot of due time.
    booked: collections::BTreeMap<(bool, u64), u64>,
    work_us: u64,
    /// The last request that was tried in turn.
    tried: Option<Position>,
}

impl Flow {
    fn work_before(&self, position: &Position) -> u64 {
        let slots = self.booked.range(..slot_of(position));
        let earlier: u64 = slots.map(|(_, work)| work).sum();
        // Those of its own slot that are behind it don't count: a burst has requests of one slot by the hundred.
        let same_slot = self.waiting.range(slot_start(position)..*position);
        earlier + same_slot.map(|it| it.work_us).sum::<u64>()
    }

    /// The first requests and, in turn, later ones, at most `limit`.
    fn candidates(&self, limit: usize) -> Vec<(Position, bool)> {
        let heads: Vec<Position> = self.waiting.iter().take(limit / 4).copied().collect();
        let (Some(last_head), Some(last)) = (heads.last(), self.waiting.last()) else {
            return Vec::new();
        };
        let start = self.tried.filter(|it| it < last).unwrap_or(*last_head);
        let start = start.max(*last_head);
        let in_turn = self
            .waiting
            .range((ops::Bound::Excluded(start), ops::Bound::Unbounded));
        let in_turn = in_turn.take(limit - heads.len()).map(|it| (*it, true));
        heads.iter().map(|it| (*it, false)).chain(in_turn).collect()
    }
}

fn slot_of(position: &Position) -> (bool, u64) {
    (position.is_newcomer, position.due.0 / SLOT_MS)
}

/// The position before all others of the slot of `position`.
fn slot_start(position: &Position) -> Position {
    let (is_newcomer, slot) = slot_of(position);
    Position {
        is_newcomer,
        due: time::Instant(slot * SLOT_MS),
        ticket: 0,
        request: 0,
        work_us: 0,
    }
}

fn clamped(weight: f64) -> f64 {
    if weight.is_nan() {
        return 1.0;
    }
    weight.clamp(MIN_WEIGHT, MAX_WEIGHT)
}

/// A request that may be granted.
#[derive(Debug, Clone, Copy)]
pub(super) struct Candidate {
    pub workspace: u64,
    pub position: Position,
    /// Whether it is tried in turn, and not because it is next.
    is_in_turn: bool,
    is_workspace_in_turn: bool,
}

/// The waiting requests of one group, by workspace.
#[derive(Debug, Default)]
pub(super) struct Group {
    /// Workspaces with waiting requests.
    flows: collections::BTreeMap<u64, Flow>,
    /// The same workspaces by the bits of their counter.
    by_counter: collections::BTreeSet<(u64, u64)>,
    /// Counters of workspaces without waiting requests, as long as they are above the lowest active one.
    idle: collections::HashMap<u64, f64>,
    idle_by_counter: collections::BTreeSet<(u64, u64)>,
    /// The highest counter of a workspace at the time that it was served.
    served_to: f64,
    work_us: u64,
    /// The last workspace that was tried in turn.
    tried: u64,
}

impl Group {
    pub(super) fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// Work of the requests that wait.
    pub(super) fn work_us(&self) -> u64 {
        self.work_us
    }

    /// The request that is next by counters and due times.
    pub(super) fn head(&self) -> Option<&Position> {
        let (_, workspace) = self.by_counter.first()?;
        self.flows.get(workspace)?.waiting.first()
    }

    pub(super) fn insert(&mut self, workspace: u64, weight: f64, position: Position) {
        if !self.flows.contains_key(&workspace) {
            self.activate(workspace);
        }
        let Some(flow) = self.flows.get_mut(&workspace) else {
            return;
        };
        flow.weight = clamped(weight);
        if flow.waiting.insert(position) {
            *flow.booked.entry(slot_of(&position)).or_default() += position.work_us;
            flow.work_us += position.work_us;
            self.work_us += position.work_us;
        }
    }

    fn activate(&mut self, workspace: u64) {
        let counter = self.start_of(workspace);
        if let Some(before) = self.idle.remove(&workspace) {
            self.idle_by_counter.remove(&(before.to_bits(), workspace));
        }
        let flow = Flow {
            counter,
            weight: 1.0,
            waiting: collections::BTreeSet::new(),
            booked: collections::BTreeMap::new(),
            work_us: 0,
            tried: None,
        };
        self.flows.insert(workspace, flow);
        self.by_counter.insert((counter.to_bits(), workspace));
    }

    /// The counter at which a workspace without waiting requests becomes active.
    fn start_of(&self, workspace: u64) -> f64 {
        let before = self.idle.get(&workspace).copied().unwrap_or_default();
        before.max(self.lowest_counter())
    }

    fn lowest_counter(&self) -> f64 {
        let lowest = self.by_counter.first();
        lowest.map_or(0.0, |(bits, _)| f64::from_bits(*bits))
    }

    /// Removes a request without a charge.
    pub(super) fn remove(&mut self, workspace: u64, position: &Position) {
        let Some(flow) = self.flows.get_mut(&workspace) else {
            return;
        };
        if !flow.waiting.remove(position) {
            return;
        }
        flow.work_us -= position.work_us;
        self.work_us -= position.work_us;
        let slot = slot_of(position);
        if let collections::btree_map::Entry::Occupied(mut booked) = flow.booked.entry(slot) {
            *booked.get_mut() -= position.work_us;
            if *booked.get() == 0 {
                booked.remove();
            }
        }
        if flow.waiting.is_empty() {
            self.deactivate(workspace);
        }
    }

    fn deactivate(&mut self, workspace: u64) {
        if let Some(flow) = self.flows.remove(&workspace) {
            let key = (flow.counter.to_bits(), workspace);
            self.by_counter.remove(&key);
            self.idle.insert(workspace, flow.counter);
            self.idle_by_counter.insert(key);
        }
        self.forget_idle();
    }

    /// Forgets idle workspaces that would start at the lowest active counter anyway.
    fn forget_idle(&mut self) {
        let lowest = self.lowest_counter().to_bits();
        while let Some(&(bits, workspace)) = self.idle_by_counter.first()
            && bits <= lowest
        {
            self.idle_by_counter.pop_first();
            self.idle.remove(&workspace);
        }
    }

    /// Removes a granted request and charges its workspace.
    pub(super) fn serve(&mut self, workspace: u64, position: &Position) {
        if let Some(flow) = self.flows.get_mut(&workspace) {
            self.by_counter.remove(&(flow.counter.to_bits(), workspace));
            self.served_to = self.served_to.max(flow.counter);
            let start = flow.counter.max(self.served_to - MAX_LAG_US);
            flow.counter = start + position.work_us as f64 / flow.weight;
            self.by_counter.insert((flow.counter.to_bits(), workspace));
        }
        self.remove(workspace, position);
        self.forget_idle();
    }

    /// Work that is served before a request at `position` of the workspace, which waits or is about to.
    pub(super) fn work_before(&self, workspace: u64, weight: f64, position: &Position) -> u64 {
        let (counter, own) = match self.flows.get(&workspace) {
            Some(flow) => (flow.counter, flow.work_before(position)),
            None => (self.start_of(workspace), 0),
        };
        let served_at = counter + own as f64 / clamped(weight);
        let others = self.by_counter.iter().filter(|(_, it)| *it != workspace);
        let others = others
            .take(MAX_ESTIMATED_FLOWS)
            .filter_map(|(_, it)| self.flows.get(it));
        let until = |flow: &Flow| (served_at - flow.counter).max(0.0) * flow.weight;
        let of_others: f64 = others.map(|it| until(it).min(it.work_us as f64)).sum();
        let scale = (self.flows.len() as f64 / MAX_ESTIMATED_FLOWS as f64).max(1.0);
        let of_others = time::Millis::rounded_up(of_others * scale).0;
        (own + of_others).min(self.work_us)
    }

    /// The share of a workspace that waits or is about to.
    pub(super) fn share_of(&self, workspace: u64, weight: f64) -> f64 {
        let own = clamped(weight);
        let others = self.flows.iter().filter(|(it, _)| **it != workspace);
        let others = others.take(MAX_ESTIMATED_FLOWS).map(|(_, it)| it.weight);
        own / (own + others.sum::<f64>())
    }

    /// Requests to try for a grant, about `limit`: those of the two workspaces with the lowest counters and, in
    /// turn, those of others.
    pub(super) fn candidates(&self, limit: usize) -> Vec<Candidate> {
        let next: Vec<u64> = self.by_counter.iter().take(2).map(|(_, it)| *it).collect();
        let after = (ops::Bound::Excluded(self.tried), ops::Bound::Unbounded);
        let in_turn = self
            .flows
            .range(after)
            .chain(self.flows.range(..=self.tried));
        let in_turn = in_turn.map(|(it, _)| *it).filter(|it| !next.contains(it));
        let others = (limit / MIN_CANDIDATES).saturating_sub(next.len());
        let workspaces: Vec<(u64, bool)> = next
            .iter()
            .map(|it| (*it, false))
            .chain(in_turn.take(others).map(|it| (it, true)))
            .collect();
        let each = (limit / workspaces.len().max(1)).max(MIN_CANDIDATES);
        let mut found = Vec::with_capacity(limit);
        for (workspace, is_workspace_in_turn) in workspaces {
            let flow = self.flows.get(&workspace);
            let of_flow = flow.map(|it| it.candidates(each)).unwrap_or_default();
            found.extend(of_flow.into_iter().map(|(position, is_in_turn)| Candidate {
                workspace,
                position,
                is_in_turn,
                is_workspace_in_turn,
            }));
        }
        found
    }

    /// Records that a candidate was tried, so that others have their turn.
    pub(super) fn record_tried(&mut self, candidate: &Candidate) {
        if candidate.is_workspace_in_turn {
            self.tried = candidate.workspace;
        }
        if candidate.is_in_turn
            && let Some(flow) = self.flows.get_mut(&candidate.workspace)
        {
            flow.tried = Some(candidate.position);
        }
    }
}
