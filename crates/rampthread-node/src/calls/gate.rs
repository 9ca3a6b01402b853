//! The gate: the node that forwards calls to its local backend. All calls to the backend pass
//! through its gate node.
//!
//! Only the gate node knows the exact number of calls in flight. It rejects a call immediately
//! if the call cannot run in time, and it alone can assert that a request has not run.

mod admission;
mod backend_request;
mod exchange;
mod load;
mod lost_response;
mod rate_limit;
mod reservation;
mod slot;
mod speed;
mod trial;

use super::request_content::CallContent;
use super::response::{CallError, set_response_header};
use crate::call_log::RejectedHop;
use crate::control::{Control, LocalBackend};
use crate::settings::ReloadableSettings;
use bytes::Bytes;
use exchange::AdmittedCall;
use http::{Request, Response};
use rampthread_core::call::admission::{AdmissionController, AdmissionLimits, CallNumber};
use rampthread_core::call::balance::UNAVAILABLE_LOAD;
use rampthread_core::call::body_transfers::BodyTransfers;
use rampthread_core::call::crash_detector::CrashDetector;
use rampthread_core::call::dialect::CallDialect;
use rampthread_core::call::fence::{FenceAnswer, FenceTable};
use rampthread_core::call::headers::{self, QueueingLimit};
use rampthread_core::call::identity::RequestIdentity;
use rampthread_core::call::incarnation_names::IncarnationNames;
use rampthread_core::call::load_average::LoadAverage;
use rampthread_core::call::nested_call_detector::NestedCallDetector;
use rampthread_core::call::precedence::Precedence;
use rampthread_core::call::rate_limit::RateLimit;
use rampthread_core::call::service_times::ServiceTimes;
use rampthread_core::call::speed_meter::SpeedMeter;
use rampthread_core::ids::ResourceName;
use rampthread_core::time::Moment;
use rampthread_http::{Body, Pool, PoolSettings};
use rampthread_wire::SecretKeeper;
pub use reservation::LARGE_BODY_BYTES;
use reservation::TransferPermit;
use slot::QueueSignal;
use std::collections::HashMap;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
pub use trial::quarantine_error;

/// Retry delay advised when the configuration at this node is older than at the entry node that
/// sent the call, or when the backend is draining.
const CONFIG_RETRY_AFTER: Duration = Duration::from_millis(500);

/// `TCP_USER_TIMEOUT` of connections to the backend. A connection that vanished without a reset
/// would otherwise hold its call until the deadline. A backend that is merely slow still
/// acknowledges bytes.
const BACKEND_TCP_USER_TIMEOUT: Duration = Duration::from_secs(1);
/// Separates the request id from the attempt number in a call id.
pub const ATTEMPT_SEPARATOR: char = '~';

/// State of a gate node: admission, crash detection and speed of its backend.
struct GateState {
    admission: AdmissionController,
    fences: FenceTable,
    service_times: ServiceTimes,
    nested_calls: NestedCallDetector,
    transfers: BodyTransfers,
    /// Large request bodies that are queued for a transfer permit, with the channel that grants
    /// it.
    queued_bodies: HashMap<CallNumber, async_channel::Sender<()>>,
    /// Transfer permits by call id, kept until the request body starts to arrive.
    permits: HashMap<String, TransferPermit>,
    /// Responses that the backend lost, kept until it is known whether the backend crashed.
    crash_detector: CrashDetector,
    /// Numbers the incarnations of a backend that does not report its incarnation.
    incarnations: IncarnationNames,
    /// The request on trial: it is suspected of crashing backends and runs alone.
    trial: Option<RequestIdentity>,
    /// The backend at which the service times and the speed were measured, and that has named
    /// the rate limit.
    measured_backend: Option<ResourceName>,
    /// The backend has said in a response that it leaves.
    leaving: bool,
    /// When a scheduled task starts queued calls that wait for the rate limit; `None` if no
    /// task is scheduled.
    scheduled_start: Option<Moment>,
    load_average: LoadAverage,
    speed: SpeedMeter,
    /// Mean service time of each route over all backends of the service, as measured by this
    /// node's entry.
    reference_times: HashMap<ResourceName, Duration>,
    queued_calls: HashMap<CallNumber, async_channel::Sender<QueueSignal>>,
}

/// Constructor arguments of [`Gate`].
pub struct GateOptions {
    /// Control plane client of this node: configuration, local backend and crash reports.
    pub control: Arc<Control>,
    /// Names of the headers exchanged with the backend.
    pub dialect: Arc<CallDialect>,
    /// Decrypts the secrets of routes; `None` where no secrets are configured.
    pub secrets: Option<SecretKeeper>,
    /// Timeout of connecting to the backend.
    pub connect_timeout: Duration,
    /// Interval at which the backend reports to its node.
    pub heartbeat: Duration,
    /// Settings that can change while the node runs.
    pub live: ReloadableSettings,
}

