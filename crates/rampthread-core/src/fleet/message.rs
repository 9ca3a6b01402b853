//! Messages between agents. `rampthread-wire` encodes them as Cap'n Proto.

use super::crash_table::CrashReport;
use super::load::{LoadReport, ZoneLoad};
use super::member::MemberRecord;
use crate::config::Outcome;
use crate::ids::{NodeId, OperationId, Version};
use crate::rollout::{RolloutState, VersionEvidence};
use std::sync::Arc;
use std::time::Duration;

/// Immutable bytes shared between messages without copying.
pub type SharedBytes = Arc<[u8]>;

/// Identifies one run of a node's process: the wall clock at its start, in microseconds.
/// Requests meant for one run must not affect another.
pub type ProcessEpoch = u64;

/// A message with its sender.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Envelope {
    /// Id of the sending node.
    pub from: NodeId,
    /// Process epoch of the sender.
    pub process_epoch: ProcessEpoch,
    /// Payload of the message.
    pub message: Message,
}

/// Payload of probes and their acks.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ProbeBody {
    /// Correlates an ack with its probe.
    pub sequence: u64,
    /// Active version of the sender.
    pub held: Version,
    /// Digest of the sender's member table.
    pub digest: u64,
    /// Member updates.
    pub updates: Vec<MemberRecord>,
    /// Digest of the sender's crash reports that peers reconcile; 0 if there are none.
    pub crash_digest: u64,
}

/// Digest of the members of a witness set.
pub type WitnessSetId = u64;

/// What a witness has recorded for a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WitnessRecord {
    /// Highest version that the node may hold.
    pub version: Version,
    /// Witness set of the node under that version.
    pub set: WitnessSetId,
}

/// Outcome of a proposal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProposalReply {
    /// The log contains the decision.
    Decided {
        /// Log slot that decided the proposal.
        version: Version,
        /// Whether the change was accepted.
        outcome: Outcome,
        /// Number of nodes that hold the version, including the reader.
        held_by: u32,
    },
    /// Nothing was or will be written.
    NotRun {
        /// Delay before another attempt.
        retry_after: Duration,
    },
    /// A write may have taken effect. The caller has to look up the operation later.
    Unknown,
    /// The proposal was addressed to another run of the reader.
    EpochMismatch,
}

/// A node that does not hold the newest version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LaggingNode {
    /// Id of the node.
    pub id: NodeId,
    /// Version that the node last reported.
    pub held: Version,
}

/// Propagation of the newest version, as seen by a reader.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PropagationStatus {
    /// Newest version known to the reader.
    pub version: Version,
    /// Number of reachable nodes that hold it.
    pub held_by: u32,
    /// Number of reachable nodes.
    pub nodes: u32,
    /// Reachable nodes that do not hold it. The list is capped.
    pub lagging: Vec<LaggingNode>,
}

