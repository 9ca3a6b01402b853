//! Server connections over raw sockets: pipelining, disconnects, malformed requests, request
//! bodies and connection close.

use async_std::task;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use http::request::Parts;
use http::{Request, Response};
use rampthread_http::{
    Body, RequestBody, Server, ServerLimits, Service, ShutdownHandle, bind, boxed, empty, full,
    read_limited,
};
use rstest::rstest;
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Maximum time that a test waits for an expected observation or for input from the server.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(20);

/// What the handlers of one test observed, and the responses that the test has released.
#[derive(Default)]
struct HandlerObservations {
    started: Vec<String>,
    dropped: Vec<String>,
    released: HashMap<String, Response<Vec<u8>>>,
    bodies: HashMap<String, Result<usize, String>>,
}

/// Service whose handlers wait until the test releases their responses. Paths that start with
/// `/safe` may overlap.
#[derive(Clone, Default)]
struct ControlledService {
    observations: Arc<(Mutex<HandlerObservations>, Condvar)>,
    released: Arc<event::Event>,
}

/// Event that wakes all tasks that wait for it.
mod event {
    use std::sync::Mutex;

    #[derive(Default)]
    pub struct Event(Mutex<Vec<async_channel::Sender<()>>>);

    impl Event {
        pub fn listen(&self) -> async_channel::Receiver<()> {
            let (sender, receiver) = async_channel::bounded(1);
            self.0.lock().unwrap().push(sender);
            receiver
        }

        pub fn wake_listeners(&self) {
            self.0.lock().unwrap().clear();
        }
    }
}

/// Records the path of a handler that is dropped before it responds.
struct DropRecorder(ControlledService, Option<String>);

impl Drop for DropRecorder {
    fn drop(&mut self) {
        if let Some(path) = self.1.take() {
            self.0
                .update_observations(|observations| observations.dropped.push(path));
        }
    }
}

impl ControlledService {
    /// Applies `update` to the observations and wakes the test that waits for them.
    fn update_observations<T>(&self, update: impl FnOnce(&mut HandlerObservations) -> T) -> T {
        let result = update(&mut self.observations.0.lock().unwrap());
        self.observations.1.notify_all();
        result
    }

    /// Lets the handler of `path` respond with `body`.
    fn release(&self, path: &str, body: &str) {
        let response = Response::new(body.as_bytes().to_vec());
        self.update_observations(|observations| {
            observations.released.insert(path.to_string(), response)
        });
        self.released.wake_listeners();
    }

    /// Waits until the observations meet the condition `done`; `what` names it in the failure.
    fn wait_until(&self, what: &str, done: impl Fn(&HandlerObservations) -> bool) {
        let (lock, changed) = &*self.observations;
        let guard = lock.lock().unwrap();
        let waited = changed
            .wait_timeout_while(guard, CONDITION_TIMEOUT, |observations| !done(observations))
            .unwrap();
        assert!(
            !waited.1.timed_out(),
            "not reached within {CONDITION_TIMEOUT:?}: {what}"
        );
    }

    /// Waits until the handler of the request for `path` has started.
    fn wait_started(&self, path: &str) {
        self.wait_until(path, |observations| {
            observations.started.iter().any(|one| one == path)
        });
    }

    /// Paths of the requests whose handlers have started, in order.
    fn started(&self) -> Vec<String> {
        self.update_observations(|observations| observations.started.clone())
    }

