//! A key-value service in memory: create-if-absent, leases, watches, a rate
//! limit, and switches for outages, slowness, lost answers and late writes.

use async_std::net::TcpListener;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use rampthread_http::serve_tide;
use rampthread_platform::{
    CreateQuery, GrantedLease, KeyValue, LeaseQuery, RangeQuery, RangeReply, WatchQuery,
    WatchReply, paths,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tide::{Request, Response, StatusCode};

/// Longest wait of one watch.
const MAX_WATCH: Duration = Duration::from_secs(60);
/// Step in which an expired lease is noticed.
const EXPIRY_STEP: Duration = Duration::from_millis(50);

/// Switches of the store; all off by default.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// Every request fails; nothing is written.
    pub outage: bool,
    /// Every request takes this much longer, in milliseconds.
    pub delay_ms: u64,
    /// The next so many writes take effect, but their answers are lost.
    pub lose_answers_after_write: u32,
    /// The next so many writes take no effect, and their answers are lost.
    pub lose_answers_before_write: u32,
    /// The next so many writes take effect late; their answers are lost.
    pub late_writes: u32,
    /// How late, in milliseconds.
    pub late_by_ms: u64,
    /// Requests a second; above, 429 with `Retry-After`. 0 means no limit.
    pub requests_per_second: u32,
}

/// What the store has seen.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct StoreCounts {
    /// All requests, refused ones too.
    pub requests: u64,
    /// Requests that were limited.
    pub limited: u64,
    /// Keys written.
    pub writes: u64,
}

#[derive(Debug)]
struct Value {
    bytes: Vec<u8>,
    lease: Option<u64>,
}

#[derive(Debug, Default)]
struct State {
    keys: BTreeMap<String, Value>,
    /// Highest removed key of each top-level prefix.
    removed: HashMap<String, String>,
    leases: HashMap<u64, Lease>,
    next_lease: u64,
    faults: StoreFaults,
    counts: StoreCounts,
    window: Option<Instant>,
    in_window: u32,
    watchers: Vec<async_channel::Sender<()>>,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    expires: Instant,
}

/// The store, to be shared with a listener and with tests.
#[derive(Debug, Clone, Default)]
pub struct StoreStandIn {
    state: Arc<Mutex<State>>,
}

enum Fate {
    Run,
    RunThenLose,
    Lose,
    RunLate(Duration),
}

impl StoreStandIn {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
    }

    /// Sets the switches.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.state().faults = faults;
    }

    /// The switches as they stand.
    pub fn faults(&self) -> StoreFaults {
        self.state().faults.clone()
    }

    /// What the store has seen.
    pub fn counts(&self) -> StoreCounts {
        self.state().counts.clone()
    }

    /// All values, for tests that look for secrets in them.
    pub fn dump(&self) -> Vec<(String, Vec<u8>)> {
        let state = self.state();
        let pairs = state.keys.iter();
        pairs
            .map(|(key, value)| (key.clone(), value.bytes.clone()))
            .collect()
    }

    /// Serves until the task is dropped.
    pub async fn serve(self, listener: TcpListener) {
        let mut app = tide::with_state(self);
        let key = format!("{}*key", paths::KEY);
        app.at(&key).get(get_key).put(put_key).delete(delete_key);
        app.at(paths::RANGE).get(range);
        app.at(paths::WATCH).get(watch);
        app.at(paths::LEASE).post(grant);
        app.at(&format!("{}/:id", paths::LEASE))
            .post(renew)
            .delete(end_lease);
        app.at("/v1/faults").get(read_faults).put(write_faults);
        app.at("/v1/counts").get(read_counts);
        serve_tide(listener, app).await;
    }

    /// Counts the request; an answer means that it goes no further.
    async fn admit(&self) -> Option<Response> {
        let (limited, outage, delay) = {
            let mut state = self.state();
            state.counts.requests += 1;
            state.expire();
            let limited = state.over_limit();
            state.counts.limited += u64::from(limited);
            (limited, state.faults.outage, state.faults.delay_ms)
        };
        if limited {
            let response = Response::builder(StatusCode::TooManyRequests);
            return Some(response.header("retry-after", "1").build());
        }
        if delay > 0 {
            async_std::task::sleep(Duration::from_millis(delay)).await;
        }
        if outage || self.state().faults.outage {
            return Some(Response::new(StatusCode::InternalServerError));
        }
        None
    }

    fn fate(&self) -> Fate {
        let mut state = self.state();
        let faults = &mut state.faults;
        if faults.lose_answers_before_write > 0 {
            faults.lose_answers_before_write -= 1;
            return Fate::Lose;
        }
        if faults.lose_answers_after_write > 0 {
            faults.lose_answers_after_write -= 1;
            return Fate::RunThenLose;
        }
        if faults.late_writes > 0 {
            faults.late_writes -= 1;
            return Fate::RunLate(Duration::from_millis(faults.late_by_ms));
        }
        Fate::Run
    }

    fn create(&self, key: &str, bytes: Vec<u8>, lease: Option<u64>) -> bool {
        let mut state = self.state();
        let lease_gone = lease.is_some_and(|lease| !state.leases.contains_key(&lease));
        if state.keys.contains_key(key) || lease_gone {
            return false;
        }
        state.keys.insert(key.to_string(), Value { bytes, lease });
        state.counts.writes += 1;
        state.wake();
        true
    }
}

