//! What comes from outside: any bytes are decoded or refused, never more.

use proptest::prelude::*;
use rampthread_core::call::identity::RequestIdentity;
use rampthread_core::config::Outcome;
use rampthread_core::findings::Findings;
use rampthread_core::fleet::{
    Conditions, CrashReport, EndpointRecord, Envelope, GrantedTokens, LaggingNode, LoadReport,
    MemberRecord, Message, ProbeBody, PropagationStatus, ProposalReply, RefillTransfer,
    ServiceLoad, Status, TenantHash, TenantLoad, TokenDemand, TokenGrant, TokenRequest,
    WitnessRecord, ZoneLoad,
};
use rampthread_core::ids::{
    InstanceId, NodeId, OperationId, Region, ResourceName, SoftwareVersion, Version, Zone,
};
use rampthread_core::rollout::evidence::{LATENCY_BUCKETS, ResponseCounts};
use rampthread_core::rollout::{Phase, RolloutState, VersionEvidence};
use rampthread_wire::{FleetKey, HopKeys, Keyring, Sealer, SecretKeeper, decode, encode};
use secrecy::{ExposeSecret, SecretString};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

fn node() -> impl Strategy<Value = NodeId> {
    "[a-z0-9.-]{1,20}".prop_map(|text| NodeId::new(&text).unwrap())
}

fn bytes() -> impl Strategy<Value = Arc<[u8]>> {
    prop::collection::vec(any::<u8>(), 0..200).prop_map(Arc::from)
}

fn endpoint() -> impl Strategy<Value = EndpointRecord> {
    (
        "[a-z]{1,20}",
        "[a-z]{1,20}",
        any::<[u8; 4]>(),
        any::<u16>(),
        any::<u32>(),
        any::<bool>(),
        any::<[u64; 2]>(),
        prop::option::of("[a-z0-9.]{1,20}"),
        prop::option::of(1..u16::MAX),
    )
        .prop_map(
            |(instance, service, ip, port, slots, draining, numbers, version, speed)| {
                EndpointRecord {
                    instance: InstanceId::new(&instance).unwrap(),
                    service: ResourceName::new(&service).unwrap(),
                    address: SocketAddr::from((ip, port)),
                    slots,
                    draining,
                    sequence: numbers[0],
                    cold_ms: numbers[1],
                    version: version.map(|version| SoftwareVersion::new(&version).unwrap()),
                    speed_percent: speed,
                }
            },
        )
}

fn member() -> impl Strategy<Value = MemberRecord> {
    (
        prop::option::of(endpoint()),
        node(),
        any::<[u8; 4]>(),
        any::<u16>(),
        any::<u64>(),
        0..4_u8,
        any::<[bool; 4]>(),
    )
        .prop_map(
            |(endpoint, id, ip, port, incarnation, status, flags)| MemberRecord {
                id,
                endpoint,
                address: SocketAddr::from((ip, port)),
                zone: Zone::new("zone").unwrap(),
                region: Region::new("region").unwrap(),
                incarnation,
                status: [Status::Alive, Status::Suspect, Status::Dead, Status::Left]
                    [status as usize],
                conditions: Conditions {
                    reader: flags[0],
                    draining: flags[1],
                    ready: flags[2],
                    backend_up: flags[3],
                },
            },
        )
}

fn probe() -> impl Strategy<Value = ProbeBody> {
    (
        any::<u64>(),
        any::<u64>(),
        any::<[u64; 2]>(),
        prop::collection::vec(member(), 0..6),
    )
        .prop_map(
            |(sequence, held, [digest, crash_digest], updates)| ProbeBody {
                sequence,
                held: Version(held),
                digest,
                updates,
                crash_digest,
            },
        )
}

fn version() -> impl Strategy<Value = Version> {
    any::<u64>().prop_map(Version)
}

fn wait() -> impl Strategy<Value = Duration> {
    (0_u64..1_000_000_000).prop_map(Duration::from_micros)
}

fn answer() -> impl Strategy<Value = ProposalReply> {
    prop_oneof![
        (version(), any::<u32>(), ".{0,20}").prop_map(|(version, held_by, text)| {
            let mut findings = Findings::new();
            findings.push("place", text, "allowed");
            ProposalReply::Decided {
                version,
                outcome: Outcome::Refused(findings),
                held_by,
            }
        }),
        wait().prop_map(|retry_after| ProposalReply::NotRun { retry_after }),
        Just(ProposalReply::Unknown),
        Just(ProposalReply::EpochMismatch),
    ]
}

