//! Request bodies of more than 8 MiB, inside `max_body_bytes`, at a machine whose own back end
//! leaves.

use crate::Verdict;
use crate::backend::Plan;
use crate::client::{Client, Request, Seen};
use crate::fleet::NodeSpec;
use crate::record::Record;
use crate::setup::{HOST, Route, document, start};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

const SERVICE: &str = "ledger";
/// One of 8 back ends leaves: share 0.125; the site has 0.13.
const NODES: usize = 8;
const SLOTS: usize = 18;
const BODY: usize = 9_000_000;
const WORK: Duration = Duration::from_millis(290);
const TIMEOUT: Duration = Duration::from_millis(2_500);
const CLIENT_DEADLINE: Duration = Duration::from_millis(5_000);
const REQUESTS: usize = 20;
/// Time for the leave to be known everywhere: `drain_ms`.
const DRAIN: Duration = Duration::from_millis(2_000);

pub fn run(record: &Record, trouble: bool) -> Verdict {
    let nodes = (0..NODES)
        .map(|_| NodeSpec {
            zone: "hall-a",
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
    let deployment = match start(record, &document, nodes, SLOTS, plan) {
        Ok(deployment) => deployment,
        Err(reason) => return Verdict::CouldNotRun(reason),
    };
    if trouble && !deployment.backends[0].drain() {
        return Verdict::CouldNotRun("the leave was not acknowledged".to_string());
    }
    std::thread::sleep(DRAIN);
    let mut client = Client::new(record, deployment.fleet.callers(0));
    let body = Arc::new(vec![b'p'; BODY]);
    let all: Vec<Seen> = (0..REQUESTS)
        .map(|count| {
            client.send(&Request {
                id: format!("c-{count:04}"),
                method: "POST",
                path: format!("/upload/{count}"),
                host: HOST,
                deadline: CLIENT_DEADLINE,
                body: body.clone(),
            })
        })
        .collect();
    let mut statuses: BTreeMap<u16, u32> = BTreeMap::new();
    all.iter()
        .for_each(|seen| *statuses.entry(seen.status).or_default() += 1);
    let denied = |seen: &&Seen| {
        (300..500).contains(&seen.status) && ![408, 421, 429].contains(&seen.status) && !seen.signed
    };
    let denied = all.iter().filter(denied).count();
    record.tell(format!(
        "{REQUESTS} requests, answers by status (0: none): {statuses:?}"
    ));
    match denied > 5 + REQUESTS / 500 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
