//! The gate: the only way to the back end beside this node.
//!
//! It knows the true number of calls in flight, refuses at once what it cannot
//! run in time, and alone can say that a request was not run.

mod request;
mod reserve;
mod slot;
mod verdict;

use super::answer::{Refusal, set};
use super::forward;
use super::guarded::GuardedBody;
use crate::call_log::RefusedHop;
use crate::control::{Control, LocalBackend};
use crate::settings::LiveSettings;
use bytes::Bytes;
use http::response::Parts;
use http::{Request, Response};
use rampthread_core::call::admission::{Admission, AdmissionLimits, Admitted, Arrival, CallNumber};
use rampthread_core::call::balance::NO_WORK_LOAD;
use rampthread_core::call::cause::Cause;
use rampthread_core::call::dependency::Dependencies;
use rampthread_core::call::dialect::CallDialect;
use rampthread_core::call::fence::{FenceTable, Fenced};
use rampthread_core::call::headers::{self, Outcome, Waiting};
use rampthread_core::call::patience::WorkTimes;
use rampthread_core::call::precedence::Precedence;
use rampthread_core::call::transfers::Transfers;
use rampthread_core::ids::ResourceName;
use rampthread_core::time::Moment;
use rampthread_http::{
    Body, Freshness, Pool, PoolSettings, PooledBody, SendError, boxed, full as full_body,
    read_limited,
};
use rampthread_wire::SecretKeeper;
use reserve::Grant;
pub use reserve::LARGE_BODY;
use slot::{Slot, Turn};
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use verdict::{Verdict, judge};

/// Advice when the configuration here lags behind the call's, or the back end
/// is going away.
const CONFIG_RETRY: Duration = Duration::from_millis(500);

/// A call that others overtake waits this much longer than its patience; then
/// its slot is worth more to a call that can still be answered in time.
const OVERTAKEN_SHARE: f64 = 1.5;

/// Time after which bytes that the back end's machine does not acknowledge end a
/// connection: one that was forgotten without a reset says nothing else, and its
/// call would be held until its deadline. A back end that is only slow acknowledges.
const BACKEND_SILENCE: Duration = Duration::from_secs(1);
/// Largest answer that is read whole before it goes to the entry, in bytes: a gate
/// with 100 of them under way holds 6 MB.
const HELD_ANSWER_BYTES: usize = 64 * 1024;

/// Stands between a request's id and the number of the try.
pub const TRY_SEPARATOR: char = '~';

struct GateState {
    admission: Admission,
    fences: FenceTable,
    work_times: WorkTimes,
    dependencies: Dependencies,
    transfers: Transfers,
    /// Bodies that wait for their turn.
    body_turns: HashMap<CallNumber, async_channel::Sender<()>>,
    /// Grants by call, until the body begins to arrive.
    granted: HashMap<String, Grant>,
    /// The back end that the times are of.
    measured: Option<ResourceName>,
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
    /// Rank of the route; 0 goes first.
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
        self.call_id
            .rsplit_once(TRY_SEPARATOR)
            .map_or(self.call_id.as_str(), |(id, _)| id)
    }
}

