//! A limit a second over all nodes, on the users' platform, with real nodes as processes.

mod platform_support;

use platform_support::{PlatformFleet, SERVICE, request, retry_after, send_steadily, status_of};
use rampthread_adapter_standin::{BackendBehaviour, DocumentSpec, RouteSpec, TenantSpec};
use rstest::rstest;
use rustix::process::Signal;
use std::time::{Duration, Instant};

const RATE: f64 = 40.0;
const BURST: f64 = 20.0;
/// Requests that may run in a window by the default terms.
const WINDOW: Duration = Duration::from_secs(5);
const BOUND: usize = 262;
const NODES: usize = 3;

fn document(version: u32, rate: f64) -> DocumentSpec {
    let routes = vec![RouteSpec::safe("look", "/look/", SERVICE)];
    let tenants = vec![
        TenantSpec::new("limited", &["key-1", "key-2"]).limited(rate, BURST),
        TenantSpec::new("free", &["key-3"]),
    ];
    DocumentSpec::new(version, SERVICE, routes).with_tenants(tenants)
}

/// A fleet that has served for a window: before, it cannot know what ran.
fn rested(document: &DocumentSpec) -> PlatformFleet {
    let fleet = PlatformFleet::start(NODES, document);
    std::thread::sleep(WINDOW);
    fleet
}

fn ask(fleet: &PlatformFleet, node: usize, id: &str, key: &str) -> String {
    let plain = request("GET", "/look/1", id, Some(3_000), "");
    let with_key = format!("authorization: Bearer {key}\r\nconnection: close\r\n");
    fleet.call(node, &plain.replacen("connection: close\r\n", &with_key, 1))
}

/// What came of requests that were sent at a steady rate.
#[derive(Debug, Default)]
struct Answers {
    served: usize,
    refused: Vec<String>,
    others: Vec<String>,
}

/// Sends `rate` requests a second for `time`, each to the node that `pick` names.
fn press(
    fleet: &PlatformFleet,
    name: &str,
    rate: f64,
    time: Duration,
    pick: impl Fn(usize) -> usize + Sync,
) -> Answers {
    let answers = send_steadily(rate, time, |number| {
        let key = ["key-1", "key-2"][number % 2];
        ask(fleet, pick(number), &format!("{name}-{number}"), key)
    });
    let mut result = Answers::default();
    for answer in answers {
        match status_of(&answer) {
            200 => result.served += 1,
            429 => result.refused.push(answer),
            _ => result.others.push(answer),
        }
    }
    result
}

/// Most requests that back ends ran in any window.
fn most_in_a_window(fleet: &PlatformFleet) -> usize {
    let seen = fleet.backends.iter().flat_map(|backend| backend.seen());
    let mut times: Vec<Instant> = seen.filter(|seen| seen.ran).map(|seen| seen.at).collect();
    times.sort();
    let within = |begin: &Instant| {
        let window = times
            .iter()
            .filter(|at| *at >= begin && **at < *begin + WINDOW);
        window.count()
    };
    times.iter().map(within).max().unwrap_or(0)
}

/// More than three times the limit: what runs is the limit, wherever it comes in, and the
/// rest is refused at once.
#[rstest]
#[case::at_all_nodes(|number: usize| number % NODES)]
#[case::at_one_node(|_: usize| 1)]
fn a_tenant_that_asks_for_more_gets_its_limit(#[case] pick: fn(usize) -> usize) {
    let fleet = rested(&document(1, RATE));
    let time = Duration::from_secs(10);
    let answers = press(&fleet, "much", 140.0, time, pick);
    assert!(answers.others.is_empty(), "{:?}", answers.others);
    let most = most_in_a_window(&fleet);
    assert!(most <= BOUND, "{most} in a window of {BOUND}");
    let due = RATE * time.as_secs_f64() + BURST;
    let served = answers.served;
    assert!(served as f64 >= 0.95 * due, "{served} of {due} due");
    for answer in &answers.refused {
        let wait = retry_after(answer);
        assert!(wait > 0.0 && wait <= 5.0, "{answer}");
    }
    let mut waits: Vec<String> = answers
        .refused
        .iter()
        .map(|answer| retry_after(answer).to_string())
        .collect();
    let all = waits.len();
    waits.sort();
    waits.dedup();
    assert!(waits.len() * 2 > all, "callers are told to return together");
    let view = fleet.api(0, "GET", "/v1/tenants");
    assert!(
        view.contains("limited") && !view.contains("key-1"),
        "{view}"
    );
    let metrics = fleet.api(1, "GET", "/metrics");
    assert!(
        metrics.contains("rampthread_tenant_refused{tenant=\"limited\"}"),
        "{metrics}"
    );
    fleet.wait("the refusals in the log", |fleet| {
        fleet.log(1).contains("tenant limited asks for")
    });
}

