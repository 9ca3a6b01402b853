//! Configuration states: how a log entry, a document or a delta changes one, and which rules it
//! must satisfy.

use super::change::{LogEntry, Operation};
use super::resource::{
    Backend, CallerLimits, Resource, ResourceKey, ResourceKind, Route, Secret, Service,
};
use super::tenant::Tenant;
use super::validate::{validate_caller_limits, validate_resource};
use crate::compression::{DecompressError, compress, decompress};
use crate::findings::Findings;
use crate::ids::{OperationId, ResourceName, Version};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

/// Number of recently decided change sets whose outcome is kept, so that a repeated
/// submission is recognized.
pub const MAX_RECORDED_OPERATIONS: usize = 1_024;

/// A resource of a configuration state, with the version that last changed it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResource {
    /// Version that last changed the resource (`ETag` in the API).
    pub generation: Version,
    /// Content of the resource, shared between the states that contain it.
    pub resource: Arc<Resource>,
}

/// Outcome of an operator's change set.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Outcome {
    /// All operations of the change set were applied.
    Accepted,
    /// The change set violates a rule of the configuration; none of it was applied.
    Refused(Findings),
    /// A resource had another generation than `If-Match` required; nothing of the change
    /// set was applied.
    Conflict(Findings),
}

/// A change set that the log has decided, with its outcome. Kept to recognize repeated
/// submissions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedOperation {
    /// Idempotency key of the change set.
    pub operation_id: OperationId,
    /// Version of the log slot that decided the change set.
    pub version: Version,
    /// Whether the change set was applied, and otherwise why it was rejected.
    pub outcome: Outcome,
}

/// The configuration at one version.
///
/// Invariants: every service and secret that a route references and every service that a
/// backend references exists; no two routes match the same calls with the same precedence;
/// no node is the local node of two backends; no key belongs to two tenants.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ConfigState {
    version: Version,
    #[serde(with = "resource_list")]
    resources: BTreeMap<ResourceKey, StoredResource>,
    /// Latest decided change sets, oldest first, at most [`MAX_RECORDED_OPERATIONS`].
    recent: VecDeque<RecordedOperation>,
    /// Limits on callers' requests that the operators' configuration document sets; `None`
    /// if the settings of the node apply.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    caller_limits: Option<CallerLimits>,
}

/// Reason why a configuration snapshot was rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// The content of the snapshot is not valid JSON of a [`ConfigState`].
    #[error("cannot decode the snapshot: {reason}")]
    Unreadable {
        /// Error message of the JSON decoder for the snapshot.
        reason: String,
    },
    /// The bytes of the snapshot could not be decompressed with zstd.
    #[error("cannot decompress the snapshot: {0}")]
    Decompress(#[from] DecompressError),
    /// The digest of the snapshot does not match its content.
    #[error("the snapshot's digest does not match its content")]
    DigestMismatch,
    /// The content of the snapshot violates a rule of the configuration.
    #[error("the snapshot is not a valid configuration: {findings}")]
    Invalid {
        /// Rules of the configuration that the content of the snapshot violates.
        findings: Findings,
    },
}

impl ConfigState {
    /// Version of the log slot or document from which this configuration state results.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Creates the configuration state that a document describes. `version` is the
    /// document's own; the error contains all violations found.
    pub fn from_document(
        version: Version,
        resources: Vec<Resource>,
        caller_limits: Option<CallerLimits>,
    ) -> Result<ConfigState, Findings> {
        let mut findings = Findings::new();
        let mut stored = BTreeMap::new();
        for resource in resources {
            let key = resource.key();
            validate_resource(&resource, &key.to_string(), &mut findings);
            let resource = Arc::new(resource);
            let one = StoredResource {
                generation: version,
                resource,
            };
            if stored.insert(key.clone(), one).is_some() {
                findings.push(key.to_string(), "a second one", "one of each name");
            }
        }
        check_consistency(&stored, &mut findings);
        check_limits(caller_limits.as_ref(), &mut findings);
        findings.into_result(ConfigState {
            version,
            resources: stored,
            recent: VecDeque::new(),
            caller_limits,
        })
    }

