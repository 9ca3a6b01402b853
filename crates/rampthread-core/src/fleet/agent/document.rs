//! The agent where the platform's store holds the configuration as one
//! document: the store has decided order and validity, so the change log, its
//! readers, witnesses and the restart floor take no part. What stays: a version
//! never falls within one life of the process, and peers give a node what the
//! store refuses it.

use super::Agent;
use crate::config::{ConfigState, DeltaError, StateDelta};
use crate::fleet::action::{Action, Decision, Outbox};
use crate::fleet::learnt_from::LearntFrom;
use crate::fleet::message::{Message, SharedBytes};
use crate::ids::{NodeId, Version};
use crate::rendezvous;
use crate::time::Moment;
use rand::Rng;
use std::sync::Arc;
use std::time::Duration;

/// Pause between two reads of the store by a node that its peers do not help.
const READ_PAUSE: Duration = Duration::from_secs(1);
/// Time for a peer's answer, over the time of a read of the whole document from
/// the store: compressed it is a tenth at most, and the link may be shared.
const PEER_ANSWER_SHARE: f64 = 0.25;
/// A node over whose link the whole document took longer the last time does not watch it
/// while others can: it could not hand a version on in time, and a storm of
/// versions would fill its link. A fifth of the 2 s within which the users want
/// a version in force.
const SLOW_READ: Duration = Duration::from_millis(400);

/// Key of the rendezvous order in which nodes that start together read the document.
const FIRST_READERS_KEY: &str = "first readers";
/// Nodes of a zone that read at once: with two of them down, one is left.
const FIRST_READERS: usize = 3;
/// Time left to those that read before: a read of 150 kB takes 60 ms over a link of
/// 20 Mbit/s, and a peer's answer a tenth of it.
const FIRST_READ_STEP: Duration = Duration::from_millis(100);

impl Agent {
    pub(super) fn tick_with_document(&mut self, now: Moment, outbox: &mut Outbox) {
        let held = self.adoption.version();
        self.membership
            .tick(now, held, &self.settings, &mut self.rng, outbox);
        self.read_if_behind(now, outbox);
        self.tend_watch(now, outbox);
        self.settle(now, outbox);
        self.drop_unconfirmed_backend(now, outbox);
        self.announce(now);
    }

    /// A node that is to watch asks at once: what was written since the last answer
    /// to those before it is not known here.
    pub(super) fn tend_watch(&mut self, now: Moment, outbox: &mut Outbox) {
        let asks = self
            .store_watch
            .tick(now, &self.membership, &self.settings, outbox);
        if asks {
            outbox.actions.push(Action::ReadDocument);
        }
    }

    /// Takes the document that the store holds. An older one than the one in
    /// force is ignored.
    pub fn on_document(&mut self, state: Arc<ConfigState>, now: Moment) -> Vec<Action> {
        let mut outbox = Outbox::default();
        self.take_state(state, LearntFrom::Store, now, &mut outbox);
        self.settle(now, &mut outbox);
        self.announce(now);
        self.finish(outbox)
    }

    fn take_state(
        &mut self,
        state: Arc<ConfigState>,
        learnt_from: LearntFrom,
        now: Moment,
        outbox: &mut Outbox,
    ) {
        let Some(state) = self.replica.replace(state) else {
            return;
        };
        self.learnt_from = learnt_from;
        self.history.push(state.clone());
        self.distribution.ask_for_all(false);
        self.distribution
            .start(state.version(), learnt_from, now, &self.settings);
        self.adoption.stage(state, now, &self.settings, outbox);
    }

    /// A peer names a newer version. It is asked at once for what has changed; the
    /// store is asked later, where peers do not help: a whole fleet that starts would
    /// wait for its link (984 nodes and 150 kB: 1.2 s).
    pub(super) fn hear_of_document(
        &mut self,
        peer: &NodeId,
        lagged: bool,
        now: Moment,
        outbox: &mut Outbox,
    ) {
        if !lagged {
            self.read_due = Some(now + self.peers_grace());
        }
        self.distribution
            .pull_from(peer, &self.replica, now, outbox);
    }

    /// Time for which a newer version is left to the peers: at least what a read
    /// of the store takes over this node's link.
    fn peers_grace(&self) -> Duration {
        self.settings.document_read_delay.max(self.read_took)
    }

    /// Reads the store when peers did not help within the grace, and again.
    fn read_if_behind(&mut self, now: Moment, outbox: &mut Outbox) {
        if !self.replica.lags() {
            self.read_due = None;
        }
        if self.read_due.is_some_and(|due| now >= due) {
            self.read_due = Some(now + READ_PAUSE);
            outbox.actions.push(Action::ReadDocument);
        }
    }

