//! Requests of one connection that were started and whose responses are not yet written, in the
//! order of arrival.

use super::request_body::UnreadBody;
use crate::body::Body;
use crate::time::BootInstant;
use futures_util::future::BoxFuture;
use http::{Method, Response, Version};
use hyper::body::Body as _;
use std::collections::VecDeque;
use std::future::poll_fn;
use std::sync::{Mutex, MutexGuard};
use std::task::{Context, Poll};
use std::time::Duration;

/// What the writer needs to know about a request to encode its response.
#[derive(Debug, Clone)]
pub(super) struct RequestInfo {
    pub(super) method: Method,
    pub(super) version: Version,
    /// The client allows another request on the connection.
    pub(super) keeps_connection: bool,
    pub(super) unread: UnreadBody,
}

/// State of the handler of one request: running, or completed with a response.
enum HandlerState {
    Running(BoxFuture<'static, Response<Body>>),
    Responded(Response<Body>),
}

/// A started request whose response is not yet written.
struct PipelinedRequest {
    info: RequestInfo,
    handler_state: HandlerState,
}

impl PipelinedRequest {
    /// Whether the handler has returned its response.
    fn has_response(&self) -> bool {
        matches!(self.handler_state, HandlerState::Responded(_))
    }
}

/// What the writer of a connection writes next.
pub(super) enum WriterOutput {
    /// The interim response 100 (Continue), which asks the client for the request body.
    Continue,
    /// The response to the oldest request; `last` if no other response follows on the
    /// connection.
    Response {
        info: RequestInfo,
        response: Response<Body>,
        last: bool,
    },
    /// All responses are written, and no further request is started.
    Finished,
}

/// State of one connection's pipeline.
#[derive(Default)]
struct PipelineState {
    started: VecDeque<PipelinedRequest>,
    /// The writer is writing the response to the oldest request.
    writing: bool,
    continue_requested: bool,
    /// When the last response was written; `None` before the first.
    last_response_at: Option<BootInstant>,
    /// No further request is started on this connection.
    closing: bool,
}

/// Limits on starting a request concurrently with others.
#[derive(Debug, Clone, Copy)]
pub(super) struct ConcurrencyLimits {
    /// Maximum number of started requests whose responses are not written.
    pub(super) requests: usize,
    /// Maximum size of responses that wait for earlier ones to be written, in bytes.
    pub(super) response_bytes: u64,
}

/// State shared by the reader, driver and writer of one connection. They are parts of one task,
/// which is woken after each change that another part may wait for.
#[derive(Default)]
pub(super) struct Pipeline {
    state: Mutex<PipelineState>,
}

impl Pipeline {
    fn state(&self) -> MutexGuard<'_, PipelineState> {
        self.state
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
    }

    /// Starts a request: the driver polls `handler` from now on.
    pub(super) fn start(&self, info: RequestInfo, handler: BoxFuture<'static, Response<Body>>) {
        let handler_state = HandlerState::Running(handler);
        self.state().started.push_back(PipelinedRequest {
            info,
            handler_state,
        });
    }

    /// Queues a response that needs no handler, behind the responses to earlier requests.
    pub(super) fn queue_response(&self, info: RequestInfo, response: Response<Body>) {
        let handler_state = HandlerState::Responded(response);
        self.state().started.push_back(PipelinedRequest {
            info,
            handler_state,
        });
    }

    /// Whether the responses to all started requests are written.
    pub(super) fn is_empty(&self) -> bool {
        self.state().started.is_empty()
    }

    /// Whether the connection had no request in progress for at least `time`.
    pub(super) fn is_idle_for(&self, time: Duration) -> bool {
        let state = self.state();
        let responded = state.last_response_at.map(|at| at.elapsed());
        state.started.is_empty() && responded.is_none_or(|rested| rested >= time)
    }

    /// Starts no further request on this connection; those in progress continue.
    pub(super) fn close(&self) {
        self.state().closing = true;
    }

