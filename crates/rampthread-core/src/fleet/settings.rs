//! Intervals and limits of the control protocol.

use crate::rollout::RolloutBounds;
use std::time::Duration;

/// Settings of the control protocol for the agent of one node. The defaults fit 430 nodes
/// within 4 KB/s per node; `docs/CAPACITY.md` has the calculation.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetSettings {
    /// Interval at which this node probes another member directly.
    pub probe_interval: Duration,
    /// Time without an ack to a direct probe after which this node asks other members to probe
    /// the target on its behalf.
    pub probe_timeout: Duration,
    /// Number of peers that are asked to probe a member that did not answer this node's direct
    /// probe.
    pub indirect_probes: usize,
    /// Minimum time for which a member stays suspect before it is declared dead.
    pub suspicion_timeout: Duration,
    /// Interval between rejoin attempts: probes of members that are considered dead but named by
    /// the settings or the platform's list of machines.
    pub rejoin_interval: Duration,
    /// Mean interval between comparisons of the member table with a peer whose table digest
    /// differs.
    pub sync_interval: Duration,
    /// Maximum number of member updates per datagram.
    pub updates_per_message: usize,
    /// Gap between two ticks of the agent above which the process is assumed to have been
    /// suspended or starved of CPU.
    pub freeze_threshold: Duration,
    /// Number of peers that a node notifies of a new configuration version per round of notices.
    pub notice_fanout: usize,
    /// Number of rounds of notices that a node sends for a new configuration version.
    pub notice_rounds: u32,
    /// Interval between rounds of notices of a new configuration version.
    pub notice_interval: Duration,
    /// Maximum size in bytes of a log entry that is included in the notice of its version. With
    /// 0, notices contain no entries.
    pub max_inline_entry_bytes: usize,
    /// Maximum number of pulls (requests of peers for missing versions) that a node serves per
    /// second.
    pub pulls_per_second: u32,
    /// Time after which an unanswered pull is sent to another peer.
    pub pull_timeout: Duration,
    /// Maximum number of log entries kept in memory for peers with an older version.
    pub max_retained_entries: usize,
    /// Number of nodes that read the log in the store, each with a reader lease.
    pub reader_count: usize,
    /// Number of members that may try to acquire a reader lease.
    pub reader_candidates: usize,
    /// Time to live of a reader lease.
    pub lease_ttl: Duration,
    /// Maximum time for which one watch request waits in the store for a newer version.
    pub watch_wait: Duration,
    /// Base of the exponential backoff (with full jitter) after a failed store request.
    pub initial_store_backoff: Duration,
    /// Upper bound of the backoff after failed store requests.
    pub max_store_backoff: Duration,
    /// Number of versions after which a log reader writes the next snapshot of the
    /// configuration.
    pub versions_per_snapshot: u64,
    /// Number of witness nodes per node. A witness node records the versions that another node
    /// activates.
    pub witness_count: usize,
    /// Interval at which a node repeats a query to a peer until it gets a reply.
    pub query_retry_interval: Duration,
    /// Time after which the outcome of a proposal is reported as unknown.
    pub proposal_timeout: Duration,
    /// Maximum time for which the answer to an accepted proposal is delayed until
    /// [`FleetSettings::replication_count`] other nodes hold its version.
    pub replication_wait: Duration,
    /// Number of other nodes that must hold a version before its proposal is answered as
    /// accepted.
    pub replication_count: usize,
    /// How versions reach the other nodes. `PollReader` is for experiments only.
    pub distribution: DistributionMode,
    /// Origin of configuration versions.
    pub source: ConfigSource,
    /// Time for which a node waits for a newer document from its peers before it reads the
    /// document from the store itself.
    pub document_read_delay: Duration,
    /// Time for which a backend known only from an earlier run of this node is considered
    /// registered without a heartbeat. The backend may have deregistered just before that run
    /// ended, so this must be shorter than the time within which a departing backend stops
    /// getting work.
    pub unconfirmed_backend_ttl: Duration,
    /// Interval between heartbeats of a backend.
    pub heartbeat_interval: Duration,
    /// Number of nodes that watch the document in the store for a newer version.
    pub document_watchers: usize,
    /// Number of peers in the zone that receive member updates per gossip round.
    pub gossip_fanout: usize,
    /// Maximum number of peers in the zone to which the first node that learns of an update
    /// sends it directly.
    pub direct_update_fanout: usize,
    /// Each node transmits a member update at most this many times the decimal logarithm of the
    /// zone's size.
    pub retransmit_multiplier: f64,
    /// Interval between gossip rounds while there are updates to send.
    pub gossip_interval: Duration,
    /// Number of members considered dead that are probed per rejoin attempt, see
    /// `rejoin_interval`.
    pub rejoin_fanout: usize,
    /// Limits for rollouts. Rollout orders are ignored if absent.
    pub roll_outs: Option<RolloutBounds>,
}

