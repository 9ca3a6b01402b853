//! Activation of versions, and the version floor after a restart.
//!
//! A node loses its memory when its process ends, but must never serve a version below one that
//! it served before. Therefore a majority of the node's *witnesses* records a version before
//! the node activates it. Witnesses are the first nodes of the region in rendezvous order of
//! the node's id, among the nodes that the configuration itself names. Every process thus
//! computes the same set from the same version.
//!
//! A version whose witness set differs from the active one needs a majority of both sets. Each
//! record names the set that it was made for. After a restart, a majority of the set of version
//! *x* confirms the floor only with records for that same set and not above *x*. A record above
//! *x* means that *x* is outdated: the node catches up and queries again.

use super::action::{Decision, Outbox};
use super::message::{Message, ProcessEpoch, WitnessRecord, WitnessSetId};
use super::settings::FleetSettings;
use crate::config::ConfigState;
use crate::ids::{NodeId, Region, Version};
use crate::rendezvous;
use crate::time::Moment;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Minimum size of a witness set. With fewer candidates no witnesses are used, and a restarted
/// node has to wait for the store.
const MIN_WITNESSES: usize = 3;
/// Maximum number of staged states that await their witnesses. The oldest is dropped beyond
/// that.
const MAX_PENDING: usize = 64;

/// The nodes that record the versions of one node, as named by a given configuration.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct WitnessSet {
    members: BTreeSet<NodeId>,
}

impl WitnessSet {
    /// Returns the witnesses of `id` under `state`, or an empty set if there are too few
    /// candidates.
    pub fn of(id: &NodeId, region: &Region, state: &ConfigState, count: usize) -> Self {
        let candidates = state
            .backends()
            .filter(|backend| backend.node != *id && backend.region == *region)
            .map(|backend| (backend.node.clone(), backend.zone.clone()));
        let members = rendezvous::select_across_zones(id.as_str(), candidates, count);
        if members.len() < MIN_WITNESSES {
            return Self::default();
        }
        Self {
            members: members.into_iter().collect(),
        }
    }

    /// Returns a digest of the members, which identifies the set in records.
    pub fn id(&self) -> WitnessSetId {
        let mut hasher = blake3::Hasher::new();
        for member in &self.members {
            hasher.update(member.as_str().as_bytes());
            hasher.update(&[0]);
        }
        let mut first = [0_u8; 8];
        first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        u64::from_le_bytes(first)
    }

    fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Returns true if a majority of the set satisfies `test`, or if the set is empty.
    fn agrees(&self, test: impl Fn(&NodeId) -> bool) -> bool {
        self.members.is_empty()
            || self.members.iter().filter(|member| test(member)).count() >= self.majority()
    }
}

#[derive(Debug)]
struct Pending {
    state: Arc<ConfigState>,
    set: WitnessSet,
}

/// Result of asking the witnesses for the lowest version that a restarted node may activate.
#[derive(Debug, PartialEq, Eq)]
pub enum FloorStatus {
    /// Too few replies of witnesses were usable so far.
    Undecided,
    /// The node has held this version before its restart. It must catch up and query again.
    CatchUp(Version),
    /// A majority confirmed that the node may activate the version it asked about. Contains the
    /// floor.
    Confirmed(Version),
}

/// Moves configurations from staged to active once the witnesses have recorded their versions.
#[derive(Debug)]
pub struct VersionActivation {
    me: NodeId,
    region: Region,
    active: Arc<ConfigState>,
    active_set: WitnessSet,
    pending: VecDeque<Pending>,
    /// Highest version acknowledged by each witness.
    acknowledged: BTreeMap<NodeId, Version>,
    /// Latest known process epoch of each witness.
    epochs: BTreeMap<NodeId, ProcessEpoch>,
    next_repeat: Moment,
    logged: Version,
}

impl VersionActivation {
    /// Creates the state of a node without an active version.
    pub fn new(me: NodeId, region: Region) -> Self {
        Self {
            me,
            region,
            active: Arc::new(ConfigState::default()),
            active_set: WitnessSet::default(),
            pending: VecDeque::new(),
            acknowledged: BTreeMap::new(),
            epochs: BTreeMap::new(),
            next_repeat: Moment::default(),
            logged: Version::ZERO,
        }
    }

