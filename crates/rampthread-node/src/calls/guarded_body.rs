//! A body that keeps a guard alive until the body has ended or is dropped.

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll};

/// Forwards the frames of `inner`, and drops `guard` when `inner` ends.
pub struct GuardedBody<B, G> {
    inner: B,
    guard: Option<G>,
}

impl<B, G> GuardedBody<B, G> {
    /// Attaches `guard` to the body `inner`.
    pub fn new(inner: B, guard: G) -> Self {
        Self {
            inner,
            guard: Some(guard),
        }
    }
}

impl<B, G> Body for GuardedBody<B, G>
where
    B: Body<Data = Bytes> + Unpin,
    G: Unpin,
{
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(context);
        if matches!(polled, Poll::Ready(None | Some(Err(_)))) {
            self.guard = None;
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
