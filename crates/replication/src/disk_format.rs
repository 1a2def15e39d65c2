//! The stored form of raft's records: the protobuf encoding, followed by a [checksum](curlewdeck_snapshot::checksum).

use curlewdeck_snapshot::checksum::{append_checksum, verify_checksum};
use curlewdeck_snapshot::RecordError;

/// Encodes an entry, a hard state or a snapshot for storage.
pub fn encode<M: protobuf::Message>(message: &M) -> Vec<u8> {
    append_checksum(message.write_to_bytes().unwrap_or_default())
}

/// Decodes the output of [`encode`].
///
/// # Errors
/// The bytes are corrupt, or cannot be decoded as a message of this type.
pub fn decode<M: protobuf::Message>(bytes: &[u8]) -> Result<M, RecordError> {
    M::parse_from_bytes(verify_checksum(bytes)?).map_err(|_| RecordError::Undecodable)
}