    /// Returns the active configuration.
    pub fn active(&self) -> &Arc<ConfigState> {
        &self.active
    }

    /// Returns the active version.
    pub fn version(&self) -> Version {
        self.active.version()
    }

    /// Stages a newer state and asks the witnesses to record it.
    pub fn stage(
        &mut self,
        state: Arc<ConfigState>,
        now: Moment,
        settings: &FleetSettings,
        outbox: &mut Outbox,
    ) {
        let set = WitnessSet::of(&self.me, &self.region, &state, settings.witness_count);
        if self.pending.len() >= MAX_PENDING {
            self.pending.pop_front();
        }
        self.pending.push_back(Pending { state, set });
        self.next_repeat = now + settings.query_retry_interval;
        self.send_records(outbox);
    }

    /// Sends the newest pending version to the witnesses of the active set and all pending
    /// sets.
    fn send_records(&self, outbox: &mut Outbox) {
        let Some(newest) = self.pending.back() else {
            return;
        };
        let version = newest.state.version();
        let mut sets = vec![&self.active_set];
        sets.extend(self.pending.iter().map(|pending| &pending.set));
        let receivers: BTreeSet<&NodeId> = sets.iter().flat_map(|set| &set.members).collect();
        for witness in receivers {
            if self.acknowledged.get(witness) < Some(&version) {
                self.send_record(witness, outbox);
            }
        }
    }

    /// Handles the acknowledgement of `version` by a witness. Version 0 only tells the
    /// witness's current process epoch.
    pub fn on_ack(
        &mut self,
        from: &NodeId,
        process_epoch: ProcessEpoch,
        version: Version,
        outbox: &mut Outbox,
    ) {
        let known_epoch = self.epochs.insert(from.clone(), process_epoch);
        if known_epoch != Some(process_epoch) {
            self.acknowledged.remove(from);
            self.send_record(from, outbox);
        }
        if version == Version::ZERO {
            return;
        }
        let acknowledged_version = self.acknowledged.entry(from.clone()).or_default();
        *acknowledged_version = version.max(*acknowledged_version);
    }

    fn send_record(&self, witness: &NodeId, outbox: &mut Outbox) {
        let Some(newest) = self.pending.back() else {
            return;
        };
        let record = WitnessRecord {
            version: newest.state.version(),
            set: newest.set.id(),
        };
        let witness_epoch = self.epochs.get(witness).copied().unwrap_or_default();
        outbox.send(
            witness,
            Message::Record {
                record,
                witness_epoch,
            },
        );
    }

    /// Sets the witness set that confirmed the floor after a restart. Its majority must also
    /// acknowledge the next version before that is activated.
    pub fn start_from(&mut self, set: WitnessSet) {
        self.active_set = set;
    }

    /// Activates the newest pending state that may become active now and returns it.
    ///
    /// All sets from the active one up to the new one must agree, since a restarted process may
    /// start from any version in between.
    pub fn advance(&mut self) -> Option<Arc<ConfigState>> {
        let mut ready = None;
        for (index, pending) in self.pending.iter().enumerate() {
            let version = pending.state.version();
            let has_acknowledged =
                |member: &NodeId| self.acknowledged.get(member) >= Some(&version);
            let agreed = self.active_set.agrees(has_acknowledged)
                && self
                    .pending
                    .iter()
                    .take(index + 1)
                    .all(|one| one.set.agrees(has_acknowledged));
            if agreed {
                ready = Some(index);
            }
        }
        let last = ready?;
        let adopted = self.pending.drain(..=last).next_back()?;
        self.active = adopted.state;
        self.active_set = adopted.set;
        Some(self.active.clone())
    }

    /// Clears every witness set, so that versions activate without witnesses. Right only where
    /// the store itself decides on versions, and in tests.
    #[doc(hidden)]
    pub fn advance_without_witnesses(&mut self) {
        self.active_set = WitnessSet::default();
        for pending in &mut self.pending {
            pending.set = WitnessSet::default();
        }
    }

