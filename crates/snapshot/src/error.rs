//! The error of opening stored bytes.

use crate::record::RecordKind;

/// A stored record cannot be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// The record is shorter or longer than its header requires.
    #[error("its length is wrong")]
    WrongLength,
    /// The file does not begin with the magic bytes of this program.
    #[error("it is not a file of this program")]
    Foreign,
    /// The file holds a record of another kind, or of another version.
    #[error("it holds a record of kind {} in version {}", .0.content, .0.version)]
    WrongKind(RecordKind),
    /// The log entry holds a value with another tag.
    #[error("it holds a value with tag {0}")]
    WrongTag(u8),
    /// At least one byte has changed.
    #[error("its checksum does not match")]
    ChecksumMismatch,
    /// The checksum matches, but the value cannot be decoded: a newer version wrote it.
    #[error("its value cannot be decoded")]
    Undecodable,
}
