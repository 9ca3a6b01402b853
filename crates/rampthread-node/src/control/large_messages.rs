//! Control messages too large for a datagram: a few at a time, each once, in
//! the order in which they were asked for. All at once they would share a narrow
//! link and none would arrive in time; one that waits for a silent peer does not stop
//! the others.

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

/// Messages that are sent at the same time.
const SENT_AT_ONCE: usize = 3;
/// Time for which a message occupies one of these places. One that takes longer is still
/// sent, beside the next one, so that a silent peer does not stop the others.
const PLACE_HELD: Duration = Duration::from_millis(300);
/// Messages under way, those that have left their place included, from which on a sender
/// waits for its own to end: it bounds the memory and the connections that silent peers hold.
const MOST_UNDER_WAY: usize = 24;
/// Messages that wait; more are dropped, and asked for again where that matters.
const MAX_WAITING: usize = 64;
/// Time after which bytes that a peer does not acknowledge end its connection:
/// longer than a full queue of a narrow link takes, shorter than a node without
/// power is missed.
const PEER_SILENCE: Duration = Duration::from_secs(3);
/// Longest time for one message: the largest document, over half of a link of
/// 1 Mbit/s.
const LONGEST_SEND: Duration = Duration::from_secs(30);

/// One message on its way.
struct LargeMessage {
    to: NodeId,
    kind: &'static str,
    address: SocketAddr,
    bytes: Vec<u8>,
}

/// Sends large messages to peers.
pub(super) struct LargeMessages {
    queue: async_channel::Sender<LargeMessage>,
    /// Receivers and kinds that wait or are being sent.
    under_way: Arc<Mutex<HashSet<(NodeId, &'static str)>>>,
}

impl LargeMessages {
    /// Starts the senders; they end with the value that is returned.
    pub(super) fn start() -> Self {
        let (queue, waiting) = async_channel::bounded(MAX_WAITING);
        let under_way: Arc<Mutex<HashSet<_>>> = Arc::default();
        let pool = Pool::new(PoolSettings {
            max_idle_per_address: 2,
            tcp_user_timeout: Some(PEER_SILENCE),
            ..PoolSettings::default()
        });
        let unfinished: Arc<AtomicUsize> = Arc::default();
        for _ in 0..SENT_AT_ONCE {
            let (waiting, pool) = (waiting.clone(), pool.clone());
            let sending = send_all(waiting, pool, under_way.clone(), unfinished.clone());
            async_std::task::spawn(sending);
        }
        Self { queue, under_way }
    }

    /// Takes a message for `to`. A peer that is being sent one of the same kind
    /// gets no second one: it asks again if it needs to.
    pub(super) fn send(
        &self,
        to: &NodeId,
        address: SocketAddr,
        kind: &'static str,
        bytes: Vec<u8>,
    ) {
        let key = (to.clone(), kind);
        if !locked(&self.under_way).insert(key.clone()) {
            tracing::debug!(%to, kind, "large control message left out, one is under way");
            return;
        }
        let message = LargeMessage {
            to: to.clone(),
            kind,
            address,
            bytes,
        };
        if self.queue.try_send(message).is_err() {
            locked(&self.under_way).remove(&key);
            tracing::debug!(%to, kind, "large control message left out, too many wait");
        }
    }
}

/// Sends what waits, one message after the other.
async fn send_all(
    waiting: async_channel::Receiver<LargeMessage>,
    pool: Pool,
    under_way: Arc<Mutex<HashSet<(NodeId, &'static str)>>>,
    unfinished: Arc<AtomicUsize>,
) {
    while let Ok(message) = waiting.recv().await {
        unfinished.fetch_add(1, Ordering::AcqRel);
        let sending = send_one(message, pool.clone(), under_way.clone(), unfinished.clone());
        let mut sending = async_std::task::spawn(sending);
        let ended = timeout(PLACE_HELD, &mut sending).await.is_ok();
        if !ended && unfinished.load(Ordering::Acquire) >= MOST_UNDER_WAY {
            sending.await;
        }
    }
}

async fn send_one(
    message: LargeMessage,
    pool: Pool,
    under_way: Arc<Mutex<HashSet<(NodeId, &'static str)>>>,
    unfinished: Arc<AtomicUsize>,
) {
    let LargeMessage {
        to,
        kind,
        address,
        bytes,
    } = message;
    let posted = timeout(LONGEST_SEND, post(&pool, address, bytes)).await;
    locked(&under_way).remove(&(to, kind));
    unfinished.fetch_sub(1, Ordering::AcqRel);
    match posted {
        Ok(Ok(())) => {}
        Ok(Err(error)) => tracing::debug!(%address, kind, error, "large message not delivered"),
        Err(_) => tracing::debug!(%address, kind, "large message not delivered in time"),
    }
}

async fn post(
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

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|broken| broken.into_inner())
}
