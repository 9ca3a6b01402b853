//! Back ends that fall silent one after the other while they send answers of more than 1 MiB,
//! and come back.

use crate::Verdict;
use crate::backend::{Pace, Plan};
use crate::client::{Client, Request, Seen};
use crate::fleet::NodeSpec;
use crate::record::Record;
use crate::setup::{HOST, Route, document, start};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const SERVICE: &str = "glyphstore";
/// One of 8 back ends falls silent at a time: share 0.125; a site file has 0.14.
const NODES: usize = 8;
const SLOTS: usize = 18;
/// A large font file, somewhat above 1 MiB.
const ANSWER: usize = 1_300_000;
const WORK: Duration = Duration::from_millis(1_000);
const TIMEOUT: Duration = Duration::from_millis(5_000);
const CLIENT_DEADLINE: Duration = Duration::from_millis(10_000);
/// Clients at each node, each with one request at a time.
const CLIENTS: usize = 18;
const QUIET: Duration = Duration::from_secs(4);
/// `for_s` of `srv_crash` in a site file, and the time from one crash to the next.
const DOWN: Duration = Duration::from_millis(4_500);
const GAP: Duration = Duration::from_secs(6);
/// `recovery_s`
const RECOVERY: Duration = Duration::from_secs(15);
const AFTER: Duration = Duration::from_secs(6);
/// Shortest pause of a client after a failure.
const PAUSE: Duration = Duration::from_millis(100);

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let zones = ["hall-a", "hall-b", "hall-c", "hall-d"];
    let nodes = (0..NODES)
        .map(|index| NodeSpec {
            zone: zones[index % zones.len()],
            service: SERVICE.to_string(),
        })
        .collect();
    let route = Route {
        name: "r-specimen",
        prefix: "/specimen/",
        kind: "safe",
        service: SERVICE,
        timeout_ms: TIMEOUT.as_millis() as u64,
    };
    let document = document(1, &[SERVICE], &[route]);
    let plan = |_: &crate::wire::Head, _: usize| Plan {
        work: WORK,
        bytes: ANSWER,
        pace: Pace::Evenly,
    };
    let deployment = match start(record, &document, nodes, SLOTS, plan) {
        Ok(deployment) => deployment,
        Err(reason) => return Verdict::CouldNotRun(reason),
    };
    let all: Arc<Mutex<Vec<Seen>>> = Arc::default();
    let begin = Instant::now();
    let last_crash = begin + QUIET + GAP * (NODES as u32 - 1);
    let recovered = last_crash + DOWN + RECOVERY;
    let end = recovered + AFTER;
    let clients: Vec<_> = (0..NODES * CLIENTS)
        .map(|number| {
            let address = deployment.fleet.callers(number % NODES);
            let (record, all) = (record.clone(), all.clone());
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(number as u64 * 8));
                let mut client = Client::new(&record, address);
                for count in 0.. {
                    if Instant::now() >= end {
                        return;
                    }
                    let seen = client.send(&Request {
                        id: format!("c{number:03}-{count:04}"),
                        method: "GET",
                        path: format!("/specimen/{number}/{count}"),
                        host: HOST,
                        deadline: CLIENT_DEADLINE,
                        patience: CLIENT_DEADLINE,
                        body: Arc::default(),
                    });
                    let failed = !(seen.whole && seen.status == 200);
                    let pause = seen.retry_after.max(PAUSE);
                    all.lock().unwrap().push(seen);
                    if failed {
                        std::thread::sleep(pause);
                    }
                }
            })
        })
        .collect();
    if trouble {
        for (index, backend) in deployment.backends.iter().enumerate() {
            wait_until(begin + QUIET + GAP * index as u32);
            backend.go_dark();
            wait_until(begin + QUIET + GAP * index as u32 + DOWN);
            backend.start_again();
        }
    }
    for client in clients {
        let _ = client.join();
    }
    for (index, backend) in deployment.backends.iter().enumerate() {
        let held = deployment.fleet.metric(index, "rampthread_gate_running");
        record.tell(format!(
            "node {index} counts {held:?} running requests, its back end {}",
            backend.running()
        ));
    }
    let all = all.lock().unwrap();
    let served = |from: Instant, until: Instant| {
        let sent: Vec<&Seen> = all
            .iter()
            .filter(|seen| seen.sent_at >= from && seen.sent_at < until)
            .collect();
        let served = sent.iter().filter(|seen| seen.whole && seen.status == 200);
        (served.count(), sent.len())
    };
    let (before, sent_before) = served(begin, last_crash);
    let (after, sent_after) = served(recovered, end);
    record.tell(format!(
        "before the last crash {before} of {sent_before} requests were served; of those sent more \
         than {} s after all back ends are back, {after} of {sent_after}",
        RECOVERY.as_secs()
    ));
    if before * 4 < sent_before || sent_after == 0 {
        return Verdict::CouldNotRun("too few requests were served before the end".to_string());
    }
    match after * 4 < sent_after {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

fn wait_until(due: Instant) {
    std::thread::sleep(due.saturating_duration_since(Instant::now()));
}
