//! Snapshot of a zone in the platform's store, and which member writes it.
//!
//! The store holds one snapshot per zone with its members and their backends. A starting node
//! reads all snapshots in one call, so that its cost does not depend on the size of the fleet.
//! With one record per node, the bytes read at a start of all nodes would grow with the square
//! of their number.
//!
//! One member writes: the first of the reachable members in rendezvous order. A write is
//! conditional on the revision that the writer has read and keeps every member found there, so
//! that concurrent writers never undo each other's changes. The next members in the order take
//! over if the writer does not write.
//!
//! While the store is empty, no node knows the members of its zone. A few randomly chosen nodes
//! write the first snapshot of their zone early. The others read the store again later and add
//! themselves to the existing snapshot.

use super::action::LeaseId;
use super::member::{EndpointRecord, Machine, MemberRecord};
use super::membership::Membership;
use crate::backend_incarnation::BackendIncarnation;
use crate::ids::{InstanceId, NodeId, Zone};
use crate::rendezvous;
use crate::time::Moment;
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Minimum time for which the zone must differ from its snapshot before a write. Changes come
/// in groups and each write costs a store call. A new node does not depend on an up-to-date
/// snapshot, since the members in it tell it the rest.
const SETTLE_DELAY: Duration = Duration::from_secs(2);
/// Additional delay for each further member in the rendezvous order before it writes the
/// snapshot. It leaves the previous member enough time to repeat a lost write.
const TAKEOVER_DELAY_PER_RANK: Duration = Duration::from_secs(5);
/// Number of members in rendezvous order that may write the snapshot. One remains if the writer
/// and two others fail at once.
const WRITER_CANDIDATE_COUNT: usize = 4;
/// Time after which an unreachable member is dropped from the snapshot. Members hidden by a
/// network partition must be found again when it heals.
const UNREACHABLE_RETENTION: Duration = Duration::from_secs(600);
/// Interval between renewals of the snapshot's lease. A third of the lease, so that a failed
/// renewal can be repeated in time.
const RENEW_INTERVAL: Duration = Duration::from_secs(200);
/// While the store is empty, one in this many nodes writes its zone's snapshot early. With
/// 1,000 nodes that makes about 60 calls, most of which are rejected.
const EARLY_WRITE_ONE_IN: u32 = 16;
/// Delay in milliseconds between a node's first read of the store and its early write of the
/// first snapshot, if the node was drawn to write early ([`EARLY_WRITE_ONE_IN`]).
const EARLY_WRITE_DELAY_MS: std::ops::Range<u64> = 200..1_000;
/// Delay in milliseconds between the first and the second read of the nodes that were not drawn
/// to write early. Eventually consistent reads can lag by two seconds.
const SECOND_READ_DELAY_MS: std::ops::Range<u64> = 3_000..3_800;
/// Delay per rank for reads after the store was restored, so that members earlier in the
/// rendezvous order read and write the snapshot first.
const RESTORED_DELAY_PER_RANK: Duration = Duration::from_secs(3);
/// Maximum number of departure records deleted by one write. The platform limits a transaction
/// to 32 changes, and the snapshot takes two of them.
const MAX_DEPARTURES_PER_WRITE: usize = 30;

/// Snapshot of a zone as read from or written to the store.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ZoneSnapshot {
    /// Members of the zone, each with its backend.
    pub members: BTreeMap<NodeId, Machine>,
    /// Store revision of the last change; 0 if the store has no snapshot.
    pub revision: u64,
    /// Lease in the store with which the snapshot expires; 0 if it has none.
    pub lease: LeaseId,
}

/// Key of a backend departure that a node has recorded in the store.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct DepartureId {
    /// Node whose backend departed.
    pub node: NodeId,
    /// Incarnation of the backend that departed.
    pub instance: InstanceId,
}

/// A conditional write of a zone snapshot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneWrite {
    /// New content of the snapshot, with the revision and the lease that it replaces.
    pub snapshot: ZoneSnapshot,
    /// True if the snapshot has to be attached to a lease. The first snapshot of a zone is
    /// written without one: most first writes are rejected, and a lease costs another call.
    pub with_lease: bool,
    /// Recorded departures that are redundant once the snapshot is written, and are deleted
    /// with it.
    pub departures: Vec<DepartureId>,
}

/// Next store operation of a zone directory, requested by [`ZoneDirectory::next_step`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ZoneStep {
    /// Read the snapshots of all zones.
    Read {
        /// True if the read must return the latest state. Other reads may be eventually
        /// consistent.
        consistent: bool,
    },
    /// Write the snapshot of this node's zone.
    Write(ZoneWrite),
    /// Renew the lease with which the snapshot expires.
    Renew(LeaseId),
}

