//! A server connection. Requests are read in order, run concurrently where that is safe, and
//! answered in order.
//!
//! Three parts of one task share the [`Pipeline`]: the reader starts requests, the driver polls
//! their handlers, and the writer writes the responses. A disconnect of the client ends all
//! three and drops the handlers.

use super::answer_head::{CONTINUE, Delimited, LAST_CHUNK, delimited, encode};
use super::framing::{BodyDecoder, Framing, Piece};
use super::head::{Head, Rejection, skip_empty_lines, take_head};
use super::pipeline::{AnswerTo, Output, Pipeline, Room};
use super::request_body::{BodyFeed, RequestBody, UnreadBody};
use super::socket::{Input, ReadEnd, end_writing, write};
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
const OVERLAPPING_REQUESTS: usize = 16;
/// Size of the responses queued behind earlier ones above which no further request is started
/// concurrently, in bytes.
const WAITING_ANSWER_BYTES: u64 = 256 * 1024;
/// Maximum unread part of a request body that is discarded after an early response, in bytes.
/// With more, closing the connection is cheaper.
const PASSED_OVER_BYTES: u64 = 64 * 1024;
/// Time for which input is still read after the response side was closed. Closing with unread
/// input would send a reset, which can destroy the response before the client reads it.
const LINGER: Duration = Duration::from_millis(500);
/// Maximum number of bytes discarded during that time.
const LINGER_BYTES: usize = 1024 * 1024;
/// Data up to this size is collected and written together with the head, in bytes.
const JOINED_BYTES: usize = 16 * 1024;

/// Reason why the reader ended.
enum ReaderEnd {
    /// The client disconnected; responses are no longer needed.
    Left(ReadEnd),
    /// No further request is read; responses to started requests are still written.
    NoMore,
}

/// State of one server connection.
pub(super) struct Connection<S> {
    pub(super) stream: TcpStream,
    pub(super) peer: SocketAddr,
    pub(super) server: Server,
    pub(super) service: Arc<S>,
    pub(super) pipeline: Pipeline,
}

impl<S: Service> Connection<S> {
    /// Serves requests until either side closes the connection.
    pub(super) async fn run(self) {
        if let Err(error) = self.stream.set_nodelay(true) {
            tracing::debug!(peer = %self.peer, %error, "TCP_NODELAY cannot be set");
        }
        let mut input = Input::new(&self.stream);
        let reader = self.read(&mut input);
        let driver = self.pipeline.drive();
        let working = future::or(reader, async {
            driver.await;
            ReaderEnd::NoMore
        });
        let writer = async { Some(self.write_answers().await) };
        let reader = async {
            if let ReaderEnd::Left(ReadEnd::Broken(error)) = working.await {
                tracing::trace!(peer = %self.peer, %error, "the caller's connection broke");
                return None;
            }
            // A half-close cannot be told from a disconnect, so running handlers are dropped.
            // Responses that are ready are still written.
            self.pipeline.leave();
            std::future::pending().await
        };
        match future::or(reader, writer).await {
            None => {}
            Some(Ok(())) => self.linger(&mut input).await,
            Some(Err(error)) => self.break_off(&error),
        }
    }

    /// Reads and starts requests until the client disconnects.
    async fn read(&self, input: &mut Input<'_>) -> ReaderEnd {
        loop {
            match self.read_request(input).await {
                Ok(true) => {}
                Ok(false) | Err(ReaderEnd::NoMore) => break,
                Err(left) => return left,
            }
        }
        self.pipeline.close();
        let limit = (self.server.limits)().max_head_bytes;
        ReaderEnd::Left(input.until_left(limit).await)
    }

