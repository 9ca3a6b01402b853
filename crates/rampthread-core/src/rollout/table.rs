//! All rollouts known to one node, with the routing rules that result from them.

use super::RolloutBounds;
use super::exposure::{VersionRule, VersionShare};
use super::state::{Phase, RolloutOrder, RolloutState};
use crate::ids::ResourceName;
use crate::time::Moment;
use std::collections::BTreeMap;
use std::time::Duration;

/// Ratio of the rollback deadline after which a share without confirmation expires: a node
/// that no longer receives updates must not keep sending calls to a version that may have
/// been rolled back.
const CONFIRMATION_RATIO: f64 = 0.3;
/// Time for which the target version is preferred after a successful rollout. The backends
/// of the previous version are gone by then. Versions that appear later without an order
/// get the same treatment as any other.
const PREFERENCE_TIME: Duration = Duration::from_secs(30);

/// How a node learned of a rollout order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderSource {
    /// The order was observed as a new write to the store.
    NewWrite,
    /// The order was read as an existing record: the store may have been restored from an
    /// older backup.
    Existing,
}

/// A rollout state and when this node received it.
#[derive(Debug, Clone)]
struct ReceivedState {
    state: RolloutState,
    /// When this node received the state; `elapsed` in the state refers to this time.
    received_at: Moment,
}

impl ReceivedState {
    /// Time since the rollout order, as of `now`.
    fn elapsed(&self, now: Moment) -> Duration {
        self.state.elapsed + now.since(self.received_at)
    }
}

/// The latest known state of each service's rollout.
#[derive(Debug, Default)]
pub struct RolloutTable {
    states: BTreeMap<ResourceName, ReceivedState>,
}

impl RolloutTable {
    /// Merges a rollout state from another node or the store. Returns whether it is later
    /// than the known state of the service's rollout.
    pub fn merge(&mut self, state: RolloutState, now: Moment) -> bool {
        let mut state = state;
        if let Some(known) = self.states.get_mut(&state.service) {
            if known.state.order == state.order {
                // The greater elapsed time is from a node that has known the order for
                // longer.
                let missed = state.elapsed.saturating_sub(known.elapsed(now));
                known.state.elapsed += missed;
                state.elapsed = known.elapsed(now);
            }
            if !state.supersedes(&known.state) {
                return false;
            }
        }
        let known = ReceivedState {
            state,
            received_at: now,
        };
        self.states.insert(known.state.service.clone(), known);
        true
    }

    /// Applies a rollout order; returns whether it starts a new rollout. An order with the
    /// target version of the known rollout is the same order: the store may have been
    /// restored and the order written again.
    pub fn accept_order(&mut self, order: &RolloutOrder, source: OrderSource, now: Moment) -> bool {
        let mut order = order.clone();
        if let Some(known) = self.states.get(&order.service) {
            let older = order.order <= known.state.order;
            let repeated = order.target == known.state.target;
            if repeated || (older && source == OrderSource::Existing) {
                return false;
            }
            order.order = order.order.max(known.state.order.saturating_add(1));
        }
        self.merge(RolloutState::from_order(&order, Duration::ZERO), now)
    }

    /// Returns the rollout state of `service`, with the time elapsed until `now`.
    pub fn state(&self, service: &ResourceName, now: Moment) -> Option<RolloutState> {
        let known = self.states.get(service)?;
        let elapsed = known.elapsed(now);
        Some(RolloutState {
            elapsed,
            ..known.state.clone()
        })
    }

    /// Returns the states of all known rollouts, with the time elapsed until `now`.
    pub fn states(&self, now: Moment) -> Vec<RolloutState> {
        let services = self.states.keys();
        services
            .filter_map(|service| self.state(service, now))
            .collect()
    }

    /// Returns whether no rollout, open or ended, is known to this node.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// Returns whether any known rollout is open, i.e. has not ended.
    pub fn has_open(&self) -> bool {
        self.states
            .values()
            .any(|known| !known.state.phase.is_ended())
    }

    /// Maximum time since the last update over all open rollouts, or `None` if none is
    /// open.
    pub fn longest_silence(&self, now: Moment) -> Option<Duration> {
        let open = self.states.values();
        open.filter(|known| !known.state.phase.is_ended())
            .map(|known| now.since(known.received_at))
            .max()
    }

    /// Returns the routing rules for the versions of each service that result from its
    /// rollout.
    pub fn rules(
        &self,
        bounds: &RolloutBounds,
        now: Moment,
    ) -> BTreeMap<ResourceName, VersionRule> {
        let confirmation_timeout = bounds.rollback_deadline.mul_f64(CONFIRMATION_RATIO);
        let rules = self.states.iter().filter_map(|(service, known)| {
            let since_update = now.since(known.received_at);
            let share = match known.state.phase {
                Phase::Running if known.state.term == 0 => VersionShare::LastResort,
                Phase::Running if since_update < confirmation_timeout => VersionShare::Limited {
                    permille: known.state.share_permille,
                    round: known.state.step,
                },
                // Not even as a last resort: the target version may have been rolled back
                // since, and calls that no share limits would exceed the exposure bound
                // wherever the other backends are unavailable.
                Phase::Running | Phase::RollingBack | Phase::RolledBack => VersionShare::Blocked,
                Phase::Moving if since_update < confirmation_timeout => VersionShare::Preferred,
                // The old version's backends may be gone by now.
                Phase::Moving => VersionShare::LastResort,
                Phase::Succeeded if since_update < PREFERENCE_TIME => VersionShare::Preferred,
                Phase::Succeeded => return None,
            };
            let rule = VersionRule {
                order: known.state.order,
                target: known.state.target.clone(),
                share,
                open: !known.state.phase.is_ended(),
            };
            Some((service.clone(), rule))
        });
        rules.collect()
    }
}
