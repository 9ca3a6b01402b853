//! Encoding of response heads and framing of response bodies.

use super::pipeline::RequestInfo;
use crate::body::Body;
use bytes::{BufMut, BytesMut};
use http::header::{CONNECTION, CONTENT_LENGTH, DATE, TRANSFER_ENCODING};
use http::response::Parts;
use http::{Method, StatusCode, Version};
use hyper::body::Body as _;
use std::time::SystemTime;

/// Initial capacity of the buffer for a response head, in bytes.
const HEAD_CAPACITY: usize = 512;

/// Interim response that asks the client for the request body.
pub(super) const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
/// Last chunk of a chunked body.
pub(super) const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// How the end of a response body is marked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BodyFraming {
    /// There is no body, even if the head announces a length.
    NoBody,
    /// `Content-Length` of this number of bytes.
    Length(u64),
    /// Chunked transfer coding, which ends with a chunk of size zero.
    Chunks,
    /// The body ends when the server closes the connection.
    Close,
}

/// Chooses how the end of the response body is marked. `info` describes the request.
pub(super) fn body_framing(info: &RequestInfo, parts: &Parts, body: &Body) -> BodyFraming {
    let no_body = info.method == Method::HEAD
        || parts.status.is_informational()
        || parts.status == StatusCode::NO_CONTENT
        || parts.status == StatusCode::NOT_MODIFIED;
    if no_body {
        return BodyFraming::NoBody;
    }
    let declared = parts.headers.get(CONTENT_LENGTH);
    let declared = declared.and_then(|value| value.to_str().ok()?.parse().ok());
    match body.size_hint().exact().or(declared) {
        Some(length) => BodyFraming::Length(length),
        None if info.version == Version::HTTP_10 => BodyFraming::Close,
        None => BodyFraming::Chunks,
    }
}

/// Encodes the status line and headers of a response to the request `info`. `keep_alive` tells
/// the client whether the server keeps the connection open.
pub(super) fn encode(
    info: &RequestInfo,
    parts: &Parts,
    framing: BodyFraming,
    keep_alive: bool,
    send_date: bool,
) -> BytesMut {
    let mut head = BytesMut::with_capacity(HEAD_CAPACITY);
    head.put_slice(b"HTTP/1.1 ");
    head.put_slice(parts.status.as_str().as_bytes());
    head.put_u8(b' ');
    let reason = parts.status.canonical_reason().unwrap_or("Unknown");
    head.put_slice(reason.as_bytes());
    head.put_slice(b"\r\n");
    for (name, value) in &parts.headers {
        let replaced = match *name {
            CONNECTION | TRANSFER_ENCODING => true,
            // In a response to HEAD, `Content-Length` is that of the corresponding GET
            // response.
            CONTENT_LENGTH => framing != BodyFraming::NoBody,
            _ => false,
        };
        if !replaced {
            put_header(&mut head, name.as_str(), value.as_bytes());
        }
    }
    match framing {
        BodyFraming::Length(length) => {
            put_header(&mut head, "content-length", length.to_string().as_bytes());
        }
        BodyFraming::Chunks => put_header(&mut head, "transfer-encoding", b"chunked"),
        BodyFraming::NoBody | BodyFraming::Close => {}
    }
    if !keep_alive {
        put_header(&mut head, "connection", b"close");
    } else if info.version == Version::HTTP_10 {
        put_header(&mut head, "connection", b"keep-alive");
    }
    if send_date && !parts.headers.contains_key(DATE) {
        let now = httpdate::fmt_http_date(SystemTime::now());
        put_header(&mut head, "date", now.as_bytes());
    }
    head.put_slice(b"\r\n");
    head
}

/// Appends a header line to `head`.
fn put_header(head: &mut BytesMut, name: &str, value: &[u8]) {
    head.put_slice(name.as_bytes());
    head.put_slice(b": ");
    head.put_slice(value);
    head.put_slice(b"\r\n");
}
