//! The state that the change log leads to, and what one entry does to it.

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

/// How many decided operations the state remembers, so that a change sent
/// again is recognised.
pub const REMEMBERED_OPERATIONS: usize = 1_024;

/// A resource and the version that last changed it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResource {
    /// Version of the last change (`ETag` of the API).
    pub generation: Version,
    /// The resource.
    pub resource: Arc<Resource>,
}

/// What became of an operation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Outcome {
    /// It took effect whole.
    Accepted,
    /// It took no effect at all.
    Refused(Findings),
    /// A resource had another generation than the operator expected.
    Conflict(Findings),
}

/// A decided operation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedOperation {
    /// The operation.
    pub operation_id: OperationId,
    /// The slot that decided it.
    pub version: Version,
    /// What became of it.
    pub outcome: Outcome,
}

/// The configuration at one version.
///
/// Invariants: every route's services and secret, and every back end's
/// service, exist; no two routes match the same calls with the same rank; no
/// node stands beside two back ends; no key belongs to two tenants.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ConfigState {
    version: Version,
    #[serde(with = "resource_list")]
    resources: BTreeMap<ResourceKey, StoredResource>,
    recent: VecDeque<RecordedOperation>,
    /// Limits that came with a document; none where the settings rule.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    caller_limits: Option<CallerLimits>,
}

/// Why a snapshot was not taken over.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// The bytes cannot be read.
    #[error("unreadable snapshot: {reason}")]
    Unreadable {
        /// What the decoder found.
        reason: String,
    },
    /// The bytes cannot be unpacked.
    #[error("unreadable snapshot: {0}")]
    Decompress(#[from] DecompressError),
    /// The digest does not fit the content.
    #[error("the snapshot's digest does not fit its content")]
    DigestMismatch,
    /// The content breaks a rule of the configuration.
    #[error("the snapshot breaks a rule: {findings}")]
    Invalid {
        /// What is wrong.
        findings: Findings,
    },
}

impl ConfigState {
    /// The version that this state stands at.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The state that a whole document describes, or everything that is wrong
    /// with it. `version` is the document's own.
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
        check_whole(&stored, &mut findings);
        check_limits(caller_limits.as_ref(), &mut findings);
        findings.into_result(ConfigState {
            version,
            resources: stored,
            recent: VecDeque::new(),
            caller_limits,
        })
    }

    /// The state at `version` after `put` and `removed`, or everything that is
    /// wrong with it.
    pub(super) fn changed(
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
        check_whole(&resources, &mut findings);
        check_limits(caller_limits.as_ref(), &mut findings);
        findings.into_result(ConfigState {
            version,
            resources,
            recent: VecDeque::new(),
            caller_limits,
        })
    }

    /// This state, sharing with `older` the memory of all resources that are
    /// the same there.
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

    /// Digest of the resources and limits, whatever versions changed them last.
    pub fn content_digest(&self) -> String {
        let resources: Vec<&Resource> = self.resources().map(|stored| &*stored.resource).collect();
        let content = serde_json::to_vec(&(resources, &self.caller_limits))
            .expect("the state holds only types JSON can carry");
        blake3::hash(&content).to_hex().to_string()
    }

    /// What callers may send, if the configuration says it.
    pub fn caller_limits(&self) -> Option<&CallerLimits> {
        self.caller_limits.as_ref()
    }

    /// The state after the entry in slot `version() + 1`.
    ///
    /// The version always advances. An entry that is unreadable, breaks a
    /// rule, or repeats a decided operation changes nothing else.
    pub fn apply(&self, bytes: &[u8]) -> ConfigState {
        let mut next = self.clone();
        next.version = self.version.next();
        let Ok(entry) = LogEntry::decode(bytes) else {
            return next;
        };
        if self.operation(&entry.change.operation_id).is_some() {
            return next;
        }
        let outcome = match changed_resources(&self.resources, &entry, next.version) {
            Ok(resources) => {
                next.resources = resources;
                Outcome::Accepted
            }
            Err(outcome) => outcome,
        };
        next.remember(RecordedOperation {
            operation_id: entry.change.operation_id,
            version: next.version,
            outcome,
        });
        next
    }

    fn remember(&mut self, operation: RecordedOperation) {
        self.recent.push_back(operation);
        if self.recent.len() > REMEMBERED_OPERATIONS {
            self.recent.pop_front();
        }
    }

    /// What was decided about `operation_id`, if it is remembered.
    pub fn operation(&self, operation_id: &OperationId) -> Option<&RecordedOperation> {
        self.recent
            .iter()
            .rev()
            .find(|recorded| recorded.operation_id == *operation_id)
    }

    /// What was decided by the slot `version`, if it is remembered.
    pub fn operation_at(&self, version: Version) -> Option<&RecordedOperation> {
        self.recent
            .iter()
            .rev()
            .find(|recorded| recorded.version == version)
    }

    /// One resource.
    pub fn get(&self, key: &ResourceKey) -> Option<&StoredResource> {
        self.resources.get(key)
    }

    /// All resources, by kind and name.
    pub fn resources(&self) -> impl Iterator<Item = &StoredResource> {
        self.resources.values()
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.resources()
            .filter_map(|stored| match &*stored.resource {
                Resource::Route(route) => Some(route),
                _ => None,
            })
    }

    /// All back ends.
    pub fn backends(&self) -> impl Iterator<Item = &Backend> {
        self.resources()
            .filter_map(|stored| match &*stored.resource {
                Resource::Backend(backend) => Some(backend),
                _ => None,
            })
    }

    /// All tenants.
    pub fn tenants(&self) -> impl Iterator<Item = &Tenant> {
        self.resources()
            .filter_map(|stored| match &*stored.resource {
                Resource::Tenant(tenant) => Some(tenant),
                _ => None,
            })
    }

    /// The service called `name`.
    pub fn service(&self, name: &ResourceName) -> Option<&Service> {
        match &*self.named(ResourceKind::Service, name)?.resource {
            Resource::Service(service) => Some(service),
            _ => None,
        }
    }

    /// The secret called `name`.
    pub fn secret(&self, name: &ResourceName) -> Option<&Secret> {
        match &*self.named(ResourceKind::Secret, name)?.resource {
            Resource::Secret(secret) => Some(secret),
            _ => None,
        }
    }

    fn named(&self, kind: ResourceKind, name: &ResourceName) -> Option<&StoredResource> {
        self.resources.get(&ResourceKey {
            kind,
            name: name.clone(),
        })
    }

    /// References that lead nowhere; always empty for a state made by `apply`.
    pub fn dangling_references(&self) -> Findings {
        let mut findings = Findings::new();
        check_references(&self.resources, &mut findings);
        findings
    }

    /// Encodes the state with a digest of its content.
    pub fn encode_snapshot(&self) -> Vec<u8> {
        let content = serde_json::to_vec(self).expect("the state holds only types JSON can carry");
        let mut snapshot = blake3::hash(&content).as_bytes().to_vec();
        snapshot.extend_from_slice(&content);
        snapshot
    }

    /// Encodes the state for a peer, compressed.
    pub fn encode_compressed_snapshot(&self) -> Vec<u8> {
        compress(&self.encode_snapshot())
    }

    /// Reads a snapshot, compressed or not, and checks its digest and the rules.
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
        check_whole(&state.resources, &mut findings);
        check_limits(state.caller_limits.as_ref(), &mut findings);
        findings
            .into_result(state)
            .map_err(|findings| SnapshotError::Invalid { findings })
    }
}

