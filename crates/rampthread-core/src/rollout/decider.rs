//! The node that decides about rollouts: the decider holds a lease, evaluates versions, and
//! persists how rollouts ended.
//!
//! Several nodes know a rollout order, but only one of them at a time is the decider. The
//! decider holds a lease in the platform's store. Its writes succeed only while the lease
//! record is unchanged (the record's revision is a fencing token) and while the stored
//! rollout state is the one that the decider has read. Other nodes learn of the end of a
//! rollout only after the end is persisted. Until then they learn only what is safe if the
//! write fails: that a version gets no calls.
//!
//! At most one store request is in flight. A request without a response may have been
//! executed, so the records are read again before the next write.

use super::RolloutBounds;
use super::evaluation::VersionEvaluator;
use super::evidence::{ResponseCounts, VersionEvidence};
use super::schedule::{self, NextAction, RolloutProgress};
use super::state::{ALL_CALLS_PERMILLE, OrderId, Phase, RolloutState};
use super::table::RolloutTable;
use crate::fleet::{LeaseId, ProcessEpoch};
use crate::ids::{NodeId, ResourceName, SoftwareVersion};
use crate::time::Moment;
use std::collections::BTreeMap;
use std::time::Duration;

/// TTL of the decider's lease. No other node takes over from a failed decider for that
/// long; traffic shares of a rollout expire sooner without confirmation.
pub const LEASE_TTL: Duration = Duration::from_secs(3);
/// Time from the start of a successful lease renewal to the next renewal. Failed renewals
/// are retried after [`REQUEST_RETRY_DELAY`], so that several attempts fit into the TTL.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(800);
/// Time between two evaluations of the open rollouts by the decider.
pub const EVALUATION_INTERVAL: Duration = Duration::from_millis(400);
/// Time between two evaluations near the deadline of a rollout, where actions have to be on
/// time.
const URGENT_EVALUATION_INTERVAL: Duration = Duration::from_millis(100);
/// Time without updates from the decider after which the first node in the takeover order
/// tries to become the decider.
const TAKEOVER_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Delay per rank in the takeover order, so that nodes earlier in the order try first.
const TAKEOVER_DELAY_PER_RANK: Duration = Duration::from_millis(300);
/// Delay after an unsuccessful attempt to become the decider.
const TAKEOVER_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Number of nodes, from the start of the takeover order, that compare the records with
/// their own state after the store was restored.
const RECORD_CHECKERS: u32 = 4;
/// Delay before the decider retries a failed store request.
const REQUEST_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Time constant of a service's rate of responses, in seconds.
const RATE_TIME_CONSTANT_SECS: f64 = 1.0;

/// A rollout state as read from its record in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredRollout {
    /// The rollout state in the record.
    pub state: RolloutState,
    /// Store revision at which the record last changed.
    pub revision: u64,
    /// When the record was written, in milliseconds since the Unix epoch by the writer's
    /// clock.
    pub written_ms: u64,
}

/// A request of a node to the store, to become or act as the decider.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DeciderRequest {
    /// Read the lease record and all rollout states.
    Read,
    /// Acquire the decider's lease if nobody holds it.
    Claim {
        /// Term that the new decider claims, higher than all earlier ones.
        term: u64,
        /// TTL of the lease to acquire.
        life: Duration,
    },
    /// Renew the decider's lease.
    Renew {
        /// Id of the lease to renew, from `Claimed`.
        lease: LeaseId,
    },
    /// Persist a rollout state, if this node still holds the lease and the record in the
    /// store is unchanged.
    Write {
        /// The rollout state to persist.
        state: RolloutState,
        /// Store revision of the record to replace; 0 if there must be no record.
        expected: u64,
        /// Store revision that the lease record must still have.
        fence: u64,
    },
    /// Release the decider's lease early, so that another node needn't wait for its TTL.
    Release {
        /// Id of the lease to release, from `Claimed`.
        lease: LeaseId,
    },
}

