//! Routes requests for tokens of rate limits: to the token pool of this zone, which is at the
//! aggregator of the zone's load, and to the pools of other zones. The call path holds the pools.

use super::Agent;
use crate::fleet::action::{Action, Outbox};
use crate::fleet::message::{Message, ProcessEpoch};
use crate::fleet::token_exchange::{RefillTransfer, TokenGrant, TokenRequest};
use crate::ids::NodeId;

/// Where a request for tokens goes.
#[derive(Debug)]
pub enum PoolRoute {
    /// This node holds the pool of its zone.
    ThisNode,
    /// The request is sent to this peer by these actions.
    Peer(NodeId, Vec<Action>),
}

impl Agent {
    /// Sends a request for tokens to the pool of this zone. `avoided` is a member that has not
    /// answered; the next one in the order takes over its pool. `first_pool` is the pool to which
    /// the request has been sent before, if any: it may have counted the refill time, so that no
    /// other pool gets it.
    pub fn send_token_request(
        &mut self,
        request: &TokenRequest,
        avoided: Option<&NodeId>,
        first_pool: Option<&NodeId>,
    ) -> PoolRoute {
        let zone = &self.identity.zone;
        let pool = self.loads.pool_holder(zone, avoided).cloned();
        match pool.filter(|pool| *pool != self.identity.id) {
            None => PoolRoute::ThisNode,
            Some(pool) => {
                let mut request = request.clone();
                if first_pool.is_some_and(|first| *first != pool) {
                    request.refill = RefillTransfer::default();
                }
                let actions = self.send_token_message(&pool, Message::TokenRequest(request));
                PoolRoute::Peer(pool, actions)
            }
        }
    }

    /// Sends the reply of this node's pools to `to`.
    pub fn send_token_grant(&mut self, to: &NodeId, grant: TokenGrant) -> Vec<Action> {
        self.send_token_message(to, Message::TokenGrant(grant))
    }

    /// Sends a request for a loan to the pools of all other zones.
    pub fn send_loan_request(&mut self, request: &TokenRequest) -> Vec<Action> {
        let mut outbox = Outbox::default();
        for pool in self.loads.pool_holders_of_other_zones(&self.identity.zone) {
            outbox.send(pool, Message::TokenRequest(request.clone()));
        }
        self.collect_actions(outbox)
    }

    fn send_token_message(&mut self, to: &NodeId, message: Message) -> Vec<Action> {
        let mut outbox = Outbox::default();
        outbox.send(to, message);
        self.collect_actions(outbox)
    }

    /// Passes a peer's request to the pools of this node.
    pub(super) fn on_token_request(
        &mut self,
        from: NodeId,
        process_epoch: ProcessEpoch,
        request: TokenRequest,
        outbox: &mut Outbox,
    ) {
        if let Some(same_zone) = self.is_in_this_zone(&from) {
            outbox.actions.push(Action::ServeTokens {
                from,
                process_epoch,
                same_zone,
                request,
            });
        }
    }

    /// Passes a pool's reply to the call path.
    pub(super) fn on_token_grant(&mut self, from: &NodeId, grant: TokenGrant, outbox: &mut Outbox) {
        if let Some(same_zone) = self.is_in_this_zone(from) {
            outbox.actions.push(Action::TokensGranted {
                from: from.clone(),
                same_zone,
                grant,
            });
        }
    }

    /// Returns whether a member is in this node's zone; `None` for an unknown node.
    fn is_in_this_zone(&self, member: &NodeId) -> Option<bool> {
        let record = self.membership.record(member)?;
        Some(record.zone == self.identity.zone)
    }
}
