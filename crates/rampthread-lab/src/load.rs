//! Open-loop load: arrival times are fixed beforehand, so that a stall counts
//! against every call that it delays.

use crate::standins::backend::{CHECKSUM, REQUEST_ID, checksum};
use hdrhistogram::Histogram;
use http::{Method, Request, StatusCode};
use rampthread_core::call::headers::{OUTCOME, Outcome};
use rampthread_http::{ConnectionReuse, Pool, PoolSettings, full, read_limited};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const MAX_ANSWER: usize = 16 << 20;
/// Highest latency that is told apart, in microseconds.
const HIGHEST_US: u64 = 120_000_000;
const DIGITS: u8 = 3;

/// One stream of calls.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    /// Where calls go, in turn.
    pub entries: Vec<SocketAddr>,
    /// Host header.
    pub host: String,
    /// Path of every call.
    pub path: String,
    /// Method of every call.
    pub method: Method,
    /// Calls a second.
    pub rate: f64,
    /// How long.
    pub duration: Duration,
    /// Seed of the arrival times.
    pub seed: u64,
    /// The caller gives up after this time.
    pub patience: Duration,
    /// Headers of every call.
    pub headers: Vec<(&'static str, String)>,
}

/// What a caller saw of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Seen {
    /// A whole answer to its own request.
    Answer,
    /// Refused; said not to have run.
    NotRun,
    /// May have run.
    Unknown,
    /// A whole answer to something else: never allowed.
    Wrong,
}

/// What all callers saw.
#[derive(Debug, Clone)]
pub struct LoadReport {
    /// Latencies of answers, from the planned arrival, in microseconds.
    pub latency_us: Histogram<u64>,
    /// What became of each request id.
    pub seen: HashMap<String, Seen>,
    /// Requests sent.
    pub sent: u64,
    /// Time from first to last planned arrival.
    pub duration: Duration,
}

impl LoadReport {
    /// Number of requests that ended as `wanted`.
    pub fn count(&self, wanted: Seen) -> usize {
        self.seen.values().filter(|seen| **seen == wanted).count()
    }

    /// A quantile of the latency, in milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.latency_us.value_at_quantile(quantile) as f64 / 1_000.0
    }
}

/// Runs a plan to its end.
pub async fn run(plan: LoadPlan) -> LoadReport {
    let report = Arc::new(Mutex::new(LoadReport {
        latency_us: Histogram::new_with_bounds(1, HIGHEST_US, DIGITS)
            .expect("the bounds of the histogram are constant and valid"),
        seen: HashMap::new(),
        sent: 0,
        duration: plan.duration,
    }));
    let pool = Pool::new(PoolSettings::default());
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
    let plan = Arc::new(plan);
    let begun = Instant::now();
    let mut due = Duration::ZERO;
    let mut calls = Vec::new();
    for number in 0_u64.. {
        due += arrival_gap(plan.rate, &mut rng);
        if due >= plan.duration {
            break;
        }
        if let Some(wait) = due.checked_sub(begun.elapsed()) {
            async_std::task::sleep(wait).await;
        }
        let (plan, pool, report) = (plan.clone(), pool.clone(), report.clone());
        let planned = begun + due;
        calls.push(async_std::task::spawn(async move {
            one_call(&plan, &pool, &report, number, planned).await;
        }));
    }
    for call in calls {
        call.await;
    }
    let report = report.lock().unwrap_or_else(|broken| broken.into_inner());
    report.clone()
}

fn arrival_gap(rate: f64, rng: &mut impl Rng) -> Duration {
    let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
    Duration::from_secs_f64(-uniform.ln() / rate)
}

async fn one_call(
    plan: &LoadPlan,
    pool: &Pool,
    report: &Mutex<LoadReport>,
    number: u64,
    planned: Instant,
) {
    let entry = plan.entries[number as usize % plan.entries.len()];
    let id = format!("{}-{number}", plan.seed);
    let uri = format!("{}?n={id}", plan.path);
    let body = format!("request {id}").into_bytes();
    let body = if plan.method == Method::GET {
        Vec::new()
    } else {
        body
    };
    let sum = checksum(plan.method.as_str(), &uri, &body);
    let mut request = Request::builder()
        .method(plan.method.clone())
        .uri(&uri)
        .header(http::header::HOST, &plan.host)
        .header(REQUEST_ID, &id);
    for (name, value) in &plan.headers {
        request = request.header(*name, value);
    }
    let Ok(request) = request.body(full(body)) else {
        return;
    };
    let exchange = exchange(pool, entry, request, &sum);
    let seen = async_std::future::timeout(plan.patience, exchange)
        .await
        .unwrap_or(Seen::Unknown);
    let took = planned.elapsed().as_micros() as u64;
    let mut report = report.lock().unwrap_or_else(|broken| broken.into_inner());
    report.sent += 1;
    if seen == Seen::Answer {
        report.latency_us.saturating_record(took.max(1));
    }
    report.seen.insert(id, seen);
}

async fn exchange(
    pool: &Pool,
    entry: SocketAddr,
    request: Request<rampthread_http::Body>,
    sum: &str,
) -> Seen {
    let Ok(response) = pool.send(entry, request, ConnectionReuse::RecentOnly).await else {
        return Seen::Unknown;
    };
    let (parts, body) = response.into_parts();
    let Ok(body) = read_limited(body, MAX_ANSWER).await else {
        return Seen::Unknown;
    };
    if parts.status != StatusCode::OK {
        let outcome = parts
            .headers
            .get(OUTCOME)
            .and_then(|value| value.to_str().ok());
        return match outcome.and_then(Outcome::parse) {
            Some(Outcome::NotRun) => Seen::NotRun,
            _ => Seen::Unknown,
        };
    }
    let own = parts
        .headers
        .get(CHECKSUM)
        .is_some_and(|value| value == sum);
    let whole = String::from_utf8_lossy(&body).contains(sum);
    if own && whole {
        Seen::Answer
    } else {
        Seen::Wrong
    }
}
