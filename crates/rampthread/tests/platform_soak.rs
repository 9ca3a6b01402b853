//! A randomized soak of real processes: nodes are killed, paused, stopped as planned
//! and restarted by signals, which overlap; the store misbehaves; back ends drain,
//! shed and crash, and a request comes again and again that ends each back end that
//! runs it; loopback proxies in front of the store and of the back ends delay, reset
//! and silence connections. Callers check what they see: single calls, calls with
//! large bodies, pipelines, and connections that are used until they end.
//! `RAMPTHREAD_SOAK_SECONDS`, `RAMPTHREAD_SOAK_SEED` and `RAMPTHREAD_SOAK_NODES` make it
//! longer, choose another seed and set how many nodes run; seeds that ever failed are in
//! `SEEDS`.

mod crash_fleet;
mod fault_proxy;
mod platform_support;
mod soak_callers;

use crash_fleet::{ALLOWED_SENDS, CRASHING, crashing_runs, late_sends};
use fault_proxy::{Fault, FaultProxy};
use platform_support::{PlatformFleet, SERVICE, request, status_of};
use rampthread_adapter_standin::{
    Availability, BackendBehaviour, CrashRule, DocumentSpec, RouteSpec,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rustix::process::Signal;
use soak_callers::{check_pipeline, keep_using_connections};
use std::net::IpAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Regression cases. 20261117: all back ends ended within a second under the crashing
/// request; the popular requests that were under way at each crash were kept from
/// running for 20 minutes.
const SEEDS: &[u64] = &[1, 20_261_117];
const DEFAULT_SECONDS: u64 = 6;
const DEFAULT_NODES: usize = 4;
const CALLERS: u64 = 3;

/// Part of the callers' turns that are pipelines.
const PIPELINE_SHARE: f64 = 0.2;
/// Part of the calls that may not run twice that have a large body.
const LARGE_BODY_SHARE: f64 = 0.3;
/// Its length: more than the 16 KiB from which on a gate is asked first.
const LARGE_BODY: usize = 60_000;
/// Part of the versions that have many routes, and how many: the whole document
/// takes more than half a second of a narrow link.
const LARGE_VERSION_SHARE: f64 = 0.3;
const MANY_ROUTES: u32 = 2_000;
/// Time from the start of a run of the request that ends back ends to the crash.
const CRASH_AFTER: Duration = Duration::from_millis(30);
/// Time between two attempts of that request.
const CRASHING_INTERVAL: Duration = Duration::from_millis(200);
/// Most times that the crashing request may end each back end, in the mean. Behind the
/// proxies no port refuses, so that only the next incarnation's report, up to
/// [`LONGEST_DOWN`] later, tells of a crash; until then each back end may end once.
const MOST_CRASHING_RUNS: usize = 2;
/// A back end that crashed is back after this time at most.
const LONGEST_DOWN: Duration = Duration::from_millis(1_200);
/// What a caller saw.
struct Outcome {
    id: String,
    once: bool,
    answer: String,
}

fn document(version: u32) -> DocumentSpec {
    let mut document = DocumentSpec::new(
        version,
        SERVICE,
        vec![
            RouteSpec::safe("look", "/look/", SERVICE),
            RouteSpec::once("buy", "/buy/", SERVICE),
        ],
    );
    document
        .routes
        .iter_mut()
        .for_each(|route| route.timeout_ms = 1_500);
    document
}

/// Routes that nobody calls, other ones with each version.
fn many_routes(version: u32) -> impl Iterator<Item = RouteSpec> {
    (0..MANY_ROUTES).map(move |number| {
        let name = format!("idle-{version}-{number}");
        RouteSpec::safe(&name, &format!("/{name}/"), SERVICE)
    })
}

/// Proxies in front of the store, one a node, and of the back ends.
#[derive(Default)]
struct Proxies {
    stores: Vec<FaultProxy>,
    backends: Vec<FaultProxy>,
}

impl Proxies {
    fn put_between(&mut self, fleet: &mut PlatformFleet, ips: &[IpAddr]) {
        for (ip, backend) in ips.iter().zip(fleet.backends.clone()) {
            let proxy = FaultProxy::start(*ip, fleet.store.address);
            fleet.reach_store_at(proxy.address);
            self.stores.push(proxy);
            let proxy = FaultProxy::start(*ip, backend.address);
            backend.reached_at(proxy.address);
            self.backends.push(proxy);
        }
    }
}

fn soak(seed: u64, time: Duration, nodes: usize) {
    eprintln!("soak with seed {seed} for {time:?}");
    let mut proxies = Proxies::default();
    let mut fleet = PlatformFleet::start_between(nodes, &document(1), |fleet, ips| {
        proxies.put_between(fleet, ips);
    });
    for backend in &fleet.backends {
        backend.set_work(Duration::from_millis(5));
        backend.crash_on(Some(CrashRule {
            id_prefix: CRASHING.to_string(),
            after: CRASH_AFTER,
            down: LONGEST_DOWN / 2,
        }));
    }
    let stop = AtomicBool::new(false);
    let seen = Mutex::new(Vec::new());
    let targets = fleet.callers();
    std::thread::scope(|scope| {
        for caller in 0..CALLERS {
            let (stop, seen, targets) = (&stop, &seen, &targets);
            scope.spawn(move || {
                let mut rng = StdRng::seed_from_u64(seed ^ (caller + 1));
                static NEXT: AtomicU64 = AtomicU64::new(0);
                while !stop.load(Ordering::Relaxed) {
                    let number = NEXT.fetch_add(1, Ordering::Relaxed);
                    let id = format!("soak-{seed}-{number}");
                    let once = rng.random_bool(0.5);
                    let target = targets[rng.random_range(0..targets.len())];
                    if rng.random_bool(PIPELINE_SHARE) {
                        check_pipeline(target, &id);
                        continue;
                    }
                    let body = if once && rng.random_bool(LARGE_BODY_SHARE) {
                        "x".repeat(LARGE_BODY)
                    } else {
                        String::new()
                    };
                    let (method, path) = if once {
                        ("POST", "/buy/1")
                    } else {
                        ("GET", "/look/1")
                    };
                    let text = request(method, path, &id, Some(1_200), &body);
                    let answer = platform_support::exchange(target, &text).unwrap_or_default();
                    seen.lock().unwrap().push(Outcome { id, once, answer });
                    std::thread::sleep(Duration::from_millis(3));
                }
            });
        }
        let (kept_stop, kept_targets) = (&stop, &targets);
        scope.spawn(move || keep_using_connections(kept_targets, seed ^ 0x4EE9, kept_stop));
        let (stop_crashing, targets) = (&stop, &targets);
        scope.spawn(move || {
            let mut rng = StdRng::seed_from_u64(seed ^ 0xC4A5);
            let mut number = 0;
            while !stop_crashing.load(Ordering::Relaxed) {
                let id = format!("{CRASHING}{seed}-{number}");
                let text = request("GET", "/look/crashing", &id, Some(1_200), "");
                let target = targets[rng.random_range(0..targets.len())];
                platform_support::exchange(target, &text);
                number += 1;
                std::thread::sleep(CRASHING_INTERVAL);
            }
        });
        disturb(&mut fleet, &proxies, seed, time);
        stop.store(true, Ordering::Relaxed);
    });
    // What was sent may still run for as long as it had.
    std::thread::sleep(Duration::from_millis(2_000));
    check(&fleet, &seen.into_inner().unwrap());
}

/// Starts nodes again whose planned stop has come to its end.
fn start_stopped(fleet: &mut PlatformFleet, stopping: &mut Vec<usize>) {
    stopping.retain(|node| {
        let ended = fleet.has_ended(*node);
        if ended {
            fleet.start_node(*node);
        }
        !ended
    });
}

fn disturb(fleet: &mut PlatformFleet, proxies: &Proxies, seed: u64, time: Duration) {
    let mut rng = StdRng::seed_from_u64(seed);
    let begun = Instant::now();
    let mut version = 1;
    let mut sequence = 10;
    let mut stopping = Vec::new();
    while begun.elapsed() < time {
        start_stopped(fleet, &mut stopping);
        let node = rng.random_range(0..fleet.backends.len());
        match rng.random_range(0..12) {
            // A node that stops is left to its planned end.
            0..=2 | 11 if stopping.contains(&node) => {}
            11 => {
                fleet.signal(node, Signal::TERM);
                stopping.push(node);
            }
            0 => {
                fleet.kill(node);
                std::thread::sleep(Duration::from_millis(rng.random_range(0..400)));
                fleet.start_node(node);
            }
            1 => {
                fleet.signal(node, Signal::STOP);
                std::thread::sleep(Duration::from_millis(rng.random_range(50..900)));
                fleet.signal(node, Signal::CONT);
            }
            2 => fleet.signal(node, Signal::HUP),
            3 => {
                let states = [Availability::Busy, Availability::Silent];
                fleet.store.set_availability(states[rng.random_range(0..2)]);
                std::thread::sleep(Duration::from_millis(rng.random_range(0..700)));
                fleet.store.set_availability(Availability::Up);
            }
            4 => {
                fleet.store.lose_answers(2);
                fleet.store.forget_history();
            }
            5 => {
                version += 1;
                let mut next = document(version);
                if rng.random_bool(LARGE_VERSION_SHARE) {
                    next.routes.extend(many_routes(version));
                }
                fleet.write(&next);
            }
            6 => {
                let behaviours = [
                    BackendBehaviour::Sheds,
                    BackendBehaviour::WrongId,
                    BackendBehaviour::Unsigned,
                ];
                fleet.backends[node].behave(behaviours[rng.random_range(0..3)]);
                std::thread::sleep(Duration::from_millis(rng.random_range(0..400)));
                fleet.backends[node].behave(BackendBehaviour::Sound);
            }
            7 => {
                let down = rng.random_range(100..LONGEST_DOWN.as_millis() as u64);
                fleet.backends[node].crash(Duration::from_millis(down));
            }
            8 | 9 => {
                let fault = Fault::ALL[rng.random_range(0..Fault::ALL.len())];
                let sides = [&proxies.stores, &proxies.backends];
                let proxy = &sides[rng.random_range(0..2)][node];
                proxy.set(fault);
                std::thread::sleep(Duration::from_millis(rng.random_range(0..600)));
                proxy.set(Fault::None);
            }
            _ => {
                sequence += 1;
                fleet.heartbeat(node, "ready", sequence);
            }
        }
        std::thread::sleep(Duration::from_millis(rng.random_range(0..200)));
    }
    for node in stopping {
        assert_eq!(
            fleet.wait_for_exit(node),
            Some(0),
            "node {node} was stopped"
        );
        fleet.start_node(node);
    }
}

/// Keeps what the nodes wrote, for a seed that fails.
fn keep_logs(fleet: &PlatformFleet) {
    let Ok(folder) = std::env::var("RAMPTHREAD_SOAK_LOGS") else {
        return;
    };
    std::fs::create_dir_all(&folder).unwrap();
    for node in 0..fleet.backends.len() {
        let path = format!("{folder}/node-{node}.log");
        std::fs::write(path, fleet.log(node)).unwrap();
    }
}

fn check(fleet: &PlatformFleet, seen: &[Outcome]) {
    keep_logs(fleet);
    let mut answered = 0;
    for one in seen {
        let ran = fleet.seen(&one.id).iter().filter(|seen| seen.ran).count();
        let status = status_of(&one.answer);
        assert!(!one.once || ran <= 1, "{} ran {ran} times", one.id);
        if one.once && matches!(status, 408 | 421 | 429 | 503) {
            assert_eq!(ran, 0, "{} was refused as not run, and ran", one.id);
        }
        if status == 200 {
            answered += 1;
            let whole = format!("answer to {}", one.id);
            assert!(one.answer.ends_with(&whole), "{}: {}", one.id, one.answer);
        }
    }
    let runs = crashing_runs(fleet);
    for run in &runs {
        let since_first = run.at - runs[0].at;
        let (id, target) = (&run.request_id, run.target.as_deref());
        eprintln!("ran after {since_first:?}: {id} at {target:?}");
    }
    let crashing = runs.len();
    eprintln!(
        "{} calls, {answered} answered, {crashing} runs of the crashing request",
        seen.len()
    );
    // One trial more for each further quarantine: the second is of ten minutes.
    assert!(
        crashing <= MOST_CRASHING_RUNS * fleet.backends.len() + 1,
        "the crashing request ran {crashing} times"
    );
    // Not more than the platform allows, though here nearly all machines are disturbed
    // at some time; at most one in each of 100 seeds.
    let late = late_sends(&runs, CRASH_AFTER);
    assert!(late <= ALLOWED_SENDS, "{late} late sends");
    assert!(
        answered * 4 > seen.len(),
        "{answered} of {} answered",
        seen.len()
    );
}

#[test]
fn promises_hold_in_a_soak_of_real_processes() {
    let text = |name: &str| std::env::var(name).ok().and_then(|text| text.parse().ok());
    let seconds = text("RAMPTHREAD_SOAK_SECONDS").unwrap_or(DEFAULT_SECONDS);
    let time = Duration::from_secs(seconds);
    let nodes = text("RAMPTHREAD_SOAK_NODES").map_or(DEFAULT_NODES, |nodes| nodes as usize);
    match text("RAMPTHREAD_SOAK_SEED") {
        Some(seed) => soak(seed, time, nodes),
        None => SEEDS.iter().for_each(|seed| soak(*seed, time, nodes)),
    }
}
