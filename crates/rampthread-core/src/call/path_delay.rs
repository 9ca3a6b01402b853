//! How long a hop stood in full links on its way to the gate.
//!
//! A hop says how long its call may still take, counted from when it was sent. On
//! a full link it may stand for seconds, and the gate would give its call time
//! that nobody waits for any more. Clocks of two machines are not compared: each
//! hop carries the time since its sender's start, and the least difference to the
//! gate's own time that was seen stands for an empty path. What another hop's
//! difference has above it is its delay (the same idea as in LEDBAT, RFC 6817).

use crate::time::Moment;
use std::collections::HashMap;
use std::net::IpAddr;
use std::time::Duration;

/// Senders that are remembered; beyond, all are learnt anew.
const MAX_SENDERS: usize = 4_096;

/// When a hop was sent, by its sender's own clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SentAt {
    /// Tells lives of the sender's process apart: its clock begins anew in each.
    pub life: u32,
    /// Time since that life began.
    pub since_start: Duration,
}

impl SentAt {
    /// Reads what its `Display` wrote; none if it is something else.
    pub fn parse(text: &str) -> Option<SentAt> {
        let (life, millis) = text.split_once('-')?;
        Some(SentAt {
            life: u32::from_str_radix(life, 16).ok()?,
            since_start: Duration::from_millis(u64::from(millis.parse::<u32>().ok()?)),
        })
    }
}

impl std::fmt::Display for SentAt {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            "{:x}-{}",
            self.life,
            self.since_start.as_millis()
        )
    }
}

#[derive(Debug, Clone, Copy)]
struct EmptyPath {
    life: u32,
    /// Least difference seen between the two clocks, in microseconds.
    least_difference: i64,
}

/// Delays of hops, by the machine that sent them.
#[derive(Debug, Default)]
pub struct PathDelays {
    senders: HashMap<IpAddr, EmptyPath>,
}

impl PathDelays {
    /// A hop arrives. Tells how much longer than the fastest one of its sender it
    /// was on its way; the first of a life counts as fast.
    pub fn arrived(&mut self, sender: IpAddr, sent: SentAt, now: Moment) -> Duration {
        let difference = now.0 as i64 - sent.since_start.as_micros() as i64;
        if self.senders.len() >= MAX_SENDERS && !self.senders.contains_key(&sender) {
            self.senders.clear();
        }
        let path = self.senders.entry(sender).or_insert(EmptyPath {
            life: sent.life,
            least_difference: difference,
        });
        if path.life != sent.life || difference < path.least_difference {
            *path = EmptyPath {
                life: sent.life,
                least_difference: difference,
            };
        }
        Duration::from_micros((difference - path.least_difference) as u64)
    }
}
