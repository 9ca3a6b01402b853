//! A node that has just started activates a new version in time if no peer provides it.
//!
//! Regression test: a restarted node waited up to 1.5 s to learn whether it is a document
//! watcher, and dropped wake-ups meanwhile, so that it read the store too late.

mod control_support;

use control_support::{Documents, Peer, document, start, wait_until};
use rampthread_core::fleet::Message;
use rampthread_core::ids::Version;
use std::time::Duration;

/// The 0.6 s that peers have to provide the version, and as much again for a busy machine.
const ACTIVE_WITHIN: Duration = Duration::from_millis(1_200);

#[test]
fn version_that_no_peer_provides_is_read_from_the_store_in_time() {
    let peers = [Peer::new(0), Peer::new(1)];
    let documents = Documents {
        old: document(1, 4),
        current: document(2, 5),
    };
    let (control, address) = start(documents, &peers);
    wait_until(|| control.version() == Version(1));
    let notice = Message::Notice {
        version: Version(2),
        entry: None,
    };
    peers[0].send(address, notice);
    let took = wait_until(|| control.version() == Version(2));
    assert!(took <= ACTIVE_WITHIN, "{took:?}");
}
