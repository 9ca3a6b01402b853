//! Selection of the nodes that watch the store for a new document, and what happens if a
//! watcher gets no answers.
//!
//! A watcher without answers must not be mistaken for one without new versions. Therefore each
//! watch is short compared with the time within which a version must become active, and a
//! watcher whose call fails announces that to all peers at once. It is replaced, and since its
//! successors may not get answers either, it also asks a few other nodes to query the store
//! once (a *hedge*). Nodes that get an answer keep watching for a while.

use super::action::{Decision, Outbox};
use super::member::{MemberRecord, Status};
use super::membership::Membership;
use super::settings::FleetSettings;
use crate::ids::NodeId;
use crate::rendezvous;
use crate::time::Moment;
use rand::Rng;
use rand::seq::IteratorRandom;
use std::time::Duration;

/// Rendezvous key for the selection of watchers.
const WATCHERS_KEY: &str = "document watchers";
/// Minimum number of watchers, even if the store is slow for them. Limited because a burst of
/// versions saturates their links; enough to survive the failure of one or two.
const LEAST_WATCHERS: usize = 4;
/// Maximum wait of a watch per watcher. What matters is when the first watch of any watcher
/// ends after the store stopped answering: with eight watchers within 0.7 s in 998 of 1,000
/// cases. Together they make 6.4 store calls a second.
const WAIT_PER_WATCHER: Duration = Duration::from_millis(250);
/// Lower bound for the maximum wait when there are few watchers. It leaves half of the 2 s
/// within which a version must be active.
const LEAST_LONGEST_WAIT: Duration = Duration::from_secs(1);
/// Minimum wait of a watch as a share of the maximum. Each wait is random, since a new version
/// ends all watches at once and they must not stay synchronized.
const SHORTEST_WAIT_SHARE: f64 = 0.25;
/// Minimum timeout of a store call, on top of the requested wait. Twice the latency of a slow
/// store; it leaves 1.6 s of the 2 s within which a version must be active.
const LEAST_PATIENCE: Duration = Duration::from_millis(400);
/// Maximum timeout of a store call, on top of the requested wait.
const LONGEST_PATIENCE: Duration = Duration::from_millis(1_600);
/// Ratio of the timeout to the latency of the last answer.
const PATIENCE_FACTOR: u32 = 2;
/// Factor by which the timeout shrinks after an answer that was faster.
const PATIENCE_DECAY: f64 = 0.8;
/// Time after a failed call for which a node does not count as reached by the store, even if
/// calls succeed, so that the set of watchers does not flap.
const HOLD: Duration = Duration::from_secs(5);
/// Number of nodes that a watcher asks to query the store after a failure. If 85 % of the nodes
/// get no answers, some of them succeed in 93 of 100 cases; eight watchers fail within moments
/// of each other.
const HEDGES_PER_LOSS: usize = 16;
/// Minimum interval between hedges of one node, since many watchers fail one after the other in
/// an outage. A request during the interval is delayed, not dropped, because other nodes may
/// have lost the store by then.
const HEDGE_PAUSE: Duration = Duration::from_millis(800);
/// Interval over which the hedges for one failure are spread, to avoid a burst of calls to the
/// store.
const HEDGE_SPREAD: Duration = Duration::from_millis(200);
/// Time for which a successful hedge watches in addition to the selected nodes. Longer than it
/// takes to replace all watchers that lost the store.
const HEDGE_TERM: Duration = Duration::from_secs(5);

/// Retry interval per node without answers from the store: together these nodes make four calls
/// a second, whatever their number.
const RETRY_PER_LOST: Duration = Duration::from_millis(250);
/// The same while fewer than [`LEAST_WATCHERS`] nodes get answers, because no other node would
/// learn of a new version. If 15 % of the nodes are served again, one of 20 calls a second
/// succeeds within 1.5 s in 99 of 100 cases.
const RETRY_PER_LOST_ALONE: Duration = Duration::from_millis(50);
/// Minimum retry interval of one node.
const LEAST_RETRY: Duration = Duration::from_millis(400);

