//! Raft's own records as they are stored on disk: protobuf's encoding and a [checksum](curlewdeck_snapshot::checksum).

use curlewdeck_snapshot::checksum::{append_checksum, verify_checksum};
use curlewdeck_snapshot::RecordError;

/// An entry, a hard state or a snapshot as stored bytes.
pub fn encode<M: protobuf::Message>(message: &M) -> Vec<u8> {
    append_checksum(message.write_to_bytes().unwrap_or_default())
}

/// Decodes what [`encode`] returned.
///
/// # Errors
/// The bytes are torn or changed, or are no message of this type.
pub fn decode<M: protobuf::Message>(bytes: &[u8]) -> Result<M, RecordError> {
    M::parse_from_bytes(verify_checksum(bytes)?).map_err(|_| RecordError::Undecodable)
}
