//! Case 3: the back end beside the clients crashes, and their requests with long bodies have to
//! go to other machines.

use crate::cases::{Fleet, document};
use crate::client::{Clients, Sends};
use crate::record::Record;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// Size of a request's body; `max_body_bytes` of the configuration is 64 MiB.
const BYTES: usize = 10 << 20;
const CLIENTS: usize = 2;
const WORK: Duration = Duration::from_millis(120);
/// Time that the back end is away; the site's sheet has 4.5 s.
const DOWN: Duration = Duration::from_millis(4_500);
/// The crash comes later than `contact_ms` after everything has started.
const BEFORE: Duration = Duration::from_secs(6);

pub fn run(folder: &str, record: &Arc<Record>, trouble: bool) -> std::io::Result<i32> {
    let services = ["order-desk"; 3];
    let document = document(2_500, "unsafe", &["order-desk"]);
    let fleet = Fleet::start(folder, &services, 9, WORK, &document, record)?;
    let clients = Clients::new(record.clone());
    let stop = Arc::new(AtomicBool::new(false));
    let sends = Sends {
        machine: 0,
        outbound: fleet.nodes[0].outbound,
        path: "/order-desk/sale",
        bytes: BYTES,
        deadline_ms: 5_000,
        period: Duration::from_millis(50),
        first: Duration::ZERO,
    };
    let running: Vec<_> = (0..CLIENTS)
        .map(|_| clients.start(sends.clone(), stop.clone()))
        .collect();
    thread::sleep(BEFORE);
    if trouble {
        fleet.backends[0].crash(DOWN);
    }
    thread::sleep(DOWN + Duration::from_secs(4));
    stop.store(true, Ordering::Relaxed);
    for one in running {
        let _ = one.join();
    }
    let ended = clients.ended.lock().unwrap();
    let mut counts = std::collections::BTreeMap::new();
    for one in ended.iter() {
        *counts.entry(one.status).or_insert(0) += 1;
    }
    for (status, count) in &counts {
        record.say(format!("{count} requests ended with {status}"));
    }
    let own_refusal =
        |status: u16| (300..500).contains(&status) && ![408, 421, 429].contains(&status);
    let denied = ended
        .iter()
        .filter(|one| !one.signed && own_refusal(one.status))
        .count();
    let allowed = 5 + ended.len() / 500;
    record.say(format!(
        "{denied} of {} proper requests were denied with a 3xx or 4xx of the system's own; the rule \
         allows {allowed}",
        ended.len()
    ));
    Ok(i32::from(denied > allowed))
}
