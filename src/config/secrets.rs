//! Files of secrets: read only where nobody but their owner may use them.

use std::os::unix::fs::PermissionsExt;
use std::path::Path;

use curlewdeck_merge::cursor::Keys;

use super::SecretError;

/// The permission bits of the owner's group and of all others.
const NON_OWNER_BITS: u32 = 0o077;
const PERMISSION_BITS: u32 = 0o777;

/// The length of a generated cursor key.
const GENERATED_KEY_BYTES: usize = 32;

/// The lifetime of a cursor where the file gives none.
const DEFAULT_CURSOR_LIFETIME_S: u64 = 3600;

/// Serde's default for the lifetime of cursors, in seconds.
pub(super) fn default_cursor_lifetime_s() -> u64 {
    DEFAULT_CURSOR_LIFETIME_S
}

/// Reads a file of secrets, which nobody but its owner may use.
///
/// # Errors
/// Names the file and the fault, and nothing that stands in it.
pub fn read_secret(path: &Path) -> Result<String, SecretError> {
    let unreadable = |source| SecretError::Unreadable { path: path.to_path_buf(), source };
    let mode = std::fs::metadata(path).map_err(unreadable)?.permissions().mode();
    if mode & NON_OWNER_BITS != 0 {
        return Err(SecretError::OpenPermissions { path: path.to_path_buf(), mode: mode & PERMISSION_BITS });
    }
    std::fs::read_to_string(path).map_err(unreadable)
}

/// The keys that seal cursors: read from a file, or without one generated now, to end with the process.
///
/// # Errors
/// Names the file and the fault, never the key.
pub fn read_cursor_keys(path: Option<&Path>) -> Result<Keys, SecretError> {
    let Some(path) = path else { return generate_cursor_keys() };
    Keys::read(&read_secret(path)?)
        .map_err(|reason| SecretError::InvalidKeys { path: path.to_path_buf(), reason: reason.to_string() })
}

fn generate_cursor_keys() -> Result<Keys, SecretError> {
    let mut secret = [0; GENERATED_KEY_BYTES];
    getrandom::fill(&mut secret).map_err(SecretError::NoRandomNumbers)?;
    Ok(Keys::fresh(secret))
}
