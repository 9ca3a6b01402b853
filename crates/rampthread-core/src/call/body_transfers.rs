//! Large bodies on their way to one gate.
//!
//! A body that is sent on the chance of being let in takes a link's time from
//! everything else, and is wasted where the gate refuses. The gate is asked
//! first: a few bodies travel at a time, so that each arrives soon and small
//! messages find the link nearly empty; the others wait at their entries, or
//! are refused at once where their turn would come too late.

use super::admission::CallNumber;
use crate::time::Moment;
use std::collections::VecDeque;
use std::time::Duration;

/// Bodies under way at a time. The second keeps the link busy while the first
/// one's end and the next grant travel.
const UNDER_WAY: usize = 2;
/// Of the bytes of bodies under way one in so many is still to come, in the
/// mean: nobody tells how far each has got.
const STILL_TO_COME: u64 = 2;
/// Weight of the newest measurement in the learnt rate.
const RATE_WEIGHT: f64 = 0.2;
/// Rate before the first measurement, in bytes a second: 100 Mbit/s.
const FIRST_RATE: f64 = 12.5e6;
/// A granted body that has not arrived after this many times its expected time
/// is given up: its sender is gone, or its path is much worse than others'.
const GIVEN_UP_AFTER: u32 = 8;
/// No granted body is given up before this: a path may stall for a lost packet.
const LEAST_PATIENCE: Duration = Duration::from_millis(500);
/// Shortest advice when to come back.
const LEAST_RETRY_AFTER: Duration = Duration::from_millis(100);

/// A body that wants to be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyOffer {
    /// The call that it belongs to.
    pub call: CallNumber,
    /// Its length.
    pub bytes: u64,
    /// Longest wait that is worth it.
    pub max_wait: Duration,
}

/// What becomes of an offer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferDecision {
    /// It may be sent now.
    Granted,
    /// It waits for its turn.
    Queued,
    /// Its turn would come too late.
    Refused {
        /// When to come back.
        retry_after: Duration,
    },
}

#[derive(Debug, Clone, Copy)]
struct UnderWay {
    call: CallNumber,
    bytes: u64,
    given_up_at: Moment,
}

/// The large bodies on their way to one gate.
#[derive(Debug)]
pub struct BodyTransfers {
    under_way: Vec<UnderWay>,
    waiting: VecDeque<BodyOffer>,
    /// Bytes a second that the paths to this node give together.
    rate: f64,
    /// Since when the bytes are counted that the next end of a body measures.
    measured_since: Moment,
}

impl Default for BodyTransfers {
    fn default() -> Self {
        Self {
            under_way: Vec::new(),
            waiting: VecDeque::new(),
            rate: FIRST_RATE,
            measured_since: Moment::default(),
        }
    }
}

impl BodyTransfers {
    /// Bodies under way and waiting.
    pub fn load(&self) -> u32 {
        (self.under_way.len() + self.waiting.len()) as u32
    }

    /// Time that `bytes` take at the learnt rate.
    pub fn expected(&self, bytes: u64) -> Duration {
        Duration::from_secs_f64(bytes as f64 / self.rate)
    }

    /// Time until an offer that comes now may be sent.
    fn expected_wait(&self) -> Duration {
        let under_way: u64 = self.under_way.iter().map(|one| one.bytes).sum();
        let waiting: u64 = self.waiting.iter().map(|offer| offer.bytes).sum();
        self.expected(under_way / STILL_TO_COME + waiting)
    }

    /// A body is offered.
    pub fn offer(&mut self, offer: BodyOffer, now: Moment) -> OfferDecision {
        self.give_up_overdue(now);
        if self.under_way.len() < UNDER_WAY && self.waiting.is_empty() {
            self.grant(offer, now);
            return OfferDecision::Granted;
        }
        let wait = self.expected_wait();
        if wait > offer.max_wait {
            return OfferDecision::Refused {
                retry_after: wait.max(LEAST_RETRY_AFTER),
            };
        }
        self.waiting.push_back(offer);
        OfferDecision::Queued
    }

    fn grant(&mut self, offer: BodyOffer, now: Moment) {
        if self.under_way.is_empty() {
            self.measured_since = now;
        }
        let patience = (self.expected(offer.bytes) * GIVEN_UP_AFTER).max(LEAST_PATIENCE);
        self.under_way.push(UnderWay {
            call: offer.call,
            bytes: offer.bytes,
            given_up_at: now + patience,
        });
    }

    fn give_up_overdue(&mut self, now: Moment) {
        self.under_way.retain(|one| one.given_up_at > now);
    }

    /// The body of `call` has arrived, or never will. Names the calls whose
    /// bodies may be sent now.
    pub fn ended(&mut self, call: CallNumber, arrived: bool, now: Moment) -> Vec<CallNumber> {
        let index = self.under_way.iter().position(|one| one.call == call);
        if let Some(index) = index {
            let ended = self.under_way.swap_remove(index);
            if arrived {
                self.measure(ended.bytes, now);
            }
        }
        self.grant_next(now)
    }

    fn measure(&mut self, bytes: u64, now: Moment) {
        let seconds = now.since(self.measured_since).as_secs_f64();
        self.measured_since = now;
        if seconds > 0.0 {
            let measured = bytes as f64 / seconds;
            self.rate += (measured - self.rate) * RATE_WEIGHT;
        }
    }

    fn grant_next(&mut self, now: Moment) -> Vec<CallNumber> {
        self.give_up_overdue(now);
        let mut granted = Vec::new();
        while self.under_way.len() < UNDER_WAY
            && let Some(offer) = self.waiting.pop_front()
        {
            self.grant(offer, now);
            granted.push(offer.call);
        }
        granted
    }

    /// The sender of `call` has given up before its turn. False when its body
    /// may be sent already.
    pub fn cancel(&mut self, call: CallNumber) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|offer| offer.call != call);
        self.waiting.len() < before
    }
}
