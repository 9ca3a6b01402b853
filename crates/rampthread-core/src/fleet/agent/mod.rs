//! Control plane of one node: membership, change log, distribution and activation of
//! configuration versions, and the log reader role.
//!
//! The driver calls [`Agent::tick`] about ten times a second and passes in peer messages,
//! store responses and operator requests. Every call returns the actions to carry out. The
//! agent never blocks and reads no clock.
//!
//! Invariants, checked by `tests/fleet_properties.rs`:
//! - the active version never decreases, also across restarts of a node id;
//! - every active state is the result of `ConfigState::apply` in log order;
//! - no state is active before the restart floor is known.

mod backend;
mod conditions;
mod crash_gossip;
mod dispatch;
mod document;
mod floor;
mod loads;
mod log;
mod machines;
mod operators;
mod rollouts;
mod store;
mod store_era;
mod tokens;

use crate::config::{ConfigState, Outcome};
use crate::fleet::action::{
    Action, Decision, Outbox, RequestId, StoreAnswer, StoreFailure, Ticket,
};
use crate::fleet::backend_tracker::BackendTracker;
use crate::fleet::distribution::VersionDistribution;
use crate::fleet::document_history::DocumentHistory;
use crate::fleet::holders::{HeldVersionReports, VersionHolders};
use crate::fleet::load_exchange::LoadExchange;
use crate::fleet::member::{
    Conditions, EndpointRecord, Incarnation, Machine, MemberRecord, Status,
};
use crate::fleet::membership::Membership;
use crate::fleet::message::{Envelope, Message, ProcessEpoch, SharedBytes};
use crate::fleet::proposals::ProposalForwarder;
use crate::fleet::reader::StoreReader;
use crate::fleet::replica::LogReplica;
use crate::fleet::settings::{ConfigSource, FleetSettings};
use crate::fleet::store_watch::StoreWatch;
use crate::fleet::version_source::VersionSource;
use crate::fleet::witness::{FloorQuery, VersionActivation, WitnessRecords};
use crate::fleet::writer::{LogWriter, Requester};
use crate::ids::{NodeId, OperationId, Region, Version, Zone};
use crate::time::Moment;
pub use backend::HandledReport;
pub use tokens::PoolRoute;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Number of rejected submissions of proposals that a log reader remembers, so that a
/// delayed duplicate of one is not executed later.
const MAX_REJECTED_SUBMISSIONS: usize = 4_096;
/// Number of log entries kept behind the newest snapshot when this node, as a log reader,
/// truncates the change log.
const RETAINED_LOG_ENTRIES: u64 = 128;

/// Id, address and location of the node that an [`Agent`] controls.
#[derive(Debug, Clone)]
pub struct AgentIdentity {
    /// Configured id, stable across restarts.
    pub id: NodeId,
    /// Address at which peers reach the node.
    pub address: SocketAddr,
    /// Zone of the node's machine.
    pub zone: Zone,
    /// Region of the node's machine.
    pub region: Region,
    /// Wall-clock time at which the process started, in microseconds since the Unix epoch.
    pub process_epoch: ProcessEpoch,
}

/// Fault that a test injects into an agent to prove that a property test detects it.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Defect {
    /// The agent activates versions without acknowledgements of witness nodes.
    SkipWitnesses,
    /// A restarted agent activates the first state that a peer sends, though it may be
    /// below the restart floor.
    SkipFloor,
    /// The agent reports a write whose store response was lost as "not run".
    LostAnswerIsRefusal,
}

/// A decided proposal whose reply waits until enough other nodes hold its version.
#[derive(Debug)]
struct PendingReplication {
    operation_id: OperationId,
    version: Version,
    outcome: Outcome,
    requesters: Vec<Requester>,
    since: Moment,
}

/// An operator's propagation query that was sent to a log reader.
#[derive(Debug)]
struct PropagationQuery {
    ticket: Ticket,
    /// Random number that the reply of the log reader must repeat.
    nonce: u64,
    sent: Moment,
}

