//! What a node can be told.

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

/// All settings of one node.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Who the node is.
    pub node: NodeIdentity,
    /// Where it listens.
    pub listen: ListenSettings,
    /// Where the platform is.
    pub platform: PlatformSettings,
    /// The fleet's keys; needed where the configuration is a change log.
    #[serde(default)]
    pub keys: Option<KeySettings>,
    /// Other nodes to begin with; the machine list adds to them.
    #[serde(default)]
    pub seeds: Vec<Machine>,
    /// Intervals of the control protocol.
    #[serde(default)]
    pub fleet: FleetTuning,
    /// Limits on callers.
    #[serde(default)]
    pub limits: LimitSettings,
    /// The back end beside the node.
    #[serde(default)]
    pub backend: BackendSettings,
    /// A planned stop.
    #[serde(default)]
    pub drain: DrainSettings,
    /// Second tries of the whole fleet; none: each service's own percentage.
    #[serde(default)]
    pub retries: Option<RetrySettings>,
    /// How closely tenants' limits hold; none: the defaults.
    #[serde(default)]
    pub quota: QuotaSettings,
    /// Bounds of roll-outs; none: orders to roll out are not carried out.
    #[serde(default)]
    pub roll_outs: Option<RolloutSettings>,
}

/// How closely the limits of tenants hold over all nodes.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct QuotaSettings {
    /// Sliding window in which requests are counted.
    #[serde(with = "humantime_serde")]
    pub window: Duration,
    /// Part of a limit by which a window may exceed it.
    pub overage: f64,
    /// Requests by which a window may exceed its limit besides.
    pub slack: f64,
}

impl QuotaSettings {
    /// The terms that limits are kept by.
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

/// Bounds of every roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutSettings {
    /// Largest part of a service's calls that a version under judgement may get.
    pub exposure_share: f64,
    /// Calls that it may get besides.
    pub exposure_slack: f64,
    /// Time within which a bad version gets no more calls.
    #[serde(with = "humantime_serde")]
    pub roll_back: Duration,
}

impl RolloutSettings {
    /// The bounds as the core knows them.
    pub fn to_bounds(self) -> RolloutBounds {
        RolloutBounds {
            exposure_share: self.exposure_share,
            exposure_slack_calls: self.exposure_slack,
            rollback_deadline: self.roll_back,
        }
    }
}

/// Second tries that a service's back ends may get from all nodes together.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetrySettings {
    /// Second arrivals for each call.
    pub ratio: f64,
    /// Second arrivals in a window besides, over all nodes.
    pub slack: f64,
    /// The window, sliding.
    #[serde(with = "humantime_serde")]
    pub window: Duration,
}

impl RetrySettings {
    /// As the decisions on calls take it.
    pub fn to_retry_share(self) -> RetryLimit {
        RetryLimit {
            ratio: self.ratio,
            slack: self.slack,
            window: self.window,
        }
    }
}

/// Who the node is.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeIdentity {
    /// Its id; it survives restarts.
    pub id: NodeId,
    /// Its zone.
    pub zone: Zone,
    /// Its region.
    pub region: Region,
    /// The service beside it, where callers are named by their machine.
    #[serde(default)]
    pub service: Option<ResourceName>,
}

/// Where the node listens.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Callers' requests, HTTP.
    pub callers: SocketAddr,
    /// Other nodes, TCP and UDP.
    pub peers: SocketAddr,
    /// The operator API, HTTP.
    pub api: SocketAddr,
    /// Where the platform asks whether this node is ready, HTTP.
    #[serde(default)]
    pub ready: Option<SocketAddr>,
    /// Where the back end beside this node reports, HTTP.
    #[serde(default)]
    pub reports: Option<SocketAddr>,
}

/// Where the platform is.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Where the configuration comes from.
    #[serde(default)]
    pub configuration: ConfigurationKind,
    /// The key-value service.
    pub store: SocketAddr,
    /// The machine list; needed where the configuration is a change log.
    #[serde(default)]
    pub machines: Option<SocketAddr>,
    /// Requests a second that this node sends to the store at most.
    #[serde(default = "default_store_rate")]
    pub store_requests_per_second: NonZeroU32,
    /// Wait for an answer of the platform.
    #[serde(default = "default_platform_wait", with = "humantime_serde")]
    pub wait: Duration,
    /// Time between two reads of the machine list.
    #[serde(default = "default_machine_interval", with = "humantime_serde")]
    pub machine_interval: Duration,
}

