//! Outgoing connections.

use async_std::net::TcpStream;
use smol_hyper::rt::FuturesIo;
use socket2::SockRef;
use std::net::SocketAddr;
use std::time::Duration;

/// Why there is no connection. No byte of a request has left.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// The peer or the network refused.
    #[error("cannot connect to {address}: {source}")]
    Refused {
        /// Whom.
        address: SocketAddr,
        /// The system's reason.
        source: std::io::Error,
    },
    /// No answer in time.
    #[error("no connection to {address} within {wait:?}")]
    Timeout {
        /// Whom.
        address: SocketAddr,
        /// How long.
        wait: Duration,
    },
}

/// True when nobody listens at `address`. Silence says nothing, so that only a
/// refusal within `wait` counts.
pub async fn refuses_connections(address: SocketAddr, wait: Duration) -> bool {
    let connecting = TcpStream::connect(address);
    match crate::time::timeout(wait, connecting).await {
        Ok(Err(error)) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    }
}

/// Connects with `TCP_NODELAY`, since requests are small and latency counts.
/// Bytes that the peer does not acknowledge within `unacknowledged` end the
/// connection (`TCP_USER_TIMEOUT`): a machine without power says nothing else.
pub async fn connect(
    address: SocketAddr,
    wait: Duration,
    unacknowledged: Option<Duration>,
) -> Result<FuturesIo<TcpStream>, ConnectError> {
    let stream = crate::time::timeout(wait, TcpStream::connect(address))
        .await
        .map_err(|_| ConnectError::Timeout { address, wait })?
        .map_err(|source| ConnectError::Refused { address, source })?;
    let _ = stream.set_nodelay(true);
    if unacknowledged.is_some() {
        let _ = SockRef::from(&stream).set_tcp_user_timeout(unacknowledged);
    }
    Ok(FuturesIo::new(stream))
}
