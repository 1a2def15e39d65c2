//! Why stored bytes are not used.

use crate::record::RecordKind;

/// Why a stored record is not used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// It ends early, or goes on beyond its end.
    #[error("it is torn")]
    Truncated,
    /// It does not begin as a file of this program does.
    #[error("it is no file of this program")]
    Foreign,
    /// A file holds something else, or another version of it.
    #[error("it holds kind {} in form {}", .0.content, .0.version)]
    WrongKind(RecordKind),
    /// A log entry holds a value with another tag.
    #[error("it holds kind {0}")]
    WrongTag(u8),
    /// A byte has changed.
    #[error("its checksum does not match")]
    ChecksumMismatch,
    /// The checksum matches, but the value cannot be decoded: a newer version wrote it.
    #[error("its value cannot be read")]
    Undecodable,
}
