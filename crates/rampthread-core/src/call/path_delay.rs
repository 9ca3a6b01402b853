//! Measures how long a hop, a request from one node to another, was delayed by congested
//! links.
//!
//! A hop carries the time until its call's deadline, as of when the hop was sent. On a
//! congested link the hop may be delayed for seconds. Without a correction the receiving
//! node would then work on a call after its caller's deadline. The clocks of two machines
//! are not compared: each hop carries the time since its sender's start, and the least
//! difference to the receiver's clock seen so far is taken as that of a network path
//! without congestion. The amount by which a hop's difference exceeds this least difference
//! is the delay of the hop, as in LEDBAT (RFC 6817).

use crate::time::Moment;
use std::collections::HashMap;
use std::net::IpAddr;
use std::time::Duration;

/// Maximum number of sending machines whose fastest hop is remembered. Beyond it all
/// records are dropped and measured again.
const MAX_SENDERS: usize = 4_096;

/// Time at which a hop was sent, by the clock of the sending process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SentAt {
    /// Number that tells runs of the sending process apart; its clock starts anew with each
    /// run.
    pub process_epoch: u32,
    /// Age of the sending process when it sent the hop.
    pub since_start: Duration,
}

impl SentAt {
    /// Parses the text that `Display` writes; `None` if the text has another form.
    pub fn parse(text: &str) -> Option<SentAt> {
        let (life, millis) = text.split_once('-')?;
        Some(SentAt {
            process_epoch: u32::from_str_radix(life, 16).ok()?,
            since_start: Duration::from_millis(u64::from(millis.parse::<u32>().ok()?)),
        })
    }
}

impl std::fmt::Display for SentAt {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            "{:x}-{}",
            self.process_epoch,
            self.since_start.as_millis()
        )
    }
}

/// The least time that a hop (a request between nodes) from one machine has taken, as the
/// difference between the receiver's and the sender's clock.
#[derive(Debug, Clone, Copy)]
struct FastestHop {
    process_epoch: u32,
    /// Receiver's clock minus sender's clock when the fastest hop arrived, in microseconds.
    least_difference: i64,
}

/// Delays of the hops that one node receives. For each sending machine the fastest hop is
/// remembered.
#[derive(Debug, Default)]
pub struct PathDelays {
    senders: HashMap<IpAddr, FastestHop>,
}

impl PathDelays {
    /// Records a hop that arrives at `now`, and returns how much longer it took than the
    /// fastest hop of the same process. The first hop of a process counts as the fastest.
    pub fn record_arrival(&mut self, sender: IpAddr, sent: SentAt, now: Moment) -> Duration {
        let difference = now.0 as i64 - sent.since_start.as_micros() as i64;
        if self.senders.len() >= MAX_SENDERS && !self.senders.contains_key(&sender) {
            self.senders.clear();
        }
        let fastest_hop = self.senders.entry(sender).or_insert(FastestHop {
            process_epoch: sent.process_epoch,
            least_difference: difference,
        });
        if fastest_hop.process_epoch != sent.process_epoch
            || difference < fastest_hop.least_difference
        {
            *fastest_hop = FastestHop {
                process_epoch: sent.process_epoch,
                least_difference: difference,
            };
        }
        Duration::from_micros((difference - fastest_hop.least_difference) as u64)
    }
}