/// Origin of configuration versions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigSource {
    /// The built-in change log. A few reader nodes access it in the store.
    ChangeLog,
    /// A document in the store, written by operators and read by every node.
    Document,
}

/// How configuration versions get from the log readers to the other nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DistributionMode {
    /// Nodes send notices of a new version to random peers. Nodes with an older version pull
    /// the missing log entries.
    Gossip,
    /// Every node polls a log reader once a second. Serves as the baseline in experiments.
    PollReader,
}

/// Time for which a node waits for a newer document from its peers before it reads the store.
/// Long enough for two rounds of notices and a pull, and well below the 2 s within which a
/// version must be active.
const DOCUMENT_READ_DELAY: Duration = Duration::from_millis(600);

impl FleetSettings {
    /// Defaults for configuration from a document. Member updates are sent directly and dead
    /// members are contacted often, since no other source says that a member is back.
    pub fn for_documents() -> Self {
        Self {
            source: ConfigSource::Document,
            document_read_delay: DOCUMENT_READ_DELAY,
            gossip_fanout: 3,
            direct_update_fanout: 64,
            retransmit_multiplier: 4.0,
            rejoin_interval: Duration::from_secs(1),
            rejoin_fanout: 3,
            sync_interval: Duration::from_millis(500),
            pull_timeout: Duration::from_millis(250),
            notice_rounds: 3,
            notice_fanout: 4,
            max_inline_entry_bytes: 0,
            ..Self::default()
        }
    }
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(300),
            indirect_probes: 3,
            suspicion_timeout: Duration::from_secs(4),
            rejoin_interval: Duration::from_secs(5),
            sync_interval: Duration::from_secs(1),
            updates_per_message: 10,
            freeze_threshold: Duration::from_secs(2),
            notice_fanout: 4,
            notice_rounds: 2,
            notice_interval: Duration::from_millis(100),
            max_inline_entry_bytes: 900,
            pulls_per_second: 40,
            pull_timeout: Duration::from_millis(400),
            max_retained_entries: 256,
            reader_count: 3,
            reader_candidates: 6,
            lease_ttl: Duration::from_secs(3),
            watch_wait: Duration::from_secs(10),
            initial_store_backoff: Duration::from_millis(100),
            max_store_backoff: Duration::from_secs(3),
            versions_per_snapshot: 64,
            witness_count: 5,
            query_retry_interval: Duration::from_millis(500),
            proposal_timeout: Duration::from_secs(5),
            replication_wait: Duration::from_secs(1),
            replication_count: 2,
            distribution: DistributionMode::Gossip,
            source: ConfigSource::ChangeLog,
            document_read_delay: Duration::ZERO,
            unconfirmed_backend_ttl: Duration::from_millis(1_400),
            heartbeat_interval: Duration::from_millis(1_500),
            document_watchers: 8,
            gossip_fanout: 0,
            direct_update_fanout: 64,
            retransmit_multiplier: 10.0,
            gossip_interval: Duration::from_millis(200),
            rejoin_fanout: 1,
            roll_outs: None,
        }
    }
}
