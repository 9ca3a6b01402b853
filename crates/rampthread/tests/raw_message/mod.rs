//! Messages as bytes on a socket, for stand-ins that answer what they are told.

use std::io::Read;
use std::net::TcpStream;
use std::time::Duration;

/// Longest wait for the rest of a message, so that no thread outlives a test.
pub const READ_WAIT: Duration = Duration::from_secs(30);

/// The head of the next message; none when the other side has closed.
pub fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    Some(String::from_utf8_lossy(&head).to_string())
}
