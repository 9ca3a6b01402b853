//! How callers of the soak speak: what they send, and what they read.

use crate::soak_history::recorder::Recorder;
use crate::soak_history::{Answer, Call, What};
use rampthread_adapter::headers;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Wait for an answer: far above any deadline here.
const ANSWER_WAIT: Duration = Duration::from_secs(8);

/// A request and all that its history needs.
pub struct Request {
    pub call: Call,
    pub path: String,
    /// The connection ends with the answer.
    pub last: bool,
}

impl Request {
    pub fn new(call: Call, path: &str) -> Self {
        Self {
            call,
            path: path.to_string(),
            last: true,
        }
    }

    pub fn text(&self) -> String {
        let Call {
            id,
            once,
            body_bytes,
            deadline_ms,
            ..
        } = &self.call;
        let method = if *once { "POST" } else { "GET" };
        let path = &self.path;
        let connection = if self.last {
            "connection: close\r\n"
        } else {
            ""
        };
        let body = "x".repeat(*body_bytes);
        format!(
            "{method} {path} HTTP/1.1\r\nhost: shop.example\r\n{}: {id}\r\n{}: {deadline_ms}\r\n\
             content-length: {body_bytes}\r\n{connection}\r\n{body}",
            headers::REQUEST_ID,
            headers::DEADLINE,
        )
    }
}

/// A connection of a caller.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(target: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(target).ok()?;
        stream.set_read_timeout(Some(ANSWER_WAIT)).ok()?;
        Some(Self {
            reader: BufReader::new(stream),
        })
    }

    pub fn send(&mut self, text: &str) -> Option<()> {
        self.reader.get_mut().write_all(text.as_bytes()).ok()
    }

    /// The next answer; none when the connection ends before it is whole.
    pub fn read(&mut self) -> Option<Answer> {
        read_answer(&mut self.reader)
    }
}

fn read_answer(reader: &mut impl BufRead) -> Option<Answer> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let field = |name: &str| {
        head.lines().skip(1).find_map(|line| {
            let (own, value) = line.split_once(':')?;
            own.eq_ignore_ascii_case(name)
                .then(|| value.trim().to_string())
        })
    };
    let length: usize = field("content-length")?.parse().ok()?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Answer {
        status: head.split(' ').nth(1)?.parse().ok()?,
        names: field(headers::REQUEST_ID),
        signed: field(headers::RESPONSE_SIGNATURE).is_some(),
        limit: field(headers::SERVER_LIMIT),
        leaving: field(headers::SERVER_LEAVING).as_deref() == Some("1"),
        body: String::from_utf8_lossy(&body).to_string(),
    })
}

/// Takes down how a call ended.
pub fn note_end(recorder: &Recorder, call: &str, answer: Option<Answer>) {
    let call = call.to_string();
    recorder.note(match answer {
        Some(answer) => What::Answered { call, answer },
        None => What::NotAnswered { call },
    });
}

/// Sends one request on a connection of its own and takes down what came of it.
pub fn call(recorder: &Recorder, target: SocketAddr, request: Request) {
    let text = request.text();
    let id = request.call.id.clone();
    recorder.note(What::Sent(request.call));
    let answer = Connection::open(target).and_then(|mut connection| {
        // What was refused before it was read whole is answered all the same.
        let _ = connection.send(&text);
        connection.read()
    });
    note_end(recorder, &id, answer);
}
