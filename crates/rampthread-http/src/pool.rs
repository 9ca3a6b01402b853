//! Client connection pool that reports whether a request may have been sent.
//!
//! hyper returns a request that never reached the connection, and only then is the error
//! [`SendError::NotSent`]. A request is therefore not sent twice when the peer closes an idle
//! connection.

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

/// Which pooled connections a request may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionReuse {
    /// Any idle connection.
    AnyIdle,
    /// Only an idle connection that was used recently, or else a new one; for requests that
    /// must not run twice.
    RecentOnly,
}

/// Fraction of the peer's announced keep-alive timeout for which an idle connection is reused.
const KEEP_ALIVE_RATIO: f64 = 0.8;

/// Timeouts and sizes of a connection pool.
#[derive(Debug, Clone, Copy)]
pub struct PoolSettings {
    /// Maximum time for the peer to accept a connection.
    pub connect_timeout: Duration,
    /// Maximum number of idle connections per peer address; further ones are closed.
    pub max_idle_per_address: usize,
    /// Age at which an idle connection is no longer used.
    pub idle_timeout: Duration,
    /// Maximum idle time of a connection that [`ConnectionReuse::RecentOnly`] may use.
    pub recent_max_age: Duration,
    /// `TCP_USER_TIMEOUT` of the connections; `None` keeps the default of the operating system.
    pub tcp_user_timeout: Option<Duration>,
}

impl Default for PoolSettings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            max_idle_per_address: 256,
            idle_timeout: Duration::from_secs(20),
            recent_max_age: Duration::from_secs(5),
            tcp_user_timeout: None,
        }
    }
}

/// Error of a request that got no response; tells whether the request may have run.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// No part of the request was sent; a retry cannot run it twice.
    #[error("not sent: {reason}")]
    NotSent {
        /// What failed, for logs and error messages.
        reason: String,
        /// The connection could not be opened, as opposed to closing before the request was
        /// sent.
        unreachable: bool,
    },
    /// The request was sent, but no response arrived; the peer may have run the request.
    #[error("sent, then lost: {reason}")]
    ResponseLost {
        /// What failed, for logs and error messages.
        reason: String,
    },
}

