//! zstd compression of data that many nodes receive: configuration versions sent between
//! peers, and member lists in the store. A document of 3,000 routes shrinks to a tenth or
//! less.

use std::borrow::Cow;

/// Level of zstd compression; higher levels save little and need more CPU time.
const COMPRESSION_LEVEL: i32 = 3;
/// Magic number of a zstd frame (RFC 8878, section 3.1.1). Uncompressed content from older
/// nodes starts with a JSON character or a snapshot digest, which are not expected to match
/// it.
const FRAME_MAGIC: [u8; 4] = [0x28, 0xb5, 0x2f, 0xfd];
/// Maximum size of decompressed content, in bytes: eight times the largest document that
/// the platform's store holds.
pub const MAX_CONTENT_BYTES: usize = 8 << 20;

/// Error for compressed data that is corrupt, or whose content would exceed
/// [`MAX_CONTENT_BYTES`].
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("corrupt data, or content larger than {MAX_CONTENT_BYTES} bytes: {reason}")]
pub struct DecompressError {
    /// Error message of the zstd decoder.
    reason: String,
}

/// Compresses `content` with zstd and adds a checksum, so that corruption is detected.
pub fn compress(content: &[u8]) -> Vec<u8> {
    // Compression into memory fails only when the allocation fails.
    let compressed = zstd::bulk::Compressor::new(COMPRESSION_LEVEL).and_then(|mut compressor| {
        compressor.include_checksum(true)?;
        compressor.compress(content)
    });
    compressed.expect("compression into memory succeeds")
}

/// Decompresses zstd data. Bytes without the magic number are returned unchanged, since
/// older nodes send content uncompressed.
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
