//! Resources that operators define: services, routes, secrets, backends and tenants.

use super::secret::SealedValue;
use super::tenant::Tenant;
use crate::ids::{NodeId, Region, ResourceName, Zone};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;

/// Kinds of resources that operators can define in the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ResourceKind {
    /// A named group of backends.
    Service,
    /// A rule that sends matching calls to services.
    Route,
    /// A sealed value that routes use.
    Secret,
    /// A server process with a local node.
    Backend,
    /// A group of callers with its keys and rate limit.
    Tenant,
}

impl ResourceKind {
    /// All kinds of resources, in the order in which tables and files list them.
    pub const ALL: [ResourceKind; 5] = [
        ResourceKind::Service,
        ResourceKind::Route,
        ResourceKind::Secret,
        ResourceKind::Backend,
        ResourceKind::Tenant,
    ];

    /// Lower-case word for the kind, used in files, URLs and tables.
    pub fn as_str(self) -> &'static str {
        match self {
            ResourceKind::Service => "service",
            ResourceKind::Route => "route",
            ResourceKind::Secret => "secret",
            ResourceKind::Backend => "backend",
            ResourceKind::Tenant => "tenant",
        }
    }

    /// Parses the lower-case word for a kind; `None` if the word is unknown.
    pub fn parse(word: &str) -> Option<ResourceKind> {
        Self::ALL.into_iter().find(|kind| kind.as_str() == word)
    }
}

impl fmt::Display for ResourceKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// Unique key of a resource.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ResourceKey {
    /// Kind of the resource; resources of different kinds may have the same name.
    pub kind: ResourceKind,
    /// Name of the resource, unique within its kind.
    pub name: ResourceName,
}

impl fmt::Display for ResourceKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.kind, self.name)
    }
}

/// A named group of backends that serve the same calls.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique among services; routes and backends refer to the service by it.
    pub name: ResourceName,
    /// Retry budget, in percent of the calls of the service.
    #[serde(default = "default_retry_percent")]
    pub retry_percent: u8,
    /// Time in which a backend that has become ready ramps up to its full share of calls,
    /// in milliseconds.
    #[serde(default = "default_slow_start_ms")]
    pub slow_start_ms: u64,
    /// Connections that one backend of the service accepts; `None` if the backend resources
    /// define it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub connections: Option<u32>,
}

/// Retry budget of a [`Service`] that sets none: retries may be 10% of its calls.
pub fn default_retry_percent() -> u8 {
    10
}

/// Ramp-up time for new backends of a [`Service`] that sets none, in milliseconds.
pub fn default_slow_start_ms() -> u64 {
    5_000
}

/// Condition of a route on the path of a call.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PathMatch {
    /// The paths are equal, byte for byte.
    Exact(String),
    /// The path of the call starts with this prefix, which ends at a segment boundary.
    Prefix(String),
}

impl PathMatch {
    /// Path or prefix with which the path of a call is compared.
    pub fn text(&self) -> &str {
        match self {
            PathMatch::Exact(text) | PathMatch::Prefix(text) => text,
        }
    }
}

/// A header that a call must have with exactly this value.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HeaderMatch {
    /// Header name, compared case-insensitively (RFC 9110).
    pub name: String,
    /// Value that the header must have, compared byte for byte.
    pub value: String,
}

/// Service that receives a weighted share of the calls of a route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Destination {
    /// Service that receives the weighted share of the route's calls.
    pub service: ResourceName,
    /// Weight relative to the other destinations of the route.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

/// Weight of a [`Destination`] that sets none: destinations share the calls equally.
pub fn default_weight() -> u32 {
    1
}

/// Which calls may be executed more than once, and so be retried after they may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeatability {
    /// Calls with safe methods (RFC 9110, section 9.2.1) may be executed more than once.
    #[default]
    SafeMethods,
    /// Every call may be executed more than once.
    Always,
    /// No call may be executed more than once.
    Never,
}

