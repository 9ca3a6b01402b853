//! Resource files, in which operators describe resources that are applied as one change.

use super::collect::deserialize_collecting;
use figment::Figment;
use figment::providers::{Format, Toml};
use figment::value::{Dict, Value};
use rampthread_core::config::{
    Backend, KeyDigest, RequestCount, Resource, ResourceKey, ResourceKind, Route, Service, Tenant,
    validate_resource,
};
use rampthread_core::findings::Findings;
use rampthread_core::ids::ResourceName;
use secrecy::SecretString;
use serde::Deserialize;
use std::collections::BTreeSet;

/// A secret as in a resource file, with its plaintext value.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SecretInput {
    /// Unique among secrets; routes refer to the secret by it.
    pub name: ResourceName,
    /// Plaintext value; sealed before it leaves the node that receives it.
    pub value: SecretString,
}

/// A tenant as in a resource file, with its plaintext keys.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TenantInput {
    name: ResourceName,
    /// List of strings; deserialized separately, so that no finding shows a key.
    keys: Value,
    #[serde(default)]
    priority: Option<u32>,
    #[serde(default)]
    rate: RequestCount,
    #[serde(default)]
    burst: RequestCount,
}

impl TenantInput {
    /// Converts the input to a tenant with digests in place of keys.
    fn into_tenant(self, place: &str, findings: &mut Findings) -> Option<Tenant> {
        let keys = read_key_digests(&self.keys);
        if keys.is_none() {
            findings.push(
                format!("{place}: keys"),
                "no list of texts",
                "a list of keys",
            );
        }
        Some(Tenant {
            name: self.name,
            keys: keys?,
            priority: self.priority,
            rate: self.rate,
            burst: self.burst,
        })
    }
}

/// Digests of a list of plaintext keys; `None` if it is not a list of strings.
fn read_key_digests(keys: &Value) -> Option<Vec<KeyDigest>> {
    let digest = |key: &Value| key.as_str().map(KeyDigest::of);
    keys.as_array()?.iter().map(digest).collect()
}

/// Content of a resource file.
#[derive(Debug, Clone, Default)]
pub struct ResourceFile {
    /// Services, routes, backends and tenants of the file.
    pub resources: Vec<Resource>,
    /// Secrets of the file, not yet sealed.
    pub secrets: Vec<SecretInput>,
}

impl ResourceFile {
    /// Keys of all resources and secrets in the file.
    pub fn keys(&self) -> Vec<ResourceKey> {
        let secrets = self.secrets.iter().map(|secret| ResourceKey {
            kind: ResourceKind::Secret,
            name: secret.name.clone(),
        });
        self.resources
            .iter()
            .map(Resource::key)
            .chain(secrets)
            .collect()
    }
}

/// Reads a TOML resource file with the tables `[[service]]`, `[[route]]`, `[[secret]]`,
/// `[[backend]]` and `[[tenant]]`.
pub fn read_resource_toml(place: &str, text: &str) -> Result<ResourceFile, Findings> {
    match Figment::from(Toml::string(text)).extract::<Dict>() {
        Ok(dict) => read_resources(dict, place),
        Err(error) => {
            let mut findings = Findings::new();
            findings.push(place, error.to_string().replace('\n', " "), "TOML");
            Err(findings)
        }
    }
}

/// Reads a JSON resource file, as sent to the API.
pub fn read_resource_json(place: &str, text: &[u8]) -> Result<ResourceFile, Findings> {
    let mut findings = Findings::new();
    let parsed = serde_json::from_slice::<serde_json::Value>(text)
        .map_err(|error| error.to_string())
        .and_then(|json| Value::serialize(json).map_err(|error| error.to_string()));
    match parsed {
        Ok(Value::Dict(_, dict)) => read_resources(dict, place),
        Ok(_) => {
            findings.push(place, "no JSON object", "an object of lists of resources");
            Err(findings)
        }
        Err(error) => {
            findings.push(place, error, "JSON");
            Err(findings)
        }
    }
}

/// Reads all resources of a parsed file, and reports unknown kinds and duplicates.
fn read_resources(dict: Dict, place: &str) -> Result<ResourceFile, Findings> {
    let mut findings = Findings::new();
    let mut file = ResourceFile::default();
    for (word, list) in dict {
        let Some(kind) = ResourceKind::parse(&word) else {
            findings.push(
                format!("{place}: {word}"),
                "an unknown kind",
                "one of service, route, secret, backend",
            );
            continue;
        };
        let Value::Array(_, items) = list else {
            findings.push(
                format!("{place}: {word}"),
                "no list",
                format!("a list, such as [[{word}]]"),
            );
            continue;
        };
        for (index, item) in items.into_iter().enumerate() {
            let place = format!("{place}: {word}[{index}]");
            read_resource(kind, item, &place, &mut file, &mut findings);
        }
    }
    check_duplicates(&file, place, &mut findings);
    findings.into_result(file)
}

/// Reads and validates one resource of the given kind.
fn read_resource(
    kind: ResourceKind,
    item: Value,
    place: &str,
    file: &mut ResourceFile,
    findings: &mut Findings,
) {
    let resource = match kind {
        ResourceKind::Service => {
            deserialize_collecting::<Service>(item, place, placeholder, findings)
                .map(Resource::Service)
        }
        ResourceKind::Route => {
            deserialize_collecting::<Route>(item, place, placeholder, findings).map(Resource::Route)
        }
        ResourceKind::Backend => {
            deserialize_collecting::<Backend>(item, place, placeholder, findings)
                .map(Resource::Backend)
        }
        ResourceKind::Tenant => {
            deserialize_collecting::<TenantInput>(item, place, placeholder, findings)
                .and_then(|tenant| tenant.into_tenant(place, findings))
                .map(Resource::Tenant)
        }
        ResourceKind::Secret => {
            file.secrets.extend(deserialize_collecting::<SecretInput>(
                item,
                place,
                placeholder,
                findings,
            ));
            None
        }
    };
    if let Some(resource) = resource {
        validate_resource(&resource, place, findings);
        file.resources.push(resource);
    }
}

/// Checks that no two resources of one kind have the same name.
fn check_duplicates(file: &ResourceFile, place: &str, findings: &mut Findings) {
    let mut seen = BTreeSet::new();
    for key in file.keys() {
        if !seen.insert(key.clone()) {
            findings.push(format!("{place}: {key}"), "named twice", "each name once");
        }
    }
}

/// Valid placeholder for a missing required key, so that later keys are checked as well.
fn placeholder(key: &str) -> Option<Value> {
    let single = |key: &str, value: &str| {
        let mut dict = Dict::new();
        dict.insert(key.to_string(), Value::from(value));
        Value::from(dict)
    };
    Some(match key {
        "name" | "service" | "node" | "zone" | "region" | "value" => Value::from("missing"),
        "address" => Value::from("127.0.0.1:1"),
        "path" => single("prefix", "/"),
        "keys" => Value::from(Vec::<String>::new()),
        "destinations" => Value::from(vec![single("service", "missing")]),
        _ => return None,
    })
}

/// Converts a TOML resource file to the JSON that the API accepts.
pub fn toml_to_json(place: &str, text: &str) -> Result<serde_json::Value, Findings> {
    Figment::from(Toml::string(text))
        .extract::<serde_json::Value>()
        .map_err(|error| {
            let mut findings = Findings::new();
            findings.push(place, error.to_string().replace('\n', " "), "TOML");
            findings
        })
}
