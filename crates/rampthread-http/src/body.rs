//! One body type for requests and answers.

use bytes::{Bytes, BytesMut};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Empty, Full, Limited};
use hyper::body::Body as _;
use std::time::Duration;

/// Why a body ended early.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// Why a body was not read to its end.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// No byte came for as long as was allowed.
    #[error("no byte for {waited:?}")]
    Stalled {
        /// That time.
        waited: Duration,
    },
    /// The body ended early or is too long.
    #[error(transparent)]
    Broken(#[from] BodyError),
}

/// A body that may come from memory or from a peer.
pub type Body = BoxBody<Bytes, BodyError>;

/// A body of known bytes.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed()
}

/// No body.
pub fn empty() -> Body {
    Empty::new().map_err(|never| match never {}).boxed()
}

/// Wraps any body.
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

/// Reads a whole body of at most `limit` bytes, however long it takes while bytes
/// keep coming: a slow link is not a silent one. A pause longer than `stall`
/// between two parts ends it.
pub async fn read_while_moving<B>(
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

/// Reads the whole of a boxed body of at most `limit` bytes.
pub async fn read_whole(mut body: Body, limit: usize) -> Result<Bytes, BodyError> {
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
