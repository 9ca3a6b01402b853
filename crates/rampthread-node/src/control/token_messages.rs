//! Messages about tokens of rate limits, between the agent and the call path.

use super::Control;
use rampthread_core::fleet::{PoolRoute, ProcessEpoch, TokenGrant, TokenRequest};
use rampthread_core::ids::NodeId;
use std::sync::Arc;

/// Messages that may wait for the call path. Further ones count as lost; requests for tokens are
/// repeated.
pub(super) const MAX_QUEUED: usize = 1_024;

/// A message from a peer that the call path handles.
#[derive(Debug)]
pub enum TokenMessage {
    /// A peer asks for tokens.
    Request {
        /// The peer.
        from: NodeId,
        /// Process of the peer.
        process_epoch: ProcessEpoch,
        /// Whether the peer is in this node's zone; otherwise its pool asks for a loan.
        same_zone: bool,
        /// The request.
        request: TokenRequest,
    },
    /// A pool replies to this node's request.
    Grant {
        /// Node that holds the pool.
        from: NodeId,
        /// Whether the pool is that of this node's zone; otherwise it has lent the tokens.
        same_zone: bool,
        /// The reply.
        grant: TokenGrant,
    },
}

impl Control {
    /// Returns the queue of token messages received from peers.
    pub fn token_messages(&self) -> async_channel::Receiver<TokenMessage> {
        self.received_token_messages.clone()
    }

    /// Sends a request to the token pool of this zone, and returns the node that holds the pool;
    /// `None` if it is this node. `avoided` is a member that has not answered, and `first_pool` the
    /// pool that may have counted the refill time of a repeated request.
    pub fn send_token_request(
        self: &Arc<Self>,
        request: &TokenRequest,
        avoided: Option<&NodeId>,
        first_pool: Option<&NodeId>,
    ) -> Option<NodeId> {
        let mut agent = self.agent();
        let route = agent.send_token_request(request, avoided, first_pool);
        drop(agent);
        match route {
            PoolRoute::ThisNode => None,
            PoolRoute::Peer(pool, actions) => {
                self.perform(actions);
                Some(pool)
            }
        }
    }

    /// Replies to a peer's request for tokens.
    pub fn send_token_grant(self: &Arc<Self>, to: &NodeId, grant: TokenGrant) {
        let actions = self.agent().send_token_grant(to, grant);
        self.perform(actions);
    }

    /// Asks the token pools of all other zones for a loan.
    pub fn send_loan_request(self: &Arc<Self>, request: &TokenRequest) {
        let actions = self.agent().send_loan_request(request);
        self.perform(actions);
    }

    /// Queues a peer's message for the call path; drops it if the queue is full.
    pub(super) fn queue_token_message(&self, message: TokenMessage) {
        if self.token_messages.try_send(message).is_err() {
            self.metrics.control_messages_dropped.inc();
        }
    }
}