/// Admits calls to the local backend, forwards them, and returns the responses.
pub struct Gate {
    control: Arc<Control>,
    dialect: Arc<CallDialect>,
    secrets: Option<SecretKeeper>,
    pool: Pool,
    state: Mutex<GateState>,
    next_call: AtomicU64,
    live: ReloadableSettings,
}

/// One attempt of a call, decoded from the headers that the entry node has sent to the gate
/// node.
#[derive(Clone)]
pub struct Hop {
    /// Id of the attempt: the request id and the attempt number, separated by
    /// [`ATTEMPT_SEPARATOR`].
    pub call_id: String,
    /// Name of the service that makes the call.
    pub caller: String,
    /// Route that the entry node, which received the call from its caller, has matched.
    pub route: ResourceName,
    /// Backend that the entry node has selected; a gate node with another backend rejects the
    /// hop.
    pub backend: ResourceName,
    /// Time after which the caller no longer waits for the response.
    pub deadline: Moment,
    /// The route declares that the call may run more than once.
    pub repeatable: bool,
    /// Number of services that the call chain has passed, including this one; limits call
    /// loops.
    pub hops: u32,
    /// Tenant that the entry node has identified; `None` for a route that needs none.
    pub tenant: Option<ResourceName>,
    /// Priority of the tenant, or else of the route; calls with a lower number are served
    /// first.
    pub rank: u32,
    /// Class of the call, such as nested or retry; orders calls of the same priority.
    pub precedence: Precedence,
    /// Whether, and for how long, the gate node may queue the call for a slot.
    pub queueing_limit: QueueingLimit,
    /// Rate limit that the entry node has seen in a response of the backend; `None` if it has
    /// seen none.
    pub rate_limit: Option<RateLimit>,
}

impl Hop {
    /// Id that the caller gave the request, without the attempt number.
    pub fn request_id(&self) -> &str {
        request_id_of(&self.call_id)
    }
}

/// Id of the caller's request that the attempt `call_id` belongs to.
fn request_id_of(call_id: &str) -> &str {
    call_id
        .rsplit_once(ATTEMPT_SEPARATOR)
        .map_or(call_id, |(id, _)| id)
}

impl Gate {
    /// Creates a gate node without slots. The gate node takes its limits from the local backend
    /// when the first hop arrives.
    pub fn new(options: GateOptions) -> Self {
        let limits = AdmissionLimits { slots: 0, queue: 0 };
        let now = options.control.clock.now();
        Self {
            control: options.control,
            dialect: options.dialect,
            secrets: options.secrets,
            pool: Pool::new(PoolSettings {
                connect_timeout: options.connect_timeout,
                tcp_user_timeout: Some(BACKEND_TCP_USER_TIMEOUT),
                ..PoolSettings::default()
            }),
            state: Mutex::new(GateState {
                admission: AdmissionController::new(limits),
                fences: FenceTable::new(now),
                service_times: ServiceTimes::default(),
                nested_calls: NestedCallDetector::default(),
                transfers: BodyTransfers::default(),
                queued_bodies: HashMap::new(),
                permits: HashMap::new(),
                crash_detector: CrashDetector::with_heartbeat(options.heartbeat),
                incarnations: IncarnationNames::default(),
                trial: None,
                measured_backend: None,
                leaving: false,
                scheduled_start: None,
                load_average: LoadAverage::default(),
                speed: SpeedMeter::default(),
                reference_times: HashMap::new(),
                queued_calls: HashMap::new(),
            }),
            next_call: AtomicU64::new(0),
            live: options.live,
        }
    }

