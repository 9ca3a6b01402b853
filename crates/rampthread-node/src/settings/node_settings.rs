//! Types of the settings file. Field names are the keys of the file.

use bytesize::ByteSize;
use rampthread_core::call::attempts::RetryLimit;
use rampthread_core::call::quota::QuotaPolicy;
use rampthread_core::fleet::{DistributionMode, FleetSettings, Machine};
use rampthread_core::ids::{NodeId, Region, ResourceName, Zone};
use rampthread_core::rollout::RolloutBounds;
use secrecy::SecretString;
use serde::Deserialize;
use std::net::SocketAddr;
use std::num::NonZeroU32;
use std::time::Duration;

/// All settings of one node, as in the settings file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Id and location of the node.
    pub node: NodeIdentity,
    /// Addresses on which the node listens.
    pub listen: ListenSettings,
    /// Addresses and limits for the services of the platform.
    pub platform: PlatformSettings,
    /// Keys that authenticate nodes to each other; required with a change log.
    #[serde(default)]
    pub keys: Option<KeySettings>,
    /// Nodes to contact at the start, in addition to the machine list.
    #[serde(default)]
    pub seeds: Vec<Machine>,
    /// Intervals and timeouts of the control protocol.
    #[serde(default)]
    pub fleet: FleetTuning,
    /// Limits on connections and requests of callers.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Health checks, connections and reports of the local backend.
    #[serde(default)]
    pub backend: BackendSettings,
    /// Time limits of a graceful shutdown.
    #[serde(default)]
    pub drain: DrainSettings,
    /// Retry limit for the whole fleet; `None` uses the percentage of each service.
    #[serde(default)]
    pub retries: Option<RetrySettings>,
    /// Tolerances of the rate limits of tenants.
    #[serde(default)]
    pub quota: QuotaSettings,
    /// Bounds of rollouts; `None` disables rollouts.
    #[serde(default)]
    pub roll_outs: Option<RolloutSettings>,
}

/// Tolerances with which the rate limits of tenants hold over all nodes.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct QuotaSettings {
    /// Sliding window in which requests are counted.
    #[serde(with = "humantime_serde")]
    pub window: Duration,
    /// Ratio by which the requests in a window may exceed a limit.
    pub overage: f64,
    /// Number of requests in a window by which a limit may be exceeded in addition to
    /// `overage`.
    pub slack: f64,
}

impl QuotaSettings {
    /// Converts the settings to the policy of the rate limiter.
    pub fn to_policy(self) -> QuotaPolicy {
        QuotaPolicy {
            window: self.window,
            overage_ratio: self.overage,
            slack_requests: self.slack,
        }
    }
}

impl Default for QuotaSettings {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(5),
            overage: 0.1,
            slack: 20.0,
        }
    }
}

/// Bounds of every rollout.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutSettings {
    /// Maximum fraction of a service's calls that the target version may get while it is
    /// evaluated, from 0 to 1.
    pub exposure_share: f64,
    /// Number of calls that the target version may get in addition to `exposure_share`.
    pub exposure_slack: f64,
    /// Time within which a version with a regression stops receiving calls.
    #[serde(with = "humantime_serde")]
    pub roll_back: Duration,
}

impl RolloutSettings {
    /// Converts the settings to the bounds of the rollout logic.
    pub fn to_bounds(self) -> RolloutBounds {
        RolloutBounds {
            exposure_share: self.exposure_share,
            exposure_slack_calls: self.exposure_slack,
            rollback_deadline: self.roll_back,
        }
    }
}

/// Limit on retries to the backends of a service, summed over all nodes.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetrySettings {
    /// Maximum number of retries per call.
    pub ratio: f64,
    /// Number of retries allowed in a window in addition to `ratio`, over all nodes.
    pub slack: f64,
    /// Sliding window in which calls and retries are counted.
    #[serde(with = "humantime_serde")]
    pub window: Duration,
}

impl RetrySettings {
    /// Converts the settings to the limit used by the request path.
    pub fn to_retry_limit(self) -> RetryLimit {
        RetryLimit {
            ratio: self.ratio,
            slack: self.slack,
            window: self.window,
        }
    }
}

/// Id and location of the node.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeIdentity {
    /// Id of the node, unique in the fleet and stable across restarts.
    pub id: NodeId,
    /// Zone in which the node runs.
    pub zone: Zone,
    /// Region in which the node runs.
    pub region: Region,
    /// Service of the local backend, where callers are identified by their machine.
    #[serde(default)]
    pub service: Option<ResourceName>,
}

