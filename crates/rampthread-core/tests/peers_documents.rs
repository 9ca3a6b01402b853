//! Snapshots and deltas from peers are validated like documents from the store: each
//! resource by itself and all references, and never an older version than the active one.

mod mesh;

use mesh::{agent, document, route, service};
use rampthread_core::config::{CallerLimits, ConfigState, SnapshotError, StateDelta};
use rampthread_core::fleet::{Agent, Envelope, Message};
use rampthread_core::ids::{NodeId, Version};
use rampthread_core::time::Moment;
use rstest::rstest;
use serde_json::{Value, json};
use std::sync::Arc;

/// Length of the digest at the start of an encoded snapshot.
const DIGEST_BYTES: usize = 32;

/// Configuration state with one route for `prefix`, and caller limits.
fn state_with_route(version: u64, prefix: &str) -> ConfigState {
    let resources = vec![service("shop"), route("look", "host", prefix)];
    let limits = CallerLimits {
        head_bytes: 16_384,
        body_bytes: 1_048_576,
        head_wait_ms: 1_000,
        idle_ms: 15_000,
    };
    ConfigState::from_document(Version(version), resources, Some(limits)).unwrap()
}

/// Snapshot of `state` after `change`, with a matching digest.
fn changed_snapshot(state: &ConfigState, change: impl FnOnce(&mut Value)) -> Vec<u8> {
    let snapshot = state.encode_snapshot();
    let mut content: Value = serde_json::from_slice(&snapshot[DIGEST_BYTES..]).unwrap();
    change(&mut content);
    let content = serde_json::to_vec(&content).unwrap();
    let mut changed = blake3::hash(&content).as_bytes().to_vec();
    changed.extend_from_slice(&content);
    changed
}

/// Delivers `message` to the agent as if from a peer.
fn deliver_from_peer(agent: &mut Agent, message: Message) {
    let from = NodeId::new("node-1").unwrap();
    let process_epoch = 1;
    agent.on_message(
        Envelope {
            from,
            process_epoch,
            message,
        },
        Moment(3),
    );
}

#[rstest]
#[case::zero_attempts("max_attempts", json!(0))]
#[case::zero_timeout("timeout_ms", json!(0))]
#[case::no_destinations("destinations", json!([]))]
fn a_snapshot_with_an_invalid_route_is_rejected(#[case] field: &str, #[case] value: Value) {
    let snapshot = changed_snapshot(&state_with_route(9, "/look/"), |content| {
        let resources = content["resources"].as_array_mut().unwrap();
        for stored in resources {
            let resource = &mut stored["resource"];
            if resource.to_string().contains("max_attempts") {
                set(resource, field, &value);
            }
        }
    });
    let decoded = ConfigState::decode_snapshot(&snapshot);
    assert!(
        matches!(decoded, Err(SnapshotError::Invalid { .. })),
        "{decoded:?}"
    );
    let mut agent = agent("node-0", 1_000_000);
    agent.on_document(Arc::new(document(1)), Moment(2));
    let snapshot = snapshot.into();
    deliver_from_peer(&mut agent, Message::PullSnapshot { snapshot });
    assert_eq!(agent.active().version(), Version(1));
}

/// Sets `field` in the object that contains it, at any depth.
fn set(value: &mut Value, field: &str, to: &Value) {
    if let Value::Object(fields) = value {
        if fields.contains_key(field) {
            fields.insert(field.to_string(), to.clone());
            return;
        }
        fields.values_mut().for_each(|below| set(below, field, to));
    }
}

#[rstest]
fn zero_caller_limits_are_rejected(
    #[values("head_bytes", "body_bytes", "head_wait_ms", "idle_ms")] field: &str,
) {
    let state = state_with_route(9, "/look/");
    let snapshot = changed_snapshot(&state, |content| {
        content["caller_limits"][field] = json!(0);
    });
    assert!(ConfigState::decode_snapshot(&snapshot).is_err());
    let base = state_with_route(8, "/see/");
    let mut delta = serde_json::to_value(StateDelta::between(&base, &state)).unwrap();
    delta["caller_limits"][field] = json!(0);
    let delta: StateDelta = serde_json::from_value(delta).unwrap();
    assert!(delta.apply_to(&base).is_err());
}