fn digests() -> impl Strategy<Value = Vec<u64>> {
    prop::collection::vec(any::<u64>(), 0..300)
}

fn crash_report() -> impl Strategy<Value = CrashReport> {
    (
        any::<[u8; 16]>(),
        "[a-z0-9.-]{1,20}",
        any::<u32>(),
        any::<[bool; 2]>(),
    )
        .prop_map(
            |(identity, instance, age, [on_trial, cleared])| CrashReport {
                identity: RequestIdentity::from_bytes(&identity).unwrap(),
                instance: InstanceId::new(&instance).unwrap(),
                age: Duration::from_millis(age.into()),
                on_trial,
                cleared,
            },
        )
}

fn resource() -> impl Strategy<Value = ResourceName> {
    "[a-z]{1,20}".prop_map(|name| ResourceName::new(&name).unwrap())
}

fn software() -> impl Strategy<Value = SoftwareVersion> {
    "[a-z0-9.]{1,20}".prop_map(|version| SoftwareVersion::new(&version).unwrap())
}

fn millis() -> impl Strategy<Value = Duration> {
    any::<u32>().prop_map(|millis| Duration::from_millis(millis.into()))
}

fn service_loads() -> impl Strategy<Value = Vec<ServiceLoad>> {
    let load = (resource(), any::<[u32; 4]>()).prop_map(|(service, numbers)| ServiceLoad {
        service,
        capacity: numbers[0],
        busy: numbers[1],
        waiting: numbers[2],
        demand: numbers[3],
    });
    prop::collection::vec(load, 0..5)
}

fn tenant_loads() -> impl Strategy<Value = Vec<TenantLoad>> {
    let load =
        any::<[u32; 3]>().prop_map(
            |[tenant, requested_millirps, admitted_millirps]| TenantLoad {
                tenant: TenantHash(tenant),
                requested_millirps,
                admitted_millirps,
            },
        );
    prop::collection::vec(load, 0..20)
}

fn token_request() -> impl Strategy<Value = TokenRequest> {
    let demand = (any::<u32>(), any::<u32>(), any::<bool>());
    let demands = prop::collection::vec(demand, 0..4);
    (any::<u64>(), any::<u64>(), any::<u32>(), demands).prop_map(
        |(sequence, refill_nanos, period_micros, demands)| TokenRequest {
            sequence,
            refill: RefillTransfer {
                limit_time: Duration::from_nanos(refill_nanos),
                period: Duration::from_micros(period_micros.into()),
            },
            demands: demands
                .into_iter()
                .map(|(tenant, tokens, is_urgent)| TokenDemand {
                    tenant: TenantHash(tenant),
                    tokens,
                    is_urgent,
                })
                .collect(),
        },
    )
}

fn token_grant() -> impl Strategy<Value = TokenGrant> {
    let grants = prop::collection::vec((any::<u32>(), any::<u32>(), any::<u32>()), 0..4);
    (any::<u64>(), any::<bool>(), grants).prop_map(|(sequence, is_filling, grants)| TokenGrant {
        sequence,
        is_filling,
        grants: grants
            .into_iter()
            .map(|(tenant, tokens, retry_micros)| GrantedTokens {
                tenant: TenantHash(tenant),
                tokens,
                retry_after: Duration::from_micros(retry_micros.into()),
            })
            .collect(),
    })
}

fn load_report() -> impl Strategy<Value = LoadReport> {
    (any::<u16>(), millis(), service_loads(), tenant_loads()).prop_map(
        |(nodes, period, services, tenants)| LoadReport {
            nodes: nodes.into(),
            period,
            services,
            tenants,
        },
    )
}

fn zone_load() -> impl Strategy<Value = ZoneLoad> {
    (
        "[a-z]{1,20}",
        millis(),
        any::<u16>(),
        service_loads(),
        tenant_loads(),
    )
        .prop_map(|(zone, age, nodes, services, tenants)| ZoneLoad {
            zone: Zone::new(&zone).unwrap(),
            age,
            nodes: nodes.into(),
            services,
            tenants,
        })
}

fn roll_out() -> impl Strategy<Value = RolloutState> {
    let phase = prop_oneof![
        Just(Phase::Running),
        Just(Phase::Moving),
        Just(Phase::RollingBack),
        Just(Phase::Succeeded),
        Just(Phase::RolledBack)
    ];
    (
        resource(),
        software(),
        phase,
        any::<u16>(),
        any::<[u64; 3]>(),
        [millis(), millis()],
        prop::option::of(node()),
    )
        .prop_map(
            |(service, target, phase, share_permille, [order, term, step], times, decider)| {
                RolloutState {
                    service,
                    order,
                    target,
                    phase,
                    share_permille,
                    term,
                    step,
                    elapsed: times[0],
                    duration: times[1],
                    decider,
                }
            },
        )
}

