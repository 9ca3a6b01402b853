//! Selects the backend of an attempt: from the backends that may get the call, by the zone plan
//! and the balancer.

use super::{Call, Entry};
use crate::control::Target;
use rampthread_core::call::acceptance::AcceptanceEstimator;
use rampthread_core::call::quarantine::QuarantineState;
use rampthread_core::call::rate_limit::RateLimit;
use rampthread_core::ids::{NodeId, Zone};
use std::borrow::Cow;
use std::time::Duration;

/// Minimum admission probability, estimated from this entry node's recent attempts, at which a
/// call is spilled to the zone that the zone plan selects. Below it, that zone rejects more of
/// these calls than it admits, so the capacity that it published is out of date.
const MIN_SPILL_ADMISSION_PROBABILITY: f64 = 0.5;

/// The backend selected for one attempt, and what this entry node knew about it then.
pub(super) struct SelectedBackend {
    pub(super) node: NodeId,
    pub(super) target: Target,
    /// Zone of the selected backend.
    pub(super) zone: Zone,
    /// The zone plan spilled the attempt to another zone than this node's.
    pub(super) spilled: bool,
    /// The selected backend appears to have a free slot.
    pub(super) has_free_slot: bool,
    /// Another backend, not tried by this call yet, appears to have a free slot.
    pub(super) others_have_free_slot: bool,
    /// Estimated time until the rate limit of the selected backend allows one more call.
    pub(super) limit_wait: Duration,
    /// The gate node may queue the call for the rate limit of the selected backend, though
    /// another backend may have a free slot.
    pub(super) may_queue_for_limit: bool,
    /// Rate limit that this node has seen in a response of the selected backend.
    pub(super) rate_limit: Option<RateLimit>,
    /// Estimated number of calls running and queued at the selected backend.
    pub(super) seen_load: u32,
    /// Percentage of this entry node's recent attempts in the backend's zone that were
    /// admitted.
    pub(super) admitted_percent: u32,
    /// The request is on trial: it is suspected of crashing backends and must run alone at this
    /// one.
    pub(super) on_trial: bool,
}

impl Entry {
    /// Selects the backend of the next attempt; `tried` are the nodes of earlier attempts.
    /// `None` if no backend can take the call.
    pub(super) fn select_backend(&self, call: &Call, tried: &[NodeId]) -> Option<SelectedBackend> {
        let endpoints = self.control().endpoints();
        let service = endpoints.service(&call.service)?;
        let on_trial = matches!(self.quarantine_state(call), QuarantineState::OnTrial { .. });
        let candidates = match on_trial {
            true => Cow::Owned(self.trial_endpoints(call, &service.endpoints)),
            false => Cow::Borrowed(service.endpoints.as_slice()),
        };
        let candidates = self.without_leaving(service, candidates);
        let candidates = self.filter_by_rollout(call, service, candidates, tried);
        let now = self.now();
        let zone = &self.options.zone;
        let acceptance_estimate = self.acceptance_estimate(call);
        let may_try = |zone: &Zone| match call.is_nested() {
            true => acceptance_estimate.should_ask_nested(zone, now),
            false => acceptance_estimate.should_ask(zone, now),
        };
        let mut rng = rand::rng();
        let mut state = self.state();
        let plan = state.zones.plan(&call.service).cloned();
        // Where zones publish their free slots, only zones with free slots are tried.
        let reports_free_slots = |to: &Zone| {
            let spill_plan = plan.as_ref().map(|plan| &plan.spill_plan);
            to == zone || spill_plan.is_none_or(|spill_plan| spill_plan.has_spare_slots(to))
        };
        let may_go_to = |to: &Zone| may_try(to) && reports_free_slots(to);
        let spill_zone = (plan.as_ref())
            .and_then(|plan| plan.draw(&call.route.name, &mut rng))
            .filter(|zone| {
                acceptance_estimate.probability(zone, now) >= MIN_SPILL_ADMISSION_PROBABILITY
            });
        let spilled = spill_zone.and_then(|zone| {
            let balancer = &state.balancer;
            balancer.choose_in(&candidates, tried, zone, now, &mut rng)
        });
        let chosen = match spilled {
            Some(chosen) => chosen,
            None => (state.balancer).choose(&candidates, tried, zone, may_go_to, now, &mut rng)?,
        };
        let others_have_free_slot = candidates.iter().any(|other| {
            other.node != chosen.node
                && !tried.contains(&other.node)
                && may_go_to(&other.zone)
                && acceptance_estimate.is_acceptance_likely(&other.zone, now)
                && state.balancer.has_free_slot(other, now)
        });
        let target = service.targets.get(&chosen.node)?.clone();
        let rate_limit = state.signals.limit(&target.backend);
        Some(SelectedBackend {
            limit_wait: state.balancer.limit_wait(&chosen.node, now),
            may_queue_for_limit: rate_limit.is_some(),
            rate_limit,
            spilled: spilled.is_some(),
            zone: chosen.zone.clone(),
            has_free_slot: state.balancer.has_free_slot(chosen, now),
            node: chosen.node.clone(),
            target,
            others_have_free_slot,
            seen_load: state.balancer.seen_load(&chosen.node, now),
            admitted_percent: (acceptance_estimate.probability(&chosen.zone, now) * 100.0) as u32,
            on_trial,
        })
    }

    /// Estimate of how likely the gate nodes of the call's service admit a call, by zone.
    pub(super) fn acceptance_estimate(&self, call: &Call) -> AcceptanceEstimator {
        let state = self.state();
        let known = state.acceptance.get(&call.service).cloned();
        known.unwrap_or_else(|| AcceptanceEstimator::new(self.options.zone.clone()))
    }

    /// Records whether a gate node of the call's service admitted the call or rejected it for
    /// lack of capacity.
    pub(super) fn record_admission(
        &self,
        call: &Call,
        selected: &SelectedBackend,
        was_rejected: bool,
    ) {
        let now = self.now();
        let mut state = self.state();
        let unknown = || AcceptanceEstimator::new(self.options.zone.clone());
        let acceptance_estimate = state
            .acceptance
            .entry(call.service.clone())
            .or_insert_with(unknown);
        acceptance_estimate.record(&selected.zone, was_rejected, now);
        if was_rejected {
            state.zones.record_rejection(&call.service, now);
        }
    }
}
