//! Messages between agents. `rampthread-wire` encodes them as Cap'n Proto.
//!
//! A log reader is a node that holds a lease to read the log in the store. A witness node is a
//! peer that records which versions a node activates.

use super::crash_table::CrashReport;
use super::load::{LoadReport, ZoneLoad};
use super::member::MemberRecord;
use super::token_exchange::{TokenGrant, TokenRequest};
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
    /// Probe number chosen by the prober and repeated in the ack. 0 if the message is not part
    /// of a probe.
    pub sequence: u64,
    /// Version that is active on the sender.
    pub held: Version,
    /// Digest of the sender's member table. Peers with another digest compare their tables.
    pub digest: u64,
    /// Recently changed member records that the receiver may not know yet.
    pub updates: Vec<MemberRecord>,
    /// Digest of the sender's crash reports that peers reconcile; 0 if there are none.
    pub crash_digest: u64,
}

/// Identifies a set of witness nodes by a digest of their ids.
pub type WitnessSetId = u64;

/// The version that a witness node has recorded for another node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WitnessRecord {
    /// Highest version that the node may have activated.
    pub version: Version,
    /// Digest of the node's witness nodes, which the configuration of this version names.
    pub set: WitnessSetId,
}

/// Outcome of an operator's proposal to change the configuration.
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
    /// The proposal may have been written, but the log does not show it yet. The operator has
    /// to look up the operation later.
    Unknown,
    /// The proposal was addressed to another run of the log reader's process.
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

/// How many nodes hold the newest version, as counted by a log reader.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PropagationStatus {
    /// Newest version known to the log reader.
    pub version: Version,
    /// Number of reachable nodes that hold the newest version.
    pub held_by: u32,
    /// Number of all reachable nodes.
    pub nodes: u32,
    /// Reachable nodes that do not hold the newest version, up to a limited number.
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
    /// Member records that the two nodes' tables do not have in common.
    TableRecords {
        /// Records of the sender that the receiver may lack.
        members: Vec<MemberRecord>,
        /// Digests that the receiver announced and that the sender has no record for.
        wanted: Vec<u64>,
    },
    /// Announces a new version of the configuration. A small log entry is included.
    Notice {
        /// The new version.
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
    /// Reports the active version of the sender to a log reader.
    Held {
        /// Version that is active on the sender.
        version: Version,
    },
    /// Acknowledges [`Message::Held`], so that the sender stops repeating it.
    HeldAck {
        /// Version that the log reader has recorded for the receiver.
        version: Version,
    },
    /// Asks a log reader for the newest version in the log, read after this query. If the
    /// configuration is a document, the query asks the receiver to read the document from the
    /// store, since the store does not answer the sender.
    HeadQuery {
        /// Random number by which the sender matches the reply to this query.
        nonce: u64,
    },
    /// Newest version in the log, in reply to [`Message::HeadQuery`].
    HeadReply {
        /// Copied from the query, so that its sender can match the reply to it.
        nonce: u64,
        /// Newest version in the log.
        head: Version,
    },
    /// Asks a witness node to record a version before the sender activates it.
    Record {
        /// Version and witness set to record for the sender.
        record: WitnessRecord,
        /// Process epoch of the witness node that has to record the version. Another run must
        /// ignore the message: a delayed copy could take the place of newer records that were
        /// lost in a restart.
        witness_epoch: ProcessEpoch,
    },
    /// Acknowledges [`Message::Record`].
    RecordAck {
        /// Version that the witness node has on record; 0 if the message was meant for another
        /// run of the witness node.
        version: Version,
        /// Process epoch of the node for which the version is recorded.
        asker_epoch: ProcessEpoch,
    },
    /// Sent by a restarted node to a witness node: asks which version the sender's previous run
    /// has recorded there.
    FloorQuery {
        /// Random number by which the sender matches the reply to this query.
        nonce: u64,
    },
    /// Reply of a witness node to [`Message::FloorQuery`].
    FloorReply {
        /// Copied from the query, so that its sender can match the reply to it.
        nonce: u64,
        /// Version recorded for the restarted node. Absent if the witness node has none, e.g.
        /// after its own restart.
        record: Option<WitnessRecord>,
        /// Newest version that the witness node has received or heard of from peers.
        newest_known: Version,
    },
    /// Forwards an operator's change to a log reader, which appends it to the log.
    Propose {
        /// Sequence number that identifies the proposal at the forwarding node.
        submission: u64,
        /// Process epoch of the log reader that has to append the change. Another run must
        /// ignore the message.
        reader_epoch: ProcessEpoch,
        /// The change as encoded by `LogEntry::encode`.
        entry: SharedBytes,
    },
    /// Reply to [`Message::Propose`] with the outcome of the proposal.
    ProposeReply {
        /// Copied from [`Message::Propose`], so that the forwarding node finds the proposal.
        submission: u64,
        /// Id of the proposed operation.
        operation_id: OperationId,
        /// Outcome of the proposal, which the forwarding node passes on to the operator.
        answer: ProposalReply,
    },
    /// Asks a log reader how many nodes hold the newest version.
    PropagationQuery {
        /// Random number by which the sender matches the reply to this query.
        nonce: u64,
    },
    /// Reply to [`Message::PropagationQuery`] with the counts of the reader.
    PropagationReply {
        /// Copied from the query, so that its sender can match the reply to it.
        nonce: u64,
        /// How many nodes hold the newest version, as counted by the log reader that replies.
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
    /// Asks a token pool for tokens of tenants' limits, and hands over refill time to it.
    TokenRequest(TokenRequest),
    /// Reply of a token pool to [`Message::TokenRequest`].
    TokenGrant(TokenGrant),
    /// Rollout states known to the sender. The receiver replies with later states that it
    /// knows, or with all of them if the list is empty.
    Rollouts(Vec<RolloutState>),
    /// Responses that callers got from a service's versions, counted by version. Sent to the
    /// node that decides the service's rollout.
    VersionEvidence(Vec<VersionEvidence>),
    /// Reports the store era. The store raises it by one each time it is restored from an older
    /// copy.
    StoreEra {
        /// Newest store era that the sender has seen.
        era: u64,
    },
    /// The platform is about to remove the machine: accept no new work for the backend.
    Drain,
}

impl Message {
    /// Returns the name of the message type for labels in logs and metrics.
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
            Message::TokenRequest(_) => "token-request",
            Message::TokenGrant(_) => "token-grant",
            Message::Rollouts(_) => "roll-outs",
            Message::VersionEvidence(_) => "version-evidence",
            Message::StoreEra { .. } => "store-era",
            Message::Drain => "drain",
        }
    }
}
