//! A server connection. Requests are read in order, run concurrently where that is safe, and
//! answered in order.
//!
//! Three parts of one task share the [`Pipeline`]: the reader starts requests, the driver polls
//! their handlers, and the writer writes the responses. A disconnect of the client ends all
//! three and drops the handlers.

use super::framing::{BodyDecoder, BodyPiece, Framing};
use super::head::{Rejection, RequestHead, parse_head, skip_empty_lines};
use super::pipeline::{ConcurrencyLimits, Pipeline, RequestInfo, WriterOutput};
use super::request_body::{BodySender, RequestBody, UnreadBody};
use super::response_head::{BodyFraming, CONTINUE, LAST_CHUNK, body_framing, encode};
use super::socket::{Input, ReadEnd, shutdown_write, write};
use super::{ReceivedAt, Server, ServerLimits, Service};
use crate::body::{Body, BodyError};
use crate::time::{BootInstant, timeout};
use async_std::net::TcpStream;
use bytes::{BufMut, Bytes, BytesMut};
use futures_lite::future;
use http::{Method, Request, Response, Version};
use http_body_util::BodyExt;
use hyper::body::Frame;
use socket2::SockRef;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of concurrent requests per connection. Browsers open six connections with one
/// request each; pipelining clients may send a few more.
const MAX_CONCURRENT_REQUESTS: usize = 16;
/// Size of the responses queued behind earlier ones above which no further request is started
/// concurrently, in bytes.
const MAX_QUEUED_RESPONSE_BYTES: u64 = 256 * 1024;
/// Maximum unread part of a request body that is discarded after an early response, in bytes.
/// With more, closing the connection is cheaper.
const MAX_DISCARDED_BYTES: u64 = 64 * 1024;
/// Time for which input is still read after the response side was closed. Closing with unread
/// input would send a reset, which can destroy the response before the client reads it.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum input discarded during [`LINGER_TIMEOUT`], in bytes.
const MAX_LINGER_BYTES: usize = 1024 * 1024;
/// Size up to which data of a response body is written together with the response head, in
/// bytes.
const COALESCED_BYTES: usize = 16 * 1024;

/// Why the reader of a connection stopped reading requests.
enum ReaderEnd {
    /// The client disconnected; responses are no longer needed.
    Disconnected(ReadEnd),
    /// The reader takes no further request; responses to started requests are still written.
    Finished,
}

/// One accepted connection and the requests in progress on it.
pub(super) struct Connection<S> {
    pub(super) stream: TcpStream,
    pub(super) peer: SocketAddr,
    pub(super) server: Server,
    pub(super) service: Arc<S>,
    pub(super) pipeline: Pipeline,
}

impl<S: Service> Connection<S> {
    /// Serves requests until the client or the server closes the connection.
    pub(super) async fn run(self) {
        if let Err(error) = self.stream.set_nodelay(true) {
            tracing::debug!(peer = %self.peer, %error, "failed to set TCP_NODELAY");
        }
        let mut input = Input::new(&self.stream);
        let reader = self.read(&mut input);
        let driver = self.pipeline.drive();
        let working = future::or(reader, async {
            driver.await;
            ReaderEnd::Finished
        });
        let writer = async { Some(self.write_responses().await) };
        let reader = async {
            if let ReaderEnd::Disconnected(ReadEnd::Failed(error)) = working.await {
                tracing::trace!(peer = %self.peer, %error, "client connection failed");
                return None;
            }
            // A half-close cannot be told from a disconnect, so running handlers are dropped.
            // Responses that are ready are still written.
            self.pipeline.disconnect();
            std::future::pending().await
        };
        match future::or(reader, writer).await {
            None => {}
            Some(Ok(())) => self.linger(&mut input).await,
            Some(Err(error)) => self.reset_connection(&error),
        }
    }

