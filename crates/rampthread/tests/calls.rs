//! Calls with real nodes: every answer whole and its own, none run twice,
//! refusals true, under kills, freezes, drains and overload. Back ends count
//! what ran.

mod support;

use async_std::task::block_on;
use http::Method;
use rampthread_lab::load::{LoadPlan, LoadReport, Seen, run};
use rampthread_lab::standins::backend::SECRET_SEEN;
use rstest::rstest;
use rustix::process::Signal;
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;
use support::{ProcessFleet, one_service, wait};

const NODES: usize = 6;

fn plan(entries: Vec<SocketAddr>, method: Method, rate: f64, seconds: u64) -> LoadPlan {
    LoadPlan {
        entries,
        host: "shop".to_string(),
        path: "/shop/order".to_string(),
        method,
        rate,
        duration: Duration::from_secs(seconds),
        seed: 11,
        patience: Duration::from_secs(20),
        headers: Vec::new(),
    }
}

/// Runs of each request id over all back ends.
fn runs(fleet: &ProcessFleet) -> HashMap<String, u32> {
    let mut runs: HashMap<String, u32> = HashMap::new();
    for member in &fleet.fleet.members {
        let backend = &member.backend;
        for (id, count) in backend.standin.counts().runs {
            *runs.entry(id).or_default() += count;
        }
    }
    runs
}

/// What callers were told is what the back ends saw.
fn audit(fleet: &ProcessFleet, report: &LoadReport, repeatable: bool) {
    let runs = runs(fleet);
    assert_eq!(
        report.count(Seen::Wrong),
        0,
        "an answer was not the caller's own"
    );
    for (id, seen) in &report.seen {
        let count = runs.get(id).copied().unwrap_or(0);
        match seen {
            Seen::Answer => assert!(count >= 1, "{id} was answered but never ran"),
            Seen::NotRun => assert_eq!(count, 0, "{id} was told not run, but ran"),
            Seen::Unknown | Seen::Wrong => {}
        }
        assert!(repeatable || count <= 1, "{id} ran {count} times");
    }
}

/// All entries but that of `left_out`, whose own callers lose their connection.
fn entries(fleet: &ProcessFleet, left_out: usize) -> Vec<SocketAddr> {
    (0..NODES)
        .filter(|index| *index != left_out)
        .map(|index| fleet.callers(index))
        .collect()
}

fn load_during(
    fleet: &mut ProcessFleet,
    plan: LoadPlan,
    act: impl FnOnce(&mut ProcessFleet),
) -> LoadReport {
    let load = async_std::task::spawn(run(plan));
    std::thread::sleep(Duration::from_secs(1));
    act(fleet);
    block_on(load)
}

#[rstest]
#[case::orders(Method::POST)]
#[case::reads(Method::GET)]
fn a_killed_node_doubles_nothing_and_lies_about_nothing(#[case] method: Method) {
    let mut fleet = ProcessFleet::start_configured(one_service(NODES, 3));
    let repeatable = method.is_safe();
    let plan = plan(entries(&fleet, 2), method, 150.0, 4);
    let report = load_during(&mut fleet, plan, |fleet| fleet.kill(2));
    audit(&fleet, &report, repeatable);
    let answered = report.count(Seen::Answer);
    assert!(
        answered * 10 >= report.seen.len() * 9,
        "{answered} of {}",
        report.seen.len()
    );
}

#[test]
fn a_frozen_node_doubles_nothing() {
    let mut fleet = ProcessFleet::start_configured(one_service(NODES, 3));
    let plan = plan(entries(&fleet, 1), Method::POST, 150.0, 6);
    let report = load_during(&mut fleet, plan, |fleet| {
        fleet.signal(1, Signal::STOP);
        std::thread::sleep(Duration::from_secs(3));
        fleet.signal(1, Signal::CONT);
    });
    audit(&fleet, &report, false);
}

#[test]
fn a_drain_under_load_cuts_nothing_and_ends_with_0() {
    let mut fleet = ProcessFleet::start_configured(one_service(NODES, 3));
    for member in &fleet.fleet.members {
        let backend = &member.backend;
        backend
            .standin
            .change(|behaviour| behaviour.mean_service_us = 20_000);
    }
    let plan = plan(entries(&fleet, 3), Method::POST, 150.0, 5);
    let report = load_during(&mut fleet, plan, |fleet| {
        fleet.signal(3, Signal::TERM);
        assert_eq!(fleet.wait_for_exit(3), Some(0));
        let counts = fleet.fleet.members[3].backend.standin.counts();
        assert_eq!(counts.begun, counts.ended, "the drain cut calls in flight");
    });
    audit(&fleet, &report, false);
    assert_eq!(
        report.count(Seen::Unknown),
        0,
        "a planned stop left outcomes unknown"
    );
    assert_eq!(report.count(Seen::NotRun), 0, "other back ends had room");
}

