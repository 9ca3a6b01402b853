//! Compression of what many nodes receive: versions that peers send each other, and
//! lists of members in the store. Routes repeat themselves: a document of 3,000 routes
//! shrinks to a tenth or less.

use std::borrow::Cow;

/// Level of zstd: higher ones save few bytes and cost a small machine time.
const LEVEL: i32 = 3;
/// First bytes of a zstd frame (RFC 8878, section 3.1.1). Neither JSON nor the
/// digest of a snapshot is expected to begin so; an older node sends those plain.
const FRAME_MAGIC: [u8; 4] = [0x28, 0xb5, 0x2f, 0xfd];
/// Largest content that is unpacked, in bytes: eight times the largest document
/// that the platform's store holds.
pub const MAX_CONTENT_BYTES: usize = 8 << 20;

/// Why compressed bytes have no content.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("damaged, or its content is larger than {MAX_CONTENT_BYTES} bytes: {reason}")]
pub struct DecompressError {
    /// What the decoder found.
    reason: String,
}

/// Compresses `content`, with a checksum: what is damaged must not read as something
/// else.
pub fn compress(content: &[u8]) -> Vec<u8> {
    // Compression into memory fails only without memory.
    let compressed = zstd::bulk::Compressor::new(LEVEL).and_then(|mut compressor| {
        compressor.include_checksum(true)?;
        compressor.compress(content)
    });
    compressed.expect("memory for a compressed version")
}

/// The content of compressed bytes; bytes that are not compressed are returned
/// as they are.
pub fn decompress(bytes: &[u8]) -> Result<Cow<'_, [u8]>, DecompressError> {
    if !bytes.starts_with(&FRAME_MAGIC) {
        return Ok(Cow::Borrowed(bytes));
    }
    zstd::bulk::decompress(bytes, MAX_CONTENT_BYTES)
        .map(Cow::Owned)
        .map_err(|error| DecompressError {
            reason: error.to_string(),
        })
}
