//! Flow control of large request bodies: a few are transferred at a time, each offer of a
//! body is granted at most once, and an offer that would be granted too late for its call
//! is rejected.

use proptest::prelude::*;
use rampthread_core::call::body_transfers::{BodyOffer, BodyTransfers, OfferDecision};
use rampthread_core::time::Moment;
use std::collections::BTreeSet;
use std::time::Duration;

/// One event at the transfer scheduler: a body is offered, a transfer ends, an offer is
/// cancelled, or milliseconds pass.
#[derive(Debug, Clone)]
enum TransferStep {
    Offer { bytes: u64, max_wait_ms: u64 },
    End { pick: usize, arrived: bool },
    Cancel(usize),
    Advance(u64),
}

fn transfer_step() -> impl Strategy<Value = TransferStep> {
    prop_oneof![
        4 => (1_u64..400_000, 0_u64..500)
            .prop_map(|(bytes, max_wait_ms)| TransferStep::Offer { bytes, max_wait_ms }),
        3 => (any::<usize>(), any::<bool>()).prop_map(|(pick, arrived)| TransferStep::End { pick, arrived }),
        1 => any::<usize>().prop_map(TransferStep::Cancel),
        2 => (1_u64..80).prop_map(TransferStep::Advance),
    ]
}

/// An element of the set, chosen by the number `pick`.
fn pick(set: &BTreeSet<u64>, pick: usize) -> Option<u64> {
    set.iter().nth(pick % set.len().max(1)).copied()
}

fn offer(call: u64, bytes: u64, max_wait: Duration) -> BodyOffer {
    BodyOffer {
        call,
        bytes,
        max_wait,
    }
}

proptest! {
    /// At most two bodies are in transfer at a time, no offer is granted twice, and each
    /// waiting offer is later granted or cancelled.
    #[test]
    fn at_most_two_bodies_are_in_transfer(steps in prop::collection::vec(transfer_step(), 1..200)) {
        let mut transfers = BodyTransfers::default();
        let mut now = Moment(1);
        let (mut sent, mut waiting) = (BTreeSet::new(), BTreeSet::new());
        for (number, step) in steps.into_iter().enumerate() {
            let call = number as u64;
            match step {
                TransferStep::Offer { bytes, max_wait_ms } => {
                    let max_wait = Duration::from_millis(max_wait_ms);
                    match transfers.offer(offer(call, bytes, max_wait), now) {
                        OfferDecision::Granted => prop_assert!(sent.insert(call)),
                        OfferDecision::Queued => prop_assert!(waiting.insert(call)),
                        OfferDecision::Refused { retry_after } => prop_assert!(!retry_after.is_zero()),
                    }
                }
                TransferStep::End { pick: index, arrived } => {
                    let Some(ended) = pick(&sent, index) else { continue };
                    sent.remove(&ended);
                    for granted in transfers.ended(ended, arrived, now) {
                        prop_assert!(waiting.remove(&granted), "{granted} did not wait");
                        prop_assert!(sent.insert(granted));
                    }
                }
                TransferStep::Cancel(index) => {
                    if let Some(call) = pick(&waiting, index) {
                        waiting.remove(&call);
                        prop_assert!(transfers.cancel(call));
                    }
                }
                TransferStep::Advance(ms) => now = now + Duration::from_millis(ms),
            }
            let in_progress = transfers.load() as usize - waiting.len();
            prop_assert!(in_progress <= 2);
        }
        // Transfers whose sender has ended expire, so that later offers are granted.
        let later = now + Duration::from_secs(3_600);
        for call in waiting {
            transfers.cancel(call);
        }
        prop_assert_eq!(transfers.offer(offer(u64::MAX, 1, Duration::ZERO), later), OfferDecision::Granted);
    }

    /// The transfer rate is measured from the bodies that have arrived.
    #[test]
    fn the_rate_is_measured(bytes_per_ms in 100_u64..100_000) {
        let mut transfers = BodyTransfers::default();
        let mut now = Moment(1);
        let bytes = bytes_per_ms * 50;
        for call in 0..60 {
            prop_assert_eq!(transfers.offer(offer(call, bytes, Duration::ZERO), now), OfferDecision::Granted);
            now = now + Duration::from_millis(50);
            transfers.ended(call, true, now);
        }
        let error = transfers.expected(bytes).abs_diff(Duration::from_millis(50));
        prop_assert!(error < Duration::from_millis(2), "{error:?}");
    }
}

#[test]
fn an_offer_that_would_wait_too_long_is_rejected_with_retry_advice() {
    let mut transfers = BodyTransfers::default();
    let now = Moment(1);
    let patient = Duration::from_secs(1);
    // 1.25 MB take 100 ms at the initial rate.
    for call in 0..2 {
        let granted = transfers.offer(offer(call, 1_250_000, patient), now);
        assert_eq!(granted, OfferDecision::Granted);
    }
    assert_eq!(
        transfers.offer(offer(2, 1_250_000, patient), now),
        OfferDecision::Queued
    );
    let hasty = offer(3, 1_000, Duration::from_millis(50));
    let OfferDecision::Refused { retry_after } = transfers.offer(hasty, now) else {
        panic!("it would wait for 200 ms");
    };
    assert_eq!(retry_after, Duration::from_millis(200));
}
