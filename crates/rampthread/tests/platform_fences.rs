//! An entry that gave up on a hop asks the gate whether the call can still start.
//!
//! What users saw: a request that may run once was answered 503 with the promise
//! that it had not run, and it ran.
//!
//! Order of events: the call begins at the back end beside node 1. Its entry, node 0,
//! is held up; meanwhile the process of node 1 is killed and another one starts at the
//! same address. Node 0 goes on, finds the connection of the hop lost, and asks
//! whether the call had started. The new process has never heard of it.
//!
//! Cause: the answer came from a memory that is younger than what it was asked about.
//! Evidence: without the restart the same loss was answered as unknown; with it, 503
//! each time, `cause=fenced` in the entry's log, while the back end worked on: a hop of
//! 907 ms was fenced by a gate that remembered 844 ms.

mod gate_standin;
mod platform_support;

use gate_standin::{Answers, GateStandIn};
use platform_support::{PlatformFleet, SERVICE, request, status_of};
use rampthread_adapter_standin::{DocumentSpec, RouteSpec};
use rstest::rstest;
use rustix::process::Signal;
use std::time::{Duration, Instant};

/// The entry of the call, and the node beside the back end that runs it.
const ENTRY: usize = 0;
const GATE: usize = 1;
/// Work of the call: longer than everything that happens meanwhile.
const WORK: Duration = Duration::from_secs(4);
/// Time for which the entry is still held up once the gate's next process runs.
const HELD_UP: Duration = Duration::from_millis(800);
/// Rounds of a test whose preparation may come too late on a busy machine.
const ROUNDS: usize = 10;

/// Three nodes; only the back end beside [`GATE`] takes work.
fn fleet_with_one_back_end() -> PlatformFleet {
    let mut document =
        DocumentSpec::new(1, SERVICE, vec![RouteSpec::once("buy", "/buy/", SERVICE)]);
    document.routes[0].timeout_ms = 8_000;
    let fleet = PlatformFleet::start(3, &document);
    for other in [ENTRY, 2] {
        assert!(fleet.heartbeat(other, "draining", 2));
    }
    fleet.backends[GATE].set_work(WORK);
    fleet
}

fn buy(id: &str) -> String {
    request("POST", "/buy/1", id, Some(8_000), "x")
}

/// What is left of a fleet after a call whose hop was lost.
struct AfterLoss {
    answer: String,
    fleet: PlatformFleet,
}

/// The answer to a call that began at the back end and whose entry was held up while
/// `meanwhile` happened.
fn answer_of_a_held_up_entry(id: &str, meanwhile: impl FnOnce(&mut PlatformFleet)) -> AfterLoss {
    let mut fleet = fleet_with_one_back_end();
    let entry = fleet.callers()[ENTRY];
    let call = buy(id);
    let caller = std::thread::spawn(move || platform_support::exchange(entry, &call));
    fleet.wait("the call begins", |fleet| !fleet.seen(id).is_empty());
    fleet.hold_up(ENTRY);
    meanwhile(&mut fleet);
    std::thread::sleep(HELD_UP);
    fleet.signal(ENTRY, Signal::CONT);
    let answer = caller.join().unwrap().unwrap_or_default();
    let seen = fleet.seen(id);
    assert_eq!(seen.len(), 1, "{id} ran {} times", seen.len());
    assert!(seen[0].ran);
    println!("{id}: {}", status_of(&answer));
    AfterLoss { answer, fleet }
}

fn replace_the_gate(fleet: &mut PlatformFleet) {
    fleet.kill(GATE);
    fleet.start_node(GATE);
    fleet.wait("the gate's next process answers", |fleet| {
        fleet.readiness(GATE) != 0
    });
}

/// The answer to a call whose hop reached a stand-in at the gate's address that lost it,
/// and that answers the fence with the header lines `fence`.
fn answer_after_a_fence(id: &str, fence: Option<&'static str>) -> String {
    let answers = Answers { hop: None, fence };
    answer_through_a_stand_in(id, answers, |stand_in| stand_in.fences() > 0)
}

/// The answer to a call whose gate is a stand-in, once the stand-in was asked as wanted.
fn answer_through_a_stand_in(
    id: &str,
    answers: Answers,
    asked: impl Fn(&GateStandIn) -> bool,
) -> String {
    for round in 0..ROUNDS {
        let mut fleet = fleet_with_one_back_end();
        fleet.kill(GATE);
        let stand_in = GateStandIn::start(fleet.peers(GATE), answers);
        let answer = fleet.call(ENTRY, &buy(id));
        // The entry may have found out before that the node has ended.
        if asked(&stand_in) {
            println!("{id}: {}", status_of(&answer));
            return answer;
        }
        println!("round {round}: the stand-in was not asked: {answer}");
    }
    panic!("the stand-in was not asked in {ROUNDS} rounds");
}