    /// Handles a disconnect of the client: drops the first running handler and all requests
    /// behind it. Responses that are ready before it are still written.
    pub(super) fn disconnect(&self) {
        let mut state = self.state();
        state.closing = true;
        let responded = state
            .started
            .iter()
            .take_while(|started| started.has_response());
        let responded = responded.count();
        state.started.truncate(responded);
    }

    /// Whether the connection starts no further request.
    pub(super) fn is_closing(&self) -> bool {
        self.state().closing
    }

    /// Makes the writer send an interim 100 (Continue) response.
    pub(super) fn request_continue(&self) {
        self.state().continue_requested = true;
    }

    /// Waits until a request may start: within `limits` if it may overlap others, or else after
    /// all earlier responses are written.
    pub(super) async fn wait_for_capacity(&self, overlaps: bool, limits: ConcurrencyLimits) {
        poll_fn(|_| {
            let state = self.state();
            let free = if overlaps {
                state.has_capacity(limits)
            } else {
                state.started.is_empty()
            };
            if free || state.closing {
                Poll::Ready(())
            } else {
                Poll::Pending
            }
        })
        .await
    }

    /// Polls the handlers of started requests; never completes.
    pub(super) async fn drive(&self) {
        poll_fn(|context| {
            self.state().poll_running(context);
            Poll::<()>::Pending
        })
        .await
    }

    /// Waits until the writer has something to write.
    pub(super) async fn output(&self) -> WriterOutput {
        poll_fn(|_| {
            let mut state = self.state();
            state.take_output().map_or(Poll::Pending, Poll::Ready)
        })
        .await
    }

    /// Marks the response that the writer took last as written.
    pub(super) async fn mark_written(&self) {
        poll_fn(|context| {
            let mut state = self.state();
            state.writing = false;
            state.last_response_at = Some(BootInstant::now());
            state.started.pop_front();
            // The reader may be waiting until another request may start.
            context.waker().wake_by_ref();
            Poll::Ready(())
        })
        .await
    }
}

impl PipelineState {
    /// Whether `limits` allow one more request beside those in progress.
    fn has_capacity(&self, limits: ConcurrencyLimits) -> bool {
        let waiting: u64 = self
            .started
            .iter()
            .map(|started| match &started.handler_state {
                HandlerState::Running(_) => 0,
                HandlerState::Responded(response) => response.body().size_hint().lower(),
            })
            .sum();
        self.started.len() < limits.requests && waiting <= limits.response_bytes
    }

    /// Polls all running handlers and stores the responses of those that complete.
    fn poll_running(&mut self, context: &mut Context<'_>) {
        for started in &mut self.started {
            let HandlerState::Running(handler) = &mut started.handler_state else {
                continue;
            };
            if let Poll::Ready(response) = handler.as_mut().poll(context) {
                started.handler_state = HandlerState::Responded(response);
                // The reader may be waiting for this handler to drop the request body.
                context.waker().wake_by_ref();
            }
        }
    }

    /// Takes what the writer may write now; `None` if it has to wait.
    fn take_output(&mut self) -> Option<WriterOutput> {
        if self.writing {
            return None;
        }
        let last = self.closing && self.started.len() == 1;
        let Some(oldest) = self.started.front_mut() else {
            return self.closing.then_some(WriterOutput::Finished);
        };
        if matches!(oldest.handler_state, HandlerState::Running(_)) {
            return std::mem::take(&mut self.continue_requested).then_some(WriterOutput::Continue);
        }
        self.continue_requested = false;
        let info = oldest.info.clone();
        // The request stays in the queue until its response is written, since a request that
        // must not overlap waits for an empty queue.
        let placeholder = HandlerState::Responded(Response::new(crate::body::empty()));
        let HandlerState::Responded(response) =
            std::mem::replace(&mut oldest.handler_state, placeholder)
        else {
            return None;
        };
        self.writing = true;
        Some(WriterOutput::Response {
            info,
            response,
            last,
        })
    }
}