/// Selected watchers according to this node's member table, and the state of this node's own
/// calls.
#[derive(Debug)]
pub struct StoreWatch {
    /// Selected at `revision` of the member table.
    watchers: Vec<NodeId>,
    revision: u64,
    /// True if this node is one of the selected watchers.
    chosen: bool,
    /// True if the store answered the last call.
    answers: bool,
    answered_at: Option<Moment>,
    lost_at: Option<Moment>,
    patience: Duration,
    /// Time of the scheduled hedge.
    hedge_at: Option<Moment>,
    /// Time of the last hedge.
    hedged_at: Option<Moment>,
    /// End of the watch that follows a hedge.
    hedge_until: Option<Moment>,
    /// Time of the next call after a failure.
    retry_at: Option<Moment>,
}

impl Default for StoreWatch {
    fn default() -> Self {
        Self {
            watchers: Vec::new(),
            revision: 0,
            // A node without known peers is the only one that can watch.
            chosen: true,
            answers: false,
            answered_at: None,
            lost_at: None,
            patience: LEAST_PATIENCE,
            hedge_at: None,
            hedged_at: None,
            hedge_until: None,
            retry_at: None,
        }
    }
}

impl StoreWatch {
    /// Returns the selected watchers according to this node's member table.
    pub fn chosen_watchers(&self) -> &[NodeId] {
        &self.watchers
    }

    /// Returns true if this node watches, as a selected watcher or after a hedge.
    pub fn watches(&self) -> bool {
        self.chosen || self.hedge_until.is_some()
    }

    /// Returns true if the selection is based on the current member table.
    pub fn is_current(&self, membership: &Membership) -> bool {
        self.revision == membership.revision()
    }

    /// Returns true if the last call succeeded and the last failure is at least [`HOLD`] ago.
    pub fn answers(&self, now: Moment) -> bool {
        let held = self.lost_at.is_some_and(|lost| now.since(lost) < HOLD);
        self.answers && !held
    }

    /// Returns the time since the store last answered this node for the document.
    pub fn answer_age(&self, now: Moment) -> Option<Duration> {
        self.answered_at.map(|answered| now.since(answered))
    }

    /// Returns a random wait for the next watch.
    pub fn wait(&self, rng: &mut impl Rng) -> Duration {
        let watchers = self.watchers.len().max(1) as u32;
        let longest = (WAIT_PER_WATCHER * watchers).max(LEAST_LONGEST_WAIT);
        longest.mul_f64(rng.random_range(SHORTEST_WAIT_SHARE..1.0))
    }

    /// Returns the timeout of a store call, on top of the wait that it requests.
    pub fn patience(&self) -> Duration {
        self.patience
    }

    /// Updates the timeout with the latency of a call, less the requested wait. Nodes with a
    /// slow connection to the store wait longer.
    pub fn took(&mut self, time: Duration) {
        let kept = self.patience.mul_f64(PATIENCE_DECAY);
        let wanted = kept.max(time * PATIENCE_FACTOR);
        self.patience = wanted.clamp(LEAST_PATIENCE, LONGEST_PATIENCE);
    }

    /// Records a successful store call.
    pub fn answered(&mut self, now: Moment) {
        self.answers = true;
        self.answered_at = Some(now);
        self.retry_at = None;
    }

    /// Records a failed store call. Returns the nodes to ask for a hedge, if this node was a
    /// watcher and the previous call succeeded.
    pub fn lost(
        &mut self,
        now: Moment,
        membership: &Membership,
        rng: &mut impl Rng,
    ) -> Vec<NodeId> {
        let just_lost = std::mem::replace(&mut self.answers, false);
        // No other node relied on a hedge that never got an answer.
        let was_heard = self.answered_at >= self.hedged_at;
        let relied_on = just_lost && (self.chosen || (self.hedge_until.is_some() && was_heard));
        self.lost_at = Some(now);
        self.hedge_until = None;
        self.patience = (self.patience * 2).min(LONGEST_PATIENCE);
        let retry = retry_pause(membership).mul_f64(rng.random_range(0.5..1.5));
        self.retry_at = Some(now + retry);
        match relied_on {
            true => self.hedges(membership, rng),
            false => Vec::new(),
        }
    }

