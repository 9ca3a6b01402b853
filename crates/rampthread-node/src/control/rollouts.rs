//! Rollouts at this node: passes orders to the agent and the decider's requests to the
//! store, and publishes the routing rules for versions.

use super::Control;
use super::store_era::within_era;
use crate::clock::wall_clock_micros;
use rampthread_core::ids::ResourceName;
use rampthread_core::rollout::table::OrderSource;
use rampthread_core::rollout::{
    DeciderRequest, DeciderResponse, RolloutOrder, RolloutState, VersionEvidence, VersionRule,
};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Routing rules for the versions of each service that is or was rolled out.
pub type VersionRules = BTreeMap<ResourceName, VersionRule>;

impl Control {
    /// Passes rollout orders that were read from the store to the agent.
    pub(super) fn on_rollout_orders(
        self: &Arc<Self>,
        orders: &[RolloutOrder],
        source: OrderSource,
    ) {
        let now = self.clock.now();
        let actions = self.agent().on_rollout_orders(orders, source, now);
        self.perform(actions);
    }

    /// Passes the response counts of versions in a rollout to the agent.
    pub fn record_version_evidence(&self, evidence: Vec<VersionEvidence>) {
        self.agent().record_version_evidence(evidence);
    }

    /// Returns the routing rules for the versions of services, as of the last change.
    pub fn version_rules(&self) -> Arc<VersionRules> {
        self.version_rules.load_full()
    }

    /// Returns the states of all rollouts known to this node.
    pub fn rollouts(&self) -> Vec<RolloutState> {
        let now = self.clock.now();
        self.with_agent(|agent| agent.rollouts(now))
    }

    /// Publishes the routing rules for versions to the call path.
    pub(super) fn refresh_version_rules(&self) {
        // Holds the agent's lock to the end, so that an older result can't replace a newer
        // one.
        self.with_agent(|agent| {
            let now = self.clock.now();
            let is_decider = agent.is_rollout_decider(now);
            self.metrics.roll_out_decider.set(i64::from(is_decider));
            let rules = agent.version_rules(now);
            if **self.version_rules.load() != rules {
                self.version_rules.store(Arc::new(rules));
            }
        });
    }

    /// Sends a request of the rollout decider to the store, and passes the response to the
    /// agent.
    pub(super) fn execute_decider_request(self: &Arc<Self>, request: DeciderRequest) {
        let Some(store) = self.roll_out_store.clone() else {
            return;
        };
        self.metrics.count_store_request("roll-out");
        let control = Arc::downgrade(self);
        let eras = self.eras.clone();
        async_std::task::spawn(async move {
            let result = within_era(&eras, store.execute(&request, wall_clock_ms())).await;
            let Some(control) = control.upgrade() else {
                return;
            };
            let response = result.map(with_elapsed_time).unwrap_or_else(|error| {
                tracing::warn!(%error, "a store request of the rollout decider failed");
                DeciderResponse::Failed
            });
            let now = control.clock.now();
            let actions = control.agent().on_decider_response(response, now);
            control.perform(actions);
            control.refresh_version_rules();
        });
    }
}

/// Wall clock, in milliseconds since the Unix epoch.
fn wall_clock_ms() -> u64 {
    wall_clock_micros() / 1_000
}

/// Adds the time since states were persisted, by the wall clocks of the writer and this
/// node. A wall clock that was set back makes a rollout younger, at most by that time.
fn with_elapsed_time(response: DeciderResponse) -> DeciderResponse {
    let DeciderResponse::Records {
        fence,
        term,
        mut states,
    } = response
    else {
        return response;
    };
    let now = wall_clock_ms();
    for stored in &mut states {
        let since = now.saturating_sub(stored.written_ms);
        stored.state.elapsed += Duration::from_millis(since);
    }
    DeciderResponse::Records {
        fence,
        term,
        states,
    }
}
