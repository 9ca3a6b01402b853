//! Framing of request bodies. Chunk sizes are parsed by `httparse`.

use bytes::{Buf, Bytes, BytesMut};

/// Maximum length of a chunk size line including its extensions, in bytes.
const MAX_CHUNK_LINE: usize = 256;
/// Maximum total length of the trailers, in bytes; they are discarded.
const MAX_TRAILERS: usize = 4_096;

/// Framing of a request body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Framing {
    /// No body.
    Empty,
    /// A body of this number of bytes.
    Length(u64),
    /// Chunked transfer coding.
    Chunked,
}

/// Result of decoding the next part of a body.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Piece {
    /// Body data.
    Data(Bytes),
    /// More input is needed.
    Incomplete,
    /// End of the body.
    End,
}

/// The chunked coding of a body is malformed.
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

/// Incremental decoder of a request body.
#[derive(Debug)]
pub(super) struct BodyDecoder {
    expected: Expected,
}

impl BodyDecoder {
    /// Creates a decoder at the start of a body.
    pub(super) fn new(framing: Framing) -> Self {
        let expected = match framing {
            Framing::Empty => Expected::Nothing,
            Framing::Length(length) => Expected::Data(length),
            Framing::Chunked => Expected::ChunkSize,
        };
        Self { expected }
    }

    /// Number of body bytes still to be read; `None` for a chunked body before its end.
    pub(super) fn remaining(&self) -> Option<u64> {
        match self.expected {
            Expected::Data(left) => Some(left),
            Expected::Nothing => Some(0),
            _ => None,
        }
    }

    /// Decodes the next part from the front of `buffer`.
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

/// Takes at most `left` bytes; returns them and the number of bytes then left.
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

/// Skips one line; returns its length without the line ending.
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