/// Response of the store to a [`DeciderRequest`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DeciderResponse {
    /// The lease and all records, in response to `Read`.
    Records {
        /// Store revision of the lease record; `None` if nobody holds the lease.
        fence: Option<u64>,
        /// The highest decider term in any record.
        term: u64,
        /// All persisted rollout states.
        states: Vec<StoredRollout>,
    },
    /// This node acquired the lease, in response to `Claim`.
    Claimed {
        /// Id of the acquired lease.
        lease: LeaseId,
        /// Store revision of the lease record.
        fence: u64,
    },
    /// The lease was renewed or released.
    Kept,
    /// The state was persisted, in response to `Write`.
    Written {
        /// Store revision of the written record.
        revision: u64,
    },
    /// The request had no effect: another node holds the lease, the lease has expired, or
    /// the record of the rollout has changed.
    Conflict,
    /// The request failed, or whether it had an effect is unknown.
    Failed,
}

/// A change in a rollout and the reason for it, for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutDecision {
    /// State of the rollout after the change.
    pub state: RolloutState,
    /// Measurements or conditions that led to the change.
    pub reason: String,
}

/// What the caller of [`Decider`] has to send and log after a step.
#[derive(Debug, Default, PartialEq)]
pub struct DeciderOutput {
    /// Request to send to the store, if any.
    pub request: Option<DeciderRequest>,
    /// New rollout states to send to the other nodes.
    pub updates: Vec<RolloutState>,
    /// Changes in rollouts to log for operators.
    pub decisions: Vec<RolloutDecision>,
}

/// The decider's lease, as held by this node.
#[derive(Debug)]
struct Lease {
    id: LeaseId,
    fence: u64,
    term: u64,
    /// Until when the lease is certainly valid, counted from the time when the request for
    /// it was sent.
    holds_until: Moment,
    renew_at: Moment,
}

/// What this node does about the decider's lease.
#[derive(Debug)]
enum Role {
    /// Another node is the decider, or no rollout is open.
    Idle,
    /// The records were read and showed no lease, so this node may claim the lease.
    Candidate { term: u64 },
    /// This node holds the lease and is the decider.
    Decider(Lease),
}

/// One rollout under evaluation by this decider.
#[derive(Debug)]
struct Evaluation {
    order: OrderId,
    evaluator: VersionEvaluator,
    /// The latest counts of responses from each process epoch of each node. Counters start
    /// at zero in each epoch.
    counts_by_node: BTreeMap<(NodeId, ProcessEpoch), BTreeMap<EvidenceKey, ResponseCounts>>,
    /// Response counts received since the last evaluation.
    round: Vec<VersionEvidence>,
    rate: f64,
    /// Since when this decider collects response evidence for the rollout.
    since: Moment,
    /// When the shift of traffic was first seen, and the target version's responses by
    /// then.
    shifting_since: Option<(Moment, u64)>,
    /// Whether the rollout has succeeded, while the success is still to be persisted.
    has_succeeded: bool,
}

/// Labels of a counter in response evidence: version, backend group and route.
type EvidenceKey = (SoftwareVersion, u8, ResourceName);

/// What the decider needs to know besides states and evidence; provided by the caller on
/// each tick.
#[derive(Clone, Copy)]
pub struct DeciderContext<'a> {
    /// Whether the store is reachable from this node; otherwise it can't become the
    /// decider.
    pub eligible: bool,
    /// Number of eligible nodes before this one in the takeover order.
    pub rank: u32,
    /// Returns the slots (calls at a time) of a service's backends: those of the given
    /// version, and those of the others.
    pub slots: &'a dyn Fn(&ResourceName, &SoftwareVersion) -> (u32, u32),
    /// Time within which a new decider has received the evidence of all nodes.
    pub evidence_collection_time: Duration,
}

/// A node's role in deciding about rollouts: it decides while it holds the lease, and tries
/// to get the lease when there is no decider.
#[derive(Debug)]
pub struct Decider {
    me: NodeId,
    bounds: RolloutBounds,
    role: Role,
    /// The store request in flight, and when it was sent.
    in_flight: Option<(DeciderRequest, Moment)>,
    next_attempt_at: Moment,
    next_evaluation_at: Moment,
    last_evaluation_at: Moment,
    /// The persisted rollout states by service; known while this node is the decider.
    persisted: BTreeMap<ResourceName, StoredRollout>,
    evaluations: BTreeMap<ResourceName, Evaluation>,
    /// Whether the rollout records in the store may differ from `persisted`.
    records_uncertain: bool,
    /// From when on the store's records have to be compared with the known states. Cleared
    /// once the records were read or written and match.
    recheck_from: Option<Moment>,
    /// The highest decider term that this node has claimed. A restored store may have lost
    /// the term.
    highest_claimed_term: u64,
    /// Whether the store was restored from an older backup, and no node is known to have
    /// compared the rollout records since.
    restored: bool,
    /// Whether the store request in flight was sent before the store was restored.
    in_flight_is_void: bool,
}

