//! Selection of the document watchers, and what happens if one of them gets no answers.
//!
//! A document watcher is a node that watches the document in the store for a newer version. One
//! that gets no answers must not be mistaken for one without newer versions. Therefore each
//! watch is short compared with the time within which a version must become active, and a
//! watcher whose store call fails announces that to all peers at once. It is replaced, and
//! since its successors may not get answers either, it also asks a few other nodes to call the
//! store once in its place. These calls are *hedged store calls*. Nodes that get an answer keep
//! watching for a while.

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

/// Rendezvous key for the selection of document watchers.
const WATCHERS_KEY: &str = "document watchers";
/// Minimum number of document watchers, even if the store does not answer all of them. With four,
/// one or two may fail. There are not more because a burst of versions saturates the network
/// links of all watchers.
const MIN_WATCHERS: usize = 4;
/// Maximum wait of a watch, divided by the number of document watchers. An outage of the store
/// is noticed when the first watch of any watcher ends: with eight watchers, within 0.7 s in 998
/// of 1,000 cases. Together, eight watchers make 6.4 store calls a second.
const MAX_WAIT_PER_WATCHER: Duration = Duration::from_millis(250);
/// Lower bound for the maximum wait of a watch when there are few document watchers. It leaves
/// half of the 2 s within which a version must be active.
const MIN_MAX_WAIT: Duration = Duration::from_secs(1);
/// Ratio of the minimum to the maximum wait of a watch. The wait is random between them: a new
/// version ends the watches of all watchers at once, and their next watches must not end
/// together too.
const MIN_WAIT_RATIO: f64 = 0.25;
/// Minimum timeout of a store call, on top of the requested wait. Twice the latency of a slow
/// store; it leaves 1.6 s of the 2 s within which a version must be active.
const MIN_CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum timeout of a store call, on top of the requested wait.
const MAX_CALL_TIMEOUT: Duration = Duration::from_millis(1_600);
/// Ratio of the timeout of a store call to the latency of the last one.
const TIMEOUT_LATENCY_RATIO: u32 = 2;
/// Minimum ratio of the timeout of a store call to the previous timeout, so that the timeout
/// falls gradually after a fast answer.
const TIMEOUT_DECAY: f64 = 0.8;
/// Time after a failed store call for which a node does not count as reachable by the store,
/// even if calls succeed, so that the set of document watchers does not flap.
const FAILURE_HOLD: Duration = Duration::from_secs(5);
/// Number of nodes that a document watcher asks for a hedged store call after its own call
/// failed. If the store does not answer 85 % of the nodes, eight watchers fail almost at once,
/// and at least one of the nodes they ask gets an answer in 93 of 100 cases.
const HEDGES_PER_FAILURE: usize = 16;
/// Minimum interval between hedged store calls of one node, since many document watchers fail
/// one after the other in an outage. A request during the interval is delayed, not dropped,
/// because other nodes may have lost the store by then. When they were dropped, a version came
/// 4 s late to 74 nodes.
const MIN_HEDGE_INTERVAL: Duration = Duration::from_millis(800);
/// Interval over which the hedged store calls for one failure are spread, to avoid a burst of
/// calls to the store.
const HEDGE_JITTER: Duration = Duration::from_millis(200);
/// Time for which a node keeps watching the document after a successful hedged store call.
/// Longer than it takes to replace all document watchers that lost the store.
const HEDGE_WATCH_DURATION: Duration = Duration::from_secs(5);

/// Mean interval at which a node without answers from the store calls it again, divided by the
/// number of such nodes. Together they make four calls a second, whatever their number.
const RETRY_INTERVAL_PER_NODE: Duration = Duration::from_millis(250);
/// Replaces [`RETRY_INTERVAL_PER_NODE`] while fewer than [`MIN_WATCHERS`] nodes get answers from
/// the store. Otherwise no node might see a new version for a long time. If 15 % of the nodes
/// are served again, one of 20 calls a second succeeds within 1.5 s in 99 of 100 cases.
const RETRY_INTERVAL_PER_NODE_FEW_WATCHERS: Duration = Duration::from_millis(50);
/// Minimum mean interval at which a node without answers from the store calls it again while
/// fewer than [`MIN_WATCHERS`] nodes get answers.
const MIN_RETRY_INTERVAL: Duration = Duration::from_millis(400);