    /// Creates the configuration state at `version`, in which the resources of `put` are
    /// added or replaced and those of `removed` deleted. The error contains all violations
    /// found.
    pub(super) fn with_changes(
        &self,
        version: Version,
        put: &[Arc<Resource>],
        removed: &[ResourceKey],
        caller_limits: Option<CallerLimits>,
    ) -> Result<ConfigState, Findings> {
        let mut findings = Findings::new();
        let mut resources = self.resources.clone();
        for key in removed {
            resources.remove(key);
        }
        for resource in put {
            let key = resource.key();
            validate_resource(resource, &key.to_string(), &mut findings);
            let stored = StoredResource {
                generation: version,
                resource: resource.clone(),
            };
            resources.insert(key, stored);
        }
        check_consistency(&resources, &mut findings);
        check_limits(caller_limits.as_ref(), &mut findings);
        findings.into_result(ConfigState {
            version,
            resources,
            recent: VecDeque::new(),
            caller_limits,
        })
    }

    /// Reuses the memory of `older` for all resources that are equal there, since
    /// consecutive states differ in few.
    pub fn share_unchanged_resources(mut self, older: &ConfigState) -> ConfigState {
        for (key, stored) in &mut self.resources {
            if let Some(known) = older.resources.get(key)
                && known.resource == stored.resource
            {
                stored.resource = known.resource.clone();
            }
        }
        self
    }

    /// BLAKE3 digest of the resources and caller limits. It does not depend on versions and
    /// generations.
    pub fn content_digest(&self) -> String {
        let resources: Vec<&Resource> = self.resources().map(|stored| &*stored.resource).collect();
        let content = serde_json::to_vec(&(resources, &self.caller_limits))
            .expect("the state is serializable as JSON");
        blake3::hash(&content).to_hex().to_string()
    }

    /// Limits on callers' requests that the operators' configuration document sets, if it
    /// sets any.
    pub fn caller_limits(&self) -> Option<&CallerLimits> {
        self.caller_limits.as_ref()
    }

    /// Applies the entry of slot `version() + 1` and returns the new state.
    ///
    /// The version always advances. An entry that cannot be decoded, violates a rule or
    /// repeats a decided operation changes nothing else.
    pub fn apply(&self, bytes: &[u8]) -> ConfigState {
        let mut next = self.clone();
        next.version = self.version.next();
        let Ok(entry) = LogEntry::decode(bytes) else {
            return next;
        };
        if self.operation(&entry.change.operation_id).is_some() {
            return next;
        }
        let outcome = match apply_operations(&self.resources, &entry, next.version) {
            Ok(resources) => {
                next.resources = resources;
                Outcome::Accepted
            }
            Err(outcome) => outcome,
        };
        next.record_operation(RecordedOperation {
            operation_id: entry.change.operation_id,
            version: next.version,
            outcome,
        });
        next
    }

    /// Adds the decision about a change set, and drops the oldest one beyond the limit.
    fn record_operation(&mut self, operation: RecordedOperation) {
        self.recent.push_back(operation);
        if self.recent.len() > MAX_RECORDED_OPERATIONS {
            self.recent.pop_front();
        }
    }

    /// Recorded decision about the change set `operation_id`; `None` if it is unknown or no
    /// longer kept.
    pub fn operation(&self, operation_id: &OperationId) -> Option<&RecordedOperation> {
        self.recent
            .iter()
            .rev()
            .find(|recorded| recorded.operation_id == *operation_id)
    }

    /// Recorded decision of the log slot `version`; `None` if it is unknown or no longer
    /// kept.
    pub fn operation_at(&self, version: Version) -> Option<&RecordedOperation> {
        self.recent
            .iter()
            .rev()
            .find(|recorded| recorded.version == version)
    }

    /// Resource of this kind and name, with its generation.
    pub fn get(&self, key: &ResourceKey) -> Option<&StoredResource> {
        self.resources.get(key)
    }

    /// All resources in the order of their kinds and names.
    pub fn resources(&self) -> impl Iterator<Item = &StoredResource> {
        self.resources.values()
    }

