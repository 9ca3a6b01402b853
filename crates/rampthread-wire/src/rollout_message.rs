//! Encodes and decodes rollout states and response evidence.

use crate::control_capnp as schema;
use crate::decode::{DecodeError, check_length};
use rampthread_core::ids::{NodeId, ResourceName, SoftwareVersion};
use rampthread_core::rollout::evidence::{LATENCY_BUCKETS, ResponseCounts};
use rampthread_core::rollout::{Phase, RolloutState, VersionEvidence};
use std::time::Duration;

type StatesWriter<'a> = capnp::struct_list::Builder<'a, schema::roll_out_state::Owned>;
type StatesReader<'a> = capnp::struct_list::Reader<'a, schema::roll_out_state::Owned>;
type EvidenceWriter<'a> = capnp::struct_list::Builder<'a, schema::version_evidence::Owned>;
type EvidenceReader<'a> = capnp::struct_list::Reader<'a, schema::version_evidence::Owned>;

pub(crate) fn write_states(mut to: StatesWriter<'_>, states: &[RolloutState]) {
    for (index, state) in states.iter().enumerate() {
        let mut to = to.reborrow().get(index as u32);
        to.set_service(state.service.as_str());
        to.set_order(state.order);
        to.set_target(state.target.as_str());
        to.set_phase(match state.phase {
            Phase::Running => schema::RollOutPhase::Running,
            Phase::Moving => schema::RollOutPhase::Moving,
            Phase::RollingBack => schema::RollOutPhase::RollingBack,
            Phase::Succeeded => schema::RollOutPhase::Succeeded,
            Phase::RolledBack => schema::RollOutPhase::RolledBack,
        });
        to.set_share_permille(state.share_permille);
        to.set_step(state.step);
        to.set_term(state.term);
        to.set_elapsed_millis(millis(state.elapsed));
        to.set_duration_millis(millis(state.duration));
        if let Some(decider) = &state.decider {
            to.set_decider(decider.as_str());
        }
    }
}

pub(crate) fn read_states(list: StatesReader<'_>) -> Result<Vec<RolloutState>, DecodeError> {
    check_length(list.len())?;
    list.iter()
        .map(|from| {
            Ok(RolloutState {
                service: ResourceName::new(from.get_service()?.to_str()?)?,
                order: from.get_order(),
                target: SoftwareVersion::new(from.get_target()?.to_str()?)?,
                phase: match from.get_phase()? {
                    schema::RollOutPhase::Running => Phase::Running,
                    schema::RollOutPhase::Moving => Phase::Moving,
                    schema::RollOutPhase::RollingBack => Phase::RollingBack,
                    schema::RollOutPhase::Succeeded => Phase::Succeeded,
                    schema::RollOutPhase::RolledBack => Phase::RolledBack,
                },
                share_permille: from.get_share_permille(),
                step: from.get_step(),
                term: from.get_term(),
                elapsed: Duration::from_millis(from.get_elapsed_millis()),
                duration: Duration::from_millis(from.get_duration_millis()),
                decider: match from.get_decider()?.to_str()? {
                    "" => None,
                    decider => Some(NodeId::new(decider)?),
                },
            })
        })
        .collect()
}

pub(crate) fn write_evidence(mut to: EvidenceWriter<'_>, evidence: &[VersionEvidence]) {
    for (index, seen) in evidence.iter().enumerate() {
        let mut to = to.reborrow().get(index as u32);
        to.set_service(seen.service.as_str());
        to.set_order(seen.order);
        to.set_version(seen.version.as_str());
        to.set_route(seen.route.as_str());
        to.set_group(seen.group);
        to.set_answers(seen.counts.responses);
        to.set_failures(seen.counts.failures);
        let mut times = to.init_times(LATENCY_BUCKETS as u32);
        for (step, count) in seen.counts.latency_histogram.iter().enumerate() {
            times.set(step as u32, *count);
        }
    }
}

pub(crate) fn read_evidence(list: EvidenceReader<'_>) -> Result<Vec<VersionEvidence>, DecodeError> {
    check_length(list.len())?;
    list.iter()
        .map(|from| {
            Ok(VersionEvidence {
                service: ResourceName::new(from.get_service()?.to_str()?)?,
                order: from.get_order(),
                version: SoftwareVersion::new(from.get_version()?.to_str()?)?,
                route: ResourceName::new(from.get_route()?.to_str()?)?,
                group: from.get_group(),
                counts: read_counts(from)?,
            })
        })
        .collect()
}

/// Decodes response counts. A node with another software version may have more or fewer buckets of
/// the latency histogram; those that exist in both are used.
fn read_counts(from: schema::version_evidence::Reader<'_>) -> Result<ResponseCounts, DecodeError> {
    let mut latency_histogram = [0; LATENCY_BUCKETS];
    for (count, received) in latency_histogram.iter_mut().zip(from.get_times()?) {
        *count = received;
    }
    Ok(ResponseCounts {
        responses: from.get_answers(),
        failures: from.get_failures(),
        latency_histogram,
    })
}

fn millis(time: Duration) -> u64 {
    time.as_millis().try_into().unwrap_or(u64::MAX)
}