    /// Handles one request. Reads the body if the path starts with `/read`, and truncates the
    /// response if it starts with `/broken`.
    async fn respond(self, request: Request<RequestBody>) -> Response<Body> {
        let path = request.uri().path().to_string();
        let mut recorder = DropRecorder(self.clone(), Some(path.clone()));
        if path.starts_with("/read") {
            let body = read_limited(request.into_body(), 1 << 20).await;
            let read = body
                .map(|body| body.len())
                .map_err(|error| error.to_string());
            self.update_observations(|observations| observations.bodies.insert(path.clone(), read));
        }
        self.update_observations(|observations| observations.started.push(path.clone()));
        if path.starts_with("/broken") {
            recorder.1 = None;
            let frames = futures_util::stream::iter([
                Ok(hyper::body::Frame::data(bytes::Bytes::from_static(b"abc"))),
                Err(std::io::Error::other("truncated")),
            ]);
            return Response::new(boxed(http_body_util::StreamBody::new(frames)));
        }
        loop {
            let next = self.released.listen();
            if let Some(response) =
                self.update_observations(|observations| observations.released.remove(&path))
            {
                recorder.1 = None;
                return response.map(full);
            }
            let _ = next.recv().await;
        }
    }
}

impl Service for ControlledService {
    fn handle(
        &self,
        request: Request<RequestBody>,
        _peer: SocketAddr,
    ) -> BoxFuture<'static, Response<Body>> {
        self.clone().respond(request).boxed()
    }

    fn may_overlap(&self, head: &Parts) -> bool {
        head.uri.path().starts_with("/safe")
    }
}

/// Starts a server with a [`ControlledService`] on a free port.
fn serve(limits: ServerLimits) -> (SocketAddr, ControlledService, ShutdownHandle) {
    let listener = bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    let (service, shutdown) = (ControlledService::default(), ShutdownHandle::default());
    task::spawn(Server::new(limits, shutdown.clone()).serve(listener, service.clone()));
    (address, service, shutdown)
}

/// Connects to the server. Reading from the stream fails after [`CONDITION_TIMEOUT`].
fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(CONDITION_TIMEOUT)).unwrap();
    stream
}

/// Text of a GET request for `path`, to be written to a socket.
fn get_request_text(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n")
}

/// Reads `count` responses, each with a `content-length`.
fn read_responses(stream: &mut TcpStream, count: usize) -> Vec<String> {
    let mut bytes = Vec::new();
    let mut responses = Vec::new();
    while responses.len() < count {
        let mut piece = [0; 4_096];
        let length = stream.read(&mut piece).unwrap();
        assert_ne!(length, 0, "closed after {responses:?}, {bytes:?}");
        bytes.extend_from_slice(&piece[..length]);
        while let Some((response, rest)) = parse_first_response(&bytes) {
            responses.push(response);
            bytes = rest;
        }
    }
    responses
}

/// Splits the first complete response from `bytes`; `None` if it is incomplete.
fn parse_first_response(bytes: &[u8]) -> Option<(String, Vec<u8>)> {
    let text = String::from_utf8_lossy(bytes).to_string();
    let (head, _) = text.split_once("\r\n\r\n")?;
    let length: usize = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "))?
        .parse()
        .unwrap();
    let end = head.len() + 4 + length;
    (bytes.len() >= end).then(|| (text[..end].to_string(), bytes[end..].to_vec()))
}

/// Reads until the server closes or resets the connection.
fn read_to_end(mut stream: TcpStream) -> String {
    let mut response = Vec::new();
    // The result is ignored, since a reset ends the response as well.
    let _ = stream.read_to_end(&mut response);
    String::from_utf8_lossy(&response).to_string()
}

#[test]
fn pipelined_requests_run_concurrently_with_responses_in_order() {
    let (address, service, _shutdown) = serve(ServerLimits::default());
    let mut stream = connect(address);
    let pipeline = [
        get_request_text("/safe/1"),
        get_request_text("/safe/2"),
        get_request_text("/safe/3"),
    ]
    .concat();
    stream.write_all(pipeline.as_bytes()).unwrap();
    for path in ["/safe/1", "/safe/2", "/safe/3"] {
        service.wait_started(path);
    }
    service.release("/safe/3", "three");
    service.release("/safe/1", "one");
    service.release("/safe/2", "two");
    let responses = read_responses(&mut stream, 3);
    let bodies = ["one", "two", "three"];
    assert!(
        responses
            .iter()
            .zip(bodies)
            .all(|(response, body)| response.ends_with(body)),
        "{responses:?}"
    );
}

