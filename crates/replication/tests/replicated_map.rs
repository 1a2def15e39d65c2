//! Commands and snapshots of the map: their stored form and the effect of each command.

use curlewdeck_replication::{
    Command, CommandOutcome, CommandRejection, ReplicatedMap, ReplicationLimits, VersionedValue,
};
use curlewdeck_snapshot::RecordError;

fn put(key: &str, value: &[u8]) -> Command {
    Command::Put { key: key.into(), value: value.to_vec() }
}

#[test]
fn flipped_bit_or_truncation_of_a_command_is_detected() {
    let command = put("lease/zone-a", b"holder 7");
    let bytes = command.to_entry_data();
    assert_eq!(Command::from_entry_data(&bytes), Ok(command));
    for at in 0..bytes.len() * 8 {
        let mut changed = bytes.clone();
        changed[at / 8] ^= 1 << (at % 8);
        assert!(Command::from_entry_data(&changed).is_err(), "flipped bit {at} was not detected");
    }
    for len in 0..bytes.len() {
        assert!(
            Command::from_entry_data(&bytes[..len]).is_err(),
            "truncation to {len} bytes was not detected"
        );
    }
    assert_eq!(ReplicatedMap::from_snapshot_data(&bytes), Err(RecordError::WrongTag(1)));
}

/// Fails if the stored form of commands or snapshots changes: other versions read and write it.
#[test]
fn stored_form_is_stable() {
    let body = |bytes: Vec<u8>| bytes[..bytes.len() - 4].to_vec();
    assert_eq!(body(put("k", b"v").to_entry_data()), b"\x01\x00\x01k\x01v");
    let command = Command::CompareAndSet { key: "k".into(), version: 3, value: None };
    assert_eq!(body(command.to_entry_data()), b"\x01\x01\x01k\x03\x00");
    assert_eq!(body(Command::Noop.to_entry_data()), b"\x01\x02");
    let mut map = ReplicatedMap::default();
    map.apply(5, &put("k", b"v"), &ReplicationLimits::default());
    assert_eq!(body(map.to_snapshot_data()), b"\x02\x01\x01k\x01v\x05\x05");
    assert_eq!(ReplicatedMap::from_snapshot_data(&map.to_snapshot_data()), Ok(map));
}

#[test]
fn command_over_a_limit_is_rejected_without_effect() {
    let limits = ReplicationLimits {
        max_keys: 1,
        max_key_bytes: 2,
        max_value_bytes: 3,
        ..ReplicationLimits::default()
    };
    let mut map = ReplicatedMap::default();
    assert_eq!(map.apply(1, &put("k", b"v"), &limits), CommandOutcome::Written { version: 1 });
    let before = map.clone();
    for (index, command, rejection) in [
        (2, put("key", b"v"), CommandRejection::KeyTooLong),
        (3, put("k", b"long"), CommandRejection::ValueTooLong),
        (4, put("l", b"v"), CommandRejection::TooManyKeys),
    ] {
        assert_eq!(map.apply(index, &command, &limits), CommandOutcome::Rejected(rejection));
        assert_eq!((map.get("k"), map.len()), (before.get("k"), 1));
    }
    let remove = |version| Command::CompareAndSet { key: "k".into(), version, value: None };
    assert_eq!(map.apply(5, &remove(4), &limits), CommandOutcome::VersionMismatch { current: 1 });
    assert_eq!(map.get("k"), Some(&VersionedValue { value: b"v".to_vec(), version: 1 }));
    assert_eq!(map.apply(6, &remove(1), &limits), CommandOutcome::Written { version: 6 });
    assert!(map.is_empty());
    assert_eq!(map.apply(6, &put("k", b"v"), &limits), CommandOutcome::NoEffect, "applied twice");
}
