//! The two directions of a caller's connection. Memory is held only while bytes
//! are on their way.

use async_std::net::TcpStream;
use bytes::BytesMut;
use futures_lite::{AsyncRead, AsyncWriteExt};
use std::future::poll_fn;
use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::task::Poll;
use std::time::Duration;

/// Bytes read at once; they lie on the stack, so that a connection that waits
/// holds no buffer.
const READ_BYTES: usize = 16 * 1024;
/// Time for which a caller may take no byte of its answer. Longer than any
/// deadline that callers set; it only ends connections that are stuck.
const WRITE_STALL: Duration = Duration::from_secs(30);

/// Why nothing more is read.
#[derive(Debug)]
pub(super) enum ReadEnd {
    /// The caller closed its side.
    Closed,
    /// The connection broke.
    Broken(io::Error),
}

/// Bytes from the caller that nobody has taken yet.
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

    /// Reads some bytes.
    pub(super) async fn fill(&mut self) -> Result<(), ReadEnd> {
        if self.buffer.is_empty() {
            // Gives the memory back before a wait that may be long.
            self.buffer = BytesMut::new();
        }
        let (mut stream, buffer) = (self.stream, &mut self.buffer);
        let read = poll_fn(|context| {
            let mut bytes = [0; READ_BYTES];
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
            Err(error) => Err(ReadEnd::Broken(error)),
        }
    }

    /// Reads ahead until the caller leaves. Once `limit` bytes wait, it reads no
    /// further and ends never.
    pub(super) async fn until_left(&mut self, limit: usize) -> ReadEnd {
        while self.buffer.len() < limit {
            if let Err(end) = self.fill().await {
                return end;
            }
        }
        std::future::pending().await
    }

    /// Reads and forgets until the caller closes, `limit` bytes at the most.
    pub(super) async fn pass_over(&mut self, limit: usize) {
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

/// Writes all bytes, unless the caller takes none for too long.
pub(super) async fn write(mut stream: &TcpStream, bytes: &[u8]) -> io::Result<()> {
    let mut left = bytes;
    while !left.is_empty() {
        let writing = stream.write(left);
        match crate::time::timeout(WRITE_STALL, writing).await {
            Ok(Ok(0)) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(Ok(length)) => left = &left[length..],
            Ok(Err(error)) => return Err(error),
            Err(_) => return Err(io::ErrorKind::TimedOut.into()),
        }
    }
    Ok(())
}

/// Says that nothing more is written.
pub(super) fn end_writing(stream: &TcpStream) -> io::Result<()> {
    stream.shutdown(Shutdown::Write)
}