#[test]
fn a_back_end_that_wants_no_work_gets_none_after_a_few_seconds() {
    let mut fleet = ProcessFleet::start_configured(one_service(NODES, 3));
    let plan = plan(entries(&fleet, 4), Method::GET, 150.0, 6);
    let report = load_during(&mut fleet, plan, |fleet| {
        let backend = fleet.fleet.members[4].backend.standin.clone();
        backend.change(|behaviour| behaviour.draining = true);
        wait("the drain is announced", || {
            fleet.status(0).is_some_and(|status| {
                status
                    .members
                    .iter()
                    .any(|member| member.conditions.draining)
            })
        });
        std::thread::sleep(Duration::from_millis(500));
        let before = backend.counts();
        std::thread::sleep(Duration::from_secs(1));
        let after = backend.counts();
        assert_eq!(
            before.begun + before.shed,
            after.begun + after.shed,
            "new work arrived"
        );
    });
    audit(&fleet, &report, true);
}

#[test]
fn overload_is_refused_at_once_and_slots_hold() {
    let mut fleet = ProcessFleet::start_configured(one_service(NODES, 3));
    for member in &fleet.fleet.members {
        let backend = &member.backend;
        backend.standin.change(|behaviour| {
            behaviour.mean_service_us = 150_000;
            // The stand-in itself would take more; the gate must not send it.
            behaviour.slots = 1_000;
        });
    }
    let plan = plan(entries(&fleet, NODES), Method::POST, 800.0, 3);
    let report = load_during(&mut fleet, plan, |_| {});
    audit(&fleet, &report, false);
    for member in &fleet.fleet.members {
        let counts = member.backend.standin.counts();
        assert!(
            counts.most_at_once <= 10,
            "{} calls at once on 10 slots",
            counts.most_at_once
        );
    }
    assert!(
        report.count(Seen::NotRun) > 0,
        "the load was above the capacity"
    );
}

#[test]
fn a_repeated_idempotency_key_runs_once() {
    let fleet = ProcessFleet::start_configured(one_service(NODES, 3));
    // Holders younger than a claim's life grant nothing.
    let request = |node: usize, id: &str| {
        let head = format!(
            "POST /shop/order HTTP/1.1\r\nhost: shop\r\nidempotency-key: order-7\r\n\
             x-request-id: {id}\r\ncontent-length: 2\r\nconnection: close\r\n\r\nhi"
        );
        exchange(fleet.callers(node), head.as_bytes())
    };
    wait("the claim is granted", || {
        request(0, "first").starts_with("HTTP/1.1 200")
    });
    wait("its end is known", || {
        request(1, "second").contains("rampthread-outcome: completed")
    });
    let repeated = request(2, "third");
    assert!(repeated.starts_with("HTTP/1.1 409"), "{repeated}");
    let runs = runs(&fleet);
    assert_eq!(runs.get("first"), Some(&1));
    assert_eq!(runs.get("second").or(runs.get("third")), None);
}

#[test]
fn the_routes_secret_reaches_the_back_end_and_not_the_caller() {
    let fleet = ProcessFleet::start_configured(one_service(3, 3));
    let answer = exchange(
        fleet.callers(0),
        b"GET /shop/x HTTP/1.1\r\nhost: shop\r\nconnection: close\r\n\r\n",
    );
    assert!(answer.contains(SECRET_SEEN), "{answer}");
    assert!(!answer.contains("demo-secret-value"), "{answer}");
}

/// A chain of services; the depth counts those after the first.
fn chain(depth: u32) -> String {
    let fleet = ProcessFleet::start_configured(one_service(3, 3));
    for (index, member) in fleet.fleet.members.iter().enumerate() {
        let entry = fleet.callers(index);
        let backend = &member.backend;
        backend.standin.change(|behaviour| {
            behaviour.calls_on = Some(entry);
            behaviour.slots = 1_000;
        });
    }
    let text = fleet
        .fleet
        .resource_file()
        .replace("slots = 10", "slots = 100");
    fleet.apply_until_accepted(0, &text, "more-slots");
    fleet.wait_until_everywhere(2);
    let request =
        format!("GET /shop/x HTTP/1.1\r\nhost: a\r\nx-depth: {depth}\r\nconnection: close\r\n\r\n");
    exchange(fleet.callers(0), request.as_bytes())
}

