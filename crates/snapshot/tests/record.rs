//! Sealed records can be opened again, and any other bytes are rejected with the matching error.

use curlewdeck_snapshot::record::{open, seal, RecordKind};
use curlewdeck_snapshot::{tagged, RecordError};
use proptest::prelude::*;

const KIND: RecordKind = RecordKind { content: 1, version: 1 };
const TAG: u8 = 1;

#[test]
fn foreign_or_mismatched_record_is_rejected() {
    let bytes = seal(KIND, &(7u64, "a".to_string())).unwrap();
    assert_eq!(open(KIND, &bytes), Ok((7u64, "a".to_string())));
    let other = RecordKind { content: 2, version: 1 };
    assert_eq!(open::<(u64, String)>(other, &bytes), Err(RecordError::WrongKind(KIND)));
    assert_eq!(open::<u64>(KIND, b"{\"v\":1}"), Err(RecordError::Foreign));
    assert_eq!(open::<u64>(KIND, b""), Err(RecordError::WrongLength));
    let short = seal(KIND, &()).unwrap();
    assert_eq!(open::<String>(KIND, &short), Err(RecordError::Undecodable));
}

/// Fails if the stored layout changes: files of earlier versions must remain readable.
#[test]
fn record_layout_is_stable() {
    let body = b"curlkeep\x01\x01\x03\x00\x00\x00\x07\x01a";
    let checksum = crc32fast::hash(body).to_le_bytes();
    let expected = [&body[..], &checksum[..]].concat();
    assert_eq!(seal(KIND, &(7u64, "a".to_string())), Some(expected));
    let body = b"\x01\x07\x01a";
    let checksum = crc32fast::hash(body).to_le_bytes();
    assert_eq!(tagged::seal(TAG, &(7u64, "a".to_string())), [&body[..], &checksum[..]].concat());
}

/// The error texts, which operators see in the log at the start of a process.
#[test]
fn error_texts_describe_the_fault() {
    for (error, text) in [
        (RecordError::WrongLength, "its length is wrong"),
        (RecordError::Foreign, "it is not a file of this program"),
        (
            RecordError::WrongKind(RecordKind { content: 2, version: 3 }),
            "it holds a record of kind 2 in version 3",
        ),
        (RecordError::WrongTag(4), "it holds a value with tag 4"),
        (RecordError::ChecksumMismatch, "its checksum does not match"),
        (RecordError::Undecodable, "its value cannot be decoded"),
    ] {
        assert_eq!(error.to_string(), text);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// A record that is truncated at any byte, extended, or changed in one bit is rejected.
    #[test]
    fn corrupt_record_is_rejected(value in any::<(u64, String)>(), at in any::<usize>(), bit in 0..8u8) {
        let bytes = seal(KIND, &value).unwrap();
        prop_assert_eq!(open(KIND, &bytes), Ok(value));
        prop_assert!(open::<(u64, String)>(KIND, &bytes[..at % bytes.len()]).is_err());
        let longer = [&bytes[..], &[0]].concat();
        prop_assert_eq!(open::<(u64, String)>(KIND, &longer), Err(RecordError::WrongLength));
        let mut changed = bytes.clone();
        changed[at % bytes.len()] ^= 1 << bit;
        prop_assert!(open::<(u64, String)>(KIND, &changed).is_err());
    }

    /// A log value that is truncated at any byte or changed in one bit is rejected.
    #[test]
    fn corrupt_log_value_is_rejected(value in any::<(u64, String)>(), at in any::<usize>(), bit in 0..8u8) {
        let bytes = tagged::seal(TAG, &value);
        prop_assert_eq!(tagged::open::<(u64, String)>(TAG + 1, &bytes), Err(RecordError::WrongTag(TAG)));
        prop_assert_eq!(tagged::open(TAG, &bytes), Ok(value));
        prop_assert!(tagged::open::<(u64, String)>(TAG, &bytes[..at % bytes.len()]).is_err());
        let mut changed = bytes.clone();
        changed[at % bytes.len()] ^= 1 << bit;
        prop_assert!(tagged::open::<(u64, String)>(TAG, &changed).is_err());
    }
}
