//! A version in force gives way to newer ones only, whichever thread comes last.
//!
//! What users saw: a version that had been in force came back older: at four of eight
//! nodes the routes of version 26 were answered 404 until the next version, though the
//! log of each said "version adopted" for 26.
//!
//! Order of events: a version with 2,000 routes comes from the store, and its thread
//! derives its routes; meanwhile a peer's answer brings a newer version of few routes,
//! which another thread puts in force; then the first thread comes to its end and puts
//! its older one there.
//!
//! Cause: decisions are made in order under a lock, and carried out behind it in any
//! order. Evidence: the logs of a soak (`no_limits` of its kept schedules, once in
//! three plays) have "version adopted" for 26 and 11 to 20 ms later for 19.

use rampthread_core::config::{
    ConfigState, Destination, PathMatch, Repeatability, Resource, Route, Service, default_priority,
    default_secret_header,
};
use rampthread_core::ids::{ResourceName, Version};
use rampthread_node::control::ActiveConfigCell;
use std::sync::{Arc, Barrier};

/// Routes of a large version: a thread takes milliseconds to derive them.
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

fn version_of(in_force: &ActiveConfigCell) -> u64 {
    in_force.load().state.version().0
}

#[test]
fn an_older_version_that_comes_last_is_not_put_in_force() {
    let in_force = ActiveConfigCell::default();
    assert!(in_force.adopt(state(26, 1)));
    assert!(!in_force.adopt(state(19, MANY_ROUTES)));
    assert_eq!(version_of(&in_force), 26);
}

#[test]
fn of_threads_that_put_versions_in_force_at_once_the_newest_prevails() {
    for round in 1..=ROUNDS {
        let in_force = ActiveConfigCell::default();
        let together = Barrier::new(2);
        let (older, newer) = (state(round, MANY_ROUTES), state(round + 1, 1));
        std::thread::scope(|scope| {
            for version in [older, newer] {
                let (in_force, together) = (&in_force, &together);
                scope.spawn(move || {
                    together.wait();
                    in_force.adopt(version);
                });
            }
        });
        assert_eq!(version_of(&in_force), round + 1);
    }
}
