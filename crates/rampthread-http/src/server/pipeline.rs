//! The requests of one connection that were started and are not answered yet,
//! in the order in which they came.

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

/// What the answer to a request must know of the request.
#[derive(Debug, Clone)]
pub(super) struct AnswerTo {
    pub(super) method: Method,
    pub(super) version: Version,
    /// The caller keeps the connection after this answer.
    pub(super) keeps_connection: bool,
    pub(super) unread: UnreadBody,
}

enum Progress {
    Running(BoxFuture<'static, Response<Body>>),
    Answered(Response<Body>),
}

struct Started {
    to: AnswerTo,
    progress: Progress,
}

impl Started {
    fn is_answered(&self) -> bool {
        matches!(self.progress, Progress::Answered(_))
    }
}

/// What is to be written next.
pub(super) enum Output {
    /// An interim answer: the body may come.
    Continue,
    /// The answer to the oldest request, and whether it is the last one.
    Answer {
        to: AnswerTo,
        response: Response<Body>,
        last: bool,
    },
    /// Nothing any more.
    Finished,
}

#[derive(Default)]
struct State {
    started: VecDeque<Started>,
    /// The answer to the oldest request is being written.
    writing: bool,
    continue_wanted: bool,
    /// When the last answer was written.
    answered_at: Option<BootInstant>,
    /// No request is started any more.
    closing: bool,
}

/// Room for requests that run at the same time.
#[derive(Debug, Clone, Copy)]
pub(super) struct Room {
    /// Requests started and not answered, at most.
    pub(super) requests: usize,
    /// Bytes of answers that wait for their turn, at most.
    pub(super) answer_bytes: u64,
}

/// The started requests of one connection. Reader, driver and writer of the
/// connection share it; they are parts of one task, which is woken after each
/// change that another part waits for.
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
    pub(super) fn start(&self, to: AnswerTo, handler: BoxFuture<'static, Response<Body>>) {
        let progress = Progress::Running(handler);
        self.state().started.push_back(Started { to, progress });
    }

    /// Queues an answer that needs no work.
    pub(super) fn answer(&self, to: AnswerTo, response: Response<Body>) {
        let progress = Progress::Answered(response);
        self.state().started.push_back(Started { to, progress });
    }

    /// True when every request has got its answer.
    pub(super) fn is_empty(&self) -> bool {
        self.state().started.is_empty()
    }

    /// True when nothing was under way for as long as `time`.
    pub(super) fn has_rested(&self, time: Duration) -> bool {
        let state = self.state();
        let answered = state.answered_at.map(|at| at.elapsed());
        state.started.is_empty() && answered.is_none_or(|rested| rested >= time)
    }

    /// Nothing more is started.
    pub(super) fn close(&self) {
        self.state().closing = true;
    }

    /// The caller has left: what still runs is given up.
    pub(super) fn leave(&self) {
        let mut state = self.state();
        state.closing = true;
        let answered = state
            .started
            .iter()
            .take_while(|started| started.is_answered());
        let answered = answered.count();
        state.started.truncate(answered);
    }

    /// True when nothing more is started.
    pub(super) fn is_closing(&self) -> bool {
        self.state().closing
    }

    /// An interim answer is to be written.
    pub(super) fn want_continue(&self) {
        self.state().continue_wanted = true;
    }

    /// Waits until one more request may start: beside others, or after all of
    /// them are answered.
    pub(super) async fn room(&self, overlaps: bool, room: Room) {
        poll_fn(|_| {
            let state = self.state();
            let free = if overlaps {
                state.has_room(room)
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

    /// Runs the handlers; ends never.
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

    /// The answer that was taken last is written.
    pub(super) async fn written(&self) {
        poll_fn(|context| {
            let mut state = self.state();
            state.writing = false;
            state.answered_at = Some(BootInstant::now());
            state.started.pop_front();
            // The reader may wait for room.
            context.waker().wake_by_ref();
            Poll::Ready(())
        })
        .await
    }
}

impl State {
    fn has_room(&self, room: Room) -> bool {
        let waiting: u64 = self
            .started
            .iter()
            .map(|started| match &started.progress {
                Progress::Running(_) => 0,
                Progress::Answered(response) => response.body().size_hint().lower(),
            })
            .sum();
        self.started.len() < room.requests && waiting <= room.answer_bytes
    }

    fn poll_running(&mut self, context: &mut Context<'_>) {
        for started in &mut self.started {
            let Progress::Running(handler) = &mut started.progress else {
                continue;
            };
            if let Poll::Ready(response) = handler.as_mut().poll(context) {
                started.progress = Progress::Answered(response);
                // The reader may wait for the body to be given up.
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
        if matches!(oldest.progress, Progress::Running(_)) {
            return std::mem::take(&mut self.continue_wanted).then_some(Output::Continue);
        }
        self.continue_wanted = false;
        let to = oldest.to.clone();
        // The place is kept until the answer is written: nothing may start
        // before that which must not run beside others.
        let taken = Progress::Answered(Response::new(crate::body::empty()));
        let Progress::Answered(response) = std::mem::replace(&mut oldest.progress, taken) else {
            return None;
        };
        self.writing = true;
        Some(Output::Answer { to, response, last })
    }
}
