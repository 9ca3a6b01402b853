//! Encodes messages as packed Cap'n Proto.

use crate::control_capnp as schema;
use crate::{load_message, rollout_message, token_message};
use rampthread_core::fleet::{
    CrashReport, EndpointRecord, Envelope, MemberRecord, Message, ProbeBody, PropagationStatus,
    ProposalReply, Status,
};
use std::net::{IpAddr, SocketAddr};

/// Encodes `envelope`; the inverse of [`crate::decode`].
pub fn encode(envelope: &Envelope) -> Vec<u8> {
    let mut builder = capnp::message::Builder::new_default();
    let mut root = builder.init_root::<schema::envelope::Builder<'_>>();
    root.set_from(envelope.from.as_str());
    root.set_life(envelope.process_epoch);
    write_message(root.init_message(), &envelope.message);
    let mut bytes = Vec::new();
    capnp::serialize_packed::write_message(&mut bytes, &builder)
        .expect("writing into a vector does not fail");
    bytes
}

fn write_message(mut to: schema::envelope::message::Builder<'_>, message: &Message) {
    match message {
        Message::Ping(body) => write_probe(to.init_ping(), body),
        Message::Ack(body) => write_probe(to.init_ack(), body),
        Message::PingRequest { sequence, target } => {
            let mut to = to.init_ping_request();
            to.set_sequence(*sequence);
            to.set_target(target.as_str());
        }
        Message::TableSummary { digests } => {
            let mut to = to.init_table_summary();
            write_digests(to.reborrow().init_digests(digests.len() as u32), digests);
        }
        Message::TableRecords { members, wanted } => {
            let mut to = to.init_table_records();
            write_digests(to.reborrow().init_wanted(wanted.len() as u32), wanted);
            let mut list = to.init_members(members.len() as u32);
            for (index, member) in members.iter().enumerate() {
                write_member(list.reborrow().get(index as u32), member);
            }
        }
        Message::Notice { version, entry } => {
            let mut to = to.init_notice();
            to.set_version(version.0);
            if let Some(entry) = entry {
                to.set_entry(entry);
            }
        }
        Message::Pull { held } => to.init_pull().set_held(held.0),
        Message::PullEntries { first, entries } => {
            let mut to = to.init_pull_entries();
            to.set_first(first.0);
            let mut list = to.init_entries(entries.len() as u32);
            for (index, entry) in entries.iter().enumerate() {
                list.set(index as u32, entry);
            }
        }
        Message::PullSnapshot { snapshot } => to.init_pull_snapshot().set_snapshot(snapshot),
        Message::PullRefused {
            retry_after,
            instead,
        } => {
            let mut to = to.init_pull_refused();
            to.set_retry_after_micros(retry_after.as_micros() as u64);
            if let Some(instead) = instead {
                to.set_instead(instead.as_str());
            }
        }
        Message::Held { version } => to.init_held().set_version(version.0),
        Message::HeldAck { version } => to.init_held_ack().set_version(version.0),
        Message::HeadQuery { nonce } => to.init_head_question().set_nonce(*nonce),
        Message::HeadReply { nonce, head } => {
            let mut to = to.init_head_answer();
            to.set_nonce(*nonce);
            to.set_head(head.0);
        }
        Message::Record {
            record,
            witness_epoch,
        } => {
            let mut to = to.init_record();
            to.set_version(record.version.0);
            to.set_set(record.set);
            to.set_witness_life(*witness_epoch);
        }
        Message::RecordAck {
            version,
            asker_epoch,
        } => {
            let mut to = to.init_record_ack();
            to.set_version(version.0);
            to.set_asker_life(*asker_epoch);
        }
        Message::FloorQuery { nonce } => to.init_floor_question().set_nonce(*nonce),
        Message::FloorReply {
            nonce,
            record,
            newest_known,
        } => {
            let mut to = to.init_floor_answer();
            to.set_nonce(*nonce);
            to.set_heard(newest_known.0);
            if let Some(record) = record {
                to.set_known(true);
                to.set_version(record.version.0);
                to.set_set(record.set);
            }
        }
        Message::Propose {
            submission,
            reader_epoch,
            entry,
        } => {
            let mut to = to.init_propose();
            to.set_submission(*submission);
            to.set_reader_life(*reader_epoch);
            to.set_entry(entry);
        }
        Message::ProposeReply {
            submission,
            operation_id,
            answer,
        } => {
            let mut to = to.init_propose_answer();
            to.set_submission(*submission);
            to.set_operation_id(operation_id.as_str());
            write_answer(to.init_answer(), answer);
        }
        Message::PropagationQuery { nonce } => to.init_spread_question().set_nonce(*nonce),
        Message::PropagationReply { nonce, status } => {
            let mut to = to.init_spread_answer();
            to.set_nonce(*nonce);
            write_spread(to.init_spread(), status);
        }
        Message::CrashReports { reports, complete } => {
            let mut to = to.init_crash_reports();
            to.set_all(*complete);
            let mut list = to.init_reports(reports.len() as u32);
            for (index, report) in reports.iter().enumerate() {
                write_crash_report(list.reborrow().get(index as u32), report);
            }
        }
        Message::LoadReport(report) => {
            load_message::write_report(to.init_load_report(), report);
        }
        Message::ZoneLoads(zones) => {
            let list = to.init_zone_loads().init_zones(zones.len() as u32);
            load_message::write_zones(list, zones);
        }
        Message::TokenRequest(request) => {
            token_message::write_request(to.init_token_request(), request);
        }
        Message::TokenGrant(grant) => {
            token_message::write_grant(to.init_token_grant(), grant);
        }
        Message::Rollouts(states) => {
            let list = to.init_roll_outs().init_states(states.len() as u32);
            rollout_message::write_states(list, states);
        }
        Message::VersionEvidence(evidence) => {
            let list = to
                .init_version_evidence()
                .init_evidence(evidence.len() as u32);
            rollout_message::write_evidence(list, evidence);
        }
        Message::StoreEra { era } => to.init_store_era().set_era(*era),
        Message::Drain => to.set_drain(()),
    }
}

