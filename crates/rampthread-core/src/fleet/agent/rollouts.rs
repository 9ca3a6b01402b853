//! A node's part in rollouts of new software versions. Document watchers read rollout
//! orders from the store, all nodes gossip rollout states, and entry nodes (which receive
//! calls from callers) report response evidence for the versions to the decider, the node
//! that holds the decision lease.
//!
//! A new rollout state is forwarded at once to a few members, so that it reaches a fleet of
//! any size in a few gossip rounds. The decider also sends changes that affect callers
//! directly to many members. A state that only confirms that the decider is alive is
//! forwarded once. Nodes send nothing while there is no rollout order.

use super::Agent;
use crate::fleet::action::{Action, Decision, Outbox};
use crate::fleet::message::{Message, ProcessEpoch};
use crate::ids::{NodeId, ResourceName, SoftwareVersion};
use crate::rendezvous;
use crate::rollout::decider::{DeciderContext, DeciderOutput};
use crate::rollout::table::OrderSource;
use crate::rollout::{
    Decider, DeciderResponse, RolloutBounds, RolloutOrder, RolloutState, RolloutTable,
    VersionEvidence, VersionRule,
};
use crate::time::Moment;
use std::collections::BTreeMap;
use std::time::Duration;

/// Number of members of the same zone to which a node sends rollout states in a gossip
/// round.
const LOCAL_ZONE_FANOUT: usize = 3;
/// Number of members of each other zone to which a node sends rollout changes that affect
/// callers in a gossip round. States that only confirm the decider go to one member of one
/// other zone.
const REMOTE_ZONE_FANOUT: usize = 1;
/// Number of members to which the decider sends rollout changes directly.
const DIRECT_FANOUT: usize = 96;
/// Number of gossip rounds in which a node forwards a rollout change that affects callers.
const CHANGE_GOSSIP_ROUNDS: u32 = 3;
/// Interval between gossip rounds of rollout states.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(150);
/// Shortest interval between two reports of response evidence from one node.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between reports of response evidence per member of the fleet, where the product
/// exceeds [`MIN_REPORT_INTERVAL`]. It limits the decider's load to about 330 reports per
/// second in a fleet of any size.
const REPORT_INTERVAL_PER_MEMBER: Duration = Duration::from_millis(3);
/// Interval between full reports of response evidence. Reports in between omit unchanged
/// rows; the full ones make up for lost messages and inform a new decider.
const FULL_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of rows of response evidence in one datagram; a row has about 60 bytes.
const ROWS_PER_MESSAGE: usize = 20;
/// Time without a confirmation of an open rollout after which a node queries peers for its
/// state; the decider confirms it twice a second.
const STALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between queries to peers for rollout states.
const QUERY_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between queries to peers for rollout states after [`FAST_QUERY_COUNT`] queries
/// brought no newer state.
const SLOW_QUERY_INTERVAL: Duration = Duration::from_secs(10);
/// Interval between queries to peers for the state of a stalled rollout after
/// [`FAST_QUERY_COUNT`] queries: the rollout may have ended long ago.
const STALL_QUERY_INTERVAL: Duration = Duration::from_secs(2);
/// Number of queries for rollout states sent at [`QUERY_INTERVAL`] before a node slows
/// down.
const FAST_QUERY_COUNT: u32 = 8;
/// Rendezvous key of the order in which document watchers take over as rollout decider.
const DECIDERS_KEY: &str = "roll-out deciders";

/// Rollouts on one node: known rollout states, response evidence from its callers' calls,
/// and its role as decider.
#[derive(Debug)]
pub(super) struct RolloutParticipant {
    bounds: RolloutBounds,
    /// States of all rollouts known to this node.
    table: RolloutTable,
    /// Decision logic of the rollout decider, active only while this node holds the
    /// decision lease.
    decider: Decider,
    /// Services whose rollout state is still to be forwarded, with the number of gossip
    /// rounds left.
    pending_gossip: BTreeMap<ResourceName, u32>,
    next_gossip: Moment,
    /// Response evidence for the versions in rollout, from calls of this node's callers.
    evidence: Vec<VersionEvidence>,
    /// The response evidence has changed since the last report.
    evidence_is_new: bool,
    next_report: Moment,
    /// Response evidence as last reported; unchanged rows are omitted until the next full
    /// report.
    reported: Vec<VersionEvidence>,
    next_full_report: Moment,
    /// Time of the next query to a peer for rollout states.
    next_query: Moment,
    /// Number of queries for rollout states sent in a row while this node lacks a newer
    /// state.
    unanswered_queries: u32,
}