    /// Takes what has changed since the version held here.
    pub(super) fn take_deltas(
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
                Ok(state) => self.take_state(Arc::new(state), LearntFrom::Peer, now, outbox),
                // The answer to an earlier question: newer news came first.
                Err(DeltaError::OtherBase { .. }) => {}
                Err(error) => {
                    outbox.explain(Decision::VersionRefused {
                        version: before,
                        reason: error.to_string(),
                    });
                    outbox.actions.push(Action::ReadDocument);
                    self.distribution.ask_for_all(true);
                }
            }
        }
        let had_news = self.replica.version() > before;
        self.distribution.pull_ended(had_news, now);
        if had_news && self.replica.lags() {
            self.distribution
                .pull_from(from, &self.replica, now, outbox);
        }
    }

    /// Takes the whole state from a peer.
    pub(super) fn take_snapshot(&mut self, snapshot: &[u8], now: Moment, outbox: &mut Outbox) {
        self.distribution.pull_ended(true, now);
        match ConfigState::decode_snapshot(snapshot) {
            Ok(state) => self.take_state(Arc::new(state), LearntFrom::Peer, now, outbox),
            Err(error) => outbox.explain(Decision::VersionRefused {
                version: self.replica.version(),
                reason: error.to_string(),
            }),
        }
    }

    /// The peer cannot help: the store is read; peers are asked for everything if
    /// that does not help either.
    pub(super) fn on_no_delta(&mut self, pause: Duration, now: Moment, outbox: &mut Outbox) {
        self.distribution.pull_ended(false, now);
        self.distribution.ask_for_all(true);
        self.distribution.wait_before_pull(now + pause);
        self.read_due = Some(now + pause);
        outbox.actions.push(Action::ReadDocument);
    }

    /// Whether the store answers this node, as its last call showed. That it does no
    /// more is told at once: others wait for what this node hears.
    pub fn store_answers(&mut self, answers: bool, now: Moment) -> Vec<Action> {
        let mut outbox = Outbox::default();
        let told = self.membership.me().conditions.reader;
        if answers {
            self.store_watch.answered(now);
        } else {
            self.have_others_ask(now, &mut outbox);
        }
        self.announce(now);
        if told && !self.membership.me().conditions.reader {
            self.tell_news(now, &mut outbox);
        }
        self.finish(outbox)
    }

    /// The store does not answer this node: where others wait for what it hears,
    /// some of them must ask themselves.
    fn have_others_ask(&mut self, now: Moment, outbox: &mut Outbox) {
        let asked = self
            .store_watch
            .lost(now, &self.membership, &mut self.watch_rng);
        let nonce = self.watch_rng.random();
        for peer in asked {
            outbox.send(&peer, Message::HeadQuery { nonce });
        }
    }

    /// A peer that watched the document asks what the store holds now. The answer is
    /// the notice of a newer version, if there is one.
    pub(super) fn on_document_question(&mut self, now: Moment) {
        self.store_watch.hedge(now, &mut self.watch_rng);
    }

    /// How long the next watch at the store may wait.
    pub fn watch_wait(&mut self) -> Duration {
        self.store_watch.wait(&mut self.watch_rng)
    }

    /// How long a call to the store may take, over the wait that it asked for.
    pub fn store_patience(&self) -> Duration {
        self.store_watch.patience()
    }

    /// Notes how long the store took to answer, over the wait that was asked for.
    pub fn store_took(&mut self, took: Duration) {
        self.store_watch.took(took);
    }

    /// True when the store's document reaches this node soon enough to watch it.
    pub(super) fn reads_fast(&self) -> bool {
        self.read_took <= SLOW_READ
    }

    /// Notes that the whole document, of so many bytes, took so long from the store
    /// over this node's link. What counts is the best rate that the link has shown:
    /// one that was full for a moment is not narrow.
    pub fn document_took(&mut self, bytes: u64, time: Duration) {
        let rate = bytes as f64 / time.as_secs_f64().max(f64::EPSILON);
        self.link_rate = self.link_rate.max(rate);
        self.read_took = Duration::from_secs_f64(bytes as f64 / self.link_rate.max(1.0));
        self.distribution
            .set_least_patience(self.read_took.mul_f64(PEER_ANSWER_SHARE));
    }

    /// True when this node holds no document, or an older one than a peer.
    pub fn lacks_document(&self) -> bool {
        self.replica.version() == Version::ZERO || self.replica.lags()
    }

    /// Time for which a node that starts leaves the document to its peers before it reads
    /// it from the store: none for the first few of its zone, in a rendezvous order, and a
    /// step more for each group after them. However large the fleet, so many read at
    /// once, and where all before a node are down it still reads.
    pub fn first_read_wait(&self) -> Duration {
        let me = &self.membership.me().id;
        let rank = rendezvous::rank(FIRST_READERS_KEY, me, self.membership.near_peers());
        FIRST_READ_STEP * (rank / FIRST_READERS) as u32
    }

    /// True when this node is one of the few that wait at the store for a new
    /// document. The others hear of it from their peers. Those that the store
    /// answers come first, spread over the zones.
    pub fn watches_document(&self) -> bool {
        self.store_watch.watches()
    }

    /// Time since the store last answered this node for the document.
    pub fn store_answer_age(&self, now: Moment) -> Option<Duration> {
        self.store_watch.answer_age(now)
    }

    /// True once this node can tell whether it is a watcher: it knows others, and
    /// not from a list alone, which does not say whom the store answers.
    pub fn knows_whether_to_watch(&self) -> bool {
        let mut peers = self.membership.reachable_peers().peekable();
        let judged = self.store_watch.is_current(&self.membership);
        judged && peers.peek().is_some() && peers.all(|peer| peer.incarnation > 0)
    }
}
