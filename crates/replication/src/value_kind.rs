//! The [tags](curlewdeck_snapshot::tagged) of the values in the log.

/// A [`Command`](crate::Command).
pub(crate) const COMMAND: u8 = 1;
/// A snapshot of the [`ReplicatedMap`](crate::ReplicatedMap).
pub(crate) const MAP_SNAPSHOT: u8 = 2;
/// The context of an entry, by which its proposer recognises it once it is committed.
pub(crate) const PROPOSAL_TAG: u8 = 3;
