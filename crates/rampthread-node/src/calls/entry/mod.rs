//! The entry: the node that receives a call from its caller and routes it to a backend.
//!
//! Phases, in order: read the head ([`Entry::handle`]), match the route, admit the call, claim
//! its idempotency key, choose a backend, send the call as a hop to the gate node at the
//! backend's node, fence an abandoned hop (forbid its gate node to start it), decide on a
//! retry, forward the response. Only the entry node retries.

mod admission;
mod attempt;
mod attempt_loop;
mod call_setup;
mod caller_service;
mod claim;
mod demand;
mod nested;
mod progress;
mod quarantine;
mod rate_limit;
mod retry_advice;
mod selection;
mod versions;
mod zones;

pub use caller_service::CallerService;

use crate::calls::gate::Gate;
use crate::calls::header_filter;
use crate::calls::idempotency_claims::IdempotencyClaims;
use crate::calls::peers::PeerClient;
use crate::calls::request_content::CallContent;
use crate::calls::response::CallError;
use crate::calls::tenant_limits::TenantLimits;
use crate::control::{ActiveConfig, Control};
use crate::settings::ReloadableSettings;

use attempt_loop::AttemptLoop;
use http::{Request, Response};
use progress::CallProgress;
use rampthread_core::call::acceptance::AcceptanceEstimator;
use rampthread_core::call::attempt_age::AttemptAges;
use rampthread_core::call::attempts::{RetryBudget, RetryLimit};
use rampthread_core::call::backend_signals::BackendSignals;
use rampthread_core::call::balance::{BalanceMode, Balancer};
use rampthread_core::call::cause::Cause;
use rampthread_core::call::dialect::CallDialect;
use rampthread_core::call::headers::{self, Outcome};
use rampthread_core::call::nested_routes::NestedRoutes;
use rampthread_core::call::peer_crash_detector::PeerCrashDetector;
use rampthread_core::call::precedence::Precedence;
use rampthread_core::config::Route;
use rampthread_core::fleet::{Decision, TenantHash};
use rampthread_core::ids::{NodeId, ResourceName, Zone};
use rampthread_core::rollout::RolloutBounds;
use rampthread_core::time::Moment;
use rampthread_http::{Body, ReceivedAt, RequestBody};
use selection::SelectedBackend;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use versions::VersionTracker;
use zones::ZoneRouting;

/// Retry delay advised when no backend can take a call.
const NO_BACKEND_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Fraction of the fleet-wide retry limit that the known nodes use. The rest is for nodes that
/// have not yet discovered each other.
const USED_RETRY_LIMIT_RATIO: f64 = 0.7;

/// How an entry node selects backends and limits retries. Values other than the default are
/// baselines for experiments.
#[derive(Debug, Clone, Copy)]
pub struct EntryMode {
    /// Algorithm that selects the backend of an attempt.
    pub balance: BalanceMode,
    /// Whether the retry budget limits retries; if not, only the number of attempts per call is
    /// limited.
    pub limit_retries: bool,
}

impl Default for EntryMode {
    fn default() -> Self {
        Self {
            balance: BalanceMode::LeastCost,
            limit_retries: true,
        }
    }
}

/// Constructor arguments of [`Entry`].
pub struct EntryOptions {
    /// Control plane client of this node: configuration, endpoints and fleet membership.
    pub control: Arc<Control>,
    /// Names of the headers exchanged with callers.
    pub dialect: Arc<CallDialect>,
    /// Client for hops and queries to other nodes.
    pub peers: Arc<PeerClient>,
    /// Gate of this node. It is called in the process, without a hop, for attempts that go to the
    /// local backend.
    pub gate: Arc<Gate>,
    /// Claims of idempotency keys; `None` where callers send no idempotency keys.
    pub claims: Option<Arc<IdempotencyClaims>>,
    /// Rate limits of tenants, checked before a call runs.
    pub tenant_limits: Arc<TenantLimits>,
    /// Zone of this node; its backends are preferred.
    pub zone: Zone,
    /// Service name recorded as the caller of every call; if `None`, each caller names itself
    /// in a header.
    pub caller: Option<ResourceName>,
    /// Interval at which backends report to their nodes.
    pub heartbeat: Duration,
    /// Settings that can change while the node runs.
    pub live: ReloadableSettings,
    /// Limits for rollouts of new software versions; if `None`, calls go to all versions alike.
    pub roll_outs: Option<RolloutBounds>,
    /// How backends are selected and retries limited.
    pub mode: EntryMode,
}

