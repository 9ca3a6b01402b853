//! Listening sockets.

use async_std::net::TcpListener;
use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::SocketAddr;

/// Maximum number of connections that the kernel queues until they are accepted.
const BACKLOG: i32 = 1_024;

/// Binds a listener with `SO_REUSEADDR`, so that the address is available right after a
/// restart.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    let listener: std::net::TcpListener = socket.into();
    Ok(listener.into())
}
