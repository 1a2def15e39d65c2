//! The checksum at the end of every stored value: CRC-32 (IEEE 802.3), little-endian. It detects incomplete writes and
//! bit rot, but not deliberate changes.

use crate::RecordError;

/// Length in bytes that [`append_checksum`] adds.
pub const CHECKSUM_BYTES: usize = 4;

/// Appends the checksum of `bytes` to them.
pub fn append_checksum(mut bytes: Vec<u8>) -> Vec<u8> {
    let checksum = crc32fast::hash(&bytes);
    bytes.extend(checksum.to_le_bytes());
    bytes
}

/// Verifies the checksum that [`append_checksum`] added, and returns the bytes before it.
///
/// # Errors
/// The input is shorter than a checksum, or the checksum does not match.
pub fn verify_checksum(bytes: &[u8]) -> Result<&[u8], RecordError> {
    let (body, checksum) = bytes.split_last_chunk::<CHECKSUM_BYTES>().ok_or(RecordError::WrongLength)?;
    if crc32fast::hash(body) != u32::from_le_bytes(*checksum) {
        return Err(RecordError::ChecksumMismatch);
    }
    Ok(body)
}
