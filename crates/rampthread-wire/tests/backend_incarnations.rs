//! Incarnations of back ends on the wire: nodes that know nothing of starts read the
//! name of one as they read an id, and the start costs few bytes.

use rampthread_core::backend_incarnation::{BackendIncarnation, StartedAt};
use rampthread_core::fleet::{
    Conditions, EndpointRecord, Envelope, MemberRecord, Message, ProbeBody, Status,
};
use rampthread_core::ids::{InstanceId, NodeId, Region, ResourceName, Zone};
use rampthread_wire::{decode, encode};

/// What a start may add to a member's record, in bytes.
const MOST_FOR_A_START: usize = 16;

fn envelope(instance: InstanceId) -> Envelope {
    let record = MemberRecord {
        id: NodeId::new("node-17").unwrap(),
        address: "10.128.0.9:7000".parse().unwrap(),
        zone: Zone::new("llan-a").unwrap(),
        region: Region::new("llan").unwrap(),
        incarnation: 1_764_722_643,
        status: Status::Alive,
        conditions: Conditions::default(),
        endpoint: Some(EndpointRecord {
            instance,
            service: ResourceName::new("huvo11a").unwrap(),
            address: "10.128.0.9:8080".parse().unwrap(),
            slots: 9,
            draining: false,
            sequence: 4,
            cold_ms: 0,
            version: None,
            speed_percent: None,
        }),
    };
    Envelope {
        from: NodeId::new("node-17").unwrap(),
        process_epoch: 1,
        message: Message::Ack(ProbeBody {
            updates: vec![record],
            ..ProbeBody::default()
        }),
    }
}

#[test]
fn a_start_reaches_the_other_node_and_adds_few_bytes() {
    let without = BackendIncarnation::new("i-7f3a91c2", None).unwrap();
    let with = BackendIncarnation::new("i-7f3a91c2", Some(StartedAt(1_764_722_643_123))).unwrap();
    let sent = envelope(with.name());
    assert_eq!(decode(&encode(&sent)).unwrap(), sent);
    let sizes = [without, with].map(|one| encode(&envelope(one.name())).len());
    println!("bytes of a message with one record, without and with a start: {sizes:?}");
    assert!(sizes[1] <= sizes[0] + MOST_FOR_A_START, "{sizes:?}");
}
