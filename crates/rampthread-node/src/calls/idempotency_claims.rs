//! Claims of idempotency keys. A call with a key may run only if a majority of the key's claim
//! holders (nodes chosen by the key) grants a claim. This node is a claim holder itself and
//! asks other claim holders.

use super::peers::{CLAIM_ACTION_HEADER, CLAIM_PATH, CLAIM_RESULT_HEADER, PeerClient};
use crate::control::Control;
use futures_util::future::join_all;
use http::HeaderMap;
use rampthread_core::call::claims::{
    self, ClaimDecision, ClaimReply, ClaimState, ClaimTable, ClaimVote,
};
use rampthread_core::call::headers;
use rampthread_core::ids::NodeId;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// Timeout of a request to one claim holder.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(500);
/// Header of a reply in which a claim holder does not know whether the key is taken: time in
/// milliseconds after which it can decide on a claim request.
const RETRY_AFTER_MS: &str = "rampthread-retry-after-ms";

/// What an entry node asks of a claim holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimAction {
    /// Grant the call a claim to the key.
    Claim,
    /// The call has run; the key stays taken.
    Done,
    /// The call has not run; free the key for another call.
    Release,
}

impl ClaimAction {
    /// Value of the header [`CLAIM_ACTION_HEADER`].
    pub fn as_str(self) -> &'static str {
        match self {
            ClaimAction::Claim => "claim",
            ClaimAction::Done => "done",
            ClaimAction::Release => "release",
        }
    }

    /// Parses the value of the header [`CLAIM_ACTION_HEADER`].
    pub fn parse(value: &str) -> Option<Self> {
        [Self::Claim, Self::Done, Self::Release]
            .into_iter()
            .find(|action| action.as_str() == value)
    }
}

/// The claims that this node holds, and the client for other claim holders.
pub struct IdempotencyClaims {
    control: Arc<Control>,
    peers: Arc<PeerClient>,
    table: Mutex<ClaimTable>,
}

impl IdempotencyClaims {
    /// Creates an empty table of claims. `claim_ttl` is the time after which a claim expires.
    pub fn new(control: Arc<Control>, peers: Arc<PeerClient>, claim_ttl: Duration) -> Self {
        let started = control.clock.now();
        Self {
            control,
            peers,
            table: Mutex::new(ClaimTable::new(started, claim_ttl)),
        }
    }

    fn table(&self) -> MutexGuard<'_, ClaimTable> {
        self.table
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
    }

    /// Applies a claim action to the table of this claim holder.
    pub fn handle_request(&self, action: ClaimAction, key: &str, call_id: &str) -> ClaimReply {
        let now = self.control.clock.now();
        let call = call_id.to_string();
        match action {
            ClaimAction::Claim => self.table().claim(key, &call, now),
            ClaimAction::Done => {
                self.table().done(key, &call, now);
                ClaimReply::Granted
            }
            ClaimAction::Release => {
                self.table().release(key, &call);
                ClaimReply::Granted
            }
        }
    }

    /// Asks all claim holders of `key` to grant a claim to `call_id`, and returns whether the
    /// call may run. If it may not, the claims that were granted are released.
    pub async fn claim(&self, key: &str, call_id: &str) -> ClaimDecision {
        let holders = self.holders(key);
        let mut vote = ClaimVote::new(holders.len());
        let replies = join_all(
            holders
                .iter()
                .map(|holder| self.send_claim_action(holder, ClaimAction::Claim, key, call_id)),
        );
        for reply in replies.await.into_iter().flatten() {
            vote.add(reply);
        }
        let verdict = vote.decision();
        if verdict != ClaimDecision::Run {
            self.notify_holders(ClaimAction::Release, key, call_id)
                .await;
        }
        verdict
    }

    /// Notifies all claim holders of `key` of the outcome of the call.
    pub async fn notify_holders(&self, action: ClaimAction, key: &str, call_id: &str) {
        let holders = self.holders(key);
        join_all(
            holders
                .iter()
                .map(|holder| self.send_claim_action(holder, action, key, call_id)),
        )
        .await;
    }

    /// Returns the nodes that store the claim of the idempotency key `key`, selected by rendezvous
    /// hashing among the nodes in the configuration.
    fn holders(&self, key: &str) -> Vec<NodeId> {
        let active = self.control.active();
        let nodes = active.state.backends().map(|backend| backend.node.clone());
        claims::holders(key, nodes)
    }

    /// Sends a claim action to one claim holder; `None` if the claim holder does not reply in
    /// time.
    async fn send_claim_action(
        &self,
        holder: &NodeId,
        action: ClaimAction,
        key: &str,
        call_id: &str,
    ) -> Option<ClaimReply> {
        if *holder == self.control.id {
            return Some(self.handle_request(action, key, call_id));
        }
        let request = [
            (headers::IDEMPOTENCY_KEY, key),
            (CLAIM_ACTION_HEADER, action.as_str()),
        ];
        let querying = self.peers.query(holder, CLAIM_PATH, call_id, &request);
        let reply = rampthread_http::timeout(HOLDER_TIMEOUT, querying)
            .await
            .ok()??;
        parse_claim_result(&reply)
    }
}

/// Encodes a claim holder's reply to a claim request as headers.
pub fn claim_result_headers(reply: ClaimReply) -> Vec<(&'static str, String)> {
    let value = match reply {
        ClaimReply::Granted => "granted",
        ClaimReply::Taken(ClaimState::Open) => "open",
        ClaimReply::Taken(ClaimState::Done) => "done",
        ClaimReply::CannotTell { .. } => "cannot-tell",
    };
    let mut headers = vec![(CLAIM_RESULT_HEADER, value.to_string())];
    if let ClaimReply::CannotTell { retry_after } = reply {
        headers.push((RETRY_AFTER_MS, retry_after.as_millis().to_string()));
    }
    headers
}

/// Decodes a claim holder's reply to a claim request; `None` if it is malformed.
fn parse_claim_result(headers: &HeaderMap) -> Option<ClaimReply> {
    let value = headers.get(CLAIM_RESULT_HEADER)?.to_str().ok()?;
    Some(match value {
        "granted" => ClaimReply::Granted,
        "open" => ClaimReply::Taken(ClaimState::Open),
        "done" => ClaimReply::Taken(ClaimState::Done),
        _ => {
            let text = headers.get(RETRY_AFTER_MS)?.to_str().ok()?;
            ClaimReply::CannotTell {
                retry_after: Duration::from_millis(text.parse().ok()?),
            }
        }
    })
}
