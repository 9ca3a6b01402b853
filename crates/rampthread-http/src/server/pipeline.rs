//! Started requests of one connection whose responses are not yet written, in the order of
//! arrival.

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

/// Properties of a request that its response depends on.
#[derive(Debug, Clone)]
pub(super) struct RequestInfo {
    pub(super) method: Method,
    pub(super) version: Version,
    /// The client allows the connection to be reused.
    pub(super) keeps_connection: bool,
    pub(super) unread: UnreadBody,
}

enum HandlerState {
    Running(BoxFuture<'static, Response<Body>>),
    Responded(Response<Body>),
}

struct PipelinedRequest {
    info: RequestInfo,
    handler_state: HandlerState,
}

impl PipelinedRequest {
    fn has_response(&self) -> bool {
        matches!(self.handler_state, HandlerState::Responded(_))
    }
}

/// What the writer writes next.
pub(super) enum Output {
    /// An interim response that requests the body.
    Continue,
    /// The response to the oldest request; `last` if no other follows.
    Response {
        info: RequestInfo,
        response: Response<Body>,
        last: bool,
    },
    /// All responses are written.
    Finished,
}

#[derive(Default)]
struct State {
    started: VecDeque<PipelinedRequest>,
    /// The response to the oldest request is being written.
    writing: bool,
    continue_requested: bool,
    /// When the last response was written.
    last_response_at: Option<BootInstant>,
    /// No further request is started.
    closing: bool,
}

/// Limits on starting a request concurrently with others.
#[derive(Debug, Clone, Copy)]
pub(super) struct ConcurrencyLimits {
    /// Maximum number of requests without a written response.
    pub(super) requests: usize,
    /// Maximum size of the responses queued behind earlier ones, in bytes.
    pub(super) response_bytes: u64,
}

/// Shared by the reader, driver and writer of one connection. They are parts of one task, which
/// is woken after each change that another part may wait for.
#[derive(Default)]
pub(super) struct Pipeline {
    state: Mutex<State>,
}

impl Pipeline {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
    }

    /// Starts a request.
    pub(super) fn start(&self, info: RequestInfo, handler: BoxFuture<'static, Response<Body>>) {
        let handler_state = HandlerState::Running(handler);
        self.state().started.push_back(PipelinedRequest {
            info,
            handler_state,
        });
    }

    /// Queues a response that needs no handler.
    pub(super) fn queue_response(&self, info: RequestInfo, response: Response<Body>) {
        let handler_state = HandlerState::Responded(response);
        self.state().started.push_back(PipelinedRequest {
            info,
            handler_state,
        });
    }

    /// Whether all responses are written.
    pub(super) fn is_empty(&self) -> bool {
        self.state().started.is_empty()
    }

    /// Whether no request was in progress for at least `time`.
    pub(super) fn is_idle_for(&self, time: Duration) -> bool {
        let state = self.state();
        let responded = state.last_response_at.map(|at| at.elapsed());
        state.started.is_empty() && responded.is_none_or(|rested| rested >= time)
    }

    /// Stops starting requests.
    pub(super) fn close(&self) {
        self.state().closing = true;
    }

    /// The client disconnected: drops running handlers and all responses behind them.
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

    /// Whether starting requests has stopped.
    pub(super) fn is_closing(&self) -> bool {
        self.state().closing
    }

    /// Requests an interim 100 (Continue) response.
    pub(super) fn request_continue(&self) {
        self.state().continue_requested = true;
    }

    /// Waits until a request may start: concurrently within `limits`, or after all earlier
    /// responses are written.
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

    /// Polls the handlers; never completes.
    pub(super) async fn drive(&self) {
        poll_fn(|context| {
            self.state().poll_running(context);
            Poll::<()>::Pending
        })
        .await
    }

    /// Waits for something to write.
    pub(super) async fn output(&self) -> Output {
        poll_fn(|_| {
            let mut state = self.state();
            state.take_output().map_or(Poll::Pending, Poll::Ready)
        })
        .await
    }

    /// Marks the response that was taken last as written.
    pub(super) async fn mark_written(&self) {
        poll_fn(|context| {
            let mut state = self.state();
            state.writing = false;
            state.last_response_at = Some(BootInstant::now());
            state.started.pop_front();
            // The reader may be waiting for a free place.
            context.waker().wake_by_ref();
            Poll::Ready(())
        })
        .await
    }
}

impl State {
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

    fn poll_running(&mut self, context: &mut Context<'_>) {
        for started in &mut self.started {
            let HandlerState::Running(handler) = &mut started.handler_state else {
                continue;
            };
            if let Poll::Ready(response) = handler.as_mut().poll(context) {
                started.handler_state = HandlerState::Responded(response);
                // The reader may be waiting for the handler to drop the body.
                context.waker().wake_by_ref();
            }
        }
    }

    fn take_output(&mut self) -> Option<Output> {
        if self.writing {
            return None;
        }
        let last = self.closing && self.started.len() == 1;
        let Some(oldest) = self.started.front_mut() else {
            return self.closing.then_some(Output::Finished);
        };
        if matches!(oldest.handler_state, HandlerState::Running(_)) {
            return std::mem::take(&mut self.continue_requested).then_some(Output::Continue);
        }
        self.continue_requested = false;
        let info = oldest.info.clone();
        // The entry stays in the queue until the response is written, since a request that must
        // not run concurrently waits for an empty queue.
        let placeholder = HandlerState::Responded(Response::new(crate::body::empty()));
        let HandlerState::Responded(response) =
            std::mem::replace(&mut oldest.handler_state, placeholder)
        else {
            return None;
        };
        self.writing = true;
        Some(Output::Response {
            info,
            response,
            last,
        })
    }
}
