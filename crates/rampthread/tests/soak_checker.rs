//! The soak's checker itself: for each promise on calls, back ends and processes one
//! history that breaks it and one that just holds, and histories that cannot be judged.

mod soak_checks;
mod soak_history;
mod soak_writing;

use rstest::rstest;
use soak_checks::Promise;
use soak_checks::budget::{ALLOWED_CALLS, DEADLINE_SLACK, MOST_BACK_ENDS};
use soak_checks::signals::allowed;
use soak_checks::summary::Summary;
use soak_history::{Answer, Arrival, History, HistoryError, ProcessChange, StoreState, What};
use soak_writing::{DEADLINE_MS, ENTRY, GATE, NODES, Writing, answer, arrival, start};

#[rstest]
#[case::run_once(&[30], vec![])]
#[case::run_twice(&[30, 900], vec![Promise::AtMostOnce])]
fn a_request_runs_once_at_most(#[case] runs: &[u64], #[case] broken: Vec<Promise>) {
    let mut writing = Writing::new();
    writing.sent(10, "id", "/buy/").answered(1_000, "id", 502);
    for ms in runs {
        writing.ran(*ms, "id");
    }
    assert_eq!(writing.broken(), broken);
}

#[rstest]
fn a_refused_request_never_runs(#[values(408, 421, 429, 503)] status: u16) {
    let refused = |prefix| {
        let mut writing = Writing::new();
        writing
            .sent(10, "id", prefix)
            .answered(100, "id", status)
            .ran(4_000, "id");
        writing.broken()
    };
    assert_eq!(refused("/buy/"), [Promise::TruthfulRefusal]);
    // One that may be repeated may have run at another back end.
    assert_eq!(refused("/look/"), []);
}

#[rstest]
#[case::its_own(|_: &mut Answer| {}, vec![])]
#[case::of_another(|answer: &mut Answer| answer.names = Some("other".into()), vec![Promise::OwnWholeAnswer])]
#[case::of_nobody(|answer: &mut Answer| answer.names = None, vec![Promise::OwnWholeAnswer])]
#[case::cut_short(|answer: &mut Answer| answer.body.truncate(3), vec![Promise::OwnWholeAnswer])]
#[case::not_signed(|answer: &mut Answer| answer.signed = false, vec![Promise::OwnWholeAnswer])]
#[case::a_failure_of_a_node(|answer: &mut Answer| { answer.status = 502; answer.signed = false; }, vec![])]
fn an_answer_is_whole_and_its_own(#[case] change: fn(&mut Answer), #[case] broken: Vec<Promise>) {
    let mut answer = answer("id", 200);
    change(&mut answer);
    let call = "id".to_string();
    let mut writing = Writing::new();
    writing.sent(10, "id", "/look/");
    writing.at(20, What::Answered { call, answer });
    assert_eq!(writing.broken(), broken);
}

#[rstest]
#[case::as_sent(|_: &mut Arrival| {}, vec![])]
#[case::of_nobody(|arrival: &mut Arrival| arrival.call = "other".into(), vec![Promise::UnchangedRequest])]
#[case::another_body(|arrival: &mut Arrival| arrival.body_bytes = 1, vec![Promise::UnchangedRequest])]
#[case::another_caller(|arrival: &mut Arrival| arrival.caller_service = Some("till".into()), vec![Promise::UnchangedRequest])]
#[case::turned_away(|arrival: &mut Arrival| { arrival.ran = false; arrival.body_bytes = 1; }, vec![])]
fn back_ends_run_what_was_sent(#[case] change: fn(&mut Arrival), #[case] broken: Vec<Promise>) {
    let mut arrival = arrival("id");
    change(&mut arrival);
    let mut writing = Writing::new();
    writing.sent(10, "id", "/look/");
    writing.at(20, What::Arrived(arrival));
    assert_eq!(writing.broken(), broken);
}

/// Calls, each of which runs at this many back ends.
fn running_at(calls: u64, back_ends: usize) -> Vec<Promise> {
    let mut writing = Writing::new();
    for number in 0..calls {
        let (ms, id) = (number * 10, format!("id-{number}"));
        writing.sent(ms, &id, "/look/");
        for node in 0..back_ends {
            let mut arrival = arrival(&id);
            arrival.node = node;
            writing.at(ms + 1, What::Arrived(arrival));
        }
    }
    writing.broken()
}

#[test]
fn few_calls_run_at_more_back_ends_than_allowed() {
    assert_eq!(running_at(10, MOST_BACK_ENDS), []);
    let allowed = ALLOWED_CALLS as u64;
    assert_eq!(running_at(allowed, MOST_BACK_ENDS + 1), []);
    let broken = [Promise::Budget];
    assert_eq!(running_at(allowed + 1, MOST_BACK_ENDS + 1), broken);
}

