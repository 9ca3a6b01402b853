//! Requests to the platform, with a client-side rate limit.

use crate::error::PlatformError;
use crate::store_era::StoreEras;
use bytes::Bytes;
use governor::clock::{Clock, DefaultClock};
use governor::{DefaultDirectRateLimiter, Quota, RateLimiter};
use http::{HeaderName, Method, Request, StatusCode, header};
use rampthread_http::{
    BootInstant, ConnectionReuse, Pool, PoolSettings, PooledResponse, ReadError, SendError, full,
    read_with_stall_timeout,
};
use std::net::SocketAddr;
use std::num::NonZeroU32;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;
/// Doublings of the wait for an answer. One: a platform that loses answers is
/// asked again soon, and an answer on a full link is waited for.
const MAX_DOUBLINGS: u32 = 1;
/// Shortest pause within a body that counts as silence, however little patience the
/// caller has. TCP sends a lost segment again after 0.2 s and, if it is lost once
/// more, after 0.4 s (Linux, `TCP_RTO_MIN`, doubled as in RFC 6298, section 5.5); the
/// rest is for 125 kB that wait before it on a link of 5 Mbit/s.
const LEAST_STALL: Duration = Duration::from_millis(800);

/// An answer of the platform.
#[derive(Debug)]
pub struct Answer {
    /// Status code.
    pub status: StatusCode,
    /// Whole body.
    pub body: Bytes,
    /// The way of the body over this node's link.
    pub transfer: Transfer,
    /// The era of the store that gave it; 0 where none is followed.
    pub era: u64,
}

/// How the body of an answer came, without the time that the platform took.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Transfer {
    /// Its length.
    pub bytes: u64,
    /// Time from the head of the answer to the end of its body.
    pub time: Duration,
}

/// A client of one HTTP address.
pub struct HttpClient {
    address: SocketAddr,
    pool: Pool,
    limiter: DefaultDirectRateLimiter,
    clock: DefaultClock,
    /// Wait for the head of an answer, and for each further part of it.
    wait: Duration,
    /// Requests in a row without an answer in time.
    unanswered: AtomicU32,
    /// The header that names the era of a store, and what was seen in it.
    eras: Option<(HeaderName, Arc<StoreEras>)>,
}

impl HttpClient {
    /// At most `per_second` requests; each waits `wait` for the head of its answer,
    /// and as long again for each further part. After requests without an answer
    /// the wait is longer: the link may be full rather than the platform away.
    pub fn new(address: SocketAddr, per_second: NonZeroU32, wait: Duration) -> Self {
        Self {
            address,
            pool: Pool::new(PoolSettings::default()),
            limiter: RateLimiter::direct(Quota::per_second(per_second)),
            clock: DefaultClock::default(),
            wait,
            unanswered: AtomicU32::new(0),
            eras: None,
        }
    }

    /// The same for a store that names its era in `header`. An answer of an older era
    /// than one that was seen tells nothing: it comes out as unknown.
    pub fn with_eras(self, header: HeaderName, eras: Arc<StoreEras>) -> Self {
        Self {
            eras: Some((header, eras)),
            ..self
        }
    }

    /// Takes the era that an answer names.
    fn take_era(&self, headers: &http::HeaderMap) -> u64 {
        self.eras.as_ref().map_or(0, |(name, eras)| {
            eras.take(headers.get(name).map(|value| value.as_bytes()))
        })
    }

    fn is_outdated(&self, era: u64) -> bool {
        let eras = self.eras.as_ref();
        eras.is_some_and(|(_, eras)| eras.is_outdated(era))
    }

    fn patience(&self) -> Duration {
        let doublings = self.unanswered.load(Ordering::Relaxed).min(MAX_DOUBLINGS);
        self.wait * (1 << doublings)
    }

    /// Sends a request; `extra_wait` is added for requests that wait at the
    /// server. 429 and 503 come out as not run.
    pub async fn request(
        &self,
        method: Method,
        path_and_query: &str,
        body: Vec<u8>,
        extra_wait: Duration,
    ) -> Result<Answer, PlatformError> {
        let request = self.build(method, path_and_query, body)?;
        let sending = self
            .pool
            .send(self.address, request, ConnectionReuse::AnyIdle);
        let sent = rampthread_http::timeout(self.patience() + extra_wait, sending).await;
        let Ok(sent) = sent else {
            self.unanswered.fetch_add(1, Ordering::Relaxed);
            return Err(PlatformError::Unknown {
                reason: "no answer in time".to_string(),
            });
        };
        if sent.is_ok() {
            self.unanswered.store(0, Ordering::Relaxed);
        }
        self.read_answer(sent, self.patience())
            .await
            .map_err(lost_if_silent)
    }

