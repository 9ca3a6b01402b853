//! One tenant's limit at one node.

use super::bucket::Bucket;
use super::decaying_rate::{DecayingRate, weight_after};
use super::fleet_load::{LoadByTenant, Reach, Sum};
use super::zone_balance::{USUAL, ZoneBalance};
use super::{QuotaPolicy, QuotaView, limit_fraction};
use crate::config::RateLimit;
use crate::fleet::{TenantHash, TenantLoad};
use crate::ids::Zone;
use crate::time::Moment;
use rand::Rng;
use std::collections::VecDeque;
use std::time::Duration;

/// Memory of the counts that are told: short beside the time that telling takes.
const DEMAND_WINDOW: Duration = Duration::from_millis(250);
/// Time that counts take from a node to its zone's sum, in the mean.
const TOLD_AFTER: Duration = Duration::from_millis(300);
/// Time in which what the bucket holds is spent, in seconds.
const SPEND_TIME: f64 = 1.0;
/// Time in which what is owed is paid back, in seconds: it still counts in the window.
const PAY_BACK_TIME: f64 = 0.4;
/// Portion of a burst that is spent; the rest is for what comes late to a sum.
const SPENT_BURST: f64 = 0.85;
/// Portion of the slack that adds to a burst: few requests come as unevenly as chance has it.
const SPENT_SLACK: f64 = 0.2;
/// Portion of its part of the limit below which a node does not tell of a tenant.
const UNTOLD: f64 = 0.1;
/// Portion of all requests from which on one node decides by its own bucket: it has no
/// need to guess what the others do.
const NEARLY_ALL: f64 = 0.9;
/// Memory of the portion that runs, and the least that is counted on.
const RUN_MEMORY: Duration = Duration::from_secs(2);
const LEAST_RUN: f64 = 0.25;
/// A tenant that the zone's sums leave out for this long, though this node tells of it, is
/// one of too many.
const LEFT_OUT_AFTER: Duration = Duration::from_secs(2);
/// Deviations by which a rate is taken to be lower than it was counted: a few requests
/// that come together by chance are no surge.
const DOUBT: f64 = 1.0;
/// Least chance of admission that a count is divided by: with a smaller one, a few
/// requests would stand for many.
const LEAST_SHARE: f64 = 0.05;
/// Shortest and longest wait that a refused caller is told, in seconds.
const RETRY_WAITS: (f64, f64) = (0.1, 5.0);

/// What a decision was worked out from.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum QuotaBasis {
    /// What all nodes that are heard were asked, so long ago.
    FleetDemand {
        /// Age of that news.
        report_age: Duration,
        /// Part of the limit that they keep to.
        limit_fraction: f64,
    },
    /// The part of the limit for this node alone: it hears nothing of the tenant.
    LocalOnly {
        /// That part.
        limit_fraction: f64,
    },
}

/// A request is beyond its tenant's limit.
#[derive(Debug, Clone, PartialEq)]
pub struct QuotaExceeded {
    /// When a token may be there; spread, so that callers don't return together.
    pub retry_after: Duration,
    /// The limit.
    pub limit: RateLimit,
    /// Requests a second that are asked, as far as this node knows.
    pub fleet_demand_rps: f64,
    /// What that was worked out from.
    pub basis: QuotaBasis,
}

/// The chance of admission from a moment on.
#[derive(Debug, Clone, Copy)]
struct ShareSince {
    at: Moment,
    share: f64,
}

/// One tenant's limit as one node keeps it.
#[derive(Debug)]
pub(super) struct TenantQuota {
    policy: QuotaPolicy,
    limit: RateLimit,
    asked: DecayingRate,
    admitted: DecayingRate,
    /// Requests that come in here, over a longer time.
    usual: DecayingRate,
    /// The zones that have told of it.
    zones: Vec<ZoneBalance>,
    last_asked: Moment,
    /// What this node told as asked, by the times of telling.
    told: VecDeque<(Moment, f64)>,
    /// Since when it has told of the tenant without a pause.
    telling_since: Option<Moment>,
    /// What the zones that are heard tell.
    sum: Sum,
    /// Tokens of the whole side, as of `level_at`; below zero: owed.
    level: f64,
    level_at: Moment,
    /// Requests a second that the whole side may admit now.
    granted: f64,
    /// Portion of the admitted requests that runs; the others give their tokens back.
    run: f64,
    learnt_at: Moment,
    /// Chances of admission since `level_at`.
    shares: VecDeque<ShareSince>,
    /// Part of the limit for the zones that are heard, when the reach that it is for
    /// began, and that less the nodes that are missing in the sums.
    part_of_zones: f64,
    part_for: Moment,
    part: f64,
    /// Part of the limit for this node alone.
    own_part: f64,
    /// The node hears nothing of the tenant.
    alone: bool,
    /// What one node may admit at most.
    most: Bucket,
    /// What this node may admit where it hears nothing. It counts at all times: what was
    /// admitted of a surge before the silence began is known then.
    own: Bucket,
    refused: u64,
}