/// One field of the entry's or the gate's line about a fence of this request.
fn field_of_line(log: &str, message: &str, id: &str, field: &str) -> Option<String> {
    let line = log
        .lines()
        .find(|line| line.contains(message) && line.contains(id))?;
    let (_, rest) = line.split_once(&format!("\"{field}\":"))?;
    let end = rest.find([',', '}'])?;
    Some(rest[..end].trim_matches('"').to_string())
}

#[test]
fn a_call_that_began_at_a_gate_that_was_replaced_is_not_refused_as_not_run() {
    let after = answer_of_a_held_up_entry("id-replaced", replace_the_gate);
    assert_eq!(status_of(&after.answer), 502, "{}", after.answer);
}

#[test]
fn a_call_that_began_at_a_gate_that_has_ended_is_not_refused_as_not_run() {
    let after = answer_of_a_held_up_entry("id-ended", |fleet| fleet.kill(GATE));
    assert_eq!(status_of(&after.answer), 502, "{}", after.answer);
}

/// The lines tell a gate that has forgotten from one that knows: how old the hop was
/// when the fence was answered, how far back the gate remembered, what it answered.
#[test]
fn the_lines_of_a_fence_say_what_the_answer_rests_on() {
    let id = "id-logged";
    let fleet = answer_of_a_held_up_entry(id, replace_the_gate).fleet;
    // Lines are written behind the answer.
    fleet.wait("both lines", |fleet| {
        let written = |node, message| field_of_line(&fleet.log(node), message, id, "answer");
        written(ENTRY, "hop fenced").is_some() && written(GATE, "fence answered").is_some()
    });
    let (entry, gate) = (fleet.log(ENTRY), fleet.log(GATE));
    let at_entry = |field| field_of_line(&entry, "hop fenced", id, field);
    let at_gate = |field| field_of_line(&gate, "fence answered", id, field);
    let number = |field: Option<String>| -> u64 { field.unwrap().parse().unwrap() };
    assert_eq!(at_entry("answer").as_deref(), Some("never-starts"));
    assert_eq!(at_gate("answer").as_deref(), Some("never-starts"));
    assert_eq!(at_entry("by").as_deref(), Some("node-1"));
    assert!(number(at_entry("hop_age_ms")) >= HELD_UP.as_millis() as u64);
    assert!(number(at_gate("memory_ms")) < number(at_entry("hop_age_ms")));
    assert_eq!(number(at_gate("memory_ms")), number(at_entry("memory_ms")));
    let finding = at_entry("finding").unwrap();
    let counter = format!("rampthread_fences_total{{answer=\"{finding}\"}}");
    assert_eq!(fleet.metric(ENTRY, &counter), 1);
}

#[test]
fn a_fence_without_an_answer_is_counted() {
    let after = answer_of_a_held_up_entry("id-unanswered", |fleet| fleet.kill(GATE));
    let counter = "rampthread_fences_total{answer=\"no-answer\"}";
    assert_eq!(after.fleet.metric(ENTRY, counter), 1);
}

/// What users would see: 503 for a call that runs. Order of events: the hop is lost, and
/// what answers the fence at the gate's address is not a gate that remembers the time of
/// the hop. Cause: "I don't know of it" is taken for "it never starts".
#[rstest]
#[case::younger_than_the_hop(
    "rampthread-fenced-by: node-1\r\nrampthread-fenced: never-starts\r\nrampthread-fence-memory-ms: 0\r\n"
)]
#[case::does_not_say_how_far_back_it_remembers("rampthread-fenced: never-starts\r\n")]
#[case::does_not_say_who_it_is(
    "rampthread-fenced: never-starts\r\nrampthread-fence-memory-ms: 60000\r\n"
)]
#[case::another_node(
    "rampthread-fenced-by: node-2\r\nrampthread-fenced: never-starts\r\nrampthread-fence-memory-ms: 60000\r\n"
)]
#[case::had_started(
    "rampthread-fenced-by: node-1\r\nrampthread-fenced: had-started\r\nrampthread-fence-memory-ms: 60000\r\n"
)]
#[case::cannot_tell(
    "rampthread-fenced-by: node-1\r\nrampthread-fenced: cannot-tell\r\nrampthread-fence-memory-ms: 60000\r\n"
)]
#[case::unknown_word(
    "rampthread-fenced-by: node-1\r\nrampthread-fenced: perhaps\r\nrampthread-fence-memory-ms: 60000\r\n"
)]
fn a_fence_that_proves_nothing_leaves_the_call_unknown(#[case] fence_answer: &'static str) {
    let answer = answer_after_a_fence("id-unproved", Some(fence_answer));
    assert_eq!(status_of(&answer), 502, "{answer}");
    assert!(answer.contains("rampthread-outcome: unknown"), "{answer}");
}