/// Schedule by which a node that found no snapshot of its zone and knows no other member writes
/// the first snapshot.
#[derive(Debug, Clone, Copy)]
struct FirstWrite {
    /// Time of the write, or of the second read that precedes it.
    at: Moment,
    /// True if the node has to read the store again before it writes.
    reads_again: bool,
}

/// One node's state for keeping the snapshot of its zone in the store up to date.
#[derive(Debug)]
pub struct ZoneDirectory {
    zone: Zone,
    stored: ZoneSnapshot,
    /// Time of the last read of the store. `None` before the first read, and after a write with
    /// unknown outcome.
    last_read: Option<Moment>,
    first_write: Option<FirstWrite>,
    /// Since when the members of the zone differ from the stored snapshot.
    differs_since: Option<Moment>,
    next_renewal: Moment,
    /// Rank of this node among the members that may write the snapshot, valid for the revision
    /// `ranked_at` of the member table.
    rank: usize,
    ranked_at: Option<u64>,
    /// Revisions of the member table and of the stored snapshot at which both had the same
    /// content.
    in_sync_at: Option<(u64, u64)>,
    /// Recorded backend departures from the last read.
    departures: BTreeSet<DepartureId>,
    /// Time at which the store was restored from an older copy, until the next read.
    restored: Option<Moment>,
    /// Members that the stored snapshot had before the store was restored from an older copy.
    /// The older copy may lack them.
    members_before_restore: BTreeMap<NodeId, Machine>,
}

impl ZoneDirectory {
    /// Creates the state of a node in `zone` that has not read the store yet.
    pub fn new(zone: Zone) -> Self {
        Self {
            zone,
            stored: ZoneSnapshot::default(),
            last_read: None,
            first_write: None,
            differs_since: None,
            next_renewal: Moment::default(),
            rank: 0,
            ranked_at: None,
            in_sync_at: None,
            departures: BTreeSet::new(),
            restored: None,
            members_before_restore: BTreeMap::new(),
        }
    }

    /// Handles the result of a read: the snapshot of this node's zone and the recorded
    /// departures. A snapshot older than the known one is ignored.
    pub fn on_read(
        &mut self,
        snapshot: Option<&ZoneSnapshot>,
        departures: impl IntoIterator<Item = DepartureId>,
        now: Moment,
        rng: &mut impl Rng,
    ) {
        let first = self.last_read.is_none();
        self.last_read = Some(now);
        self.departures = departures.into_iter().collect();
        match snapshot {
            Some(snapshot) if snapshot.revision >= self.stored.revision => {
                self.stored = snapshot.clone();
            }
            Some(_) => {}
            None if first && self.stored.revision == 0 => {
                self.first_write = Some(draw_first_write(now, rng));
            }
            None => {}
        }
    }

    /// Returns the call to the store that this node has to make now, if any.
    pub fn next_step(&mut self, now: Moment, membership: &Membership) -> Option<ZoneStep> {
        if let Some(restored) = self.restored {
            return self.step_after_restore(restored, now, membership);
        }
        if self.last_read.is_none() {
            return Some(ZoneStep::Read { consistent: true });
        }
        if self.stored.revision == 0 && membership.same_zone_peers().next().is_none() {
            return self.first_write_step(now, membership);
        }
        self.update_rank(membership);
        if self.rank >= WRITER_CANDIDATE_COUNT {
            self.differs_since = None;
            return None;
        }
        let compared = (membership.revision(), self.stored.revision);
        if self.in_sync_at == Some(compared) {
            return self.renewal_step(now);
        }
        let members = self.desired_members(now, membership);
        if members == self.stored.members && self.stored.lease != 0 {
            self.members_before_restore.clear();
            self.in_sync_at = Some(compared);
            self.differs_since = None;
            return self.renewal_step(now);
        }
        let since = *self.differs_since.get_or_insert(now);
        let due = since + SETTLE_DELAY + TAKEOVER_DELAY_PER_RANK * self.rank as u32;
        if now < due {
            return None;
        }
        if self.rank > 0 && self.last_read.is_some_and(|last_read| last_read < due) {
            return Some(ZoneStep::Read { consistent: false });
        }
        Some(self.write_step(members))
    }

    /// Records the snapshot that this node has successfully written to the store.
    pub fn on_written(&mut self, written: ZoneSnapshot, now: Moment) {
        self.stored = written;
        self.members_before_restore.clear();
        self.first_write = None;
        self.differs_since = None;
        self.next_renewal = now + RENEW_INTERVAL;
    }