/// The document watchers according to this node's member table, and the state of this node's
/// calls to the store.
#[derive(Debug)]
pub struct StoreWatch {
    /// Selected document watchers, this node possibly included.
    watchers: Vec<NodeId>,
    /// Revision of the member table from which the document watchers were selected.
    revision: u64,
    /// True if this node is one of the selected document watchers.
    selected: bool,
    /// True if the store answered this node's last call.
    reachable: bool,
    /// Time of the store's last answer to this node.
    answered_at: Option<Moment>,
    /// Time of this node's last failed store call.
    failed_at: Option<Moment>,
    /// Timeout of this node's store calls, on top of the requested wait.
    call_timeout: Duration,
    /// Time of the next hedged store call, requested by a document watcher that got no answer.
    hedge_at: Option<Moment>,
    /// Time of this node's last hedged store call.
    hedged_at: Option<Moment>,
    /// Time until which this node keeps watching the document after a hedged store call.
    hedge_until: Option<Moment>,
    /// Time of this node's next call to the store after a failed one.
    retry_at: Option<Moment>,
}

impl Default for StoreWatch {
    fn default() -> Self {
        Self {
            watchers: Vec::new(),
            revision: 0,
            // While a node knows no peers, it watches the document itself.
            selected: true,
            reachable: false,
            answered_at: None,
            failed_at: None,
            call_timeout: MIN_CALL_TIMEOUT,
            hedge_at: None,
            hedged_at: None,
            hedge_until: None,
            retry_at: None,
        }
    }
}

impl StoreWatch {
    /// Returns the document watchers according to this node's member table.
    pub fn selected_watchers(&self) -> &[NodeId] {
        &self.watchers
    }

    /// Returns true if this node watches the document in the store: it is a selected document
    /// watcher, or has recently made a hedged store call.
    pub fn is_watching(&self) -> bool {
        self.selected || self.hedge_until.is_some()
    }

    /// Returns true if the document watchers were selected from the current member table.
    pub fn is_current(&self, membership: &Membership) -> bool {
        self.revision == membership.revision()
    }

    /// Returns true if this node's last store call succeeded and no call has failed within
    /// [`FAILURE_HOLD`].
    pub fn is_reachable(&self, now: Moment) -> bool {
        let recently_failed = self
            .failed_at
            .is_some_and(|failed| now.since(failed) < FAILURE_HOLD);
        self.reachable && !recently_failed
    }

    /// Returns the time since the store last answered this node for the document.
    pub fn answer_age(&self, now: Moment) -> Option<Duration> {
        self.answered_at.map(|answered| now.since(answered))
    }

    /// Returns a random time that the store may wait for a newer document in the next watch.
    pub fn next_wait(&self, rng: &mut impl Rng) -> Duration {
        let watchers = self.watchers.len().max(1) as u32;
        let longest = (MAX_WAIT_PER_WATCHER * watchers).max(MIN_MAX_WAIT);
        longest.mul_f64(rng.random_range(MIN_WAIT_RATIO..1.0))
    }

    /// Returns the timeout of a store call, on top of the wait that it requests.
    pub fn call_timeout(&self) -> Duration {
        self.call_timeout
    }

    /// Updates the timeout of store calls with the latency of a call, less the requested wait.
    /// Nodes with a slow connection to the store thus get a longer timeout.
    pub fn record_latency(&mut self, time: Duration) {
        let decayed = self.call_timeout.mul_f64(TIMEOUT_DECAY);
        let wanted = decayed.max(time * TIMEOUT_LATENCY_RATIO);
        self.call_timeout = wanted.clamp(MIN_CALL_TIMEOUT, MAX_CALL_TIMEOUT);
    }

    /// Records that the store has answered this node's call.
    pub fn on_answer(&mut self, now: Moment) {
        self.reachable = true;
        self.answered_at = Some(now);
        self.retry_at = None;
    }

    /// Records that a store call of this node failed. If this node was watching the document
    /// and the previous call succeeded, returns the nodes to ask for a hedged store call.
    pub fn on_failure(
        &mut self,
        now: Moment,
        membership: &Membership,
        rng: &mut impl Rng,
    ) -> Vec<NodeId> {
        let was_reachable = std::mem::replace(&mut self.reachable, false);
        // If the last hedged store call got no answer, other nodes did not rely on this node.
        let last_hedge_answered = self.answered_at >= self.hedged_at;
        let was_watching =
            was_reachable && (self.selected || (self.hedge_until.is_some() && last_hedge_answered));
        self.failed_at = Some(now);
        self.hedge_until = None;
        self.call_timeout = (self.call_timeout * 2).min(MAX_CALL_TIMEOUT);
        let retry = mean_retry_interval(membership).mul_f64(rng.random_range(0.5..1.5));
        self.retry_at = Some(now + retry);
        match was_watching {
            true => self.select_hedges(membership, rng),
            false => Vec::new(),
        }
    }