/// A rule that sends matching calls to services.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Unique among routes.
    pub name: ResourceName,
    /// Host that a call must name to match; `None` matches every host.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<String>,
    /// Condition that the path of a call must meet to match the route.
    pub path: PathMatch,
    /// Methods of calls that match; empty matches every method.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub methods: Vec<String>,
    /// Headers that a call must have to match, all of them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub headers: Vec<HeaderMatch>,
    /// Services that receive matching calls, with their weights; 1 to 64.
    pub destinations: Vec<Destination>,
    /// Timeout of a call whose caller sets no deadline, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
    /// Which calls of the route may be executed more than once, and so be retried after
    /// they may have run.
    #[serde(default)]
    pub repeatability: Repeatability,
    /// Secret that the backend's local node (its gate) adds to the call before it forwards it to the backend.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub secret: Option<ResourceName>,
    /// Name of the header in which the backend receives the secret of the route.
    #[serde(default = "default_secret_header")]
    pub secret_header: String,
    /// Maximum number of backends to which one call is sent, including retries.
    #[serde(default = "default_max_attempts")]
    pub max_attempts: u32,
    /// Priority of the route's calls when a backend is at capacity; 0 is the highest.
    #[serde(default = "default_priority")]
    pub priority: u32,
    /// Time within which responses should arrive, in milliseconds; `None` if the operator
    /// sets no target.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target_latency_ms: Option<u64>,
    /// True if calls of the route need no tenant key even when the configuration has
    /// tenants.
    #[serde(default, skip_serializing_if = "is_false")]
    pub public: bool,
}

/// Lets serde omit `public` where it is false.
fn is_false(value: &bool) -> bool {
    !value
}

/// Number of backends to which a call is sent at most, for a [`Route`] that sets none.
pub fn default_max_attempts() -> u32 {
    3
}

/// Priority of calls of a [`Route`] that sets none; 0 is the highest.
pub fn default_priority() -> u32 {
    1
}

/// Timeout of calls without a deadline for a [`Route`] that sets none, in milliseconds.
pub fn default_timeout_ms() -> u64 {
    10_000
}

/// Header that carries the secret of a [`Route`] that names none.
pub fn default_secret_header() -> String {
    "authorization".to_string()
}

/// Limits on what callers may send to an entry node, and how long they may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerLimits {
    /// Maximum size of the head of a caller's request (request line and headers), in bytes.
    pub head_bytes: usize,
    /// Maximum size of the body of a caller's request, in bytes.
    pub body_bytes: usize,
    /// Time within which the head of a caller's request must arrive, in milliseconds.
    pub head_wait_ms: u64,
    /// Time without requests after which a caller's connection is closed, in milliseconds.
    pub idle_ms: u64,
}

/// A secret value that routes use, in sealed form.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Secret {
    /// Unique among secrets; routes refer to the secret by it.
    pub name: ResourceName,
    /// Encrypted value, which the local node of a backend decrypts when it forwards a call.
    pub sealed: SealedValue,
}

/// A server process whose calls pass through its local node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Backend {
    /// Unique among backends.
    pub name: ResourceName,
    /// Service whose calls the backend processes.
    pub service: ResourceName,
    /// Node that runs next to the backend and admits and forwards its calls.
    pub node: NodeId,
    /// Address at which the local node reaches the backend.
    pub address: SocketAddr,
    /// Zone of the backend's machine; calls prefer backends in their own zone.
    pub zone: Zone,
    /// Region of the backend's machine, a group of zones.
    pub region: Region,
    /// Number of calls that the backend can process concurrently.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Maximum number of connections that the backend accepts.
    #[serde(default = "default_connections")]
    pub connections: u32,
}

/// Calls that a [`Backend`] processes concurrently if the operator sets no number.
pub fn default_slots() -> u32 {
    10
}

/// Connections that a [`Backend`] accepts if the operator sets no number.
pub fn default_connections() -> u32 {
    100
}

/// A configuration resource of any kind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", tag = "kind")]
pub enum Resource {
    /// A named group of backends.
    Service(Service),
    /// A rule that sends matching calls to services.
    Route(Route),
    /// A sealed value that routes use.
    Secret(Secret),
    /// A server process with a local node.
    Backend(Backend),
    /// A group of callers with its keys and rate limit.
    Tenant(Tenant),
}

impl Resource {
    /// Key that identifies the resource within a configuration state.
    pub fn key(&self) -> ResourceKey {
        let (kind, name) = match self {
            Resource::Service(service) => (ResourceKind::Service, &service.name),
            Resource::Route(route) => (ResourceKind::Route, &route.name),
            Resource::Secret(secret) => (ResourceKind::Secret, &secret.name),
            Resource::Backend(backend) => (ResourceKind::Backend, &backend.name),
            Resource::Tenant(tenant) => (ResourceKind::Tenant, &tenant.name),
        };
        ResourceKey {
            kind,
            name: name.clone(),
        }
    }
}
