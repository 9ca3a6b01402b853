//! Whether it is worth asking another gate of a service for room.
//!
//! An entry knows the load of a gate only from its last answer, and a gate that
//! others fill meanwhile looks free for long. What gates of the service answered
//! lately says more: where most refuse, the next one most likely refuses too, and
//! each question costs time and bytes, above all between zones. So each try is a
//! sample of its zone, and a gate is asked only while the chance that it has room
//! is worth the question.

use crate::ids::Zone;
use crate::time::Moment;
use std::time::Duration;

/// Weight of the newest try in the own zone: the last seven or so count.
const NEAR_WEIGHT: f64 = 0.15;
/// Weight of the newest try in another zone: these are few, and dear if refused.
const FAR_WEIGHT: f64 = 0.3;
/// Time after which what was learnt counts for little: calls run for a few tenths
/// of a second, and slots come free with them.
const LIFE: Duration = Duration::from_secs(2);
/// Least chance of room for which another gate of the own zone is asked.
const LEAST_NEAR_CHANCE: f64 = 0.3;
/// Least chance of room for which a gate of another zone is asked: the bytes of a
/// call that goes there are dear, and wasted if it is refused.
const LEAST_FAR_CHANCE: f64 = 0.8;
/// Chance of room from which another gate is expected to run a call at once. Below it a
/// call waits where it stands: a slot that comes free goes to whoever waits for it in order
/// of urgency, and among calls that ask full gates in turn to whoever happens to ask next.
const LIKELY_CHANCE: f64 = 0.7;
/// Bytes of a question whether a gate has room, with its answer.
const QUESTION_BYTES: f64 = 500.0;

/// Share of recent tries in one zone that were refused for lack of room.
#[derive(Debug, Clone)]
struct Refusals {
    zone: Zone,
    share: f64,
    at: Moment,
}

impl Refusals {
    fn share(&self, now: Moment) -> f64 {
        let age = now.since(self.at).as_secs_f64() / LIFE.as_secs_f64();
        self.share * (-age).exp()
    }
}

/// What recent tries tell of the room at one service.
#[derive(Debug, Clone)]
pub struct AcceptanceEstimator {
    own_zone: Zone,
    /// By zone; few, so that a search is cheap.
    refusals: Vec<Refusals>,
}

impl AcceptanceEstimator {
    /// Nothing is known, as seen from `own_zone`.
    pub fn new(own_zone: Zone) -> Self {
        Self {
            own_zone,
            refusals: Vec::new(),
        }
    }

    /// A gate of `zone` took a call or refused it for lack of room.
    pub fn record(&mut self, zone: &Zone, refused: bool, now: Moment) {
        let weight = match *zone == self.own_zone {
            true => NEAR_WEIGHT,
            false => FAR_WEIGHT,
        };
        let newest = f64::from(u8::from(refused));
        match self.refusals.iter_mut().find(|known| known.zone == *zone) {
            Some(known) => {
                let share = known.share(now);
                known.share = share + (newest - share) * weight;
                known.at = now;
            }
            None => self.refusals.push(Refusals {
                zone: zone.clone(),
                share: newest * weight,
                at: now,
            }),
        }
    }

    /// Chance that a gate of `zone` has room.
    pub fn probability(&self, zone: &Zone, now: Moment) -> f64 {
        let known = self.refusals.iter().find(|known| known.zone == *zone);
        1.0 - known.map_or(0.0, |known| known.share(now))
    }

    /// True while it is worth asking a gate there that may have room.
    pub fn should_ask(&self, zone: &Zone, now: Moment) -> bool {
        let least = match *zone == self.own_zone {
            true => LEAST_NEAR_CHANCE,
            false => LEAST_FAR_CHANCE,
        };
        self.probability(zone, now) >= least
    }

    /// True while a nested call should ask a gate there: in its own zone always, since the
    /// work done for its parent is lost if no gate is found.
    pub fn should_ask_nested(&self, zone: &Zone, now: Moment) -> bool {
        *zone == self.own_zone || self.should_ask(zone, now)
    }

    /// True when a gate there that seems free most likely runs a call at once.
    pub fn is_acceptance_likely(&self, zone: &Zone, now: Moment) -> bool {
        self.probability(zone, now) >= LIKELY_CHANCE
    }

    /// True when a body of so many bytes is likely to be wasted by more than a
    /// question beforehand costs.
    pub fn should_ask_before_body(&self, zone: &Zone, bytes: usize, now: Moment) -> bool {
        bytes as f64 * (1.0 - self.probability(zone, now)) > QUESTION_BYTES
    }
}
