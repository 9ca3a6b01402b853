//! Actions that an agent requests from its driver, and events reported to operators.

use super::crash_table::CrashReport;
use super::member::EndpointRecord;
use super::message::{
    Envelope, Message, ProcessEpoch, PropagationStatus, ProposalReply, SharedBytes,
};
use super::token_exchange::{TokenGrant, TokenRequest};
use super::version_source::VersionSource;
use crate::call::identity::RequestIdentity;
use crate::call::rate_limit::{LimitSource, RateLimit};
use crate::config::ConfigState;
use crate::ids::{InstanceId, NodeId, ResourceName, SoftwareVersion, Version};
use crate::rollout::{DeciderRequest, Phase};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Id of a request to the store. The driver returns it with the answer, so that the agent can
/// assign the answer to its request.
pub type RequestId = u64;
/// Identifies an operator's request at this node, so that the driver can return the answer to
/// that operator.
pub type Ticket = u64;
/// Identifies a lease in the platform's store.
pub type LeaseId = u64;

/// A request to the platform's store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreRequest {
    /// Acquire a reader lease if no other node holds it. The number of leases limits how many
    /// nodes read the log in the store.
    AcquireLease {
        /// Index of the reader lease, from 0 to `FleetSettings::reader_count` - 1.
        reader_slot: usize,
        /// Time to live of the new lease.
        ttl: Duration,
    },
    /// Renew a reader lease before it expires.
    RenewLease {
        /// Lease to renew.
        lease: LeaseId,
    },
    /// Release a reader lease, so that another node can acquire its slot at once.
    ReleaseLease {
        /// Lease to release.
        lease: LeaseId,
        /// Reader slot that the lease holds.
        reader_slot: usize,
    },
    /// Append an entry to the log, unless its slot is already taken.
    Append {
        /// Log slot to write, which is also the version of the entry.
        version: Version,
        /// The entry as encoded by `LogEntry::encode`.
        entry: SharedBytes,
    },
    /// Read all log entries after version `after`, without waiting for new ones.
    ReadLog {
        /// Version before the first requested entry.
        after: Version,
    },
    /// Wait until the log has entries after version `after`, at most for the time `wait`.
    WatchLog {
        /// Version before the first requested entry.
        after: Version,
        /// Time after which the store answers with an empty list if the log has no newer
        /// entries.
        wait: Duration,
    },
    /// Read the newest snapshot of the configuration.
    ReadSnapshot,
    /// Write a snapshot of the configuration, verify it by reading it back, and delete the log
    /// entries up to `truncate_to`.
    WriteSnapshot {
        /// Version of the configuration in the snapshot.
        version: Version,
        /// The configuration as encoded by `ConfigState::encode_snapshot`.
        snapshot: SharedBytes,
        /// Version of the last log entry to delete.
        truncate_to: Version,
    },
}

/// Answer of the store to a [`StoreRequest`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreAnswer {
    /// The requested reader lease was granted.
    LeaseGranted {
        /// Id of the granted lease, for renewals.
        lease: LeaseId,
    },
    /// Another node holds the requested reader lease.
    LeaseTaken,
    /// The reader lease was renewed or released.
    LeaseKept,
    /// The reader lease to renew has expired or was revoked.
    LeaseLost,
    /// The log slot was empty and now holds the appended entry.
    Appended,
    /// The log slot already holds another entry.
    SlotTaken,
    /// Log entries without gaps. The list may be empty.
    Entries {
        /// Version of the first entry in the list.
        first: Version,
        /// Encoded log entries, in order of their versions.
        entries: Vec<SharedBytes>,
        /// Newest version in the log at the time of the read.
        head: Version,
    },
    /// The requested log entries were deleted because a newer snapshot contains them.
    Truncated,
    /// The newest snapshot of the configuration, or `None` if none was written yet.
    Snapshot(Option<SharedBytes>),
    /// The snapshot was written and verified, and the older log entries were deleted.
    SnapshotWritten,
}

/// Why a request to the store has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum StoreFailure {
    /// The request had no effect: it did not reach the store, or the store rejected it.
    #[error("the store did not run the request")]
    NotRun {
        /// Delay that the store asks for before the next request.
        retry_after: Option<Duration>,
    },
    /// It is unknown whether the request has taken effect.
    #[error("the store's answer was lost")]
    Unknown,
}

