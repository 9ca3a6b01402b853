//! How versions travel: notices to random peers, pulls by whoever lags.
//!
//! Weighed in `docs/DESIGN.md`: a tree from the reader (every inner death
//! stalls a subtree) and watches by all nodes (the store bears few readers).

use super::action::Outbox;
use super::learnt_from::LearntFrom;
use super::membership::Membership;
use super::message::{Message, SharedBytes};
use super::replica::Replica;
use super::settings::{DistributionMode, FleetSettings};
use crate::ids::{NodeId, Version};
use crate::time::Moment;
use rand::Rng;
use rand::seq::IteratorRandom;
use std::time::Duration;

/// Bytes of entries that one answer to a pull carries.
const PULL_ANSWER_BYTES: usize = 256 * 1024;
/// Wait that a busy giver asks for.
const BUSY_RETRY: Duration = Duration::from_millis(250);
/// Pause after a pull that brought nothing.
const EMPTY_PULL_PAUSE: Duration = Duration::from_millis(50);
/// Time between two questions of the polling baseline.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Round of notices in which a node that has a document from the store tells
/// other zones: one round later than its own, since most zones have somebody
/// who waits at the store as well.
const FAR_NOTICE_ROUND: u32 = 1;

/// Notices of one node about one version where it knows fewer peers in its zone than
/// it tells in a round: with 30 of 100 messages lost one alone is missed by all of
/// three rounds in 27 of 1,000 cases, by eight in 7 of 100,000.
const ROUNDS_TO_FEW: u32 = 8;

#[derive(Debug)]
struct OpenPull {
    sent: Moment,
}

/// A version that this node tells others of.
#[derive(Debug, Clone, Copy)]
struct Rumour {
    version: Version,
    learnt_from: LearntFrom,
    /// Rounds made so far.
    rounds: u32,
}

/// Rumours that this node still spreads and the pull that it waits for.
#[derive(Debug, Default)]
pub struct Distribution {
    rumour: Option<Rumour>,
    next_round: Moment,
    pull: Option<OpenPull>,
    /// Pulls in a row whose answer did not come in time.
    timeouts: u32,
    /// Least wait for the answer to a pull, over this node's link.
    least_patience: Duration,
    pull_not_before: Moment,
    /// Pulls ask for everything, whatever this node holds.
    whole: bool,
    /// A peer that holds a version that this node lacks.
    source: Option<NodeId>,
    next_poll: Moment,
    served_window: Moment,
    served: u32,
}

impl Distribution {
    /// A new version was learnt: begin to tell others.
    pub fn start(
        &mut self,
        version: Version,
        learnt_from: LearntFrom,
        now: Moment,
        settings: &FleetSettings,
    ) {
        if settings.distribution == DistributionMode::PollReader {
            return;
        }
        self.rumour = Some(Rumour {
            version,
            learnt_from,
            rounds: 0,
        });
        self.next_round = now;
    }

    /// Sends due notices and pulls.
    pub fn tick(
        &mut self,
        now: Moment,
        membership: &Membership,
        replica: &Replica,
        settings: &FleetSettings,
        rng: &mut impl Rng,
        outbox: &mut Outbox,
    ) {
        self.spread(now, membership, replica, settings, rng, outbox);
        if settings.distribution == DistributionMode::PollReader && now >= self.next_poll {
            self.next_poll = now + POLL_INTERVAL;
            self.ask_reader(membership, replica, rng, outbox);
        }
        let patience = settings.pull_timeout.max(self.least_patience);
        let timed_out = self
            .pull
            .as_ref()
            .is_some_and(|pull| now.since(pull.sent) >= patience);
        if timed_out {
            self.pull = None;
            self.timeouts += 1;
        }
        let by_rumour = settings.distribution == DistributionMode::Rumour;
        if by_rumour && replica.lags() && self.pull.is_none() && now >= self.pull_not_before {
            let source = self.source.take();
            if let Some(peer) = source.or_else(|| membership.mostly_near_peer(rng)) {
                self.pull_from(&peer, replica, now, outbox);
                self.pull_from_second(&peer, membership, replica, rng, outbox);
            }
        }
    }

    /// After an answer that did not come two peers are asked at once: where 30 of 100
    /// messages are lost, one exchange in two fails, of two one in four. Not where the
    /// whole state is wanted, which would come twice.
    fn pull_from_second(
        &self,
        first: &NodeId,
        membership: &Membership,
        replica: &Replica,
        rng: &mut impl Rng,
        outbox: &mut Outbox,
    ) {
        let held = replica.version();
        if self.timeouts == 0 || self.whole || held == Version::ZERO || self.pull.is_none() {
            return;
        }
        let second = membership.mostly_near_peer(rng);
        if let Some(second) = second.filter(|second| second != first) {
            outbox.send(&second, Message::Pull { held });
        }
    }

    fn spread(
        &mut self,
        now: Moment,
        membership: &Membership,
        replica: &Replica,
        settings: &FleetSettings,
        rng: &mut impl Rng,
        outbox: &mut Outbox,
    ) {
        let Some(rumour) = &mut self.rumour else {
            return;
        };
        if now < self.next_round {
            return;
        }
        let few = rumour.learnt_from != LearntFrom::Log
            && membership.near_peers().count() < settings.notice_fanout;
        let rounds = match few {
            true => settings.notice_rounds.max(ROUNDS_TO_FEW),
            false => settings.notice_rounds,
        };
        if rumour.rounds >= rounds {
            self.rumour = None;
            return;
        }
        self.next_round = now + settings.notice_interval;
        let told = *rumour;
        rumour.rounds += 1;
        let version = told.version;
        let entry = inline_entry(replica, version, settings.inline_entry_bytes);
        for peer in notice_targets(told, membership, settings.notice_fanout, rng) {
            let entry = entry.clone();
            outbox.send(&peer, Message::Notice { version, entry });
        }
    }