#[test]
fn a_fence_that_is_not_answered_leaves_the_call_unknown() {
    let answer = answer_after_a_fence("id-closed", None);
    assert_eq!(status_of(&answer), 502, "{answer}");
}

/// The caller keeps its retry: the gate that was sent the hop says that it never starts.
#[test]
fn a_call_that_its_gate_surely_did_not_start_is_refused_as_not_run() {
    let known = "rampthread-fenced-by: node-1\r\nrampthread-fenced: never-starts\r\n\
                 rampthread-fence-memory-ms: 60000\r\n";
    let answer = answer_after_a_fence("id-known", Some(known));
    assert_eq!(status_of(&answer), 503, "{answer}");
    assert!(answer.contains("rampthread-outcome: not-run"), "{answer}");
    assert!(answer.contains("retry-after"), "{answer}");
}

/// The same where nobody listens at the gate's address.
#[test]
fn a_call_whose_gate_refuses_the_connection_is_refused_as_not_run() {
    let mut fleet = fleet_with_one_back_end();
    fleet.kill(GATE);
    let answer = fleet.call(ENTRY, &buy("id-refused"));
    println!("id-refused: {}", status_of(&answer));
    assert_eq!(status_of(&answer), 503, "{answer}");
    assert!(answer.contains("rampthread-outcome: not-run"), "{answer}");
    assert!(fleet.seen("id-refused").is_empty());
}

/// What users would see: 408 for a request that may have run, or 200 for one that no back
/// end has answered. Order of events: what stands at the gate's address, a proxy or the
/// gate's own listener, answers the hop by itself and names no outcome. Cause: the outcome
/// was taken for unknown, and the status, which says more, was passed on.
#[rstest]
#[case("HTTP/1.1 408 Request Timeout\r\n")]
#[case("HTTP/1.1 421 Misdirected Request\r\n")]
#[case("HTTP/1.1 429 Too Many Requests\r\n")]
#[case("HTTP/1.1 503 Service Unavailable\r\n")]
#[case("HTTP/1.1 200 OK\r\n")]
#[case("HTTP/1.1 404 Not Found\r\n")]
fn an_answer_that_names_no_outcome_promises_nothing(#[case] hop: &'static str) {
    let answers = Answers {
        hop: Some(hop),
        fence: None,
    };
    let answer =
        answer_through_a_stand_in("id-no-outcome", answers, |stand_in| stand_in.hops() > 0);
    assert_eq!(status_of(&answer), 502, "{answer}");
    assert!(answer.contains("rampthread-outcome: unknown"), "{answer}");
}

/// What an entry relies on: the gate names itself, and its memory begins with its process.
#[test]
fn a_gate_says_who_it_is_and_how_far_back_it_remembers() {
    const QUESTION: &str = "POST /rampthread/fence HTTP/1.1\r\nhost: gate\r\n\
                            rampthread-call-id: id-asked~1\r\nconnection: close\r\n\r\n";
    let mut fleet = fleet_with_one_back_end();
    let memory = |answer: &str| -> u128 {
        assert!(answer.contains("rampthread-fenced-by: node-1"), "{answer}");
        assert!(
            answer.contains("rampthread-fenced: never-starts"),
            "{answer}"
        );
        let line = answer
            .lines()
            .find_map(|line| line.strip_prefix("rampthread-fence-memory-ms: "));
        line.unwrap().parse().unwrap()
    };
    let before = memory(&fleet.ask_gate(GATE, QUESTION));
    std::thread::sleep(HELD_UP);
    let later = memory(&fleet.ask_gate(GATE, QUESTION));
    assert!(later >= before + HELD_UP.as_millis());
    let replaced = Instant::now();
    replace_the_gate(&mut fleet);
    let after = memory(&fleet.ask_gate(GATE, QUESTION));
    assert!(after <= replaced.elapsed().as_millis());
}
