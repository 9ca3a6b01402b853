//! HTTP/1.1 over blocking sockets: reading heads and bodies, and serving connections.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// A request or an answer without its body.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub start: String,
    headers: Vec<(String, String)>,
}

impl Head {
    /// Reads one head; `None` if the connection ends before its first byte.
    pub fn read(from: &mut impl BufRead) -> io::Result<Option<Head>> {
        let mut head = Head::default();
        loop {
            let mut line = String::new();
            if from.read_line(&mut line)? == 0 {
                return match head.start.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
            let line = line.trim_end_matches(['\r', '\n']);
            if head.start.is_empty() {
                head.start = line.to_string();
            } else if line.is_empty() {
                return Ok(Some(head));
            } else if let Some((name, value)) = line.split_once(':') {
                let name = name.to_ascii_lowercase();
                head.headers.push((name, value.trim().to_string()));
            }
        }
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    pub fn length(&self) -> Option<usize> {
        self.header("content-length")?.parse().ok()
    }

    /// Reads the whole body that this head announces and keeps none of it; returns its length.
    pub fn skip_body(&self, from: &mut impl BufRead) -> io::Result<usize> {
        let length = self.length().unwrap_or(0);
        let mut left = length;
        while left > 0 {
            let came = from.fill_buf()?.len().min(left);
            if came == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            from.consume(came);
            left -= came;
        }
        Ok(length)
    }

    /// Reads the whole body that this head announces.
    pub fn read_body(&self, from: &mut impl BufRead) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        if self.header("transfer-encoding") == Some("chunked") {
            loop {
                let mut line = String::new();
                from.read_line(&mut line)?;
                let size = usize::from_str_radix(line.trim(), 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::UnexpectedEof))?;
                let start = body.len();
                body.resize(start + size, 0);
                from.read_exact(&mut body[start..])?;
                from.read_line(&mut String::new())?;
                if size == 0 {
                    return Ok(body);
                }
            }
        }
        body.resize(self.length().unwrap_or(0), 0);
        from.read_exact(&mut body)?;
        Ok(body)
    }
}

/// Serves each connection of `listener` on a thread of its own.
pub fn serve(listener: TcpListener, connection: impl Fn(TcpStream) + Send + Sync + 'static) {
    let connection = Arc::new(connection);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let connection = connection.clone();
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                connection(stream);
            });
        }
    });
}

/// One request on a new connection that is closed after the answer.
pub fn ask(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> io::Result<(u16, Vec<u8>)> {
    let wait = Duration::from_secs(1);
    let mut stream = TcpStream::connect_timeout(&address, wait)?;
    stream.set_read_timeout(Some(wait))?;
    let length = body.len();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: {address}\r\ncontent-type: application/json\r\n\
         content-length: {length}\r\nconnection: close\r\n\r\n{body}"
    );
    stream.write_all(request.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let head = Head::read(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let mut body = Vec::new();
    match head.length() {
        Some(_) => body = head.read_body(&mut reader)?,
        None => drop(reader.read_to_end(&mut body)?),
    }
    Ok((head.status(), body))
}
