//! Software versions during a rollout: which versions a call may go to, and what callers got
//! from each version.

use super::{Call, Entry, EntryState, SelectedBackend};
use crate::control::{ServiceEndpoints, VersionRules};
use rampthread_core::call::balance::Endpoint;
use rampthread_core::ids::{NodeId, ResourceName, SoftwareVersion};
use rampthread_core::rollout::evidence::{ResponseOutcome, ResponseSource};
use rampthread_core::rollout::exposure::split_by_version;
use rampthread_core::rollout::{
    EvidenceRecorder, ExposureLimiter, RolloutBounds, VersionEvidence, VersionRule, VersionShare,
};
use rampthread_core::time::Moment;
use std::borrow::Cow;
use std::collections::HashMap;
use std::time::Duration;
/// How long a version that differs from the others gets no calls while no rollout of that
/// version is known. The rollout order may still be on its way, or a node that has just started
/// may still wait for a peer's message.
const UNKNOWN_VERSION_HOLD: Duration = Duration::from_secs(3);

/// What one entry node knows about software versions and their rollouts.
#[derive(Default)]
pub(super) struct VersionTracker {
    limiters: HashMap<ResourceName, ExposureLimiter>,
    evidence: EvidenceRecorder,
    /// When this entry node first saw each version of a service that has several versions.
    first_seen: HashMap<ResourceName, HashMap<SoftwareVersion, Moment>>,
    /// When each backend came into service.
    ready_since: HashMap<NodeId, Moment>,
}

impl VersionTracker {
    /// Records when the backend of `node` came into service. The backend is slow during its
    /// warm-up.
    pub(super) fn record_service_start(&mut self, node: &NodeId, now: Moment) {
        self.ready_since.insert(node.clone(), now);
    }

    /// Drops backends that are out of service.
    pub(super) fn keep_serving<T>(&mut self, serving: &HashMap<NodeId, T>) {
        self.ready_since
            .retain(|node, _| serving.contains_key(node));
    }
}

/// Endpoints of a service that an attempt may use. The list is copied only if some of them are
/// excluded.
pub(super) type Candidates<'a> = Cow<'a, [Endpoint]>;

