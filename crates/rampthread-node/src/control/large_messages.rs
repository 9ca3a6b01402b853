//! Sends control messages that are too large for a datagram: a few at a time and each once,
//! in the order in which they were requested.
//!
//! If all were sent at once, they would share a slow link and none would arrive in time. A
//! message to an unresponsive peer doesn't delay messages to other peers for long.

use super::transport::CONTROL_PATH;
use http::{Method, Request};
use rampthread_core::ids::NodeId;
use rampthread_http::timeout;
use rampthread_http::{ConnectionReuse, Pool, PoolSettings, full, read_limited};
use rampthread_wire::MAX_MESSAGE_BYTES;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// Number of sender tasks, each of which sends one message at a time.
const SENDER_TASKS: usize = 3;
/// Time for which a message occupies a sender task. Afterwards the message is sent in the
/// background beside the next message, so that an unresponsive peer doesn't block other
/// peers.
const SENDER_OCCUPANCY: Duration = Duration::from_millis(300);
/// Number of unfinished messages, including those sent in the background, from which on a
/// sender task waits for its message to finish. Bounds the memory and connections that
/// unresponsive peers occupy.
const MAX_UNFINISHED: usize = 24;
/// Maximum number of queued messages. Further messages are dropped, and requested again by
/// the peer if needed.
const MAX_QUEUED: usize = 64;
/// Time after which unacknowledged bytes close the connection to a peer: longer than a full
/// queue of a slow link takes, shorter than the detection of a failed node.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum time to send one message: enough for the largest document over half of a link of
/// 1 Mbit/s.
const SEND_TIMEOUT: Duration = Duration::from_secs(30);

/// A message queued for a peer.
struct LargeMessage {
    to: NodeId,
    kind: &'static str,
    address: SocketAddr,
    bytes: Vec<u8>,
}

/// Queue and sender tasks for large control messages to peers.
pub(super) struct LargeMessages {
    queue: async_channel::Sender<LargeMessage>,
    /// Receivers and kinds of messages that are queued or being sent.
    in_progress: Arc<Mutex<HashSet<(NodeId, &'static str)>>>,
}

impl LargeMessages {
    /// Starts the sender tasks, which end when the returned value is dropped.
    pub(super) fn start() -> Self {
        let (queue, queued) = async_channel::bounded(MAX_QUEUED);
        let in_progress: Arc<Mutex<HashSet<_>>> = Arc::default();
        let pool = Pool::new(PoolSettings {
            max_idle_per_address: 2,
            tcp_user_timeout: Some(UNACKNOWLEDGED_TIMEOUT),
            ..PoolSettings::default()
        });
        let unfinished: Arc<AtomicUsize> = Arc::default();
        for _ in 0..SENDER_TASKS {
            let (queued, pool) = (queued.clone(), pool.clone());
            let sending = run_sender(queued, pool, in_progress.clone(), unfinished.clone());
            async_std::task::spawn(sending);
        }
        Self { queue, in_progress }
    }

    /// Queues a message for `to`. Drops the message if one of the same kind is queued or
    /// being sent for that peer; the peer requests it again if needed.
    pub(super) fn send(
        &self,
        to: &NodeId,
        address: SocketAddr,
        kind: &'static str,
        bytes: Vec<u8>,
    ) {
        let key = (to.clone(), kind);
        if !lock(&self.in_progress).insert(key.clone()) {
            tracing::debug!(%to, kind, "large control message dropped: one is already in progress");
            return;
        }
        let message = LargeMessage {
            to: to.clone(),
            kind,
            address,
            bytes,
        };
        if self.queue.try_send(message).is_err() {
            lock(&self.in_progress).remove(&key);
            tracing::debug!(%to, kind, "large control message dropped: the queue is full");
        }
    }
}

/// Runs one sender task, which sends queued messages one after the other.
async fn run_sender(
    queued: async_channel::Receiver<LargeMessage>,
    pool: Pool,
    in_progress: Arc<Mutex<HashSet<(NodeId, &'static str)>>>,
    unfinished: Arc<AtomicUsize>,
) {
    while let Ok(message) = queued.recv().await {
        unfinished.fetch_add(1, Ordering::AcqRel);
        let sending = send_one(
            message,
            pool.clone(),
            in_progress.clone(),
            unfinished.clone(),
        );
        let mut sending = async_std::task::spawn(sending);
        let ended = timeout(SENDER_OCCUPANCY, &mut sending).await.is_ok();
        if !ended && unfinished.load(Ordering::Acquire) >= MAX_UNFINISHED {
            sending.await;
        }
    }
}

/// Sends one large message and logs a failure.
async fn send_one(
    message: LargeMessage,
    pool: Pool,
    in_progress: Arc<Mutex<HashSet<(NodeId, &'static str)>>>,
    unfinished: Arc<AtomicUsize>,
) {
    let LargeMessage {
        to,
        kind,
        address,
        bytes,
    } = message;
    let posted = timeout(SEND_TIMEOUT, post_message(&pool, address, bytes)).await;
    lock(&in_progress).remove(&(to, kind));
    unfinished.fetch_sub(1, Ordering::AcqRel);
    match posted {
        Ok(Ok(())) => {}
        Ok(Err(error)) => tracing::debug!(%address, kind, error, "large message not delivered"),
        Err(_) => tracing::debug!(%address, kind, "large message not delivered in time"),
    }
}

/// Sends a large message to a peer in an HTTP request.
async fn post_message(
    pool: &Pool,
    address: SocketAddr,
    bytes: Vec<u8>,
) -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
    let request = Request::builder()
        .method(Method::POST)
        .uri(CONTROL_PATH)
        .header(http::header::HOST, address.to_string())
        .body(full(bytes))?;
    let response = pool
        .send(address, request, ConnectionReuse::AnyIdle)
        .await?;
    read_limited(response.into_body(), MAX_MESSAGE_BYTES).await?;
    Ok(())
}

/// Locks a mutex, also after a panic of another thread.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|broken| broken.into_inner())
}
