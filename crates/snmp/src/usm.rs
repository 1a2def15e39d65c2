//! The user-based security model (RFC 3414) with HMAC-SHA-256 truncated to 192 bits (RFC 7860,
//! `usmHMAC192SHA256AuthProtocol`) and AES-128 in CFB mode (RFC 3826, `usmAesCfb128Protocol`).

use std::fmt;

use aes::Aes128;
use cfb_mode::cipher::KeyIvInit;
use hmac::digest::Digest;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

use crate::tree::View;

/// Length of a message digest in bytes.
pub const DIGEST_BYTES: usize = 24;
const KEY_BYTES: usize = 32;
const AES_KEY_BYTES: usize = 16;
/// Time window of messages in seconds (RFC 3414, section 2.2.3).
pub const WINDOW_S: u32 = 150;
/// Length to which a passphrase is repeated for key derivation (RFC 3414, appendix A.2).
const EXPANDED_PASSPHRASE_BYTES: usize = 1_048_576;
/// Minimum length of a passphrase (RFC 3414, section 11.2).
const MIN_PASSPHRASE_CHARS: usize = 8;
/// Maximum length of a user name (RFC 3414, section 5).
const MAX_USER_NAME_BYTES: usize = 32;

/// X.690 tags of the elements that enclose the digest of a message.
const SEQUENCE_TAG: u8 = 0x30;
const OCTET_STRING_TAG: u8 = 0x04;

/// Derives a key from a passphrase (RFC 3414, appendix A.2.2); the key is not localised yet.
pub fn key_from_passphrase<D: Digest>(passphrase: &[u8]) -> Vec<u8> {
    let mut digest = D::new();
    let mut remaining = EXPANDED_PASSPHRASE_BYTES;
    // Hashes chunks of complete repetitions of the passphrase, so that consecutive chunks continue the sequence.
    let repetitions = (4096 / passphrase.len().max(1)).max(1);
    let chunk = passphrase.repeat(repetitions);
    while remaining > 0 && !chunk.is_empty() {
        let length = chunk.len().min(remaining);
        digest.update(&chunk[..length]);
        remaining -= length;
    }
    digest.finalize().to_vec()
}

/// Localises a key for one engine (RFC 3414, section 2.6).
pub fn localize<D: Digest>(key: &[u8], engine: &[u8]) -> Vec<u8> {
    D::new().chain_update(key).chain_update(engine).chain_update(key).finalize().to_vec()
}

/// The secret of a user. Its `Debug` output does not contain the secret, so that logs cannot leak it.
#[derive(Clone, PartialEq, Eq)]
pub enum Secret {
    /// A passphrase from which a key is derived for each engine.
    Passphrase(String),
    /// A key already localised for the engine that it is used with.
    Localized(Vec<u8>),
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret")
    }
}

impl Secret {
    /// Parses `pass:TEXT` or `key:HEX`.
    ///
    /// # Errors
    /// Describes the expected form, without any part of the secret.
    pub fn parse(text: &str) -> Result<Self, &'static str> {
        if let Some(pass) = text.strip_prefix("pass:") {
            return match pass.chars().count() >= MIN_PASSPHRASE_CHARS {
                true => Ok(Self::Passphrase(pass.to_string())),
                false => Err("a passphrase must have at least 8 characters"),
            };
        }
        let digits = text.strip_prefix("key:").ok_or("a secret must be pass:TEXT or key:HEX")?;
        let key = hex::decode(digits).ok().filter(|key| key.len() == KEY_BYTES);
        key.map(Self::Localized).ok_or("a localised key must have 64 hexadecimal digits")
    }

    /// The key localised for an engine.
    pub fn key(&self, engine: &[u8]) -> Vec<u8> {
        match self {
            Self::Passphrase(text) => {
                localize::<Sha256>(&key_from_passphrase::<Sha256>(text.as_bytes()), engine)
            }
            Self::Localized(key) => key.clone(),
        }
    }
}

/// A user of SNMP version 3.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct User {
    /// User name of the security model, at most 32 bytes.
    pub name: String,
    /// Secret for authentication.
    pub auth: Secret,
    /// Secret for encryption; with `None` the user's messages are authenticated but not encrypted.
    pub privacy: Option<Secret>,
    /// The objects that the user may read.
    pub view: View,
}

impl User {
    /// Parses a user file: one user per line, `NAME auth SECRET [priv SECRET]`. Lines that begin with `#` are comments.
    ///
    /// # Errors
    /// Returns the line number and the error, without any secret.
    pub fn parse_file(text: &str) -> Result<Vec<Self>, String> {
        let mut users: Vec<Self> = Vec::new();
        for (n, line) in (1..).zip(text.lines()) {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let words: Vec<&str> = line.split_whitespace().collect();
            let secret = |word| Secret::parse(word).map_err(|error| format!("line {n}: {error}"));
            let (name, auth, privacy) = match words[..] {
                [name, "auth", auth] => (name, secret(auth)?, None),
                [name, "auth", auth, "priv", privacy] => (name, secret(auth)?, Some(secret(privacy)?)),
                _ => return Err(format!("line {n}: expected NAME auth SECRET [priv SECRET]")),
            };
            if name.len() > MAX_USER_NAME_BYTES {
                return Err(format!("line {n}: a user name must have at most 32 bytes"));
            }
            if users.iter().any(|u| u.name == name) {
                return Err(format!("line {n}: the user '{name}' is already defined"));
            }
            users.push(Self { name: name.to_string(), auth, privacy, view: View::default() });
        }
        Ok(users)
    }
}

