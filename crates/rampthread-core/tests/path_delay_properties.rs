//! Delays of hops (requests between nodes) on congested links are measured without
//! comparing the clocks of two machines.

use proptest::prelude::*;
use rampthread_core::call::path_delay::{PathDelays, SentAt};
use rampthread_core::time::Moment;
use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

const SENDER: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 0, 0, 1));
const OTHER: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 0, 0, 2));

/// A hop that was sent `millis` after the start of the sending process.
fn sent(process_epoch: u32, millis: u64) -> SentAt {
    SentAt {
        process_epoch,
        since_start: Duration::from_millis(millis),
    }
}

#[test]
fn a_hop_on_a_congested_link_shows_its_delay() {
    let mut delays = PathDelays::default();
    let idle = delays.record_arrival(SENDER, sent(1, 100), Moment(7_000_000));
    assert_eq!(idle, Duration::ZERO);
    let late = delays.record_arrival(SENDER, sent(1, 200), Moment(9_100_000));
    assert_eq!(late, Duration::from_secs(2));
    // The fastest hop is measured anew for another machine and for another run of the
    // process.
    assert_eq!(
        delays.record_arrival(OTHER, sent(1, 5), Moment(9_100_000)),
        Duration::ZERO
    );
    assert_eq!(
        delays.record_arrival(SENDER, sent(2, 5), Moment(9_200_000)),
        Duration::ZERO
    );
    let late = delays.record_arrival(SENDER, sent(2, 10), Moment(9_255_000));
    assert_eq!(late, Duration::from_millis(50));
}

#[test]
fn a_faster_hop_becomes_the_idle_path() {
    let mut delays = PathDelays::default();
    delays.record_arrival(SENDER, sent(1, 0), Moment(1_000_000));
    assert_eq!(
        delays.record_arrival(SENDER, sent(1, 1_000), Moment(1_500_000)),
        Duration::ZERO
    );
    assert_eq!(
        delays.record_arrival(SENDER, sent(1, 2_000), Moment(3_000_000)),
        Duration::from_millis(500)
    );
}

proptest! {
    #[test]
    fn sent_at_round_trips(process_epoch: u32, millis: u32) {
        let written = sent(process_epoch, u64::from(millis));
        prop_assert_eq!(SentAt::parse(&written.to_string()), Some(written));
    }

    #[test]
    fn any_text_is_parsed_or_rejected(text in ".{0,30}") {
        let _ = SentAt::parse(&text);
    }

    /// Recording arrivals does not panic, whatever values a peer sends.
    #[test]
    fn any_sequence_of_hops_gives_a_delay(steps in prop::collection::vec((any::<u32>(), any::<u32>(), any::<u32>()), 1..50)) {
        let mut delays = PathDelays::default();
        for (process_epoch, millis, now) in steps {
            delays.record_arrival(SENDER, sent(process_epoch % 3, u64::from(millis)), Moment(u64::from(now)));
        }
    }
}
