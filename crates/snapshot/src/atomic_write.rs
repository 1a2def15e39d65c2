//! The steps of atomically replacing a file, and the names of its temporary and quarantined files.

/// One step of replacing a file. The caller performs the I/O.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteStep {
    /// Write all bytes to the [temporary file](temporary_name), truncating it first if it exists.
    WriteTemporary,
    /// Sync the temporary file.
    SyncTemporary,
    /// Rename the temporary file over the file.
    Rename,
    /// Sync the directory, so that the rename survives a machine crash.
    SyncDirectory,
}

/// The steps in order. If the process or the machine stops between two steps or during one, the file has either its old
/// or its new contents.
pub const WRITE_STEPS: [WriteStep; 4] =
    [WriteStep::WriteTemporary, WriteStep::SyncTemporary, WriteStep::Rename, WriteStep::SyncDirectory];

/// Further quarantines fail, so that an operator investigates before the program can start again.
const MAX_QUARANTINED_FILES: u32 = 9;

/// The name of the file to which the new contents are written before the rename.
pub fn temporary_name(name: &str) -> String {
    format!("{name}.new")
}

/// The names for an unusable file in quarantine, in the order in which the caller must try them.
pub fn quarantine_names(name: &str) -> impl Iterator<Item = String> + '_ {
    (1..=MAX_QUARANTINED_FILES).map(move |n| format!("{name}.bad-{n}"))
}
