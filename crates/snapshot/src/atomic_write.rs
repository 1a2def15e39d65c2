//! The steps in which a file is replaced, and the names beside it.

/// One step of replacing a file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteStep {
    /// Write all bytes to the [temporary file](temporary_name), over whatever it holds.
    WriteTemporary,
    /// Sync the temporary file.
    SyncTemporary,
    /// Rename it over the file.
    Rename,
    /// Sync the directory.
    SyncDirectory,
}

/// The steps in their order. Stopped between any two of them, or in the middle of one, the file is the old one or the
/// new one.
pub const WRITE_STEPS: [WriteStep; 4] =
    [WriteStep::WriteTemporary, WriteStep::SyncTemporary, WriteStep::Rename, WriteStep::SyncDirectory];

/// Files that can be quarantined; after them an operator has to look before the program goes on.
const MAX_QUARANTINED_FILES: u32 = 9;

/// The name under which the new contents are written first.
pub fn temporary_name(name: &str) -> String {
    format!("{name}.new")
}

/// The names under which a file that cannot be used is quarantined; the first one that is free is taken.
pub fn quarantine_names(name: &str) -> impl Iterator<Item = String> + '_ {
    (1..=MAX_QUARANTINED_FILES).map(move |n| format!("{name}.bad-{n}"))
}
