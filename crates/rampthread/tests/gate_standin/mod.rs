//! Stands at the address of a node that has ended: it loses every hop, or answers it with
//! the head that it is told, and answers fences as it is told.

#![allow(dead_code)]

#[path = "../raw_message/mod.rs"]
mod raw_message;

use raw_message::{READ_WAIT, read_head};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread::sleep;
use std::time::Duration;

/// Path of the question that the product asks once it has lost a hop.
const FENCE_PATH: &str = "/rampthread/fence";
/// Pause between two tries to take the address over.
const BIND_PAUSE: Duration = Duration::from_millis(1);

#[derive(Default)]
struct Counts {
    hops: AtomicU32,
    fences: AtomicU32,
}

/// What it answers; none: the connection is closed.
#[derive(Clone, Copy, Default)]
pub struct Answers {
    /// Status line and headers of the answer to a hop, each with its line end.
    pub hop: Option<&'static str>,
    /// Headers of the answer to a fence, each with its line end.
    pub fence: Option<&'static str>,
}

/// A running stand-in; it ends with the process of the test.
pub struct GateStandIn {
    counts: Arc<Counts>,
}

impl GateStandIn {
    /// Takes `address` over as soon as it is free.
    pub fn start(address: SocketAddr, answers: Answers) -> Self {
        let listener = loop {
            match TcpListener::bind(address) {
                Ok(listener) => break listener,
                Err(_) => sleep(BIND_PAUSE),
            }
        };
        let counts: Arc<Counts> = Arc::default();
        let serving = counts.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let counts = serving.clone();
                std::thread::spawn(move || serve(stream, &counts, answers));
            }
        });
        Self { counts }
    }

    /// Hops that it was sent.
    pub fn hops(&self) -> u32 {
        self.counts.hops.load(Ordering::SeqCst)
    }

    /// Fences that it was asked for.
    pub fn fences(&self) -> u32 {
        self.counts.fences.load(Ordering::SeqCst)
    }
}

/// Answers what comes on one connection, until it is to be closed.
fn serve(mut stream: TcpStream, counts: &Counts, answers: Answers) {
    let _ = stream.set_read_timeout(Some(READ_WAIT));
    while let Some(head) = read_head(&mut stream) {
        let answer = if head.contains(FENCE_PATH) {
            counts.fences.fetch_add(1, Ordering::SeqCst);
            answers
                .fence
                .map(|lines| format!("HTTP/1.1 200 OK\r\n{lines}"))
        } else {
            counts.hops.fetch_add(1, Ordering::SeqCst);
            answers.hop.map(str::to_string)
        };
        let Some(answer) = answer else { return };
        let answer = format!("{answer}content-length: 0\r\n\r\n");
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}
