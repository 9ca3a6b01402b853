//! Exchange of rate limit tokens with other nodes: requests this node's tokens from the token
//! pool of its zone, and serves the requests of others if this node holds the pool.

use crate::control::{Control, TokenMessage};
use rampthread_core::call::quota::{QuotaPolicy, TenantQuotas, TokenPools};
use rampthread_core::fleet::{ProcessEpoch, RefillTransfer, TenantHash, TokenGrant, TokenRequest};
use rampthread_core::ids::NodeId;
use rampthread_core::time::Moment;
use rampthread_http::sleep;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// Time after which a request without a reply is repeated. Many times the usual time of an
/// exchange within a zone.
const REPLY_TIMEOUT: Duration = Duration::from_millis(20);
/// Attempts at one pool. Two messages may be lost.
const ATTEMPTS_PER_POOL: u32 = 3;
/// Time for which a pool that has not answered is avoided, and the next member in the order asked
/// instead. By then the exchange of load reports has replaced a failed member.
const AVOIDANCE_TIME: Duration = Duration::from_secs(2);
/// Process number under which this node hands over refill time to its own pool.
const OWN_EPOCH: ProcessEpoch = 0;

/// Tokens that this node holds, its token pools, and the messages about them.
pub(super) struct TokenExchange {
    control: Arc<Control>,
    quotas: Mutex<TenantQuotas>,
    pools: Mutex<TokenPools>,
    /// Requests without a reply, by their sequence number.
    sent: Mutex<HashMap<u64, TokenRequest>>,
    /// Calls that wait for a reply. Dropping the senders wakes them.
    waiting: Mutex<Vec<async_channel::Sender<()>>>,
    /// The holder of the zone's pool that has not answered, and until when it is avoided.
    avoided: Mutex<Option<(NodeId, Moment)>>,
}

impl TokenExchange {
    pub(super) fn new(control: Arc<Control>, policy: QuotaPolicy) -> Self {
        let quotas = TenantQuotas::new(policy, control.clock.now());
        Self {
            control,
            quotas: Mutex::new(quotas),
            pools: Mutex::new(TokenPools::new(policy)),
            sent: Mutex::default(),
            waiting: Mutex::default(),
            avoided: Mutex::default(),
        }
    }

