//! Breadth-first exploration of the reachable states of a specification.
//!
//! The search is [`pathfinding::directed::bfs::bfs`], which keeps every node that it has visited. To save
//! memory a node consists of a fingerprint of 64 bits and the event that led to it, and its state is
//! dropped once its successors are known. If two states had the same fingerprint, the second one would
//! not be visited: with a million states the probability of that is about 3 in 100 million.

use std::{
    cell, fmt,
    hash::{DefaultHasher, Hash, Hasher},
    time,
};

use pathfinding::directed::bfs;

/// A specification: a transition system with invariants.
pub trait Spec {
    /// A state of the system.
    type State: Hash;
    /// A transition between two states.
    type Event: Clone + fmt::Display;

    /// The initial state.
    fn start(&self) -> Self::State;

    /// The events possible in `state`, each with the resulting state.
    fn next(&self, state: &Self::State) -> Vec<(Self::Event, Self::State)>;

    /// The invariant that `state` violates, if any.
    fn violation(&self, state: &Self::State) -> Option<String>;
}

/// The limits of an exploration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bound {
    /// The maximum number of events in sequence.
    pub depth: usize,
    /// The maximum number of visited states.
    pub states: usize,
}

/// The result of an exploration.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// The number of visited states.
    pub states: usize,
    /// All states that can be reached by this number of events were visited.
    pub depth: usize,
    /// The limit that kept some states from being visited, if any.
    pub limit: Option<Limit>,
    /// The shortest sequence of events that violates an invariant.
    pub counterexample: Option<Counterexample>,
    /// The duration of the exploration.
    pub took: time::Duration,
}

/// The limit that an exploration has reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Limit {
    /// The limit of the depth.
    Depth,
    /// The limit of the number of states.
    States,
}

/// A violated invariant and the events that lead to it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Counterexample {
    /// The events, in order.
    pub events: Vec<String>,
    /// The invariant that is violated.
    pub violation: String,
}

impl Report {
    /// Whether all invariants hold in all visited states.
    #[must_use]
    pub fn holds(&self) -> bool {
        self.counterexample.is_none()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = self.took.as_secs_f64();
        write!(f, "{} states, depth {}, ", self.states, self.depth)?;
        write!(f, "{seconds:.2} s, ")?;
        if let Some(found) = &self.counterexample {
            writeln!(f, "BROKEN after {} events:", found.events.len())?;
            for (number, event) in found.events.iter().enumerate() {
                writeln!(f, "  {:>3}. {event}", number + 1)?;
            }
            return write!(f, "  => {}", found.violation);
        }
        match self.limit {
            None => write!(f, "holds: every reachable state was met"),
            Some(Limit::Depth) => write!(f, "holds: all states up to this depth, cut there"),
            Some(Limit::States) => write!(f, "holds: all states up to this depth, cut by count"),
        }
    }
}

struct Node<S: Spec> {
    fingerprint: u64,
    depth: usize,
    /// The event that led to this state. None for the initial state.
    event: Option<S::Event>,
    /// The state, until its successors are known.
    state: cell::RefCell<Option<S::State>>,
    violation: Option<String>,
}

impl<S: Spec> Node<S> {
    fn new(spec: &S, depth: usize, event: Option<S::Event>, state: S::State) -> Self {
        let mut hasher = DefaultHasher::new();
        state.hash(&mut hasher);
        Self {
            fingerprint: hasher.finish(),
            depth,
            event,
            violation: spec.violation(&state),
            state: cell::RefCell::new(Some(state)),
        }
    }
}

impl<S: Spec> PartialEq for Node<S> {
    fn eq(&self, other: &Self) -> bool {
        self.fingerprint == other.fingerprint
    }
}

impl<S: Spec> Eq for Node<S> {}

impl<S: Spec> Hash for Node<S> {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.fingerprint.hash(hasher);
    }
}

/// The search clones a node only for the start and for the returned path, which needs no states.
impl<S: Spec> Clone for Node<S> {
    fn clone(&self) -> Self {
        Self {
            fingerprint: self.fingerprint,
            depth: self.depth,
            event: self.event.clone(),
            state: cell::RefCell::new(self.state.borrow_mut().take()),
            violation: self.violation.clone(),
        }
    }
}

/// Visits the reachable states of `spec` within `bound`.
pub fn explore<S: Spec>(spec: &S, bound: Bound) -> Report {
    let began = time::Instant::now();
    let mut seen = std::collections::HashSet::new();
    let mut depth = 0;
    let mut limit = None;
    let start = Node::new(spec, 0, None, spec.start());
    seen.insert(start.fingerprint);
    let successors = |node: &Node<S>| {
        let Some(state) = node.state.borrow_mut().take() else {
            return Vec::new();
        };
        if node.depth >= bound.depth {
            limit.get_or_insert(Limit::Depth);
            return Vec::new();
        }
        if seen.len() >= bound.states {
            limit = Some(Limit::States);
            return Vec::new();
        }
        depth = node.depth;
        let next = spec.next(&state).into_iter();
        let nodes = next.map(|(event, state)| Node::new(spec, node.depth + 1, Some(event), state));
        let new = nodes.filter(|next| seen.insert(next.fingerprint));
        new.collect()
    };
    let path = bfs::bfs(&start, successors, |node| node.violation.is_some());
    let states = seen.len();
    let counterexample = path.map(|path| {
        let events = path.iter().filter_map(|node| node.event.as_ref());
        let violation = path.iter().find_map(|node| node.violation.clone());
        Counterexample {
            events: events.map(ToString::to_string).collect(),
            violation: violation.unwrap_or_default(),
        }
    });
    Report {
        states,
        depth: if limit == Some(Limit::Depth) {
            bound.depth
        } else {
            depth
        },
        limit,
        counterexample,
        took: began.elapsed(),
    }
}
