//! The gate: the only way to the back end beside this node.
//!
//! It knows the true number of calls in flight, refuses at once what it cannot
//! run in time, and alone can say that a request was not run.

mod admit;
mod exchange;
mod load;
mod lost;
mod pace;
mod request;
mod reserve;
mod slot;
mod trial;

use super::answer::{Refusal, set};
use super::content::KeptContent;
use crate::call_log::RefusedHop;
use crate::control::{Control, LocalBackend};
use crate::settings::LiveSettings;
use bytes::Bytes;
use exchange::UnderWay;
use http::{Request, Response};
use rampthread_core::call::admission::{AdmissionController, AdmissionLimits, CallNumber};
use rampthread_core::call::balance::NO_WORK_LOAD;
use rampthread_core::call::crash_watch::CrashWatch;
use rampthread_core::call::dependency::Dependencies;
use rampthread_core::call::dialect::CallDialect;
use rampthread_core::call::fence::{FenceAnswer, FenceTable};
use rampthread_core::call::headers::{self, Waiting};
use rampthread_core::call::identity::RequestIdentity;
use rampthread_core::call::load_watch::LoadWatch;
use rampthread_core::call::pace_meter::PaceMeter;
use rampthread_core::call::precedence::Precedence;
use rampthread_core::call::service_times::ServiceTimes;
use rampthread_core::call::transfers::Transfers;
use rampthread_core::call::unnamed_starts::UnnamedStarts;
use rampthread_core::ids::ResourceName;
use rampthread_core::time::Moment;
use rampthread_http::{Body, Pool, PoolSettings};
use rampthread_wire::SecretKeeper;
use reserve::Grant;
pub use reserve::LARGE_BODY;
use slot::Turn;
use std::collections::HashMap;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
pub use trial::quarantined;

/// Advice when the configuration here lags behind the call's, or the back end
/// is going away.
const CONFIG_RETRY: Duration = Duration::from_millis(500);

/// Time after which bytes that the back end's machine does not acknowledge end a
/// connection: one that was forgotten without a reset says nothing else, and its
/// call would be held until its deadline. A back end that is only slow acknowledges.
const BACKEND_SILENCE: Duration = Duration::from_secs(1);
/// Stands between a request's id and the number of the try.
pub const TRY_SEPARATOR: char = '~';

struct GateState {
    admission: AdmissionController,
    fences: FenceTable,
    work_times: ServiceTimes,
    dependencies: Dependencies,
    transfers: Transfers,
    /// Bodies that wait for their turn.
    body_turns: HashMap<CallNumber, async_channel::Sender<()>>,
    /// Grants by call, until the body begins to arrive.
    granted: HashMap<String, Grant>,
    /// Answers that the back end lost.
    crash_watch: CrashWatch,
    /// Tells starts of a back end apart that does not name them.
    starts: UnnamedStarts,
    /// The request on trial.
    trial: Option<RequestIdentity>,
    /// The back end that the times are of.
    measured: Option<ResourceName>,
    load_watch: LoadWatch,
    pace: PaceMeter,
    /// Time that calls of a route take at the back ends of their service, as the entry
    /// of this node has seen it.
    usual_times: HashMap<ResourceName, Duration>,
    waiting: HashMap<CallNumber, async_channel::Sender<Turn>>,
}

/// What a gate is made of.
pub struct GateParts {
    /// The node's control side.
    pub control: Arc<Control>,
    /// Names of headers towards the back end.
    pub dialect: Arc<CallDialect>,
    /// Opens the secrets of routes; none where routes have none.
    pub secrets: Option<SecretKeeper>,
    /// Wait for a connection to the back end.
    pub connect_wait: Duration,
    /// Time between two reports of the back end.
    pub heartbeat: Duration,
    /// Limits that may change while the node runs.
    pub live: LiveSettings,
}

/// The gate of one node.
pub struct Gate {
    control: Arc<Control>,
    dialect: Arc<CallDialect>,
    secrets: Option<SecretKeeper>,
    pool: Pool,
    state: Mutex<GateState>,
    next_call: AtomicU64,
    live: LiveSettings,
}

/// A hop that has been checked: what the entry node asks for.
#[derive(Clone)]
pub struct Hop {
    /// The call.
    pub call_id: String,
    /// The service that makes the call.
    pub caller: String,
    /// The route that the entry chose.
    pub route: ResourceName,
    /// The back end that is meant.
    pub backend: ResourceName,
    /// When the answer is worthless.
    pub deadline: Moment,
    /// The call may run twice.
    pub repeatable: bool,
    /// Services passed so far, this one included.
    pub hops: u32,
    /// Whose call it is, by the key that came with it.
    pub tenant: Option<ResourceName>,
    /// Rank of the tenant, else of the route; 0 goes first.
    pub rank: u32,
    /// Precedence within the rank.
    pub precedence: Precedence,
    /// Whether it may wait for a slot.
    pub waiting: Waiting,
}

impl Hop {
    /// The id that the caller gave the request. Each try has an id of its own,
    /// made of that and a number.
    pub fn request_id(&self) -> &str {
        request_id_of(&self.call_id)
    }
}

/// The caller's id of the request that the try `call_id` belongs to.
fn request_id_of(call_id: &str) -> &str {
    call_id
        .rsplit_once(TRY_SEPARATOR)
        .map_or(call_id, |(id, _)| id)
}

