//! Reads secret files, which must be accessible only to their owner.

use std::os::unix::fs::PermissionsExt;
use std::path::Path;

use curlewdeck_merge::cursor::CursorKeys;

use super::SecretError;

/// The permission bits of the group and of others.
const NON_OWNER_BITS: u32 = 0o077;
const PERMISSION_BITS: u32 = 0o777;

const GENERATED_KEY_BYTES: usize = 32;

/// The lifetime of a cursor if the section does not set one.
const DEFAULT_CURSOR_LIFETIME_S: u64 = 3600;

/// Default value of `cursor_life_s` for serde.
pub(super) fn default_cursor_lifetime_s() -> u64 {
    DEFAULT_CURSOR_LIFETIME_S
}

/// Reads a secret file, which must be accessible only to its owner.
///
/// # Errors
/// The file is unreadable or accessible to others. The error contains its path, but nothing of its contents.
pub fn read_secret(path: &Path) -> Result<String, SecretError> {
    let unreadable = |source| SecretError::Unreadable { path: path.to_path_buf(), source };
    let mode = std::fs::metadata(path).map_err(unreadable)?.permissions().mode();
    if mode & NON_OWNER_BITS != 0 {
        return Err(SecretError::InsecurePermissions {
            path: path.to_path_buf(),
            mode: mode & PERMISSION_BITS,
        });
    }
    std::fs::read_to_string(path).map_err(unreadable)
}

/// Reads the keys that authenticate cursors from a file. Without a file, generates a key, which is lost when the
/// process exits.
///
/// # Errors
/// The file is unreadable, accessible to others, or has no valid keys. The error contains its path, but no key.
pub fn read_cursor_keys(path: Option<&Path>) -> Result<CursorKeys, SecretError> {
    let Some(path) = path else { return generate_cursor_keys() };
    CursorKeys::parse(&read_secret(path)?)
        .map_err(|reason| SecretError::InvalidKeys { path: path.to_path_buf(), reason: reason.to_string() })
}

fn generate_cursor_keys() -> Result<CursorKeys, SecretError> {
    let mut secret = [0; GENERATED_KEY_BYTES];
    getrandom::fill(&mut secret).map_err(SecretError::NoRandomNumbers)?;
    Ok(CursorKeys::from_secret(secret))
}
