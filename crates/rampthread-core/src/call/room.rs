//! Whether it is worth asking another gate of a service for room.
//!
//! An entry knows the load of a gate only from its last answer, and a gate that
//! others fill meanwhile looks free for long. What gates of the service answered
//! lately says more: where most refuse, the next one most likely refuses too, and
//! each question costs time and bytes, above all between zones. So each try is a
//! sample, gates of the own zone and others apart, and a gate is asked only while
//! the chance that it has room is worth the question.

use crate::time::Moment;
use std::time::Duration;

/// Weight of the newest try: the last seven or so count.
const WEIGHT: f64 = 0.15;
/// Time after which what was learnt counts for little: calls run for a few tenths
/// of a second, and slots come free with them.
const LIFE: Duration = Duration::from_secs(2);
/// Least chance of room for which another gate of the own zone is asked.
const LEAST_NEAR_CHANCE: f64 = 0.3;
/// Least chance of room for which a gate of another zone is asked: the bytes of a
/// call that goes there are dear, and wasted if it is refused.
const LEAST_FAR_CHANCE: f64 = 0.6;
/// Bytes of a question whether a gate has room, with its answer.
const QUESTION_BYTES: f64 = 500.0;

/// Where a gate stands, as seen from the entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Distance {
    /// In the own zone.
    Near,
    /// In another zone.
    Far,
}

/// Share of recent tries that were refused for lack of room.
#[derive(Debug, Default, Clone, Copy)]
struct Refusals {
    share: f64,
    at: Moment,
}

impl Refusals {
    fn share(&self, now: Moment) -> f64 {
        let age = now.since(self.at).as_secs_f64() / LIFE.as_secs_f64();
        self.share * (-age).exp()
    }

    fn note(&mut self, refused: bool, now: Moment) {
        let known = self.share(now);
        let newest = f64::from(u8::from(refused));
        self.share = known + (newest - known) * WEIGHT;
        self.at = now;
    }
}

/// What recent tries tell of the room at one service.
#[derive(Debug, Default, Clone, Copy)]
pub struct Room {
    near: Refusals,
    far: Refusals,
}

impl Room {
    /// A gate took a call or refused it for lack of room.
    pub fn note(&mut self, distance: Distance, refused: bool, now: Moment) {
        match distance {
            Distance::Near => self.near.note(refused, now),
            Distance::Far => self.far.note(refused, now),
        }
    }

    /// Chance that a gate has room.
    pub fn chance(&self, distance: Distance, now: Moment) -> f64 {
        let refusals = match distance {
            Distance::Near => &self.near,
            Distance::Far => &self.far,
        };
        1.0 - refusals.share(now)
    }

    /// True while it is worth asking a gate there that may have room.
    pub fn is_worth_asking(&self, distance: Distance, now: Moment) -> bool {
        let least = match distance {
            Distance::Near => LEAST_NEAR_CHANCE,
            Distance::Far => LEAST_FAR_CHANCE,
        };
        self.chance(distance, now) >= least
    }

    /// True when a body of so many bytes is likely to be wasted by more than a
    /// question beforehand costs.
    pub fn is_worth_a_question(&self, distance: Distance, bytes: usize, now: Moment) -> bool {
        bytes as f64 * (1.0 - self.chance(distance, now)) > QUESTION_BYTES
    }
}