impl RolloutParticipant {
    /// Creates the rollout state of the node `me`, which knows no rollout yet.
    pub(super) fn new(me: NodeId, bounds: RolloutBounds) -> Self {
        Self {
            bounds,
            table: RolloutTable::default(),
            decider: Decider::new(me, bounds),
            pending_gossip: BTreeMap::new(),
            next_gossip: Moment::default(),
            evidence: Vec::new(),
            evidence_is_new: false,
            next_report: Moment::default(),
            reported: Vec::new(),
            next_full_report: Moment::default(),
            next_query: Moment::default(),
            unanswered_queries: 0,
        }
    }
}

impl Agent {
    /// Handles rollout orders from the store: just written, or already there when this node
    /// read it.
    pub fn on_rollout_orders(
        &mut self,
        orders: &[RolloutOrder],
        source: OrderSource,
        now: Moment,
    ) -> Vec<Action> {
        let mut outbox = Outbox::default();
        let Some(rollouts) = &mut self.rollouts else {
            return Vec::new();
        };
        let mut new = Vec::new();
        for order in orders {
            if rollouts.table.accept_order(order, source, now) {
                new.extend(rollouts.table.state(&order.service, now));
            } else if source == OrderSource::NewWrite {
                // The order was written again, so the store may have lost its records of
                // the decision.
                rollouts.decider.recheck(now);
            }
        }
        for state in &new {
            outbox.log_decision(decision(state, "the order was read"));
        }
        match source {
            OrderSource::NewWrite => self.broadcast_states(new, now, &mut outbox),
            // The order was in the store before this node read it, e.g. at the node's start.
            // Peers probably know a later state, so gossip suffices.
            OrderSource::Existing => {
                self.queue_gossip(&new, 1, now);
                outbox.actions.push(Action::RolloutsChanged);
            }
        }
        self.tick_rollouts(now, &mut outbox);
        self.collect_actions(outbox)
    }

    /// Invalidates a decision lease that the store granted before it was restored from an
    /// older copy.
    pub(super) fn invalidate_decision_lease(&mut self, now: Moment) {
        if let Some(rollouts) = &mut self.rollouts {
            rollouts.decider.on_store_restored(&rollouts.table, now);
        }
    }

    /// Records the response evidence for versions in rollout from calls of this node's
    /// callers. It is reported to the decider later.
    pub fn record_version_evidence(&mut self, evidence: Vec<VersionEvidence>) {
        if let Some(rollouts) = &mut self.rollouts
            && rollouts.evidence != evidence
        {
            rollouts.evidence = evidence;
            rollouts.evidence_is_new = true;
        }
    }

    /// Handles the response of the store to a request of the decision logic.
    pub fn on_decider_response(&mut self, answer: DeciderResponse, now: Moment) -> Vec<Action> {
        let mut outbox = Outbox::default();
        if let Some(rollouts) = &mut self.rollouts {
            let table = &mut rollouts.table;
            let step = rollouts.decider.on_response(answer, table, now);
            self.apply_decider_step(step, now, &mut outbox);
        }
        self.tick_rollouts(now, &mut outbox);
        self.collect_actions(outbox)
    }

    /// States of all rollouts known to this node, as of `now`.
    pub fn rollouts(&self, now: Moment) -> Vec<RolloutState> {
        let rollouts = self.rollouts.as_ref();
        rollouts.map_or_else(Vec::new, |rollouts| rollouts.table.states(now))
    }

    /// Rule for each service in rollout which share of calls entry nodes may send to the
    /// new version.
    pub fn version_rules(&self, now: Moment) -> BTreeMap<ResourceName, VersionRule> {
        let rollouts = self.rollouts.as_ref();
        rollouts.map_or_else(BTreeMap::new, |rollouts| {
            rollouts.table.rules(&rollouts.bounds, now)
        })
    }

