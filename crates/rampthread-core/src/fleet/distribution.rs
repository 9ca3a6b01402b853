//! Distribution of configuration versions: nodes send notices of a new version to random peers,
//! and nodes that lag pull the missing log entries.
//!
//! Alternatives are discussed in `docs/DESIGN.md`: a tree from the reader (the failure of an
//! inner node stalls its subtree) and watches by all nodes (the store can serve only a few).

use super::action::Outbox;
use super::membership::Membership;
use super::message::{Message, SharedBytes};
use super::replica::LogReplica;
use super::settings::{DistributionMode, FleetSettings};
use super::version_source::VersionSource;
use crate::ids::{NodeId, Version};
use crate::time::Moment;
use rand::Rng;
use rand::seq::IteratorRandom;
use std::time::Duration;

/// Maximum size of the entries in one reply to a pull, in bytes.
const MAX_PULL_REPLY_BYTES: usize = 256 * 1024;
/// Delay after which a peer may pull again if this node has reached its limit of pulls per
/// second.
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Pause before the next pull if the last pull returned no new versions.
const EMPTY_PULL_PAUSE: Duration = Duration::from_millis(50);
/// Interval at which each node polls a log reader in [`DistributionMode::PollReader`].
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Round of notices in which a node that read a document from the store also notifies other
/// zones, counted from 0. It comes one round after that for the node's own zone, since most
/// zones have a document watcher of their own.
const OTHER_ZONE_NOTICE_ROUND: u32 = 1;

/// Minimum number of rounds of notices for a version if a node knows fewer peers in its zone
/// than it would notify per round. At a
/// message loss of 30 %, a peer misses all of three notices in 27 of 1,000 cases, and all of
/// eight in 7 of 100,000.
const MIN_ROUNDS_FEW_PEERS: u32 = 8;

/// Pull that this node has sent to a peer and that has no reply yet.
#[derive(Debug)]
struct PendingPull {
    /// Time at which the pull was sent.
    sent: Moment,
}

/// A version that this node announces to peers in rounds of notices.
#[derive(Debug, Clone, Copy)]
struct Announcement {
    version: Version,
    version_source: VersionSource,
    /// Number of completed rounds of notices.
    rounds: u32,
}

/// State of this node in distributing versions: the version that it announces to peers, and its
/// pull of missing entries from a peer.
#[derive(Debug, Default)]
pub struct VersionDistribution {
    announcement: Option<Announcement>,
    next_round: Moment,
    pull: Option<PendingPull>,
    /// Number of consecutive pulls of this node that got no reply in time.
    timeouts: u32,
    /// Minimum timeout of a pull, depending on the bandwidth of this node's link.
    min_pull_timeout: Duration,
    pull_not_before: Moment,
    /// True if pulls request the full configuration, whatever version this node holds.
    pull_all: bool,
    /// Peer from which this node pulls next, since it is known to hold a newer version.
    next_pull_peer: Option<NodeId>,
    next_poll: Moment,
    served_window: Moment,
    served: u32,
}

impl VersionDistribution {
    /// Starts to announce a new version to peers.
    pub fn start(
        &mut self,
        version: Version,
        version_source: VersionSource,
        now: Moment,
        settings: &FleetSettings,
    ) {
        if settings.distribution == DistributionMode::PollReader {
            return;
        }
        self.announcement = Some(Announcement {
            version,
            version_source,
            rounds: 0,
        });
        self.next_round = now;
    }

    /// Sends the notices and pulls that are due.
    pub fn tick(
        &mut self,
        now: Moment,
        membership: &Membership,
        replica: &LogReplica,
        settings: &FleetSettings,
        rng: &mut impl Rng,
        outbox: &mut Outbox,
    ) {
        self.send_notices(now, membership, replica, settings, rng, outbox);
        if settings.distribution == DistributionMode::PollReader && now >= self.next_poll {
            self.next_poll = now + POLL_INTERVAL;
            self.poll_reader(membership, replica, rng, outbox);
        }
        let pull_timeout = settings.pull_timeout.max(self.min_pull_timeout);
        let timed_out = self
            .pull
            .as_ref()
            .is_some_and(|pull| now.since(pull.sent) >= pull_timeout);
        if timed_out {
            self.pull = None;
            self.timeouts += 1;
        }
        let by_gossip = settings.distribution == DistributionMode::Gossip;
        if by_gossip && replica.is_behind() && self.pull.is_none() && now >= self.pull_not_before {
            let known_peer = self.next_pull_peer.take();
            if let Some(peer) = known_peer.or_else(|| membership.random_peer_preferring_zone(rng)) {
                self.pull_from(&peer, replica, now, outbox);
                self.pull_from_second(&peer, membership, replica, rng, outbox);
            }
        }
    }

    /// Sends the pull also to a second peer after a timeout. At a message loss of 30 %, half of
    /// the pulls get no reply; with two peers, both fail in a quarter of the cases. A request
    /// for the full configuration is not repeated, since the configuration would be transferred
    /// twice.
    fn pull_from_second(
        &self,
        first: &NodeId,
        membership: &Membership,
        replica: &LogReplica,
        rng: &mut impl Rng,
        outbox: &mut Outbox,
    ) {
        let held = replica.version();
        if self.timeouts == 0 || self.pull_all || held == Version::ZERO || self.pull.is_none() {
            return;
        }
        let second = membership.random_peer_preferring_zone(rng);
        if let Some(second) = second.filter(|second| second != first) {
            outbox.send(&second, Message::Pull { held });
        }
    }