    /// All routes, ordered by name.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.resources()
            .filter_map(|stored| match &*stored.resource {
                Resource::Route(route) => Some(route),
                _ => None,
            })
    }

    /// All backends, ordered by name.
    pub fn backends(&self) -> impl Iterator<Item = &Backend> {
        self.resources()
            .filter_map(|stored| match &*stored.resource {
                Resource::Backend(backend) => Some(backend),
                _ => None,
            })
    }

    /// All tenants, ordered by name.
    pub fn tenants(&self) -> impl Iterator<Item = &Tenant> {
        self.resources()
            .filter_map(|stored| match &*stored.resource {
                Resource::Tenant(tenant) => Some(tenant),
                _ => None,
            })
    }

    /// Looks up a service by name.
    pub fn service(&self, name: &ResourceName) -> Option<&Service> {
        match &*self.named(ResourceKind::Service, name)?.resource {
            Resource::Service(service) => Some(service),
            _ => None,
        }
    }

    /// Looks up a secret by name.
    pub fn secret(&self, name: &ResourceName) -> Option<&Secret> {
        match &*self.named(ResourceKind::Secret, name)?.resource {
            Resource::Secret(secret) => Some(secret),
            _ => None,
        }
    }

    /// Looks up a resource by kind and name.
    fn named(&self, kind: ResourceKind, name: &ResourceName) -> Option<&StoredResource> {
        self.resources.get(&ResourceKey {
            kind,
            name: name.clone(),
        })
    }

    /// References to resources that do not exist; always empty for a state produced by
    /// `apply`.
    pub fn dangling_references(&self) -> Findings {
        let mut findings = Findings::new();
        check_references(&self.resources, &mut findings);
        findings
    }

    /// Encodes the state as JSON after a BLAKE3 digest of that JSON, which detects
    /// corruption.
    pub fn encode_snapshot(&self) -> Vec<u8> {
        let content = serde_json::to_vec(self).expect("the state is serializable as JSON");
        let mut snapshot = blake3::hash(&content).as_bytes().to_vec();
        snapshot.extend_from_slice(&content);
        snapshot
    }

    /// Like [`ConfigState::encode_snapshot`], compressed with zstd to send it to a peer.
    pub fn encode_compressed_snapshot(&self) -> Vec<u8> {
        compress(&self.encode_snapshot())
    }

    /// Decodes a snapshot, compressed or not. Verifies its digest and the rules of the
    /// configuration.
    pub fn decode_snapshot(bytes: &[u8]) -> Result<ConfigState, SnapshotError> {
        let bytes = decompress(bytes)?;
        if bytes.len() < blake3::OUT_LEN {
            return Err(SnapshotError::DigestMismatch);
        }
        let (digest, content) = bytes.split_at(blake3::OUT_LEN);
        if blake3::hash(content).as_bytes() != digest {
            return Err(SnapshotError::DigestMismatch);
        }
        let state: ConfigState =
            serde_json::from_slice(content).map_err(|error| SnapshotError::Unreadable {
                reason: error.to_string(),
            })?;
        let mut findings = Findings::new();
        for (key, stored) in &state.resources {
            validate_resource(&stored.resource, &key.to_string(), &mut findings);
        }
        check_consistency(&state.resources, &mut findings);
        check_limits(state.caller_limits.as_ref(), &mut findings);
        findings
            .into_result(state)
            .map_err(|findings| SnapshotError::Invalid { findings })
    }
}

/// Applies the operations of `entry` to a copy of the resources; returns an outcome instead
/// when a condition or rule is violated.
fn apply_operations(
    current: &BTreeMap<ResourceKey, StoredResource>,
    entry: &LogEntry,
    version: Version,
) -> Result<BTreeMap<ResourceKey, StoredResource>, Outcome> {
    let mut resources = current.clone();
    let mut conflicts = Findings::new();
    let mut violations = Findings::new();
    for (index, operation) in entry.change.operations.iter().enumerate() {
        let place = format!("operations[{index}] {}", operation.key());
        apply_operation(
            &mut resources,
            operation,
            version,
            &place,
            &mut conflicts,
            &mut violations,
        );
    }
    check_consistency(&resources, &mut violations);
    if !conflicts.is_empty() {
        return Err(Outcome::Conflict(conflicts));
    }
    if !violations.is_empty() {
        return Err(Outcome::Refused(violations));
    }
    Ok(resources)
}

/// Applies one operation of a change set to `resources`. Adds unmet generation conditions
/// to `conflicts` and broken rules to `violations`.
fn apply_operation(
    resources: &mut BTreeMap<ResourceKey, StoredResource>,
    operation: &Operation,
    version: Version,
    place: &str,
    conflicts: &mut Findings,
    violations: &mut Findings,
) {
    let key = operation.key();
    let current = resources
        .get(&key)
        .map_or(Version::ZERO, |stored| stored.generation);
    let (Operation::Put { if_generation, .. } | Operation::Delete { if_generation, .. }) =
        operation;
    if let Some(expected) = if_generation
        && *expected != current
    {
        conflicts.push(
            place,
            format!("generation {expected} expected"),
            format!("generation {current}, the current one"),
        );
    }
    match operation {
        Operation::Put { resource, .. } => {
            validate_resource(resource, place, violations);
            let stored = StoredResource {
                generation: version,
                resource: Arc::new((**resource).clone()),
            };
            resources.insert(key, stored);
        }
        Operation::Delete { .. } => {
            if resources.remove(&key).is_none() {
                violations.push(
                    place,
                    "no such resource",
                    "the name of an existing resource",
                );
            }
        }
    }
}

