//! Case 2: a back end is killed while it sends answers that have no length and end with their
//! connection.

use crate::backend::Backend;
use crate::cases::{document, head};
use crate::http::Connection;
use crate::node::{Node, Place, SIGKILL, end_with_starter, send_signal, wait};
use crate::record::Record;
use crate::store::Store;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const SERVICE: &str = "kiln-ledger";
const MACHINES: usize = 3;
const CLIENTS: usize = 4;
/// Pieces of an answer, and the time between two: 220 ms of work, as the sheet says.
pub const PIECES: usize = 11;
pub const BETWEEN: Duration = Duration::from_millis(20);
/// Time that the back end is away; the site's sheet has 4.5 s.
const DOWN: Duration = Duration::from_millis(4_500);
const BEFORE: Duration = Duration::from_secs(6);

/// One piece of the body of the answer to a request.
pub fn piece(request_id: &str, number: usize) -> String {
    format!("{request_id} line {number:2} of {PIECES}: 40 boards of oak, grade A, dry\n")
}

fn whole_body(request_id: &str) -> String {
    (1..=PIECES)
        .map(|number| piece(request_id, number))
        .collect()
}

/// The process of a back end: its address, zone, the address for its heartbeats, and the folder
/// for its record.
pub fn serve(words: &[String]) -> i32 {
    let [address, zone, reports, folder] = words else {
        return 2;
    };
    let (Ok(address), Ok(reports)) = (address.parse::<SocketAddr>(), reports.parse()) else {
        return 2;
    };
    let Ok(record) = Record::new(folder) else {
        return 2;
    };
    let record = Arc::new(record);
    let started = Backend::start_unframed(address, SERVICE, zone, reports, 9, record);
    if started.is_err() {
        return 2;
    }
    loop {
        thread::sleep(Duration::from_secs(3_600));
    }
}

struct Process {
    child: Child,
}

impl Process {
    fn start(folder: &str, address: SocketAddr, zone: &str, node: &Node) -> std::io::Result<Self> {
        std::fs::create_dir_all(folder)?;
        let mut command = Command::new(std::env::current_exe()?);
        command
            .args(["backend", &address.to_string(), zone])
            .args([&node.control.to_string(), folder])
            .stdin(Stdio::null());
        end_with_starter(&mut command);
        let child = command.spawn()?;
        Ok(Self { child })
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Ends the nodes when the case is over.
struct Nodes(Vec<Arc<Node>>);

impl Drop for Nodes {
    fn drop(&mut self) {
        for node in &self.0 {
            node.end_for_good();
        }
    }
}

pub fn run(folder: &str, record: &Arc<Record>, trouble: bool) -> std::io::Result<i32> {
    let store = Store::start()?;
    store.write("op/config", &document(1_200, "safe", &[SERVICE]));
    let zones = ["llan-a", "llan-b", "llan-c"];
    let mut nodes = Nodes(Vec::new());
    for (index, zone) in zones.iter().enumerate() {
        let place = Place {
            number: index as u8 + 1,
            zone,
            service: SERVICE,
            store: store.address,
            budget_slack: 60,
        };
        let node = Arc::new(Node::new(folder, &place, record.clone())?);
        node.start()?;
        nodes.0.push(node);
    }
    let mut addresses = Vec::new();
    let mut backends = Vec::new();
    for (index, node) in nodes.0.iter().enumerate() {
        let held = std::net::TcpListener::bind((node.ip, 0))?;
        let address = held.local_addr()?;
        drop(held);
        let place = format!("{folder}/backend-{index}");
        backends.push(Process::start(&place, address, zones[index], node)?);
        addresses.push(address);
    }
    if !wait(Duration::from_secs(20), || {
        nodes.0.iter().all(|node| node.is_ready())
    }) {
        return Err(std::io::Error::other("the nodes are not ready"));
    }
    thread::sleep(Duration::from_secs(4));

    let stop = Arc::new(AtomicBool::new(false));
    let next = Arc::new(AtomicU64::new(1));
    let ended: Arc<Mutex<Vec<(u16, bool, bool)>>> = Arc::default();
    let mut clients = Vec::new();
    for machine in 0..MACHINES {
        for _ in 0..CLIENTS {
            let (stop, next, ended) = (stop.clone(), next.clone(), ended.clone());
            let (record, outbound) = (record.clone(), nodes.0[machine].outbound);
            clients.push(thread::spawn(move || {
                let mut kept = None;
                while !stop.load(Ordering::Relaxed) {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    let id = format!("{:016x}", 0xc0de_0000_0000_u64 + number);
                    let one = ask(&record, outbound, &id, machine, &mut kept);
                    ended.lock().unwrap().push(one);
                }
            }));
        }
    }
    thread::sleep(BEFORE);
    if trouble {
        record.say(format!("back end {} is killed", addresses[1]));
        send_signal(backends[1].child.id() as i32, SIGKILL);
        let _ = backends[1].child.wait();
        thread::sleep(DOWN);
        let place = format!("{folder}/backend-1-again");
        backends[1] = Process::start(&place, addresses[1], zones[1], &nodes.0[1])?;
        record.say(format!("back end {} is back", addresses[1]));
    } else {
        thread::sleep(DOWN);
    }
    thread::sleep(Duration::from_secs(3));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    drop(backends);
    for place in ["backend-0", "backend-1", "backend-1-again", "backend-2"] {
        let text = std::fs::read_to_string(format!("{folder}/{place}/record.txt"));
        for line in text.unwrap_or_default().lines() {
            record.line(format!("{place}, by its own clock: {}", line.trim()));
        }
    }
    let ended = ended.lock().unwrap();
    let successes = ended
        .iter()
        .filter(|(status, signed, _)| *status == 200 && *signed);
    let short = successes.clone().filter(|(_, _, whole)| !whole).count();
    record.say(format!(
        "{} requests ended, {} with a signed 200, {short} of these with a part of the body only; \
         the rule allows none",
        ended.len(),
        successes.count()
    ));
    Ok(i32::from(short > 0))
}

/// Sends one request; returns the status, whether a back end signed it, and whether its body is
/// the whole one.
fn ask(
    record: &Record,
    outbound: SocketAddr,
    id: &str,
    machine: usize,
    kept: &mut Option<Connection>,
) -> (u16, bool, bool) {
    let opened = match kept.take() {
        Some(connection) => Ok(connection),
        None => Connection::open(outbound, Duration::from_secs(1)),
    };
    let Ok(mut connection) = opened else {
        thread::sleep(Duration::from_millis(100));
        return (0, false, false);
    };
    let _ = connection
        .stream
        .set_read_timeout(Some(Duration::from_millis(3_500)));
    record.line(format!("send {id} to machine {}", machine + 1));
    let request = head("GET", &format!("/{SERVICE}/batch"), id, 2_500, 0);
    match connection.ask(&request) {
        Ok(answer) => {
            let signed = answer.header("x-rampthread-response-signature").is_some();
            let whole = answer.body == whole_body(id).as_bytes();
            let (status, bytes) = (answer.status(), answer.body.len());
            let says = if signed && status == 200 && !whole {
                ", NOT WHOLE"
            } else {
                ""
            };
            let length = answer.header("content-length").unwrap_or("none");
            record.line(format!(
                "answer {id}: {status}, {bytes} bytes, content-length {length}, signed {signed}{says}"
            ));
            if !answer.closes() {
                *kept = Some(connection);
            }
            (status, signed, whole)
        }
        Err(error) => {
            record.line(format!("no answer {id}: {error}"));
            (0, false, false)
        }
    }
}
