//! An older version must not replace a newer active version, whatever the order of threads.
//!
//! Regression test: the agent decides on versions under a lock, but its actions are
//! executed afterwards by several threads. A thread that derived the tables of a large
//! version activated that version after another thread had activated a newer version.

use rampthread_core::config::{
    ConfigState, Destination, PathMatch, Repeatability, Resource, Route, Service, default_priority,
    default_secret_header,
};
use rampthread_core::ids::{ResourceName, Version};
use rampthread_node::control::ActiveConfigCell;
use std::sync::{Arc, Barrier};

/// Number of routes of a large version, whose tables take milliseconds to derive.
const MANY_ROUTES: u32 = 2_000;
const ROUNDS: u64 = 50;

fn name(text: &str) -> ResourceName {
    ResourceName::new(text).unwrap()
}

fn route(number: u32) -> Resource {
    Resource::Route(Route {
        name: name(&format!("route-{number}")),
        host: None,
        path: PathMatch::Prefix(format!("/{number}/")),
        methods: Vec::new(),
        headers: Vec::new(),
        destinations: vec![Destination {
            service: name("shop"),
            weight: 1,
        }],
        timeout_ms: 1_000,
        repeatability: Repeatability::SafeMethods,
        secret: None,
        secret_header: default_secret_header(),
        max_attempts: 1,
        priority: default_priority(),
        target_latency_ms: None,
        public: false,
    })
}

fn state(version: u64, routes: u32) -> Arc<ConfigState> {
    let shop = Resource::Service(Service {
        name: name("shop"),
        retry_percent: 10,
        slow_start_ms: 0,
        connections: None,
    });
    let resources = std::iter::once(shop).chain((0..routes).map(route));
    let state = ConfigState::from_document(Version(version), resources.collect(), None);
    Arc::new(state.unwrap())
}

fn version_of(active_config: &ActiveConfigCell) -> u64 {
    active_config.load().state.version().0
}

#[test]
fn older_version_does_not_replace_a_newer_one() {
    let active_config = ActiveConfigCell::default();
    assert!(active_config.adopt(state(26, 1)));
    assert!(!active_config.adopt(state(19, MANY_ROUTES)));
    assert_eq!(version_of(&active_config), 26);
}

#[test]
fn newest_of_concurrently_adopted_versions_is_active() {
    for round in 1..=ROUNDS {
        let active_config = ActiveConfigCell::default();
        let barrier = Barrier::new(2);
        let (older, newer) = (state(round, MANY_ROUTES), state(round + 1, 1));
        std::thread::scope(|scope| {
            for version in [older, newer] {
                let (active_config, barrier) = (&active_config, &barrier);
                scope.spawn(move || {
                    barrier.wait();
                    active_config.adopt(version);
                });
            }
        });
        assert_eq!(version_of(&active_config), round + 1);
    }
}
