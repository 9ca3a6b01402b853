//! Clients that keep their connections, as PROTOCOL.md tells them.

use crate::cases::head;
use crate::http::Connection;
use crate::record::Record;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// How a request ended, as its client saw it.
#[derive(Debug, Clone)]
pub struct Ended {
    pub id: String,
    /// The machine whose `outbound` address it was sent to.
    pub machine: usize,
    /// Status of the whole answer; 0: the connection closed without one.
    pub status: u16,
    /// An answer with the back end's signature.
    pub signed: bool,
    /// The connection had carried a request before.
    pub kept: bool,
    /// The whole request was written.
    pub sent: bool,
}

pub struct Clients {
    record: Arc<Record>,
    next: AtomicU64,
    pub ended: Mutex<Vec<Ended>>,
}

/// What a client sends, and where.
#[derive(Clone)]
pub struct Sends {
    pub machine: usize,
    pub outbound: SocketAddr,
    pub path: &'static str,
    pub bytes: usize,
    pub deadline_ms: u64,
    /// Time from one request to the next at least; requests start at its multiples.
    pub period: Duration,
    /// Time before its first request.
    pub first: Duration,
}

impl Clients {
    pub fn new(record: Arc<Record>) -> Arc<Self> {
        Arc::new(Self {
            record,
            next: AtomicU64::new(1),
            ended: Mutex::default(),
        })
    }

    /// One client that sends one request after the other until `stop`.
    pub fn start(self: &Arc<Self>, sends: Sends, stop: Arc<AtomicBool>) -> JoinHandle<()> {
        let clients = self.clone();
        thread::spawn(move || {
            let body = vec![b'x'; sends.bytes];
            let mut kept: Option<Connection> = None;
            let begun = Instant::now() + sends.first;
            thread::sleep(sends.first);
            while !stop.load(Ordering::Relaxed) {
                clients.send(&sends, &body, &mut kept);
                let passed = begun.elapsed().as_nanos() / sends.period.as_nanos();
                let next = begun + sends.period * (passed as u32 + 1);
                thread::sleep(next.saturating_duration_since(Instant::now()));
            }
        })
    }

    fn send(&self, sends: &Sends, body: &[u8], kept: &mut Option<Connection>) {
        let was_kept = kept.is_some();
        let opened = match kept.take() {
            Some(connection) => Ok(connection),
            None => Connection::open(sends.outbound, Duration::from_secs(1)),
        };
        let Ok(mut connection) = opened else {
            // No connection: nothing was sent. It is tried again.
            thread::sleep(Duration::from_millis(100));
            return;
        };
        let wait = Duration::from_millis(sends.deadline_ms + 1_000);
        let _ = connection.stream.set_read_timeout(Some(wait));
        let id = format!(
            "{:016x}",
            0xc0de_0000_0000_u64 + self.next.fetch_add(1, Ordering::Relaxed)
        );
        let bytes = body.len();
        self.record.line(format!(
            "send {id} to machine {}: {bytes} bytes",
            sends.machine + 1
        ));
        let mut request = head("POST", sends.path, &id, sends.deadline_ms, bytes);
        let written = match bytes < 16_384 {
            true => {
                request.extend_from_slice(body);
                connection.write(&request)
            }
            false => connection
                .write(&request)
                .and_then(|()| connection.write(body)),
        };
        let answer = connection.read(true);
        let mut ended = Ended {
            id: id.clone(),
            machine: sends.machine,
            status: 0,
            signed: false,
            kept: was_kept,
            sent: written.is_ok(),
        };
        match answer {
            Ok(answer) => {
                ended.status = answer.status();
                ended.signed = answer.header("x-rampthread-response-signature").is_some();
                let text = String::from_utf8_lossy(&answer.body).trim().to_string();
                self.record
                    .line(format!("answer {id}: {} {text}", answer.status()));
                if written.is_ok() && !answer.closes() {
                    *kept = Some(connection);
                }
            }
            Err(error) => self.record.line(format!("no answer {id}: {error}")),
        }
        self.ended.lock().unwrap().push(ended);
    }
}
