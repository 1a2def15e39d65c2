//! The tags under which values are sealed in the log, in the sense of [`curlewdeck_snapshot::tagged`].

/// A [`Command`](crate::Command).
pub(crate) const COMMAND: u8 = 1;
/// A snapshot of the [`ReplicatedMap`](crate::ReplicatedMap).
pub(crate) const MAP_SNAPSHOT: u8 = 2;
/// The tag that a proposer puts beside its command, to recognise it once it is committed.
pub(crate) const PROPOSAL_TAG: u8 = 3;
