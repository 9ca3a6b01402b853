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
    /// What the sender reports, queries or replies.
    pub message: Message,
}

/// Content of probes and their acks.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ProbeBody {
    /// Number of the probe, repeated in its ack. 0 if the message is not part of a probe.
    pub sequence: u64,
    /// Version that is active on the sender.
    pub held: Version,
    /// Digest of the sender's member table. Peers with another digest compare their tables.
    pub digest: u64,
    /// Records of members that changed recently.
    pub updates: Vec<MemberRecord>,
    /// Digest of the sender's crash reports that peers reconcile; 0 if there are none.
    pub crash_digest: u64,
}

/// Identifies a witness set by a digest of its members.
pub type WitnessSetId = u64;

/// What a witness has recorded for a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WitnessRecord {
    /// Highest version that the node may have activated.
    pub version: Version,
    /// Witness set of the node as named by the configuration of this version.
    pub set: WitnessSetId,
}

/// Outcome of a proposal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProposalReply {
    /// The log contains the proposed operation.
    Decided {
        /// Log slot of the entry that decided the operation.
        version: Version,
        /// Whether the operation was accepted, or why it was rejected.
        outcome: Outcome,
        /// Number of nodes that hold the version, including the reader.
        held_by: u32,
    },
    /// The proposal was not written to the log and will not be.
    NotRun {
        /// Delay after which the operator may submit the proposal again.
        retry_after: Duration,
    },
    /// The proposal may have been written. The operator has to look up the operation later.
    Unknown,
    /// The proposal was addressed to an earlier or later run of the reader's process.
    EpochMismatch,
}

/// A node that does not hold the newest version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LaggingNode {
    /// Id of the lagging node.
    pub id: NodeId,
    /// Active version that the lagging node reported last.
    pub held: Version,
}

/// How many nodes hold the newest version, as counted by a reader.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PropagationStatus {
    /// Newest version known to the reader.
    pub version: Version,
    /// Number of reachable nodes that hold the newest version.
    pub held_by: u32,
    /// Number of all reachable nodes.
    pub nodes: u32,
    /// Some reachable nodes that do not hold the newest version. The length is limited.
    pub lagging: Vec<LaggingNode>,
}

