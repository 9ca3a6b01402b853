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
    /// The body goes out evenly over the work, instead of at its end.
    pub streams: bool,
}

#[derive(Default)]
struct State {
    running: usize,
    waiting: usize,
    /// It says and does nothing more.
    dark: bool,
    /// How many times as long its work takes; 0 counts as 1.
    slowness: u32,
    draining: bool,
    gone: bool,
    sequence: u64,
    /// Requests that it has begun to work on, by id.
    runs: BTreeMap<String, u32>,
}

#[derive(Clone)]
pub struct Backend {
    pub id: String,
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
            id: spec.id,
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
        self.record.tell(format!("{} falls silent", self.id));
    }

    /// Work that begins from now on takes `times` as long.
    pub fn turn_slow(&self, times: u32) {
        self.state.0.lock().unwrap().slowness = times;
        self.record
            .tell(format!("work at {} takes {times} times as long", self.id));
    }

    /// Says that it leaves, and goes on serving. True when that was acknowledged.
    pub fn drain(&self) -> bool {
        self.state.0.lock().unwrap().draining = true;
        let acknowledged = self.heartbeat();
        self.record.tell(format!(
            "{} says it is draining, acknowledged: {acknowledged}",
            self.id
        ));
        acknowledged
    }

    /// How often each request has begun to run here.
    pub fn runs(&self) -> BTreeMap<String, u32> {
        self.state.0.lock().unwrap().runs.clone()
    }

    pub fn running(&self) -> usize {
        self.state.0.lock().unwrap().running
    }

    fn is_dark(&self) -> bool {
        self.state.0.lock().unwrap().dark
    }

    fn report_regularly(&self) {
        loop {
            if self.is_dark() || self.state.0.lock().unwrap().gone {
                return;
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
        let (sequence, state) = {
            let mut state = self.state.0.lock().unwrap();
            state.sequence += 1;
            (
                state.sequence,
                if state.draining { "draining" } else { "ready" },
            )
        };
        let body = format!(
            "{{\"address\":\"{}\",\"born\":{},\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\
             \"zone\":\"{}\",\"slots\":{}}},\"status\":{{\"state\":\"{state}\",\"sequence\":{sequence},\
             \"cold_remaining_ms\":0}}}}",
            self.address, self.born, self.service, self.zone, self.slots
        );
        let path = format!("/v1/instances/{}/heartbeat", self.id);
        ask(self.reports, "POST", &path, &body).is_ok_and(|(status, _)| status == 200)
    }

    fn connection(&self, stream: TcpStream) -> io::Result<()> {
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::with_capacity(1 << 16, stream);
        loop {
            let Some(head) = Head::read(&mut reader)? else {
                return Ok(());
            };
            let bytes = head.skip_body(&mut reader)?;
            self.answer(&head, bytes, &mut writer)?;
        }
    }

    fn answer(&self, head: &Head, bytes: usize, to: &mut TcpStream) -> io::Result<()> {
        let id = head
            .header("x-rampthread-request-id")
            .unwrap_or_default()
            .to_string();
        self.stay_dark();
        let target = head.header("x-rampthread-target-instance");
        if target.is_some_and(|target| target != self.id) {
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
        *self
            .state
            .0
            .lock()
            .unwrap()
            .runs
            .entry(id.clone())
            .or_default() += 1;
        self.record
            .note(format!("{} runs {id} ({bytes} bytes)", self.id));
        let mut plan = (self.plan)(head, bytes);
        plan.work *= self.state.0.lock().unwrap().slowness.max(1);
        let answered = self.work(&id, plan, deadline, to);
        self.state.0.lock().unwrap().running -= 1;
        self.state.1.notify_all();
        let done = answered.is_ok();
        self.record
            .note(format!("{} has answered {id}: {done}", self.id));
        answered
    }

    fn work(&self, id: &str, plan: Plan, deadline: Instant, to: &mut TcpStream) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nx-rampthread-request-id: {id}\r\n\
             x-rampthread-response-signature: sig.{}.{id}\r\n\
             x-rampthread-server-load: {},0,{}\r\ncontent-length: {}\r\n\r\n",
            self.id,
            self.running(),
            self.slots,
            plan.bytes
        );
        let start = Instant::now();
        if plan.streams {
            to.write_all(head.as_bytes())?;
        }
        let piece = vec![b'f'; 1 << 16];
        let mut sent = 0;
        loop {
            self.stay_dark();
            let now = Instant::now();
            let done = match plan.work.is_zero() {
                true => 1.0,
                false => (now - start).as_secs_f64() / plan.work.as_secs_f64(),
            };
            if plan.streams || done >= 1.0 {
                if !plan.streams && sent == 0 {
                    to.write_all(head.as_bytes())?;
                }
                let due = (plan.bytes as f64 * done.min(1.0)) as usize;
                while sent < due {
                    let size = (due - sent).min(piece.len());
                    to.write_all(&piece[..size])?;
                    sent += size;
                }
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
            .note(format!("{} refuses {id} with {status}", self.id));
        write!(
            to,
            "HTTP/1.1 {status} {text}\r\nx-rampthread-request-id: {id}\r\n\
             x-rampthread-not-executed: 1\r\ncontent-length: 0\r\n\r\n"
        )
    }

    /// A back end that has fallen silent does not go on.
    fn stay_dark(&self) {
        while self.is_dark() {
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