/// Message from one agent to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// Direct probe.
    Ping(ProbeBody),
    /// Reply to [`Message::Ping`]; also carries member updates that no probe asked for.
    Ack(ProbeBody),
    /// Asks the receiver to probe `target` on the sender's behalf.
    PingRequest {
        /// Sequence number that the ack must carry.
        sequence: u64,
        /// Member to probe.
        target: NodeId,
    },
    /// Digests of all records in the sender's member table, for a peer whose table differs.
    TableSummary {
        /// One digest per record.
        digests: Vec<u64>,
    },
    /// Records that differ between two member tables.
    TableRecords {
        /// Records that the receiver may lack.
        members: Vec<MemberRecord>,
        /// Digests from the receiver's summary that are unknown to the sender.
        wanted: Vec<u64>,
    },
    /// Announces a version. Small log entries are included.
    Notice {
        /// The announced version.
        version: Version,
        /// Log entry of the version, if it is small enough.
        entry: Option<SharedBytes>,
    },
    /// Requests the entries after `held`.
    Pull {
        /// Newest version that the sender has completely; 0 requests the full state.
        held: Version,
    },
    /// Reply to [`Message::Pull`] with the entries after the requested version.
    PullEntries {
        /// Version of the first entry.
        first: Version,
        /// Consecutive entries.
        entries: Vec<SharedBytes>,
    },
    /// Reply to [`Message::Pull`] with the full state, for a node that lags too far behind.
    PullSnapshot {
        /// Encoded `ConfigState`.
        snapshot: SharedBytes,
    },
    /// Reply to [`Message::Pull`]: the rate limit is exceeded.
    PullRefused {
        /// Delay before another attempt.
        retry_after: Duration,
        /// Another node to ask.
        instead: Option<NodeId>,
    },
    /// Tells a reader that this version is active on the sender.
    Held {
        /// The active version.
        version: Version,
    },
    /// Reply to [`Message::Held`].
    HeldAck {
        /// The acknowledged version.
        version: Version,
    },
    /// Asks a reader for the head of the log, read after this query. If the configuration is a
    /// document, a node that gets no answers from the store sends this to ask for the document
    /// it holds now.
    HeadQuery {
        /// Correlates the reply with the query.
        nonce: u64,
    },
    /// Reply to [`Message::HeadQuery`].
    HeadReply {
        /// Nonce of the query.
        nonce: u64,
        /// Head of the log.
        head: Version,
    },
    /// Asks a witness to record that the sender will hold a version.
    Record {
        /// Record to store.
        record: WitnessRecord,
        /// Process epoch of the witness that the record is meant for. Other runs must not store it: a
        /// delayed copy could take the place of newer records that were lost in a restart.
        witness_epoch: ProcessEpoch,
    },
    /// Reply to [`Message::Record`].
    RecordAck {
        /// Recorded version; 0 if the request was meant for another run of the witness.
        version: Version,
        /// Process epoch of the requesting node.
        asker_epoch: ProcessEpoch,
    },
    /// Asks a witness which version the sender held before its restart.
    FloorQuery {
        /// Correlates the reply with the query.
        nonce: u64,
    },
    /// Reply to [`Message::FloorQuery`].
    FloorReply {
        /// Nonce of the query.
        nonce: u64,
        /// Record of the requesting node. Absent if the witness has none.
        record: Option<WitnessRecord>,
        /// Highest version known to the witness.
        newest_known: Version,
    },
    /// Asks a reader to append an entry to the log.
    Propose {
        /// Number of the submission, unique at its sender.
        submission: u64,
        /// Process epoch of the reader that the submission is meant for. Other runs must not process it.
        reader_epoch: ProcessEpoch,
        /// The encoded entry.
        entry: SharedBytes,
    },
    /// Reply to [`Message::Propose`].
    ProposeReply {
        /// Number of the submission.
        submission: u64,
        /// Operation that was proposed.
        operation_id: OperationId,
        /// Outcome.
        answer: ProposalReply,
    },
    /// Asks a reader for the propagation of the newest version.
    PropagationQuery {
        /// Correlates the reply with the query.
        nonce: u64,
    },
    /// Reply to [`Message::PropagationQuery`].
    PropagationReply {
        /// Nonce of the query.
        nonce: u64,
        /// View of the reader.
        status: PropagationStatus,
    },
    /// Reports of backends that crashed while running requests.
    CrashReports {
        /// The reports.
        reports: Vec<CrashReport>,
        /// True if these are all reports that peers reconcile: those of requests with several
        /// crashes, and those of the last seconds. The sender expects the reports that it lacks
        /// in return.
        complete: bool,
    },
    /// Load report to the zone's aggregator.
    LoadReport(LoadReport),
    /// Loads of zones, sent by a zone aggregator: of its own zone, or of all zones that it
    /// knows.
    ZoneLoads(Vec<ZoneLoad>),
    /// Rollout states known to the sender. The receiver replies with later states that it
    /// knows, or with all of them if the list is empty.
    Rollouts(Vec<RolloutState>),
    /// Call outcomes by version, sent to the node that decides a rollout.
    VersionEvidence(Vec<VersionEvidence>),
    /// The store was restored from an older copy. Each restore starts a new era.
    StoreEra {
        /// Newest era that the sender has seen.
        era: u64,
    },
    /// The platform is about to remove the machine: accept no new work for the backend.
    Drain,
}

impl Message {
    /// Name of the message type, for logs and metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Message::Ping(_) => "ping",
            Message::Ack(_) => "ack",
            Message::PingRequest { .. } => "ping-request",
            Message::TableSummary { .. } => "table-summary",
            Message::TableRecords { .. } => "table-records",
            Message::Notice { .. } => "notice",
            Message::Pull { .. } => "pull",
            Message::PullEntries { .. } => "pull-entries",
            Message::PullSnapshot { .. } => "pull-snapshot",
            Message::PullRefused { .. } => "pull-refused",
            Message::Held { .. } => "held",
            Message::HeldAck { .. } => "held-ack",
            Message::HeadQuery { .. } => "head-question",
            Message::HeadReply { .. } => "head-answer",
            Message::Record { .. } => "record",
            Message::RecordAck { .. } => "record-ack",
            Message::FloorQuery { .. } => "floor-question",
            Message::FloorReply { .. } => "floor-answer",
            Message::Propose { .. } => "propose",
            Message::ProposeReply { .. } => "propose-answer",
            Message::PropagationQuery { .. } => "spread-question",
            Message::PropagationReply { .. } => "spread-answer",
            Message::CrashReports { .. } => "crash-reports",
            Message::LoadReport(_) => "load-report",
            Message::ZoneLoads(_) => "zone-loads",
            Message::Rollouts(_) => "roll-outs",
            Message::VersionEvidence(_) => "version-evidence",
            Message::StoreEra { .. } => "store-era",
            Message::Drain => "drain",
        }
    }
}