/// Message from one agent to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// Probe of the receiver by the sender (SWIM).
    Ping(ProbeBody),
    /// Reply to [`Message::Ping`]; also carries member updates that no probe asked for.
    Ack(ProbeBody),
    /// Asks the receiver to probe `target` on the sender's behalf.
    PingRequest {
        /// Sequence number that the ack to the sender must carry.
        sequence: u64,
        /// Member that the receiver has to probe.
        target: NodeId,
    },
    /// Digests of all records in the sender's member table, for a peer whose table differs.
    TableSummary {
        /// One digest for each record of the sender.
        digests: Vec<u64>,
    },
    /// Records in which two member tables differ.
    TableRecords {
        /// Records of the sender that the receiver may lack.
        members: Vec<MemberRecord>,
        /// Digests that the receiver announced and that the sender has no record for.
        wanted: Vec<u64>,
    },
    /// Announces that a version exists. A small log entry is included.
    Notice {
        /// Version that exists.
        version: Version,
        /// Encoded log entry of the version. Absent if the entry is too large for a notice.
        entry: Option<SharedBytes>,
    },
    /// Requests the log entries or document changes after version `held`.
    Pull {
        /// Newest version that the sender has completely; 0 requests the full state.
        held: Version,
    },
    /// Reply to [`Message::Pull`] with the log entries after the requested version.
    PullEntries {
        /// Version of the first entry in the list.
        first: Version,
        /// Encoded log entries, or a single encoded delta if the configuration is a document.
        entries: Vec<SharedBytes>,
    },
    /// Reply to [`Message::Pull`] with the full configuration, for a node whose version is no
    /// longer retained.
    PullSnapshot {
        /// The configuration as encoded by `ConfigState::encode_snapshot`, packed for
        /// documents.
        snapshot: SharedBytes,
    },
    /// Reply to [`Message::Pull`] of a node that exceeded its limit of pulls per second.
    PullRefused {
        /// Delay after which the receiver may pull again.
        retry_after: Duration,
        /// Another node that the receiver may pull from at once.
        instead: Option<NodeId>,
    },
    /// Tells a reader that this version is active on the sender.
    Held {
        /// Version that is active on the sender.
        version: Version,
    },
    /// Reply to [`Message::Held`].
    HeldAck {
        /// Version that the reader has recorded for the receiver.
        version: Version,
    },
    /// Asks a reader for the head of the log, read after this query. If the configuration is a
    /// document, a node that gets no answers from the store sends this to ask for the document
    /// it holds now.
    HeadQuery {
        /// Random number that the reply repeats.
        nonce: u64,
    },
    /// Reply to [`Message::HeadQuery`] with the newest version in the log.
    HeadReply {
        /// Nonce of the query.
        nonce: u64,
        /// Newest version in the log.
        head: Version,
    },
    /// Asks a witness to record a version before the sender activates it.
    Record {
        /// Version and witness set to record for the sender.
        record: WitnessRecord,
        /// Process epoch of the witness that the record is meant for. Other runs must not store it: a
        /// delayed copy could take the place of newer records that were lost in a restart.
        witness_epoch: ProcessEpoch,
    },
    /// Reply to [`Message::Record`] with the version on record.
    RecordAck {
        /// Recorded version; 0 if the request was meant for another run of the witness.
        version: Version,
        /// Process epoch of the requesting node.
        asker_epoch: ProcessEpoch,
    },
    /// Asks a witness for the version that it recorded before the sender's restart.
    FloorQuery {
        /// Random number that the reply repeats.
        nonce: u64,
    },
    /// Reply to [`Message::FloorQuery`] with the record of the restarted node.
    FloorReply {
        /// Nonce of the query.
        nonce: u64,
        /// Record for the restarted node. Absent if the witness has none, e.g. after its own
        /// restart.
        record: Option<WitnessRecord>,
        /// Highest version that the witness knows to exist.
        newest_known: Version,
    },
    /// Forwards an operator's change to a reader, which appends it to the log.
    Propose {
        /// Number of the proposal, unique at the forwarding node.
        submission: u64,
        /// Process epoch of the reader that the submission is meant for. Other runs must not process it.
        reader_epoch: ProcessEpoch,
        /// The change as encoded by `LogEntry::encode`.
        entry: SharedBytes,
    },
    /// Reply to [`Message::Propose`] with the outcome of the proposal.
    ProposeReply {
        /// Number of the proposal at the forwarding node.
        submission: u64,
        /// Id of the proposed operation.
        operation_id: OperationId,
        /// Outcome of the proposal.
        answer: ProposalReply,
    },
    /// Asks a reader how many nodes hold the newest version.
    PropagationQuery {
        /// Random number that the reply repeats.
        nonce: u64,
    },
    /// Reply to [`Message::PropagationQuery`] with the counts of the reader.
    PropagationReply {
        /// Nonce of the query.
        nonce: u64,
        /// Counts of the reader.
        status: PropagationStatus,
    },
    /// Reports of backends that crashed while running requests.
    CrashReports {
        /// Reports that may be new to the receiver.
        reports: Vec<CrashReport>,
        /// True if these are all reports that peers reconcile: those of requests with several
        /// crashes, and those of the last seconds. The sender expects the reports that it lacks
        /// in return.
        complete: bool,
    },
    /// Load of the sender's backend and demand of its callers, sent to the zone aggregator, the
    /// member that sums up the loads of its zone.
    LoadReport(LoadReport),
    /// Loads of zones, sent by a zone aggregator: of its own zone to other zones, and of all
    /// known zones to the members of its own zone.
    ZoneLoads(Vec<ZoneLoad>),
    /// Rollout states known to the sender. The receiver replies with later states that it
    /// knows, or with all of them if the list is empty.
    Rollouts(Vec<RolloutState>),
    /// Call outcomes by software version, sent to the node that decides a rollout.
    VersionEvidence(Vec<VersionEvidence>),
    /// Reports the era of the store. The store raises its era each time it is restored from an
    /// older copy.
    StoreEra {
        /// Newest era that the sender has seen.
        era: u64,
    },
    /// The platform is about to remove the machine: accept no new work for the backend.
    Drain,
}

impl Message {
    /// Name of the message type, used as a label in logs and metrics.
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
