//! Document mode: the platform's store holds the configuration as one document.
//!
//! The store guarantees order and validity, so this mode uses no change log, log readers,
//! witness nodes or restart floor. The active version still never decreases while the
//! process runs, and peers supply the document to nodes that cannot read the store. Only a
//! few nodes, the document watchers, wait at the store for a new document.

use super::Agent;
use crate::config::{ConfigState, DeltaError, StateDelta};
use crate::fleet::action::{Action, Decision, Outbox};
use crate::fleet::message::{Message, SharedBytes};
use crate::fleet::version_source::VersionSource;
use crate::ids::{NodeId, Version};
use crate::rendezvous;
use crate::time::Moment;
use rand::Rng;
use std::sync::Arc;
use std::time::Duration;

/// Interval between document reads while this node lags and peers do not help.
const STORE_READ_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout for a peer's reply with the document, as a fraction of the time that this node
/// needs to read the full document from the store. A compressed reply is at most a tenth of
/// the document, but the link may be shared.
const PEER_TIMEOUT_FRACTION: f64 = 0.25;
/// Maximum time that a node may need to read the full document and still be a document
/// watcher while others can. A slower node would forward versions late, and frequent
/// versions would saturate its link. One fifth of the 2 s within which a version must
/// become active.
const MAX_WATCHER_READ_TIME: Duration = Duration::from_millis(400);

/// Rendezvous key that orders the initial document reads of nodes that start together.
const INITIAL_READERS_KEY: &str = "first readers";
/// Number of nodes of a zone that start their initial document read at the same time;
/// tolerates the failure of two.
const INITIAL_READERS_PER_STEP: usize = 3;
/// Additional delay of the initial document read for each further group of nodes. A read of
/// 150 kB takes 60 ms at 20 Mbit/s, and a peer's compressed reply a tenth of that.
const INITIAL_READ_STEP: Duration = Duration::from_millis(100);

impl Agent {
    /// Advances the timers of membership, document reads, the document watcher role,
    /// distribution and the backend announcement.
    pub(super) fn tick_with_document(&mut self, now: Moment, outbox: &mut Outbox) {
        let held = self.adoption.version();
        self.membership
            .tick(now, held, &self.settings, &mut self.rng, outbox);
        self.read_store_if_lagging(now, outbox);
        self.update_watcher_role(now, outbox);
        self.activate_ready_versions(now, outbox);
        self.drop_unconfirmed_backend(now, outbox);
        self.announce(now);
    }

    /// Updates whether this node is a document watcher. A new document watcher reads the
    /// document at once, since it does not know what was written before it began to watch.
    pub(super) fn update_watcher_role(&mut self, now: Moment, outbox: &mut Outbox) {
        let read_now = self
            .store_watch
            .tick(now, &self.membership, &self.settings, outbox);
        if read_now {
            outbox.actions.push(Action::ReadDocument);
        }
    }

    /// Handles a document that this node has read from the store. Ignores a document that
    /// is older than the active version.
    pub fn on_document(&mut self, state: Arc<ConfigState>, now: Moment) -> Vec<Action> {
        let mut outbox = Outbox::default();
        self.apply_document(state, VersionSource::Store, now, &mut outbox);
        self.activate_ready_versions(now, &mut outbox);
        self.announce(now);
        self.collect_actions(outbox)
    }

    /// Replaces the replica with `state` if that is newer, announces it to peers and stages
    /// it for activation.
    fn apply_document(
        &mut self,
        state: Arc<ConfigState>,
        learnt_from: VersionSource,
        now: Moment,
        outbox: &mut Outbox,
    ) {
        let Some(state) = self.replica.replace(state) else {
            return;
        };
        self.learnt_from = learnt_from;
        self.history.push(state.clone());
        self.distribution.set_pull_all(false);
        self.distribution
            .start(state.version(), learnt_from, now, &self.settings);
        self.adoption.stage(state, now, &self.settings, outbox);
    }

