//! A request's body on its way from the connection to whoever handles it.

use super::framing::MalformedChunks;
use bytes::Bytes;
use futures_util::Stream;
use hyper::body::{Frame, SizeHint};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

/// Pieces that wait for the handler: the connection reads on only after the
/// handler took the piece before.
const WAITING_PIECES: usize = 1;

/// Stands for a number of bytes that only the body's end tells.
const UNKNOWN: u64 = u64::MAX;

/// Why a request's body ended early.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum RequestBodyError {
    /// Its chunks are malformed.
    #[error(transparent)]
    Malformed(#[from] MalformedChunks),
    /// The connection ended within it.
    #[error("the connection ended within the body")]
    ConnectionLost,
}

/// A piece of a body on its way; none: the body is whole.
type Handed = Result<Option<Bytes>, MalformedChunks>;

/// A request's body. Dropped early, what is left of it is passed over, or the
/// connection ends after the answer.
pub struct RequestBody {
    pieces: Option<Pin<Box<async_channel::Receiver<Handed>>>>,
    /// Tells the connection that the body is wanted; taken with the first use.
    wanted: Option<async_channel::Sender<()>>,
    declared: Option<u64>,
}

impl RequestBody {
    /// The body of a request that has none.
    pub(super) fn empty() -> Self {
        Self {
            pieces: None,
            wanted: None,
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
        if let Some(wanted) = self.wanted.take() {
            // Full or closed: the connection knows already, or is gone.
            let _ = wanted.try_send(());
        }
        let Some(pieces) = &mut self.pieces else {
            return Poll::Ready(None);
        };
        let handed = std::task::ready!(pieces.as_mut().poll_next(context));
        if let Some(Ok(Some(bytes))) = handed {
            return Poll::Ready(Some(Ok(Frame::data(bytes))));
        }
        self.pieces = None;
        Poll::Ready(match handed {
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

/// The connection's side of a body.
pub(super) struct BodyFeed {
    pieces: async_channel::Sender<Handed>,
    wanted: async_channel::Receiver<()>,
    unread: UnreadBody,
}

/// Bytes of a request's body that have not been read from the connection.
#[derive(Debug, Clone)]
pub(super) struct UnreadBody(Arc<AtomicU64>);

impl UnreadBody {
    pub(super) fn none() -> Self {
        Self(Arc::new(AtomicU64::new(0)))
    }

    pub(super) fn bytes(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    pub(super) fn set(&self, bytes: Option<u64>) {
        self.0.store(bytes.unwrap_or(UNKNOWN), Ordering::Relaxed);
    }
}

impl BodyFeed {
    /// Both sides of a body of `declared` bytes.
    pub(super) fn new(declared: Option<u64>) -> (Self, RequestBody) {
        let (pieces, taken) = async_channel::bounded(WAITING_PIECES);
        let (wants, wanted) = async_channel::bounded(1);
        let unread = UnreadBody::none();
        unread.set(declared);
        let body = RequestBody {
            pieces: Some(Box::pin(taken)),
            wanted: Some(wants),
            declared,
        };
        let feed = Self {
            pieces,
            wanted,
            unread,
        };
        (feed, body)
    }

    /// What is not read yet, for whoever writes the answer.
    pub(super) fn unread(&self) -> UnreadBody {
        self.unread.clone()
    }

    /// Waits until the handler asks for the body; false: it never will.
    pub(super) async fn wanted(&self) -> bool {
        self.wanted.recv().await.is_ok()
    }

    /// Hands a piece on; false when nobody takes it any more.
    pub(super) async fn hand_on(&self, piece: Handed) -> bool {
        self.pieces.send(piece).await.is_ok()
    }

    /// Notes how much is left to read.
    pub(super) fn left(&self, bytes: Option<u64>) {
        self.unread.set(bytes);
    }
}
