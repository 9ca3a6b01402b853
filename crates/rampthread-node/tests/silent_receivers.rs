//! Unresponsive peers must not delay large messages to other peers.
//!
//! Regression test: at most three messages are sent at a time. Each waited for its peer, up
//! to 3 s if the peer is partitioned and 30 s if the peer's kernel accepts the bytes.

mod control_support;

use control_support::{Documents, Peer, document, start, wait_until};
use rampthread_core::fleet::Message;
use rampthread_core::ids::Version;
use std::io::Read;
use std::net::TcpListener;
use std::time::Duration;

/// Number of unresponsive peers: more than messages that are sent at once.
const UNRESPONSIVE_PEERS: usize = 5;
const ROUTES: u32 = 400;
/// Half of the time within which a version must be active.
const DELIVERED_WITHIN: Duration = Duration::from_secs(1);

/// A peer that accepts connections and bytes without reading them.
fn listening_peer(number: usize) -> (Peer, TcpListener) {
    let (peer, listener) = Peer::with_listener(number);
    listener.set_nonblocking(true).unwrap();
    (peer, listener)
}

#[test]
fn peer_gets_a_version_while_others_are_unresponsive() {
    let (peers, listeners): (Vec<Peer>, Vec<TcpListener>) =
        (0..=UNRESPONSIVE_PEERS).map(listening_peer).unzip();
    let documents = Documents {
        old: document(1, ROUTES),
        current: document(1, ROUTES),
    };
    let (control, address) = start(documents, &peers);
    wait_until(|| control.version() == Version(1));
    let pull = || Message::Pull {
        held: Version::ZERO,
    };
    let (requester, unresponsive) = peers.split_last().unwrap();
    for peer in unresponsive {
        peer.send(address, pull());
    }
    std::thread::sleep(Duration::from_millis(100));
    requester.send(address, pull());
    let listener = listeners.last().unwrap();
    let mut byte = [0];
    let took = wait_until(|| match listener.accept() {
        Ok((mut stream, _)) => stream.read(&mut byte).is_ok(),
        Err(_) => false,
    });
    assert!(took <= DELIVERED_WITHIN, "{took:?}");
}