    /// Locks the tokens of this node.
    pub(super) fn quotas(&self) -> MutexGuard<'_, TenantQuotas> {
        lock(&self.quotas)
    }

    /// Locks the token pools of this node.
    pub(super) fn pools(&self) -> MutexGuard<'_, TokenPools> {
        lock(&self.pools)
    }

    /// Handles the messages of other nodes until the task is canceled.
    pub(super) async fn run(self: Arc<Self>) {
        let messages = self.control.token_messages();
        while let Ok(message) = messages.recv().await {
            match message {
                TokenMessage::Request {
                    from,
                    process_epoch,
                    same_zone,
                    request,
                } => self.answer(&from, process_epoch, same_zone, &request),
                TokenMessage::Grant {
                    from,
                    same_zone,
                    grant,
                } => self.on_grant(&from, same_zone, &grant),
            }
        }
    }

    /// Waits until no request for tokens of the tenant is outstanding.
    pub(super) async fn wait_for_reply(&self, tenant: TenantHash) {
        loop {
            let (sender, receiver) = async_channel::bounded::<()>(1);
            lock(&self.waiting).push(sender);
            if !self.quotas().is_awaiting(tenant) {
                return;
            }
            // Ends with an error when the sender is dropped.
            let _ = receiver.recv().await;
        }
    }

    /// Sends the request that is due, if any, and repeats it until there is a reply.
    pub(super) fn send_due_request(self: &Arc<Self>) {
        let now = self.control.clock.now();
        let Some(request) = self.quotas().take_request(now) else {
            return;
        };
        let Some(pool) = self.send(&request, None, now) else {
            self.serve_itself(&request);
            return;
        };
        lock(&self.sent).insert(request.sequence, request.clone());
        async_std::task::spawn(self.clone().repeat_until_answered(request, pool));
    }

    /// Sends a request to the zone's pool, and returns the node that holds it; `None` if it is
    /// this node. `first_pool` is the pool to which the request has been sent before, if any.
    fn send(
        &self,
        request: &TokenRequest,
        first_pool: Option<&NodeId>,
        now: Moment,
    ) -> Option<NodeId> {
        let avoided = lock(&self.avoided).clone();
        let avoided = avoided.filter(|(_, until)| now < *until);
        let avoided = avoided.as_ref().map(|(node, _)| node);
        self.control
            .send_token_request(request, avoided, first_pool)
    }

    /// Serves this node's own request from its own pool.
    fn serve_itself(&self, request: &TokenRequest) {
        let grant = self.serve(&self.control.id, OWN_EPOCH, request);
        let now = self.control.clock.now();
        self.quotas().on_grant(request, &grant, now);
        self.wake_waiting();
    }

    /// Repeats a request that has been sent to `first_pool` until there is a reply: to the same
    /// pool, then to the next member, which takes over.
    async fn repeat_until_answered(self: Arc<Self>, request: TokenRequest, first_pool: NodeId) {
        let mut pool = first_pool.clone();
        for attempt in 1..=2 * ATTEMPTS_PER_POOL {
            sleep(REPLY_TIMEOUT).await;
            if !lock(&self.sent).contains_key(&request.sequence) {
                return;
            }
            let now = self.control.clock.now();
            if attempt.is_multiple_of(ATTEMPTS_PER_POOL) {
                self.avoid(&pool, now);
                if request.demands.is_empty() || attempt == 2 * ATTEMPTS_PER_POOL {
                    break;
                }
            }
            self.control.metrics.token_requests_repeated.inc();
            match self.send(&request, Some(&first_pool), now) {
                Some(next) => pool = next,
                None => {
                    lock(&self.sent).remove(&request.sequence);
                    // The first pool may have counted the refill time.
                    self.serve_itself(&TokenRequest {
                        refill: RefillTransfer::default(),
                        ..request
                    });
                    return;
                }
            }
        }
        let now = self.control.clock.now();
        if lock(&self.sent).remove(&request.sequence).is_some() {
            self.quotas().on_unanswered(&request, now);
            self.wake_waiting();
        }
    }

    /// Sends requests to the next member for a while, since `pool` does not answer.
    fn avoid(&self, pool: &NodeId, now: Moment) {
        let before = lock(&self.avoided).replace((pool.clone(), now + AVOIDANCE_TIME));
        if before.is_none_or(|(node, until)| node != *pool || until <= now) {
            self.control.metrics.token_pools_unresponsive.inc();
            tracing::warn!(%pool, "token pool does not answer; asking the next member");
        }
    }

    /// Replies to a peer's request. A node that only hands over refill time learns from the reply
    /// that the pool is there.
    fn answer(
        &self,
        from: &NodeId,
        process_epoch: ProcessEpoch,
        same_zone: bool,
        request: &TokenRequest,
    ) {
        let grant = match same_zone {
            true => self.serve(from, process_epoch, request),
            false => {
                let active = self.control.active();
                let now = self.control.clock.now();
                self.pools().lend(request, &active.tenants, now)
            }
        };
        self.control.send_token_grant(from, grant);
    }

    /// Serves a request of this zone from the pools, and asks other zones for a loan if the pools
    /// run low.
    fn serve(
        &self,
        from: &NodeId,
        process_epoch: ProcessEpoch,
        request: &TokenRequest,
    ) -> TokenGrant {
        let active = self.control.active();
        let now = self.control.clock.now();
        let mut pools = self.pools();
        let grant = pools.serve(from, process_epoch, request, &active.tenants, now);
        let loan = pools.take_loan_request(now);
        drop(pools);
        if let Some(loan) = loan {
            self.control.send_loan_request(&loan);
        }
        grant
    }

    /// Applies the reply of a pool.
    fn on_grant(&self, from: &NodeId, same_zone: bool, grant: &TokenGrant) {
        let now = self.control.clock.now();
        if !same_zone {
            let active = self.control.active();
            self.pools().on_loan(from, grant, &active.tenants, now);
            return;
        }
        // A repeated request may have two replies; only the first one counts.
        let Some(request) = lock(&self.sent).remove(&grant.sequence) else {
            return;
        };
        self.quotas().on_grant(&request, grant, now);
        self.wake_waiting();
    }

    /// Wakes the calls that wait for a reply.
    fn wake_waiting(&self) {
        lock(&self.waiting).clear();
    }
}

/// Locks a mutex, also after a panic of another thread.
fn lock<T>(held: &Mutex<T>) -> MutexGuard<'_, T> {
    held.lock().unwrap_or_else(|broken| broken.into_inner())
}
