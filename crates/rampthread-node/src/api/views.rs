//! JSON representations of API responses, also used by the command-line client.

use rampthread_core::call::identity::RequestIdentity;
use rampthread_core::call::quota::{QuotaBasis, QuotaView};
use rampthread_core::config::{Outcome, Resource, StoredResource};
use rampthread_core::findings::Findings;
use rampthread_core::fleet::{CrashReport, MemberRecord, PropagationStatus};
use rampthread_core::ids::{
    InstanceId, NodeId, OperationId, ResourceName, SoftwareVersion, Version,
};
use rampthread_core::rollout::{OrderId, Phase, RolloutState};
use serde::{Deserialize, Serialize};

/// A resource with its generation. Secrets show the id of their key instead of the value,
/// tenants the number of their keys.
#[derive(Debug, Serialize, Deserialize)]
pub struct ResourceView {
    /// Version that last changed the resource; the value to send in `If-Match`.
    pub generation: Version,
    /// Fields of the resource.
    #[serde(flatten)]
    pub content: serde_json::Value,
}

impl ResourceView {
    /// Creates the representation of a stored resource.
    pub fn new(stored: &StoredResource) -> Self {
        let content = match &*stored.resource {
            Resource::Secret(secret) => serde_json::json!({
                "kind": "secret",
                "name": secret.name,
                "sealed_with": secret.sealed.key_id,
            }),
            Resource::Tenant(tenant) => serde_json::json!({
                "kind": "tenant",
                "name": tenant.name,
                "keys": tenant.keys.len(),
                "priority": tenant.priority,
                "rate": tenant.rate,
                "burst": tenant.burst,
            }),
            other => serde_json::to_value(other).unwrap_or_default(),
        };
        Self {
            generation: stored.generation,
            content,
        }
    }
}

/// Outcome of a change.
#[derive(Debug, Serialize, Deserialize)]
pub struct ChangeView {
    /// Idempotency key of the change.
    pub operation_id: OperationId,
    /// Outcome: `accepted`, `refused`, `conflict`, `not-run` or `unknown`.
    pub result: String,
    /// Version that decided the change; absent if it is undecided or unknown.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub version: Option<Version>,
    /// Number of nodes that held the version when the change was answered.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub held_by: Option<u32>,
    /// All validation errors or generation conflicts of the change.
    #[serde(skip_serializing_if = "Findings::is_empty", default)]
    pub findings: Findings,
    /// Seconds after which a change that was not run may be sent again.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after_seconds: Option<u64>,
}

impl ChangeView {
    /// Creates a response with `result` and no further details.
    pub fn new(operation_id: OperationId, result: &str) -> Self {
        Self {
            operation_id,
            result: result.to_string(),
            version: None,
            held_by: None,
            findings: Findings::new(),
            retry_after_seconds: None,
        }
    }

    /// Creates the response for a change that the log has decided.
    pub fn decided(operation_id: OperationId, version: Version, outcome: &Outcome) -> Self {
        let (result, findings) = match outcome {
            Outcome::Accepted => ("accepted", Findings::new()),
            Outcome::Refused(findings) => ("refused", findings.clone()),
            Outcome::Conflict(findings) => ("conflict", findings.clone()),
        };
        Self {
            version: Some(version),
            findings,
            ..Self::new(operation_id, result)
        }
    }
}

/// A node that does not hold the newest version.
#[derive(Debug, Serialize, Deserialize)]
pub struct LaggardView {
    /// Id of the lagging node.
    pub id: NodeId,
    /// Version that the lagging node last reported to hold.
    pub held: Version,
}

/// Propagation of the newest version in the fleet.
#[derive(Debug, Serialize, Deserialize)]
pub struct SpreadView {
    /// Newest version known to the node that answers.
    pub version: Version,
    /// Number of reachable nodes that hold the newest version.
    pub held_by: u32,
    /// Number of reachable nodes in the fleet.
    pub nodes: u32,
    /// True when all reachable nodes hold the newest version.
    pub in_force_everywhere: bool,
    /// Some of the reachable nodes that do not hold the newest version.
    pub laggards: Vec<LaggardView>,
}

impl From<&PropagationStatus> for SpreadView {
    fn from(spread: &PropagationStatus) -> Self {
        Self {
            version: spread.version,
            held_by: spread.held_by,
            nodes: spread.nodes,
            in_force_everywhere: spread.held_by == spread.nodes,
            laggards: spread
                .lagging
                .iter()
                .map(|laggard| LaggardView {
                    id: laggard.id.clone(),
                    held: laggard.held,
                })
                .collect(),
        }
    }
}