/// State of an entry node: balancing, retry budgets, lost responses, zones and versions.
struct EntryState {
    balancer: Balancer,
    budgets: HashMap<ResourceName, RetryBudget>,
    serving: HashMap<NodeId, ResourceName>,
    signals: BackendSignals,
    attempt_ages: AttemptAges,
    acceptance: HashMap<ResourceName, AcceptanceEstimator>,
    nested_routes: NestedRoutes,
    /// Lost responses of backends at other nodes, kept until the backend's next incarnation
    /// shows that the backend has crashed.
    lost_responses: PeerCrashDetector,
    zones: ZoneRouting,
    versions: VersionTracker,
}

/// Receives the calls that arrive at one node and routes them to backends.
pub struct Entry {
    options: EntryOptions,
    state: Mutex<EntryState>,
}

/// A call that has been prepared to run, with the data that all its attempts share.
struct Call {
    id: String,
    caller: String,
    hops: u32,
    started_at: Moment,
    deadline: Moment,
    /// Tenant identified by the key in the request; `None` for a route that needs none.
    tenant: Option<ResourceName>,
    /// Tenant whose rate limit token the call has taken; `None` where the tenant has no limit.
    token_tenant: Option<TenantHash>,
    /// Priority of the tenant, or else of the route; calls with a lower number are served
    /// first.
    rank: u32,
    precedence: Precedence,
    /// Time since the caller's first attempt at this call; zero where that is unknown.
    age: Duration,
    repeatable: bool,
    route: Arc<Route>,
    service: ResourceName,
    config: Arc<ActiveConfig>,
    key: Option<String>,
    /// Parts of the request that identify it; set once the request body is read.
    content: CallContent,
}

impl Entry {
    /// Creates the entry of a node, without any load information about backends.
    pub fn new(options: EntryOptions) -> Self {
        let balancer = Balancer::new(options.mode.balance, options.control.clock.now());
        let lost_responses = PeerCrashDetector::with_heartbeat(options.heartbeat);
        Self {
            options,
            state: Mutex::new(EntryState {
                balancer,
                budgets: HashMap::new(),
                serving: HashMap::new(),
                signals: BackendSignals::default(),
                attempt_ages: AttemptAges::default(),
                acceptance: HashMap::new(),
                nested_routes: NestedRoutes::default(),
                lost_responses,
                zones: ZoneRouting::default(),
                versions: VersionTracker::default(),
            }),
        }
    }

