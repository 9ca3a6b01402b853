//! Request bodies of some MiB, well inside `max_body_bytes`, while many users come at once.

use crate::Verdict;
use crate::backend::Plan;
use crate::client::{Client, Request, Seen};
use crate::fleet::NodeSpec;
use crate::record::Record;
use crate::setup::{HOST, Route, document, start};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const SERVICE: &str = "ledger";
const NODES: usize = 5;
const SLOTS: usize = 18;
const BODY: usize = 5_200_000;
const WORK: Duration = Duration::from_millis(290);
const TIMEOUT: Duration = Duration::from_millis(5_000);
const CLIENT_DEADLINE: Duration = Duration::from_millis(10_000);
/// Clients at each machine that send their next request when the last one was answered.
const CLIENTS: usize = 2;
/// Clients at each machine that send one request before the burst, keep their connections, and
/// send one more request, all at once, with the burst. The others send about 17 requests to each
/// machine in the 3 s of the burst, so that this is x 1.65.
const BURST_CLIENTS: usize = 11;
/// Time between the first requests of two clients of the burst.
const SPREAD: Duration = Duration::from_millis(600);
/// Pause of a client that found no node.
const PAUSE: Duration = Duration::from_millis(200);
const QUIET: Duration = Duration::from_secs(8);
/// The largest dose of the site: `burst`, x 1.7, for 3 s.
const BURST: Duration = Duration::from_secs(3);
const AFTER: Duration = Duration::from_secs(1);
/// `memory_mb` of the site bbtf-edge, counted in MiB.
const MEMORY: u64 = 260 << 20;
const RESTART: Duration = Duration::from_millis(500);
const LOOK: Duration = Duration::from_millis(10);

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let zones = ["hall-a", "hall-b", "hall-c", "hall-d"];
    let nodes = (0..NODES)
        .map(|_| NodeSpec {
            zone: zones[0],
            service: SERVICE.to_string(),
        })
        .collect();
    let route = Route {
        name: "r-upload",
        prefix: "/upload/",
        kind: "unsafe",
        service: SERVICE,
        timeout_ms: TIMEOUT.as_millis() as u64,
    };
    let document = document(1, &[SERVICE], &[route]);
    let plan = |_: &crate::wire::Head, _: usize| Plan {
        work: WORK,
        bytes: 400,
        streams: false,
    };
    let mut deployment = match start(record, &document, nodes, SLOTS, plan) {
        Ok(deployment) => deployment,
        Err(reason) => return Verdict::CouldNotRun(reason),
    };
    let all: Arc<Mutex<Vec<(usize, Seen)>>> = Arc::default();
    let body = Arc::new(vec![b'p'; BODY]);
    let begin = Instant::now();
    let (burst_at, burst_end) = (begin + QUIET, begin + QUIET + BURST);
    let end = burst_end + AFTER;
    let count = CLIENTS + BURST_CLIENTS;
    let clients: Vec<_> = (0..NODES * count)
        .map(|number| {
            let (node, at_node) = (number % NODES, number / NODES);
            let address = deployment.fleet.callers(node);
            let (record, all, body) = (record.clone(), all.clone(), body.clone());
            std::thread::spawn(move || {
                let mut client = Client::new(&record, address);
                let mut send = |count: usize| {
                    let seen = client.send(&Request {
                        id: format!("c{number:03}-{count:04}"),
                        method: "POST",
                        path: format!("/upload/{number}/{count}"),
                        host: HOST,
                        deadline: CLIENT_DEADLINE,
                        body: body.clone(),
                    });
                    let pause = if seen.status == 0 {
                        PAUSE
                    } else {
                        Duration::ZERO
                    };
                    all.lock().unwrap().push((node, seen));
                    std::thread::sleep(pause);
                };
                if at_node < CLIENTS {
                    wait_until(begin + WORK / CLIENTS as u32 * at_node as u32);
                    (0..).take_while(|_| Instant::now() < end).for_each(send);
                    return;
                }
                wait_until(begin + SPREAD * (at_node - CLIENTS) as u32);
                send(0);
                if trouble {
                    wait_until(burst_at);
                    send(1);
                }
            })
        })
        .collect();
    let mut highest = [0; NODES];
    let mut ends = [0; NODES];
    let mut restart_at = [None; NODES];
    while Instant::now() < end + TIMEOUT {
        for node in 0..NODES {
            let used = deployment.fleet.memory(node);
            if used > MEMORY {
                deployment.fleet.kill(node);
                ends[node] += 1;
                restart_at[node] = Some(Instant::now() + RESTART);
                record.tell(format!("node {node} is killed, it uses {} MiB", used >> 20));
            }
            highest[node] = highest[node].max(used >> 20);
            if restart_at[node].is_some_and(|due| Instant::now() >= due) {
                restart_at[node] = None;
                deployment.fleet.start(node);
            }
        }
        std::thread::sleep(LOOK);
    }
    for client in clients {
        let _ = client.join();
    }
    let idle: Vec<u64> = (0..NODES)
        .map(|node| deployment.fleet.memory(node) >> 20)
        .collect();
    record.tell(format!(
        "memory in MiB after 5 s without requests: {idle:?}"
    ));
    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    for backend in &deployment.backends {
        for (id, count) in backend.runs() {
            *runs.entry(id).or_default() += count;
        }
    }
    let all = all.lock().unwrap();
    let served = all
        .iter()
        .filter(|(_, seen)| seen.status == 200 && seen.whole)
        .count();
    let mut statuses: BTreeMap<u16, u32> = BTreeMap::new();
    all.iter()
        .for_each(|(_, seen)| *statuses.entry(seen.status).or_default() += 1);
    record.tell(format!(
        "{} requests, {served} served; answers by status (0: none): {statuses:?}",
        all.len()
    ));
    record.tell(format!(
        "highest memory in MiB {highest:?}, of {}; ends {ends:?}",
        MEMORY >> 20
    ));
    let mut broken = false;
    for node in 0..NODES {
        let lost = all.iter().filter(|(at, seen)| {
            *at == node
                && seen.kept
                && seen.status == 0
                && !seen.gave_up
                && runs.contains_key(&seen.id)
        });
        let lost = lost.count();
        record.tell(format!(
            "node {node}: {lost} requests of kept connections ran at a back end and got no answer"
        ));
        broken |= lost > 3;
    }
    if served == 0 {
        return Verdict::CouldNotRun("no request was served".to_string());
    }
    match broken {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

fn wait_until(due: Instant) {
    std::thread::sleep(due.saturating_duration_since(Instant::now()));
}