impl Gate {
    /// A gate in front of the back end beside this node.
    pub fn new(parts: GateParts) -> Self {
        let limits = AdmissionLimits { slots: 0, queue: 0 };
        let now = parts.control.clock.now();
        Self {
            control: parts.control,
            dialect: parts.dialect,
            secrets: parts.secrets,
            pool: Pool::new(PoolSettings {
                connect_wait: parts.connect_wait,
                unacknowledged: Some(BACKEND_SILENCE),
                ..PoolSettings::default()
            }),
            state: Mutex::new(GateState {
                admission: AdmissionController::new(limits),
                fences: FenceTable::new(now),
                work_times: ServiceTimes::default(),
                dependencies: Dependencies::default(),
                transfers: Transfers::default(),
                body_turns: HashMap::new(),
                granted: HashMap::new(),
                crash_watch: CrashWatch::with_heartbeat(parts.heartbeat),
                starts: UnnamedStarts::default(),
                trial: None,
                measured: None,
                load_watch: LoadWatch::default(),
                pace: PaceMeter::default(),
                usual_times: HashMap::new(),
                waiting: HashMap::new(),
            }),
            next_call: AtomicU64::new(0),
            live: parts.live,
        }
    }

    fn state(&self) -> MutexGuard<'_, GateState> {
        self.state
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
    }

    /// Calls at the back end and waiting for it, and large bodies on their way.
    pub fn load(&self) -> u32 {
        let state = self.state();
        state.admission.load() + state.transfers.load()
    }

    fn is_draining(&self, backend: &LocalBackend) -> bool {
        backend.draining || self.control.is_draining()
    }

    fn reported_load(&self) -> u32 {
        match self.control.local_backend() {
            Some(backend) if self.control.is_ready() && !self.is_draining(&backend) => self.load(),
            _ => NO_WORK_LOAD,
        }
    }

    /// Calls at the back end.
    pub fn running(&self) -> u32 {
        self.state().admission.running()
    }

    /// Forgets fences that are old enough; to be called often.
    pub fn forget_old_fences(&self) {
        let now = self.control.clock.now();
        self.state().fences.expire(now);
    }

    /// Decisions that the fence table remembers.
    pub fn fence_entries(&self) -> usize {
        self.state().fences.len()
    }

    /// An entry node has given up on `call_id`.
    pub fn fence(&self, call_id: &str) -> FenceAnswer {
        let now = self.control.clock.now();
        let answer = self.state().fences.fence(&call_id.to_string(), now);
        let log = &self.control.call_log;
        log.fence_answered(request_id_of(call_id), answer);
        answer
    }

    /// Admits a hop, runs it at the back end, and passes the answer on.
    pub async fn handle(self: &Arc<Self>, hop: Hop, request: Request<Bytes>) -> Response<Body> {
        let refused = hop.clone();
        let content = KeptContent::of(&request);
        let mut response = match self.run(hop, &content, request).await {
            Ok(response) => response,
            Err(refusal) => {
                self.log_refused(&refused, &content, &refusal);
                let mut response = refusal.into_hop_response();
                let load = self.reported_load().to_string();
                set(&mut response, headers::LOAD, &load);
                self.tell_pace(response.headers_mut());
                response
            }
        };
        self.tell_nested(&refused.route, &mut response);
        response
    }

    /// Tells the entry that calls of `route` are a back end's; it cannot see that itself.
    fn tell_nested(&self, route: &ResourceName, response: &mut Response<Body>) {
        if self.state().dependencies.is_known(route) {
            let word = Precedence::Dependency.as_str();
            set(response, headers::PRECEDENCE, word);
        }
    }

    fn log_refused(&self, hop: &Hop, content: &KeptContent, refusal: &Refusal) {
        let (running, queued) = self.counts();
        let lost = refusal.cause.is_lost_answer();
        let identity = lost.then(|| content.identity(&self.control.identity_key));
        self.control.call_log.hop_refused(&RefusedHop {
            request_id: hop.request_id(),
            running,
            queued,
            tenant: hop.tenant.as_ref().map(ResourceName::as_str),
            rank: hop.rank,
            waiting: hop.waiting,
            left: hop.deadline.since(self.control.clock.now()),
            backend: hop.backend.as_str(),
            identity,
            refusal,
        });
    }

    /// Calls at the back end, and calls that wait for it.
    fn counts(&self) -> (u32, u32) {
        let state = self.state();
        (state.admission.running(), state.admission.queued())
    }

    /// Shows the present counts in the metrics.
    pub fn show_counts(&self) {
        let (running, queued) = self.counts();
        let metrics = &self.control.metrics;
        metrics.gate_running.set(i64::from(running));
        metrics.gate_queued.set(i64::from(queued));
    }

    async fn run(
        self: &Arc<Self>,
        hop: Hop,
        content: &KeptContent,
        request: Request<Bytes>,
    ) -> Result<Response<Body>, Refusal> {
        self.check_backend(&hop)?;
        self.check_deadline(&hop)?;
        // Calls may come before the report's handler has looked.
        self.notice_incarnation();
        self.check_quarantine(content)?;
        let slot = self.admit(&hop).await?;
        // The wait may have been long: the back end may be leaving by now.
        let backend = self.check_backend(&hop)?;
        let request = self.prepare(&hop, request, &backend)?;
        let trial = self.begin_trial(content, &backend)?;
        self.start(&hop)?;
        self.control.metrics.gate_calls.inc();
        let repeatable = hop.repeatable;
        let under_way = UnderWay {
            hop,
            content: content.clone(),
            backend,
            slot,
            trial,
        };
        let exchange = self.clone().exchange(under_way, request);
        // A caller that leaves ends a call that may run twice. Any other call
        // goes on without its caller: nobody knows what half of it means.
        if repeatable {
            exchange.await
        } else {
            async_std::task::spawn(exchange).await
        }
    }
}
