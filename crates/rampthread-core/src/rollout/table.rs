//! What one node knows of all roll-outs.

use super::RolloutBounds;
use super::exposure::{VersionRule, VersionShare};
use super::state::{Phase, RolloutOrder, RolloutState};
use crate::ids::ResourceName;
use crate::time::Moment;
use std::collections::BTreeMap;
use std::time::Duration;

/// Part of the time to roll back after which a share that is not confirmed ends: a node
/// that no longer hears of the decider must not go on with a version found bad.
const CONFIRMATION_SHARE: f64 = 0.3;
/// Time for which a version that was rolled out is preferred. The earlier back ends are
/// gone by then; a version that comes without an order is no less than any other.
const PREFERENCE: Duration = Duration::from_secs(30);

/// How an order came to be known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderSource {
    /// It was written just now.
    NewWrite,
    /// It was found: the store may have come back from an older copy.
    Existing,
}

#[derive(Debug, Clone)]
struct Held {
    state: RolloutState,
    /// When it was heard, which its `elapsed` refers to.
    at: Moment,
}

impl Held {
    fn elapsed(&self, now: Moment) -> Duration {
        self.state.elapsed + now.since(self.at)
    }
}

/// The newest state of each service's roll-out.
#[derive(Debug, Default)]
pub struct RolloutTable {
    held: BTreeMap<ResourceName, Held>,
}

impl RolloutTable {
    /// Takes what somebody tells; true when it is later than what is held.
    pub fn merge(&mut self, state: RolloutState, now: Moment) -> bool {
        let mut state = state;
        if let Some(held) = self.held.get_mut(&state.service) {
            if held.state.order == state.order {
                // Who tells the longer time has known the order longer.
                let missed = state.elapsed.saturating_sub(held.elapsed(now));
                held.state.elapsed += missed;
                state.elapsed = held.elapsed(now);
            }
            if !state.supersedes(&held.state) {
                return false;
            }
        }
        let held = Held { state, at: now };
        self.held.insert(held.state.service.clone(), held);
        true
    }

    /// Takes an order; true when it is a new one. The same target again is the order that
    /// is held: the store may have been restored, and the order written again.
    pub fn accept_order(&mut self, order: &RolloutOrder, source: OrderSource, now: Moment) -> bool {
        let mut order = order.clone();
        if let Some(held) = self.held.get(&order.service) {
            let older = order.order <= held.state.order;
            let repeated = order.target == held.state.target;
            if repeated || (older && source == OrderSource::Existing) {
                return false;
            }
            order.order = order.order.max(held.state.order.saturating_add(1));
        }
        self.merge(RolloutState::from_order(&order, Duration::ZERO), now)
    }

    /// The state of `service`, as of now.
    pub fn state(&self, service: &ResourceName, now: Moment) -> Option<RolloutState> {
        let held = self.held.get(service)?;
        let elapsed = held.elapsed(now);
        Some(RolloutState {
            elapsed,
            ..held.state.clone()
        })
    }

    /// All states, as of now.
    pub fn states(&self, now: Moment) -> Vec<RolloutState> {
        let services = self.held.keys();
        services
            .filter_map(|service| self.state(service, now))
            .collect()
    }

    /// True when nothing is known of any roll-out.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// True while a roll-out has not ended.
    pub fn has_open(&self) -> bool {
        self.held.values().any(|held| !held.state.phase.is_ended())
    }

    /// Time since an open roll-out was last confirmed, the longest of all.
    pub fn longest_silence(&self, now: Moment) -> Option<Duration> {
        let open = self.held.values();
        open.filter(|held| !held.state.phase.is_ended())
            .map(|held| now.since(held.at))
            .max()
    }

    /// What entries may do with the versions of each service.
    pub fn rules(
        &self,
        bounds: &RolloutBounds,
        now: Moment,
    ) -> BTreeMap<ResourceName, VersionRule> {
        let patience = bounds.rollback_deadline.mul_f64(CONFIRMATION_SHARE);
        let rules = self.held.iter().filter_map(|(service, held)| {
            let silence = now.since(held.at);
            let share = match held.state.phase {
                Phase::Running if held.state.term == 0 => VersionShare::LastResort,
                Phase::Running if silence < patience => VersionShare::Limited {
                    permille: held.state.share_permille,
                    round: held.state.step,
                },
                // Not even alone: a version that may have been found bad since, with calls
                // that no share counts, would break the bound wherever others are shut out.
                Phase::Running | Phase::RollingBack | Phase::RolledBack => VersionShare::Blocked,
                Phase::Moving if silence < patience => VersionShare::Preferred,
                // The old back ends may be gone by now.
                Phase::Moving => VersionShare::LastResort,
                Phase::Succeeded if silence < PREFERENCE => VersionShare::Preferred,
                Phase::Succeeded => return None,
            };
            let rule = VersionRule {
                order: held.state.order,
                target: held.state.target.clone(),
                share,
                open: !held.state.phase.is_ended(),
            };
            Some((service.clone(), rule))
        });
        rules.collect()
    }
}