    /// Requests the changes from a peer that has announced a newer version. Reads the store
    /// only after a grace period: if every node of a starting fleet read the store, the
    /// store's link would be saturated.
    pub(super) fn request_newer_document(
        &mut self,
        peer: &NodeId,
        lagged: bool,
        now: Moment,
        outbox: &mut Outbox,
    ) {
        if !lagged {
            self.next_store_read = Some(now + self.peer_grace_period());
        }
        self.distribution
            .pull_from(peer, &self.replica, now, outbox);
    }

    /// Time during which this node queries only peers for a newer version: at least the
    /// time that it needs to read the document from the store.
    fn peer_grace_period(&self) -> Duration {
        self.settings
            .document_read_delay
            .max(self.estimated_read_time)
    }

    /// Reads the document from the store when peers did not supply a newer version within
    /// the grace period, then again at intervals while this node lags.
    fn read_store_if_lagging(&mut self, now: Moment, outbox: &mut Outbox) {
        if !self.replica.is_behind() {
            self.next_store_read = None;
        }
        if self.next_store_read.is_some_and(|due| now >= due) {
            self.next_store_read = Some(now + STORE_READ_INTERVAL);
            outbox.actions.push(Action::ReadDocument);
        }
    }

    /// Applies the deltas of a peer's reply. A delta that cannot be applied makes this node
    /// read the store and request the full state from peers.
    pub(super) fn apply_deltas(
        &mut self,
        from: &NodeId,
        deltas: &[SharedBytes],
        now: Moment,
        outbox: &mut Outbox,
    ) {
        let before = self.replica.version();
        for delta in deltas {
            let applied =
                StateDelta::decode(delta).and_then(|delta| delta.apply_to(self.replica.staged()));
            match applied {
                Ok(state) => self.apply_document(Arc::new(state), VersionSource::Peer, now, outbox),
                // The delta is the reply to an earlier pull; this node has received a newer
                // state since.
                Err(DeltaError::BaseMismatch { .. }) => {}
                Err(error) => {
                    outbox.log_decision(Decision::VersionRefused {
                        version: before,
                        reason: error.to_string(),
                    });
                    outbox.actions.push(Action::ReadDocument);
                    self.distribution.set_pull_all(true);
                }
            }
        }
        let found_new = self.replica.version() > before;
        self.distribution.on_pull_reply(found_new, now);
        if found_new && self.replica.is_behind() {
            self.distribution
                .pull_from(from, &self.replica, now, outbox);
        }
    }

    /// Decodes and applies the full configuration state of a peer's reply.
    pub(super) fn apply_snapshot(&mut self, snapshot: &[u8], now: Moment, outbox: &mut Outbox) {
        self.distribution.on_pull_reply(true, now);
        match ConfigState::decode_snapshot(snapshot) {
            Ok(state) => self.apply_document(Arc::new(state), VersionSource::Peer, now, outbox),
            Err(error) => outbox.log_decision(Decision::VersionRefused {
                version: self.replica.version(),
                reason: error.to_string(),
            }),
        }
    }

    /// Handles a peer's reply that it cannot supply the changes: reads the store now, and
    /// requests the full state from the next peer.
    pub(super) fn on_document_pull_refused(
        &mut self,
        pause: Duration,
        now: Moment,
        outbox: &mut Outbox,
    ) {
        self.distribution.on_pull_reply(false, now);
        self.distribution.set_pull_all(true);
        self.distribution.delay_pulls_until(now + pause);
        self.next_store_read = Some(now + pause);
        outbox.actions.push(Action::ReadDocument);
    }

    /// Records whether the store answered this node's last call. A document watcher that
    /// lost the store announces this at once, since other nodes rely on document watchers
    /// for new versions.
    pub fn record_store_reachability(&mut self, answers: bool, now: Moment) -> Vec<Action> {
        let mut outbox = Outbox::default();
        let was_reader = self.membership.me().conditions.reader;
        if answers {
            self.store_watch.on_answer(now);
        } else {
            self.request_peer_reads(now, &mut outbox);
        }
        self.announce(now);
        if was_reader && !self.membership.me().conditions.reader {
            self.send_updates_now(now, &mut outbox);
        }
        self.collect_actions(outbox)
    }

