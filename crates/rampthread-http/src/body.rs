//! Body type shared by requests and responses, and functions that read bodies.

use bytes::{Bytes, BytesMut};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Empty, Full, Limited};
use hyper::body::Body as _;
use std::time::Duration;

/// Error of a body that ended early.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// Error while reading a body to its end.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// No data arrived for the given time.
    #[error("no data received for {waited:?}")]
    Stalled {
        /// The stall timeout.
        waited: Duration,
    },
    /// The body ended early or exceeds the size limit.
    #[error(transparent)]
    Body(#[from] BodyError),
}

/// A buffered or streamed body.
pub type Body = BoxBody<Bytes, BodyError>;

/// Creates a body from buffered bytes.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed()
}

/// Creates an empty body.
pub fn empty() -> Body {
    Empty::new().map_err(|never| match never {}).boxed()
}

/// Boxes a body of any type.
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
            return Err("body exceeds the size limit".into());
        }
        if whole.is_empty() && body.is_end_stream() {
            return Ok(data);
        }
        whole.extend_from_slice(&data);
    }
    Ok(whole.freeze())
}
