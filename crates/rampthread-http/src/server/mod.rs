//! HTTP/1.1 server with connection limits and graceful shutdown.

mod connection;
mod framing;
mod head;
mod pipeline;
mod request_body;
mod response_head;
mod service;
mod socket;

pub use head::Rejection;
pub use request_body::{RequestBody, RequestBodyError};
pub use service::{ReceivedAt, Service, rejection_response};

use async_std::net::TcpListener;
use connection::Connection;
use futures_lite::future;
use pipeline::Pipeline;
use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Delay after a failed accept, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Interval at which the shutdown polls the number of open connections.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Limits of one listener.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// Maximum number of open connections; the server closes further ones immediately.
    pub max_connections: usize,
    /// Maximum size of a request's head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum time between the first byte of a request and the end of its head.
    pub head_timeout: Duration,
    /// Keep-alive timeout: how long a connection may stay open without a request.
    pub idle_timeout: Duration,
    /// Whether the server adds a `Date` header to responses.
    pub send_date: bool,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            max_connections: 4_096,
            max_head_bytes: 32 * 1024,
            head_timeout: Duration::from_secs(10),
            // Longer than any client pool of this project keeps an idle connection.
            idle_timeout: Duration::from_secs(60),
            send_date: true,
        }
    }
}

/// Handle for shutting down a server: it accepts no new connections, completes requests in
/// progress, and closes idle connections. Clones control the same server.
#[derive(Debug, Clone)]
pub struct ShutdownHandle {
    sender: async_channel::Sender<Infallible>,
    receiver: async_channel::Receiver<Infallible>,
    abort_sender: async_channel::Sender<Infallible>,
    abort_receiver: async_channel::Receiver<Infallible>,
    open: Arc<AtomicUsize>,
}

impl Default for ShutdownHandle {
    fn default() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        let (abort_sender, abort_receiver) = async_channel::bounded(1);
        Self {
            sender,
            receiver,
            abort_sender,
            abort_receiver,
            open: Arc::default(),
        }
    }
}

impl ShutdownHandle {
    /// Starts a graceful shutdown; does not wait for it.
    pub fn start(&self) {
        self.sender.close();
    }

    /// Ends the accept loop and all connections immediately, as if the process had ended.
    pub fn abort(&self) {
        self.start();
        self.abort_sender.close();
    }

    /// Waits for [`ShutdownHandle::abort`].
    async fn aborted(&self) {
        let _ = self.abort_receiver.recv().await;
    }

    /// Waits until all connections have ended.
    pub async fn wait_closed(&self) {
        while self.open.load(Ordering::Acquire) > 0 {
            async_std::task::sleep(SHUTDOWN_POLL_INTERVAL).await;
        }
    }

    /// Number of open connections of the server.
    pub fn open_connections(&self) -> usize {
        self.open.load(Ordering::Acquire)
    }

    /// Whether a graceful shutdown or an abort was started.
    fn has_started(&self) -> bool {
        self.receiver.is_closed()
    }

    /// Waits for the start of a shutdown.
    async fn started(&self) {
        let _ = self.receiver.recv().await;
    }
}

/// Function that returns the current server limits. It is called for every connection and
/// request, so that changed limits apply at once.
pub type LimitsProvider = Arc<dyn Fn() -> ServerLimits + Send + Sync>;

/// Accepts connections and serves HTTP/1.1 on them.
#[derive(Clone)]
pub struct Server {
    /// Limits on connections and requests; they may change while the server runs.
    pub limits: LimitsProvider,
    /// Handle that shuts down this server.
    pub shutdown: ShutdownHandle,
}

impl Server {
    /// Creates a server whose limits do not change.
    pub fn new(limits: ServerLimits, shutdown: ShutdownHandle) -> Self {
        Self {
            limits: Arc::new(move || limits),
            shutdown,
        }
    }

    /// Accepts connections and serves their requests with `service` until a shutdown starts.
    pub async fn serve<S: Service>(self, listener: TcpListener, service: S) {
        let service = Arc::new(service);
        loop {
            let accepted = async { Some(listener.accept().await) };
            let stopped = async {
                self.shutdown.started().await;
                None
            };
            let Some(accepted) = future::or(accepted, stopped).await else {
                return;
            };
            let (stream, peer) = match accepted {
                Ok(accepted) => accepted,
                Err(error) => {
                    tracing::warn!(%error, "failed to accept a connection");
                    async_std::task::sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            let limits = (self.limits)();
            if self.shutdown.open_connections() >= limits.max_connections {
                tracing::warn!(%peer, "connection limit reached; closing the connection");
                continue;
            }
            let guard = ConnectionGuard::new(self.shutdown.open.clone());
            let connection = Connection {
                stream,
                peer,
                server: self.clone(),
                service: service.clone(),
                pipeline: Pipeline::default(),
            };
            let shutdown = self.shutdown.clone();
            async_std::task::spawn(async move {
                future::or(connection.run(), shutdown.aborted()).await;
                drop(guard);
            });
        }
    }
}

/// Counts an open connection until it is dropped.
struct ConnectionGuard(Arc<AtomicUsize>);

impl ConnectionGuard {
    fn new(count: Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::AcqRel);
        Self(count)
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}
