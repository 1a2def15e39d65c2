//! Cursors of listings: the position and the last seen version of each range. A cursor is authenticated, so only this
//! service can create or change one; it is bound to its query and has a limited lifetime.
//!
//! A cursor consists of the signing key's name, a postcard record and the HMAC-SHA-256 of both (RFC 2104, truncated to
//! 128 bits as its section 5 allows), encoded in base64url without padding (RFC 4648, section 5).

use std::fmt;
use std::sync::Arc;

use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::Version;

/// The position at which the next rows of a range begin. Positions sort in the order of the rows.
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
    /// Whether a row with this key is at or after the position.
    pub fn includes(&self, key: &str) -> bool {
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

    /// The later of two positions, so that a range never moves backwards.
    #[must_use]
    pub fn later_of(&self, other: &Self) -> Self {
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
    /// Position at which the range's next rows begin.
    pub position: Position,
    /// Last seen version of the range's data; `None` before its first value.
    pub version: Option<Version>,
}

/// The state that resumes a listing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Cursor {
    /// Digest of the query, [`crate::query::Query::digest`].
    pub query: [u8; 16],
    /// Expiry time, in seconds of Unix time.
    pub expires_at: u64,
    /// Progress of each range, indexed by range.
    pub ranges: Vec<RangeProgress>,
}

const RECORD_VERSION: u8 = 1;
/// Length of the truncated HMAC, in bytes.
const MAC_BYTES: usize = 16;
const KEY_NAME_BYTES: usize = 4;
/// Maximum length of a cursor's text, in bytes; longer ones are rejected as malformed.
pub const MAX_CURSOR_BYTES: usize = 64 * 1024;

/// The encoded state of a cursor. Each distinct row key is stored once.
#[derive(Serialize, Deserialize)]
struct Record {
    #[serde(rename = "form")]
    record_version: u8,
    query: [u8; 16],
    expires_at: u64,
    keys: Vec<Arc<str>>,
    /// Encoded position and version of each range. A position is 0 for `Start`, 1 + 2n for `From(keys[n])` and 2 + 2n
    /// for `After(keys[n])`. A version is the last seen version plus 1, or 0 for none.
    ranges: Vec<(u64, u64)>,
}

impl Record {
    /// Decodes the progress of one range.
    fn progress(&self, &(position, version): &(u64, u64)) -> Result<RangeProgress, CursorError> {
        let key = |n: u64| self.keys.get((n / 2) as usize).cloned().ok_or(CursorError::Malformed);
        let position = match position {
            0 => Position::Start,
            n if n % 2 == 1 => Position::From(key(n - 1)?),
            n => Position::After(key(n - 2)?),
        };
        Ok(RangeProgress { position, version: version.checked_sub(1) })
    }
}

/// Why a cursor is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CursorError {
    /// The text does not have the format of a cursor.
    Malformed,
    /// The signing key is unknown: it was removed from the key file, or the service restarted without a key file.
    UnknownKey,
    /// The MAC does not match: the cursor was modified, or was not created by this service.
    Forged,
    /// The record has another version, which is given.
    OtherVersion(u8),
    /// The cursor belongs to another query.
    OtherQuery,
    /// The expiry time has passed.
    Expired,
    /// The number of ranges differs from the current one.
    OtherRanges,
}

impl fmt::Display for CursorError {
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

impl std::error::Error for CursorError {}

/// An HMAC key for cursors.
#[derive(Clone, PartialEq, Eq)]
struct Key {
    name: [u8; KEY_NAME_BYTES],
    secret: Vec<u8>,
}

impl Key {
    /// Derives the key's name from a digest of the secret: names need no configuration and do not reveal the secret.
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

/// HMAC keys of cursors: the first one signs, all are accepted.
#[derive(Clone)]
pub struct CursorKeys(Vec<Key>);

/// Prints only the number of keys, so that secrets do not reach logs.
impl fmt::Debug for CursorKeys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Keys({} of them)", self.0.len())
    }
}

const MIN_KEY_BYTES: usize = 16;

impl CursorKeys {
    /// Uses a single newly generated secret: cursors become invalid when the process ends.
    pub fn from_secret(secret: [u8; 32]) -> Self {
        Self(vec![Key::new(secret.to_vec())])
    }

