//! Decoder of request bodies, by `Content-Length` or in chunks. Chunk sizes are parsed by
//! `httparse`.

use bytes::{Buf, Bytes, BytesMut};

/// Maximum length of a chunk size line including its extensions, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 256;
/// Maximum total length of the trailers, in bytes; they are discarded.
const MAX_TRAILER_BYTES: usize = 4_096;

/// How the end of a request body is marked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Framing {
    /// The request has no body.
    Empty,
    /// `Content-Length` of this number of bytes, at least one.
    Length(u64),
    /// Chunked transfer coding.
    Chunked,
}

/// Result of one step of a [`BodyDecoder`].
#[derive(Debug, PartialEq, Eq)]
pub(super) enum BodyPiece {
    /// Body bytes, without the chunk framing.
    Data(Bytes),
    /// The buffer holds no complete part; more input is needed.
    Incomplete,
    /// The body is complete.
    End,
}

/// The chunked coding of a request body is malformed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the chunks of the body are malformed")]
pub struct MalformedChunks;

/// What a [`BodyDecoder`] expects next in its input; numbers are bytes left to read.
#[derive(Debug, Clone, Copy)]
enum DecoderState {
    Data(u64),
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    Trailers { read: usize },
    Nothing,
}

/// Incremental decoder of one request body.
#[derive(Debug)]
pub(super) struct BodyDecoder {
    state: DecoderState,
}

impl BodyDecoder {
    /// Creates a decoder before the first byte of a body.
    pub(super) fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Empty => DecoderState::Nothing,
            Framing::Length(length) => DecoderState::Data(length),
            Framing::Chunked => DecoderState::ChunkSize,
        };
        Self { state }
    }

    /// Number of body bytes still to be read; `None` for a chunked body that is not complete.
    pub(super) fn remaining(&self) -> Option<u64> {
        match self.state {
            DecoderState::Data(left) => Some(left),
            DecoderState::Nothing => Some(0),
            _ => None,
        }
    }

    /// Decodes the next part of the body and removes it from the front of `buffer`.
    pub(super) fn next(&mut self, buffer: &mut BytesMut) -> Result<BodyPiece, MalformedChunks> {
        loop {
            match self.state {
                DecoderState::Nothing | DecoderState::Data(0) => {
                    self.state = DecoderState::Nothing;
                    return Ok(BodyPiece::End);
                }
                DecoderState::Data(left) => {
                    let Some((data, left)) = take_data(buffer, left) else {
                        return Ok(BodyPiece::Incomplete);
                    };
                    self.state = DecoderState::Data(left);
                    return Ok(BodyPiece::Data(data));
                }
                DecoderState::ChunkSize => {
                    let Some(size) = take_chunk_size(buffer)? else {
                        return Ok(BodyPiece::Incomplete);
                    };
                    self.state = match size {
                        0 => DecoderState::Trailers { read: 0 },
                        size => DecoderState::ChunkData(size),
                    };
                }
                DecoderState::ChunkData(0) => self.state = DecoderState::ChunkEnd,
                DecoderState::ChunkData(left) => {
                    let Some((data, left)) = take_data(buffer, left) else {
                        return Ok(BodyPiece::Incomplete);
                    };
                    self.state = DecoderState::ChunkData(left);
                    return Ok(BodyPiece::Data(data));
                }
                DecoderState::ChunkEnd => {
                    if buffer.len() < 2 {
                        return Ok(BodyPiece::Incomplete);
                    }
                    if !buffer.starts_with(b"\r\n") {
                        return Err(MalformedChunks);
                    }
                    buffer.advance(2);
                    self.state = DecoderState::ChunkSize;
                }
                DecoderState::Trailers { read } => {
                    match skip_line(buffer, MAX_TRAILER_BYTES - read)? {
                        None => return Ok(BodyPiece::Incomplete),
                        Some(0) => self.state = DecoderState::Nothing,
                        Some(length) => {
                            let read = read + length;
                            self.state = DecoderState::Trailers { read };
                        }
                    }
                }
            }
        }
    }
}

/// Removes at most `left` bytes from `buffer`. Returns them and the rest of `left`; `None` if
/// the buffer is empty.
fn take_data(buffer: &mut BytesMut, left: u64) -> Option<(Bytes, u64)> {
    let length = (buffer.len() as u64).min(left);
    if length == 0 {
        return None;
    }
    Some((buffer.split_to(length as usize).freeze(), left - length))
}

/// Removes a chunk size line from `buffer`; `None` if the line is incomplete.
fn take_chunk_size(buffer: &mut BytesMut) -> Result<Option<u64>, MalformedChunks> {
    match httparse::parse_chunk_size(buffer) {
        Ok(httparse::Status::Complete((length, size))) => {
            buffer.advance(length);
            Ok(Some(size))
        }
        Ok(httparse::Status::Partial) if buffer.len() <= MAX_CHUNK_LINE_BYTES => Ok(None),
        _ => Err(MalformedChunks),
    }
}

/// Removes one line from `buffer`. Returns the length of the line without its CRLF; `None` if
/// the line is incomplete.
fn skip_line(buffer: &mut BytesMut, limit: usize) -> Result<Option<usize>, MalformedChunks> {
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