    /// Sends a request whose answer must begin within `patience` and go on without a
    /// longer pause (0.8 s at least), on a connection that is new or was used a moment
    /// ago: one that rested longer may have been forgotten on the way. What the caller
    /// waits says nothing of the link, so it does not count for the patience of
    /// [`HttpClient::request`].
    pub async fn request_within(
        &self,
        method: Method,
        path_and_query: &str,
        patience: Duration,
    ) -> Result<Answer, PlatformError> {
        self.request_held_within(method, path_and_query, Duration::ZERO, patience)
            .await
    }

    /// The same for a request that the server may hold for `held`, which is added to
    /// the wait for the head of the answer and not to the pauses after it.
    pub async fn request_held_within(
        &self,
        method: Method,
        path_and_query: &str,
        held: Duration,
        patience: Duration,
    ) -> Result<Answer, PlatformError> {
        let wait = held + patience;
        let request = self.build(method, path_and_query, Vec::new())?;
        let sending = self
            .pool
            .send(self.address, request, ConnectionReuse::RecentOnly);
        match rampthread_http::timeout(wait, sending).await {
            Ok(sent) => self.read_answer(sent, patience.max(LEAST_STALL)).await,
            Err(_) => Err(PlatformError::Silent { waited: wait }),
        }
    }

    /// A request within this client's rate.
    fn build(
        &self,
        method: Method,
        path_and_query: &str,
        body: Vec<u8>,
    ) -> Result<Request<rampthread_http::Body>, PlatformError> {
        if let Err(not_until) = self.limiter.check() {
            return Err(PlatformError::NotRun {
                reason: "own rate limit".to_string(),
                retry_after: Some(not_until.wait_time_from(self.clock.now())),
            });
        }
        Request::builder()
            .method(method)
            .uri(path_and_query)
            .header(header::HOST, self.address.to_string())
            .body(full(body))
            .map_err(|error| PlatformError::Protocol {
                reason: error.to_string(),
            })
    }

    /// Reads an answer in whose body no pause is longer than `stall`.
    async fn read_answer(
        &self,
        sent: Result<PooledResponse, SendError>,
        stall: Duration,
    ) -> Result<Answer, PlatformError> {
        let response = sent.map_err(from_send_error)?;
        let status = response.status();
        let era = self.take_era(response.headers());
        let retry_after = retry_after(response.headers());
        let begun = BootInstant::now();
        let body = read_with_stall_timeout(response.into_body(), MAX_ANSWER_BYTES, stall)
            .await
            .map_err(from_read_error)?;
        if matches!(
            status,
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
        ) {
            return Err(PlatformError::NotRun {
                reason: format!("answered {status}"),
                retry_after,
            });
        }
        if status.is_server_error() {
            return Err(PlatformError::Unknown {
                reason: format!("answered {status}"),
            });
        }
        if self.is_outdated(era) {
            return Err(PlatformError::Unknown {
                reason: format!("an answer of era {era}, before the store was restored"),
            });
        }
        let transfer = Transfer {
            bytes: body.len() as u64,
            time: begun.elapsed(),
        };
        Ok(Answer {
            status,
            body,
            transfer,
            era,
        })
    }
}

fn from_send_error(error: SendError) -> PlatformError {
    match error {
        SendError::NotSent { reason, .. } => PlatformError::NotRun {
            reason,
            retry_after: None,
        },
        SendError::ResponseLost { reason } => PlatformError::Unknown { reason },
    }
}

fn from_read_error(error: ReadError) -> PlatformError {
    match error {
        ReadError::Stalled { waited } => PlatformError::Silent { waited },
        ReadError::Body(error) => PlatformError::Unknown {
            reason: error.to_string(),
        },
    }
}

/// Silence after the client's own patience, which no caller gave, is a lost answer.
fn lost_if_silent(error: PlatformError) -> PlatformError {
    match error {
        PlatformError::Silent { waited } => PlatformError::Unknown {
            reason: format!("no byte for {waited:?}"),
        },
        other => other,
    }
}

/// `Retry-After` in seconds (RFC 9110, section 10.2.3).
fn retry_after(headers: &http::HeaderMap) -> Option<Duration> {
    let text = headers.get(header::RETRY_AFTER)?.to_str().ok()?;
    text.trim().parse().ok().map(Duration::from_secs)
}

/// Percent-encodes a query value or key.
pub fn percent_encode(text: &str) -> String {
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b'/' | b'~') {
            encoded.push(byte as char);
        } else {
            encoded.push_str(&format!("%{byte:02X}"));
        }
    }
    encoded
}