fn evidence() -> impl Strategy<Value = VersionEvidence> {
    let names = (resource(), software(), resource());
    let counts = (any::<[u32; 2]>(), any::<[u32; LATENCY_BUCKETS]>()).prop_map(
        |([responses, failures], latency_histogram)| ResponseCounts {
            responses,
            failures,
            latency_histogram,
        },
    );
    (names, any::<u64>(), any::<u8>(), counts).prop_map(
        |((service, version, route), order, group, counts)| VersionEvidence {
            service,
            order,
            version,
            group,
            route,
            counts,
        },
    )
}

fn message() -> impl Strategy<Value = Message> {
    prop_oneof![
        load_report().prop_map(Message::LoadReport),
        prop::collection::vec(zone_load(), 0..4).prop_map(Message::ZoneLoads),
        token_request().prop_map(Message::TokenRequest),
        token_grant().prop_map(Message::TokenGrant),
        prop::collection::vec(roll_out(), 0..4).prop_map(Message::Rollouts),
        prop::collection::vec(evidence(), 0..4).prop_map(Message::VersionEvidence),
        any::<u64>().prop_map(|era| Message::StoreEra { era }),
        probe().prop_map(Message::Ping),
        probe().prop_map(Message::Ack),
        (any::<u64>(), node())
            .prop_map(|(sequence, target)| Message::PingRequest { sequence, target }),
        digests().prop_map(|digests| Message::TableSummary { digests }),
        (prop::collection::vec(crash_report(), 0..20), any::<bool>())
            .prop_map(|(reports, complete)| Message::CrashReports { reports, complete }),
        (prop::collection::vec(member(), 0..20), digests())
            .prop_map(|(members, wanted)| Message::TableRecords { members, wanted }),
        (version(), prop::option::of(bytes()))
            .prop_map(|(version, entry)| Message::Notice { version, entry }),
        version().prop_map(|held| Message::Pull { held }),
        (version(), prop::collection::vec(bytes(), 0..5))
            .prop_map(|(first, entries)| Message::PullEntries { first, entries }),
        bytes().prop_map(|snapshot| Message::PullSnapshot { snapshot }),
        (wait(), prop::option::of(node())).prop_map(|(retry_after, instead)| {
            Message::PullRefused {
                retry_after,
                instead,
            }
        }),
        version().prop_map(|version| Message::Held { version }),
        version().prop_map(|version| Message::HeldAck { version }),
        any::<u64>().prop_map(|nonce| Message::HeadQuery { nonce }),
        (any::<u64>(), version()).prop_map(|(nonce, head)| Message::HeadReply { nonce, head }),
        (version(), any::<u64>(), any::<u64>()).prop_map(|(version, set, witness_epoch)| {
            Message::Record {
                record: WitnessRecord { version, set },
                witness_epoch,
            }
        }),
        (version(), any::<u64>()).prop_map(|(version, asker_epoch)| Message::RecordAck {
            version,
            asker_epoch
        }),
        any::<u64>().prop_map(|nonce| Message::FloorQuery { nonce }),
        (
            any::<u64>(),
            prop::option::of((version(), any::<u64>())),
            version()
        )
            .prop_map(|(nonce, record, newest_known)| Message::FloorReply {
                nonce,
                record: record.map(|(version, set)| WitnessRecord { version, set }),
                newest_known,
            }),
        (any::<u64>(), any::<u64>(), bytes()).prop_map(|(submission, reader_epoch, entry)| {
            Message::Propose {
                submission,
                reader_epoch,
                entry,
            }
        }),
        (any::<u64>(), answer()).prop_map(|(submission, answer)| Message::ProposeReply {
            submission,
            operation_id: OperationId::new("operation").unwrap(),
            answer,
        }),
        any::<u64>().prop_map(|nonce| Message::PropagationQuery { nonce }),
        (
            any::<u64>(),
            version(),
            prop::collection::vec((node(), version()), 0..4)
        )
            .prop_map(|(nonce, version, lagging)| Message::PropagationReply {
                nonce,
                status: PropagationStatus {
                    version,
                    held_by: 1,
                    nodes: 2,
                    lagging: lagging
                        .into_iter()
                        .map(|(id, held)| LaggingNode { id, held })
                        .collect(),
                },
            }),
        Just(Message::Drain),
    ]
}

