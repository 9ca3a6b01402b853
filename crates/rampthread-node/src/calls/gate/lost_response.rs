//! Lost responses at the gate: checks whether the connection broke or the backend crashed, and
//! reports crashes to all nodes, with the requests in progress at the time.

use super::Gate;
use crate::calls::request_content::CallContent;
use crate::calls::response::CallError;
use crate::control::LocalBackend;
use bytes::Bytes;
use hyper::body::{Frame, SizeHint};
use rampthread_core::backend_incarnation::BackendIncarnation;
use rampthread_core::call::cause::Cause;
use rampthread_core::call::crash_detector::CrashSuspect;
use rampthread_core::ids::InstanceId;
use rampthread_core::time::Moment;
use rampthread_http::{refuses_connections, sleep};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

/// Timeout of the connection attempt that tests whether the backend's port refuses connections.
/// The backend is on the same machine.
const CONNECT_REFUSED_TIMEOUT: Duration = Duration::from_millis(50);
/// Interval between two tests of the backend's port after a lost response. A port that refused
/// connections only because its backlog was full accepts connections again by then; the port of
/// a terminating process may close only then.
const PORT_POLL_INTERVAL: Duration = Duration::from_millis(200);

impl Gate {
    /// Checks whether the backend has crashed, by testing whether its port refuses connections.
    /// A draining backend may end with calls in progress; that is no crash.
    pub(super) async fn investigate_loss(
        self: &Arc<Self>,
        backend: &LocalBackend,
        content: &CallContent,
        on_trial: bool,
        lost: CallError,
    ) -> CallError {
        let is_draining = self
            .control
            .local_backend()
            .is_some_and(|now| now.name == backend.name && self.is_draining(&now));
        if is_draining {
            return lost;
        }
        let port_is_closed = refuses_connections(backend.address, CONNECT_REFUSED_TIMEOUT).await;
        let suspect = CrashSuspect {
            identity: content.identity(&self.control.identity_key),
            instance: self.incarnation(backend),
            at: self.control.clock.now(),
            on_trial,
        };
        self.state()
            .crash_detector
            .record_loss(&suspect, port_is_closed);
        if BackendIncarnation::from_name(&suspect.instance)
            .started_at()
            .is_none()
        {
            let polling = self.clone();
            let polling =
                polling.poll_closed_port(backend.clone(), suspect.clone(), port_is_closed);
            async_std::task::spawn(polling);
        }
        if !port_is_closed {
            return lost;
        }
        self.control.metrics.crashed_calls.inc();
        let instance = suspect.instance.clone();
        self.control.report_suspicions(&[suspect], false);
        CallError {
            cause: Cause::BackendCrashed,
            status: Cause::BackendCrashed.status(),
            crashed: Some(instance),
            ..lost
        }
    }

    /// Tests the port of a backend that does not report its incarnation, since its reports do
    /// not show a restart. A port that is closed shortly after the loss means a crash. A port
    /// that is closed at two tests in a row means that the incarnation has ended.
    async fn poll_closed_port(
        self: Arc<Self>,
        backend: LocalBackend,
        lost: CrashSuspect,
        mut was_closed: bool,
    ) {
        loop {
            sleep(PORT_POLL_INTERVAL).await;
            if !refuses_connections(backend.address, CONNECT_REFUSED_TIMEOUT).await {
                return;
            }
            if was_closed {
                return self.record_end(&backend, &lost.instance);
            }
            let Some(crash) = self.state().crash_detector.port_closed(&lost) else {
                return;
            };
            self.control.metrics.crashed_calls.inc();
            self.control.report_suspicions(&[crash], false);
            was_closed = true;
        }
    }

    /// Records that the backend's incarnation `instance` has ended, and reports the requests
    /// that it was running as suspects.
    fn record_end(&self, backend: &LocalBackend, instance: &InstanceId) {
        let suspects = {
            let mut state = self.state();
            let Some(suspects) = state.crash_detector.ended(instance) else {
                return;
            };
            state.incarnations.note_end(&instance_of(backend));
            suspects
        };
        self.control.report_suspicions(&suspects, false);
    }

    /// Records a response to a call that started at `started_at`: the backend is alive.
    pub(super) fn record_response(&self, backend: &LocalBackend, started_at: Moment) {
        let mut state = self.state();
        if state.crash_detector.is_empty() {
            return;
        }
        let name = instance_of(backend);
        let instance = state.incarnations.present(&name);
        let cleared = state.crash_detector.record_response(&instance, started_at);
        if backend.instance.is_none() && !cleared.is_empty() {
            // The backend does not report its incarnation; the response most likely comes from
            // the next one.
            state.incarnations.note_end(&name);
            return;
        }
        drop(state);
        self.control.report_suspicions(&cleared, true);
    }

    /// Checks whether a new incarnation of the backend shows that lost responses were crashes.
    pub fn check_incarnation(&self) {
        if self.state().crash_detector.is_empty() {
            return;
        }
        let Some(backend) = self.control.local_backend() else {
            return;
        };
        let Some(name) = &backend.instance else {
            return;
        };
        let now = self.control.clock.now();
        let reported = self.control.last_backend_report();
        let (suspects, cleared) = {
            let mut state = self.state();
            let instance = state.incarnations.present(name);
            let reported = reported
                .map(|(present, reported)| (state.incarnations.present(&present), reported));
            let detector = &mut state.crash_detector;
            if backend.draining {
                detector.record_departure(&instance);
            }
            let cleared = reported
                .map(|(present, reported)| detector.reported_alive(&present, reported))
                .unwrap_or_default();
            (detector.record_replacement(&instance, now), cleared)
        };
        self.control.report_suspicions(&cleared, true);
        self.control.report_suspicions(&suspects, false);
    }

    /// Present incarnation of the backend.
    pub(super) fn incarnation(&self, backend: &LocalBackend) -> InstanceId {
        self.state().incarnations.present(&instance_of(backend))
    }
}

/// Instance id that the backend reports, or else its name in the configuration.
fn instance_of(backend: &LocalBackend) -> InstanceId {
    let named = backend.instance.clone();
    named.unwrap_or_else(|| {
        InstanceId::new(backend.name.as_str()).expect("resource names are valid instance ids")
    })
}

/// Body of a streamed response. If the body ends early, the gate node checks whether the
/// backend crashed, as for any lost response.
pub(super) struct LossDetectingBody<B> {
    inner: B,
    loss: Option<LossContext>,
}

/// What the gate node needs to check whether a lost response means a crash of the backend.
struct LossContext {
    gate: Arc<Gate>,
    backend: LocalBackend,
    content: CallContent,
    on_trial: bool,
}

impl<B> LossDetectingBody<B> {
    /// Wraps the response body `inner`. `on_trial` is true if the request runs alone, since it is
    /// suspected of crashing backends.
    pub(super) fn new(
        inner: B,
        gate: Arc<Gate>,
        backend: LocalBackend,
        content: CallContent,
        on_trial: bool,
    ) -> Self {
        let loss = Some(LossContext {
            gate,
            backend,
            content,
            on_trial,
        });
        Self { inner, loss }
    }
}

impl<B> hyper::body::Body for LossDetectingBody<B>
where
    B: hyper::body::Body<Data = Bytes> + Unpin,
{
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(context);
        if matches!(polled, Poll::Ready(Some(Err(_))))
            && let Some(loss) = self.loss.take()
        {
            async_std::task::spawn(async move {
                let broken = CallError::unknown(Cause::TruncatedResponse, "the answer broke off");
                loss.gate
                    .investigate_loss(&loss.backend, &loss.content, loss.on_trial, broken)
                    .await;
            });
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