    fn ask_reader(
        &self,
        membership: &Membership,
        replica: &Replica,
        rng: &mut impl Rng,
        outbox: &mut Outbox,
    ) {
        let me = &membership.me().id;
        let reader = membership
            .readers()
            .filter(|reader| reader.id != *me)
            .map(|reader| reader.id.clone())
            .choose(rng);
        if let Some(reader) = reader {
            let held = replica.version();
            outbox.send(&reader, Message::Pull { held });
        }
    }

    /// `peer` holds a version that this node lacks.
    pub fn note_source(&mut self, peer: &NodeId) {
        self.source = Some(peer.clone());
    }

    /// Asks `peer` for what is missing, unless a pull is open.
    pub fn pull_from(
        &mut self,
        peer: &NodeId,
        replica: &Replica,
        now: Moment,
        outbox: &mut Outbox,
    ) {
        if self.pull.is_some() || now < self.pull_not_before {
            return;
        }
        self.pull = Some(OpenPull { sent: now });
        let held = if self.whole {
            Version::ZERO
        } else {
            replica.version()
        };
        outbox.send(peer, Message::Pull { held });
    }

    /// Sets the least wait for the answer to a pull: one that takes long over a
    /// narrow link is not asked for again and again.
    pub fn set_least_patience(&mut self, wait: Duration) {
        self.least_patience = wait;
    }

    /// Whether pulls ask for everything.
    pub fn ask_for_all(&mut self, whole: bool) {
        self.whole = whole;
    }

    /// Holds pulls back until `moment`: another way to the version is tried first.
    pub fn wait_before_pull(&mut self, moment: Moment) {
        self.pull_not_before = self.pull_not_before.max(moment);
    }

    /// An answer to a pull arrived. A giver that had nothing new is not asked
    /// again at once: it may have heard of the version but not have it yet.
    pub fn pull_ended(&mut self, had_news: bool, now: Moment) {
        self.pull = None;
        if had_news {
            self.timeouts = 0;
        }
        if !had_news {
            self.pull_not_before = now + EMPTY_PULL_PAUSE;
        }
    }

    /// The giver was busy.
    pub fn pull_refused(
        &mut self,
        retry_after: Duration,
        instead: Option<NodeId>,
        replica: &Replica,
        now: Moment,
        rng: &mut impl Rng,
        outbox: &mut Outbox,
    ) {
        self.pull = None;
        if let Some(peer) = instead {
            self.pull_from(&peer, replica, now, outbox);
            return;
        }
        let jitter = rng.random_range(0.5..1.5);
        self.pull_not_before = now + retry_after.mul_f64(jitter);
    }

    /// Answers a pull, within the limit on pulls a second.
    #[allow(clippy::too_many_arguments)]
    pub fn on_pull(
        &mut self,
        from: &NodeId,
        held: Version,
        now: Moment,
        membership: &Membership,
        replica: &Replica,
        settings: &FleetSettings,
        rng: &mut impl Rng,
        outbox: &mut Outbox,
    ) {
        if held >= replica.version() {
            let first = held.next();
            let entries = Vec::new();
            outbox.send(from, Message::PullEntries { first, entries });
            return;
        }
        if now.since(self.served_window) >= Duration::from_secs(1) {
            self.served_window = now;
            self.served = 0;
        }
        self.served += 1;
        if self.served > settings.pulls_per_second {
            let me = &membership.me().id;
            let instead = membership
                .reachable_peers()
                .filter(|peer| peer.id != *from && peer.id != *me && peer.conditions.ready)
                .map(|peer| peer.id.clone())
                .choose(rng);
            let retry_after = BUSY_RETRY;
            outbox.send(
                from,
                Message::PullRefused {
                    retry_after,
                    instead,
                },
            );
            return;
        }
        outbox.send(from, pull_answer(replica, held));
    }
}

fn pull_answer(replica: &Replica, held: Version) -> Message {
    match replica.entries_after(held, PULL_ANSWER_BYTES) {
        Some(entries) => Message::PullEntries {
            first: held.next(),
            entries,
        },
        None => Message::PullSnapshot {
            snapshot: replica.staged().encode_snapshot().into(),
        },
    }
}

fn inline_entry(replica: &Replica, version: Version, limit: usize) -> Option<SharedBytes> {
    let entry = replica.entry(version)?;
    (entry.len() <= limit).then(|| entry.clone())
}

fn notice_targets(
    rumour: Rumour,
    membership: &Membership,
    fanout: usize,
    rng: &mut impl Rng,
) -> Vec<NodeId> {
    if rumour.learnt_from == LearntFrom::Log {
        return mixed_targets(membership, fanout, rng);
    }
    let mut targets = membership.near_targets(fanout, rng);
    if rumour.learnt_from == LearntFrom::Store && rumour.rounds == FAR_NOTICE_ROUND {
        targets.extend(membership.far_targets(1, rng));
    }
    targets
}

/// Random peers, half of them in other zones.
fn mixed_targets(membership: &Membership, fanout: usize, rng: &mut impl Rng) -> Vec<NodeId> {
    let far = membership.far_zones().into_values().flatten();
    let far_share = fanout.div_ceil(2);
    let mut targets: Vec<NodeId> = far
        .choose_multiple(rng, far_share)
        .into_iter()
        .cloned()
        .collect();
    targets.extend(membership.near_targets(fanout - targets.len(), rng));
    targets
}