/// Addresses on which the node listens.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Address for callers' requests, HTTP.
    pub callers: SocketAddr,
    /// Address for other nodes, TCP and UDP.
    pub peers: SocketAddr,
    /// Address of the operator API, HTTP.
    pub api: SocketAddr,
    /// Address for the platform's readiness checks, HTTP; required in document mode.
    #[serde(default)]
    pub ready: Option<SocketAddr>,
    /// Address for reports of the local backend, HTTP; required in document mode.
    #[serde(default)]
    pub reports: Option<SocketAddr>,
}

/// Addresses and limits for the services of the platform.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Source of the configuration.
    #[serde(default)]
    pub configuration: ConfigurationKind,
    /// Address of the key-value store.
    pub store: SocketAddr,
    /// Address of the machine list service; required with a change log.
    #[serde(default)]
    pub machines: Option<SocketAddr>,
    /// Maximum rate of requests from this node to the store.
    #[serde(default = "default_store_rate")]
    pub store_requests_per_second: NonZeroU32,
    /// Timeout of requests to the platform.
    #[serde(default = "default_platform_wait", with = "humantime_serde")]
    pub wait: Duration,
    /// Interval between reads of the machine list.
    #[serde(default = "default_machine_interval", with = "humantime_serde")]
    pub machine_interval: Duration,
}

/// Source of the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ConfigurationKind {
    /// A change log in the store, written by the nodes.
    #[default]
    ChangeLog,
    /// A document in the platform's store, written by operators.
    Document,
}

/// Maximum rate of store requests, unless the settings file sets one.
fn default_store_rate() -> NonZeroU32 {
    NonZeroU32::new(50).expect("50 is not 0")
}

/// Timeout of requests to the platform, unless the settings file sets one.
fn default_platform_wait() -> Duration {
    Duration::from_secs(2)
}

/// Interval between reads of the machine list, unless the settings file sets one.
fn default_machine_interval() -> Duration {
    Duration::from_secs(2)
}

/// Keys that authenticate the nodes of a fleet to each other.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeySettings {
    /// Key in use: 32 bytes, base64-encoded.
    pub current: SecretString,
    /// Further keys that are accepted during a key rotation.
    #[serde(default)]
    pub accepted: Vec<SecretString>,
}

/// Intervals and timeouts of the control protocol; see `FleetSettings`.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetTuning {
    /// Interval between direct probes of members.
    #[serde(with = "humantime_serde")]
    pub probe_interval: Duration,
    /// Minimum time for which a member stays suspect before it counts as dead.
    #[serde(with = "humantime_serde")]
    pub suspicion: Duration,
    /// Time after which a log reader's lease expires unless it is renewed.
    #[serde(with = "humantime_serde")]
    pub lease_ttl: Duration,
    /// Number of versions between two snapshots.
    pub snapshot_interval: u64,
    /// Time after which the outcome of an undecided change is reported as unknown.
    #[serde(with = "humantime_serde")]
    pub proposal_patience: Duration,
    /// Time after which a claim of an idempotency key expires.
    #[serde(with = "humantime_serde")]
    pub claim_life: Duration,
    /// How new versions reach the nodes.
    pub distribution: DistributionName,
}

/// Value of the setting `fleet.distribution`; corresponds to [`DistributionMode`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DistributionName {
    /// Gossip: notices to random peers, which then pull the version.
    Rumour,
    /// Every node polls a reader once a second. A baseline for experiments.
    PollReader,
}

impl Default for FleetTuning {
    fn default() -> Self {
        let defaults = FleetSettings::default();
        Self {
            probe_interval: defaults.probe_interval,
            suspicion: defaults.suspicion_timeout,
            lease_ttl: defaults.lease_ttl,
            snapshot_interval: defaults.versions_per_snapshot,
            proposal_patience: defaults.proposal_timeout,
            claim_life: rampthread_core::call::claims::CLAIM_TTL,
            distribution: DistributionName::Rumour,
        }
    }
}

impl FleetTuning {
    /// Settings of the agent in document mode.
    pub fn to_document_settings(&self) -> FleetSettings {
        self.apply_to(FleetSettings::for_documents())
    }

