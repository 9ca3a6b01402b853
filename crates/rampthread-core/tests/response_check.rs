//! Checks of backend responses with rampthread's own header names. The test
//! `platform_promises` runs the same checks with a platform's header names and real
//! processes.

use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use rampthread_core::call::dialect::CallDialect;
use rampthread_core::call::response_check::{CallIds, ResponseCheck, ResponseHead};
use rstest::rstest;

/// Checks a response with this status and these headers against the call `call`, attempt
/// `call~1`.
fn check(status: u16, lines: &[(&'static str, &'static str)]) -> ResponseCheck {
    let headers: HeaderMap = lines
        .iter()
        .map(|(name, value)| {
            let name = HeaderName::from_static(name);
            (name, HeaderValue::from_static(value))
        })
        .collect();
    let head = ResponseHead {
        status: StatusCode::from_u16(status).unwrap(),
        headers: &headers,
    };
    let call = CallIds {
        request_id: "call",
        call_id: "call~1",
    };
    head.check(call, &CallDialect::default())
}

/// A backend that calls another service, is rejected, and passes on that error response,
/// has run the outer call. The response must not be taken for a rejection of the outer
/// call.
#[test]
fn the_rejection_of_a_nested_call_says_nothing_of_its_parent() {
    let lines = [
        ("rampthread-outcome", "not-run"),
        ("rampthread-call-id", "inner"),
    ];
    assert_eq!(check(503, &lines), ResponseCheck::Answered);
}

#[rstest]
#[case(503, &[("rampthread-outcome", "not-run")], ResponseCheck::NotRun)]
#[case(503, &[("rampthread-outcome", "not-run"), ("rampthread-call-id", "call")], ResponseCheck::NotRun)]
#[case(503, &[("rampthread-outcome", "not-run"), ("rampthread-call-id", "call~1")], ResponseCheck::NotRun)]
#[case(503, &[("rampthread-outcome", "unknown")], ResponseCheck::Answered)]
#[case(503, &[], ResponseCheck::Answered)]
#[case(421, &[], ResponseCheck::Answered)]
#[case(200, &[("rampthread-outcome", "not-run")], ResponseCheck::Answered)]
fn only_a_backends_own_report_means_that_a_call_was_not_run(
    #[case] status: u16,
    #[case] lines: &[(&'static str, &'static str)],
    #[case] expected: ResponseCheck,
) {
    assert_eq!(check(status, lines), expected);
}