/// Where the configuration comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ConfigurationKind {
    /// The product's own change log in the store.
    #[default]
    ChangeLog,
    /// The operators' document in the platform's store.
    Document,
}

fn default_store_rate() -> NonZeroU32 {
    NonZeroU32::new(50).expect("50 is not 0")
}

fn default_platform_wait() -> Duration {
    Duration::from_secs(2)
}

fn default_machine_interval() -> Duration {
    Duration::from_secs(2)
}

/// The fleet's keys.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeySettings {
    /// The key in use: 32 bytes in base64.
    pub current: SecretString,
    /// Other keys that are accepted while keys rotate.
    #[serde(default)]
    pub accepted: Vec<SecretString>,
}

/// Intervals of the control protocol; see `FleetSettings` for each.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetTuning {
    /// Time between two probes.
    #[serde(with = "humantime_serde")]
    pub probe_interval: Duration,
    /// Time a member stays suspect.
    #[serde(with = "humantime_serde")]
    pub suspicion: Duration,
    /// Life of a reader's lease.
    #[serde(with = "humantime_serde")]
    pub lease_ttl: Duration,
    /// Versions between two snapshots.
    pub snapshot_interval: u64,
    /// Patience with one change before its outcome is called unknown.
    #[serde(with = "humantime_serde")]
    pub proposal_patience: Duration,
    /// How long a claim of an idempotency key lasts.
    #[serde(with = "humantime_serde")]
    pub claim_life: Duration,
    /// `rumour`, or `poll-reader` for the plain baseline.
    pub distribution: DistributionName,
}

/// Names of [`DistributionMode`] in the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DistributionName {
    /// Notices to random peers.
    Rumour,
    /// Every node asks a reader once a second.
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
    /// The settings of the agent, where the configuration is a document.
    pub fn to_document_settings(&self) -> FleetSettings {
        self.tune(FleetSettings::for_documents())
    }

    /// The settings of the agent, where the configuration is a change log.
    pub fn to_fleet_settings(&self) -> FleetSettings {
        self.tune(FleetSettings::default())
    }

    fn tune(&self, settings: FleetSettings) -> FleetSettings {
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

/// Limits on callers.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Callers' connections at once.
    pub connections: usize,
    /// Size of a request's head.
    pub head_size: ByteSize,
    /// Time for a request's head to arrive.
    #[serde(with = "humantime_serde")]
    pub head_time: Duration,
    /// Size of a request's body.
    pub body_size: ByteSize,
    /// Calls that may wait at the back end, in percent of its slots.
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

/// The back end beside the node; its address comes with the configuration.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BackendSettings {
    /// Time between two looks at its health.
    #[serde(with = "humantime_serde")]
    pub health_interval: Duration,
    /// Wait for a connection to it.
    #[serde(with = "humantime_serde")]
    pub connect_wait: Duration,
    /// Time after an acknowledged leave within which it must get no more work.
    #[serde(with = "humantime_serde")]
    pub drain_limit: Duration,
    /// Time between two of its reports to the node.
    #[serde(with = "humantime_serde")]
    pub heartbeat: Duration,
}

/// Part of [`BackendSettings::drain_limit`] for which a back end counts that only
/// an earlier life of the node has heard.
const REMEMBERED_SHARE: f64 = 0.7;

impl BackendSettings {
    /// Time for which a back end counts that only an earlier life has heard.
    pub fn remembered_life(&self) -> Duration {
        self.drain_limit.mul_f64(REMEMBERED_SHARE)
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

/// A planned stop.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DrainSettings {
    /// Time for calls in flight; what is cut then is counted and logged.
    #[serde(with = "humantime_serde")]
    pub grace: Duration,
    /// Time for which the node still answers refusals after its departure is
    /// announced, so that others notice.
    #[serde(with = "humantime_serde")]
    pub notice: Duration,
    /// Time for which the gate still takes new work after the stop began: the
    /// back end is sound, and callers need it until others have taken over.
    #[serde(with = "humantime_serde")]
    pub last_work: Duration,
    /// Time after which the platform ends the process by force; none: only
    /// `grace` bounds a stop.
    #[serde(with = "humantime_serde")]
    pub total: Option<Duration>,
}

/// Part of [`DrainSettings::total`] that is kept for saying goodbye.
const FAREWELL: Duration = Duration::from_millis(700);

impl DrainSettings {
    /// Time for calls in flight after the notice.
    pub fn grace_after_notice(&self) -> Duration {
        match self.total {
            Some(total) => self.grace.min(total.saturating_sub(self.notice + FAREWELL)),
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
