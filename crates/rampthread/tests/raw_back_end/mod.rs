//! A back end that writes the bytes that it is told, whatever it was asked.

#![allow(dead_code)]

#[path = "../raw_message/mod.rs"]
mod raw_message;

use raw_message::{READ_WAIT, read_head};
use std::io::{Read, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

/// Stands for the id of the request in the bytes to answer.
pub const ID: &str = "{id}";

#[derive(Default)]
struct State {
    answer: String,
    ran: Vec<String>,
}

/// A running one; it ends with the process of the test.
#[derive(Clone)]
pub struct RawBackEnd {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl RawBackEnd {
    /// Starts on a free port of `ip`.
    pub fn start(ip: IpAddr) -> Self {
        let listener = TcpListener::bind(SocketAddr::new(ip, 0)).unwrap();
        let back_end = Self {
            address: listener.local_addr().unwrap(),
            state: Arc::default(),
        };
        let serving = back_end.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                std::thread::spawn(move || serving.serve(stream));
            }
        });
        back_end
    }

    /// From now on it runs each request and writes `answer`, with [`ID`] replaced.
    pub fn answer(&self, answer: &str) {
        self.state.lock().unwrap().answer = answer.to_string();
    }

    /// How often it ran the request of this id.
    pub fn ran(&self, id: &str) -> usize {
        let state = self.state.lock().unwrap();
        state.ran.iter().filter(|ran| *ran == id).count()
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_read_timeout(Some(READ_WAIT));
        while let Some(head) = read_message(&mut stream) {
            let id = header(&head, "x-rampthread-request-id").unwrap_or_default();
            let answer = {
                let mut state = self.state.lock().unwrap();
                state.ran.push(id.clone());
                state.answer.replace(ID, &id)
            };
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// Reads a message with its body and returns the head; none at the end.
fn read_message(stream: &mut TcpStream) -> Option<String> {
    let head = read_head(stream)?.to_ascii_lowercase();
    let length = header(&head, "content-length").and_then(|length| length.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).ok()?;
    Some(head)
}

fn header(head: &str, name: &str) -> Option<String> {
    let prefix = format!("{name}:");
    let line = head.lines().find_map(|line| line.strip_prefix(&prefix))?;
    Some(line.trim().to_string())
}
