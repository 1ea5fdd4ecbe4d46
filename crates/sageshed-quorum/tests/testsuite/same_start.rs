//! Nodes that start in the same moment.

use sageshed_quorum::{config, event, log, node};
use sageshed_types::time;

/// Every control process is killed at once and started again in the same millisecond. If all draw
/// the same election timeouts, all stand for election at the same moments, each votes for itself, and
/// callers wait for a leader through round after round.
#[test]
fn nodes_started_in_the_same_millisecond_draw_different_timeouts() {
    const SEED: u64 = 1_779_247_672_092;
    let ids: Vec<_> = (1..=5)
        .map(|vm| log::NodeId { vm, generation: 7 })
        .collect();
    let membership = log::Membership::of_voters(ids.iter().copied());
    let mut drawn = Vec::new();
    for id in ids {
        let restored = log::PersistedState {
            membership: membership.clone(),
            ..log::PersistedState::default()
        };
        let mut node = node::Node::new(config::Config::new(id), restored, SEED);
        drop(node.step(time::Instant(0), event::Event::Tick));
        drawn.push(node.next_deadline().expect("a voter waits for a leader"));
    }
    drawn.sort();
    drawn.dedup();
    assert_eq!(drawn.len(), 5, "two nodes drew the same timeout: {drawn:?}");
}
