//! Agents of several zones in memory. The network between them counts bytes,
//! loses or cuts what a test asks for, and carries it at the rate of each link.

#![allow(dead_code)]

pub mod bounds;
pub mod directory;
mod links;
pub mod rollouts;
mod store;

use directory::{Answer, Due, StoreDirectory};
use links::Links;
use rampthread_core::call::identity::RequestIdentity;
use rampthread_core::config::{
    ConfigState, Destination, PathMatch, Repeatability, Resource, Route, Service,
};
use rampthread_core::fleet::{
    Action, Agent, AgentIdentity, BackendReport, CrashReport, EndpointRecord, Envelope,
    FleetSettings, LoadReport, Machine, Status, ZoneDirectory,
};
use rampthread_core::ids::{
    InstanceId, NodeId, Region, ResourceName, SoftwareVersion, Version, Zone,
};
use rampthread_core::rollout::table::OrderSource;
use rampthread_core::rollout::{RolloutBounds, RolloutOrder, VersionEvidence};
use rampthread_core::time::Moment;
use rampthread_wire::encode;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rollouts::RolloutRecords;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use store::{Ended, StoreCalls};

/// Time between two steps of the network; an agent ticks at every tenth.
const STEP: Duration = Duration::from_millis(10);
const STEPS_PER_TICK: usize = 10;
/// Heads of IP and UDP.
const PACKET_HEAD_BYTES: u64 = 28;
/// Nodes that start together do so within this time.
const START_SPREAD_MS: u64 = 300;
const LIFE: u64 = 1_700_000_000_000_000;

/// Bytes and messages of one kind.
#[derive(Debug, Clone, Copy, Default)]
pub struct Carried {
    pub messages: u64,
    pub bytes: u64,
}

/// What crossed zones and what stayed inside, by kind of message.
#[derive(Debug, Clone, Default)]
pub struct Traffic {
    pub across: BTreeMap<&'static str, Carried>,
    pub inside: BTreeMap<&'static str, Carried>,
}

impl Traffic {
    pub fn bytes_across(&self) -> u64 {
        self.across.values().map(|kind| kind.bytes).sum()
    }

    pub fn bytes(&self) -> u64 {
        let inside = self.inside.values().map(|kind| kind.bytes);
        self.bytes_across() + inside.sum::<u64>()
    }

    pub fn messages(&self) -> u64 {
        let all = self.across.values().chain(self.inside.values());
        all.map(|kind| kind.messages).sum()
    }
}

pub struct Fleet {
    agents: Vec<Option<Agent>>,
    lives: Vec<u64>,
    zones: usize,
    pub now: Moment,
    step: usize,
    pub traffic: Traffic,
    /// Messages of 100 that are lost.
    pub loss_percent: u32,
    /// Zones that reach no other and are reached by none.
    pub cut_zones: BTreeSet<usize>,
    /// Nodes whose process does not run for now.
    pub frozen: BTreeSet<usize>,
    /// Nodes that die the moment they hear something, before they can pass it on.
    pub dying: BTreeSet<usize>,
    /// Nodes that the store refuses.
    pub refused: BTreeSet<usize>,
    pub document: Arc<ConfigState>,
    /// Bytes of the document as the store sends it.
    document_bytes: u64,
    /// Rates of the links; messages arrive at once where there is none.
    links: Links,
    /// Documents that nodes read from the store.
    pub reads: u64,
    /// Calls to the store that are open, and their count.
    pub store: StoreCalls,
    /// The directory in the store, for nodes that start from it.
    pub directory: StoreDirectory,
    /// Bounds of roll-outs; none: orders are not carried out.
    pub roll_out_bounds: Option<RolloutBounds>,
    /// What the store keeps of roll-outs.
    pub roll_outs: RolloutRecords,
    /// Versions of the software of back ends, by node.
    pub versions: BTreeMap<usize, SoftwareVersion>,
    /// Orders that stand in the store.
    pub orders: Vec<RolloutOrder>,
    rng: ChaCha8Rng,
}

