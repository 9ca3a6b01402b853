//! Where the body of a request ends. Chunk sizes are parsed by `httparse`.

use bytes::{Buf, Bytes, BytesMut};

/// Bytes that the line with a chunk's size may take, its extensions included.
const MAX_CHUNK_LINE: usize = 256;
/// Bytes that all trailers of a body may take; they are passed over.
const MAX_TRAILERS: usize = 4_096;

/// How a body is delimited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Framing {
    /// There is none.
    Empty,
    /// It has so many bytes.
    Length(u64),
    /// It comes in chunks.
    Chunked,
}

/// What is next in a body.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Piece {
    /// Some of it.
    Data(Bytes),
    /// Nothing before more bytes arrive.
    Incomplete,
    /// Its end.
    End,
}

/// The chunks of a body contradict the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the chunks of the body are malformed")]
pub struct MalformedChunks;

#[derive(Debug, Clone, Copy)]
enum Expected {
    Data(u64),
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    Trailers { read: usize },
    Nothing,
}

/// Takes a body from the bytes of a connection.
#[derive(Debug)]
pub(super) struct BodyDecoder {
    expected: Expected,
}

impl BodyDecoder {
    /// At the beginning of a body.
    pub(super) fn new(framing: Framing) -> Self {
        let expected = match framing {
            Framing::Empty => Expected::Nothing,
            Framing::Length(length) => Expected::Data(length),
            Framing::Chunked => Expected::ChunkSize,
        };
        Self { expected }
    }

    /// Bytes of the body that are still to come; none where only its end tells.
    pub(super) fn remaining(&self) -> Option<u64> {
        match self.expected {
            Expected::Data(left) => Some(left),
            Expected::Nothing => Some(0),
            _ => None,
        }
    }

    /// Takes the next piece from the front of `buffer`.
    pub(super) fn next(&mut self, buffer: &mut BytesMut) -> Result<Piece, MalformedChunks> {
        loop {
            match self.expected {
                Expected::Nothing | Expected::Data(0) => {
                    self.expected = Expected::Nothing;
                    return Ok(Piece::End);
                }
                Expected::Data(left) => {
                    let Some((data, left)) = take_data(buffer, left) else {
                        return Ok(Piece::Incomplete);
                    };
                    self.expected = Expected::Data(left);
                    return Ok(Piece::Data(data));
                }
                Expected::ChunkSize => {
                    let Some(size) = take_chunk_size(buffer)? else {
                        return Ok(Piece::Incomplete);
                    };
                    self.expected = match size {
                        0 => Expected::Trailers { read: 0 },
                        size => Expected::ChunkData(size),
                    };
                }
                Expected::ChunkData(0) => self.expected = Expected::ChunkEnd,
                Expected::ChunkData(left) => {
                    let Some((data, left)) = take_data(buffer, left) else {
                        return Ok(Piece::Incomplete);
                    };
                    self.expected = Expected::ChunkData(left);
                    return Ok(Piece::Data(data));
                }
                Expected::ChunkEnd => {
                    if buffer.len() < 2 {
                        return Ok(Piece::Incomplete);
                    }
                    if !buffer.starts_with(b"\r\n") {
                        return Err(MalformedChunks);
                    }
                    buffer.advance(2);
                    self.expected = Expected::ChunkSize;
                }
                Expected::Trailers { read } => match take_line(buffer, MAX_TRAILERS - read)? {
                    None => return Ok(Piece::Incomplete),
                    Some(0) => self.expected = Expected::Nothing,
                    Some(length) => {
                        let read = read + length;
                        self.expected = Expected::Trailers { read };
                    }
                },
            }
        }
    }
}

/// At most `left` bytes, and how many are left after them.
fn take_data(buffer: &mut BytesMut, left: u64) -> Option<(Bytes, u64)> {
    let length = (buffer.len() as u64).min(left);
    if length == 0 {
        return None;
    }
    Some((buffer.split_to(length as usize).freeze(), left - length))
}

fn take_chunk_size(buffer: &mut BytesMut) -> Result<Option<u64>, MalformedChunks> {
    match httparse::parse_chunk_size(buffer) {
        Ok(httparse::Status::Complete((length, size))) => {
            buffer.advance(length);
            Ok(Some(size))
        }
        Ok(httparse::Status::Partial) if buffer.len() <= MAX_CHUNK_LINE => Ok(None),
        _ => Err(MalformedChunks),
    }
}

/// Passes one line over and tells its length without its end.
fn take_line(buffer: &mut BytesMut, limit: usize) -> Result<Option<usize>, MalformedChunks> {
    let Some(end) = buffer.windows(2).position(|pair| pair == b"\r\n") else {
        return if buffer.len() > limit {
            Err(MalformedChunks)
        } else {
            Ok(None)
        };
    };
    if end > limit {
        return Err(MalformedChunks);
    }
    buffer.advance(end + 2);
    Ok(Some(end))
}
