//! HTTP/1.1 as far as the stand-ins need it.

use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A message that was read: its first line, its headers and its whole body.
#[derive(Debug, Default, Clone)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.first
            .split(' ')
            .nth(1)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }

    pub fn closes(&self) -> bool {
        self.header("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

fn ended() -> Error {
    Error::new(ErrorKind::UnexpectedEof, "the connection ended")
}

/// A connection with the bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            ahead: Vec::new(),
        }
    }

    pub fn open(address: SocketAddr, wait: Duration) -> Result<Self> {
        let stream = TcpStream::connect_timeout(&address, wait)?;
        Ok(Self::new(stream))
    }

    fn fill(&mut self) -> Result<()> {
        let mut bytes = [0; 64 * 1024];
        let length = self.stream.read(&mut bytes)?;
        if length == 0 {
            return Err(ended());
        }
        self.ahead.extend_from_slice(&bytes[..length]);
        Ok(())
    }

    /// Reads a head and the body that it announces. `is_answer`: a body without a length goes on
    /// to the end of the connection.
    pub fn read(&mut self, is_answer: bool) -> Result<Message> {
        let end = loop {
            if let Some(end) = find(&self.ahead, b"\r\n\r\n") {
                break end;
            }
            self.fill()?;
        };
        let head: Vec<u8> = self.ahead.drain(..end + 4).collect();
        let head = String::from_utf8_lossy(&head).to_string();
        let mut lines = head.split("\r\n");
        let mut message = Message {
            first: lines.next().unwrap_or("").to_string(),
            ..Message::default()
        };
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                message
                    .headers
                    .push((name.trim().to_string(), value.trim().to_string()));
            }
        }
        if message.header("transfer-encoding").is_some() {
            message.body = self.chunks()?;
        } else if let Some(length) = message.header("content-length") {
            let length: usize = length.parse().map_err(|_| ended())?;
            message.body = self.exactly(length)?;
        } else if is_answer && message.status() != 204 {
            while self.fill().is_ok() {}
            message.body = std::mem::take(&mut self.ahead);
        }
        Ok(message)
    }

    fn exactly(&mut self, length: usize) -> Result<Vec<u8>> {
        while self.ahead.len() < length {
            self.fill()?;
        }
        Ok(self.ahead.drain(..length).collect())
    }

    fn chunks(&mut self) -> Result<Vec<u8>> {
        let mut whole = Vec::new();
        loop {
            let end = loop {
                if let Some(end) = find(&self.ahead, b"\r\n") {
                    break end;
                }
                self.fill()?;
            };
            let line: Vec<u8> = self.ahead.drain(..end + 2).collect();
            let line = String::from_utf8_lossy(&line).trim().to_string();
            let size = line.split(';').next().unwrap_or("");
            let size = usize::from_str_radix(size.trim(), 16).map_err(|_| ended())?;
            whole.extend(self.exactly(size)?);
            self.exactly(2)?;
            if size == 0 {
                return Ok(whole);
            }
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> Result<()> {
        self.stream.write_all(bytes)
    }

    /// Sends a request and reads its answer.
    pub fn ask(&mut self, request: &[u8]) -> Result<Message> {
        self.write(request)?;
        self.read(true)
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes
        .windows(wanted.len())
        .position(|window| window == wanted)
}

/// An answer with a length.
pub fn answer(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// One request on a connection of its own.
pub fn once(address: SocketAddr, request: &[u8], wait: Duration) -> Result<Message> {
    let mut connection = Connection::open(address, wait)?;
    connection.stream.set_read_timeout(Some(wait))?;
    connection.ask(request)
}
