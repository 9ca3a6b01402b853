//! Actions that an agent requests from its driver, and events reported to operators.

use super::crash_table::CrashReport;
use super::member::EndpointRecord;
use super::message::{Envelope, Message, PropagationStatus, ProposalReply, SharedBytes};
use super::version_source::VersionSource;
use crate::call::identity::RequestIdentity;
use crate::config::ConfigState;
use crate::ids::{InstanceId, NodeId, ResourceName, SoftwareVersion, Version};
use crate::rollout::{DeciderRequest, Phase};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Correlates a store answer with its request.
pub type RequestId = u64;
/// Correlates an answer with an operator's request at this node.
pub type Ticket = u64;
/// Identifies a lease in the platform's store.
pub type LeaseId = u64;

/// A request to the platform's store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreRequest {
    /// Acquire the reader slot `reader_slot` for `ttl` if it is free.
    AcquireLease {
        /// Index of the reader slot, from 0.
        reader_slot: usize,
        /// Time to live of the lease.
        ttl: Duration,
    },
    /// Renew a lease.
    RenewLease {
        /// Lease to renew.
        lease: LeaseId,
    },
    /// Release a lease.
    ReleaseLease {
        /// Lease to release.
        lease: LeaseId,
        /// StoreReader slot that the lease holds.
        reader_slot: usize,
    },
    /// Append an entry as `version` unless that slot is taken.
    Append {
        /// Log slot to write.
        version: Version,
        /// The encoded entry.
        entry: SharedBytes,
    },
    /// Read all entries after `after`, without waiting.
    ReadLog {
        /// Version before the first wanted entry.
        after: Version,
    },
    /// Wait for entries after `after`, at most for `wait`.
    WatchLog {
        /// Version before the first wanted entry.
        after: Version,
        /// Maximum wait.
        wait: Duration,
    },
    /// Read the newest snapshot.
    ReadSnapshot,
    /// Write a snapshot, verify it by reading it back, and delete the entries up to
    /// `truncate_to`.
    WriteSnapshot {
        /// Version of the snapshot.
        version: Version,
        /// Encoded state.
        snapshot: SharedBytes,
        /// Last entry to delete.
        truncate_to: Version,
    },
}

/// Answer of the store to a [`StoreRequest`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreAnswer {
    /// The lease was granted.
    LeaseGranted {
        /// Id of the lease.
        lease: LeaseId,
    },
    /// Another node holds the reader slot.
    LeaseTaken,
    /// The lease was renewed or released.
    LeaseKept,
    /// The lease has expired.
    LeaseLost,
    /// The slot was empty and now holds the entry.
    Appended,
    /// The log slot was already taken.
    SlotTaken,
    /// Entries from `first` on, without gaps. May be empty.
    Entries {
        /// Version of the first entry.
        first: Version,
        /// The entries.
        entries: Vec<SharedBytes>,
        /// Head of the log at the time of the read.
        head: Version,
    },
    /// The requested entries were deleted after a snapshot.
    Truncated,
    /// The newest snapshot, if any.
    Snapshot(Option<SharedBytes>),
    /// The snapshot was written and verified.
    SnapshotWritten,
}

/// Failure of a store request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum StoreFailure {
    /// The request had no effect: it did not reach the store, or the store rejected it.
    #[error("the store did not execute the request")]
    NotRun {
        /// Delay requested by the store.
        retry_after: Option<Duration>,
    },
    /// The request may have taken effect.
    #[error("the answer of the store was lost")]
    Unknown,
}

