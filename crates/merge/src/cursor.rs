//! Cursors of listings: the position and the last seen version of each range, authenticated so that only this service
//! can make or change one, bound to its query, and of limited lifetime.
//!
//! A cursor is a postcard record behind the signing key's name and before its HMAC-SHA-256 (RFC 2104, cut to 128
//! bits as its section 5 allows), in base64url without padding (RFC 4648, section 5).

use std::fmt;
use std::sync::Arc;

use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::Version;

/// The position at which the next rows of a range begin. Positions are ordered as rows are.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub enum Position {
    /// The first row.
    #[default]
    Start,
    /// The first row whose key is at least this one.
    From(Arc<str>),
    /// The first row whose key is greater than this one.
    After(Arc<str>),
}

impl Position {
    /// Whether a row of this key lies at or after the position.
    pub fn admits(&self, key: &str) -> bool {
        match self {
            Self::Start => true,
            Self::From(from) => key >= from.as_ref(),
            Self::After(after) => key > after.as_ref(),
        }
    }

    fn sort_key(&self) -> (Option<&str>, bool) {
        match self {
            Self::Start => (None, false),
            Self::From(key) => (Some(key), false),
            Self::After(key) => (Some(key), true),
        }
    }

    /// The later of two positions: a range never goes back.
    #[must_use]
    pub fn furthest(&self, other: &Self) -> Self {
        if other.sort_key() > self.sort_key() {
            other.clone()
        } else {
            self.clone()
        }
    }
}

/// The progress of a listing in one range.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RangeProgress {
    /// The position at which its next rows begin.
    pub position: Position,
    /// The version of its data that was seen last, if any was.
    pub version: Option<Version>,
}

/// The state from which a listing is resumed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Cursor {
    /// The query's digest.
    pub query: [u8; 16],
    /// The time at which it expires, in seconds of Unix time.
    pub until: u64,
    /// The progress of each range, by its number.
    pub ranges: Vec<RangeProgress>,
}

/// The version of the record.
const RECORD_VERSION: u8 = 1;
/// The length of the truncated HMAC, in bytes.
const MAC_BYTES: usize = 16;
/// The length of a key's name, in bytes.
const KEY_NAME_BYTES: usize = 4;
/// The longest cursor that is read, in bytes of text.
pub const MAX_CURSOR_BYTES: usize = 64 * 1024;

/// Keys that several ranges have in common are written once.
#[derive(Serialize, Deserialize)]
struct Record {
    form: u8,
    query: [u8; 16],
    until: u64,
    keys: Vec<Arc<str>>,
    /// Position and version of each range. A position is 0 at the start, 1 + 2n from the key number n on, and 2 + 2n
    /// after it; a version is one more than the version that was seen, 0 for none.
    ranges: Vec<(u64, u64)>,
}

impl Record {
    /// The progress of one range.
    fn progress(&self, &(position, version): &(u64, u64)) -> Result<RangeProgress, BadCursor> {
        let key = |n: u64| self.keys.get((n / 2) as usize).cloned().ok_or(BadCursor::Malformed);
        let position = match position {
            0 => Position::Start,
            n if n % 2 == 1 => Position::From(key(n - 1)?),
            n => Position::After(key(n - 2)?),
        };
        Ok(RangeProgress { position, version: version.checked_sub(1) })
    }
}

/// Why a cursor is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BadCursor {
    /// It is no cursor at all.
    Malformed,
    /// Its key is not known: it was retired, or the cursor is from before a restart without a file of keys.
    UnknownKey,
    /// It was changed, or made elsewhere.
    Forged,
    /// It is of another version of this program.
    OtherVersion(u8),
    /// It belongs to another query.
    OtherQuery,
    /// Its time is over.
    Expired,
    /// It speaks of other ranges than there are.
    OtherRanges,
}

impl fmt::Display for BadCursor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Malformed => "it is malformed",
            Self::UnknownKey => "its key is not known here: retired, or from before a restart",
            Self::Forged => "it was changed or made elsewhere",
            Self::OtherVersion(_) => "it is of another version of this service",
            Self::OtherQuery => "it belongs to another query",
            Self::Expired => "it has expired",
            Self::OtherRanges => "the data is laid out in other ranges now",
        })
    }
}

impl std::error::Error for BadCursor {}

/// A key that signs cursors.
#[derive(Clone, PartialEq, Eq)]
struct Key {
    name: [u8; KEY_NAME_BYTES],
    secret: Vec<u8>,
}

impl Key {
    /// A key's name is a digest of it: names need no care, and tell nothing.
    fn new(secret: Vec<u8>) -> Self {
        let mut name = [0; KEY_NAME_BYTES];
        let digest = Sha256::new().chain_update(b"curlewdeck cursor key").chain_update(&secret).finalize();
        name.copy_from_slice(&digest[..KEY_NAME_BYTES]);
        Self { name, secret }
    }

    fn mac(&self) -> Option<Hmac<Sha256>> {
        Hmac::<Sha256>::new_from_slice(&self.secret).ok()
    }
}