    /// Repeats unacknowledged records to the witnesses.
    pub fn tick(&mut self, now: Moment, settings: &FleetSettings, outbox: &mut Outbox) {
        if self.pending.is_empty() || now < self.next_repeat {
            return;
        }
        self.next_repeat = now + settings.query_retry_interval;
        self.log_pending(outbox);
        self.send_records(outbox);
    }

    fn log_pending(&mut self, outbox: &mut Outbox) {
        let Some(newest) = self.pending.back() else {
            return;
        };
        let version = newest.state.version();
        if self.logged >= version {
            return;
        }
        self.logged = version;
        let missing = newest
            .set
            .members
            .iter()
            .filter(|member| self.acknowledged.get(*member) < Some(&version))
            .cloned()
            .collect();
        outbox.log_decision(Decision::AdoptionWaits { version, missing });
    }
}

/// Versions that this node has recorded for other nodes as their witness.
#[derive(Debug, Default)]
pub struct WitnessRecords {
    records: BTreeMap<NodeId, WitnessRecord>,
}

impl WitnessRecords {
    /// Records that the node `id` will hold a version. Returns the version on record, which
    /// never decreases.
    pub fn record_version(&mut self, id: &NodeId, record: WitnessRecord) -> Version {
        let recorded = self.records.entry(id.clone()).or_insert(record);
        if record.version >= recorded.version {
            *recorded = record;
        }
        recorded.version
    }

    /// Returns the record of the node `id`, or `None` if this process has none.
    pub fn record(&self, id: &NodeId) -> Option<WitnessRecord> {
        self.records.get(id).copied()
    }

    /// Returns the number of nodes with a record at this witness.
    pub fn len(&self) -> usize {
        self.records.len()
    }
}

/// Query of a restarted node to its witnesses, with the replies received so far.
#[derive(Debug, Default)]
pub struct FloorQuery {
    nonce: u64,
    set: WitnessSet,
    answers: BTreeMap<NodeId, WitnessRecord>,
    /// Highest version known to any witness that replied.
    newest_known: Version,
}

impl FloorQuery {
    /// Queries the witnesses that `state` names for `me`.
    pub fn send(
        &mut self,
        me: &NodeId,
        region: &Region,
        state: &ConfigState,
        settings: &FleetSettings,
        nonce: u64,
        outbox: &mut Outbox,
    ) {
        let set = WitnessSet::of(me, region, state, settings.witness_count);
        if set != self.set {
            self.answers.clear();
        }
        self.set = set;
        self.nonce = nonce;
        for witness in &self.set.members {
            outbox.send(witness, Message::FloorQuery { nonce });
        }
    }

    /// Handles the reply of a witness. A witness without a record for this node does not count.
    pub fn on_answer(
        &mut self,
        from: &NodeId,
        nonce: u64,
        record: Option<WitnessRecord>,
        newest_known: Version,
    ) {
        if nonce != self.nonce || !self.set.members.contains(from) {
            return;
        }
        self.newest_known = self.newest_known.max(newest_known);
        match record {
            Some(record) => self.answers.insert(from.clone(), record),
            None => self.answers.remove(from),
        };
    }

    /// Returns the witness set of the query.
    pub fn set(&self) -> &WitnessSet {
        &self.set
    }

    /// Returns what the replies say about activating a configuration at `version`.
    pub fn status(&self, version: Version) -> FloorStatus {
        let recorded = self.answers.values().map(|record| record.version).max();
        let Some(recorded) = recorded else {
            return FloorStatus::Undecided;
        };
        let highest = recorded.max(self.newest_known);
        if highest > version {
            return FloorStatus::CatchUp(highest);
        }
        let set = self.set.id();
        let usable = self
            .answers
            .values()
            .filter(|record| record.set == set)
            .count();
        if self.set.members.is_empty() || usable < self.set.majority() {
            return FloorStatus::Undecided;
        }
        FloorStatus::Confirmed(highest)
    }
}