    /// Reads and starts requests until the client disconnects.
    async fn read(&self, input: &mut Input<'_>) -> ReaderEnd {
        loop {
            match self.read_request(input).await {
                Ok(true) => {}
                Ok(false) | Err(ReaderEnd::Finished) => break,
                Err(left) => return left,
            }
        }
        self.pipeline.close();
        let limit = (self.server.limits)().max_head_bytes;
        ReaderEnd::Disconnected(input.until_disconnected(limit).await)
    }

    /// Reads one request and starts its handler. Returns false if the connection takes no
    /// further request.
    async fn read_request(&self, input: &mut Input<'_>) -> Result<bool, ReaderEnd> {
        let limits = self.wait_for_request(input).await?;
        let received = BootInstant::now();
        let head = match self.read_head(input, &limits).await? {
            Ok(head) => head,
            Err(rejection) => {
                self.reject(&rejection);
                return Ok(false);
            }
        };
        let empty = head.framing == Framing::Empty;
        let overlaps = empty && self.service.may_overlap(&head.parts);
        self.wait_for_capacity(input, overlaps, &limits).await?;
        let keeps_connection = head.keeps_connection;
        self.start(input, head, received).await?;
        Ok(keeps_connection && !self.pipeline.is_closing())
    }

    /// Waits for the first byte of a request. Returns the limits that apply to the request.
    async fn wait_for_request(&self, input: &mut Input<'_>) -> Result<ServerLimits, ReaderEnd> {
        loop {
            let limits = (self.server.limits)();
            skip_empty_lines(&mut input.buffer);
            let idle = input.buffer.is_empty() || !self.pipeline.is_empty();
            if idle && self.server.shutdown.has_started() {
                return Err(ReaderEnd::Finished);
            }
            if !input.buffer.is_empty() {
                return Ok(limits);
            }
            let stopped = async {
                self.server.shutdown.started().await;
                Ok(Ok(()))
            };
            // Many connections are idle, and closing one late after a suspension does no harm,
            // so the runtime's own timer is used, which wakes up only once.
            let filled = async_std::future::timeout(limits.idle_timeout, input.fill());
            match future::or(filled, stopped).await {
                Ok(Ok(())) => {}
                Ok(Err(end)) => return Err(ReaderEnd::Disconnected(end)),
                Err(_) if self.pipeline.is_idle_for(limits.idle_timeout) => {
                    return Err(ReaderEnd::Finished);
                }
                Err(_) => {}
            }
        }
    }

    /// Reads one request head; a head that is malformed, too large or late is a rejection.
    async fn read_head(
        &self,
        input: &mut Input<'_>,
        limits: &ServerLimits,
    ) -> Result<Result<RequestHead, Rejection>, ReaderEnd> {
        let reading = async {
            loop {
                match parse_head(&mut input.buffer, limits.max_head_bytes) {
                    Ok(Some(head)) => return Ok(Ok(head)),
                    Ok(None) => input.fill().await.map_err(ReaderEnd::Disconnected)?,
                    Err(rejection) => return Ok(Err(rejection)),
                }
            }
        };
        match timeout(limits.head_timeout, reading).await {
            Ok(read) => read,
            Err(_) => Ok(Err(Rejection::HeadTimeout {
                wait: limits.head_timeout,
            })),
        }
    }

    /// Waits until the request may start beside those in progress. Fails if the client
    /// disconnects or the connection takes no further request.
    async fn wait_for_capacity(
        &self,
        input: &mut Input<'_>,
        overlaps: bool,
        limits: &ServerLimits,
    ) -> Result<(), ReaderEnd> {
        let concurrency = ConcurrencyLimits {
            requests: MAX_CONCURRENT_REQUESTS,
            response_bytes: MAX_QUEUED_RESPONSE_BYTES,
        };
        let free = self.pipeline.wait_for_capacity(overlaps, concurrency);
        unless_disconnected(input, limits.max_head_bytes, free).await?;
        // An earlier response closes the connection, or the server shuts down: requests that
        // were read but not started are never run.
        let stopping = self.server.shutdown.has_started() && !self.pipeline.is_empty();
        if stopping || self.pipeline.is_closing() {
            return Err(ReaderEnd::Finished);
        }
        Ok(())
    }

