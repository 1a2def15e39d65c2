//! The user-based security model (RFC 3414) with HMAC-SHA-256 cut to 192 bits (RFC 7860,
//! `usmHMAC192SHA256AuthProtocol`) and AES-128 in CFB mode (RFC 3826, `usmAesCfb128Protocol`).

use std::fmt;

use aes::Aes128;
use cfb_mode::cipher::KeyIvInit;
use hmac::digest::Digest;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

use crate::tree::View;

/// Bytes of a message's digest.
pub const DIGEST_BYTES: usize = 24;
const KEY_BYTES: usize = 32;
const AES_BYTES: usize = 16;
/// A message is in time within so many seconds (RFC 3414, section 2.2.3).
pub const WINDOW_S: u32 = 150;
/// Bytes that a passphrase is repeated to (RFC 3414, appendix A.2).
const EXPANDED_PASSPHRASE_BYTES: usize = 1_048_576;
/// Least characters of a passphrase (RFC 3414, section 11.2).
const MIN_PASSPHRASE_CHARS: usize = 8;
/// Most bytes of a user's name (RFC 3414, section 5).
const MAX_USER_NAME_BYTES: usize = 32;

/// X.690 tags of the elements in which a message holds its digest.
const SEQUENCE_TAG: u8 = 0x30;
const OCTET_STRING_TAG: u8 = 0x04;

/// A passphrase's key (RFC 3414, appendix A.2.2), before it is localised.
pub fn key_of<D: Digest>(passphrase: &[u8]) -> Vec<u8> {
    let mut digest = D::new();
    let mut left = EXPANDED_PASSPHRASE_BYTES;
    // In pieces that hold the passphrase whole, so that each begins where the last one ended.
    let times = (4096 / passphrase.len().max(1)).max(1);
    let piece = passphrase.repeat(times);
    while left > 0 && !piece.is_empty() {
        let take = piece.len().min(left);
        digest.update(&piece[..take]);
        left -= take;
    }
    digest.finalize().to_vec()
}

/// A key for one engine (RFC 3414, section 2.6).
pub fn localize<D: Digest>(key: &[u8], engine: &[u8]) -> Vec<u8> {
    D::new().chain_update(key).chain_update(engine).chain_update(key).finalize().to_vec()
}

/// A user's secret. It never reaches a log.
#[derive(Clone, PartialEq, Eq)]
pub enum Secret {
    /// A key is derived from it for each engine.
    Passphrase(String),
    /// The key for the engine that it is used with.
    Localized(Vec<u8>),
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret")
    }
}

impl Secret {
    /// Reads `pass:TEXT` or `key:HEX`.
    ///
    /// # Errors
    /// Says what is expected, and nothing of what was given.
    pub fn read(text: &str) -> Result<Self, &'static str> {
        if let Some(pass) = text.strip_prefix("pass:") {
            return match pass.chars().count() >= MIN_PASSPHRASE_CHARS {
                true => Ok(Self::Passphrase(pass.to_string())),
                false => Err("a passphrase needs 8 characters or more"),
            };
        }
        let digits = text.strip_prefix("key:").ok_or("a secret is pass:TEXT or key:HEX")?;
        let key = hex::decode(digits).ok().filter(|key| key.len() == KEY_BYTES);
        key.map(Self::Localized).ok_or("a localised key has 64 hexadecimal digits")
    }

    /// The key for one engine.
    pub fn key(&self, engine: &[u8]) -> Vec<u8> {
        match self {
            Self::Passphrase(text) => localize::<Sha256>(&key_of::<Sha256>(text.as_bytes()), engine),
            Self::Localized(key) => key.clone(),
        }
    }
}

/// A user and its secrets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct User {
    /// Its name.
    pub name: String,
    /// The secret of its authentication.
    pub auth: Secret,
    /// The secret of its encryption; without it the user's messages are in clear text.
    pub privacy: Option<Secret>,
    /// What it may see.
    pub view: View,
}

impl User {
    /// Reads the operator's file: a user a line, `NAME auth SECRET [priv SECRET]`; `#` begins a comment line.
    ///
    /// # Errors
    /// Names the line and the fault, never a secret.
    pub fn read_all(text: &str) -> Result<Vec<Self>, String> {
        let mut users: Vec<Self> = Vec::new();
        for (n, line) in (1..).zip(text.lines()) {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let words: Vec<&str> = line.split_whitespace().collect();
            let secret = |word| Secret::read(word).map_err(|why| format!("line {n}: {why}"));
            let (name, auth, privacy) = match words[..] {
                [name, "auth", auth] => (name, secret(auth)?, None),
                [name, "auth", auth, "priv", privacy] => (name, secret(auth)?, Some(secret(privacy)?)),
                _ => return Err(format!("line {n}: NAME auth SECRET [priv SECRET] is expected")),
            };
            if name.len() > MAX_USER_NAME_BYTES {
                return Err(format!("line {n}: a user's name has at most 32 bytes"));
            }
            if users.iter().any(|u| u.name == name) {
                return Err(format!("line {n}: the user '{name}' stands in the file already"));
            }
            users.push(Self { name: name.to_string(), auth, privacy, view: View::default() });
        }
        Ok(users)
    }
}

