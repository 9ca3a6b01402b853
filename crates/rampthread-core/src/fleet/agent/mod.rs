//! One node's control side: membership, log, distribution, adoption, reader.
//!
//! The driver calls [`Agent::tick`] about ten times a second and hands in
//! messages, store answers and operators' requests; each call returns the
//! actions to carry out. The agent never blocks and holds no clock.
//!
//! Invariants, checked by `tests/fleet_properties.rs`:
//! - the version in force never falls, also across restarts of the id;
//! - every state in force came out of `ConfigState::apply` in log order;
//! - nothing is in force before the restart floor is known.

mod backend;
mod conditions;
mod crash_news;
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

pub use backend::TakenReport;

use crate::config::{ConfigState, Outcome};
use crate::fleet::action::{
    Action, Decision, Outbox, RequestId, StoreAnswer, StoreFailure, Ticket,
};
use crate::fleet::distribution::Distribution;
use crate::fleet::document_history::DocumentHistory;
use crate::fleet::holders::{HeldReports, Holders};
use crate::fleet::learnt_from::LearntFrom;
use crate::fleet::load_exchange::LoadExchange;
use crate::fleet::member::{
    Conditions, EndpointRecord, Incarnation, Machine, MemberRecord, Status,
};
use crate::fleet::membership::Membership;
use crate::fleet::message::{Envelope, Message, ProcessEpoch, SharedBytes};
use crate::fleet::proposals::Proposals;
use crate::fleet::reader::Reader;
use crate::fleet::replica::Replica;
use crate::fleet::reported_backend::ReportedBackend;
use crate::fleet::settings::{ConfigSource, FleetSettings};
use crate::fleet::store_watch::StoreWatch;
use crate::fleet::witness::{Adoption, FloorQuery, WitnessRecords};
use crate::fleet::writer::{Asker, Writer};
use crate::ids::{NodeId, OperationId, Region, Version, Zone};
use crate::time::Moment;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Refused submissions that a reader remembers, so that a delayed copy of one
/// does not run after all.
const MAX_REFUSED: usize = 4_096;
/// Log entries that this node, as a reader, keeps behind its newest snapshot.
const ENTRIES_BEHIND_SNAPSHOT: u64 = 128;

/// Who the agent is.
#[derive(Debug, Clone)]
pub struct AgentIdentity {
    /// The configured id.
    pub id: NodeId,
    /// Where peers reach it.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Zone,
    /// Its region.
    pub region: Region,
    /// Wall clock at the start of the process, in microseconds.
    pub process_epoch: ProcessEpoch,
}

/// A deliberate fault. Tests switch one on to show that a property can fail.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Defect {
    /// Versions come into force without witnesses.
    SkipWitnesses,
    /// A restarted node takes what the first peer gives it.
    SkipFloor,
    /// A lost answer to a write is told as not run.
    LostAnswerIsRefusal,
}

#[derive(Debug)]
struct AwaitedHold {
    operation_id: OperationId,
    version: Version,
    outcome: Outcome,
    askers: Vec<Asker>,
    since: Moment,
}

#[derive(Debug)]
struct SpreadRequest {
    ticket: Ticket,
    nonce: u64,
    sent: Moment,
}

