//! A value sealed for an entry of a log: one byte as a tag, the value in postcard encoding, and a
//! [checksum](crate::checksum) over both. The log delimits its entries, so no length is stored.

use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::checksum::{append_checksum, verify_checksum, CHECKSUM_BYTES};
use crate::RecordError;

/// Seals a value with a tag, which identifies its type.
pub fn seal<T: Serialize>(tag: u8, value: &T) -> Vec<u8> {
    let mut bytes = vec![tag];
    // Postcard fails only on types that no caller uses, such as a sequence of unknown length.
    bytes.extend(postcard::to_stdvec(value).unwrap_or_default());
    append_checksum(bytes)
}

/// Verifies and decodes a value that was sealed with `tag`.
///
/// # Errors
/// The bytes are corrupt, have another tag, or cannot be decoded.
pub fn open<T: DeserializeOwned>(tag: u8, bytes: &[u8]) -> Result<T, RecordError> {
    if bytes.len() <= CHECKSUM_BYTES {
        return Err(RecordError::WrongLength);
    }
    let body = verify_checksum(bytes)?;
    if body[0] != tag {
        return Err(RecordError::WrongTag(body[0]));
    }
    postcard::from_bytes(&body[1..]).map_err(|_| RecordError::Undecodable)
}
