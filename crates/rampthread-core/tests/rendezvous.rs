//! The rank computed by counting equals the position in the sorted rendezvous order.

use proptest::prelude::*;
use rampthread_core::ids::NodeId;
use rampthread_core::rendezvous::{order, rank};
use std::collections::BTreeSet;

proptest! {
    #[test]
    fn rank_equals_position_in_order(
        numbers in prop::collection::btree_set(0_u32..10_000, 1..60),
        key in "[a-z]{1,12}",
    ) {
        let name = |number: &u32| NodeId::new(&format!("node-{number}")).unwrap();
        let nodes: BTreeSet<NodeId> = numbers.iter().map(name).collect();
        let sorted = order(&key, nodes.iter().cloned());
        for (position, node) in sorted.iter().enumerate() {
            let others = nodes.iter().filter(|other| *other != node);
            prop_assert_eq!(rank(&key, node, others), position);
        }
    }
}