impl SendError {
    /// Converts the error of a query that precedes a request: whether or not the query was
    /// sent, the request itself was not.
    pub fn into_not_sent(self) -> Self {
        match self {
            SendError::ResponseLost { reason } => SendError::NotSent {
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

/// A connection without a request in progress.
struct IdleConnection {
    sender: SendRequest<Body>,
    since: BootInstant,
    /// Maximum idle time at which the connection is reused: the keep-alive timeout that the peer
    /// announced, less a margin; `None` if it announced none.
    keep_alive: Option<Duration>,
}

impl IdleConnection {
    /// Whether the connection is open and has been idle for less than `limit` and less than its
    /// keep-alive time.
    fn is_usable(&self, limit: Duration) -> bool {
        let limit = self.keep_alive.map_or(limit, |kept| limit.min(kept));
        self.since.elapsed() < limit && !self.sender.is_closed()
    }
}

type IdleConnections = Arc<Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>>;

/// Idle connections by peer address; clones share them.
#[derive(Clone)]
pub struct Pool {
    idle: IdleConnections,
    settings: PoolSettings,
}

/// A response whose body returns its connection to the pool when it ends.
pub type PooledResponse = Response<PooledBody>;

impl Pool {
    /// Creates a pool without connections.
    pub fn new(settings: PoolSettings) -> Self {
        Self {
            idle: IdleConnections::default(),
            settings,
        }
    }

    /// Sends one request over an idle connection if possible, or else over a new one. There is
    /// no time limit; dropping the future closes the connection, which cancels the request at
    /// the peer.
    pub async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<Body>,
        reuse: ConnectionReuse,
    ) -> Result<PooledResponse, SendError> {
        while let Some(idle) = self.take_idle(address, reuse) {
            match self.send_on(idle, address, request).await {
                Ok(response) => return Ok(response),
                Err(FailedSend::Unsent(unsent)) => request = *unsent,
                Err(FailedSend::Failed(error)) => return Err(error),
            }
        }
        let sender = self.open(address).await?;
        match self.send_on(sender, address, request).await {
            Ok(response) => Ok(response),
            Err(FailedSend::Unsent(_)) => Err(SendError::NotSent {
                reason: "the connection closed before the request was sent".to_string(),
                unreachable: false,
            }),
            Err(FailedSend::Failed(error)) => Err(error),
        }
    }

    /// Opens a new connection to `address` and drives it in a task of its own.
    async fn open(&self, address: SocketAddr) -> Result<SendRequest<Body>, SendError> {
        let io = connect(
            address,
            self.settings.connect_timeout,
            self.settings.tcp_user_timeout,
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

    /// Sends `request` on one connection, and reports whether the request may have been sent.
    async fn send_on(
        &self,
        mut sender: SendRequest<Body>,
        address: SocketAddr,
        request: Request<Body>,
    ) -> Result<PooledResponse, FailedSend> {
        if sender.ready().await.is_err() {
            return Err(FailedSend::Unsent(Box::new(request)));
        }
        match sender.try_send_request(request).await {
            Ok(response) => {
                let keep_alive = keep_alive(response.headers());
                Ok(response.map(|inner| PooledBody {
                    inner,
                    active_connection: Some(ActiveConnection {
                        sender,
                        address,
                        idle: self.idle.clone(),
                        max_idle_per_address: self.settings.max_idle_per_address,
                        keep_alive,
                    }),
                }))
            }
            Err(mut error) => match error.take_message() {
                Some(request) => Err(FailedSend::Unsent(Box::new(request))),
                None => Err(FailedSend::Failed(SendError::ResponseLost {
                    reason: error_text(&error.into_error()),
                })),
            },
        }
    }

    /// Takes an idle connection to `address` that `reuse` allows; closes those that are too
    /// old.
    fn take_idle(&self, address: SocketAddr, reuse: ConnectionReuse) -> Option<SendRequest<Body>> {
        let limit = match reuse {
            ConnectionReuse::AnyIdle => self.settings.idle_timeout,
            ConnectionReuse::RecentOnly => self.settings.recent_max_age,
        };
        let mut idle = self
            .idle
            .lock()
            .unwrap_or_else(|broken| broken.into_inner());
        let connections = idle.get_mut(&address)?;
        while let Some(candidate) = connections.pop() {
            if candidate.is_usable(limit) {
                return Some(candidate.sender);
            }
        }
        None
    }
}

/// Text of a hyper error with its source, which hyper's own text omits.
fn error_text(error: &hyper::Error) -> String {
    use std::error::Error;
    match error.source() {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}

/// Why sending a request on one connection failed.
enum FailedSend {
    /// The request never reached the connection and can be sent on another one.
    Unsent(Box<Request<Body>>),
    /// The request may have been sent.
    Failed(SendError),
}

/// The timeout from `Keep-Alive: timeout=N`, less a margin, since the peer may close the
/// connection while a request is on its way.
fn keep_alive(headers: &http::HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text
        .split(',')
        .filter_map(|part| part.trim().strip_prefix("timeout="))
        .find_map(|seconds| seconds.trim().parse().ok())?;
    Some(Duration::from_secs(seconds).mul_f64(KEEP_ALIVE_RATIO))
}

/// A connection that receives a response body, with the pool that it returns to when the body
/// has ended.
struct ActiveConnection {
    sender: SendRequest<Body>,
    address: SocketAddr,
    idle: IdleConnections,
    max_idle_per_address: usize,
    keep_alive: Option<Duration>,
}

impl ActiveConnection {
    fn return_connection(self) {
        let mut idle = self
            .idle
            .lock()
            .unwrap_or_else(|broken| broken.into_inner());
        let connections = idle.entry(self.address).or_default();
        if connections.len() < self.max_idle_per_address && !self.sender.is_closed() {
            connections.push(IdleConnection {
                sender: self.sender,
                since: BootInstant::now(),
                keep_alive: self.keep_alive,
            });
        }
    }
}

/// Body received over a pooled connection. Dropping it before its end closes the connection, so
/// that no stale bytes reach another request.
pub struct PooledBody {
    inner: Incoming,
    active_connection: Option<ActiveConnection>,
}

impl PooledBody {
    /// Closes the connection instead of returning it to the pool. For a peer whose response
    /// does not match the request.
    pub fn close_connection(mut self) {
        self.active_connection = None;
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
        if ended && let Some(active_connection) = self.active_connection.take() {
            active_connection.return_connection();
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
            && let Some(active_connection) = self.active_connection.take()
        {
            active_connection.return_connection();
        }
    }
}
