//! A value sealed for an entry of a log: one byte that says what it is, the value in postcard's encoding, and a
//! [checksum](crate::checksum) over both. The log itself delimits it, so that it needs no length.

use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::checksum::{append_checksum, verify_checksum, CHECKSUM_BYTES};
use crate::RecordError;

/// Seals a value under a tag.
pub fn seal<T: Serialize>(tag: u8, value: &T) -> Vec<u8> {
    let mut bytes = vec![tag];
    // Postcard fails only on types that callers do not seal, such as a sequence of unknown length.
    bytes.extend(postcard::to_stdvec(value).unwrap_or_default());
    append_checksum(bytes)
}

/// Opens a value that was sealed under a tag.
///
/// # Errors
/// Says why the bytes are not used.
pub fn open<T: DeserializeOwned>(tag: u8, bytes: &[u8]) -> Result<T, RecordError> {
    if bytes.len() <= CHECKSUM_BYTES {
        return Err(RecordError::Truncated);
    }
    let body = verify_checksum(bytes)?;
    if body[0] != tag {
        return Err(RecordError::WrongTag(body[0]));
    }
    postcard::from_bytes(&body[1..]).map_err(|_| RecordError::Undecodable)
}
