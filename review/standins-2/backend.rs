//! A back end as PROTOCOL.md describes it: it reports to the node beside it, works on `slots`
//! requests at a time, queues a few more, and answers with its signature.

use crate::record::Record;
use crate::wire::{Head, ask, serve};
use std::collections::BTreeMap;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Waiting requests for each slot; beyond that the back end is full.
const QUEUE_PER_SLOT: usize = 4;
const STEP: Duration = Duration::from_millis(20);

/// How a request is answered.
#[derive(Clone, Copy)]
pub struct Plan {
    pub work: Duration,
    pub bytes: usize,
    pub pace: Pace,
}

/// When the body of an answer goes out.
#[derive(Clone, Copy, PartialEq)]
pub enum Pace {
    /// Evenly over the work.
    Evenly,
    /// One half at the start of the work, the other at its end.
    HalfAtOnce,
}

/// One run of a request.
#[derive(Clone, Copy)]
pub struct Span {
    pub begin: Instant,
    /// `None` while it works.
    pub end: Option<Instant>,
}

#[derive(Default)]
struct State {
    running: usize,
    waiting: usize,
    /// It says and does nothing more.
    dark: bool,
    /// Number of its incarnation. Connections of earlier ones stay silent.
    start: u32,
    sequence: u64,
    /// Requests that it has begun to work on, by id.
    runs: BTreeMap<String, Vec<Span>>,
}

#[derive(Clone)]
pub struct Backend {
    name: String,
    service: String,
    zone: String,
    slots: usize,
    address: SocketAddr,
    reports: SocketAddr,
    born: u128,
    record: Record,
    plan: Arc<dyn Fn(&Head, usize) -> Plan + Send + Sync>,
    state: Arc<(Mutex<State>, Condvar)>,
}

pub struct BackendSpec {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: usize,
    pub address: SocketAddr,
    pub reports: SocketAddr,
}

impl Backend {
    pub fn start(
        record: &Record,
        spec: BackendSpec,
        plan: impl Fn(&Head, usize) -> Plan + Send + Sync + 'static,
    ) -> Backend {
        let listener = TcpListener::bind(spec.address).expect("the back end's port");
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let backend = Backend {
            name: spec.id,
            service: spec.service,
            zone: spec.zone,
            slots: spec.slots,
            address: spec.address,
            reports: spec.reports,
            born: now.as_millis(),
            record: record.clone(),
            plan: Arc::new(plan),
            state: Arc::default(),
        };
        let serving = backend.clone();
        serve(listener, move |stream| drop(serving.connection(stream)));
        let reporting = backend.clone();
        std::thread::spawn(move || reporting.report_regularly());
        backend
    }

    /// It falls silent: no byte, no report and no new connection from now on.
    pub fn go_dark(&self) {
        self.state.0.lock().unwrap().dark = true;
        self.state.1.notify_all();
        self.record.tell(format!("{} falls silent", self.id()));
    }

    /// Id of the present incarnation.
    pub fn id(&self) -> String {
        format!("{}-{}", self.name, self.state.0.lock().unwrap().start)
    }

    /// Starts again, as the next incarnation. It knows nothing of before.
    pub fn start_again(&self) {
        {
            let mut state = self.state.0.lock().unwrap();
            state.dark = false;
            state.start += 1;
            state.running = 0;
            state.waiting = 0;
            state.sequence = 0;
        }
        self.record.tell(format!("{} has started", self.id()));
    }

    /// The runs of a request here.
    pub fn spans(&self, id: &str) -> Vec<Span> {
        let state = self.state.0.lock().unwrap();
        state.runs.get(id).cloned().unwrap_or_default()
    }

    pub fn running(&self) -> usize {
        self.state.0.lock().unwrap().running
    }

    fn is_dark(&self) -> bool {
        self.state.0.lock().unwrap().dark
    }

    fn start_number(&self) -> u32 {
        self.state.0.lock().unwrap().start
    }

    fn report_regularly(&self) {
        loop {
            if self.is_dark() {
                std::thread::sleep(STEP);
                continue;
            }
            let pause = if self.heartbeat() {
                HEARTBEAT
            } else {
                HEARTBEAT / 3
            };
            std::thread::sleep(pause);
        }
    }

    fn heartbeat(&self) -> bool {
        let sequence = {
            let mut state = self.state.0.lock().unwrap();
            state.sequence += 1;
            state.sequence
        };
        let body = format!(
            "{{\"address\":\"{}\",\"born\":{},\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\
             \"zone\":\"{}\",\"slots\":{}}},\"status\":{{\"state\":\"ready\",\"sequence\":{sequence},\
             \"cold_remaining_ms\":0}}}}",
            self.address,
            self.born + u128::from(self.start_number()),
            self.service,
            self.zone,
            self.slots
        );
        let path = format!("/v1/instances/{}/heartbeat", self.id());
        ask(self.reports, "POST", &path, &body).is_ok_and(|(status, _)| status == 200)
    }