impl TenantQuota {
    /// The quota of a tenant that was not known here, and of which little was admitted for
    /// the time `quiet`; after a whole window it has its burst.
    pub(super) fn new(
        policy: QuotaPolicy,
        limit: RateLimit,
        reach: &Reach,
        quiet: Duration,
        now: Moment,
    ) -> Self {
        let mut quota = Self {
            policy,
            limit,
            asked: DecayingRate::new(DEMAND_WINDOW, now),
            admitted: DecayingRate::new(DEMAND_WINDOW, now),
            usual: DecayingRate::new(USUAL, now),
            zones: Vec::new(),
            last_asked: now,
            told: VecDeque::new(),
            telling_since: None,
            sum: Sum::default(),
            level: 0.0,
            level_at: now,
            granted: 0.0,
            run: 1.0,
            learnt_at: now,
            shares: VecDeque::new(),
            part_of_zones: limit_fraction::of_zones(0.0, 0.0, reach),
            part_for: reach.since,
            part: 1.0,
            own_part: limit_fraction::of_node(0.0, 0.0, reach),
            alone: limit_fraction::is_alone(reach),
            most: Bucket::new(limit, 0.0, now),
            own: Bucket::new(limit, 0.0, now),
            refused: 0,
        };
        quota.part = quota.part_of_zones * limit_fraction::of_covered(reach);
        let side = quota.part_of_limit(quota.part);
        let own = quota.part_of_limit(quota.own_part);
        let gained = |limit: RateLimit| match quiet >= policy.window {
            true => limit.burst,
            false => (limit.rate * (1.0 - UNTOLD) * quiet.as_secs_f64()).min(limit.burst),
        };
        quota.level = gained(side);
        quota.granted = side.rate + quota.level / SPEND_TIME;
        // Where a node is the only one, its first request passes in any case.
        let first = if reach.members == 1 { 1.0 } else { 0.0 };
        let level = quota.level.max(first);
        quota.most = Bucket::new(side, level, now);
        quota.own = Bucket::new(own, gained(own), now);
        quota
    }

    pub(super) fn set_limit(&mut self, limit: RateLimit) {
        self.limit = limit;
    }

    /// A part of the limit, as buckets hold it.
    fn part_of_limit(&self, part: f64) -> RateLimit {
        RateLimit {
            rate: self.limit.rate * part,
            burst: (self.limit.burst * SPENT_BURST + self.policy.slack_requests * SPENT_SLACK)
                * part,
        }
    }

    /// A request comes in.
    pub(super) fn try_admit(
        &mut self,
        now: Moment,
        rng: &mut impl Rng,
    ) -> Result<(), QuotaExceeded> {
        self.asked.count(1.0, now);
        self.usual.count(1.0, now);
        self.last_asked = now;
        let chosen = rng.random::<f64>() < self.share(now);
        let bucket = if self.alone {
            &mut self.own
        } else {
            &mut self.most
        };
        if chosen && bucket.has(now, rng.random()) {
            self.admitted.count(1.0, now);
            self.most.take(now);
            self.own.take(now);
            return Ok(());
        }
        self.refused += 1;
        Err(QuotaExceeded {
            retry_after: self.retry_after(now, rng),
            limit: self.limit,
            fleet_demand_rps: self.asked_now(now),
            basis: self.basis(),
        })
    }

    pub(super) fn refund(&mut self, now: Moment) {
        self.admitted.count(-1.0, now);
        self.most.refund();
        self.own.refund();
    }

    /// Requests a second that the whole side is asked: what was told, and what this node
    /// knows of itself by now.
    fn asked_now(&self, now: Moment) -> f64 {
        let own = self.asked.at(now);
        let since_told = own - self.told_in_sum(now);
        (self.sum.asked + since_told.max(0.0)).max(own)
    }

    /// What the present sums have of this node's own count.
    fn told_in_sum(&self, now: Moment) -> f64 {
        let until = now - self.sum.age;
        let told = self.told.iter().rev().find(|(at, _)| *at <= until);
        told.map_or(0.0, |(_, asked)| *asked)
    }

    /// Chance of admission now.
    fn share(&self, now: Moment) -> f64 {
        if self.alone {
            return 1.0;
        }
        let asked = self.asked_now(now);
        if self.asked.at(now) >= asked * NEARLY_ALL {
            return 1.0;
        }
        let asked = at_least(asked) * self.run;
        if asked <= self.granted {
            return 1.0;
        }
        (self.granted / asked).max(0.0)
    }

