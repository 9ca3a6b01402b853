//! The store's part in roll-outs, with its faults.

use rampthread_core::fleet::LeaseId;
use rampthread_core::ids::ResourceName;
use rampthread_core::rollout::{DeciderRequest, DeciderResponse, Phase, StoredRollout};
use rampthread_core::time::Moment;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

#[derive(Debug, Clone, Copy)]
struct Holder {
    lease: LeaseId,
    fence: u64,
    term: u64,
    until: Moment,
}

/// What the store keeps of roll-outs, and every state that was ever on record.
#[derive(Debug, Default)]
pub struct RolloutRecords {
    /// Nodes that it refuses.
    pub refused: BTreeSet<usize>,
    /// Of a hundred calls, those whose answers are lost after they were done.
    pub lost_percent: u32,
    /// Calls made so far.
    pub calls: u64,
    revision: u64,
    holder: Option<Holder>,
    granted: BTreeMap<LeaseId, (u128, Moment)>,
    states: BTreeMap<ResourceName, StoredRollout>,
    /// Orders and phases in the order in which they were written.
    pub written: Vec<(u64, Phase, Moment)>,
}

impl RolloutRecords {
    /// Carries out a call of `node`; `lost`: its answer does not arrive.
    pub fn call(
        &mut self,
        node: usize,
        call: &DeciderRequest,
        lost: bool,
        now: Moment,
    ) -> DeciderResponse {
        self.calls += 1;
        if self.refused.contains(&node) {
            return DeciderResponse::Failed;
        }
        if self.holder.is_some_and(|holder| holder.until <= now) {
            self.holder = None;
        }
        let answer = self.done(call, now);
        match lost {
            true => DeciderResponse::Failed,
            false => answer,
        }
    }

    fn done(&mut self, call: &DeciderRequest, now: Moment) -> DeciderResponse {
        match call {
            DeciderRequest::Read => DeciderResponse::Records {
                fence: self.holder.map(|holder| holder.fence),
                term: self.holder.map_or(0, |holder| holder.term),
                states: self
                    .states
                    .values()
                    .map(|stored| aged(stored, now))
                    .collect(),
            },
            DeciderRequest::Claim { term, life } => {
                if self.holder.is_some() {
                    return DeciderResponse::Conflict;
                }
                self.revision += 1;
                let lease = self.revision;
                self.granted.insert(lease, (life.as_micros(), now));
                self.holder = Some(Holder {
                    lease,
                    fence: self.revision,
                    term: *term,
                    until: now + *life,
                });
                DeciderResponse::Claimed {
                    lease,
                    fence: self.revision,
                }
            }
            DeciderRequest::Renew { lease } => match &mut self.holder {
                Some(holder) if holder.lease == *lease => {
                    let (life, _) = self.granted[lease];
                    holder.until = Moment(now.0 + life as u64);
                    DeciderResponse::Kept
                }
                _ => DeciderResponse::Conflict,
            },
            DeciderRequest::Release { lease } => {
                if self.holder.is_some_and(|holder| holder.lease == *lease) {
                    self.holder = None;
                }
                DeciderResponse::Kept
            }
            DeciderRequest::Write {
                state,
                expected,
                fence,
            } => {
                let found = self.states.get(&state.service);
                let found = found.map_or(0, |stored| stored.revision);
                let holds = self.holder.is_some_and(|holder| holder.fence == *fence);
                if !holds || found != *expected {
                    return DeciderResponse::Conflict;
                }
                self.revision += 1;
                let stored = StoredRollout {
                    state: state.clone(),
                    revision: self.revision,
                    written_ms: now.0 / 1_000,
                };
                self.written.push((state.order, state.phase, now));
                self.states.insert(state.service.clone(), stored);
                DeciderResponse::Written {
                    revision: self.revision,
                }
            }
        }
    }

    /// The store comes back from a copy in which nothing of roll-outs stood.
    pub fn forget_all(&mut self) {
        self.holder = None;
        self.states.clear();
    }

    /// The phase on record.
    pub fn phase(&self) -> Option<Phase> {
        self.states.values().next().map(|stored| stored.state.phase)
    }
}

/// As a node reads it: what has passed since it was written counts.
fn aged(stored: &StoredRollout, now: Moment) -> StoredRollout {
    let mut stored = stored.clone();
    let since = (now.0 / 1_000).saturating_sub(stored.written_ms);
    stored.state.elapsed += Duration::from_millis(since);
    stored
}