    /// Selects nodes for hedges, those with answers from the store first.
    fn hedges(&self, membership: &Membership, rng: &mut impl Rng) -> Vec<NodeId> {
        let me = &membership.me().id;
        let candidates = |answered: bool| {
            alive(membership)
                .filter(move |record| record.conditions.reader == answered)
                .map(|record| &record.id)
                .filter(|id| *id != me && !self.watchers.contains(id))
        };
        let mut chosen = candidates(true).choose_multiple(rng, HEDGES_PER_LOSS);
        let missing = HEDGES_PER_LOSS - chosen.len();
        chosen.extend(candidates(false).choose_multiple(rng, missing));
        chosen.into_iter().cloned().collect()
    }

    /// Schedules a hedge for a watcher that failed, unless this node watches and got an answer
    /// within [`HEDGE_PAUSE`].
    pub fn hedge(&mut self, now: Moment, rng: &mut impl Rng) {
        let heard = self
            .answer_age(now)
            .is_some_and(|age| self.watches() && age < HEDGE_PAUSE);
        if heard || self.hedge_at.is_some() {
            return;
        }
        let begin = self.hedged_at.map_or(now, |hedged| hedged + HEDGE_PAUSE);
        self.hedge_at = Some(begin.max(now) + HEDGE_SPREAD.mul_f64(rng.random()));
    }

    /// Selects the watchers again if the member table has changed. Returns true if this node
    /// must call the store now: it has just become a watcher, or a hedge or retry is due.
    pub fn tick(
        &mut self,
        now: Moment,
        membership: &Membership,
        settings: &FleetSettings,
        outbox: &mut Outbox,
    ) -> bool {
        let watched = self.watches();
        if !self.is_current(membership) {
            self.revision = membership.revision();
            self.choose(membership, settings, outbox);
        }
        self.hedge_until = self.hedge_until.filter(|until| now < *until);
        let due = |at: Option<Moment>| at.is_some_and(|at| now >= at);
        let asks = due(self.hedge_at) || due(self.retry_at);
        if asks {
            self.hedge_at = None;
            self.retry_at = None;
            self.hedged_at = Some(now);
            self.hedge_until = Some(now + HEDGE_TERM);
        }
        asks || (self.watches() && !watched)
    }

    fn choose(&mut self, membership: &Membership, settings: &FleetSettings, outbox: &mut Outbox) {
        self.watchers = choice(membership, settings);
        let me = &membership.me().id;
        let chosen = self.watchers.contains(me);
        if chosen == self.chosen {
            return;
        }
        self.chosen = chosen;
        let watchers = self.watchers.len();
        outbox.explain(match chosen {
            true => Decision::WatchBegun { watchers },
            false => Decision::WatchEnded {
                store_answers: self.answers,
                watchers,
            },
        });
    }
}

/// Returns the mean time until a node without answers calls the store again.
fn retry_pause(membership: &Membership) -> Duration {
    let readers = alive(membership).filter(|record| record.conditions.reader);
    let lost = alive(membership).filter(|record| !record.conditions.reader);
    let lost = lost.count() as u32;
    if readers.count() < LEAST_WATCHERS {
        return (RETRY_PER_LOST_ALONE * lost).max(LEAST_RETRY);
    }
    (RETRY_PER_LOST * lost).max(HOLD)
}

fn alive(membership: &Membership) -> impl Iterator<Item = &MemberRecord> {
    membership
        .records()
        .filter(|record| record.status == Status::Alive)
}

/// Selects watchers spread over the zones, those with answers from the store first.
fn choice(membership: &Membership, settings: &FleetSettings) -> Vec<NodeId> {
    let candidates = |answered: bool| {
        alive(membership)
            .filter(move |record| record.conditions.reader == answered)
            .map(|record| (record.id.clone(), record.zone.clone()))
    };
    let count = settings.document_watchers;
    let mut watchers = rendezvous::select_across_zones(WATCHERS_KEY, candidates(true), count);
    let missing = LEAST_WATCHERS.min(count).saturating_sub(watchers.len());
    watchers.extend(rendezvous::select_across_zones(
        WATCHERS_KEY,
        candidates(false),
        missing,
    ));
    watchers
}
