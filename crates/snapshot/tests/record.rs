//! Sealed records: what is sealed opens again, and anything else is told apart.

use curlewdeck_snapshot::record::{open, seal, RecordKind};
use curlewdeck_snapshot::{tagged, RecordError};
use proptest::prelude::*;

const KIND: RecordKind = RecordKind { content: 1, version: 1 };
const TAG: u8 = 1;

#[test]
fn a_record_that_is_not_ours_is_told_apart() {
    let bytes = seal(KIND, &(7u64, "a".to_string())).unwrap();
    assert_eq!(open(KIND, &bytes), Ok((7u64, "a".to_string())));
    let other = RecordKind { content: 2, version: 1 };
    assert_eq!(open::<(u64, String)>(other, &bytes), Err(RecordError::WrongKind(KIND)));
    assert_eq!(open::<u64>(KIND, b"{\"v\":1}"), Err(RecordError::Foreign));
    assert_eq!(open::<u64>(KIND, b""), Err(RecordError::Truncated));
    let short = seal(KIND, &()).unwrap();
    assert_eq!(open::<String>(KIND, &short), Err(RecordError::Undecodable));
}

/// Guards the layout: files of earlier versions must be read.
#[test]
fn the_layout_of_a_record_is_fixed() {
    let body = b"curlkeep\x01\x01\x03\x00\x00\x00\x07\x01a";
    let checksum = crc32fast::hash(body).to_le_bytes();
    let expected = [&body[..], &checksum[..]].concat();
    assert_eq!(seal(KIND, &(7u64, "a".to_string())), Some(expected));
    let body = b"\x01\x07\x01a";
    let checksum = crc32fast::hash(body).to_le_bytes();
    assert_eq!(tagged::seal(TAG, &(7u64, "a".to_string())), [&body[..], &checksum[..]].concat());
}

/// Guards the texts that operators see at the start.
#[test]
fn errors_say_what_is_wrong() {
    for (error, text) in [
        (RecordError::Truncated, "it is torn"),
        (RecordError::Foreign, "it is no file of this program"),
        (RecordError::WrongKind(RecordKind { content: 2, version: 3 }), "it holds kind 2 in form 3"),
        (RecordError::WrongTag(4), "it holds kind 4"),
        (RecordError::ChecksumMismatch, "its checksum does not match"),
        (RecordError::Undecodable, "its value cannot be read"),
    ] {
        assert_eq!(error.to_string(), text);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Cut off anywhere, added to, or changed in one bit, a record is never used.
    #[test]
    fn a_torn_or_changed_record_is_not_used(value in any::<(u64, String)>(), at in any::<usize>(), bit in 0..8u8) {
        let bytes = seal(KIND, &value).unwrap();
        prop_assert_eq!(open(KIND, &bytes), Ok(value));
        prop_assert!(open::<(u64, String)>(KIND, &bytes[..at % bytes.len()]).is_err());
        let longer = [&bytes[..], &[0]].concat();
        prop_assert_eq!(open::<(u64, String)>(KIND, &longer), Err(RecordError::Truncated));
        let mut changed = bytes.clone();
        changed[at % bytes.len()] ^= 1 << bit;
        prop_assert!(open::<(u64, String)>(KIND, &changed).is_err());
    }

    /// The same for a value in a log.
    #[test]
    fn a_torn_or_changed_value_of_a_log_is_not_used(value in any::<(u64, String)>(), at in any::<usize>(), bit in 0..8u8) {
        let bytes = tagged::seal(TAG, &value);
        prop_assert_eq!(tagged::open::<(u64, String)>(TAG + 1, &bytes), Err(RecordError::WrongTag(TAG)));
        prop_assert_eq!(tagged::open(TAG, &bytes), Ok(value));
        prop_assert!(tagged::open::<(u64, String)>(TAG, &bytes[..at % bytes.len()]).is_err());
        let mut changed = bytes.clone();
        changed[at % bytes.len()] ^= 1 << bit;
        prop_assert!(tagged::open::<(u64, String)>(TAG, &changed).is_err());
    }
}
