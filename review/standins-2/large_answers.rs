//! Answers of more than 1 MiB while a back end falls silent.

use crate::Verdict;
use crate::backend::Plan;
use crate::client::{Client, Request, Seen};
use crate::fleet::NodeSpec;
use crate::record::Record;
use crate::setup::{HOST, Route, document, start};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const SERVICE: &str = "glyphstore";
/// One of 8 back ends falls silent: share 0.125; a site file has 0.14.
const NODES: usize = 8;
const SLOTS: usize = 18;
/// A large font file, somewhat above 1 MiB.
const ANSWER: usize = 1_300_000;
const WORK: Duration = Duration::from_millis(1_000);
const TIMEOUT: Duration = Duration::from_millis(5_000);
const CLIENT_DEADLINE: Duration = Duration::from_millis(10_000);
/// Clients at each node, each with one request at a time.
const CLIENTS: usize = 15;
const QUIET: Duration = Duration::from_secs(6);
const AFTER: Duration = Duration::from_secs(8);
const LEFT: Duration = Duration::from_secs(3);
/// "have no final answer from machines in touch 0.5 s after it"
const SLACK: Duration = Duration::from_millis(500);

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
        pace: crate::backend::Pace::Evenly,
    };
    let deployment = match start(record, &document, nodes, SLOTS, plan) {
        Ok(deployment) => deployment,
        Err(reason) => return Verdict::CouldNotRun(reason),
    };
    let all: Arc<Mutex<Vec<Seen>>> = Arc::default();
    let end = Instant::now() + QUIET + AFTER;
    let clients: Vec<_> = (0..NODES * CLIENTS)
        .map(|number| {
            let address = deployment.fleet.callers(number % NODES);
            let (record, all) = (record.clone(), all.clone());
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(number as u64 * 17));
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
                    all.lock().unwrap().push(seen);
                }
            })
        })
        .collect();
    std::thread::sleep(QUIET);
    let busiest = deployment
        .backends
        .iter()
        .max_by_key(|backend| backend.running());
    let Some(busiest) = busiest else {
        return Verdict::CouldNotRun("there is no back end".to_string());
    };
    record.tell(format!(
        "{} requests run at {}",
        busiest.running(),
        busiest.id()
    ));
    let silent = busiest.id();
    if trouble {
        busiest.go_dark();
    }
    for client in clients {
        let _ = client.join();
    }
    if trouble {
        // Not judged: what the node beside it still holds when all clients have left.
        std::thread::sleep(LEFT);
        let node = deployment
            .backends
            .iter()
            .position(|backend| backend.id() == silent);
        let held = node.and_then(|node| deployment.fleet.metric(node, "rampthread_gate_running"));
        record.tell(format!(
            "{} s after the last client has left, the node beside {silent} counts {held:?} running \
             requests",
            LEFT.as_secs()
        ));
    }
    let all = all.lock().unwrap();
    let long: Vec<&Seen> = all.iter().filter(|seen| seen.took > TIMEOUT).collect();
    let open: Vec<&&Seen> = long
        .iter()
        .filter(|seen| seen.took > TIMEOUT + SLACK)
        .collect();
    let whole = all
        .iter()
        .filter(|seen| seen.whole && seen.status == 200)
        .count();
    record.tell(format!(
        "{} requests, {whole} served; {} lasted longer than the route's timeout of {} ms; \
         {} of these had no final answer 0.5 s after it",
        all.len(),
        long.len(),
        TIMEOUT.as_millis(),
        open.len()
    ));
    for seen in &open {
        record.note(format!(
            "no final answer to {}: status {}, {} of {ANSWER} bytes, ended by its client's deadline \
             after {} ms: {}",
            seen.id, seen.status, seen.bytes, seen.took.as_millis(), seen.gave_up
        ));
    }
    if whole == 0 {
        return Verdict::CouldNotRun("no request was served".to_string());
    }
    match open.len() >= 8 && open.len() * 4 > long.len() {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
