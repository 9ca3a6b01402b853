//! A back end: slots, service times, cold start, draining, shedding, deadlines,
//! cancellation, and a health endpoint that lags or lies. It counts how often
//! each request id ran, and every answer carries a checksum of its request.
//!
//! On hyper, since async-h1 does not notice a caller that leaves.

use async_std::net::TcpListener;
use http::{Request, Response, StatusCode};
use rampthread_core::call::headers::{DEADLINE_MS, HOPS, OUTCOME};
use rampthread_http::{
    Body, ConnectionReuse, Pool, PoolSettings, RequestBody, Server, ServerLimits, ShutdownHandle,
    full, read_limited,
};
use rampthread_platform::{BackendReport, paths};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Header that names a request for the count of its runs.
pub const REQUEST_ID: &str = "x-request-id";
/// Header with the checksum of the request that an answer belongs to.
pub const CHECKSUM: &str = "x-request-checksum";
/// Header with the value of the secret that arrived, hashed.
pub const SECRET_SEEN: &str = "x-secret-seen";
/// Header with the services that a call is still to pass through.
pub const DEPTH: &str = "x-depth";
/// Path of the switches.
pub const FAULTS_PATH: &str = "/standin/faults";
/// Path of the counts.
pub const COUNTS_PATH: &str = "/standin/counts";

const MAX_BODY: usize = 16 << 20;

/// How a back end behaves.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendBehaviour {
    /// Its service's name, shown in answers.
    pub service: String,
    /// Calls that it runs at once; above, it sheds.
    pub slots: u32,
    /// Connections that it accepts; fixed when it starts to listen.
    pub connections: usize,
    /// Its health endpoint shows what was true up to this long ago, in
    /// milliseconds.
    pub health_lag_ms: u64,
    /// Mean service time, in microseconds; times are exponential.
    pub mean_service_us: u64,
    /// Service times are this many times longer right after the start.
    pub cold_factor: f64,
    /// Time until it is warm, in milliseconds.
    pub warm_after_ms: u64,
    /// It wants no new work.
    pub draining: bool,
    /// Its health endpoint says healthy, whatever happens.
    pub lies_about_health: bool,
    /// It answers nothing.
    pub unhealthy: bool,
    /// Answers are cut after half of the body.
    pub cut_answers: bool,
    /// Bytes of an answer's body, besides the checksum.
    pub answer_bytes: usize,
    /// The node beside it, for calls of its own while [`DEPTH`] is above 0.
    pub calls_on: Option<SocketAddr>,
}

impl Default for BackendBehaviour {
    fn default() -> Self {
        Self {
            service: "service".to_string(),
            slots: 20,
            connections: 1_000,
            health_lag_ms: 0,
            mean_service_us: 2_000,
            cold_factor: 1.0,
            warm_after_ms: 5_000,
            draining: false,
            lies_about_health: false,
            unhealthy: false,
            cut_answers: false,
            answer_bytes: 64,
            calls_on: None,
        }
    }
}

/// What a back end has done.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct BackendCounts {
    /// Runs of each request id.
    pub runs: HashMap<String, u32>,
    /// Calls that began.
    pub begun: u64,
    /// Calls that were answered whole.
    pub ended: u64,
    /// Calls that were shed.
    pub shed: u64,
    /// Most calls at once.
    pub most_at_once: u32,
    /// Calls at once now.
    pub at_once: u32,
}

#[derive(Debug)]
struct State {
    behaviour: BackendBehaviour,
    counts: BackendCounts,
    started: Instant,
    /// What the health endpoint showed last, and since when.
    shown: Option<(Instant, Option<BackendReport>)>,
}

impl State {
    /// What the health endpoint shows: none stands for a failure.
    fn report(&mut self) -> Option<BackendReport> {
        let lag = Duration::from_millis(self.behaviour.health_lag_ms);
        if let Some((since, shown)) = &self.shown
            && since.elapsed() < lag
        {
            return *shown;
        }
        let down = self.behaviour.unhealthy && !self.behaviour.lies_about_health;
        let report = (!down).then_some(BackendReport {
            healthy: true,
            draining: self.behaviour.draining,
            busy_slots: self.counts.at_once,
        });
        self.shown = Some((Instant::now(), report));
        report
    }
}