    /// True while this node holds the lease to decide about rollouts.
    pub fn is_rollout_decider(&self, now: Moment) -> bool {
        let rollouts = self.rollouts.as_ref();
        rollouts.is_some_and(|rollouts| rollouts.decider.holds_lease(now))
    }

    /// Advances the decision logic, gossip, queries and reports of response evidence.
    pub(super) fn tick_rollouts(&mut self, now: Moment, outbox: &mut Outbox) {
        let idle = |rollouts: &RolloutParticipant| rollouts.table.is_empty();
        if self.rollouts.as_ref().is_none_or(idle) {
            self.query_peers(now, outbox);
            return;
        }
        let rank = self.decider_rank();
        let eligible = self.store_watch.is_watching();
        let Some(rollouts) = &mut self.rollouts else {
            return;
        };
        let membership = &self.membership;
        let slots = |service: &ResourceName, version: &SoftwareVersion| {
            let mut slots = (0, 0);
            for record in membership.records().filter(|record| record.reachable()) {
                let Some(endpoint) = &record.endpoint else {
                    continue;
                };
                if endpoint.service != *service || endpoint.draining {
                    continue;
                }
                let sum: &mut u32 = match endpoint.version.as_ref() == Some(version) {
                    true => &mut slots.0,
                    false => &mut slots.1,
                };
                *sum = sum.saturating_add(endpoint.slots);
            }
            slots
        };
        let context = DeciderContext {
            eligible,
            rank,
            slots: &slots,
            evidence_collection_time: FULL_REPORT_INTERVAL
                + report_interval(membership.records().count()),
        };
        let step = rollouts.decider.tick(&mut rollouts.table, &context, now);
        self.apply_decider_step(step, now, outbox);
        self.gossip_states(now, outbox);
        self.query_peers(now, outbox);
        self.report_evidence(now, outbox);
    }

    /// Queries a peer for rollout states when this node may have missed updates: a known
    /// rollout has stalled, or backends of a service run different versions and no rollout
    /// of the service is known.
    fn query_peers(&mut self, now: Moment, outbox: &mut Outbox) {
        let Some(rollouts) = &self.rollouts else {
            return;
        };
        if now < rollouts.next_query {
            return;
        }
        let silence = rollouts.table.longest_silence(now);
        let is_stalled = silence.is_some_and(|silence| silence >= STALL_TIMEOUT);
        let known = rollouts.table.states(now);
        let versions_unknown = self.has_unknown_versions(now);
        let is_behind = is_stalled || versions_unknown;
        // A peer replies with the states of the listed rollouts, or of all when the list is
        // empty.
        let queried = if versions_unknown { Vec::new() } else { known };
        let peer = self.membership.random_peer_preferring_zone(&mut self.rng);
        let Some(rollouts) = &mut self.rollouts else {
            return;
        };
        rollouts.unanswered_queries = if is_behind {
            rollouts.unanswered_queries + 1
        } else {
            0
        };
        let pause = match rollouts.unanswered_queries > FAST_QUERY_COUNT {
            true if is_stalled => STALL_QUERY_INTERVAL,
            true => SLOW_QUERY_INTERVAL,
            false => QUERY_INTERVAL,
        };
        rollouts.next_query = now + pause;
        if let Some(peer) = peer.filter(|_| is_behind) {
            outbox.send(&peer, Message::Rollouts(queried));
        }
    }

    /// True when backends of a service run different versions and no rollout of the service
    /// is known.
    fn has_unknown_versions(&self, now: Moment) -> bool {
        let mut versions: BTreeMap<&ResourceName, &SoftwareVersion> = BTreeMap::new();
        let known = self.version_rules(now);
        let records = self
            .membership
            .records()
            .filter(|record| record.reachable());
        for endpoint in records.filter_map(|record| record.endpoint.as_ref()) {
            let Some(version) = &endpoint.version else {
                continue;
            };
            let first = versions.entry(&endpoint.service).or_insert(version);
            if *first != version && !known.contains_key(&endpoint.service) {
                return true;
            }
        }
        false
    }

