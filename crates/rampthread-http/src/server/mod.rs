//! An accept loop for hyper with limits and a stop that cuts nothing.

use crate::body::Body;
use async_std::net::{TcpListener, TcpStream};
use futures_lite::future;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use smol_hyper::rt::{FuturesIo, SmolTimer};
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Pause after a failed accept, such as one for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Pause between two looks at the number of open connections.
const IDLE_POLL: Duration = Duration::from_millis(10);

/// What one listener lets in.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Connections at once; one more is closed at once.
    pub connections: usize,
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Headers of a request.
    pub headers: usize,
    /// Time for a request's head to arrive, and for which a connection may rest.
    pub head_wait: Duration,
    /// Answers carry a `Date`.
    pub dated: bool,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 4_096,
            head_bytes: 32 * 1024,
            headers: 100,
            head_wait: Duration::from_secs(10),
            dated: true,
        }
    }
}

/// Stops a server: no new connections, requests in flight end, idle
/// connections close.
#[derive(Debug, Clone)]
pub struct Stop {
    sender: async_channel::Sender<Infallible>,
    receiver: async_channel::Receiver<Infallible>,
    open: Arc<AtomicUsize>,
}

impl Default for Stop {
    fn default() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Self {
            sender,
            receiver,
            open: Arc::default(),
        }
    }
}

impl Stop {
    /// Begins the stop.
    pub fn begin(&self) {
        self.sender.close();
    }

    /// Waits until every connection has ended.
    pub async fn ended(&self) {
        while self.open.load(Ordering::Acquire) > 0 {
            async_std::task::sleep(IDLE_POLL).await;
        }
    }

    /// Connections open now.
    pub fn open_connections(&self) -> usize {
        self.open.load(Ordering::Acquire)
    }

    async fn begun(&self) {
        let _ = self.receiver.recv().await;
    }
}

/// Tells the limits that hold for a connection that opens now.
pub type LimitSource = Arc<dyn Fn() -> Limits + Send + Sync>;

/// An accept loop.
pub struct Server {
    /// What is let in.
    pub limits: LimitSource,
    /// Ends it.
    pub stop: Stop,
}

impl Server {
    /// An accept loop whose limits do not change.
    pub fn new(limits: Limits, stop: Stop) -> Self {
        Self {
            limits: Arc::new(move || limits),
            stop,
        }
    }

    /// Serves until stopped. `handle` gets the request and the caller's address;
    /// its future is dropped when the caller leaves.
    pub async fn serve<F, Fut>(self, listener: TcpListener, handle: F)
    where
        F: Fn(Request<Incoming>, SocketAddr) -> Fut + Clone + Send + Sync + 'static,
        Fut: Future<Output = Response<Body>> + Send + 'static,
    {
        loop {
            let accepted = async { Some(listener.accept().await) };
            let stopped = async {
                self.stop.begun().await;
                None
            };
            let Some(accepted) = future::or(accepted, stopped).await else {
                return;
            };
            let Ok((stream, peer)) = accepted else {
                async_std::task::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            let limits = (self.limits)();
            if self.stop.open_connections() >= limits.connections {
                tracing::warn!(%peer, "connection limit reached");
                continue;
            }
            let guard = OpenGuard::new(self.stop.open.clone());
            let (stop, handle) = (self.stop.clone(), handle.clone());
            async_std::task::spawn(async move {
                serve_connection(stream, peer, limits, stop, handle).await;
                drop(guard);
            });
        }
    }
}

struct OpenGuard(Arc<AtomicUsize>);

impl OpenGuard {
    fn new(count: Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::AcqRel);
        Self(count)
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

async fn serve_connection<F, Fut>(
    stream: TcpStream,
    peer: SocketAddr,
    limits: Limits,
    stop: Stop,
    handle: F,
) where
    F: Fn(Request<Incoming>, SocketAddr) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Response<Body>> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let answer = handle(request, peer);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let connection = http1::Builder::new()
        .timer(SmolTimer::new())
        .auto_date_header(limits.dated)
        .header_read_timeout(limits.head_wait)
        .max_headers(limits.headers)
        .max_buf_size(limits.head_bytes.max(8_192))
        .serve_connection(FuturesIo::new(stream), service);
    let mut connection = pin!(connection);
    let ended = async { Some(connection.as_mut().await) };
    let stopped = async {
        stop.begun().await;
        None
    };
    let result = match future::or(ended, stopped).await {
        Some(result) => result,
        None => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        tracing::debug!(%peer, %error, "connection ended with an error");
    }
}