/// An older version is rejected from every source: document, snapshot and delta.
#[test]
fn an_older_version_is_never_activated() {
    let mut agent = agent("node-0", 1_000_000);
    agent.on_document(Arc::new(state_with_route(9, "/look/")), Moment(2));
    agent.on_document(Arc::new(state_with_route(8, "/see/")), Moment(3));
    assert_eq!(agent.active().version(), Version(9));
    let snapshot = state_with_route(7, "/see/")
        .encode_compressed_snapshot()
        .into();
    deliver_from_peer(&mut agent, Message::PullSnapshot { snapshot });
    assert_eq!(agent.active().version(), Version(9));
    let delta = StateDelta::between(
        &state_with_route(9, "/look/"),
        &state_with_route(5, "/see/"),
    );
    let entries = vec![delta.encode().into()];
    let first = Version(10);
    deliver_from_peer(&mut agent, Message::PullEntries { first, entries });
    assert_eq!(agent.active().version(), Version(9));
}

/// A cached document of the store may be older than the version that a peer announces. The
/// newer version is pulled from the peer, and the older document is then ignored.
#[test]
fn a_newer_version_from_peers_replaces_an_outdated_document_at_the_start() {
    let mut agent = agent("node-0", 1_000_000);
    let (old, new) = (state_with_route(8, "/see/"), state_with_route(9, "/look/"));
    let version = new.version();
    deliver_from_peer(
        &mut agent,
        Message::Notice {
            version,
            entry: None,
        },
    );
    agent.on_document(Arc::new(old.clone()), Moment(4));
    assert!(agent.lacks_current_document());
    let entries = vec![StateDelta::between(&old, &new).encode().into()];
    let first = Version(9);
    deliver_from_peer(&mut agent, Message::PullEntries { first, entries });
    assert_eq!(agent.active().version(), Version(9));
    agent.on_document(Arc::new(old), Moment(5));
    assert_eq!(agent.active().version(), Version(9));
    assert!(!agent.lacks_current_document());
}

/// Two writers may produce the same version. The state received first stays active until
/// the next version, which replaces it on all nodes.
#[test]
fn of_two_states_of_one_version_the_first_stays_until_the_next_version() {
    let (one, other) = (state_with_route(9, "/look/"), state_with_route(9, "/see/"));
    let next = state_with_route(12, "/next/");
    let mut agents = [agent("node-0", 1_000_000), agent("node-2", 1_000_000)];
    agents[0].on_document(Arc::new(one.clone()), Moment(2));
    agents[1].on_document(Arc::new(other.clone()), Moment(2));
    agents[0].on_document(Arc::new(other.clone()), Moment(3));
    let snapshot = other.encode_compressed_snapshot().into();
    deliver_from_peer(&mut agents[0], Message::PullSnapshot { snapshot });
    assert!(agents[0].active().routes().eq(one.routes()));
    for agent in &mut agents {
        let entries = vec![StateDelta::between(&one, &next).encode().into()];
        let first = Version(10);
        deliver_from_peer(agent, Message::PullEntries { first, entries });
        assert_eq!(agent.active().version(), Version(12));
        assert!(agent.active().routes().eq(next.routes()));
    }
}

/// A delta whose base has the same version but other content is rejected; the full snapshot
/// is accepted.
#[test]
fn a_delta_for_different_content_of_the_version_is_rejected() {
    let (one, other) = (state_with_route(9, "/look/"), state_with_route(9, "/see/"));
    let resources = vec![
        service("shop"),
        service("new"),
        route("look", "host", "/look/"),
    ];
    let limits = one.caller_limits().copied();
    let next = ConfigState::from_document(Version(12), resources, limits).unwrap();
    let delta = StateDelta::between(&one, &next);
    assert!(delta.apply_to(&one).is_ok());
    let mut agent = agent("node-0", 1_000_000);
    agent.on_document(Arc::new(other), Moment(2));
    let entries = vec![delta.encode().into()];
    let first = Version(10);
    deliver_from_peer(&mut agent, Message::PullEntries { first, entries });
    assert_eq!(agent.active().version(), Version(9));
    let snapshot = next.encode_compressed_snapshot().into();
    deliver_from_peer(&mut agent, Message::PullSnapshot { snapshot });
    assert!(agent.active().routes().eq(next.routes()));
}
