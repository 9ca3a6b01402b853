//! Tokens that a node may use on its own while no token pool answers.

/// A node's own part of one tenant's limit, usually much less than a token. To admit that many
/// requests on average, tokens lie one apart on the scale of accumulated refill, with a random
/// offset; a token is available once the refill has reached it, and forfeited once it lies
/// further back than the capacity.
#[derive(Debug, Clone, Copy)]
pub(super) struct TokenReserve {
    /// Refill accumulated so far, in tokens.
    refilled: f64,
    /// Refill at which the next token becomes available.
    next_token: f64,
    /// The node's kept refill time that `refilled` includes, in seconds of the whole limit.
    kept_secs: f64,
}

impl TokenReserve {
    /// Creates a reserve without tokens. `offset` is uniformly random in `0.0..1.0`.
    pub(super) fn new(offset: f64) -> Self {
        Self {
            refilled: 0.0,
            next_token: offset,
            kept_secs: 0.0,
        }
    }

    /// Adds the tokens for the kept refill time, of a limit with `rate` tokens per second.
    /// `capacity_secs` is the usable time. Both times are in seconds of the whole limit.
    pub(super) fn refill(&mut self, kept_secs: f64, capacity_secs: f64, rate: f64) {
        let added = (kept_secs - self.kept_secs).max(0.0) * rate;
        self.kept_secs = kept_secs;
        self.refilled += added;
        let forfeited = self.refilled - capacity_secs * rate - self.next_token;
        if forfeited > 0.0 {
            self.next_token += forfeited.ceil();
        }
    }

    /// Takes a token if one is available.
    pub(super) fn take(&mut self) -> bool {
        let is_available = self.next_token <= self.refilled;
        if is_available {
            self.next_token += 1.0;
        }
        is_available
    }
}