#[test]
fn non_overlapping_request_waits_for_earlier_requests() {
    let (address, service, _shutdown) = serve(ServerLimits::default());
    let mut stream = connect(address);
    let pipeline = [get_request_text("/safe/1"), get_request_text("/once/2")].concat();
    stream.write_all(pipeline.as_bytes()).unwrap();
    service.wait_started("/safe/1");
    std::thread::sleep(Duration::from_millis(100));
    assert_eq!(service.started(), ["/safe/1"]);
    service.release("/safe/1", "one");
    service.wait_started("/once/2");
    service.release("/once/2", "two");
    assert_eq!(read_responses(&mut stream, 2).len(), 2);
}

#[test]
fn requests_after_connection_close_are_not_started() {
    let (address, service, _shutdown) = serve(ServerLimits::default());
    let mut stream = connect(address);
    let closing = "GET /safe/1 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    stream
        .write_all([closing, &get_request_text("/once/2")].concat().as_bytes())
        .unwrap();
    service.wait_started("/safe/1");
    service.release("/safe/1", "one");
    let response = read_to_end(stream);
    assert!(
        response.contains("connection: close") && response.ends_with("one"),
        "{response}"
    );
    assert_eq!(service.started(), ["/safe/1"]);
}

#[test]
fn concurrent_requests_per_connection_are_bounded() {
    let (address, service, _shutdown) = serve(ServerLimits::default());
    let mut stream = connect(address);
    let pipeline: String = (0..40)
        .map(|number| get_request_text(&format!("/safe/{number}")))
        .collect();
    stream.write_all(pipeline.as_bytes()).unwrap();
    service.wait_until("sixteen run", |observations| {
        observations.started.len() == 16
    });
    std::thread::sleep(Duration::from_millis(100));
    assert_eq!(service.started().len(), 16);
    for number in 0..40 {
        service.release(&format!("/safe/{number}"), "done");
    }
    assert_eq!(read_responses(&mut stream, 40).len(), 40);
}

#[test]
fn disconnect_drops_all_handlers() {
    let (address, service, _shutdown) = serve(ServerLimits::default());
    let mut stream = connect(address);
    let pipeline = [
        get_request_text("/safe/1"),
        get_request_text("/safe/2"),
        get_request_text("/once/3"),
    ]
    .concat();
    stream.write_all(pipeline.as_bytes()).unwrap();
    service.wait_started("/safe/2");
    drop(stream);
    service.wait_until("both are dropped", |observations| {
        observations.dropped.len() == 2
    });
    assert_eq!(service.started().len(), 2);
}

#[test]
fn ready_response_reaches_a_half_closed_client() {
    let (address, service, _shutdown) = serve(ServerLimits::default());
    service.release("/safe/1", "one");
    let mut stream = connect(address);
    stream
        .write_all(get_request_text("/safe/1").as_bytes())
        .unwrap();
    stream.shutdown(Shutdown::Write).unwrap();
    // The server may see the close before or after the handler has run.
    let response = read_to_end(stream);
    assert!(
        response.is_empty() || response.ends_with("one"),
        "{response}"
    );
}