/// A tenant within its limit loses nothing by it, and one without a limit has none.
#[test]
fn a_tenant_within_its_limit_is_served() {
    let fleet = rested(&document(1, RATE));
    let time = Duration::from_secs(6);
    let answers = press(&fleet, "usual", RATE / 1.6, time, |number| number % NODES);
    assert_eq!((answers.refused.len(), answers.others.len()), (0, 0));
    for number in 0..100 {
        let answer = ask(&fleet, number % NODES, &format!("free-{number}"), "key-3");
        assert_eq!(status_of(&answer), 200, "{answer}");
    }
}

/// What no back end has run does not count.
#[test]
fn a_request_that_did_not_run_gives_its_token_back() {
    let fleet = PlatformFleet::start(1, &document(1, RATE));
    fleet.backends[0].behave(BackendBehaviour::Sheds);
    let time = Duration::from_secs(4);
    let answers = press(&fleet, "shed", 100.0, time, |_| 0);
    assert_eq!(answers.served, 0);
    let refused = answers.refused.len();
    assert!(
        refused * 20 < answers.others.len(),
        "{refused} were refused by the limit"
    );
}

/// A lower limit holds one window after it is in force, a higher one at once.
#[test]
fn a_changed_limit_holds() {
    let fleet = PlatformFleet::start(NODES, &document(1, 4.0 * RATE));
    let time = Duration::from_secs(3);
    press(&fleet, "before", 100.0, time, |number| number % NODES);
    fleet.write(&document(2, RATE));
    press(&fleet, "between", 100.0, WINDOW + time, |number| {
        number % NODES
    });
    let before = fleet
        .backends
        .iter()
        .map(|backend| backend.seen().len())
        .sum::<usize>();
    let time = Duration::from_secs(5);
    let answers = press(&fleet, "lower", 100.0, time, |number| number % NODES);
    let after = fleet
        .backends
        .iter()
        .map(|backend| backend.seen().len())
        .sum::<usize>();
    assert!(after - before <= BOUND, "{} ran", after - before);
    let (served, refused, others) = (answers.served, answers.refused.len(), answers.others.len());
    println!("{served} served, {refused} refused, {others} with other errors");
    assert!(
        served as f64 >= 0.95 * RATE * time.as_secs_f64(),
        "{served} served, {refused} refused, {others} with other errors"
    );
    fleet.write(&document(3, 4.0 * RATE));
    let time = Duration::from_secs(4);
    let answers = press(&fleet, "higher", 100.0, time, |number| number % NODES);
    let served = answers.served;
    assert!(served >= 320, "{served} of 400");
}

/// The limit holds while nodes are suspended one after the other, for times that overlap, the
/// holder of the token pool among them. Afterwards it is used again.
#[test]
fn limit_holds_while_nodes_are_suspended() {
    const APART: Duration = Duration::from_millis(700);
    let fleet = rested(&document(1, RATE));
    let time = Duration::from_secs(12);
    std::thread::scope(|scope| {
        scope.spawn(|| press(&fleet, "suspended", 140.0, time, |number| number % NODES));
        for round in 0..2 * NODES {
            std::thread::sleep(APART);
            fleet.hold_up(round % NODES);
            if round > 0 {
                std::thread::sleep(APART);
                fleet.signal((round - 1) % NODES, Signal::CONT);
            }
        }
        (0..NODES).for_each(|node| fleet.signal(node, Signal::CONT));
    });
    let most = most_in_a_window(&fleet);
    assert!(most <= BOUND, "{most} in a window of {BOUND}");
    let time = Duration::from_secs(5);
    let answers = press(&fleet, "after", 140.0, time, |number| number % NODES);
    let served = answers.served;
    assert!(
        served as f64 >= 0.95 * RATE * time.as_secs_f64(),
        "{served} served afterwards"
    );
}

/// Nodes that start at once don't know each other for seconds, each without a limit of its own.
/// A tenant that exceeds its limit meanwhile must not get a limit at each of them.
#[rstest]
#[case::new_fleet(false)]
#[case::restart_of_all(true)]
fn nodes_that_have_just_started_keep_the_limit(#[case] restarts: bool) {
    const NODES: usize = 6;
    let document = document(1, RATE);
    let mut fleet = PlatformFleet::start_unacquainted(NODES, &document, |_, _| {});
    if restarts {
        std::thread::sleep(WINDOW);
        (0..NODES).for_each(|node| fleet.kill(node));
        (0..NODES).for_each(|node| fleet.start_node(node));
        fleet.wait_until_ready();
        for node in 0..NODES {
            assert!(fleet.heartbeat(node, "ready", 2));
        }
    }
    let time = Duration::from_secs(12);
    let answers = press(&fleet, "early", 140.0, time, |number| number % NODES);
    let most = most_in_a_window(&fleet);
    assert!(most <= BOUND, "{most} in a window of {BOUND}");
    // Unknown to each other at first, the nodes have the whole limit in the end.
    let least = RATE * (time - Duration::from_secs(7)).as_secs_f64();
    let served = answers.served;
    assert!(served as f64 >= least, "{served} were served");
}
