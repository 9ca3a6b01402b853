//! Callers of the soak that use a connection more than once: one request after the
//! other until the connection ends, and pipelines.

use crate::platform_support::{self, request};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Wait for an answer on a connection that is kept: far above any deadline here.
const KEPT_ANSWER_WAIT: Duration = Duration::from_secs(5);
/// Requests of a pipeline.
const PIPELINE: usize = 4;

/// Sends one request after the other on a connection that stays open until the node
/// ends it, or its process is gone; then on one to another node. Each answer is the
/// answer to the request before it.
pub fn keep_using_connections(targets: &[SocketAddr], seed: u64, stop: &AtomicBool) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        let target = targets[rng.random_range(0..targets.len())];
        let Ok(stream) = TcpStream::connect(target) else {
            std::thread::sleep(Duration::from_millis(20));
            continue;
        };
        stream.set_read_timeout(Some(KEPT_ANSWER_WAIT)).unwrap();
        let mut reader = BufReader::new(stream);
        loop {
            number += 1;
            let id = format!("kept-{seed}-{number}");
            let text = request("GET", "/look/kept", &id, Some(1_200), "");
            let text = text.replace("connection: close\r\n", "");
            let sent = reader.get_mut().write_all(text.as_bytes());
            let Some(answer) = sent.ok().and_then(|()| read_answer(&mut reader)) else {
                break;
            };
            let own = format!("x-rampthread-request-id: {id}\r\n");
            assert!(answer.to_lowercase().contains(&own), "{id}: {answer}");
            if stop.load(Ordering::Relaxed) {
                return;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

/// Head and body of one answer; none when the connection ends before it is whole.
fn read_answer(reader: &mut impl BufRead) -> Option<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let length = head.to_lowercase().lines().find_map(|line| {
        let length = line.strip_prefix("content-length: ")?;
        length.trim().parse::<usize>().ok()
    })?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(head)
}

/// Sends a pipeline: the answers that come are those to its first requests, in
/// their order, each the whole answer to its own request.
pub fn check_pipeline(target: SocketAddr, id: &str) {
    let id_of = |number: usize| format!("{id}-{number}");
    let text: String = (0..PIPELINE)
        .map(|number| request("GET", "/look/1", &id_of(number), Some(1_200), ""))
        .enumerate()
        .map(|(number, text)| match number + 1 {
            PIPELINE => text,
            _ => text.replace("connection: close\r\n", ""),
        })
        .collect();
    let answers = platform_support::exchange(target, &text).unwrap_or_default();
    for (number, answer) in answers.split("HTTP/1.1 ").skip(1).enumerate() {
        let own = format!("x-rampthread-request-id: {}\r\n", id_of(number));
        assert!(
            answer.contains(&own),
            "answer {number} is another's: {answers}"
        );
        if answer.starts_with("200") {
            let whole = format!("answer to {}", id_of(number));
            assert!(answer.ends_with(&whole), "answer {number}: {answers}");
        }
    }
}