    /// Time until what is owed is paid back; then as many seconds as the callers who are
    /// refused in one second need to be admitted.
    fn retry_after(&self, now: Moment, rng: &mut impl Rng) -> Duration {
        let part = if self.alone { self.own_part } else { self.part };
        let rate = (self.limit.rate * part).max(f64::MIN_POSITIVE);
        let owed = (-self.level).max(0.0) / rate;
        let excess = self.asked_now(now) / rate;
        let wait = owed + excess * rng.random_range(0.25..0.75);
        Duration::from_secs_f64(wait.clamp(RETRY_WAITS.0, RETRY_WAITS.1))
    }

    fn basis(&self) -> QuotaBasis {
        match self.alone {
            true => QuotaBasis::LocalOnly {
                limit_fraction: self.own_part,
            },
            false => QuotaBasis::FleetDemand {
                report_age: self.sum.age,
                limit_fraction: self.part,
            },
        }
    }

    /// Takes over what is known of the fleet.
    pub(super) fn update(
        &mut self,
        tag: TenantHash,
        told: &LoadByTenant<'_>,
        reach: &Reach,
        now: Moment,
    ) {
        self.sum = told.sum(tag);
        self.track_zones(tag, told, now);
        self.find_parts(reach, now);
        let side = self.part_of_limit(self.part);
        let window = self.policy.window.as_secs_f64();
        self.most.set_limit(side, window, now);
        let own = self.part_of_limit(self.own_part);
        self.own.set_limit(own, window, now);
        self.settle(side, now);
        self.note_run(now);
        let level = self.level_now(side, now);
        let time = if level < 0.0 {
            PAY_BACK_TIME
        } else {
            SPEND_TIME
        };
        self.granted = (side.rate + level / time).max(0.0);
        let share = self.share(now);
        self.shares.push_back(ShareSince { at: now, share });
    }

    fn track_zones(&mut self, tag: TenantHash, told: &LoadByTenant<'_>, now: Moment) {
        let is_told = |track: &ZoneBalance| {
            let mut zones = told.news.zones.iter();
            zones.any(|zone| zone.zone == track.zone)
        };
        self.zones.retain(is_told);
        let window = self.policy.window.as_secs_f64();
        let all = self.usual_of(|_| true);
        let heard = told
            .news
            .zones
            .iter()
            .filter(|zone| told.news.is_fresh(zone));
        for zone in heard {
            let told_at = now - zone.age;
            let of_zone = told.of_zone(tag, &zone.zone);
            let Some(index) = self.zones.iter().position(|track| track.zone == zone.zone) else {
                let track = ZoneBalance::new(zone.zone.clone(), of_zone.0, told_at);
                self.zones.push(track);
                continue;
            };
            let part = match all > 0.0 {
                true => self.zones[index].usual / all,
                false => 1.0 / self.zones.len() as f64,
            };
            let limit = self.part_of_limit(part);
            self.zones[index].told(of_zone, limit, window, told_at);
        }
    }

    fn knows_all(&self, zones: &[Zone]) -> bool {
        let known = |zone: &Zone| self.zones.iter().any(|track| track.zone == *zone);
        zones.iter().all(known)
    }

    /// What the zones that `counts` were usually asked together.
    fn usual_of(&self, counts: impl Fn(&ZoneBalance) -> bool) -> f64 {
        let zones = self.zones.iter().filter(|track| counts(track));
        zones.map(|track| track.usual).sum()
    }

    /// The parts of the limit that this node keeps to. Those of nodes and zones that do
    /// not hear each other stay as they were when they last did.
    fn find_parts(&mut self, reach: &Reach, now: Moment) {
        let left_out = !self.sum.listed
            && self
                .telling_since
                .is_some_and(|since| now.since(since) > LEFT_OUT_AFTER);
        self.alone = limit_fraction::is_alone(reach) || left_out;
        if self.part_for != reach.since {
            self.part_for = reach.since;
            let is_heard = |track: &ZoneBalance| !reach.lost.contains(&track.zone);
            let (heard, all) = (self.usual_of(is_heard), self.usual_of(|_| true));
            // What a zone was asked that this record never heard of is not known.
            self.part_of_zones = match self.knows_all(&reach.lost) {
                true => limit_fraction::of_zones(heard, all, reach),
                false => limit_fraction::of_zones(0.0, 0.0, reach),
            };
            if !reach.lost.is_empty() {
                let levels = self.zones.iter().filter(|track| is_heard(track));
                let kept: f64 = levels.map(|track| track.level).sum();
                self.level = self.level.min(kept);
            }
        }
        self.part = self.part_of_zones * limit_fraction::of_covered(reach);
        let hears_all = !self.alone && reach.lost.is_empty();
        if left_out {
            self.own_part = limit_fraction::of_node(0.0, 0.0, reach);
        } else if hears_all {
            self.own_part =
                limit_fraction::of_node(self.usual.at(now), self.usual_of(|_| true), reach);
        }
    }