/// Control plane of one node: a state machine that decides about membership, configuration
/// versions and rollouts without doing I/O.
#[derive(Debug)]
pub struct Agent {
    settings: FleetSettings,
    identity: AgentIdentity,
    /// Seeded random numbers, so that a simulation is reproducible.
    rng: ChaCha8Rng,
    /// Random numbers for store calls in document mode, separate so that these do not
    /// change the sequence of `rng`.
    watch_rng: ChaCha8Rng,
    membership: Membership,
    /// Newest process epoch seen of each peer; a higher one means that the peer has
    /// restarted.
    epochs: BTreeMap<NodeId, ProcessEpoch>,
    /// Newest state, and the log entries that led to it.
    replica: LogReplica,
    /// Announcements of new versions to peers, and pulls of versions from peers.
    distribution: VersionDistribution,
    /// Recent states in document mode, from which deltas for peers are made.
    history: DocumentHistory,
    /// Time of the next store read in document mode; `None` while this node does not lag.
    next_store_read: Option<Moment>,
    /// Newest store era that this node has seen or a peer has announced. The store raises
    /// its era by one each time it is restored from an older copy.
    newest_known_era: u64,
    /// Where the newest state came from: the change log, the store's document or a peer.
    learnt_from: VersionSource,
    /// Selection of the document watchers, and whether the store answers this node.
    store_watch: StoreWatch,
    /// Highest transfer rate seen for a document read, in bytes per second.
    link_bytes_per_second: f64,
    /// Estimated time of a document read at `link_bytes_per_second`.
    estimated_read_time: Duration,
    /// Active state, and newer states that wait for acknowledgements of witness nodes.
    adoption: VersionActivation,
    /// Versions that this node has recorded as a witness node of other nodes.
    witness_records: WitnessRecords,
    /// Query for the restart floor (see `floor`) to this node's witness nodes, i.e. the nodes
    /// that record its versions.
    floor_query: FloorQuery,
    /// Restart floor: lowest version that this process may activate; `None` until it is
    /// known.
    floor: Option<Version>,
    /// Head of the change log that a log reader replied to this process, while entries up
    /// to it are missing here.
    target_head: Option<Version>,
    /// Random number that replies to this process's queries for the head of the change log
    /// must repeat.
    head_nonce: u64,
    next_floor_query: Moment,
    ready: bool,
    reader: StoreReader,
    writer: LogWriter,
    pending_replications: Vec<PendingReplication>,
    /// Recently rejected submissions, oldest first.
    rejected_submissions: VecDeque<Requester>,
    /// Versions that other nodes have reported to hold.
    holders: VersionHolders,
    /// Reports of the active version to the log readers, until they are acknowledged.
    reports: HeldVersionReports,
    proposals: ProposalForwarder,
    propagation_queries: Vec<PropagationQuery>,
    crashes: crash_gossip::CrashGossip,
    loads: LoadExchange,
    /// State of rollouts on this node; `None` where the settings disable rollouts.
    rollouts: Option<rollouts::RolloutParticipant>,
    draining: bool,
    backend_up: bool,
    /// Decides which incarnation of the local backend is current, from the reports
    /// received.
    reported: BackendTracker,
    /// Time at which an endpoint restored from the store or a peer is dropped unless the
    /// backend has reported since.
    restored_endpoint_expiry: Option<Moment>,
    /// Endpoint that this node currently announces.
    endpoint: Option<EndpointRecord>,
    /// Time at which this process started.
    started: Moment,
    last_tick: Option<Moment>,
    /// Version of the last snapshot that this node began to write to the store.
    last_snapshot: Version,
    /// Store request of the snapshot being written.
    snapshot_request: Option<RequestId>,
    defect: Option<Defect>,
}