/// The keys of a user, localised for one engine.
#[derive(Clone, PartialEq, Eq)]
pub struct Keys {
    auth: Vec<u8>,
    privacy: Option<[u8; AES_KEY_BYTES]>,
}

impl fmt::Debug for Keys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Keys")
    }
}

impl Keys {
    /// Localises the keys of a user for an engine.
    pub fn new(user: &User, engine: &[u8]) -> Self {
        let truncate = |key: Vec<u8>| {
            let mut truncated = [0; AES_KEY_BYTES];
            truncated.copy_from_slice(&key[..AES_KEY_BYTES]);
            truncated
        };
        Self { auth: user.auth.key(engine), privacy: user.privacy.as_ref().map(|p| truncate(p.key(engine))) }
    }

    /// Whether the user has a key for encryption.
    pub fn has_privacy(&self) -> bool {
        self.privacy.is_some()
    }

    /// Computes the digest of a message whose digest field is filled with zeros.
    pub fn digest(&self, message: &[u8]) -> [u8; DIGEST_BYTES] {
        let mut digest = [0; DIGEST_BYTES];
        if let Ok(mac) = Hmac::<Sha256>::new_from_slice(&self.auth) {
            digest.copy_from_slice(&mac.chain_update(message).finalize().into_bytes()[..DIGEST_BYTES]);
        }
        digest
    }

    /// Verifies the digest of a message in constant time.
    pub fn verifies(&self, message: &[u8], digest: &[u8]) -> bool {
        digest.len() == DIGEST_BYTES
            && Hmac::<Sha256>::new_from_slice(&self.auth)
                .is_ok_and(|mac| mac.chain_update(message).verify_truncated_left(digest).is_ok())
    }

    /// Encrypts data in place, with the boots and time of an engine and a salt that must not be reused. Returns false
    /// without a key for encryption.
    pub fn encrypt(&self, boots: u32, time: u32, salt: u64, data: &mut [u8]) -> bool {
        let Some(key) = &self.privacy else { return false };
        cfb_mode::Encryptor::<Aes128>::new(key.into(), &iv(boots, time, salt.to_be_bytes()).into())
            .encrypt(data);
        true
    }

    /// Decrypts data in place. Returns false without a key for encryption.
    pub fn decrypt(&self, boots: u32, time: u32, salt: [u8; 8], data: &mut [u8]) -> bool {
        let Some(key) = &self.privacy else { return false };
        cfb_mode::Decryptor::<Aes128>::new(key.into(), &iv(boots, time, salt).into()).decrypt(data);
        true
    }
}

/// Initialization vector (RFC 3826, section 3.1.2.1).
fn iv(boots: u32, time: u32, salt: [u8; 8]) -> [u8; 16] {
    let mut iv = [0; 16];
    iv[..4].copy_from_slice(&boots.to_be_bytes());
    iv[4..8].copy_from_slice(&time.to_be_bytes());
    iv[8..].copy_from_slice(&salt);
    iv
}

/// Whether an authenticated message is within the time window (RFC 3414, section 3.2, step 7a). Both arguments are
/// pairs of boots and time in seconds.
pub fn in_time(own: (u32, u32), theirs: (u32, u32)) -> bool {
    own.0 != i32::MAX as u32 && own.0 == theirs.0 && own.1.abs_diff(theirs.1) <= WINDOW_S
}

/// Byte range of the digest in a version 3 message; `None` if the message has another structure or a length points
/// outside the message.
pub fn digest_range(message: &[u8]) -> Option<std::ops::Range<usize>> {
    let content = element(message, 0, SEQUENCE_TAG)?;
    let version = any_element(message, content.start)?;
    let header = element(message, version.end, SEQUENCE_TAG)?;
    let security = element(message, header.end, OCTET_STRING_TAG)?;
    let mut at = element(message, security.start, SEQUENCE_TAG)?.start;
    // Engine id, boots, time and user name precede the digest.
    for _ in 0..4 {
        at = any_element(message, at)?.end;
    }
    element(message, at, OCTET_STRING_TAG).filter(|digest| digest.end <= security.end)
}

/// Byte range of the content of the element at an offset, which must have this tag.
fn element(bytes: &[u8], at: usize, tag: u8) -> Option<std::ops::Range<usize>> {
    (bytes.get(at) == Some(&tag)).then(|| any_element(bytes, at))?
}

/// Byte range of the content of the element at an offset (X.690, definite lengths).
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
