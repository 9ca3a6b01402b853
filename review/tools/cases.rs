//! The cases.

use crate::backend::Backend;
use crate::http::Connection;
use crate::node::{Node, Place, wait};
use crate::record::Record;
use crate::store::Store;
use crate::{length, memory, unframed};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Runs a case; 0: the rule held, 1: it was broken, 2: the case could not run.
pub fn run(case: &str, folder: &str, trouble: bool) -> i32 {
    let temporary = std::env::temp_dir().join(format!("rig-{}", std::process::id()));
    let outcome = std::fs::create_dir_all(&temporary).and_then(|()| {
        let record = Arc::new(Record::new(folder)?);
        let temporary = temporary.to_string_lossy().to_string();
        match case {
            "probe" => probe(&temporary, &record, trouble),
            "1" => memory::run(&temporary, &record, trouble),
            "2" => unframed::run(&temporary, &record, trouble),
            "3" => length::run(&temporary, &record, trouble),
            _ => Ok(2),
        }
    });
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    outcome.unwrap_or_else(|error| {
        eprintln!("{error}");
        2
    })
}

pub struct Fleet {
    _store: Store,
    pub nodes: Vec<Arc<Node>>,
    pub backends: Vec<Backend>,
}

impl Fleet {
    /// One node and back end for each service of `services`.
    pub fn start(
        folder: &str,
        services: &[&str],
        slots: u32,
        work: Duration,
        document: &str,
        record: &Arc<Record>,
    ) -> std::io::Result<Self> {
        let store = Store::start()?;
        store.write("op/config", document);
        let mut nodes = Vec::new();
        for (index, service) in services.iter().enumerate() {
            let place = Place {
                number: index as u8 + 1,
                zone: ["llan-a", "llan-b", "llan-c"][index % 3],
                service,
                store: store.address,
                budget_slack: 60,
            };
            nodes.push(Arc::new(Node::new(folder, &place, record.clone())?));
        }
        let mut fleet = Self {
            _store: store,
            nodes,
            backends: Vec::new(),
        };
        for node in &fleet.nodes {
            node.start()?;
        }
        for (index, service) in services.iter().enumerate() {
            let zone = ["llan-a", "llan-b", "llan-c"][index % 3];
            let (ip, reports) = (fleet.nodes[index].ip, fleet.nodes[index].control);
            let backend = Backend::start(ip, service, zone, reports, slots, work, record.clone())?;
            fleet.backends.push(backend);
        }
        if !wait(Duration::from_secs(20), || {
            fleet.nodes.iter().all(|node| node.is_ready())
        }) {
            return Err(std::io::Error::other("the nodes are not ready"));
        }
        // Traffic starts 8 s after the machines do.
        thread::sleep(Duration::from_secs(4));
        Ok(fleet)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for node in &self.nodes {
            node.end_for_good();
        }
    }
}

impl Fleet {
    /// The ids of all requests that back ends have run.
    pub fn runs(&self) -> std::collections::HashSet<String> {
        self.backends.iter().flat_map(Backend::run_ids).collect()
    }
}

fn setting(name: &str, default: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

pub fn head(method: &str, path: &str, id: &str, deadline_ms: u64, length: usize) -> Vec<u8> {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: desk.example\r\nX-Rampthread-Request-Id: {id}\r\n\
         X-Rampthread-Deadline: {deadline_ms}\r\nContent-Length: {length}\r\n\r\n"
    )
    .into_bytes()
}

pub fn document(timeout_ms: u64, kind: &str, services: &[&str]) -> String {
    let routes: Vec<String> = services
        .iter()
        .map(|service| {
            format!(
                "{{\"name\":\"r-{service}\",\"host\":\"desk.example\",\
                 \"path_prefix\":\"/{service}/\",\"kind\":\"{kind}\",\"timeout_ms\":{timeout_ms},\
                 \"target_latency_ms\":{timeout_ms},\"priority\":1,\"service\":\"{service}\",\
                 \"max_attempts\":2}}"
            )
        })
        .collect();
    let listed: Vec<String> = services
        .iter()
        .map(|service| {
            format!(
                "{{\"name\":\"{service}\",\"health_path\":\"/health\",\"max_connections\":120,\
                 \"protocol\":\"h1\",\"tls\":false}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":\"00000007\",\"routes\":[{}],\"services\":[{}],\"limits\":\
         {{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}}}}",
        routes.join(","),
        listed.join(",")
    )
}

/// For exploration: CLIENTS upload SIZE bytes each to the first node, again and again.
fn probe(folder: &str, record: &Arc<Record>, _trouble: bool) -> std::io::Result<i32> {
    let size = setting("SIZE", 10 << 20) as usize;
    let (clients, seconds) = (setting("CLIENTS", 1), setting("SECONDS", 6));
    let work = Duration::from_millis(setting("WORK", 100));
    let services: Vec<&str> = match setting("OTHER", 0) {
        0 => vec!["desk", "desk", "desk"],
        _ => vec!["look", "desk", "desk"],
    };
    let document = document(2_500, "unsafe", &["desk", "look"]);
    let fleet = Fleet::start(folder, &services, 9, work, &document, record)?;
    let peaks: Vec<Arc<Mutex<u64>>> = fleet.nodes.iter().map(|_| Arc::default()).collect();
    for (node, peak) in fleet.nodes.iter().zip(&peaks) {
        node.limit_memory(u64::MAX, peak.clone());
    }
    let ends = Instant::now() + Duration::from_secs(seconds);
    let number = Arc::new(AtomicU64::new(0));
    let results: Arc<Mutex<std::collections::BTreeMap<String, u32>>> = Arc::default();
    let workers: Vec<_> = (0..clients)
        .map(|_| {
            let (number, results, record) = (number.clone(), results.clone(), record.clone());
            let outbound = fleet.nodes[0].outbound;
            thread::spawn(move || {
                let body = vec![b'x'; size];
                while Instant::now() < ends {
                    let id = format!("c{:08}", number.fetch_add(1, Ordering::Relaxed));
                    let begun = Instant::now();
                    let answer =
                        Connection::open(outbound, Duration::from_secs(1)).and_then(|mut one| {
                            one.write(&head("POST", "/desk/a", &id, 5_000, body.len()))?;
                            let written = one.write(&body);
                            match one.read(true) {
                                Ok(answer) => Ok(answer),
                                Err(error) => Err(written.err().unwrap_or(error)),
                            }
                        });
                    let text = match &answer {
                        Ok(answer) => format!(
                            "{} {}",
                            answer.status(),
                            String::from_utf8_lossy(&answer.body)
                                .trim()
                                .chars()
                                .filter(|sign| !sign.is_ascii_digit())
                                .collect::<String>()
                        ),
                        Err(error) => format!("{error}"),
                    };
                    record.line(format!("{id} {text} {:?}", begun.elapsed()));
                    *results
                        .lock()
                        .unwrap()
                        .entry(text.chars().take(70).collect())
                        .or_default() += 1;
                }
            })
        })
        .collect();
    for worker in workers {
        let _ = worker.join();
    }
    for (text, count) in results.lock().unwrap().iter() {
        println!("{count:5} {text}");
    }
    for (node, peak) in fleet.nodes.iter().zip(&peaks) {
        println!(
            "{} peak {} MB",
            node.name,
            *peak.lock().unwrap() / 1_000_000
        );
    }
    Ok(0)
}
