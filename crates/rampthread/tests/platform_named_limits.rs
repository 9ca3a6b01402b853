//! Back ends that name a limit in their answers, or say that they leave, beside real nodes as
//! processes.

mod fault_proxy;
mod platform_support;

use fault_proxy::{Fault, FaultProxy};
use platform_support::{PlatformFleet, SERVICE, request, retry_after, send_steadily, status_of};
use rampthread_adapter::headers;
use rampthread_adapter_standin::backend::NextId;
use rampthread_adapter_standin::{BackendBehaviour, DocumentSpec, RouteSpec};
use rstest::rstest;
use rustix::process::Signal;
use std::time::{Duration, Instant};

const NODES: usize = 3;
/// Requests a second that callers send, to all nodes alike.
const DEMAND: f64 = 60.0;
/// Window of the rule for limits.
const WINDOW: Duration = Duration::from_secs(4);
/// Time from the first answer that names a limit until the rule binds.
const CONTACT: Duration = Duration::from_millis(2_500);
/// Time from the first answer that says so until no request reaches a back end that leaves.
const DRAIN: Duration = Duration::from_secs(2);

fn shop() -> PlatformFleet {
    let routes = vec![RouteSpec::safe("look", "/look/", SERVICE)];
    let fleet = PlatformFleet::start(NODES, &DocumentSpec::new(1, SERVICE, routes));
    for backend in &fleet.backends {
        backend.set_work(Duration::from_millis(20));
    }
    fleet
}

/// Sends requests to all nodes for `time` and returns the answers.
fn press(fleet: &PlatformFleet, name: &str, time: Duration) -> Vec<String> {
    send_steadily(DEMAND, time, |number| {
        let id = format!("{name}-{number}");
        let request = request("GET", "/look/1", &id, Some(2_000), "");
        fleet.call(number % NODES, &request)
    })
}

/// Most requests that reached a back end in a window that ends after `from`.
fn most_in_a_window(fleet: &PlatformFleet, backend: usize, from: Instant) -> usize {
    let seen = fleet.backends[backend].seen();
    let times: Vec<Instant> = seen.iter().map(|seen| seen.at).collect();
    let until = |end: &Instant| {
        let window = times.iter().filter(|at| *at <= end && **at + WINDOW > *end);
        window.count()
    };
    let ends = times.iter().filter(|at| **at >= from);
    ends.map(until).max().unwrap_or(0)
}

/// Requests that a limit allows in a window.
fn allowed(limit: f64) -> usize {
    (limit * WINDOW.as_secs_f64() * 1.5 + 5.0) as usize
}

#[rstest]
#[case::ten(10.4)]
#[case::four(4.0)]
#[case::one_in_two_seconds(0.5)]
fn a_back_end_gets_no_more_than_the_limit_it_names(#[case] limit: f64) {
    let fleet = shop();
    press(&fleet, "before", Duration::from_secs(1));
    fleet.backends[0].name_limit(Some(&limit.to_string()));
    let binds = Instant::now() + CONTACT;
    press(&fleet, "limited", Duration::from_secs(9));
    let most = most_in_a_window(&fleet, 0, binds + WINDOW);
    assert!(most <= allowed(limit), "{most} of {}", allowed(limit));
}

#[test]
fn a_back_end_that_says_it_leaves_gets_no_new_requests() {
    let fleet = shop();
    press(&fleet, "before", Duration::from_secs(1));
    fleet.backends[0].say_leaving(true);
    let leaves = Instant::now();
    let answers = press(&fleet, "leaving", Duration::from_secs(5));
    let late = fleet.backends[0].seen();
    let late = late.iter().filter(|seen| seen.at > leaves + DRAIN).count();
    assert_eq!(late, 0, "requests after the drain time");
    let failed = answers.iter().filter(|answer| status_of(answer) != 200);
    assert_eq!(failed.count(), 0, "requests that were not served");
}

/// Requests that reached a back end since `from`.
fn seen_since(fleet: &PlatformFleet, backend: usize, from: Instant) -> usize {
    let seen = fleet.backends[backend].seen();
    seen.iter().filter(|seen| seen.at >= from).count()
}