/// Validates the caller limits of a configuration document, if it sets any.
fn check_limits(limits: Option<&CallerLimits>, findings: &mut Findings) {
    if let Some(limits) = limits {
        validate_caller_limits(limits, findings);
    }
}

/// Checks the rules that involve several resources: references, route conflicts, local
/// nodes and tenant keys.
fn check_consistency(resources: &BTreeMap<ResourceKey, StoredResource>, findings: &mut Findings) {
    check_references(resources, findings);
    check_route_conflicts(resources, findings);
    check_local_nodes(resources, findings);
    check_tenant_keys(resources, findings);
}

/// Checks that every resource that another one references exists.
fn check_references(resources: &BTreeMap<ResourceKey, StoredResource>, findings: &mut Findings) {
    let mut require = |place: String, kind: ResourceKind, name: &ResourceName| {
        let key = ResourceKey {
            kind,
            name: name.clone(),
        };
        if !resources.contains_key(&key) {
            findings.push(place, format!("no {key}"), format!("an existing {kind}"));
        }
    };
    for (key, stored) in resources {
        match &*stored.resource {
            Resource::Route(route) => {
                for (index, destination) in route.destinations.iter().enumerate() {
                    require(
                        format!("{key}.destinations[{index}].service"),
                        ResourceKind::Service,
                        &destination.service,
                    );
                }
                if let Some(secret) = &route.secret {
                    require(format!("{key}.secret"), ResourceKind::Secret, secret);
                }
            }
            Resource::Backend(backend) => require(
                format!("{key}.service"),
                ResourceKind::Service,
                &backend.service,
            ),
            Resource::Service(_) | Resource::Secret(_) | Resource::Tenant(_) => {}
        }
    }
}

/// Checks that no two routes match the same calls with the same precedence, so that the
/// route of a call is unambiguous.
fn check_route_conflicts(
    resources: &BTreeMap<ResourceKey, StoredResource>,
    findings: &mut Findings,
) {
    let mut seen = BTreeMap::new();
    for (key, stored) in resources {
        let Resource::Route(route) = &*stored.resource else {
            continue;
        };
        let mut headers = route.headers.clone();
        headers.sort();
        let methods = if route.methods.is_empty() {
            vec![String::new()]
        } else {
            route.methods.clone()
        };
        for method in methods {
            let rank = (
                route.host.clone(),
                route.path.clone(),
                method,
                headers.clone(),
            );
            if let Some(other) = seen.insert(rank, key.clone()) {
                findings.push(
                    format!("{key}"),
                    format!("matches the same calls as {other}"),
                    "a host, path, method or header that tells them apart",
                );
                break;
            }
        }
    }
}

/// Checks that no node is the local node of two backends.
fn check_local_nodes(resources: &BTreeMap<ResourceKey, StoredResource>, findings: &mut Findings) {
    let mut seen = BTreeMap::new();
    for (key, stored) in resources {
        let Resource::Backend(backend) = &*stored.resource else {
            continue;
        };
        if let Some(other) = seen.insert(backend.node.clone(), key.clone()) {
            findings.push(
                format!("{key}.node"),
                format!("node {} already stands beside {other}", backend.node),
                "one back end a node",
            );
        }
    }
}

/// Checks that no key belongs to two tenants, since a key alone identifies the tenant of a
/// call.
fn check_tenant_keys(resources: &BTreeMap<ResourceKey, StoredResource>, findings: &mut Findings) {
    let mut seen = HashMap::new();
    for (key, stored) in resources {
        let Resource::Tenant(tenant) = &*stored.resource else {
            continue;
        };
        for (index, digest) in tenant.keys.iter().enumerate() {
            let other = seen.insert(*digest, key);
            if let Some(other) = other.filter(|other| *other != key) {
                findings.push(
                    format!("{key}.keys[{index}]"),
                    format!("a key of {other} as well"),
                    "each key once",
                );
            }
        }
    }
}

mod resource_list {
    //! Serializes the resource map as a list, since JSON object keys must be strings.

    use super::{ResourceKey, StoredResource};
    use serde::{Deserialize, Deserializer, Serializer};
    use std::collections::BTreeMap;

    pub fn serialize<S: Serializer>(
        resources: &BTreeMap<ResourceKey, StoredResource>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(resources.values())
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<BTreeMap<ResourceKey, StoredResource>, D::Error> {
        let list = Vec::<StoredResource>::deserialize(deserializer)?;
        Ok(list
            .into_iter()
            .map(|stored| (stored.resource.key(), stored))
            .collect())
    }
}
