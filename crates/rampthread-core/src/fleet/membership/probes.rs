//! Direct and indirect probes, and probes of dead members (SWIM, section 4).

use super::{
    MAX_PENDING_RELAYS, Membership, PendingProbe, READER_RECORDS_COUNT, RelayedProbe, UpdateOrigin,
};
use crate::fleet::action::Outbox;
use crate::fleet::member::{MemberRecord, Status};
use crate::fleet::message::{Message, ProbeBody};
use crate::fleet::settings::FleetSettings;
use crate::ids::{NodeId, Version};
use crate::time::Moment;
use rand::Rng;
use rand::seq::{IteratorRandom, SliceRandom};

/// Maximum number of times that an unanswered probe is repeated before the next probe is due.
const PROBE_RETRIES: u32 = 2;
/// Number of members of this node's zone that it probes after its start. If a third of all
/// members are down, at least one of them answers in 99 of 100 cases.
const FIRST_CONTACT_COUNT: usize = 4;
/// Share of this node's probes that go to other zones with a suspect member, if there are any.
/// Thus the loss of a whole zone is detected within a few rounds of probes.
const SUSPECT_ZONE_PROBE_RATIO: f64 = 0.5;

impl Membership {
    /// Repeats the pending probe after each timeout, and marks its target as suspect if no ack
    /// arrived within the probe interval.
    pub(super) fn check_probe(
        &mut self,
        now: Moment,
        held: Version,
        settings: &FleetSettings,
        rng: &mut impl Rng,
        outbox: &mut Outbox,
    ) {
        let direct_wait = self.scaled_timeout(settings.probe_timeout);
        let whole_wait = self.scaled_timeout(settings.probe_interval);
        let Some(probe) = &mut self.probe else { return };
        let waited = now.since(probe.sent);
        let retry_due = waited >= direct_wait * (probe.retries + 1);
        if retry_due && probe.retries < PROBE_RETRIES {
            probe.retries += 1;
            let (target, sequence) = (probe.target.clone(), probe.sequence);
            self.retry_probe(&target, sequence, held, settings, rng, outbox);
            return;
        }
        if waited >= whole_wait {
            let target = probe.target.clone();
            self.probe = None;
            self.raise_local_health_score();
            self.mark_suspect(&target, now, outbox);
        }
    }

    /// Repeats a probe, directly and through other members, so that a single lost datagram does
    /// not cause a suspicion.
    fn retry_probe(
        &mut self,
        target: &NodeId,
        sequence: u64,
        held: Version,
        settings: &FleetSettings,
        rng: &mut impl Rng,
        outbox: &mut Outbox,
    ) {
        let body = self.body_for(target, sequence, held, settings);
        outbox.send(target, Message::Ping(body));
        for prober in self.indirect_probers(target, settings.indirect_probes, rng) {
            let target = target.clone();
            outbox.send(&prober, Message::PingRequest { sequence, target });
        }
    }

    /// Selects members for an indirect probe from the zones of the target and of this node.
    fn indirect_probers(&self, target: &NodeId, count: usize, rng: &mut impl Rng) -> Vec<NodeId> {
        let target_zone = self.record(target).map(|record| record.zone.clone());
        self.reachable_peers()
            .filter(|peer| peer.id != *target && peer.status == Status::Alive)
            .filter(|peer| peer.zone == self.me.zone || Some(&peer.zone) == target_zone.as_ref())
            .map(|peer| peer.id.clone())
            .choose_multiple(rng, count)
    }

    /// Changes the status of an alive member to suspect.
    fn mark_suspect(&mut self, target: &NodeId, now: Moment, outbox: &mut Outbox) {
        let Some(member) = self.members.get(target) else {
            return;
        };
        if member.record.status == Status::Alive {
            let mut record = member.record.clone();
            record.status = Status::Suspect;
            self.merge_record(record, UpdateOrigin::Local, now, outbox);
        }
    }

