//! Requests between nodes: the client, and the service behind the listener for peers.

use super::gate::Gate;
use super::header_filter;
use super::hop_headers;
use super::idempotency_claims::{ClaimAction, IdempotencyClaims, claim_result_headers};
use super::response::{CallError, set_response_header};
use crate::control::{CONTROL_PATH, Control};
use http::{HeaderMap, Method, Request, Response, StatusCode};
use rampthread_core::call::cause::Cause;
use rampthread_core::call::dialect::CallDialect;
use rampthread_core::call::fence::{FenceAnswer, FenceStatus};
use rampthread_core::call::fence_outcome::FenceReply;
use rampthread_core::call::headers::{self, Outcome};
use rampthread_core::call::path_delay::PathDelays;
use rampthread_core::ids::NodeId;
use rampthread_core::time::Moment;
use rampthread_http::{
    Body, ConnectionReuse, Pool, PoolSettings, RequestBody, SendError, boxed, empty, read_limited,
};
use rampthread_wire::{HopKeys, MAX_MESSAGE_BYTES};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Path of a fence request, which forbids the gate node to start an abandoned call.
pub const FENCE_PATH: &str = "/rampthread/fence";
/// Path of a reservation request, which asks a gate node whether the body of a call may be sent
/// to it.
pub const RESERVE_PATH: &str = "/rampthread/reserve";
/// Path of a claim request for an idempotency key.
pub const CLAIM_PATH: &str = "/rampthread/claim";
/// Header with the action of a claim request, a [`ClaimAction`].
pub const CLAIM_ACTION_HEADER: &str = "rampthread-claim-action";
/// Header with the result of a claim request.
pub const CLAIM_RESULT_HEADER: &str = "rampthread-claim-answer";
/// Header with the result of a fence request: whether the fenced call may have started.
const FENCE_STATUS_HEADER: &str = "rampthread-fenced";
/// Header with the id of the node that responds to a fence request.
const FENCING_NODE_HEADER: &str = "rampthread-fenced-by";
/// Header that says how far back the call fence table of the responding gate reaches, in
/// milliseconds.
const FENCE_RETENTION_MS_HEADER: &str = "rampthread-fence-memory-ms";
/// Timeout of connecting to a peer, which may be in another region.
const PEER_CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// `TCP_USER_TIMEOUT` of connections to peers, which detects peers that lost power or are
/// partitioned.
const PEER_TCP_USER_TIMEOUT: Duration = Duration::from_millis(800);

/// Client for requests to other nodes: hops, and header-only queries such as fences and claims.
pub struct PeerClient {
    control: Arc<Control>,
    /// Keys that authenticate requests between nodes; `None` where the network is trusted.
    keys: Option<HopKeys>,
    pool: Pool,
    /// Random number that tells this process start from others of the node. Hops carry it with
    /// the time since the start.
    process_epoch: u32,
}

impl PeerClient {
    /// Creates a client that authenticates its requests with `keys`, if given.
    pub fn new(control: Arc<Control>, keys: Option<HopKeys>) -> Self {
        Self {
            control,
            keys,
            pool: Pool::new(PoolSettings {
                connect_timeout: PEER_CONNECT_TIMEOUT,
                tcp_user_timeout: Some(PEER_TCP_USER_TIMEOUT),
                ..PoolSettings::default()
            }),
            process_epoch: rand::random(),
        }
    }

    /// Random number that tells this process start from others of the node.
    pub fn process_epoch(&self) -> u32 {
        self.process_epoch
    }

    /// Connection pool for requests to peers.
    pub fn pool(&self) -> &Pool {
        &self.pool
    }

    /// Token that proves to `receiver` that a fleet member has sent the call; `None` without
    /// keys.
    pub fn token(&self, receiver: &NodeId, call_id: &str) -> Option<String> {
        let keys = self.keys.as_ref()?;
        Some(keys.token(receiver, call_id))
    }

    /// Whether the token proves that a fleet member has sent the request to this node.
    fn authenticates(&self, call_id: &str, token: Option<&str>) -> bool {
        match (&self.keys, token) {
            (None, _) => true,
            (Some(keys), Some(token)) => keys.accepts(&self.control.id, call_id, token),
            (Some(_), None) => false,
        }
    }