/// Response of `/v1/status`.
#[derive(Debug, Serialize, Deserialize)]
pub struct StatusView {
    /// Id of the node that answers.
    pub node: NodeId,
    /// True while the node serves calls.
    pub ready: bool,
    /// True while the node accepts no new work for its backend.
    pub draining: bool,
    /// Lowest version that the node may activate since its restart; absent until known.
    pub floor: Option<Version>,
    /// Version that is active on the node.
    pub version: Version,
    /// Newest era of the store that the node has seen; the store raises it by one when it
    /// is restored from an older copy.
    #[serde(default)]
    pub store_era: u64,
    /// Propagation of the newest version; absent when no log reader replied.
    pub spread: Option<SpreadView>,
    /// Members of the fleet as known to the node.
    pub members: Vec<MemberRecord>,
}

/// Rate limit and request rates of a tenant as known to one node.
#[derive(Debug, Serialize, Deserialize)]
pub struct TenantView {
    /// Name of the tenant in the configuration.
    pub name: ResourceName,
    /// Rate limit in requests per second, over all nodes.
    pub rate: f64,
    /// Requests allowed beyond the rate after a period without load.
    pub burst: f64,
    /// Requests per second received from the tenant by all nodes.
    pub asked: f64,
    /// Requests per second received from the tenant by this node.
    pub asked_here: f64,
    /// Requests per second of the tenant admitted by all nodes.
    pub admitted: f64,
    /// Probability in percent that this node admits a request of the tenant.
    pub share_percent: f64,
    /// Percentage of the limit available to this node and the nodes whose reports it
    /// receives.
    pub limit_percent: f64,
    /// Requests rejected at this node since its last period without requests.
    pub refused_here: u64,
    /// Age in milliseconds of the load reports from other nodes. Absent without reports;
    /// the node then limits the tenant to a fixed fraction of its limit.
    pub age_ms: Option<u64>,
}

impl From<(ResourceName, QuotaView)> for TenantView {
    fn from((name, view): (ResourceName, QuotaView)) -> Self {
        let (limit_fraction, report_age) = match view.basis {
            QuotaBasis::FleetDemand {
                report_age,
                limit_fraction,
            } => (limit_fraction, Some(report_age.as_millis() as u64)),
            QuotaBasis::LocalOnly { limit_fraction } => (limit_fraction, None),
        };
        Self {
            name,
            rate: view.limit.rate,
            burst: view.limit.burst,
            asked: view.fleet_demand_rps,
            asked_here: view.local_demand_rps,
            admitted: view.admitted_rps,
            share_percent: view.admission_probability * 100.0,
            limit_percent: limit_fraction * 100.0,
            refused_here: view.refused,
            age_ms: report_age,
        }
    }
}

/// A poison request: one that has crashed several backends.
#[derive(Debug, Serialize, Deserialize)]
pub struct QuarantineView {
    /// Fingerprint of the request, as in the log.
    pub identity: RequestIdentity,
    /// Milliseconds until the request may run on trial; 0 when it is on trial.
    pub left_ms: u64,
    /// Crashes caused by the request, oldest first.
    pub crashes: Vec<CrashView>,
}

/// One crash caused by a poison request.
#[derive(Debug, Serialize, Deserialize)]
pub struct CrashView {
    /// Incarnation of the backend that crashed.
    pub instance: InstanceId,
    /// Milliseconds since the crash.
    pub age_ms: u64,
}

impl From<&CrashReport> for CrashView {
    fn from(report: &CrashReport) -> Self {
        Self {
            instance: report.instance.clone(),
            age_ms: report.age.as_millis() as u64,
        }
    }
}

/// State of a rollout as known to the node that answers.
#[derive(Debug, Serialize, Deserialize)]
pub struct RolloutView {
    /// Service whose backends are rolled out.
    pub service: ResourceName,
    /// Software version to which the service is moved.
    pub target: SoftwareVersion,
    /// Stage of the rollout.
    pub phase: Phase,
    /// Maximum share of calls for the target version, in thousandths.
    pub share_permille: u16,
    /// Order that started the rollout.
    pub order: OrderId,
    /// Term of the decider; increases whenever another node takes over the decisions.
    pub term: u64,
    /// Node that decides about the rollout; absent if there is none yet or the stored
    /// record does not name it.
    pub decider: Option<NodeId>,
    /// Milliseconds since the order was given.
    pub elapsed_ms: u64,
    /// Milliseconds after the order within which the rollout should complete.
    pub duration_ms: u64,
}

impl From<&RolloutState> for RolloutView {
    fn from(state: &RolloutState) -> Self {
        Self {
            service: state.service.clone(),
            target: state.target.clone(),
            phase: state.phase,
            share_permille: state.share_permille,
            order: state.order,
            term: state.term,
            decider: state.decider.clone(),
            elapsed_ms: state.elapsed.as_millis() as u64,
            duration_ms: state.duration.as_millis() as u64,
        }
    }
}