    /// Number of document watchers that precede this node in the order of takeover as
    /// decider.
    fn decider_rank(&self) -> u32 {
        let me = &self.identity.id;
        let mine = rendezvous::weight(DECIDERS_KEY, me);
        let watchers = self.store_watch.selected_watchers().iter();
        watchers
            .filter(|peer| *peer != me && rendezvous::weight(DECIDERS_KEY, peer) > mine)
            .count() as u32
    }

    /// Logs the decisions of one step of the decision logic, sends its store request and
    /// distributes the changed rollout states.
    fn apply_decider_step(&mut self, step: DeciderOutput, now: Moment, outbox: &mut Outbox) {
        for made in &step.decisions {
            outbox.log_decision(decision(&made.state, &made.reason));
        }
        if let Some(call) = step.request {
            outbox.actions.push(Action::AskDeciderStore(call));
        }
        let changed = |sent: &RolloutState| {
            let made = step.decisions.iter();
            made.clone().any(|made| made.state.service == sent.service)
        };
        let (changes, confirmations): (Vec<_>, Vec<_>) =
            step.updates.into_iter().partition(changed);
        self.broadcast_states(changes, now, outbox);
        self.queue_gossip(&confirmations, 1, now);
    }

    /// Sends rollout changes that affect callers to many members at once.
    fn broadcast_states(&mut self, states: Vec<RolloutState>, now: Moment, outbox: &mut Outbox) {
        if states.is_empty() {
            return;
        }
        self.queue_gossip(&states, CHANGE_GOSSIP_ROUNDS, now);
        outbox.actions.push(Action::RolloutsChanged);
        let peers = self
            .membership
            .reachable_peers()
            .map(|peer| peer.id.clone());
        let order = rendezvous::order(self.identity.id.as_str(), peers);
        for peer in order.iter().take(DIRECT_FANOUT) {
            outbox.send(peer, Message::Rollouts(states.clone()));
        }
    }

    /// Schedules rollout states for the next gossip rounds.
    fn queue_gossip(&mut self, states: &[RolloutState], rounds: u32, now: Moment) {
        let Some(rollouts) = &mut self.rollouts else {
            return;
        };
        for state in states {
            let left = rollouts
                .pending_gossip
                .entry(state.service.clone())
                .or_default();
            *left = (*left).max(rounds);
            rollouts.next_gossip = now;
        }
    }

    /// Sends the scheduled rollout states to some members when a gossip round is due.
    fn gossip_states(&mut self, now: Moment, outbox: &mut Outbox) {
        let Some(rollouts) = &mut self.rollouts else {
            return;
        };
        if rollouts.pending_gossip.is_empty() || now < rollouts.next_gossip {
            return;
        }
        rollouts.next_gossip = now + GOSSIP_INTERVAL;
        let due = std::mem::take(&mut rollouts.pending_gossip);
        let services = due.keys();
        let states: Vec<RolloutState> = services
            .filter_map(|service| rollouts.table.state(service, now))
            .collect();
        let changes = due.values().any(|left| *left > 1);
        let further = due.into_iter().filter(|(_, left)| *left > 1);
        rollouts.pending_gossip = further.map(|(service, left)| (service, left - 1)).collect();
        let mut targets = self
            .membership
            .random_same_zone_peers(LOCAL_ZONE_FANOUT, &mut self.rng);
        if changes {
            targets.extend(
                self.membership
                    .random_other_zone_peers(REMOTE_ZONE_FANOUT, &mut self.rng),
            );
        } else {
            targets.extend(self.membership.random_other_zone_peer(&mut self.rng));
        }
        for target in &targets {
            outbox.send(target, Message::Rollouts(states.clone()));
        }
    }

