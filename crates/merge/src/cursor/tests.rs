use super::*;
use proptest::prelude::*;

const QUERY: [u8; 16] = [7; 16];

fn cursor() -> Cursor {
    let progress = |position, version| RangeProgress { position, version };
    let ranges = vec![
        progress(Position::After("kızıl".into()), Some(0)),
        progress(Position::From("kızıl".into()), Some(u64::MAX - 1)),
        progress(Position::Start, None),
        progress(Position::After("b".into()), Some(17)),
    ];
    Cursor { query: QUERY, expires_at: 100, ranges }
}

#[test]
fn sealed_cursor_opens_unchanged() {
    let keys = CursorKeys::from_secret([1; 32]);
    assert_eq!(keys.verify(&keys.sign(&cursor()), &QUERY, 4, 99), Ok(cursor()));
}

/// Each kind of unusable cursor has its own error: of another query, expired, with another number of ranges, signed by
/// an unknown key (removed, or from before a restart), malformed.
#[test]
fn rejected_cursor_returns_the_reason() {
    let keys = CursorKeys::from_secret([1; 32]);
    let text = keys.sign(&cursor());
    assert_eq!(keys.verify(&text, &[8; 16], 4, 0), Err(CursorError::OtherQuery));
    assert_eq!(keys.verify(&text, &QUERY, 4, 100), Err(CursorError::Expired));
    assert_eq!(keys.verify(&text, &QUERY, 5, 0), Err(CursorError::OtherRanges));
    assert_eq!(CursorKeys::from_secret([2; 32]).verify(&text, &QUERY, 4, 0), Err(CursorError::UnknownKey));
    for bad in ["", "a", "äöü", "AAAA", "!!!!"] {
        assert_eq!(keys.verify(bad, &QUERY, 4, 0), Err(CursorError::Malformed), "{bad}");
    }
}

#[test]
fn old_key_is_accepted_until_it_is_removed_from_the_file() {
    let (old, new) = ("11".repeat(16), "22".repeat(16));
    let before = CursorKeys::parse(&old).unwrap();
    let both = CursorKeys::parse(&format!("# new first\n{new}\n{old} # until spring\n")).unwrap();
    let after = CursorKeys::parse(&new).unwrap();
    let text = before.sign(&cursor());
    assert!(both.verify(&text, &QUERY, 4, 0).is_ok());
    assert_eq!(after.verify(&text, &QUERY, 4, 0), Err(CursorError::UnknownKey));
    assert!(after.verify(&both.sign(&cursor()), &QUERY, 4, 0).is_ok(), "the first key signs");
}

#[test]
fn invalid_key_file_is_rejected_without_revealing_keys() {
    let error = |text: &str| CursorKeys::parse(text).unwrap_err();
    assert_eq!(error("# nothing\n"), "the file contains no key");
    assert!(error("\nxyz0").starts_with("line 2: hexadecimal"));
    assert!(error("abc").starts_with("line 1: hexadecimal"));
    assert!(error("abcd").contains("16 bytes"));
    let twice = format!("{0}\n{0}", "ab".repeat(16));
    assert!(error(&twice).starts_with("line 2: duplicate key"));
    assert!(!error(&twice).contains("abab"), "the message contains the key");
    assert_eq!(format!("{:?}", CursorKeys::from_secret([3; 32])), "Keys(1 of them)");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// A cursor with one flipped bit is always rejected, and arbitrary text never panics.
    #[test]
    fn cursor_with_a_flipped_bit_is_rejected(at in 0..100usize, bit in 0..8u8, text in "[A-Za-z0-9_-]{0,80}") {
        let keys = CursorKeys::from_secret([1; 32]);
        let mut bytes = URL_SAFE_NO_PAD.decode(keys.sign(&cursor())).unwrap();
        let at = at % bytes.len();
        bytes[at] ^= 1 << bit;
        let verified = keys.verify(&URL_SAFE_NO_PAD.encode(bytes), &QUERY, 4, 0);
        let expected = if at < KEY_NAME_BYTES { CursorError::UnknownKey } else { CursorError::Forged };
        prop_assert_eq!(verified, Err(expected));
        prop_assert!(keys.verify(&text, &QUERY, 4, 0).is_err());
    }

    #[test]
    fn later_of_returns_the_later_position(a in 0..3u8, b in 0..3u8, x in "[ab]{0,2}", y in "[ab]{0,2}", key in "[ab]{0,3}") {
        let position = |kind, k: &str| match kind {
            0 => Position::Start,
            1 => Position::From(k.into()),
            _ => Position::After(k.into()),
        };
        let (a, b) = (position(a, &x), position(b, &y));
        let later = a.later_of(&b);
        prop_assert_eq!(later.includes(&key), a.includes(&key) && b.includes(&key));
        prop_assert_eq!(later, b.later_of(&a));
    }
}
