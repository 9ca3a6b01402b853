//! The configuration as a document: what changes from one version to the next,
//! who waits at the store, and how the others get a new version.

mod mesh;

use mesh::{Mesh, document, endpoint_record, route, service, wants_document};
use proptest::prelude::*;
use rampthread_core::config::{ConfigState, Resource, StateDelta};
use rampthread_core::fleet::{Action, BackendReport};
use rampthread_core::ids::Version;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// A document with `routes` of the numbers given.
fn with_routes(version: u64, routes: impl IntoIterator<Item = u32>) -> ConfigState {
    let mut resources: Vec<Resource> = vec![service("shop")];
    resources.extend(
        routes
            .into_iter()
            .map(|number| route(&format!("r{number}"), "host", &format!("/{number}/"))),
    );
    ConfigState::from_document(Version(version), resources, None).unwrap()
}

fn resources(state: &ConfigState) -> Vec<Resource> {
    let all = state.resources();
    all.map(|stored| (*stored.resource).clone()).collect()
}

proptest! {
    /// A delta leads from its base to the later state and from no other.
    #[test]
    fn a_delta_leads_to_the_later_state(
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
        prop_assert_eq!(resources(&made), resources(&later));
        let other = with_routes(4, before.iter().copied());
        prop_assert!(read.apply_to(&other).is_err());
    }

    /// Whatever bytes a peer sends as a delta, reading them does not panic.
    #[test]
    fn any_bytes_are_no_delta_or_one(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let base = document(1);
        if let Ok(delta) = StateDelta::decode(&bytes) {
            let _ = delta.apply_to(&base);
        }
    }

    /// Sharing memory with an older state changes nothing that can be seen.
    #[test]
    fn sharing_changes_nothing(
        before in prop::collection::btree_set(0_u32..30, 0..20),
        after in prop::collection::btree_set(0_u32..30, 0..20),
    ) {
        let older = with_routes(3, before);
        let newer = with_routes(9, after);
        let shared = newer.clone().sharing_with(&older);
        prop_assert_eq!(shared.version(), newer.version());
        prop_assert_eq!(resources(&shared), resources(&newer));
    }
}

/// A store with one document, beside a mesh of agents.
struct Store {
    mesh: Mesh,
    document: Arc<ConfigState>,
    /// Agents that the store refuses.
    refused: BTreeSet<usize>,
    /// Times that an agent got the document whole from the store.
    reads: usize,
}

impl Store {
    fn new(count: usize) -> Self {
        let mut store = Self {
            mesh: Mesh::new(count),
            document: Arc::new(with_routes(1, 0..10)),
            refused: BTreeSet::new(),
            reads: 0,
        };
        for index in 0..count {
            store.read(index);
        }
        store.run(Duration::from_secs(3));
        store
    }

    /// Agent `index` asks the store.
    fn read(&mut self, index: usize) {
        let now = self.mesh.now;
        let answers = !self.refused.contains(&index);
        let mut actions = self.mesh.agents[index].store_answers(answers, now);
        if answers {
            self.reads += 1;
            let document = self.document.clone();
            actions.extend(self.mesh.agents[index].on_document(document, now));
        }
        self.deliver(actions);
    }

    fn deliver(&mut self, actions: Vec<Action>) {
        let readers = self.mesh.deliver(actions);
        for index in readers {
            self.read(index);
        }
    }

    /// Lets time pass; those that watch hear of a change at once.
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
                if behind && agent.watches_document() {
                    self.read(index);
                }
            }
        }
    }

    fn change(&mut self, document: ConfigState) {
        self.document = Arc::new(document);
        self.reads = 0;
    }

    fn lagging(&self) -> Vec<usize> {
        let newest = self.document.version();
        let agents = self.mesh.agents.iter().enumerate();
        agents
            .filter(|(_, agent)| agent.active().version() != newest)
            .map(|(index, _)| index)
            .collect()
    }
}