    /// Makes some peers read the document, since the store does not answer this node and
    /// other nodes rely on it for new versions.
    fn request_peer_reads(&mut self, now: Moment, outbox: &mut Outbox) {
        let asked = self
            .store_watch
            .on_failure(now, &self.membership, &mut self.watch_rng);
        let nonce = self.watch_rng.random();
        for peer in asked {
            outbox.send(&peer, Message::HeadQuery { nonce });
        }
    }

    /// Schedules a document read on behalf of a document watcher that the store does not
    /// answer. This node announces the version that it reads to peers if it is newer.
    pub(super) fn on_document_query(&mut self, now: Moment) {
        self.store_watch.request_hedge(now, &mut self.watch_rng);
    }

    /// Returns how long the next watch call may wait at the store for a change of the
    /// document.
    pub fn next_watch_wait(&mut self) -> Duration {
        self.store_watch.next_wait(&mut self.watch_rng)
    }

    /// Timeout of a store call, in addition to the time that the call itself asks the store
    /// to wait.
    pub fn store_call_timeout(&self) -> Duration {
        self.store_watch.call_timeout()
    }

    /// Records the response time of a store call, without the time that the call asked the
    /// store to wait.
    pub fn record_store_latency(&mut self, took: Duration) {
        self.store_watch.record_latency(took);
    }

    /// True when this node reads a full document fast enough to be a document watcher.
    pub(super) fn has_fast_store_link(&self) -> bool {
        self.estimated_read_time <= MAX_WATCHER_READ_TIME
    }

    /// Records that reading a full document of `bytes` from the store took `time`. Only the
    /// highest transfer rate counts: a link that was saturated for a moment is not a slow
    /// link.
    pub fn record_document_transfer(&mut self, bytes: u64, time: Duration) {
        let rate = bytes as f64 / time.as_secs_f64().max(f64::EPSILON);
        self.link_bytes_per_second = self.link_bytes_per_second.max(rate);
        self.estimated_read_time =
            Duration::from_secs_f64(bytes as f64 / self.link_bytes_per_second.max(1.0));
        self.distribution
            .set_min_pull_timeout(self.estimated_read_time.mul_f64(PEER_TIMEOUT_FRACTION));
    }

    /// True when this node has no document, or an older one than a peer.
    pub fn lacks_current_document(&self) -> bool {
        self.replica.version() == Version::ZERO || self.replica.is_behind()
    }

    /// Delay before a starting node reads the document from the store, which gives peers
    /// time to supply it. The delay is zero for the first `INITIAL_READERS_PER_STEP` nodes
    /// of the zone in rendezvous order, and grows by one step for each further group. The
    /// load on the store does not grow with the fleet, and a node still reads the document
    /// when all nodes before it are down.
    pub fn initial_read_delay(&self) -> Duration {
        let me = &self.membership.me().id;
        let rank = rendezvous::rank(INITIAL_READERS_KEY, me, self.membership.same_zone_peers());
        INITIAL_READ_STEP * (rank / INITIAL_READERS_PER_STEP) as u32
    }

    /// True when this node is one of the few document watchers, which wait at the store for
    /// a new document. Other nodes receive new versions from peers. Nodes that the store
    /// answers are preferred as document watchers, distributed over the zones.
    pub fn is_document_watcher(&self) -> bool {
        self.store_watch.is_watching()
    }

    /// Time since the store last answered a document request of this node.
    pub fn store_answer_age(&self, now: Moment) -> Option<Duration> {
        self.store_watch.answer_age(now)
    }

    /// True once this node can tell whether it is a document watcher, because it has
    /// received messages from peers. The machine list alone does not say which nodes the
    /// store answers.
    pub fn watcher_selection_known(&self) -> bool {
        let mut peers = self.membership.reachable_peers().peekable();
        let judged = self.store_watch.is_current(&self.membership);
        judged && peers.peek().is_some() && peers.all(|peer| peer.incarnation > 0)
    }
}