    /// Brings the level up to the time that the news speaks of.
    fn settle(&mut self, side: RateLimit, now: Moment) {
        let spoken_of = now - (self.sum.age + TOLD_AFTER);
        if spoken_of <= self.level_at {
            return;
        }
        let passed = spoken_of.since(self.level_at).as_secs_f64();
        let gained = (side.rate - self.sum.admitted) * passed;
        // More than a window's requests cannot be owed: older ones do not count any more.
        let most_owed = side.rate * self.policy.window.as_secs_f64() + side.burst;
        self.level = (self.level + gained).clamp(-most_owed, side.burst);
        self.level_at = spoken_of;
        while self
            .shares
            .get(1)
            .is_some_and(|next| next.at <= self.level_at)
        {
            self.shares.pop_front();
        }
    }

    fn note_run(&mut self, now: Moment) {
        let passed = now.since(self.learnt_at);
        self.learnt_at = now;
        let chosen = self.sum.asked * self.share_told();
        if chosen <= 0.0 {
            return;
        }
        let run = (self.sum.admitted / chosen).clamp(LEAST_RUN, 1.0);
        self.run += (run - self.run) * weight_after(passed, RUN_MEMORY);
    }

    /// Chance of admission at the time that the news speaks of.
    fn share_told(&self) -> f64 {
        let share = self.shares.front().map_or(1.0, |since| since.share);
        share.max(LEAST_SHARE)
    }

    /// The level now, if all nodes went on as the news says: what they admitted meanwhile
    /// follows from the chances that this node used, since all use the same ones.
    fn level_now(&self, side: RateLimit, now: Moment) -> f64 {
        let run = (self.sum.admitted / self.share_told()).min(self.sum.asked);
        let chosen = at_least(run);
        let mut level = self.level;
        let mut from = self.level_at;
        let ends = self.shares.iter().skip(1).map(|next| next.at).chain([now]);
        let shares = self.shares.iter().map(|since| since.share);
        for (share, end) in shares.zip(ends) {
            let passed = end.since(from).as_secs_f64();
            level = (level + (side.rate - chosen * share) * passed).min(side.burst);
            from = from.max(end);
        }
        level
    }

    /// What this node tells of the tenant; none while that is too little to matter.
    pub(super) fn tell(&mut self, tag: TenantHash, nodes: f64, now: Moment) -> Option<TenantLoad> {
        let asked = self.asked.at(now);
        if asked < self.limit.rate / nodes * UNTOLD {
            self.telling_since = None;
            self.told.clear();
            return None;
        }
        self.telling_since.get_or_insert(now);
        self.told.push_back((now, asked));
        while self
            .told
            .get(1)
            .is_some_and(|(at, _)| now.since(*at) > LEFT_OUT_AFTER)
        {
            self.told.pop_front();
        }
        Some(TenantLoad {
            tenant: tag,
            requested_millirps: thousandths(asked),
            admitted_millirps: thousandths(self.admitted.at(now)),
        })
    }

    /// True while it keeps to less than a new record would: to forget it would give the
    /// side a part that the others already have.
    pub(super) fn holds_back(&self, reach: &Reach) -> bool {
        self.part_of_zones < limit_fraction::of_zones(0.0, 0.0, reach)
    }

    pub(super) fn idle(&self, now: Moment) -> Duration {
        match self.sum.asked > 0.0 {
            true => Duration::ZERO,
            false => now.since(self.last_asked),
        }
    }

    pub(super) fn view(&self, now: Moment) -> QuotaView {
        QuotaView {
            limit: self.limit,
            local_demand_rps: self.asked.at(now),
            fleet_demand_rps: self.asked_now(now),
            admitted_rps: self.sum.admitted,
            admission_probability: self.share(now),
            refused: self.refused,
            basis: self.basis(),
        }
    }
}

/// What a rate surely is that was counted as `rate`.
fn at_least(rate: f64) -> f64 {
    let deviation = (rate / (2.0 * DEMAND_WINDOW.as_secs_f64())).sqrt();
    (rate - DOUBT * deviation).max(0.0)
}

fn thousandths(rate: f64) -> u32 {
    (rate.max(0.0) * 1_000.0).round() as u32
}
