//! What peers tell each other of a store that came back from an older copy.

mod mesh;

use mesh::{Mesh, agent};
use rampthread_core::fleet::{Action, Agent, Envelope, Message};
use rampthread_core::ids::NodeId;
use rampthread_core::time::Moment;
use std::collections::BTreeSet;
use std::time::Duration;

const NOW: Moment = Moment(2_000_000);

/// The eras in which `agent` asks the store once it was told of `era`.
fn asked(agent: &mut Agent, era: u64) -> Vec<u64> {
    let envelope = Envelope {
        from: NodeId::new("node-1").unwrap(),
        process_epoch: 1,
        message: Message::StoreEra { era },
    };
    let actions = agent.on_message(envelope, NOW).into_iter();
    let asked = actions.filter_map(|action| match action {
        Action::AskForEra(era) => Some(era),
        _ => None,
    });
    asked.collect()
}

#[test]
fn a_node_that_is_told_asks_the_store_once_for_each_era() {
    let mut agent = agent("node-0", 1_000_000);
    assert_eq!(asked(&mut agent, 3), [3]);
    assert!(asked(&mut agent, 3).is_empty());
    assert!(asked(&mut agent, 2).is_empty());
    assert_eq!(asked(&mut agent, 4), [4]);
}

#[test]
fn a_node_that_has_seen_an_era_need_not_be_told() {
    let mut agent = agent("node-0", 1_000_000);
    let sent = agent.on_store_restored(3, NOW);
    assert!(sent.is_empty(), "it knows nobody: {sent:?}");
    assert!(asked(&mut agent, 3).is_empty());
}

/// Most messages of a node that has seen the store in a newer era.
const MOST_TOLD: usize = 4;

#[test]
fn a_rise_costs_each_node_a_few_messages_and_the_others_hear_of_it() {
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
        next.extend(told(&actions).into_iter().filter(|to| seen.insert(*to)));
        mesh.deliver(actions);
        assert!(mesh.sent("store-era") - before <= MOST_TOLD);
    }
    assert!(seen.len() > MOST_TOLD, "heard by {seen:?}");
}

/// Those to whom an era is sent.
fn told(actions: &[Action]) -> Vec<usize> {
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
