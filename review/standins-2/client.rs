//! A client: it sends one request at a time on a connection that it keeps, and waits for the
//! answer until its deadline.

use crate::record::Record;
use crate::wire::Head;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub struct Request {
    pub id: String,
    pub method: &'static str,
    pub path: String,
    pub host: &'static str,
    pub deadline: Duration,
    /// How long the client really stays; its deadline, unless it leaves early.
    pub patience: Duration,
    pub body: Arc<Vec<u8>>,
}

/// What the client has seen of one request.
#[derive(Debug, Clone)]
pub struct Seen {
    pub id: String,
    /// The connection had carried a request before.
    pub kept: bool,
    /// Status of the answer; 0 if none came.
    pub status: u16,
    /// The answer came whole.
    pub whole: bool,
    /// The answer carries a back end's signature.
    pub signed: bool,
    pub sent_at: Instant,
    /// From the start of sending to the end: the whole answer, the end of the connection, or
    /// the client's own deadline.
    pub took: Duration,
    /// The client left, at its deadline or before.
    pub gave_up: bool,
    /// Bytes of the answer's body that came.
    pub bytes: usize,
    /// When the node says to come back.
    pub retry_after: Duration,
}

pub struct Client {
    address: SocketAddr,
    record: Record,
    kept: Option<BufReader<TcpStream>>,
}

impl Client {
    pub fn new(record: &Record, address: SocketAddr) -> Client {
        Client {
            address,
            record: record.clone(),
            kept: None,
        }
    }

    pub fn send(&mut self, request: &Request) -> Seen {
        let start = Instant::now();
        let mut seen = Seen {
            id: request.id.clone(),
            kept: self.kept.is_some(),
            status: 0,
            whole: false,
            signed: false,
            sent_at: start,
            took: Duration::ZERO,
            gave_up: false,
            bytes: 0,
            retry_after: Duration::ZERO,
        };
        let end = start + request.deadline.min(request.patience);
        let done = self.exchange(request, end, &mut seen);
        seen.took = start.elapsed();
        seen.gave_up = done.is_err() && Instant::now() >= end;
        if done.is_err() {
            self.kept = None;
        }
        self.record.note(format!(
            "client {} sent {} at {} ms ago: status {}, whole {}, {} bytes, gave up {}, kept connection {}",
            self.address, seen.id, seen.took.as_millis(), seen.status, seen.whole, seen.bytes,
            seen.gave_up, seen.kept
        ));
        seen
    }

    fn exchange(&mut self, request: &Request, end: Instant, seen: &mut Seen) -> io::Result<()> {
        let mut connection = match self.kept.take() {
            Some(kept) => kept,
            None => {
                let stream = TcpStream::connect_timeout(&self.address, Duration::from_secs(1))?;
                stream.set_nodelay(true)?;
                BufReader::with_capacity(1 << 16, stream)
            }
        };
        let head = format!(
            "{} {} HTTP/1.1\r\nhost: {}\r\nx-rampthread-request-id: {}\r\n\
             x-rampthread-deadline: {}\r\ncontent-length: {}\r\n\r\n",
            request.method,
            request.path,
            request.host,
            request.id,
            request.deadline.as_millis(),
            request.body.len()
        );
        limit(&connection, end)?;
        connection.get_mut().write_all(head.as_bytes())?;
        for piece in request.body.chunks(1 << 18) {
            limit(&connection, end)?;
            connection.get_mut().write_all(piece)?;
        }
        limit(&connection, end)?;
        let head = Head::read(&mut connection)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        seen.status = head.status();
        seen.signed = head.header("x-rampthread-response-signature").is_some();
        let after = head
            .header("retry-after")
            .and_then(|text| text.parse().ok());
        seen.retry_after = Duration::from_secs_f64(after.unwrap_or(0.0));
        match head.length() {
            Some(length) => {
                while seen.bytes < length {
                    limit(&connection, end)?;
                    let came = connection.fill_buf()?.len().min(length - seen.bytes);
                    if came == 0 {
                        return Err(io::ErrorKind::UnexpectedEof.into());
                    }
                    connection.consume(came);
                    seen.bytes += came;
                }
            }
            None => seen.bytes = head.read_body(&mut connection)?.len(),
        }
        seen.whole = true;
        if head.header("connection") != Some("close") {
            self.kept = Some(connection);
        }
        Ok(())
    }
}

/// Lets no read or write last beyond `end`.
fn limit(connection: &BufReader<TcpStream>, end: Instant) -> io::Result<()> {
    let left = end.saturating_duration_since(Instant::now());
    if left.is_zero() {
        return Err(io::ErrorKind::TimedOut.into());
    }
    connection.get_ref().set_read_timeout(Some(left))?;
    connection.get_ref().set_write_timeout(Some(left))
}
