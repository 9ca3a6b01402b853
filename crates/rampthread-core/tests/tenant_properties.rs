//! Tenants in configuration versions, and identification of the tenant of a request.

mod simulation;

use http::HeaderMap;
use http::header::{AUTHORIZATION, HeaderValue};
use proptest::prelude::*;
use rampthread_core::call::tenant_table::{TenantKeyError, TenantTable};
use rampthread_core::config::{ConfigState, KeyDigest, RequestCount, Resource, StateDelta, Tenant};
use rampthread_core::findings::Findings;
use rampthread_core::ids::Version;
use rstest::rstest;
use simulation::{name, route, service};

fn tenant(text: &str, keys: &[&str]) -> Resource {
    Resource::Tenant(Tenant {
        name: name(text),
        keys: keys.iter().map(|key| KeyDigest::of(key)).collect(),
        priority: Some(0),
        rate: RequestCount::try_from(40.5).unwrap(),
        burst: RequestCount::default(),
    })
}

fn version(number: u64, tenants: Vec<Resource>) -> Result<ConfigState, Findings> {
    let mut resources = vec![service("shop"), route("look", "shop", None)];
    resources.extend(tenants);
    ConfigState::from_document(Version(number), resources, None)
}

fn with_key(value: &str) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert(AUTHORIZATION, HeaderValue::from_str(value).unwrap());
    headers
}

fn identify(state: &ConfigState, value: &str) -> Result<Option<String>, TenantKeyError> {
    let table = TenantTable::new(state);
    let tenant = table.identify(&with_key(value), false)?;
    Ok(tenant.map(|tenant| tenant.name.to_string()))
}

#[rstest]
#[case::first_key("Bearer key-1", Ok(Some("first")))]
#[case::second_key("bearer  key-2 ", Ok(Some("first")))]
#[case::another_tenant("BEARER key-3", Ok(Some("second")))]
#[case::unknown("Bearer key-4", Err(TenantKeyError::UnknownKey))]
#[case::a_part_of_a_key("Bearer key", Err(TenantKeyError::UnknownKey))]
#[case::no_scheme("key-1", Err(TenantKeyError::NoKey))]
#[case::another_scheme("Basic key-1", Err(TenantKeyError::NoKey))]
#[case::nothing("", Err(TenantKeyError::NoKey))]
#[case::no_key("Bearer ", Err(TenantKeyError::NoKey))]
fn key_identifies_the_tenant(
    #[case] value: &str,
    #[case] expected: Result<Option<&str>, TenantKeyError>,
) {
    let tenants = vec![
        tenant("first", &["key-1", "key-2"]),
        tenant("second", &["key-3"]),
    ];
    let state = version(1, tenants).unwrap();
    let expected = expected.map(|name| name.map(str::to_string));
    assert_eq!(identify(&state, value), expected);
}

#[test]
fn duplicate_header_or_oversized_key_is_rejected() {
    let state = version(1, vec![tenant("first", &["key-1"])]).unwrap();
    let table = TenantTable::new(&state);
    let mut twice = with_key("Bearer key-1");
    twice.append(AUTHORIZATION, HeaderValue::from_static("Bearer key-1"));
    assert_eq!(table.identify(&twice, false), Err(TenantKeyError::NoKey));
    let long = with_key(&format!("Bearer {}", "k".repeat(8_192)));
    assert_eq!(table.identify(&long, false), Err(TenantKeyError::NoKey));
}

#[test]
fn public_route_needs_no_key_but_identifies_known_keys() {
    let state = version(1, vec![tenant("first", &["key-1"])]).unwrap();
    let table = TenantTable::new(&state);
    assert_eq!(table.identify(&HeaderMap::new(), true), Ok(None));
    assert_eq!(table.identify(&with_key("Bearer other"), true), Ok(None));
    let known = table.identify(&with_key("Bearer key-1"), true).unwrap();
    assert_eq!(known.unwrap().name, name("first"));
}

#[test]
fn without_tenants_no_key_is_required() {
    let state = version(1, Vec::new()).unwrap();
    assert_eq!(identify(&state, "Bearer anything"), Ok(None));
    assert!(!TenantTable::new(&state).has_tenants());
}

/// When the last API key of the last tenant is removed, requests must not be accepted
/// without a tenant.
#[test]
fn tenants_without_keys_admit_no_request() {
    let state = version(1, vec![tenant("first", &[])]).unwrap();
    assert_eq!(
        identify(&state, "Bearer key-1"),
        Err(TenantKeyError::UnknownKey)
    );
}

#[test]
fn duplicate_and_empty_keys_are_both_reported() {
    let tenants = vec![
        tenant("first", &["key-1", ""]),
        tenant("second", &["key-2", "key-1"]),
    ];
    let findings = version(1, tenants).unwrap_err();
    assert_eq!(findings.len(), 2, "{findings}");
    assert!(!findings.to_string().contains("key-1"), "{findings}");
}

/// No serialized or debug form of a configuration version may contain an API key.
#[test]
fn no_serialized_form_contains_a_key() {
    let empty = version(1, Vec::new()).unwrap();
    let state = version(2, vec![tenant("first", &["secret-key"])]).unwrap();
    let delta = StateDelta::between(&empty, &state);
    let forms = [
        format!("{state:?}"),
        format!("{delta:?}"),
        format!("{:?}", TenantTable::new(&state)),
        String::from_utf8_lossy(&state.encode_snapshot()).to_string(),
        serde_json::to_string(&delta).unwrap(),
    ];
    for form in forms {
        assert!(
            form.contains("first") && !form.contains("secret-key"),
            "{form}"
        );
    }
    let debug = format!("{:?}", KeyDigest::of("secret-key"));
    let digest = String::from(KeyDigest::of("secret-key"));
    assert!(!debug.contains(&digest));
}

fn tenants() -> impl Strategy<Value = Vec<Resource>> {
    let keys = prop::collection::btree_set(0_u32..200, 0..30);
    (keys, 1_usize..5).prop_map(|(keys, count)| {
        let mut keys_by_tenant: Vec<Vec<String>> = vec![Vec::new(); count];
        for (index, key) in keys.into_iter().enumerate() {
            keys_by_tenant[index % count].push(format!("key-{key}"));
        }
        let resource = |(index, keys): (usize, &Vec<String>)| {
            let keys: Vec<&str> = keys.iter().map(String::as_str).collect();
            tenant(&format!("tenant-{index}"), &keys)
        };
        keys_by_tenant.iter().enumerate().map(resource).collect()
    })
}

proptest! {
    /// A version built from a delta has the same API keys as the full version, after keys
    /// were added, moved and removed. A snapshot keeps them.
    #[test]
    fn keys_survive_deltas_and_snapshots(before in tenants(), after in tenants()) {
        let before = version(1, before).unwrap();
        let after = version(2, after).unwrap();
        let delta = StateDelta::decode(&StateDelta::between(&before, &after).encode()).unwrap();
        let applied = delta.apply_to(&before).unwrap();
        let restored = ConfigState::decode_snapshot(&after.encode_compressed_snapshot()).unwrap();
        for state in [&applied, &restored] {
            prop_assert_eq!(state.content_digest(), after.content_digest());
            for key in 0..200 {
                let value = format!("Bearer key-{key}");
                prop_assert_eq!(identify(state, &value), identify(&after, &value));
            }
        }
    }
}