/// The control side of one node.
#[derive(Debug)]
pub struct Agent {
    settings: FleetSettings,
    identity: AgentIdentity,
    rng: ChaCha8Rng,
    /// Chance for the calls to the store that holds the document.
    watch_rng: ChaCha8Rng,
    membership: Membership,
    epochs: BTreeMap<NodeId, ProcessEpoch>,
    replica: Replica,
    distribution: Distribution,
    /// The last states, where the configuration is a document.
    history: DocumentHistory,
    /// When the store is read because this node lags; none: it does not.
    read_due: Option<Moment>,
    /// Newest era of the store that this node has seen, or was told of.
    told_era: u64,
    /// Who gave the newest state to this node.
    learnt_from: LearntFrom,
    /// Who watches the document, and whether the store answers this node.
    store_watch: StoreWatch,
    /// Best rate at which a document came from the store, in bytes a second.
    link_rate: f64,
    /// Time that the document takes at that rate.
    read_took: Duration,
    adoption: Adoption,
    witness_records: WitnessRecords,
    floor_query: FloorQuery,
    floor: Option<Version>,
    /// A head that was read after this process asked, not yet caught up with.
    known_head: Option<Version>,
    head_nonce: u64,
    next_floor_query: Moment,
    ready: bool,
    reader: Reader,
    writer: Writer,
    awaited_holds: Vec<AwaitedHold>,
    refused: VecDeque<Asker>,
    holders: Holders,
    reports: HeldReports,
    proposals: Proposals,
    spread_requests: Vec<SpreadRequest>,
    crashes: crash_news::CrashNews,
    loads: LoadExchange,
    /// None where orders to roll out are not carried out.
    roll_outs: Option<rollouts::Rollouts>,
    draining: bool,
    backend_up: bool,
    /// Reports of the back end beside this node, where it reports here.
    reported: ReportedBackend,
    /// When a back end that was only remembered stops to count.
    remembered_until: Option<Moment>,
    /// What is announced of it.
    endpoint: Option<EndpointRecord>,
    /// When this life began.
    started: Moment,
    last_tick: Option<Moment>,
    last_snapshot: Version,
    snapshot_request: Option<RequestId>,
    defect: Option<Defect>,
}

impl Agent {
    /// A node that has just started and knows nothing but `machines`.
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
        membership.list_machines(machines, now);
        Self {
            membership,
            epochs: BTreeMap::new(),
            replica: Replica::new(settings.max_retained_entries),
            distribution: Distribution::default(),
            history: DocumentHistory::default(),
            read_due: None,
            told_era: 0,
            learnt_from: LearntFrom::Log,
            store_watch: StoreWatch::default(),
            link_rate: 0.0,
            read_took: Duration::ZERO,
            adoption: Adoption::new(identity.id.clone(), identity.region.clone()),
            witness_records: WitnessRecords::default(),
            floor_query: FloorQuery::default(),
            // The store has decided order and validity of a document: nothing to ask.
            floor: (settings.source == ConfigSource::Document).then_some(Version::ZERO),
            known_head: None,
            head_nonce: rng.random(),
            next_floor_query: now,
            ready: false,
            reader: Reader::new(0),
            writer: Writer::default(),
            awaited_holds: Vec::new(),
            refused: VecDeque::new(),
            holders: Holders::default(),
            reports: HeldReports::default(),
            proposals: Proposals::new(identity.process_epoch),
            spread_requests: Vec::new(),
            crashes: crash_news::CrashNews::new(),
            loads: LoadExchange::default(),
            roll_outs: settings
                .roll_outs
                .map(|bounds| rollouts::Rollouts::new(identity.id.clone(), bounds)),
            draining: false,
            backend_up: true,
            reported: ReportedBackend::with_heartbeat(settings.heartbeat_interval),
            remembered_until: None,
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

    /// Switches a deliberate fault on, for tests.
    #[doc(hidden)]
    pub fn set_defect(&mut self, defect: Option<Defect>) {
        self.defect = defect;
    }

    /// The configuration in force; meaningful once [`Agent::is_ready`].
    pub fn active(&self) -> &Arc<ConfigState> {
        self.adoption.active()
    }

    /// The newest state that this node knows, in force or not.
    pub fn staged(&self) -> &Arc<ConfigState> {
        self.replica.staged()
    }

    /// True when calls may be served.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// The floor, once known.
    pub fn floor(&self) -> Option<Version> {
        self.floor
    }

    /// The member table.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Ids that this node is a witness of.
    pub fn witnessed_ids(&self) -> usize {
        self.witness_records.len()
    }

    /// True while this node takes no new work for its back end.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Moment) -> Vec<Action> {
        let mut outbox = Outbox::default();
        self.notice_freeze(now, &mut outbox);
        self.tick_crash_news(now, &mut outbox);
        self.loads.tick(now, &self.membership, &mut outbox);
        self.tick_roll_outs(now, &mut outbox);
        if self.settings.source == ConfigSource::Document {
            self.tick_with_document(now, &mut outbox);
            return self.finish(outbox);
        }
        let held = self.adoption.version();
        self.membership
            .tick(now, held, &self.settings, &mut self.rng, &mut outbox);
        self.seek_floor(now, &mut outbox);
        self.spread_news(now, &mut outbox);
        self.adoption.tick(now, &self.settings, &mut outbox);
        self.tick_reader(now, &mut outbox);
        self.tick_proposals(now, &mut outbox);
        self.reports
            .tick(now, held, &self.membership, &self.settings, &mut outbox);
        self.answer_holds(now, &mut outbox);
        self.expire_spread_requests(now, &mut outbox);
        self.announce(now);
        self.finish(outbox)
    }

