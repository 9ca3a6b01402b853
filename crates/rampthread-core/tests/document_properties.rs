//! Document mode: deltas between versions, selection of the nodes that watch the store, and
//! distribution of new versions to the others.

mod mesh;

use mesh::{Mesh, document, endpoint_record, route, service, wants_document};
use proptest::prelude::*;
use rampthread_core::config::{ConfigState, MAX_CONTENT_BYTES, Resource, StateDelta};
use rampthread_core::fleet::{Action, BackendReport, Envelope, Message};
use rampthread_core::ids::{NodeId, Version};
use rampthread_core::time::Moment;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Size of a document with 3,000 routes, uncompressed.
const DOCUMENT_BYTES: u64 = 1_100_000;

/// A document with one route for each of the given numbers.
fn with_routes(version: u64, routes: impl IntoIterator<Item = u32>) -> ConfigState {
    let mut resources: Vec<Resource> = vec![service("shop")];
    resources.extend(
        routes
            .into_iter()
            .map(|number| route(&format!("r{number}"), "host", &format!("/{number}/"))),
    );
    ConfigState::from_document(Version(version), resources, None).unwrap()
}

/// Content of all resources of `state`, without generations.
fn resource_contents(state: &ConfigState) -> Vec<Resource> {
    let all = state.resources();
    all.map(|stored| (*stored.resource).clone()).collect()
}

proptest! {
    /// A delta applied to its base gives the later state; it does not apply to another
    /// version.
    #[test]
    fn a_delta_applied_to_its_base_gives_the_later_state(
        before in prop::collection::btree_set(0_u32..30, 0..20),
        after in prop::collection::btree_set(0_u32..30, 0..20),
    ) {
        let base = with_routes(3, before.iter().copied());
        let later = with_routes(9, after.iter().copied());
        let delta = StateDelta::between(&base, &later);
        let read = StateDelta::decode(&delta.encode()).unwrap();
        prop_assert_eq!(&read, &delta);
        let made = read.apply_to(&base).unwrap();
        prop_assert_eq!(made.version(), later.version());
        prop_assert_eq!(resource_contents(&made), resource_contents(&later));
        let other = with_routes(4, before.iter().copied());
        prop_assert!(read.apply_to(&other).is_err());
    }

    /// Arbitrary bytes received as a delta cause no panic.
    #[test]
    fn arbitrary_bytes_as_a_delta_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let base = document(1);
        if let Ok(delta) = StateDelta::decode(&bytes) {
            let _ = delta.apply_to(&base);
        }
    }

    /// A state that shares the memory of unchanged resources with an older state has the same
    /// version and resources as before.
    #[test]
    fn sharing_unchanged_resources_keeps_the_state(
        before in prop::collection::btree_set(0_u32..30, 0..20),
        after in prop::collection::btree_set(0_u32..30, 0..20),
    ) {
        let older = with_routes(3, before);
        let newer = with_routes(9, after);
        let shared = newer.clone().share_unchanged_resources(&older);
        prop_assert_eq!(shared.version(), newer.version());
        prop_assert_eq!(resource_contents(&shared), resource_contents(&newer));
    }
}

/// A store with one document, and a fleet of agents in memory.
struct Store {
    mesh: Mesh,
    document: Arc<ConfigState>,
    /// Agents whose requests the store rejects.
    rejected: BTreeSet<usize>,
    /// Number of document reads that the store has answered.
    reads: usize,
}

impl Store {
    /// Starts `count` agents, lets each read the document, and waits until they know each
    /// other.
    fn new(count: usize) -> Self {
        let mut store = Self {
            mesh: Mesh::new(count),
            document: Arc::new(with_routes(1, 0..10)),
            rejected: BTreeSet::new(),
            reads: 0,
        };
        for index in 0..count {
            store.read(index);
        }
        store.run(Duration::from_secs(3));
        store
    }

