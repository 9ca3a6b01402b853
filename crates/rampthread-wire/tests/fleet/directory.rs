//! The directory in the platform's store, as nodes of a fleet in memory read and write it,
//! over the store's one link.

use rampthread_core::fleet::{Machine, ZoneDirectory, ZoneSnapshot, ZoneStep, ZoneWrite};
use rampthread_core::ids::Zone;
use rampthread_core::time::Moment;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Bytes of one member in a snapshot as the store sends it (`platform/tests/directory.rs`
/// holds a zone of 164 to it).
const BYTES_A_MEMBER: u64 = 40;
/// Bytes of the document as the store sends it: 1,200 routes.
const DOCUMENT_BYTES: u64 = 147_000;
/// 1,000 Mbit/s.
const LINK_BYTES_A_SECOND: f64 = 125_000_000.0;
/// Time that the store takes for a call, the way there and back with it.
const ANSWER_TIME: Duration = Duration::from_millis(7);
/// Price of a read that may be old.
const OLD_READ_PRICE: f64 = 0.1;
/// Time between two looks of a node whether it must do something.
const STEP_INTERVAL: Duration = Duration::from_millis(250);
/// Time until a node that the store does not answer asks again.
const REFUSED_PAUSE: Duration = Duration::from_secs(1);
/// Time from a node's first write to its look at the other zones.
const FIRST_LOOK_PAUSE: Duration = Duration::from_secs(1);

/// Changes of the snapshots, for reads that may be old.
type History = VecDeque<(Moment, BTreeMap<Zone, ZoneSnapshot>)>;

/// What a node waits for from the store.
#[derive(Debug, Clone)]
pub enum Answer {
    /// The whole directory.
    Directory(BTreeMap<Zone, ZoneSnapshot>),
    /// The operators' document.
    Document,
    /// Its snapshot was written.
    Written(ZoneSnapshot),
    /// Another one stands.
    Conflict(Option<ZoneSnapshot>),
    /// The store does not serve it.
    Refused,
}

/// One node's side.
#[derive(Debug)]
struct Client {
    zone: Zone,
    directory: ZoneDirectory,
    listed: bool,
    answers: VecDeque<(Moment, Answer)>,
    next_step: Moment,
    /// When it reads the document, unless peers have given it.
    document_due: Option<Moment>,
    looks_at: Option<Moment>,
}

/// The store's directory and what the nodes do there.
#[derive(Debug, Default)]
pub struct StoreDirectory {
    history: History,
    revision: u64,
    clients: BTreeMap<usize, Client>,
    link_free_at: Moment,
    /// Age of what a read at a reduced price shows.
    pub read_age: Duration,
    /// Nodes that the store refuses.
    pub refused: BTreeSet<usize>,
    /// Calls at their price.
    pub price: f64,
    /// Snapshots written.
    pub writes: u64,
    /// Bytes sent.
    pub bytes: u64,
}

/// What a node must do now.
pub enum Due {
    /// Ask the agent for its step.
    Step,
    /// Begin to read the document if it still lacks it.
    ReadDocument,
}

impl StoreDirectory {
    /// What stands now.
    pub fn present(&self) -> BTreeMap<Zone, ZoneSnapshot> {
        self.history
            .back()
            .map_or_else(BTreeMap::new, |(_, zones)| zones.clone())
    }

    /// Somebody else writes into a zone's snapshot.
    pub fn overwrite(&mut self, zone: &Zone, members: Vec<Machine>, now: Moment) {
        let members = members
            .into_iter()
            .map(|machine| (machine.id.clone(), machine));
        let snapshot = ZoneSnapshot {
            members: members.collect(),
            revision: 0,
            lease: 1,
        };
        self.store(zone, snapshot, now);
    }

    fn store(&mut self, zone: &Zone, mut snapshot: ZoneSnapshot, now: Moment) -> ZoneSnapshot {
        self.revision += 1;
        snapshot.revision = self.revision;
        let mut zones = self.present();
        zones.insert(zone.clone(), snapshot.clone());
        self.history.push_back((now, zones));
        snapshot
    }

    fn seen(&self, age: Duration, now: Moment) -> BTreeMap<Zone, ZoneSnapshot> {
        let old_enough = |(at, _): &&(Moment, _)| now.since(*at) >= age;
        let seen = self.history.iter().rev().find(old_enough);
        seen.map_or_else(BTreeMap::new, |(_, zones)| zones.clone())
    }

    /// A new process of `index`.
    pub fn start(&mut self, index: usize, zone: Zone, now: Moment) {
        let client = Client {
            directory: ZoneDirectory::new(zone.clone()),
            zone,
            listed: false,
            answers: VecDeque::new(),
            next_step: now,
            document_due: None,
            looks_at: None,
        };
        self.clients.insert(index, client);
        self.read(index, false, now);
    }

    pub fn end(&mut self, index: usize) {
        self.clients.remove(&index);
    }

    pub fn is_used_by(&self, index: usize) -> bool {
        self.clients.contains_key(&index)
    }

    fn answer(&mut self, index: usize, bytes: u64, answer: Answer, now: Moment) {
        let (at, answer) = if self.refused.contains(&index) {
            (now + REFUSED_PAUSE, Answer::Refused)
        } else {
            self.bytes += bytes;
            let time = Duration::from_secs_f64(bytes as f64 / LINK_BYTES_A_SECOND);
            self.link_free_at = self.link_free_at.max(now) + time;
            (self.link_free_at + ANSWER_TIME, answer)
        };
        if let Some(client) = self.clients.get_mut(&index) {
            client.answers.push_back((at, answer));
        }
    }

    fn read(&mut self, index: usize, current: bool, now: Moment) {
        let age = if current {
            Duration::ZERO
        } else {
            self.read_age
        };
        self.price += if current { 1.0 } else { OLD_READ_PRICE };
        let zones = self.seen(age, now);
        let members: usize = zones.values().map(|zone| zone.members.len()).sum();
        let bytes = members as u64 * BYTES_A_MEMBER;
        self.answer(index, bytes, Answer::Directory(zones), now);
    }

    fn write(&mut self, index: usize, write: ZoneWrite, now: Moment) {
        let Some(client) = self.clients.get(&index) else {
            return;
        };
        let zone = client.zone.clone();
        if client.directory.is_first() {
            let looks_at = now + FIRST_LOOK_PAUSE;
            self.clients
                .entry(index)
                .and_modify(|client| client.looks_at = Some(looks_at));
        }
        let grants = write.with_lease && write.snapshot.lease == 0;
        self.price += if grants { 2.0 } else { 1.0 };
        let snapshot = ZoneSnapshot {
            lease: u64::from(write.with_lease),
            ..write.snapshot
        };
        let present = self.present().remove(&zone);
        let revision = present.as_ref().map_or(0, |snapshot| snapshot.revision);
        let refused = self.refused.contains(&index);
        let answer = if revision == snapshot.revision && !refused {
            self.writes += 1;
            Answer::Written(self.store(&zone, snapshot, now))
        } else {
            Answer::Conflict(present)
        };
        self.answer(index, 0, answer, now);
    }

    /// What `index` must do at `now`, if anything.
    pub fn due(&mut self, index: usize, now: Moment) -> Option<Due> {
        let client = self.clients.get_mut(&index)?;
        if !client.answers.is_empty() {
            return None;
        }
        if client.looks_at.take_if(|at| *at <= now).is_some() {
            self.read(index, true, now);
            return None;
        }
        if client.document_due.take_if(|due| *due <= now).is_some() {
            return Some(Due::ReadDocument);
        }
        if !client.listed || client.next_step > now {
            return None;
        }
        client.next_step = now + STEP_INTERVAL;
        Some(Due::Step)
    }

    /// Begins what the node's part of the directory decides.
    pub fn step(
        &mut self,
        index: usize,
        now: Moment,
        decide: impl FnOnce(&mut ZoneDirectory) -> Option<ZoneStep>,
    ) {
        let Some(client) = self.clients.get_mut(&index) else {
            return;
        };
        match decide(&mut client.directory) {
            None => {}
            Some(ZoneStep::Read { consistent }) => self.read(index, consistent, now),
            Some(ZoneStep::Write(write)) => self.write(index, write, now),
            Some(ZoneStep::Renew(_)) => {
                client.directory.on_renewed(true, now);
                self.price += OLD_READ_PRICE;
            }
        }
    }

    pub fn read_document(&mut self, index: usize, now: Moment) {
        self.price += OLD_READ_PRICE;
        self.answer(index, DOCUMENT_BYTES, Answer::Document, now);
    }

    pub fn read_document_at(&mut self, index: usize, at: Moment) {
        if let Some(client) = self.clients.get_mut(&index) {
            client.document_due = Some(at);
        }
    }

    /// The answer that has come to `index`.
    pub fn arrived(&mut self, index: usize, now: Moment) -> Option<Answer> {
        let client = self.clients.get_mut(&index)?;
        if client.answers.front()?.0 > now {
            return None;
        }
        client.answers.pop_front().map(|(_, answer)| answer)
    }

    /// Hands an answer to the node's part of the directory; true if it is its first list.
    pub fn take(
        &mut self,
        index: usize,
        answer: &Answer,
        now: Moment,
        rng: &mut rand_chacha::ChaCha8Rng,
    ) -> bool {
        let Some(client) = self.clients.get_mut(&index) else {
            return false;
        };
        match answer {
            Answer::Directory(zones) => {
                let snapshot = zones.get(&client.zone);
                client.directory.on_read(snapshot, [], now, rng);
                return !std::mem::replace(&mut client.listed, true);
            }
            Answer::Written(snapshot) => client.directory.on_written(snapshot.clone(), now),
            Answer::Conflict(current) => client.directory.on_conflict(current.as_ref(), now),
            Answer::Refused if client.listed => client.directory.on_write_unknown(),
            Answer::Refused => self.read(index, false, now),
            Answer::Document => {}
        }
        false
    }
}
