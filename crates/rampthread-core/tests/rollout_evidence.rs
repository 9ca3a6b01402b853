//! Response evidence in reports that arrive late, twice or from a restarted node.

use rampthread_core::ids::{NodeId, ResourceName, SoftwareVersion};
use rampthread_core::rollout::decider::DeciderContext;
use rampthread_core::rollout::evidence::{LATENCY_BUCKETS, ResponseCounts};
use rampthread_core::rollout::table::OrderSource;
use rampthread_core::rollout::{
    Decider, DeciderRequest, DeciderResponse, Phase, RolloutBounds, RolloutOrder, RolloutTable,
    VersionEvidence,
};
use rampthread_core::time::Moment;
use rstest::rstest;
use std::time::Duration;

const STEP: Duration = Duration::from_millis(50);
const START: Moment = Moment(3_600_000_000);
const DURATION: Duration = Duration::from_secs(12);
const BOUNDS: RolloutBounds = RolloutBounds {
    exposure_share: 0.05,
    exposure_slack_calls: 20.0,
    rollback_deadline: Duration::from_secs(3),
};

/// Reports as process epoch and number of responses, in order of arrival.
#[rstest]
#[case::once(&[(1, 30)], 30)]
#[case::twice(&[(1, 30), (1, 30)], 30)]
#[case::late(&[(1, 30), (1, 10), (1, 40)], 40)]
#[case::of_two_process_epochs(&[(1, 30), (2, 10)], 40)]
#[case::late_from_the_previous_epoch(&[(1, 30), (2, 10), (1, 20), (2, 15)], 45)]
fn each_response_counts_once(#[case] reports: &[(u64, u32)], #[case] responses: u32) {
    let reason = reason_for_the_shift(reports);
    let expected = format!("{responses} of {responses} responses,");
    assert!(reason.starts_with(&expected), "{reason}");
}

/// Runs a rollout with these reports until traffic shifts.
fn reason_for_the_shift(reports: &[(u64, u32)]) -> String {
    let mut decider = Decider::new(NodeId::new("node-1").unwrap(), BOUNDS);
    let mut table = RolloutTable::default();
    assert!(table.accept_order(&order(), OrderSource::NewWrite, START));
    let from = NodeId::new("node-2").unwrap();
    let context = DeciderContext {
        eligible: true,
        rank: 0,
        slots: &|_, _| (1, 1),
        evidence_collection_time: Duration::from_secs(1),
    };
    let mut reports = reports.iter();
    let mut now = START;
    while now < START + DURATION {
        let output = decider.tick(&mut table, &context, now);
        let mut decisions = output.decisions.iter();
        if let Some(decision) = decisions.find(|decision| decision.state.phase == Phase::Moving) {
            return decision.reason.clone();
        }
        if let Some(call) = output.request {
            decider.on_response(response_to(&call), &mut table, now);
        }
        // By then the decider has started to evaluate the rollout.
        if now > START + Duration::from_secs(1)
            && let Some((process_epoch, responses)) = reports.next()
        {
            decider.on_evidence(&from, *process_epoch, &[evidence(*responses)]);
        }
        now = now + STEP;
    }
    panic!("the traffic did not shift");
}

fn response_to(call: &DeciderRequest) -> DeciderResponse {
    match call {
        DeciderRequest::Read => DeciderResponse::Records {
            fence: None,
            term: 0,
            states: Vec::new(),
        },
        DeciderRequest::Claim { .. } => DeciderResponse::Claimed { lease: 7, fence: 9 },
        DeciderRequest::Renew { .. } | DeciderRequest::Release { .. } => DeciderResponse::Kept,
        DeciderRequest::Write { .. } => DeciderResponse::Written { revision: 10 },
    }
}

fn order() -> RolloutOrder {
    RolloutOrder {
        service: ResourceName::new("shop").unwrap(),
        order: 4,
        target: SoftwareVersion::new("2.0").unwrap(),
        duration: DURATION,
    }
}

fn evidence(responses: u32) -> VersionEvidence {
    VersionEvidence {
        service: order().service,
        order: 4,
        version: order().target,
        group: 0,
        route: ResourceName::new("route").unwrap(),
        counts: ResponseCounts {
            responses,
            failures: 0,
            latency_histogram: [0; LATENCY_BUCKETS],
        },
    }
}
