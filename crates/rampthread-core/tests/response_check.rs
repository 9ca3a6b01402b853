//! What an answer of a back end is worth, in the product's own names of headers.
//! `platform_promises` shows the same with a platform's names, with real processes.

use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use rampthread_core::call::dialect::CallDialect;
use rampthread_core::call::response_check::{CallIds, ResponseCheck, ResponseHead};
use rstest::rstest;

fn judge(status: u16, lines: &[(&'static str, &'static str)]) -> ResponseCheck {
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

/// What users would see: a call that ran is refused as not run. Order of events: its back
/// end calls another service, is refused, and passes that answer on as it is. Cause: the
/// refusal was taken for one of the outer call. Evidence: `says_not_run` of the gate
/// looked at status and outcome only.
#[test]
fn the_refusal_of_an_inner_call_says_nothing_of_the_outer_one() {
    let lines = [
        ("rampthread-outcome", "not-run"),
        ("rampthread-call-id", "inner"),
    ];
    assert_eq!(judge(503, &lines), ResponseCheck::Answered);
}

#[rstest]
#[case(503, &[("rampthread-outcome", "not-run")], ResponseCheck::NotRun)]
#[case(503, &[("rampthread-outcome", "not-run"), ("rampthread-call-id", "call")], ResponseCheck::NotRun)]
#[case(503, &[("rampthread-outcome", "not-run"), ("rampthread-call-id", "call~1")], ResponseCheck::NotRun)]
#[case(503, &[("rampthread-outcome", "unknown")], ResponseCheck::Answered)]
#[case(503, &[], ResponseCheck::Answered)]
#[case(421, &[], ResponseCheck::Answered)]
#[case(200, &[("rampthread-outcome", "not-run")], ResponseCheck::Answered)]
fn only_a_back_ends_own_word_says_that_a_call_was_not_run(
    #[case] status: u16,
    #[case] lines: &[(&'static str, &'static str)],
    #[case] expected: ResponseCheck,
) {
    assert_eq!(judge(status, lines), expected);
}