fn write_crash_report(mut to: schema::crash_report::Builder<'_>, report: &CrashReport) {
    to.set_identity(report.identity.as_bytes());
    to.set_instance(report.instance.as_str());
    to.set_age_millis(report.age.as_millis().try_into().unwrap_or(u32::MAX));
    to.set_cleared(report.cleared);
    to.set_on_trial(report.on_trial);
}

fn write_answer(
    mut to: schema::envelope::message::propose_answer::answer::Builder<'_>,
    answer: &ProposalReply,
) {
    match answer {
        ProposalReply::Decided {
            version,
            outcome,
            held_by,
        } => {
            let mut to = to.init_decided();
            to.set_version(version.0);
            let outcome = serde_json_outcome(outcome);
            to.set_outcome(&outcome);
            to.set_held_by(*held_by);
        }
        ProposalReply::NotRun { retry_after } => to
            .init_not_run()
            .set_retry_after_micros(retry_after.as_micros() as u64),
        ProposalReply::Unknown => to.set_unknown(()),
        ProposalReply::EpochMismatch => to.set_other_life(()),
    }
}

fn serde_json_outcome(outcome: &rampthread_core::config::Outcome) -> Vec<u8> {
    serde_json::to_vec(outcome).expect("outcomes hold only types that JSON can carry")
}

fn write_digests(mut list: capnp::primitive_list::Builder<'_, u64>, digests: &[u64]) {
    for (index, digest) in digests.iter().enumerate() {
        list.set(index as u32, *digest);
    }
}

fn write_probe(mut to: schema::probe_body::Builder<'_>, body: &ProbeBody) {
    to.set_sequence(body.sequence);
    to.set_held(body.held.0);
    to.set_digest(body.digest);
    to.set_crash_digest(body.crash_digest);
    if body.updates.is_empty() {
        return;
    }
    let mut list = to.init_updates(body.updates.len() as u32);
    for (index, member) in body.updates.iter().enumerate() {
        write_member(list.reborrow().get(index as u32), member);
    }
}

fn write_member(mut to: schema::member::Builder<'_>, member: &MemberRecord) {
    to.set_id(member.id.as_str());
    write_address(to.reborrow().init_address(), member.address);
    to.set_zone(member.zone.as_str());
    to.set_region(member.region.as_str());
    to.set_incarnation(member.incarnation);
    to.set_status(match member.status {
        Status::Alive => schema::Status::Alive,
        Status::Suspect => schema::Status::Suspect,
        Status::Dead => schema::Status::Dead,
        Status::Left => schema::Status::Left,
    });
    to.set_reader(member.conditions.reader);
    to.set_draining(member.conditions.draining);
    to.set_ready(member.conditions.ready);
    to.set_backend_up(member.conditions.backend_up);
    if let Some(endpoint) = &member.endpoint {
        write_endpoint(to.init_endpoint(), endpoint);
    }
}

fn write_endpoint(mut to: schema::endpoint::Builder<'_>, endpoint: &EndpointRecord) {
    to.set_instance(endpoint.instance.as_str());
    to.set_service(endpoint.service.as_str());
    write_address(to.reborrow().init_address(), endpoint.address);
    to.set_slots(endpoint.slots);
    to.set_draining(endpoint.draining);
    to.set_sequence(endpoint.sequence);
    to.set_cold_ms(endpoint.cold_ms);
    if let Some(version) = &endpoint.version {
        to.set_version(version.as_str());
    }
    to.set_speed_percent(endpoint.speed_percent.unwrap_or(0));
}

fn write_address(mut to: schema::address::Builder<'_>, address: SocketAddr) {
    match address.ip() {
        IpAddr::V4(ip) => to.set_ip(&ip.octets()),
        IpAddr::V6(ip) => to.set_ip(&ip.octets()),
    }
    to.set_port(address.port());
}

fn write_spread(mut to: schema::spread::Builder<'_>, spread: &PropagationStatus) {
    to.set_version(spread.version.0);
    to.set_held_by(spread.held_by);
    to.set_nodes(spread.nodes);
    let mut list = to.init_laggards(spread.lagging.len() as u32);
    for (index, laggard) in spread.lagging.iter().enumerate() {
        let mut to = list.reborrow().get(index as u32);
        to.set_id(laggard.id.as_str());
        to.set_held(laggard.held.0);
    }
}