    /// Selects nodes for hedged store calls, first those that get answers from the store.
    fn select_hedges(&self, membership: &Membership, rng: &mut impl Rng) -> Vec<NodeId> {
        let me = &membership.me().id;
        let candidates = |answered: bool| {
            alive_members(membership)
                .filter(move |record| record.conditions.reader == answered)
                .map(|record| &record.id)
                .filter(|id| *id != me && !self.watchers.contains(id))
        };
        let mut selected = candidates(true).choose_multiple(rng, HEDGES_PER_FAILURE);
        let missing = HEDGES_PER_FAILURE - selected.len();
        selected.extend(candidates(false).choose_multiple(rng, missing));
        selected.into_iter().cloned().collect()
    }

    /// Schedules a hedged store call, requested by a document watcher whose call has failed.
    /// Does nothing if this node watches the document itself and got an answer within
    /// [`MIN_HEDGE_INTERVAL`].
    pub fn request_hedge(&mut self, now: Moment, rng: &mut impl Rng) {
        let recently_answered = self
            .answer_age(now)
            .is_some_and(|age| self.is_watching() && age < MIN_HEDGE_INTERVAL);
        if recently_answered || self.hedge_at.is_some() {
            return;
        }
        let begin = self
            .hedged_at
            .map_or(now, |hedged| hedged + MIN_HEDGE_INTERVAL);
        self.hedge_at = Some(begin.max(now) + HEDGE_JITTER.mul_f64(rng.random()));
    }

    /// Selects the document watchers again if the member table has changed. Returns true if
    /// this node must call the store now: it has just started to watch, or a hedged store call
    /// or retry is due.
    pub fn tick(
        &mut self,
        now: Moment,
        membership: &Membership,
        settings: &FleetSettings,
        outbox: &mut Outbox,
    ) -> bool {
        let was_watching = self.is_watching();
        if !self.is_current(membership) {
            self.revision = membership.revision();
            self.update_selection(membership, settings, outbox);
        }
        self.hedge_until = self.hedge_until.filter(|until| now < *until);
        let due = |at: Option<Moment>| at.is_some_and(|at| now >= at);
        let call_due = due(self.hedge_at) || due(self.retry_at);
        if call_due {
            self.hedge_at = None;
            self.retry_at = None;
            self.hedged_at = Some(now);
            self.hedge_until = Some(now + HEDGE_WATCH_DURATION);
        }
        call_due || (self.is_watching() && !was_watching)
    }

    /// Selects the document watchers and logs whether this node is one of them.
    fn update_selection(
        &mut self,
        membership: &Membership,
        settings: &FleetSettings,
        outbox: &mut Outbox,
    ) {
        self.watchers = select_watchers(membership, settings);
        let me = &membership.me().id;
        let selected = self.watchers.contains(me);
        if selected == self.selected {
            return;
        }
        self.selected = selected;
        let watchers = self.watchers.len();
        outbox.log_decision(match selected {
            true => Decision::WatchBegun { watchers },
            false => Decision::WatchEnded {
                store_answers: self.reachable,
                watchers,
            },
        });
    }
}

/// Returns the mean time until a node without answers calls the store again.
fn mean_retry_interval(membership: &Membership) -> Duration {
    let readers = alive_members(membership).filter(|record| record.conditions.reader);
    let unreachable = alive_members(membership).filter(|record| !record.conditions.reader);
    let unreachable = unreachable.count() as u32;
    if readers.count() < MIN_WATCHERS {
        return (RETRY_INTERVAL_PER_NODE_FEW_WATCHERS * unreachable).max(MIN_RETRY_INTERVAL);
    }
    (RETRY_INTERVAL_PER_NODE * unreachable).max(FAILURE_HOLD)
}

/// Returns the members that are neither suspect nor dead nor departed, this node included.
fn alive_members(membership: &Membership) -> impl Iterator<Item = &MemberRecord> {
    membership
        .records()
        .filter(|record| record.status == Status::Alive)
}

/// Selects document watchers spread over the zones. Nodes that get answers from the store are
/// preferred.
fn select_watchers(membership: &Membership, settings: &FleetSettings) -> Vec<NodeId> {
    let candidates = |answered: bool| {
        alive_members(membership)
            .filter(move |record| record.conditions.reader == answered)
            .map(|record| (record.id.clone(), record.zone.clone()))
    };
    let count = settings.document_watchers;
    let mut watchers = rendezvous::select_across_zones(WATCHERS_KEY, candidates(true), count);
    let missing = MIN_WATCHERS.min(count).saturating_sub(watchers.len());
    watchers.extend(rendezvous::select_across_zones(
        WATCHERS_KEY,
        candidates(false),
        missing,
    ));
    watchers
}