fn changed_resources(
    current: &BTreeMap<ResourceKey, StoredResource>,
    entry: &LogEntry,
    version: Version,
) -> Result<BTreeMap<ResourceKey, StoredResource>, Outcome> {
    let mut resources = current.clone();
    let mut conflicts = Findings::new();
    let mut faults = Findings::new();
    for (index, operation) in entry.change.operations.iter().enumerate() {
        let place = format!("operations[{index}] {}", operation.key());
        apply_operation(
            &mut resources,
            operation,
            version,
            &place,
            &mut conflicts,
            &mut faults,
        );
    }
    check_whole(&resources, &mut faults);
    if !conflicts.is_empty() {
        return Err(Outcome::Conflict(conflicts));
    }
    if !faults.is_empty() {
        return Err(Outcome::Refused(faults));
    }
    Ok(resources)
}

fn apply_operation(
    resources: &mut BTreeMap<ResourceKey, StoredResource>,
    operation: &Operation,
    version: Version,
    place: &str,
    conflicts: &mut Findings,
    faults: &mut Findings,
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
            validate_resource(resource, place, faults);
            let stored = StoredResource {
                generation: version,
                resource: Arc::new((**resource).clone()),
            };
            resources.insert(key, stored);
        }
        Operation::Delete { .. } => {
            if resources.remove(&key).is_none() {
                faults.push(
                    place,
                    "no such resource",
                    "the name of an existing resource",
                );
            }
        }
    }
}

fn check_limits(limits: Option<&CallerLimits>, findings: &mut Findings) {
    if let Some(limits) = limits {
        validate_caller_limits(limits, findings);
    }
}

fn check_whole(resources: &BTreeMap<ResourceKey, StoredResource>, findings: &mut Findings) {
    check_references(resources, findings);
    check_route_ties(resources, findings);
    check_nodes(resources, findings);
    check_keys(resources, findings);
}

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

fn check_route_ties(resources: &BTreeMap<ResourceKey, StoredResource>, findings: &mut Findings) {
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

fn check_nodes(resources: &BTreeMap<ResourceKey, StoredResource>, findings: &mut Findings) {
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

/// Whose call it is must be known by its key alone.
fn check_keys(resources: &BTreeMap<ResourceKey, StoredResource>, findings: &mut Findings) {
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
    //! The resource map as a JSON list, since JSON keys are texts.

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