    fn state(&self) -> MutexGuard<'_, EntryState> {
        self.state
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
    }

    fn control(&self) -> &Arc<Control> {
        &self.options.control
    }

    fn now(&self) -> Moment {
        self.options.control.clock.now()
    }

    /// Updates the known endpoints, starts the warm-up of new backends, and updates crash
    /// detection and the zone plan. To be called after each change of the endpoints and
    /// periodically.
    pub fn refresh_endpoints(&self) {
        let serving = self.control().endpoints().serving();
        let now = self.now();
        let mut state = self.state();
        let known_before = !state.serving.is_empty();
        let new: Vec<NodeId> = serving
            .iter()
            .filter(|(node, backend)| state.serving.get(*node) != Some(*backend))
            .map(|(node, _)| node.clone())
            .collect();
        for node in new.iter().filter(|_| known_before) {
            state.balancer.became_ready(node, now);
            if self.options.roll_outs.is_some() {
                state.versions.record_service_start(node, now);
            }
        }
        state.versions.keep_serving(&serving);
        state.serving = serving;
        drop(state);
        self.check_crashes(now);
        self.plan_zones();
    }

    /// Handles one request from a caller, up to the head of the response.
    pub async fn handle(self: Arc<Self>, request: Request<RequestBody>) -> Response<Body> {
        let started_at = self.received_at(&request);
        let call_id = self.call_id(&request);
        let mut progress = CallProgress::default();
        let result = self.run(&call_id, request, started_at, &mut progress).await;
        let ended = progress.completed_call(&call_id, self.now().since(started_at));
        let log = &self.control().call_log;
        let mut response = match result {
            Ok(response) => {
                log.answered(&ended, response.status().as_u16());
                response
            }
            Err(call_error) => {
                log.refused(&ended, &call_error);
                self.record_failed_call(&call_id, &call_error);
                call_error.into_caller_response(&self.options.dialect)
            }
        };
        self.set_request_id(&call_id, response.headers_mut());
        response
    }

    /// Time at which the request arrived. A pipelined request may have waited since for earlier
    /// requests on its connection.
    fn received_at(&self, request: &Request<RequestBody>) -> Moment {
        let received_at: Option<&ReceivedAt> = request.extensions().get();
        let waited = received_at.map_or(Duration::ZERO, |received_at| received_at.0.elapsed());
        Moment(self.now().0.saturating_sub(waited.as_micros() as u64))
    }

    /// Adds the request id to the headers of a response, under the name that the dialect
    /// defines.
    fn set_request_id(&self, call_id: &str, response_headers: &mut http::HeaderMap) {
        match &self.options.dialect.request_id {
            Some(header) => header_filter::set_header(response_headers, header, call_id),
            None => header_filter::set_internal(response_headers, headers::CALL_ID, call_id),
        }
    }

    /// Records a failed call in this node's decision log, which the operator API shows.
    fn record_failed_call(&self, call_id: &str, call_error: &CallError) {
        self.control().decision_log.record(Decision::CallFailed {
            call_id: call_id.to_string(),
            reason: format!(
                "{} {}: {}",
                call_error.status, call_error.outcome, call_error.reason
            ),
        });
    }

    /// Prepares and runs a call; refunds its rate limit token to the tenant if the call has not run.
    async fn run(
        self: &Arc<Self>,
        call_id: &str,
        request: Request<RequestBody>,
        started_at: Moment,
        progress: &mut CallProgress,
    ) -> Result<Response<Body>, CallError> {
        if !self.control().is_ready() {
            let reason = "this node is not ready yet";
            let call_error = CallError::not_run(Cause::NotReady, reason);
            return Err(call_error.retry_after(NO_BACKEND_RETRY_AFTER));
        }
        let (mut call, tenant) = self.prepare_call(call_id, &request, started_at)?;
        call.token_tenant = self.take_token(tenant.as_deref()).await?;
        progress.record_prepared_call(&call, started_at);
        let token_tenant = call.token_tenant;
        let result = self.run_admitted(call, request, progress).await;
        self.refund_token_if_not_run(token_tenant, &result);
        result
    }

    /// Runs a call that has been admitted and holds its tenant's rate limit token.
    async fn run_admitted(
        self: &Arc<Self>,
        mut call: Call,
        request: Request<RequestBody>,
        progress: &mut CallProgress,
    ) -> Result<Response<Body>, CallError> {
        let (mut parts, body) = request.into_parts();
        let body = self.read_body(&call, &parts.headers, body).await?;
        let had_body = parts.headers.contains_key(http::header::CONTENT_LENGTH);
        header_filter::remove_internal(&mut parts.headers);
        header_filter::remove_hop_by_hop(&mut parts.headers);
        let tenant = &self.options.dialect.tenant;
        admission::remove_identity(&call.config, tenant, &mut parts.headers);
        header_filter::set_length(&mut parts.headers, body.len(), had_body);
        let template = Request::from_parts(parts, body);
        call.content = CallContent::of(&template);
        self.check_quarantine(&call, progress)?;
        self.claim(&call).await?;
        let attempts = AttemptLoop::new(self, &call, &template);
        let result = attempts.run(progress).await;
        self.finish_claim(&call, &result);
        result
    }

    /// Calls `act` with the retry budget of the call's service, after updating its limit.
    fn with_budget<T>(&self, call: &Call, act: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let limit = self.retry_limit(call);
        let limit_retries = self.options.mode.limit_retries;
        let mut state = self.state();
        let budget = state
            .budgets
            .entry(call.service.clone())
            .or_insert_with(|| {
                if limit_retries {
                    RetryBudget::new(limit)
                } else {
                    RetryBudget::unlimited()
                }
            });
        budget.set_limit(limit);
        act(budget)
    }

    /// This node's part of the fleet-wide retry limit. The ratio of the limit applies to the
    /// node's own calls; the slack is divided by the number of live nodes.
    fn retry_limit(&self, call: &Call) -> RetryLimit {
        let Some(fleet) = self.options.live.get().retry_limit else {
            let service = call.config.state.service(&call.service);
            let percent = service.map_or(0, |service| service.retry_percent);
            return RetryLimit::percent(percent);
        };
        let nodes = self.control().endpoints().alive.max(1) as f64;
        RetryLimit {
            slack: (fleet.slack * USED_RETRY_LIMIT_RATIO / nodes).max(1.0),
            ratio: fleet.ratio * USED_RETRY_LIMIT_RATIO,
            ..fleet
        }
    }
}

/// Outcome (has the request run?) named in a response. A response without the outcome header
/// comes from a process that does not report outcomes, so the request may have run.
fn outcome_of<B>(response: &Response<B>) -> Outcome {
    header_filter::header_str(response.headers(), headers::OUTCOME)
        .and_then(Outcome::parse)
        .unwrap_or(Outcome::Unknown)
}

/// Error for a call that no backend can take.
fn no_backend_error(call: &Call) -> CallError {
    let reason = format!(
        "no back end of service {} can take the call now",
        call.service
    );
    CallError::not_run(Cause::NoBackend, reason).retry_after(NO_BACKEND_RETRY_AFTER)
}
