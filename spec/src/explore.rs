//! Visits all reachable states of a specification, breadth first.
//!
//! The search is [`pathfinding::directed::bfs::bfs`]. It keeps every node that it met; what it keeps
//! here is a fingerprint of 64 bits and the event that led there, while the state itself is dropped
//! once its successors are known. Two states with one fingerprint would be taken for one and the
//! second not visited: with a million states the odds of that are about 3 in 100 million.

use std::{
    cell, fmt,
    hash::{DefaultHasher, Hash, Hasher},
    time,
};

use pathfinding::directed::bfs;

/// What can happen, and what must hold.
pub trait Spec {
    /// All that tells two situations apart.
    type State: Hash;
    /// One thing that happens.
    type Event: Clone + fmt::Display;

    /// Where it begins.
    fn start(&self) -> Self::State;

    /// Everything that may happen next, with what comes of it.
    fn next(&self, state: &Self::State) -> Vec<(Self::Event, Self::State)>;

    /// Which promise is broken in `state`, if any.
    fn broken(&self, state: &Self::State) -> Option<String>;
}

/// How far to go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bound {
    /// Events in sequence.
    pub depth: usize,
    /// States visited.
    pub states: usize,
}

/// What an exploration found.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// States met.
    pub states: usize,
    /// Every state that this many events lead to was met.
    pub depth: usize,
    /// Whether a bound kept some states from being visited.
    pub cut: Option<Cut>,
    /// The shortest way to a broken promise.
    pub counterexample: Option<Counterexample>,
    /// How long it took.
    pub took: time::Duration,
}

/// Which bound was reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// That of the depth.
    Depth,
    /// That of the number of states.
    States,
}

/// A broken promise and the way there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Counterexample {
    /// What happened, in order.
    pub events: Vec<String>,
    /// What broke.
    pub broken: String,
}

impl Report {
    /// Whether no promise was broken in any state that was met.
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
            return write!(f, "  => {}", found.broken);
        }
        match self.cut {
            None => write!(f, "holds: every reachable state was met"),
            Some(Cut::Depth) => write!(f, "holds: all states up to this depth, cut there"),
            Some(Cut::States) => write!(f, "holds: all states up to this depth, cut by count"),
        }
    }
}

struct Node<S: Spec> {
    fingerprint: u64,
    depth: usize,
    /// How it was reached; none for the start.
    event: Option<S::Event>,
    /// Until its successors are known.
    state: cell::RefCell<Option<S::State>>,
    broken: Option<String>,
}

impl<S: Spec> Node<S> {
    fn new(spec: &S, depth: usize, event: Option<S::Event>, state: S::State) -> Self {
        let mut hasher = DefaultHasher::new();
        state.hash(&mut hasher);
        Self {
            fingerprint: hasher.finish(),
            depth,
            event,
            broken: spec.broken(&state),
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

/// The search clones a node only to look at the start and to give the way back, which needs no state.
impl<S: Spec> Clone for Node<S> {
    fn clone(&self) -> Self {
        Self {
            fingerprint: self.fingerprint,
            depth: self.depth,
            event: self.event.clone(),
            state: cell::RefCell::new(self.state.borrow_mut().take()),
            broken: self.broken.clone(),
        }
    }
}

/// Visits the states of `spec` within `bound`.
pub fn explore<S: Spec>(spec: &S, bound: Bound) -> Report {
    let began = time::Instant::now();
    let mut seen = std::collections::HashSet::new();
    let mut depth = 0;
    let mut cut = None;
    let start = Node::new(spec, 0, None, spec.start());
    seen.insert(start.fingerprint);
    let successors = |node: &Node<S>| {
        let Some(state) = node.state.borrow_mut().take() else {
            return Vec::new();
        };
        if node.depth >= bound.depth {
            cut.get_or_insert(Cut::Depth);
            return Vec::new();
        }
        if seen.len() >= bound.states {
            cut = Some(Cut::States);
            return Vec::new();
        }
        depth = node.depth;
        let next = spec.next(&state).into_iter();
        let nodes = next.map(|(event, state)| Node::new(spec, node.depth + 1, Some(event), state));
        let new = nodes.filter(|next| seen.insert(next.fingerprint));
        new.collect()
    };
    let path = bfs::bfs(&start, successors, |node| node.broken.is_some());
    let states = seen.len();
    let counterexample = path.map(|path| {
        let events = path.iter().filter_map(|node| node.event.as_ref());
        let broken = path.iter().find_map(|node| node.broken.clone());
        Counterexample {
            events: events.map(ToString::to_string).collect(),
            broken: broken.unwrap_or_default(),
        }
    });
    Report {
        states,
        depth: if cut == Some(Cut::Depth) {
            bound.depth
        } else {
            depth
        },
        cut,
        counterexample,
        took: began.elapsed(),
    }
}