    /// Reads and starts one request; returns false if it is the last one.
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
        self.wait_for_room(input, overlaps, &limits).await?;
        let keeps_connection = head.keeps_connection;
        self.start(input, head, received).await?;
        Ok(keeps_connection && !self.pipeline.is_closing())
    }

    /// Waits for the first byte of a request.
    async fn wait_for_request(&self, input: &mut Input<'_>) -> Result<ServerLimits, ReaderEnd> {
        loop {
            let limits = (self.server.limits)();
            skip_empty_lines(&mut input.buffer);
            let idle = input.buffer.is_empty() || !self.pipeline.is_empty();
            if idle && self.server.shutdown.has_started() {
                return Err(ReaderEnd::NoMore);
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
                Ok(Err(end)) => return Err(ReaderEnd::Left(end)),
                Err(_) if self.pipeline.has_rested(limits.idle_timeout) => {
                    return Err(ReaderEnd::NoMore);
                }
                Err(_) => {}
            }
        }
    }

    async fn read_head(
        &self,
        input: &mut Input<'_>,
        limits: &ServerLimits,
    ) -> Result<Result<Head, Rejection>, ReaderEnd> {
        let reading = async {
            loop {
                match take_head(&mut input.buffer, limits.max_head_bytes) {
                    Ok(Some(head)) => return Ok(Ok(head)),
                    Ok(None) => input.fill().await.map_err(ReaderEnd::Left)?,
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

    /// Waits until the request may start or the client disconnects.
    async fn wait_for_room(
        &self,
        input: &mut Input<'_>,
        overlaps: bool,
        limits: &ServerLimits,
    ) -> Result<(), ReaderEnd> {
        let room = Room {
            requests: OVERLAPPING_REQUESTS,
            answer_bytes: WAITING_ANSWER_BYTES,
        };
        let free = self.pipeline.room(overlaps, room);
        unless_left(input, limits.max_head_bytes, free).await?;
        // If an earlier response closes the connection or the server shuts down, requests that
        // were read but not started are never run.
        let stopping = self.server.shutdown.has_started() && !self.pipeline.is_empty();
        if stopping || self.pipeline.is_closing() {
            return Err(ReaderEnd::NoMore);
        }
        Ok(())
    }

    /// Starts the request and feeds its body to the handler.
    async fn start(
        &self,
        input: &mut Input<'_>,
        head: Head,
        received: BootInstant,
    ) -> Result<(), ReaderEnd> {
        let mut decoder = BodyDecoder::new(head.framing);
        let (feed, body) = match head.framing {
            Framing::Empty => (None, RequestBody::empty()),
            _ => {
                let (feed, body) = BodyFeed::new(decoder.remaining());
                (Some(feed), body)
            }
        };
        let to = AnswerTo {
            method: head.parts.method.clone(),
            version: head.parts.version,
            keeps_connection: head.keeps_connection,
            unread: feed
                .as_ref()
                .map_or_else(UnreadBody::none, BodyFeed::unread),
        };
        if head.expects_continue
            && let Some(feed) = &feed
        {
            // The client may send the body before it is asked for, so its unread size is
            // unknown.
            feed.left(None);
        }
        let mut request = Request::from_parts(head.parts, body);
        request.extensions_mut().insert(ReceivedAt(received));
        let handler = self.service.handle(request, self.peer);
        self.pipeline.start(to, handler);
        let Some(feed) = feed else {
            return Ok(());
        };
        if head.expects_continue {
            let limit = (self.server.limits)().max_head_bytes;
            if !unless_left(input, limit, feed.wanted()).await? {
                return Err(ReaderEnd::NoMore);
            }
            self.pipeline.want_continue();
        }
        self.feed_body(input, &mut decoder, &feed).await
    }

    /// Passes the body to the handler as it arrives.
    async fn feed_body(
        &self,
        input: &mut Input<'_>,
        decoder: &mut BodyDecoder,
        feed: &BodyFeed,
    ) -> Result<(), ReaderEnd> {
        loop {
            let piece = match decoder.next(&mut input.buffer) {
                Ok(piece) => piece,
                Err(malformed) => {
                    feed.hand_on(Err(malformed)).await;
                    return Err(ReaderEnd::NoMore);
                }
            };
            feed.left(decoder.remaining());
            match piece {
                Piece::End => {
                    feed.hand_on(Ok(None)).await;
                    return Ok(());
                }
                Piece::Data(bytes) => {
                    let handing_on = feed.hand_on(Ok(Some(bytes)));
                    let taken = unless_left(input, JOINED_BYTES, handing_on).await?;
                    if !taken && !passes_over(decoder.remaining()) {
                        return Err(ReaderEnd::NoMore);
                    }
                }
                Piece::Incomplete => input.fill().await.map_err(ReaderEnd::Left)?,
            }
        }
    }

    fn reject(&self, rejection: &Rejection) {
        let to = AnswerTo {
            method: Method::GET,
            version: Version::HTTP_11,
            keeps_connection: false,
            unread: UnreadBody::none(),
        };
        let response = self.service.reject(self.peer, rejection);
        self.pipeline.answer(to, response);
    }

    /// Writes responses until the last one.
    async fn write_answers(&self) -> io::Result<()> {
        loop {
            match self.pipeline.output().await {
                Output::Continue => write(&self.stream, CONTINUE).await?,
                Output::Answer { to, response, last } => {
                    let keeps =
                        !last && to.keeps_connection && passes_over(Some(to.unread.bytes()));
                    if !keeps {
                        self.pipeline.close();
                    }
                    let keeps = self.write_answer(&to, response, keeps).await?;
                    if !keeps {
                        return Ok(());
                    }
                    self.pipeline.written().await;
                }
                Output::Finished => return Ok(()),
            }
        }
    }

    /// Writes one response; returns whether the connection is kept open.
    async fn write_answer(
        &self,
        to: &AnswerTo,
        response: Response<Body>,
        keeps: bool,
    ) -> io::Result<bool> {
        let (parts, mut body) = response.into_parts();
        let delimited = delimited(to, &parts, &body);
        let keeps = keeps && delimited != Delimited::Close;
        let send_date = (self.server.limits)().send_date;
        let mut bytes = encode(to, &parts, delimited, keeps, send_date);
        drop(parts);
        let mut written = 0;
        if delimited != Delimited::NoBody {
            while let Some(frame) = self.next_frame(&mut body, &mut bytes).await? {
                let frame = frame.map_err(io::Error::other)?;
                let Ok(data) = frame.into_data() else {
                    continue;
                };
                written += data.len() as u64;
                if let Delimited::Length(length) = delimited
                    && written > length
                {
                    return Err(io::Error::other("the answer is longer than declared"));
                }
                put_piece(&mut bytes, &data, delimited);
                if bytes.len() > JOINED_BYTES {
                    write(&self.stream, &bytes).await?;
                    bytes.clear();
                }
            }
        }
        match delimited {
            Delimited::Length(length) if written < length => {
                write(&self.stream, &bytes).await?;
                return Err(io::Error::other("the answer is shorter than declared"));
            }
            Delimited::Chunks => bytes.put_slice(LAST_CHUNK),
            _ => {}
        }
        write(&self.stream, &bytes).await?;
        Ok(keeps)
    }

    /// Returns the next frame of a response body. Data that is ready is flushed before waiting.
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

    /// Discards input for a short time after the last response.
    async fn linger(&self, input: &mut Input<'_>) {
        if let Err(error) = end_writing(&self.stream) {
            tracing::trace!(peer = %self.peer, %error, "the connection has ended already");
            return;
        }
        // After the timeout, the connection is closed anyway.
        let _ = timeout(LINGER, input.pass_over(LINGER_BYTES)).await;
    }

    /// Resets the connection after a truncated response, so that the client notices even if the
    /// response is delimited by the end of the connection.
    fn break_off(&self, error: &io::Error) {
        tracing::debug!(peer = %self.peer, %error, "an answer broke off");
        if let Err(error) = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)) {
            tracing::debug!(peer = %self.peer, %error, "the connection cannot be reset");
        }
    }
}

/// Waits for `wait`, unless the client disconnects first. Meanwhile up to `limit` bytes are
/// read ahead.
async fn unless_left<T>(
    input: &mut Input<'_>,
    limit: usize,
    wait: impl Future<Output = T>,
) -> Result<T, ReaderEnd> {
    let done = async { Ok(wait.await) };
    let left = async { Err(ReaderEnd::Left(input.until_left(limit).await)) };
    future::or(done, left).await
}

/// Whether the unread part of a body is discarded and the connection kept.
fn passes_over(unread: Option<u64>) -> bool {
    unread.is_some_and(|bytes| bytes <= PASSED_OVER_BYTES)
}

fn put_piece(bytes: &mut BytesMut, data: &[u8], delimited: Delimited) {
    if delimited != Delimited::Chunks {
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
