//! Notifications between peers of a new store era, the number that the store raises by one each
//! time it is restored from an older copy.

mod mesh;

use mesh::{Mesh, agent};
use rampthread_core::fleet::{Action, Agent, Envelope, Message};
use rampthread_core::ids::NodeId;
use rampthread_core::time::Moment;
use std::collections::BTreeSet;
use std::time::Duration;

/// Time at which the single agent of a test receives messages.
const NOW: Moment = Moment(2_000_000);

/// Store eras for which `agent` queries the store after a peer announced `era`.
fn queried_eras(agent: &mut Agent, era: u64) -> Vec<u64> {
    let envelope = Envelope {
        from: NodeId::new("node-1").unwrap(),
        process_epoch: 1,
        message: Message::StoreEra { era },
    };
    let actions = agent.on_message(envelope, NOW).into_iter();
    let queried_eras = actions.filter_map(|action| match action {
        Action::VerifyStoreEra(era) => Some(era),
        _ => None,
    });
    queried_eras.collect()
}

#[test]
fn an_announced_era_triggers_one_store_query() {
    let mut agent = agent("node-0", 1_000_000);
    assert_eq!(queried_eras(&mut agent, 3), [3]);
    assert!(queried_eras(&mut agent, 3).is_empty());
    assert!(queried_eras(&mut agent, 2).is_empty());
    assert_eq!(queried_eras(&mut agent, 4), [4]);
}

#[test]
fn an_era_already_seen_triggers_no_store_query() {
    let mut agent = agent("node-0", 1_000_000);
    let sent = agent.on_store_restored(3, NOW);
    assert!(sent.is_empty(), "a node without peers sent {sent:?}");
    assert!(queried_eras(&mut agent, 3).is_empty());
}

/// Maximum messages of a node that has seen a newer store era.
const MAX_MESSAGES_PER_NODE: usize = 4;

#[test]
fn a_new_era_spreads_with_few_messages_per_node() {
    const NODES: usize = 30;
    let mut mesh = Mesh::new(NODES);
    mesh.run(Duration::from_secs(10));
    assert_eq!(mesh.sent("store-era"), 0);
    let mut seen = BTreeSet::from([0]);
    let mut next = vec![0];
    while let Some(node) = next.pop() {
        let before = mesh.sent("store-era");
        let now = mesh.now;
        let actions = mesh.agents[node].on_store_restored(1, now);
        next.extend(
            notified_nodes(&actions)
                .into_iter()
                .filter(|to| seen.insert(*to)),
        );
        mesh.deliver(actions);
        assert!(mesh.sent("store-era") - before <= MAX_MESSAGES_PER_NODE);
    }
    assert!(
        seen.len() > MAX_MESSAGES_PER_NODE,
        "only {seen:?} received the era"
    );
}

/// Returns the nodes to which `actions` send a store era.
fn notified_nodes(actions: &[Action]) -> Vec<usize> {
    let sent = actions.iter().filter_map(|action| match action {
        Action::Send { to, envelope, .. }
            if matches!(envelope.message, Message::StoreEra { .. }) =>
        {
            to.as_str()["node-".len()..].parse().ok()
        }
        _ => None,
    });
    sent.collect()
}
