//! Headers of forwarded requests and responses: removes hop-by-hop headers, and reads and
//! writes internal ones (those with the system's own prefix).

use http::header::{
    CONNECTION, CONTENT_LENGTH, HOST, HeaderMap, HeaderName, HeaderValue, PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use rampthread_core::call::headers::PREFIX;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Removes hop-by-hop headers, including those that `Connection` lists (RFC 9110, section
/// 7.6.1).
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in [
        CONNECTION,
        KEEP_ALIVE,
        PROXY_AUTHENTICATE,
        PROXY_AUTHORIZATION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
    ] {
        headers.remove(name);
    }
}

/// Removes internal headers, so that a caller cannot forge them.
pub fn remove_internal(headers: &mut HeaderMap) {
    let own: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(PREFIX))
        .cloned()
        .collect();
    for name in own {
        headers.remove(name);
    }
}

/// Sets `Content-Length` for a buffered body. A message that had no body gets no
/// `Content-Length`.
pub fn set_length(headers: &mut HeaderMap, length: usize, had_body: bool) {
    headers.remove(CONTENT_LENGTH);
    if length > 0 || had_body {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
    }
}

/// Sets an internal header. A value that is not allowed in a header is not set.
pub fn set_internal(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}

/// Sets a header whose name the dialect defines. A value that is not allowed in a header is not
/// set.
pub fn set_header(headers: &mut HeaderMap, name: &HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name.clone(), value);
    }
}

/// Value of a header as text; `None` if the header is missing or not visible ASCII.
pub fn header_str<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Value of a header, parsed; `None` if the header is missing or its value does not parse.
pub fn parse_header<T: std::str::FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    header_str(headers, name)?.parse().ok()
}

/// Host name from the `Host` header, without the port.
pub fn host_without_port(headers: &HeaderMap) -> Option<&str> {
    let text = headers.get(HOST)?.to_str().ok()?;
    match text.rsplit_once(':') {
        Some((host, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => Some(host),
        _ => Some(text),
    }
}
