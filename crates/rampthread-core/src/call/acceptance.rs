//! Estimates how likely a gate node accepts a call, before an entry node asks it. The entry
//! node is the node that received the call; a gate node is a node that forwards calls to
//! its local backend.
//!
//! An entry node knows the load of a gate node only from the gate node's last response, so
//! a gate node whose slots were taken by calls of other entry nodes looks free for long.
//! Recent replies of the other gate nodes of the service are better evidence: where most of
//! them reject calls, the next one most likely does too. Each query to a gate node costs
//! time and bytes, above all between zones. So each attempt is a sample of the zone that it
//! was sent to, and a gate node is asked only while the probability that it accepts is
//! worth the query.

use crate::ids::Zone;
use crate::time::Moment;
use std::time::Duration;

/// Weight of the newest attempt in the entry node's zone: about the last seven attempts
/// count.
const SAME_ZONE_WEIGHT: f64 = 0.15;
/// Weight of the newest attempt in a zone other than the entry node's. Attempts in other
/// zones are few, and a rejection there is expensive.
const OTHER_ZONE_WEIGHT: f64 = 0.3;
/// Time constant with which recorded rejections lose weight, since running calls free their
/// slots after some tenths of a second.
const DECAY: Duration = Duration::from_secs(2);
/// Probability of acceptance below which no further gate node of the entry node's zone is
/// asked.
const MIN_SAME_ZONE_PROBABILITY: f64 = 0.3;
/// Probability of acceptance below which no gate node of another zone is asked: traffic
/// between zones is expensive, and is wasted if the gate node rejects the call.
const MIN_OTHER_ZONE_PROBABILITY: f64 = 0.8;
/// Probability of acceptance from which another gate node is expected to run a call at
/// once. Below it the call waits in the queue of the present gate node: queues serve by
/// urgency, while calls that ask full gate nodes in turn get a free slot by chance.
const LIKELY_PROBABILITY: f64 = 0.7;
/// Bytes that it takes to ask a gate node whether it has a free slot, including the reply.
const QUERY_BYTES: f64 = 500.0;

/// Share of recent attempts in one zone that gate nodes rejected for lack of free slots.
#[derive(Debug, Clone)]
struct ZoneRejectionRate {
    zone: Zone,
    share: f64,
    /// Time of the last attempt in the zone.
    at: Moment,
}

impl ZoneRejectionRate {
    /// Share of rejected attempts in the zone. The share decays exponentially with the time
    /// since the last attempt.
    fn rejected_share(&self, now: Moment) -> f64 {
        let age = now.since(self.at).as_secs_f64() / DECAY.as_secs_f64();
        self.share * (-age).exp()
    }
}

/// Estimates, for one service and by zone, the probability that a gate node accepts a call.
#[derive(Debug, Clone)]
pub struct AcceptanceEstimator {
    /// Zone of the entry node, which received the calls.
    own_zone: Zone,
    /// Rejection rate of each zone in which a call was attempted. A fleet has few zones, so
    /// that a linear search is cheap.
    rejection_rates: Vec<ZoneRejectionRate>,
}

impl AcceptanceEstimator {
    /// Creates an estimator for an entry node in `own_zone`; it expects acceptance until a
    /// gate node has rejected a call.
    pub fn new(own_zone: Zone) -> Self {
        Self {
            own_zone,
            rejection_rates: Vec::new(),
        }
    }

    /// Records whether a gate node of `zone` rejected a call for lack of free slots, or
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
                let share = known.rejected_share(now);
                known.share = share + (newest - share) * weight;
                known.at = now;
            }
            None => self.rejection_rates.push(ZoneRejectionRate {
                zone: zone.clone(),
                share: newest * weight,
                at: now,
            }),
        }
    }

    /// Probability that a gate node of `zone` accepts a call, from 0 to 1; 1 before the
    /// first attempt in the zone.
    pub fn probability(&self, zone: &Zone, now: Moment) -> f64 {
        let known = self
            .rejection_rates
            .iter()
            .find(|known| known.zone == *zone);
        1.0 - known.map_or(0.0, |known| known.rejected_share(now))
    }

    /// True while the probability of acceptance is worth the query to a gate node of
    /// `zone`.
    pub fn should_ask(&self, zone: &Zone, now: Moment) -> bool {
        let least = match *zone == self.own_zone {
            true => MIN_SAME_ZONE_PROBABILITY,
            false => MIN_OTHER_ZONE_PROBABILITY,
        };
        self.probability(zone, now) >= least
    }

    /// True while it is worth asking a gate node of `zone` on behalf of a nested call, one
    /// that a backend makes while it serves another. In the same zone it always is, since
    /// the parent's work is lost if no gate node accepts the nested call.
    pub fn should_ask_nested(&self, zone: &Zone, now: Moment) -> bool {
        *zone == self.own_zone || self.should_ask(zone, now)
    }

    /// True if a gate node of `zone` that seems free most likely runs a call at once.
    pub fn is_acceptance_likely(&self, zone: &Zone, now: Moment) -> bool {
        self.probability(zone, now) >= LIKELY_PROBABILITY
    }

    /// True if the entry node should ask a gate node of `zone` before it sends a body of
    /// this size: the bytes wasted by a rejection, on average, exceed those of the query.
    pub fn should_ask_before_body(&self, zone: &Zone, bytes: usize, now: Moment) -> bool {
        bytes as f64 * (1.0 - self.probability(zone, now)) > QUERY_BYTES
    }
}