/// Decision of an agent that operators can look up, serialized for `explain`.
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
#[serde(rename_all = "snake_case", tag = "decision")]
pub enum Decision {
    /// A version became active on this node.
    VersionAdopted {
        /// Version that became active.
        version: Version,
        /// Where this node got the version: the log, the store or a peer.
        learnt_from: VersionSource,
        /// Milliseconds since the store last answered this node for the document. Absent if it
        /// never did, or if the configuration is a change log.
        store_answer_ms: Option<u64>,
        /// True if this node watches the document in the store.
        watcher: bool,
    },
    /// A version was rejected as a whole. The configuration is unchanged.
    VersionRefused {
        /// Version that was rejected.
        version: Version,
        /// Problems that led to the rejection.
        reason: String,
    },
    /// A version waits for witness nodes. These are peers that record the version before this
    /// node activates it.
    AdoptionWaits {
        /// Version that waits.
        version: Version,
        /// Witness nodes that have not acknowledged the version yet.
        missing: Vec<NodeId>,
    },
    /// The restart floor is known. It is the lowest version that this restarted node may
    /// activate.
    FloorConfirmed {
        /// The restart floor: this node's previous run did not activate a higher version.
        floor: Version,
        /// Whether the store or the witness nodes confirmed the restart floor.
        source: FloorSource,
    },
    /// The head of the log in the store is below the active version of this node. This node
    /// keeps its version.
    StoreBehind {
        /// Newest version in the store.
        head: Version,
        /// Active version of this node.
        held: Version,
    },
    /// The status of a member changed in this node's member table.
    MemberChanged {
        /// Id of the member whose status changed.
        id: NodeId,
        /// Status of the member from now on.
        status: super::member::Status,
        /// SWIM incarnation of the member's record.
        incarnation: u64,
    },
    /// This node acquired a reader lease: it now reads the log in the store for the other
    /// nodes.
    LeaseAcquired {
        /// Index of the reader lease, from 0.
        place: usize,
    },
    /// This node lost or gave up its reader lease.
    LeaseLost {
        /// Index of the reader lease, from 0.
        place: usize,
        /// Why the reader lease ended.
        reason: String,
    },
    /// The process was suspended or starved of CPU.
    Frozen {
        /// Time between the two ticks of the agent around the suspension, in milliseconds.
        gap_ms: u64,
    },
    /// This node accepts no new work for its backend any more.
    DrainStarted {
        /// Operator request or condition that triggered the drain.
        origin: String,
    },
    /// This node's requests to the store fail.
    StoreUnavailable {
        /// Error of the first failed request.
        reason: String,
    },
    /// The store answers this node's requests again.
    StoreAvailable,
    /// This node was selected to watch the store for a new document.
    WatchBegun {
        /// Number of nodes that are selected to watch the document in the store, according to
        /// this node's member table.
        watchers: usize,
    },
    /// This node no longer watches the document in the store.
    WatchEnded {
        /// True if the store answered the last call of this node before the watch ended.
        store_answers: bool,
        /// Number of nodes that are selected to watch the document in the store, according to
        /// this node's member table.
        watchers: usize,
    },
    /// This node announces a changed state of its local backend.
    BackendChanged {
        /// Latest report of the backend. Absent once the node no longer announces a backend.
        endpoint: Option<EndpointRecord>,
    },
    /// The rate limit of the local backend started, changed or ended.
    RateLimitChanged {
        /// The backend that names the limit.
        backend: ResourceName,
        /// Requests per second that the backend takes; absent if it names no limit any more.
        limit: Option<RateLimit>,
        /// Where this node has learnt the limit from.
        source: LimitSource,
    },
    /// The local backend has said in a response that it leaves.
    BackendLeaves {
        /// The backend that leaves.
        backend: ResourceName,
    },
    /// A request is quarantined because several backends crashed while running it.
    RequestQuarantined {
        /// Identity of the quarantined request.
        identity: RequestIdentity,
        /// Backend incarnations that crashed while running the request, oldest crash first.
        instances: Vec<InstanceId>,
        /// Milliseconds since the crash of each incarnation.
        ages_ms: Vec<u64>,
        /// Milliseconds until the quarantine trial, in which one backend runs the request
        /// again.
        left_ms: u64,
    },
    /// The crashes recorded for a request no longer count, so the request is not quarantined.
    RequestCleared {
        /// Identity of the request.
        identity: RequestIdentity,
        /// Number of crashes that no longer count.
        crashes: usize,
        /// What cleared the crashes: a response, an operator, or a backend that turned out to
        /// be alive.
        origin: String,
    },
    /// A rollout started, advanced or ended.
    #[serde(rename = "roll_out")]
    Rollout {
        /// Service whose version changes.
        service: ResourceName,
        /// Software version that the rollout brings in.
        target: SoftwareVersion,
        /// Phase of the rollout from now on.
        phase: Phase,
        /// Maximum share of calls for the target version, in thousandths.
        share_permille: u16,
        /// Term of the rollout decider that made the decision. It increases with each new
        /// decider.
        term: u64,
        /// Observations that caused this change of the rollout, as text for operators.
        reason: String,
    },
    /// A call was rejected or ended without a complete response.
    CallFailed {
        /// Id of the call, as in the request headers and log lines.
        call_id: String,
        /// Why the call failed.
        reason: String,
    },
}

