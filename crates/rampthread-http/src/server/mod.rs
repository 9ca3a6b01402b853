//! An accept loop with limits and a stop that cuts nothing, and the connections
//! that it serves.

mod answer_head;
mod connection;
mod framing;
mod head;
mod pipeline;
mod request_body;
mod service;
mod socket;

pub use head::Rejection;
pub use request_body::{RequestBody, RequestBodyError};
pub use service::{ReceivedAt, Service, rejection_answer};

use async_std::net::TcpListener;
use connection::Connection;
use futures_lite::future;
use pipeline::Pipeline;
use std::convert::Infallible;
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
    /// Time for a request's head to arrive after its first byte.
    pub head_wait: Duration,
    /// Time for which a connection may rest between two requests.
    pub idle: Duration,
    /// Answers carry a `Date`.
    pub dated: bool,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 4_096,
            head_bytes: 32 * 1024,
            head_wait: Duration::from_secs(10),
            // Longer than any pool of this product keeps a connection.
            idle: Duration::from_secs(60),
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
    cut_sender: async_channel::Sender<Infallible>,
    cut_receiver: async_channel::Receiver<Infallible>,
    open: Arc<AtomicUsize>,
}

impl Default for Stop {
    fn default() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        let (cut_sender, cut_receiver) = async_channel::bounded(1);
        Self {
            sender,
            receiver,
            cut_sender,
            cut_receiver,
            open: Arc::default(),
        }
    }
}

impl Stop {
    /// Begins the stop.
    pub fn begin(&self) {
        self.sender.close();
    }

    /// Ends the accept loop and every connection at once, whatever runs on them,
    /// as the end of the process would.
    pub fn cut(&self) {
        self.begin();
        self.cut_sender.close();
    }

    async fn was_cut(&self) {
        let _ = self.cut_receiver.recv().await;
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

    /// True once the stop has begun.
    fn has_begun(&self) -> bool {
        self.receiver.is_closed()
    }

    async fn begun(&self) {
        let _ = self.receiver.recv().await;
    }
}

/// Tells the limits that hold now; each request asks anew.
pub type LimitSource = Arc<dyn Fn() -> Limits + Send + Sync>;

/// An accept loop.
#[derive(Clone)]
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

    /// Serves until stopped.
    pub async fn serve<S: Service>(self, listener: TcpListener, service: S) {
        let service = Arc::new(service);
        loop {
            let accepted = async { Some(listener.accept().await) };
            let stopped = async {
                self.stop.begun().await;
                None
            };
            let Some(accepted) = future::or(accepted, stopped).await else {
                return;
            };
            let (stream, peer) = match accepted {
                Ok(accepted) => accepted,
                Err(error) => {
                    tracing::warn!(%error, "a connection cannot be accepted");
                    async_std::task::sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            };
            let limits = (self.limits)();
            if self.stop.open_connections() >= limits.connections {
                tracing::warn!(%peer, "connection limit reached");
                continue;
            }
            let guard = OpenGuard::new(self.stop.open.clone());
            let connection = Connection {
                stream,
                peer,
                server: self.clone(),
                service: service.clone(),
                pipeline: Pipeline::default(),
            };
            let stop = self.stop.clone();
            async_std::task::spawn(async move {
                future::or(connection.run(), stop.was_cut()).await;
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
