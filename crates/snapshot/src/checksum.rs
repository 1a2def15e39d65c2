//! The checksum at the end of everything stored: CRC-32 (IEEE 802.3), little-endian. It finds bytes that were torn or
//! have decayed; it is no protection against a forger.

use crate::RecordError;

/// Bytes of a checksum.
pub const CHECKSUM_BYTES: usize = 4;

/// Puts the checksum of `bytes` behind them.
pub fn append_checksum(mut bytes: Vec<u8>) -> Vec<u8> {
    let checksum = crc32fast::hash(&bytes);
    bytes.extend(checksum.to_le_bytes());
    bytes
}

/// The bytes before the checksum that [`append_checksum`] put behind them.
///
/// # Errors
/// There are fewer bytes than a checksum has, or the checksum does not match.
pub fn verify_checksum(bytes: &[u8]) -> Result<&[u8], RecordError> {
    let (body, checksum) = bytes.split_last_chunk::<CHECKSUM_BYTES>().ok_or(RecordError::Truncated)?;
    if crc32fast::hash(body) != u32::from_le_bytes(*checksum) {
        return Err(RecordError::ChecksumMismatch);
    }
    Ok(body)
}
