//! Stands at the address of a node that has ended: it loses every hop, and answers
//! fences as it is told.

#![allow(dead_code)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;

/// Path of the question that the product asks once it has lost a hop.
const FENCE_PATH: &str = "/rampthread/fence";
/// Pause between two tries to take the address over.
const BIND_PAUSE: Duration = Duration::from_millis(1);
/// Longest wait for the rest of a message, so that no thread outlives a test.
const READ_WAIT: Duration = Duration::from_secs(30);

#[derive(Default)]
struct Counts {
    hops: AtomicU32,
    fences: AtomicU32,
}

/// A running stand-in; it ends with the process of the test.
pub struct GateStandIn {
    counts: Arc<Counts>,
    /// Header lines of the answer to a fence; none: the connection is closed.
    fence_answer: Arc<Mutex<Option<String>>>,
}

impl GateStandIn {
    /// Takes `address` over as soon as it is free.
    pub fn start(address: SocketAddr, fence_answer: Option<&str>) -> Self {
        let listener = loop {
            match TcpListener::bind(address) {
                Ok(listener) => break listener,
                Err(_) => sleep(BIND_PAUSE),
            }
        };
        let stand_in = Self {
            counts: Arc::default(),
            fence_answer: Arc::new(Mutex::new(fence_answer.map(str::to_string))),
        };
        let (counts, answer) = (stand_in.counts.clone(), stand_in.fence_answer.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (counts, answer) = (counts.clone(), answer.clone());
                std::thread::spawn(move || serve(stream, &counts, &answer));
            }
        });
        stand_in
    }

    /// Hops that it has lost.
    pub fn hops(&self) -> u32 {
        self.counts.hops.load(Ordering::SeqCst)
    }

    /// Fences that it was asked for.
    pub fn fences(&self) -> u32 {
        self.counts.fences.load(Ordering::SeqCst)
    }
}

/// Answers the fences of one connection; closes it at the first hop.
fn serve(mut stream: TcpStream, counts: &Counts, answer: &Mutex<Option<String>>) {
    let _ = stream.set_read_timeout(Some(READ_WAIT));
    while let Some(head) = read_head(&mut stream) {
        if !head.contains(FENCE_PATH) {
            counts.hops.fetch_add(1, Ordering::SeqCst);
            return;
        }
        counts.fences.fetch_add(1, Ordering::SeqCst);
        let Some(lines) = answer.lock().unwrap().clone() else {
            return;
        };
        let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n{lines}\r\n");
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// The head of the next message; none when the other side has closed.
fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    Some(String::from_utf8_lossy(&head).to_string())
}