/// A user's keys at one engine.
#[derive(Clone, PartialEq, Eq)]
pub struct Keys {
    auth: Vec<u8>,
    privacy: Option<[u8; AES_BYTES]>,
}

impl fmt::Debug for Keys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Keys")
    }
}

impl Keys {
    /// The keys of a user at an engine.
    pub fn new(user: &User, engine: &[u8]) -> Self {
        let cut = |key: Vec<u8>| {
            let mut short = [0; AES_BYTES];
            short.copy_from_slice(&key[..AES_BYTES]);
            short
        };
        Self { auth: user.auth.key(engine), privacy: user.privacy.as_ref().map(|p| cut(p.key(engine))) }
    }

    /// Whether messages can be encrypted.
    pub fn has_privacy(&self) -> bool {
        self.privacy.is_some()
    }

    /// The digest of a message whose own digest is all zeros.
    pub fn digest(&self, message: &[u8]) -> [u8; DIGEST_BYTES] {
        let mut digest = [0; DIGEST_BYTES];
        if let Ok(mac) = Hmac::<Sha256>::new_from_slice(&self.auth) {
            digest.copy_from_slice(&mac.chain_update(message).finalize().into_bytes()[..DIGEST_BYTES]);
        }
        digest
    }

    /// Whether a digest is that of a message, in constant time.
    pub fn verifies(&self, message: &[u8], digest: &[u8]) -> bool {
        digest.len() == DIGEST_BYTES
            && Hmac::<Sha256>::new_from_slice(&self.auth)
                .is_ok_and(|mac| mac.chain_update(message).verify_truncated_left(digest).is_ok())
    }

    /// Encrypts in place, for an engine's boots and time and a salt that never comes twice.
    pub fn encrypt(&self, boots: u32, time: u32, salt: u64, data: &mut [u8]) -> bool {
        let Some(key) = &self.privacy else { return false };
        cfb_mode::Encryptor::<Aes128>::new(key.into(), &iv(boots, time, salt.to_be_bytes()).into())
            .encrypt(data);
        true
    }

    /// Decrypts in place.
    pub fn decrypt(&self, boots: u32, time: u32, salt: [u8; 8], data: &mut [u8]) -> bool {
        let Some(key) = &self.privacy else { return false };
        cfb_mode::Decryptor::<Aes128>::new(key.into(), &iv(boots, time, salt).into()).decrypt(data);
        true
    }
}

/// RFC 3826, section 3.1.2.1.
fn iv(boots: u32, time: u32, salt: [u8; 8]) -> [u8; 16] {
    let mut iv = [0; 16];
    iv[..4].copy_from_slice(&boots.to_be_bytes());
    iv[4..8].copy_from_slice(&time.to_be_bytes());
    iv[8..].copy_from_slice(&salt);
    iv
}

/// Whether an authenticated message is in time (RFC 3414, section 3.2, step 7a).
pub fn in_time(own: (u32, u32), theirs: (u32, u32)) -> bool {
    own.0 != i32::MAX as u32 && own.0 == theirs.0 && own.1.abs_diff(theirs.1) <= WINDOW_S
}

/// Where the digest of a version 3 message stands in its bytes; none where the message has another form. Lengths that
/// point outside the message are rejected.
pub fn digest_at(message: &[u8]) -> Option<std::ops::Range<usize>> {
    let content = element(message, 0, SEQUENCE_TAG)?;
    let version = any_element(message, content.start)?;
    let header = element(message, version.end, SEQUENCE_TAG)?;
    let security = element(message, header.end, OCTET_STRING_TAG)?;
    let mut at = element(message, security.start, SEQUENCE_TAG)?.start;
    // Engine, boots, time and user stand before it.
    for _ in 0..4 {
        at = any_element(message, at)?.end;
    }
    element(message, at, OCTET_STRING_TAG).filter(|digest| digest.end <= security.end)
}

/// The content of the element at this place, which must have this tag.
fn element(bytes: &[u8], at: usize, tag: u8) -> Option<std::ops::Range<usize>> {
    (bytes.get(at) == Some(&tag)).then(|| any_element(bytes, at))?
}

/// The content of the element at this place (X.690, definite lengths).
fn any_element(bytes: &[u8], at: usize) -> Option<std::ops::Range<usize>> {
    let first = *bytes.get(at.checked_add(1)?)?;
    let (length, start) = match first {
        0..=0x7f => (usize::from(first), at + 2),
        0x81..=0x84 => {
            let count = usize::from(first & 0x7f);
            let digits = bytes.get(at + 2..at + 2 + count)?;
            (digits.iter().fold(0usize, |n, &d| (n << 8) | usize::from(d)), at + 2 + count)
        }
        _ => return None,
    };
    let end = start.checked_add(length)?;
    (end <= bytes.len()).then_some(start..end)
}

#[cfg(test)]
mod tests;
