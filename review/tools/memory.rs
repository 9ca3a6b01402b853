//! Case 1: more clients than usual upload at once, each within the limits of the configuration.

use crate::cases::{Fleet, document};
use crate::client::{Clients, Sends};
use crate::record::Record;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// `memory_mb` of the site, in binary units.
const MEMORY: u64 = 220 << 20;
/// Size of an upload; `max_body_bytes` of the configuration is 64 MiB.
const UPLOAD: usize = 8_000_000;
/// Clients that upload at each of two machines, usually and in a burst of 1.7 times the traffic:
/// 12 uploads in 3 s, and 19 or 20. Those of the burst come at once, and send one each.
const USUAL: usize = 14;
const IN_BURST: usize = 21;
/// Time from one upload of a client to its next, and from one usual client's to another's.
const PERIOD: Duration = Duration::from_millis(3_500);
const APART: Duration = Duration::from_millis(250);
/// Clients with small requests at each of the two machines.
const SMALL: usize = 4;
const BURSTS: u32 = 3;
const BURST: Duration = Duration::from_secs(3);
const BETWEEN: Duration = Duration::from_secs(9);
const WORK: Duration = Duration::from_millis(500);

pub fn run(folder: &str, record: &Arc<Record>, trouble: bool) -> std::io::Result<i32> {
    let services = ["yard-board"; 4];
    let document = document(2_500, "unsafe", &["yard-board"]);
    let fleet = Fleet::start(folder, &services, 9, WORK, &document, record)?;
    let peaks: Vec<Arc<Mutex<u64>>> = fleet.nodes.iter().map(|_| Arc::default()).collect();
    let kills: Vec<Arc<Mutex<u32>>> = fleet
        .nodes
        .iter()
        .zip(&peaks)
        .map(|(node, peak)| node.limit_memory(MEMORY, peak.clone()))
        .collect();
    let clients = Clients::new(record.clone());
    let stop = Arc::new(AtomicBool::new(false));
    let start = |machine: usize, bytes: usize, first: Duration, stop: &Arc<AtomicBool>| {
        let sends = Sends {
            machine,
            outbound: fleet.nodes[machine].outbound,
            path: "/yard-board/sale",
            bytes,
            deadline_ms: 5_000,
            period: match bytes {
                UPLOAD => PERIOD,
                _ => Duration::from_millis(20),
            },
            first,
        };
        clients.start(sends, stop.clone())
    };
    let mut running = Vec::new();
    for machine in 0..2 {
        running.extend((0..USUAL).map(|one| start(machine, UPLOAD, APART * one as u32, &stop)));
        running.extend((0..SMALL).map(|_| start(machine, 300, Duration::ZERO, &stop)));
    }
    thread::sleep(BETWEEN);
    for number in 1..=BURSTS {
        let over = Arc::new(AtomicBool::new(false));
        if trouble {
            record.say(format!("burst {number} begins"));
            for machine in 0..2 {
                running.extend(
                    (USUAL..IN_BURST).map(|_| start(machine, UPLOAD, Duration::ZERO, &over)),
                );
            }
        }
        thread::sleep(BURST);
        over.store(true, Ordering::Relaxed);
        thread::sleep(BETWEEN);
    }
    stop.store(true, Ordering::Relaxed);
    for one in running {
        let _ = one.join();
    }
    for ((node, peak), kills) in fleet.nodes.iter().zip(&peaks).zip(&kills) {
        let (peak, kills) = (*peak.lock().unwrap() >> 20, *kills.lock().unwrap());
        record.say(format!(
            "{}: at most {peak} MiB, ended {kills} times over its memory",
            node.name
        ));
    }
    let ended = clients.ended.lock().unwrap();
    let runs = fleet.runs();
    let lost: Vec<_> = ended
        .iter()
        .filter(|one| one.kept && one.sent && one.status == 0 && runs.contains(&one.id))
        .collect();
    let answered = ended.iter().filter(|one| one.status == 200).count();
    record.say(format!(
        "{} requests ended, {answered} of them with 200",
        ended.len()
    ));
    for machine in 0..2 {
        let of_machine = lost.iter().filter(|one| one.machine == machine).count();
        record.say(format!(
            "machine {}: {of_machine} requests of kept connections were run by a sound back end and \
             their connection closed without an answer; the rule allows 3",
            machine + 1
        ));
    }
    let broken = (0..2).any(|machine| lost.iter().filter(|one| one.machine == machine).count() > 3);
    Ok(i32::from(broken))
}
