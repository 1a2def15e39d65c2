//! A sealed record: a mark, what it holds and in which form, its length, the value in postcard's encoding, and a CRC-32
//! (IEEE 802.3) over all that. The checksum finds what was torn or decayed; it is no proof against a forger, who could
//! write the folder anyway.

use std::fmt;

use serde::de::DeserializeOwned;
use serde::Serialize;

const MARK: &[u8; 8] = b"curlkeep";
const HEAD: usize = MARK.len() + 2 + 4;
const SUM: usize = 4;
/// Bytes of a record that is looked at at all.
pub const MOST_BYTES: usize = 4 * 1024 * 1024;

/// What a record holds, so that one file is not taken for another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Kind {
    /// What.
    pub what: u8,
    /// The version of its form.
    pub form: u8,
}

/// Why a file is not believed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unsound {
    /// It ends early, or goes on beyond its end.
    Torn,
    /// It is no record of ours.
    Foreign,
    /// It holds something else, or in another form.
    OtherKind(Kind),
    /// Its checksum does not match.
    Changed,
    /// Its value cannot be read.
    Unreadable,
}

impl fmt::Display for Unsound {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Torn => f.write_str("it is torn"),
            Self::Foreign => f.write_str("it is no file of this program"),
            Self::OtherKind(kind) => write!(f, "it holds kind {} in form {}", kind.what, kind.form),
            Self::Changed => f.write_str("its checksum does not match"),
            Self::Unreadable => f.write_str("its value cannot be read"),
        }
    }
}

impl std::error::Error for Unsound {}

/// Seals a value; none if it is larger than is ever read.
pub fn seal<T: Serialize>(kind: Kind, value: &T) -> Option<Vec<u8>> {
    let value = postcard::to_stdvec(value).ok().filter(|v| v.len() <= MOST_BYTES - HEAD - SUM)?;
    let mut bytes = MARK.to_vec();
    bytes.extend([kind.what, kind.form]);
    bytes.extend(u32::try_from(value.len()).ok()?.to_le_bytes());
    bytes.extend(value);
    let sum = crc32fast::hash(&bytes);
    bytes.extend(sum.to_le_bytes());
    Some(bytes)
}

/// Opens a record.
///
/// # Errors
/// Says why it is not believed.
pub fn open<T: DeserializeOwned>(kind: Kind, bytes: &[u8]) -> Result<T, Unsound> {
    let mark = &bytes[..bytes.len().min(MARK.len())];
    if !MARK.starts_with(mark) {
        return Err(Unsound::Foreign);
    }
    let Some(head) = bytes.get(..HEAD) else { return Err(Unsound::Torn) };
    let mut length = [0; 4];
    length.copy_from_slice(&head[HEAD - 4..]);
    let end = HEAD.saturating_add(u32::from_le_bytes(length) as usize);
    if bytes.len() != end.saturating_add(SUM) {
        return Err(Unsound::Torn);
    }
    let (signed, sum) = bytes.split_at(end);
    if sum != crc32fast::hash(signed).to_le_bytes() {
        return Err(Unsound::Changed);
    }
    let found = Kind { what: head[MARK.len()], form: head[MARK.len() + 1] };
    if found != kind {
        return Err(Unsound::OtherKind(found));
    }
    postcard::from_bytes(&signed[HEAD..]).map_err(|_| Unsound::Unreadable)
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const KIND: Kind = Kind { what: 1, form: 1 };

    #[test]
    fn what_is_not_ours_is_told_apart() {
        let bytes = seal(KIND, &(7u64, "a".to_string())).unwrap();
        assert_eq!(open(KIND, &bytes), Ok((7u64, "a".to_string())));
        let other = Kind { what: 2, form: 1 };
        assert_eq!(open::<(u64, String)>(other, &bytes), Err(Unsound::OtherKind(KIND)));
        assert_eq!(open::<u64>(KIND, b"{\"v\":1}"), Err(Unsound::Foreign));
        assert_eq!(open::<u64>(KIND, b""), Err(Unsound::Torn));
        let short = seal(KIND, &()).unwrap();
        assert_eq!(open::<String>(KIND, &short), Err(Unsound::Unreadable));
    }

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

        /// Cut off anywhere, added to, or changed in one bit, a record is never believed.
        #[test]
        fn a_torn_or_changed_record_is_not_believed(value in any::<(u64, String)>(), at in any::<usize>(), bit in 0..8u8) {
            let bytes = seal(KIND, &value).unwrap();
            prop_assert_eq!(open(KIND, &bytes), Ok(value));
            prop_assert!(open::<(u64, String)>(KIND, &bytes[..at % bytes.len()]).is_err());
            let longer = [&bytes[..], &[0]].concat();
            prop_assert_eq!(open::<(u64, String)>(KIND, &longer), Err(Unsound::Torn));
            let mut changed = bytes.clone();
            changed[at % bytes.len()] ^= 1 << bit;
            prop_assert!(open::<(u64, String)>(KIND, &changed).is_err());
        }
    }
}