    /// Handles a write of the snapshot that was rejected because another node has written in
    /// the meantime; `current` is the stored snapshot.
    pub fn on_conflict(&mut self, current: Option<&ZoneSnapshot>, now: Moment) {
        self.first_write = None;
        self.differs_since = Some(now);
        match current {
            Some(current) => self.stored = current.clone(),
            None => self.reset_stored(),
        }
    }

    /// Returns true if the store has no snapshot of this zone as far as this node knows.
    pub fn is_first(&self) -> bool {
        self.stored.revision == 0
    }

    /// Handles a write of the snapshot with unknown outcome: it may have taken effect, or may
    /// still do so.
    pub fn on_write_unknown(&mut self) {
        self.last_read = None;
    }

    /// Handles the renewal of the lease. If the lease has expired (`exists` is false), the
    /// snapshot is gone as well.
    pub fn on_renewed(&mut self, exists: bool, now: Moment) {
        self.next_renewal = now + RENEW_INTERVAL;
        if !exists {
            self.reset_stored();
        }
    }

    /// Handles a restore of the store from an older copy. Previous revisions and leases are
    /// invalid. The previous members are kept for the next write.
    pub fn on_store_restored(&mut self, now: Moment) {
        self.members_before_restore
            .extend(std::mem::take(&mut self.stored.members));
        self.reset_stored();
        self.first_write = None;
        self.in_sync_at = None;
        self.differs_since = None;
        self.departures.clear();
        self.next_renewal = now;
        self.restored = Some(now);
    }

    /// Handles a notice from a peer that the store was restored. The member that writes the
    /// snapshot reads the store again.
    pub fn on_restore_notice(&mut self, membership: &Membership) {
        self.update_rank(membership);
        if self.rank == 0 {
            self.last_read = None;
        }
    }

    /// Returns the step that is due after a restore of the store. The writer reads the store at
    /// once, further candidates some seconds later each, in case the writer fails. Other
    /// members of the zone do not read.
    fn step_after_restore(
        &mut self,
        restored: Moment,
        now: Moment,
        membership: &Membership,
    ) -> Option<ZoneStep> {
        self.update_rank(membership);
        if self.rank >= WRITER_CANDIDATE_COUNT
            || now < restored + RESTORED_DELAY_PER_RANK * self.rank as u32
        {
            return None;
        }
        self.restored = None;
        Some(ZoneStep::Read { consistent: true })
    }

    /// Forgets the stored snapshot, so that the next step reads the store as after a start.
    fn reset_stored(&mut self) {
        self.stored = ZoneSnapshot::default();
        self.last_read = None;
    }

    /// Returns the step of a node that found no snapshot of its zone and knows no other member.
    fn first_write_step(&mut self, now: Moment, membership: &Membership) -> Option<ZoneStep> {
        let first = self.first_write.as_mut()?;
        if now < first.at {
            return None;
        }
        if std::mem::replace(&mut first.reads_again, false) {
            return Some(ZoneStep::Read { consistent: false });
        }
        let members = self.desired_members(now, membership);
        Some(self.write_step(members))
    }

    /// Returns the renewal of the lease if this node writes the snapshot and the renewal is
    /// due.
    fn renewal_step(&mut self, now: Moment) -> Option<ZoneStep> {
        let due = self.rank == 0 && self.stored.lease != 0 && now >= self.next_renewal;
        due.then_some(ZoneStep::Renew(self.stored.lease))
    }

    /// Returns the write of a snapshot with these members, and the departure records that it
    /// makes redundant.
    fn write_step(&self, members: BTreeMap<NodeId, Machine>) -> ZoneStep {
        let recorded = self.departures.iter().filter(|departure| {
            let machine = members.get(&departure.node);
            machine.is_some_and(|machine| implies_departure(machine, departure))
        });
        let mut departures: BTreeSet<DepartureId> = recorded.cloned().collect();
        for machine in members.values() {
            departures.extend(self.redundant_departure(machine));
        }
        ZoneStep::Write(ZoneWrite {
            departures: departures
                .into_iter()
                .take(MAX_DEPARTURES_PER_WRITE)
                .collect(),
            with_lease: self.stored.revision > 0,
            snapshot: ZoneSnapshot {
                members,
                ..self.stored
            },
        })
    }

