//! Commands and snapshots as bytes: a kind, the value in postcard's encoding, and a CRC-32 (IEEE 802.3) over both, so
//! that a torn write or a flipped byte in the log or a snapshot is found before it is believed.

use std::fmt;

use serde::de::DeserializeOwned;
use serde::Serialize;

/// A command in the log.
pub const COMMAND: u8 = 1;
/// A snapshot of the promised map.
pub const IMAGE: u8 = 2;
/// The ticket that a proposer puts beside its command, to know it again.
pub const TICKET: u8 = 3;

/// Why bytes are not believed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unsound {
    /// Fewer bytes than a kind and a checksum.
    Torn,
    /// Another kind than the one looked for.
    OtherKind(u8),
    /// The checksum does not match: a byte changed.
    Changed,
    /// The checksum matches, and the value cannot be read all the same: a newer form.
    Unreadable,
}

impl fmt::Display for Unsound {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Torn => f.write_str("it is torn"),
            Self::OtherKind(kind) => write!(f, "it holds kind {kind}"),
            Self::Changed => f.write_str("its checksum does not match"),
            Self::Unreadable => f.write_str("its value cannot be read"),
        }
    }
}

impl std::error::Error for Unsound {}

/// Bytes with a CRC-32 of them after them: the one checksum of sealed values and of raft's records on disk.
pub fn checked(mut bytes: Vec<u8>) -> Vec<u8> {
    let sum = crc32fast::hash(&bytes);
    bytes.extend(sum.to_le_bytes());
    bytes
}

/// The bytes before the checksum that [`checked`] put after them.
///
/// # Errors
/// Fewer bytes than a checksum, or a checksum that does not match.
pub fn verified(bytes: &[u8]) -> Result<&[u8], Unsound> {
    let Some(n) = bytes.len().checked_sub(4) else { return Err(Unsound::Torn) };
    let (body, sum) = bytes.split_at(n);
    let mut want = [0; 4];
    want.copy_from_slice(sum);
    if crc32fast::hash(body) != u32::from_le_bytes(want) {
        return Err(Unsound::Changed);
    }
    Ok(body)
}

/// Seals a value of a kind.
pub fn seal<T: Serialize>(kind: u8, value: &T) -> Vec<u8> {
    // Our own types only, none with a map keyed by anything but strings: postcard cannot fail on them.
    let mut bytes = vec![kind];
    bytes.extend(postcard::to_stdvec(value).unwrap_or_default());
    checked(bytes)
}

/// Opens a sealed value of a kind.
///
/// # Errors
/// Says why the bytes are not believed.
pub fn open<T: DeserializeOwned>(kind: u8, bytes: &[u8]) -> Result<T, Unsound> {
    // A kind and a checksum at least.
    if bytes.len() < 5 {
        return Err(Unsound::Torn);
    }
    let body = verified(bytes)?;
    if body[0] != kind {
        return Err(Unsound::OtherKind(body[0]));
    }
    postcard::from_bytes(&body[1..]).map_err(|_| Unsound::Unreadable)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::promised::Command;

    #[test]
    fn every_flipped_bit_is_found() {
        let command = Command::Put { key: "lease/zone-a".into(), value: b"holder 7".to_vec() };
        let bytes = seal(COMMAND, &command);
        assert_eq!(open::<Command>(COMMAND, &bytes), Ok(command));
        for at in 0..bytes.len() * 8 {
            let mut spoilt = bytes.clone();
            spoilt[at / 8] ^= 1 << (at % 8);
            assert!(open::<Command>(COMMAND, &spoilt).is_err(), "bit {at} flipped and believed");
        }
        for len in 0..bytes.len() {
            assert!(open::<Command>(COMMAND, &bytes[..len]).is_err(), "torn at {len} and believed");
        }
        assert_eq!(open::<Command>(IMAGE, &bytes), Err(Unsound::OtherKind(COMMAND)));
    }
}
