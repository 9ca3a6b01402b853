//! Links of a set rate: bytes cost time, and what comes after them waits.

use rampthread_core::fleet::Envelope;
use rampthread_core::time::Moment;
use std::collections::BTreeMap;
use std::time::Duration;

/// Largest message that goes as a datagram, in bytes.
const DATAGRAM_BYTES: u64 = 1_428;
/// A datagram is lost where so much waits on a link before it.
const DATAGRAM_QUEUE: Duration = Duration::from_millis(200);

/// One node's link, the same both ways.
#[derive(Debug, Clone, Copy, Default)]
struct Link {
    /// Bytes a second; none: no limit.
    rate: Option<u64>,
    sends_until: Moment,
    receives_until: Moment,
    read: Option<Read>,
}

/// A read of the document from the store.
#[derive(Debug, Clone, Copy)]
struct Read {
    begun: Moment,
    ends: Moment,
}

impl Link {
    fn time_of(&self, bytes: u64) -> Duration {
        let rate = self.rate.unwrap_or(u64::MAX).max(1);
        Duration::from_secs_f64(bytes as f64 / rate as f64)
    }
}

/// The links of a fleet, and what is on them.
#[derive(Debug)]
pub struct Links {
    links: Vec<Link>,
    sent: u64,
    /// By arrival, then in the order in which they were sent.
    on_the_way: BTreeMap<(Moment, u64), (usize, Envelope)>,
}

impl Links {
    pub fn new(size: usize) -> Self {
        Self {
            links: vec![Link::default(); size],
            sent: 0,
            on_the_way: BTreeMap::new(),
        }
    }

    pub fn set_rates(&mut self, rate: impl Fn(usize) -> u64) {
        for (index, link) in self.links.iter_mut().enumerate() {
            link.rate = Some(rate(index));
        }
    }

    pub fn is_limited(&self, index: usize) -> bool {
        self.links[index].rate.is_some()
    }

    pub fn send(&mut self, from: usize, to: usize, bytes: u64, envelope: Envelope, now: Moment) {
        let begins = self.links[from].sends_until.max(now);
        let left = begins + self.links[from].time_of(bytes);
        let arrives = self.links[to].receives_until.max(left) + self.links[to].time_of(bytes);
        let waited = begins.since(now) + self.links[to].receives_until.since(left);
        if bytes <= DATAGRAM_BYTES && waited > DATAGRAM_QUEUE {
            return;
        }
        self.links[from].sends_until = left;
        self.links[to].receives_until = arrives;
        self.sent += 1;
        self.on_the_way.insert((arrives, self.sent), (to, envelope));
    }

    pub fn next_arrived(&mut self, now: Moment) -> Option<(usize, Envelope)> {
        let first = self.on_the_way.first_entry()?;
        (first.key().0 <= now).then(|| first.remove())
    }

    /// A read of so many bytes begins, unless one is under way.
    pub fn begin_read(&mut self, index: usize, bytes: u64, now: Moment) {
        let link = &mut self.links[index];
        if link.read.is_some() {
            return;
        }
        let ends = link.receives_until.max(now) + link.time_of(bytes);
        link.receives_until = ends;
        link.read = Some(Read { begun: now, ends });
    }

    /// How long the read took that has ended by now.
    pub fn ended_read(&mut self, index: usize, now: Moment) -> Option<Duration> {
        let link = &mut self.links[index];
        let read = link.read.filter(|read| read.ends <= now)?;
        link.read = None;
        Some(read.ends.since(read.begun))
    }

    /// The rest of a read is not needed.
    pub fn stop_read(&mut self, index: usize, now: Moment) {
        let link = &mut self.links[index];
        if let Some(read) = link.read.take_if(|read| read.ends > now) {
            let rest = read.ends.since(now);
            link.receives_until = Moment(link.receives_until.0 - rest.as_micros() as u64);
        }
    }
}