/// 100 arrivals, of which some are given this time.
fn given(late: u64, deadline_ms: Option<u64>) -> Vec<Promise> {
    let mut writing = Writing::new();
    for number in 0..100 {
        let (ms, id) = (number * 10, format!("id-{number}"));
        let mut arrival = arrival(&id);
        if number < late {
            arrival.deadline_ms = deadline_ms;
        }
        writing
            .sent(ms, &id, "/look/")
            .at(ms + 5, What::Arrived(arrival))
            .answered(ms + 9, &id, 200);
    }
    writing.broken()
}

#[test]
fn back_ends_are_given_no_more_time_than_callers_have() {
    let most = DEADLINE_MS + DEADLINE_SLACK.as_millis() as u64 - 5;
    assert_eq!(given(100, Some(most)), []);
    assert_eq!(given(20, Some(most + 1)), []);
    assert_eq!(given(21, Some(most + 1)), [Promise::Budget]);
    assert_eq!(given(21, None), [Promise::Budget]);
}

/// A drain is acknowledged at 5 s; a request arrives at the back end at some time.
fn arrives_at(ms: u64, more: impl FnOnce(&mut Writing)) -> Vec<Promise> {
    let mut writing = Writing::new();
    let present = arrival("id").start;
    writing.at(5_000, What::DrainAcknowledged(present));
    writing.sent(ms - 5, "id", "/look/").ran(ms, "id");
    more(&mut writing);
    writing.broken()
}

#[test]
fn the_next_start_under_an_id_that_left_gets_work() {
    let mut writing = Writing::new();
    writing.at(5_000, What::DrainAcknowledged(start(999)));
    writing.sent(8_000, "id", "/look/").ran(8_005, "id");
    assert_eq!(writing.broken(), []);
}

#[test]
fn nothing_arrives_late_at_a_back_end_that_leaves() {
    assert_eq!(arrives_at(7_000, |_| {}), []);
    assert_eq!(arrives_at(7_001, |_| {}), [Promise::Drain]);
    let store_disturbed = arrives_at(7_001, |writing| {
        writing.at(6_000, What::Store(StoreState::Forgot));
    });
    assert_eq!(store_disturbed, [Promise::Drain]);
    let out_of_touch = arrives_at(7_001, |writing| {
        writing.process(6_000, ENTRY, ProcessChange::Held).process(
            6_500,
            ENTRY,
            ProcessChange::Continued,
        );
    });
    assert_eq!(out_of_touch, []);
}

/// Calls at this many milliseconds; the answers say what `says` puts into them.
fn told(calls: &[u64], says: fn(&mut Answer), more: impl FnOnce(&mut Writing)) -> Vec<Promise> {
    let mut writing = Writing::new();
    let start = start(1_000);
    let milli_per_second = Some(TOLD_LIMIT);
    writing.at(
        0,
        What::LimitNamed {
            start,
            milli_per_second,
        },
    );
    for ms in calls {
        let id = format!("id-{ms}");
        let mut answer = answer(&id, 200);
        says(&mut answer);
        writing.sent(*ms, &id, "/look/").ran(*ms, &id);
        writing.at(ms + 5, What::Answered { call: id, answer });
    }
    more(&mut writing);
    writing.broken()
}

/// A limit in requests in 1000 s.
const TOLD_LIMIT: u32 = 2_000;

#[test]
fn a_back_end_gets_no_more_than_the_limit_it_named() {
    let names_limit: fn(&mut Answer) = |answer| answer.limit = Some("2".into());
    let first = [10];
    let calls = |count: u64| -> Vec<u64> {
        let later = (0..count).map(|number| 5_000 + number * 100);
        first.into_iter().chain(later).collect()
    };
    let allowed = allowed(TOLD_LIMIT) as u64;
    assert_eq!(told(&calls(allowed), names_limit, |_| {}), []);
    let too_many = calls(allowed + 1);
    assert_eq!(told(&too_many, names_limit, |_| {}), [Promise::LimitKept]);
    // Who was told and starts again knows nothing of it.
    let restarted = |writing: &mut Writing| {
        writing.process(4_000, ENTRY, ProcessChange::Killed);
        writing.process(4_900, ENTRY, ProcessChange::Started);
    };
    assert!(!told(&calls(10), names_limit, restarted).contains(&Promise::LimitKept));
    // Nobody was told.
    assert_eq!(told(&too_many, |_| {}, |_| {}), []);
}

