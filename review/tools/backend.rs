//! A back end of the platform, as PROTOCOL.md tells it.

use crate::http::{Connection, Message, answer, once};
use crate::record::Record;
use crate::unframed::{BETWEEN, PIECES, piece};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const HEARTBEAT: Duration = Duration::from_millis(1_500);
const QUEUE: u32 = 36;

#[derive(Default)]
struct State {
    id: String,
    starts: u32,
    down: bool,
    work: Duration,
    slots: u32,
    running: u32,
    waiting: u32,
    runs: Vec<String>,
    streams: Vec<TcpStream>,
}

#[derive(Clone)]
pub struct Backend {
    pub address: SocketAddr,
    service: String,
    zone: String,
    state: Arc<Mutex<State>>,
    freed: Arc<Condvar>,
    record: Arc<Record>,
    /// Its answers have no length and end with their connection.
    unframed: bool,
}

impl Backend {
    /// Starts a back end in a process of its own, with answers that have no length.
    pub fn start_unframed(
        address: SocketAddr,
        service: &str,
        zone: &str,
        reports: SocketAddr,
        slots: u32,
        record: Arc<Record>,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let work = BETWEEN * PIECES as u32;
        Self::start_at(listener, service, zone, reports, slots, work, record, true)
    }

    /// Starts a back end whose node takes its heartbeats at `reports`.
    pub fn start(
        ip: IpAddr,
        service: &str,
        zone: &str,
        reports: SocketAddr,
        slots: u32,
        work: Duration,
        record: Arc<Record>,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        Self::start_at(listener, service, zone, reports, slots, work, record, false)
    }

    #[allow(clippy::too_many_arguments)]
    fn start_at(
        listener: TcpListener,
        service: &str,
        zone: &str,
        reports: SocketAddr,
        slots: u32,
        work: Duration,
        record: Arc<Record>,
        unframed: bool,
    ) -> std::io::Result<Self> {
        let backend = Self {
            address: listener.local_addr()?,
            service: service.to_string(),
            zone: zone.to_string(),
            state: Arc::new(Mutex::new(State {
                slots,
                work,
                ..State::default()
            })),
            freed: Arc::default(),
            record,
            unframed,
        };
        backend.name_start();
        backend.listen(listener);
        let reporting = backend.clone();
        thread::spawn(move || reporting.report(reports));
        Ok(backend)
    }

    fn name_start(&self) {
        let mut state = self.state.lock().unwrap();
        state.starts += 1;
        let last = match self.address.ip() {
            IpAddr::V4(ip) => ip.octets()[3],
            IpAddr::V6(_) => 0,
        };
        // Each start has an id of its own, also that of another process.
        let process = std::process::id();
        state.id = format!("i-{last:02x}{process:06x}{:02x}", state.starts);
    }

