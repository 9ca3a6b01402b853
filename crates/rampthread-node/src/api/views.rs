//! JSON forms of what the API answers.

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

/// A resource with its generation. Secrets show their key id, not their value, and
/// tenants how many keys they have.
#[derive(Debug, Serialize, Deserialize)]
pub struct ResourceView {
    /// Version that last changed it; for `If-Match`.
    pub generation: Version,
    /// Its content.
    #[serde(flatten)]
    pub content: serde_json::Value,
}

impl ResourceView {
    /// The view of a stored resource.
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

/// What became of a change.
#[derive(Debug, Serialize, Deserialize)]
pub struct ChangeView {
    /// The change.
    pub operation_id: OperationId,
    /// `accepted`, `refused`, `conflict`, `not-run` or `unknown`.
    pub result: String,
    /// The deciding version, if there is one.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub version: Option<Version>,
    /// Nodes that hold it.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub held_by: Option<u32>,
    /// What is wrong, all of it.
    #[serde(skip_serializing_if = "Findings::is_empty", default)]
    pub findings: Findings,
    /// When to come back, in seconds.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after_seconds: Option<u64>,
}

impl ChangeView {
    /// An empty view of one result.
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

    /// The view of a decided change.
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
    /// Which node.
    pub id: NodeId,
    /// What it last said it holds.
    pub held: Version,
}

/// How far the newest version has got.
#[derive(Debug, Serialize, Deserialize)]
pub struct SpreadView {
    /// The newest version.
    pub version: Version,
    /// Reachable nodes that hold it.
    pub held_by: u32,
    /// Reachable nodes.
    pub nodes: u32,
    /// True when all reachable nodes hold it.
    pub in_force_everywhere: bool,
    /// Some of those that do not.
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

/// What `status` shows.
#[derive(Debug, Serialize, Deserialize)]
pub struct StatusView {
    /// The node that answers.
    pub node: NodeId,
    /// It serves calls.
    pub ready: bool,
    /// It takes no new work for its back end.
    pub draining: bool,
    /// Its restart floor, once known.
    pub floor: Option<Version>,
    /// Version in force on it.
    pub version: Version,
    /// Newest era of the store that it has seen: how often that came back from an older
    /// copy.
    #[serde(default)]
    pub store_era: u64,
    /// How far the newest version has got; none when no reader answers.
    pub spread: Option<SpreadView>,
    /// The members that it knows.
    pub members: Vec<MemberRecord>,
}

/// A tenant with a limit, as one node knows it.
#[derive(Debug, Serialize, Deserialize)]
pub struct TenantView {
    /// The tenant.
    pub name: ResourceName,
    /// Requests a second that may run.
    pub rate: f64,
    /// Requests beyond that, after a rest.
    pub burst: f64,
    /// Requests a second that were asked, over all nodes.
    pub asked: f64,
    /// Of these, at this node.
    pub asked_here: f64,
    /// Requests a second that were admitted, over all nodes.
    pub admitted: f64,
    /// Percent of the requests that are admitted here now.
    pub share_percent: f64,
    /// Percent of the limit that this node counts on, with those it hears.
    pub limit_percent: f64,
    /// Requests refused here since the tenant last rested.
    pub refused_here: u64,
    /// How old the news of the other nodes is, in milliseconds; none: there is none, and
    /// the node keeps to a part of its own.
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

/// A request under which several back ends have crashed.
#[derive(Debug, Serialize, Deserialize)]
pub struct QuarantineView {
    /// What it asks for, as a digest; the same in the log.
    pub identity: RequestIdentity,
    /// Time until it may run again, in milliseconds; 0: it is on trial.
    pub left_ms: u64,
    /// The crashes, oldest first.
    pub crashes: Vec<CrashView>,
}

/// One of its crashes.
#[derive(Debug, Serialize, Deserialize)]
pub struct CrashView {
    /// The incarnation of the back end.
    pub instance: InstanceId,
    /// How long ago, in milliseconds.
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

/// A roll-out as the answering node knows it.
#[derive(Debug, Serialize, Deserialize)]
pub struct RolloutView {
    /// The service.
    pub service: ResourceName,
    /// The version that is brought in.
    pub target: SoftwareVersion,
    /// How far it is.
    pub phase: Phase,
    /// Share of the calls that the version may get, of a thousand.
    pub share_permille: u16,
    /// Which order it is.
    pub order: OrderId,
    /// Counts who has decided.
    pub term: u64,
    /// Who decides; none yet, or not known from a record.
    pub decider: Option<NodeId>,
    /// Time since the order, in milliseconds.
    pub elapsed_ms: u64,
    /// Time after the order within which it is to be done, in milliseconds.
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
