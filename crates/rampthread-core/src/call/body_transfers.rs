//! Flow control for large request bodies on their way to one gate node, the node that
//! forwards calls to its local backend.
//!
//! A body that is sent before its call is admitted takes link capacity from everything
//! else, and is wasted if the gate node rejects the call. So the sending node offers the
//! body first, and sends it when the gate node grants the transfer. A few bodies are
//! transferred at a time, so that each arrives soon and small messages find the link nearly
//! idle; the other offers wait for a grant, or are rejected at once if the grant would come
//! too late for the call.

use super::admission::CallNumber;
use crate::time::Moment;
use std::collections::VecDeque;
use std::time::Duration;

/// Maximum number of concurrent body transfers to one gate node. A second transfer keeps
/// the link busy in the round trip between the end of the first and the start of the next.
const MAX_CONCURRENT: usize = 2;
/// Divisor that estimates the bytes still to be transferred from the lengths of the bodies
/// in transfer. Senders do not report progress, so half of the bytes are assumed to have
/// arrived.
const OUTSTANDING_DIVISOR: u64 = 2;
/// Weight of the newest measurement in the moving average of the transfer rate.
const RATE_WEIGHT: f64 = 0.2;
/// Transfer rate before the first measurement, in bytes per second: 100 Mbit/s.
const INITIAL_RATE: f64 = 12.5e6;
/// Multiple of a transfer's expected duration after which the granted transfer is given up.
/// By then its sender has most likely ended, or its link is much slower than those of other
/// senders.
const EXPIRY_FACTOR: u32 = 8;
/// Minimum time until a granted transfer is given up, since the loss of a packet may delay
/// the body.
const MIN_EXPIRY: Duration = Duration::from_millis(500);
/// Minimum time after which the sender of a rejected offer is told to offer the body again.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Announcement of a large request body that a node wants to send to the backend's node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyOffer {
    /// Call whose request has the body.
    pub call: CallNumber,
    /// Length of the body in bytes.
    pub bytes: u64,
    /// Maximum time that the call may wait until the transfer is granted.
    pub max_wait: Duration,
}

/// What the backend's node decides about an offered request body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferDecision {
    /// The sender may send the body now.
    Granted,
    /// The body must wait until the transfer of another body has ended.
    Queued,
    /// The body must not be sent, since the call could not wait until its transfer would
    /// start.
    Refused {
        /// Time after which the sender should offer the body again.
        retry_after: Duration,
    },
}

/// A large request body whose transfer was granted and is not known to have ended.
#[derive(Debug, Clone, Copy)]
struct GrantedBodyTransfer {
    call: CallNumber,
    bytes: u64,
    /// When the transfer is given up if its body has not arrived.
    expires_at: Moment,
}

/// Schedules the transfers of large request bodies to one gate node.
#[derive(Debug)]
pub struct BodyTransfers {
    in_progress: Vec<GrantedBodyTransfer>,
    waiting: VecDeque<BodyOffer>,
    /// Measured rate of all transfers to this gate node together, in bytes per second.
    rate: f64,
    /// Start of the interval over which the transfer rate is measured next.
    measured_since: Moment,
}

impl Default for BodyTransfers {
    fn default() -> Self {
        Self {
            in_progress: Vec::new(),
            waiting: VecDeque::new(),
            rate: INITIAL_RATE,
            measured_since: Moment::default(),
        }
    }
}

impl BodyTransfers {
    /// How many bodies are in transfer or wait for a grant.
    pub fn load(&self) -> u32 {
        (self.in_progress.len() + self.waiting.len()) as u32
    }

    /// Expected duration of the transfer of a body of this many bytes, at the measured
    /// rate.
    pub fn expected(&self, bytes: u64) -> Duration {
        Duration::from_secs_f64(bytes as f64 / self.rate)
    }

    /// Expected time until a transfer that is offered now would be granted.
    fn expected_wait(&self) -> Duration {
        let in_progress: u64 = self.in_progress.iter().map(|transfer| transfer.bytes).sum();
        let waiting: u64 = self.waiting.iter().map(|offer| offer.bytes).sum();
        self.expected(in_progress / OUTSTANDING_DIVISOR + waiting)
    }

    /// Grants the transfer of a request body, queues the offer or rejects it.
    pub fn offer(&mut self, offer: BodyOffer, now: Moment) -> OfferDecision {
        self.remove_expired(now);
        if self.in_progress.len() < MAX_CONCURRENT && self.waiting.is_empty() {
            self.grant(offer, now);
            return OfferDecision::Granted;
        }
        let wait = self.expected_wait();
        if wait > offer.max_wait {
            return OfferDecision::Refused {
                retry_after: wait.max(MIN_RETRY_AFTER),
            };
        }
        self.waiting.push_back(offer);
        OfferDecision::Queued
    }

    /// Counts the offered body as in transfer, and sets the time at which the transfer
    /// expires.
    fn grant(&mut self, offer: BodyOffer, now: Moment) {
        if self.in_progress.is_empty() {
            self.measured_since = now;
        }
        let timeout = (self.expected(offer.bytes) * EXPIRY_FACTOR).max(MIN_EXPIRY);
        self.in_progress.push(GrantedBodyTransfer {
            call: offer.call,
            bytes: offer.bytes,
            expires_at: now + timeout,
        });
    }

    /// Drops granted transfers whose body did not arrive in time.
    fn remove_expired(&mut self, now: Moment) {
        self.in_progress
            .retain(|transfer| transfer.expires_at > now);
    }

    /// Ends the transfer of the body of `call`, which has arrived or never will. Returns
    /// the calls whose bodies may be sent now.
    pub fn ended(&mut self, call: CallNumber, arrived: bool, now: Moment) -> Vec<CallNumber> {
        let index = self
            .in_progress
            .iter()
            .position(|transfer| transfer.call == call);
        if let Some(index) = index {
            let ended = self.in_progress.swap_remove(index);
            if arrived {
                self.update_rate(ended.bytes, now);
            }
        }
        self.grant_next(now)
    }

    /// Updates the transfer rate after a body of this many bytes has arrived.
    fn update_rate(&mut self, bytes: u64, now: Moment) {
        let seconds = now.since(self.measured_since).as_secs_f64();
        self.measured_since = now;
        if seconds > 0.0 {
            let measured = bytes as f64 / seconds;
            self.rate += (measured - self.rate) * RATE_WEIGHT;
        }
    }

    /// Grants waiting offers until [`MAX_CONCURRENT`] transfers are in progress. Returns
    /// the calls whose bodies may be sent now.
    fn grant_next(&mut self, now: Moment) -> Vec<CallNumber> {
        self.remove_expired(now);
        let mut granted = Vec::new();
        while self.in_progress.len() < MAX_CONCURRENT
            && let Some(offer) = self.waiting.pop_front()
        {
            self.grant(offer, now);
            granted.push(offer.call);
        }
        granted
    }

    /// Removes the waiting offer of `call`, whose sender has abandoned it. Returns false if
    /// the call has no waiting offer; its body may already be in transfer.
    pub fn cancel(&mut self, call: CallNumber) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|offer| offer.call != call);
        self.waiting.len() < before
    }
}
