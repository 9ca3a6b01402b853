//! Failure detection and member table: SWIM (Das, Gupta, Motivala 2002) with suspicion,
//! incarnations, indirect probes and a bounded number of updates per message, plus the local
//! health multiplier of Lifeguard (2017), by which a slow node extends its own timeouts instead
//! of suspecting others.
//!
//! Probes and gossip mostly stay within a zone (docs/DESIGN.md, "Members, by zone"). Only the
//! node that first sees a change sends it to a few members of each other zone, which spread it
//! in their own zone.

mod machines;
mod member_entry;
mod probes;
mod reconcile;
mod relays;
mod updates;
mod zones;

use member_entry::MemberEntry;
use relays::PendingForward;

use super::action::{Decision, Outbox};
use super::member::{Conditions, EndpointRecord, Incarnation, MemberRecord, Status};
use super::message::{Message, ProbeBody};
use super::settings::FleetSettings;
use crate::ids::{NodeId, Version, Zone};
use crate::time::Moment;
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

/// Maximum of the local health score. A higher score means that this node is slower and extends
/// its timeouts more.
const MAX_LOCAL_HEALTH: u32 = 8;
/// Maximum number of probes that this node sends on behalf of peers and that still await an ack.
const MAX_PENDING_RELAYS: usize = 64;
/// Number by which the remaining transmissions of an update are reduced when a peer sends the
/// same update to this node (rumor mongering with feedback, Demers et al. 1987).
const DUPLICATE_UPDATE_COST: u32 = 2;
/// Maximum number of member records of nodes that can read the store in the ack to a member
/// without a configuration version.
const READER_RECORDS_COUNT: usize = 3;
/// Number of consecutive messages from peers with an identical table after which updates are no
/// longer repeated.
const MATCHING_DIGESTS_LIMIT: u32 = 4;
/// Maximum number of members in the own zone that are notified of a departure.
const MAX_DEPARTURE_NOTICES: usize = 64;
/// Number of members per other zone that are notified of a departure. The notices are not
/// repeated, since the process of the departing node ends. With three of them, two may be lost.
const DEPARTURE_NOTICES_PER_ZONE: usize = 3;

/// Direct probe of another member by this node that has no ack yet.
#[derive(Debug)]
struct PendingProbe {
    target: NodeId,
    sequence: u64,
    sent: Moment,
    /// Number of times that the probe was repeated, each time directly and through other
    /// members.
    retries: u32,
}

/// Probe that this node has sent on behalf of a peer and that has no ack yet.
#[derive(Debug)]
struct RelayedProbe {
    /// Peer on whose behalf this node probes.
    requester: NodeId,
    /// Sequence number under which the requester expects the ack.
    requester_sequence: u64,
    /// Sequence number of this node's probe.
    sequence: u64,
    expires: Moment,
}

