//! A connection to the store falls silent in the middle of an answer.
//!
//! What users would see: a version is in force late. Order of events: the store's answer
//! to a watch begins, with the new version in it, and the connection falls silent before
//! its end. The node waits for the rest as long as any call may take, 2 s where nothing
//! else is set and 4 s after calls without an answer, and does not tell the silence, since
//! the loss counts as one that may be of the connection alone.
//!
//! Cause: the patience of the caller covers only the head of the answer.

use async_std::io::prelude::*;
use async_std::net::{TcpListener, TcpStream};
use async_std::task::{block_on, sleep, spawn};
use http::Method;
use rampthread_platform::{HttpClient, PlatformError};
use std::net::SocketAddr;
use std::num::NonZeroU32;
use std::time::{Duration, Instant};

/// Wait of other calls: the default of the settings.
const WAIT: Duration = Duration::from_secs(2);
/// What this caller waits.
const PATIENCE: Duration = Duration::from_millis(400);
/// More than twice of that; the bound of a version is 2 s.
const BOUND: Duration = Duration::from_secs(1);

async fn answer_half(mut stream: TcpStream) {
    let mut head = vec![0; 4_096];
    while stream.read(&mut head).await.is_ok_and(|read| read > 0) {
        let half = b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf.";
        if stream.write_all(half).await.is_err() {
            return;
        }
        sleep(WAIT * 10).await;
    }
}

async fn server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn(answer_half(stream));
        }
    });
    address
}

async fn silent_client() -> HttpClient {
    let rate = NonZeroU32::new(1_000).unwrap();
    HttpClient::new(server().await, rate, WAIT)
}

/// The head comes at once; how long the server may hold the request says nothing of
/// the pauses in its answer.
#[test]
fn a_held_request_whose_answer_falls_silent_is_noticed_as_soon() {
    block_on(async {
        let client = silent_client().await;
        let begun = Instant::now();
        let asking = client.request_held_within(Method::GET, "/", WAIT * 2, PATIENCE);
        let error = asking.await.unwrap_err();
        let took = begun.elapsed();
        assert!(took <= BOUND, "after {took:?}: {error}");
        assert!(matches!(error, PlatformError::Silent { .. }), "{error}");
    });
}

#[test]
fn an_answer_that_falls_silent_is_noticed_within_the_callers_patience() {
    block_on(async {
        let rate = NonZeroU32::new(1_000).unwrap();
        let client = HttpClient::new(server().await, rate, WAIT);
        let begun = Instant::now();
        let asking = client.request_within(Method::GET, "/", PATIENCE);
        let error = asking.await.unwrap_err();
        let took = begun.elapsed();
        assert!(took <= BOUND, "after {took:?}: {error}");
        assert!(matches!(error, PlatformError::Silent { .. }), "{error}");
    });
}
