//! Pipelining with random requests and handler durations: responses arrive in the order of
//! their requests, and only requests that may overlap run concurrently.

use async_std::task;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use http::request::Parts;
use http::{Request, Response};
use proptest::prelude::*;
use rampthread_http::{
    Body, RequestBody, Server, ServerLimits, Service, ShutdownHandle, bind, full,
};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// A request to pipeline, and how its handler behaves.
#[derive(Debug, Clone)]
struct PlannedRequest {
    overlaps: bool,
    work_ms: u64,
    response_bytes: usize,
    closes: bool,
}

/// Strategy for one request with a random kind, duration and response size.
fn planned() -> impl Strategy<Value = PlannedRequest> {
    (any::<bool>(), 0_u64..12, 0_usize..40_000, 0_u8..12).prop_map(
        |(overlaps, work_ms, response_bytes, closes)| PlannedRequest {
            overlaps,
            work_ms,
            response_bytes,
            closes: closes == 0,
        },
    )
}

/// Responds to `/KIND/NUMBER/WORK_MS/BYTES` after WORK_MS milliseconds, with NUMBER and BYTES
/// bytes of padding. KIND is `overlap` if the request may run concurrently with others on its
/// connection, or else `alone`.
#[derive(Clone, Default)]
struct NumberedService {
    running: Arc<AtomicUsize>,
    /// Number of `alone` requests that started while another request was running.
    overlap_violations: Arc<AtomicUsize>,
}

impl Service for NumberedService {
    fn handle(
        &self,
        request: Request<RequestBody>,
        _peer: SocketAddr,
    ) -> BoxFuture<'static, Response<Body>> {
        let service = self.clone();
        async move {
            let path = request.uri().path().to_string();
            let parts: Vec<&str> = path.split('/').collect();
            let before = service.running.fetch_add(1, Ordering::SeqCst);
            if parts[1] == "alone" && before > 0 {
                service.overlap_violations.fetch_add(1, Ordering::SeqCst);
            }
            task::sleep(Duration::from_millis(parts[3].parse().unwrap())).await;
            service.running.fetch_sub(1, Ordering::SeqCst);
            let padding = "x".repeat(parts[4].parse().unwrap());
            Response::new(full(format!("{}:{padding}", parts[2])))
        }
        .boxed()
    }

    fn may_overlap(&self, head: &Parts) -> bool {
        head.uri.path().starts_with("/overlap")
    }
}

/// Text of the requests, to be written to the connection at once.
fn encode_pipeline(pipeline: &[PlannedRequest]) -> String {
    let text = |(number, planned): (usize, &PlannedRequest)| {
        let kind = if planned.overlaps { "overlap" } else { "alone" };
        let (work, bytes) = (planned.work_ms, planned.response_bytes);
        let close = if planned.closes {
            "connection: close\r\n"
        } else {
            ""
        };
        format!("GET /{kind}/{number}/{work}/{bytes} HTTP/1.1\r\nhost: a\r\n{close}\r\n")
    };
    pipeline.iter().enumerate().map(text).collect()
}

/// Reads one response and returns its body; `None` at the end of the connection.
fn read_response(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        if stream.read(&mut byte).ok()? == 0 {
            assert!(head.is_empty(), "truncated response head");
            return None;
        }
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).unwrap();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    let mut body = vec![0; length.unwrap().parse().unwrap()];
    stream.read_exact(&mut body).unwrap();
    Some(String::from_utf8(body).unwrap())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    #[test]
    fn responses_match_requests_in_order(pipeline in prop::collection::vec(planned(), 1..24)) {
        let listener = bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let service = NumberedService::default();
        let server = Server::new(ServerLimits::default(), ShutdownHandle::default());
        let serving = task::spawn(server.serve(listener, service.clone()));
        let mut stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
        stream.write_all(encode_pipeline(&pipeline).as_bytes()).unwrap();
        let response_count = match pipeline.iter().position(|planned| planned.closes) {
            Some(last) => last + 1,
            None => pipeline.len(),
        };
        for (number, planned) in pipeline.iter().enumerate().take(response_count) {
            let response = read_response(&mut stream);
            let expected = format!("{number}:{}", "x".repeat(planned.response_bytes));
            prop_assert_eq!(response, Some(expected), "response {}", number);
        }
        if response_count < pipeline.len() {
            prop_assert_eq!(read_response(&mut stream), None);
        }
        prop_assert_eq!(service.overlap_violations.load(Ordering::SeqCst), 0);
        task::block_on(serving.cancel());
    }
}