    /// Returns the departure that may be recorded for `machine` and that the snapshot makes
    /// redundant: the snapshot itself says that the backend departs, or that another
    /// incarnation has followed.
    fn redundant_departure(&self, machine: &Machine) -> Option<DepartureId> {
        let endpoint = machine.endpoint.as_ref()?;
        let stored = self.stored.members.get(&machine.id);
        let stored = stored.and_then(|machine| machine.endpoint.as_ref());
        let instance = match stored {
            Some(stored) if stored.instance != endpoint.instance => &stored.instance,
            Some(stored) if stored.draining => return None,
            _ if endpoint.draining => &endpoint.instance,
            _ => return None,
        };
        Some(DepartureId {
            node: machine.id.clone(),
            instance: instance.clone(),
        })
    }

    /// Computes this node's rank among the members that may write the snapshot. Members known
    /// only from the snapshot are included, since they may have written it just now.
    fn update_rank(&mut self, membership: &Membership) {
        if self.ranked_at == Some(membership.revision()) {
            return;
        }
        self.ranked_at = Some(membership.revision());
        let me = &membership.me().id;
        let rank = rendezvous::rank(self.zone.as_str(), me, membership.same_zone_peers());
        self.rank = rank.min(WRITER_CANDIDATE_COUNT);
    }

    /// Returns the members that the snapshot should have: the stored and the known members,
    /// without those that have been unreachable for [`UNREACHABLE_RETENTION`].
    fn desired_members(&self, now: Moment, membership: &Membership) -> BTreeMap<NodeId, Machine> {
        let mut members = self.stored.members.clone();
        members.extend(self.members_before_restore.clone());
        for record in membership.records() {
            if record.zone != self.zone || record.incarnation == 0 {
                continue;
            }
            let unreachable_since = membership.unreachable_since(&record.id);
            if unreachable_since.is_some_and(|since| now.since(since) >= UNREACHABLE_RETENTION) {
                members.remove(&record.id);
                continue;
            }
            let endpoint = known_endpoint(record, members.get(&record.id));
            members.insert(record.id.clone(), to_machine(record, endpoint));
        }
        members
    }
}

/// Returns the backend to store for a member. A member that has just restarted announces no
/// backend yet and will read it from the snapshot, so the stored backend is kept.
fn known_endpoint(record: &MemberRecord, stored: Option<&Machine>) -> Option<EndpointRecord> {
    let announced = record.endpoint.clone();
    let stored = stored.and_then(|machine| machine.endpoint.clone());
    let without_age = |endpoint| EndpointRecord {
        sequence: 0,
        cold_ms: 0,
        speed_percent: None,
        ..endpoint
    };
    announced.or(stored).map(without_age)
}

/// Converts the record of a member to its entry in the snapshot.
fn to_machine(record: &MemberRecord, endpoint: Option<EndpointRecord>) -> Machine {
    Machine {
        id: record.id.clone(),
        address: record.address,
        zone: record.zone.clone(),
        region: record.region.clone(),
        leaving: false,
        endpoint,
    }
}

/// Returns true if the snapshot entry `machine` already says that the backend in `departure`
/// has departed or was followed by a newer one.
fn implies_departure(machine: &Machine, departure: &DepartureId) -> bool {
    let Some(endpoint) = &machine.endpoint else {
        return false;
    };
    match endpoint.instance == departure.instance {
        true => endpoint.draining,
        false => started_before(&departure.instance, &endpoint.instance),
    }
}

/// Returns true if both incarnation names contain a start time and that of `instance` is
/// earlier.
fn started_before(instance: &InstanceId, other: &InstanceId) -> bool {
    let born = |instance| BackendIncarnation::from_name(instance).started_at();
    match (born(instance), born(other)) {
        (Some(born), Some(other)) => born < other,
        _ => false,
    }
}

/// Draws at random whether and when this node writes the first snapshot of its zone early.
fn draw_first_write(now: Moment, rng: &mut impl Rng) -> FirstWrite {
    let early = rng.random_ratio(1, EARLY_WRITE_ONE_IN);
    let delay = match early {
        true => rng.random_range(EARLY_WRITE_DELAY_MS),
        false => rng.random_range(SECOND_READ_DELAY_MS),
    };
    FirstWrite {
        at: now + Duration::from_millis(delay),
        reads_again: !early,
    }
}

/// Returns the backend that a starting node restores: the one from the zone snapshot, unless
/// the node has recorded a departure that is not known to be of an earlier incarnation. Thus an
/// acknowledged departure survives the loss of all nodes that knew about it.
pub fn recorded_backend(
    snapshot: Option<EndpointRecord>,
    departures: impl IntoIterator<Item = EndpointRecord>,
) -> Option<EndpointRecord> {
    departures
        .into_iter()
        .fold(snapshot, |known, departure| match known {
            Some(known) if started_before(&departure.instance, &known.instance) => Some(known),
            _ => Some(departure),
        })
}
