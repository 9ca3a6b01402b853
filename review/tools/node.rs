//! Starts nodes as the platform does: with the command of the deploy file and settings from its
//! template.

use crate::http::once;
use crate::record::Record;
use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
    fn sched_getaffinity(process: i32, bytes: usize, mask: *mut u64) -> i32;
    fn sched_setaffinity(process: i32, bytes: usize, mask: *const u64) -> i32;
}

pub const SIGKILL: i32 = 9;
const PR_SET_PDEATHSIG: i32 = 1;

/// Lets a process end with the thread that starts it, which lasts as long as the case.
pub fn end_with_starter(command: &mut Command) {
    // SAFETY: between fork and exec only one call of the system is made.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
            Ok(())
        })
    };
}

/// The processors that a thread may run on, a bit each.
type Processors = [u64; 16];

/// The processors that the calling thread may run on.
fn processors() -> Processors {
    let mut mask = Processors::default();
    // SAFETY: the mask is as long as the call is told.
    unsafe { sched_getaffinity(0, size_of::<Processors>(), mask.as_mut_ptr()) };
    mask
}

/// Lets the calling thread, and what it starts from now on, run on these processors only.
fn run_on(mask: &Processors) {
    // SAFETY: the mask is as long as the call is told, and lives through it.
    unsafe { sched_setaffinity(0, size_of::<Processors>(), mask.as_ptr()) };
}

/// One of `allowed`, another one for each number as far as there are as many.
fn one_of(allowed: &Processors, number: usize) -> Processors {
    let bits = (0..64 * allowed.len()).filter(|bit| allowed[bit / 64] >> (bit % 64) & 1 == 1);
    let bits: Vec<usize> = bits.collect();
    let mut mask = Processors::default();
    if let Some(bit) = bits.get(number % bits.len().max(1)) {
        mask[bit / 64] = 1 << (bit % 64);
    }
    mask
}

/// Sends a signal to a process that this program has started and has not waited for.
pub fn send_signal(process: i32, signal: i32) {
    // SAFETY: the call takes two numbers.
    unsafe { kill(process, signal) };
}

/// How long a process that ended stays away: "started again after a short delay".
pub const RESTART_DELAY: Duration = Duration::from_millis(500);

pub struct Node {
    number: u8,
    pub name: String,
    pub ip: IpAddr,
    pub outbound: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    settings: String,
    log: String,
    process: Arc<Mutex<Option<Child>>>,
    /// The case is over: nothing is started any more.
    over: AtomicBool,
    record: Arc<Record>,
}

/// What the settings of a node are filled with.
pub struct Place<'a> {
    pub number: u8,
    pub zone: &'a str,
    pub service: &'a str,
    pub store: SocketAddr,
    pub budget_slack: u32,
}

impl Node {
    /// Writes the settings of a node; its ports are free ones of a loopback address of its own.
    pub fn new(folder: &str, place: &Place<'_>, record: Arc<Record>) -> std::io::Result<Self> {
        let process = std::process::id();
        let block = (process % 200) as u8 + 20;
        let ip = IpAddr::V4(Ipv4Addr::new(
            127,
            block,
            (process / 200 % 250) as u8,
            place.number,
        ));
        let held: Vec<TcpListener> = (0..5)
            .map(|_| TcpListener::bind((ip, 0)))
            .collect::<Result<_, _>>()?;
        let ports: Vec<SocketAddr> = held
            .iter()
            .map(|one| one.local_addr())
            .collect::<Result<_, _>>()?;
        let name = format!("sidecar-{}-{}", place.zone, place.number);
        let mut text = std::fs::read_to_string("platform/settings.toml.template")?;
        // Parts for contracts that this deployment does not have.
        for part in ["bounds.quota_window_s", "bounds.exposure_share"] {
            let (opens, closes) = (format!("{{{{#{part}}}}}"), format!("{{{{/{part}}}}}"));
            if let (Some(from), Some(to)) = (text.find(&opens), text.find(&closes)) {
                text.replace_range(from..to + closes.len(), "");
            }
        }
        let fields = [
            ("node", name.clone()),
            ("zone", place.zone.to_string()),
            ("region", "powys".to_string()),
            ("service", place.service.to_string()),
            ("listen.outbound", ports[0].to_string()),
            ("listen.ready", ports[1].to_string()),
            ("listen.control", ports[2].to_string()),
            ("ip}}:{{port_range.0", ports[3].to_string()),
            ("ip}}:{{port_range.1", ports[4].to_string()),
            ("platform.address", place.store.to_string()),
            ("bounds.budget_ratio", "0.2".to_string()),
            ("bounds.budget_slack", place.budget_slack.to_string()),
            ("bounds.budget_window_s", "10".to_string()),
            ("bounds.drain_ms", "2000".to_string()),
            ("bounds.grace_s", "6".to_string()),
            ("heartbeat_ms", "1500".to_string()),
        ];
        for (gap, value) in fields {
            text = text.replace(&format!("{{{{{gap}}}}}"), &value);
        }
        let settings = format!("{folder}/{name}.toml");
        std::fs::write(&settings, text)?;
        Ok(Self {
            number: place.number,
            log: format!("{folder}/{name}.log"),
            name,
            ip,
            outbound: ports[0],
            ready: ports[1],
            control: ports[2],
            settings,
            process: Arc::default(),
            over: AtomicBool::new(false),
            record,
        })
    }