    /// Sends a header-only query to `node` and returns the headers of the reply; `None` if
    /// there is no reply or its status is not 200.
    pub async fn query(
        &self,
        node: &NodeId,
        path: &'static str,
        call_id: &str,
        query: &[(&'static str, &str)],
    ) -> Option<HeaderMap> {
        let address = *self.control.endpoints().nodes.get(node)?;
        self.query_at(address, node, path, call_id, query).await
    }

    /// Like [`Self::query`], but sends the query to `address`, at which `node` was reached
    /// before.
    async fn query_at(
        &self,
        address: SocketAddr,
        node: &NodeId,
        path: &'static str,
        call_id: &str,
        query: &[(&'static str, &str)],
    ) -> Option<HeaderMap> {
        let token = self.token(node, call_id);
        let mut request = Request::builder()
            .method(Method::POST)
            .uri(path)
            .header(http::header::HOST, address.to_string())
            .header(headers::CALL_ID, call_id);
        if let Some(token) = token {
            request = request.header(headers::HOP_TOKEN, token);
        }
        for (name, value) in query {
            request = request.header(*name, *value);
        }
        let request = request.body(empty()).ok()?;
        let response = self
            .pool
            .send(address, request, ConnectionReuse::AnyIdle)
            .await
            .ok()?;
        let (parts, body) = response.into_parts();
        read_limited(body, MAX_MESSAGE_BYTES).await.ok()?;
        (parts.status == StatusCode::OK).then_some(parts.headers)
    }

    /// Asks the gate node at `address` whether a request body of `bytes` bytes may be sent;
    /// `head` is the head of the hop. Returns `None` if the body may be sent, or else the gate
    /// node's error response.
    pub async fn reserve(
        &self,
        address: SocketAddr,
        head: &HeaderMap,
        bytes: usize,
    ) -> Result<Option<Response<Body>>, SendError> {
        let mut request = Request::new(empty());
        *request.method_mut() = Method::POST;
        *request.uri_mut() = http::Uri::from_static(RESERVE_PATH);
        *request.headers_mut() = head.clone();
        request.headers_mut().remove(http::header::CONTENT_LENGTH);
        header_filter::set_internal(
            request.headers_mut(),
            headers::BODY_BYTES,
            &bytes.to_string(),
        );
        let sent = self
            .pool
            .send(address, request, ConnectionReuse::AnyIdle)
            .await;
        let response = sent.map_err(SendError::into_not_sent)?;
        if !response.headers().contains_key(headers::GRANTED) {
            return Ok(Some(response.map(boxed)));
        }
        match read_limited(response.into_body(), MAX_MESSAGE_BYTES).await {
            Ok(_) => Ok(None),
            Err(error) => Err(SendError::NotSent {
                reason: error.to_string(),
                unreachable: false,
            }),
        }
    }

    /// Fences `call_id` at `address`, where the hop to `node` was sent. The node may have
    /// another address by now, and another node may use this one. Returns `None` if there is no
    /// reply within `wait`.
    pub async fn fence(
        &self,
        address: SocketAddr,
        node: &NodeId,
        call_id: &str,
        wait: Duration,
    ) -> Option<FenceReply> {
        let querying = self.query_at(address, node, FENCE_PATH, call_id, &[]);
        let reply = rampthread_http::timeout(wait, querying).await.ok()??;
        let by = header_filter::header_str(&reply, FENCING_NODE_HEADER);
        // Older nodes do not report how far back their call fence table reaches. Zero means
        // that nothing is known about earlier calls.
        let memory_ms = header_filter::parse_header(&reply, FENCE_RETENTION_MS_HEADER).unwrap_or(0);
        Some(FenceReply {
            by: by.and_then(|name| NodeId::new(name).ok()),
            answer: FenceAnswer {
                fenced: FenceStatus::parse(header_filter::header_str(&reply, FENCE_STATUS_HEADER)?),
                retention: Duration::from_millis(memory_ms),
            },
        })
    }
}

/// Handles the requests of other nodes.
pub struct PeerService {
    control: Arc<Control>,
    peers: Arc<PeerClient>,
    gate: Arc<Gate>,
    claims: Option<Arc<IdempotencyClaims>>,
    dialect: Arc<CallDialect>,
    body_limit: usize,
    delays: Mutex<PathDelays>,
}

impl PeerService {
    /// Creates a service that passes hops to `gate` and claim requests to `claims`.
    /// `body_limit` is the maximum size of a request body, in bytes.
    pub fn new(
        control: Arc<Control>,
        peers: Arc<PeerClient>,
        gate: Arc<Gate>,
        claims: Option<Arc<IdempotencyClaims>>,
        dialect: Arc<CallDialect>,
        body_limit: usize,
    ) -> Self {
        Self {
            control,
            peers,
            gate,
            claims,
            dialect,
            body_limit,
            delays: Mutex::default(),
        }
    }

    /// When a hop that arrives now was sent, by the clock of this process, so that the hop's
    /// transit time counts against its deadline.
    fn sent_at(&self, head: &HeaderMap, peer: SocketAddr) -> Moment {
        let now = self.control.clock.now();
        let Some(sent) = hop_headers::sent_at(head) else {
            return now;
        };
        let mut delays = self
            .delays
            .lock()
            .unwrap_or_else(|broken| broken.into_inner());
        let delay = delays.record_arrival(peer.ip(), sent, now);
        Moment(now.0.saturating_sub(delay.as_micros() as u64))
    }

    /// Authenticates one request of another node and dispatches it by its path.
    pub async fn handle(
        self: Arc<Self>,
        request: Request<RequestBody>,
        peer: SocketAddr,
    ) -> Response<Body> {
        let path = query_path(&request);
        if path == Some(CONTROL_PATH) {
            return self.handle_control_message(request).await;
        }
        let call_id = hop_headers::call_id(request.headers(), &self.dialect);
        let token = header_filter::header_str(request.headers(), headers::HOP_TOKEN);
        let Some(call_id) = call_id else {
            return forbidden_response(peer);
        };
        if !self.peers.authenticates(&call_id, token) {
            return forbidden_response(peer);
        }
        match path {
            Some(FENCE_PATH) => self.handle_fence(&call_id),
            Some(RESERVE_PATH) => {
                let sent = self.sent_at(request.headers(), peer);
                self.handle_reservation(call_id, request.headers(), sent)
                    .await
            }
            Some(CLAIM_PATH) => self.handle_claim(&call_id, request.headers()),
            _ => {
                let sent = self.sent_at(request.headers(), peer);
                self.handle_hop(call_id, request, sent).await
            }
        }
    }

    /// Passes an encrypted control message to the control plane client.
    async fn handle_control_message(&self, request: Request<RequestBody>) -> Response<Body> {
        match read_limited(request.into_body(), MAX_MESSAGE_BYTES).await {
            Ok(sealed) => {
                self.control.on_sealed(&sealed);
                Response::new(empty())
            }
            Err(error) => {
                CallError::not_run(Cause::BadRequest, error.to_string()).into_hop_response()
            }
        }
    }

    /// Handles a fence request: forbids this node's gate to start `call_id`.
    fn handle_fence(&self, call_id: &str) -> Response<Body> {
        let answer = self.gate.fence(call_id);
        let memory_ms = answer.retention.as_millis().to_string();
        let mut response = Response::new(empty());
        set_response_header(&mut response, FENCING_NODE_HEADER, self.control.id.as_str());
        set_response_header(&mut response, FENCE_STATUS_HEADER, answer.fenced.as_str());
        set_response_header(&mut response, FENCE_RETENTION_MS_HEADER, &memory_ms);
        response
    }

    /// Handles a claim request: applies its action to the claims that this node holds.
    fn handle_claim(&self, call_id: &str, query: &HeaderMap) -> Response<Body> {
        let key = header_filter::header_str(query, headers::IDEMPOTENCY_KEY);
        let action =
            header_filter::header_str(query, CLAIM_ACTION_HEADER).and_then(ClaimAction::parse);
        let (Some(key), Some(action), Some(claims)) = (key, action, &self.claims) else {
            let reason = "a claim needs a key and an action";
            return CallError::not_run(Cause::BadRequest, reason).into_hop_response();
        };
        let mut response = Response::new(empty());
        for (name, value) in claim_result_headers(claims.handle_request(action, key, call_id)) {
            set_response_header(&mut response, name, &value);
        }
        response
    }

    /// Handles a reservation request, which asks whether a request body may be sent.
    async fn handle_reservation(
        &self,
        call_id: String,
        query: &HeaderMap,
        sent: Moment,
    ) -> Response<Body> {
        let bytes = header_filter::parse_header(query, headers::BODY_BYTES);
        match (hop_headers::read(call_id, query, sent), bytes) {
            (Ok(hop), Some(bytes)) => self.gate.reserve(hop, bytes).await,
            (Err(reason), _) => CallError::not_run(Cause::BadRequest, reason).into_hop_response(),
            (Ok(_), None) => {
                let reason = format!("{} is missing", headers::BODY_BYTES);
                CallError::not_run(Cause::BadRequest, reason).into_hop_response()
            }
        }
    }

    /// Reads the body of a hop and passes the hop to the gate node.
    async fn handle_hop(
        &self,
        call_id: String,
        request: Request<RequestBody>,
        sent: Moment,
    ) -> Response<Body> {
        let hop = match hop_headers::read(call_id, request.headers(), sent) {
            Ok(hop) => hop,
            Err(reason) => {
                return CallError::not_run(Cause::BadRequest, reason).into_hop_response();
            }
        };
        let (parts, body) = request.into_parts();
        let permit = self.gate.take_permit(&hop.call_id);
        match read_limited(body, self.body_limit).await {
            Ok(body) => {
                if let Some(permit) = permit {
                    permit.mark_arrived();
                }
                self.gate
                    .handle(hop, Request::from_parts(parts, body))
                    .await
            }
            Err(error) => {
                CallError::not_run(Cause::BadRequest, error.to_string()).into_hop_response()
            }
        }
    }
}

/// Path of a control message or query between nodes; `None` for a hop, whose path is that of
/// the caller's request. Hops and reservations have a route header, and only a reservation has
/// a body size header. Callers can set neither header.
fn query_path<B>(request: &Request<B>) -> Option<&'static str> {
    let head = request.headers();
    let has_route = head.contains_key(headers::ROUTE);
    let is_reservation = head.contains_key(headers::BODY_BYTES);
    if has_route && !is_reservation {
        return None;
    }
    [CONTROL_PATH, FENCE_PATH, RESERVE_PATH, CLAIM_PATH]
        .into_iter()
        .find(|path| *path == request.uri().path())
}

/// Logs a request that is not authenticated, and returns its error response.
fn forbidden_response(peer: SocketAddr) -> Response<Body> {
    tracing::warn!(%peer, "rejected a hop without a valid token");
    let mut call_error = CallError::not_run(Cause::NotAMember, "not a hop of this fleet");
    call_error.outcome = Outcome::NotRun;
    call_error.into_hop_response()
}