/// Member table of this node, and the SWIM failure detector that maintains it.
#[derive(Debug)]
pub struct Membership {
    me: MemberRecord,
    /// Incarnation of this node at the start of this run. Records of this node with a lower one
    /// are of an earlier run.
    first_incarnation: Incarnation,
    /// Record of an earlier run of this node, received from a peer.
    previous_run: Option<MemberRecord>,
    members: BTreeMap<NodeId, MemberEntry>,
    /// Members whose updates are gossiped within the zone, each with its remaining transmissions.
    updates: BTreeMap<NodeId, u32>,
    /// Members whose updates this node sends directly to peers in the zone, since it is among the
    /// first in the zone to know them.
    urgent: BTreeSet<NodeId>,
    /// Backend departures that this node has to forward to other members at once.
    pending_forwards: Vec<PendingForward>,
    /// Maximum number of peers in the zone to which an update is sent directly.
    direct_update_fanout: usize,
    /// Members whose change this node was the first to see, each with the remaining rounds of
    /// sending the update to other zones.
    other_zone_updates: BTreeMap<NodeId, u32>,
    /// Number of known members in this node's zone, including itself, whatever their status.
    zone_size: usize,
    /// Other zones known to this node.
    known_zones: BTreeSet<Zone>,
    /// Members of this zone that are still to be probed in the current round; the last one is
    /// next.
    probe_order: Vec<NodeId>,
    /// Direct probe of this node that has no ack yet.
    probe: Option<PendingProbe>,
    /// Probes on behalf of peers that have no ack yet.
    relays: Vec<RelayedProbe>,
    /// Sequence number of this node's last probe.
    sequence: u64,
    /// Local health score, by which this node extends its timeouts.
    local_health: u32,
    next_probe: Moment,
    next_rejoin: Moment,
    next_sync: Moment,
    next_gossip: Moment,
    /// Digest of the member table.
    digest: u64,
    /// Incremented with every change of the member table, so that derived data can be cached.
    revision: u64,
    /// Peer whose last message had a different table digest.
    differing_peer: Option<NodeId>,
    /// Consecutive comparisons of member tables after which the tables still differed, while
    /// there were no updates to send.
    ineffective_comparisons: usize,
    /// Number of consecutive messages whose sender had an identical table.
    matching_digests: u32,
    /// Maximum number of transmissions of one update by this node, divided by the decimal
    /// logarithm of the zone's size.
    retransmit_multiplier: f64,
}

/// Where a member update comes from, which decides to whom this node sends it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum UpdateOrigin {
    /// This node is the first to see the change, as far as it knows. It sends the update to
    /// other zones too.
    Local,
    /// A member of another zone sent the change. Other members of this zone may not know it
    /// yet.
    OtherZone,
    /// A member of this zone sent the change, or every node detects it without an update.
    SameZone,
}

impl Membership {
    /// Creates a member table that contains only this node.
    pub fn new(me: MemberRecord, retransmit_multiplier: f64, now: Moment) -> Self {
        let mut membership = Self {
            first_incarnation: me.incarnation,
            previous_run: None,
            me,
            members: BTreeMap::new(),
            updates: BTreeMap::new(),
            urgent: BTreeSet::new(),
            pending_forwards: Vec::new(),
            direct_update_fanout: usize::MAX,
            other_zone_updates: BTreeMap::new(),
            zone_size: 1,
            known_zones: BTreeSet::new(),
            probe_order: Vec::new(),
            probe: None,
            relays: Vec::new(),
            sequence: 0,
            local_health: 0,
            next_probe: now,
            next_rejoin: now,
            next_sync: now,
            next_gossip: now,
            digest: 0,
            revision: 0,
            differing_peer: None,
            ineffective_comparisons: 0,
            matching_digests: 0,
            retransmit_multiplier,
        };
        membership.refresh_digest();
        membership
    }

    /// Returns this node's own record.
    pub fn me(&self) -> &MemberRecord {
        &self.me
    }

    /// Returns the record of a member. This node is included.
    pub fn record(&self, id: &NodeId) -> Option<&MemberRecord> {
        if *id == self.me.id {
            return Some(&self.me);
        }
        self.members.get(id).map(|member| &member.record)
    }