    /// Starts the handler of a request and feeds the request body to the handler.
    async fn start(
        &self,
        input: &mut Input<'_>,
        head: RequestHead,
        received: BootInstant,
    ) -> Result<(), ReaderEnd> {
        let mut decoder = BodyDecoder::new(head.framing);
        let (sender, body) = match head.framing {
            Framing::Empty => (None, RequestBody::empty()),
            _ => {
                let (sender, body) = BodySender::new(decoder.remaining());
                (Some(sender), body)
            }
        };
        let info = RequestInfo {
            method: head.parts.method.clone(),
            version: head.parts.version,
            keeps_connection: head.keeps_connection,
            unread: sender
                .as_ref()
                .map_or_else(UnreadBody::none, BodySender::unread),
        };
        if head.expects_continue
            && let Some(sender) = &sender
        {
            // The client may send the body before it is asked for, so the number of unread
            // bytes is unknown.
            sender.set_unread(None);
        }
        let mut request = Request::from_parts(head.parts, body);
        request.extensions_mut().insert(ReceivedAt(received));
        let handler = self.service.handle(request, self.peer);
        self.pipeline.start(info, handler);
        let Some(sender) = sender else {
            return Ok(());
        };
        if head.expects_continue {
            let limit = (self.server.limits)().max_head_bytes;
            if !unless_disconnected(input, limit, sender.wait_requested()).await? {
                return Err(ReaderEnd::Finished);
            }
            self.pipeline.request_continue();
        }
        self.forward_body(input, &mut decoder, &sender).await
    }

    /// Passes the request body to the handler as it arrives.
    async fn forward_body(
        &self,
        input: &mut Input<'_>,
        decoder: &mut BodyDecoder,
        sender: &BodySender,
    ) -> Result<(), ReaderEnd> {
        loop {
            let piece = match decoder.next(&mut input.buffer) {
                Ok(piece) => piece,
                Err(malformed) => {
                    sender.send_piece(Err(malformed)).await;
                    return Err(ReaderEnd::Finished);
                }
            };
            sender.set_unread(decoder.remaining());
            match piece {
                BodyPiece::End => {
                    sender.send_piece(Ok(None)).await;
                    return Ok(());
                }
                BodyPiece::Data(bytes) => {
                    let sending = sender.send_piece(Ok(Some(bytes)));
                    let taken = unless_disconnected(input, COALESCED_BYTES, sending).await?;
                    if !taken && !discards_unread(decoder.remaining()) {
                        return Err(ReaderEnd::Finished);
                    }
                }
                BodyPiece::Incomplete => input.fill().await.map_err(ReaderEnd::Disconnected)?,
            }
        }
    }

    /// Queues the response to a request that was rejected by its head.
    fn reject(&self, rejection: &Rejection) {
        let info = RequestInfo {
            method: Method::GET,
            version: Version::HTTP_11,
            keeps_connection: false,
            unread: UnreadBody::none(),
        };
        let response = self.service.reject(self.peer, rejection);
        self.pipeline.queue_response(info, response);
    }

    /// Writes responses in the order of their requests until the last one.
    async fn write_responses(&self) -> io::Result<()> {
        loop {
            match self.pipeline.output().await {
                WriterOutput::Continue => write(&self.stream, CONTINUE).await?,
                WriterOutput::Response {
                    info,
                    response,
                    last,
                } => {
                    let keep_alive = !last
                        && info.keeps_connection
                        && discards_unread(Some(info.unread.bytes()));
                    if !keep_alive {
                        self.pipeline.close();
                    }
                    let keep_alive = self.write_response(&info, response, keep_alive).await?;
                    if !keep_alive {
                        return Ok(());
                    }
                    self.pipeline.mark_written().await;
                }
                WriterOutput::Finished => return Ok(()),
            }
        }
    }