impl State {
    fn expire(&mut self) {
        let now = Instant::now();
        let gone: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in gone {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        self.keys.retain(|_, value| value.lease != Some(lease));
        self.leases.remove(&lease).is_some()
    }

    fn over_limit(&mut self) -> bool {
        let limit = self.faults.requests_per_second;
        let now = Instant::now();
        let fresh = self
            .window
            .is_some_and(|since| now - since < Duration::from_secs(1));
        if !fresh {
            self.window = Some(now);
            self.in_window = 0;
        }
        self.in_window += 1;
        limit > 0 && self.in_window > limit
    }

    fn wake(&mut self) {
        for watcher in self.watchers.drain(..) {
            let _ = watcher.try_send(());
        }
    }

    fn range(&self, prefix: &str, after: &str, limit: usize) -> RangeReply {
        let under = || {
            self.keys
                .range(prefix.to_string()..)
                .take_while(|(key, _)| key.starts_with(prefix))
        };
        let items = under()
            .filter(|(key, _)| key.as_str() > after)
            .take(limit)
            .map(|(key, value)| KeyValue {
                key: key.clone(),
                value: STANDARD.encode(&value.bytes),
            })
            .collect();
        RangeReply {
            items,
            last_key: under().next_back_key(),
        }
    }
}

trait LastKey {
    fn next_back_key(self) -> Option<String>;
}

impl<'a, I: Iterator<Item = (&'a String, &'a Value)>> LastKey for I {
    fn next_back_key(self) -> Option<String> {
        self.last().map(|(key, _)| key.clone())
    }
}

fn json(view: &impl Serialize) -> Response {
    Response::builder(StatusCode::Ok)
        .content_type("application/json")
        .body(serde_json::to_string(view).unwrap_or_default())
        .build()
}

async fn put_key(mut request: Request<StoreStandIn>) -> tide::Result {
    let store = request.state().clone();
    if let Some(answer) = store.admit().await {
        return Ok(answer);
    }
    let key = request.param("key")?.to_string();
    let query: CreateQuery = request.query()?;
    let bytes = request.body_bytes().await?;
    let created = match store.fate() {
        Fate::Run => store.create(&key, bytes, query.lease),
        Fate::RunThenLose => {
            store.create(&key, bytes, query.lease);
            return Ok(Response::new(StatusCode::InternalServerError));
        }
        Fate::Lose => return Ok(Response::new(StatusCode::InternalServerError)),
        Fate::RunLate(wait) => {
            async_std::task::spawn(async move {
                async_std::task::sleep(wait).await;
                store.create(&key, bytes, query.lease);
            });
            return Ok(Response::new(StatusCode::InternalServerError));
        }
    };
    Ok(Response::new(if created {
        StatusCode::Created
    } else {
        StatusCode::PreconditionFailed
    }))
}

