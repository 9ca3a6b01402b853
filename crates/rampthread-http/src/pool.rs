//! A client pool that knows whether a request can have left.
//!
//! hyper hands a request back when it never reached the connection; only then
//! does [`SendError::NotSent`] come out. A connection that the peer closed
//! while it was idle therefore never turns one request into two.

use crate::body::Body;
use crate::connect::{ConnectError, connect};
use crate::time::BootInstant;
use bytes::Bytes;
use http::{Request, Response};
use hyper::body::{Body as _, Frame, Incoming, SizeHint};
use hyper::client::conn::http1::{self, SendRequest};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;

/// Which connections a request may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// Any idle connection.
    Any,
    /// An idle connection only if it was used a moment ago; for requests that
    /// may not run twice.
    Recent,
}

/// Share of the time promised by the peer for which an idle connection is used.
const KEPT_SHARE: f64 = 0.8;

/// Settings of a pool.
#[derive(Debug, Clone, Copy)]
pub struct PoolSettings {
    /// Wait for a connection.
    pub connect_wait: Duration,
    /// Idle connections kept to one address.
    pub max_idle: usize,
    /// Age at which an idle connection is dropped.
    pub idle_limit: Duration,
    /// Age up to which an idle connection counts as recent.
    pub recent_limit: Duration,
    /// Time after which bytes that the peer does not acknowledge end the
    /// connection; none: the system's own.
    pub unacknowledged: Option<Duration>,
}

impl Default for PoolSettings {
    fn default() -> Self {
        Self {
            connect_wait: Duration::from_secs(1),
            max_idle: 256,
            idle_limit: Duration::from_secs(20),
            recent_limit: Duration::from_secs(5),
            unacknowledged: None,
        }
    }
}

/// Why there is no answer, and whether the request can have run.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// No byte of the request left; a second try is safe.
    #[error("not sent: {reason}")]
    NotSent {
        /// What happened.
        reason: String,
        /// True when the peer cannot be reached at all.
        unreachable: bool,
    },
    /// The request may have run.
    #[error("sent, then lost: {reason}")]
    Lost {
        /// What happened.
        reason: String,
    },
}

impl SendError {
    /// The same for a question that goes before a request: whatever became of
    /// it, the request itself was not sent.
    pub fn of_a_question(self) -> Self {
        match self {
            SendError::Lost { reason } => SendError::NotSent {
                reason,
                unreachable: false,
            },
            not_sent => not_sent,
        }
    }
}

impl From<ConnectError> for SendError {
    fn from(error: ConnectError) -> Self {
        SendError::NotSent {
            reason: error.to_string(),
            unreachable: true,
        }
    }
}

struct Idle {
    sender: SendRequest<Body>,
    since: BootInstant,
    /// Time for which the peer said that it keeps an idle connection.
    kept_for: Option<Duration>,
}

impl Idle {
    fn usable(&self, limit: Duration) -> bool {
        let limit = self.kept_for.map_or(limit, |kept| limit.min(kept));
        self.since.elapsed() < limit && !self.sender.is_closed()
    }
}

type IdleMap = Arc<Mutex<HashMap<SocketAddr, Vec<Idle>>>>;

/// Connections by address.
#[derive(Clone)]
pub struct Pool {
    idle: IdleMap,
    settings: PoolSettings,
}

/// An answer whose body gives the connection back when it ends.
pub type Sent = Response<PooledBody>;

impl Pool {
    /// An empty pool.
    pub fn new(settings: PoolSettings) -> Self {
        Self {
            idle: IdleMap::default(),
            settings,
        }
    }