    /// Starts the process.
    pub fn start(&self) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new("target/release/rampthread");
        command
            .args(["node", "--settings", &self.settings, "--log-format", "json"])
            .env("RAMPTHREAD_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        let mut process = self.process.lock().unwrap();
        if self.over.load(Ordering::SeqCst) {
            return Ok(());
        }
        end_with_starter(&mut command);
        // A machine of the site shows one processor.
        let allowed = processors();
        run_on(&one_of(&allowed, usize::from(self.number)));
        let started = command.spawn();
        run_on(&allowed);
        *process = Some(started?);
        Ok(())
    }

    pub fn is_ready(&self) -> bool {
        let request = format!(
            "GET /v1/ready HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n",
            self.ready
        );
        let answer = once(self.ready, request.as_bytes(), Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    pub fn process_id(&self) -> i32 {
        self.process
            .lock()
            .unwrap()
            .as_ref()
            .map_or(0, |child| child.id() as i32)
    }

    pub fn signal(&self, signal: i32) {
        let id = self.process_id();
        if id > 0 {
            send_signal(id, signal);
        }
    }

    /// Memory of the process now, in bytes.
    pub fn memory(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.process_id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|text| text.trim().split(' ').next()?.parse::<u64>().ok());
        kilobytes.unwrap_or(0) * 1024
    }

    /// Ends the process and waits for its end.
    pub fn end(&self) {
        self.signal(SIGKILL);
        if let Some(mut child) = self.process.lock().unwrap().take() {
            let _ = child.wait();
        }
    }

    /// Ends the process for good.
    pub fn end_for_good(&self) {
        self.over.store(true, Ordering::SeqCst);
        self.end();
    }

    /// The memory limit of the platform: a process that goes over it is killed, and started again
    /// after a short delay. Returns how often that happened, as it goes on.
    pub fn limit_memory(self: &Arc<Self>, limit: u64, peak: Arc<Mutex<u64>>) -> Arc<Mutex<u32>> {
        let kills = Arc::new(Mutex::new(0));
        let (node, counted) = (Arc::downgrade(self), kills.clone());
        thread::spawn(move || {
            while let Some(node) = node.upgrade() {
                let memory = node.memory();
                {
                    let mut peak = peak.lock().unwrap();
                    *peak = (*peak).max(memory);
                }
                if node.over.load(Ordering::SeqCst) {
                    return;
                }
                if memory > limit {
                    node.record.say(format!(
                        "{} is over its memory: {} of {} MB; the platform kills it",
                        node.name,
                        memory / 1_000_000,
                        limit / 1_000_000
                    ));
                    node.end();
                    *counted.lock().unwrap() += 1;
                    thread::sleep(RESTART_DELAY);
                    let _ = node.start();
                }
                drop(node);
                thread::sleep(Duration::from_millis(2));
            }
        });
        kills
    }
}

/// Waits until `test` holds, for `limit` at most.
pub fn wait(limit: Duration, mut test: impl FnMut() -> bool) -> bool {
    let ends = Instant::now() + limit;
    while Instant::now() < ends {
        if test() {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}
