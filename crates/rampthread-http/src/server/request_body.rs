//! Channel that passes a request body from the connection to the handler.

use super::framing::MalformedChunks;
use bytes::Bytes;
use futures_util::Stream;
use hyper::body::{Frame, SizeHint};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

/// Capacity of the channel, in pieces of the request body. The connection reads on only after
/// the handler has taken the previous piece.
const MAX_BUFFERED_PIECES: usize = 1;

/// Value of [`UnreadBody`] if the number of unread bytes is unknown.
const UNKNOWN_BYTES: u64 = u64::MAX;

/// Error of a request body that ended early.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum RequestBodyError {
    /// The chunked coding of the body is malformed.
    #[error(transparent)]
    Malformed(#[from] MalformedChunks),
    /// The connection ended before the body was complete.
    #[error("the connection ended within the body")]
    ConnectionLost,
}

/// What the channel carries: a piece of the body, `None` at the end of the body, or an error.
type BodyMessage = Result<Option<Bytes>, MalformedChunks>;

/// Body of a request, received by the handler. If the handler drops the body early, the
/// connection discards the rest of the body or closes after the response.
pub struct RequestBody {
    pieces: Option<Pin<Box<async_channel::Receiver<BodyMessage>>>>,
    /// Signals the connection that the handler has started to read the body; taken at the first
    /// poll.
    requested: Option<async_channel::Sender<()>>,
    declared: Option<u64>,
}

impl RequestBody {
    /// Creates an empty request body.
    pub(super) fn empty() -> Self {
        Self {
            pieces: None,
            requested: None,
            declared: Some(0),
        }
    }
}

impl hyper::body::Body for RequestBody {
    type Data = Bytes;
    type Error = RequestBodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RequestBodyError>>> {
        if let Some(requested) = self.requested.take() {
            // A full or closed channel means that the connection was already signalled, or has
            // ended.
            let _ = requested.try_send(());
        }
        let Some(pieces) = &mut self.pieces else {
            return Poll::Ready(None);
        };
        let message = std::task::ready!(pieces.as_mut().poll_next(context));
        if let Some(Ok(Some(bytes))) = message {
            return Poll::Ready(Some(Ok(Frame::data(bytes))));
        }
        self.pieces = None;
        Poll::Ready(match message {
            Some(Ok(_)) => None,
            Some(Err(malformed)) => Some(Err(malformed.into())),
            None => Some(Err(RequestBodyError::ConnectionLost)),
        })
    }

    fn is_end_stream(&self) -> bool {
        self.pieces.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        self.declared
            .map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

/// Sending half of a request body, held by the connection.
pub(super) struct BodySender {
    pieces: async_channel::Sender<BodyMessage>,
    requested: async_channel::Receiver<()>,
    unread: UnreadBody,
}

/// Number of request body bytes that the connection has not read yet; clones share the number.
#[derive(Debug, Clone)]
pub(super) struct UnreadBody(Arc<AtomicU64>);

impl UnreadBody {
    /// Creates the count of a request without an unread body.
    pub(super) fn none() -> Self {
        Self(Arc::new(AtomicU64::new(0)))
    }

    /// Number of unread bytes; `u64::MAX` if it is unknown.
    pub(super) fn bytes(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    /// Sets the number of unread bytes; `None` if it is unknown.
    pub(super) fn set(&self, bytes: Option<u64>) {
        self.0
            .store(bytes.unwrap_or(UNKNOWN_BYTES), Ordering::Relaxed);
    }
}

impl BodySender {
    /// Creates the sender and the receiver of a request body of `declared` bytes; `None` for a
    /// chunked body.
    pub(super) fn new(declared: Option<u64>) -> (Self, RequestBody) {
        let (pieces, taken) = async_channel::bounded(MAX_BUFFERED_PIECES);
        let (request, requested) = async_channel::bounded(1);
        let unread = UnreadBody::none();
        unread.set(declared);
        let body = RequestBody {
            pieces: Some(Box::pin(taken)),
            requested: Some(request),
            declared,
        };
        let sender = Self {
            pieces,
            requested,
            unread,
        };
        (sender, body)
    }

    /// Shared number of unread bytes. The writer of the response decides with it whether to
    /// keep the connection.
    pub(super) fn unread(&self) -> UnreadBody {
        self.unread.clone()
    }

    /// Waits until the handler reads the body. Returns false if the handler dropped the body
    /// unread.
    pub(super) async fn wait_requested(&self) -> bool {
        self.requested.recv().await.is_ok()
    }

    /// Passes a piece to the handler. Returns false if the handler has dropped the body.
    pub(super) async fn send_piece(&self, piece: BodyMessage) -> bool {
        self.pieces.send(piece).await.is_ok()
    }

    /// Sets the number of unread bytes; `None` if it is unknown.
    pub(super) fn set_unread(&self, bytes: Option<u64>) {
        self.unread.set(bytes);
    }
}