    fn listen(&self, listener: TcpListener) {
        let backend = self.clone();
        thread::spawn(move || {
            listener.set_nonblocking(true).unwrap();
            loop {
                if backend.state.lock().unwrap().down {
                    return;
                }
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let mut state = backend.state.lock().unwrap();
                        state.streams.extend(stream.try_clone());
                        drop(state);
                        let backend = backend.clone();
                        thread::spawn(move || backend.serve(Connection::new(stream)));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
    }

    /// Crashes, and starts again as a new incarnation after `down`.
    pub fn crash(&self, down: Duration) {
        let streams = {
            let mut state = self.state.lock().unwrap();
            state.down = true;
            std::mem::take(&mut state.streams)
        };
        self.record
            .say(format!("back end {} crashes", self.address));
        for stream in streams {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let backend = self.clone();
        thread::spawn(move || {
            thread::sleep(down);
            let listener = loop {
                match TcpListener::bind(backend.address) {
                    Ok(listener) => break listener,
                    Err(_) => thread::sleep(Duration::from_millis(20)),
                }
            };
            backend.state.lock().unwrap().down = false;
            backend.name_start();
            backend.listen(listener);
            backend
                .record
                .say(format!("back end {} is back", backend.address));
        });
    }

    /// The ids of the requests that it has run, in their order.
    pub fn run_ids(&self) -> Vec<String> {
        self.state.lock().unwrap().runs.clone()
    }

    fn report(&self, reports: SocketAddr) {
        let mut sequence = 0;
        loop {
            let (down, id, slots) = {
                let state = self.state.lock().unwrap();
                (state.down, state.id.clone(), state.slots)
            };
            if !down {
                sequence += 1;
                let body = format!(
                    "{{\"address\":\"{}\",\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\
                     \"zone\":\"{}\",\"slots\":{slots}}},\"status\":{{\"state\":\"ready\",\
                     \"sequence\":{sequence},\"cold_remaining_ms\":0}}}}",
                    self.address, self.service, self.zone
                );
                let request = format!(
                    "POST /v1/instances/{id}/heartbeat HTTP/1.1\r\nHost: {reports}\r\n\
                     Content-Type: application/json\r\nConnection: close\r\n\
                     Content-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                let sent = once(reports, request.as_bytes(), Duration::from_secs(1));
                if sent.map_or(true, |answer| answer.status() != 200) {
                    thread::sleep(Duration::from_millis(200));
                    continue;
                }
            }
            let until = Instant::now() + HEARTBEAT;
            // A new start reports at once.
            while Instant::now() < until && self.state.lock().unwrap().id == id {
                thread::sleep(Duration::from_millis(20));
            }
        }
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(request) = connection.read(false) {
            if self.unframed && request.target() != "/health" {
                self.answer_without_length(&mut connection, &request);
                return;
            }
            let Some(answer) = self.handle(&request) else {
                return;
            };
            if connection.write(&answer).is_err() || request.closes() {
                return;
            }
        }
    }

    /// Sends an answer piece by piece while it works, and closes the connection behind the last.
    fn answer_without_length(&self, connection: &mut Connection, request: &Message) {
        let id = self.state.lock().unwrap().id.clone();
        let Some(request_id) = request.header("x-rampthread-request-id") else {
            return;
        };
        let named = format!("X-Rampthread-Request-Id: {request_id}\r\n");
        if request
            .header("x-rampthread-target-instance")
            .is_some_and(|meant| meant != id)
        {
            let _ = connection.write(&answer("421 Misdirected Request", &named, b""));
            return;
        }
        self.record.line(format!("run {request_id} by {id}"));
        let head = format!(
            "HTTP/1.1 200 OK\r\n{named}X-Rampthread-Response-Signature: {id}.{request_id}\r\n\
             Connection: close\r\n\r\n"
        );
        if connection.write(head.as_bytes()).is_err() {
            return;
        }
        for number in 1..=PIECES {
            thread::sleep(BETWEEN);
            if connection
                .write(piece(request_id, number).as_bytes())
                .is_err()
            {
                return;
            }
        }
        let _ = connection.stream.shutdown(Shutdown::Write);
    }

    fn handle(&self, request: &Message) -> Option<Vec<u8>> {
        let (id, slots) = {
            let state = self.state.lock().unwrap();
            (state.id.clone(), state.slots)
        };
        if request.target() == "/health" {
            return Some(answer(
                "200 OK",
                &format!("X-Rampthread-Instance-Id: {id}\r\n"),
                b"",
            ));
        }
        let Some(request_id) = request.header("x-rampthread-request-id") else {
            let headers = "X-Rampthread-Not-Executed: 1\r\n";
            return Some(answer("400 Bad Request", headers, b""));
        };
        let named = format!("X-Rampthread-Request-Id: {request_id}\r\n");
        if request
            .header("x-rampthread-target-instance")
            .is_some_and(|meant| meant != id)
        {
            return Some(answer("421 Misdirected Request", &named, b""));
        }
        let shed = format!("{named}X-Rampthread-Not-Executed: 1\r\n");
        let left = request
            .header("x-rampthread-deadline")
            .and_then(|left| left.parse().ok());
        let until = Instant::now() + Duration::from_millis(left.unwrap_or(60_000));
        let work = {
            let mut state = self.state.lock().unwrap();
            if state.running >= slots && state.waiting >= QUEUE {
                return Some(answer("503 Service Unavailable", &shed, b""));
            }
            state.waiting += 1;
            while state.running >= slots && Instant::now() < until && !state.down {
                state = self
                    .freed
                    .wait_timeout(state, Duration::from_millis(20))
                    .unwrap()
                    .0;
            }
            state.waiting -= 1;
            if state.down || state.running >= slots || Instant::now() >= until {
                return Some(answer("503 Service Unavailable", &shed, b""));
            }
            state.running += 1;
            state.runs.push(request_id.to_string());
            state.work
        };
        self.record.line(format!(
            "run {request_id} by {id}, {} bytes",
            request.body.len()
        ));
        let ends = Instant::now() + work;
        let mut ended_by_deadline = false;
        while Instant::now() < ends {
            if Instant::now() >= until {
                ended_by_deadline = true;
                break;
            }
            let left = ends.min(until).saturating_duration_since(Instant::now());
            thread::sleep(left.min(Duration::from_millis(20)));
            if self.state.lock().unwrap().id != id {
                return None;
            }
        }
        let load = {
            let mut state = self.state.lock().unwrap();
            state.running = state.running.saturating_sub(1);
            format!("{},{},{slots}", state.running, state.waiting)
        };
        self.freed.notify_one();
        let headers = format!(
            "{named}X-Rampthread-Response-Signature: {id}.{request_id}\r\n\
             X-Rampthread-Server-Load: {load}\r\n"
        );
        let body = format!("{request_id}: {} bytes\n", request.body.len());
        Some(match ended_by_deadline {
            true => answer("504 Gateway Timeout", &headers, b""),
            false => answer("200 OK", &headers, body.as_bytes()),
        })
    }
}
