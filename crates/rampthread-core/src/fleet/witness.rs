//! Activation of versions, and the restart floor.
//!
//! A node loses its memory when its process ends, but must never activate a version below one
//! that its previous run has activated. That bound is the *restart floor*. Therefore a majority
//! of the node's *witness nodes* records a version before the node activates it. Witness nodes
//! are the first nodes of the region in rendezvous order of the node's id, among the nodes that
//! the configuration itself names. Every process thus computes the same set from the same
//! version.
//!
//! A version whose set of witness nodes differs from that of the active version needs a
//! majority of both sets. Each record names the set that it was made for. After a restart, a
//! majority of the set of version *x* confirms the restart floor only with records for that
//! same set and not above *x*. A record above *x* means that *x* is outdated: the node catches
//! up and queries again.

use super::action::{Decision, Outbox};
use super::message::{Message, ProcessEpoch, WitnessRecord, WitnessSetId};
use super::settings::FleetSettings;
use crate::config::ConfigState;
use crate::ids::{NodeId, Region, Version};
use crate::rendezvous;
use crate::time::Moment;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Minimum size of a set of witness nodes. With fewer candidates none are used, and a restarted
/// node has to wait for the store.
const MIN_WITNESSES: usize = 3;
/// Maximum number of staged configurations that wait for witness nodes. The oldest is dropped
/// beyond that.
const MAX_PENDING_VERSIONS: usize = 64;

/// Witness nodes of one node, as named by one version of the configuration. A witness node
/// records the versions that the other node activates.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct WitnessSet {
    members: BTreeSet<NodeId>,
}

impl WitnessSet {
    /// Selects `count` witness nodes for the node `id` among the nodes of its region that
    /// `state` names. Returns an empty set if there are too few.
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

    /// Returns a digest of the witness nodes' ids, which names the set in records.
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

    /// Returns how many witness nodes make a majority of the set.
    fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Returns true if a majority of the witness nodes satisfies `test`, or if the set is
    /// empty.
    fn agrees(&self, test: impl Fn(&NodeId) -> bool) -> bool {
        self.members.is_empty()
            || self.members.iter().filter(|member| test(member)).count() >= self.majority()
    }
}

/// Staged configuration whose version its witness nodes have not recorded yet.
#[derive(Debug)]
struct PendingVersion {
    state: Arc<ConfigState>,
    /// Witness nodes that have to record the version.
    set: WitnessSet,
}

/// What the witness nodes say about the restart floor, the lowest version that a restarted node
/// may activate.
#[derive(Debug, PartialEq, Eq)]
pub enum FloorStatus {
    /// Too few replies of witness nodes were usable so far.
    Undecided,
    /// The previous run has activated this version. The node must catch up with it and query
    /// again.
    CatchUp(Version),
    /// A majority of the witness nodes confirmed that the node may activate the version it
    /// asked about. Contains the restart floor.
    Confirmed(Version),
}

/// Moves configurations from staged to active once the witness nodes have recorded their
/// versions.
#[derive(Debug)]
pub struct VersionActivation {
    me: NodeId,
    region: Region,
    active: Arc<ConfigState>,
    active_set: WitnessSet,
    pending: VecDeque<PendingVersion>,
    /// Highest version acknowledged by each witness node.
    acknowledged: BTreeMap<NodeId, Version>,
    /// Latest known process epoch of each witness node.
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

    /// Stages a newer configuration and asks the witness nodes to record its version.
    pub fn stage(
        &mut self,
        state: Arc<ConfigState>,
        now: Moment,
        settings: &FleetSettings,
        outbox: &mut Outbox,
    ) {
        let set = WitnessSet::of(&self.me, &self.region, &state, settings.witness_count);
        if self.pending.len() >= MAX_PENDING_VERSIONS {
            self.pending.pop_front();
        }
        self.pending.push_back(PendingVersion { state, set });
        self.next_repeat = now + settings.query_retry_interval;
        self.send_records(outbox);
    }

    /// Asks the witness nodes of the active and of all staged versions to record the newest
    /// staged version.
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

    /// Handles the acknowledgement of `version` by the witness node `from`. Version 0 only
    /// reports the witness node's current process epoch.
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

    /// Asks one witness node to record the newest staged version.
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

    /// Sets the witness nodes that confirmed the restart floor. Their majority must also
    /// acknowledge the next version before that is activated.
    pub fn start_from(&mut self, set: WitnessSet) {
        self.active_set = set;
    }

    /// Activates the newest staged configuration whose version the witness nodes have recorded,
    /// and returns it.
    ///
    /// The witness nodes of the active version, of the new one and of all in between must
    /// agree, since a restarted process may start from any of these versions.
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

    /// Removes all witness nodes, so that versions are activated without them. Correct only if
    /// the store itself decides on versions, and in tests.
    #[doc(hidden)]
    pub fn advance_without_witnesses(&mut self) {
        self.active_set = WitnessSet::default();
        for pending in &mut self.pending {
            pending.set = WitnessSet::default();
        }
    }

    /// Repeats the requests to record a version that witness nodes have not acknowledged.
    pub fn tick(&mut self, now: Moment, settings: &FleetSettings, outbox: &mut Outbox) {
        if self.pending.is_empty() || now < self.next_repeat {
            return;
        }
        self.next_repeat = now + settings.query_retry_interval;
        self.log_pending(outbox);
        self.send_records(outbox);
    }

    /// Logs once per version which witness nodes have not acknowledged it.
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

/// Versions that this node has recorded for other nodes, as their witness node.
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

    /// Returns the number of nodes for which this witness node has a record.
    pub fn len(&self) -> usize {
        self.records.len()
    }
}

/// Query of a restarted node to its witness nodes for the version that they recorded for its
/// previous run, with the replies received so far.
#[derive(Debug, Default)]
pub struct FloorQuery {
    nonce: u64,
    set: WitnessSet,
    answers: BTreeMap<NodeId, WitnessRecord>,
    /// Highest version known to any witness node that replied.
    newest_known: Version,
}

impl FloorQuery {
    /// Sends the query to the witness nodes that `state` names for the node `me`.
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

    /// Handles the reply of a witness node. The reply does not count if the witness node has no
    /// record for this node.
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

    /// Returns the witness nodes to which this node has sent the query.
    pub fn set(&self) -> &WitnessSet {
        &self.set
    }

    /// Returns what the replies so far say about activating a configuration at `version`.
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