#[rstest]
#[case::two_lengths(
    "POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\ncontent-length: 5\r\n\r\nabcde"
)]
#[case::length_and_chunks(
    "POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n"
)]
#[case::negative_length("POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: -1\r\n\r\n")]
#[case::signed_length("POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: +3\r\n\r\nabc")]
#[case::unknown_coding("POST /x HTTP/1.1\r\nhost: a\r\ntransfer-encoding: gzip\r\n\r\n")]
#[case::chunked_twice(
    "POST /x HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n\r\n"
)]
#[case::no_host("GET /x HTTP/1.1\r\n\r\n")]
#[case::two_hosts("GET /x HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n")]
#[case::not_http("this is not http\r\n\r\n")]
#[case::space_before_colon("GET /x HTTP/1.1\r\nhost : a\r\n\r\n")]
#[case::folded_header("GET /x HTTP/1.1\r\nhost: a\r\nx: 1\r\n 2\r\n\r\n")]
fn malformed_request_gets_400_and_close(#[case] request: &str) {
    let (address, service, _shutdown) = serve(ServerLimits::default());
    let mut stream = connect(address);
    stream
        .write_all([request, &get_request_text("/safe/1")].concat().as_bytes())
        .unwrap();
    let response = read_to_end(stream);
    assert!(response.starts_with("HTTP/1.1 400"), "{response}");
    assert!(response.contains("connection: close"), "{response}");
    assert!(service.started().is_empty());
}

#[test]
fn incomplete_head_gets_408_and_close() {
    let head_timeout = Duration::from_millis(100);
    let (address, service, _shutdown) = serve(ServerLimits {
        head_timeout,
        ..ServerLimits::default()
    });
    let mut stream = connect(address);
    stream.write_all(b"GET /safe/1 HTTP/1.1\r\n").unwrap();
    let response = read_to_end(stream);
    assert!(response.starts_with("HTTP/1.1 408"), "{response}");
    assert!(service.started().is_empty());
}

#[test]
fn idle_connection_is_closed_without_response() {
    let idle_timeout = Duration::from_millis(100);
    let (address, _service, _shutdown) = serve(ServerLimits {
        idle_timeout,
        ..ServerLimits::default()
    });
    assert_eq!(read_to_end(connect(address)), "");
}

#[test]
fn idle_timeout_starts_at_the_last_response() {
    let idle_timeout = Duration::from_millis(600);
    let (address, service, _shutdown) = serve(ServerLimits {
        idle_timeout,
        ..ServerLimits::default()
    });
    let mut stream = connect(address);
    stream
        .write_all(get_request_text("/safe/1").as_bytes())
        .unwrap();
    service.wait_started("/safe/1");
    std::thread::sleep(idle_timeout.mul_f64(0.8));
    service.release("/safe/1", "one");
    read_responses(&mut stream, 1);
    std::thread::sleep(idle_timeout.mul_f64(0.6));
    service.release("/safe/2", "two");
    stream
        .write_all(get_request_text("/safe/2").as_bytes())
        .unwrap();
    assert!(read_responses(&mut stream, 1)[0].ends_with("two"));
}

#[test]
fn oversized_head_gets_431() {
    let (address, service, _shutdown) = serve(ServerLimits {
        max_head_bytes: 1_000,
        ..ServerLimits::default()
    });
    let mut stream = connect(address);
    let large = format!(
        "GET /safe/1 HTTP/1.1\r\nhost: a\r\nx: {}\r\n\r\n",
        "x".repeat(2_000)
    );
    stream.write_all(large.as_bytes()).unwrap();
    let response = read_to_end(stream);
    assert!(response.starts_with("HTTP/1.1 431"), "{response}");
    assert!(service.started().is_empty());
}

#[rstest]
#[case::length("content-length: 11\r\n\r\nhello world", Ok(11))]
#[case::chunks(
    "transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n6;x=1\r\n world\r\n0\r\nt: 1\r\n\r\n",
    Ok(11)
)]
#[case::bad_chunk("transfer-encoding: chunked\r\n\r\n5\r\nhelloworld\r\n0\r\n\r\n", Err(()))]
#[case::bad_size("transfer-encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n", Err(()))]
fn body_framing_is_decoded(#[case] rest: &str, #[case] read: Result<usize, ()>) {
    let (address, service, _shutdown) = serve(ServerLimits::default());
    service.release("/read", "done");
    let mut stream = connect(address);
    let request = format!("POST /read HTTP/1.1\r\nhost: a\r\n{rest}");
    stream.write_all(request.as_bytes()).unwrap();
    assert!(read_responses(&mut stream, 1)[0].ends_with("done"));
    let seen = service.update_observations(|observations| observations.bodies["/read"].clone());
    assert_eq!(seen.map_err(|_| ()), read);
}

