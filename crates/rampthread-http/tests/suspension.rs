//! Timeouts and pooled connections after a suspension of the machine. A single test, since the
//! clock offset is global to the process.

use async_std::task::{block_on, spawn};
use bytes::Bytes;
use http::{Request, Response};
use rampthread_http::{
    BootInstant, ConnectionReuse, Pool, PoolSettings, Server, ServerLimits, ShutdownHandle,
    advance_clock_for_tests, bind, full, read_limited, sleep, timeout,
};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time by which the clock jumps to simulate that the machine was suspended.
const SUSPENSION: Duration = Duration::from_secs(30);
/// Maximum real time that a wait across the suspension may take: much shorter than the wait
/// itself, and longer than a single runtime timer.
const MAX_WAKE_DELAY: Duration = Duration::from_secs(2);

/// Simulates a suspension 50 ms from now.
fn suspend_shortly() {
    spawn(async {
        async_std::task::sleep(Duration::from_millis(50)).await;
        advance_clock_for_tests(SUSPENSION);
    });
}

async fn timeouts_and_sleeps_end_after_suspension() {
    let (began, steady) = (BootInstant::now(), Instant::now());
    suspend_shortly();
    let ended = timeout(SUSPENSION / 2, std::future::pending::<()>()).await;
    assert!(ended.is_err());
    assert!(
        steady.elapsed() < MAX_WAKE_DELAY,
        "timeout ended after {:?}",
        steady.elapsed()
    );
    assert!(
        began.elapsed() >= SUSPENSION,
        "the suspension was not counted"
    );

    let steady = Instant::now();
    suspend_shortly();
    sleep(SUSPENSION / 2).await;
    assert!(
        steady.elapsed() < MAX_WAKE_DELAY,
        "sleep ended after {:?}",
        steady.elapsed()
    );
}

async fn timeout_returns_the_output_of_a_completed_future() {
    let completed = timeout(SUSPENSION, async { 7 }).await;
    assert_eq!(completed, Ok(7));
}

/// Sends one request through `pool` and reads the whole response.
async fn send_request(pool: &Pool, address: SocketAddr) {
    let request = Request::builder()
        .uri("/")
        .header("host", "h")
        .body(full(Bytes::new()));
    let sent = pool
        .send(address, request.unwrap(), ConnectionReuse::AnyIdle)
        .await;
    read_limited(sent.unwrap().into_body(), 100).await.unwrap();
}

async fn stale_pooled_connection_is_not_reused() {
    let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let address = listener.local_addr().unwrap();
    let peers: Arc<Mutex<BTreeSet<SocketAddr>>> = Arc::default();
    let seen = peers.clone();
    let server = Server::new(ServerLimits::default(), ShutdownHandle::default());
    spawn(server.serve(listener, move |_, peer| {
        seen.lock().unwrap().insert(peer);
        async { Response::new(full("answer")) }
    }));
    let pool = Pool::new(PoolSettings {
        idle_timeout: SUSPENSION / 2,
        ..PoolSettings::default()
    });
    send_request(&pool, address).await;
    send_request(&pool, address).await;
    assert_eq!(
        peers.lock().unwrap().len(),
        1,
        "idle connection was not reused"
    );
    advance_clock_for_tests(SUSPENSION);
    send_request(&pool, address).await;
    assert_eq!(
        peers.lock().unwrap().len(),
        2,
        "stale connection was reused"
    );
}

#[test]
fn suspension_counts_as_elapsed_time() {
    block_on(async {
        timeouts_and_sleeps_end_after_suspension().await;
        timeout_returns_the_output_of_a_completed_future().await;
        stale_pooled_connection_is_not_reused().await;
    });
}
