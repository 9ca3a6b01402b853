//! Roll-outs at this node: orders in, the decider's calls to the store out, and what
//! entries may do with versions.

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

/// What entries may do with the versions of each service that is or was rolled out.
pub type VersionRules = BTreeMap<ResourceName, VersionRule>;

impl Control {
    /// Takes orders to roll out that stand in the store.
    pub(super) fn on_rollout_orders(
        self: &Arc<Self>,
        orders: &[RolloutOrder],
        source: OrderSource,
    ) {
        let now = self.clock.now();
        let actions = self.agent().on_rollout_orders(orders, source, now);
        self.perform(actions);
    }

    /// Takes what callers of this node got from versions that are being brought in.
    pub fn record_version_evidence(&self, evidence: Vec<VersionEvidence>) {
        self.agent().record_version_evidence(evidence);
    }

    /// What entries may do with versions.
    pub fn version_rules(&self) -> Arc<VersionRules> {
        self.version_rules.load_full()
    }

    /// All roll-outs that this node knows.
    pub fn rollouts(&self) -> Vec<RolloutState> {
        let now = self.clock.now();
        self.with_agent(|agent| agent.rollouts(now))
    }

    pub(super) fn refresh_version_rules(&self) {
        // Under the agent's lock to the end, so that an earlier look does not take the
        // place of a later one.
        self.with_agent(|agent| {
            let now = self.clock.now();
            let decides = agent.is_rollout_decider(now);
            self.metrics.roll_out_decider.set(i64::from(decides));
            let rules = agent.version_rules(now);
            if **self.version_rules.load() != rules {
                self.version_rules.store(Arc::new(rules));
            }
        });
    }

    /// Asks the store for the decider; its answer leads to further decisions.
    pub(super) fn ask_decider_store(self: &Arc<Self>, call: DeciderRequest) {
        let Some(store) = self.roll_out_store.clone() else {
            return;
        };
        self.metrics.count_store_request("roll-out");
        let control = Arc::downgrade(self);
        let eras = self.eras.clone();
        async_std::task::spawn(async move {
            let result = within_era(&eras, store.execute(&call, wall_clock_ms())).await;
            let Some(control) = control.upgrade() else {
                return;
            };
            let answer = result.map(with_time_since).unwrap_or_else(|error| {
                tracing::warn!(%error, "a call to the store for a roll-out failed");
                DeciderResponse::Failed
            });
            let now = control.clock.now();
            let actions = control.agent().on_decider_response(answer, now);
            control.perform(actions);
            control.refresh_version_rules();
        });
    }
}

fn wall_clock_ms() -> u64 {
    wall_clock_micros() / 1_000
}

/// Adds the time since states were put on record, by the wall clocks of two nodes. One
/// that was set back makes a roll-out younger, at most by that.
fn with_time_since(answer: DeciderResponse) -> DeciderResponse {
    let DeciderResponse::Records {
        fence,
        term,
        mut states,
    } = answer
    else {
        return answer;
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
