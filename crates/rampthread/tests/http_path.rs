//! The faults of HTTP libraries that `docs/DESIGN.md` lists, each at the call
//! path: cut answers, callers that leave, pipelining, malformed requests.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;
use support::{ProcessFleet, one_service, wait};

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(support::LIMIT)).unwrap();
    stream
}

fn exchange(address: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = connect(address);
    stream.write_all(bytes).unwrap();
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    answer
}

/// True when the answer declares an end that its bytes do not reach.
fn is_cut(answer: &[u8]) -> bool {
    let text = String::from_utf8_lossy(answer).to_string();
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return true;
    };
    let head = head.to_ascii_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    match length {
        Some(length) => body.len() < length.trim().parse().unwrap(),
        None => head.contains("chunked") && !body.ends_with("0\r\n\r\n"),
    }
}

const GET: &[u8] = b"GET /shop/x HTTP/1.1\r\nhost: shop\r\nconnection: close\r\n\r\n";

/// A back end that sends fewer bytes than it declares, then closes.
fn serve_short_answers(listener: TcpListener) {
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let mut buffer = [0; 4_096];
            let _ = stream.read(&mut buffer);
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nabc");
        }
    });
}

#[test]
fn an_answer_shorter_than_declared_is_an_error_at_the_caller() {
    let fleet = ProcessFleet::start_configured(one_service(1, 1));
    let old = fleet.fleet.members[0].backend.address;
    let listener = TcpListener::bind(SocketAddr::new(old.ip(), 0)).unwrap();
    let new = listener.local_addr().unwrap();
    serve_short_answers(listener);
    let text = fleet
        .fleet
        .resource_file()
        .replace(&old.to_string(), &new.to_string());
    fleet.apply_until_accepted(0, &text, "short-answers");
    fleet.wait_until_everywhere(2);
    let answer = exchange(fleet.callers(0), GET);
    let refused = answer.starts_with(b"HTTP/1.1 50");
    assert!(
        refused || is_cut(&answer),
        "{}",
        String::from_utf8_lossy(&answer)
    );
}

#[test]
fn a_chunked_answer_cut_short_is_an_error_at_the_caller() {
    let fleet = ProcessFleet::start_configured(one_service(1, 1));
    let backend = &fleet.fleet.members[0].backend;
    backend
        .standin
        .change(|behaviour| behaviour.cut_answers = true);
    let answer = exchange(fleet.callers(0), GET);
    let refused = answer.starts_with(b"HTTP/1.1 50");
    assert!(
        refused || is_cut(&answer),
        "{}",
        String::from_utf8_lossy(&answer)
    );
}

#[test]
fn a_caller_that_leaves_ends_the_work_at_the_back_end() {
    let fleet = ProcessFleet::start_configured(one_service(1, 1));
    let standin = &fleet.fleet.members[0].backend.standin;
    standin.change(|behaviour| behaviour.mean_service_us = 600_000_000);
    let mut stream = connect(fleet.callers(0));
    stream
        .write_all(
            b"GET /shop/x HTTP/1.1\r\nhost: shop\r\n\
        rampthread-deadline-ms: 600000\r\n\r\n",
        )
        .unwrap();
    wait("the call runs", || standin.counts().at_once == 1);
    drop(stream);
    wait("the call ended with its caller", || {
        standin.counts().at_once == 0
    });
}

#[test]
fn a_second_pipelined_request_is_answered() {
    let fleet = ProcessFleet::start_configured(one_service(1, 1));
    let mut stream = connect(fleet.callers(0));
    let first = b"GET /shop/1 HTTP/1.1\r\nhost: shop\r\n\r\n";
    stream.write_all(&[&first[..], GET].concat()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    assert_eq!(answer.matches("HTTP/1.1 200").count(), 2, "{answer}");
}

#[test]
fn two_content_lengths_are_refused() {
    let fleet = ProcessFleet::start_configured(one_service(1, 1));
    let answer = exchange(
        fleet.callers(0),
        b"POST /shop/x HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\ncontent-length: 5\r\n\r\nabcde",
    );
    assert!(answer.starts_with(b"HTTP/1.1 400"));
}

#[test]
fn a_malformed_request_gets_400_and_a_close() {
    let fleet = ProcessFleet::start_configured(one_service(1, 1));
    let answer = exchange(fleet.callers(0), b"this is not http\r\n\r\n");
    assert!(
        answer.starts_with(b"HTTP/1.1 400"),
        "{}",
        String::from_utf8_lossy(&answer)
    );
    let api = exchange(fleet.api(0), b"this is not http\r\n\r\n");
    assert!(
        api.starts_with(b"HTTP/1.1 400"),
        "{}",
        String::from_utf8_lossy(&api)
    );
}

#[test]
fn a_body_shorter_than_declared_never_runs() {
    let fleet = ProcessFleet::start_configured(one_service(1, 1));
    let standin = &fleet.fleet.members[0].backend.standin;
    let mut stream = connect(fleet.callers(0));
    stream
        .write_all(b"POST /shop/x HTTP/1.1\r\nhost: a\r\ncontent-length: 100\r\n\r\nabc")
        .unwrap();
    stream.shutdown(std::net::Shutdown::Write).unwrap();
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    assert!(!answer.starts_with(b"HTTP/1.1 200"));
    // A later whole request is counted, so the short one would be seen by now.
    exchange(fleet.callers(0), GET);
    std::thread::sleep(Duration::from_millis(100));
    assert_eq!(standin.counts().begun, 1);
}