    /// Merges rollout states from a peer, and replies with those that are newer on this
    /// node.
    pub(super) fn on_rollouts(
        &mut self,
        from: &NodeId,
        states: Vec<RolloutState>,
        now: Moment,
        outbox: &mut Outbox,
    ) {
        let requests_all = states.is_empty();
        let mut newer_states = match requests_all {
            true => self.rollouts(now),
            false => Vec::new(),
        };
        for state in states {
            let Some(rollouts) = &mut self.rollouts else {
                return;
            };
            let known = rollouts.table.state(&state.service, now);
            if rollouts.table.merge(state.clone(), now) {
                let changed = known.is_none_or(|known| !state.has_same_decision(&known));
                let rounds = if changed { CHANGE_GOSSIP_ROUNDS } else { 1 };
                if changed {
                    outbox.actions.push(Action::RolloutsChanged);
                }
                self.queue_gossip(&[state], rounds, now);
            } else if let Some(known) = known
                && (known.order, known.phase) > (state.order, state.phase)
            {
                newer_states.push(known);
            }
        }
        if !newer_states.is_empty() {
            outbox.send(from, Message::Rollouts(newer_states));
        }
        self.gossip_states(now, outbox);
    }

    /// Sends the states of all known rollouts to a peer that has restarted and lost them.
    pub(super) fn send_states_to_restarted_peer(
        &self,
        peer: &NodeId,
        now: Moment,
        outbox: &mut Outbox,
    ) {
        let states = self.rollouts(now);
        if !states.is_empty() {
            outbox.send(peer, Message::Rollouts(states));
        }
    }

    /// Records a peer's response evidence for versions in rollout; it is used only while
    /// this node is the decider.
    pub(super) fn on_version_evidence(
        &mut self,
        from: &NodeId,
        process_epoch: ProcessEpoch,
        evidence: &[VersionEvidence],
    ) {
        if let Some(rollouts) = &mut self.rollouts {
            rollouts.decider.on_evidence(from, process_epoch, evidence);
        }
    }

    /// Sends response evidence to the deciders of the rollouts when a report is due.
    fn report_evidence(&mut self, now: Moment, outbox: &mut Outbox) {
        let Some(rollouts) = &mut self.rollouts else {
            return;
        };
        // All rows of response evidence are repeated at intervals, also without new calls:
        // datagrams with changed rows may have been lost.
        let is_open = !rollouts.evidence.is_empty() && rollouts.table.has_open();
        let full_report_due = is_open && now >= rollouts.next_full_report;
        let due = rollouts.evidence_is_new || full_report_due;
        if !due || now < rollouts.next_report {
            return;
        }
        let members = self.membership.records().count();
        rollouts.next_report = now + report_interval(members);
        rollouts.evidence_is_new = false;
        if now >= rollouts.next_full_report {
            rollouts.next_full_report = now + FULL_REPORT_INTERVAL;
            rollouts.reported.clear();
        }
        let reported = std::mem::replace(&mut rollouts.reported, rollouts.evidence.clone());
        let changed_rows = rollouts
            .evidence
            .iter()
            .filter(|seen| !reported.contains(seen));
        let mut by_decider: BTreeMap<NodeId, Vec<VersionEvidence>> = BTreeMap::new();
        for seen in changed_rows {
            let state = rollouts.table.state(&seen.service, now);
            let open = state.filter(|state| !state.phase.is_ended() && state.order == seen.order);
            if let Some(decider) = open.and_then(|state| state.decider) {
                by_decider.entry(decider).or_default().push(seen.clone());
            }
        }
        for (decider, evidence) in by_decider {
            if decider == self.identity.id {
                let process_epoch = self.identity.process_epoch;
                rollouts
                    .decider
                    .on_evidence(&decider, process_epoch, &evidence);
                continue;
            }
            for rows in evidence.chunks(ROWS_PER_MESSAGE) {
                outbox.send(&decider, Message::VersionEvidence(rows.to_vec()));
            }
        }
    }
}

/// Interval between reports of response evidence in a fleet of `members` nodes; grows with
/// the fleet to bound the decider's load.
fn report_interval(members: usize) -> Duration {
    MIN_REPORT_INTERVAL.max(REPORT_INTERVAL_PER_MEMBER * members as u32)
}

/// Builds the decision about a rollout that is written to the log.
fn decision(state: &RolloutState, reason: &str) -> Decision {
    Decision::Rollout {
        service: state.service.clone(),
        target: state.target.clone(),
        phase: state.phase,
        share_permille: state.share_permille,
        term: state.term,
        reason: reason.to_string(),
    }
}