    /// Takes a message from a peer.
    pub fn on_message(&mut self, envelope: Envelope, now: Moment) -> Vec<Action> {
        let mut outbox = Outbox::default();
        if envelope.from == self.identity.id {
            return Vec::new();
        }
        let known_epoch = self.epochs.entry(envelope.from.clone()).or_default();
        let started_anew = envelope.process_epoch > *known_epoch;
        *known_epoch = envelope.process_epoch.max(*known_epoch);
        if started_anew {
            self.tell_newcomer(&envelope.from, now, &mut outbox);
        }
        self.dispatch(envelope, now, &mut outbox);
        self.settle(now, &mut outbox);
        self.announce(now);
        self.tell_first(now, &mut outbox);
        let mut actions = self.finish(outbox);
        actions.extend(self.remember_backend_from_peer(now));
        actions
    }

    /// Takes an answer of the store.
    pub fn on_store(
        &mut self,
        request_id: RequestId,
        result: Result<StoreAnswer, StoreFailure>,
        now: Moment,
    ) -> Vec<Action> {
        let mut outbox = Outbox::default();
        if self.snapshot_request == Some(request_id) {
            self.snapshot_request = None;
        } else if self.writer.owns(request_id) {
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
        self.settle(now, &mut outbox);
        self.announce(now);
        self.finish(outbox)
    }

    /// Takes an operator's change.
    pub fn propose(&mut self, ticket: Ticket, entry: SharedBytes, now: Moment) -> Vec<Action> {
        let mut outbox = Outbox::default();
        self.proposals.submit(ticket, entry, now);
        self.tick_proposals(now, &mut outbox);
        self.finish(outbox)
    }

    /// Takes an operator's question how far the newest version has got.
    pub fn query_propagation(&mut self, ticket: Ticket, now: Moment) -> Vec<Action> {
        let mut outbox = Outbox::default();
        let knows = self.settings.source == ConfigSource::Document;
        if knows || self.reader.holds_lease(now) {
            let status = Some(self.spread());
            outbox
                .actions
                .push(Action::AnswerPropagation { ticket, status });
            return self.finish(outbox);
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
            return self.finish(outbox);
        };
        let nonce = self.rng.random();
        let sent = now;
        self.spread_requests.push(SpreadRequest {
            ticket,
            nonce,
            sent,
        });
        outbox.send(&reader, Message::PropagationQuery { nonce });
        self.finish(outbox)
    }

    fn finish(&mut self, outbox: Outbox) -> Vec<Action> {
        let mut actions = outbox.actions;
        for (to, mut message) in outbox.messages {
            self.name_crash_digest(&mut message);
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

    fn notice_freeze(&mut self, now: Moment, outbox: &mut Outbox) {
        let gap = self
            .last_tick
            .map_or(Duration::ZERO, |last| now.since(last));
        self.last_tick = Some(now);
        if gap < self.settings.freeze_threshold {
            return;
        }
        outbox.explain(Decision::Frozen {
            gap_ms: gap.as_millis() as u64,
        });
        self.membership.thaw(now);
        self.crashes.ask_others();
        if !self.reader.holds_lease(now) {
            self.reader.give_up("the process was frozen", outbox);
        }
    }
}

fn first_incarnation(process_epoch: ProcessEpoch) -> Incarnation {
    const MICROS_PER_SECOND: u64 = 1_000_000;
    process_epoch / MICROS_PER_SECOND
}
