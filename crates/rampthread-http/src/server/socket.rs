//! Reading from and writing to the socket of a server connection. Idle connections hold no
//! buffers.

use async_std::net::TcpStream;
use bytes::BytesMut;
use futures_lite::{AsyncRead, AsyncWriteExt};
use std::future::poll_fn;
use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::task::Poll;
use std::time::Duration;

/// Size of the read buffer, in bytes. The buffer is on the stack, so that a waiting connection
/// holds none.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Time after which a write fails if the client accepts no byte. Longer than the deadlines of
/// callers, so that it only ends stuck connections.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Why nothing more can be read from the client.
#[derive(Debug)]
pub(super) enum ReadEnd {
    /// The client closed its sending side.
    Closed,
    /// The connection failed, for example by a reset.
    Failed(io::Error),
}

/// Input of a connection: received bytes that are not yet processed.
pub(super) struct Input<'socket> {
    stream: &'socket TcpStream,
    pub(super) buffer: BytesMut,
}

impl<'socket> Input<'socket> {
    pub(super) fn new(stream: &'socket TcpStream) -> Self {
        Self {
            stream,
            buffer: BytesMut::new(),
        }
    }

    /// Reads available bytes into the buffer; waits if there are none.
    pub(super) async fn fill(&mut self) -> Result<(), ReadEnd> {
        if self.buffer.is_empty() {
            // Frees the buffer, since the wait may be long.
            self.buffer = BytesMut::new();
        }
        let (mut stream, buffer) = (self.stream, &mut self.buffer);
        let read = poll_fn(|context| {
            let mut bytes = [0; READ_BUFFER_BYTES];
            match Pin::new(&mut stream).poll_read(context, &mut bytes) {
                Poll::Ready(Ok(length)) => {
                    buffer.extend_from_slice(&bytes[..length]);
                    Poll::Ready(Ok(length))
                }
                Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
                Poll::Pending => Poll::Pending,
            }
        });
        match read.await {
            Ok(0) => Err(ReadEnd::Closed),
            Ok(_) => Ok(()),
            Err(error) => Err(ReadEnd::Failed(error)),
        }
    }

    /// Reads ahead until the client disconnects. Once `limit` bytes are buffered, reading stops
    /// and the future never completes.
    pub(super) async fn until_disconnected(&mut self, limit: usize) -> ReadEnd {
        while self.buffer.len() < limit {
            if let Err(end) = self.fill().await {
                return end;
            }
        }
        std::future::pending().await
    }

    /// Reads and discards input until the client closes, or about `limit` bytes were discarded.
    pub(super) async fn discard(&mut self, limit: usize) {
        let mut passed = 0;
        while passed < limit {
            self.buffer.clear();
            if self.fill().await.is_err() {
                return;
            }
            passed += self.buffer.len();
        }
    }
}

/// Writes all of `bytes`; fails if the client accepts none for [`WRITE_STALL_TIMEOUT`].
pub(super) async fn write(mut stream: &TcpStream, bytes: &[u8]) -> io::Result<()> {
    let mut left = bytes;
    while !left.is_empty() {
        let writing = stream.write(left);
        match crate::time::timeout(WRITE_STALL_TIMEOUT, writing).await {
            Ok(Ok(0)) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(Ok(length)) => left = &left[length..],
            Ok(Err(error)) => return Err(error),
            Err(_) => return Err(io::ErrorKind::TimedOut.into()),
        }
    }
    Ok(())
}

/// Closes the sending side of the connection, so that the client sees the end of the response.
pub(super) fn shutdown_write(stream: &TcpStream) -> io::Result<()> {
    stream.shutdown(Shutdown::Write)
}
