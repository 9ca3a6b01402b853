//! Estimates how likely another gate of a service accepts a call.
//!
//! An entry knows the load of a gate only from its last response, so a gate that others
//! have filled meanwhile looks free for long. Recent replies of the other gates of the
//! service are better evidence: where most reject, the next one most likely does too, and
//! each query costs time and bytes, above all between zones. So each attempt is a sample of
//! its zone, and a gate is asked only while the probability that it accepts is worth the
//! query.

use crate::ids::Zone;
use crate::time::Moment;
use std::time::Duration;

/// Weight of the newest attempt in the same zone: about the last seven count.
const SAME_ZONE_WEIGHT: f64 = 0.15;
/// Weight of the newest attempt in another zone, where attempts are few and a rejection is
/// expensive.
const OTHER_ZONE_WEIGHT: f64 = 0.3;
/// Decay time of what was learnt: calls run for some tenths of a second and then free their
/// slots.
const DECAY: Duration = Duration::from_secs(2);
/// Least probability of acceptance at which a gate of the same zone is asked.
const MIN_SAME_ZONE_PROBABILITY: f64 = 0.3;
/// Least probability of acceptance at which a gate of another zone is asked: traffic
/// between zones is expensive, and wasted if the call is rejected.
const MIN_OTHER_ZONE_PROBABILITY: f64 = 0.8;
/// Probability from which another gate is expected to run a call at once. Below it the call
/// waits in the queue of the current gate: queues serve by urgency, while calls that ask
/// full gates in turn get a free slot by chance.
const LIKELY_PROBABILITY: f64 = 0.7;
/// Bytes of a query whether a gate has a free slot, with its reply.
const QUERY_BYTES: f64 = 500.0;

/// Share of recent attempts in one zone that were rejected for lack of capacity.
#[derive(Debug, Clone)]
struct RejectionRate {
    zone: Zone,
    share: f64,
    at: Moment,
}

impl RejectionRate {
    fn share(&self, now: Moment) -> f64 {
        let age = now.since(self.at).as_secs_f64() / DECAY.as_secs_f64();
        self.share * (-age).exp()
    }
}

/// Acceptance estimates for one service, by zone.
#[derive(Debug, Clone)]
pub struct AcceptanceEstimator {
    own_zone: Zone,
    /// One element per zone with attempts; few, so that a linear search is cheap.
    rejection_rates: Vec<RejectionRate>,
}

impl AcceptanceEstimator {
    /// Nothing is known yet; `own_zone` is the zone of this entry.
    pub fn new(own_zone: Zone) -> Self {
        Self {
            own_zone,
            rejection_rates: Vec::new(),
        }
    }

    /// Records whether a gate of `zone` rejected an attempt for lack of capacity or
    /// accepted it.
    pub fn record(&mut self, zone: &Zone, rejected: bool, now: Moment) {
        let weight = match *zone == self.own_zone {
            true => SAME_ZONE_WEIGHT,
            false => OTHER_ZONE_WEIGHT,
        };
        let newest = f64::from(u8::from(rejected));
        match self
            .rejection_rates
            .iter_mut()
            .find(|known| known.zone == *zone)
        {
            Some(known) => {
                let share = known.share(now);
                known.share = share + (newest - share) * weight;
                known.at = now;
            }
            None => self.rejection_rates.push(RejectionRate {
                zone: zone.clone(),
                share: newest * weight,
                at: now,
            }),
        }
    }

    /// Probability that a gate of `zone` accepts a call.
    pub fn probability(&self, zone: &Zone, now: Moment) -> f64 {
        let known = self
            .rejection_rates
            .iter()
            .find(|known| known.zone == *zone);
        1.0 - known.map_or(0.0, |known| known.share(now))
    }

    /// True while a gate of `zone` should be asked that may have a free slot.
    pub fn should_ask(&self, zone: &Zone, now: Moment) -> bool {
        let least = match *zone == self.own_zone {
            true => MIN_SAME_ZONE_PROBABILITY,
            false => MIN_OTHER_ZONE_PROBABILITY,
        };
        self.probability(zone, now) >= least
    }

    /// True while a nested call should ask a gate of `zone`: in the same zone always, since
    /// the work done for its parent is lost if no gate accepts it.
    pub fn should_ask_nested(&self, zone: &Zone, now: Moment) -> bool {
        *zone == self.own_zone || self.should_ask(zone, now)
    }

    /// True when a gate of `zone` that seems free most likely runs a call at once.
    pub fn is_acceptance_likely(&self, zone: &Zone, now: Moment) -> bool {
        self.probability(zone, now) >= LIKELY_PROBABILITY
    }

    /// True when a rejection is likely enough that sending a body of `bytes` at once would
    /// waste more than a query beforehand costs.
    pub fn should_ask_before_body(&self, zone: &Zone, bytes: usize, now: Moment) -> bool {
        bytes as f64 * (1.0 - self.probability(zone, now)) > QUERY_BYTES
    }
}