/// The back end, to be shared with a listener and with tests.
#[derive(Debug, Clone)]
pub struct BackendStandIn {
    state: Arc<Mutex<State>>,
}

impl BackendStandIn {
    /// A back end that starts now.
    pub fn new(behaviour: BackendBehaviour) -> Self {
        Self {
            state: Arc::new(Mutex::new(State {
                behaviour,
                counts: BackendCounts::default(),
                started: Instant::now(),
                shown: None,
            })),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
    }

    /// What it has done.
    pub fn counts(&self) -> BackendCounts {
        self.state().counts.clone()
    }

    /// Changes how it behaves.
    pub fn change(&self, change: impl FnOnce(&mut BackendBehaviour)) {
        change(&mut self.state().behaviour);
    }

    /// Serves until the task is dropped or `stop` begins.
    pub async fn serve(self, listener: TcpListener, stop: ShutdownHandle) {
        let limits = ServerLimits {
            max_connections: self.state().behaviour.connections,
            ..ServerLimits::default()
        };
        let server = Server::new(limits, stop);
        server
            .serve(listener, move |request, _| {
                let backend = self.clone();
                async move { backend.handle(request).await }
            })
            .await;
    }

    async fn handle(self, request: Request<RequestBody>) -> Response<Body> {
        match request.uri().path() {
            paths::HEALTH => self.health(),
            COUNTS_PATH => json(&self.counts()),
            FAULTS_PATH => self.set_behaviour(request).await,
            _ => self.call(request).await,
        }
    }

    fn health(&self) -> Response<Body> {
        match self.state().report() {
            Some(report) => json(&report),
            None => status(StatusCode::INTERNAL_SERVER_ERROR),
        }
    }

    async fn set_behaviour(&self, request: Request<RequestBody>) -> Response<Body> {
        let Ok(body) = read_limited(request.into_body(), MAX_BODY).await else {
            return status(StatusCode::BAD_REQUEST);
        };
        if body.is_empty() {
            return json(&self.state().behaviour);
        }
        match serde_json::from_slice(&body) {
            Ok(behaviour) => {
                self.state().behaviour = behaviour;
                status(StatusCode::NO_CONTENT)
            }
            Err(error) => {
                let mut response = Response::new(full(error.to_string()));
                *response.status_mut() = StatusCode::BAD_REQUEST;
                response
            }
        }
    }

    async fn call(self, request: Request<RequestBody>) -> Response<Body> {
        let Some(_running) = Running::begin(&self) else {
            return shed();
        };
        let (parts, body) = request.into_parts();
        let text = |name: &str| {
            parts
                .headers
                .get(name)
                .and_then(|value| value.to_str().ok())
        };
        if let Some(id) = text(REQUEST_ID) {
            *self.state().counts.runs.entry(id.to_string()).or_default() += 1;
        }
        let Ok(body) = read_limited(body, MAX_BODY).await else {
            return status(StatusCode::BAD_REQUEST);
        };
        let wait = self.service_time();
        let deadline = text(DEADLINE_MS).and_then(|text| text.parse().ok());
        let limit = deadline.map_or(Duration::MAX, Duration::from_millis);
        let wait = wait.min(limit);
        // Even a sleep of no time costs a turn of the timer, about 1 ms.
        if !wait.is_zero() {
            async_std::task::sleep(wait).await;
        }
        let sum = checksum(parts.method.as_str(), &parts.uri.to_string(), &body);
        if let Some(refused) = self.call_on(&parts).await {
            return refused;
        }
        let secret = text("authorization").map(|value| checksum("", "", value.as_bytes()));
        self.answer(&sum, secret)
    }

    /// Calls the next service, as a service does: hops and deadline are passed
    /// on. An answer means that the chain ended with a refusal.
    async fn call_on(&self, parts: &http::request::Parts) -> Option<Response<Body>> {
        let text = |name: &str| {
            parts
                .headers
                .get(name)
                .and_then(|value| value.to_str().ok())
        };
        let depth: u32 = text(DEPTH)?.parse().ok()?;
        let entry = self.state().behaviour.calls_on?;
        let depth = depth.checked_sub(1)?;
        let mut request = Request::builder()
            .uri(parts.uri.clone())
            .header(http::header::HOST, "chain")
            .header(DEPTH, depth);
        for name in [HOPS, DEADLINE_MS] {
            if let Some(value) = text(name) {
                request = request.header(name, value);
            }
        }
        let request = request.body(full("")).ok()?;
        let pool = Pool::new(PoolSettings::default());
        let response = pool
            .send(entry, request, ConnectionReuse::AnyIdle)
            .await
            .ok()?;
        if response.status() == StatusCode::OK {
            return None;
        }
        let (parts, body) = response.into_parts();
        let body = read_limited(body, MAX_BODY).await.ok()?;
        Some(Response::from_parts(parts, full(body)))
    }

    fn service_time(&self) -> Duration {
        let state = self.state();
        let behaviour = &state.behaviour;
        let age = state.started.elapsed().as_millis() as u64;
        let factor = if age < behaviour.warm_after_ms {
            behaviour.cold_factor
        } else {
            1.0
        };
        let mean = behaviour.mean_service_us as f64 * factor;
        let uniform: f64 = rand::random_range(f64::MIN_POSITIVE..1.0);
        Duration::from_micros((-uniform.ln() * mean) as u64)
    }

    fn answer(&self, sum: &str, secret: Option<String>) -> Response<Body> {
        let mut state = self.state();
        state.counts.ended += 1;
        let padding = "x".repeat(state.behaviour.answer_bytes);
        let text = format!("{} {sum} {padding}", state.behaviour.service);
        let body = if state.behaviour.cut_answers {
            cut_body(text)
        } else {
            full(text)
        };
        drop(state);
        let mut builder = Response::builder().header(CHECKSUM, sum);
        if let Some(secret) = secret {
            builder = builder.header(SECRET_SEEN, secret);
        }
        builder
            .body(body)
            .unwrap_or_else(|_| status(StatusCode::INTERNAL_SERVER_ERROR))
    }
}

/// The checksum that ties an answer to its request.
pub fn checksum(method: &str, uri: &str, body: &[u8]) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(method.as_bytes());
    hasher.update(&[0]);
    hasher.update(uri.as_bytes());
    hasher.update(&[0]);
    hasher.update(body);
    hasher.finalize().to_hex()[..32].to_string()
}