    /// Writes one response. Returns whether the connection is kept open.
    async fn write_response(
        &self,
        info: &RequestInfo,
        response: Response<Body>,
        keep_alive: bool,
    ) -> io::Result<bool> {
        let (parts, mut body) = response.into_parts();
        let framing = body_framing(info, &parts, &body);
        let keep_alive = keep_alive && framing != BodyFraming::Close;
        let send_date = (self.server.limits)().send_date;
        let mut bytes = encode(info, &parts, framing, keep_alive, send_date);
        drop(parts);
        let mut written = 0;
        if framing != BodyFraming::NoBody {
            while let Some(frame) = self.next_frame(&mut body, &mut bytes).await? {
                let frame = frame.map_err(io::Error::other)?;
                let Ok(data) = frame.into_data() else {
                    continue;
                };
                written += data.len() as u64;
                if let BodyFraming::Length(length) = framing
                    && written > length
                {
                    return Err(io::Error::other("the answer is longer than declared"));
                }
                put_frame(&mut bytes, &data, framing);
                if bytes.len() > COALESCED_BYTES {
                    write(&self.stream, &bytes).await?;
                    bytes.clear();
                }
            }
        }
        match framing {
            BodyFraming::Length(length) if written < length => {
                write(&self.stream, &bytes).await?;
                return Err(io::Error::other("the answer is shorter than declared"));
            }
            BodyFraming::Chunks => bytes.put_slice(LAST_CHUNK),
            _ => {}
        }
        write(&self.stream, &bytes).await?;
        Ok(keep_alive)
    }

    /// Returns the next frame of a response body. Before waiting for the frame, writes the data
    /// in `ready`.
    async fn next_frame(
        &self,
        body: &mut Body,
        ready: &mut BytesMut,
    ) -> io::Result<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(frame) = future::poll_once(body.frame()).await {
            return Ok(frame);
        }
        write(&self.stream, ready).await?;
        ready.clear();
        Ok(body.frame().await)
    }

    /// Discards input for a short time after the last response, so that closing the connection
    /// does not reset it.
    async fn linger(&self, input: &mut Input<'_>) {
        if let Err(error) = shutdown_write(&self.stream) {
            tracing::trace!(peer = %self.peer, %error, "failed to shut down the sending side");
            return;
        }
        // If the client does not close in time, the server closes the connection.
        let _ = timeout(LINGER_TIMEOUT, input.discard(MAX_LINGER_BYTES)).await;
    }

    /// Resets the connection after a truncated response, so that the client notices the
    /// truncation even if closing the connection would mark the end of the body.
    fn reset_connection(&self, error: &io::Error) {
        tracing::debug!(peer = %self.peer, %error, "response truncated; resetting the connection");
        if let Err(error) = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)) {
            tracing::debug!(peer = %self.peer, %error, "failed to set SO_LINGER for a reset");
        }
    }
}

/// Awaits the future `wait`, unless the client disconnects first. Meanwhile, reads up to `limit`
/// bytes ahead.
async fn unless_disconnected<T>(
    input: &mut Input<'_>,
    limit: usize,
    wait: impl Future<Output = T>,
) -> Result<T, ReaderEnd> {
    let done = async { Ok(wait.await) };
    let left = async {
        Err(ReaderEnd::Disconnected(
            input.until_disconnected(limit).await,
        ))
    };
    future::or(done, left).await
}

/// Whether a request body with this many unread bytes is discarded to keep the connection.
fn discards_unread(unread: Option<u64>) -> bool {
    unread.is_some_and(|bytes| bytes <= MAX_DISCARDED_BYTES)
}

/// Appends a frame of the response body to `bytes`, as a chunk if `framing` is chunked.
fn put_frame(bytes: &mut BytesMut, data: &[u8], framing: BodyFraming) {
    if framing != BodyFraming::Chunks {
        bytes.put_slice(data);
        return;
    }
    if data.is_empty() {
        return;
    }
    bytes.put_slice(format!("{:x}\r\n", data.len()).as_bytes());
    bytes.put_slice(data);
    bytes.put_slice(b"\r\n");
}
