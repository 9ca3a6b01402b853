//! Decodes messages from packed Cap'n Proto, within limits on size and nesting.

use crate::MAX_MESSAGE_BYTES;
use crate::control_capnp as schema;
use crate::{load_message, rollout_message, token_message};
use capnp::message::ReaderOptions;
use rampthread_core::call::identity::{InvalidIdentity, RequestIdentity};
use rampthread_core::config::Outcome;
use rampthread_core::fleet::{
    Conditions, CrashReport, EndpointRecord, Envelope, LaggingNode, MemberRecord, Message,
    ProbeBody, PropagationStatus, ProposalReply, SharedBytes, Status, WitnessRecord,
};
use rampthread_core::ids::{
    InstanceId, InvalidName, NodeId, OperationId, Region, ResourceName, SoftwareVersion, Version,
    Zone,
};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// Maximum number of elements of one list.
const MAX_LIST: u32 = 8_192;
/// Maximum nesting depth of one message.
const MAX_NESTING: i32 = 16;
/// Size of a Cap'n Proto word, in bytes.
const WORD_BYTES: usize = 8;
/// Maximum ratio by which packing compresses, reached by a run of 255 zero words.
const MAX_EXPANSION: usize = 4;

/// Error of decoding a message.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// The input is longer than the longest message.
    #[error("message of {length} bytes is larger than {MAX_MESSAGE_BYTES}")]
    TooLarge {
        /// Length in the input.
        length: usize,
    },
    /// The input is not valid Cap'n Proto or exceeds the reader's limits.
    #[error("malformed message: {0}")]
    Malformed(#[from] capnp::Error),
    /// A message or enum variant is unknown to this version of the software.
    #[error("unknown kind of message")]
    UnknownKind,
    /// A list has more elements than allowed.
    #[error("a list of {length} elements is longer than {MAX_LIST}")]
    ListTooLong {
        /// Length in the input.
        length: u32,
    },
    /// A name is not valid.
    #[error(transparent)]
    Name(#[from] InvalidName),
    /// A text is not UTF-8.
    #[error("a text is not UTF-8")]
    Text(#[from] std::str::Utf8Error),
    /// An IP address has neither 4 nor 16 bytes.
    #[error("an address of {length} bytes")]
    Address {
        /// Length in the input.
        length: usize,
    },
    /// A request identity is not valid.
    #[error(transparent)]
    Identity(#[from] InvalidIdentity),
    /// The outcome of a configuration change is not valid JSON.
    #[error("unreadable outcome: {0}")]
    Outcome(#[from] serde_json::Error),
}

impl From<capnp::NotInSchema> for DecodeError {
    fn from(_: capnp::NotInSchema) -> Self {
        DecodeError::UnknownKind
    }
}

/// Decodes one message. Allocates at most a small multiple of the size of the input and of
/// [`MAX_MESSAGE_BYTES`].
pub fn decode(bytes: &[u8]) -> Result<Envelope, DecodeError> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(DecodeError::TooLarge {
            length: bytes.len(),
        });
    }
    let words = bytes.len().max(1_024) * MAX_EXPANSION / WORD_BYTES;
    let options = ReaderOptions {
        traversal_limit_in_words: Some(words),
        nesting_limit: MAX_NESTING,
    };
    let reader = capnp::serialize_packed::read_message(bytes, options)?;
    let root = reader.get_root::<schema::envelope::Reader<'_>>()?;
    Ok(Envelope {
        from: NodeId::new(root.get_from()?.to_str()?)?,
        process_epoch: root.get_life(),
        message: read_message(root.get_message().which()?)?,
    })
}

fn read_message(
    message: schema::envelope::message::WhichReader<'_>,
) -> Result<Message, DecodeError> {
    use schema::envelope::message::Which;
    Ok(match message {
        Which::Ping(body) => Message::Ping(read_probe(body?)?),
        Which::Ack(body) => Message::Ack(read_probe(body?)?),
        Which::PingRequest(from) => Message::PingRequest {
            sequence: from.get_sequence(),
            target: NodeId::new(from.get_target()?.to_str()?)?,
        },
        Which::TableSummary(from) => Message::TableSummary {
            digests: read_digests(from.get_digests()?)?,
        },
        Which::TableRecords(from) => Message::TableRecords {
            members: read_members(from.get_members()?)?,
            wanted: read_digests(from.get_wanted()?)?,
        },
        Which::Notice(from) => Message::Notice {
            version: Version(from.get_version()),
            entry: from
                .has_entry()
                .then(|| from.get_entry())
                .transpose()?
                .map(SharedBytes::from),
        },
        Which::Pull(from) => Message::Pull {
            held: Version(from.get_held()),
        },
        Which::PullEntries(from) => Message::PullEntries {
            first: Version(from.get_first()),
            entries: read_entries(from.get_entries()?)?,
        },
        Which::PullSnapshot(from) => Message::PullSnapshot {
            snapshot: from.get_snapshot()?.into(),
        },
        Which::PullRefused(from) => Message::PullRefused {
            retry_after: Duration::from_micros(from.get_retry_after_micros()),
            instead: from
                .has_instead()
                .then(|| read_node(from.get_instead()))
                .transpose()?,
        },
        Which::Held(from) => Message::Held {
            version: Version(from.get_version()),
        },
        Which::HeldAck(from) => Message::HeldAck {
            version: Version(from.get_version()),
        },
        Which::HeadQuestion(from) => Message::HeadQuery {
            nonce: from.get_nonce(),
        },
        Which::HeadAnswer(from) => Message::HeadReply {
            nonce: from.get_nonce(),
            head: Version(from.get_head()),
        },
        Which::Record(from) => Message::Record {
            record: WitnessRecord {
                version: Version(from.get_version()),
                set: from.get_set(),
            },
            witness_epoch: from.get_witness_life(),
        },
        Which::RecordAck(from) => Message::RecordAck {
            version: Version(from.get_version()),
            asker_epoch: from.get_asker_life(),
        },
        Which::FloorQuestion(from) => Message::FloorQuery {
            nonce: from.get_nonce(),
        },
        Which::FloorAnswer(from) => Message::FloorReply {
            nonce: from.get_nonce(),
            record: from.get_known().then(|| WitnessRecord {
                version: Version(from.get_version()),
                set: from.get_set(),
            }),
            newest_known: Version(from.get_heard()),
        },
        Which::Propose(from) => Message::Propose {
            submission: from.get_submission(),
            reader_epoch: from.get_reader_life(),
            entry: from.get_entry()?.into(),
        },
        Which::ProposeAnswer(from) => Message::ProposeReply {
            submission: from.get_submission(),
            operation_id: OperationId::new(from.get_operation_id()?.to_str()?)?,
            answer: read_answer(from.get_answer().which()?)?,
        },
        Which::SpreadQuestion(from) => Message::PropagationQuery {
            nonce: from.get_nonce(),
        },
        Which::SpreadAnswer(from) => Message::PropagationReply {
            nonce: from.get_nonce(),
            status: read_spread(from.get_spread()?)?,
        },
        Which::CrashReports(from) => Message::CrashReports {
            reports: read_crash_reports(from.get_reports()?)?,
            complete: from.get_all(),
        },
        Which::LoadReport(from) => Message::LoadReport(load_message::read_report(from)?),
        Which::TokenRequest(from) => Message::TokenRequest(token_message::read_request(from)?),
        Which::TokenGrant(from) => Message::TokenGrant(token_message::read_grant(from)?),
        Which::ZoneLoads(from) => Message::ZoneLoads(load_message::read_zones(from.get_zones()?)?),
        Which::RollOuts(from) => {
            Message::Rollouts(rollout_message::read_states(from.get_states()?)?)
        }
        Which::VersionEvidence(from) => {
            Message::VersionEvidence(rollout_message::read_evidence(from.get_evidence()?)?)
        }
        Which::StoreEra(from) => Message::StoreEra {
            era: from.get_era(),
        },
        Which::Drain(()) => Message::Drain,
    })
}

fn read_answer(
    answer: schema::envelope::message::propose_answer::answer::WhichReader<'_>,
) -> Result<ProposalReply, DecodeError> {
    use schema::envelope::message::propose_answer::answer::Which;
    Ok(match answer {
        Which::Decided(from) => ProposalReply::Decided {
            version: Version(from.get_version()),
            outcome: serde_json::from_slice::<Outcome>(from.get_outcome()?)?,
            held_by: from.get_held_by(),
        },
        Which::NotRun(from) => ProposalReply::NotRun {
            retry_after: Duration::from_micros(from.get_retry_after_micros()),
        },
        Which::Unknown(()) => ProposalReply::Unknown,
        Which::OtherLife(()) => ProposalReply::EpochMismatch,
    })
}

pub(crate) fn check_length(length: u32) -> Result<(), DecodeError> {
    if length > MAX_LIST {
        return Err(DecodeError::ListTooLong { length });
    }
    Ok(())
}

fn read_node(text: capnp::Result<capnp::text::Reader<'_>>) -> Result<NodeId, DecodeError> {
    Ok(NodeId::new(text?.to_str()?)?)
}

fn read_entries(list: capnp::data_list::Reader<'_>) -> Result<Vec<SharedBytes>, DecodeError> {
    check_length(list.len())?;
    list.iter()
        .map(|entry| Ok(SharedBytes::from(entry?)))
        .collect()
}

fn read_digests(list: capnp::primitive_list::Reader<'_, u64>) -> Result<Vec<u64>, DecodeError> {
    check_length(list.len())?;
    Ok(list.iter().collect())
}

fn read_members(
    list: capnp::struct_list::Reader<'_, schema::member::Owned>,
) -> Result<Vec<MemberRecord>, DecodeError> {
    check_length(list.len())?;
    list.iter().map(read_member).collect()
}

fn read_crash_reports(
    list: capnp::struct_list::Reader<'_, schema::crash_report::Owned>,
) -> Result<Vec<CrashReport>, DecodeError> {
    check_length(list.len())?;
    list.iter()
        .map(|from| {
            Ok(CrashReport {
                identity: RequestIdentity::from_bytes(from.get_identity()?)?,
                instance: InstanceId::new(from.get_instance()?.to_str()?)?,
                age: Duration::from_millis(from.get_age_millis().into()),
                cleared: from.get_cleared(),
                on_trial: from.get_on_trial(),
            })
        })
        .collect()
}

fn read_member(from: schema::member::Reader<'_>) -> Result<MemberRecord, DecodeError> {
    Ok(MemberRecord {
        id: NodeId::new(from.get_id()?.to_str()?)?,
        address: read_address(from.get_address()?)?,
        zone: Zone::new(from.get_zone()?.to_str()?)?,
        region: Region::new(from.get_region()?.to_str()?)?,
        incarnation: from.get_incarnation(),
        status: match from.get_status()? {
            schema::Status::Alive => Status::Alive,
            schema::Status::Suspect => Status::Suspect,
            schema::Status::Dead => Status::Dead,
            schema::Status::Left => Status::Left,
        },
        conditions: Conditions {
            reader: from.get_reader(),
            draining: from.get_draining(),
            ready: from.get_ready(),
            backend_up: from.get_backend_up(),
        },
        endpoint: match from.has_endpoint() {
            true => Some(read_endpoint(from.get_endpoint()?)?),
            false => None,
        },
    })
}

fn read_endpoint(from: schema::endpoint::Reader<'_>) -> Result<EndpointRecord, DecodeError> {
    Ok(EndpointRecord {
        instance: InstanceId::new(from.get_instance()?.to_str()?)?,
        service: ResourceName::new(from.get_service()?.to_str()?)?,
        address: read_address(from.get_address()?)?,
        slots: from.get_slots(),
        draining: from.get_draining(),
        sequence: from.get_sequence(),
        cold_ms: from.get_cold_ms(),
        version: read_software_version(from.get_version()?)?,
        speed_percent: match from.get_speed_percent() {
            0 => None,
            percent => Some(percent),
        },
    })
}

fn read_software_version(
    text: capnp::text::Reader<'_>,
) -> Result<Option<SoftwareVersion>, DecodeError> {
    match text.to_str()? {
        "" => Ok(None),
        version => Ok(Some(SoftwareVersion::new(version)?)),
    }
}

fn read_address(from: schema::address::Reader<'_>) -> Result<SocketAddr, DecodeError> {
    let bytes = from.get_ip()?;
    let ip = if let Ok(octets) = <[u8; 4]>::try_from(bytes) {
        IpAddr::from(octets)
    } else if let Ok(octets) = <[u8; 16]>::try_from(bytes) {
        IpAddr::from(octets)
    } else {
        let length = bytes.len();
        return Err(DecodeError::Address { length });
    };
    Ok(SocketAddr::new(ip, from.get_port()))
}

fn read_probe(from: schema::probe_body::Reader<'_>) -> Result<ProbeBody, DecodeError> {
    Ok(ProbeBody {
        sequence: from.get_sequence(),
        held: Version(from.get_held()),
        digest: from.get_digest(),
        updates: read_members(from.get_updates()?)?,
        crash_digest: from.get_crash_digest(),
    })
}

fn read_spread(from: schema::spread::Reader<'_>) -> Result<PropagationStatus, DecodeError> {
    let list = from.get_laggards()?;
    check_length(list.len())?;
    let lagging = list
        .iter()
        .map(|laggard| {
            Ok(LaggingNode {
                id: read_node(laggard.get_id())?,
                held: Version(laggard.get_held()),
            })
        })
        .collect::<Result<_, DecodeError>>()?;
    Ok(PropagationStatus {
        version: Version(from.get_version()),
        held_by: from.get_held_by(),
        nodes: from.get_nodes(),
        lagging,
    })
}