    fn state(&self) -> MutexGuard<'_, GateState> {
        self.state
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
    }

    /// Number of calls running and queued at the backend, plus large request bodies in transfer
    /// or queued.
    pub fn load(&self) -> u32 {
        let state = self.state();
        state.admission.load() + state.transfers.load()
    }

    /// Whether the backend or this node is draining.
    fn is_draining(&self, backend: &LocalBackend) -> bool {
        backend.draining || self.control.is_draining() || self.has_said_it_leaves(backend)
    }

    /// Load of the backend as sent to entry nodes; [`UNAVAILABLE_LOAD`] while the gate node
    /// takes no calls.
    fn reported_load(&self) -> u32 {
        match self.control.local_backend() {
            Some(backend) if self.control.is_ready() && !self.is_draining(&backend) => self.load(),
            _ => UNAVAILABLE_LOAD,
        }
    }

    /// Number of calls running at the backend.
    pub fn running(&self) -> u32 {
        self.state().admission.running()
    }

    /// Drops calls from the call fence table whose retention has passed. To be called
    /// periodically.
    pub fn expire_fences(&self) {
        let now = self.control.clock.now();
        self.state().fences.expire(now);
    }

    /// Number of started and fenced calls in the call fence table. Entries are dropped when
    /// their retention has passed.
    pub fn fence_table_len(&self) -> usize {
        self.state().fences.len()
    }

    /// Fences `call_id`, which its entry node has abandoned: unless the call has started, it
    /// cannot start here any more.
    pub fn fence(&self, call_id: &str) -> FenceAnswer {
        let now = self.control.clock.now();
        let reply = self.state().fences.fence(&call_id.to_string(), now);
        let log = &self.control.call_log;
        log.fence_answered(request_id_of(call_id), reply);
        reply
    }

    /// Admits a hop, runs the call at the backend, and returns the response or an error
    /// response.
    pub async fn handle(self: &Arc<Self>, hop: Hop, request: Request<Bytes>) -> Response<Body> {
        let hop_copy = hop.clone();
        let content = CallContent::of(&request);
        let mut response = match self.run(hop, &content, request).await {
            Ok(response) => response,
            Err(call_error) => {
                self.log_rejected(&hop_copy, &content, &call_error);
                let mut response = call_error.into_hop_response();
                let load = self.reported_load().to_string();
                set_response_header(&mut response, headers::LOAD, &load);
                self.add_speed_header(response.headers_mut());
                response
            }
        };
        self.add_nested_header(&hop_copy.route, &mut response);
        self.add_backend_signals(&hop_copy, response.headers_mut());
        response
    }

    /// Adds a header that tells the entry node that `route` carries nested calls, which only
    /// the gate node can see.
    fn add_nested_header(&self, route: &ResourceName, response: &mut Response<Body>) {
        if self.state().nested_calls.is_nested(route) {
            let value = Precedence::Nested.as_str();
            set_response_header(response, headers::PRECEDENCE, value);
        }
    }

    /// Writes the log line of a hop that got no response of the backend.
    fn log_rejected(&self, hop: &Hop, content: &CallContent, call_error: &CallError) {
        let (running, queued) = self.counts();
        let lost = call_error.cause.is_lost_answer();
        let identity = lost.then(|| content.identity(&self.control.identity_key));
        self.control.call_log.hop_rejected(&RejectedHop {
            request_id: hop.request_id(),
            running,
            queued,
            tenant: hop.tenant.as_ref().map(ResourceName::as_str),
            rank: hop.rank,
            waiting: hop.queueing_limit,
            left: hop.deadline.since(self.control.clock.now()),
            backend: hop.backend.as_str(),
            identity,
            call_error,
        });
    }

    /// Number of calls running at the backend, and number of calls queued.
    fn counts(&self) -> (u32, u32) {
        let state = self.state();
        (state.admission.running(), state.admission.queued())
    }

    /// Updates the gauges of running and queued calls.
    pub fn update_metrics(&self) {
        let (running, queued) = self.counts();
        let metrics = &self.control.metrics;
        metrics.gate_running.set(i64::from(running));
        metrics.gate_queued.set(i64::from(queued));
    }

    /// Checks, admits and runs one hop.
    async fn run(
        self: &Arc<Self>,
        hop: Hop,
        content: &CallContent,
        request: Request<Bytes>,
    ) -> Result<Response<Body>, CallError> {
        self.check_backend(&hop)?;
        self.check_deadline(&hop)?;
        // The backend's latest report may show a restart that was not processed before the
        // call arrived.
        self.check_incarnation();
        self.check_quarantine(content)?;
        let slot = self.admit(&hop).await?;
        // The backend may have started to drain while the call was queued.
        let backend = self.check_backend(&hop)?;
        let request = self.prepare(&hop, request, &backend)?;
        let trial = self.begin_trial(content, &backend)?;
        self.start(&hop)?;
        self.control.metrics.gate_calls.inc();
        let repeatable = hop.repeatable;
        let under_way = AdmittedCall {
            hop,
            content: content.clone(),
            backend,
            slot,
            trial,
        };
        let exchange = self.clone().exchange(under_way, request);
        // If the caller disconnects, a repeatable call is cancelled. Any other call runs to its
        // end, since a partial execution could not be repeated.
        if repeatable {
            exchange.await
        } else {
            async_std::task::spawn(exchange).await
        }
    }
}