    /// Agent `index` reads the store.
    fn read(&mut self, index: usize) {
        let now = self.mesh.now;
        let answers = !self.rejected.contains(&index);
        let mut actions = self.mesh.agents[index].record_store_reachability(answers, now);
        if answers {
            self.reads += 1;
            let document = self.document.clone();
            actions.extend(self.mesh.agents[index].on_document(document, now));
        }
        self.deliver(actions);
    }

    /// Delivers messages between the agents, and reads the store for those that ask for the
    /// document.
    fn deliver(&mut self, actions: Vec<Action>) {
        let readers = self.mesh.deliver(actions);
        for index in readers {
            self.read(index);
        }
    }

    /// Advances time in steps; watchers read a changed document at once.
    fn run(&mut self, time: Duration) {
        let end = self.mesh.now + time;
        while self.mesh.now < end {
            self.mesh.now = self.mesh.now + Duration::from_millis(100);
            for index in 0..self.mesh.agents.len() {
                let now = self.mesh.now;
                let actions = self.mesh.agents[index].tick(now);
                if wants_document(&actions) {
                    self.read(index);
                }
                self.deliver(actions);
                let agent = &self.mesh.agents[index];
                let behind = agent.active().version() < self.document.version();
                if behind && agent.is_document_watcher() {
                    self.read(index);
                }
            }
        }
    }

    /// Replaces the document in the store and resets the count of reads.
    fn replace_document(&mut self, document: ConfigState) {
        self.document = Arc::new(document);
        self.reads = 0;
    }

    /// Indices of the agents whose active version is not that of the store.
    fn lagging_agents(&self) -> Vec<usize> {
        let newest = self.document.version();
        let agents = self.mesh.agents.iter().enumerate();
        agents
            .filter(|(_, agent)| agent.active().version() != newest)
            .map(|(index, _)| index)
            .collect()
    }
}

#[test]
fn a_small_change_reaches_all_nodes_with_few_store_reads() {
    let mut store = Store::new(40);
    for version in 2..8 {
        store.replace_document(with_routes(version, 0..10 + version as u32));
        store.run(Duration::from_millis(1_500));
        assert_eq!(
            store.lagging_agents(),
            Vec::<usize>::new(),
            "version {version}"
        );
        assert!(store.reads <= 8, "{} reads", store.reads);
        let agents = &store.mesh.agents;
        assert!(
            agents.iter().all(
                |agent| resource_contents(agent.active()) == resource_contents(&store.document)
            )
        );
    }
}

#[test]
fn every_node_knows_the_propagation_of_a_version_without_reports() {
    let mut store = Store::new(20);
    store.replace_document(with_routes(2, 0..11));
    // Every node probes every other one within two rounds of 19 probes.
    store.run(Duration::from_secs(40));
    assert_eq!(store.mesh.sent("held"), 0, "nodes sent held reports");
    for index in 0..20 {
        let now = store.mesh.now;
        let actions = store.mesh.agents[index].query_propagation(1, now);
        let spread = actions.iter().find_map(|action| match action {
            Action::AnswerPropagation { status, .. } => status.clone(),
            _ => None,
        });
        let spread = spread.expect("an immediate reply");
        assert_eq!((spread.version, spread.nodes), (Version(2), 20));
        assert_eq!(spread.held_by, 20);
    }
}

#[test]
fn a_backend_report_reaches_every_node_of_a_large_fleet() {
    let mut store = Store::new(80);
    let now = store.mesh.now;
    let report = BackendReport::Heartbeat(endpoint_record("i-1", 1, false));
    let actions = store.mesh.agents[3].on_backend_report(report, now).actions;
    store.deliver(actions);
    store.run(Duration::from_secs(3));
    let known = (0..80).filter(|at| store.mesh.known_backend(*at, 3).is_some());
    assert_eq!(known.count(), 80);
}

#[test]
fn a_large_change_reaches_all_nodes_with_few_store_reads() {
    let mut store = Store::new(40);
    store.replace_document(with_routes(2, 0..3_000));
    store.run(Duration::from_millis(1_500));
    assert_eq!(store.lagging_agents(), Vec::<usize>::new());
    assert!(store.reads <= 8, "{} reads", store.reads);
}

