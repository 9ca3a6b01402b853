//! Entries that are held up while gates are replaced, at random moments, under calls that
//! may run once: no call runs twice, and none that was refused as not run has run.
//!
//! What users saw: a request that was refused with the promise that it had not run ran.
//! The order of events is that of `platform_fences`; here the moments are drawn.

mod platform_support;

use platform_support::{PlatformFleet, SERVICE, exchange, request, status_of};
use rampthread_adapter_standin::{DocumentSpec, RouteSpec};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use rustix::process::Signal;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::sleep;
use std::time::Duration;

const NODES: usize = 4;
/// Callers of each node, one call at a time.
const CALLERS: usize = 4;
/// Work of a call: long enough to be under way at most moments.
const WORK: Duration = Duration::from_millis(300);
const ROUNDS: usize = 8;

/// What one caller was answered.
struct Answered {
    id: String,
    status: u16,
}

fn call_until(stopped: &AtomicBool, entry: SocketAddr, name: &str) -> Vec<Answered> {
    let mut answers = Vec::new();
    while !stopped.load(Ordering::Relaxed) {
        let id = format!("{name}-{}", answers.len());
        let answer = exchange(entry, &request("POST", "/buy/1", &id, Some(4_000), "x"));
        let status = status_of(&answer.unwrap_or_default());
        if status != 200 {
            // As a caller that waits before it comes back.
            sleep(Duration::from_millis(20));
        }
        answers.push(Answered { id, status });
    }
    answers
}

/// Holds one node up while another one is replaced.
fn replace_behind_a_standstill(fleet: &mut PlatformFleet, rng: &mut StdRng, round: usize) {
    let entry = rng.random_range(0..NODES);
    let gate = (entry + rng.random_range(1..NODES)) % NODES;
    fleet.hold_up(entry);
    sleep(Duration::from_millis(rng.random_range(0..100)));
    fleet.kill(gate);
    fleet.start_node(gate);
    fleet.wait("the next process answers", |fleet| {
        fleet.readiness(gate) != 0
    });
    fleet.heartbeat(gate, "ready", 2 + round as u64);
    sleep(Duration::from_millis(rng.random_range(0..600)));
    fleet.signal(entry, Signal::CONT);
    sleep(Duration::from_millis(rng.random_range(200..900)));
}

/// How often each status was answered, for the eye.
fn by_status(answers: &[Answered]) -> BTreeMap<u16, usize> {
    let mut counts = BTreeMap::new();
    for answered in answers {
        *counts.entry(answered.status).or_default() += 1;
    }
    counts
}

fn check(fleet: &PlatformFleet, answers: &[Answered]) {
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for seen in fleet.backends.iter().flat_map(|backend| backend.seen()) {
        *runs.entry(seen.request_id).or_default() += usize::from(seen.ran);
    }
    for answered in answers {
        let ran = runs.get(&answered.id).copied().unwrap_or(0);
        let id = &answered.id;
        assert!(ran <= 1, "{id} ran {ran} times");
        let promised = [408, 421, 429, 503].contains(&answered.status);
        assert!(
            !promised || ran == 0,
            "{id}: {} and it ran",
            answered.status
        );
    }
}

#[rstest]
fn no_call_is_refused_as_not_run_and_runs(#[values(1, 2)] seed: u64) {
    println!("seed {seed}");
    let mut rng = StdRng::seed_from_u64(seed);
    let mut document =
        DocumentSpec::new(1, SERVICE, vec![RouteSpec::once("buy", "/buy/", SERVICE)]);
    document.routes[0].timeout_ms = 4_000;
    let mut fleet = PlatformFleet::start(NODES, &document);
    fleet
        .backends
        .iter()
        .for_each(|backend| backend.set_work(WORK));
    let stopped = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..NODES * CALLERS)
        .map(|number| {
            let (stopped, entry) = (stopped.clone(), fleet.callers()[number % NODES]);
            std::thread::spawn(move || call_until(&stopped, entry, &format!("id-{number}")))
        })
        .collect();
    for round in 0..ROUNDS {
        replace_behind_a_standstill(&mut fleet, &mut rng, round);
    }
    stopped.store(true, Ordering::Relaxed);
    let answers: Vec<Answered> = callers
        .into_iter()
        .flat_map(|caller| caller.join().unwrap())
        .collect();
    println!("seed {seed}: {:?}", by_status(&answers));
    check(&fleet, &answers);
}