    /// Settings of the agent without document mode, i.e. where the configuration is kept in a
    /// change log.
    pub fn to_fleet_settings(&self) -> FleetSettings {
        self.apply_to(FleetSettings::default())
    }

    /// Replaces those agent settings that the settings file can change.
    fn apply_to(&self, settings: FleetSettings) -> FleetSettings {
        FleetSettings {
            probe_interval: self.probe_interval,
            suspicion_timeout: self.suspicion,
            lease_ttl: self.lease_ttl,
            versions_per_snapshot: self.snapshot_interval,
            proposal_timeout: self.proposal_patience,
            distribution: match self.distribution {
                DistributionName::Rumour => DistributionMode::Gossip,
                DistributionName::PollReader => DistributionMode::PollReader,
            },
            ..settings
        }
    }
}

/// Limits on connections and requests of callers.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Maximum number of concurrent caller connections.
    pub connections: usize,
    /// Maximum size of a request head.
    pub head_size: ByteSize,
    /// Timeout for receiving a request head.
    #[serde(with = "humantime_serde")]
    pub head_time: Duration,
    /// Maximum size of a request body.
    pub body_size: ByteSize,
    /// Maximum length of the queue for the local backend, in percent of its slots.
    pub queue_percent: u32,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            connections: 4_096,
            head_size: ByteSize::kib(32),
            head_time: Duration::from_secs(10),
            body_size: ByteSize::mib(8),
            queue_percent: 100,
        }
    }
}

/// Settings for the local backend. Its address comes from the configuration.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BackendSettings {
    /// Interval between health checks of the backend.
    #[serde(with = "humantime_serde")]
    pub health_interval: Duration,
    /// Timeout for connecting to the backend.
    #[serde(with = "humantime_serde")]
    pub connect_wait: Duration,
    /// Time after an acknowledged departure within which all nodes stop sending calls to
    /// the backend.
    #[serde(with = "humantime_serde")]
    pub drain_limit: Duration,
    /// Interval between reports of the backend.
    #[serde(with = "humantime_serde")]
    pub heartbeat: Duration,
}

/// Ratio of the time for which a restored backend counts to
/// [`BackendSettings::drain_limit`].
const UNCONFIRMED_TTL_RATIO: f64 = 0.7;

impl BackendSettings {
    /// Time for which a backend known from before this node's restart counts without a
    /// report to the new process.
    pub fn unconfirmed_backend_ttl(&self) -> Duration {
        self.drain_limit.mul_f64(UNCONFIRMED_TTL_RATIO)
    }
}

impl Default for BackendSettings {
    fn default() -> Self {
        Self {
            health_interval: Duration::from_millis(500),
            connect_wait: Duration::from_secs(1),
            drain_limit: Duration::from_secs(2),
            heartbeat: Duration::from_millis(1_500),
        }
    }
}

/// Time limits of a graceful shutdown.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DrainSettings {
    /// Time for calls in flight to complete; calls aborted after it are counted and logged.
    #[serde(with = "humantime_serde")]
    pub grace: Duration,
    /// Time for which the node still rejects new calls after its departure was announced,
    /// so that other nodes receive the announcement.
    #[serde(with = "humantime_serde")]
    pub notice: Duration,
    /// Time for which the gate still accepts new calls after the shutdown began: the
    /// backend is healthy, and callers need it until other backends have taken over.
    #[serde(with = "humantime_serde")]
    pub last_work: Duration,
    /// Time after which the platform kills the process; `None` if only `grace` limits the
    /// shutdown.
    #[serde(with = "humantime_serde")]
    pub total: Option<Duration>,
}

/// Part of [`DrainSettings::total`] reserved for announcing the departure.
const DEPARTURE_RESERVE: Duration = Duration::from_millis(700);

impl DrainSettings {
    /// Maximum time for calls in flight after the time in `notice`. Shorter than `grace` if
    /// the platform would kill the process earlier (see `total`).
    pub fn grace_after_notice(&self) -> Duration {
        match self.total {
            Some(total) => self
                .grace
                .min(total.saturating_sub(self.notice + DEPARTURE_RESERVE)),
            None => self.grace,
        }
    }
}

impl Default for DrainSettings {
    fn default() -> Self {
        Self {
            grace: Duration::from_secs(60),
            notice: Duration::from_secs(1),
            last_work: Duration::ZERO,
            total: None,
        }
    }
}
