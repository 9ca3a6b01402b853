//! Plays a schedule on real processes and takes down what everybody sees.

mod callers;
mod client;
mod injector;
mod links;
mod operator;
mod probes;
mod reports;
mod store_faults;

use crate::platform_support::PlatformFleet;
use crate::soak_checks::crashes::CRASH_AFTER;
use crate::soak_checks::summary::Summary;
use crate::soak_checks::{CRASHING, Violation, check};
use crate::soak_history::recorder::Recorder;
use crate::soak_history::{Arrival, BackEndStart, History, ProcessChange, What};
use crate::soak_schedule::Schedule;
use injector::Injector;
use links::Links;
use operator::Operator;
use rampthread_adapter_standin::{CrashRule, LongWork};
use reports::Reporters;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// A back end that crashed under a request is back after this time.
const DOWN: Duration = Duration::from_millis(600);
/// Work of an ordinary call.
const WORK: Duration = Duration::from_millis(5);
/// Work of a long one: longer than most restarts of a node.
const LONG_WORK: Duration = Duration::from_millis(1_500);
/// Calm at the end: all nodes come to be in touch, a version is due, and is asked for.
const CALM: Duration = Duration::from_millis(5_500);
/// What was sent may still run for so long: the longest deadline, and a little.
const LAST_RUNS: Duration = Duration::from_millis(4_200);

/// What came of a soak.
pub struct Outcome {
    pub violations: Vec<Violation>,
    pub summary: Summary,
    /// Where its logs, history and schedule are, if they were kept.
    pub folder: Option<PathBuf>,
}

/// Plays `schedule` and judges what was seen.
pub fn soak(schedule: &Schedule) -> Outcome {
    let operator = Operator::new();
    let mut links = Links::default();
    let first = operator.first();
    let mut fleet = PlatformFleet::start_between(schedule.nodes, &first, |fleet, ips| {
        links.put_between(fleet, ips);
    });
    prepare_back_ends(&fleet, schedule);
    let recorder = Recorder::new(schedule.nodes);
    operator.note_first(&recorder);
    for node in 0..schedule.nodes {
        let change = ProcessChange::Started;
        recorder.note(What::Process { node, change });
    }
    let stop = AtomicBool::new(false);
    let targets = callers::Targets::new(&fleet, &recorder);
    std::thread::scope(|scope| {
        let reporters = Reporters::start(scope, &fleet, &recorder, &stop);
        callers::start(scope, &targets, schedule, &stop);
        probes::start(scope, &fleet, &targets, &operator, schedule.seed, &stop);
        Injector::new(&mut fleet, &mut links, &recorder, &operator, &reporters)
            .play(schedule, CALM);
        stop.store(true, Ordering::Relaxed);
    });
    std::thread::sleep(LAST_RUNS);
    note_arrivals(&fleet, &recorder);
    let history = recorder.finish();
    let violations = check(&history).unwrap();
    let folder = keep(&fleet, schedule, &history, &violations);
    Outcome {
        violations,
        summary: Summary::new(&history),
        folder,
    }
}

fn prepare_back_ends(fleet: &PlatformFleet, schedule: &Schedule) {
    for backend in &fleet.backends {
        backend.set_work(WORK);
        backend.set_long_work(LongWork {
            id_prefix: callers::LONG.to_string(),
            work: LONG_WORK,
        });
        backend.work_on_after_close(schedule.works_on);
        backend.crash_on(Some(CrashRule {
            id_prefix: CRASHING.to_string(),
            after: CRASH_AFTER,
            down: DOWN,
        }));
    }
}

fn note_arrivals(fleet: &PlatformFleet, recorder: &Recorder) {
    for (node, backend) in fleet.backends.iter().enumerate() {
        for seen in backend.seen() {
            // What names no start, or another one than it reached, is not run.
            let start = BackEndStart {
                id: seen.target.clone().unwrap_or_default(),
                born_ms: seen.born_ms,
            };
            let arrival = Arrival {
                call: seen.request_id,
                node,
                target: seen.target,
                start,
                ran: seen.ran,
                body_bytes: seen.body.len(),
                caller_service: seen.caller,
                deadline_ms: seen.deadline_ms,
            };
            recorder.note_at(seen.at, What::Arrived(arrival));
        }
    }
}

/// Keeps what explains a failure; whatever came of it, if `RAMPTHREAD_SOAK_LOGS` names a
/// folder, in one of its seed's in there.
fn keep(
    fleet: &PlatformFleet,
    schedule: &Schedule,
    history: &History,
    violations: &[Violation],
) -> Option<PathBuf> {
    let seed = schedule.seed;
    let folder = match std::env::var_os("RAMPTHREAD_SOAK_LOGS") {
        Some(named) => PathBuf::from(named).join(format!("seed-{seed}")),
        None if violations.is_empty() => return None,
        None => {
            let name = format!("rampthread-soak-{seed}-{}", std::process::id());
            std::env::temp_dir().join(name)
        }
    };
    std::fs::create_dir_all(&folder).unwrap();
    let write = |name: &str, text: String| std::fs::write(folder.join(name), text).unwrap();
    write("schedule.txt", schedule.to_string());
    write("schedule.json", schedule.to_json());
    write("history.jsonl", history.to_lines());
    let lines: String = violations.iter().map(|one| format!("{one}\n")).collect();
    write("violations.txt", lines);
    for node in 0..fleet.backends.len() {
        write(&format!("node-{node}.log"), fleet.log(node));
    }
    Some(folder)
}