/// Who confirmed the restart floor, the lowest version that a restarted node may activate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FloorSource {
    /// A read of the store that began after the restart.
    Store,
    /// A majority of the node's witness nodes, which record the versions that the node
    /// activates.
    Witnesses,
}

/// Request of the agent to its driver, which owns the network, the store client and the clock.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a message to a peer.
    Send {
        /// Id of the receiving node.
        to: NodeId,
        /// UDP address of the receiving node.
        address: SocketAddr,
        /// True if the receiving node is in another zone.
        crosses_zones: bool,
        /// The message, with this node as its sender.
        envelope: Envelope,
    },
    /// Send a request to the store.
    Store {
        /// Id that the driver passes back with the answer of the store.
        request_id: RequestId,
        /// Operation that the store has to execute.
        request: StoreRequest,
    },
    /// Record in the directory, for the next run of this node, that the local backend has
    /// deregistered. The deregistration was acknowledged to the backend.
    RecordDeparture(EndpointRecord),
    /// Record these backend crashes in the store, so that they survive a restart of all nodes.
    RecordCrashes(Vec<CrashReport>),
    /// Delete the records of these backend crashes from the store, since they no longer count.
    ForgetCrashes(Vec<CrashReport>),
    /// Send a rollout request to the store.
    AskDeciderStore(DeciderRequest),
    /// The limits that rollouts set for routing have changed; the driver reads them from the
    /// agent.
    RolloutsChanged,
    /// Serve a peer's request for tokens from the pools of this node.
    ServeTokens {
        /// Node that sent the request.
        from: NodeId,
        /// Process of that node.
        process_epoch: ProcessEpoch,
        /// Whether the node is in this node's zone; otherwise its pool asks for a loan.
        same_zone: bool,
        /// The request.
        request: TokenRequest,
    },
    /// Apply the reply of a token pool.
    TokensGranted {
        /// Node that holds the pool.
        from: NodeId,
        /// Whether the pool is that of this node's zone; otherwise it has lent the tokens.
        same_zone: bool,
        /// The reply.
        grant: TokenGrant,
    },
    /// Ask the store for its store era, since a peer reported this one. The store raises the
    /// store era by one each time it is restored from an older copy.
    VerifyStoreEra(u64),
    /// Read the document from the store now, since a peer holds a newer one than this node.
    ReadDocument,
    /// Use this configuration for new calls.
    Adopt(Arc<ConfigState>),
    /// This node became ready to serve calls (true), or is no longer ready (false).
    Ready(bool),
    /// Answer a proposal that an operator submitted at this node.
    AnswerProposal {
        /// Ticket that the operator's request got at its submission.
        ticket: Ticket,
        /// What the operator is told about the proposal: the decision, or why there is none.
        answer: ProposalReply,
    },
    /// Answer an operator's query which nodes hold the newest version.
    AnswerPropagation {
        /// Ticket that the operator's query got at its submission.
        ticket: Ticket,
        /// The counts of a reader, or `None` if no reader replied in time.
        status: Option<PropagationStatus>,
    },
    /// Stop accepting new work for the local backend.
    StartDrain,
    /// Log a decision and keep it for operators.
    LogDecision(Decision),
}

/// Messages and actions produced by one step of the agent.
#[derive(Debug, Default)]
pub struct Outbox {
    /// Messages with their receivers. The agent adds addresses at the end of the step.
    pub messages: Vec<(NodeId, Message)>,
    /// Actions other than messages to peers.
    pub actions: Vec<Action>,
}

impl Outbox {
    /// Queues a message to the node `to`.
    pub fn send(&mut self, to: &NodeId, message: Message) {
        self.messages.push((to.clone(), message));
    }

    /// Queues a decision for the log.
    pub fn log_decision(&mut self, decision: Decision) {
        self.actions.push(Action::LogDecision(decision));
    }
}