    /// Declares members dead that stayed suspect for the suspicion timeout.
    pub(super) fn expire_suspects(
        &mut self,
        now: Moment,
        settings: &FleetSettings,
        outbox: &mut Outbox,
    ) {
        let limit = self.scaled_timeout(settings.suspicion_timeout);
        let expired: Vec<MemberRecord> = self
            .members
            .values()
            .filter(|member| member.record.status == Status::Suspect)
            .filter(|member| now.since(member.since) >= limit)
            .map(|member| MemberRecord {
                status: Status::Dead,
                ..member.record.clone()
            })
            .collect();
        for record in expired {
            // All nodes that know of the suspicion declare the member dead by themselves, so
            // this node treats the update as already known in its zone.
            self.merge_record(record, UpdateOrigin::SameZone, now, outbox);
        }
    }

    /// Sends the next probe unless one is pending.
    pub(super) fn start_probe(
        &mut self,
        now: Moment,
        held: Version,
        settings: &FleetSettings,
        rng: &mut impl Rng,
        outbox: &mut Outbox,
    ) {
        if self.probe.is_some() {
            return;
        }
        let Some(target) = self.next_target(rng) else {
            return;
        };
        self.sequence += 1;
        self.probe = Some(PendingProbe {
            target: target.clone(),
            sequence: self.sequence,
            sent: now,
            retries: 0,
        });
        let body = self.body_for(&target, self.sequence, held, settings);
        outbox.send(&target, Message::Ping(body));
    }

    /// Selects the next probe target: mostly a member of this zone, in round-robin order over a
    /// shuffled list, so that each is probed within a bounded time (SWIM, section 4.3). One
    /// probe per round and zone goes to another zone, so that every member gets one probe per
    /// round on average, whatever the sizes of the zones.
    fn next_target(&mut self, rng: &mut impl Rng) -> Option<NodeId> {
        if rng.random_bool(SUSPECT_ZONE_PROBE_RATIO)
            && let Some(peer) = self.peer_of_suspect_zone(rng)
        {
            return Some(peer);
        }
        let to_other_zone = rng.random_ratio(1, self.zone_size as u32);
        if to_other_zone && let Some(peer) = self.random_other_zone_peer(rng) {
            return Some(peer);
        }
        self.next_same_zone_target(rng)
            .or_else(|| self.random_other_zone_peer(rng))
    }

    fn next_same_zone_target(&mut self, rng: &mut impl Rng) -> Option<NodeId> {
        for _ in 0..2 {
            while let Some(candidate) = self.probe_order.pop() {
                let known = self.members.get(&candidate);
                if known.is_some_and(|member| member.record.reachable()) {
                    return Some(candidate);
                }
            }
            self.probe_order = self.same_zone_peers().cloned().collect();
            self.probe_order.shuffle(rng);
        }
        None
    }

    /// Probes members that are considered dead but named by the settings or the platform's list
    /// of machines, so that the sides of a network partition find each other when it ends.
    pub(super) fn try_rejoin(
        &mut self,
        held: Version,
        settings: &FleetSettings,
        rng: &mut impl Rng,
        outbox: &mut Outbox,
    ) {
        let mut dead = self.unreachable_members(true);
        dead = dead
            .into_iter()
            .choose_multiple(rng, settings.rejoin_fanout);
        // All members of this zone together probe about `rejoin_fanout` members of other zones
        // per rejoin interval.
        let share = settings.rejoin_fanout as f64 / self.zone_size as f64;
        if rng.random_bool(share.min(1.0)) {
            dead.extend(self.unreachable_members(false).into_iter().choose(rng));
        }
        for target in dead {
            if let Some(member) = self.members.get_mut(&target) {
                member.sent_own_record = false;
            }
            let body = self.body_for(&target, 0, held, settings);
            outbox.send(&target, Message::Ping(body));
        }
    }

    /// Returns the unreachable members that the settings or the platform's list of machines name:
    /// those in this node's zone if `same_zone` is true, otherwise those in other zones.
    fn unreachable_members(&self, same_zone: bool) -> Vec<NodeId> {
        self.members
            .values()
            .filter(|member| member.listed && !member.record.reachable())
            .filter(|member| (member.record.zone == self.me.zone) == same_zone)
            .map(|member| member.record.id.clone())
            .collect()
    }

