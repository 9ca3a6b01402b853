//! Properties of the change log: references between resources, atomicity of changes, and
//! route precedence.

mod simulation;

use proptest::prelude::*;
use rampthread_core::call::route_table::{CallHead, RouteTable};
use rampthread_core::config::{
    ConfigState, LogEntry, Operation, Outcome, PathMatch, Resource, ResourceKind,
};
use rampthread_core::ids::{OperationId, Version};
use simulation::{backend, delete, entry, name, put, route, secret, service};

/// Puts and deletes of a few services, secrets, routes and backends, with references that
/// may dangle.
fn operation() -> impl Strategy<Value = Operation> {
    let number = 0_usize..4;
    prop_oneof![
        number.clone().prop_map(|n| put(service(&format!("s{n}")))),
        number.clone().prop_map(|n| put(secret(&format!("k{n}")))),
        (
            number.clone(),
            number.clone(),
            prop::option::of(number.clone())
        )
            .prop_map(|(n, to, key)| {
                let key = key.map(|key| format!("k{key}"));
                put(route(&format!("r{n}"), &format!("s{to}"), key.as_deref()))
            }),
        (number.clone(), number.clone()).prop_map(|(n, to)| put(backend(n, &format!("s{to}"), 2))),
        number
            .clone()
            .prop_map(|n| delete(ResourceKind::Service, &format!("s{n}"))),
        number
            .clone()
            .prop_map(|n| delete(ResourceKind::Secret, &format!("k{n}"))),
        number.prop_map(|n| delete(ResourceKind::Route, &format!("r{n}"))),
    ]
}

proptest! {
    /// After any changes no reference dangles, a rejected change has no effect, and a
    /// snapshot restores an equal state.
    #[test]
    fn no_change_leaves_dangling_references_or_is_applied_in_part(
        changes in prop::collection::vec(prop::collection::vec(operation(), 1..4), 1..40),
    ) {
        let mut state = ConfigState::default();
        for (number, operations) in changes.into_iter().enumerate() {
            let change = entry(&format!("operation-{number}"), operations);
            let next = state.apply(&change.encode());
            prop_assert_eq!(next.version(), state.version().next());
            prop_assert!(next.dangling_references().is_empty());
            let id = OperationId::new(&format!("operation-{number}")).unwrap();
            let accepted = next.operation(&id).unwrap().outcome == Outcome::Accepted;
            let unchanged = state.resources().eq(next.resources());
            prop_assert!(accepted || unchanged, "a rejected change had an effect");
            let restored = ConfigState::decode_snapshot(&next.encode_snapshot()).unwrap();
            prop_assert_eq!(&restored, &next);
            state = next;
        }
    }

    /// A repeated operation is applied once.
    #[test]
    fn a_repeated_change_set_is_applied_once(operations in prop::collection::vec(operation(), 1..4)) {
        let bytes = entry("same", operations).encode();
        let once = ConfigState::default().apply(&bytes);
        let twice = once.apply(&bytes);
        prop_assert!(once.resources().eq(twice.resources()));
        prop_assert_eq!(twice.version(), Version(2));
        let id = OperationId::new("same").unwrap();
        prop_assert_eq!(twice.operation(&id).unwrap().version, Version(1));
    }

    /// Arbitrary bytes in a log slot advance only the version; a snapshot with one byte
    /// altered is rejected.
    #[test]
    fn undecodable_bytes_change_nothing(bytes in prop::collection::vec(any::<u8>(), 0..300), at in any::<usize>()) {
        let before = ConfigState::default().apply(&entry("a", vec![put(service("s"))]).encode());
        let after = before.apply(&bytes);
        prop_assert!(before.resources().eq(after.resources()));
        prop_assert!(LogEntry::decode(&bytes).is_err());
        prop_assert!(ConfigState::decode_snapshot(&bytes).is_err());
        let mut snapshot = before.encode_snapshot();
        let index = at % snapshot.len();
        snapshot[index] ^= 1;
        prop_assert!(ConfigState::decode_snapshot(&snapshot).is_err());
    }

    /// The most specific matching route is selected, independent of the order of creation.
    #[test]
    fn the_longest_matching_prefix_wins(
        prefixes in prop::collection::btree_set("(/[ab]){1,4}", 1..8),
        path in "(/[ab]){1,5}",
    ) {
        let mut operations = vec![put(service("s"))];
        for (number, prefix) in prefixes.iter().enumerate() {
            let Resource::Route(mut one) = route(&format!("r{number}"), "s", None) else {
                unreachable!()
            };
            one.path = PathMatch::Prefix(prefix.clone());
            operations.push(put(Resource::Route(one)));
        }
        let state = ConfigState::default().apply(&entry("routes", operations).encode());
        let table = RouteTable::new(&state);
        let headers = http::HeaderMap::new();
        let head = CallHead { host: None, path: &path, method: &http::Method::GET, headers: &headers };
        let expected = prefixes
            .iter()
            .filter(|prefix| path == **prefix || path.starts_with(&format!("{prefix}/")))
            .max_by_key(|prefix| prefix.len());
        let found = table.find(&head).map(|route| route.path.text().to_string());
        prop_assert_eq!(found.as_ref(), expected);
    }
}

#[test]
fn conflicting_routes_and_a_shared_local_node_are_both_reported() {
    let Resource::Route(mut conflicting) = route("twin", "s", None) else {
        unreachable!()
    };
    conflicting.path = PathMatch::Prefix("/first".to_string());
    let mut second_backend = backend(0, "s", 1);
    if let Resource::Backend(backend) = &mut second_backend {
        backend.name = name("another");
    }
    let operations = vec![
        put(service("s")),
        put(route("first", "s", None)),
        put(Resource::Route(conflicting)),
        put(backend(0, "s", 1)),
        put(second_backend),
    ];
    let state = ConfigState::default().apply(&entry("tie", operations).encode());
    let id = OperationId::new("tie").unwrap();
    let Outcome::Refused(findings) = &state.operation(&id).unwrap().outcome else {
        panic!("the conflicting routes were accepted");
    };
    assert_eq!(findings.len(), 2, "{findings}");
}