impl Decider {
    /// Creates a node that is not the decider.
    pub fn new(me: NodeId, bounds: RolloutBounds) -> Self {
        Self {
            me,
            bounds,
            role: Role::Idle,
            in_flight: None,
            next_attempt_at: Moment::default(),
            next_evaluation_at: Moment::default(),
            last_evaluation_at: Moment::default(),
            persisted: BTreeMap::new(),
            evaluations: BTreeMap::new(),
            records_uncertain: false,
            recheck_from: None,
            highest_claimed_term: 0,
            restored: false,
            in_flight_is_void: false,
        }
    }

    /// Returns whether this node holds the lease at `now` and thus is the decider.
    pub fn holds_lease(&self, now: Moment) -> bool {
        matches!(&self.role, Role::Decider(lease) if now < lease.holds_until)
    }

    /// Applies the response counts that a node reports for open rollouts.
    pub fn on_evidence(
        &mut self,
        from: &NodeId,
        process_epoch: ProcessEpoch,
        evidence: &[VersionEvidence],
    ) {
        for evidence_row in evidence {
            let Some(evaluation) = self.evaluations.get_mut(&evidence_row.service) else {
                continue;
            };
            if evaluation.order != evidence_row.order {
                continue;
            }
            let key = (
                evidence_row.version.clone(),
                evidence_row.group,
                evidence_row.route.clone(),
            );
            let node_counts = evaluation
                .counts_by_node
                .entry((from.clone(), process_epoch))
                .or_default();
            let before = node_counts.entry(key).or_default();
            // A smaller count is from an earlier report that arrived late.
            let Some(counts) = evidence_row.counts.since(before) else {
                continue;
            };
            before.clone_from(&evidence_row.counts);
            if counts.responses > 0 {
                evaluation.round.push(VersionEvidence {
                    counts,
                    ..evidence_row.clone()
                });
            }
        }
    }

    /// Advances time: evaluates rollouts that are due, and returns what to send and log.
    pub fn tick(
        &mut self,
        table: &mut RolloutTable,
        context: &DeciderContext<'_>,
        now: Moment,
    ) -> DeciderOutput {
        let mut output = DeciderOutput::default();
        if matches!(self.role, Role::Decider(_)) && !self.holds_lease(now) {
            self.step_down(now);
        }
        if self.holds_lease(now) {
            self.decide(table, context, now, &mut output);
        }
        if self.in_flight.is_none() {
            output.request = self.next_request(table, context, now);
            if let Some(request) = &output.request {
                self.in_flight = Some((request.clone(), now));
            }
        }
        output
    }

    /// Gives up the role of the decider and forgets the records.
    fn step_down(&mut self, now: Moment) {
        self.role = Role::Idle;
        self.next_attempt_at = now + TAKEOVER_RETRY_DELAY;
        self.persisted.clear();
        self.evaluations.clear();
        self.records_uncertain = false;
    }

    /// Returns the next store request that this node's role requires.
    fn next_request(
        &mut self,
        table: &RolloutTable,
        context: &DeciderContext<'_>,
        now: Moment,
    ) -> Option<DeciderRequest> {
        match &self.role {
            Role::Decider(lease) if now >= lease.renew_at => {
                Some(DeciderRequest::Renew { lease: lease.id })
            }
            Role::Decider(_) if now < self.next_attempt_at => None,
            Role::Decider(_) if self.records_uncertain => Some(DeciderRequest::Read),
            Role::Decider(lease) => match self.unpersisted(table, now) {
                Some((state, expected)) => Some(DeciderRequest::Write {
                    state,
                    expected,
                    fence: lease.fence,
                }),
                None if table.has_open() => None,
                None => Some(DeciderRequest::Release { lease: lease.id }),
            },
            Role::Candidate { term } => Some(DeciderRequest::Claim {
                term: *term,
                life: LEASE_TTL,
            }),
            Role::Idle => self
                .should_try_takeover(table, context, now)
                .then_some(DeciderRequest::Read),
        }
    }

