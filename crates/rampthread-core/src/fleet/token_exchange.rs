//! Messages by which nodes share the tokens of tenants' rate limits.
//!
//! Tokens arise from refill time: each node owns its fraction of the time in which limits refill
//! and hands it over to the token pool of its zone. Refill time and tokens are transferred, not
//! copied: the sender gives them up before it sends them. A request without a reply is repeated, and
//! the pool gives the same reply again. See [`quota`](crate::call::quota).

use super::load::TenantHash;
use std::time::Duration;

/// Refill time that a node hands over to a token pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RefillTransfer {
    /// Time for which the whole limit of every tenant refills: the covered time divided by the
    /// number of nodes.
    pub limit_time: Duration,
    /// Time over which the pool releases the tokens, from the receipt of the message.
    pub period: Duration,
}

/// Tokens of one tenant that the sender needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenDemand {
    /// Tenant whose limit the tokens are of.
    pub tenant: TenantHash,
    /// Number of tokens, each for one request.
    pub tokens: u32,
    /// Whether the sender has no token left. A pool lends more to one that has none.
    pub is_urgent: bool,
}

/// Request for tokens, from a node to the token pool of its zone or from one pool to another.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct TokenRequest {
    /// Number of the request, higher than those of the sender's earlier requests. Repeated by a
    /// retry, so that the refill time counts once, and by the grant.
    pub sequence: u64,
    /// Refill time that the sender hands over; none between pools.
    pub refill: RefillTransfer,
    /// Tokens requested, at most one entry per tenant.
    pub demands: Vec<TokenDemand>,
}

/// Tokens of one tenant handed over by a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GrantedTokens {
    /// Tenant whose limit the tokens are of.
    pub tenant: TenantHash,
    /// Number of tokens, at most as many as requested.
    pub tokens: u32,
    /// Time after which a further request makes sense; zero if all requested tokens were granted.
    pub retry_after: Duration,
}

/// Reply to a [`TokenRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct TokenGrant {
    /// Copied from the request.
    pub sequence: u64,
    /// Whether the pool has only begun to receive the refill time of its zone, e.g. because it
    /// has taken over from another node. Nodes may use their reserves meanwhile.
    pub is_filling: bool,
    /// One entry for each requested tenant that has a limit in the replying node's configuration.
    pub grants: Vec<GrantedTokens>,
}