#[rstest]
#[case::same_id(NextId::Same)]
#[case::new_id(NextId::New)]
fn the_next_start_of_a_back_end_that_left_gets_work(#[case] next_id: NextId) {
    let fleet = shop();
    fleet.backends[0].name_starts(next_id);
    fleet.backends[0].say_leaving(true);
    press(&fleet, "leaving", Duration::from_secs(1));
    fleet.backends[0].crash(Duration::from_millis(500));
    std::thread::sleep(Duration::from_secs(1));
    let started = Instant::now();
    press(&fleet, "next", Duration::from_secs(4));
    let got = seen_since(&fleet, 0, started);
    assert!(got > 20, "{got} requests for the next start");
}

// The node that starts again believes the heartbeats; the others have passed the answers on.
#[test]
fn a_back_end_that_leaves_gets_nothing_from_others_after_a_restart_of_its_node() {
    let mut fleet = shop();
    fleet.backends[0].say_leaving(true);
    press(&fleet, "leaving", Duration::from_secs(1));
    fleet.kill(0);
    fleet.start_node(0);
    fleet.wait_until_ready();
    fleet.heartbeat(0, "ready", 9);
    let restarted = Instant::now();
    send_steadily(DEMAND, Duration::from_secs(3), |number| {
        let id = format!("restarted-{number}");
        fleet.call(
            1 + number % 2,
            &request("GET", "/look/1", &id, Some(2_000), ""),
        )
    });
    assert_eq!(seen_since(&fleet, 0, restarted), 0);
}

#[rstest]
#[case::killed(true)]
#[case::suspended(false)]
fn a_limit_holds_while_the_node_of_its_back_end_is_away(#[case] killed: bool) {
    const LIMIT: f64 = 4.0;
    let mut fleet = shop();
    fleet.backends[0].set_work(Duration::from_millis(600));
    fleet.backends[0].name_limit(Some("4"));
    press(&fleet, "before", Duration::from_secs(4));
    let limited = Instant::now();
    for round in 0..2 {
        if killed {
            fleet.kill(0);
            fleet.start_node(0);
            fleet.wait_until_ready();
            fleet.heartbeat(0, "ready", 10 + round);
        } else {
            fleet.hold_up(0);
            std::thread::sleep(Duration::from_secs(2));
            fleet.signal(0, Signal::CONT);
        }
        press(&fleet, &format!("round-{round}"), Duration::from_secs(4));
    }
    let most = most_in_a_window(&fleet, 0, limited);
    assert!(most <= allowed(LIMIT), "{most} of {}", allowed(LIMIT));
}

#[test]
fn a_back_end_that_refuses_all_gets_no_more_than_its_limit() {
    let fleet = shop();
    fleet.backends[0].name_limit(Some("5"));
    fleet.backends[0].behave(BackendBehaviour::Sheds);
    let binds = Instant::now() + CONTACT;
    let answers = press(&fleet, "refused", Duration::from_secs(9));
    let most = most_in_a_window(&fleet, 0, binds);
    assert!(most <= allowed(5.0), "{most} of {}", allowed(5.0));
    let unserved = answers.iter().filter(|answer| status_of(answer) != 200);
    assert_eq!(unserved.count(), 0, "the others have room");
}

#[test]
fn what_limited_back_ends_take_is_used_and_the_rest_is_refused_at_once() {
    const LIMIT: f64 = 8.0;
    let fleet = shop();
    for backend in &fleet.backends {
        backend.name_limit(Some("8"));
    }
    press(&fleet, "before", Duration::from_secs(3));
    let from = Instant::now();
    let time = Duration::from_secs(8);
    let answers = press(&fleet, "limited", time);
    let served = answers.iter().filter(|answer| status_of(answer) == 200);
    let due = LIMIT * NODES as f64 * time.as_secs_f64();
    let served = served.count();
    assert!(served as f64 >= 0.9 * due, "{served} served of {due}");
    for backend in 0..NODES {
        let most = most_in_a_window(&fleet, backend, from);
        assert!(most <= allowed(LIMIT), "{most} of {}", allowed(LIMIT));
    }
    let refused: Vec<&String> = answers
        .iter()
        .filter(|answer| status_of(answer) != 200)
        .collect();
    for answer in &refused {
        assert_eq!(status_of(answer), 503, "{answer}");
        assert!(retry_after(answer) > 0.0, "{answer}");
    }
}