#[test]
fn a_small_change_reaches_all_and_few_read_the_store() {
    let mut store = Store::new(40);
    for version in 2..8 {
        store.change(with_routes(version, 0..10 + version as u32));
        store.run(Duration::from_millis(1_500));
        assert_eq!(store.lagging(), Vec::<usize>::new(), "version {version}");
        assert!(store.reads <= 8, "{} reads", store.reads);
        let agents = &store.mesh.agents;
        assert!(
            agents
                .iter()
                .all(|agent| resources(agent.active()) == resources(&store.document))
        );
    }
}

#[test]
fn every_node_can_tell_how_far_a_version_has_got_without_reports() {
    let mut store = Store::new(20);
    store.change(with_routes(2, 0..11));
    // Every node probes every other one within two rounds of 19 probes.
    store.run(Duration::from_secs(40));
    assert_eq!(store.mesh.sent("held"), 0, "nodes report to each other");
    for index in 0..20 {
        let now = store.mesh.now;
        let actions = store.mesh.agents[index].ask_spread(1, now);
        let spread = actions.iter().find_map(|action| match action {
            Action::AnswerSpread { spread, .. } => spread.clone(),
            _ => None,
        });
        let spread = spread.expect("an answer at once");
        assert_eq!((spread.version, spread.nodes), (Version(2), 20));
        assert_eq!(spread.held_by, 20);
    }
}

#[test]
fn a_report_reaches_every_node_of_a_large_fleet() {
    let mut store = Store::new(80);
    let now = store.mesh.now;
    let report = BackendReport::Heartbeat(endpoint_record("i-1", 1, false));
    let actions = store.mesh.agents[3].on_backend_report(report, now);
    store.deliver(actions);
    store.run(Duration::from_secs(3));
    let known = (0..80).filter(|at| store.mesh.knows(*at, 3).is_some());
    assert_eq!(known.count(), 80);
}

#[test]
fn a_large_change_is_read_from_the_store_by_all() {
    let mut store = Store::new(12);
    store.change(with_routes(2, 0..500));
    store.run(Duration::from_millis(1_500));
    assert_eq!(store.lagging(), Vec::<usize>::new());
    assert!(store.reads <= 14, "{} reads", store.reads);
}

#[test]
fn whom_the_store_refuses_gets_even_a_large_change_from_peers() {
    let mut store = Store::new(12);
    store.refused = (0..12).filter(|index| index % 3 != 0).collect();
    store.change(with_routes(2, 0..500));
    store.run(Duration::from_secs(4));
    assert_eq!(store.lagging(), Vec::<usize>::new());
}

#[test]
fn watchers_that_the_store_refuses_are_replaced() {
    let mut store = Store::new(30);
    let watching = |store: &Store| -> BTreeSet<usize> {
        let agents = store.mesh.agents.iter().enumerate();
        agents
            .filter(|(_, agent)| agent.watches_document())
            .map(|(index, _)| index)
            .collect()
    };
    let before = watching(&store);
    assert!((6..=10).contains(&before.len()), "{before:?}");
    store.refused = before.clone();
    for index in &before {
        store.read(*index);
    }
    store.run(Duration::from_secs(2));
    let after = watching(&store);
    assert!(after.is_disjoint(&before), "{after:?}");
    store.change(with_routes(2, 0..11));
    store.run(Duration::from_millis(1_500));
    assert_eq!(store.lagging(), Vec::<usize>::new());
}

/// A list names machines without saying whom the store answers: each node would
/// take itself for the only one.
#[test]
fn a_node_that_knows_others_from_a_list_cannot_tell_yet_whether_to_watch() {
    let mut mesh = Mesh::new(12);
    for index in 0..12 {
        let now = mesh.now;
        let actions = mesh.agents[index].store_answers(true, now);
        mesh.deliver(actions);
        assert!(!mesh.agents[index].knows_whether_to_watch());
    }
    mesh.run(Duration::from_secs(2));
    let watchers = mesh.agents.iter().filter(|agent| agent.watches_document());
    assert_eq!(watchers.count(), 8);
    assert!(
        mesh.agents
            .iter()
            .all(|agent| agent.knows_whether_to_watch())
    );
}
