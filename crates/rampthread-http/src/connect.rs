//! Outgoing TCP connections.

use async_std::net::TcpStream;
use smol_hyper::rt::FuturesIo;
use socket2::SockRef;
use std::net::SocketAddr;
use std::time::Duration;

/// Error while connecting to a peer. No part of a request was sent.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// The peer refused the connection, or the network reported an error.
    #[error("cannot connect to {address}: {source}")]
    Refused {
        /// Peer that the connection was for.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The peer did not accept the connection within the timeout.
    #[error("no connection to {address} within {wait:?}")]
    Timeout {
        /// Peer that the connection was for.
        address: SocketAddr,
        /// Timeout that [`connect`] was given.
        wait: Duration,
    },
}

/// Whether a connection to `address` is refused within `wait`, as it is if no process listens
/// there. A timeout or any other error returns false.
pub async fn refuses_connections(address: SocketAddr, wait: Duration) -> bool {
    let connecting = TcpStream::connect(address);
    match crate::time::timeout(wait, connecting).await {
        Ok(Err(error)) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    }
}

/// Connects with `TCP_NODELAY`, since requests are small and latency matters.
/// `tcp_user_timeout` sets `TCP_USER_TIMEOUT`, which detects peers that vanished without a
/// reset; `None` keeps the default of the operating system.
pub async fn connect(
    address: SocketAddr,
    wait: Duration,
    tcp_user_timeout: Option<Duration>,
) -> Result<FuturesIo<TcpStream>, ConnectError> {
    let stream = crate::time::timeout(wait, TcpStream::connect(address))
        .await
        .map_err(|_| ConnectError::Timeout { address, wait })?
        .map_err(|source| ConnectError::Refused { address, source })?;
    let _ = stream.set_nodelay(true);
    if tcp_user_timeout.is_some() {
        let _ = SockRef::from(&stream).set_tcp_user_timeout(tcp_user_timeout);
    }
    Ok(FuturesIo::new(stream))
}
