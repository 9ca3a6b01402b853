//! Request heads: parsed by `httparse` and validated according to RFC 9112.

use super::framing::Framing;
use bytes::{Buf, BytesMut};
use http::header::{CONNECTION, CONTENT_LENGTH, EXPECT, HOST, TRANSFER_ENCODING};
use http::request::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, StatusCode, Uri, Version};
use std::time::Duration;

/// Maximum number of headers of a request; most servers allow as many.
const MAX_HEADERS: usize = 100;

/// Why a request was rejected by its head, before it reached a handler.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// The request head is not valid HTTP/1.x; holds the reason.
    #[error("{0}")]
    Malformed(String),
    /// Answered with status 431 (Request Header Fields Too Large).
    #[error("the head is larger than {limit} bytes or {MAX_HEADERS} headers")]
    HeadTooLarge {
        /// Maximum size of a request head, in bytes.
        limit: usize,
    },
    /// Answered with status 408 (Request Timeout).
    #[error("the head did not arrive within {wait:?}")]
    HeadTimeout {
        /// Maximum time for a request head to arrive.
        wait: Duration,
    },
}

impl Rejection {
    /// Status code of the response to the rejected request.
    pub fn status(&self) -> StatusCode {
        match self {
            Rejection::Malformed(_) => StatusCode::BAD_REQUEST,
            Rejection::HeadTooLarge { .. } => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Rejection::HeadTimeout { .. } => StatusCode::REQUEST_TIMEOUT,
        }
    }
}

/// Rejection of a request head that is not valid HTTP/1.x.
fn malformed(reason: impl Into<String>) -> Rejection {
    Rejection::Malformed(reason.into())
}

/// A parsed request head, with what it says about the request body and the connection.
#[derive(Debug)]
pub(super) struct RequestHead {
    pub(super) parts: Parts,
    pub(super) framing: Framing,
    /// The client allows another request on the connection after this one.
    pub(super) keeps_connection: bool,
    /// The client waits for a 100 (Continue) response before it sends the body.
    pub(super) expects_continue: bool,
}

/// Parses a request head and removes it from the front of `buffer`; `None` if the head is
/// incomplete. `limit` is the maximum size in bytes.
pub(super) fn parse_head(
    buffer: &mut BytesMut,
    limit: usize,
) -> Result<Option<RequestHead>, Rejection> {
    skip_empty_lines(buffer);
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut raw = httparse::Request::new(&mut headers);
    let length = match raw.parse(buffer) {
        Ok(httparse::Status::Complete(length)) if length <= limit => length,
        Ok(httparse::Status::Partial) if buffer.len() <= limit => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => {
            return Err(Rejection::HeadTooLarge { limit });
        }
        Err(error) => return Err(malformed(error.to_string())),
    };
    let head = build_head(&raw)?;
    buffer.advance(length);
    Ok(Some(head))
}

/// Skips empty lines before a request, which some clients send after a body (RFC 9112, section
/// 2.2).
pub(super) fn skip_empty_lines(buffer: &mut BytesMut) {
    let empty = buffer
        .iter()
        .take_while(|byte| matches!(byte, b'\r' | b'\n'))
        .count();
    buffer.advance(empty);
}

/// Converts and validates a head that `httparse` has parsed.
fn build_head(raw: &httparse::Request) -> Result<RequestHead, Rejection> {
    let mut request = Request::new(());
    let method = raw.method.unwrap_or_default().as_bytes();
    *request.method_mut() =
        Method::from_bytes(method).map_err(|error| malformed(error.to_string()))?;
    let target = raw.path.unwrap_or_default();
    *request.uri_mut() = target
        .parse::<Uri>()
        .map_err(|error| malformed(error.to_string()))?;
    *request.version_mut() = match raw.version {
        Some(1) => Version::HTTP_11,
        _ => Version::HTTP_10,
    };
    for header in raw.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(header.value);
        let (Ok(name), Ok(value)) = (name, value) else {
            return Err(malformed(format!(
                "the header {:?} is malformed",
                header.name
            )));
        };
        request.headers_mut().append(name, value);
    }
    let (parts, ()) = request.into_parts();
    check_host(&parts)?;
    Ok(RequestHead {
        framing: framing_of(&parts)?,
        keeps_connection: keeps_connection(&parts),
        expects_continue: expects_continue(&parts),
        parts,
    })
}

/// Requires exactly one `Host` header in HTTP/1.1 (RFC 9112, section 3.2).
fn check_host(parts: &Parts) -> Result<(), Rejection> {
    let hosts = parts.headers.get_all(HOST).iter().count();
    if parts.version == Version::HTTP_11 && hosts != 1 {
        let reason = format!("{hosts} Host headers; exactly one is allowed");
        return Err(malformed(reason));
    }
    Ok(())
}

/// How the end of the request body is marked (RFC 9112, section 6.3). Ambiguous heads are
/// rejected, since they enable request smuggling.
fn framing_of(parts: &Parts) -> Result<Framing, Rejection> {
    let lengths = parts.headers.get_all(CONTENT_LENGTH);
    let length = lengths.iter().next();
    let encodings = parts.headers.get_all(TRANSFER_ENCODING);
    let Some(encoding) = encodings.iter().next() else {
        if lengths.iter().count() > 1 {
            return Err(malformed("more than one Content-Length"));
        }
        return length.map_or(Ok(Framing::Empty), declared_length);
    };
    if length.is_some() {
        return Err(malformed("Content-Length beside Transfer-Encoding"));
    }
    let chunked = encoding.as_bytes().eq_ignore_ascii_case(b"chunked");
    if !chunked || encodings.iter().count() > 1 || parts.version == Version::HTTP_10 {
        return Err(malformed("a Transfer-Encoding other than chunked"));
    }
    Ok(Framing::Chunked)
}

/// Framing for the value of a `Content-Length` header.
fn declared_length(value: &HeaderValue) -> Result<Framing, Rejection> {
    let bytes = value.as_bytes();
    let digits = !bytes.is_empty() && bytes.iter().all(u8::is_ascii_digit);
    let length = value.to_str().ok().and_then(|text| text.parse().ok());
    match length.filter(|_| digits) {
        Some(0) => Ok(Framing::Empty),
        Some(length) => Ok(Framing::Length(length)),
        None => Err(malformed("a Content-Length that is no number")),
    }
}

/// Whether the client allows another request on the connection.
fn keeps_connection(parts: &Parts) -> bool {
    if parts.version == Version::HTTP_10 {
        return connection_lists(&parts.headers, "keep-alive");
    }
    !connection_lists(&parts.headers, "close")
}

/// Whether the `Connection` header lists `option`.
fn connection_lists(headers: &HeaderMap, option: &str) -> bool {
    headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|part| part.trim().eq_ignore_ascii_case(option))
}

/// Whether the client waits for a 100 (Continue) response before it sends the body.
fn expects_continue(parts: &Parts) -> bool {
    parts.version == Version::HTTP_11
        && parts
            .headers
            .get(EXPECT)
            .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"100-continue"))
}