/// Declares its whole length and ends halfway.
fn cut_body(text: String) -> Body {
    use futures_lite::stream;
    use http_body_util::{BodyExt, StreamBody};
    let half = bytes::Bytes::from(text[..text.len() / 2].to_string());
    let frames = [
        Ok(hyper::body::Frame::data(half)),
        Err(rampthread_http::BodyError::from("cut")),
    ];
    BodyExt::boxed(StreamBody::new(stream::iter(frames)))
}

struct Running(BackendStandIn);

impl Running {
    fn begin(backend: &BackendStandIn) -> Option<Self> {
        let mut state = backend.state();
        if state.counts.at_once >= state.behaviour.slots || state.behaviour.draining {
            state.counts.shed += 1;
            return None;
        }
        state.counts.begun += 1;
        state.counts.at_once += 1;
        state.counts.most_at_once = state.counts.most_at_once.max(state.counts.at_once);
        Some(Self(backend.clone()))
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.state().counts.at_once -= 1;
    }
}

fn shed() -> Response<Body> {
    let mut response = status(StatusCode::SERVICE_UNAVAILABLE);
    let outcome = http::HeaderValue::from_static("not-run");
    response.headers_mut().insert(OUTCOME, outcome);
    response
}

fn status(code: StatusCode) -> Response<Body> {
    let mut response = Response::new(full(""));
    *response.status_mut() = code;
    response
}

fn json(view: &impl Serialize) -> Response<Body> {
    let mut response = Response::new(full(serde_json::to_string(view).unwrap_or_default()));
    let kind = http::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, kind);
    response
}