fn envelope() -> impl Strategy<Value = Envelope> {
    (node(), any::<u64>(), message()).prop_map(|(from, process_epoch, message)| Envelope {
        from,
        process_epoch,
        message,
    })
}

fn keyring(byte: u8) -> Keyring {
    Keyring::new(FleetKey::from_bytes([byte; 32]), Vec::new())
}

fn id(text: &str) -> NodeId {
    NodeId::new(text).unwrap()
}

proptest! {
    #[test]
    fn every_message_comes_back_as_it_was(envelope in envelope()) {
        let decoded = decode(&encode(&envelope)).unwrap();
        prop_assert_eq!(decoded, envelope);
    }

    #[test]
    fn arbitrary_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..2_000)) {
        let _ = decode(&bytes);
        let sealer = Sealer::new(id("me"), &keyring(1));
        prop_assert!(sealer.open(&bytes).is_err());
    }

    #[test]
    fn altered_messages_never_panic_in_the_decoder(
        envelope in envelope(),
        changes in prop::collection::vec((any::<usize>(), any::<u8>()), 1..8),
    ) {
        let mut bytes = encode(&envelope);
        for (at, value) in changes {
            let index = at % bytes.len();
            bytes[index] = value;
        }
        let _ = decode(&bytes);
    }

    /// A sealed message opens once, for its receiver, unaltered, with the key.
    #[test]
    fn a_seal_holds(envelope in envelope(), at in any::<usize>()) {
        let sender = Sealer::new(id("sender"), &keyring(1));
        let receiver = Sealer::new(id("receiver"), &keyring(1));
        let stranger = Sealer::new(id("receiver"), &keyring(2));
        let other = Sealer::new(id("other"), &keyring(1));
        let sealed = sender.seal(&id("receiver"), &envelope);
        let mut altered = sealed.clone();
        let index = at % altered.len();
        altered[index] ^= 1;
        prop_assert!(receiver.open(&altered).is_err());
        prop_assert!(stranger.open(&sealed).is_err());
        prop_assert!(other.open(&sealed).is_err());
        prop_assert_eq!(receiver.open(&sealed).unwrap(), envelope);
        prop_assert!(receiver.open(&sealed).is_err(), "a copy was accepted");
    }

    /// Any order within the window is accepted, every copy refused.
    #[test]
    fn each_message_is_accepted_once_in_any_order(
        order in Just((0..64_usize).collect::<Vec<_>>()).prop_shuffle(),
    ) {
        let sender = Sealer::new(id("sender"), &keyring(1));
        let receiver = Sealer::new(id("receiver"), &keyring(1));
        let envelope = Envelope { from: id("sender"), process_epoch: 9, message: Message::Drain };
        let sealed: Vec<Vec<u8>> = (0..64).map(|_| sender.seal(&id("receiver"), &envelope)).collect();
        for index in &order {
            prop_assert!(receiver.open(&sealed[*index]).is_ok());
        }
        for index in &order {
            prop_assert!(receiver.open(&sealed[*index]).is_err());
        }
    }

    #[test]
    fn secrets_open_only_under_their_name_and_key(value in ".{0,100}") {
        let name = ResourceName::new("token").unwrap();
        let keeper = SecretKeeper::new(&keyring(1));
        let sealed = keeper.seal(&name, &SecretString::from(value.clone()));
        let opened = keeper.open(&name, &sealed).unwrap();
        prop_assert_eq!(opened.expose_secret(), &value);
        let elsewhere = ResourceName::new("other").unwrap();
        prop_assert!(keeper.open(&elsewhere, &sealed).is_err());
        prop_assert!(SecretKeeper::new(&keyring(2)).open(&name, &sealed).is_err());
        let rotated = Keyring::new(FleetKey::from_bytes([2; 32]), vec![FleetKey::from_bytes([1; 32])]);
        prop_assert!(SecretKeeper::new(&rotated).open(&name, &sealed).is_ok());
    }

    #[test]
    fn a_hop_token_fits_one_receiver_and_one_call(call in "[a-f0-9]{1,32}", token in ".{0,80}") {
        let keys = HopKeys::new(&keyring(1));
        let good = keys.token(&id("a"), &call);
        prop_assert!(keys.accepts(&id("a"), &call, &good));
        prop_assert!(!keys.accepts(&id("b"), &call, &good));
        let longer = call.clone() + "x";
        prop_assert!(!keys.accepts(&id("a"), &longer, &good));
        prop_assert!(!keys.accepts(&id("a"), &call, &token));
        prop_assert!(!HopKeys::new(&keyring(2)).accepts(&id("a"), &call, &good));
    }
}