async fn get_key(request: Request<StoreStandIn>) -> tide::Result {
    let store = request.state();
    if let Some(answer) = store.admit().await {
        return Ok(answer);
    }
    let state = store.state();
    Ok(match state.keys.get(request.param("key")?) {
        Some(value) => Response::builder(StatusCode::Ok)
            .body(value.bytes.clone())
            .build(),
        None => Response::new(StatusCode::NotFound),
    })
}

async fn delete_key(request: Request<StoreStandIn>) -> tide::Result {
    let store = request.state();
    if let Some(answer) = store.admit().await {
        return Ok(answer);
    }
    let key = request.param("key")?.to_string();
    let mut state = store.state();
    if state.keys.remove(&key).is_none() {
        return Ok(Response::new(StatusCode::NotFound));
    }
    let prefix = key
        .split_inclusive('/')
        .next()
        .unwrap_or_default()
        .to_string();
    let highest = state.removed.entry(prefix).or_default();
    if key > *highest {
        *highest = key;
    }
    Ok(Response::new(StatusCode::NoContent))
}

async fn range(request: Request<StoreStandIn>) -> tide::Result {
    let store = request.state();
    if let Some(answer) = store.admit().await {
        return Ok(answer);
    }
    let query: RangeQuery = request.query()?;
    let reply = store
        .state()
        .range(&query.prefix, &query.after, query.limit);
    Ok(json(&reply))
}

async fn watch(request: Request<StoreStandIn>) -> tide::Result {
    let store = request.state();
    if let Some(answer) = store.admit().await {
        return Ok(answer);
    }
    let query: WatchQuery = request.query()?;
    let until = Instant::now() + Duration::from_millis(query.wait_ms).min(MAX_WATCH);
    loop {
        let woken = {
            let mut state = store.state();
            if state.faults.outage {
                return Ok(Response::new(StatusCode::InternalServerError));
            }
            let removed = state.removed.get(&query.prefix);
            if removed.is_some_and(|key| *key > query.after) {
                return Ok(json(&WatchReply::Compacted));
            }
            let reply = state.range(&query.prefix, &query.after, query.limit);
            if !reply.items.is_empty() || Instant::now() >= until {
                return Ok(json(&WatchReply::Keys(reply)));
            }
            let (sender, receiver) = async_channel::bounded(1);
            state.watchers.push(sender);
            receiver
        };
        let left = until.saturating_duration_since(Instant::now());
        let step = left.min(EXPIRY_STEP * 10);
        let _ = async_std::future::timeout(step, woken.recv()).await;
    }
}

async fn grant(request: Request<StoreStandIn>) -> tide::Result {
    let store = request.state();
    if let Some(answer) = store.admit().await {
        return Ok(answer);
    }
    let query: LeaseQuery = request.query()?;
    let ttl = Duration::from_millis(query.ttl_ms);
    let mut state = store.state();
    state.next_lease += 1;
    let id = state.next_lease;
    let expires = Instant::now() + ttl;
    state.leases.insert(id, Lease { ttl, expires });
    Ok(json(&GrantedLease { id }))
}

async fn renew(request: Request<StoreStandIn>) -> tide::Result {
    let store = request.state();
    if let Some(answer) = store.admit().await {
        return Ok(answer);
    }
    let id: u64 = request.param("id")?.parse()?;
    let mut state = store.state();
    Ok(Response::new(match state.leases.get_mut(&id) {
        Some(lease) => {
            lease.expires = Instant::now() + lease.ttl;
            StatusCode::NoContent
        }
        None => StatusCode::NotFound,
    }))
}

async fn end_lease(request: Request<StoreStandIn>) -> tide::Result {
    let store = request.state();
    if let Some(answer) = store.admit().await {
        return Ok(answer);
    }
    let id: u64 = request.param("id")?.parse()?;
    store.state().end_lease(id);
    Ok(Response::new(StatusCode::NoContent))
}

async fn read_faults(request: Request<StoreStandIn>) -> tide::Result {
    Ok(json(&request.state().faults()))
}

async fn write_faults(mut request: Request<StoreStandIn>) -> tide::Result {
    let faults: StoreFaults = request.body_json().await?;
    request.state().set_faults(faults);
    Ok(Response::new(StatusCode::NoContent))
}

async fn read_counts(request: Request<StoreStandIn>) -> tide::Result {
    Ok(json(&request.state().counts()))
}