/// Peers keep no deltas for a version that is twenty versions old, so the node must get a
/// full snapshot from a peer instead of reading the store.
#[test]
fn a_node_far_behind_gets_a_snapshot_from_a_peer() {
    let mut store = Store::new(20);
    let frozen = (0..20).find(|index| !store.mesh.agents[*index].is_document_watcher());
    let frozen = frozen.expect("not all nodes are watchers");
    let mut lagging_agent = store.mesh.agents.remove(frozen);
    store
        .mesh
        .agents
        .insert(frozen, mesh::agent(&format!("node-{frozen}"), 999_999));
    for version in 2..22 {
        store.replace_document(with_routes(version, 0..10 + version as u32));
        store.run(Duration::from_millis(300));
    }
    std::mem::swap(&mut store.mesh.agents[frozen], &mut lagging_agent);
    store.reads = 0;
    store.run(Duration::from_secs(3));
    assert_eq!(store.lagging_agents(), Vec::<usize>::new());
    assert_eq!(store.reads, 0);
}

/// A node with a slow link must not watch the document, and must give its peers as long as
/// its own read would take.
#[test]
fn a_node_with_a_slow_link_does_not_watch_the_document() {
    let mut store = Store::new(30);
    let slow: BTreeSet<usize> = (0..30).filter(|index| index % 3 != 0).collect();
    for index in &slow {
        store.mesh.agents[*index]
            .record_document_transfer(DOCUMENT_BYTES, Duration::from_millis(1_800));
        store.read(*index);
    }
    store.run(Duration::from_secs(2));
    let agents = store.mesh.agents.iter().enumerate();
    let watching: Vec<usize> = agents
        .filter(|(_, agent)| agent.is_document_watcher())
        .map(|(index, _)| index)
        .collect();
    assert_eq!(watching.len(), 8);
    assert!(
        watching.iter().all(|index| !slow.contains(index)),
        "{watching:?}"
    );
    store.replace_document(with_routes(2, 0..3_000));
    store.run(Duration::from_millis(1_500));
    assert_eq!(store.lagging_agents(), Vec::<usize>::new());
    assert!(store.reads <= 8, "{} reads", store.reads);
}

/// A single slow read must not cost a node with a fast link its watcher role.
#[test]
fn a_saturated_link_does_not_end_the_watcher_role() {
    let mut store = Store::new(30);
    let watching = |store: &Store| -> Vec<usize> {
        let agents = store.mesh.agents.iter().enumerate();
        agents
            .filter(|(_, agent)| agent.is_document_watcher())
            .map(|(index, _)| index)
            .collect()
    };
    for index in 0..30 {
        let fast = Duration::from_millis(80);
        store.mesh.agents[index].record_document_transfer(DOCUMENT_BYTES, fast);
    }
    let before = watching(&store);
    for index in &before {
        let slow = Duration::from_secs(3);
        store.mesh.agents[*index].record_document_transfer(DOCUMENT_BYTES, slow);
        store.read(*index);
    }
    store.run(Duration::from_secs(2));
    assert_eq!(watching(&store), before);
}

/// Snapshots and deltas are sent compressed, and uncompressed snapshots of older nodes are
/// accepted.
#[test]
fn versions_are_sent_compressed() {
    let base = with_routes(1, 0..10);
    let later = with_routes(2, 0..3_000);
    let full_size = later.encode_snapshot().len();
    let compressed = later.encode_compressed_snapshot();
    assert!(
        compressed.len() * 10 < full_size,
        "{} of {full_size} bytes",
        compressed.len()
    );
    assert!(StateDelta::between(&base, &later).encode().len() * 10 < full_size);
    let restored = ConfigState::decode_snapshot(&compressed).unwrap();
    assert_eq!(resource_contents(&restored), resource_contents(&later));
    // Uncompressed, as sent by older nodes.
    let uncompressed = ConfigState::decode_snapshot(&later.encode_snapshot()).unwrap();
    assert_eq!(resource_contents(&uncompressed), resource_contents(&later));
}