#[test]
fn a_back_end_that_said_it_leaves_gets_nothing_from_whom_it_told() {
    let says_leaving: fn(&mut Answer) = |answer| answer.leaving = true;
    assert_eq!(told(&[10, 2_010], says_leaving, |_| {}), []);
    assert_eq!(
        told(&[10, 2_020], says_leaving, |_| {}),
        [Promise::LeavingHeard]
    );
    let held_up = |writing: &mut Writing| {
        writing.process(500, ENTRY, ProcessChange::Held);
        writing.process(600, ENTRY, ProcessChange::Continued);
    };
    assert_eq!(told(&[10, 2_020], says_leaving, held_up), []);
}

/// Runs of the crashing request, at these times.
fn crashing_at(times: impl Iterator<Item = u64>) -> Vec<Promise> {
    let mut writing = Writing::new();
    for ms in times {
        let id = format!("crashing-{ms}");
        writing.sent(ms, &id, "/look/").ran(ms, &id);
    }
    writing.broken()
}

#[test]
fn a_crashing_request_is_stopped() {
    let most = 2 * NODES as u64 + 1;
    assert_eq!(crashing_at((0..most).map(|number| number * 10)), []);
    let more = crashing_at((0..most + 1).map(|number| number * 10));
    assert_eq!(more, [Promise::CrashingRequest]);
    // The third run ends its back end 30 ms after it began, 3 s of contact later the
    // bound holds.
    let late = |count: u64| crashing_at([0, 1, 2].into_iter().chain(3_033..3_033 + count));
    assert_eq!(late(3), []);
    assert_eq!(late(4), [Promise::CrashingRequest]);
}

/// Four late runs of the crashing request, after some nodes were killed.
fn late_crashing_runs_after_kills(killed: &[usize]) -> Vec<Promise> {
    let mut writing = Writing::new();
    for node in killed {
        writing.process(3_500, *node, ProcessChange::Killed);
        writing.process(3_600, *node, ProcessChange::Started);
    }
    for ms in [0, 1, 2, 4_000, 4_001, 4_002, 4_003] {
        let id = format!("crashing-{ms}");
        writing.sent(ms, &id, "/look/").ran(ms, &id);
    }
    writing.broken()
}

#[test]
fn late_sends_of_a_crashing_request_count_unless_most_nodes_lost_their_memory() {
    let broken = [Promise::CrashingRequest];
    assert_eq!(late_crashing_runs_after_kills(&[ENTRY, GATE]), broken);
    assert_eq!(late_crashing_runs_after_kills(&[ENTRY, GATE, 2]), []);
    assert_eq!(late_crashing_runs_after_kills(&[2, 2, 3, 3]), broken);
}

/// A planned stop at 1 s that ends at some time with some code.
#[rstest]
#[case::in_time(7_000, Some(0), vec![])]
#[case::late(7_600, Some(0), vec![Promise::PlannedStop])]
#[case::with_a_failure(2_000, Some(1), vec![Promise::PlannedStop])]
#[case::by_a_signal(2_000, None, vec![Promise::PlannedStop])]
fn planned_stops_end_with_0_in_time(
    #[case] ms: u64,
    #[case] code: Option<i32>,
    #[case] broken: Vec<Promise>,
) {
    let mut writing = Writing::new();
    writing
        .process(1_000, ENTRY, ProcessChange::Terminated)
        .process(ms, ENTRY, ProcessChange::Ended { code });
    assert_eq!(writing.broken(), broken);
}

#[test]
fn a_stop_that_is_held_up_may_end_as_much_later() {
    let mut writing = Writing::new();
    writing
        .process(1_000, ENTRY, ProcessChange::Terminated)
        .process(2_000, ENTRY, ProcessChange::Held)
        .process(3_000, ENTRY, ProcessChange::Continued)
        .process(8_000, ENTRY, ProcessChange::Ended { code: Some(0) });
    assert_eq!(writing.broken(), []);
}

#[test]
fn a_stop_that_never_ends_is_found() {
    let mut writing = Writing::new();
    writing.process(1_000, ENTRY, ProcessChange::Terminated);
    assert_eq!(writing.broken(), [Promise::PlannedStop]);
    writing.process(2_000, ENTRY, ProcessChange::Killed);
    assert_eq!(writing.broken(), []);
}

#[test]
fn no_process_ends_by_itself() {
    let code = Some(0);
    let mut writing = Writing::new();
    writing.process(1_000, ENTRY, ProcessChange::Ended { code });
    assert_eq!(writing.broken(), [Promise::NoOwnEnd]);
}