    fn connection(&self, stream: TcpStream) -> io::Result<()> {
        let start = self.start_number();
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::with_capacity(1 << 16, stream);
        loop {
            let Some(head) = Head::read(&mut reader)? else {
                return Ok(());
            };
            let bytes = head.skip_body(&mut reader)?;
            self.answer(start, &head, bytes, &mut writer)?;
        }
    }

    fn answer(&self, start: u32, head: &Head, bytes: usize, to: &mut TcpStream) -> io::Result<()> {
        let id = head
            .header("x-rampthread-request-id")
            .unwrap_or_default()
            .to_string();
        self.stay_dark(start);
        let target = head.header("x-rampthread-target-instance");
        if target.is_some_and(|target| target != self.id()) {
            return self.refuse(421, "Misdirected Request", &id, to);
        }
        let arrived = Instant::now();
        let left = head
            .header("x-rampthread-deadline")
            .and_then(|text| text.parse().ok());
        let deadline = arrived + Duration::from_millis(left.unwrap_or(60_000));
        if !self.take_slot(deadline) {
            return self.refuse(503, "Service Unavailable", &id, to);
        }
        if self.start_number() != start {
            self.state.0.lock().unwrap().running -= 1;
        }
        self.stay_dark(start);
        self.record
            .note(format!("{} runs {id} ({bytes} bytes)", self.id()));
        let run = self.begin_run(&id);
        let plan = (self.plan)(head, bytes);
        let answered = self.work(start, &id, plan, deadline, to);
        self.end_run(&id, run);
        let done = answered.is_ok();
        self.record
            .note(format!("{} has answered {id}: {done}", self.id()));
        answered
    }

    /// Notes the start of a run; returns its number among those of the request.
    fn begin_run(&self, id: &str) -> usize {
        let mut state = self.state.0.lock().unwrap();
        let runs = state.runs.entry(id.to_string()).or_default();
        runs.push(Span {
            begin: Instant::now(),
            end: None,
        });
        runs.len() - 1
    }

    fn end_run(&self, id: &str, run: usize) {
        let mut state = self.state.0.lock().unwrap();
        state.running -= 1;
        if let Some(run) = state.runs.get_mut(id).and_then(|runs| runs.get_mut(run)) {
            run.end = Some(Instant::now());
        }
        self.state.1.notify_all();
    }

    fn work(
        &self,
        start: u32,
        id: &str,
        plan: Plan,
        deadline: Instant,
        to: &mut TcpStream,
    ) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nx-rampthread-request-id: {id}\r\n\
             x-rampthread-response-signature: sig.{}.{id}\r\n\
             x-rampthread-server-load: {},0,{}\r\ncontent-length: {}\r\n\r\n",
            self.id(),
            self.running(),
            self.slots,
            plan.bytes
        );
        let began = Instant::now();
        to.write_all(head.as_bytes())?;
        let piece = vec![b'f'; 1 << 16];
        let mut sent = 0;
        loop {
            self.stay_dark(start);
            let now = Instant::now();
            let done = match plan.work.is_zero() {
                true => 1.0,
                false => (now - began).as_secs_f64() / plan.work.as_secs_f64(),
            };
            let due = match plan.pace {
                _ if done >= 1.0 => plan.bytes,
                Pace::Evenly => (plan.bytes as f64 * done) as usize,
                Pace::HalfAtOnce => plan.bytes / 2,
            };
            while sent < due {
                let size = (due - sent).min(piece.len());
                to.write_all(&piece[..size])?;
                sent += size;
            }
            if done >= 1.0 {
                return Ok(());
            }
            // A back end stops work at the deadline that it is handed, and drops a request
            // whose connection has closed.
            if now >= deadline || has_closed(to)? {
                to.shutdown(std::net::Shutdown::Both)?;
                return Err(io::ErrorKind::TimedOut.into());
            }
            std::thread::sleep(STEP.min(plan.work));
        }
    }

    /// Waits for a slot until `deadline`; false if it is full.
    fn take_slot(&self, deadline: Instant) -> bool {
        let mut state = self.state.0.lock().unwrap();
        if state.waiting >= self.slots * QUEUE_PER_SLOT {
            return false;
        }
        state.waiting += 1;
        while state.running >= self.slots {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                state.waiting -= 1;
                return false;
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
        state.waiting -= 1;
        state.running += 1;
        true
    }

    fn refuse(&self, status: u16, text: &str, id: &str, to: &mut TcpStream) -> io::Result<()> {
        self.record
            .note(format!("{} refuses {id} with {status}", self.id()));
        write!(
            to,
            "HTTP/1.1 {status} {text}\r\nx-rampthread-request-id: {id}\r\n\
             x-rampthread-not-executed: 1\r\ncontent-length: 0\r\n\r\n"
        )
    }

    /// A back end that has fallen silent does not go on, nor does a connection of an earlier
    /// incarnation.
    fn stay_dark(&self, start: u32) {
        while self.is_dark() || self.start_number() != start {
            std::thread::sleep(Duration::from_secs(1));
        }
    }
}

/// Whether the other side has closed the connection.
fn has_closed(stream: &TcpStream) -> io::Result<bool> {
    stream.set_nonblocking(true)?;
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false)?;
    Ok(match peeked {
        Ok(count) => count == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    })
}
