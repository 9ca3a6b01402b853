//! The client of the platform against a server that answers slowly or not.

use async_std::io::prelude::*;
use async_std::net::{TcpListener, TcpStream};
use async_std::task::{block_on, sleep, spawn};
use http::Method;
use rampthread_platform::{HttpClient, PlatformError};
use std::net::SocketAddr;
use std::num::NonZeroU32;
use std::time::Duration;

const WAIT: Duration = Duration::from_millis(200);
const PART: &[u8] = &[b'x'; 1_000];

/// How a server answers.
#[derive(Clone, Copy)]
struct Script {
    /// Pause before the head.
    before_head: Duration,
    /// Parts that are declared, and parts that are sent.
    declared: usize,
    sent: usize,
    /// Pause before each part.
    before_part: Duration,
}

async fn answer(mut stream: TcpStream, script: Script) {
    let mut head = vec![0; 4_096];
    while stream.read(&mut head).await.is_ok_and(|read| read > 0) {
        sleep(script.before_head).await;
        let length = script.declared * PART.len();
        let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
        for _ in 0..script.sent {
            sleep(script.before_part).await;
            if stream.write_all(PART).await.is_err() {
                return;
            }
        }
    }
}

async fn server(script: Script) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn(answer(stream, script));
        }
    });
    address
}

async fn ask(client: &HttpClient) -> Result<usize, PlatformError> {
    let answer = client
        .request(Method::GET, "/", Vec::new(), Duration::ZERO)
        .await?;
    Ok(answer.body.len())
}

fn client(address: SocketAddr) -> HttpClient {
    HttpClient::new(address, NonZeroU32::new(1_000).unwrap(), WAIT)
}

/// The whole answer takes four times the wait, but bytes keep coming.
#[test]
fn a_slow_answer_is_read_to_its_end() {
    block_on(async {
        let address = server(Script {
            before_head: Duration::ZERO,
            declared: 16,
            sent: 16,
            before_part: WAIT / 4,
        })
        .await;
        assert_eq!(ask(&client(address)).await.unwrap(), 16 * PART.len());
    });
}

#[test]
fn an_answer_that_stops_moving_is_given_up() {
    block_on(async {
        let address = server(Script {
            before_head: Duration::ZERO,
            declared: 4,
            sent: 2,
            before_part: Duration::ZERO,
        })
        .await;
        let asked = async_std::future::timeout(WAIT * 10, ask(&client(address))).await;
        let error = asked.expect("it ends by itself").unwrap_err();
        assert!(matches!(error, PlatformError::Unknown { .. }), "{error}");
    });
}

/// A segment that is lost twice holds up a body for 0.6 s: longer than the caller waits
/// for the head, but not silence.
#[test]
fn a_pause_of_a_lossy_link_is_not_silence() {
    block_on(async {
        let address = server(Script {
            before_head: Duration::ZERO,
            declared: 3,
            sent: 3,
            before_part: Duration::from_millis(600),
        })
        .await;
        let client = client(address);
        let patience = Duration::from_millis(400);
        let asking = client.request_within(Method::GET, "/", patience);
        assert_eq!(asking.await.unwrap().body.len(), 3 * PART.len());
    });
}

/// The first request is given up; the next one waits longer.
#[test]
fn after_no_answer_in_time_the_next_one_gets_more() {
    block_on(async {
        let address = server(Script {
            before_head: WAIT * 3 / 2,
            declared: 1,
            sent: 1,
            before_part: Duration::ZERO,
        })
        .await;
        let client = client(address);
        assert!(ask(&client).await.is_err());
        assert_eq!(ask(&client).await.unwrap(), PART.len());
    });
}