#[rstest]
#[case::once(&[5_100], vec![])]
#[case::early(&[4_000, 4_500], vec![])]
#[case::twice_late(&[5_100, 5_600], vec![Promise::Readiness])]
fn a_node_that_stops_is_not_ready(#[case] times: &[u64], #[case] broken: Vec<Promise>) {
    let mut writing = Writing::new();
    writing.process(1_000, ENTRY, ProcessChange::Terminated);
    for ms in times {
        writing.ready(*ms, 200);
    }
    writing.process(6_000, ENTRY, ProcessChange::Ended { code: Some(0) });
    assert_eq!(writing.broken(), broken);
}

#[rstest]
#[case::an_eighth(2, vec![])]
#[case::more(3, vec![Promise::Readiness])]
fn nodes_in_touch_are_ready(#[case] unready: u64, #[case] broken: Vec<Promise>) {
    let mut writing = Writing::new();
    for number in 0..16 {
        let status = if number < unready { 503 } else { 200 };
        writing.ready(1_000 + number, status);
    }
    assert_eq!(writing.broken(), broken);
}

#[rstest]
#[case::more_than_a_quarter(26, vec![])]
#[case::a_quarter(25, vec![Promise::Service, Promise::Service])]
fn a_quarter_of_the_calls_is_served(#[case] served: u64, #[case] broken: Vec<Promise>) {
    let mut writing = Writing::new();
    for number in 0..100 {
        let status = if number < served { 200 } else { 503 };
        writing.call(4_000 + number, "/look/", status);
    }
    assert_eq!(writing.broken(), broken);
}

#[test]
fn after_the_last_fault_calls_are_served_again() {
    let served_after = |status| {
        let mut writing = Writing::new();
        for number in 0..100 {
            writing.call(100 + number, "/look/", 200);
        }
        writing.process(1_000, GATE, ProcessChange::Held);
        writing.process(2_000, GATE, ProcessChange::Continued);
        for number in 0..25 {
            writing.call(5_001 + number, "/look/", status);
        }
        writing.broken()
    };
    assert_eq!(served_after(200), []);
    assert_eq!(served_after(503), [Promise::Service]);
}

#[test]
fn a_history_is_read_as_it_was_written() {
    let mut writing = Writing::new();
    writing.call(10, "/look/", 200);
    writing.ran(15, "id").ready(20, 200);
    writing.process(30, GATE, ProcessChange::Ended { code: Some(1) });
    let history = writing.finish();
    assert_eq!(History::from_lines(&history.to_lines()), Ok(history));
}

#[test]
fn a_history_that_cannot_be_judged_is_refused_with_its_place() {
    let mut writing = Writing::new();
    writing.call(10, "/look/", 200);
    let text = writing.finish().to_lines();
    let lines: Vec<&str> = text.lines().collect();
    let read = |lines: &[&str]| History::from_lines(&lines.join("\n")).unwrap_err();
    let last = lines.len() - 1;
    assert_eq!(read(&lines[..last]), HistoryError::CutShort { line: last });
    assert_eq!(read(&lines[1..]), HistoryError::NoBegin);
    assert_eq!(read(&[]), HistoryError::NoBegin);
    let mut swapped = lines.clone();
    swapped.swap(last - 2, last - 1);
    assert_eq!(read(&swapped), HistoryError::Order { line: last });
    let half = &lines[2][..lines[2].len() / 2];
    let torn = [&lines[..2], &[half], &lines[3..]].concat();
    assert!(matches!(read(&torn), HistoryError::Line { line: 3, .. }));
    let other = text.replace("\"node\":0", "\"node\":9");
    let node = HistoryError::Node {
        line: 4,
        node: 9,
        nodes: NODES,
    };
    assert_eq!(History::from_lines(&other), Err(node));
}

#[test]
fn a_summary_tells_how_much_there_was_to_judge() {
    let mut writing = Writing::new();
    writing
        .call(10, "/look/", 200)
        .call(20, "/buy/", 503)
        .call(30, "/look/", 502)
        .call(40, "/v1/", 200)
        .sent(50, "id", "/look/");
    writing
        .process(60, ENTRY, ProcessChange::Held)
        .call(70, "/v1/", 200);
    let summary = Summary::new(&writing.finish());
    let told = "6 calls: 3 served, 1 refused, 1 answered otherwise, 1 not answered; \
                1 of 2 questions about versions in touch";
    assert_eq!(summary.to_string(), told);
    assert!(!summary.tells_enough());
    for number in 0..75 {
        writing.call(100 + number, "/look/", 200);
    }
    assert!(Summary::new(&writing.finish()).tells_enough());
}
