//! Control messages between nodes: datagrams, and HTTP requests for large messages.

use super::Control;
use crate::metrics::MessageLabel;
use async_std::net::UdpSocket;
use rampthread_core::fleet::{Envelope, Message};
use rampthread_core::ids::NodeId;
use rampthread_wire::MAX_DATAGRAM_BYTES;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// HTTP path on a node's listener for messages too large for a datagram.
pub const CONTROL_PATH: &str = "/rampthread/control";
/// Size of the receive buffer: the maximum size of a UDP datagram.
const MAX_UDP_BYTES: usize = 65_536;

impl Control {
    /// Receives datagrams until the task is canceled.
    pub(super) async fn receive(self: Arc<Self>, socket: UdpSocket) {
        let mut buffer = vec![0; MAX_UDP_BYTES];
        loop {
            match socket.recv_from(&mut buffer).await {
                Ok((length, _)) => self.on_sealed(&buffer[..length]),
                Err(error) => {
                    tracing::debug!(%error, "datagram not received");
                    async_std::task::sleep(Duration::from_millis(1)).await;
                }
            }
        }
    }

    /// Handles an encoded message, received in a datagram or an HTTP request.
    pub fn on_sealed(self: &Arc<Self>, sealed: &[u8]) {
        self.metrics
            .control_bytes_received
            .inc_by(sealed.len() as u64);
        match self.codec.read(sealed) {
            Ok(envelope) if self.blocked_peers.load().contains(&envelope.from) => {}
            Ok(envelope) => self.on_envelope(envelope),
            Err(error) => {
                self.metrics.control_messages_dropped.inc();
                tracing::debug!(%error, "control message dropped");
            }
        }
    }

    /// Passes a decoded message to the agent and executes the resulting actions.
    fn on_envelope(self: &Arc<Self>, envelope: Envelope) {
        let now = self.clock.now();
        let concerns_crashes = matches!(envelope.message, Message::CrashReports { .. });
        let actions = self.agent().on_message(envelope, now);
        self.perform(actions);
        self.update_endpoints_soon(now);
        if concerns_crashes {
            self.refresh_crash_table();
        }
    }

    /// Sends a message to a node: as a datagram, or queued for an HTTP request if too large.
    pub(super) fn send(
        &self,
        to: &NodeId,
        address: SocketAddr,
        crosses_zones: bool,
        envelope: &Envelope,
    ) {
        if self.blocked_peers.load().contains(to) {
            return;
        }
        let sealed = self.codec.write(to, envelope);
        tracing::trace!(
            kind = envelope.message.kind(),
            bytes = sealed.len(),
            "control message"
        );
        self.metrics.control_messages_sent.inc();
        let bytes = sealed.len() as u64;
        self.metrics.control_bytes_sent.inc_by(bytes);
        let label = MessageLabel {
            kind: envelope.message.kind(),
            way: if crosses_zones { "across" } else { "inside" },
        };
        self.metrics
            .control_bytes_by_kind
            .get_or_create(&label)
            .inc_by(bytes);
        self.metrics
            .control_messages_by_kind
            .get_or_create(&label)
            .inc();
        if sealed.len() <= MAX_DATAGRAM_BYTES {
            // A datagram that can't be sent now counts as lost; messages are repeated where
            // needed.
            if let Some(socket) = &*self.socket.load() {
                let _ = socket.send_to(&sealed, address);
            }
            return;
        }
        let kind = envelope.message.kind();
        self.large_messages.send(to, address, kind, sealed);
    }
}