#[test]
fn large_body_is_followed_by_the_next_request() {
    let (address, service, _shutdown) = serve(ServerLimits::default());
    service.release("/read", "first");
    service.release("/safe/2", "second");
    let mut stream = connect(address);
    let head = "POST /read HTTP/1.1\r\nhost: a\r\ncontent-length: 360000\r\n\r\n";
    stream.write_all(head.as_bytes()).unwrap();
    stream.write_all(&vec![b'x'; 360_000]).unwrap();
    stream
        .write_all(get_request_text("/safe/2").as_bytes())
        .unwrap();
    let responses = read_responses(&mut stream, 2);
    assert!(responses[1].ends_with("second"), "{responses:?}");
    let seen = service.update_observations(|observations| observations.bodies["/read"].clone());
    assert_eq!(seen, Ok(360_000));
}

#[test]
fn truncated_request_body_is_never_complete() {
    let (address, service, _shutdown) = serve(ServerLimits::default());
    let mut stream = connect(address);
    let request = "POST /read HTTP/1.1\r\nhost: a\r\ncontent-length: 100\r\n\r\nabc";
    stream.write_all(request.as_bytes()).unwrap();
    std::thread::sleep(Duration::from_millis(50));
    drop(stream);
    service.wait_until("the handler is dropped", |observations| {
        observations.dropped.len() == 1
    });
    assert!(service.started().is_empty());
    let seen =
        service.update_observations(|observations| observations.bodies.get("/read").cloned());
    assert_eq!(seen, None);
}

#[test]
fn continue_is_sent_when_the_body_is_read() {
    let (address, service, _shutdown) = serve(ServerLimits::default());
    service.release("/read", "done");
    let mut stream = connect(address);
    let head =
        "POST /read HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\ncontent-length: 3\r\n\r\n";
    stream.write_all(head.as_bytes()).unwrap();
    let mut interim = [0; 25];
    stream.read_exact(&mut interim).unwrap();
    assert_eq!(&interim, b"HTTP/1.1 100 Continue\r\n\r\n");
    stream.write_all(b"abc").unwrap();
    assert!(read_responses(&mut stream, 1)[0].ends_with("done"));
}

#[test]
fn continue_is_not_sent_for_an_unread_body() {
    let (address, service, _shutdown) = serve(ServerLimits::default());
    service.release("/once/1", "no");
    let mut stream = connect(address);
    let head =
        "POST /once/1 HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\ncontent-length: 3\r\n\r\n";
    stream.write_all(head.as_bytes()).unwrap();
    let response = read_to_end(stream);
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert!(response.contains("connection: close"), "{response}");
}

#[test]
fn early_response_to_a_large_body_closes_the_connection() {
    let (address, service, _shutdown) = serve(ServerLimits::default());
    service.release("/once/1", "no");
    let mut stream = connect(address);
    let head = "POST /once/1 HTTP/1.1\r\nhost: a\r\ncontent-length: 360000\r\n\r\n";
    stream.write_all(head.as_bytes()).unwrap();
    let _ = stream.write_all(&vec![b'x'; 360_000]);
    let response = read_to_end(stream);
    assert!(
        response.starts_with("HTTP/1.1 200") && response.ends_with("no"),
        "{response}"
    );
}

#[test]
fn early_response_to_a_small_body_keeps_the_connection() {
    let (address, service, _shutdown) = serve(ServerLimits::default());
    service.release("/once/1", "no");
    service.release("/safe/2", "two");
    let mut stream = connect(address);
    let request = "POST /once/1 HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\nabc";
    stream
        .write_all([request, &get_request_text("/safe/2")].concat().as_bytes())
        .unwrap();
    assert!(read_responses(&mut stream, 2)[1].ends_with("two"));
}