impl Entry {
    /// Restricts `candidates` to versions that the call may go to. The version being evaluated
    /// gets the call if its share of the calls allows that and one of its backends is untried
    /// and has a rate limit that allows the call in time, or none.
    pub(super) fn filter_by_rollout<'a>(
        &self,
        call: &Call,
        service: &ServiceEndpoints,
        candidates: Candidates<'a>,
        tried: &[NodeId],
    ) -> Candidates<'a> {
        let Some(bounds) = self.options.roll_outs else {
            return candidates;
        };
        let rules = self.control().version_rules();
        let Some(rule) = rules.get(&call.service) else {
            return self.hold_unknown_versions(call, service, candidates);
        };
        let version_of = |node: &NodeId| service.version(node);
        let (target, others) = split_by_version(&candidates, version_of, &rule.target);
        match rule.share {
            VersionShare::Preferred => match self.allowed_in_time(call, target) {
                target if target.is_empty() => candidates,
                target => Cow::Owned(target),
            },
            VersionShare::LastResort if others.is_empty() => Cow::Owned(target),
            VersionShare::LastResort | VersionShare::Blocked => Cow::Owned(others),
            VersionShare::Limited { round, .. } => {
                let target = self.allowed_in_time(call, target);
                let open = self.with_limiter(call, rule, &bounds, |limiter| {
                    let open = limiter
                        .may_send()
                        .then(|| limiter.eligible_backends(target, round));
                    let untried = open.filter(|open| {
                        let mut nodes = open.iter();
                        nodes.any(|endpoint| !tried.contains(&endpoint.node))
                    });
                    if untried.is_some() {
                        limiter.on_sent();
                    }
                    untried
                });
                Cow::Owned(open.unwrap_or(others))
            }
        }
    }

    /// Used while no rollout is known: holds back versions that differ from the presumed one
    /// until [`UNKNOWN_VERSION_HOLD`] has passed.
    fn hold_unknown_versions<'a>(
        &self,
        call: &Call,
        service: &ServiceEndpoints,
        candidates: Candidates<'a>,
    ) -> Candidates<'a> {
        let Some(presumed) = service.presumed_version() else {
            return candidates;
        };
        let now = self.now();
        let mut state = self.state();
        let first_seen = state.versions.first_seen.entry(call.service.clone());
        let first_seen = first_seen.or_default();
        let mut known = candidates.into_owned();
        known.retain(|endpoint| {
            let Some(version) = service.version(&endpoint.node) else {
                return true;
            };
            let since = *first_seen.entry(version.clone()).or_insert(now);
            version == presumed || now.since(since) >= UNKNOWN_VERSION_HOLD
        });
        Cow::Owned(known)
    }

    /// Calls `act` with the limiter of how many calls of the service go to the version being
    /// evaluated. A new rollout order gets a new limiter.
    fn with_limiter<T>(
        &self,
        call: &Call,
        rule: &VersionRule,
        bounds: &RolloutBounds,
        act: impl FnOnce(&mut ExposureLimiter) -> T,
    ) -> T {
        let nodes = self.control().endpoints().alive;
        let new = || {
            let chance = rand::random();
            ExposureLimiter::new(rule.order, bounds.exposure_slack_calls, nodes, chance)
        };
        let mut state = self.state();
        let limiters = &mut state.versions.limiters;
        let limiter = limiters.entry(call.service.clone()).or_insert_with(new);
        if limiter.order() != rule.order {
            *limiter = new();
        }
        act(limiter)
    }

    /// Records the result of a call for the rollout of its service, if one is in progress.
    pub(super) fn record_version_result(
        &self,
        call: &Call,
        selected: &SelectedBackend,
        result: VersionResult,
    ) {
        let Some(bounds) = self.options.roll_outs else {
            return;
        };
        let rules = self.control().version_rules();
        let Some(rule) = rules.get(&call.service) else {
            return;
        };
        let Some(version) = &selected.target.version else {
            return;
        };
        if let VersionShare::Limited { permille, .. } = rule.share {
            self.with_limiter(call, rule, &bounds, |limiter| limiter.on_response(permille));
        }
        if !rule.collects_evidence() {
            return;
        }
        let failed = matches!(result, VersionResult::Failure);
        let is_target = *version == rule.target;
        let metrics = &self.control().metrics;
        metrics.count_evaluated_call(is_target, failed);
        let result = match result {
            VersionResult::Failure => ResponseOutcome::Failure,
            VersionResult::Success(_) if self.is_warming_up(selected) => {
                ResponseOutcome::SuccessDuringWarmUp
            }
            VersionResult::Success(elapsed) => ResponseOutcome::Success(elapsed),
        };
        let source = ResponseSource {
            service: &call.service,
            order: rule.order,
            version,
            node: &selected.node,
            route: &call.route.name,
        };
        self.state().versions.evidence.record(source, result);
    }

    /// Whether the backend came into service less than its warm-up time ago.
    fn is_warming_up(&self, selected: &SelectedBackend) -> bool {
        let now = self.now();
        let state = self.state();
        let since = state.versions.ready_since.get(&selected.node);
        since.is_some_and(|since| now.since(*since) < selected.target.cold)
    }

    /// Reports the results of versions being evaluated to the control plane client.
    pub fn publish_version_evidence(&self) {
        if self.options.roll_outs.is_none() {
            return;
        }
        let rules = self.control().version_rules();
        let evidence = self.state().evidence_under_evaluation(&rules);
        if !rules.is_empty() {
            self.control().record_version_evidence(evidence);
        }
    }
}

impl EntryState {
    /// Results of versions whose rollout is still being evaluated; drops all others.
    fn evidence_under_evaluation(&mut self, rules: &VersionRules) -> Vec<VersionEvidence> {
        let evidence = &mut self.versions.evidence;
        evidence.retain(|service, order| {
            let rule = rules.get(service);
            rule.is_some_and(|rule| rule.order == order && rule.collects_evidence())
        });
        evidence.all()
    }
}

/// Result of a call at a backend, for the evaluation of the backend's version.
#[derive(Debug, Clone, Copy)]
pub(super) enum VersionResult {
    /// The backend returned a server error or did not respond before the deadline.
    Failure,
    /// The backend responded successfully after this time.
    Success(Duration),
}
