//! Type-erased body of requests and responses, and functions that read a whole body.

use bytes::{Bytes, BytesMut};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Empty, Full, Limited};
use hyper::body::Body as _;
use std::time::Duration;

/// Error of a request or response body that ended before its declared or encoded end.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// Error of [`read_with_stall_timeout`].
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// No body data arrived for `waited`.
    #[error("no byte for {waited:?}")]
    Stalled {
        /// The stall timeout that was exceeded.
        waited: Duration,
    },
    /// The body ended early or exceeds the size limit of the caller.
    #[error(transparent)]
    Body(#[from] BodyError),
}

/// Type-erased body of a request or response, held in memory or streamed from a connection.
pub type Body = BoxBody<Bytes, BodyError>;

/// Creates a body that is already in memory.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed()
}

/// Creates a body of zero bytes.
pub fn empty() -> Body {
    Empty::new().map_err(|never| match never {}).boxed()
}

/// Erases the type of a body.
pub fn boxed<B>(body: B) -> Body
where
    B: hyper::body::Body<Data = Bytes> + Send + Sync + 'static,
    B::Error: Into<BodyError>,
{
    body.map_err(Into::into).boxed()
}

/// Reads a whole body of at most `limit` bytes.
pub async fn read_limited<B>(body: B, limit: usize) -> Result<Bytes, BodyError>
where
    B: hyper::body::Body<Data = Bytes> + Send + 'static,
    B::Error: Into<BodyError>,
{
    let collected = Limited::new(body, limit).collect().await?;
    Ok(collected.to_bytes())
}

/// Reads a whole body of at most `limit` bytes. The total time is unlimited, but a pause longer
/// than `stall` between two frames is an error.
pub async fn read_with_stall_timeout<B>(
    body: B,
    limit: usize,
    stall: Duration,
) -> Result<Bytes, ReadError>
where
    B: hyper::body::Body<Data = Bytes> + Send + 'static,
    B::Error: Into<BodyError>,
{
    let mut body = std::pin::pin!(Limited::new(body, limit));
    let mut whole = BytesMut::new();
    loop {
        match crate::time::timeout(stall, body.frame()).await {
            Ok(Some(frame)) => {
                if let Ok(data) = frame?.into_data() {
                    whole.extend_from_slice(&data);
                }
            }
            Ok(None) => return Ok(whole.freeze()),
            Err(_) => return Err(ReadError::Stalled { waited: stall }),
        }
    }
}

/// Reads a boxed body of at most `limit` bytes, without copying a body that consists of a
/// single frame.
pub async fn read_boxed_limited(mut body: Body, limit: usize) -> Result<Bytes, BodyError> {
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        if whole.len() + data.len() > limit {
            return Err("the body is too long".into());
        }
        if whole.is_empty() && body.is_end_stream() {
            return Ok(data);
        }
        whole.extend_from_slice(&data);
    }
    Ok(whole.freeze())
}
