//! Answers of more than 1 MiB whose clients leave before the end.

use crate::Verdict;
use crate::backend::Plan;
use crate::client::{Client, Request, Seen};
use crate::fleet::NodeSpec;
use crate::record::Record;
use crate::setup::{HOST, Route, document, start};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const SERVICE: &str = "glyphstore";
const NODES: usize = 4;
const SLOTS: usize = 18;
/// A large font file, somewhat above 1 MiB.
const ANSWER: usize = 1_300_000;
/// Inside the work of `specimen`: 550 ms in the mean, 3,300 ms at most.
const WORK: Duration = Duration::from_millis(2_500);
const TIMEOUT: Duration = Duration::from_millis(5_000);
const CLIENT_DEADLINE: Duration = Duration::from_millis(10_000);
/// Clients at each node, and how many of them leave: share 0.2.
const CLIENTS: usize = 10;
const LEAVING: usize = 2;
/// "leave within x ms (half the objective)": the objective of `specimen` is 1,500 ms.
const PATIENCE: Duration = Duration::from_millis(600);
const QUIET: Duration = Duration::from_secs(6);
/// `give_up`, for 5.5 s.
const GIVE_UP: Duration = Duration::from_millis(5_500);
const AFTER: Duration = Duration::from_secs(3);
/// "half a second later, backends still work on more than a quarter"
const SLACK: Duration = Duration::from_millis(500);

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let zones = ["hall-a", "hall-b", "hall-c", "hall-d"];
    let nodes = zones
        .into_iter()
        .take(NODES)
        .map(|zone| NodeSpec {
            zone,
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
        pace: crate::backend::Pace::HalfAtOnce,
    };
    let deployment = match start(record, &document, nodes, SLOTS, plan) {
        Ok(deployment) => deployment,
        Err(reason) => return Verdict::CouldNotRun(reason),
    };
    let all: Arc<Mutex<Vec<Seen>>> = Arc::default();
    let begin = Instant::now();
    let (from, until) = (begin + QUIET, begin + QUIET + GIVE_UP);
    let end = until + AFTER;
    let clients: Vec<_> = (0..NODES * CLIENTS)
        .map(|number| {
            let (node, at_node) = (number % NODES, number / NODES);
            let address = deployment.fleet.callers(node);
            let (record, all) = (record.clone(), all.clone());
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(number as u64 * 60));
                let mut client = Client::new(&record, address);
                for count in 0.. {
                    let now = Instant::now();
                    if now >= end {
                        return;
                    }
                    let leaves = trouble && at_node < LEAVING && now >= from && now < until;
                    let seen = client.send(&Request {
                        id: format!("c{number:03}-{count:04}"),
                        method: "GET",
                        path: format!("/specimen/{number}/{count}"),
                        host: HOST,
                        deadline: CLIENT_DEADLINE,
                        patience: if leaves { PATIENCE } else { CLIENT_DEADLINE },
                        body: Arc::default(),
                    });
                    all.lock().unwrap().push(seen);
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    // Until the last work that clients have left is over.
    std::thread::sleep(WORK);
    let all = all.lock().unwrap();
    let (mut long, mut working) = (0, 0);
    for seen in all.iter().filter(|seen| seen.gave_up) {
        let left_at = seen.sent_at + seen.took;
        for run in deployment
            .backends
            .iter()
            .flat_map(|backend| backend.spans(&seen.id))
        {
            if run.begin + WORK <= left_at + SLACK {
                continue;
            }
            long += 1;
            let over = run.end.unwrap_or_else(Instant::now);
            let works = over > left_at + SLACK;
            working += usize::from(works);
            let after = over.saturating_duration_since(left_at).as_millis();
            record.note(format!(
                "{} was left by its client; its back end worked for {after} ms after that",
                seen.id
            ));
        }
    }
    let whole = all
        .iter()
        .filter(|seen| seen.whole && seen.status == 200)
        .count();
    let gave_up = all.iter().filter(|seen| seen.gave_up).count();
    record.tell(format!(
        "{} requests, {whole} served whole, {gave_up} left by their clients; {long} of these would \
         have lasted half a second longer, and back ends still worked on {working} then",
        all.len()
    ));
    if whole == 0 {
        return Verdict::CouldNotRun("no request was served".to_string());
    }
    match working * 4 > long {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