#[rstest]
#[case::zero("0")]
#[case::two("2")]
fn a_limit_ends_when_the_back_end_names_none(#[case] limit: &str) {
    let fleet = shop();
    fleet.backends[0].name_limit(Some(limit));
    press(&fleet, "limited", Duration::from_secs(6));
    fleet.backends[0].name_limit(None);
    // A back end that names 0 gets a call in 4 s.
    press(&fleet, "ends", Duration::from_secs(5));
    let from = Instant::now();
    press(&fleet, "free", Duration::from_secs(4));
    let got = seen_since(&fleet, 0, from);
    assert!(got > 40, "{got} of 80 requests");
}

#[test]
fn the_retry_delay_that_a_back_end_names_reaches_the_caller() {
    let routes = vec![RouteSpec::safe("look", "/look/", SERVICE)];
    let fleet = PlatformFleet::start(1, &DocumentSpec::new(1, SERVICE, routes));
    fleet.backends[0].behave(BackendBehaviour::Sheds);
    fleet.backends[0].advise_retry(Some("1.7"));
    let answer = fleet.call(0, &request("GET", "/look/1", "id-1", Some(3_000), ""));
    assert_eq!(retry_after(&answer), 1.7, "{answer}");
}

/// True if the answer has this header.
fn says(answer: &str, name: &str, value: &str) -> bool {
    answer.contains(&format!("{name}: {value}\r\n"))
}

/// Sends `count` calls at once, with much time, and returns each answer with its time.
fn call_at_once(fleet: &PlatformFleet, count: usize) -> Vec<(Instant, String)> {
    std::thread::scope(|scope| {
        let call = |number: usize| {
            let request = request("GET", "/look/1", &format!("id-{number}"), Some(30_000), "");
            (fleet.call(0, &request), Instant::now())
        };
        let calls: Vec<_> = (0..count)
            .map(|number| scope.spawn(move || call(number)))
            .collect();
        let answers = calls.into_iter().map(|call| call.join().unwrap());
        let mut answers: Vec<_> = answers.map(|(answer, at)| (at, answer)).collect();
        answers.sort();
        answers
    })
}

/// One node whose back end names `limit`, and has told it; calls may wait long.
fn limited_alone(limit: &str) -> PlatformFleet {
    let route = RouteSpec {
        target_ms: 9_500,
        ..RouteSpec::safe("look", "/look/", SERVICE)
    };
    let fleet = PlatformFleet::start(1, &DocumentSpec::new(1, SERVICE, vec![route]));
    fleet.backends[0].name_limit(Some(limit));
    fleet.call(0, &request("GET", "/look/1", "first", Some(2_000), ""));
    fleet
}

#[test]
fn calls_in_the_queue_leave_at_once_when_the_limit_is_raised() {
    let fleet = limited_alone("0.5");
    let answers = std::thread::scope(|scope| {
        let calls = scope.spawn(|| call_at_once(&fleet, 8));
        std::thread::sleep(Duration::from_millis(300));
        fleet.backends[0].name_limit(Some("20"));
        calls.join().unwrap()
    });
    let raised = |(_, answer): &&(Instant, String)| says(answer, headers::SERVER_LIMIT, "20");
    let (first, _) = answers.iter().find(raised).expect("the new limit is told");
    let (last, _) = answers.last().unwrap();
    assert!(*last - *first < Duration::from_millis(1_500), "{answers:?}");
}

#[rstest]
#[case::negative("-3")]
#[case::word("many")]
#[case::empty("")]
#[case::too_large("1e400")]
#[case::not_a_number("nan")]
#[case::two_values("4, 5")]
fn a_value_that_is_no_limit_is_logged_and_limits_nothing(#[case] value: &str) {
    let fleet = shop();
    for backend in &fleet.backends {
        backend.name_limit(Some(value));
    }
    let answers = press(&fleet, "free", Duration::from_secs(2));
    assert!(answers.iter().all(|answer| status_of(answer) == 200));
    let logged = |node| {
        fleet
            .log(node)
            .contains("rate limit of the backend ignored")
    };
    assert!((0..NODES).any(logged));
}