/// Event reported to operators.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case", tag = "decision")]
pub enum Decision {
    /// A version became active on this node.
    VersionAdopted {
        /// The active version.
        version: Version,
        /// Where this node got the version from.
        learnt_from: VersionSource,
        /// Milliseconds since the store last answered this node for the document. Absent if it
        /// never did, or if the configuration is a change log.
        store_answer_ms: Option<u64>,
        /// True if this node watches the document in the store.
        watcher: bool,
    },
    /// A version was rejected as a whole. The state is unchanged.
    VersionRefused {
        /// The rejected version.
        version: Version,
        /// Findings that led to the rejection.
        reason: String,
    },
    /// A version awaits acknowledgement by witnesses.
    AdoptionWaits {
        /// The pending version.
        version: Version,
        /// Witnesses that have not acknowledged it.
        missing: Vec<NodeId>,
    },
    /// The version floor after the restart is known.
    FloorConfirmed {
        /// Lowest version that this node may activate.
        floor: Version,
        /// Where the floor comes from.
        source: FloorSource,
    },
    /// The head of the store is below the active version of this node. This node does not go
    /// back to it.
    StoreBehind {
        /// The store's head.
        head: Version,
        /// Active version of this node.
        held: Version,
    },
    /// The status of a member changed in this node's member table.
    MemberChanged {
        /// Id of the member.
        id: NodeId,
        /// The new status.
        status: super::member::Status,
        /// SWIM incarnation of the record.
        incarnation: u64,
    },
    /// This node acquired a reader lease.
    LeaseAcquired {
        /// StoreReader slot, from 0.
        place: usize,
    },
    /// This node lost or gave up its reader lease.
    LeaseLost {
        /// StoreReader slot, from 0.
        place: usize,
        /// Why the lease ended.
        reason: String,
    },
    /// The process was suspended or starved of CPU.
    Frozen {
        /// Gap between two ticks, in milliseconds.
        gap_ms: u64,
    },
    /// This node accepts no new work for its backend any more.
    DrainStarted {
        /// What triggered the drain.
        origin: String,
    },
    /// Requests to the store fail.
    StoreUnavailable {
        /// First failure.
        reason: String,
    },
    /// The store answers again after failures.
    StoreAvailable,
    /// This node was selected to watch the document in the store.
    WatchBegun {
        /// Number of watchers according to this node's member table.
        watchers: usize,
    },
    /// This node no longer watches the document in the store.
    WatchEnded {
        /// True if the store answered this node's last call.
        store_answers: bool,
        /// Number of watchers according to this node's member table.
        watchers: usize,
    },
    /// The announced state of the local backend changed.
    BackendChanged {
        /// Latest report of the backend. Absent once it is no longer announced.
        endpoint: Option<EndpointRecord>,
    },
    /// A request is quarantined because several backends crashed while running it.
    RequestQuarantined {
        /// Identity of the request.
        identity: RequestIdentity,
        /// Crashed backend incarnations, oldest crash first.
        instances: Vec<InstanceId>,
        /// Milliseconds since each crash.
        ages_ms: Vec<u64>,
        /// Milliseconds until the request gets a trial.
        left_ms: u64,
    },
    /// The crashes recorded for a request no longer count.
    RequestCleared {
        /// Identity of the request.
        identity: RequestIdentity,
        /// Number of crashes that were cleared.
        crashes: usize,
        /// What cleared them.
        origin: String,
    },
    /// A rollout started, advanced or ended.
    #[serde(rename = "roll_out")]
    Rollout {
        /// Service that is rolled out.
        service: ResourceName,
        /// Version that is rolled out.
        target: SoftwareVersion,
        /// New phase of the rollout.
        phase: Phase,
        /// Maximum share of calls for the target version, in thousandths.
        share_permille: u16,
        /// Term of the node that decided.
        term: u64,
        /// Inputs of the decision.
        reason: String,
    },
    /// A call was rejected or ended without a complete response.
    CallFailed {
        /// Id of the call.
        call_id: String,
        /// Cause of the failure.
        reason: String,
    },
}

/// Source of the version floor after a restart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FloorSource {
    /// A store read that began after the restart.
    Store,
    /// A majority of the witnesses.
    Witnesses,
}

/// Work for the driver.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a message to a peer.
    Send {
        /// Receiver.
        to: NodeId,
        /// Address of the receiver.
        address: SocketAddr,
        /// True if the receiver is in another zone.
        crosses_zones: bool,
        /// Message with its sender.
        envelope: Envelope,
    },
    /// Send a request to the store.
    Store {
        /// Passed back with the answer.
        request_id: RequestId,
        /// The request.
        request: StoreRequest,
    },
    /// The local backend's departure was acknowledged. Record it in the directory for the next
    /// run of this node.
    RecordDeparture(EndpointRecord),
    /// Record these backend crashes in the store, so that they survive a restart of all nodes.
    RecordCrashes(Vec<CrashReport>),
    /// Delete the records of these crashes from the store.
    ForgetCrashes(Vec<CrashReport>),
    /// Send a rollout request to the store.
    AskDeciderStore(DeciderRequest),
    /// The routing limits of rollouts changed.
    RolloutsChanged,
    /// A peer reported this store era. Verify it with the store.
    VerifyStoreEra(u64),
    /// A peer holds a newer document than this node. Read the store now.
    ReadDocument,
    /// Use this configuration for new calls.
    Adopt(Arc<ConfigState>),
    /// The readiness of this node changed.
    Ready(bool),
    /// Answer an operator's proposal.
    AnswerProposal {
        /// Ticket of the submission.
        ticket: Ticket,
        /// Outcome of the proposal.
        answer: ProposalReply,
    },
    /// Answer an operator's query for the propagation of the newest version.
    AnswerPropagation {
        /// Ticket of the query.
        ticket: Ticket,
        /// View of a reader, or `None` if no reader answered in time.
        status: Option<PropagationStatus>,
    },
    /// Stop accepting new work for the backend.
    StartDrain,
    /// Report an event to operators.
    LogDecision(Decision),
}

/// Collects the output of one agent step.
#[derive(Debug, Default)]
pub struct Outbox {
    /// Messages by receiver. The agent resolves the addresses at the end of the step.
    pub messages: Vec<(NodeId, Message)>,
    /// All other actions.
    pub actions: Vec<Action>,
}

impl Outbox {
    /// Queues a message.
    pub fn send(&mut self, to: &NodeId, message: Message) {
        self.messages.push((to.clone(), message));
    }

    /// Queues an event for operators.
    pub fn log_decision(&mut self, decision: Decision) {
        self.actions.push(Action::LogDecision(decision));
    }
}