    /// Returns a counter that rises with every change of the member table, so that data derived
    /// from the table can be cached.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the records of all members, that of this node first.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        std::iter::once(&self.me).chain(self.members.values().map(|member| &member.record))
    }

    /// Returns the reachable members other than this node.
    pub fn reachable_peers(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members
            .values()
            .map(|member| &member.record)
            .filter(|record| record.reachable())
    }

    /// Returns the reachable members to which the store answers, this node included.
    pub fn readers(&self) -> impl Iterator<Item = &MemberRecord> {
        self.records()
            .filter(|record| record.reachable() && record.conditions.reader)
    }

    /// Announces changed conditions of this node or a changed state of its backend.
    pub fn announce(&mut self, conditions: Conditions, endpoint: Option<&EndpointRecord>) {
        if self.me.conditions == conditions && self.me.endpoint.as_ref() == endpoint {
            return;
        }
        self.me.conditions = conditions;
        self.me.endpoint = endpoint.cloned();
        self.raise_incarnation(self.me.incarnation);
    }

    /// Announces to other members that this node leaves the cluster.
    pub fn leave(&mut self, rng: &mut impl Rng, outbox: &mut Outbox) {
        self.me.status = Status::Left;
        self.raise_incarnation(self.me.incarnation);
        let mut targets = self.random_same_zone_peers(MAX_DEPARTURE_NOTICES, rng);
        targets.extend(self.random_other_zone_peers(DEPARTURE_NOTICES_PER_ZONE, rng));
        for target in targets {
            let body = ProbeBody {
                updates: vec![self.me.clone()],
                ..ProbeBody::default()
            };
            outbox.send(&target, Message::Ack(body));
        }
    }

    /// Announces this node with an incarnation above the given one.
    fn raise_incarnation(&mut self, above: Incarnation) {
        self.me.incarnation = self.me.incarnation.max(above) + 1;
        self.matching_digests = 0;
        let id = self.me.id.clone();
        self.queue_update(id, UpdateOrigin::Local);
        self.refresh_digest();
    }

    /// Returns a timeout extended by the local health score, so that a slow node does not suspect
    /// other members because of its own delays.
    fn scaled_timeout(&self, base: Duration) -> Duration {
        base * (1 + self.local_health)
    }

    /// Raises the local health score after a sign that this node is slow itself. A higher score
    /// extends this node's timeouts.
    fn raise_local_health_score(&mut self) {
        self.local_health = (self.local_health + 1).min(MAX_LOCAL_HEALTH);
    }

    /// Resets all running timeouts after this process was suspended, so that no member is
    /// declared dead because of messages missed in that time.
    pub fn reset_after_freeze(&mut self, now: Moment) {
        self.probe = None;
        self.relays.clear();
        self.local_health = MAX_LOCAL_HEALTH;
        for member in self.members.values_mut() {
            member.since = now;
        }
    }

    /// Sends due probes and updates, and expires suspected members and dead ones that
    /// neither the settings nor the platform's list of machines name.
    pub fn tick(
        &mut self,
        now: Moment,
        held: Version,
        settings: &FleetSettings,
        rng: &mut impl Rng,
        outbox: &mut Outbox,
    ) {
        self.direct_update_fanout = settings.direct_update_fanout;
        self.check_probe(now, held, settings, rng, outbox);
        self.expire_suspects(now, settings, outbox);
        if now >= self.next_probe {
            self.next_probe = now + settings.probe_interval;
            self.start_probe(now, held, settings, rng, outbox);
        }
        if now >= self.next_rejoin {
            self.next_rejoin = now + settings.rejoin_interval;
            self.try_rejoin(held, settings, rng, outbox);
            self.remove_unlisted(now);
        }
        if now >= self.next_gossip {
            self.gossip_updates(now, held, settings, rng, outbox);
        }
        if now >= self.next_sync {
            self.next_sync = now + settings.sync_interval.mul_f64(rng.random_range(0.5..1.5));
            self.compare_with_differing_peer(rng, outbox);
        }
        self.relays.retain(|relay| relay.expires > now);
    }

    /// Merges the member updates in a probe or ack, and compares the digests of the member
    /// tables.
    fn merge_probe_body(
        &mut self,
        from: &NodeId,
        body: &ProbeBody,
        now: Moment,
        outbox: &mut Outbox,
    ) {
        let origin = self.origin_of(from);
        let departures = self.new_departures(from, body);
        for record in &body.updates {
            self.merge_record(record.clone(), origin, now, outbox);
        }
        self.queue_forward(from, departures, self.direct_update_fanout);
        self.differing_peer = None;
        if body.digest != self.digest {
            self.differing_peer = Some(from.clone());
            self.matching_digests = 0;
            return;
        }
        self.matching_digests += 1;
        if self.matching_digests >= MATCHING_DIGESTS_LIMIT {
            // The recent senders have an identical member table, so the updates have spread. A
            // member that still lacks an update gets it when two members compare their tables.
            self.updates.clear();
        }
    }

    /// Returns the origin of updates that the member `sender` has sent.
    fn origin_of(&self, sender: &NodeId) -> UpdateOrigin {
        let zone = self.record(sender).map(|record| &record.zone);
        if zone == Some(&self.me.zone) {
            UpdateOrigin::SameZone
        } else {
            UpdateOrigin::OtherZone
        }
    }

    /// Merges the record of a member into the table if it outranks the known one.
    fn merge_record(
        &mut self,
        record: MemberRecord,
        origin: UpdateOrigin,
        now: Moment,
        outbox: &mut Outbox,
    ) {
        if record.id == self.me.id {
            self.refute(&record);
            return;
        }
        let known = self.members.get(&record.id);
        if let Some(member) = known
            && !record.outranks(&member.record)
        {
            if !member.record.outranks(&record) {
                self.reduce_transmissions(&record.id);
            }
            return;
        }
        let status_changed = known.is_none_or(|member| member.record.status != record.status);
        if status_changed {
            outbox.log_decision(Decision::MemberChanged {
                id: record.id.clone(),
                status: record.status,
                incarnation: record.incarnation,
            });
        }
        let same_run = known.is_some_and(|member| member.sent_own_record && !status_changed);
        let member = MemberEntry {
            since: known
                .filter(|_| !status_changed)
                .map_or(now, |member| member.since),
            listed: known.is_some_and(|member| member.listed),
            sent_own_record: same_run,
            previous_backend: known.and_then(|member| member.previous_backend_after(&record)),
            record,
        };
        let id = member.record.id.clone();
        // Peers whose table was identical so far may lack this update.
        self.matching_digests = 0;
        self.digest ^= record_digest(&member.record);
        self.revision += 1;
        let in_my_zone = member.record.zone == self.me.zone;
        let zone = member.record.zone.clone();
        match self.members.insert(id.clone(), member) {
            Some(replaced) => self.digest ^= record_digest(&replaced.record),
            None => self.zone_size += usize::from(in_my_zone),
        }
        self.discover_zone(&zone);
        self.queue_update(id, origin);
    }

    /// Handles a record of this node that a peer holds. If the record says that this node is
    /// suspect or dead, this node announces itself with a higher incarnation. A record of an
    /// earlier run is kept for its backend.
    fn refute(&mut self, record: &MemberRecord) {
        if record.incarnation < self.first_incarnation {
            self.keep_previous_run(record);
        }
        let newer = record.incarnation > self.me.incarnation;
        let doubted = record.incarnation == self.me.incarnation && record.status > self.me.status;
        if !newer && !doubted {
            return;
        }
        if doubted {
            self.raise_local_health_score();
        }
        self.raise_incarnation(record.incarnation);
    }

    /// Keeps a record of an earlier run of this node that contains a backend. The highest
    /// incarnation wins.
    fn keep_previous_run(&mut self, record: &MemberRecord) {
        let newer = |kept: &MemberRecord| kept.incarnation < record.incarnation;
        if record.endpoint.is_some() && self.previous_run.as_ref().is_none_or(newer) {
            self.previous_run = Some(record.clone());
        }
    }

    /// Returns the backend announced by an earlier run of this node if a peer has sent it since
    /// the last call.
    pub fn take_previous_backend(&mut self) -> Option<EndpointRecord> {
        self.previous_run.take().and_then(|record| record.endpoint)
    }

    fn refresh_digest(&mut self) {
        self.revision += 1;
        self.digest = self
            .records()
            .map(record_digest)
            .fold(0, |sum, one| sum ^ one);
    }
}

/// Returns a digest of the fields that decide whether a record outranks another.
fn record_digest(record: &MemberRecord) -> u64 {
    let mut hasher = DefaultHasher::new();
    record.id.hash(&mut hasher);
    record.incarnation.hash(&mut hasher);
    record.status.hash(&mut hasher);
    hasher.finish()
}
