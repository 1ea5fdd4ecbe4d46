//! Nodes that start at the same time.

use sageshed_quorum::{config, event, log, node};
use sageshed_types::time;

/// Guards against repeated split votes after all control processes were killed and restarted in the same
/// millisecond: with the same election timeouts, all would campaign at the same time and each would vote
/// for itself.
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