    /// Sends the next round of notices of the announced version if it is due.
    fn send_notices(
        &mut self,
        now: Moment,
        membership: &Membership,
        replica: &LogReplica,
        settings: &FleetSettings,
        rng: &mut impl Rng,
        outbox: &mut Outbox,
    ) {
        let Some(announcement) = &mut self.announcement else {
            return;
        };
        if now < self.next_round {
            return;
        }
        let few = announcement.version_source != VersionSource::Log
            && membership.same_zone_peers().count() < settings.notice_fanout;
        let rounds = match few {
            true => settings.notice_rounds.max(MIN_ROUNDS_FEW_PEERS),
            false => settings.notice_rounds,
        };
        if announcement.rounds >= rounds {
            self.announcement = None;
            return;
        }
        self.next_round = now + settings.notice_interval;
        let current = *announcement;
        announcement.rounds += 1;
        let version = current.version;
        let entry = inline_entry(replica, version, settings.max_inline_entry_bytes);
        for peer in notice_targets(current, membership, settings.notice_fanout, rng) {
            let entry = entry.clone();
            outbox.send(&peer, Message::Notice { version, entry });
        }
    }

    /// Sends a pull to a random log reader, in [`DistributionMode::PollReader`].
    fn poll_reader(
        &self,
        membership: &Membership,
        replica: &LogReplica,
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

    /// Records the peer from which this node pulls next, since it holds a newer version.
    pub fn note_source(&mut self, peer: &NodeId) {
        self.next_pull_peer = Some(peer.clone());
    }

    /// Requests the missing entries from `peer`, unless a pull is already pending.
    pub fn pull_from(
        &mut self,
        peer: &NodeId,
        replica: &LogReplica,
        now: Moment,
        outbox: &mut Outbox,
    ) {
        if self.pull.is_some() || now < self.pull_not_before {
            return;
        }
        self.pull = Some(PendingPull { sent: now });
        let held = if self.pull_all {
            Version::ZERO
        } else {
            replica.version()
        };
        outbox.send(peer, Message::Pull { held });
    }

    /// Sets the minimum timeout of a pull, so that a slow transfer over a narrow link is not
    /// started again and again.
    pub fn set_min_pull_timeout(&mut self, timeout: Duration) {
        self.min_pull_timeout = timeout;
    }

    /// Makes pulls request the full configuration instead of the entries after this node's
    /// version.
    pub fn set_pull_all(&mut self, pull_all: bool) {
        self.pull_all = pull_all;
    }

    /// Suspends pulls until `moment`, since the missing version may arrive without a pull before
    /// then.
    pub fn delay_pulls_until(&mut self, moment: Moment) {
        self.pull_not_before = self.pull_not_before.max(moment);
    }

    /// Handles a reply to a pull. If it contained nothing new, the next pull is delayed: the
    /// peer may know of the version without having it yet.
    pub fn on_pull_reply(&mut self, found_new: bool, now: Moment) {
        self.pull = None;
        if found_new {
            self.timeouts = 0;
        }
        if !found_new {
            self.pull_not_before = now + EMPTY_PULL_PAUSE;
        }
    }

    /// Handles the reply to a pull that exceeded the peer's limit. Pulls from the node
    /// `instead`, if given, or again after the requested delay.
    pub fn on_pull_refused(
        &mut self,
        retry_after: Duration,
        instead: Option<NodeId>,
        replica: &LogReplica,
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

    /// Replies to a pull of the node `from` with the entries after `held`, or rejects it if
    /// this node has already served its limit of pulls per second.
    #[allow(clippy::too_many_arguments)]
    pub fn on_pull(
        &mut self,
        from: &NodeId,
        held: Version,
        now: Moment,
        membership: &Membership,
        replica: &LogReplica,
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
            let retry_after = BUSY_RETRY_DELAY;
            outbox.send(
                from,
                Message::PullRefused {
                    retry_after,
                    instead,
                },
            );
            return;
        }
        outbox.send(from, pull_reply(replica, held));
    }
}

/// Returns the retained log entries after `held`, or the full configuration if they are no
/// longer retained.
fn pull_reply(replica: &LogReplica, held: Version) -> Message {
    match replica.entries_after(held, MAX_PULL_REPLY_BYTES) {
        Some(entries) => Message::PullEntries {
            first: held.next(),
            entries,
        },
        None => Message::PullSnapshot {
            snapshot: replica.staged().encode_snapshot().into(),
        },
    }
}

/// Returns the log entry of a version if it is small enough for a notice.
fn inline_entry(replica: &LogReplica, version: Version, limit: usize) -> Option<SharedBytes> {
    let entry = replica.entry(version)?;
    (entry.len() <= limit).then(|| entry.clone())
}

/// Selects the peers for the next round of notices.
fn notice_targets(
    announcement: Announcement,
    membership: &Membership,
    fanout: usize,
    rng: &mut impl Rng,
) -> Vec<NodeId> {
    if announcement.version_source == VersionSource::Log {
        return mixed_targets(membership, fanout, rng);
    }
    let mut targets = membership.random_same_zone_peers(fanout, rng);
    if announcement.version_source == VersionSource::Store
        && announcement.rounds == OTHER_ZONE_NOTICE_ROUND
    {
        targets.extend(membership.random_other_zone_peers(1, rng));
    }
    targets
}

/// Returns random peers, half of them from other zones.
fn mixed_targets(membership: &Membership, fanout: usize, rng: &mut impl Rng) -> Vec<NodeId> {
    let other_zones = membership.other_zone_peers().into_values().flatten();
    let other_zone_count = fanout.div_ceil(2);
    let mut targets: Vec<NodeId> = other_zones
        .choose_multiple(rng, other_zone_count)
        .into_iter()
        .cloned()
        .collect();
    targets.extend(membership.random_same_zone_peers(fanout - targets.len(), rng));
    targets
}
