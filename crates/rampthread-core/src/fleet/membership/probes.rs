//! Probes: direct, by others, and of nodes thought dead (SWIM, section 4).

use super::{MAX_RELAYS, Membership, Probe, READERS_TOLD, Relay};
use crate::fleet::action::Outbox;
use crate::fleet::member::{MemberRecord, Status};
use crate::fleet::message::{Message, ProbeBody};
use crate::fleet::settings::FleetSettings;
use crate::ids::{NodeId, Version};
use crate::time::Moment;
use rand::Rng;
use rand::seq::{IteratorRandom, SliceRandom};

impl Membership {
    pub(super) fn watch_probe(
        &mut self,
        now: Moment,
        settings: &FleetSettings,
        rng: &mut impl Rng,
        outbox: &mut Outbox,
    ) {
        let direct_wait = self.patience(settings.probe_timeout);
        let whole_wait = self.patience(settings.probe_interval);
        let Some(probe) = &mut self.probe else { return };
        let waited = now.since(probe.sent);
        if !probe.indirect && waited >= direct_wait {
            probe.indirect = true;
            let (target, sequence) = (probe.target.clone(), probe.sequence);
            let helpers: Vec<NodeId> = self
                .reachable_peers()
                .filter(|peer| peer.id != target && peer.status == Status::Alive)
                .map(|peer| peer.id.clone())
                .choose_multiple(rng, settings.indirect_probes);
            for helper in helpers {
                let target = target.clone();
                outbox.send(&helper, Message::PingRequest { sequence, target });
            }
            return;
        }
        if waited >= whole_wait {
            let target = probe.target.clone();
            self.probe = None;
            self.blame_self();
            self.suspect(&target, now, outbox);
        }
    }

    fn suspect(&mut self, target: &NodeId, now: Moment, outbox: &mut Outbox) {
        let Some(member) = self.members.get(target) else {
            return;
        };
        if member.record.status == Status::Alive {
            let mut record = member.record.clone();
            record.status = Status::Suspect;
            self.merge(record, now, outbox);
        }
    }

    pub(super) fn expire_suspects(
        &mut self,
        now: Moment,
        settings: &FleetSettings,
        outbox: &mut Outbox,
    ) {
        let limit = self.patience(settings.suspicion);
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
            self.merge(record, now, outbox);
        }
    }

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
        self.probe = Some(Probe {
            target: target.clone(),
            sequence: self.sequence,
            sent: now,
            indirect: false,
        });
        let body = self.body_for(&target, self.sequence, held, settings);
        outbox.send(&target, Message::Ping(body));
    }

    /// Round robin over a shuffled order, so that every member is probed
    /// within a bounded time (SWIM, section 4.3).
    fn next_target(&mut self, rng: &mut impl Rng) -> Option<NodeId> {
        for _ in 0..2 {
            while let Some(candidate) = self.probe_order.pop() {
                let known = self.members.get(&candidate);
                if known.is_some_and(|member| member.record.reachable()) {
                    return Some(candidate);
                }
            }
            self.probe_order = self.reachable_peers().map(|peer| peer.id.clone()).collect();
            self.probe_order.shuffle(rng);
        }
        None
    }

    /// Regions cut off from each other find each other again this way.
    pub(super) fn try_rejoin(
        &mut self,
        held: Version,
        settings: &FleetSettings,
        rng: &mut impl Rng,
        outbox: &mut Outbox,
    ) {
        let lost: Vec<NodeId> = self
            .members
            .values()
            .filter(|member| member.listed && !member.record.reachable())
            .map(|member| member.record.id.clone())
            .choose_multiple(rng, settings.rejoin_fanout);
        for target in lost {
            if let Some(member) = self.members.get_mut(&target) {
                member.introduced = false;
            }
            let body = self.body_for(&target, 0, held, settings);
            outbox.send(&target, Message::Ping(body));
        }
    }

    /// Handles a probe.
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
        self.take_in(from, &body, now, outbox);
        if !self.members.contains_key(from) {
            return;
        }
        let mut answer = self.body_for(from, body.sequence, held, settings);
        answer.updates.extend(self.better_record_of(from, &body));
        if body.held == Version::ZERO {
            // It has just started: whom to ask for the head of the log.
            let readers = self.readers().take(READERS_TOLD).cloned();
            answer.updates.extend(readers.collect::<Vec<_>>());
        }
        outbox.send(from, Message::Ack(answer));
    }

    /// A restarted sender whose wall clock was set back announces itself below
    /// what is known of its earlier life: it must learn that, to go above it.
    fn better_record_of(&self, from: &NodeId, body: &ProbeBody) -> Option<MemberRecord> {
        let known = &self.members.get(from)?.record;
        let announced = body.updates.iter().find(|record| record.id == *from)?;
        (known.outranks(announced) && known.status == Status::Alive).then(|| known.clone())
    }

    /// Handles the answer to a probe, its own or a relayed one.
    pub fn on_ack(&mut self, from: &NodeId, body: ProbeBody, now: Moment, outbox: &mut Outbox) {
        self.take_in(from, &body, now, outbox);
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
                updates: Vec::new(),
            };
            outbox.send(&relay.requester, Message::Ack(answer));
        }
    }

    /// Probes `target` on behalf of `requester`.
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
        if self.relays.len() >= MAX_RELAYS || !self.members.contains_key(target) {
            return;
        }
        self.sequence += 1;
        self.relays.push(Relay {
            requester: requester.clone(),
            requester_sequence,
            sequence: self.sequence,
            expires: now + settings.probe_interval,
        });
        let body = self.body_for(target, self.sequence, held, settings);
        outbox.send(target, Message::Ping(body));
    }
}