/// Limits on one back end and on all, lowered or raised on the way, from answers and refusals.
#[rstest]
fn limits_hold_at_the_back_ends(
    #[values(0.0, 0.5, 4.0, 10.4)] limit: f64,
    #[values(1, NODES)] limited: usize,
    #[values(BackendBehaviour::Sound, BackendBehaviour::Sheds)] behaviour: BackendBehaviour,
) {
    let fleet = shop();
    for backend in &fleet.backends[..limited] {
        backend.name_limit(Some(&limit.to_string()));
        backend.behave(behaviour);
    }
    let binds = Instant::now() + CONTACT;
    let answers = press(&fleet, "limited", Duration::from_secs(9));
    for backend in 0..limited {
        let most = most_in_a_window(&fleet, backend, binds);
        eprintln!("{most} of {} allowed", allowed(limit));
        assert!(most <= allowed(limit), "{most} of {}", allowed(limit));
    }
    let unserved = answers.iter().filter(|answer| status_of(answer) != 200);
    let unserved = unserved.count();
    if limited < NODES {
        assert_eq!(unserved, 0, "the others have room");
    }
}

#[rstest]
#[case::lowered("10", "2")]
#[case::raised("2", "10")]
fn a_limit_that_changes_holds(#[case] first: &str, #[case] second: &str) {
    let fleet = shop();
    fleet.backends[0].name_limit(Some(first));
    press(&fleet, "first", Duration::from_secs(3));
    fleet.backends[0].name_limit(Some(second));
    let changed = Instant::now();
    press(&fleet, "second", Duration::from_secs(9));
    let limit = second.parse().unwrap();
    let most = most_in_a_window(&fleet, 0, changed + CONTACT);
    assert!(most <= allowed(limit), "{most} of {}", allowed(limit));
    let got = seen_since(&fleet, 0, changed + CONTACT);
    assert!(got as f64 > 6.5 * limit * 0.7, "{got} in 6.5 s at {limit}");
}

#[test]
fn calls_in_the_queue_are_refused_at_once_when_the_back_end_leaves() {
    let fleet = limited_alone("0.5");
    let answers = std::thread::scope(|scope| {
        let calls = scope.spawn(|| call_at_once(&fleet, 8));
        std::thread::sleep(Duration::from_millis(300));
        fleet.backends[0].say_leaving(true);
        calls.join().unwrap()
    });
    let told = |(_, answer): &&(Instant, String)| says(answer, headers::SERVER_LEAVING, "1");
    let (first, _) = answers.iter().find(told).expect("the back end says so");
    let (last, _) = answers.last().unwrap();
    assert!(*last - *first < Duration::from_millis(1_000), "{answers:?}");
}

#[rstest]
fn a_value_that_does_not_say_leaving_is_logged_and_changes_nothing(
    #[values("perhaps", "0", "1, 1", "")] value: &str,
) {
    let fleet = shop();
    fleet.backends[0].say_leaving_as(Some(value));
    press(&fleet, "before", Duration::from_secs(1));
    let from = Instant::now();
    press(&fleet, "after", Duration::from_secs(3));
    assert!(seen_since(&fleet, 0, from) > 20);
    assert!(fleet.log(0).contains("leaving of the backend ignored"));
}

/// Sends requests to node 1 alone for `time`, and returns the answers.
fn press_at_cut_node(fleet: &PlatformFleet, name: &str, time: Duration) -> Vec<String> {
    send_steadily(DEMAND, time, |number| {
        let id = format!("{name}-{number}");
        fleet.call(1, &request("GET", "/look/1", &id, Some(2_000), ""))
    })
}

