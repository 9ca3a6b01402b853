//! Questions beside the callers: which version each node has in force, whether it is
//! ready, and whether the machine schedules the soak.

use super::callers::Targets;
use super::client::{Request, call};
use super::operator::Operator;
use crate::platform_support::{PlatformFleet, status_of};
use crate::soak_checks::version_route;
use crate::soak_history::recorder::Recorder;
use crate::soak_history::{Call, What};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::Scope;
use std::time::{Duration, Instant};

/// Pause between two questions about a node's version.
const PAUSE: Duration = Duration::from_millis(150);
/// Time that such a question gives.
const DEADLINE_MS: u64 = 1_000;
/// Part of the questions that ask for the newest version.
const NEWEST_SHARE: f64 = 0.6;
/// Pause between two questions whether a node is ready.
const READY_PAUSE: Duration = Duration::from_millis(500);
/// Time within which it must say so.
const READY_WAIT: Duration = Duration::from_millis(500);
/// Pause of the thread that looks whether it is scheduled.
const SCHEDULE_PAUSE: Duration = Duration::from_millis(10);
/// A pause that took so much longer is taken down.
const SCHEDULED_LATE: Duration = Duration::from_millis(100);

pub fn start<'scope, 'env: 'scope>(
    scope: &'scope Scope<'scope, 'env>,
    fleet: &PlatformFleet,
    targets: &'env Targets,
    operator: &'env Operator,
    seed: u64,
    stop: &'env AtomicBool,
) {
    for node in 0..targets.callers.len() {
        let rng = StdRng::seed_from_u64(seed ^ ((1_000 + node as u64) << 32));
        scope.spawn(move || ask_versions(targets, operator, node, rng, stop));
        let address = fleet.ready_address(node);
        scope.spawn(move || ask_readiness(&targets.recorder, node, address, stop));
    }
    scope.spawn(move || look_at_scheduling(&targets.recorder, stop));
}

fn ask_versions(
    targets: &Targets,
    operator: &Operator,
    node: usize,
    mut rng: StdRng,
    stop: &AtomicBool,
) {
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let version = match rng.random_bool(NEWEST_SHARE) {
            true => operator.newest(),
            false => operator.any_of_the_last(&mut rng),
        };
        let prefix = version_route(version);
        let path = format!("{prefix}1");
        let asked = Call {
            id: format!("probe-{node}-{number}"),
            node,
            once: false,
            prefix,
            body_bytes: 0,
            deadline_ms: DEADLINE_MS,
        };
        let request = Request::new(asked, &path);
        call(&targets.recorder, targets.callers[node], request);
        std::thread::sleep(PAUSE);
    }
}

fn ask_readiness(recorder: &Recorder, node: usize, address: SocketAddr, stop: &AtomicBool) {
    while !stop.load(Ordering::Relaxed) {
        let status = ready_status(address);
        recorder.note(What::Ready { node, status });
        std::thread::sleep(READY_PAUSE);
    }
}

fn ready_status(address: SocketAddr) -> Option<u16> {
    let question = "GET /v1/ready HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\r\n";
    let mut stream = TcpStream::connect_timeout(&address, READY_WAIT).ok()?;
    stream.set_read_timeout(Some(READY_WAIT)).ok()?;
    stream.write_all(question.as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    Some(status_of(&answer))
}

fn look_at_scheduling(recorder: &Recorder, stop: &AtomicBool) {
    while !stop.load(Ordering::Relaxed) {
        let begun = Instant::now();
        std::thread::sleep(SCHEDULE_PAUSE);
        let gap = begun.elapsed();
        if gap > SCHEDULE_PAUSE + SCHEDULED_LATE {
            let micros = gap.as_micros() as u64;
            recorder.note(What::NotScheduled { micros });
        }
    }
}