/// The keys: the first one signs, all are accepted.
#[derive(Clone)]
pub struct Keys(Vec<Key>);

/// Keeps secrets out of logs.
impl fmt::Debug for Keys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Keys({} of them)", self.0.len())
    }
}

/// The shortest key, in bytes.
const MIN_KEY_BYTES: usize = 16;

impl Keys {
    /// A key that was made just now: cursors end with the process.
    pub fn fresh(secret: [u8; 32]) -> Self {
        Self(vec![Key::new(secret.to_vec())])
    }

    /// Reads the operator's file: a key a line in hexadecimal digits, 16 bytes or more; `#` begins a comment. The
    /// first one signs; the others are accepted until they are taken out.
    ///
    /// # Errors
    /// Names the line and the fault, never the key.
    pub fn read(text: &str) -> Result<Self, String> {
        let mut keys: Vec<Key> = Vec::new();
        for (n, line) in (1..).zip(text.lines()) {
            let line = line.split('#').next().unwrap_or("").trim();
            if line.is_empty() {
                continue;
            }
            let bytes = hex::decode(line)
                .map_err(|_| format!("line {n}: hexadecimal digits in pairs are expected"))?;
            if bytes.len() < MIN_KEY_BYTES {
                return Err(format!("line {n}: a key needs {MIN_KEY_BYTES} bytes or more"));
            }
            let key = Key::new(bytes);
            if keys.iter().any(|k| k.name == key.name) {
                return Err(format!("line {n}: this key stands in the file already"));
            }
            keys.push(key);
        }
        match keys.is_empty() {
            true => Err("there is no key".into()),
            false => Ok(Self(keys)),
        }
    }

    /// Seals a cursor.
    pub fn seal(&self, cursor: &Cursor) -> String {
        let mut keys: Vec<Arc<str>> = Vec::new();
        let mut number = |key: &Arc<str>| {
            // Few keys differ: all ranges that were in have the key of the last row.
            let at = keys.iter().position(|k| k == key).unwrap_or_else(|| {
                keys.push(key.clone());
                keys.len() - 1
            });
            at as u64 * 2
        };
        let mut position = |p: &Position| match p {
            Position::Start => 0,
            Position::From(key) => number(key) + 1,
            Position::After(key) => number(key) + 2,
        };
        let version = |v: Option<Version>| v.map_or(0, |v| v.saturating_add(1));
        let ranges = cursor.ranges.iter().map(|r| (position(&r.position), version(r.version))).collect();
        let record = Record { form: RECORD_VERSION, query: cursor.query, until: cursor.until, keys, ranges };
        let mut bytes = self.0[0].name.to_vec();
        // Serializing the record cannot fail.
        bytes.extend(postcard::to_stdvec(&record).unwrap_or_default());
        if let Some(mac) = self.0[0].mac() {
            let tag = mac.chain_update(&bytes).finalize().into_bytes();
            bytes.extend_from_slice(&tag[..MAC_BYTES]);
        }
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Opens a cursor for a query over so many ranges, at this time in seconds of Unix time.
    ///
    /// # Errors
    /// Says why it cannot be used. Nothing of it is read before its seal has been checked.
    pub fn open(&self, text: &str, query: &[u8; 16], ranges: usize, now: u64) -> Result<Cursor, BadCursor> {
        let record = self.authenticated_record(text)?;
        if record.query != *query {
            return Err(BadCursor::OtherQuery);
        }
        if record.until <= now {
            return Err(BadCursor::Expired);
        }
        if record.ranges.len() != ranges {
            return Err(BadCursor::OtherRanges);
        }
        let ranges = record.ranges.iter().map(|range| record.progress(range)).collect::<Result<_, _>>()?;
        Ok(Cursor { query: record.query, until: record.until, ranges })
    }

    /// Decodes a cursor's text; nothing of the record is read before its MAC has been verified.
    fn authenticated_record(&self, text: &str) -> Result<Record, BadCursor> {
        if text.len() > MAX_CURSOR_BYTES {
            return Err(BadCursor::Malformed);
        }
        let bytes = URL_SAFE_NO_PAD.decode(text).map_err(|_| BadCursor::Malformed)?;
        let signed_bytes =
            bytes.len().checked_sub(MAC_BYTES).filter(|&n| n > KEY_NAME_BYTES).ok_or(BadCursor::Malformed)?;
        let (signed, tag) = bytes.split_at(signed_bytes);
        let (name, record) = signed.split_at(KEY_NAME_BYTES);
        let key = self.0.iter().find(|k| k.name == name).ok_or(BadCursor::UnknownKey)?;
        let mac = key.mac().ok_or(BadCursor::UnknownKey)?;
        // Compared in constant time.
        mac.chain_update(signed).verify_truncated_left(tag).map_err(|_| BadCursor::Forged)?;
        if record.first() != Some(&RECORD_VERSION) {
            return Err(BadCursor::OtherVersion(record.first().copied().unwrap_or(0)));
        }
        postcard::from_bytes(record).map_err(|_| BadCursor::Malformed)
    }
}

#[cfg(test)]
mod tests;