    /// Handles a probe of this node by the member `from`, and sends the ack.
    #[allow(clippy::too_many_arguments)]
    pub fn on_ping(
        &mut self,
        from: &NodeId,
        body: ProbeBody,
        now: Moment,
        held: Version,
        settings: &FleetSettings,
        outbox: &mut Outbox,
    ) {
        self.merge_probe_body(from, &body, now, outbox);
        if !self.members.contains_key(from) {
            return;
        }
        let mut answer = self.body_for(from, body.sequence, held, settings);
        answer.updates.extend(self.newer_record_of(from, &body));
        answer.updates.extend(self.previous_run_of(from));
        if body.held == Version::ZERO {
            // The sender has just started: these are the readers that it can query for the head
            // of the log.
            let readers = self.readers().take(READER_RECORDS_COUNT).cloned();
            answer.updates.extend(readers.collect::<Vec<_>>());
        }
        outbox.send(from, Message::Ack(answer));
    }

    /// Returns the known record of a restarted sender that announces itself with a lower
    /// incarnation, because its wall clock was set back. The sender must continue above the
    /// known incarnation.
    fn newer_record_of(&self, from: &NodeId, body: &ProbeBody) -> Option<MemberRecord> {
        let known = &self.members.get(from)?.record;
        let announced = body.updates.iter().find(|record| record.id == *from)?;
        (known.outranks(announced) && known.status == Status::Alive).then(|| known.clone())
    }

    /// Returns the backend that a restarted sender announced in its previous run. Peers have
    /// more recent data than the store.
    fn previous_run_of(&self, from: &NodeId) -> Option<MemberRecord> {
        let member = self.members.get(from)?;
        let endpoint = member.previous_backend.clone()?;
        Some(MemberRecord {
            incarnation: 0,
            endpoint: Some(endpoint),
            ..member.record.clone()
        })
    }

    /// Probes some members as soon as this node knows any. Their acks contain their configuration
    /// versions and what they know of this node's previous run.
    pub fn contact_first_peers(
        &mut self,
        held: Version,
        settings: &FleetSettings,
        rng: &mut impl Rng,
        outbox: &mut Outbox,
    ) {
        let mut targets = self.random_same_zone_peers(FIRST_CONTACT_COUNT, rng);
        targets.extend(self.random_other_zone_peer(rng));
        for target in targets {
            let body = self.body_for(&target, 0, held, settings);
            outbox.send(&target, Message::Ping(body));
        }
    }

    /// Handles the ack of a probe that this node has sent on its own or on behalf of a peer.
    pub fn on_ack(&mut self, from: &NodeId, body: ProbeBody, now: Moment, outbox: &mut Outbox) {
        self.merge_probe_body(from, &body, now, outbox);
        let awaited = self
            .probe
            .as_ref()
            .is_some_and(|probe| probe.sequence == body.sequence);
        if awaited {
            self.probe = None;
            self.local_health = self.local_health.saturating_sub(1);
            return;
        }
        let relay = self
            .relays
            .iter()
            .position(|relay| relay.sequence == body.sequence);
        if let Some(index) = relay {
            let relay = self.relays.swap_remove(index);
            let answer = ProbeBody {
                sequence: relay.requester_sequence,
                held: body.held,
                digest: self.digest,
                ..ProbeBody::default()
            };
            outbox.send(&relay.requester, Message::Ack(answer));
        }
    }

    /// Probes the member `target` on behalf of the peer `requester`, which got no ack.
    #[allow(clippy::too_many_arguments)]
    pub fn on_ping_request(
        &mut self,
        requester: &NodeId,
        requester_sequence: u64,
        target: &NodeId,
        now: Moment,
        held: Version,
        settings: &FleetSettings,
        outbox: &mut Outbox,
    ) {
        if self.relays.len() >= MAX_PENDING_RELAYS || !self.members.contains_key(target) {
            return;
        }
        self.sequence += 1;
        self.relays.push(RelayedProbe {
            requester: requester.clone(),
            requester_sequence,
            sequence: self.sequence,
            expires: now + settings.probe_interval,
        });
        let body = self.body_for(target, self.sequence, held, settings);
        outbox.send(target, Message::Ping(body));
    }
}