    /// Parses the operator's key file: one key per line in hexadecimal digits, at least 16 bytes long; `#` begins a
    /// comment. The first key signs; the others remain accepted until they are removed from the file.
    ///
    /// # Errors
    /// Returns the line number and the reason, never the key.
    pub fn parse(text: &str) -> Result<Self, String> {
        let mut keys: Vec<Key> = Vec::new();
        for (n, line) in (1..).zip(text.lines()) {
            let line = line.split('#').next().unwrap_or("").trim();
            if line.is_empty() {
                continue;
            }
            let bytes =
                hex::decode(line).map_err(|_| format!("line {n}: hexadecimal digits in pairs expected"))?;
            if bytes.len() < MIN_KEY_BYTES {
                return Err(format!("line {n}: key is shorter than {MIN_KEY_BYTES} bytes"));
            }
            let key = Key::new(bytes);
            if keys.iter().any(|k| k.name == key.name) {
                return Err(format!("line {n}: duplicate key"));
            }
            keys.push(key);
        }
        match keys.is_empty() {
            true => Err("the file contains no key".into()),
            false => Ok(Self(keys)),
        }
    }

    /// Encodes and signs a cursor.
    pub fn sign(&self, cursor: &Cursor) -> String {
        let mut keys: Vec<Arc<str>> = Vec::new();
        let mut encode_key = |key: &Arc<str>| {
            // There are few distinct keys: all ranges included in a page have the key of its last row.
            let index = keys.iter().position(|k| k == key).unwrap_or_else(|| {
                keys.push(key.clone());
                keys.len() - 1
            });
            index as u64 * 2
        };
        let mut position = |p: &Position| match p {
            Position::Start => 0,
            Position::From(key) => encode_key(key) + 1,
            Position::After(key) => encode_key(key) + 2,
        };
        let version = |v: Option<Version>| v.map_or(0, |v| v.saturating_add(1));
        let ranges = cursor.ranges.iter().map(|r| (position(&r.position), version(r.version))).collect();
        let record = Record {
            record_version: RECORD_VERSION,
            query: cursor.query,
            expires_at: cursor.expires_at,
            keys,
            ranges,
        };
        let mut bytes = self.0[0].name.to_vec();
        // Serializing the record cannot fail.
        bytes.extend(postcard::to_stdvec(&record).unwrap_or_default());
        if let Some(mac) = self.0[0].mac() {
            let tag = mac.chain_update(&bytes).finalize().into_bytes();
            bytes.extend_from_slice(&tag[..MAC_BYTES]);
        }
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Verifies and decodes a cursor for a query over `ranges` ranges; `now` is in seconds of Unix time.
    ///
    /// # Errors
    /// Returns the reason for rejecting the cursor. The record is parsed only after its MAC has been verified.
    pub fn verify(
        &self,
        text: &str,
        query: &[u8; 16],
        ranges: usize,
        now: u64,
    ) -> Result<Cursor, CursorError> {
        let record = self.authenticated_record(text)?;
        if record.query != *query {
            return Err(CursorError::OtherQuery);
        }
        if record.expires_at <= now {
            return Err(CursorError::Expired);
        }
        if record.ranges.len() != ranges {
            return Err(CursorError::OtherRanges);
        }
        let ranges = record.ranges.iter().map(|range| record.progress(range)).collect::<Result<_, _>>()?;
        Ok(Cursor { query: record.query, expires_at: record.expires_at, ranges })
    }

    /// Decodes a cursor's text. The record is parsed only after its MAC has been verified.
    fn authenticated_record(&self, text: &str) -> Result<Record, CursorError> {
        if text.len() > MAX_CURSOR_BYTES {
            return Err(CursorError::Malformed);
        }
        let bytes = URL_SAFE_NO_PAD.decode(text).map_err(|_| CursorError::Malformed)?;
        let signed_bytes = bytes
            .len()
            .checked_sub(MAC_BYTES)
            .filter(|&n| n > KEY_NAME_BYTES)
            .ok_or(CursorError::Malformed)?;
        let (signed, tag) = bytes.split_at(signed_bytes);
        let (name, record) = signed.split_at(KEY_NAME_BYTES);
        let key = self.0.iter().find(|k| k.name == name).ok_or(CursorError::UnknownKey)?;
        let mac = key.mac().ok_or(CursorError::UnknownKey)?;
        // `verify_truncated_left` compares in constant time.
        mac.chain_update(signed).verify_truncated_left(tag).map_err(|_| CursorError::Forged)?;
        if record.first() != Some(&RECORD_VERSION) {
            return Err(CursorError::OtherVersion(record.first().copied().unwrap_or(0)));
        }
        postcard::from_bytes(record).map_err(|_| CursorError::Malformed)
    }
}

#[cfg(test)]
mod tests;