#[test]
fn a_call_21_services_deep_is_answered() {
    let answer = chain(20);
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

#[test]
fn a_loop_of_services_is_refused() {
    let answer = chain(1_000);
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    assert!(answer.contains("is there a loop"), "{answer}");
}

#[test]
fn an_order_whose_caller_leaves_is_run_to_its_end() {
    let fleet = ProcessFleet::start_configured(one_service(1, 1));
    let standin = &fleet.fleet.members[0].backend.standin;
    standin.change(|behaviour| behaviour.mean_service_us = 300_000);
    let mut stream = TcpStream::connect(fleet.callers(0)).unwrap();
    stream
        .write_all(
            b"POST /shop/x HTTP/1.1\r\nhost: a\r\n\
        rampthread-deadline-ms: 600000\r\ncontent-length: 0\r\n\r\n",
        )
        .unwrap();
    wait("the order runs", || standin.counts().begun == 1);
    drop(stream);
    wait("the order ends", || standin.counts().at_once == 0);
    assert_eq!(
        standin.counts().ended,
        1,
        "a started order was cut with its caller"
    );
}

#[rstest]
#[case::no_route("GET /nothing HTTP/1.1\r\nhost: a\r\n\r\n", "404", "not-run")]
#[case::deadline_no_number(
    "GET /shop/a HTTP/1.1\r\nhost: a\r\nrampthread-deadline-ms: soon\r\n\r\n",
    "400",
    "not-run"
)]
#[case::too_deep(
    "GET /shop/a HTTP/1.1\r\nhost: a\r\nrampthread-hops: 32\r\n\r\n",
    "400",
    "not-run"
)]
#[case::deadline_passed(
    "GET /shop/a HTTP/1.1\r\nhost: a\r\nrampthread-deadline-ms: 0\r\n\r\n",
    "50",
    "not-run"
)]
fn a_call_that_cannot_be_served_is_answered_at_once(
    #[case] request: &str,
    #[case] status: &str,
    #[case] outcome: &str,
) {
    let fleet = ProcessFleet::start_configured(one_service(3, 3));
    let request = request.replace("\r\n\r\n", "\r\nconnection: close\r\n\r\n");
    let answer = exchange(fleet.callers(0), request.as_bytes());
    assert!(
        answer.starts_with(&format!("HTTP/1.1 {status}")),
        "{answer}"
    );
    assert!(
        answer.contains(&format!("rampthread-outcome: {outcome}")),
        "{answer}"
    );
}

#[test]
fn a_deadline_at_a_slow_back_end_is_answered_with_its_outcome() {
    let fleet = ProcessFleet::start_configured(one_service(3, 3));
    for member in &fleet.fleet.members {
        let backend = &member.backend;
        backend
            .standin
            .change(|behaviour| behaviour.mean_service_us = 60_000_000);
    }
    let answer = exchange(
        fleet.callers(0),
        b"POST /shop/a HTTP/1.1\r\nhost: a\r\nrampthread-deadline-ms: 200\r\n\
          content-length: 0\r\nconnection: close\r\n\r\n",
    );
    assert!(
        answer.starts_with("HTTP/1.1 504") || answer.starts_with("HTTP/1.1 200"),
        "{answer}"
    );
    if answer.starts_with("HTTP/1.1 504") {
        assert!(answer.contains("rampthread-outcome: unknown"), "{answer}");
    }
}

#[test]
fn a_stranger_cannot_use_the_peers_listener() {
    let fleet = ProcessFleet::start_configured(one_service(3, 3));
    let peers = fleet.fleet.members[0].settings.listen.peers;
    let answer = exchange(
        peers,
        b"GET /shop/x HTTP/1.1\r\nhost: a\r\nrampthread-call-id: c\r\n\
          rampthread-hop-token: 00\r\nconnection: close\r\n\r\n",
    );
    assert!(answer.starts_with("HTTP/1.1 403"), "{answer}");
}

/// Sends bytes and reads until the peer closes.
fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(support::LIMIT)).unwrap();
    stream.write_all(bytes).unwrap();
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).to_string()
}