    /// Returns whether there seems to be no decider and it is this node's turn to become
    /// it.
    fn should_try_takeover(
        &mut self,
        table: &RolloutTable,
        context: &DeciderContext<'_>,
        now: Moment,
    ) -> bool {
        let takeover_delay = TAKEOVER_DELAY_PER_RANK * context.rank;
        if !context.eligible || now < self.next_attempt_at {
            return false;
        }
        if self.restored && context.rank >= RECORD_CHECKERS {
            self.restored = false;
            self.recheck_from = None;
        }
        if self
            .recheck_from
            .is_some_and(|from| now >= from + takeover_delay)
        {
            return true;
        }
        let Some(silence) = table.longest_silence(now) else {
            return false;
        };
        let has_no_decider = table.states(now).iter().all(|state| state.term == 0);
        let timeout = if has_no_decider {
            Duration::ZERO
        } else {
            TAKEOVER_TIMEOUT
        };
        silence >= timeout + takeover_delay
    }

    /// Schedules a comparison of the store's rollout records with the known states, because
    /// the store may have lost records.
    pub fn recheck(&mut self, now: Moment) {
        self.recheck_from = Some(now);
        self.records_uncertain = true;
    }

    /// Handles a restore of the store from an older backup. Leases from before the restore
    /// are invalid, even if the store has a lease with the same id now: this node steps
    /// down and may acquire a new lease.
    pub fn on_store_restored(&mut self, table: &RolloutTable, now: Moment) {
        self.in_flight_is_void = self.in_flight.is_some();
        self.step_down(now);
        self.restored = !table.is_empty();
        self.recheck_from = self.restored.then_some(now);
    }

    /// Returns a known state that isn't persisted as it is, with the store revision of its
    /// record.
    fn unpersisted(&self, table: &RolloutTable, now: Moment) -> Option<(RolloutState, u64)> {
        table.states(now).into_iter().find_map(|state| {
            let stored = self.persisted.get(&state.service);
            let state = self.persisted_form(state);
            let differs = stored.is_none_or(|stored| {
                (stored.state.order, stored.state.phase) != (state.order, state.phase)
            });
            let expected = stored.map_or(0, |stored| stored.revision);
            differs.then_some((state, expected))
        })
    }

    /// Returns the form in which a rollout state is persisted. A shift of traffic is
    /// persisted as running, since the next decider evaluates the version from scratch; a
    /// rollback is persisted as finished.
    fn persisted_form(&self, state: RolloutState) -> RolloutState {
        let evaluation = self.evaluations.get(&state.service);
        let phase = match state.phase {
            Phase::RollingBack => Phase::RolledBack,
            Phase::Moving if evaluation.is_some_and(|evaluation| evaluation.has_succeeded) => {
                Phase::Succeeded
            }
            Phase::Moving => Phase::Running,
            phase => phase,
        };
        let share_permille = match phase {
            Phase::Succeeded => ALL_CALLS_PERMILLE,
            _ => 0,
        };
        let term = match &self.role {
            Role::Decider(lease) => lease.term,
            _ => state.term,
        };
        RolloutState {
            phase,
            share_permille,
            term,
            ..state
        }
    }

    // ---- store responses ----

    /// Applies the store's response to the request in flight.
    pub fn on_response(
        &mut self,
        response: DeciderResponse,
        table: &mut RolloutTable,
        now: Moment,
    ) -> DeciderOutput {
        let mut output = DeciderOutput::default();
        let Some((request, sent_at)) = self.in_flight.take() else {
            return output;
        };
        if std::mem::take(&mut self.in_flight_is_void) {
            self.step_down(now);
            return output;
        }
        match (request, response) {
            (
                DeciderRequest::Read,
                DeciderResponse::Records {
                    fence,
                    term,
                    states,
                },
            ) => self.on_records(fence, term, states, table, now, &mut output),
            (DeciderRequest::Claim { term, .. }, DeciderResponse::Claimed { lease, fence }) => {
                self.highest_claimed_term = self.highest_claimed_term.max(term);
                self.next_evaluation_at = now;
                self.last_evaluation_at = now;
                self.next_attempt_at = now;
                self.role = Role::Decider(Lease {
                    id: lease,
                    fence,
                    term,
                    holds_until: sent_at + LEASE_TTL,
                    renew_at: sent_at + RENEWAL_INTERVAL,
                });
            }
            (DeciderRequest::Renew { .. }, DeciderResponse::Kept) => {
                if let Role::Decider(lease) = &mut self.role {
                    lease.holds_until = sent_at + LEASE_TTL;
                    lease.renew_at = sent_at + RENEWAL_INTERVAL;
                }
            }
            (DeciderRequest::Renew { .. }, DeciderResponse::Failed) => {
                if let Role::Decider(lease) = &mut self.role {
                    lease.renew_at = now + REQUEST_RETRY_DELAY;
                }
            }
            (DeciderRequest::Write { state, .. }, DeciderResponse::Written { revision }) => {
                self.on_written(state, revision, table, now, &mut output);
            }
            (DeciderRequest::Write { .. } | DeciderRequest::Read, _) if self.holds_lease(now) => {
                self.records_uncertain = true;
                self.next_attempt_at = now + REQUEST_RETRY_DELAY;
            }
            _ => self.step_down(now),
        }
        output
    }