impl Fleet {
    /// Nobody runs yet.
    pub fn new(size: usize, zones: usize, seed: u64) -> Self {
        Self {
            agents: (0..size).map(|_| None).collect(),
            lives: vec![LIFE; size],
            zones,
            now: Moment(1),
            step: 0,
            traffic: Traffic::default(),
            loss_percent: 0,
            cut_zones: BTreeSet::new(),
            frozen: BTreeSet::new(),
            dying: BTreeSet::new(),
            refused: BTreeSet::new(),
            document: Arc::new(document(1, 0)),
            document_bytes: 0,
            links: Links::new(size),
            reads: 0,
            store: StoreCalls::new(size),
            directory: StoreDirectory::default(),
            roll_out_bounds: None,
            roll_outs: RolloutRecords::default(),
            versions: BTreeMap::new(),
            orders: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// A fleet that has started and come to rest.
    pub fn settled(size: usize, zones: usize, seed: u64) -> Self {
        let mut fleet = Self::new(size, zones, seed);
        fleet.start_all();
        fleet.run(Duration::from_secs(8));
        fleet.traffic = Traffic::default();
        fleet
    }

    pub fn size(&self) -> usize {
        self.agents.len()
    }

    pub fn zone_of(&self, index: usize) -> usize {
        index % self.zones
    }

    pub fn zone_name(&self, index: usize) -> Zone {
        Zone::new(&format!("zone-{}", self.zone_of(index))).unwrap()
    }

    pub fn id(&self, index: usize) -> NodeId {
        NodeId::new(&format!("sidecar-{}-{index}", self.zone_name(index))).unwrap()
    }

    fn index(&self, id: &NodeId) -> usize {
        id.as_str().rsplit('-').next().unwrap().parse().unwrap()
    }

    pub fn machine(&self, index: usize) -> Machine {
        Machine {
            id: self.id(index),
            address: address(index),
            zone: self.zone_name(index),
            region: Region::new("region").unwrap(),
            leaving: false,
            endpoint: None,
        }
    }

    fn machines(&self) -> Vec<Machine> {
        (0..self.size()).map(|index| self.machine(index)).collect()
    }

    /// All nodes start within 0.3 s, find the whole directory, and their back
    /// ends report within 1.5 s.
    pub fn start_all(&mut self) {
        let mut starts: Vec<(u64, usize)> = (0..self.size())
            .map(|index| (self.rng.random_range(0..START_SPREAD_MS), index))
            .collect();
        starts.sort_unstable();
        let begun = self.now;
        for (at, index) in starts {
            while self.now.since(begun) < Duration::from_millis(at) {
                self.advance();
            }
            self.start(index);
        }
        let mut reports: Vec<(u64, usize)> = (0..self.size())
            .map(|index| (self.rng.random_range(0..1_500), index))
            .collect();
        reports.sort_unstable();
        let begun = self.now;
        for (at, index) in reports {
            while self.now.since(begun) < Duration::from_millis(at) {
                self.advance();
            }
            self.report(index, "first", 1, false);
        }
    }

    /// A new process of `index`, which reads the directory and the document.
    pub fn start(&mut self, index: usize) {
        self.begin_life(index);
        let machines = self.machines();
        let now = self.now;
        let actions = self.agent_mut(index).set_machines(&machines, now);
        self.deliver(index, actions);
        self.read_document(index);
    }

    /// A new process of `index`, which finds out from the store who there is, over the
    /// store's link, and gets the document from peers or there.
    pub fn start_from_store(&mut self, index: usize) {
        self.begin_life(index);
        let zone = self.zone_name(index);
        self.directory.start(index, zone, self.now);
    }

    /// All nodes do so within 0.3 s, and their back ends report within `reports_within`.
    pub fn start_all_from_store(&mut self, instance: &str, reports_within: Duration) {
        let spread = START_SPREAD_MS + reports_within.as_millis() as u64;
        let mut events: Vec<(u64, bool, usize)> = Vec::new();
        for index in 0..self.size() {
            let at = self.rng.random_range(0..START_SPREAD_MS);
            events.push((at, false, index));
            events.push((self.rng.random_range(at + 1..spread + 1), true, index));
        }
        events.sort_unstable();
        let begun = self.now;
        for (at, reports, index) in events {
            while self.now.since(begun) < Duration::from_millis(at) {
                self.advance();
            }
            match reports {
                false => self.start_from_store(index),
                true => self.report(index, instance, 1, false),
            }
        }
    }

    fn begin_life(&mut self, index: usize) {
        self.lives[index] += 7_000_000;
        let identity = AgentIdentity {
            id: self.id(index),
            address: address(index),
            zone: self.zone_name(index),
            region: Region::new("region").unwrap(),
            process_epoch: self.lives[index],
        };
        let settings = FleetSettings {
            roll_outs: self.roll_out_bounds,
            ..FleetSettings::for_documents()
        };
        let seed = self.rng.random();
        let agent = Agent::new(identity, settings, &[], seed, self.now);
        self.agents[index] = Some(agent);
        self.store.drop_call(index);
    }

    /// The process of `index` is gone, without a word.
    pub fn kill(&mut self, index: usize) {
        self.agents[index] = None;
        self.directory.end(index);
    }

    /// The process of `index` says that it leaves, and ends.
    pub fn leave(&mut self, index: usize) {
        let actions = self.agent_mut(index).leave();
        self.deliver(index, actions);
        self.kill(index);
    }

    pub fn agent(&self, index: usize) -> &Agent {
        self.agents[index].as_ref().expect("it runs")
    }

    fn agent_mut(&mut self, index: usize) -> &mut Agent {
        self.agents[index].as_mut().expect("it runs")
    }

    pub fn running(&self) -> Vec<usize> {
        let runs = |index: &usize| self.agents[*index].is_some();
        (0..self.size()).filter(runs).collect()
    }

    /// The back end beside `index` reports.
    pub fn report(&mut self, index: usize, instance: &str, sequence: u64, draining: bool) {
        let record = EndpointRecord {
            instance: InstanceId::new(&format!("i-{instance}-{index}")).unwrap(),
            service: service_name(),
            address: address(index),
            slots: 8,
            draining,
            sequence,
            cold_ms: 0,
            version: self.versions.get(&index).cloned(),
            speed_percent: None,
        };
        let now = self.now;
        let report = BackendReport::Heartbeat(record);
        let actions = self.agent_mut(index).on_backend_report(report, now).actions;
        self.deliver(index, actions);
    }

    /// The operator writes an order; who watches the document gets it.
    pub fn write_order(&mut self, order: RolloutOrder) {
        self.orders.push(order.clone());
        for index in self.watchers() {
            if !self.frozen.contains(&index) && !self.refused.contains(&index) {
                self.tell_orders(index, std::slice::from_ref(&order), OrderSource::NewWrite);
            }
        }
    }

    fn tell_orders(&mut self, index: usize, orders: &[RolloutOrder], source: OrderSource) {
        let now = self.now;
        let actions = self.agent_mut(index).on_rollout_orders(orders, source, now);
        self.deliver(index, actions);
    }

    /// Callers of the node `index` got this from versions.
    pub fn record_version_evidence(&mut self, index: usize, evidence: Vec<VersionEvidence>) {
        self.agent_mut(index).record_version_evidence(evidence);
    }

    /// The node `index` has this to tell of its load.
    pub fn record_load(&mut self, index: usize, report: LoadReport) {
        let now = self.now;
        self.agent_mut(index).record_load(report, now);
    }

    /// The node `index` has seen back ends crash.
    pub fn report_crashes(&mut self, index: usize, reports: &[CrashReport]) {
        let now = self.now;
        let actions = self.agent_mut(index).report_crashes(reports, now);
        self.deliver(index, actions);
    }

    /// A back end has answered the request at `index`.
    pub fn clear_request(&mut self, index: usize, identity: &RequestIdentity) {
        let now = self.now;
        let agent = self.agent_mut(index);
        let actions = agent.clear_request(identity, now, "answered", now);
        self.deliver(index, actions);
    }

    /// Sets the rate of each node's link, in bytes a second, both ways.
    pub fn set_link_rates(&mut self, rate: impl Fn(usize) -> u64) {
        self.links.set_rates(rate);
    }

    /// The operator writes a new version; who watches the document gets it.
    pub fn write_document(&mut self, version: u64) {
        self.write_routes(version, 0);
    }

    /// The same with so many routes.
    pub fn write_routes(&mut self, version: u64, routes: u32) {
        self.document = Arc::new(document(version, routes));
        // The store sends it in base64.
        self.document_bytes = self.document.encode_snapshot().len() as u64 * 4 / 3;
        self.store.wake(self.now);
        for index in self.running() {
            let hears = self.links.is_limited(index) || self.refused.contains(&index);
            if hears && self.agent(index).is_document_watcher() && !self.frozen.contains(&index) {
                self.read_document(index);
            }
        }
        self.tend_store();
    }

    /// The store says nothing to these nodes from now on, and serves all others.
    pub fn silence(&mut self, nodes: BTreeSet<usize>) {
        self.store.silence(nodes);
    }

    /// Nodes that watch the document.
    pub fn watchers(&self) -> BTreeSet<usize> {
        let running = self.running().into_iter();
        running
            .filter(|index| self.agent(*index).is_document_watcher())
            .collect()
    }

    /// Ends calls that are answered or given up, and begins the watches that are due.
    fn tend_store(&mut self) {
        for index in self.running() {
            if self.frozen.contains(&index) || self.links.is_limited(index) {
                continue;
            }
            let now = self.now;
            match self.store.ended(index, now) {
                Some(Ended::Answered { took }) => self.on_store_answer(index, took),
                Some(Ended::Silent) => {
                    let actions = self.agent_mut(index).record_store_reachability(false, now);
                    self.deliver(index, actions);
                }
                None => {}
            }
            self.begin_watch(index);
        }
    }

    fn begin_watch(&mut self, index: usize) {
        if !self.agent(index).is_document_watcher() {
            self.store.drop_call(index);
            return;
        }
        if self.refused.contains(&index) || !self.store.may_call(index, self.now) {
            return;
        }
        let behind = self.agent(index).active().version() < self.document.version();
        let wait = match behind {
            true => Duration::ZERO,
            false => self.agent_mut(index).next_watch_wait(),
        };
        let patience = self.agent(index).store_call_timeout();
        self.store.begin(index, wait, patience, self.now);
    }

    fn on_store_answer(&mut self, index: usize, took: Duration) {
        let now = self.now;
        let agent = self.agent_mut(index);
        agent.record_store_latency(took);
        let mut actions = agent.record_store_reachability(true, now);
        if self.agent(index).active().version() < self.document.version() {
            self.reads += 1;
            let document = self.document.clone();
            actions.extend(self.agent_mut(index).on_document(document, now));
        }
        self.deliver(index, actions);
    }

    /// Hands over what the store has answered about the directory, and begins what is due.
    fn tend_directory(&mut self) {
        for index in self.running() {
            if self.frozen.contains(&index) || !self.directory.is_used_by(index) {
                continue;
            }
            let now = self.now;
            while let Some(answer) = self.directory.arrived(index, now) {
                self.take_directory(index, &answer);
            }
            match self.directory.due(index, now) {
                Some(Due::ReadDocument) if self.agent(index).lacks_current_document() => {
                    self.directory.read_document(index, now);
                }
                None | Some(Due::ReadDocument) => {}
                Some(Due::Step) => {
                    let agent = self.agents[index].as_ref().expect("it runs");
                    let decide = |directory: &mut ZoneDirectory| {
                        directory.next_step(now, agent.membership())
                    };
                    self.directory.step(index, now, decide);
                }
            }
        }
    }

    fn take_directory(&mut self, index: usize, answer: &Answer) {
        let now = self.now;
        let actions = match answer {
            Answer::Directory(zones) => {
                let members = zones.values().flat_map(|zone| zone.members.values());
                let machines: Vec<Machine> = members.cloned().collect();
                self.agent_mut(index).set_machines(&machines, now)
            }
            Answer::Conflict(Some(snapshot)) => {
                let machines: Vec<Machine> = snapshot.members.values().cloned().collect();
                self.agent_mut(index).add_machines(&machines, now)
            }
            Answer::Document => {
                self.reads += 1;
                let document = self.document.clone();
                self.agent_mut(index).on_document(document, now)
            }
            _ => Vec::new(),
        };
        self.deliver(index, actions);
        if self.directory.take(index, answer, now, &mut self.rng) {
            self.take_first_list(index, answer);
        }
    }

    /// The node takes up its record, and reads the document when its turn has come.
    fn take_first_list(&mut self, index: usize, answer: &Answer) {
        let now = self.now;
        let wait = self.agent(index).initial_read_delay();
        self.directory.read_document_at(index, now + wait);
        let Answer::Directory(zones) = answer else {
            return;
        };
        let mine = zones.get(&self.zone_name(index));
        let mine = mine.and_then(|zone| zone.members.get(&self.id(index)));
        if let Some(endpoint) = mine.and_then(|machine| machine.endpoint.clone()) {
            let actions = self.agent_mut(index).restore_backend(endpoint, now);
            self.deliver(index, actions);
        }
    }

    fn read_document(&mut self, index: usize) {
        if self.directory.is_used_by(index) {
            self.directory.read_document(index, self.now);
            return;
        }
        let now = self.now;
        let answers = !self.refused.contains(&index);
        let waits = self.store.is_silent(index) || !self.store.delay.is_zero();
        if answers && waits && !self.links.is_limited(index) {
            let patience = self.agent(index).store_call_timeout();
            self.store.begin(index, Duration::ZERO, patience, now);
            return;
        }
        self.store.made += 1;
        let mut actions = self
            .agent_mut(index)
            .record_store_reachability(answers, now);
        if answers && self.links.is_limited(index) {
            self.links.begin_read(index, self.document_bytes, now);
        } else if answers {
            self.reads += 1;
            let document = self.document.clone();
            actions.extend(self.agent_mut(index).on_document(document, now));
        }
        self.deliver(index, actions);
        if answers && !self.orders.is_empty() {
            let orders = self.orders.clone();
            self.tell_orders(index, &orders, OrderSource::Existing);
        }
    }

    /// Ends reads whose bytes have arrived, and those that peers made needless.
    fn tend_reads(&mut self) {
        for index in self.running() {
            let agent = self.agent(index);
            if !agent.is_document_watcher() && !agent.lacks_current_document() {
                self.links.stop_read(index, self.now);
            }
            let Some(took) = self.links.ended_read(index, self.now) else {
                continue;
            };
            self.reads += 1;
            let (now, document) = (self.now, self.document.clone());
            let document_bytes = self.document_bytes;
            let agent = self.agent_mut(index);
            agent.record_document_transfer(document_bytes, took);
            let mut actions = agent.record_store_reachability(true, now);
            actions.extend(agent.on_document(document, now));
            self.deliver(index, actions);
        }
    }

    /// Hands over messages that have come through their links.
    fn arrive(&mut self) {
        while let Some((to, envelope)) = self.links.next_arrived(self.now) {
            if self.agents[to].is_some() && !self.frozen.contains(&to) {
                let now = self.now;
                let actions = self.agent_mut(to).on_message(envelope, now);
                self.deliver(to, actions);
            }
        }
    }

    /// The store turns `index` away from now on.
    pub fn refuse(&mut self, index: usize) {
        self.refused.insert(index);
        let now = self.now;
        let actions = self.agent_mut(index).record_store_reachability(false, now);
        self.deliver(index, actions);
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.advance();
        }
    }

    /// Runs until `holds`; how long that took, or none after `limit`.
    pub fn run_until(
        &mut self,
        limit: Duration,
        holds: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let begun = self.now;
        while self.now.since(begun) < limit {
            if holds(self) {
                return Some(self.now.since(begun));
            }
            self.run(STEP * 5);
        }
        None
    }

    fn advance(&mut self) {
        self.now = self.now + STEP;
        self.step += 1;
        self.arrive();
        self.tend_reads();
        self.tend_store();
        self.tend_directory();
        let phase = self.step % STEPS_PER_TICK;
        for index in self.running() {
            // Ticks of the nodes are spread over time, across zones.
            if (index / self.zones) % STEPS_PER_TICK == phase && !self.frozen.contains(&index) {
                let now = self.now;
                let actions = self.agent_mut(index).tick(now);
                self.deliver(index, actions);
            }
        }
    }

    fn deliver(&mut self, from: usize, actions: Vec<Action>) {
        let mut queue: VecDeque<(usize, Action)> =
            actions.into_iter().map(|action| (from, action)).collect();
        while let Some((from, action)) = queue.pop_front() {
            let more = match action {
                Action::Send { to, envelope, .. } => self.carry(from, &to, envelope),
                Action::AskDeciderStore(call) => {
                    let lost = self.rng.random_range(0..100) < self.roll_outs.lost_percent;
                    let now = self.now;
                    let answer = self.roll_outs.call(from, &call, lost, now);
                    let actions = self.agent_mut(from).on_decider_response(answer, now);
                    queue.extend(actions.into_iter().map(|action| (from, action)));
                    continue;
                }
                Action::ReadDocument => {
                    self.read_document(from);
                    continue;
                }
                _ => continue,
            };
            queue.extend(more);
        }
    }

    /// Takes one message to its receiver; returns what that one does.
    fn carry(&mut self, from: usize, to: &NodeId, envelope: Envelope) -> Vec<(usize, Action)> {
        let to = self.index(to);
        self.count(from, to, &envelope);
        let lost = self.rng.random_range(0..100) < self.loss_percent;
        let (from_zone, to_zone) = (self.zone_of(from), self.zone_of(to));
        let cut = from_zone != to_zone
            && (self.cut_zones.contains(&from_zone) || self.cut_zones.contains(&to_zone));
        if lost || cut || self.frozen.contains(&to) || self.agents[to].is_none() {
            return Vec::new();
        }
        if self.dying.contains(&to) {
            self.kill(to);
            return Vec::new();
        }
        let now = self.now;
        if self.links.is_limited(from) || self.links.is_limited(to) {
            let bytes = encode(&envelope).len() as u64 + PACKET_HEAD_BYTES;
            self.links.send(from, to, bytes, envelope, now);
            return Vec::new();
        }
        let actions = self.agent_mut(to).on_message(envelope, now);
        actions.into_iter().map(|action| (to, action)).collect()
    }

    fn count(&mut self, from: usize, to: usize, envelope: &Envelope) {
        let bytes = encode(envelope).len() as u64 + PACKET_HEAD_BYTES;
        let kinds = if self.zone_of(from) == self.zone_of(to) {
            &mut self.traffic.inside
        } else {
            &mut self.traffic.across
        };
        let carried = kinds.entry(envelope.message.kind()).or_default();
        carried.messages += 1;
        carried.bytes += bytes;
    }

    /// What `at` knows of the back end beside `of`.
    pub fn knows(&self, at: usize, of: usize) -> Option<&EndpointRecord> {
        let record = self.agent(at).membership().record(&self.id(of))?;
        record.endpoint.as_ref()
    }

    /// True when every running node knows `instance` beside `of` as told.
    pub fn all_know(&self, of: usize, instance: &str, draining: bool) -> bool {
        let wanted = format!("i-{instance}-{of}");
        self.running().into_iter().all(|at| {
            self.knows(at, of).is_some_and(|endpoint| {
                endpoint.instance.as_str() == wanted && endpoint.draining == draining
            })
        })
    }

    /// True when every running node in `at` holds `of` for one of `statuses`.
    pub fn all_hold(&self, at: &[usize], of: usize, statuses: &[Status]) -> bool {
        at.iter().all(|at| {
            let record = self.agent(*at).membership().record(&self.id(of));
            record.is_some_and(|record| statuses.contains(&record.status))
        })
    }

    /// True when every running node has the version in force.
    pub fn all_have(&self, version: u64) -> bool {
        self.running()
            .into_iter()
            .all(|index| self.agent(index).active().version() >= Version(version))
    }

    /// Nodes that hold exactly the running ones for alive, with a back end each.
    pub fn all_agree(&self) -> bool {
        let running = self.running();
        running.iter().all(|at| {
            let members = self.agent(*at).membership().records();
            let alive = members.filter(|record| record.status == Status::Alive);
            let with_backend = alive.filter(|record| record.endpoint.is_some());
            with_backend.count() == running.len()
        })
    }
}

fn service_name() -> ResourceName {
    ResourceName::new("shop").unwrap()
}

fn route(number: u32) -> Resource {
    let name = ResourceName::new(&format!("route-{number:x}")).unwrap();
    Resource::Route(Route {
        name,
        host: Some(format!("host{}.example", number % 7)),
        path: PathMatch::Prefix(format!("/{:x}/", number.wrapping_mul(2_654_435_761))),
        methods: Vec::new(),
        headers: Vec::new(),
        destinations: vec![Destination {
            service: service_name(),
            weight: 1,
        }],
        timeout_ms: 1_000,
        repeatability: Repeatability::Always,
        secret: None,
        secret_header: "authorization".to_string(),
        max_attempts: 2,
        priority: 1,
        target_latency_ms: Some(100),
        public: false,
    })
}

fn document(version: u64, routes: u32) -> ConfigState {
    let shop = Resource::Service(Service {
        name: service_name(),
        retry_percent: 10,
        slow_start_ms: 0,
        connections: None,
    });
    let mut resources = vec![shop];
    resources.extend((0..routes).map(route));
    ConfigState::from_document(Version(version), resources, None).unwrap()
}

fn address(index: usize) -> SocketAddr {
    let [high, low] = (index as u16).to_be_bytes();
    SocketAddr::from(([127, 1, high, low], 7_620))
}