#[rstest]
#[case::chunks("HTTP/1.1")]
#[case::close("HTTP/1.0")]
fn truncated_response_is_never_complete(#[case] version: &str) {
    let (address, _service, _shutdown) = serve(ServerLimits::default());
    let mut stream = connect(address);
    let request = format!("GET /broken {version}\r\nhost: a\r\n\r\n");
    stream.write_all(request.as_bytes()).unwrap();
    let mut response = Vec::new();
    let ended = stream.read_to_end(&mut response);
    let reset = ended.is_err();
    let cut = !response.ends_with(b"0\r\n\r\n") && version == "HTTP/1.1";
    assert!(reset || cut, "{}", String::from_utf8_lossy(&response));
}

#[test]
fn http_1_0_closes_unless_keep_alive_is_requested() {
    let (address, service, _shutdown) = serve(ServerLimits::default());
    service.release("/safe/1", "one");
    let mut stream = connect(address);
    stream.write_all(b"GET /safe/1 HTTP/1.0\r\n\r\n").unwrap();
    assert!(read_to_end(stream).ends_with("one"));
    service.release("/safe/2", "two");
    service.release("/safe/3", "three");
    let mut stream = connect(address);
    for number in [2, 3] {
        let request = format!("GET /safe/{number} HTTP/1.0\r\nconnection: keep-alive\r\n\r\n");
        stream.write_all(request.as_bytes()).unwrap();
        let response = read_responses(&mut stream, 1);
        assert!(
            response[0].contains("connection: keep-alive"),
            "{response:?}"
        );
    }
}

#[test]
fn head_response_has_no_body() {
    let (address, service, _shutdown) = serve(ServerLimits::default());
    service.release("/safe/1", "");
    service.release("/safe/2", "two");
    let mut stream = connect(address);
    let head = "HEAD /safe/1 HTTP/1.1\r\nhost: a\r\n\r\n";
    stream
        .write_all([head, &get_request_text("/safe/2")].concat().as_bytes())
        .unwrap();
    let mut bytes = Vec::new();
    let mut piece = [0; 4_096];
    while !bytes.ends_with(b"two") {
        let length = stream.read(&mut piece).unwrap();
        bytes.extend_from_slice(&piece[..length]);
    }
    assert_eq!(
        String::from_utf8_lossy(&bytes)
            .matches("HTTP/1.1 200")
            .count(),
        2
    );
}

#[test]
fn shutdown_completes_started_requests_and_closes() {
    let (address, service, shutdown) = serve(ServerLimits::default());
    let mut stream = connect(address);
    stream
        .write_all(
            [get_request_text("/safe/1"), get_request_text("/safe/2")]
                .concat()
                .as_bytes(),
        )
        .unwrap();
    service.wait_started("/safe/2");
    let idle = connect(address);
    shutdown.start();
    assert_eq!(read_to_end(idle), "");
    service.release("/safe/1", "one");
    service.release("/safe/2", "two");
    let responses = read_to_end(stream);
    assert!(responses.ends_with("two"), "{responses}");
    assert_eq!(
        responses.matches("connection: close").count(),
        1,
        "{responses}"
    );
    let begun = Instant::now();
    task::block_on(shutdown.wait_closed());
    assert!(begun.elapsed() < CONDITION_TIMEOUT);
}

#[test]
fn status_204_has_no_body() {
    let listener = bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    let server = Server::new(ServerLimits::default(), ShutdownHandle::default());
    let service = |_request: Request<RequestBody>, _peer| async {
        let mut response = Response::new(empty());
        *response.status_mut() = http::StatusCode::NO_CONTENT;
        response
    };
    task::spawn(server.serve(listener, service));
    let mut stream = connect(address);
    stream
        .write_all(b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
        .unwrap();
    let response = read_to_end(stream);
    assert!(response.starts_with("HTTP/1.1 204"), "{response}");
    assert!(!response.contains("content-length"), "{response}");
}