impl Agent {
    /// Creates the agent of a process that has just started and knows only `machines`.
    pub fn new(
        identity: AgentIdentity,
        settings: FleetSettings,
        machines: &[Machine],
        seed: u64,
        now: Moment,
    ) -> Self {
        let me = MemberRecord {
            id: identity.id.clone(),
            address: identity.address,
            zone: identity.zone.clone(),
            region: identity.region.clone(),
            incarnation: first_incarnation(identity.process_epoch),
            status: Status::Alive,
            conditions: Conditions::default(),
            endpoint: None,
        };
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ identity.process_epoch);
        let mut membership = Membership::new(me, settings.retransmit_multiplier, now);
        membership.set_machines(machines, now);
        Self {
            membership,
            epochs: BTreeMap::new(),
            replica: LogReplica::new(settings.max_retained_entries),
            distribution: VersionDistribution::default(),
            history: DocumentHistory::default(),
            next_store_read: None,
            newest_known_era: 0,
            learnt_from: VersionSource::Log,
            store_watch: StoreWatch::default(),
            link_bytes_per_second: 0.0,
            estimated_read_time: Duration::ZERO,
            adoption: VersionActivation::new(identity.id.clone(), identity.region.clone()),
            witness_records: WitnessRecords::default(),
            floor_query: FloorQuery::default(),
            // In document mode the store guarantees order and validity, so no restart floor
            // is needed.
            floor: (settings.source == ConfigSource::Document).then_some(Version::ZERO),
            target_head: None,
            head_nonce: rng.random(),
            next_floor_query: now,
            ready: false,
            reader: StoreReader::new(0),
            writer: LogWriter::default(),
            pending_replications: Vec::new(),
            rejected_submissions: VecDeque::new(),
            holders: VersionHolders::default(),
            reports: HeldVersionReports::default(),
            proposals: ProposalForwarder::new(identity.process_epoch),
            propagation_queries: Vec::new(),
            crashes: crash_gossip::CrashGossip::new(),
            loads: LoadExchange::default(),
            rollouts: settings
                .roll_outs
                .map(|bounds| rollouts::RolloutParticipant::new(identity.id.clone(), bounds)),
            draining: false,
            backend_up: true,
            reported: BackendTracker::with_heartbeat(settings.heartbeat_interval),
            restored_endpoint_expiry: None,
            endpoint: None,
            started: now,
            last_tick: None,
            last_snapshot: Version::ZERO,
            snapshot_request: None,
            defect: None,
            settings,
            watch_rng: ChaCha8Rng::seed_from_u64(!seed ^ identity.process_epoch),
            identity,
            rng,
        }
    }

    /// Injects a fault into the agent for a test, or removes it with `None`.
    #[doc(hidden)]
    pub fn set_defect(&mut self, defect: Option<Defect>) {
        self.defect = defect;
    }

    /// Active configuration, by which this node handles calls. It is meaningful once
    /// [`Agent::is_ready`] returns true.
    pub fn active(&self) -> &Arc<ConfigState> {
        self.adoption.active()
    }

    /// Newest configuration state that this node knows, which may not be active yet.
    pub fn staged(&self) -> &Arc<ConfigState> {
        self.replica.staged()
    }

    /// True once a configuration is active and calls may be served.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Restart floor: the lowest version that this process may activate. `None` until it is
    /// known.
    pub fn floor(&self) -> Option<Version> {
        self.floor
    }

    /// Members of the fleet as known to this node.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Number of nodes for which this node is a witness, that is, records which version
    /// they hold.
    pub fn witnessed_id_count(&self) -> usize {
        self.witness_records.len()
    }

    /// True while this node accepts no new calls for its backend.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Advances all timers to `now`. The driver calls it about ten times a second.
    pub fn tick(&mut self, now: Moment) -> Vec<Action> {
        let mut outbox = Outbox::default();
        self.detect_suspension(now, &mut outbox);
        self.tick_crash_gossip(now, &mut outbox);
        self.loads.tick(now, &self.membership, &mut outbox);
        self.tick_rollouts(now, &mut outbox);
        if self.settings.source == ConfigSource::Document {
            self.tick_with_document(now, &mut outbox);
            return self.collect_actions(outbox);
        }
        let held = self.adoption.version();
        self.membership
            .tick(now, held, &self.settings, &mut self.rng, &mut outbox);
        self.request_floor(now, &mut outbox);
        self.tick_distribution(now, &mut outbox);
        self.adoption.tick(now, &self.settings, &mut outbox);
        self.tick_reader(now, &mut outbox);
        self.tick_proposals(now, &mut outbox);
        self.reports
            .tick(now, held, &self.membership, &self.settings, &mut outbox);
        self.answer_replicated_proposals(now, &mut outbox);
        self.expire_propagation_queries(now, &mut outbox);
        self.announce(now);
        self.collect_actions(outbox)
    }

    /// Handles a message from a peer, and detects from its process epoch when the peer has
    /// restarted.
    pub fn on_message(&mut self, envelope: Envelope, now: Moment) -> Vec<Action> {
        let mut outbox = Outbox::default();
        if envelope.from == self.identity.id {
            return Vec::new();
        }
        let known_epoch = self.epochs.entry(envelope.from.clone()).or_default();
        let started_anew = envelope.process_epoch > *known_epoch;
        *known_epoch = envelope.process_epoch.max(*known_epoch);
        if started_anew {
            self.send_states_to_restarted_peer(&envelope.from, now, &mut outbox);
        }
        self.dispatch_message(envelope, now, &mut outbox);
        self.activate_ready_versions(now, &mut outbox);
        self.announce(now);
        self.send_urgent_updates(now, &mut outbox);
        let mut actions = self.collect_actions(outbox);
        actions.extend(self.restore_backend_from_peer(now));
        actions
    }

    /// Handles the response of the store to the request `request_id`.
    pub fn on_store(
        &mut self,
        request_id: RequestId,
        result: Result<StoreAnswer, StoreFailure>,
        now: Moment,
    ) -> Vec<Action> {
        let mut outbox = Outbox::default();
        if self.snapshot_request == Some(request_id) {
            self.snapshot_request = None;
        } else if self.writer.owns_request(request_id) {
            self.on_write_answer(result, now, &mut outbox);
        } else {
            let news = self.reader.on_store(
                request_id,
                result,
                now,
                &self.settings,
                &mut self.rng,
                &mut outbox,
            );
            if let Some(news) = news {
                self.on_reader_news(news, now, &mut outbox);
            }
        }
        self.tick_reader(now, &mut outbox);
        self.activate_ready_versions(now, &mut outbox);
        self.announce(now);
        self.collect_actions(outbox)
    }

    /// Submits an operator's change set to a log reader. The result follows as
    /// [`Action::AnswerProposal`] with the same ticket.
    pub fn propose(&mut self, ticket: Ticket, entry: SharedBytes, now: Moment) -> Vec<Action> {
        let mut outbox = Outbox::default();
        self.proposals.submit(ticket, entry, now);
        self.tick_proposals(now, &mut outbox);
        self.collect_actions(outbox)
    }

    /// Answers an operator's query how many nodes hold the newest version, if necessary by
    /// querying a log reader.
    pub fn query_propagation(&mut self, ticket: Ticket, now: Moment) -> Vec<Action> {
        let mut outbox = Outbox::default();
        let knows = self.settings.source == ConfigSource::Document;
        if knows || self.reader.holds_lease(now) {
            let status = Some(self.propagation_status());
            outbox
                .actions
                .push(Action::AnswerPropagation { ticket, status });
            return self.collect_actions(outbox);
        }
        let reader = self
            .membership
            .readers()
            .next()
            .map(|reader| reader.id.clone());
        let Some(reader) = reader else {
            let status = None;
            outbox
                .actions
                .push(Action::AnswerPropagation { ticket, status });
            return self.collect_actions(outbox);
        };
        let nonce = self.rng.random();
        let sent = now;
        self.propagation_queries.push(PropagationQuery {
            ticket,
            nonce,
            sent,
        });
        outbox.send(&reader, Message::PropagationQuery { nonce });
        self.collect_actions(outbox)
    }

    /// Converts the collected messages and actions of one step to actions: adds the crash
    /// digest to probes, and the address to each message.
    fn collect_actions(&mut self, outbox: Outbox) -> Vec<Action> {
        let mut actions = outbox.actions;
        for (to, mut message) in outbox.messages {
            self.attach_crash_digest(&mut message);
            let Some(record) = self.membership.record(&to) else {
                continue;
            };
            actions.push(Action::Send {
                address: record.address,
                crosses_zones: record.zone != self.identity.zone,
                envelope: Envelope {
                    from: self.identity.id.clone(),
                    process_epoch: self.identity.process_epoch,
                    message,
                },
                to,
            });
        }
        actions
    }

    /// Detects from the time between two ticks that the process was suspended, and discards
    /// knowledge that may be outdated.
    fn detect_suspension(&mut self, now: Moment, outbox: &mut Outbox) {
        let gap = self
            .last_tick
            .map_or(Duration::ZERO, |last| now.since(last));
        self.last_tick = Some(now);
        if gap < self.settings.freeze_threshold {
            return;
        }
        outbox.log_decision(Decision::Frozen {
            gap_ms: gap.as_millis() as u64,
        });
        self.membership.reset_after_freeze(now);
        self.crashes.schedule_comparisons();
        if !self.reader.holds_lease(now) {
            self.reader.abandon_lease("the process was frozen", outbox);
        }
    }
}

/// Member incarnation with which a process starts: its start time in seconds, so that it
/// exceeds those of earlier processes.
fn first_incarnation(process_epoch: ProcessEpoch) -> Incarnation {
    const MICROS_PER_SECOND: u64 = 1_000_000;
    process_epoch / MICROS_PER_SECOND
}