    /// Applies the lease and rollout states that were read from the store.
    fn on_records(
        &mut self,
        fence: Option<u64>,
        term: u64,
        states: Vec<StoredRollout>,
        table: &mut RolloutTable,
        now: Moment,
        output: &mut DeciderOutput,
    ) {
        for stored in &states {
            if table.merge(stored.state.clone(), now) {
                output.updates.push(stored.state.clone());
            }
        }
        let by_service = states
            .into_iter()
            .map(|stored| (stored.state.service.clone(), stored));
        self.persisted = by_service.collect();
        self.records_uncertain = false;
        if let Role::Decider(lease) = &self.role {
            if fence == Some(lease.fence) {
                self.finish_recheck(table, now);
            } else {
                self.step_down(now);
            }
            return;
        }
        self.finish_recheck(table, now);
        let unpersisted = self.unpersisted(table, now).is_some();
        if fence.is_some() && self.recheck_from.is_some() {
            // The holder of the lease may persist the missing states itself, or may be
            // gone.
            self.recheck_from = Some(now + LEASE_TTL);
        }
        let needed = table.has_open() || unpersisted;
        if fence.is_some() || !needed {
            self.step_down(now);
            return;
        }
        let known = table.states(now).into_iter().map(|state| state.term);
        let term = known.fold(term.max(self.highest_claimed_term), u64::max);
        let term = term.saturating_add(1);
        self.role = Role::Candidate { term };
    }

    /// Ends the recheck (see [`Self::recheck`]) once the store's records contain all known
    /// rollout states.
    fn finish_recheck(&mut self, table: &RolloutTable, now: Moment) {
        if self.unpersisted(table, now).is_none() {
            self.recheck_from = None;
            self.restored = false;
        }
    }

    /// Records that a rollout state was written to the store.
    fn on_written(
        &mut self,
        state: RolloutState,
        revision: u64,
        table: &mut RolloutTable,
        now: Moment,
        output: &mut DeciderOutput,
    ) {
        if state.phase.is_ended() && table.merge(state.clone(), now) {
            output.updates.push(state.clone());
        }
        let reason = "persisted".to_string();
        output.decisions.push(RolloutDecision {
            state: state.clone(),
            reason,
        });
        let stored = StoredRollout {
            state,
            revision,
            // Only meaningful in states that were read from the store.
            written_ms: 0,
        };
        self.persisted.insert(stored.state.service.clone(), stored);
        self.finish_recheck(table, now);
    }

    // ---- decisions ----

    /// Evaluates all open rollouts, if an evaluation is due.
    fn decide(
        &mut self,
        table: &mut RolloutTable,
        context: &DeciderContext<'_>,
        now: Moment,
        output: &mut DeciderOutput,
    ) {
        let Role::Decider(lease) = &self.role else {
            return;
        };
        if now < self.next_evaluation_at {
            return;
        }
        let term = lease.term;
        let passed = now.since(self.last_evaluation_at);
        self.last_evaluation_at = now;
        let is_urgent = table.states(now).iter().any(schedule::is_near_end);
        self.next_evaluation_at = now
            + if is_urgent {
                URGENT_EVALUATION_INTERVAL
            } else {
                EVALUATION_INTERVAL
            };
        for state in table.states(now) {
            // An order gets no calls before its state is persisted: another decider
            // couldn't end the rollout.
            let stored = self.persisted.get(&state.service);
            if stored.is_none_or(|stored| stored.state.order != state.order) {
                continue;
            }
            if state.phase.is_ended() {
                self.evaluations.remove(&state.service);
                continue;
            }
            let (decided, reason) = self.evaluate(&state, context, passed, now);
            let next = RolloutState {
                term,
                step: state.step.saturating_add(1),
                decider: Some(self.me.clone()),
                ..decided
            };
            if !next.has_same_decision(&state) {
                let state = next.clone();
                output.decisions.push(RolloutDecision { state, reason });
            }
            if table.merge(next.clone(), now) {
                output.updates.push(next);
            }
        }
    }