impl Gate {
    /// A gate in front of the back end beside this node.
    pub fn new(parts: GateParts) -> Self {
        let limits = AdmissionLimits { slots: 0, queue: 0 };
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
                admission: Admission::new(limits),
                fences: FenceTable::default(),
                work_times: WorkTimes::default(),
                dependencies: Dependencies::default(),
                transfers: Transfers::default(),
                body_turns: HashMap::new(),
                granted: HashMap::new(),
                measured: None,
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

    /// Decisions that the fence table remembers.
    pub fn fence_entries(&self) -> usize {
        self.state().fences.len()
    }

    /// An entry node has given up on `call_id`.
    pub fn fence(&self, call_id: &str) -> Fenced {
        let now = self.control.clock.now();
        self.state().fences.fence(&call_id.to_string(), now)
    }

    /// Admits a hop, runs it at the back end, and passes the answer on.
    pub async fn handle(self: &Arc<Self>, hop: Hop, request: Request<Bytes>) -> Response<Body> {
        let refused = hop.clone();
        match self.run(hop, request).await {
            Ok(response) => response,
            Err(refusal) => {
                self.log_refused(&refused, &refusal);
                let mut response = refusal.into_hop_response();
                let load = self.reported_load().to_string();
                set(&mut response, headers::LOAD, &load);
                response
            }
        }
    }

    fn log_refused(&self, hop: &Hop, refusal: &Refusal) {
        let (running, queued) = self.counts();
        self.control.call_log.hop_refused(&RefusedHop {
            request_id: hop.request_id(),
            running,
            queued,
            rank: hop.rank,
            left: hop.deadline.since(self.control.clock.now()),
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
        request: Request<Bytes>,
    ) -> Result<Response<Body>, Refusal> {
        self.check_backend(&hop)?;
        self.check_deadline(&hop)?;
        let slot = self.admit(&hop).await?;
        // The wait may have been long: the back end may be leaving by now.
        let backend = self.check_backend(&hop)?;
        let request = self.prepare(&hop, request, &backend)?;
        self.start(&hop)?;
        self.control.metrics.gate_calls.inc();
        let repeatable = hop.repeatable;
        let exchange = self.clone().exchange(hop, request, backend, slot);
        // A caller that leaves ends a call that may run twice. Any other call
        // goes on without its caller: nobody knows what half of it means.
        if repeatable {
            exchange.await
        } else {
            async_std::task::spawn(exchange).await
        }
    }

    /// Sends the call to the back end and judges the answer.
    async fn exchange(
        self: Arc<Self>,
        hop: Hop,
        request: Request<Body>,
        backend: LocalBackend,
        slot: Slot,
    ) -> Result<Response<Body>, Refusal> {
        let freshness = if hop.repeatable {
            Freshness::Any
        } else {
            Freshness::Recent
        };
        let remaining = hop.deadline.since(self.control.clock.now());
        let sending = self.pool.send(backend.address, request, freshness);
        let sent = async_std::future::timeout(remaining, sending).await;
        let sent = sent.map_err(|_| {
            let reason = "the deadline passed at the back end";
            Refusal::unknown(Cause::Deadline, reason)
        })?;
        let response = sent.map_err(|error| from_send_error(&error))?;
        self.answer(&hop, response, &backend, slot).await
    }

    /// The back end that is meant must stand beside this node, here and now.
    fn check_backend(&self, hop: &Hop) -> Result<LocalBackend, Refusal> {
        let unavailable =
            |cause: Cause, reason: &str| Refusal::not_run(cause, reason).retry_after(CONFIG_RETRY);
        if !self.control.is_ready() {
            return Err(unavailable(Cause::NotReady, "this node is not ready"));
        }
        let Some(backend) = self.control.local_backend() else {
            return Err(unavailable(
                Cause::AnotherBackEnd,
                "no back end stands beside this node",
            ));
        };
        if backend.name != hop.backend {
            return Err(unavailable(
                Cause::AnotherBackEnd,
                "another back end stands beside this node",
            ));
        }
        let draining = self.is_draining(&backend);
        let mut state = self.state();
        if state.measured.as_ref() != Some(&backend.name) {
            state.measured = Some(backend.name.clone());
            state.work_times.clear();
            state.dependencies.clear();
        }
        state.admission.set_draining(draining);
        if draining {
            return Err(unavailable(Cause::Draining, "this back end is draining"));
        }
        state.admission.set_limits(AdmissionLimits {
            slots: backend.slots.min(backend.connections),
            queue: (backend.slots * self.live.get().queue_percent).div_ceil(100),
        });
        Ok(backend)
    }

    async fn admit(self: &Arc<Self>, hop: &Hop) -> Result<Slot, Refusal> {
        let number = self.next_call.fetch_add(1, Ordering::Relaxed);
        let now = self.control.clock.now();
        let waiting = {
            let mut state = self.state();
            let precedence = precedence(&mut state.dependencies, hop);
            let arrival = self.arrival(&state, hop, number, precedence, now);
            let (patience, left) = (arrival.patience, hop.deadline.since(now));
            match state.admission.arrive(arrival, now) {
                Admitted::Run => None,
                Admitted::Refused { retry_after } => return Err(full(&state, retry_after)),
                Admitted::Wait => {
                    let (sender, receiver) = async_channel::bounded(1);
                    state.waiting.insert(number, sender);
                    let longest = patience.mul_f64(OVERTAKEN_SHARE);
                    Some((receiver, longest.min(left)))
                }
            }
        };
        if let Some((turn, longest)) = waiting {
            self.wait_for_turn(number, turn, longest).await?;
        }
        let waited = self.control.clock.now().since(now);
        Ok(Slot::new(self, waited))
    }

    /// The call of `hop` as it stands at the door.
    fn arrival(
        &self,
        state: &GateState,
        hop: &Hop,
        number: CallNumber,
        precedence: Precedence,
        now: Moment,
    ) -> Arrival {
        let left = hop.deadline.since(now);
        let patience = match hop.waiting {
            Waiting::Never => Duration::ZERO,
            Waiting::ForTarget(target) => state
                .work_times
                .patience(&hop.route, target, precedence, left),
            Waiting::UntilDeadline => left,
        };
        Arrival {
            call: number,
            caller: self.queueing_caller(hop),
            deadline: hop.deadline,
            rank: hop.rank,
            precedence,
            patience,
            work: state.work_times.expected(&hop.route),
        }
    }

    /// Who takes turns with others in the queue.
    fn queueing_caller(&self, hop: &Hop) -> String {
        if self.dialect.caller_is_machine {
            return String::new();
        }
        hop.caller.clone()
    }

    /// A hop may have stood in a full link until nobody waits for it any more.
    fn check_deadline(&self, hop: &Hop) -> Result<(), Refusal> {
        if hop.deadline <= self.control.clock.now() {
            let reason = "the deadline passed before the call started";
            return Err(Refusal::not_run(Cause::QueueDeadline, reason));
        }
        Ok(())
    }

    /// The last point at which a fence stops the call.
    fn start(&self, hop: &Hop) -> Result<(), Refusal> {
        let now = self.control.clock.now();
        self.check_deadline(hop)?;
        if hop.repeatable {
            return Ok(());
        }
        let started = self.state().fences.start(&hop.call_id, now);
        started.map_err(|refused| {
            let outcome = match refused {
                rampthread_core::call::fence::StartRefused::Copy => Outcome::Unknown,
                _ => Outcome::NotRun,
            };
            Refusal {
                outcome,
                ..Refusal::not_run(Cause::Fenced, refused.to_string())
            }
        })
    }

    async fn answer(
        &self,
        hop: &Hop,
        response: Response<PooledBody>,
        backend: &LocalBackend,
        mut slot: Slot,
    ) -> Result<Response<Body>, Refusal> {
        let (mut parts, body) = response.into_parts();
        match judge(&parts, hop, &self.dialect) {
            Verdict::Answered => {}
            Verdict::NotRun => {
                let reason = format!("the back end answered {} and did not run it", parts.status);
                let refusal = Refusal::not_run(Cause::Shed, reason);
                return Err(refusal.by_back_end().retry_after(CONFIG_RETRY));
            }
            Verdict::Misdirected => {
                if let Some(instance) = &backend.instance {
                    self.control.on_misdirected(instance);
                }
                let reason = "another back end answers at this address";
                let refusal = Refusal::not_run(Cause::AnotherBackEnd, reason);
                return Err(refusal.retry_after(CONFIG_RETRY));
            }
            Verdict::NotItsAnswer(reason) => {
                body.abandon();
                return Err(Refusal::unknown(Cause::NotItsAnswer, reason));
            }
        }
        slot.answered(&hop.route);
        let status = parts.status.as_u16();
        let log = &self.control.call_log;
        log.hop_answered(hop.request_id(), backend.name.as_str(), status, slot.waited);
        forward::remove_hop_by_hop(&mut parts.headers);
        forward::remove_own(&mut parts.headers);
        let answer = &mut parts.headers;
        forward::set_own(answer, headers::OUTCOME, Outcome::Completed.as_str());
        let body = self.take_body(hop, &parts, body, slot).await?;
        forward::set_own(&mut parts.headers, headers::LOAD, &self.load().to_string());
        Ok(Response::from_parts(parts, body))
    }

    /// The body of an answer. One of moderate size is read whole at once: the back
    /// end is done with it, and its slot must not wait for a narrow link.
    async fn take_body(
        &self,
        hop: &Hop,
        parts: &Parts,
        body: PooledBody,
        slot: Slot,
    ) -> Result<Body, Refusal> {
        let declared: Option<usize> = forward::number(&parts.headers, "content-length");
        if declared.is_none_or(|length| length > HELD_ANSWER_BYTES) {
            return Ok(boxed(GuardedBody::new(body, slot)));
        }
        let remaining = hop.deadline.since(self.control.clock.now());
        let reading = read_limited(body, HELD_ANSWER_BYTES);
        match async_std::future::timeout(remaining, reading).await {
            Ok(Ok(bytes)) => Ok(full_body(bytes)),
            Ok(Err(error)) => {
                let reason = format!("the answer broke off: {error}");
                Err(Refusal::unknown(Cause::BrokenOff, reason))
            }
            Err(_) => {
                let reason = "the deadline passed within the answer";
                Err(Refusal::unknown(Cause::Deadline, reason))
            }
        }
    }
}

fn full(state: &GateState, retry_after: Duration) -> Refusal {
    let load = state.admission.load();
    let reason = format!("the back end is full: {load} running and waiting");
    Refusal::not_run(Cause::Full, reason).retry_after(retry_after)
}

/// The gate sees who calls a route, which an entry cannot.
fn precedence(dependencies: &mut Dependencies, hop: &Hop) -> Precedence {
    if dependencies.is_dependency(&hop.route, &hop.caller) {
        return Precedence::Dependency;
    }
    hop.precedence
}

fn from_send_error(error: &SendError) -> Refusal {
    match error {
        SendError::NotSent { reason, .. } => {
            Refusal::not_run(Cause::Unreachable, reason.clone()).retry_after(CONFIG_RETRY)
        }
        SendError::Lost { reason } => Refusal::unknown(Cause::ConnectionLost, reason.clone()),
    }
}
