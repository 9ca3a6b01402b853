//! A status that promises that a request has not run goes to a caller only on the back
//! end's word about that request.
//!
//! What users would see: 503 for a request that may run once, and it runs.
//!
//! Order of events: a back end sends more behind a whole answer, a second answer to an
//! earlier request. It lies in the connection when the next request goes out on it, and
//! is read in the place of that request's answer, while the back end begins to run it.
//!
//! Cause: an answer with 421 was believed before anybody looked which request it names;
//! and a 503, 429 or 408 was passed on, or taken for "not run", without the back end's
//! word that it has not run the request.

mod platform_support;
mod raw_back_end;

use platform_support::{PlatformFleet, SERVICE, request, status_of};
use rampthread_adapter_standin::{DocumentSpec, RouteSpec};
use raw_back_end::RawBackEnd;
use rstest::rstest;

/// One node whose back end writes the bytes that it is told.
fn fleet_with_raw_back_end() -> (PlatformFleet, RawBackEnd) {
    let route = RouteSpec::once("buy", "/buy/", SERVICE);
    let document = DocumentSpec::new(1, SERVICE, vec![route]);
    let mut raw = None;
    let fleet = PlatformFleet::start_between(1, &document, |fleet, ips| {
        let back_end = RawBackEnd::start(ips[0]);
        fleet.backends[0].reached_at(back_end.address);
        raw = Some(back_end);
    });
    (fleet, raw.unwrap())
}

#[rstest]
#[case::misdirected_of_an_earlier_request(
    "HTTP/1.1 421 Misdirected Request\r\nx-rampthread-request-id: earlier\r\n"
)]
#[case::misdirected_of_no_request("HTTP/1.1 421 Misdirected Request\r\n")]
#[case::refusal_of_an_earlier_request(
    "HTTP/1.1 503 Service Unavailable\r\nx-rampthread-request-id: earlier\r\n\
     x-rampthread-not-executed: 1\r\n"
)]
#[case::unavailable_without_a_word(
    "HTTP/1.1 503 Service Unavailable\r\nx-rampthread-request-id: {id}\r\n"
)]
#[case::too_many_requests_without_a_word(
    "HTTP/1.1 429 Too Many Requests\r\nx-rampthread-request-id: {id}\r\n"
)]
#[case::timeout_without_a_word("HTTP/1.1 408 Request Timeout\r\nx-rampthread-request-id: {id}\r\n")]
#[case::another_products_word(
    "HTTP/1.1 503 Service Unavailable\r\nx-rampthread-request-id: {id}\r\n\
     rampthread-outcome: not-run\r\n"
)]
fn a_status_that_promises_is_not_passed_on_without_the_back_ends_word(#[case] head: &str) {
    let (fleet, back_end) = fleet_with_raw_back_end();
    back_end.answer(&format!("{head}content-length: 0\r\n\r\n"));
    let answer = fleet.call(0, &request("POST", "/buy/1", "id-ran", None, "x"));
    assert_eq!(back_end.ran("id-ran"), 1);
    assert_eq!(status_of(&answer), 502, "{answer}");
    assert!(answer.contains("rampthread-outcome: unknown"), "{answer}");
}

/// The caller keeps its retry where the back end says so of this request.
#[rstest]
#[case::misdirected("HTTP/1.1 421 Misdirected Request\r\nx-rampthread-request-id: {id}\r\n")]
#[case::full(
    "HTTP/1.1 503 Service Unavailable\r\nx-rampthread-request-id: {id}\r\n\
     x-rampthread-not-executed: 1\r\n"
)]
#[case::too_many_requests(
    "HTTP/1.1 429 Too Many Requests\r\nx-rampthread-request-id: {id}\r\n\
     x-rampthread-not-executed: 1\r\n"
)]
fn a_request_that_the_back_end_turned_away_is_refused_as_not_run(#[case] head: &str) {
    let (fleet, back_end) = fleet_with_raw_back_end();
    back_end.answer(&format!("{head}content-length: 0\r\n\r\n"));
    let answer = fleet.call(0, &request("POST", "/buy/1", "id-away", None, "x"));
    assert_eq!(status_of(&answer), 503, "{answer}");
    assert!(answer.contains("rampthread-outcome: not-run"), "{answer}");
    assert!(answer.contains("retry-after"), "{answer}");
}
