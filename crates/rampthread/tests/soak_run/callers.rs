//! The callers of a soak: single calls, large bodies, long work, pipelines, and
//! connections that are used until they end.

use super::client::{Connection, Request, call, note_end};
use crate::platform_support::PlatformFleet;
use crate::soak_checks::CRASHING;
use crate::soak_history::recorder::Recorder;
use crate::soak_history::{Call, What};
use crate::soak_schedule::Schedule;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::Scope;
use std::time::{Duration, Instant};

/// Ids of calls whose work takes long begin so.
pub const LONG: &str = "long-";
/// Threads that send ordinary calls.
const ORDINARY_CALLERS: u64 = 3;
/// Threads a node that send calls with long work, each at any node: fewer than half of
/// the slots beside a node, and enough that most gates work on one of each entry.
const LONG_CALLERS: usize = 3;
/// Most of them in all.
const MOST_LONG_CALLERS: usize = 40;
/// Part of the ordinary callers' turns that are pipelines.
const PIPELINE_SHARE: f64 = 0.2;
/// Requests of a pipeline.
const PIPELINE: usize = 4;
/// Part of the calls that may not run twice that have a large body.
const LARGE_BODY_SHARE: f64 = 0.3;
/// Its length: more than the 16 KiB from which on a gate is asked first.
const LARGE_BODY: usize = 60_000;
/// Part of the long calls that may run once only.
const LONG_ONCE_SHARE: f64 = 0.8;
/// Time that callers give ordinary calls, and long ones.
const DEADLINE_MS: u64 = 1_200;
const LONG_DEADLINE_MS: u64 = 4_000;
/// Pauses between two calls, and between the beginnings of two long ones.
const PAUSE: Duration = Duration::from_millis(10);
const LONG_TURN: Duration = Duration::from_millis(500);
const CRASHING_PAUSE: Duration = Duration::from_millis(200);
const NO_CONNECTION_PAUSE: Duration = Duration::from_millis(20);

/// Where calls go, and where they are taken down.
#[derive(Clone)]
pub struct Targets {
    pub callers: Vec<SocketAddr>,
    pub recorder: Recorder,
}

impl Targets {
    pub fn new(fleet: &PlatformFleet, recorder: &Recorder) -> Self {
        Self {
            callers: fleet.callers(),
            recorder: recorder.clone(),
        }
    }

    /// A call of a route that every version has.
    fn call(&self, node: usize, id: String, prefix: &str, body_bytes: usize) -> Call {
        Call {
            id,
            node,
            once: prefix == "/buy/",
            prefix: prefix.to_string(),
            body_bytes,
            deadline_ms: DEADLINE_MS,
        }
    }

    fn send(&self, call_sent: Call, path: &str) {
        let target = self.callers[call_sent.node];
        call(&self.recorder, target, Request::new(call_sent, path));
    }
}

/// Starts them all; they end soon after `stop`.
pub fn start<'scope, 'env: 'scope>(
    scope: &'scope Scope<'scope, 'env>,
    targets: &'env Targets,
    schedule: &'env Schedule,
    stop: &'env AtomicBool,
) {
    let rng = move |kind: u64| StdRng::seed_from_u64(schedule.seed ^ (kind << 32));
    for caller in 0..ORDINARY_CALLERS {
        scope.spawn(move || call_ordinarily(targets, caller, rng(1 + caller), stop));
    }
    let long_callers = (LONG_CALLERS * schedule.nodes).min(MOST_LONG_CALLERS) as u64;
    for caller in 0..long_callers {
        scope.spawn(move || call_long(targets, caller, rng(100 + caller), stop));
    }
    scope.spawn(move || keep_using_connections(targets, rng(20), stop));
    if schedule.crashing_request {
        scope.spawn(move || call_crashing(targets, rng(21), stop));
    }
}

fn call_ordinarily(targets: &Targets, caller: u64, mut rng: StdRng, stop: &AtomicBool) {
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let id = format!("call-{caller}-{number}");
        let node = rng.random_range(0..targets.callers.len());
        if rng.random_bool(PIPELINE_SHARE) {
            send_pipeline(targets, node, &id);
        } else if rng.random_bool(0.5) {
            let large = rng.random_bool(LARGE_BODY_SHARE);
            let body_bytes = if large { LARGE_BODY } else { 0 };
            let call = targets.call(node, id, "/buy/", body_bytes);
            targets.send(call, "/buy/1");
        } else {
            let call = targets.call(node, id, "/look/", 0);
            targets.send(call, "/look/1");
        }
        std::thread::sleep(PAUSE);
    }
}

fn call_long(targets: &Targets, caller: u64, mut rng: StdRng, stop: &AtomicBool) {
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let begun = Instant::now();
        let id = format!("{LONG}{caller}-{number}");
        let node = rng.random_range(0..targets.callers.len());
        let once = rng.random_bool(LONG_ONCE_SHARE);
        let prefix = if once { "/buy/" } else { "/look/" };
        // Each is another request: one that is under way at every crash of a back end
        // would be taken for their cause.
        let path = format!("{prefix}{id}");
        let mut call = targets.call(node, id, prefix, 0);
        call.deadline_ms = LONG_DEADLINE_MS;
        targets.send(call, &path);
        std::thread::sleep(LONG_TURN.saturating_sub(begun.elapsed()));
    }
}

fn call_crashing(targets: &Targets, mut rng: StdRng, stop: &AtomicBool) {
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let node = rng.random_range(0..targets.callers.len());
        let id = format!("{CRASHING}{number}");
        let call = targets.call(node, id, "/look/", 0);
        targets.send(call, "/look/crashing");
        std::thread::sleep(CRASHING_PAUSE);
    }
}

/// Sends one request after the other on a connection that stays open until the node
/// ends it, or its process is gone; then on one to another node.
fn keep_using_connections(targets: &Targets, mut rng: StdRng, stop: &AtomicBool) {
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        let node = rng.random_range(0..targets.callers.len());
        let Some(mut connection) = Connection::open(targets.callers[node]) else {
            std::thread::sleep(NO_CONNECTION_PAUSE);
            continue;
        };
        loop {
            number += 1;
            let id = format!("kept-{number}");
            let call = targets.call(node, id.clone(), "/look/", 0);
            let mut request = Request::new(call, "/look/kept");
            request.last = false;
            let text = request.text();
            targets.recorder.note(What::Sent(request.call));
            let answer = connection.send(&text).and_then(|()| connection.read());
            let ended = answer.is_none();
            note_end(&targets.recorder, &id, answer);
            if ended || stop.load(Ordering::Relaxed) {
                break;
            }
            std::thread::sleep(PAUSE);
        }
    }
}

/// Sends a pipeline: the answers that come are those to its first requests, in their
/// order.
fn send_pipeline(targets: &Targets, node: usize, id: &str) {
    let id_of = |number: usize| format!("{id}-{number}");
    let mut text = String::new();
    for number in 0..PIPELINE {
        let call = targets.call(node, id_of(number), "/look/", 0);
        let mut request = Request::new(call, "/look/1");
        request.last = number + 1 == PIPELINE;
        text += &request.text();
        targets.recorder.note(What::Sent(request.call));
    }
    let mut connection = Connection::open(targets.callers[node]);
    let mut sent = connection
        .as_mut()
        .and_then(|connection| connection.send(&text));
    for number in 0..PIPELINE {
        let answer = match (&mut connection, sent) {
            (Some(connection), Some(())) => connection.read(),
            _ => None,
        };
        // Nothing behind the end of a connection is an answer.
        sent = answer.is_some().then_some(());
        note_end(&targets.recorder, &id_of(number), answer);
    }
}
