//! A value sealed as the contents of a file: magic bytes, the kind, the value's length, the value in postcard encoding,
//! and a [checksum](crate::checksum) over all of these.

use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::checksum::{append_checksum, verify_checksum, CHECKSUM_BYTES};
use crate::RecordError;

const MAGIC: &[u8; 8] = b"curlkeep";
const KIND_BYTES: usize = 2;
const LENGTH_BYTES: usize = 4;
const HEADER_BYTES: usize = MAGIC.len() + KIND_BYTES + LENGTH_BYTES;
/// Maximum length of a sealed record. The caller must not read a longer file into memory.
pub const MAX_RECORD_BYTES: usize = 4 * 1024 * 1024;

/// Identifies the type of a record's value, so that a file of another kind is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecordKind {
    /// The number of the value's type.
    pub content: u8,
    /// The version of its encoding.
    pub version: u8,
}

/// Seals a value. Returns none if the record would be longer than [`MAX_RECORD_BYTES`].
pub fn seal<T: Serialize>(kind: RecordKind, value: &T) -> Option<Vec<u8>> {
    let value = postcard::to_stdvec(value).ok()?;
    if value.len() > MAX_RECORD_BYTES - HEADER_BYTES - CHECKSUM_BYTES {
        return None;
    }
    let mut bytes = MAGIC.to_vec();
    bytes.extend([kind.content, kind.version]);
    bytes.extend(u32::try_from(value.len()).ok()?.to_le_bytes());
    bytes.extend(value);
    Some(append_checksum(bytes))
}

/// Verifies a record and decodes its value.
///
/// # Errors
/// The record is corrupt, of another kind, or cannot be decoded.
pub fn open<T: DeserializeOwned>(kind: RecordKind, bytes: &[u8]) -> Result<T, RecordError> {
    let magic = &bytes[..bytes.len().min(MAGIC.len())];
    if !MAGIC.starts_with(magic) {
        return Err(RecordError::Foreign);
    }
    let header = bytes.first_chunk::<HEADER_BYTES>().ok_or(RecordError::WrongLength)?;
    if bytes.len() != HEADER_BYTES.saturating_add(value_bytes(header)).saturating_add(CHECKSUM_BYTES) {
        return Err(RecordError::WrongLength);
    }
    let body = verify_checksum(bytes)?;
    let found = RecordKind { content: header[MAGIC.len()], version: header[MAGIC.len() + 1] };
    if found != kind {
        return Err(RecordError::WrongKind(found));
    }
    postcard::from_bytes(&body[HEADER_BYTES..]).map_err(|_| RecordError::Undecodable)
}

/// The length of the value according to the header.
fn value_bytes(header: &[u8; HEADER_BYTES]) -> usize {
    let mut length = [0; LENGTH_BYTES];
    length.copy_from_slice(&header[HEADER_BYTES - LENGTH_BYTES..]);
    u32::from_le_bytes(length) as usize
}