    /// Sends one request. The caller bounds the time; dropping the future
    /// closes the connection, which cancels the request at the peer.
    pub async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<Body>,
        freshness: Freshness,
    ) -> Result<Sent, SendError> {
        while let Some(idle) = self.take_idle(address, freshness) {
            match self.send_on(idle, address, request).await {
                Ok(response) => return Ok(response),
                Err(Attempt::HandedBack(handed_back)) => request = *handed_back,
                Err(Attempt::Lost(error)) => return Err(error),
            }
        }
        let sender = self.open(address).await?;
        match self.send_on(sender, address, request).await {
            Ok(response) => Ok(response),
            Err(Attempt::HandedBack(_)) => Err(SendError::NotSent {
                reason: "the connection closed before the request was sent".to_string(),
                unreachable: false,
            }),
            Err(Attempt::Lost(error)) => Err(error),
        }
    }

    async fn open(&self, address: SocketAddr) -> Result<SendRequest<Body>, SendError> {
        let io = connect(
            address,
            self.settings.connect_wait,
            self.settings.unacknowledged,
        )
        .await?;
        let (sender, connection) =
            http1::handshake(io)
                .await
                .map_err(|error| SendError::NotSent {
                    reason: error.to_string(),
                    unreachable: false,
                })?;
        async_std::task::spawn(async move {
            if let Err(error) = connection.await {
                tracing::trace!(%address, %error, "connection ended");
            }
        });
        Ok(sender)
    }

    async fn send_on(
        &self,
        mut sender: SendRequest<Body>,
        address: SocketAddr,
        request: Request<Body>,
    ) -> Result<Sent, Attempt> {
        if sender.ready().await.is_err() {
            return Err(Attempt::HandedBack(Box::new(request)));
        }
        match sender.try_send_request(request).await {
            Ok(response) => {
                let kept_for = kept_for(response.headers());
                Ok(response.map(|inner| PooledBody {
                    inner,
                    home: Some(Home {
                        sender,
                        address,
                        idle: self.idle.clone(),
                        max_idle: self.settings.max_idle,
                        kept_for,
                    }),
                }))
            }
            Err(mut error) => match error.take_message() {
                Some(request) => Err(Attempt::HandedBack(Box::new(request))),
                None => Err(Attempt::Lost(SendError::Lost {
                    reason: describe(&error.into_error()),
                })),
            },
        }
    }

    fn take_idle(&self, address: SocketAddr, freshness: Freshness) -> Option<SendRequest<Body>> {
        let limit = match freshness {
            Freshness::Any => self.settings.idle_limit,
            Freshness::Recent => self.settings.recent_limit,
        };
        let mut idle = self
            .idle
            .lock()
            .unwrap_or_else(|broken| broken.into_inner());
        let connections = idle.get_mut(&address)?;
        while let Some(candidate) = connections.pop() {
            if candidate.usable(limit) {
                return Some(candidate.sender);
            }
        }
        None
    }
}

fn describe(error: &hyper::Error) -> String {
    use std::error::Error;
    match error.source() {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}

enum Attempt {
    HandedBack(Box<Request<Body>>),
    Lost(SendError),
}

/// What `Keep-Alive: timeout=N` promises, less a margin, since the close may
/// cross a request.
fn kept_for(headers: &http::HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text
        .split(',')
        .filter_map(|part| part.trim().strip_prefix("timeout="))
        .find_map(|seconds| seconds.trim().parse().ok())?;
    Some(Duration::from_secs(seconds).mul_f64(KEPT_SHARE))
}

struct Home {
    sender: SendRequest<Body>,
    address: SocketAddr,
    idle: IdleMap,
    max_idle: usize,
    kept_for: Option<Duration>,
}

impl Home {
    fn give_back(self) {
        let mut idle = self
            .idle
            .lock()
            .unwrap_or_else(|broken| broken.into_inner());
        let connections = idle.entry(self.address).or_default();
        if connections.len() < self.max_idle && !self.sender.is_closed() {
            connections.push(Idle {
                sender: self.sender,
                since: BootInstant::now(),
                kept_for: self.kept_for,
            });
        }
    }
}

/// A body from a pooled connection. Dropped before its end, it closes the
/// connection, so that no late byte can reach another request.
pub struct PooledBody {
    inner: Incoming,
    home: Option<Home>,
}

impl PooledBody {
    /// Ends the connection after this answer: what follows on it cannot be
    /// trusted.
    pub fn abandon(mut self) {
        self.home = None;
    }
}

impl hyper::body::Body for PooledBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(context);
        let ended = matches!(polled, Poll::Ready(None))
            || (matches!(polled, Poll::Ready(Some(Ok(_)))) && self.inner.is_end_stream());
        if ended && let Some(home) = self.home.take() {
            home.give_back();
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

impl Drop for PooledBody {
    fn drop(&mut self) {
        if self.inner.is_end_stream()
            && let Some(home) = self.home.take()
        {
            home.give_back();
        }
    }
}