/// A small compressed message that expands beyond the limit is rejected.
#[test]
fn content_beyond_the_size_limit_is_rejected() {
    let zeros = vec![b' '; MAX_CONTENT_BYTES + 1];
    let oversized = zstd::bulk::compress(&zeros, 3).unwrap();
    assert!(oversized.len() < 10_000);
    assert!(StateDelta::decode(&oversized).is_err());
    assert!(ConfigState::decode_snapshot(&oversized).is_err());
}

proptest! {
    /// A corrupted snapshot or delta is rejected, and the active version stays.
    #[test]
    fn a_corrupted_version_is_not_activated(at in any::<prop::sample::Index>(), bit in 0_u8..8) {
        let base = with_routes(1, 0..10);
        let later = with_routes(2, 5..40);
        let mut compressed = later.encode_compressed_snapshot();
        let at = at.index(compressed.len());
        compressed[at] ^= 1 << bit;
        if let Ok(restored) = ConfigState::decode_snapshot(&compressed) {
            prop_assert_eq!(resource_contents(&restored), resource_contents(&later));
        }
        let mut agent = mesh::agent("node-0", 1_000_000);
        agent.on_document(Arc::new(base.clone()), Moment(2));
        let from = NodeId::new("node-1").unwrap();
        let mut delta = StateDelta::between(&base, &later).encode();
        let at = at % delta.len();
        delta[at] ^= 1 << bit;
        let message = Message::PullEntries { first: Version(2), entries: vec![delta.into()] };
        agent.on_message(Envelope { from, process_epoch: 1, message }, Moment(3));
        let held = agent.active().version();
        prop_assert!(held == Version(1) || held == Version(2));
    }
}

#[test]
fn nodes_rejected_by_the_store_get_a_large_change_from_peers() {
    let mut store = Store::new(12);
    store.rejected = (0..12).filter(|index| index % 3 != 0).collect();
    store.replace_document(with_routes(2, 0..500));
    store.run(Duration::from_secs(4));
    assert_eq!(store.lagging_agents(), Vec::<usize>::new());
}

#[test]
fn watchers_rejected_by_the_store_are_replaced() {
    let mut store = Store::new(30);
    let watching = |store: &Store| -> BTreeSet<usize> {
        let agents = store.mesh.agents.iter().enumerate();
        agents
            .filter(|(_, agent)| agent.is_document_watcher())
            .map(|(index, _)| index)
            .collect()
    };
    let before = watching(&store);
    assert!((6..=10).contains(&before.len()), "{before:?}");
    store.rejected = before.clone();
    for index in &before {
        store.read(*index);
    }
    store.run(Duration::from_secs(2));
    let after = watching(&store);
    assert!(after.is_disjoint(&before), "{after:?}");
    store.replace_document(with_routes(2, 0..11));
    store.run(Duration::from_millis(1_500));
    assert_eq!(store.lagging_agents(), Vec::<usize>::new());
}

/// The machine list does not say whom the store answers. A node that knows its peers only
/// from the list would always select itself as a watcher.
#[test]
fn a_node_that_knows_peers_only_from_the_machine_list_cannot_select_watchers() {
    let mut mesh = Mesh::new(12);
    for index in 0..12 {
        let now = mesh.now;
        let actions = mesh.agents[index].record_store_reachability(true, now);
        mesh.deliver(actions);
        assert!(!mesh.agents[index].watcher_selection_known());
    }
    mesh.run(Duration::from_secs(2));
    let watchers = mesh
        .agents
        .iter()
        .filter(|agent| agent.is_document_watcher());
    assert_eq!(watchers.count(), 8);
    assert!(
        mesh.agents
            .iter()
            .all(|agent| agent.watcher_selection_known())
    );
}