// Node 1 has passed the back end's answers on, loses the store, and the gate is replaced.
#[test]
fn signals_hold_at_a_node_that_was_told_and_then_cut_off() {
    const LIMIT: f64 = 4.0;
    let mut proxies = Vec::new();
    let routes = vec![RouteSpec::safe("look", "/look/", SERVICE)];
    let document = DocumentSpec::new(1, SERVICE, routes);
    let mut fleet = PlatformFleet::start_between(NODES, &document, |fleet, ips| {
        for ip in ips {
            let proxy = FaultProxy::start(*ip, fleet.store.address);
            fleet.reach_store_at(proxy.address);
            proxies.push(proxy);
        }
    });
    fleet.backends[0].name_limit(Some("4"));
    press_at_cut_node(&fleet, "told", Duration::from_secs(4));
    let limited = Instant::now();
    proxies[1].set(Fault::Silent);
    fleet.kill(0);
    fleet.start_node(0);
    fleet.wait_until_ready();
    fleet.heartbeat(0, "ready", 10);
    press_at_cut_node(&fleet, "cut", Duration::from_secs(6));
    let most = most_in_a_window(&fleet, 0, limited);
    assert!(most <= allowed(LIMIT), "{most} of {}", allowed(LIMIT));
    assert!(seen_since(&fleet, 0, limited) > 0, "the gate serves again");

    fleet.backends[0].say_leaving(true);
    let told = |answer: &String| says(answer, headers::SERVER_LEAVING, "1");
    let mut round = 0;
    fleet.wait("node 1 told that the back end leaves", |fleet| {
        round += 1;
        let answers = press_at_cut_node(fleet, &format!("leaving-{round}"), CONTACT);
        answers.iter().any(told)
    });
    fleet.kill(0);
    fleet.start_node(0);
    fleet.wait_until_ready();
    fleet.heartbeat(0, "ready", 11);
    let replaced = Instant::now();
    press_at_cut_node(&fleet, "left", Duration::from_secs(4));
    assert_eq!(seen_since(&fleet, 0, replaced), 0);
}

#[test]
fn the_next_start_of_a_limited_back_end_is_shown_without_limit() {
    let fleet = limited_alone("4");
    let shows = |value: &str| {
        let line = format!("rampthread_backend_rate_limit {value}");
        fleet.api(0, "GET", "/metrics").contains(&line)
    };
    assert!(shows("4.0"));
    fleet.backends[0].crash(Duration::from_millis(100));
    fleet.wait("no limit shown", |fleet| {
        fleet.call(0, &request("GET", "/look/1", "next", Some(500), ""));
        shows("-1.0")
    });
}

/// Sections by which nodes take part in rollouts.
const ROLLOUT_SETTINGS: &str = r#"
[roll_outs]
exposure_share = 0.3
exposure_slack = 60
roll_back = "4s"
"#;

// The first back ends are of the new version, and take next to nothing after `state`.
#[rstest]
#[case::in_evaluation(1, 60, "running")]
#[case::succeeded(2, 3, "succeeded")]
fn calls_go_to_the_other_version_while_the_limits_of_the_new_one_are_used_up(
    #[case] new: usize,
    #[case] duration_s: u32,
    #[case] state: &str,
) {
    let routes = vec![RouteSpec::safe("look", "/look/", SERVICE)];
    let document = DocumentSpec::new(1, SERVICE, routes);
    let fleet = PlatformFleet::start_between(NODES, &document, |fleet, _| {
        fleet.add_settings(ROLLOUT_SETTINGS);
        for backend in &fleet.backends[..new] {
            backend.set_version("v2");
        }
    });
    let order =
        format!(r#"{{"service":"{SERVICE}","target_version":"v2","duration_s":{duration_s}}}"#);
    fleet.store.write("op/rollout/shop", order.as_bytes());
    press(&fleet, "free", Duration::from_secs(6));
    assert!(fleet.store.holds("status/rollout/shop", state));
    for backend in &fleet.backends[..new] {
        assert!(!backend.seen().is_empty());
        backend.name_limit(Some("0.5"));
    }
    let answers = press(&fleet, "limited", Duration::from_secs(8));
    let unserved = answers.iter().filter(|answer| status_of(answer) != 200);
    assert_eq!(unserved.count(), 0, "of {}", answers.len());
}
