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
    Cursor { query: QUERY, until: 100, ranges }
}

#[test]
fn sealed_cursor_opens_unchanged() {
    let keys = Keys::fresh([1; 32]);
    assert_eq!(keys.open(&keys.seal(&cursor()), &QUERY, 4, 99), Ok(cursor()));
}

/// Each kind of unusable cursor has its own error: of another query, expired, with another number of ranges, signed by
/// an unknown key (removed, or from before a restart), malformed.
#[test]
fn rejected_cursor_returns_the_reason() {
    let keys = Keys::fresh([1; 32]);
    let text = keys.seal(&cursor());
    assert_eq!(keys.open(&text, &[8; 16], 4, 0), Err(BadCursor::OtherQuery));
    assert_eq!(keys.open(&text, &QUERY, 4, 100), Err(BadCursor::Expired));
    assert_eq!(keys.open(&text, &QUERY, 5, 0), Err(BadCursor::OtherRanges));
    assert_eq!(Keys::fresh([2; 32]).open(&text, &QUERY, 4, 0), Err(BadCursor::UnknownKey));
    for bad in ["", "a", "äöü", "AAAA", "!!!!"] {
        assert_eq!(keys.open(bad, &QUERY, 4, 0), Err(BadCursor::Malformed), "{bad}");
    }
}

#[test]
fn old_key_is_accepted_until_it_is_removed_from_the_file() {
    let (old, new) = ("11".repeat(16), "22".repeat(16));
    let before = Keys::read(&old).unwrap();
    let both = Keys::read(&format!("# new first\n{new}\n{old} # until spring\n")).unwrap();
    let after = Keys::read(&new).unwrap();
    let text = before.seal(&cursor());
    assert!(both.open(&text, &QUERY, 4, 0).is_ok());
    assert_eq!(after.open(&text, &QUERY, 4, 0), Err(BadCursor::UnknownKey));
    assert!(after.open(&both.seal(&cursor()), &QUERY, 4, 0).is_ok(), "the first key signs");
}

#[test]
fn invalid_key_file_is_rejected_without_revealing_keys() {
    let error = |text: &str| Keys::read(text).unwrap_err();
    assert_eq!(error("# nothing\n"), "the file contains no key");
    assert!(error("\nxyz0").starts_with("line 2: hexadecimal"));
    assert!(error("abc").starts_with("line 1: hexadecimal"));
    assert!(error("abcd").contains("16 bytes"));
    let twice = format!("{0}\n{0}", "ab".repeat(16));
    assert!(error(&twice).starts_with("line 2: duplicate key"));
    assert!(!error(&twice).contains("abab"), "the message contains the key");
    assert_eq!(format!("{:?}", Keys::fresh([3; 32])), "Keys(1 of them)");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// A cursor with one flipped bit is always rejected, and arbitrary text never panics.
    #[test]
    fn cursor_with_a_flipped_bit_is_rejected(at in 0..100usize, bit in 0..8u8, text in "[A-Za-z0-9_-]{0,80}") {
        let keys = Keys::fresh([1; 32]);
        let mut bytes = URL_SAFE_NO_PAD.decode(keys.seal(&cursor())).unwrap();
        let at = at % bytes.len();
        bytes[at] ^= 1 << bit;
        let opened = keys.open(&URL_SAFE_NO_PAD.encode(bytes), &QUERY, 4, 0);
        let expected = if at < KEY_NAME_BYTES { BadCursor::UnknownKey } else { BadCursor::Forged };
        prop_assert_eq!(opened, Err(expected));
        prop_assert!(keys.open(&text, &QUERY, 4, 0).is_err());
    }

    #[test]
    fn furthest_returns_the_later_position(a in 0..3u8, b in 0..3u8, x in "[ab]{0,2}", y in "[ab]{0,2}", key in "[ab]{0,3}") {
        let position = |kind, k: &str| match kind {
            0 => Position::Start,
            1 => Position::From(k.into()),
            _ => Position::After(k.into()),
        };
        let (a, b) = (position(a, &x), position(b, &y));
        let later = a.furthest(&b);
        prop_assert_eq!(later.admits(&key), a.admits(&key) && b.admits(&key));
        prop_assert_eq!(later, b.furthest(&a));
    }
}