    /// Evaluates one open rollout: returns its next state and the reason.
    fn evaluate(
        &mut self,
        state: &RolloutState,
        context: &DeciderContext<'_>,
        passed: Duration,
        now: Moment,
    ) -> (RolloutState, String) {
        let evaluation = evaluation_of(&mut self.evaluations, state, now);
        evaluation.take_round(passed);
        let with = |phase, share_permille| RolloutState {
            phase,
            share_permille,
            ..state.clone()
        };
        if state.phase == Phase::RollingBack {
            return (
                with(Phase::RollingBack, 0),
                "the rollback is not persisted yet".to_string(),
            );
        }
        if let Some(regression) = evaluation.evaluator.regression() {
            return (with(Phase::RollingBack, 0), regression.to_string());
        }
        let (responses, target_responses) = evaluation.evaluator.responses();
        if state.phase == Phase::Moving {
            evaluation
                .shifting_since
                .get_or_insert((now, target_responses));
        }
        let responses_at_shift = evaluation
            .shifting_since
            .map_or(0, |(_, responses)| responses);
        let (target_slots, other_slots) = (context.slots)(&state.service, &state.target);
        let progress = RolloutProgress {
            responses,
            target_responses,
            rate: evaluation.rate,
            target_slots,
            other_slots,
            shifting_for: evaluation.shifting_since.map(|(since, _)| now.since(since)),
            responses_since_shift: target_responses.saturating_sub(responses_at_shift),
            reporters: evaluation.counts_by_node.len(),
            is_suspect: evaluation.evaluator.is_suspect(),
            evidence_collected_for: now.since(evaluation.since),
            evidence_collection_time: context.evidence_collection_time,
        };
        let mut reason = format!(
            "{target_responses} of {responses} responses, {:.0} per second, {target_slots} slots against {other_slots}, {} ms of {} ms",
            evaluation.rate,
            state.elapsed.as_millis(),
            state.duration.as_millis(),
        );
        let next = match schedule::next_action(state, &progress, &self.bounds) {
            NextAction::Evaluate { permille } => with(Phase::Running, permille),
            NextAction::ShiftTraffic => with(Phase::Moving, ALL_CALLS_PERMILLE),
            NextAction::Succeed => {
                evaluation.has_succeeded = true;
                with(Phase::Moving, ALL_CALLS_PERMILLE)
            }
            NextAction::RollBack(unmet) => {
                reason = format!("{}: {reason}", unmet.as_str());
                with(Phase::RollingBack, 0)
            }
        };
        (next, reason)
    }
}

impl Evaluation {
    /// Evaluates the response counts received since the last evaluation.
    fn take_round(&mut self, passed: Duration) {
        let round = std::mem::take(&mut self.round);
        let responses = round
            .iter()
            .map(|evidence_row| f64::from(evidence_row.counts.responses));
        let responses: f64 = responses.sum();
        self.evaluator.add_round(&round, passed);
        let passed = passed.as_secs_f64();
        if passed > 0.0 {
            let weight = (passed / RATE_TIME_CONSTANT_SECS).min(1.0);
            let rate = responses / passed;
            self.rate += (rate - self.rate) * weight;
        }
    }
}

/// Returns the evaluation of the rollout in `state`; a new order starts a new one.
fn evaluation_of<'a>(
    evaluations: &'a mut BTreeMap<ResourceName, Evaluation>,
    state: &RolloutState,
    now: Moment,
) -> &'a mut Evaluation {
    let known = evaluations.get(&state.service);
    if known.is_none_or(|evaluation| evaluation.order != state.order) {
        let evaluation = Evaluation {
            order: state.order,
            evaluator: VersionEvaluator::new(state.target.clone()),
            counts_by_node: BTreeMap::new(),
            round: Vec::new(),
            rate: 0.0,
            since: now,
            shifting_since: None,
            has_succeeded: false,
        };
        evaluations.insert(state.service.clone(), evaluation);
    }
    evaluations
        .get_mut(&state.service)
        .expect("it was just inserted")
}
